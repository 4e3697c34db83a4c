"""The replicated state and the endpoint announcements of one control replica.

Commands are applied from the replicated log. Announcements are kept in memory only:
endpoints repeat them, and the one fact that must survive, that an endpoint is leaving,
is a command.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable

import curio
from expression import Error, Ok, Result

from ..core.clock import Clock, add_ms, remaining_ms
from ..core.command_encoding import (
    CommandSizeError,
    decode_command,
    encode_command,
)
from ..core.errors import ErrorKind
from ..core.limit_report import (
    LimitReport,
    SeenReport,
    decode_limit_report,
    seen_report,
)
from ..core.quarantine import Quarantine
from ..core.registry import Announcement, Registry
from ..core.replicated_state import (
    AdvanceRollout,
    Command,
    Configure,
    Depart,
    Evacuate,
    ReplicatedState,
    StartRollout,
    decode_replicated_state,
)
from ..core.rollouts.state import Rollout
from ..observe.events import EventLog
from ..observe.malformed import MalformedItems
from .commands import BARRIER, Commands
from .orders import IsWaiting, Orders

UNKNOWN_ENDPOINT_WAIT_MS = 400.0
"""How long a replica waits for the announcement of an unknown endpoint that is leaving.

The endpoint itself waits one second for the response."""

UNKNOWN_ENDPOINT_POLL_MS = 10.0


async def _always() -> bool:
    return True


class ClusterState:
    """Applies committed commands, submits new ones and holds the announcements.

    ``commands.replica`` is set after construction, since the replica needs ``apply``,
    ``snapshot`` and ``restore`` of this object. ``on_change`` is called when the
    replicated state changed, ``on_update`` with each announcement that changed an
    endpoint.
    """

    def __init__(self, n_members: int, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self.replicated_state = ReplicatedState()
        self.registry = Registry()
        self.announced_ids: set[str] = set()
        self.relayed_ids: set[str] = set()
        """Endpoints that announced themselves again to other replicas; sent to entries
        only, since replicas that relayed them to each other would never let a
        stopped endpoint expire."""

        self.on_change: Callable[[], None] = lambda: None
        self.on_rollout_started: Callable[[Rollout], None] = lambda rollout: None
        self.on_update: Callable[[Announcement], None] = lambda announcement: None
        self.on_limit_report: Callable[[str], None] = lambda endpoint_id: None
        self.on_quarantine_report: Callable[[str], None] = lambda digest: None
        self._limit_reports: dict[str, SeenReport] = {}
        self.quarantine = Quarantine()
        self.commands = Commands(n_members, self._is_new, clock, log)
        self.orders = Orders(self.commands, clock, log)
        self.malformed = MalformedItems(clock, log)

    def _is_new(self) -> bool:
        """Return whether no configuration was accepted yet."""
        return self.replicated_state.version == 0

    # State machine

    def apply(self, index: int, encoded: bytes) -> None:
        """Apply one committed command."""
        if encoded == BARRIER:
            return
        try:
            command = decode_command(encoded)
        except ValueError as error:
            self._log.state("bad_command", index=index, error=str(error))
            return
        is_changed = self.replicated_state.apply(index, command)
        self._log.state(
            "order_applied",
            index=index,
            kind=type(command).__name__.lower(),
            subject=_subject(command),
            changed=is_changed,
        )
        if is_changed and isinstance(command, StartRollout):
            rollout = self.replicated_state.rollouts[command.service]
            self.on_rollout_started(rollout)
        self.on_change()

    def snapshot(self) -> bytes:
        """Return the replicated state as bytes."""
        return json.dumps(self.replicated_state.encode()).encode()

    def restore(self, data: bytes) -> None:
        """Replace the replicated state with a snapshot."""
        self.replicated_state = decode_replicated_state(
            json.loads(data), lambda detail: self.malformed.record("snapshot", detail)
        )
        self.on_change()

    # Announcements

    def merge_announcement(self, announcement: Announcement) -> None:
        """Merge an announcement; publish it if it changed the endpoint."""
        if self.registry.merge(announcement, self._clock()):
            self._log.state(
                "endpoint_announced",
                endpoint=announcement.endpoint_id,
                service=announcement.service,
                leaving=announcement.is_leaving,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
            )
            self.on_update(announcement)

    def merge_limit_reports(self, items: object) -> None:
        """Merge what entries saw of the endpoints' limits, and publish what is new.

        Malformed reports are skipped and counted.
        """
        now = self._clock()
        for report in self.malformed.decode_each("limits", items, decode_limit_report):
            seen = seen_report(report, now)
            announcement = self.registry.get(report.endpoint_id)
            if announcement is None or announcement.born_ms != report.born_ms:
                continue
            known = self._limit_reports.get(report.endpoint_id)
            if known is not None and not seen.supersedes(known):
                continue
            self._limit_reports[report.endpoint_id] = seen
            self.on_limit_report(report.endpoint_id)

    def limit_reports(self) -> list[LimitReport]:
        """Return the newest report on each known endpoint, with its present age."""
        now = self._clock()
        self._limit_reports = {
            k: v for k, v in self._limit_reports.items() if k in self.registry
        }
        return [seen.aged_report(now) for seen in self._limit_reports.values()]

    def merge_quarantine_reports(self, items: object) -> None:
        """Merge what entries know of requests that end servers, and publish the news.

        Malformed reports are skipped and counted.
        """
        now = self._clock()
        for digest in self.malformed.decode_each(
            "quarantine", items, lambda fields: self.quarantine.merge(fields, now)
        ):
            if digest is not None:
                self.on_quarantine_report(digest)

    def expire_quarantine(self) -> None:
        """Forget requests whose time under suspicion or in quarantine is over."""
        self.quarantine.expire(self._clock())

    def release_request(self, digest: str) -> bool:
        """Release a request from quarantine; return False if it wasn't known."""
        if not self.quarantine.clear(digest, self._clock()):
            return False
        self._log.state("request_released", digest=digest, source="operator")
        self.on_quarantine_report(digest)
        return True

    def refresh_relayed(self, endpoint_ids: Iterable[str]) -> None:
        """Record endpoints that announced themselves again to another replica."""
        now = self._clock()
        for endpoint_id in endpoint_ids:
            self.registry.renew(endpoint_id, now)
            self.relayed_ids.add(endpoint_id)

    async def announce(
        self, announcement: Announcement, timeout_ms: float
    ) -> Result[None, ErrorKind]:
        """Merge an announcement; if the endpoint is leaving, commit its departure."""
        self.announced_ids.add(announcement.endpoint_id)
        self.merge_announcement(announcement)
        if not announcement.is_leaving:
            return Ok(None)
        command = Depart(announcement.endpoint_id, announcement.born_ms)
        return await self.submit(command, timeout_ms)

    async def depart(
        self,
        endpoint_id: str,
        now_ms: int,
        timeout_ms: float,
        is_waiting: IsWaiting = _always,
    ) -> Result[None, ErrorKind]:
        """Commit the departure of the current incarnation of an endpoint.

        If its sender no longer waits, nothing is committed: the endpoint may have
        started again since, and that start isn't leaving.

        A replica that just started with an empty disk waits briefly for announcements
        from the others. An endpoint unknown to all of them is assumed to have started
        before ``now_ms``, in ms since 1970. For a known endpoint that assumption could
        match the wrong incarnations, since the clock may have jumped.
        """
        deadline = add_ms(self._clock(), timeout_ms)
        wait_until = min(deadline, add_ms(self._clock(), UNKNOWN_ENDPOINT_WAIT_MS))
        while endpoint_id not in self.registry and self._clock() < wait_until:
            await curio.sleep(UNKNOWN_ENDPOINT_POLL_MS / 1000)
        if not await is_waiting():
            return Error(ErrorKind.ABANDONED)
        known = self.registry.get(endpoint_id)
        born_ms = now_ms if known is None else known.born_ms
        remaining_timeout_ms = remaining_ms(deadline, self._clock())
        return await self.submit(Depart(endpoint_id, born_ms), remaining_timeout_ms)

    # Commands

    async def submit(
        self, command: Command, timeout_ms: float
    ) -> Result[None, ErrorKind]:
        """Commit a command.

        Ok means that it is committed, or redundant after what is committed. After an
        error it may still be committed, except after ``BODY_TOO_LARGE``, which no
        repetition changes. An evacuation isn't retried after an unknown
        outcome: a second copy could be applied after the evacuation was withdrawn.
        """
        if self._is_redundant(command):
            return Ok(None)
        deadline = add_ms(self._clock(), timeout_ms)
        is_repeatable = not isinstance(command, Evacuate | StartRollout)
        try:
            encoded = encode_command(command)
        except CommandSizeError as error:
            self._log.state("command_too_large", detail=str(error))
            return Error(ErrorKind.BODY_TOO_LARGE)
        committed = await self.commands.commit_index(encoded, deadline, is_repeatable)
        return Error(committed.error) if committed.is_error() else Ok(None)

    def _is_redundant(self, command: Command) -> bool:
        match command:
            case Configure(version, _):
                return version <= self.replicated_state.version
            case Depart(endpoint_id, born_ms):
                return self.replicated_state.has_departed(endpoint_id, born_ms)
            case Evacuate() | StartRollout() | AdvanceRollout():
                # An earlier opposite command may not have reached this replica yet.
                return False

    async def read(self, timeout_ms: float) -> Result[ReplicatedState, ErrorKind]:
        """Return a state that includes every command acknowledged before the call."""
        deadline = add_ms(self._clock(), timeout_ms)
        committed = await self.commands.commit_index(BARRIER, deadline)
        if committed.is_error():
            return Error(committed.error)
        if not await self.commands.wait_until_applied(committed.ok, deadline):
            return Error(ErrorKind.NO_QUORUM)
        return Ok(self.replicated_state)

    async def confirm(self, timeout_ms: float) -> Result[int, ErrorKind]:
        """Return the index of a state that has all commands acknowledged before.

        Unlike ``read`` this writes nothing to the log: the leader returns its commit
        index once a majority has answered a heartbeat that it sent afterwards.
        """
        deadline = add_ms(self._clock(), timeout_ms)
        confirmed = await self.commands.confirm_at_leader(timeout_ms)
        if confirmed.is_error():
            return Error(confirmed.error)
        if not await self.commands.wait_until_applied(confirmed.ok.index, deadline):
            return Error(ErrorKind.NO_QUORUM)
        return Ok(self.replicated_state.index)


def _subject(command: Command) -> str:
    match command:
        case Configure(version, _):
            return str(version)
        case Evacuate(zone, is_out):
            return f"{zone}:{'out' if is_out else 'in'}"
        case Depart(endpoint_id, born_ms):
            return f"{endpoint_id}:{born_ms}"
        case StartRollout(service, target_version):
            return f"{service}:{target_version}"
        case AdvanceRollout(service, _, stage, share):
            return f"{service}:{stage.value}:{share:.3f}"
