"""The clock type of the package: instants in milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from typing import NewType

Instant = NewType("Instant", float)
"""A point in time in milliseconds on one monotonic clock."""

Clock = Callable[[], Instant]
"""A function that returns the current instant."""


def remaining_ms(deadline: Instant, now: Instant) -> float:
    """Return the milliseconds until the deadline, at least zero.

    Both instants must come from the same clock. For example, a deadline of 1500
    leaves 300 at 1200.
    """
    return max(0.0, deadline - now)


def add_ms(instant: Instant, duration_ms: float) -> Instant:
    """Return the instant ``duration_ms`` after the given one."""
    return Instant(instant + duration_ms)


class ManualClock:
    """A manually advanced clock for tests.

    For example, ``clock = ManualClock(); clock.advance(5)`` makes the next
    ``clock()`` return 5.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def __call__(self) -> Instant:
        """Return the current instant."""
        return Instant(self._now_ms)

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by ``duration_ms``."""
        if duration_ms < 0:
            raise ValueError(f"expected a duration of 0 ms or more, got {duration_ms}")
        self._now_ms += duration_ms
