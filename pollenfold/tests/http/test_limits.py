"""Size limits and timeouts for requests from callers."""

import curio
import pytest
from curio import socket

from pollenfold.http.messages import Response
from pollenfold.http.request_reader import ServerLimits
from pollenfold.http.server import HttpServer

LIMITS = ServerLimits(
    body_bytes=100,
    head_bytes=1_000,
    head_timeout_ms=200.0,
    idle_timeout_ms=400.0,
    announced_idle_s=15,
)
HEAD = b"POST / HTTP/1.1\r\nhost: x\r\n"


@pytest.fixture
def exchange(run):
    """Return a function that sends pieces with pauses and returns what it received."""

    def run_exchange(*pieces, pause_s=0.0):
        async def main():
            async def handle(request):
                return Response(200, [], request.body)

            rejected = []
            server = HttpServer(
                handle,
                limits=lambda: LIMITS,
                on_rejected=lambda *details: rejected.append(details),
            )
            port = await server.start("127.0.0.1", 0)
            sock = await curio.open_connection("127.0.0.1", port)
            received = b""
            async with sock:
                for piece in pieces:
                    if rejected:
                        break
                    await sock.sendall(piece)
                    await curio.sleep(pause_s)
                while True:
                    try:
                        async with curio.timeout_after(2.0):
                            data = await sock.recv(65536)
                    except (ConnectionError, socket.timeout):
                        break
                    if not data:
                        break
                    received += data
            return received, rejected

        return run(main)

    return run_exchange


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (HEAD + b"x: " + b"y" * 2_000 + b"\r\n\r\n", b"431"),
        (HEAD + b"content-length: 101\r\n\r\n" + b"y" * 101, b"413"),
        (
            HEAD + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"nonsense\r\n\r\n", b"400"),
    ],
)
def test_bad_request_is_refused(exchange, request_bytes, status):
    """Guards against request smuggling by ambiguous framing, and against callers that
    exhaust the memory."""
    received, rejected = exchange(request_bytes)
    assert received.startswith(b"HTTP/1.1 " + status)
    assert len(rejected) == 1


def test_head_incomplete_at_the_timeout_ends_its_connection(exchange):
    """Guards against slow callers that keep connections open forever."""
    received, rejected = exchange(HEAD)
    assert received.startswith(b"HTTP/1.1 408")
    assert rejected[0][0].value == "slow_request"


def test_head_that_comes_byte_by_byte_ends_its_connection(exchange):
    """Guards against a head timeout that restarts with each received byte."""
    received, _ = exchange(*(HEAD[k : k + 1] for k in range(20)), pause_s=0.03)
    assert received.startswith(b"HTTP/1.1 408")


def test_idle_connection_is_closed_without_a_response(exchange):
    """Guards against a response on a connection without a request."""
    received, rejected = exchange()
    assert (received, rejected) == (b"", [])


def test_keep_alive_header_announces_the_idle_timeout(exchange):
    """Guards against callers that reuse a connection while the server closes it."""
    received, _ = exchange(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    assert b"keep-alive: timeout=15" in received.lower()


@pytest.mark.parametrize(
    "line",
    [
        b"x-credential k-secret",
        b"x-credential : k-secret",
        b"x-credential: k-secret\xc3\x28\x00",
        b"x cred: k-secret",
        b"x-credential: a\r\ntransfer-encoding: k-secret",
        b"content-length: k-secret",
    ],
)
def test_malformed_header_is_quoted_neither_in_the_response_nor_the_log(exchange, line):
    """Guards against the key of a caller in an error text or a log line."""
    received, rejected = exchange(HEAD + line + b"\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 ")
    assert not received.startswith(b"HTTP/1.1 2")
    assert b"k-secret" not in received
    assert rejected
    assert "k-secret" not in str(rejected)
