"""How much of the event loop's time bulk reading may take.

The load pattern: hundreds of long messages arrive at once and each always has bytes
ready, while short requests come in between. If every reader made one step in each turn
of the loop, a turn would take as many steps as there are long messages, and each short
request would wait for several turns. So all readers share one schedule, which spaces
their steps in time.
"""

from __future__ import annotations

from .clock import Instant, add_ms, remaining_ms

BULK_SHARE = 0.5
"""The part of the loop's time that bulk reading may take while steps are waiting."""

MAX_STEP_MS = 1.0
MAX_STEP_EVENTS = 128
MAX_STEP_BYTES = 256 * 1024
"""A reader ends its step at the first of these limits."""

MAX_COUNTED_STEP_MS = 20.0
"""A step counts for no more: the process may have been stopped within it."""

EVENTS_PER_TIME_CHECK = 8

UNMETERED_EVENTS = 16
UNMETERED_BYTES = 32 * 1024
"""A message within these limits is short, and its reader takes no part here."""


class BulkSchedule:
    """Spaces the steps of all readers of one event loop, of which one runs at a time.

    For example, after a step of 1 ms with a share of one half, the next step may start
    1 ms after its end, whichever reader makes it.
    """

    __slots__ = ("_share", "_next_start")

    def __init__(self, share: float = BULK_SHARE) -> None:
        self._share = share
        self._next_start = Instant(0.0)

    def end_step(self, used_ms: float, now: Instant) -> None:
        """Record a step that ends now."""
        used_ms = min(used_ms, MAX_COUNTED_STEP_MS)
        next_start = add_ms(now, used_ms * (1.0 - self._share) / self._share)
        if self._next_start < next_start:
            self._next_start = next_start

    def wait_ms(self, now: Instant) -> float:
        """Return after how many ms the next step may start."""
        return remaining_ms(self._next_start, now)


class StepMeter:
    """Measures the current step of one reader, without the time in which it waits."""

    __slots__ = ("n_events", "n_bytes", "used_ms", "_resumed_at")

    def __init__(self, now: Instant) -> None:
        self._resumed_at: Instant | None = now
        self._reset()

    def _reset(self) -> None:
        self.n_events = 0
        self.n_bytes = 0
        self.used_ms = 0.0

    def pause(self, now: Instant) -> None:
        """Record that the reader waits, or that other code runs."""
        if self._resumed_at is not None:
            self.used_ms += now - self._resumed_at
            self._resumed_at = None

    def resume(self, now: Instant) -> None:
        """Record that the reader continues."""
        if self._resumed_at is None:
            self._resumed_at = now

    def is_over(self, now: Instant) -> bool:
        """Return whether the step has reached one of its limits."""
        used_ms = self.used_ms
        if self._resumed_at is not None:
            used_ms += now - self._resumed_at
        return (
            self.n_events >= MAX_STEP_EVENTS
            or self.n_bytes >= MAX_STEP_BYTES
            or used_ms >= MAX_STEP_MS
        )

    def end(self, schedule: BulkSchedule, now: Instant) -> None:
        """End the step."""
        self.pause(now)
        schedule.end_step(self.used_ms, now)
        self._reset()
