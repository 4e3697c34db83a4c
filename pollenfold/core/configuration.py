"""The replicated configuration: versioned records, change ids, snapshots, views.

Replicas of different releases apply the same log, so ``apply_change`` looks only at
the kind, name and version of a record. The operator interface validates the rest
before a change enters the log.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import xxhash

from .errors import ErrorKind
from .records import (
    EndpointSpec,
    FleetSpec,
    RecordKind,
    ServiceSpec,
    ZoneSpec,
)

MAX_RESULTS = 4096
"""Results kept for resent changes: more than five days at 730 changes a day."""

DEFAULT_MAX_ENTRIES = 19
"""Limit on entries while no fleet record is stored."""

Spec = ServiceSpec | ZoneSpec | FleetSpec | EndpointSpec
RecordKey = tuple[str, str]
"""Kind and name of a record."""

_ID_LENGTH = struct.Struct(">H")


@dataclass(frozen=True, slots=True)
class Change:
    """A record to store, and the change id that identifies resends of the change."""

    change_id: str
    record: bytes


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The result of one change; ``error`` is None if the change was accepted.

    ``revision`` is the revision of the configuration after the change, and
    ``digest`` identifies the record that the change carried.
    """

    change_id: str
    revision: int
    error: ErrorKind | None
    detail: str
    digest: int


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as written, and the revision at which it was stored."""

    kind: str
    name: str
    version: int
    revision: int
    data: bytes


@dataclass(slots=True)
class ConfigurationState:
    """The whole replicated state. Records are never deleted."""

    revision: int = 0
    records: dict[RecordKey, StoredRecord] = field(default_factory=dict)
    results: dict[str, ChangeResult] = field(default_factory=dict)


def encode_change(change: Change) -> bytes:
    """Return a change as the command of one log entry."""
    change_id = change.change_id.encode()
    return _ID_LENGTH.pack(len(change_id)) + change_id + change.record


def decode_change(command: bytes) -> Change:
    """Decode the command of one log entry; raise ValueError when it is malformed."""
    if len(command) < _ID_LENGTH.size:
        raise ValueError(f"expected a change, got {len(command)} bytes")
    (n_id_bytes,) = _ID_LENGTH.unpack_from(command)
    end = _ID_LENGTH.size + n_id_bytes
    if len(command) < end:
        raise ValueError(f"expected a change id of {n_id_bytes} bytes, got fewer")
    return Change(command[_ID_LENGTH.size : end].decode(), command[end:])


def apply_change(state: ConfigurationState, change: Change) -> ChangeResult:
    """Apply one committed change and return its result.

    A change is accepted only when its version is the stored version plus one. A
    repeated change id returns its first result and changes nothing; with a different
    record the error is ``BAD_REQUEST``.
    """
    digest = xxhash.xxh3_64_intdigest(change.record)
    first_result = state.results.get(change.change_id)
    if first_result is not None:
        if first_result.digest == digest:
            return first_result
        detail = f"change id {change.change_id} was used for another record"
        return ChangeResult(
            change.change_id, state.revision, ErrorKind.BAD_REQUEST, detail, digest
        )
    result = _apply_new_change(state, change, digest)
    state.results[change.change_id] = result
    while len(state.results) > MAX_RESULTS:
        del state.results[next(iter(state.results))]
    return result


def _apply_new_change(
    state: ConfigurationState, change: Change, digest: int
) -> ChangeResult:
    try:
        fields = json.loads(change.record)
        kind, name, version = fields["kind"], fields["name"], fields["version"]
    except (ValueError, KeyError, TypeError, RecursionError):
        kind = name = version = None
    if not (type(kind) is str and type(name) is str and type(version) is int):
        return ChangeResult(
            change.change_id,
            state.revision,
            ErrorKind.BAD_RECORD,
            "expected a JSON object with kind, name and version",
            digest,
        )
    stored = state.records.get((kind, name))
    expected = 1 if stored is None else stored.version + 1
    if version != expected:
        detail = f"{kind} {name}: got version {version}, expected version {expected}"
        return ChangeResult(
            change.change_id,
            state.revision,
            ErrorKind.VERSION_CONFLICT,
            detail,
            digest,
        )
    state.revision += 1
    state.records[kind, name] = StoredRecord(
        kind, name, version, state.revision, change.record
    )
    return ChangeResult(change.change_id, state.revision, None, "", digest)


def records_since(state: ConfigurationState, revision: int) -> list[StoredRecord]:
    """Return the records stored after the revision, oldest first."""
    if revision >= state.revision:
        return []
    changed = [
        record for record in state.records.values() if record.revision > revision
    ]
    return sorted(changed, key=lambda record: record.revision)


def encode_state(state: ConfigurationState) -> bytes:
    """Return the whole state as bytes, for a snapshot."""
    return json.dumps(
        {
            "revision": state.revision,
            "records": [
                [
                    record.kind,
                    record.name,
                    record.version,
                    record.revision,
                    record.data.decode("latin-1"),
                ]
                for record in state.records.values()
            ],
            "answers": [
                [
                    result.change_id,
                    result.revision,
                    result.error.value if result.error else None,
                    result.detail,
                    result.digest,
                ]
                for result in state.results.values()
            ],
        },
        separators=(",", ":"),
    ).encode()


def decode_state(data: bytes) -> ConfigurationState:
    """Decode a state encoded by ``encode_state``."""
    fields: dict[str, Any] = json.loads(data)
    state = ConfigurationState(revision=fields["revision"])
    for kind, name, version, revision, text in fields["records"]:
        state.records[kind, name] = StoredRecord(
            kind, name, version, revision, text.encode("latin-1")
        )
    for change_id, revision, error, detail, digest in fields["answers"]:
        kind = ErrorKind(error) if error else None
        state.results[change_id] = ChangeResult(
            change_id, revision, kind, detail, digest
        )
    return state


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """The configuration at one revision, parsed for request routing.

    ``services`` are sorted by path prefix, longest first. ``drained`` holds the
    endpoints, named ``ip:port``, that operators have drained.
    """

    revision: int = 0
    services: tuple[ServiceSpec, ...] = ()
    zones: Mapping[str, ZoneSpec] = field(default_factory=dict)
    fleet: FleetSpec = FleetSpec(DEFAULT_MAX_ENTRIES)
    drained: frozenset[str] = frozenset()

    def find_service(self, path: str) -> ServiceSpec | None:
        """Return the service with the longest path prefix of whole segments.

        For example, ``/shop`` covers ``/shop`` and ``/shop/cart`` but not
        ``/shopping``.
        """
        for service in self.services:
            prefix = service.path_prefix.rstrip("/")
            if path.startswith(prefix) and path[len(prefix) : len(prefix) + 1] in "/":
                return service
        return None

    def is_zone_in_service(self, name: str) -> bool:
        """Return whether the zone is in service; one without a record is."""
        zone = self.zones.get(name)
        return zone is None or zone.is_in_service


def build_view(revision: int, specs: Iterable[Spec]) -> ConfigurationView:
    """Build the view of the given specs at the revision."""
    services: list[ServiceSpec] = []
    zones: dict[str, ZoneSpec] = {}
    fleet = FleetSpec(DEFAULT_MAX_ENTRIES)
    drained: set[str] = set()
    for spec in specs:
        if isinstance(spec, ServiceSpec):
            services.append(spec)
        elif isinstance(spec, ZoneSpec):
            zones[spec.name] = spec
        elif isinstance(spec, FleetSpec):
            fleet = spec
        elif spec.is_drained:
            drained.add(spec.name)
    # ``find_service`` returns the first match, so longer prefixes come first.
    services.sort(key=lambda service: (-len(service.path_prefix), service.name))
    return ConfigurationView(
        revision, tuple(services), zones, fleet, frozenset(drained)
    )


def record_key(kind: RecordKind, name: str) -> RecordKey:
    """Return the key of a record: its kind and name."""
    return kind.value, name
