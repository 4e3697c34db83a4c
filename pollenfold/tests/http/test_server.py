"""The HTTP server against malformed requests, and the client against a server."""

import json

import curio
import pytest

from pollenfold.http.client import ExchangeFailure, HttpConnection
from pollenfold.http.messages import Response
from pollenfold.http.pool import Pool
from pollenfold.http.server import HttpServer


async def echo(request):
    return Response(200, [(b"x-target", request.target)], request.body)


async def start_echo(max_body_bytes=1000):
    server = HttpServer(echo, max_body_bytes)
    return server, await server.start("127.0.0.1", 0)


HOST = [(b"host", b"test")]


def test_exchanges_reuse_one_connection(run):
    """Guards against a pool that loses or mixes up a reusable connection."""

    async def main():
        server, port = await start_echo()
        pool = Pool("127.0.0.1", port, limit=1)
        for body in (b"one", b"", b"three"):
            connection = await pool.acquire(1000)
            response = await connection.exchange(b"POST", b"/a", HOST, body)
            assert response.ok.body == body
            await pool.release(connection)
        assert pool.n_open == 1
        await pool.close()
        await server.stop()

    run(main)


@pytest.mark.parametrize(
    "data, status, error",
    [
        (b"nonsense\r\n\r\n", 400, "bad_request"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20000, 431, "head_too_large"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
            "bad_request",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000,
            413,
            "body_too_large",
        ),
    ],
)
def test_bad_request_gets_one_error_kind(run, data, status, error):
    """Guards against bad input that is forwarded, or hangs or stops the process."""

    async def main():
        server, port = await start_echo()
        sock = await curio.open_connection("127.0.0.1", port)
        await sock.sendall(data)
        response = b""
        while chunk := await sock.recv(10000):
            response += chunk
        head, body = response.split(b"\r\n\r\n", 1)
        assert head.startswith(b"HTTP/1.1 %d" % status)
        assert json.loads(body)["error"] == error
        assert json.loads(body)["run_state"] == "did_not_run"
        connection = await HttpConnection.open("127.0.0.1", port)
        assert (await connection.exchange(b"GET", b"/", HOST, b"")).is_ok()
        await server.stop()

    run(main)


def test_truncated_request_body_never_reaches_the_handler(run):
    """Guards against a truncated request that is executed as if it were complete."""

    async def main():
        called = []

        async def record(request):
            called.append(request)

        server = HttpServer(record)
        port = await server.start("127.0.0.1", 0)
        sock = await curio.open_connection("127.0.0.1", port)
        await sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
        await sock.shutdown(1)
        response = await sock.recv(10000)
        assert b"truncated_body" in response
        assert called == []
        await server.stop()

    run(main)


@pytest.mark.parametrize(
    "length, error", [(9, "truncated_body"), (2000, "body_too_large")]
)
def test_refused_body_with_a_key_leaves_the_outcome_unknown(run, length, error):
    """Guards against ``did_not_run`` when an earlier request with the same key may have
    been executed."""

    async def main():
        server, port = await start_echo()
        sock = await curio.open_connection("127.0.0.1", port)
        head = b"POST / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n"
        await sock.sendall(head + b"Content-Length: %d\r\n\r\n" % length)
        await sock.sendall(b"x" * (length - 1))
        await sock.shutdown(1)
        response = b""
        while chunk := await sock.recv(10000):
            response += chunk
        body = json.loads(response.split(b"\r\n\r\n", 1)[1])
        assert (body["error"], body["run_state"]) == (error, "outcome_unknown")
        await server.stop()

    run(main)


@pytest.mark.parametrize(
    "response_bytes, failure",
    [
        (b"", ExchangeFailure.NO_RESPONSE),
        (b"HTTP/1.1 2", ExchangeFailure.BAD_RESPONSE),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
            ExchangeFailure.BAD_RESPONSE,
        ),
        (b"garbage\r\n\r\n", ExchangeFailure.BAD_RESPONSE),
    ],
)
def test_partial_response_is_never_treated_as_complete(run, response_bytes, failure):
    """Guards against a truncated response that is forwarded as complete."""

    async def main():
        async def serve(client, address):
            await client.recv(10000)
            await client.sendall(response_bytes)

        sock = curio.tcp_server_socket("127.0.0.1", 0)
        task = await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
        connection = await HttpConnection.open("127.0.0.1", sock.getsockname()[1])
        result = await connection.exchange(b"GET", b"/", HOST, b"")
        assert result.error is failure
        assert not connection.is_reusable
        await connection.close()
        await task.cancel()

    run(main)


def test_bytes_after_a_response_end_the_connection(run):
    """Guards against a duplicated response that reaches the next caller."""

    async def main():
        async def serve(client, address):
            await client.recv(10000)
            response_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
            await client.sendall(response_bytes + response_bytes)
            await client.recv(10000)

        sock = curio.tcp_server_socket("127.0.0.1", 0)
        task = await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
        connection = await HttpConnection.open("127.0.0.1", sock.getsockname()[1])
        result = await connection.exchange(b"GET", b"/", HOST, b"")
        assert result.ok.body == b"ab"
        assert not connection.is_reusable
        await connection.close()
        await task.cancel()

    run(main)
