"""Bodies longer than the window of an entry, in requests and in responses."""

import resource
import struct
from socket import SO_LINGER, SOL_SOCKET

import curio
import h11
import pytest

from pollenfold.http.request_reader import BODY_BUDGET_BYTES, BODY_WINDOW_BYTES
from pollenfold.http.server import HttpServer
from pollenfold.tests.gateway.conftest import HEALTHY, Backend, signed_response

HEAD = (
    b"POST /x/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: q1\r\n"
    b"x-deadline-ms: 60000\r\n"
)


class LongBackend(Backend):
    """A backend server that reads long request bodies.

    ``early_response`` is written once ``respond_after`` bytes of a body have arrived.
    The server then reads on until the caller closes. ``bodies`` holds the bytes that
    were received of each body.
    """

    def __init__(self, name, early_response=None, respond_after=None):
        super().__init__(name)
        self.early_response = early_response
        self.respond_after = respond_after
        self.bodies = []

    async def _serve(self, client):
        async with client:
            data = b""
            while piece := await _receive(client):
                data += piece
                if data.startswith(b"GET /healthz"):
                    await client.sendall(
                        HEALTHY % (self.name.encode(), self.load, self.warmup)
                    )
                    data = b""
                    continue
                if b"\r\n\r\n" in data:
                    await self._read_body(client, data)
                    return

    async def _read_body(self, client, data):
        head, body = data.split(b"\r\n\r\n", 1)
        self.bodies.append(bytearray(body))
        body = self.bodies[-1]
        is_chunked = b"chunked" in head.lower()
        length = 0
        if not is_chunked:
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
        while True:
            if self.respond_after is not None and len(body) >= self.respond_after:
                await client.sendall(self.early_response)
                self.respond_after = None
            is_complete = body.endswith(b"0\r\n\r\n") if is_chunked else False
            if is_complete or (not is_chunked and len(body) >= length):
                await client.sendall(signed_response())
            piece = await _receive(client)
            if not piece:
                return
            body += piece


async def _receive(client):
    try:
        return await client.recv(1 << 20)
    except ConnectionError:
        return b""


async def connect(path):
    server = HttpServer(path.forwarder.handle, 64 << 20, window_bytes=BODY_WINDOW_BYTES)
    port = await server.start("127.0.0.1", 0)
    return server, await curio.open_connection("127.0.0.1", port)


async def read_response(sock):
    data = b""
    async with curio.timeout_after(5):
        while piece := await sock.recv(65536):
            data += piece
            if data.endswith(b"whole"):
                break
    return data


@pytest.mark.parametrize("is_chunked", [False, True])
def test_long_body_is_passed_on_unchanged(with_path, is_chunked):
    """Guards against bytes that are lost, duplicated or changed between two windows."""
    body = bytes(range(256)) * 8192

    async def main(path, backend):
        _, sock = await connect(path)
        if is_chunked:
            await sock.sendall(HEAD + b"transfer-encoding: chunked\r\n\r\n")
            for start in range(0, len(body), 100_000):
                piece = body[start : start + 100_000]
                await sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
            await sock.sendall(b"0\r\n\r\n")
        else:
            await sock.sendall(HEAD + b"content-length: %d\r\n\r\n" % len(body) + body)
        assert (await read_response(sock)).startswith(b"HTTP/1.1 200")
        received = bytes(backend.bodies[0])
        if is_chunked:
            assert _decode_chunks(received) == body
        else:
            assert received == body

    with_path(main, LongBackend("one"), is_idempotent=False, timeout_ms=4000.0)


def _decode_chunks(data):
    body = b""
    while data:
        size, data = data.split(b"\r\n", 1)
        n_bytes = int(size, 16)
        body, data = body + data[:n_bytes], data[n_bytes + 2 :]
    return body


def test_response_before_the_end_of_the_request_body_reaches_the_caller(with_path):
    """Guards against bytes of a next request that are read as the rest of the body.

    Both the connection to the server and that of the caller are closed.
    """
    early_response = signed_response(413, b"whole")

    async def main(path, backend):
        _, sock = await connect(path)
        await sock.sendall(HEAD + b"content-length: 4000000\r\n\r\n")
        await sock.sendall(b"x" * 600_000)
        data = await read_response(sock)
        assert data.startswith(b"HTTP/1.1 413")
        assert b"connection: close" in data.lower()
        await curio.sleep(0.2)
        assert set(bytes(backend.bodies[0])) <= set(b"x")
        assert not path.balancer._connections.has_idle("one")

    with_path(main, LongBackend("one", early_response, 300_000), is_idempotent=False)


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_request_with_a_partly_discarded_body_is_not_retried(with_path, is_idempotent):
    """Guards against a retry with an incomplete body, and against a false refusal."""
    refusal = signed_response(503, b"whole", b"q1", b"x-not-executed: 1")

    async def main(path, *backends):
        _, sock = await connect(path)
        await sock.sendall(HEAD + b"content-length: 1000000\r\n\r\n")
        await sock.sendall(b"x" * 600_000)
        data = await read_response(sock)
        # The server reported that it didn't execute the request, so 503 is correct.
        assert data.startswith(b"HTTP/1.1 503")
        assert sum(len(b.bodies) for b in backends) == 1

    backends = [LongBackend(name, refusal, 400_000) for name in ("one", "two")]
    with_path(main, *backends, is_idempotent=is_idempotent)


def test_refused_request_within_the_window_is_retried_elsewhere(with_path):
    """Guards against a refused request that isn't retried though its whole body is
    still in memory."""
    refusal = signed_response(503, b"whole", b"q1", b"x-not-executed: 1")

    async def main(path, *backends):
        _, sock = await connect(path)
        body = b"y" * 100_000
        await sock.sendall(HEAD + b"content-length: %d\r\n\r\n" % len(body) + body)
        for backend in backends[1:]:
            backend.respond_after = None
        await read_response(sock)
        bodies = [bytes(b) for backend in backends for b in backend.bodies]
        assert len(bodies) == 2

    backends = [LongBackend(name, refusal, 1) for name in ("one", "two")]
    with_path(main, *backends, is_idempotent=False)


def test_caller_that_stops_within_a_body_gets_an_unknown_outcome(with_path):
    """Guards against a response that claims that a partly sent request wasn't executed,
    and against reuse of a connection on which the server waits for the rest."""

    async def main(path, backend):
        server, sock = await connect(path)
        await sock.sendall(HEAD + b"content-length: 4000000\r\n\r\n" + b"x" * 600_000)
        data = await read_response(sock)
        assert data.startswith(b"HTTP/1.1 504")
        assert b"outcome_unknown" in data
        assert not path.balancer._connections.has_idle("one")
        assert server.n_in_flight == 0

    with_path(main, LongBackend("one"), is_idempotent=False, timeout_ms=500.0)


def test_request_to_a_server_that_stops_reading_ends_at_the_deadline(with_path):
    """Guards against a request that hangs while its body is sent."""

    class StalledBackend(LongBackend):
        async def _read_body(self, client, data):
            self.bodies.append(data)
            await curio.sleep(30)

    async def main(path, backend):
        response = await path.get(b"POST", b"400", b"x" * (12 << 20))
        assert response.status == 504

    with_path(main, StalledBackend("one"), is_idempotent=False, timeout_ms=400.0)


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("ending", ["complete", "truncated", "reset"])
def test_long_response_is_complete_or_visibly_truncated(with_path, framing, ending):
    """Guards against a response that ended early but looks complete to the caller."""
    content = bytes(range(256)) * 4096
    sent = content if ending == "complete" else content[: len(content) // 2]
    head = b"HTTP/1.1 200 X\r\nx-request-id: q1\r\nx-response-signature: s\r\n"
    if framing == "length":
        data = head + b"content-length: %d\r\n\r\n" % len(content) + sent
    elif framing == "chunks":
        end = b"\r\n0\r\n\r\n" if ending == "complete" else b""
        head += b"transfer-encoding: chunked\r\n\r\n"
        data = head + b"%x\r\n" % len(content) + sent + end
    else:
        data = head + b"\r\n" + sent

    class StreamingBackend(LongBackend):
        async def _read_body(self, client, request):
            await client.sendall(data)
            if ending == "reset":
                await curio.sleep(0.05)
                client.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))

    async def main(path, backend):
        _, sock = await connect(path)
        await sock.sendall(HEAD + b"content-length: 0\r\n\r\n")
        body, is_complete = await _parse_response(sock)
        # A response without a content length is complete when its server closes.
        if ending == "complete" or (framing, ending) == ("close", "truncated"):
            assert is_complete and body == sent
        else:
            assert not is_complete
        assert not path.balancer._connections.has_idle("one") or framing != "close"
        assert path.view.endpoints["one"].health.n_in_flight == 0

    with_path(main, StreamingBackend("one"), is_idempotent=False, timeout_ms=2000.0)


async def _parse_response(sock):
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    body = b""
    async with curio.timeout_after(5):
        while True:
            try:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await sock.recv(65536))
                    continue
            except (OSError, h11.RemoteProtocolError):
                return body, False
            if type(event) is h11.Data:
                body += event.data
            elif type(event) is not h11.Response:
                return body, type(event) is h11.EndOfMessage


class DiscardingBackend(LongBackend):
    """A backend server that reads bodies slowly and discards them."""

    async def _read_body(self, client, data):
        n_bytes = len(data)
        while n_bytes < 8_000_000:
            # A larger buffer here would be attributed to the entry's memory.
            piece = await client.recv(65536)
            if not piece:
                return
            n_bytes += len(piece)
            await curio.sleep(0.001)
        await client.sendall(signed_response())


def test_many_long_bodies_use_bounded_memory(with_path):
    """Guards against an entry that buffers the whole bodies of all its callers."""
    n_callers, n_bytes = 50, 8_000_000

    async def main(path, backend):
        server, _ = await connect(path)
        port = server._listening_socket.getsockname()[1]
        piece = b"x" * 100_000

        async def upload():
            sock = await curio.open_connection("127.0.0.1", port)
            await sock.sendall(HEAD + b"content-length: %d\r\n\r\n" % n_bytes)
            for _ in range(n_bytes // len(piece)):
                await sock.sendall(piece)
            return await read_response(sock)

        before = _resident_bytes()
        tasks = [await curio.spawn(upload) for _ in range(n_callers)]
        peak = before
        while not all(task.terminated for task in tasks):
            peak = max(peak, _resident_bytes())
            await curio.sleep(0.01)
        responses = [await task.join() for task in tasks]
        assert all(data.startswith(b"HTTP/1.1 200") for data in responses)
        assert peak - before < 20 << 20
        assert server._shared.budget.n_free_bytes == BODY_BUDGET_BYTES

    with_path(
        main,
        DiscardingBackend("one"),
        is_idempotent=False,
        timeout_ms=60_000.0,
        target_latency_ms=50_000.0,
    )


def _resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()
