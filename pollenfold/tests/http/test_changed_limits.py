"""Limits of requests that change while connections are open."""

import json
from dataclasses import replace

import curio
import pytest

from pollenfold.http.messages import Response
from pollenfold.http.request_reader import ServerLimits
from pollenfold.http.server import HttpServer

LOW = ServerLimits(body_bytes=1_000, head_bytes=2_000)
HIGH = ServerLimits(body_bytes=100_000, head_bytes=50_000)

SMALL = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nhost: x\r\n"
CHUNK = b"258\r\n" + b"y" * 600 + b"\r\n"
DECLARED = (POST + b"content-length: 5000\r\n\r\n" + b"y" * 5_000,)
CHUNKED = (POST + b"transfer-encoding: chunked\r\n\r\n", *[CHUNK] * 8, b"0\r\n\r\n")
WHOLE_HEAD = (POST + b"x: " + b"y" * 9_000 + b"\r\n\r\n",)
HEAD_IN_PIECES = (POST + b"x: ", *[b"y" * 3_000] * 3, b"\r\n\r\n")

OVER_LOW = [
    pytest.param(DECLARED, 413, id="declared"),
    pytest.param(CHUNKED, 413, id="chunked"),
    pytest.param(WHOLE_HEAD, 431, id="whole-head"),
    pytest.param(HEAD_IN_PIECES, 431, id="head-in-pieces"),
]


class LimitedServer:
    """A server whose limits a test changes, and what it received."""

    def __init__(self, limits):
        self.limits = limits
        self.targets = []
        self.server = HttpServer(self.handle, limits=lambda: self.limits)

    async def handle(self, request):
        self.targets.append(request.target)
        if request.target == b"/raise":
            self.limits = HIGH
        return Response(200, [], b"%d" % len(request.body))

    async def connect(self, n_requests=0):
        """Open a connection that has sent this many requests and is idle now."""
        sock = await curio.open_connection("127.0.0.1", self.port)
        for _ in range(n_requests):
            assert (await exchange(sock, SMALL))[0] == 200
        await curio.sleep(0.02)
        return sock


async def exchange(sock, *pieces):
    """Send pieces with pauses; return status, head and body of the response."""
    for piece in pieces:
        try:
            await sock.sendall(piece)
        except ConnectionError:
            break
        await curio.sleep(0.01)
    return await receive(sock)


async def receive(sock):
    data = b""
    async with curio.timeout_after(2):
        while b"\r\n\r\n" not in data:
            data += await sock.recv(65536)
        head, body = data.split(b"\r\n\r\n", 1)
        fields = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:])
        while len(body) < int(fields[b"content-length"]):
            body += await sock.recv(65536)
    return int(head.split(b" ")[1]), fields, body


@pytest.fixture
def with_server(run):
    """Return a function that runs ``body(server)`` with limits to start with."""

    def run_body(body, limits):
        async def main():
            server = LimitedServer(limits)
            server.port = await server.server.start("127.0.0.1", 0)
            await body(server)
            await server.server.stop()

        run(main)

    return run_body


@pytest.mark.parametrize("n_earlier", [0, 1, 3])
@pytest.mark.parametrize(("pieces", "status"), OVER_LOW)
def test_raised_limit_counts_on_open_connections(
    with_server, pieces, status, n_earlier
):
    """Guards against 413 and 431 without end on a connection that was opened, or has
    waited for its next request, under lower limits."""

    async def body(server):
        sock = await server.connect(n_earlier)
        server.limits = HIGH
        assert (await exchange(sock, *pieces))[0] == 200
        assert (await exchange(await server.connect(), *pieces))[0] == 200

    with_server(body, LOW)


@pytest.mark.parametrize("n_earlier", [0, 1, 3])
@pytest.mark.parametrize(("pieces", "status"), OVER_LOW)
def test_lowered_limit_counts_on_open_connections(
    with_server, pieces, status, n_earlier
):
    """Guards against a connection that keeps the higher limits, and the memory for
    them, for its whole life."""

    async def body(server):
        sock = await server.connect(n_earlier)
        server.limits = LOW
        received, fields, _ = await exchange(sock, *pieces)
        assert (received, fields[b"connection"]) == (status, b"close")
        assert (await exchange(await server.connect(), *pieces))[0] == status

    with_server(body, HIGH)


def test_endless_head_is_refused_at_the_limit_in_force(with_server):
    """Guards against an incomplete head that takes more memory than the limit allows,
    after the limit was raised or lowered."""

    async def body(server):
        for limits in (HIGH, LOW):
            sock = await server.connect(1)
            server.limits = limits
            await sock.sendall(POST + b"x: " + b"y" * (limits.head_bytes - 100))
            await curio.sleep(0.05)
            assert (await exchange(sock, b"y" * 200))[0] == 431

    with_server(body, LOW)


def test_limit_raised_while_a_head_arrives_counts_for_it(with_server):
    """Guards against 431 for a head of which the first bytes came before the limit was
    raised, also as pipelined bytes behind another request."""

    async def body(server):
        sock = await server.connect()
        first = SMALL.replace(b" / ", b" /raise ")
        assert (await exchange(sock, first + HEAD_IN_PIECES[0]))[0] == 200
        assert (await exchange(sock, *HEAD_IN_PIECES[1:]))[0] == 200
        server.limits = LOW
        await exchange(sock, SMALL)
        await sock.sendall(HEAD_IN_PIECES[0])
        await curio.sleep(0.02)
        server.limits = HIGH
        assert (await exchange(sock, *HEAD_IN_PIECES[1:]))[0] == 200

    with_server(body, LOW)


def test_body_keeps_the_limits_of_its_head(with_server):
    """Guards against a request that is refused halfway because the limit was lowered
    after its head was accepted."""

    async def body(server):
        sock = await server.connect()
        for piece in CHUNKED[:2]:
            await sock.sendall(piece)
        await curio.sleep(0.02)
        server.limits = LOW
        status, _, content = await exchange(sock, *CHUNKED[2:])
        assert (status, content) == (200, b"4800")
        assert (await exchange(sock, *CHUNKED))[0] == 413

    with_server(body, HIGH)


def test_body_over_a_limit_that_was_raised_meanwhile_is_not_too_large(with_server):
    """Guards against 413, which callers take as final, for a body that the limit in
    force allows; the same request is accepted when it is sent again."""

    async def body(server):
        sock = await server.connect()
        await exchange(sock, SMALL)
        for piece in CHUNKED[:2]:
            await sock.sendall(piece)
        await curio.sleep(0.02)
        server.limits = HIGH
        status, fields, content = await exchange(sock, *CHUNKED[2:])
        assert status == 503
        assert fields[b"pollenfold-run-state"] == b"did_not_run"
        assert fields[b"retry-after"] == b"0.25"
        assert fields[b"connection"] == b"close"
        assert json.loads(content)["error"] == "not_confirmed"
        assert server.targets == [b"/"]
        assert (await exchange(await server.connect(), *CHUNKED))[0] == 200

    with_server(body, LOW)


def test_idle_timeout_follows_the_limits_but_not_below_what_was_announced(with_server):
    """Guards against a connection that is closed before the time that its last response
    announced, and against one that keeps its first timeout for its whole life."""
    long = replace(LOW, idle_timeout_ms=2_000.0, announced_idle_s=7)
    short = replace(LOW, idle_timeout_ms=300.0, announced_idle_s=3)

    async def body(server):
        sock = await server.connect()
        assert (await exchange(sock, SMALL))[1][b"keep-alive"] == b"timeout=7"
        server.limits = short
        await curio.sleep(0.6)
        assert (await exchange(sock, SMALL))[1][b"keep-alive"] == b"timeout=3"
        async with curio.timeout_after(1.2):
            assert await sock.recv(100) == b""
        sock = await server.connect(1)
        server.limits = long
        assert (await exchange(sock, SMALL))[1][b"keep-alive"] == b"timeout=7"
        await curio.sleep(0.6)
        assert (await exchange(sock, SMALL))[0] == 200

    with_server(body, long)


def test_caller_that_waits_for_consent_gets_it_under_the_limits_in_force(with_server):
    """Guards against a body that is never sent, because 100 is missing or because a
    limit that was raised since refuses it."""
    head = POST + b"expect: 100-continue\r\ncontent-length: 5000\r\n\r\n"

    async def body(server):
        sock = await server.connect(1)
        server.limits = HIGH
        await sock.sendall(head)
        async with curio.timeout_after(2):
            assert (await sock.recv(65536)).startswith(b"HTTP/1.1 100 ")
        assert (await exchange(sock, b"y" * 5_000))[::2] == (200, b"5000")
        server.limits = LOW
        assert (await exchange(sock, head))[0] == 413

    with_server(body, LOW)
