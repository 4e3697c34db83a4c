"""Planned stop of an entry, and the probe budget while an entry restarts."""

import curio

from benchmarks.cluster import HealthChecks, Topology, service_record
from benchmarks.processes import wait_healthy
from benchmarks.promises import StepResult, check_step

from .system import SERVICE, exchange, use_single_zone

TOPOLOGY = Topology(
    n_control=1, n_ledger=1, n_entries=2, services=(SERVICE,), n_backends_per_service=2
)

ENVIRONMENT = {"POLLENFOLD_DRAIN_NOTICE_MS": "1500"}

arrange = use_single_zone


def test_planned_stop_under_load(system, run):
    """Guards against aborted requests if the port closes before callers stop sending.

    After SIGTERM the health check must fail while the entry still accepts requests.
    """
    stopped = system.cluster.entries[1]
    process = system.process(stopped)

    async def main():
        await system.warm_up()
        async with HealthChecks(system.cluster.entries) as checks:
            load = await curio.spawn(
                lambda: system.load(100, 4, healthy=checks.healthy_targets, seed=2)
            )
            await curio.sleep(0.5)
            process.terminate()
            await curio.sleep(0.5)
            is_healthy = await system.is_healthy(stopped)
            address = (stopped.host, stopped.caller_port)
            late = await exchange(address, "GET", f"/{SERVICE}/stock", {})
            status = await process.wait(15)
            result = await load.join()
        system.group.restart(stopped.entry_id)
        await wait_healthy(stopped.host, stopped.platform_port)
        return is_healthy, late, status, result

    is_healthy, late, status, result = run(main)
    assert not is_healthy
    assert late.status == 200, late
    assert status == 0
    step = StepResult("planned stop", result)
    assert check_step(step, system.executions()) == []


def test_probes_stay_within_the_budget(system, run):
    """Guards against a restarted entry that uses its share of the budget twice."""
    spec = service_record(SERVICE, 1, TOPOLOGY.slots)["spec"]
    restarted = system.cluster.entries[0]

    async def counts():
        listed = [
            await system.cluster.counts(backend) for backend in system.cluster.backends
        ]
        return [
            sum(counted[name] for counted in listed)
            for name in ("n_probes", "n_probe_bytes")
        ]

    async def main():
        before = await counts()
        started = await curio.clock()
        load = await curio.spawn(system.load, 50, 6)
        for _ in range(2):
            await curio.sleep(1)
            system.process(restarted).kill()
            system.group.restart(restarted.entry_id)
            await wait_healthy(restarted.host, restarted.platform_port)
        await load.join()
        duration_s = await curio.clock() - started
        after = await counts()
        return [late - early for early, late in zip(before, after)], duration_s

    (n_probes, n_bytes), duration_s = run(main)
    assert n_probes > 0
    # Each token bucket may hold one second of its rate when the count starts.
    assert n_probes <= spec["probes_per_s"] * (duration_s + 1)
    assert n_bytes <= spec["probe_bytes_per_s"] * (duration_s + 1)
