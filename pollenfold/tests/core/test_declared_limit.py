"""The division of a declared limit, and the permits of one entry."""

import pytest

from pollenfold.core.allowances import RequestRate, divide_permits
from pollenfold.core.declared_limit import (
    WINDOW_MS,
    DeclaredLimit,
    LimitShare,
    divide_limit,
)


def _share(n_permits, is_checker=False):
    return LimitShare(n_permits, WINDOW_MS, is_checker, 16 * WINDOW_MS)


@pytest.mark.parametrize("n_permits", [0, 1, 13, 16, 100])
@pytest.mark.parametrize("n_entries", [1, 16, 312])
def test_permits_of_all_entries_add_up(n_entries, n_permits):
    """Guards against shares that are rounded up, which exceeds the sum, or down, which
    leaves permits unused."""
    names = frozenset(f"e{number}" for number in range(n_entries))
    shares = [divide_permits(n_permits, k, names, "i-1", n_entries) for k in names]
    assert sum(shares) == n_permits
    assert max(shares) - min(shares) <= 1


def test_entry_that_others_do_not_count_gets_no_permits():
    """Guards against a starting entry whose permits nobody leaves free."""
    assert divide_permits(100, "e9", frozenset({"e1", "e2"}), "i-1", 2) == 0
    assert divide_permits(100, "e9", frozenset(), "i-1", 1) == 0


def test_entries_that_were_reported_lately_keep_their_permits():
    """Guards against a share that grows while entries that are cut off use theirs."""
    names = frozenset({"e1", "e2"})
    assert sum(divide_permits(12, k, names, "i-1", 12) for k in names) == 2


def test_entry_that_takes_over_permits_waits_for_one_interval():
    """Guards against the permits of one window being used twice when they move to
    another entry."""
    limit = DeclaredLimit(1.0, 0.0)
    limit.set_share(_share(0), 0.0)
    assert limit.next_permit_at(10.0) == float("inf")
    limit.set_share(_share(1), 5_000.0)
    assert limit.next_permit_at(10.0) >= 5_000.0 + WINDOW_MS


def test_no_permit_while_a_request_is_being_sent():
    """Guards against a long upload that arrives together with the request after it."""
    limit = DeclaredLimit(1.0, 0.0)
    limit.set_share(_share(1), 0.0)
    limit.use_permit(0.0)
    limit.begin_send()
    assert limit.next_permit_at(10.0) == float("inf")
    limit.end_send(3_000.0)
    assert limit.next_permit_at(10.0) >= 3_000.0 + WINDOW_MS


def test_limit_far_above_the_fair_share_attracts_no_more():
    """Guards against a server that attracts the requests of its peers because it
    declares a high limit."""
    assert _share(40).interval_ms(10.0, 2.0) == 5 * _share(40).interval_ms(10.0, 20.0)


@pytest.mark.parametrize("rate_per_s", [1e-30, 1e-3, 1e6, 1e31])
def test_extreme_rates_are_divided(rate_per_s):
    """Guards against an error in an entry because of an extreme but valid limit."""
    limit = DeclaredLimit(rate_per_s, 0.0)
    limit.set_share(divide_limit(rate_per_s, "e1", frozenset({"e1"}), "i-1", 1), 0.0)
    assert limit.next_permit_at(1.0) >= 0.0


def test_only_one_entry_checks_often():
    """Guards against probes of all entries that alone exceed a limit of 0."""
    names = frozenset(f"e{number}" for number in range(16))
    shares = [divide_limit(0.0, k, names, "i-1", 16) for k in names]
    assert sum(s.is_checker for s in shares) == 1
    assert not any(s.n_permits for s in shares)
    assert {s.fallback_ms for s in shares} == {16 * WINDOW_MS}


def test_request_rate_of_the_first_moments_is_not_overestimated():
    """Guards against a high rate computed from the first request of a service."""
    rate = RequestRate(0.0)
    rate.add(1.0)
    assert rate.get(1.0) == 2.0
    assert rate.get(10_000.0) == 0.0
