"""The permits that a leader grants for the requests of tenants."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.clock import ManualClock
from pollenfold.core.tenancy.quota_ledger import Grant, QuotaLedger
from pollenfold.core.tenancy.quota_limits import (
    PERMIT_VALIDITY_MS,
    QuotaLimits,
    divide_quota,
)
from pollenfold.core.tenancy.tenants import Quota

LIMITS = QuotaLimits()


def started(quotas, at_ms=0.0):
    ledger = QuotaLedger(LIMITS)
    ledger.apply_quotas(quotas, ManualClock()())
    ledger.start(at_ms)
    return ledger


@given(
    st.floats(1e-9, 1e6), st.floats(0.0, 1e6), st.floats(0.0, 1.0), st.floats(0.0, 50.0)
)
def test_parts_stay_within_the_limit(rate, burst, overage, slack):
    """Guards against a bucket, a validity and a reserve that exceed the limit."""
    limits = QuotaLimits(5_000.0, overage, slack)
    quota = Quota(rate, burst)
    parts = divide_quota(quota, limits)
    used_ms = limits.window_ms + PERMIT_VALIDITY_MS
    n_most = parts.rate_per_s * used_ms / 1000 + parts.capacity + parts.n_reserved
    # One request can't be divided, however low the quota is.
    assert n_most <= max(limits.total(quota), 1.0) * 1.001 + 1.0


def test_leader_begins_with_an_empty_bucket():
    """Load: 10 requests at once when a leader begins, at 10 a second.

    Guards against a burst of each of two leaders in one window.
    """
    ledger = started({"t": Quota(10.0, 10.0)}, at_ms=400.0)
    assert ledger.grant("t", 10, 399.0) == Grant(0)
    assert ledger.grant("t", 10, 400.0).n_granted == 0
    assert ledger.grant("t", 10, 900.0).n_granted == 5


def test_denied_requests_are_told_successive_times():
    """Load: 4 requests at once at an empty bucket of 10 a second.

    Guards against callers that all come back for the same permit.
    """
    ledger = started({"t": Quota(10.0, 10.0)})
    waits = [ledger.grant("t", 1, 0.0).retry_after_ms for _ in range(4)]
    assert waits == [100.0, 200.0, 300.0, 400.0]
    assert ledger.grant("t", 2, 150.0) == Grant(1, 350.0)
    for at_ms in (200.0, 300.0, 400.0):
        assert ledger.grant("t", 1, at_ms) == Grant(1)


def test_permits_of_callers_that_stay_away_serve_others():
    """Load: 20 requests at once at 10 a second, of which none comes back.

    Guards against permits that are kept for callers that don't return.
    """
    ledger = started({"t": Quota(10.0, 10.0)})
    for _ in range(20):
        ledger.grant("t", 1, 0.0)
    assert [ledger.grant("t", 1, 101.0 + 100 * k).n_granted for k in range(9)] == [
        1
    ] * 9


def test_time_to_come_back_is_at_most_a_window():
    """Load: 1,000 requests at once at one a second.

    Guards against a Retry-After that grows with the number of refused requests.
    """
    ledger = started({"t": Quota(1.0, 1.0)})
    waits = [ledger.grant("t", 10, 0.0).retry_after_ms for _ in range(100)]
    assert max(waits) == LIMITS.window_ms


@pytest.mark.parametrize(("granted_ms", "n_granted"), [(4_000.0, 0), (5_000.0, 10)])
def test_new_quota_has_its_burst_only_after_a_window(granted_ms, n_granted):
    """Guards against a burst that the leader before granted as well."""
    ledger = started({})
    ledger.apply_quotas({"t": Quota(10.0, 10.0)}, granted_ms)
    assert ledger.grant("t", 10, granted_ms).n_granted == n_granted


def test_lower_quota_takes_the_level_down():
    """Guards against a burst of the former quota after it was lowered."""
    ledger = started({"t": Quota(100.0, 100.0), "u": Quota(5.0, 5.0)})
    ledger.apply_quotas({"t": Quota(10.0, 10.0), "u": Quota(5.0, 5.0)}, 10_000.0)
    assert ledger.grant("t", 100, 10_000.0).n_granted == 10
    ledger.apply_quotas({"u": Quota(5.0, 5.0)}, 10_100.0)
    assert ledger.grant("t", 100, 10_100.0) == Grant(100)
    assert ledger.grant("u", 1, 10_100.0) == Grant(1)


@pytest.mark.parametrize("rate", [5e-324, 1e-9, 1e15])
def test_extreme_rates_are_granted_or_denied(rate):
    """Guards against a rate of a configuration that ends the leader."""
    ledger = started({"t": Quota(rate, 0.0)})
    for at_ms in (0.0, 0.5, 1e6):
        grant = ledger.grant("t", 5, at_ms)
        assert 0 <= grant.retry_after_ms <= LIMITS.window_ms
