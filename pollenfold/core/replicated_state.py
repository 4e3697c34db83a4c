"""Commands of the replicated log: configuration, evacuations, departures.

Control replicas agree on the order of the commands. Applying a command is
deterministic, so all replicas hold the same replicated state at the same log index.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from reprlib import repr as short_repr
from typing import Any

from .agreement.log import MAX_COMMAND_BYTES
from .compression import compress, decompress

MAX_PLAIN_COMMAND_BYTES = 4 << 20
"""The largest command before compression. It bounds what a replica decompresses, and
keeps a line with the replicated state below the limit of the feeds."""

COMPRESS_ABOVE_BYTES = 1 << 19
"""Earlier versions accept uncompressed commands up to this size, and no larger ones, so
whatever they accept stays readable for them."""

COMPRESSED_PREFIX = b"\x00zlib\x00"
"""The prefix of a compressed command; JSON doesn't start with these bytes."""

EVACUATE_PREFIX = b'["evacuate",'

MAX_DEPARTURES = 1_000
"""Departures kept; older ones belong to endpoints that no longer announce."""


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


Command = Configure | Evacuate | Depart


class CommandSizeError(ValueError):
    """A command is too large for the replicated log."""


def encode_command(command: Command) -> bytes:
    """Return the command as the bytes of a log entry, compressed if it is large.

    Raise CommandSizeError if it has more than ``MAX_PLAIN_COMMAND_BYTES``, or more
    than ``MAX_COMMAND_BYTES`` after compression.
    """
    match command:
        case Configure(version, document):
            fields: list[Any] = ["configure", version, document]
        case Evacuate(zone, is_out):
            fields = ["evacuate", zone, is_out]
        case Depart(endpoint_id, born_ms):
            fields = ["depart", endpoint_id, born_ms]
    encoded = json.dumps(fields, separators=(",", ":")).encode()
    if len(encoded) > MAX_PLAIN_COMMAND_BYTES:
        raise CommandSizeError(
            f"expected a command of at most {MAX_PLAIN_COMMAND_BYTES} bytes, "
            f"got {len(encoded)}"
        )
    if len(encoded) <= COMPRESS_ABOVE_BYTES:
        return encoded
    compressed = COMPRESSED_PREFIX + compress(encoded)
    if len(compressed) > MAX_COMMAND_BYTES:
        raise CommandSizeError(
            f"expected a command of at most {MAX_COMMAND_BYTES} bytes after "
            f"compression, got {len(compressed)}"
        )
    return compressed


def is_evacuation_of(zone: str, encoded: bytes) -> bool:
    """Return whether an entry of the log evacuates a zone or takes it back."""
    # Configurations are large, so only what begins like an evacuation is decoded.
    if not encoded.startswith(EVACUATE_PREFIX):
        return False
    try:
        command = decode_command(encoded)
    except ValueError:
        return False
    return isinstance(command, Evacuate) and command.zone == zone


def decode_command(command: bytes) -> Command:
    """Decode a command; raise ValueError if the bytes are not a valid command.

    A command within the log may exceed the limits of ``input_limits``: if replicas of
    an earlier version apply it, those of this version must do so too.
    """
    if command.startswith(COMPRESSED_PREFIX):
        compressed = command[len(COMPRESSED_PREFIX) :]
        command = decompress(compressed, MAX_PLAIN_COMMAND_BYTES)
    try:
        match json.loads(command):
            case ["configure", int(version), str(document)]:
                return Configure(version, document)
            case ["evacuate", str(zone), bool(is_out)]:
                return Evacuate(zone, is_out)
            case ["depart", str(endpoint_id), int(born_ms)]:
                return Depart(endpoint_id, born_ms)
    except (UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
    raise ValueError("expected a command of the replicated log")


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

    def _record_departure(self, endpoint_id: str, born_ms: int) -> bool:
        if self.has_departed(endpoint_id, born_ms):
            return False
        self.departures.pop(endpoint_id, None)
        self.departures[endpoint_id] = born_ms
        self.departure_indices[endpoint_id] = self.index
        self._drop_oldest_departures()
        return True

    def _drop_oldest_departures(self) -> None:
        while len(self.departures) > MAX_DEPARTURES:
            oldest = next(iter(self.departures))
            del self.departures[oldest]
            self.departure_indices.pop(oldest, None)

    def has_departed(self, endpoint_id: str, born_ms: int) -> bool:
        """Return whether this incarnation of an endpoint is leaving or has left."""
        return self.departures.get(endpoint_id, -1) >= born_ms

    def encode(self) -> dict[str, Any]:
        """Return the replicated state as JSON values."""
        return {
            "index": self.index,
            "version": self.version,
            "document": self.document,
            "evacuated": sorted(self.evacuated),
            "departures": self.departures,
        }

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
        return state

    def _has_same_version(self, fields: dict[str, Any]) -> bool:
        return int(fields["version"]) == self.version


def decode_replicated_state(
    fields: dict[str, Any], on_malformed: OnMalformed = _ignore
) -> ReplicatedState:
    """Decode a replicated state encoded by ``ReplicatedState.encode``.

    Call ``on_malformed`` for each zone or departure that is left out since it is
    malformed. Raise KeyError, ValueError or TypeError if other fields are.
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
    return ReplicatedState(
        index,
        int(fields["version"]),
        str(fields["document"]),
        frozenset(evacuated),
        departures,
        dict.fromkeys(departures, index),
    )
