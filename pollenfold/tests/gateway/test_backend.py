"""Unit tests of the connections to backend servers."""

import curio
import pytest

from pollenfold.core.link import Link
from pollenfold.gateway.outgoing import outgoing_request
from pollenfold.gateway.pool import ConnectionPool
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import HEALTHY, Backend, signed_response

KEEP_ALIVE = b"keep-alive: timeout=1"
LIMIT = b"server-limit: 10"


def test_connection_with_unsent_body_bytes_is_not_reused(run):
    """Guards against a next request whose bytes the server reads as the missing body.

    A server may respond before it has read a long body and keep the connection open.
    """

    async def serve(client, address):
        async with client:
            await client.recv(100)
            await client.sendall(signed_response(413))
            await curio.sleep(10)

    async def main():
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        port = sock.getsockname()[1]
        await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
        pool = ConnectionPool("127.0.0.1", port, 5, system_clock, Link())
        connection = await pool.acquire()
        await connection.wait_until_connected()
        headers = [(b"host", b"h.example")]
        request = outgoing_request(b"POST", b"/x/1", headers, bytes(32 << 20))
        assert await connection.send(request)
        response = await connection.receive(lambda response: True)
        assert response.status == 413
        await pool.release(connection)
        assert pool.n_open == 0

    run(main)


class ExpiringBackend(Backend):
    """A backend server that announces an idle timeout of 1 s.

    It closes a connection at that time without a response to a request that arrives
    just then.
    """

    async def _serve(self, client):
        async with client:
            idle_since = system_clock()
            while data := await client.recv(65536):
                if system_clock() - idle_since >= 900.0:
                    return
                if data.startswith(b"GET /healthz"):
                    name = self.name.encode()
                    response = HEALTHY % (
                        name,
                        self.load,
                        KEEP_ALIVE + b"\r\n" + LIMIT + b"\r\n",
                    )
                else:
                    self.requests.append(data)
                    response = signed_response(200, b"whole", b"q1", KEEP_ALIVE, LIMIT)
                await client.sendall(response)
                idle_since = system_clock()


def test_connection_near_its_idle_timeout_is_not_used(with_path):
    """Guards against an order with an unknown outcome because it crossed the close of a
    connection whose idle timeout the server had announced.

    The server declares a limit, so that no probe finds the closed connection first.
    """

    async def body(path, backend):
        while (await path.get(b"POST")).status != 200:
            await curio.sleep(0.05)
        await curio.sleep(0.92)
        assert (await path.get(b"POST")).status == 200
        assert len(backend.requests) == 2

    with_path(body, ExpiringBackend("one"), is_idempotent=False)


@pytest.mark.parametrize("value", [b"", b"max=5", b"timeout=", b"timeout=-1", b"x"])
def test_malformed_idle_timeout_is_ignored(with_path, value):
    """Guards against connections that are never reused because of a malformed value."""
    header = b"keep-alive: " + value
    backend = Backend("one", lambda r: signed_response(200, b"", b"q1", header))

    async def body(path, backend):
        for _ in range(4):
            assert (await path.get()).status == 200
        assert len(set(map(id, backend.clients))) == 1

    with_path(body, backend)


WHOLE_HEADS = [
    (b"x-response-signature: s", b"content-length: 5"),
    (b"content-length: 5", b"x-response-signature: s"),
    (b"x-response-signature: s", b"connection: close"),
    (b"x-response-signature: s", b"transfer-encoding: chunked"),
]


@pytest.mark.parametrize("headers", WHOLE_HEADS)
def test_response_that_ends_in_its_head_is_never_a_success(with_path, headers):
    """Guards against a success with an empty or short body, when a server stops in the
    middle of the head of its response and closes the connection."""
    head = b"\r\n".join([b"HTTP/1.1 200 OK", b"x-request-id: q1", *headers])
    head += b"\r\n\r\n"

    async def body(path, backend):
        backend.closes_after_response = True
        for n_bytes in range(len(head)):
            backend.respond = lambda request, n=n_bytes: head[:n]
            response = await path.get(b"POST")
            assert response.status == 502
            assert response.remaining_body is None
        assert len(backend.requests) == len(head)

    with_path(body, Backend("one"), is_idempotent=False)
