"""Configurations of thousands of routes through a cluster of control replicas."""

import json

import pytest

from pollenfold.core.routes import find_route
from pollenfold.testing.configurations import large_configuration
from pollenfold.tests.control.test_cluster import entry_view, follower, wait_until

N_ROUTES = (4_200, 14_000)


async def put(cluster, number, document):
    return await cluster.call(number, b"PUT", "/-/config", document)


async def get(cluster, number):
    response = await cluster.call(number, b"GET", "/-/config")
    assert response.status == 200
    return json.loads(response.body)


@pytest.mark.parametrize("n_routes", N_ROUTES)
def test_large_configuration_is_accepted_by_every_replica(with_cluster, n_routes):
    """Guards against a valid configuration that is refused for ever, or accepted by
    the leader only, because its command exceeds the size of a log entry."""

    async def body(cluster):
        for version, number in ((1, follower(cluster)), (2, cluster.leader())):
            document = large_configuration(n_routes, version=version)
            assert (await put(cluster, number, document)).status == 200
            for other in cluster.running:
                assert await get(cluster, other) == document

    with_cluster(body)


@pytest.mark.parametrize("n_routes", N_ROUTES)
def test_large_configuration_survives_a_restart_of_all(with_cluster, n_routes):
    """Guards against an acknowledged configuration that the replicas can't read from
    their disks."""

    async def body(cluster):
        document = large_configuration(n_routes)
        assert (await put(cluster, 1, document)).status == 200
        for number in (1, 2, 3):
            await cluster.stop(number)
        for number in (1, 2, 3):
            await cluster.start(number)
        await cluster.wait_until_formed()
        for number in (1, 2, 3):
            assert await get(cluster, number) == document

    with_cluster(body)


@pytest.mark.parametrize("has_snapshot", [False, True])
def test_replica_with_an_empty_disk_receives_a_large_configuration(
    with_cluster, has_snapshot, monkeypatch
):
    """Guards against a new replica that never catches up, because the entry or the
    snapshot with the configuration doesn't fit into a message."""
    if has_snapshot:
        monkeypatch.setattr("pollenfold.control.state_machine.ENTRIES_PER_SNAPSHOT", 4)

    async def body(cluster):
        document = large_configuration(N_ROUTES[-1])
        assert (await put(cluster, 1, document)).status == 200
        for number in range(6):
            left = await cluster.call(2, b"DELETE", f"/-/instances/i-{number}")
            assert left.status == 200
        lost = follower(cluster)
        snapshot_index = cluster.running[lost].node.replica.status()["snapshot_index"]
        assert (snapshot_index > 0) == has_snapshot
        await cluster.stop(lost)
        cluster.folder = cluster.folder / "new"
        await cluster.start(lost)
        await cluster.wait_until_formed()
        assert await get(cluster, lost) == document

    with_cluster(body)


def test_configuration_over_the_limit_is_refused_for_good(with_cluster):
    """Guards against an operator who repeats a configuration without end that is never
    accepted, since it gets no clear response."""

    async def body(cluster):
        document = large_configuration(10)
        document["comment"] = "x" * (5 << 20)
        for number in (follower(cluster), cluster.leader()):
            response = await put(cluster, number, document)
            assert response.status == 413
            assert b"retry-after" not in dict(response.headers)
        allowed = large_configuration(10)
        assert (await put(cluster, 1, allowed)).status == 200
        assert await get(cluster, 2) == allowed

    with_cluster(body)


def test_log_of_large_configurations_is_compacted(with_cluster, monkeypatch):
    """Guards against a log that fills memory and disk with superseded configurations,
    because only the number of its entries is bounded."""
    limit_bytes = 1 << 20
    monkeypatch.setattr(
        "pollenfold.control.state_machine.LOG_BYTES_PER_SNAPSHOT", limit_bytes
    )

    async def body(cluster):
        n_bytes = len(json.dumps(large_configuration(1_400)))
        for version in range(1, 4 * limit_bytes // n_bytes):
            document = large_configuration(1_400, version=version)
            assert (await put(cluster, 1, document)).status == 200
        for number, running in cluster.running.items():
            assert await get(cluster, number) == document
            entries = running.node.replica._state.log.entries
            assert sum(len(e.command) for e in entries) < limit_bytes + 2 * n_bytes
            assert running.node.replica.status()["snapshot_index"] > 0

    with_cluster(body)


def test_entry_follows_large_configurations(with_cluster):
    """Guards against an entry that loses a version of a large configuration, or waits
    for its decoding with a departure."""

    async def body(cluster):
        view, _ = await entry_view(cluster)
        for version in (1, 2, 3):
            document = large_configuration(N_ROUTES[-1], version=version)
            document["hosts"][0]["paths"][0]["timeoutMs"] = version
            assert (await put(cluster, version, document)).status == 200
        left = await cluster.call(1, b"DELETE", "/-/instances/i-1")
        assert left.status == 200
        await wait_until(lambda: "i-1" in view.replicated_state.departures, 3.0)
        await wait_until(lambda: view.replicated_state.version == 3)
        assert view.configuration.version == 3
        host = document["hosts"][0]
        path = host["paths"][0]["pathPrefix"]
        assert find_route(view.configuration, host["host"], path).timeout_ms == 3

    with_cluster(body)
