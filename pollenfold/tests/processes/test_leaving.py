"""A zone taken out of service and a leaving server get no new requests after 3 s."""

import json
from dataclasses import replace

import curio
import pytest

from benchmarks.cluster import Topology
from benchmarks.processes import wait_healthy, wait_until
from pollenfold.testing.partitions import INBOUND

from .system import CONTROL, ENTRIES, SERVICE, exchange

TOPOLOGY = Topology(n_control=1, n_ledger=1, services=(SERVICE,), service_ms=20)

LIMIT_S = 3.0
"""Time limit of guarantees 3 and 7."""


def arrange(cluster):
    """Put no server into the zone of the entries, so that they prefer none."""
    cluster.entries = [replace(entry, zone="c") for entry in cluster.entries]
    cluster.backends = [
        replace(backend, zone="b" if backend.zone == "b" else "a")
        for backend in cluster.backends
    ]


@pytest.fixture(autouse=True)
def restore_entries(system, run):
    """End partitions and suspensions after a test, and wait for healthy entries."""
    yield

    async def main():
        for entry in system.cluster.entries:
            system.group.partition(entry.entry_id)
            system.process(entry).resume()
        for entry in system.cluster.entries:
            await wait_healthy(entry.host, entry.platform_port)

    run(main)


def late_executions(system, n_before):
    """Return the ids of requests executed in zone b after the first ``n_before``.

    The number in an id shows through which entry the request came, in the order of
    the entries.
    """
    lines = backend_in_zone_b(system).run_log.read_text().splitlines()
    return [line.partition("\t")[0] for line in lines[n_before:]]


async def change_zone(system, version, state):
    """Change the zone record through the operator interface, as the command does."""
    record = {
        "schema_version": 1,
        "kind": "zone",
        "name": "b",
        "version": version,
        "spec": {"state": state, "region": "r1"},
    }
    (replica,) = system.cluster.control
    status, fields = await system.send_to_operator_port(
        replica, "POST", "/v1/records", record
    )
    assert status == 200, fields


def backend_in_zone_b(system):
    """Return the only backend server of zone b."""
    (backend,) = [server for server in system.cluster.backends if server.zone == "b"]
    return backend


async def count_received(system):
    """Return how many requests for work the server of zone b has received."""
    return (await system.cluster.counts(backend_in_zone_b(system)))["n_received"]


async def load_until_zone_b_works(system):
    """Send load until the server of zone b has received work from each entry."""
    await system.warm_up()
    for entry in system.cluster.entries:
        n_before = await count_received(system)

        async def has_sent():
            await system.load(100, 0.3, entries=[entry])
            return await count_received(system) > n_before

        await wait_until(has_sent, 10, f"work in zone b from {entry.entry_id}")


async def start_load(system, entries, duration_s):
    """Start load on each entry, with separate connections; return the tasks."""
    return [
        await curio.spawn(_send_load, system, entry, duration_s) for entry in entries
    ]


async def _send_load(system, entry, duration_s):
    return await system.load(25, duration_s, entries=[entry], n_connections=8)


async def join_all(tasks):
    """Return the results of all tasks."""
    return [await task.join() for task in tasks]


async def announce(system, entry, counts, state, heartbeat):
    """Announce the server of zone b to a single entry."""
    fields = {name: counts[name] for name in ("service", "zone", "incarnation")}
    fields |= {name: counts[name] for name in ("ttl_ms", "slots", "connections")}
    backend = backend_in_zone_b(system)
    fields |= {"host": backend.host, "port": backend.port}
    body = json.dumps({**fields, "state": state, "heartbeat": heartbeat}).encode()
    address = (entry.host, entry.platform_port)
    reply = await exchange(address, "POST", "/v1/announcements", {}, body)
    assert reply.status == 200, reply.body
    return json.loads(reply.body)


def test_zone_out(system, run):
    """Guards against requests from an entry that hasn't received the zone change.

    The second entry reaches the control replica only through its peers, the third is
    isolated, and the fourth is suspended before the change and resumed 4 s after it.
    """
    entries = system.cluster.entries
    _, through_peer, isolated, suspended = entries

    async def main():
        await load_until_zone_b_works(system)
        tasks = await start_load(system, entries, 6.5)
        await curio.sleep(0.5)
        system.group.partition(through_peer.entry_id, CONTROL)
        system.group.partition(isolated.entry_id, CONTROL, ENTRIES, INBOUND)
        system.process(suspended).suspend()
        change = await curio.spawn(change_zone, system, 2, "out")
        await curio.sleep(LIMIT_S)
        n_before = await count_received(system)
        n_runs = len(late_executions(system, 0))
        health = [await system.is_healthy(entry) for entry in entries[:3]]
        refused = await system.send(isolated)
        await curio.sleep(1)
        system.process(suspended).resume()
        results = await join_all(tasks)
        n_late = await count_received(system) - n_before
        late = late_executions(system, n_runs)
        await change.join()
        last = await system.send(through_peer)
        is_isolated_unhealthy = not await system.is_healthy(isolated)
        await change_zone(system, 3, "in")
        return n_late, late, health, refused, last, is_isolated_unhealthy, results

    n_late, late, health, refused, last, is_isolated_unhealthy, results = run(main)
    assert (n_late, late) == (0, [])
    assert health == [True, True, False]
    assert (refused.error, refused.state) == ("no_lease", "did_not_run")
    assert last.status == 200, last
    assert is_isolated_unhealthy
    assert all(result.n_complete for result in results)


def test_server_leaves(system, run):
    """Guards against a later ``serving`` announcement that reverts ``leaving``.

    The server itself continues to announce ``serving``, with the same incarnation.
    The second entry learns that the server is leaving only from its lease renewals.
    """
    entries = system.cluster.entries

    async def main():
        await load_until_zone_b_works(system)
        system.group.partition(entries[1].entry_id, ENTRIES, INBOUND)
        tasks = await start_load(system, entries, 5)
        await curio.sleep(0.5)
        counts = await system.cluster.counts(backend_in_zone_b(system))
        left = await announce(system, entries[0], counts, "leaving", 1 << 20)
        await curio.sleep(LIMIT_S)
        n_before = await count_received(system)
        late = [
            await announce(system, entry, counts, "serving", (1 << 20) + 1)
            for entry in entries
        ]
        results = await join_all(tasks)
        n_late = await count_received(system) - n_before
        return n_late, left, late, results

    n_late, left, late, results = run(main)
    assert left["state"] == "leaving"
    assert [response["accepted"] for response in late] == [False] * len(entries), late
    assert n_late == 0
    assert all(result.n_complete for result in results)
