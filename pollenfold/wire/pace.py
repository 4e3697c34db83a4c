"""Lets readers of long messages give way to the other tasks of the event loop."""

from __future__ import annotations

import curio

from ..core.bulk_schedule import (
    EVENTS_PER_TIME_CHECK,
    MAX_STEP_BYTES,
    MAX_STEP_MS,
    BulkSchedule,
    StepMeter,
)
from ..core.clock import Instant, add_ms, remaining_ms
from ..observe.clock import system_clock

_SCHEDULE = BulkSchedule()
"""Shared by all readers of the process, which has one event loop."""


class ReadingPace:
    """The pace of one reader of bytes from outside.

    A reader calls ``pause`` before it waits for bytes, ``resume`` with their number
    after that, and ``is_step_over`` for each message that it has parsed. Where the
    latter two return true, it awaits ``give_way``.
    """

    __slots__ = ("_meter", "_continue_at")

    def __init__(self) -> None:
        self._meter = StepMeter(system_clock())
        self._continue_at: Instant | None = None
        """When the next step may start, if that is still waited for."""

    def pause(self) -> None:
        """Record that the reader waits for bytes."""
        self._meter.pause(system_clock())

    def resume(self, n_bytes: int) -> bool:
        """Record received bytes; return whether the reader must give way."""
        meter = self._meter
        meter.resume(system_clock())
        meter.n_bytes += n_bytes
        return meter.n_bytes >= MAX_STEP_BYTES or meter.used_ms >= MAX_STEP_MS

    def is_step_over(self) -> bool:
        """Count an event; return whether the reader must give way before the next."""
        if self._continue_at is not None:
            return True
        meter = self._meter
        meter.n_events += 1
        if meter.n_bytes < MAX_STEP_BYTES and meter.n_events % EVENTS_PER_TIME_CHECK:
            return False
        return meter.is_over(system_clock())

    async def give_way(self) -> None:
        """Wait until this reader may continue; the time of the wait doesn't count.

        A wait that is cancelled, for example by a timeout, is continued the next time.
        """
        if self._continue_at is None:
            now = system_clock()
            self._continue_at = add_ms(now, self._meter.end(_SCHEDULE, now))
        wait_ms = remaining_ms(self._continue_at, system_clock())
        await curio.sleep(wait_ms / 1000)
        self._continue_at = None
        self._meter.resume(system_clock())
