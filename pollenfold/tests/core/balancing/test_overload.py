"""Tests of admission control while the demand exceeds the capacity."""

import random

from pollenfold.core.balancing.overload import (
    MAX_CALLERS,
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


def test_work_estimate_follows_one_outlier_little():
    """Guards against one response that takes a minute and has all others refused."""
    estimate = WorkEstimate(TARGET_MS)
    before_ms = estimate.get()
    estimate.observe(60_000.0, 1.0)
    assert estimate.get() < 1.2 * before_ms


def test_work_estimate_follows_a_lasting_change():
    """Guards against a bound on outliers that keeps a service from becoming slower."""
    estimate = WorkEstimate(TARGET_MS)
    for _ in range(200):
        estimate.observe(1.0, 1.0)
    for _ in range(150):
        estimate.observe(700.0, 1.0)
    assert 600.0 < estimate.get() <= 700.0


def test_server_is_not_late_before_its_work_is_due():
    """Guards against callers that claim a deadline of 15 ms and have every endpoint
    counted as failing."""
    estimate = WorkEstimate(TARGET_MS)
    assert not estimate.is_due(15.0)
    assert estimate.is_due(estimate.get())


def test_age_of_a_caller_that_retries():
    """Guards against callers with slightly shorter timeouts that count as retries.

    For this reason a third of the callers was refused on a day without overload.
    """
    age = CallerAge()
    rng = random.Random(1)
    for now in range(100):
        left_ms = 1500 * rng.uniform(0.87, 1.0)
        assert age.observe(f"caller-{now}", left_ms, float(now)) == 0.0
    assert 400 <= age.observe("other", 1000.0, 101.0) <= 500


def test_age_of_a_caller_that_retries_on_its_own_connection():
    """Guards against retries of the only caller that count as new."""
    age = CallerAge()
    for now in range(4):
        assert age.observe("one", 1500.0, float(now)) == 0.0
    assert age.observe("one", 1000.0, 5.0) == 500.0


def first_attempts(age, n=20, left_ms=3_000.0):
    """Record first attempts of distinct callers; return their ages."""
    return {age.observe(f"ordinary-{k}", left_ms, 10.0 + k) for k in range(n)}


def test_claim_of_one_caller_ages_no_request_of_others():
    """Guards against one caller that claims 60 s and makes all others look old."""
    age = CallerAge()
    for now in range(100):
        age.observe("liar", 8_000.0 + now, float(now))
        age.observe("liar", 60_000.0, float(now))
    assert first_attempts(age) == {0.0}


def test_claims_of_many_callers_with_another_deadline_age_no_request():
    """Guards against a crowd that claims 60 s: age_ms was 57000 for all others."""
    age = CallerAge()
    for number in range(1_200):
        age.observe(f"slow-{number}", 60_000.0, 1.0)
    assert first_attempts(age) == {0.0}


def test_claims_of_a_crowd_age_no_request_of_a_kept_connection():
    """Guards against a crowd with a plausible deadline that ages callers whose own
    claims are known."""
    age = CallerAge()
    for number in range(1_200):
        age.observe(f"slow-{number}", 8_000.0, 1.0)
    ages = [age.observe("ordinary", 3_000.0, 2.0 + k) for k in range(10)]
    assert ages[2:] == [0.0] * 8


def test_retry_is_noticed_if_callers_wait_longer_than_the_route():
    """Guards against a rule on large claims that ignores those of ordinary callers."""
    age = CallerAge()
    for number in range(5):
        assert age.observe(f"first-{number}", 1_500.0, 1.0, 800.0) == 0.0
    assert age.observe("retry", 800.0, 2.0, 800.0) == 700.0


def test_claim_far_beyond_the_timeout_of_the_route_says_nothing():
    """Guards against a claim of 10^9 ms that makes 3 s look like the end of it."""
    age = CallerAge()
    for number in range(50):
        assert age.observe(f"liar-{number}", 1e9, 1.0, 4_000.0) == 0.0
    for number in range(5):
        left_ms = 3_000.0
        assert age.observe(f"ordinary-{number}", left_ms, 2.0, 4_000.0) == 0.0
    assert age.observe("retry", 1_500.0, 3.0, 4_000.0) == 1_500.0


def test_age_remembers_a_bounded_number_of_callers():
    """Guards against memory that grows with the connections of a crowd."""
    age = CallerAge()
    for number in range(10 * MAX_CALLERS):
        age.observe(number, 1_000.0, 1.0)
    assert len(age._callers) == MAX_CALLERS


def test_age_forgets_an_earlier_deadline():
    """Guards against new, shorter deadlines that permanently count as retries."""
    age = CallerAge()
    for caller in range(3):
        age.observe(caller, 5000.0, 0.0)
    assert age.observe("new", 1500.0, 1.0) == 3500.0
    assert age.observe("new", 1500.0, 60_000.0) == 0.0


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
