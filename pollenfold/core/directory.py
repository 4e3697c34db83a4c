"""The control leader's view of the entries: leases, revisions, leave notices."""

from __future__ import annotations

from dataclasses import dataclass

from .clock import Instant, add_ms
from .errors import ErrorKind, Failure

LEASE_MS = 2000.0
"""Bounds how long a partitioned entry takes work under an old configuration."""

LEASE_MARGIN_MS = 50.0
"""Covers clocks that differ in rate: 2.5% of a lease, far above any real one."""

NOTICE_KEPT_MS = 60_000.0
"""How long a leave notice is passed on; by then its endpoint has expired."""

MAX_EPOCH_CHANGES = 1 << 24


@dataclass(frozen=True, slots=True)
class LiveEntry:
    """An entry and its addresses.

    ``incarnation`` tells two processes with the same id apart; the later one has
    the higher value.
    """

    entry_id: str
    incarnation: int
    host: str
    caller_port: int
    platform_port: int
    peer_port: int
    zone: str


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """The endpoint ``ip:port`` left the service in this incarnation."""

    endpoint: str
    service: str
    incarnation: int


@dataclass(slots=True)
class _Lease:
    entry: LiveEntry
    until: Instant
    acknowledged: int


@dataclass(frozen=True, slots=True)
class _Notice:
    notice: LeaveNotice
    noted_at: Instant
    sequence: int


class LeaveNotices:
    """The latest leave notice of each endpoint, kept for 60 s.

    Each new notice gets the next sequence number.
    """

    def __init__(self) -> None:
        self._notices: dict[str, _Notice] = {}
        self.sequence = 0

    def add(self, notice: LeaveNotice, age_ms: float, now: Instant) -> bool:
        """Keep a notice of the given age; return whether it is new."""
        if not 0 <= age_ms < NOTICE_KEPT_MS:
            return False
        known = self._notices.get(notice.endpoint)
        if known is not None and known.notice.incarnation >= notice.incarnation:
            return False
        self.sequence += 1
        noted_at = Instant(now - age_ms)
        # Removing the key first keeps the dictionary in the order of the sequence.
        self._notices.pop(notice.endpoint, None)
        self._notices[notice.endpoint] = _Notice(notice, noted_at, self.sequence)
        return True

    def since(
        self, sequence: int, now: Instant
    ) -> list[tuple[int, LeaveNotice, float]]:
        """Return sequence, notice and age in ms of the notices after the sequence."""
        self._drop_old(now)
        return [
            (kept.sequence, kept.notice, now - kept.noted_at)
            for kept in self._notices.values()
            if kept.sequence > sequence
        ]

    def _drop_old(self, now: Instant) -> None:
        old = [
            endpoint
            for endpoint, kept in self._notices.items()
            if now - kept.noted_at >= NOTICE_KEPT_MS
        ]
        for endpoint in old:
            del self._notices[endpoint]


class EntryDirectory:
    """The leases that one control leader granted.

    ``epoch`` is higher for every later leader. A new leader doesn't know the leases
    that the previous one granted; until the last of these has ended it is not
    *settled*: it reports nothing in force, publishes no directory, and grants leases
    only to entries that still hold one.
    """

    def __init__(
        self, epoch: int, leader_since: Instant, lease_ms: float = LEASE_MS
    ) -> None:
        self.epoch = epoch
        self.lease_ms = lease_ms
        self.notices = LeaveNotices()
        self._settled_at = add_ms(leader_since, lease_ms + LEASE_MARGIN_MS)
        self._leases: dict[tuple[str, int], _Lease] = {}
        self._published: dict[str, LiveEntry] = {}
        self._n_changes = 1
        self._in_force = 0

    def is_settled(self, now: Instant) -> bool:
        """Return whether every lease of the previous leader has ended."""
        return now >= self._settled_at

    def published_revision(self, now: Instant) -> int:
        """Return the revision of the directory, or 0 while it isn't known yet.

        Revisions rise from one leader to the next.
        """
        if not self.is_settled(now):
            return 0
        return self.epoch * MAX_EPOCH_CHANGES + self._n_changes

    def live_entries(self) -> tuple[LiveEntry, ...]:
        """Return the entries with a lease, one for each id, ordered by id."""
        return tuple(self._published[name] for name in sorted(self._published))

    def expire(self, now: Instant) -> bool:
        """Drop leases that have ended; return whether the directory changed."""
        ended = [key for key, lease in self._leases.items() if now >= lease.until]
        for key in ended:
            del self._leases[key]
        return bool(ended) and self._publish()

    def check(
        self,
        entry: LiveEntry,
        holds_lease: bool,
        max_entries: int,
        admits_new: bool,
        now: Instant,
    ) -> Failure | None:
        """Return why the entry gets no lease, or None when it gets one.

        ``admits_new`` is false while a change of ``max_entries`` isn't in force:
        entries then still divide budgets by different numbers.
        """
        self.expire(now)
        for lease in self._leases.values():
            other = lease.entry
            if other.entry_id == entry.entry_id:
                if other.incarnation > entry.incarnation:
                    detail = f"a later process has the entry id {entry.entry_id}"
                    return Failure(ErrorKind.BAD_REQUEST, detail)
        key = (entry.entry_id, entry.incarnation)
        if key in self._leases:
            # Those that came last give way when the limit was lowered.
            n_before = list(self._leases).index(key)
        elif not self.is_settled(now) and not holds_lease:
            return Failure(ErrorKind.NOT_READY, "the leader is new")
        elif self.is_settled(now) and not admits_new:
            return Failure(ErrorKind.NOT_READY, "the fleet record is not in force yet")
        else:
            n_before = len(self._leases)
        if n_before >= max_entries:
            return Failure(ErrorKind.FLEET_FULL, f"max_entries is {max_entries}")
        return None

    def grant(self, entry: LiveEntry, acknowledged: int, now: Instant) -> bool:
        """Note a lease that starts now; return whether the directory changed."""
        until = add_ms(now, self.lease_ms + LEASE_MARGIN_MS)
        key = (entry.entry_id, entry.incarnation)
        lease = self._leases.get(key)
        if lease is None:
            self._leases[key] = _Lease(entry, until, acknowledged)
            return self._publish()
        lease.until = max(lease.until, until)
        lease.acknowledged = max(lease.acknowledged, acknowledged)
        if lease.entry != entry:
            lease.entry = entry
            return self._publish()
        return False

    def acknowledge(self, entry: LiveEntry, acknowledged: int) -> None:
        """Note the revision that an entry with a lease has applied."""
        lease = self._leases.get((entry.entry_id, entry.incarnation))
        if lease is not None:
            lease.acknowledged = max(lease.acknowledged, acknowledged)

    def in_force_revision(self, revision: int, now: Instant) -> int:
        """Return the highest revision in force; ``revision`` is the newest one.

        It never falls: an entry that comes back with an older revision gets no
        lease before it has applied the newest one.
        """
        self.expire(now)
        if self.is_settled(now):
            lowest = min(
                (lease.acknowledged for lease in self._leases.values()),
                default=revision,
            )
            self._in_force = max(self._in_force, min(lowest, revision))
        return self._in_force

    def entries_behind(self, revision: int, now: Instant) -> list[str]:
        """Return the ids of entries with a lease that have an older revision."""
        self.expire(now)
        behind = {
            lease.entry.entry_id
            for lease in self._leases.values()
            if lease.acknowledged < revision
        }
        return sorted(behind)

    def _publish(self) -> bool:
        published: dict[str, LiveEntry] = {}
        for lease in self._leases.values():
            known = published.get(lease.entry.entry_id)
            if known is None or known.incarnation < lease.entry.incarnation:
                published[lease.entry.entry_id] = lease.entry
        if published == self._published:
            return False
        self._published = published
        self._n_changes += 1
        return True
