"""The checks of the demo must notice each kind of broken promise."""

import json
from collections import Counter

import curio
import pytest

from benchmarks.cluster import Cluster, HealthChecks, Topology, initial_records
from benchmarks.demo import Stage, report, resend, run_step
from benchmarks.forwarder import Forwarder
from benchmarks.load import CallKind, ClassResult, LoadResult, Outcome
from benchmarks.processes import EntryAddress, ProcessGroup, wait_healthy
from benchmarks.promises import Runs, StepResult, check_step, read_runs
from pollenfold.http.messages import Response
from pollenfold.http.server import HttpServer
from pollenfold.testing.backend_server import BackendServer
from pollenfold.testing.backend_settings import BackendSettings

POST = CallKind("with_key", "POST", "/orders", 1, has_key=True)
NO_KEY = CallKind("without_key", "POST", "/orders", 1)
GET = CallKind("idempotent", "GET", "/stock", 1)


def outcome(state, kind=POST, request_id="r1", key="k1"):
    return Outcome(kind, request_id, key, ("127.0.0.1", 1), state)


def step_with(*outcomes, **fields):
    load = LoadResult({"with_key": ClassResult()}, list(outcomes))
    return StepResult("step", load, **fields)


def runs(by_key=None, by_request=None):
    return Runs(Counter(by_key or {}), Counter(by_request or {}))


@pytest.mark.parametrize(
    "step, seen, text",
    [
        (step_with(), runs({"k1": 2}), "key k1 ran 2 times"),
        (
            step_with(outcome("did_not_run")),
            runs({}, {"r1": 1}),
            "request r1 was answered did_not_run and ran",
        ),
        (
            step_with(outcome("did_not_run", request_id="r2")),
            runs({"k1": 1}, {"r1": 1}),
            "key k1 was answered did_not_run and ran",
        ),
        (
            step_with(outcome("whole")),
            runs(),
            "request r1 was answered and never ran",
        ),
        (
            step_with(outcome("whole", NO_KEY, key="")),
            runs({}, {"r1": 2}),
            "request r1 without a key ran 2 times",
        ),
        (
            step_with(n_late_work=3),
            runs(),
            "3 requests reached the zone 3 s after it was taken out",
        ),
    ],
)
def test_broken_promise_is_named(step, seen, text):
    """Guards against a demo that passes whatever the system does."""
    assert check_step(step, seen) == [text]


def test_kept_promises_give_no_complaint():
    """Guards against a demo that fails on behaviour that is allowed."""
    step = step_with(
        outcome("whole"),
        outcome("did_not_run", key="k2", request_id="r2"),
        outcome("outcome_unknown", key="k3", request_id="r3"),
        outcome("whole", GET, key="", request_id="r4"),
        # A refused request whose resend ran.
        outcome("did_not_run", key="k5", request_id="r5"),
        outcome("whole", key="k5", request_id="r5-again"),
        n_late_work=0,
    )
    seen = runs({"k1": 1, "k3": 1, "k5": 1}, {"r1": 1, "r4": 2, "r5-again": 1})
    assert check_step(step, seen) == []


@pytest.mark.parametrize(
    "reason, may_break, n_complaints",
    [
        ("connection closed", False, 1),
        ("connection closed", True, 0),
        ("surplus bytes after the answer", True, 1),
    ],
)
def test_cut_off_requests_count_unless_an_entry_was_killed(
    reason, may_break, n_complaints
):
    """Guards against a planned stop that cuts requests off unnoticed."""
    step = step_with(may_break=may_break)
    step.load.classes["with_key"].broken[reason] += 1
    assert len(check_step(step, runs())) == n_complaints


def test_foreign_answer_is_a_broken_promise():
    """Guards against an answer to another caller that passes."""
    step = step_with()
    step.load.classes["with_key"].wrong["not its own"] += 1
    assert check_step(step, runs()) == ["1 answers of class with_key were not its own"]


async def start_stage(tmp_path):
    """Return a stage with two baseline forwarders, which do run keys twice."""
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
    return Stage(tuple(targets), [run_log]), backend


def test_demo_fails_on_a_forwarder_that_runs_resent_keys_again(run, tmp_path, capsys):
    """Guards against resends that never reach the system, or runs not counted."""

    async def main():
        stage, backend = await start_stage(tmp_path)
        steady = await run_step(stage, "steady", 0.5)
        assert steady.broken_promises == []
        assert report(stage.steps) == 0
        again = await run_step(stage, "resend keys", 0.5, resends_all=True)
        assert again.greatest_runs == 2
        assert len(again.resends) == len(again.broken_promises) > 0
        assert all("ran 2 times" in text for text in again.broken_promises)
        assert report(stage.steps) == 1
        later = await run_step(stage, "later", 0.2)
        assert later.broken_promises == []
        await backend.stop()

    run(main)
    assert "broken promise: resend keys: key key-resend" in capsys.readouterr().out


def test_unknown_keys_are_sent_again_through_another_entry(run, tmp_path):
    """Guards against a resend that only asks the entry that already failed."""

    async def main():
        stage, backend = await start_stage(tmp_path)
        first, second = stage.targets
        load = LoadResult({POST.name: ClassResult()})
        for n, state in enumerate(("unknown", "whole", "did_not_run")):
            load.outcomes.append(Outcome(POST, f"r{n}", f"k{n}", first, state))
        again = await resend(stage, load, resends_all=False)
        assert [(one.key, one.target) for one in again] == [("k0", second)]
        await backend.stop()

    run(main)


def test_health_checks_follow_the_platform_port(run):
    """Guards against load on an entry that has said that it leaves."""

    async def main():
        status = 200

        async def answer(request):
            return Response(status, [])

        port = await HttpServer(answer).start("127.0.0.1", 0)
        entry = EntryAddress("e1", "a", "127.0.0.1", 80, port, 81)
        async with HealthChecks([entry]) as checks:
            await curio.sleep(0.2)
            assert checks.up == {("127.0.0.1", 80)}
            status = 503
            await curio.sleep(0.3)
            assert checks.up == set()

    run(main)


def test_cluster_addresses_differ_and_its_backends_count_by_zone(run, tmp_path):
    """Guards against processes that share an address, and zones mixed up."""

    async def main():
        with ProcessGroup(tmp_path) as group:
            cluster = Cluster(group, Topology(slots=64))
            hosts = [
                *(one.host for one in cluster.control),
                *(one.host for one in cluster.ledger),
                *(one.host for one in cluster.entries),
                *(one.host for one in cluster.backends),
            ]
            assert len(set(hosts)) == len(hosts) == 16
            cluster.start_backends()
            for backend in cluster.backends:
                await wait_healthy(backend.host, backend.port)
            b = next(one for one in cluster.backends if one.zone == "b")
            stage = Stage(((b.host, b.port),), [b.run_log], rate_per_s=40)
            await run_step(stage, "one", 0.5)
            received = [await cluster.received_in_zone(zone) for zone in "abc"]
            assert received[0] == received[2] == 0 < received[1]
            assert read_runs([b.run_log]).by_request.total() == received[1]

    run(main)


def test_records_have_both_schema_versions():
    """Guards against a demo that never shows both schema versions together."""
    records = initial_records(Topology())
    assert {record["schema_version"] for record in records} == {1, 2}
    assert len({(record["kind"], record["name"]) for record in records}) == 6
    assert json.loads(json.dumps(records)) == records
