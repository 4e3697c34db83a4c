"""The configuration lease that an entry holds."""

from __future__ import annotations

from .clock import Instant, add_ms, remaining_ms


class Lease:
    """Allows new work until an instant of the entry's monotonic clock.

    The lease counts from when the request for it was sent, so it always ends before
    the control leader, which counts from its response, sees it end.
    """

    def __init__(self) -> None:
        self._until: Instant | None = None
        self._revision = 0
        self._since = Instant(float("-inf"))

    @property
    def revision(self) -> int:
        """The highest configuration revision that this entry has applied."""
        return self._revision

    @property
    def since(self) -> Instant:
        """When the present unbroken lease began."""
        return self._since

    def is_valid(self, now: Instant) -> bool:
        """Return whether the entry may take new work."""
        return self._until is not None and now < self._until

    def remaining_ms(self, now: Instant) -> float:
        """Return the time in milliseconds until the lease ends."""
        return 0.0 if self._until is None else remaining_ms(self._until, now)

    def advance(self, revision: int) -> bool:
        """Note that the revision was applied; False for one that isn't newer."""
        if revision <= self._revision:
            return False
        self._revision = revision
        return True

    def renew(
        self, sent_at: Instant, lease_ms: float, leader_revision: int, now: Instant
    ) -> bool:
        """Extend the lease by a response; return whether it counts.

        The leader reports a revision in force without waiting for an entry whose
        lease has ended. Such an entry starts a new lease only after it applied the
        leader's revision; an unbroken lease may be extended before that.
        """
        if not self.is_valid(now):
            if self._revision < leader_revision:
                return False
            self._since = now
        until = add_ms(sent_at, lease_ms)
        if self._until is None or until > self._until:
            self._until = until
        return self.is_valid(now)
