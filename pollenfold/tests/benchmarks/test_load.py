"""Tests of the load generator and the baseline forwarder with injected faults."""

import random

import pytest

from benchmarks.arrivals import burst_arrivals, poisson_arrivals
from benchmarks.forwarder import Forwarder
from benchmarks.load import CallKind, LoadPlan, run_closed_loop, run_load
from pollenfold.core.errors import ErrorKind
from pollenfold.http.messages import Response, error_response
from pollenfold.http.server import HttpServer
from pollenfold.testing.backend_server import BackendServer
from pollenfold.testing.backend_settings import BackendSettings
from pollenfold.testing.faults import FaultUpdate
from pollenfold.testing.response_bodies import encode_response_body

ORDERS = (CallKind("non_idempotent", "POST", "/orders", 1, has_key=True),)


def make_plan(port, **changes):
    fields = {"rate_per_s": 200, "duration_ms": 250, "seed": 1, "kinds": ORDERS}
    targets = changes.pop("targets", (("127.0.0.1", port),))
    return LoadPlan(targets, **{**fields, **changes})


async def start_backend(faults=(), **settings):
    defaults = {"service_ms": 0, "slots": 64, "starts_cold": False}
    server = BackendServer(BackendSettings(**{**defaults, **settings}))
    await server.start()
    await server.update_faults(FaultUpdate(faults=list(faults)))
    return server


def test_arrivals_repeat_and_bursts_are_four_times_as_dense():
    """Guards against load that isn't reproducible, and bursts without a higher rate."""

    def draw(seed):
        return list(burst_arrivals(1000, 100_000, random.Random(seed)))

    assert draw(1) == draw(1) != draw(2)
    arrivals = draw(1)
    assert arrivals == sorted(arrivals)
    n_in_bursts = sum(at % 500 < 5 for at in arrivals)
    # 200 bursts of 5 ms at 4 calls per ms, and 99 s at 1 call per ms.
    assert n_in_bursts == pytest.approx(4000, rel=0.1)
    assert len(arrivals) - n_in_bursts == pytest.approx(99_000, rel=0.02)
    steady = list(poisson_arrivals(1000, 100_000, random.Random(1)))
    assert len(steady) == pytest.approx(100_000, rel=0.02)


@pytest.mark.parametrize("send", [run_load, run_closed_loop])
def test_every_call_runs_once_and_is_counted(run, send):
    """Guards against a load generator that loses calls or sends a key twice."""

    async def main():
        server = await start_backend()
        result = await send(make_plan(server.port, n_connections=4))
        figures = result.classes["non_idempotent"]
        assert figures.n_sent == figures.n_complete == server.counts.n_runs > 20
        assert {call.key for call in result.outcomes} == set(server.counts.runs)
        assert {call.state for call in result.outcomes} == {"whole"}
        assert set(server.counts.runs.values()) == {1}
        await server.stop()

    run(main)


def test_latency_counts_from_the_intended_time(run):
    """Guards against coordinated omission: a stall that counts for one call only."""

    async def main():
        server = await start_backend()
        await server.update_faults(
            FaultUpdate(faults=[{"kind": "slow", "delay_ms": 200, "n_requests": 1}])
        )
        result = await run_load(make_plan(server.port, n_connections=1))
        figures = result.classes["non_idempotent"]
        # Calls that were due during the 200 ms stall waited 100 ms on average.
        assert figures.n_complete > 20
        assert figures.percentile_ms(50) > 50
        await server.stop()

    run(main)


@pytest.mark.parametrize(
    "fault, reason",
    [
        ("truncated_answer", "truncated answer"),
        ("overlong_answer", "surplus bytes after the answer"),
        ("duplicated_answer", "surplus bytes after the answer"),
        ("close_after_run", "connection closed"),
        ("hang", "no answer after 50 ms"),
    ],
)
def test_damaged_response_is_broken_and_its_key_is_unknown(run, fault, reason):
    """Guards against a load generator that reports damaged responses as complete."""

    async def main():
        server = await start_backend([{"kind": fault}])
        result = await run_load(make_plan(server.port, timeout_ms=50))
        figures = result.classes["non_idempotent"]
        assert figures.n_complete == 0
        assert figures.broken == {reason: figures.n_sent}
        assert {call.state for call in result.outcomes} == {"unknown"}
        await server.stop()

    run(main)


def test_calls_go_to_healthy_targets_only(run):
    """Guards against failures in a planned stop caused by callers that keep sending."""

    async def main():
        servers = [await start_backend() for _ in range(3)]
        targets = tuple(("127.0.0.1", server.port) for server in servers)
        await run_load(make_plan(0, targets=targets, healthy=set(targets[1:])))
        n_received = [server.counts.n_received for server in servers]
        assert n_received[0] == 0 < min(n_received[1:])
        for server in servers:
            await server.stop()

    run(main)


def test_foreign_response_and_refusal_are_distinguished(run):
    """Guards against a caller that accepts the response to another caller's request."""

    async def main():
        n = 0

        async def respond(request):
            nonlocal n
            n += 1
            if n % 2:
                return error_response(ErrorKind.NO_LEASE)
            return Response(
                200, [], encode_response_body({"request_id": "x", "key": "y"})
            )

        server = HttpServer(respond)
        port = await server.start("127.0.0.1", 0)
        result = await run_load(make_plan(port, n_connections=1))
        figures = result.classes["non_idempotent"]
        assert figures.n_complete == 0
        assert figures.wrong == {"not its own": figures.n_sent // 2}
        assert figures.refusals == {
            ("no_lease", "did_not_run"): (figures.n_sent + 1) // 2
        }
        await server.stop()

    run(main)


def test_forwarder_forwards_complete_responses_and_never_damaged_ones(run):
    """Guards against a baseline that is cheaper because it doesn't check responses."""

    async def main():
        backend = await start_backend()
        forwarder = Forwarder([("127.0.0.1", backend.port)], 64)
        server = HttpServer(forwarder.handle)
        port = await server.start("127.0.0.1", 0)
        figures = (await run_load(make_plan(port))).classes["non_idempotent"]
        assert figures.n_sent == figures.n_complete > 20
        await backend.update_faults(FaultUpdate(faults=[{"kind": "truncated_answer"}]))
        figures = (await run_load(make_plan(port, name="damaged"))).classes[
            "non_idempotent"
        ]
        assert figures.refusals == {
            ("backend_failed", "outcome_unknown"): figures.n_sent
        }
        await server.stop()
        await backend.stop()

    run(main)
