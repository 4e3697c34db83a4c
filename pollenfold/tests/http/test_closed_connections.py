"""Connections that end while another task waits on the same socket."""

import socket as sockets
import struct

import curio
import pytest

from pollenfold.core.link import Link
from pollenfold.gateway.backend import BackendConnection
from pollenfold.http.messages import Response
from pollenfold.http.server import HttpServer

GET = b"GET /%s HTTP/1.1\r\nhost: x\r\n\r\n"
LONG_BODY = bytes(16 << 20)
RESET = struct.pack("ii", 1, 0)
TURN_S = 0.02


async def start_server():
    async def handle(request):
        return Response(200, [], LONG_BODY if request.path == "/long" else b"short")

    server = HttpServer(handle, allows_concurrency=lambda request: True)
    return server, await server.start("127.0.0.1", 0)


async def connect_slow_reader(port):
    """Return a connection whose long response is being written, and not read."""
    sock = curio.socket.socket()
    sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, 4096)
    await sock.connect(("127.0.0.1", port))
    await sock.sendall(GET % b"long")
    await curio.sleep(5 * TURN_S)
    return sock


async def read_short_response(port):
    sock = await curio.open_connection("127.0.0.1", port)
    async with sock:
        await sock.sendall(GET % b"short")
        async with curio.timeout_after(3):
            return await sock.recv(1000)


@pytest.mark.parametrize("n_readers", [1, 20])
def test_reset_of_a_slow_reader_ends_only_its_connection(run, n_readers):
    """Guards against an end of the process: the task that reads from a caller closed
    the socket while the one that writes the response had a wait of it registered."""

    async def main():
        server, port = await start_server()
        callers = [await connect_slow_reader(port) for _ in range(n_readers)]
        for sock in callers:
            sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, RESET)
            await sock.close()
        await curio.sleep(2 * TURN_S)
        assert server.n_connections == server.n_in_flight == 0
        assert (await read_short_response(port)).startswith(b"HTTP/1.1 200")

    run(main)


def test_reused_descriptor_number_gets_its_own_waits(run):
    """Guards against a connection that is refused its wait, or never woken: its number
    belonged to a closed connection on which another task had a wait registered."""

    async def main():
        server, port = await start_server()
        sock = await connect_slow_reader(port)
        (connection,) = server._connections
        number = connection._client.fileno()
        trigger, waker = curio.socket.socketpair()
        opened = []

        async def open_after_close():
            await trigger.recv(1)
            while connection._client._socket.fileno() >= 0:
                await curio.sleep(0)
            backend = BackendConnection("127.0.0.1", port, Link())
            opened.append(backend._raw.fileno())
            async with curio.timeout_after(3):
                await backend.wait_until_connected()
            return backend

        opener = await curio.spawn(open_after_close)
        await curio.sleep(TURN_S)
        # The next turn runs the cancelled connection, then those whose sockets are
        # ready: first the opener, then the writer of the response.
        waker._socket.send(b"x")
        sock._socket.setblocking(False)
        while True:
            try:
                sock._socket.recv(1 << 20)
            except BlockingIOError:
                break
        await connection.cancel()
        backend = await opener.join()
        assert opened == [number], "the test needs the number of the closed connection"
        await backend.close()
        await sock.close()
        await trigger.close()
        await waker.close()

    run(main)


def test_stop_beside_a_slow_reader_releases_its_wait(run):
    """Guards against a check that doesn't see a close under the wait of a task that
    writes a response: in the other tests the writer is awake when its socket closes."""

    async def main():
        server, port = await start_server()
        sock = await connect_slow_reader(port)
        (connection,) = server._connections
        (writer,) = connection._tasks
        assert writer.state == "WRITE_WAIT"
        await server.close_all()
        await curio.sleep(2 * TURN_S)
        assert server.n_connections == 0
        assert writer.terminated
        await sock.close()

    run(main)
