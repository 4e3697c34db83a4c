"""Tests of admission control while the demand exceeds the capacity."""

import random

from pollenfold.core.balancing.overload import (
    AdmissionDecision,
    CallerAge,
    Placement,
    WorkEstimate,
    decide_admission,
    retry_after_ms,
)
from pollenfold.core.balancing.selection import ServerLoad, expected_slowdown

TARGET_MS = 200.0
WORK_MS = 70.0


def make_placement(load, left_ms=TARGET_MS, deadline_ms=1500.0):
    return Placement(WORK_MS, expected_slowdown(load), load, left_ms, deadline_ms)


def test_request_that_meets_its_target_is_sent():
    """Guards against refusals while there is spare capacity."""
    assert (
        decide_admission(make_placement(ServerLoad(2, 0, 6))) is AdmissionDecision.SEND
    )


def test_request_that_would_wait_too_long_is_refused():
    """Guards against queues in which every response is late."""
    assert (
        decide_admission(make_placement(ServerLoad(6, 9, 6)))
        is AdmissionDecision.REFUSE
    )


def test_late_request_uses_spare_capacity():
    """Guards against callers that are never served after a first refusal."""
    late = make_placement(ServerLoad(1, 0, 6), left_ms=-300.0)
    assert decide_admission(late) is AdmissionDecision.SEND_LATE
    overloaded = make_placement(ServerLoad(5, 0, 6), left_ms=-300.0)
    assert decide_admission(overloaded) is AdmissionDecision.REFUSE


def test_request_that_misses_its_deadline_is_refused():
    """Guards against work whose caller has given up before the response."""
    slow = make_placement(ServerLoad(0, 0, 6, slowdown=5.0), deadline_ms=300.0)
    assert decide_admission(slow) is AdmissionDecision.REFUSE


def test_request_to_a_server_without_report_is_sent():
    """Guards against a service without load reports that gets no requests."""
    unknown = Placement(WORK_MS, 1.0, None, -1.0, 100.0)
    assert decide_admission(unknown) is AdmissionDecision.SEND


def test_work_estimate_discounts_the_slowdown():
    """Guards against a work estimate that rises with load until all is refused."""
    estimate = WorkEstimate(TARGET_MS)
    for _ in range(200):
        estimate.observe(350.0, 5.0)
    assert 65.0 < estimate.get() < 75.0


def test_age_of_a_caller_that_retries():
    """Guards against callers with slightly shorter timeouts that count as retries.

    For this reason a third of the callers was refused on a day without overload.
    """
    age = CallerAge()
    rng = random.Random(1)
    for now in range(100):
        assert age.observe(1500 * rng.uniform(0.87, 1.0), float(now)) == 0.0
    assert 400 <= age.observe(1000.0, 101.0) <= 500


def test_age_forgets_an_earlier_deadline():
    """Guards against new, shorter deadlines that permanently count as retries."""
    age = CallerAge()
    age.observe(5000.0, 0.0)
    age.observe(1000.0, 1.0)
    assert age.observe(1000.0, 60_000.0) == 0.0


def test_retries_of_refused_callers_are_spread():
    """Guards against refused callers that all retry at the same moment."""
    delays_ms = {retry_after_ms(1200.0, position / 10) for position in range(11)}
    assert len(delays_ms) == 11
    assert min(delays_ms) >= 100.0
    assert max(delays_ms) <= 1200.0 / 3


def simulate(is_admitting, seed=5):
    """Return the share of requests in time at one server under twice its capacity.

    Requests of 70 ms arrive every 6 ms at 6 slots with a queue; the server reports its
    load without delay.
    """
    rng = random.Random(seed)
    slots = [0.0] * 6
    n_in_time = n_requests = 0
    for step in range(2_000):
        now = step * 6.0
        n_running = sum(end > now for end in slots)
        n_waiting = max(0, round((min(slots) - now) / (WORK_MS / 6)))
        n_requests += 1
        load = ServerLoad(n_running, n_waiting, 6)
        if (
            is_admitting
            and decide_admission(make_placement(load)) is AdmissionDecision.REFUSE
        ):
            continue
        if n_waiting >= 12:
            continue
        start = max(now, min(slots))
        end = start + WORK_MS * rng.uniform(0.7, 1.3)
        slots[slots.index(min(slots))] = end
        n_in_time += end - now <= TARGET_MS
    return n_in_time / n_requests


def test_overloaded_server_responds_to_more_requests_in_time():
    """Guards against an overload in which queueing makes every response late.

    Responses in time must reach nine tenths of the capacity of the slots.
    """
    capacity_share = (6 / WORK_MS) / (1 / 6.0)
    assert simulate(True) > 0.9 * capacity_share
    assert simulate(True) > simulate(False)
