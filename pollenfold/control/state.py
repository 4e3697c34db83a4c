"""The configuration state machine of a control replica, and its leadership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import curio
from expression import Error, Ok, Result
from loguru import logger

from ..core.clock import Clock, Instant, add_ms
from ..core.configuration import (
    DEFAULT_MAX_ENTRIES,
    Change,
    ChangeResult,
    ConfigurationState,
    apply_change,
    decode_change,
    decode_state,
    encode_change,
    encode_state,
)
from ..core.directory import LEASE_MS, EntryDirectory
from ..core.errors import ErrorKind
from ..core.records import FleetSpec, RecordKind
from ..records.models import FLEET_NAME
from ..records.parsing import parse_record

TICK_MS = 100.0
"""Polling interval; bounds the delay until an election or expired lease is noticed."""

BARRIER = b"\0"
"""A no-op command; it is shorter than any encoded change, so unambiguous."""

BARRIER_TIMEOUT_MS = 1000.0


class ReplicaInterface(Protocol):
    """The operations of the log replica that the control daemon uses."""

    async def propose(
        self, command: bytes, timeout_ms: float
    ) -> Result[int, ErrorKind]:
        """Append a command; return its index once it is committed."""
        ...

    def is_leader(self) -> bool:
        """Return whether this replica leads and no other one can be leader now."""
        ...

    def leader_id(self) -> str | None:
        """Return the id of the leader, if known."""
        ...

    def leader_since(self) -> Instant | None:
        """Return when this replica became leader."""
        ...

    def applied_index(self) -> int:
        """Return the index of the last applied command."""
        ...

    def status(self) -> dict[str, Any]:
        """Return the status fields for operators."""
        ...


class ChangeNotifier:
    """Notifies the tasks that wait for a change."""

    def __init__(self) -> None:
        self._event = curio.Event()

    async def notify(self) -> None:
        """Wake all tasks that are waiting."""
        event, self._event = self._event, curio.Event()
        await event.set()

    async def wait(self, timeout_ms: float) -> None:
        """Return at the next notification, or after the timeout."""
        await curio.ignore_after(timeout_ms / 1000, self._event.wait())


@dataclass(frozen=True, slots=True)
class Leadership:
    """A period in which this replica leads and has every accepted change."""

    since: Instant
    directory: EntryDirectory


class ControlState:
    """Applies the log and keeps the entry directory while this replica leads.

    ``replica`` is set after construction, since the replica needs ``apply``,
    ``snapshot`` and ``restore`` of this object.
    """

    def __init__(self, clock: Clock, lease_ms: float = LEASE_MS) -> None:
        self.clock = clock
        self.lease_ms = lease_ms
        self.configuration = ConfigurationState()
        self.notifier = ChangeNotifier()
        self.replica: ReplicaInterface
        self._leadership: Leadership | None = None
        self._limit: tuple[int, int, int] = (-1, DEFAULT_MAX_ENTRIES, 0)

    def apply(self, index: int, command: bytes) -> None:
        """Apply one committed command."""
        if command == BARRIER:
            return
        try:
            change = decode_change(command)
        except ValueError as error:
            logger.error("event=bad_command index={} error={!r}", index, error)
            return
        apply_change(self.configuration, change)

    def snapshot(self) -> bytes:
        """Return the configuration state as bytes."""
        return encode_state(self.configuration)

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot."""
        self.configuration = decode_state(data)

    def leadership(self) -> Leadership | None:
        """Return the leadership, or None while this replica can't act as leader."""
        leadership = self._leadership
        if leadership is None or not self.replica.is_leader():
            return None
        return leadership if leadership.since == self.replica.leader_since() else None

    async def submit(
        self, change: Change, timeout_ms: float
    ) -> Result[ChangeResult, ErrorKind]:
        """Propose a change and return its outcome once it is committed."""
        known = self.configuration.results.get(change.change_id)
        if known is not None:
            # For a retried change, apply_change returns the first outcome and changes
            # nothing.
            return Ok(apply_change(self.configuration, change))
        deadline = add_ms(self.clock(), timeout_ms)
        result = await self.replica.propose(encode_change(change), timeout_ms)
        if result.is_error():
            return Error(result.error)
        while self.replica.applied_index() < result.ok:
            if self.clock() >= deadline:
                return Error(ErrorKind.NO_QUORUM)
            await curio.sleep(TICK_MS / 1000)
        await self.notifier.notify()
        if change.change_id not in self.configuration.results:
            return Error(ErrorKind.NO_QUORUM)
        return Ok(apply_change(self.configuration, change))

    def max_entries(self) -> tuple[int, int]:
        """Return the limit of entries and the revision that set it."""
        revision = self.configuration.revision
        if self._limit[0] != revision:
            self._limit = (revision, *self._read_limit())
        return self._limit[1:]

    def _read_limit(self) -> tuple[int, int]:
        key = (RecordKind.FLEET.value, FLEET_NAME)
        stored = self.configuration.records.get(key)
        if stored is not None:
            parsed = parse_record(stored.data, is_stored=True)
            if parsed.is_ok() and isinstance(parsed.ok.spec, FleetSpec):
                return parsed.ok.spec.max_entries, stored.revision
        return DEFAULT_MAX_ENTRIES, 0

    async def run(self) -> None:
        """Track elections and expired leases until cancelled."""
        seen: tuple[int, int] | None = None
        while True:
            await self._follow_leadership()
            leadership = self._leadership
            published = 0
            if leadership is not None:
                leadership.directory.expire(self.clock())
                published = leadership.directory.published_revision(self.clock())
            if seen != (self.configuration.revision, published):
                seen = (self.configuration.revision, published)
                await self.notifier.notify()
            await curio.sleep(TICK_MS / 1000)

    async def _follow_leadership(self) -> None:
        """Start a leadership once a barrier is committed and applied.

        The barrier's index, which becomes the epoch, is higher than that of any earlier
        leader. Once it is applied, this replica has every change that an earlier leader
        reported as in force.
        """
        since = self.replica.leader_since()
        if since is None or not self.replica.is_leader():
            return
        if self._leadership is not None and self._leadership.since == since:
            return
        self._leadership = None
        result = await self.replica.propose(BARRIER, BARRIER_TIMEOUT_MS)
        if result.is_error():
            return
        while self.replica.applied_index() < result.ok:
            if not self.replica.is_leader():
                return
            await curio.sleep(TICK_MS / 1000)
        if self.replica.leader_since() != since:
            return
        directory = EntryDirectory(result.ok, since, self.lease_ms)
        self._leadership = Leadership(since, directory)
        logger.info("event=leader_ready epoch={}", result.ok)
