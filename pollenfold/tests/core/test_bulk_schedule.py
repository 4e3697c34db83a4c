"""The schedule that all readers of long messages share."""

import pytest

from pollenfold.core.bulk_schedule import (
    BULK_SHARE,
    MAX_COUNTED_STEP_MS,
    MAX_STEP_BYTES,
    MAX_STEP_EVENTS,
    MAX_STEP_MS,
    BulkSchedule,
    StepMeter,
)
from pollenfold.core.clock import Instant
from pollenfold.observe.hold_ups import NOTICEABLE_MS


@pytest.mark.parametrize("step_ms", [0.05, 1.0, 4.0])
def test_bulk_reading_takes_at_most_its_share(step_ms):
    """Guards against hundreds of long responses that arrive at once, each of which
    takes a short step in every turn of the loop and delays all short requests."""
    schedule = BulkSchedule()
    now, n_steps = 0.0, 500
    for _ in range(n_steps):
        now += schedule.wait_ms(Instant(now)) + step_ms
        schedule.end_step(step_ms, Instant(now))
    assert n_steps * step_ms / now <= BULK_SHARE * 1.01


def test_late_step_is_not_made_up_for():
    """Guards against a burst of steps after the process was stopped for a while, which
    would stop it for as long again."""
    schedule = BulkSchedule()
    schedule.end_step(1.0, Instant(1.0))
    assert schedule.wait_ms(Instant(5_000.0)) == 0.0
    schedule.end_step(1.0, Instant(5_001.0))
    assert schedule.wait_ms(Instant(5_001.0)) == pytest.approx(1.0)


def test_step_ends_at_the_first_limit():
    """Guards against a step that one kind of load extends without bound."""
    now = Instant(5.0)
    meter = StepMeter(now)
    assert not meter.is_over(now)
    meter.n_events = MAX_STEP_EVENTS
    assert meter.is_over(now)
    meter.end(BulkSchedule(), now)
    assert not meter.is_over(now)
    meter.n_bytes = MAX_STEP_BYTES
    assert meter.is_over(now)
    meter.end(BulkSchedule(), now)
    meter.resume(now)
    assert meter.is_over(Instant(5.0 + MAX_STEP_MS))


def test_waiting_does_not_count():
    """Guards against a slow server whose reader gives way as if it had worked."""
    meter = StepMeter(Instant(0.0))
    meter.pause(Instant(0.2))
    meter.resume(Instant(500.0))
    assert not meter.is_over(Instant(500.5))
    meter.pause(Instant(500.5))
    assert meter.used_ms == pytest.approx(0.7)


def test_time_between_two_reads_of_a_body_does_not_count():
    """Guards against a long body that is slowed down for the time which its receiver
    takes, which made 50 uploads of 8 MB miss their deadline."""
    meter = StepMeter(Instant(0.0))
    meter.pause(Instant(0.1))
    meter.pause(Instant(900.0))
    meter.resume(Instant(1_000.0))
    meter.resume(Instant(1_000.1))
    assert not meter.is_over(Instant(1_000.5))
    meter.pause(Instant(1_000.5))
    assert meter.used_ms == pytest.approx(0.6)


def test_stop_of_the_process_within_a_step_delays_no_reader():
    """Guards against long responses that wait as long again as the VM was suspended."""
    schedule = BulkSchedule()
    schedule.end_step(30_000.0, Instant(30_000.0))
    assert schedule.wait_ms(Instant(30_000.0)) <= MAX_COUNTED_STEP_MS


def test_step_during_which_the_process_stood_still_does_not_stop_all_readers():
    """Guards against long responses that stop for as long as the process did, after the
    VM was frozen or busy in the middle of a step: no reader used that time."""
    schedule, meter = BulkSchedule(), StepMeter(0.0)
    meter.resume(0.0)
    meter.end(schedule, 3_000.0)
    schedule.end_step(MAX_STEP_MS, 3_000.0)
    assert schedule.wait_ms(3_000.0) < NOTICEABLE_MS
