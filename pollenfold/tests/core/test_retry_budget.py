"""Tests of one entry's share of the budget of retries."""

import pytest

from pollenfold.core.allowances import FLEET_SIZE_WINDOW_MS, FleetSize
from pollenfold.core.retry_budget import (
    RetryBudget,
    RetryLimits,
    SettledMinimum,
    n_extra_permits,
)

LIMITS = RetryLimits(0.2, 64, 10_000.0)


def settled_budget(name, names):
    """Return the budget of an entry that knows all entries for a whole window."""
    fleet = FleetSize()
    fleet.report(len(names), 0.0)
    budget = RetryBudget(LIMITS, name, 0.0)
    budget.update_share(fleet, frozenset(names), 0.0)
    budget.update_share(fleet, frozenset(names), LIMITS.window_ms + 1.0)
    return budget


@pytest.mark.parametrize("n_entries", [1, 7, 19, 94])
def test_retries_stay_within_the_total_allowance(n_entries):
    """Guards against retries of all entries that together exceed the allowance."""
    names = [f"e{number}" for number in range(n_entries)]
    budgets = [settled_budget(name, names) for name in names]
    n_requests = n_retries = 0
    for step in range(2_000):
        now = LIMITS.window_ms + 2.0 + step
        budget = budgets[step % n_entries]
        budget.count_request("s", now)
        n_requests += 1
        n_retries += sum(budget.try_acquire("s", now).is_permitted for _ in range(3))
    assert 0 < n_retries <= 0.2 * n_requests + 64


@pytest.mark.parametrize("n_entries", [1, 12, 16, 19, 312])
@pytest.mark.parametrize("n_extra", [0, 1, 10, 56, 60, 64, 430])
def test_extra_retries_are_divided_in_whole_retries(n_entries, n_extra):
    """Guards against shares below one retry that nobody uses, and against a sum above
    the limit while half of the entries know only half of the others."""
    names = [f"e{number}" for number in range(n_entries)]
    complete = frozenset(names)
    half = frozenset(names[: n_entries // 2 + 1])

    def total(directories):
        return sum(
            n_extra_permits(n_extra, name, directory, n_entries)
            for name, directory in zip(names, directories, strict=True)
        )

    n_given = total([complete] * n_entries)
    assert n_given <= n_extra
    assert n_given >= int(n_extra / 2)
    mixed = [half if number % 2 else complete for number in range(n_entries)]
    assert total(mixed) <= n_extra


def test_new_process_has_no_extra_retries_in_its_first_window():
    """Guards against a share that each new process gets again, though its predecessor
    used it in the same window."""
    fleet = FleetSize()
    fleet.report(1, 0.0)
    budget = RetryBudget(LIMITS, "e1", 0.0)
    for now in (0.0, 5_000.0, 10_000.0):
        budget.update_share(fleet, frozenset({"e1"}), now)
        assert not budget.try_acquire("s", now).is_permitted
    assert budget.try_acquire("s", 10_001.0).is_permitted


def test_requests_of_a_new_process_permit_retries_at_once():
    """Guards against a restart after which no request is retried for a window."""
    budget = RetryBudget(LIMITS, "e1", 0.0)
    for _ in range(7):
        budget.count_request("s", 1.0)
    assert budget.try_acquire("s", 1.0).is_permitted
    assert not budget.try_acquire("s", 1.0).is_permitted


def test_retries_earned_by_old_requests_are_not_sent():
    """Guards against retries for requests from before a window, which come in addition
    to those that the next process of this entry sends."""
    budget = RetryBudget(LIMITS, "e1", 0.0)
    for _ in range(100):
        budget.count_request("s", 0.0)
    assert budget.try_acquire("s", 2_499.0).share == 16
    assert budget.try_acquire("s", 2_499.0).is_permitted
    assert not budget.try_acquire("s", 2_500.0).is_permitted


def test_share_falls_at_once_and_rises_after_a_window():
    """Guards against two entries that both use a share which moved between them."""
    minimum = SettledMinimum(10_000.0, 0.0)
    minimum.record(3, 0.0)
    assert minimum.get(9_999.0) == 0
    assert minimum.get(10_001.0) == 3
    minimum.record(1, 12_000.0)
    assert minimum.get(12_000.0) == 1
    minimum.record(5, 13_000.0)
    assert minimum.get(23_000.0) == 1
    assert minimum.get(23_001.0) == 5


def test_entry_that_hears_nothing_of_the_others_has_no_share():
    """Guards against an entry that is cut off and uses a share which the others have
    divided among themselves."""
    fleet = FleetSize()
    fleet.report(2, 0.0)
    budget = RetryBudget(LIMITS, "e1", 0.0)
    names = frozenset({"e1", "e2"})
    budget.update_share(fleet, names, 0.0)
    now = FLEET_SIZE_WINDOW_MS
    budget.update_share(fleet, names, now)
    assert budget.try_acquire("s", now).is_permitted
    budget.update_share(fleet, names, now + 1.0)
    assert not budget.try_acquire("s", now + 1.0).is_permitted


def test_counts_of_removed_services_are_dropped():
    """Guards against memory that grows with each service that was ever configured."""
    budget = RetryBudget(LIMITS, "e1", 0.0)
    budget.count_request("old", 0.0)
    budget.count_request("kept", 0.0)
    budget.retain({"kept"})
    assert set(budget._services) == {"kept"}
