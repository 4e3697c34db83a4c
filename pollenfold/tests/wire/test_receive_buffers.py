"""Bytes that stand unread in the kernel, over all sockets of a process."""

import socket

import curio
import pytest

from pollenfold.core.link import Link
from pollenfold.core.receive_memory import receive_memory
from pollenfold.gateway.backend import BackendConnection
from pollenfold.http.listener import open_listener, reserve_when_free, start_listening
from pollenfold.tests.wire.unread import connect, flood, n_unread_bytes
from pollenfold.wire.connections import open_connection
from pollenfold.wire.receive_buffers import ReceiveBuffers, receive_buffers

N_CONNECTIONS = 40
MEMORY_BYTES = 300 << 20
N_DESCRIPTORS = 4100


@pytest.fixture(autouse=True)
def limits():
    receive_buffers.configure(MEMORY_BYTES, N_DESCRIPTORS)
    yield receive_memory(MEMORY_BYTES, N_DESCRIPTORS)
    receive_buffers.configure()


def _listen(how):
    if how == "open":
        return open_listener("127.0.0.1", 0)
    listener = reserve_when_free("127.0.0.1", 0)
    start_listening(listener)
    return listener


@pytest.mark.parametrize("how", ["open", "reserve"])
def test_accepted_connections_hold_a_bounded_share_unread(limits, how):
    """Guards against callers, peers, subscribers, replicas or operators whose bytes
    aren't read and that fill the memory of the machine from the kernel."""
    listener = _listen(how)
    pairs = connect(listener, N_CONNECTIONS)
    flood([client for client, _ in pairs])
    n_held = [n_unread_bytes(accepted) for _, accepted in pairs]
    for sock in (listener, *(sock for pair in pairs for sock in pair)):
        sock.close()
    assert 0 < sum(n_held) <= N_CONNECTIONS * limits.socket_bytes


async def _open_backend(port):
    connection = BackendConnection("127.0.0.1", port, Link(0.0))
    await connection.wait_until_connected()
    return connection


async def _open_stream(port):
    return await open_connection("127.0.0.1", port)


@pytest.mark.parametrize("open_one", [_open_backend, _open_stream])
def test_opened_connections_hold_a_bounded_share_unread(limits, open_one):
    """Guards against endpoints, probed servers, peers or replicas that send without end
    while nobody reads, also on idle connections."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=N_CONNECTIONS)

    async def main():
        opened = []
        port = listener.getsockname()[1]
        for _ in range(N_CONNECTIONS):
            opened.append(await open_one(port))
        senders = [listener.accept()[0] for _ in opened]
        flood(senders)
        n_held = 0
        for connection in opened:
            n_held += n_unread_bytes(getattr(connection, "_sock", connection))
            await connection.close()
        for sender in senders:
            sender.close()
        return n_held

    n_held = curio.run(main)
    listener.close()
    assert 0 < n_held <= N_CONNECTIONS * limits.socket_bytes


def test_grown_windows_are_bounded_together():
    """Guards against long bodies that all get a large window, and so exceed what the
    kernel may hold for the process."""
    memory_bytes, n_descriptors = 8 << 20, 100
    buffers = ReceiveBuffers(memory_bytes, n_descriptors)
    limits = receive_memory(memory_bytes, n_descriptors)
    assert limits.n_long < N_CONNECTIONS
    listener = socket.socket()
    buffers.limit(listener)
    listener.bind(("127.0.0.1", 0))
    listener.listen(N_CONNECTIONS)
    pairs = connect(listener, N_CONNECTIONS)
    n_grown = sum(buffers.grow(accepted) for _, accepted in pairs)
    senders = [client for client, _ in pairs]
    for _ in range(2):
        flood(senders)
        for _, accepted in pairs:
            # A window grows only while its bytes are read.
            accepted.recv(4096)
    flood(senders)
    n_held = sum(n_unread_bytes(accepted) for _, accepted in pairs)
    for sock in (listener, *(sock for pair in pairs for sock in pair)):
        sock.close()
    assert n_grown == limits.n_long
    assert 0 < n_held <= limits.total_bytes


def test_window_of_a_closed_connection_is_given_to_another():
    """Guards against long bodies that stay slow since ended connections keep the
    budget of the large windows."""
    buffers = ReceiveBuffers(8 << 20, 100)
    n_long = receive_memory(8 << 20, 100).n_long
    pairs = [socket.socketpair() for _ in range(n_long + 2)]
    assert sum(buffers.grow(pair[0]) for pair in pairs) == n_long
    for pair in pairs[:3]:
        pair[0].close()
    buffers.forget_closed()
    assert buffers.grow(pairs[-1][0]) and buffers.grow(pairs[-2][0])
    for pair in pairs:
        pair[0].close()
        pair[1].close()


def test_socket_without_the_option_is_used_as_it_is():
    """Guards against a process that can't connect where a simulated network refuses
    the option."""

    class Refusing:
        def setsockopt(self, *args):
            raise OSError(92, "Protocol not available")

        def fileno(self):
            return 1

    buffers = ReceiveBuffers(8 << 20, 100)
    buffers.limit(Refusing())
    assert not buffers.grow(Refusing())
