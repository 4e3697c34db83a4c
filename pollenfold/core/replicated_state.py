"""Commands of the replicated log: configuration, evacuations, departures, roll-outs.

Control replicas agree on the order of the commands. Applying a command is
deterministic, so all replicas hold the same replicated state at the same log index.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from reprlib import repr as short_repr
from typing import Any

from .rollouts.state import Rollout, RolloutStage, decode_rollout, start_rollout

MAX_DEPARTURES = 1_000
"""Departures kept; older ones belong to endpoints that no longer announce."""

MAX_ROLLOUTS = 1_000
"""Services whose newest roll-out is kept; the oldest that ended are dropped."""


@dataclass(frozen=True, slots=True)
class Configure:
    """Put a complete configuration in force, unless its version is not higher."""

    version: int
    document: str


@dataclass(frozen=True, slots=True)
class Evacuate:
    """Stop sending requests to the endpoints of a zone, or resume sending."""

    zone: str
    is_out: bool


@dataclass(frozen=True, slots=True)
class Depart:
    """Stop sending to incarnations of an endpoint started at ``born_ms`` or before."""

    endpoint_id: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class StartRollout:
    """Replace the endpoints of a service by those of a target version.

    ``ordered_at_ms`` is the time of the order in ms since 1970. The order changes
    nothing while a roll-out of the service is in progress, or if it repeats the order
    of the last one.
    """

    service: str
    target_version: str
    duration_ms: int
    ordered_at_ms: int


@dataclass(frozen=True, slots=True)
class AdvanceRollout:
    """Change the stage of the roll-out with this order, or the share of the target.

    ``replaced_versions`` are those that the target replaced, named with the stage
    ``COMPLETED``.
    """

    service: str
    order_index: int
    stage: RolloutStage
    share: float
    replaced_versions: tuple[str, ...] = ()


Command = Configure | Evacuate | Depart | StartRollout | AdvanceRollout
Order = Evacuate | StartRollout
"""The commands that have neither an id nor a version (``core/orders.py``)."""


OnMalformed = Callable[[str], None]
"""Called with a description of a part that is left out."""


def _ignore(detail: str) -> None:
    """Accept any description; the default of ``OnMalformed``."""


@dataclass(slots=True)
class ReplicatedState:
    """The replicated state after applying the log entry ``index``.

    ``version`` 0 means that no configuration has been accepted yet. ``departures``
    maps an endpoint id to the start time of its latest incarnation that is leaving or
    has left, in ms since 1970.
    """

    index: int = 0
    version: int = 0
    document: str = ""
    evacuated: frozenset[str] = frozenset()
    departures: dict[str, int] = field(default_factory=dict)
    departure_indices: dict[str, int] = field(default_factory=dict, compare=False)
    """The log index of each departure; for those read from a snapshot, its index."""

    rollouts: dict[str, Rollout] = field(default_factory=dict)
    """The newest roll-out of each service, in the order in which they started."""

    def apply(self, index: int, command: Command) -> bool:
        """Apply a command; return whether it changed the state."""
        self.index = index
        match command:
            case Configure(version, document):
                if version <= self.version:
                    return False
                self.version = version
                self.document = document
                return True
            case Evacuate(zone, is_out):
                before = self.evacuated
                self.evacuated = before | {zone} if is_out else before - {zone}
                return before != self.evacuated
            case Depart(endpoint_id, born_ms):
                return self._record_departure(endpoint_id, born_ms)
            case StartRollout():
                return self._start_rollout(command)
            case AdvanceRollout():
                return self._advance_rollout(command)

    def _record_departure(self, endpoint_id: str, born_ms: int) -> bool:
        if self.has_departed(endpoint_id, born_ms):
            return False
        self.departures.pop(endpoint_id, None)
        self.departures[endpoint_id] = born_ms
        self.departure_indices[endpoint_id] = self.index
        self._drop_oldest_departures()
        return True

    def _start_rollout(self, order: StartRollout) -> bool:
        started = start_rollout(
            self.rollouts.get(order.service),
            order.service,
            order.target_version,
            order.duration_ms,
            order.ordered_at_ms,
            self.index,
        )
        if started is None:
            return False
        self.rollouts.pop(order.service, None)
        self.rollouts[order.service] = started
        self._drop_oldest_rollouts()
        return True

    def _advance_rollout(self, command: AdvanceRollout) -> bool:
        rollout = self.rollouts.get(command.service)
        if rollout is None or rollout.order_index != command.order_index:
            return False
        advanced = rollout.advanced(
            self.index, command.stage, command.share, command.replaced_versions
        )
        if advanced is None:
            return False
        self.rollouts[command.service] = advanced
        return True

    def _drop_oldest_rollouts(self) -> None:
        n_excess = len(self.rollouts) - MAX_ROLLOUTS
        if n_excess > 0:
            ended = [k for k, v in self.rollouts.items() if v.is_final]
            for service in ended[:n_excess]:
                del self.rollouts[service]

    def _drop_oldest_departures(self) -> None:
        while len(self.departures) > MAX_DEPARTURES:
            oldest = next(iter(self.departures))
            del self.departures[oldest]
            self.departure_indices.pop(oldest, None)

    def has_departed(self, endpoint_id: str, born_ms: int) -> bool:
        """Return whether this incarnation of an endpoint is leaving or has left."""
        return self.departures.get(endpoint_id, -1) >= born_ms

    def encode(self) -> dict[str, Any]:
        """Return the replicated state as JSON values.

        Processes of an earlier version read it as long as there are no roll-outs.
        """
        fields = {
            "index": self.index,
            "version": self.version,
            "document": self.document,
            "evacuated": sorted(self.evacuated),
            "departures": self.departures,
        }
        if self.rollouts:
            fields["rollouts"] = [r.encode() for r in self.rollouts.values()]
        return fields

    def encode_since(self, index: int, version: int) -> dict[str, Any]:
        """Return the difference for a subscriber that has the state at ``index``.

        The configuration document is omitted if the subscriber has its version: it
        makes up most of the bytes, and most commands don't change it.
        """
        fields = self.encode()
        fields["since"] = index
        fields["departures"] = {
            k: v
            for k, v in self.departures.items()
            if self.departure_indices.get(k, self.index) > index
        }
        changed = [r.encode() for r in self.rollouts.values() if r.stage_index > index]
        fields.pop("rollouts", None)
        if changed:
            fields["rollouts"] = changed
        if version == self.version:
            del fields["document"]
        return fields

    def merged(
        self, fields: dict[str, Any], on_malformed: OnMalformed = _ignore
    ) -> ReplicatedState:
        """Return the state after applying fields of ``encode`` or ``encode_since``.

        Raise KeyError or ValueError if the fields are malformed, or if this state
        lacks data that the sender omitted.
        """
        since = int(fields.get("since", 0))
        if since > self.index:
            raise ValueError(f"update since index {since} for a state at {self.index}")
        base = {"document": self.document} if self._has_same_version(fields) else {}
        state = decode_replicated_state({**base, **fields}, on_malformed)
        if since:
            state.departures = {**self.departures, **state.departures}
            state._drop_oldest_departures()
        # A sender of an earlier version leaves out roll-outs, which never disappear.
        state.rollouts = {**self.rollouts, **state.rollouts}
        state._drop_oldest_rollouts()
        return state

    def _has_same_version(self, fields: dict[str, Any]) -> bool:
        return int(fields["version"]) == self.version


def decode_replicated_state(
    fields: dict[str, Any], on_malformed: OnMalformed = _ignore
) -> ReplicatedState:
    """Decode a replicated state encoded by ``ReplicatedState.encode``.

    Call ``on_malformed`` for each zone, departure or roll-out that is left out since it
    is malformed. Raise KeyError, ValueError or TypeError if other fields are.
    """
    index = int(fields["index"])
    if not isinstance(fields["departures"], dict):
        raise ValueError(f"departures: got {short_repr(fields['departures'])}")
    departures = {}
    for endpoint_id, born_ms in fields["departures"].items():
        if type(born_ms) is int:
            departures[str(endpoint_id)] = born_ms
        else:
            on_malformed(
                f"departure of {short_repr(endpoint_id)} at {short_repr(born_ms)}"
            )
    evacuated = set()
    for zone in fields["evacuated"]:
        if isinstance(zone, str):
            evacuated.add(zone)
        else:
            on_malformed(f"evacuated zone {short_repr(zone)}")
    rollouts = _decode_rollouts(fields.get("rollouts", []), on_malformed)
    return ReplicatedState(
        index,
        int(fields["version"]),
        str(fields["document"]),
        frozenset(evacuated),
        departures,
        dict.fromkeys(departures, index),
        rollouts,
    )


def _decode_rollouts(items: object, on_malformed: OnMalformed) -> dict[str, Rollout]:
    if not isinstance(items, list):
        on_malformed(f"roll-outs {short_repr(items)}")
        return {}
    rollouts = {}
    for item in items:
        try:
            rollout = decode_rollout(item)
        except ValueError as error:
            on_malformed(str(error))
        else:
            rollouts[rollout.service] = rollout
    return rollouts
