"""Which connections keep a large receive buffer."""

import socket

import pytest

from pollenfold.wire.receive_buffers import ReceiveBuffers


def connect():
    listener = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    listener.close()
    return client, accepted


@pytest.fixture
def pairs():
    pairs = [connect() for _ in range(3)]
    yield pairs
    for pair in pairs:
        for sock in pair:
            sock.close()


def test_idle_connections_leave_large_buffers_to_others(pairs):
    """Guards against long messages that are slow for minutes since kept connections,
    which carried one long message each and are idle now, hold all large buffers."""
    buffers = ReceiveBuffers(memory_bytes=1 << 20, n_descriptors=4)
    assert buffers.memory.n_long == 1
    idle, active = pairs[0][1], pairs[1][1]
    assert buffers.grow(idle)
    buffers._next_check_at = 0.0
    assert buffers.grow(active)
