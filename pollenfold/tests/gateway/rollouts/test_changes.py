"""Requests of an entry while stages, orders, zones or its contact to control change."""

import curio
import pytest

from pollenfold.tests.gateway.conftest import Backend

from .stages import (
    FakeFeed,
    FakeFeeds,
    announce,
    backends_of,
    n_requests,
    set_stage,
    wait_until,
)


def test_zone_evacuated_during_a_search(with_path):
    """Load: a request whose search is in progress when the zone of the target leaves.

    Guards against a request to an endpoint of an evacuated zone, and against one that
    fails although the old version has endpoints in other zones.
    """
    old, target = Backend("old"), Backend("new", check_delay_ms=60.0)

    async def body(path, *backends):
        announce(path, [old])
        path.announce(target, sequence=60, zone="b", version="v2")
        set_stage(path, "ramp", 0.99)
        path.forwarder._versions._rng.random = lambda: 0.5
        # The first search takes longer probes for usual.
        path.balancer._prober.probe = slowly(path.balancer._prober.probe)
        task = await curio.spawn(path.get)
        await wait_until(lambda: target.n_checks)
        state = path.view.replicated_state
        state.evacuated = frozenset({"b"})
        path.view._rebuild()
        assert (await task.join()).status == 200
        assert not target.requests
        assert len(old.requests) == 1

    with_path(body, old, target)


def slowly(probe):
    async def probe_slowly(service, state, endpoints, uses_longest_wait):
        return await probe(service, state, endpoints, True)

    return probe_slowly


@pytest.mark.parametrize("before", [None, "canary", "ramp"])
def test_stage_that_changes_between_choice_and_send(with_path, before):
    """Load: a request whose search is in progress when ``full`` comes into force.

    Guards against a request to the old version after this entry reported ``full`` with
    nothing in flight there.
    """
    old, target = Backend("old", check_delay_ms=60.0), Backend("new")

    async def body(path, *backends):
        path.view.forget("new", "not_started")
        announce(path, [old])
        if before is not None:
            set_stage(path, before, 0.0)
        path.balancer._prober.probe = slowly(path.balancer._prober.probe)
        task = await curio.spawn(path.get)
        await wait_until(lambda: old.n_checks)
        announce(path, target=[target])
        set_stage(path, "full")
        assert path.view.version_loads.n_in_flight("s", "v2") == (0, 0)
        assert (await task.join()).status == 200
        assert not old.requests
        assert len(target.requests) == 1

    with_path(body, old, target)


def test_order_that_comes_between_choice_and_send(with_path):
    """Load: a request whose search found the target before the order was known.

    Guards against an exposure beyond the share when an entry learns of the endpoints
    before it learns of the order.
    """
    old, target = Backend("old"), Backend("new", check_delay_ms=60.0)

    async def body(path, *backends):
        announce(path, [old], [target])
        path.confirm()
        path.view.expire()
        assert len(path.view.by_service["s"]) == 2
        path.balancer._prober.probe = slowly(path.balancer._prober.probe)
        path.view.start_backoff(path.view.endpoints["old"], 50.0)
        task = await curio.spawn(path.get)
        await wait_until(lambda: target.n_checks)
        set_stage(path, "canary", 0.0)
        assert (await task.join()).status == 200
        assert not target.requests

    with_path(body, old, target)


def test_entry_without_contact_does_not_test_the_target(with_path):
    """Load: 60 requests at an entry that is cut off from control in the ramp stage.

    Guards against requests to a version that was judged bad meanwhile, and against
    requests that fail because the old version was replaced and stopped meanwhile.
    """
    old, target = backends_of("old", 2), backends_of("new", 2)

    async def body(path, *backends):
        announce(path, old, target)
        set_stage(path, "ramp", 0.5)
        path.view.set_control_hosts([f"10.0.0.{number}" for number in range(1, 6)])
        feeds = FakeFeeds(n_connected=2)
        path.forwarder.control_contact.connect(feeds, 30.0)
        await curio.sleep(0.04)
        for _ in range(30):
            assert (await path.get()).status == 200
        assert n_requests(target) == 0
        for backend in old:
            await backend.end()
        for _ in range(30):
            await path.get()
        assert n_requests(target) >= 28

    with_path(body, *old, *target)


@pytest.mark.parametrize(
    ("leader", "n_connected", "is_confirmed", "is_lost"),
    [
        (None, 2, False, True),
        (FakeFeed(), 1, False, False),
        # Of a majority, one replica would announce a change of stage.
        (None, 3, False, False),
        (None, 0, True, False),
    ],
)
def test_contact_with_control(with_path, leader, n_connected, is_confirmed, is_lost):
    """Guards against a canary that stops during an election, and against one that goes
    on at an isolated entry."""

    async def body(path, backend):
        path.view.set_control_hosts([f"10.0.0.{number}" for number in range(1, 6)])
        contact = path.forwarder.control_contact
        contact.connect(FakeFeeds(leader, n_connected), 30.0)
        await curio.sleep(0.04)
        if is_confirmed:
            path.confirm()
        assert contact.is_lost() == is_lost

    with_path(body, Backend("one"))


@pytest.mark.parametrize("is_late", [True, False])
def test_resumed_entry_does_not_test_the_target(with_path, is_late):
    """Load: 40 requests that wait when an entry runs again after it was stopped. Its
    feeds are still open; it read no line of them yet (``is_late``), or just those that
    announce a change.

    Guards against requests to a version that was judged bad while the entry stood.
    """
    old, target = Backend("old"), Backend("new")

    async def body(path, *backends):
        announce(path, [old], [target])
        set_stage(path, "ramp", 0.99)
        feeds = FakeFeeds(FakeFeed(), n_connected=3)
        path.forwarder.control_contact.connect(feeds, 30.0)
        assert (await path.get()).status == 200
        assert n_requests([target]) == 1
        if is_late:
            feeds.heard_at = path.view._clock()
        else:
            path.view.announced_index = path.view.replicated_state.index + 1
        await curio.sleep(0.04)
        for _ in range(40):
            assert (await path.get()).status == 200
        assert n_requests([target]) == 1

    with_path(body, old, target)
