"""Decisions on the connections of callers that read slowly."""

from pollenfold.core.send_memory import (
    MIN_RATE_BYTES_PER_S,
    OutputMeter,
    PendingOutput,
    chosen_for_room,
    chosen_for_waiting,
    stalled,
)

STALL_MS = 16_000.0


def test_nobody_is_closed_while_all_fit():
    """Guards against callers on slow links that are closed without need."""
    outputs = [PendingOutput(64_000, 128_000, rate_per_s=10.0)] * 10
    assert chosen_for_room(outputs, 10 * 192_000) == []


def test_slowest_callers_make_room_for_the_others():
    """Guards against a kernel that holds more for slow callers than there is, and
    against ordinary callers that are closed for them."""
    ordinary = [PendingOutput(1_000, 200) for _ in range(5)]
    fast = PendingOutput(64_000, 0, True, rate_per_s=1e6)
    slow = [PendingOutput(64_000, 0, rate_per_s=100.0) for _ in range(20)]
    idle = [PendingOutput(64_000, 0, rate_per_s=0.0) for _ in range(20)]
    outputs = [*ordinary, fast, *slow, *idle]
    chosen = chosen_for_room(outputs, 1_000_000)
    n_left_bytes = 5 * 1_200 + (41 - len(chosen)) * 64_000
    assert 900_000 - 64_000 < n_left_bytes <= 900_000
    assert set(chosen) >= set(range(26, 46))
    assert not set(chosen) & set(range(6))


def test_of_equally_slow_callers_those_that_hold_most_are_closed():
    """Guards against a crowd that is new, whose rates nobody knows yet, and that has
    ordinary callers closed in its place."""
    outputs = [PendingOutput(200, 0) for _ in range(10)]
    outputs += [PendingOutput(64_000, 128_000) for _ in range(10)]
    chosen = chosen_for_room(outputs, 800_000)
    assert chosen
    assert not set(chosen) & set(range(10))


def test_caller_that_takes_no_byte_is_stalled():
    """Guards against a client that reads nothing and holds its response for ever."""
    outputs = [
        PendingOutput(100, 0, stalled_ms=STALL_MS),
        PendingOutput(100, 0, stalled_ms=STALL_MS - 1),
        PendingOutput(0, 0, stalled_ms=STALL_MS),
    ]
    assert stalled(outputs, STALL_MS) == [0]


def test_slow_callers_give_way_to_long_responses_that_wait():
    """Guards against slow callers that hold the memory of long responses until the
    deadline that they claim, and against fast ones that are closed for them."""
    outputs = [
        PendingOutput(1, 0, True, MIN_RATE_BYTES_PER_S + 1.0),
        PendingOutput(1, 0, True, 500.0),
        PendingOutput(1, 0, False, 100.0),
        PendingOutput(1, 0, True, 50.0),
        PendingOutput(1, 0, True, None),
    ]
    assert chosen_for_waiting(outputs) == 3
    assert chosen_for_waiting(outputs[:3]) == 1
    assert chosen_for_waiting([outputs[0], outputs[2], outputs[4]]) is None


def test_meter_of_a_caller_at_a_trickle():
    """Guards against a caller at a trickle that counts as stalled, or as fast."""
    meter = OutputMeter(0.0)
    for step in range(1, 31):
        meter.measure(50 * step, 60_000, 100.0 * step)
    assert meter.rate_per_s == 500.0
    assert meter.stalled_ms(3_050.0) == 50.0


def test_meter_of_a_caller_that_keeps_up():
    """Guards against callers that are closed since their endpoint sends slowly."""
    meter = OutputMeter(0.0)
    for step in range(1, 31):
        meter.measure(10, 0, 1_000.0 * step)
    assert meter.rate_per_s is None
    assert meter.stalled_ms(30_000.0) == 0.0


def test_meter_notices_a_caller_that_stops():
    """Guards against a fast beginning that hides for long that a caller has stopped."""
    meter = OutputMeter(0.0)
    for step in range(1, 11):
        meter.measure(100_000 * step, 60_000, 100.0 * step)
    for step in range(11, 41):
        meter.measure(1_000_000, 60_000, 100.0 * step)
    assert meter.rate_per_s == 0.0
    assert meter.stalled_ms(4_000.0) == 3_000.0
