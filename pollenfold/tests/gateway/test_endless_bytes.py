"""A faulty backend server that sends bytes endlessly in some part of a response."""

import resource

import curio
import h11
import pytest

from pollenfold.http.server import HttpServer
from pollenfold.tests.gateway.conftest import Backend

STATUS = b"HTTP/1.1 200 OK\r\n"
SIGNED = STATUS + b"x-request-id: q1\r\nx-response-signature: s\r\n"
CHUNKED = SIGNED + b"transfer-encoding: chunked\r\n\r\n"
FILLER = b"z" * 65536
REQUEST = (
    b"%s /x/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: q1\r\n"
    b"x-deadline-ms: 700\r\ncontent-length: 0\r\n\r\n"
)
MAX_GROWTH_BYTES = 2 << 20

ENDLESS = {
    "no head": (b"", FILLER),
    "header line": (STATUS + b"x-a: ", FILLER),
    "headers": (STATUS, b"x-a: b\r\n" * 4096),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "interim response with a long head": (b"HTTP/1.1 103 X\r\n", b"x-a: b\r\n" * 4096),
    "chunk size": (CHUNKED, b"0" * 65536),
    "chunk extension": (CHUNKED + b"5;", FILLER),
    "chunks": (CHUNKED, (b"10000\r\n" + FILLER + b"\r\n") * 1),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: b\r\n" * 4096),
    "body without length": (SIGNED + b"\r\n", FILLER),
    "body of a huge length": (SIGNED + b"content-length: 9999999999\r\n\r\n", FILLER),
}


class EndlessBackend(Backend):
    """A backend server that writes ``start``, then ``filler`` until its caller closes.

    With ``is_endless_health`` it also does so in response to health checks.
    """

    def __init__(self, name, start, filler, is_endless_health=False):
        super().__init__(name)
        self.start_bytes, self.filler = start, filler
        self.is_endless_health = is_endless_health
        self.n_aborted_writes = 0

    async def _serve(self, client):
        async with client:
            while True:
                try:
                    data = await client.recv(65536)
                except OSError:
                    return
                if not data:
                    return
                is_health = data.startswith(b"GET /healthz")
                if is_health and not self.is_endless_health:
                    await client.sendall(
                        b"HTTP/1.1 200 OK\r\nx-instance-id: %s\r\n"
                        b"x-server-load: 0,0,6,100\r\ncontent-length: 0\r\n\r\n"
                        % self.name.encode()
                    )
                    continue
                await self._write_endlessly(client)
                return

    async def _write_endlessly(self, client):
        try:
            await client.sendall(self.start_bytes)
            while True:
                await client.sendall(self.filler)
        except OSError:
            self.n_aborted_writes += 1


def _resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


async def _send_request(port, request):
    """Return the status, whether the response was complete, and its last bytes."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    status, tail = None, b""
    sock = await curio.open_connection("127.0.0.1", port)
    async with sock:
        await sock.sendall(request)
        while True:
            try:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    data = await sock.recv(65536)
                    tail = (tail + data)[-1000:]
                    parser.receive_data(data)
                    continue
            except (OSError, h11.RemoteProtocolError):
                return status, False, tail
            if type(event) is h11.Response:
                status = event.status_code
            elif type(event) is not h11.Data:
                return status, type(event) is h11.EndOfMessage, tail


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("part", ENDLESS)
def test_endless_response_is_bounded_in_memory_and_time(with_path, part, is_idempotent):
    """Guards against unbounded memory or time in an entry when a server's response
    doesn't end, and against such a response that looks complete to the caller."""

    async def body(path, backend):
        server = HttpServer(path.forwarder.handle)
        port = await server.start("127.0.0.1", 0)
        before = _resident_bytes()
        started_at = await curio.clock()
        method = b"GET" if is_idempotent else b"POST"
        status, is_complete, data = await _send_request(port, REQUEST % method)
        assert status in (502, 504) if is_complete else status in (200, None)
        assert b"did_not_run" not in data[-500:]
        assert await curio.clock() - started_at < 1.2
        assert _resident_bytes() - before < MAX_GROWTH_BYTES
        async with curio.timeout_after(2):
            while not backend.n_aborted_writes:
                await curio.sleep(0.01)
        endpoint = path.view.endpoints["one"]
        assert endpoint.health.penalty(path.forwarder._clock()) > 0.3

    backend = EndlessBackend("one", *ENDLESS[part])
    with_path(body, backend, is_idempotent=is_idempotent, timeout_ms=700.0)


@pytest.mark.parametrize("part", ENDLESS)
def test_endless_health_response_does_not_delay_requests(with_path, part):
    """Guards against a load probe that uses unbounded memory or delays a caller."""

    async def body(path, *backends):
        before = _resident_bytes()
        for _ in range(10):
            response = await path.get(b"GET", b"1500")
            assert response.status == 200
        assert _resident_bytes() - before < MAX_GROWTH_BYTES
        assert len(backends[1].requests) == 10

    faulty = EndlessBackend("one", *ENDLESS[part], is_endless_health=True)
    with_path(body, faulty, Backend("two"), target_latency_ms=700.0)


N_AT_ONCE = 24
MAX_SUM_BYTES = N_AT_ONCE * MAX_GROWTH_BYTES // 2
"""Half of what the bound of one response allows for all of them."""


@pytest.mark.parametrize("part", ENDLESS)
def test_many_endless_responses_at_once_are_bounded_together(with_path, part):
    """Guards against an entry that runs out of memory since many servers send bytes
    without end at the same time, each of them within its own bound."""

    async def body(path, backend):
        server = HttpServer(path.forwarder.handle)
        port = await server.start("127.0.0.1", 0)
        before = _resident_bytes()
        peak = before
        tasks = []
        for number in range(N_AT_ONCE):
            request = (REQUEST % b"GET").replace(b"q1", b"q%d" % number)
            tasks.append(await curio.spawn(_send_request, port, request))
        while not all(task.terminated for task in tasks):
            peak = max(peak, _resident_bytes())
            await curio.sleep(0.02)
        for task in tasks:
            await task.join()
        assert peak - before < MAX_SUM_BYTES

    backend = EndlessBackend("one", *ENDLESS[part])
    with_path(body, backend, is_idempotent=True, timeout_ms=700.0)
