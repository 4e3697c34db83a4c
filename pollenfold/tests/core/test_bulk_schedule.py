"""The schedule that all readers of long messages share."""

import pytest

from pollenfold.core.bulk_schedule import (
    BULK_SHARE,
    MAX_STEP_BYTES,
    MAX_STEP_EVENTS,
    MAX_STEP_MS,
    BulkSchedule,
    StepMeter,
)
from pollenfold.core.clock import Instant


def _play(n_readers, step_ms, until_ms):
    """Let readers that always have work share one loop; return time and steps used.

    The loop runs one step at a time, that of the reader which may continue first.
    """
    schedule = BulkSchedule()
    ready_at = [0.0] * n_readers
    n_steps = [0] * n_readers
    now = used_ms = 0.0
    while now < until_ms:
        reader = min(range(n_readers), key=ready_at.__getitem__)
        now = max(now, ready_at[reader]) + step_ms
        used_ms += step_ms
        n_steps[reader] += 1
        ready_at[reader] = now + schedule.end_step(step_ms, Instant(now))
    return used_ms / now, n_steps


@pytest.mark.parametrize("n_readers", [1, 2, 160, 900])
@pytest.mark.parametrize("step_ms", [0.05, 1.0, 4.0])
def test_bulk_reading_takes_at_most_its_share(n_readers, step_ms):
    """Guards against hundreds of long responses that arrive at once, each of which
    takes a short step in every turn of the loop and delays all short requests."""
    start_ms = n_readers * step_ms
    share, _ = _play(n_readers, step_ms, 20 * start_ms + 100)
    assert share <= BULK_SHARE + 0.05


def test_readers_take_turns():
    """Guards against a reader that gets no step while others have many."""
    _, n_steps = _play(40, 1.0, 8_000.0)
    assert max(n_steps) - min(n_steps) <= 1


def test_idle_time_is_not_saved_up():
    """Guards against a burst of steps after a time without long messages."""
    schedule = BulkSchedule()
    schedule.end_step(1.0, Instant(1.0))
    assert schedule.end_step(1.0, Instant(10_000.0)) == pytest.approx(1.0)
    assert schedule.end_step(1.0, Instant(10_001.0)) == pytest.approx(2.0)


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
    assert meter.end(BulkSchedule(), Instant(500.5)) == pytest.approx(0.7)


def test_time_between_two_reads_of_a_body_does_not_count():
    """Guards against a long body that is slowed down for the time which its receiver
    takes, which made 50 uploads of 8 MB miss their deadline."""
    meter = StepMeter(Instant(0.0))
    meter.pause(Instant(0.1))
    meter.pause(Instant(900.0))
    meter.resume(Instant(1_000.0))
    meter.resume(Instant(1_000.1))
    assert not meter.is_over(Instant(1_000.5))
    assert meter.end(BulkSchedule(), Instant(1_000.5)) == pytest.approx(0.6)
