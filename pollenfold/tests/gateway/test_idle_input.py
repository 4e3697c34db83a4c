"""Idle connections to an endpoint that get bytes later."""

import curio

from pollenfold.core.link import Link
from pollenfold.gateway.pool import ConnectionPool
from pollenfold.observe.clock import system_clock

N_CONNECTIONS = 12


def test_idle_connections_that_get_bytes_are_closed():
    """Guards against idle connections that a server fills with bytes: they were found
    only when a request took them, or after 9 s."""

    async def main():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        pool = ConnectionPool("127.0.0.1", port, 20, system_clock, Link(0.0))
        opened = [pool.open() for _ in range(N_CONNECTIONS)]
        accepted = []
        for connection in opened:
            await connection.wait_until_connected()
            accepted.append((await listener.accept())[0])
            connection.last_used_at = system_clock()
            await pool.release(connection)
        for client in accepted[::2]:
            await client.sendall(b"HTTP/1.1 200 OK\r\n" * 400)
        await curio.sleep(0.05)
        await pool.close_idle(60_000.0)
        assert pool.n_idle == pool.n_open == N_CONNECTIONS // 2
        assert not any(c.has_input() for c in opened[1::2])
        await pool.close_idle(0.0)
        assert pool.n_open == 0
        for sock in (*accepted, listener):
            await sock.close()

    curio.run(main)
