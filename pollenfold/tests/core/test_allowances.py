"""Tests of limits on the sum over all entries."""

import pytest

from pollenfold.core.allowances import (
    UNKNOWN_FLEET_SIZE,
    FleetSize,
    WindowCount,
    cold_rate_limit,
    n_cold_permits,
)
from pollenfold.core.token_bucket import TokenBucket


def test_largest_recent_fleet_size_counts():
    """Guards against an entry whose share grows although partitioned entries still use
    theirs."""
    fleet = FleetSize()
    assert fleet.get(0.0) == UNKNOWN_FLEET_SIZE
    fleet.report(19, 0.0)
    fleet.report(3, 1_000.0)
    assert fleet.get(2_000.0) == 19
    assert fleet.get(40_000.0) == 3


def test_window_slides():
    """Guards against a limit that holds only in windows with fixed boundaries."""
    count = WindowCount(1_000.0)
    for now in (0.0, 600.0, 900.0):
        count.add(now)
    assert count.get(999.0) == 3
    assert count.get(1_000.0) == 2
    assert count.get(1_950.0) == 0


def test_token_bucket_refills_at_its_rate():
    """Guards against tokens that are granted twice or lost."""
    bucket = TokenBucket(10.0, 5.0, 0.0, level=5.0)
    assert bucket.try_acquire(5.0, 0.0)
    assert not bucket.try_acquire(1.0, 50.0)
    assert bucket.try_acquire(1.0, 150.0)


@pytest.mark.parametrize("n_entries", [1, 5, 12, 19, 30, 94, 300])
def test_cold_limit_holds_for_all_entries_together(n_entries):
    """Guards against overloading a cold endpoint with one request from each entry.

    Half of the entries know only half of the directory.
    """
    limit = cold_rate_limit(9.2, 1.5, 5.0)
    names = [f"e{number}" for number in range(n_entries)]
    complete = frozenset(names)
    half = frozenset(names[: n_entries // 2 + 1])
    for endpoint_id in ("i-1", "i-2", "i-3"):
        permits = [
            n_cold_permits(
                limit, name, half if k % 2 else complete, endpoint_id, n_entries
            )
            for k, name in enumerate(names)
        ]
        assert 1 <= sum(permits) <= limit
