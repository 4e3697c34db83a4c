"""The control leader's entry leases, revisions in force and leave notices."""

import pytest

from pollenfold.core.clock import Instant
from pollenfold.core.directory import (
    LEASE_MARGIN_MS,
    LEASE_MS,
    EntryDirectory,
    LeaveNotice,
    LeaveNotices,
    LiveEntry,
)
from pollenfold.core.errors import ErrorKind

SETTLED = Instant(LEASE_MS + LEASE_MARGIN_MS)
"""When a leader since 0 is settled, and when a lease granted at 0 expires."""


def entry(name, incarnation=1, port=1):
    return LiveEntry(name, incarnation, "127.0.0.1", port, 2, 3, "a")


def renew(
    directory, live_entry, now, acknowledged=0, limit=19, holds=False, admits=True
):
    refusal = directory.check_lease(live_entry, holds, limit, admits, Instant(now))
    if refusal is None:
        directory.grant(live_entry, acknowledged, Instant(now))
    return refusal.kind if refusal else None


@pytest.fixture
def directory():
    return EntryDirectory(1, Instant(0))


def test_new_leader_waits_for_the_leases_of_its_predecessor(directory):
    """Guards against a revision reported as in force while an entry, leased by the
    previous leader, still applies an older one."""
    assert renew(directory, entry("a"), 10) is ErrorKind.NOT_READY
    assert renew(directory, entry("b"), 10, acknowledged=4, holds=True) is None
    assert directory.in_force_revision(4, Instant(SETTLED - 1)) == 0
    assert directory.published_revision(Instant(SETTLED - 1)) == 0
    assert directory.published_revision(SETTLED) > 0
    assert renew(directory, entry("a"), SETTLED) is None


def test_revision_is_not_in_force_until_unacknowledged_leases_expire(directory):
    """Guards against a revision that is reported as in force too early, or never."""
    renew(directory, entry("a"), 3000, acknowledged=1)
    renew(directory, entry("b"), 3000, acknowledged=2)
    assert directory.in_force_revision(2, Instant(3100)) == 1
    assert directory.entries_behind(2, Instant(3100)) == ["a"]
    assert directory.in_force_revision(2, Instant(3000 + LEASE_MS)) == 1
    assert directory.in_force_revision(2, Instant(3000 + SETTLED)) == 2
    renew(directory, entry("a"), 6000, acknowledged=1)
    assert directory.in_force_revision(2, Instant(6000)) == 2


def test_no_lease_beyond_max_entries(directory):
    """Guards against more entries than the probe budget is divided by."""
    for name in "abc":
        renew(directory, entry(name), 3000, limit=3)
    assert renew(directory, entry("d"), 3000, limit=3) is ErrorKind.FLEET_FULL
    assert renew(directory, entry("a"), 4000, limit=3) is None
    assert renew(directory, entry("c"), 4000, limit=2) is ErrorKind.FLEET_FULL
    assert renew(directory, entry("b"), 4000, limit=2) is None
    assert renew(directory, entry("d"), 3000 + SETTLED, limit=3) is None


def test_no_new_entry_while_the_limit_is_not_in_force(directory):
    """Guards against entries that divide the probe budget by different numbers."""
    renew(directory, entry("a"), 3000)
    assert renew(directory, entry("b"), 3000, admits=False) is ErrorKind.NOT_READY
    assert renew(directory, entry("a"), 3000, admits=False) is None


def test_restarted_entry_replaces_its_earlier_process(directory):
    """Guards against a revision reported as in force while the earlier process of an
    entry may still apply an older one."""
    renew(directory, entry("a", 1), 3000, acknowledged=1)
    before = directory.published_revision(Instant(3000))
    assert renew(directory, entry("a", 2), 3500, acknowledged=2) is None
    assert directory.live_entries() == (entry("a", 2),)
    assert directory.published_revision(Instant(3500)) > before
    assert renew(directory, entry("a", 1), 3600) is ErrorKind.BAD_REQUEST
    assert directory.in_force_revision(2, Instant(3600)) == 1


def test_directory_revisions_rise_with_each_change_and_leader(directory):
    """Guards against a warm-up owner that misses a change of the directory."""
    renew(directory, entry("a"), 3000)
    first = directory.published_revision(Instant(3000))
    renew(directory, entry("a"), 3100)
    assert directory.published_revision(Instant(3100)) == first
    renew(directory, entry("a", port=9), 3200)
    assert directory.published_revision(Instant(3200)) == first + 1
    assert directory.expire(Instant(3200 + SETTLED))
    assert directory.published_revision(Instant(6000)) == first + 2
    assert EntryDirectory(2, Instant(0)).published_revision(SETTLED) > first + 2


def test_leave_notices_are_kept_60_s():
    """Guards against notices that are dropped early or accumulate without limit."""
    notices = LeaveNotices()
    notice = LeaveNotice("10.0.0.1:80", "s", 5)
    assert notices.add(notice, 10_000, Instant(100_000))
    assert not notices.add(notice, 0, Instant(100_001))
    assert not notices.add(LeaveNotice("10.0.0.1:80", "s", 4), 0, Instant(100_001))
    assert not notices.add(LeaveNotice("10.0.0.2:80", "s", 1), 60_000, Instant(100_001))
    assert not notices.add(
        LeaveNotice("10.0.0.2:80", "s", 1), float("nan"), Instant(100_001)
    )
    assert notices.since(0, Instant(149_999)) == [(1, notice, 59_999)]
    assert notices.since(1, Instant(149_999)) == []
    assert notices.since(0, Instant(150_000)) == []
