"""Calls and feeds whose connection another task closes in the middle of a write."""

import socket as sockets

import curio
import pytest

from pollenfold.core.errors import ErrorKind
from pollenfold.gateway.feed import Feed
from pollenfold.wire.frames import MAX_PAYLOAD_BYTES, Protocol
from pollenfold.wire.rpc import RpcClient
from pollenfold.wire.sockets import Socket

TURN_S = 0.02


def test_call_ends_at_once_when_the_peer_stops_sending(run):
    """Guards against a call that waits until its timeout: the task that reads the
    responses closed the socket to which the call was being written."""

    async def main():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        client = RpcClient(*listener.getsockname())
        # More than the buffers of both sides hold.
        payload = bytes(MAX_PAYLOAD_BYTES)
        calls = [
            await curio.spawn(client.call, Protocol.LEASE, payload, 10_000)
            for _ in range(16)
        ]
        peer, _ = await listener.accept()
        await curio.sleep(5 * TURN_S)
        (blocked,) = [call for call in calls if call.state == "WRITE_WAIT"]
        await peer.shutdown(sockets.SHUT_WR)
        async with curio.timeout_after(1):
            result = await blocked.join()
        assert result.error is ErrorKind.UNREACHABLE
        for call in calls:
            await call.cancel()
        for sock in (peer, listener):
            await sock.close()

    run(main)


def test_line_to_a_closed_feed_is_an_oserror(run):
    """Guards against an end of the task that sends requests on all feeds, when the one
    that reads a feed closes it in the middle of a line."""

    async def main():
        sock, peer = map(Socket, sockets.socketpair())
        feed = Feed(sock)
        writer = await curio.spawn(feed.send, {"get": "x" * (8 << 20)})
        await curio.sleep(TURN_S)
        assert writer.state == "WRITE_WAIT"
        await sock.close()
        await writer.wait()
        assert isinstance(writer.exception, OSError)
        with pytest.raises(OSError):
            await feed.send({})
        await peer.close()

    run(main)
