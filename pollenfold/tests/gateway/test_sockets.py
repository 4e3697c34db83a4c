"""Socket options of the connections between processes and to endpoints."""

import socket

import curio
import pytest

from pollenfold.core.link import Link
from pollenfold.gateway.backend import BackendConnection
from pollenfold.http.messages import Response
from pollenfold.http.server import HttpServer
from pollenfold.wire.connections import open_connection


@pytest.mark.parametrize("kind", ["feed", "endpoint"])
def test_kernel_ends_no_connection_by_itself(run, kind):
    """Guards against a library or a change that sets TCP_USER_TIMEOUT or keep-alive
    probes: the first ends a connection whose receiver pauses for that long, and also
    decides when the probes give up, whatever their count."""
    accepted = []

    class RecordingServer(HttpServer):
        async def _spawn_connection(self, client, peer):
            accepted.append((client, peer))

    async def handle(request):
        return Response(200, [])

    async def main():
        server = RecordingServer(handle)
        port = await server.start("127.0.0.1", 0)
        if kind == "feed":
            opened = (await open_connection("127.0.0.1", port, "127.0.0.7"))._socket
        else:
            connection = BackendConnection("127.0.0.1", port, Link(), "127.0.0.7")
            await connection.wait_until_connected()
            opened = connection._raw
        while not accepted:
            await curio.sleep(0.005)
        client, peer = accepted[0]
        assert peer == "127.0.0.7"
        for sock in (opened, client._socket):
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 0
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 0

    run(main)


def test_source_address_of_another_machine_is_left_out(run):
    """Guards against an entry that can't connect because its address is translated."""

    async def main():
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        port = sock.getsockname()[1]
        opened = await open_connection("127.0.0.1", port, "192.0.2.1")
        assert opened.getsockname()[0] == "127.0.0.1"
        await opened.close()

    run(main)
