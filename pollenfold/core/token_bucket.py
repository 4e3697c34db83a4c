"""Units that come at a rate and are kept up to a burst."""

from __future__ import annotations

from .clock import Instant


class TokenBucket:
    """Allows ``rate_per_s`` units a second, and up to ``burst`` at once.

    ``charge`` takes units that were already used and may leave a debt, which must
    be paid before ``try_take`` allows anything again.
    """

    __slots__ = ("rate_per_s", "burst", "_level", "_updated")

    def __init__(
        self, rate_per_s: float, burst: float, now: Instant, level: float = 0.0
    ) -> None:
        """Make a bucket that holds ``level`` units at first."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = level
        self._updated = now

    def level(self, now: Instant) -> float:
        """Return the units that are available, negative for a debt."""
        if now > self._updated:
            gain = self.rate_per_s * (now - self._updated) / 1000
            self._level = min(self.burst, self._level + gain)
            self._updated = now
        return self._level

    def try_take(self, amount: float, now: Instant) -> bool:
        """Take the amount if it is available."""
        if self.level(now) < amount:
            return False
        self._level -= amount
        return True

    def charge(self, amount: float, now: Instant) -> None:
        """Take the amount in any case."""
        self.level(now)
        self._level -= amount

    def give_back(self, amount: float, now: Instant) -> None:
        """Return units that were taken and not used."""
        self._level = min(self.burst, self.level(now) + amount)
