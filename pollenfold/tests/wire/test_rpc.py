"""RPC between processes with malformed frames, lost peers and failed handlers."""

import gc

import curio
import pytest
from curio import socket

from pollenfold.core.errors import ErrorKind
from pollenfold.observe.clock import system_clock
from pollenfold.testing.listening import listening_socket
from pollenfold.wire.frames import (
    HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    Flag,
    Protocol,
    encode_frame,
)
from pollenfold.wire.rpc import MAX_PENDING_REQUESTS, RpcClient, RpcServer


async def start_server(handlers):
    sock = listening_socket("127.0.0.1", 0)
    server = RpcServer(handlers)
    task = await curio.spawn(curio.network.run_server, sock, server.handle, daemon=True)
    return task, sock.getsockname()[1]


async def is_closed_by_peer(sock):
    """Return whether the peer closes the connection.

    A reset counts too, as a close with unread bytes resets the connection.
    """
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
    """Guards against a response that is returned to another call on the connection.

    The second of two concurrent calls gets its response first.
    """

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
    """Guards against a failed call that blocks the connection or the server.

    The handler raises, the protocol has no handler, or the call times out.
    """

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
    "malformed",
    [
        b"\xff" * 64,
        (MAX_PAYLOAD_BYTES + 1).to_bytes(4, "big") + b"\x01\x00\x00\x00\x00\x01",
        b"\x00\x00\x00\x01\x63\x00\x00\x00\x00\x01x",
    ],
)
def test_malformed_frame_closes_only_its_connection(run, malformed):
    """Guards against a malformed frame that stops the server or other connections."""

    async def main():
        task, port = await start_server({Protocol.LEDGER: echo})
        sock = await curio.open_connection("127.0.0.1", port)
        await sock.sendall(malformed)
        assert await is_closed_by_peer(sock)
        await sock.close()
        client = RpcClient("127.0.0.1", port)
        assert (await client.call(Protocol.LEDGER, b"next", 1000)).ok == b"next"
        await client.close()
        await task.cancel()

    run(main)


def test_call_after_the_server_restarted(run):
    """Guards against a client that does not reconnect after it lost its connection."""

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


def test_completed_requests_leave_no_tasks(run):
    """Guards against a server that holds the task of each completed request."""

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


def test_oversized_response_is_an_immediate_error(run):
    """Guards against a response that is too large to send and blocks the caller."""

    async def main():
        async def respond_oversized(payload):
            return b"x" * (MAX_PAYLOAD_BYTES + 1)

        task, port = await start_server({Protocol.LEDGER: respond_oversized})
        client = RpcClient("127.0.0.1", port)
        async with curio.timeout_after(5):
            result = await client.call(Protocol.LEDGER, b"a", 60_000)
        assert result.error is ErrorKind.UNREACHABLE
        await client.close()
        await task.cancel()

    run(main)


def test_call_aborted_while_sending_does_not_corrupt_the_next_frame(run):
    """Guards against a frame that the peer reads as the remainder of a partial one.

    The calls time out while the peer reads nothing and its socket buffers are full.
    """

    async def main():
        listener = listening_socket("127.0.0.1", 0)
        client = RpcClient("127.0.0.1", listener.getsockname()[1])
        large = b"x" * MAX_PAYLOAD_BYTES
        for _ in range(8):
            # Nothing reads from the connection, so the socket buffers fill up.
            await client.call(Protocol.LEDGER, large, 20)
        server = RpcServer({Protocol.LEDGER: echo})
        task = await curio.spawn(curio.network.run_server, listener, server.handle)
        for _ in range(3):
            assert (await client.call(Protocol.LEDGER, b"next", 1000)).ok == b"next"
        await client.close()
        await task.cancel()

    run(main)


def test_number_of_tasks_is_bounded(run):
    """Guards against a server whose memory grows with every request of a
    connection, because it keeps the tasks of earlier requests."""

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


def test_peer_that_reads_no_responses_is_not_served_without_limit(run):
    """Guards against requests and responses kept without limit for a peer that sends
    on and never reads."""

    async def main():
        n_started = 0
        is_open = curio.Event()

        async def wait(payload):
            nonlocal n_started
            n_started += 1
            await is_open.wait()
            return payload

        task, port = await start_server({Protocol.LEDGER: wait})
        sock = await curio.open_connection("127.0.0.1", port)
        n_sent = 3 * MAX_PENDING_REQUESTS
        for number in range(n_sent):
            await sock.sendall(
                encode_frame(Protocol.LEDGER, Flag.REQUEST, number, b"x")
            )
        await curio.sleep(0.3)
        assert n_started == MAX_PENDING_REQUESTS
        # Once the others are answered, the remaining ones are handled.
        await is_open.set()
        received = b""
        expected_bytes = n_sent * (HEADER_BYTES + 1)
        while len(received) < expected_bytes:
            received += await sock.recv(65_536)
        assert n_started == n_sent
        await sock.close()
        await task.cancel()

    run(main)


def test_stop_answers_what_it_has_read_and_reads_no_more(run):
    """Guards against a stop that cuts off requests, or that lasts as long as a peer
    goes on sending, or resets a connection and loses the response in transit."""

    async def main():
        n_handled = 0

        async def handle(payload):
            nonlocal n_handled
            n_handled += 1
            await curio.sleep(0.1)
            return payload

        sock = listening_socket("127.0.0.1", 0)
        address = sock.getsockname()
        server = RpcServer({Protocol.OPERATOR: handle})
        accepting = await curio.spawn(
            curio.network.run_server, sock, server.handle, daemon=True
        )
        n_answered = 0

        async def send_steadily(client):
            nonlocal n_answered
            while True:
                result = await client.call(Protocol.OPERATOR, b"x", 2_000)
                if result.is_error():
                    return
                n_answered += 1

        clients = [RpcClient(*address) for _ in range(3)]
        callers = [
            await curio.spawn(send_steadily, client)
            for client in clients
            for _ in range(20)
        ]
        await curio.sleep(0.25)
        n_unanswered = await server.stop(2_000)
        assert n_unanswered == 0
        await accepting.cancel()
        for caller in callers:
            await caller.join()
        assert n_answered == n_handled > 0
        for client in clients:
            await client.close()

    run(main)


def test_stop_is_bounded(run):
    """Guards against a stop that waits for a handler that never returns, or for a peer
    that never closes its connection."""

    async def main():
        server = RpcServer({Protocol.OPERATOR: lambda payload: curio.sleep(3600)})
        sock = listening_socket("127.0.0.1", 0)
        address = sock.getsockname()
        accepting = await curio.spawn(
            curio.network.run_server, sock, server.handle, daemon=True
        )
        client = RpcClient(*address)
        caller = await curio.spawn(client.call, Protocol.OPERATOR, b"x", 5_000)
        idle = await curio.open_connection(*address)
        await curio.sleep(0.05)
        started_at = system_clock()
        assert await server.stop(200) == 1
        assert system_clock() - started_at < 1_000
        await accepting.cancel()
        assert (await caller.join()).is_error()
        await idle.close()
        await client.close()

    run(main)
