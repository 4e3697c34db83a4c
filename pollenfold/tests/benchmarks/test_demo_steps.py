"""Tests of the demo's steps on real processes, with fake backend servers as entries."""

import pytest

from benchmarks import demo
from benchmarks.cluster import Cluster, HealthChecks, Topology
from benchmarks.demo import DemoRun, kill_and_restart, stop_entry, take_zone_out
from benchmarks.processes import EntryAddress, ProcessGroup, wait_healthy


class ClusterWithoutEntries(Cluster):
    """Cluster whose callers send directly to backend servers; operator commands do
    nothing."""

    async def run_operator_command(self, *arguments):
        return ""

    async def start(self):
        self.start_backends()
        self.entries = [
            EntryAddress(
                backend.name, backend.zone, backend.host, backend.port, backend.port, 0
            )
            for backend in self.backends
        ]
        for backend in self.backends:
            await wait_healthy(backend.host, backend.port)


@pytest.fixture
def with_demo_run(run, tmp_path):
    """Return a function that runs a test body on a demo run and its cluster."""

    def run_with(body):
        async def main():
            with ProcessGroup(tmp_path) as group:
                topology = Topology(services=("pearl-market",), slots=64)
                cluster = ClusterWithoutEntries(group, topology)
                await cluster.start()
                async with HealthChecks(cluster.entries) as checks:
                    run_logs = [backend.run_log for backend in cluster.backends]
                    demo_run = DemoRun(
                        cluster.targets, run_logs, checks.healthy_targets
                    )
                    await body(demo_run, cluster)

        run(main)

    return run_with


def test_planned_stop_that_drains_is_kept_and_a_kill_is_reported(with_demo_run):
    """Guards against a stop step that treats a killed process as a planned stop."""

    async def body(demo_run, cluster):
        await stop_entry(demo_run, cluster, 0)
        assert demo_run.steps[-1].broken_promises == []
        cluster.group.processes[cluster.entries[1].entry_id].kill()
        await stop_entry(demo_run, cluster, 1)
        failure = "pearl-market-1: expected exit status 0, got -9"
        assert failure in demo_run.steps[-1].broken_promises

    with_demo_run(body)


def test_zone_that_still_receives_work_is_a_broken_promise(with_demo_run, monkeypatch):
    """Guards against a zone step that counts no requests, or at the wrong time."""
    monkeypatch.setattr(demo, "ZONE_LIMIT_S", 0.2)

    async def body(demo_run, cluster):
        await take_zone_out(demo_run, cluster, "b")
        step = demo_run.steps[-1]
        # 80 calls/s for 2 s over three servers.
        assert step.n_late_work == pytest.approx(53, rel=0.5)
        assert len(step.broken_promises) == 1

    with_demo_run(body)


def test_killed_server_is_started_again_and_its_runs_are_kept(with_demo_run):
    """Guards against losing the executions of a killed server from the count."""

    async def body(demo_run, cluster):
        backend = cluster.backends[0]

        async def ready():
            await wait_healthy(backend.host, backend.port)

        await kill_and_restart(demo_run, cluster, "entry", backend.name, ready)
        # On a busy machine the load of that step can end before the server is ready.
        await demo.run_step(demo_run, "steady", 0.7)
        assert [step.broken_promises for step in demo_run.steps] == [[], []]
        n_logged = len(backend.run_log.read_text().splitlines())
        assert n_logged > (await cluster.counts(backend))["n_runs"] > 0

    with_demo_run(body)


def test_action_that_fails_is_reported_with_its_step(with_demo_run):
    """Guards against a failed step that is missing from the report."""

    async def body(demo_run, cluster):
        async def fail():
            raise RuntimeError("no such zone")

        step = await demo.run_step(demo_run, "fails", 0.7, fail)
        assert demo_run.steps == [step]
        assert step.broken_promises == ["no such zone"]
        assert demo.report(demo_run.steps) == 1

    with_demo_run(body)
