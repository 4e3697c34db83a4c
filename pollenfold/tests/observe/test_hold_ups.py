"""The reports of an event loop that is held up."""

import curio
import pytest

from pollenfold.core.clock import Instant, ManualClock
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.hold_ups import HoldUps


@pytest.fixture
def reports():
    """Return the causes and times that are reported during a test."""
    return []


def test_longest_hold_up_of_each_cause_is_reported_once_a_second(reports):
    """Guards against an incident in which nobody can tell what kept a leader from
    sending heartbeats, and against a line for each write to a slow disk."""
    now = [0.0]
    hold_ups = HoldUps(lambda: Instant(now[0]), lambda *args: reports.append(args))
    hold_ups.record("sync", 20.0)
    for duration_ms in (150.0, 300.0, 200.0):
        hold_ups.record("sync", duration_ms)
    hold_ups.record("loop", 120.0)
    now[0] = 1_000.0
    hold_ups.record("sync", 110.0)
    assert reports == [("sync", 150.0), ("loop", 120.0), ("sync", 300.0)]


def test_flush_tells_how_long_the_loop_was_held_up(reports):
    """Guards against an entry whose loop stands still without a line that says so."""
    log = EventLog("e1", system_clock, write=len)

    async def main():
        task = await curio.spawn(log.run, reports.append, daemon=True)
        await curio.sleep(0)
        held_up_until = system_clock() + 400.0
        while system_clock() < held_up_until:
            pass
        await curio.sleep(0)
        await task.cancel()

    curio.run(main)
    assert reports
    assert reports[0] >= 250.0


def test_flush_on_time_reports_nothing(reports):
    """Guards against reports of a loop that isn't held up."""
    clock = ManualClock(0.0)
    hold_ups = HoldUps(clock, lambda *args: reports.append(args))
    hold_ups.record("loop", 5.0)
    assert not reports
