"""Properties of the endpoint table when messages are reordered, delayed or repeated."""

from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.clock import Instant
from pollenfold.core.membership import (
    EndpointTable,
    LeaveNotice,
    WarmState,
    merge_endpoints,
)
from pollenfold.testing.endpoints import make_endpoint

SERVICE = "pearl-market"

warm_states = st.builds(WarmState, st.integers(0, 3), st.booleans(), st.integers(0, 2))
endpoints = st.builds(
    make_endpoint,
    port=st.just(1000),
    incarnation=st.integers(1, 3),
    heartbeat=st.sampled_from([1, 2, 65_535, 65_536, 131_073]),
    slots=st.integers(1, 3),
    zone=st.sampled_from("ab"),
    is_leaving=st.booleans(),
    warm=warm_states,
)
any_endpoints = st.builds(
    lambda endpoint, port: make_endpoint(
        port=port,
        incarnation=endpoint.incarnation,
        heartbeat=endpoint.heartbeat,
        is_leaving=endpoint.is_leaving,
        warm=endpoint.warm,
    ),
    endpoints,
    st.integers(1000, 1005),
)


@given(endpoints, endpoints, endpoints)
def test_merge_does_not_depend_on_the_order(a, b, c):
    """Guards against tables that don't converge after the same messages."""
    assert merge_endpoints(a, b) == merge_endpoints(b, a)
    assert merge_endpoints(a, merge_endpoints(b, c)) == merge_endpoints(
        merge_endpoints(a, b), c
    )
    assert merge_endpoints(a, a) == a


@given(st.data(), st.lists(endpoints, max_size=8), st.integers(1, 3))
def test_departed_incarnation_never_serves_again(data, messages, incarnation):
    """Guards against new work for a leaving server, for any order, delay and
    repetition of messages, heartbeats and expiry."""
    table = EndpointTable()
    notice = LeaveNotice(SERVICE, "10.0.0.1", 1000, incarnation)
    leave = make_endpoint(port=1000, incarnation=incarnation, is_leaving=True)
    now = Instant(0.0)
    has_left = False
    deliveries = data.draw(
        st.lists(st.sampled_from([notice, leave, *messages]), max_size=20)
    )
    for message in deliveries:
        now = Instant(now + data.draw(st.sampled_from([0.0, 100.0, 6000.0, 3.6e6])))
        if isinstance(message, LeaveNotice):
            table.apply_leave_notice(message, now)
            has_left = True
        else:
            table.merge(message, now)
            has_left |= message.is_leaving and message.incarnation == incarnation
        if data.draw(st.booleans()):
            table.expire(now)
        serving = [e.incarnation for e in table.endpoints(SERVICE)]
        assert not (has_left and incarnation in serving)


def exchange_digests(left, right, now):
    """Perform one digest exchange as entry.gossip does."""
    digest = left.digest()
    right.renew(digest, now)
    difference = right.difference(digest, now, max_entries=4)
    left.renew_from_difference(digest, difference, now)
    for entry in difference.entries:
        left.merge(entry.endpoint, now, entry.age_ms)
    for entry in list(left.entries(now, difference.buckets)):
        right.merge(entry.endpoint, now, entry.age_ms)


@given(
    st.lists(st.tuples(st.integers(0, 3), any_endpoints), max_size=30),
    st.randoms(use_true_random=False),
)
def test_all_tables_converge(messages, random):
    """Guards against entries whose views of the endpoints stay different."""
    tables = [EndpointTable() for _ in range(4)]
    reference = EndpointTable()
    now = Instant(10.0)
    for index, endpoint in messages:
        tables[index].merge(endpoint, now)
        reference.merge(endpoint, now)
        if random.random() < 0.3:
            exchange_digests(*random.sample(tables, 2), now)
    for _ in range(8):
        for left in tables:
            for right in tables:
                if left is not right:
                    exchange_digests(left, right, now)
    for table in tables:
        assert table.digest() == reference.digest()
        for _, endpoint in messages:
            assert table.get(endpoint.key) == reference.get(endpoint.key)
