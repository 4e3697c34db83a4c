"""The control leader's view of the entries: leases, revisions, leave notices."""

from __future__ import annotations

from dataclasses import dataclass

from .clock import Instant, add_ms
from .errors import ErrorKind, Failure

LEASE_MS = 2000.0
"""Bounds how long a partitioned entry accepts requests under an old configuration."""

LEASE_MARGIN_MS = 50.0
"""Covers clock rate differences: 2.5% of a lease, far above any real clock drift."""

NOTICE_RETENTION_MS = 60_000.0
"""How long a leave notice is distributed; by then its endpoint has expired."""

MAX_EPOCH_CHANGES = 1 << 24


@dataclass(frozen=True, slots=True)
class LiveEntry:
    """An entry and its addresses.

    ``incarnation`` distinguishes processes with the same id; a later process has a
    higher value.
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
    """This incarnation of the endpoint ``ip:port`` left the service."""

    endpoint: str
    service: str
    incarnation: int


@dataclass(slots=True)
class _Lease:
    entry: LiveEntry
    expires_at: Instant
    acknowledged_revision: int


@dataclass(frozen=True, slots=True)
class _StoredNotice:
    notice: LeaveNotice
    left_at: Instant
    sequence: int


class LeaveNotices:
    """The latest leave notice of each endpoint, kept for ``NOTICE_RETENTION_MS``.

    Each new notice gets the next sequence number.
    """

    def __init__(self) -> None:
        self._notices: dict[str, _StoredNotice] = {}
        self.sequence = 0

    def add(self, notice: LeaveNotice, age_ms: float, now: Instant) -> bool:
        """Store a notice of the given age; return whether it was stored.

        A notice is ignored if its age is out of range, or if one of the same or a later
        incarnation of the endpoint is stored.
        """
        if not 0 <= age_ms < NOTICE_RETENTION_MS:
            return False
        previous = self._notices.get(notice.endpoint)
        if previous is not None and previous.notice.incarnation >= notice.incarnation:
            return False
        self.sequence += 1
        left_at = Instant(now - age_ms)
        # Removing the key first keeps the dictionary sorted by sequence number.
        self._notices.pop(notice.endpoint, None)
        self._notices[notice.endpoint] = _StoredNotice(notice, left_at, self.sequence)
        return True

    def since(
        self, sequence: int, now: Instant
    ) -> list[tuple[int, LeaveNotice, float]]:
        """Return the notices after ``sequence``, each with its number and age in ms."""
        self._drop_expired(now)
        return [
            (kept.sequence, kept.notice, now - kept.left_at)
            for kept in self._notices.values()
            if kept.sequence > sequence
        ]

    def _drop_expired(self, now: Instant) -> None:
        expired = [
            endpoint
            for endpoint, kept in self._notices.items()
            if now - kept.left_at >= NOTICE_RETENTION_MS
        ]
        for endpoint in expired:
            del self._notices[endpoint]


class EntryDirectory:
    """The leases that one control leader granted.

    ``epoch`` is higher for every later leader. A new leader doesn't know the leases
    that the previous one granted. Until the last of these has expired the leader is
    not *settled*: it reports no revision as in force, publishes no directory, and
    grants leases only to entries that still hold one.
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
        self._in_force_revision = 0

    def is_settled(self, now: Instant) -> bool:
        """Return whether every lease of the previous leader has expired."""
        return now >= self._settled_at

    def published_revision(self, now: Instant) -> int:
        """Return the revision of the directory, or 0 while the leader isn't settled.

        Revisions increase from one leader to the next.
        """
        if not self.is_settled(now):
            return 0
        return self.epoch * MAX_EPOCH_CHANGES + self._n_changes

    def live_entries(self) -> tuple[LiveEntry, ...]:
        """Return the entries with a lease, one per id, sorted by id."""
        return tuple(self._published[name] for name in sorted(self._published))

    def expire(self, now: Instant) -> bool:
        """Remove expired leases; return whether the directory changed."""
        expired = [
            key for key, lease in self._leases.items() if now >= lease.expires_at
        ]
        for key in expired:
            del self._leases[key]
        return bool(expired) and self._publish()

    def check_lease(
        self,
        entry: LiveEntry,
        holds_lease: bool,
        max_entries: int,
        admits_new: bool,
        now: Instant,
    ) -> Failure | None:
        """Return why the entry is refused a lease, or None if it may have one.

        ``admits_new`` is false while a change of ``max_entries`` isn't in force yet,
        because the entries still divide budgets by different numbers.
        """
        self.expire(now)
        for lease in self._leases.values():
            leased = lease.entry
            if leased.entry_id == entry.entry_id:
                if leased.incarnation > entry.incarnation:
                    detail = f"a later process has the entry id {entry.entry_id}"
                    return Failure(ErrorKind.BAD_REQUEST, detail)
        key = (entry.entry_id, entry.incarnation)
        if key in self._leases:
            # After the limit is lowered, the most recently added entries are refused.
            n_before = list(self._leases).index(key)
        elif not self.is_settled(now) and not holds_lease:
            return Failure(
                ErrorKind.NOT_READY,
                "the leader is new",
            )
        elif self.is_settled(now) and not admits_new:
            return Failure(ErrorKind.NOT_READY, "the fleet record is not in force yet")
        else:
            n_before = len(self._leases)
        if n_before >= max_entries:
            return Failure(ErrorKind.FLEET_FULL, f"max_entries is {max_entries}")
        return None

    def grant(self, entry: LiveEntry, acknowledged_revision: int, now: Instant) -> bool:
        """Grant or renew a lease from now on; return whether the directory changed."""
        expires_at = add_ms(now, self.lease_ms + LEASE_MARGIN_MS)
        key = (entry.entry_id, entry.incarnation)
        lease = self._leases.get(key)
        if lease is None:
            self._leases[key] = _Lease(entry, expires_at, acknowledged_revision)
            return self._publish()
        lease.expires_at = max(lease.expires_at, expires_at)
        lease.acknowledged_revision = max(
            lease.acknowledged_revision, acknowledged_revision
        )
        if lease.entry != entry:
            lease.entry = entry
            return self._publish()
        return False

    def acknowledge(self, entry: LiveEntry, acknowledged_revision: int) -> None:
        """Record the revision that an entry with a lease has applied."""
        lease = self._leases.get((entry.entry_id, entry.incarnation))
        if lease is not None:
            lease.acknowledged_revision = max(
                lease.acknowledged_revision, acknowledged_revision
            )

    def in_force_revision(self, revision: int, now: Instant) -> int:
        """Return the highest revision in force; ``revision`` is the newest one.

        It never decreases: an entry that returns with an older revision gets no lease
        before it has applied the newest one.
        """
        self.expire(now)
        if self.is_settled(now):
            lowest_acknowledged = min(
                (lease.acknowledged_revision for lease in self._leases.values()),
                default=revision,
            )
            self._in_force_revision = max(
                self._in_force_revision, min(lowest_acknowledged, revision)
            )
        return self._in_force_revision

    def entries_behind(self, revision: int, now: Instant) -> list[str]:
        """Return the ids of leased entries that have applied only an older revision."""
        self.expire(now)
        outdated = {
            lease.entry.entry_id
            for lease in self._leases.values()
            if lease.acknowledged_revision < revision
        }
        return sorted(outdated)

    def _publish(self) -> bool:
        published: dict[str, LiveEntry] = {}
        for lease in self._leases.values():
            listed = published.get(lease.entry.entry_id)
            if listed is None or listed.incarnation < lease.entry.incarnation:
                published[lease.entry.entry_id] = lease.entry
        if published == self._published:
            return False
        self._published = published
        self._n_changes += 1
        return True
