"""Tests of the lease of an entry, with late and repeated responses."""

from pollenfold.core.clock import Instant
from pollenfold.core.lease import Lease


def test_lease_duration_counts_from_the_request():
    """Guards against an entry that works after its lease expired at the leader."""
    lease = Lease()
    assert not lease.is_valid(Instant(0))
    assert lease.renew(Instant(100), 2000, 0, Instant(900))
    assert lease.is_valid(Instant(2099))
    assert not lease.is_valid(Instant(2100))


def test_late_response_does_not_shorten_or_revive_a_lease():
    """Guards against responses that arrive out of order."""
    lease = Lease()
    lease.renew(Instant(500), 2000, 0, Instant(600))
    lease.renew(Instant(100), 2000, 0, Instant(700))
    assert lease.remaining_ms(Instant(700)) == 1800
    assert not lease.renew(Instant(500), 2000, 0, Instant(3000))
    assert not lease.is_valid(Instant(3000))


def test_expired_lease_restarts_only_with_the_newest_revision():
    """Guards against an entry that returns with an outdated configuration."""
    lease = Lease()
    lease.advance_revision(5)
    assert lease.renew(Instant(0), 2000, 5, Instant(10))
    assert lease.renew(Instant(1000), 2000, 6, Instant(1010))
    assert not lease.renew(Instant(4000), 2000, 6, Instant(4010))
    lease.advance_revision(6)
    assert lease.renew(Instant(4000), 2000, 6, Instant(4010))


def test_revision_never_decreases():
    """Guards against an entry that reverts to an older configuration."""
    lease = Lease()
    assert lease.advance_revision(7)
    assert not lease.advance_revision(6)
    assert lease.revision == 7


def test_start_of_a_continuous_lease():
    """Guards against using endpoints known from before the lease expired."""
    lease = Lease()
    lease.renew(Instant(0.0), 100.0, 0, Instant(10.0))
    lease.renew(Instant(90.0), 100.0, 0, Instant(95.0))
    assert lease.started_at == 10.0
    lease.renew(Instant(300.0), 100.0, 0, Instant(310.0))
    assert lease.started_at == 310.0
