"""Callers that disconnect, and the probe budget shared by several entries."""

from dataclasses import replace

import curio
import pytest

from pollenfold.http.server import HttpServer
from pollenfold.tests.gateway.conftest import Backend, CallPath

REQUEST = (
    b"%s /x/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: q1\r\n"
    b"x-deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n"
)


async def disconnect_during_execution(path, backend, method):
    """Send a request, disconnect while it is executed, then wait half a second.

    Return how many connections of the backend server were closed meanwhile.
    """
    server = HttpServer(path.forwarder.handle)
    port = await server.start("127.0.0.1", 0)
    sock = await curio.open_connection("127.0.0.1", port)
    await sock.sendall(REQUEST % method)
    while not backend.requests:
        await curio.sleep(0.005)
    n_closed = backend.n_closed
    await sock.close()
    await curio.sleep(0.5)
    return backend.n_closed - n_closed


def test_request_of_a_disconnected_caller_is_cancelled(with_path):
    """Guards against endpoints that keep executing a request whose caller is gone."""

    async def body(path, backend):
        backend.delay_ms = 250
        backend.respond = lambda request: None
        assert await disconnect_during_execution(path, backend, b"GET") == 0
        path.log.flush()
        assert any("kind=caller_gone" in line for line in path.lines)

    with_path(body, Backend("one"), timeout_ms=5000.0)


def test_non_idempotent_request_of_a_disconnected_caller_is_completed(with_path):
    """Guards against a non-idempotent request aborted when its caller disconnects."""

    async def body(path, backend):
        backend.delay_ms = 250
        await disconnect_during_execution(path, backend, b"POST")
        path.log.flush()
        done_lines = [line for line in path.lines if "event=request_done" in line]
        assert len(done_lines) == 1
        assert "one:responded" in done_lines[0]

    with_path(body, Backend("one"), timeout_ms=5000.0, is_idempotent=False)


def test_request_of_a_disconnected_caller_is_not_retried(with_path):
    """Guards against a retry of a request whose caller has disconnected."""

    async def body(path, *backends):
        for backend in backends:
            backend.delay_ms = 100
            backend.respond = lambda request: None
        server = HttpServer(path.forwarder.handle)
        port = await server.start("127.0.0.1", 0)
        sock = await curio.open_connection("127.0.0.1", port)
        await sock.sendall(REQUEST % b"GET")
        while not any(backend.requests for backend in backends):
            await curio.sleep(0.002)
        await sock.close()
        await curio.sleep(0.4)
        assert sum(len(backend.requests) for backend in backends) == 1

    names = ("one", "two", "three")
    backends = [Backend(name) for name in names]
    with_path(body, *backends, timeout_ms=5000.0)


@pytest.mark.parametrize("n_entries", [1, 4])
def test_probes_of_all_entries_stay_within_the_budget(run, n_entries):
    """Guards against entries that each use the whole probe budget.

    The budget is a number of probes per second and endpoint; a burst of five
    seconds' worth may be added once.
    """

    async def main():
        backends = [Backend(f"b{k}", load=b"6,9,6,500") for k in range(4)]
        for backend in backends:
            await backend.start()
        paths = [CallPath(backends) for _ in range(n_entries)]
        limit_per_s = 10.0
        for path in paths:
            path.balancer._settings = replace(
                path.balancer._settings, probes_per_s=limit_per_s
            )
            path.view.fleet.report(n_entries, 0.0)
        started_at = paths[0].forwarder._clock()
        for _ in range(400 // n_entries):
            for path in paths:
                trace = []
                deadline = path.forwarder._clock() + 1_000
                pick = await path.balancer.pick("s", set(), deadline, 1e9, trace)
                if pick is not None:
                    await path.balancer.release(pick.endpoint, pick.connection)
        n_checks = sum(backend.n_checks for backend in backends)
        elapsed_s = (paths[0].forwarder._clock() - started_at) / 1000
        assert n_checks <= limit_per_s * len(backends) * (5 + elapsed_s)

    run(main)
