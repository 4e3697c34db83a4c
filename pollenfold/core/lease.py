"""The configuration lease that an entry holds."""

from __future__ import annotations

from .clock import Instant, add_ms, remaining_ms


class Lease:
    """Allows new work until an expiry time on the entry's monotonic clock.

    The duration counts from when the entry sent the request. The control leader counts
    it from its response, so the lease always expires at the entry first.
    """

    def __init__(self) -> None:
        self._expires_at: Instant | None = None
        self._revision = 0
        self._started_at = Instant(float("-inf"))

    @property
    def revision(self) -> int:
        """The highest configuration revision that this entry has applied."""
        return self._revision

    @property
    def started_at(self) -> Instant:
        """When the current lease, renewed without a gap, began."""
        return self._started_at

    def is_valid(self, now: Instant) -> bool:
        """Return whether the entry may accept new work."""
        return self._expires_at is not None and now < self._expires_at

    def remaining_ms(self, now: Instant) -> float:
        """Return the time in milliseconds until the lease expires."""
        return 0.0 if self._expires_at is None else remaining_ms(self._expires_at, now)

    def advance_revision(self, revision: int) -> bool:
        """Record an applied revision; return False if it isn't newer."""
        if revision <= self._revision:
            return False
        self._revision = revision
        return True

    def renew(
        self, sent_at: Instant, lease_ms: float, leader_revision: int, now: Instant
    ) -> bool:
        """Extend the lease with a response; return whether the lease is valid.

        The leader reports a revision as being in force without waiting for entries
        whose lease has expired. Such an entry starts a new lease only after it has
        applied the leader's revision; a valid lease may be extended before that.
        """
        if not self.is_valid(now):
            if self._revision < leader_revision:
                return False
            self._started_at = now
        expires_at = add_ms(sent_at, lease_ms)
        if self._expires_at is None or expires_at > self._expires_at:
            self._expires_at = expires_at
        return self.is_valid(now)
