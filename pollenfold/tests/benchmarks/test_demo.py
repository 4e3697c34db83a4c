"""Tests that the checks of the demo detect each kind of violated guarantee."""

import json
from collections import Counter

import curio
import pytest

from benchmarks.cluster import Cluster, HealthChecks, Topology, initial_records
from benchmarks.demo import DemoRun, report, resend, run_step
from benchmarks.forwarder import Forwarder
from benchmarks.load import CallKind, ClassResult, LoadResult, Outcome
from benchmarks.processes import EntryAddress, ProcessGroup, wait_healthy
from benchmarks.promises import Executions, StepResult, check_step, read_executions
from pollenfold.http.messages import Response
from pollenfold.http.server import HttpServer
from pollenfold.testing.backend_server import BackendServer
from pollenfold.testing.backend_settings import BackendSettings

POST = CallKind("with_key", "POST", "/orders", 1, has_key=True)
NO_KEY = CallKind("without_key", "POST", "/orders", 1)
GET = CallKind("idempotent", "GET", "/stock", 1)


def make_outcome(state, kind=POST, request_id="r1", key="k1"):
    return Outcome(kind, request_id, key, ("127.0.0.1", 1), state)


def step_with(*outcomes, **fields):
    load = LoadResult({"with_key": ClassResult()}, list(outcomes))
    return StepResult("step", load, **fields)


def make_executions(by_key=None, by_request=None):
    return Executions(Counter(by_key or {}), Counter(by_request or {}))


@pytest.mark.parametrize(
    "step, counted, text",
    [
        (step_with(), make_executions({"k1": 2}), "key k1 ran 2 times"),
        (
            step_with(make_outcome("did_not_run")),
            make_executions({}, {"r1": 1}),
            "request r1 was answered did_not_run and ran",
        ),
        (
            step_with(make_outcome("did_not_run", request_id="r2")),
            make_executions({"k1": 1}, {"r1": 1}),
            "key k1 was answered did_not_run and ran",
        ),
        (
            step_with(make_outcome("whole")),
            make_executions(),
            "request r1 was answered and never ran",
        ),
        (
            step_with(make_outcome("whole", NO_KEY, key="")),
            make_executions({}, {"r1": 2}),
            "request r1 without a key ran 2 times",
        ),
        (
            step_with(n_late_work=3),
            make_executions(),
            "3 requests reached the zone 3 s after it was taken out",
        ),
    ],
)
def test_broken_promise_is_named(step, counted, text):
    """Guards against a demo that passes although a guarantee is violated."""
    assert check_step(step, counted) == [text]


def test_kept_promises_give_no_complaint():
    """Guards against a demo that fails on permitted behaviour."""
    step = step_with(
        make_outcome("whole"),
        make_outcome("did_not_run", key="k2", request_id="r2"),
        make_outcome("outcome_unknown", key="k3", request_id="r3"),
        make_outcome("whole", GET, key="", request_id="r4"),
        # A refused request whose resend was executed.
        make_outcome("did_not_run", key="k5", request_id="r5"),
        make_outcome("whole", key="k5", request_id="r5-again"),
        n_late_work=0,
    )
    counted = make_executions(
        {"k1": 1, "k3": 1, "k5": 1}, {"r1": 1, "r4": 2, "r5-again": 1}
    )
    assert check_step(step, counted) == []


@pytest.mark.parametrize(
    "reason, may_abort_requests, n_complaints",
    [
        ("connection closed", False, 1),
        ("connection closed", True, 0),
        ("surplus bytes after the answer", True, 1),
    ],
)
def test_aborted_requests_count_unless_an_entry_was_killed(
    reason, may_abort_requests, n_complaints
):
    """Guards against a planned stop whose aborted requests aren't reported."""
    step = step_with(may_abort_requests=may_abort_requests)
    step.load.classes["with_key"].broken[reason] += 1
    assert len(check_step(step, make_executions())) == n_complaints


def test_foreign_response_is_a_broken_promise():
    """Guards against a demo that accepts the response to another caller's request."""
    step = step_with()
    step.load.classes["with_key"].wrong["not its own"] += 1
    assert check_step(step, make_executions()) == [
        "1 answers of class with_key were not its own"
    ]


async def start_demo_run(tmp_path):
    """Return a demo run with two baseline forwarders, which don't deduplicate keys."""
    run_log = tmp_path / "runs"
    backend = BackendServer(
        BackendSettings(run_log=run_log, starts_cold=False, slots=64)
    )
    await backend.start()
    targets = []
    for _ in range(2):
        forwarder = Forwarder([("127.0.0.1", backend.port)], 64)
        server = HttpServer(forwarder.handle)
        targets.append(("127.0.0.1", await server.start("127.0.0.1", 0)))
    return DemoRun(tuple(targets), [run_log]), backend


def test_demo_fails_on_a_forwarder_that_runs_resent_keys_again(run, tmp_path, capsys):
    """Guards against resends that aren't sent, or executions that aren't counted."""

    async def main():
        demo_run, backend = await start_demo_run(tmp_path)
        steady = await run_step(demo_run, "steady", 0.5)
        assert steady.broken_promises == []
        assert report(demo_run.steps) == 0
        resent = await run_step(demo_run, "resend keys", 0.5, resends_all=True)
        assert resent.max_executions == 2
        assert len(resent.resends) == len(resent.broken_promises) > 0
        assert all("ran 2 times" in text for text in resent.broken_promises)
        assert report(demo_run.steps) == 1
        later = await run_step(demo_run, "later", 0.2)
        assert later.broken_promises == []
        await backend.stop()

    run(main)
    assert "broken promise: resend keys: key key-resend" in capsys.readouterr().out


def test_unknown_keys_are_resent_through_another_entry(run, tmp_path):
    """Guards against a resend through the same entry that already failed."""

    async def main():
        demo_run, backend = await start_demo_run(tmp_path)
        first, second = demo_run.targets
        load = LoadResult({POST.name: ClassResult()})
        for n, state in enumerate(("unknown", "whole", "did_not_run")):
            load.outcomes.append(Outcome(POST, f"r{n}", f"k{n}", first, state))
        resent = await resend(demo_run, load, resends_all=False)
        assert [(outcome.key, outcome.target) for outcome in resent] == [("k0", second)]
        await backend.stop()

    run(main)


def test_health_checks_follow_the_platform_port(run):
    """Guards against load on an entry whose health check reports that it is leaving."""

    async def main():
        status = 200

        async def respond(request):
            return Response(status, [])

        port = await HttpServer(respond).start("127.0.0.1", 0)
        entry = EntryAddress("e1", "a", "127.0.0.1", 80, port, 81)
        async with HealthChecks([entry]) as checks:
            await curio.sleep(0.2)
            assert checks.healthy_targets == {("127.0.0.1", 80)}
            status = 503
            await curio.sleep(0.3)
            assert checks.healthy_targets == set()

    run(main)


def test_cluster_addresses_differ_and_its_backends_count_by_zone(run, tmp_path):
    """Guards against processes with the same address, and counts of the wrong zone."""

    async def main():
        with ProcessGroup(tmp_path) as group:
            cluster = Cluster(group, Topology(slots=64))
            hosts = [
                *(replica.host for replica in cluster.control),
                *(replica.host for replica in cluster.ledger),
                *(entry.host for entry in cluster.entries),
                *(server.host for server in cluster.backends),
            ]
            assert len(set(hosts)) == len(hosts) == 16
            cluster.start_backends()
            for backend in cluster.backends:
                await wait_healthy(backend.host, backend.port)
            b = next(server for server in cluster.backends if server.zone == "b")
            demo_run = DemoRun(((b.host, b.port),), [b.run_log], rate_per_s=40)
            await run_step(demo_run, "one", 0.5)
            received = [await cluster.received_in_zone(zone) for zone in "abc"]
            assert received[0] == received[2] == 0 < received[1]
            assert read_executions([b.run_log]).by_request.total() == received[1]

    run(main)


def test_records_have_both_schema_versions():
    """Guards against a demo that doesn't cover both schema versions."""
    records = initial_records(Topology())
    assert {record["schema_version"] for record in records} == {1, 2}
    assert len({(record["kind"], record["name"]) for record in records}) == 6
    assert json.loads(json.dumps(records)) == records
