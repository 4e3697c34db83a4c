"""The endpoint table: merge, expiry, leave notices and the digest."""

import pytest

from pollenfold.core.clock import Instant
from pollenfold.core.membership import (
    RETENTION_MS,
    EndpointTable,
    LeaveNotice,
    MergeOutcome,
    WarmState,
    merge_endpoints,
)
from pollenfold.testing.endpoints import make_endpoint

SERVICE = "pearl-market"
NOTICE = LeaveNotice(SERVICE, "10.0.0.1", 8080, 1)


@pytest.fixture
def table():
    return EndpointTable()


def at(ms):
    return Instant(float(ms))


def test_late_announcement_does_not_return_a_leaving_endpoint(table):
    """Guards against new requests to a leaving server after a delayed announcement."""
    table.merge(make_endpoint(), at(0))
    table.merge(make_endpoint(heartbeat=2, is_leaving=True), at(1))
    assert table.merge(make_endpoint(heartbeat=9), at(2)) is MergeOutcome.RENEWED
    assert table.endpoints(SERVICE) == ()
    table.expire(at(RETENTION_MS - 10))
    table.merge(make_endpoint(heartbeat=10), at(RETENTION_MS - 5))
    assert table.endpoints(SERVICE) == ()
    table.merge(make_endpoint(incarnation=2), at(RETENTION_MS - 4))
    assert [e.incarnation for e in table.endpoints(SERVICE)] == [2]


@pytest.mark.parametrize("is_known", [True, False])
def test_leave_notice_holds_against_announcements(table, is_known):
    """Guards against a notice that is lost because it arrived before the endpoint's
    first announcement."""
    if is_known:
        table.merge(make_endpoint(), at(0))
    assert table.apply_leave_notice(NOTICE, at(1)) is MergeOutcome.LEFT
    assert table.apply_leave_notice(NOTICE, at(2)) is MergeOutcome.UNCHANGED
    table.merge(make_endpoint(heartbeat=7), at(3))
    assert table.endpoints(SERVICE) == ()


def test_leave_notice_of_an_older_incarnation_is_ignored(table):
    """Guards against an old notice that removes a restarted server."""
    table.merge(make_endpoint(incarnation=2), at(0))
    assert table.apply_leave_notice(NOTICE, at(1)) is MergeOutcome.UNCHANGED
    assert len(table.endpoints(SERVICE)) == 1


def test_leave_notices_are_repeated_for_a_minute(table):
    """Guards against a new control leader that never receives a leave notice."""
    table.merge(make_endpoint(is_leaving=True), at(0), age_ms=20_000)
    assert table.leave_notices(at(39_000)) == (NOTICE,)
    assert table.leave_notices(at(41_000)) == ()


def test_endpoint_without_new_heartbeats_expires(table):
    """Guards against requests to a crashed server, and against a peer's stale
    record or a change of the warm state that prevents its expiry."""
    table.merge(make_endpoint(), at(0))
    table.merge(make_endpoint(heartbeat=2), at(4000))
    assert table.expire(at(9000)) == ()
    table.merge(make_endpoint(heartbeat=2), at(8000))
    table.merge(make_endpoint(heartbeat=2, warm=WarmState(1, True)), at(8500))
    assert [e.heartbeat for e in table.expire(at(9001))] == [2]
    assert table.merge(make_endpoint(heartbeat=2), at(9002)) is MergeOutcome.UNCHANGED
    assert table.endpoints(SERVICE) == ()
    assert table.merge(make_endpoint(heartbeat=3), at(9003)) is MergeOutcome.CHANGED
    assert len(table.endpoints(SERVICE)) == 1


def test_age_counts_towards_expiry(table):
    """Guards against a crashed endpoint that never expires because tables copy it from
    each other."""
    table.merge(make_endpoint(), at(0), age_ms=4000)
    assert len(table.expire(at(1001))) == 1
    table.merge(make_endpoint(heartbeat=2), at(1002), age_ms=6000)
    assert table.endpoints(SERVICE) == ()


def test_renewal_keeps_the_tuple_of_endpoints(table):
    """Guards against rebuilding the tuple of endpoints for every heartbeat."""
    table.merge(make_endpoint(), at(0))
    before = table.endpoints(SERVICE)
    table.merge(make_endpoint(heartbeat=2), at(1))
    assert table.endpoints(SERVICE) is before
    assert table.get(before[0].key).heartbeat == 2


@pytest.mark.parametrize(
    "left, right, expected",
    [
        (WarmState(2, True), WarmState(1, False), WarmState(2, True)),
        (WarmState(2, True), WarmState(2, False), WarmState(2, False)),
        (WarmState(9, True, 5), WarmState(1, False, 7), WarmState(1, False, 7)),
    ],
)
def test_merge_of_warm_states(left, right, expected):
    """Guards against full load on a server that another entry detected as cold."""
    a, b = make_endpoint(warm=left), make_endpoint(warm=right)
    assert merge_endpoints(a, b).warm == expected
    assert merge_endpoints(b, a).warm == expected


def test_equal_tables_exchange_only_counters(table):
    """Guards against an exchange that resends complete endpoints for renewals."""
    other = EndpointTable()
    for n in range(100):
        for t in (table, other):
            t.merge(make_endpoint(port=1000 + n), at(0))
    table.merge(make_endpoint(port=1005, heartbeat=70), at(1))
    digest = table.digest()
    assert other.renew(digest, at(2)) == 1
    difference = other.difference(digest, at(2))
    assert difference.entries == () and difference.buckets == ()
    assert other.get(make_endpoint(port=1005).key).heartbeat == 70


def test_counter_that_passes_16_bits_is_exchanged(table):
    """Guards against a counter that is ignored because its low 16 bits wrapped."""
    other = EndpointTable()
    table.merge(make_endpoint(heartbeat=65_537), at(0))
    other.merge(make_endpoint(heartbeat=65_535), at(0))
    other.renew(table.digest(), at(1))
    difference = table.difference(other.digest(), at(1))
    assert [e.endpoint.heartbeat for e in difference.entries] == [65_537]


def test_difference_is_bounded(table):
    """Guards against a response that contains a complete large table."""
    for n in range(500):
        table.merge(make_endpoint(port=1000 + n), at(0))
    difference = table.difference(EndpointTable().digest(), at(1), max_entries=100)
    assert 0 < len(difference.entries) <= 100
    assert len(difference.heartbeats) + len(difference.buckets) == 64
