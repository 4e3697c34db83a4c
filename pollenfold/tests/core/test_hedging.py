"""Tests of the decisions on hedged requests."""

import random
from dataclasses import replace

import pytest

from pollenfold.core.balancing.overload import WorkEstimate
from pollenfold.core.hedging import (
    MAX_SAVED_HEDGES,
    MIN_RATIOS,
    N_KEPT_RATIOS,
    REFUSAL_MEMORY_MS,
    HedgeBudget,
    HedgeCandidate,
    HedgeDecision,
    HedgeMoment,
    LatencyRatios,
    censored_ratio,
    decide_hedge,
    hedge_delay_ms,
    hedge_quantile,
    hedge_slowdown_limit,
    latest_useful_delay_ms,
    may_be_hedged,
    may_get_hedge,
    timely_delay_ms,
)

MOMENT = HedgeMoment(
    now=10_400.0,
    is_sent=True,
    n_sends=1,
    max_attempts=2,
    least_slowdown=1.2,
    refused_at=float("-inf"),
    work_ms=260.0,
    target_at=11_000.0,
    deadline=15_000.0,
)
"""A request with 600 ms left to its target, on an entry with capacity to spare."""


def observed(values):
    ratios = LatencyRatios()
    for value in values:
        ratios.observe(value)
    return ratios


def test_delay_lies_between_usual_and_slow_responses():
    """Load: 3 of 100 responses take seven times as long. Guards against a delay that
    hedges usual responses, or that is only over when a slow one arrives."""
    rng = random.Random(1)
    ratios, n_above, n_usual = LatencyRatios(), 0, 0
    for n in range(4_000):
        is_slow = rng.random() < 0.03
        ratio = rng.lognormvariate(0.0, 0.15) * (7.0 if is_slow else 1.0)
        quantile = ratios.quantile(hedge_quantile(0.05))
        if n > N_KEPT_RATIOS:
            n_usual += quantile < 3.0
            n_above += ratio > quantile
        ratios.observe(ratio)
    assert n_usual > 0.85 * (4_000 - N_KEPT_RATIOS)
    assert 0.03 < n_above / 4_000 < 0.08


@pytest.mark.parametrize("ratio", [0.01, 0.02, 0.05, 0.2])
def test_delay_alone_keeps_hedges_near_the_ratio(ratio):
    """Load: responses vary by a factor of two or more. Guards against a delay that
    leaves it to the budget which slow requests are hedged."""
    rng = random.Random(2)
    ratios, n_above = LatencyRatios(), 0
    for _ in range(10_000):
        value = rng.lognormvariate(0.0, 0.5)
        quantile = ratios.quantile(hedge_quantile(ratio))
        n_above += quantile is not None and value > quantile
        ratios.observe(value)
    assert 0 < n_above / 10_000 <= 1.6 * ratio


def test_route_with_few_requests_uses_the_values_of_its_service():
    """Load: one route gets 1 of 50 requests of its service. Guards against a route
    whose delay is unknown, or that of another route with less work."""
    ratios = observed([1.0 + 0.01 * (n % 20) for n in range(49)])
    rare = WorkEstimate(1_000.0)
    rare.observe(400.0, 1.0)
    quantile = ratios.quantile(hedge_quantile(0.05))
    assert 1.0 < quantile < 1.2
    delay_ms = hedge_delay_ms(rare.get(), quantile)
    assert rare.get() < delay_ms < 1.2 * rare.get()


@pytest.mark.parametrize(("ratio", "n_needed"), [(0.05, 20), (0.02, 50), (0.001, 128)])
def test_no_delay_before_there_are_enough_values(ratio, n_needed):
    """Load: the first requests of a process. Guards against hedges of a process that
    doesn't know yet how long responses take."""
    ratios = observed([1.0] * (n_needed - 1))
    assert ratios.quantile(hedge_quantile(ratio)) is None
    ratios.observe(1.0)
    assert ratios.quantile(hedge_quantile(ratio)) == 1.0


def test_values_are_bounded_and_the_oldest_is_dropped():
    """Load: responses become slower for good. Guards against memory that grows with
    the requests, and against a delay of the past."""
    ratios = observed([1.0] * 10_000 + [3.0] * N_KEPT_RATIOS)
    assert len(ratios._values) == N_KEPT_RATIOS
    assert ratios.quantile(0.0) == 3.0


def test_cancelled_attempts_keep_the_tail_visible():
    """Load: 3 of 100 responses take seven times as long, and all of these are hedged.
    Guards against a delay that shrinks with each response that isn't awaited."""
    ratios = observed([1.0] * (N_KEPT_RATIOS - 8) + [7.0] * 8)
    quantile = ratios.quantile(0.95)
    assert quantile == 7.0
    ratio = censored_ratio(1_830.0, 260.0, quantile)
    assert ratio == pytest.approx(1_830 / 260)
    assert censored_ratio(100.0, 260.0, quantile) is None
    assert censored_ratio(100.0, 260.0, None) is not None


def test_delay_is_never_shorter_than_the_expected_time():
    """Load: the work estimate of a route is too high after a change. Guards against
    hedges of requests that take as long as expected."""
    assert hedge_delay_ms(300.0, 0.4) == 300.0
    assert hedge_delay_ms(0.1, 1.0) == 2.0


def test_second_attempt_starts_while_it_can_still_be_in_time():
    """Load: several of the last responses took seven times as long. Guards against a
    delay that outlasts the target, and against one that hedges usual responses."""
    latest_ms = latest_useful_delay_ms(677.0, 250.0)
    assert latest_ms == pytest.approx(389.5)
    assert timely_delay_ms(1_444.0, 330.0, latest_ms) == latest_ms
    assert timely_delay_ms(360.0, 330.0, latest_ms) == 360.0
    assert timely_delay_ms(1_444.0, 420.0, latest_ms) == 420.0
    assert timely_delay_ms(1_444.0, 420.0, -50.0) == 420.0


def test_slow_endpoint_delays_the_hedge():
    """Load: the endpoints report that they are twice as slow. Guards against hedges of
    responses that are late only because the service is busy."""
    assert hedge_delay_ms(2 * 260.0, 1.3) == 2 * hedge_delay_ms(260.0, 1.3)


def test_hedge_in_usual_operation():
    """Load: 3 of 100 responses take seven times as long (264 ms and 1.8 s), with spare
    capacity. Guards against conditions that prevent the hedges that are wanted."""
    assert decide_hedge(MOMENT) is HedgeDecision.SEND
    assert hedge_slowdown_limit(MOMENT) == 1.5


@pytest.mark.parametrize(
    ("changes", "decision"),
    [
        ({"least_slowdown": 2.1}, HedgeDecision.OVERLOADED),
        ({"refused_at": 9_500.0}, HedgeDecision.OVERLOADED),
        ({"refused_at": 10_400.0}, HedgeDecision.OVERLOADED),
        (
            {"refused_at": MOMENT.now - REFUSAL_MEMORY_MS},
            HedgeDecision.SEND,
        ),
        ({"n_sends": 2}, HedgeDecision.MAX_ATTEMPTS),
        ({"max_attempts": 1}, HedgeDecision.MAX_ATTEMPTS),
        ({"is_sent": False}, HedgeDecision.UNSENT),
        ({"target_at": 10_000.0}, HedgeDecision.SEND),
        ({"deadline": 10_600.0}, HedgeDecision.TOO_LATE),
        ({"deadline": 10_300.0}, HedgeDecision.TOO_LATE),
        ({"target_at": 10_000.0, "deadline": 10_650.0}, HedgeDecision.TOO_LATE),
    ],
)
def test_when_there_is_no_hedge(changes, decision):
    """Load: all endpoints overloaded (least slowdown, refusals), or a request that is
    late. Guards against hedges that add to an overload, and against work whose response
    can't be in time."""
    assert decide_hedge(replace(MOMENT, **changes)) is decision


def test_hedge_needs_an_endpoint_that_is_still_in_time():
    """Load: a request with little time left. Guards against a hedge to an endpoint that
    is fast enough for others, but not for this one."""
    moment = replace(MOMENT, target_at=10_400.0 + 1.15 * 260.0 * 1.25)
    assert hedge_slowdown_limit(moment) == pytest.approx(1.25)


@pytest.mark.parametrize(
    ("is_idempotent", "is_body_streamed", "n_sends", "max_attempts", "is_allowed"),
    [
        (True, False, 0, 2, True),
        (True, False, 1, 3, True),
        (False, False, 0, 2, False),
        (True, True, 0, 2, False),
        (True, False, 0, 1, False),
        (True, False, 1, 2, False),
    ],
)
def test_which_requests_may_be_hedged(
    is_idempotent, is_body_streamed, n_sends, max_attempts, is_allowed
):
    """Guards against a request that is executed twice, sent without its whole body, or
    sent to more endpoints than its route allows, at any load."""
    assert (
        may_be_hedged(is_idempotent, is_body_streamed, n_sends, max_attempts)
        is is_allowed
    )


@pytest.mark.parametrize(
    "field", ["is_cold", "is_backing_off", "is_limited", "is_doubtful"]
)
def test_endpoints_that_get_no_hedge(field):
    """Load: a service starts cold, or endpoints fail. Guards against hedges to the
    endpoints that can take little."""
    sound = HedgeCandidate(False, False, False, False)
    assert may_get_hedge(sound)
    assert not may_get_hedge(replace(sound, **{field: True}))


def test_burst_gets_no_more_than_the_saved_hedges():
    """Load: a burst of slow responses after a long quiet time. Guards against hedges
    that were saved for long and are all sent when a service slows down."""
    budget = HedgeBudget(0.05)
    for _ in range(10_000):
        budget.deposit()
    assert sum(budget.withdraw() for _ in range(100)) == MAX_SAVED_HEDGES


def test_new_process_has_no_saved_hedges():
    """Load: entries that restart every few requests. Guards against hedges that each
    new process has before its first request."""
    budget = HedgeBudget(0.05)
    assert not budget.withdraw()
    n_hedges = 0
    for _ in range(MIN_RATIOS):
        budget.deposit()
        n_hedges += budget.withdraw()
    assert n_hedges <= 1
