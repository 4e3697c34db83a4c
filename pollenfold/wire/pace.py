"""Lets readers of long messages give way to the other tasks of the event loop."""

from __future__ import annotations

import curio

from ..core.bulk_schedule import (
    EVENTS_PER_TIME_CHECK,
    MAX_STEP_BYTES,
    MAX_STEP_MS,
    UNMETERED_BYTES,
    UNMETERED_EVENTS,
    BulkSchedule,
    StepMeter,
)
from ..observe.clock import system_clock

_SCHEDULE = BulkSchedule()
"""Shared by all readers of the process, which has one event loop."""

_TURN = curio.Lock()
"""Held by the reader whose step is next; the others wait in order."""


class ReadingPace:
    """The pace of one reader of bytes from outside.

    A reader calls ``pause`` before it waits for bytes, ``resume`` with their number
    after that, and ``is_step_over`` for each message that it has parsed. Where the
    latter two return true, it awaits ``give_way``.
    """

    __slots__ = ("_n_events", "_n_bytes", "_meter", "_must_wait")

    def __init__(self) -> None:
        self._n_events = 0
        self._n_bytes = 0
        self._meter: StepMeter | None = None
        """None for a short message, for which a look at the clock costs too much."""

        self._must_wait = False

    def pause(self) -> None:
        """Record that the reader waits for bytes, or that other code runs."""
        if self._meter is not None:
            self._meter.pause(system_clock())

    def resume(self, n_bytes: int) -> bool:
        """Record received bytes; return whether the reader must give way."""
        meter = self._meter
        if meter is None:
            self._n_bytes += n_bytes
            return self._n_bytes > UNMETERED_BYTES
        meter.resume(system_clock())
        meter.n_bytes += n_bytes
        return meter.n_bytes >= MAX_STEP_BYTES or meter.used_ms >= MAX_STEP_MS

    def is_step_over(self) -> bool:
        """Count an event; return whether the reader must give way before the next."""
        meter = self._meter
        if meter is None:
            self._n_events += 1
            is_long = self._n_events > UNMETERED_EVENTS
            return is_long or self._n_bytes > UNMETERED_BYTES
        if self._must_wait:
            return True
        meter.n_events += 1
        if meter.n_bytes < MAX_STEP_BYTES and meter.n_events % EVENTS_PER_TIME_CHECK:
            return False
        return meter.is_over(system_clock())

    async def give_way(self) -> None:
        """Wait for the next step; the time of the wait doesn't count.

        A wait that is cancelled, for example by a timeout, is repeated the next time.
        """
        self._must_wait = True
        meter = self._meter
        if meter is None:
            meter = self._meter = StepMeter(system_clock())
        meter.end(_SCHEDULE, system_clock())
        async with _TURN:
            await curio.sleep(_SCHEDULE.wait_ms(system_clock()) / 1000)
        self._must_wait = False
        meter.resume(system_clock())
