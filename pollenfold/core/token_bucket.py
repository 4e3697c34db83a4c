"""A token bucket that can be overdrawn."""

from __future__ import annotations

from .clock import Instant


class TokenBucket:
    """Allows ``rate_per_s`` tokens per second, and up to ``burst`` at once.

    ``charge`` removes tokens for usage that already took place and may leave a
    negative level, which must be refilled before ``try_acquire`` succeeds again.
    """

    __slots__ = ("rate_per_s", "burst", "_level", "_updated")

    def __init__(
        self, rate_per_s: float, burst: float, now: Instant, level: float = 0.0
    ) -> None:
        """Create a bucket with ``level`` initial tokens."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = level
        self._updated = now

    def level(self, now: Instant) -> float:
        """Return the number of available tokens; negative if overdrawn."""
        if now > self._updated:
            gain = self.rate_per_s * (now - self._updated) / 1000
            self._level = min(self.burst, self._level + gain)
            self._updated = now
        return self._level

    def try_acquire(self, amount: float, now: Instant) -> bool:
        """Remove ``amount`` tokens, or return False if fewer are available."""
        if self.level(now) < amount:
            return False
        self._level -= amount
        return True

    def charge(self, amount: float, now: Instant) -> None:
        """Remove ``amount`` tokens even if fewer are available."""
        self.level(now)
        self._level -= amount

    def refund(self, amount: float, now: Instant) -> None:
        """Return unused tokens to the bucket, up to the burst."""
        self._level = min(self.burst, self.level(now) + amount)
