"""Roll-outs that control replicas advance, through failures of the replicas."""

import json

import curio
import pytest

from pollenfold.control.subscriber import Subscriber
from pollenfold.core.rollouts.state import RolloutStage
from pollenfold.tests.control.simulated_entries import SimulatedEntry
from pollenfold.tests.control.test_cluster import follower, wait_until
from pollenfold.tests.platform.test_documents import ANNOUNCEMENT, CONFIGURATION

N_ENTRIES = 3


async def announce(cluster, number, endpoint_id, version, port):
    info = {**ANNOUNCEMENT["info"], "version": version}
    document = {**ANNOUNCEMENT, "info": info, "address": f"10.0.0.9:{port}"}
    path = f"/-/instances/{endpoint_id}"
    response = await cluster.call(number, b"PUT", path, document)
    assert response.status == 200


async def start_entries(cluster, **options):
    entries = [SimulatedEntry(f"e{n}", cluster, **options) for n in range(N_ENTRIES)]
    for entry in entries:
        await entry.start()
    return entries


async def start_rollout(cluster, duration_s, has_target=True, **options):
    """Order a roll-out; return entries that act on it."""
    put = await cluster.call(cluster.leader(), b"PUT", "/-/config", CONFIGURATION)
    assert put.status == 200
    entries = await start_entries(cluster, **options)
    number = follower(cluster)
    await announce(cluster, number, "i-1", "v1", 1)
    order = {"service": "booking", "targetVersion": "v2", "durationS": duration_s}
    response = await cluster.call(number, b"POST", "/-/rollouts", order)
    assert response.status == 200
    if has_target:
        await announce(cluster, number, "i-2", "v2", 2)
    return entries


async def state_at(cluster, number):
    response = await cluster.call(number, b"GET", "/-/rollouts/booking")
    return json.loads(response.body).get("state") if response.status == 200 else None


async def end_of(cluster, timeout_s=15.0):
    """Poll until the roll-out ends; return its final state."""
    async with curio.timeout_after(timeout_s):
        while True:
            for number in list(cluster.running):
                state = await state_at(cluster, number)
                if state in ("completed", "rolled_back"):
                    return state
            await curio.sleep(0.1)


def stage_of(cluster):
    running = next(iter(cluster.running.values()))
    return running.node.cluster_state.replicated_state.rollouts["booking"].stage


def test_good_version_is_completed(with_cluster):
    """Guards against a roll-out that ends late, and old endpoints that still count."""

    async def body(cluster):
        entries = await start_rollout(cluster, 4.0)
        registries = [entry.view.registry for entry in entries]
        registries += [r.node.cluster_state.registry for r in cluster.running.values()]
        await wait_until(lambda: all("i-2" in registry for registry in registries))
        assert {registry.get("i-2").version for registry in registries} == {"v2"}
        async with curio.timeout_after(4.0):
            assert await end_of(cluster) == "completed"
        state = cluster.running[cluster.leader()].node.cluster_state
        rollout = state.replicated_state.rollouts["booking"]
        assert rollout.replaced_versions == ("v1",)
        assert not rollout.uses("v1", False)

    with_cluster(body)


def test_bad_version_is_rolled_back(with_cluster):
    """Guards against a bad version that gets more than the limit of the requests."""

    async def body(cluster):
        entries = await start_rollout(cluster, 6.0, bad_share=0.5)
        async with curio.timeout_after(6.0):
            assert await end_of(cluster) == "rolled_back"
        n_sent = sum(entry.sent["new"] for entry in entries)
        assert n_sent <= 0.1 * 6.0 * 50 * N_ENTRIES + 50
        await wait_until(lambda: all(r.view.replicated_state.rollouts for r in entries))

    with_cluster(body)


def test_version_without_endpoints_is_rolled_back_by_the_deadline(with_cluster):
    """Guards against a roll-out to endpoints that never appear."""

    async def body(cluster):
        await start_rollout(cluster, 4.0, has_target=False)
        await curio.sleep(2.5)
        assert stage_of(cluster) is RolloutStage.CANARY
        async with curio.timeout_after(1.5):
            assert await end_of(cluster) == "rolled_back"

    with_cluster(body)


def test_order_for_the_version_in_use_is_completed(with_cluster):
    """Guards against a service without usable endpoints after a needless order."""

    async def body(cluster):
        put = await cluster.call(cluster.leader(), b"PUT", "/-/config", CONFIGURATION)
        assert put.status == 200
        await start_entries(cluster)
        await announce(cluster, follower(cluster), "i-2", "v2", 2)
        order = {"service": "booking", "targetVersion": "v2", "durationS": 30}
        response = await cluster.call(1, b"POST", "/-/rollouts", order)
        assert response.status == 200
        async with curio.timeout_after(6.0):
            assert await end_of(cluster) == "completed"

    with_cluster(body)


def test_completed_waits_for_what_is_in_flight(with_cluster):
    """Guards against a report of the end while a request is in flight at an endpoint
    that the operator then stops."""

    async def body(cluster):
        entries = await start_rollout(cluster, 3.0)
        entries[0].is_stuck = True
        await wait_until(lambda: stage_of(cluster) is RolloutStage.FULL)
        # The roll-out stays at this stage beyond its deadline.
        await curio.sleep(2.0)
        assert stage_of(cluster) is RolloutStage.FULL
        entries[0].is_stuck = False
        async with curio.timeout_after(2.0):
            assert await end_of(cluster) == "completed"

    with_cluster(body)


@pytest.mark.parametrize(
    ("bad_share", "end"), [(0.0, "completed"), (0.4, "rolled_back")]
)
def test_roll_out_ends_after_its_leader_is_killed(with_cluster, bad_share, end):
    """Guards against a roll-out that is lost or stands still with its leader."""

    async def body(cluster):
        entries = await start_rollout(cluster, 7.0)
        await curio.sleep(1.0)
        await cluster.stop(cluster.leader())
        for entry in entries:
            entry.bad_share = bad_share
        async with curio.timeout_after(8.0):
            assert await end_of(cluster) == end

    with_cluster(body)


def test_roll_out_ends_after_all_replicas_restart(with_cluster):
    """Guards against an acknowledged order that is lost, an end that is reported before
    the entries connected again, and a deadline that starts anew."""

    async def body(cluster):
        await start_rollout(cluster, 7.0)
        # The endpoints are cached once a second.
        await curio.sleep(1.3)
        for number in (1, 2, 3):
            await cluster.stop(number)
        await curio.sleep(0.5)
        for number in (1, 2, 3):
            await cluster.start(number)
            registry = cluster.running[number].node.cluster_state.registry
            assert registry.get("i-2").version == "v2"
        async with curio.timeout_after(9.0):
            assert await end_of(cluster) == "completed"

    with_cluster(body)


MALFORMED_REPORTS = [
    None,
    7,
    [],
    ["x", []],
    [1, {}],
    [1, [["booking"]]],
    [1, [["booking", 1, 1, -1, 0, {}]]],
    [1, [["booking", 1, 1, 0, 0, {"r1": [1, 2]}]]],
    [1, [["booking", 1, 1, 0, 0, {"r1": [1, 2, 0, 0, 0, 0]}]]],
    [1, [["booking", 1, 1, 0, 0, {"r1": [1, 0, 0, True, 0, 0]}]]],
    [1, [["booking", 1, 1, 0, 0, {"r" * 300: [0] * 6}]]],
    [1, [["booking", 1, 1, 0, 0, []]]],
]


def test_malformed_reports_are_counted(with_cluster):
    """Guards against a report that ends a feed, or counts without being valid."""

    async def body(cluster):
        node = cluster.running[1].node
        subscriber = Subscriber(None, {"name": "e", "role": "entry"}, "h", 0.0)
        for n_malformed, value in enumerate(MALFORMED_REPORTS, 1):
            node.rollouts._receive(subscriber, value)
            n_by_kind = node.cluster_state.malformed.n_by_kind
            assert n_by_kind == {"rollouts": n_malformed}

    with_cluster(body)
