"""What an entry holds of a tenant's quota, and asks for."""

import pytest

from pollenfold.core.allowances import FleetSize
from pollenfold.core.tenancy.quota_ledger import Grant
from pollenfold.core.tenancy.quota_limits import (
    BATCH_MS,
    PERMIT_VALIDITY_MS,
    QuotaLimits,
    divide_quota,
)
from pollenfold.core.tenancy.quota_shares import QuotaShares
from pollenfold.core.tenancy.tenants import Quota

LIMITS = QuotaLimits()
QUOTA = Quota(20.0, 20.0)
N_RESERVED = divide_quota(QUOTA, LIMITS).n_reserved


def share_of(quota=QUOTA):
    return QuotaShares(LIMITS, "e1").get("t", quota, 0.0)


def test_permits_end_by_the_time_of_the_ask():
    """Load: 3 permits, of which one is used in time.

    Guards against permits that a frozen or idle entry uses in a later window.
    """
    share = share_of()
    share.apply_grant(Grant(3), 0, asked_at=100.0, now=200.0)
    assert share.take(399.9) == 100.0 + PERMIT_VALIDITY_MS
    assert share.take(400.0) is None


def test_answer_that_is_too_late_gives_no_permits():
    """Guards against permits of a leader that was frozen while it answered."""
    share = share_of()
    share.apply_grant(Grant(3), 0, asked_at=100.0, now=400.0)
    assert share.take(400.0) is None


@pytest.mark.parametrize(("rate_per_s", "n_ahead"), [(1, 0), (10, 2), (100, 20)])
def test_entry_asks_for_the_permits_of_its_demand(rate_per_s, n_ahead):
    """Load: 1, 10 and 100 requests a second at one entry.

    Guards against a message for each request, and against permits that aren't used.
    """
    share = share_of()
    for number in range(5 * rate_per_s):
        share.count_request(1000.0 * number / rate_per_s)
    assert abs(share.n_to_ask(1, 5_000.0) - 1 - n_ahead) <= 1 + n_ahead * 0.1
    assert BATCH_MS < PERMIT_VALIDITY_MS
    share.apply_grant(Grant(0, 500.0), 1, 5_000.0, 5_000.0)
    assert share.n_to_ask(1, 5_500.0) == 1


def test_denied_entry_refuses_until_the_next_permit():
    """Load: 4 requests while a denial holds at 20 requests a second.

    Guards against an ask for each of them, and against one time for all.
    """
    share = share_of()
    denials = share.apply_grant(Grant(1, 250.0), 3, 0.0, 0.0)
    assert [denial.retry_after_ms for denial in denials] == [250.0, 300.0]
    share.take(0.0)
    assert share.denial(10.0).retry_after_ms == 340.0
    assert share.denial(49.0).retry_after_ms == 351.0
    assert share.denial(50.0) is None


def update(share, fleet, n_entries, now):
    fleet.report(n_entries, now)
    ids = frozenset(f"e{k}" for k in range(1, n_entries + 1))
    share.update_reserve("t", "e1", fleet, ids, now)


def test_reserve_is_used_only_after_a_window():
    """Guards against two processes of one entry that both use its share."""
    share, fleet = share_of(), FleetSize()
    for now in (0.0, 2_500.0, 4_999.0):
        update(share, fleet, 1, now)
        assert not share.take_reserve(now)
    update(share, fleet, 1, 5_001.0)
    n_taken = sum(share.take_reserve(5_001.0) for _ in range(2 * N_RESERVED))
    assert n_taken == N_RESERVED > 0
    assert not share.take_reserve(10_000.0)
    update(share, fleet, 1, 10_002.0)
    assert share.take_reserve(10_002.0)


def test_smaller_share_of_the_reserve_holds_at_once():
    """Guards against entries that use their shares of before others started."""
    share, fleet = share_of(), FleetSize()
    for now in (0.0, 5_001.0):
        update(share, fleet, 1, now)
    update(share, fleet, N_RESERVED, 5_002.0)
    n_taken = sum(share.take_reserve(5_003.0) for _ in range(2 * N_RESERVED))
    assert n_taken == 1


def test_lower_quota_lowers_the_reserve():
    """Guards against a reserve of the former quota."""
    shares, fleet = QuotaShares(LIMITS, "e1"), FleetSize()
    high = Quota(1_000.0, 1_000.0)
    for now, quota in ((0.0, high), (5_001.0, high), (5_002.0, QUOTA)):
        fleet.report(1, now)
        shares.update_reserve("t", quota, fleet, frozenset({"e1"}), now)
    share = shares.find("t")
    assert sum(share.take_reserve(5_003.0) for _ in range(1_000)) == N_RESERVED
    shares.retain(())
    assert shares.find("t") is None
