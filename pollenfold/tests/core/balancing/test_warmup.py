"""Warm-up: ownership, ramp, handover, and detection of cold endpoints."""

from dataclasses import replace

import pytest

from pollenfold.core.balancing.warmup import (
    N_HIGH_LATENCIES,
    N_SHEDS,
    SUCCESSES_PER_SLOT,
    Directory,
    WarmReason,
    WarmupController,
    warmup_owner,
)
from pollenfold.core.clock import Instant
from pollenfold.core.membership import WarmState
from pollenfold.testing.endpoints import make_endpoint, make_service

LEASE_MS = 2000.0
SPEC = make_service(timeout_ms=1000.0, cold_slots=1, slots_per_endpoint=6)
WAIT_MS = LEASE_MS + SPEC.timeout_ms
COLD = make_endpoint()
WARM = make_endpoint(warm=WarmState(1, True))


def directory(revision, *entry_ids, seen=0.0):
    return Directory(revision, Instant(float(seen)), entry_ids)


SINGLE_ENTRY = directory(1, "e1")


def endpoint_of(owner, entry_ids):
    """Return a cold endpoint whose warm-up owner is ``owner``."""
    for port in range(1000, 2000):
        endpoint = make_endpoint(port=port)
        if warmup_owner(entry_ids, endpoint.key) == owner:
            return endpoint
    raise AssertionError("the entry owns no endpoint in the port range")


class Sender:
    """The warm-up controller of one entry, with a simulated clock."""

    def __init__(self, entry_id="e1"):
        self.controller = WarmupController(entry_id, LEASE_MS)
        self.now = Instant(WAIT_MS)

    def limit(self, endpoint, seen=SINGLE_ENTRY, zone_version=0):
        return self.controller.limit(endpoint, SPEC, zone_version, seen, self.now)

    def record(self, endpoint, n=1, latency_ms=5.0, shed=False, cold=False):
        changes = [
            self.controller.record_result(
                endpoint, SPEC, latency_ms, shed, cold, self.now
            )
            for _ in range(n)
        ]
        return [change for change in changes if change]


@pytest.fixture
def sender():
    return Sender()


def ramp_to(sender, endpoint, limit):
    while sender.limit(endpoint) < limit:
        assert sender.record(endpoint) == []


def test_ramp_grows_with_responses_until_warm(sender):
    """Guards against a ramp that skips steps or never ends, or that grows while the
    server receives no requests."""
    assert sender.limit(COLD) == SPEC.cold_slots
    sender.now = Instant(sender.now + 3.6e6)
    sender.record(COLD, SUCCESSES_PER_SLOT - 1)
    assert sender.limit(COLD) == 1
    sender.record(COLD)
    assert sender.limit(COLD) == 2
    ramp_to(sender, COLD, 6)
    changes = sender.record(COLD, 6 * SUCCESSES_PER_SLOT)
    assert [change.reason for change in changes] == [WarmReason.RAMP_DONE]
    assert changes[0].endpoint.warm == WarmState(1, True, 0)


def test_ramp_is_reduced_on_shedding_and_high_latency(sender):
    """Guards against a ramp that exceeds the capacity of the cold server, or that
    ignores the server's own report."""
    sender.limit(COLD)
    sender.record(COLD, 100, cold=True)
    assert sender.limit(COLD) == SPEC.cold_slots
    ramp_to(sender, COLD, 5)
    sender.record(COLD, shed=True)
    assert sender.limit(COLD) == 2
    ramp_to(sender, COLD, 4)
    sender.record(COLD, 10)
    limit = sender.limit(COLD)
    sender.record(COLD, N_HIGH_LATENCIES, latency_ms=100.0)
    assert sender.limit(COLD) < limit
    sender.record(COLD, 3, shed=True)
    assert sender.limit(COLD) == SPEC.cold_slots


def test_only_the_owner_sends_to_a_cold_endpoint():
    """Guards against every entry sending requests to a cold server at the same time."""
    ids = ("e1", "e2", "e3")
    endpoint = endpoint_of("e2", ids)
    limits = {
        entry_id: Sender(entry_id).limit(endpoint, directory(1, *ids))
        for entry_id in ids
    }
    assert limits == {"e1": 0, "e2": 1, "e3": 0}


def test_new_owner_waits_for_the_previous_one(sender):
    """Guards against two simultaneous owners after a directory change."""
    endpoint = endpoint_of("e1", ("e1", "e2"))
    first = directory(1, "e2", seen=0)
    assert sender.limit(endpoint, first) == 0
    seen = Instant(sender.now + 10)
    second = directory(2, "e1", "e2", seen=seen)
    sender.now = Instant(seen + WAIT_MS - 1)
    assert sender.limit(endpoint, second) == 0
    sender.now = Instant(seen + WAIT_MS)
    assert sender.limit(endpoint, second) == 1


@pytest.mark.parametrize("revision, expected", [(2, 1), (3, 0), (1, 0)])
def test_ownership_counts_over_successive_revisions_only(sender, revision, expected):
    """Guards against a second owner when this entry missed a revision, and against a
    ramp that restarts on every unrelated change of the directory."""
    endpoint = endpoint_of("e1", ("e1", "e2", "e3"))
    assert sender.limit(endpoint, directory(1, "e1", "e2")) == 1
    later = directory(revision, "e1", "e2", "e3", seen=sender.now)
    assert sender.limit(endpoint, later) == expected


def test_former_owner_stops_and_restarts_the_ramp(sender):
    """Guards against an owner that keeps sending after losing ownership, or that
    resumes its old ramp when it owns the endpoint again."""
    endpoint = endpoint_of("e2", ("e1", "e2"))
    sender.limit(endpoint)
    sender.record(endpoint, SUCCESSES_PER_SLOT)
    assert sender.limit(endpoint) == 2
    assert sender.limit(endpoint, directory(2, "e1", "e2", seen=sender.now)) == 0
    third = directory(3, "e1", seen=sender.now)
    assert sender.limit(endpoint, third) == 0
    sender.now = Instant(sender.now + WAIT_MS)
    assert sender.limit(endpoint, third) == 1


def test_returned_zone_is_cold(sender):
    """Guards against full load on the servers of a zone that returns to service."""
    warm = make_endpoint(warm=WarmState(1, True, 4))
    assert sender.limit(warm, zone_version=4) == 6
    assert sender.limit(warm, zone_version=6) == SPEC.cold_slots
    changes = sender.record(warm, 200)
    assert changes[0].endpoint.warm == WarmState(2, True, 6)


def test_new_incarnation_is_cold(sender):
    """Guards against full load on a restarted server, and against resuming the ramp of
    its earlier incarnation."""
    assert sender.limit(WARM) == 6
    second = make_endpoint(incarnation=2)
    assert sender.limit(second) == SPEC.cold_slots
    ramp_to(sender, second, 4)
    assert sender.limit(make_endpoint(incarnation=3)) == SPEC.cold_slots


@pytest.mark.parametrize("n_entries, expected", [(1, 6), (4, 3), (19, 2)])
def test_warm_slots_are_shared(sender, n_entries, expected):
    """Guards against every entry using all slots of a warm server."""
    ids = ["e1", *(f"x{n}" for n in range(1, n_entries))]
    assert sender.limit(WARM, directory(1, *ids)) == expected


@pytest.mark.parametrize(
    "signs, reason",
    [
        (dict(n=1, cold=True), WarmReason.REPORTED),
        (dict(n=N_SHEDS, shed=True), WarmReason.SHEDDING),
        (dict(n=N_HIGH_LATENCIES, latency_ms=50.0), WarmReason.LATENCY),
    ],
)
def test_warm_endpoint_that_turns_cold(sender, signs, reason):
    """Guards against full load on a server that became cold, also before the table has
    merged the change."""
    sender.limit(WARM)
    assert sender.record(WARM, 50) == []
    changes = sender.record(WARM, **signs)
    assert [change.reason for change in changes] == [reason]
    assert changes[0].endpoint.warm == WarmState(2, False)
    assert sender.limit(WARM) == SPEC.cold_slots
    assert sender.limit(changes[0].endpoint) == SPEC.cold_slots


def test_isolated_signs_do_not_mark_an_endpoint_cold(sender):
    """Guards against removing capacity because of ordinary variance."""
    sender.limit(WARM)
    sender.record(WARM, 50)
    for _ in range(50):
        assert sender.record(WARM, N_SHEDS - 1, shed=True) == []
        assert sender.record(WARM, N_HIGH_LATENCIES - 1, latency_ms=40.0) == []
        assert sender.record(WARM, 20) == []


def test_overload_of_a_service_does_not_mark_endpoints_cold(sender):
    """Guards against a burst that marks all endpoints as cold, which would reduce
    capacity and worsen the overload."""
    endpoints = [replace(WARM, port=1000 + n) for n in range(12)]
    for endpoint in endpoints:
        sender.limit(endpoint)
        sender.record(endpoint, 50)
    changes = []
    for endpoint in endpoints:
        changes += sender.record(endpoint, N_SHEDS, shed=True)
    assert 0 < len(changes) <= 4
    # The server's own report is always accepted.
    assert len(sender.record(endpoints[-1], cold=True)) == 1


def test_late_result_of_an_earlier_state_is_ignored(sender):
    """Guards against responses to earlier requests that advance a new ramp, or that
    mark an endpoint as cold which has just become warm."""
    sender.limit(COLD)
    sender.limit(WARM)
    assert sender.record(COLD, cold=True) == []
    sender.limit(make_endpoint(incarnation=2))
    sender.record(WARM, 100)
    assert sender.limit(make_endpoint(incarnation=2)) == SPEC.cold_slots


def test_removed_endpoints_leave_no_state(sender):
    """Guards against keeping state for every server that ever existed."""
    sender.limit(COLD)
    sender.controller.retain(COLD.service, set())
    assert not sender.controller._by_id
    assert not sender.controller._services[COLD.service]


def test_owners_are_spread_and_stable():
    """Guards against one entry that owns most endpoints, and against an entry change
    that reassigns endpoints of the remaining entries."""
    ids = tuple(f"entry-{n}" for n in range(12))
    keys = [make_endpoint(port=1000 + n).key for n in range(600)]
    before = [warmup_owner(ids, key) for key in keys]
    assert max(before.count(entry_id) for entry_id in ids) < 100
    after = [warmup_owner(ids[1:], key) for key in keys]
    assert all(a == b for a, b in zip(after, before, strict=True) if b != ids[0])
    assert warmup_owner((), keys[0]) is None
