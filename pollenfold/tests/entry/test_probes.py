"""Probes of backend servers: budget, load reports and invalid responses."""

import curio
import pytest

from pollenfold.core.clock import ManualClock
from pollenfold.core.measurement import MAX_PROBE_BYTES, MeasurementBudget
from pollenfold.entry.probes import Prober, ProbeTarget
from pollenfold.http.messages import Response
from pollenfold.http.server import HttpServer
from pollenfold.observe.clock import system_clock
from pollenfold.testing.endpoints import make_endpoint, make_service


async def run_probes(prober):
    await prober.probe_once()
    async with curio.timeout_after(5):
        while prober._n_in_flight:
            await curio.sleep(0.001)


async def probe(body, status):
    """Probe one server for 5 s of a manual clock; return the results and paths."""
    paths = []

    async def handle(request):
        paths.append(request.path)
        return Response(status, [], body)

    server = HttpServer(handle)
    port = await server.start("127.0.0.1", 0)
    clock = ManualClock()
    spec = make_service(probes_per_s=2.0, probe_bytes_per_s=1.0 * MAX_PROBE_BYTES)
    endpoint = make_endpoint(host="127.0.0.1", port=port)
    target = ProbeTarget("a", (endpoint,), MeasurementBudget(spec, 1, clock()))
    results = []
    prober = Prober(lambda: [target], results.append, clock, 1)
    for _ in range(20):
        clock.advance(250)
        await run_probes(prober)
    await server.stop()
    return results, paths


@pytest.mark.parametrize(
    "body, status, is_failure, expected",
    [
        (b'{"in_flight": 2, "slots": 6}', 200, False, {(2, 6, False)}),
        (b"garbage", 200, False, set()),
        (b"", 503, True, set()),
        (b"x" * 100_000, 200, True, set()),
    ],
)
def test_probes_of_a_server(run, body, status, is_failure, expected):
    """Guards against probes above the configured rate, uncounted bytes, and invalid
    responses that stop the prober or are read without a limit."""

    async def main():
        results, paths = await probe(body, status)
        assert 0 < len(results) <= 10
        assert is_failure or set(paths) == {"/load", "/healthz"}
        assert {result.is_failure for result in results} == {is_failure}
        assert all(0 < result.n_bytes <= 2 * MAX_PROBE_BYTES for result in results)
        assert sum(result.n_bytes for result in results) <= 6 * MAX_PROBE_BYTES
        reports = [result.report for result in results if result.report]
        assert {(r.in_flight, r.slots, r.is_cold) for r in reports} == expected

    run(main)


def test_unreachable_and_unresponsive_servers_are_failures(run):
    """Guards against a probe of an unresponsive server that never ends."""

    async def main():
        unresponsive = curio.tcp_server_socket("127.0.0.1", 0)
        refused = curio.tcp_server_socket("127.0.0.1", 0)
        ports = [sock.getsockname()[1] for sock in (unresponsive, refused)]
        await refused.close()
        spec = make_service(probes_per_s=1000.0, probe_bytes_per_s=1e9)
        budget = MeasurementBudget(spec, 1, system_clock())
        endpoints = tuple(make_endpoint(host="127.0.0.1", port=p) for p in ports)
        target = ProbeTarget("a", endpoints, budget)
        results = []
        prober = Prober(lambda: [target], results.append, system_clock, 1)
        await curio.sleep(0.005)
        await run_probes(prober)
        assert {result.endpoint.port for result in results} == set(ports)
        assert all(result.is_failure for result in results)
        await unresponsive.close()

    run(main)
