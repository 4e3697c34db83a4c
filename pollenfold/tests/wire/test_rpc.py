"""Remote calls between processes, with garbage and lost peers."""

import gc

import curio
import pytest
from curio import socket

from pollenfold.core.errors import ErrorKind
from pollenfold.wire.frames import MAX_PAYLOAD_BYTES, Protocol
from pollenfold.wire.rpc import RpcClient, RpcServer


async def start_server(handlers):
    sock = curio.tcp_server_socket("127.0.0.1", 0)
    server = RpcServer(handlers)
    task = await curio.spawn(curio.network.run_server, sock, server.handle, daemon=True)
    return task, sock.getsockname()[1]


async def is_closed_by_peer(sock):
    """A peer that closes with unread bytes resets the connection."""
    try:
        return await sock.recv(100) == b""
    except ConnectionResetError:
        return True


async def echo(payload):
    if payload == b"slow":
        await curio.sleep(0.05)
    if payload == b"fail":
        raise ValueError("refused")
    return payload


def test_responses_match_their_requests(run):
    """Guards against a response that reaches another request of the connection."""

    async def main():
        task, port = await start_server({Protocol.LEDGER: echo})
        client = RpcClient("127.0.0.1", port)
        slow = await curio.spawn(client.call, Protocol.LEDGER, b"slow", 1000)
        fast = await client.call(Protocol.LEDGER, b"fast", 1000)
        assert fast.ok == b"fast"
        assert (await slow.join()).ok == b"slow"
        await client.close()
        await task.cancel()

    run(main)


@pytest.mark.parametrize(
    "protocol, payload, timeout_ms",
    [
        (Protocol.LEDGER, b"fail", 1000),
        (Protocol.LEASE, b"no handler", 1000),
        (Protocol.LEDGER, b"slow", 5),
    ],
)
def test_failed_call_is_an_error_and_the_next_one_works(
    run, protocol, payload, timeout_ms
):
    """Guards against a failed call that blocks the connection or the server."""

    async def main():
        task, port = await start_server({Protocol.LEDGER: echo})
        client = RpcClient("127.0.0.1", port)
        failed = await client.call(protocol, payload, timeout_ms)
        assert failed.error is ErrorKind.UNREACHABLE
        assert (await client.call(Protocol.LEDGER, b"next", 1000)).ok == b"next"
        await client.close()
        await task.cancel()

    run(main)


@pytest.mark.parametrize(
    "garbage",
    [
        b"\xff" * 64,
        (MAX_PAYLOAD_BYTES + 1).to_bytes(4, "big") + b"\x01\x00\x00\x00\x00\x01",
        b"\x00\x00\x00\x01\x63\x00\x00\x00\x00\x01x",
    ],
)
def test_garbage_closes_only_its_connection(run, garbage):
    """Guards against garbage between processes that stops the server."""

    async def main():
        task, port = await start_server({Protocol.LEDGER: echo})
        sock = await curio.open_connection("127.0.0.1", port)
        await sock.sendall(garbage)
        assert await is_closed_by_peer(sock)
        await sock.close()
        client = RpcClient("127.0.0.1", port)
        assert (await client.call(Protocol.LEDGER, b"next", 1000)).ok == b"next"
        await client.close()
        await task.cancel()

    run(main)


def test_call_after_the_server_restarted(run):
    """Guards against a client that stays broken after its peer was replaced."""

    async def main():
        task, port = await start_server({Protocol.LEDGER: echo})
        client = RpcClient("127.0.0.1", port)
        assert (await client.call(Protocol.LEDGER, b"a", 1000)).ok == b"a"
        await client._sock.shutdown(socket.SHUT_RDWR)
        await curio.sleep(0.01)
        assert (await client.call(Protocol.LEDGER, b"b", 1000)).ok == b"b"
        await client.close()
        await task.cancel()

    run(main)


def test_ended_requests_leave_no_tasks(run):
    """Guards against a server whose memory grows with each request."""

    async def main():
        task, port = await start_server({Protocol.LEDGER: echo})
        client = RpcClient("127.0.0.1", port)

        def count_tasks():
            gc.collect()
            return sum(type(item) is curio.Task for item in gc.get_objects())

        await client.call(Protocol.LEDGER, b"a", 1000)
        before = count_tasks()
        for _ in range(50):
            await client.call(Protocol.LEDGER, b"a", 1000)
        assert count_tasks() <= before
        await client.close()
        await task.cancel()

    run(main)


def test_oversized_response_is_an_error_at_once(run):
    """Guards against a response that can't be sent and leaves the caller waiting."""

    async def main():
        async def answer(payload):
            return b"x" * (MAX_PAYLOAD_BYTES + 1)

        task, port = await start_server({Protocol.LEDGER: answer})
        client = RpcClient("127.0.0.1", port)
        async with curio.timeout_after(5):
            result = await client.call(Protocol.LEDGER, b"a", 60_000)
        assert result.error is ErrorKind.UNREACHABLE
        await client.close()
        await task.cancel()

    run(main)


def test_call_that_ends_while_sending_does_not_damage_the_next_one(run):
    """Guards against a frame that the peer reads as the rest of an unfinished one."""

    async def main():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        client = RpcClient("127.0.0.1", listener.getsockname()[1])
        large = b"x" * MAX_PAYLOAD_BYTES
        for _ in range(8):
            # Nobody reads: after some calls the socket buffers are full.
            await client.call(Protocol.LEDGER, large, 20)
        server = RpcServer({Protocol.LEDGER: echo})
        task = await curio.spawn(curio.network.run_server, listener, server.handle)
        for _ in range(3):
            assert (await client.call(Protocol.LEDGER, b"next", 1000)).ok == b"next"
        await client.close()
        await task.cancel()

    run(main)


def test_finished_requests_are_forgotten(run):
    """Guards against a server whose memory grows with every request of a
    connection."""

    async def main():
        task, port = await start_server({Protocol.LEDGER: echo})
        client = RpcClient("127.0.0.1", port)
        for _ in range(200):
            assert (await client.call(Protocol.LEDGER, b"x", 1000)).is_ok()
        gc.collect()
        n_tasks = sum(isinstance(entry, curio.Task) for entry in gc.get_objects())
        assert n_tasks < 100
        await client.close()
        await task.cancel()

    run(main)
