"""Control replicas that replace a lost disk over a slow link."""

import curio
import pytest

from pollenfold.core.agreement.members import host_and_port
from pollenfold.observe.clock import system_clock
from pollenfold.testing.configurations import large_configuration
from pollenfold.tests.control.slow_link import SlowLink
from pollenfold.tests.control.test_cluster import wait_until

LINK_BYTES_PER_S = 500_000
"""4 Mbit/s."""

N_VERSIONS = 12
CATCH_UP_MS = 4_000.0
"""After this time operators count a replica on a new disk as present."""


async def start_behind_link(cluster, number):
    """Start a replica on a new disk, to which the others have a slow link."""
    host = f"127.0.0.{number}"
    link = SlowLink((host, cluster.peer_port), LINK_BYTES_PER_S)
    await link.start()

    def resolve(replica_id):
        address = host_and_port(replica_id)
        return ("127.0.0.1", link.port) if address[0] == host else address

    for running in cluster.running.values():
        running.node.replica._calls._resolve = resolve
    await cluster.start(number)


async def put(cluster, document):
    """Send a configuration until it is acknowledged, as operators do."""
    call = (1, b"PUT", "/-/config", document)
    while (await cluster.call(*call)).status != 200:
        await curio.sleep(0.1)


@pytest.mark.parametrize("n_routes", [2, 1_400, 14_000])
def test_replica_behind_a_slow_link_becomes_a_voter_in_time(with_cluster, n_routes):
    """Guards against a successor that never votes, because each document takes longer
    than the timeout of a call: the next lost disks then leave no majority."""

    async def body(cluster):
        for version in range(1, N_VERSIONS + 1):
            document = large_configuration(n_routes, version=version)
            await put(cluster, document)
        running = cluster.running.items()
        lost = next(k for k, r in running if not r.node.replica.is_leader())
        await cluster.stop(lost)
        cluster.folder = cluster.folder / "new"
        started_at = system_clock()
        await start_behind_link(cluster, lost)
        new_id = cluster.running[lost].node.replica_id
        others = [r.node.replica for k, r in cluster.running.items() if k != lost]
        await wait_until(lambda: all(new_id in k.voters() for k in others), 8.0)
        assert system_clock() - started_at < CATCH_UP_MS

    with_cluster(body)
