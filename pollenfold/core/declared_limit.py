"""The limit on requests per second that a backend server declares for itself."""

from __future__ import annotations

from .clock import Instant


class DeclaredLimit:
    """The limit that one incarnation of an endpoint declares for all entries together.

    ``seen_at`` is when a response last declared it.
    """

    __slots__ = ("rate_per_s", "seen_at", "logged_at")

    def __init__(self, rate_per_s: float, now: Instant) -> None:
        self.rate_per_s = rate_per_s
        self.seen_at = now
        self.logged_at = now

    def set_rate(self, rate_per_s: float, now: Instant) -> float:
        """Apply a newly declared rate; return the previous one."""
        before, self.rate_per_s = self.rate_per_s, rate_per_s
        self.seen_at = now
        return before
