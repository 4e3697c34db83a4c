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
from ..observe.clock import system_clock

_SCHEDULE = BulkSchedule()
"""Shared by all readers of the process, which has one event loop."""


class ReadingPace:
    """The pace of one reader of bytes from outside.

    A reader calls ``pause`` before it waits for bytes, ``resume`` with their number
    after that, and ``is_step_over`` for each message that it has parsed. Where the
    latter two return true, it awaits ``give_way``.
    """

    __slots__ = ("_meter",)

    def __init__(self) -> None:
        self._meter = StepMeter(system_clock())

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
        meter = self._meter
        meter.n_events += 1
        return not meter.n_events % EVENTS_PER_TIME_CHECK and meter.is_over(
            system_clock()
        )

    async def give_way(self) -> None:
        """Wait until this reader may continue; the time of the wait doesn't count."""
        now = system_clock()
        wait_ms = self._meter.end(_SCHEDULE, now)
        await curio.sleep(wait_ms / 1000)
        self._meter.resume(system_clock())
