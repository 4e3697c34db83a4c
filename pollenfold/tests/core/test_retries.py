"""Tests of the rules and budgets for retries and hedged requests."""

import random

import pytest

from pollenfold.core.outcomes import AttemptOutcome
from pollenfold.core.records import RequestClass
from pollenfold.core.retries import (
    QuantileEstimate,
    RatioBudget,
    may_retry,
)


@pytest.mark.parametrize(
    "outcome, idempotent, non_idempotent",
    [
        (AttemptOutcome.RESPONDED, False, False),
        (AttemptOutcome.SERVER_ERROR, True, False),
        (AttemptOutcome.NOT_STARTED, True, True),
        (AttemptOutcome.UNREACHABLE, True, True),
        (AttemptOutcome.LOST, True, False),
        (AttemptOutcome.EXPIRED, False, False),
    ],
)
def test_non_idempotent_retry_only_when_never_started(
    outcome, idempotent, non_idempotent
):
    """Guards against retrying a non-idempotent request that may have started."""
    assert may_retry(outcome, RequestClass.IDEMPOTENT) is idempotent
    assert may_retry(outcome, RequestClass.NON_IDEMPOTENT) is non_idempotent


def test_budget_bounds_extra_requests_in_an_overload():
    """Guards against retries that multiply the load of a failing service."""
    budget = RatioBudget(0.1, burst=5.0)
    n_extra = 0
    for _ in range(1000):
        budget.deposit()
        n_extra += budget.withdraw()
    assert n_extra <= 5 + 0.1 * 1000


def test_returned_budget_permit_is_not_lost():
    """Guards against a hedge budget that is exhausted without any hedge sent."""
    budget = RatioBudget(0.0, burst=1.0)
    assert budget.withdraw()
    assert not budget.withdraw()
    budget.refund()
    assert budget.withdraw()


def test_quantile_converges_to_the_requested_share():
    """Guards against a hedge delay at which most calls would be hedged."""
    rng = random.Random(1)
    estimate = QuantileEstimate(0.95, initial_ms=500.0)
    n_above = 0
    for i in range(20_000):
        latency_ms = rng.expovariate(1 / 10)
        n_above += i >= 10_000 and latency_ms > estimate.value_ms
        estimate.observe(latency_ms)
    assert 0.02 < n_above / 10_000 < 0.10
