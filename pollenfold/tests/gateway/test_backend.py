"""Unit tests of the connections to backend servers."""

import curio

from pollenfold.core.link import Link
from pollenfold.gateway.outgoing import outgoing_request
from pollenfold.gateway.pool import ConnectionPool
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import signed_response


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
