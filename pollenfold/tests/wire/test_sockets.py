"""Sockets that one task closes while others use them."""

import errno
import os
import socket as sockets
import struct

import curio
import pytest

from pollenfold.wire.sockets import Socket, SocketBusyError

TURN_S = 0.02
FILL = bytes(8 << 20)


def socket_pair():
    return tuple(map(Socket, sockets.socketpair()))


async def read(sock):
    return await sock.recv(100)


async def write(sock):
    return await sock.sendall(FILL)


async def wait_error(use, sock, close):
    """Return the error of a task that uses the socket while it is closed."""
    task = await curio.spawn(use, sock)
    await curio.sleep(TURN_S)
    assert task.state in ("READ_WAIT", "WRITE_WAIT")
    await close()
    assert sock.fileno() == -1
    await task.wait()
    return task.exception


@pytest.mark.parametrize("use", [read, write])
def test_close_ends_the_wait_of_another_task(run, use):
    """Guards against a task that waits on a closed socket for ever."""

    async def main():
        sock, peer = socket_pair()
        async with peer:
            error = await wait_error(use, sock, sock.close)
        assert isinstance(error, ConnectionAbortedError)

    run(main)


@pytest.mark.parametrize("use", [read, write])
def test_leaving_the_block_ends_the_wait_of_another_task(run, use):
    """Guards against ``async with`` that closes the descriptor under a wait."""

    async def main():
        sock, peer = socket_pair()
        async with peer:
            error = await wait_error(use, sock, sock.__aexit__)
        assert isinstance(error, ConnectionAbortedError)

    run(main)


def test_close_leaves_timeouts_and_cancellations_as_they_are(run):
    """Guards against a wait that is ended like a cancellation: the task would lose its
    timeout and count as cancelled, and one that disabled cancellation would go on."""

    async def main():
        sock, peer = socket_pair()

        async def use_shielded():
            async with curio.timeout_after(10 * TURN_S):
                async with curio.disable_cancellation():
                    with pytest.raises(ConnectionAbortedError):
                        await sock.recv(100)
                await curio.sleep(10)

        async with peer:
            error = await wait_error(lambda sock: use_shielded(), sock, sock.close)
        assert isinstance(error, curio.TaskTimeout)

        async def report_cancelled(sock):
            with pytest.raises(ConnectionAbortedError):
                await sock.recv(100)
            return (await curio.current_task()).cancelled

        sock, peer = socket_pair()
        async with peer:
            task = await curio.spawn(report_cancelled, sock)
            await curio.sleep(TURN_S)
            await sock.close()
            assert not await task.join()

    run(main)


def test_close_reaches_a_task_that_handled_a_cancellation(run):
    """Guards against a task that was cancelled once, waits again and isn't woken."""

    async def main():
        sock, peer = socket_pair()

        async def use_again():
            try:
                await sock.recv(100)
            except curio.TaskCancelled:
                await sock.recv(100)

        async with peer:
            task = await curio.spawn(use_again)
            await curio.sleep(TURN_S)
            await task.cancel(blocking=False)
            await curio.sleep(TURN_S)
            await sock.close()
            async with curio.timeout_after(1):
                await task.wait()
        assert isinstance(task.exception, ConnectionAbortedError)

    run(main)


def test_task_that_is_about_to_run_gets_an_error(run):
    """Guards against a task whose socket became ready in the turn in which it was
    closed: its registration ended the event loop."""

    async def main():
        sock, peer = socket_pair()
        task = await curio.spawn(read, sock)
        await curio.sleep(TURN_S)
        peer.send_nowait(b"x")
        # The kernel makes the reader ready before it runs this task again.
        await curio.sleep(0)
        await sock.close()
        replacement, other = socket_pair()
        await task.wait()
        assert isinstance(task.exception, OSError) or task.result == b"x"
        await other.sendall(b"y")
        assert await replacement.recv(10) == b"y"
        for each in (peer, replacement, other):
            await each.close()

    run(main)


def test_every_operation_on_a_closed_socket_raises_an_oserror(run):
    """Guards against KeyError, ValueError and AttributeError, which end a task or the
    process where an OSError ends a connection."""
    operations = [
        lambda sock: sock.recv(1),
        lambda sock: sock.send(b"x"),
        lambda sock: sock.sendall(b"x"),
        lambda sock: sock.accept(),
        lambda sock: sock.connect(("127.0.0.1", 9)),
        lambda sock: sock.shutdown(sockets.SHUT_WR),
        lambda sock: sock.wait_readable(),
        lambda sock: sock.wait_writable(),
    ]
    immediate_operations = [
        lambda sock: sock.bind(("127.0.0.1", 0)),
        lambda sock: sock.getsockname(),
        lambda sock: sock.getpeername(),
        lambda sock: sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, bytes(8)),
        lambda sock: sock.getsockopt(sockets.SOL_SOCKET, sockets.SO_ERROR),
        lambda sock: sock.send_nowait(b"x"),
        lambda sock: sock.shutdown_nowait(sockets.SHUT_RDWR),
    ]

    async def main():
        sock = Socket(sockets.socket())
        await sock.close()
        await sock.close()
        for operation in operations:
            with pytest.raises(OSError):
                await operation(sock)
        for operation in immediate_operations:
            with pytest.raises(OSError):
                operation(sock)
        assert sock.fileno() == -1

    run(main)


@pytest.mark.parametrize("use", [read, write])
def test_second_task_in_one_direction_gets_an_oserror(run, use):
    """Guards against curio's own error, which is no OSError, and against an end of the
    first task's wait."""

    async def main():
        sock, peer = socket_pair()
        first = await curio.spawn(use, sock)
        await curio.sleep(TURN_S)
        with pytest.raises(SocketBusyError) as busy:
            await use(sock)
        assert busy.value.errno == errno.EBUSY
        assert first.state in ("READ_WAIT", "WRITE_WAIT")
        await sock.close()
        await first.wait()
        await peer.close()

    run(main)


def test_both_directions_are_used_at_the_same_time(run):
    """Guards against a wait for one direction that ends that for the other."""

    async def main():
        sock, peer = socket_pair()
        reader = await curio.spawn(read, sock)
        writer = await curio.spawn(write, sock)
        await curio.sleep(TURN_S)
        await peer.sendall(b"x")
        assert await reader.join() == b"x"
        n_bytes = 0
        while n_bytes < len(FILL):
            n_bytes += len(await peer.recv(1 << 20))
        await writer.join()
        await sock.close()
        await peer.close()

    run(main)


def test_timeout_in_a_write_leaves_no_registration(run):
    """Guards against a wait that outlives its timeout and is taken by the next socket
    of the same number."""

    async def main():
        sock, peer = socket_pair()
        with pytest.raises(curio.TaskTimeout):
            async with curio.timeout_after(TURN_S):
                await sock.sendall(FILL)
        number = sock.fileno()
        await sock.close()
        raw, other = sockets.socketpair()
        assert number in (raw.fileno(), other.fileno())
        async with Socket(raw) as first, Socket(other) as second:
            await first.sendall(b"x")
            assert await second.recv(10) == b"x"
        await peer.close()

    run(main)


def test_close_sends_no_end_of_stream_before_a_reset(run):
    """Guards against a response without a length that is broken off, and looks complete
    since the connection ended with an orderly end of the stream."""

    async def main():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        client = await curio.open_connection(*listener.getsockname())
        raw, _ = listener._socket.accept()
        sock = Socket(raw)
        reader = await curio.spawn(read, sock)
        await curio.sleep(TURN_S)
        reset = struct.pack("ii", 1, 0)
        sock.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, reset)
        await sock.close()
        with pytest.raises(ConnectionResetError):
            await client.recv(10)
        await reader.wait()
        await client.close()
        await listener.close()

    run(main)


def test_connection_that_is_refused_raises_an_oserror(run):
    """Guards against a connection that counts as open since the wait ended."""

    async def main():
        sock = Socket(sockets.socket())
        reserved = sockets.socket()
        reserved.bind(("127.0.0.1", 0))
        with pytest.raises(ConnectionRefusedError):
            await sock.connect(reserved.getsockname())
        await sock.close()
        reserved.close()

    run(main)


def test_descriptors_are_closed(run):
    """Guards against a descriptor that stays open after its last user left."""

    async def main():
        sock, peer = socket_pair()
        numbers = (sock.fileno(), peer.fileno())
        await wait_error(read, sock, sock.close)
        await peer.close()
        for number in numbers:
            with pytest.raises(OSError):
                os.fstat(number)

    run(main)
