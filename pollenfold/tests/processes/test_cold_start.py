"""A cold backend server never gets more concurrent requests than it can handle."""

import curio
import pytest

from benchmarks.cluster import Topology
from benchmarks.processes import wait_healthy

from .system import SERVICE

TOPOLOGY = Topology(
    n_control=1, n_ledger=1, services=(SERVICE,), n_backends_per_service=1
)

ENVIRONMENT = {
    "POLLENFOLD_BACKEND_WARM_AFTER": "1000000",
    "POLLENFOLD_BACKEND_COLD_SLOW_FACTOR": "1",
}
"""The server stays cold, so that it counts each request that arrives while another one
is in flight. With factor 1, an overload doesn't change the service time."""

SETTLE_S = 1.0
"""Time for all entries to notice a server that turns cold without warning: its next
response reports it, the entry immediately pushes this to its peers, and digests reach
a peer that missed the push within a second."""


@pytest.fixture
def backend(system):
    """Return the only backend server."""
    return system.cluster.backends[0]


async def warm_up_owner(system):
    """Return the entry that may send to the cold server."""
    for entry in system.cluster.entries:
        if not system.process(entry).is_running:
            continue
        (service,) = (await system.entry_status(entry))["services"]
        if any(endpoint["limit"] for endpoint in service["endpoints"].values()):
            return entry
    return None


def test_four_entries_at_once(system, backend, run):
    """Guards against several entries sending to a server with a capacity of one."""

    async def main():
        await system.load(100, 4)
        return await system.cluster.counts(backend)

    counts = run(main)
    assert counts["n_completed"] > 0
    assert counts["cold"]
    assert counts["n_overload_violations"] == 0
    assert counts["greatest_working"] == 1


def test_warm_up_owner_killed(system, backend, run):
    """Guards against a new warm-up owner that sends too early.

    The requests of the killed owner may still be in flight at the server.
    """

    async def main():
        before = await system.cluster.counts(backend)
        load = await curio.spawn(system.load, 100, 7)
        await curio.sleep(0.5)
        killed = await warm_up_owner(system)
        system.process(killed).kill()
        await load.join()
        after = await system.cluster.counts(backend)
        successor = await warm_up_owner(system)
        system.group.restart(killed.entry_id)
        await wait_healthy(killed.host, killed.platform_port)
        return before, after, killed, successor

    before, after, killed, successor = run(main)
    assert successor not in (None, killed)
    assert after["n_completed"] > before["n_completed"]
    assert after["n_overload_violations"] == before["n_overload_violations"]
    assert after["greatest_working"] == 1


def test_warm_server_turns_cold_without_warning(system, backend, run):
    """Guards against entries that still treat the server as warm after the settle time.

    The server reports that it is warm until all entries treat it as warm, then it
    reports its true state. The violations before the settle time are printed.
    """

    async def count_violations():
        return (await system.cluster.counts(backend))["n_overload_violations"]

    async def main():
        await system.update_faults(backend, faults=[{"kind": "misleading_load"}])
        await system.warm_up()
        load = await curio.spawn(system.load, 150, 4)
        await curio.sleep(1)
        is_overloaded = await count_violations() > 0
        await system.update_faults(backend, faults=[])
        at_turn = await count_violations()
        await curio.sleep(SETTLE_S)
        settled = await count_violations()
        completed = (await system.cluster.counts(backend))["n_completed"]
        await load.join()
        served = (await system.cluster.counts(backend))["n_completed"] - completed
        late = await count_violations() - settled
        return is_overloaded, settled - at_turn, late, served

    is_overloaded, n_before, n_late, n_served = run(main)
    print(f"overload violations before the settle time: {n_before}")
    # Without an overload the entries never treated the server as warm.
    assert is_overloaded
    assert n_served > 0
    assert n_late == 0
