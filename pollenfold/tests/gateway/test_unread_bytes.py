"""Bytes of endless responses that stand unread in the kernel."""

import curio
import pytest

from pollenfold.core.receive_memory import receive_memory
from pollenfold.http.server import HttpServer
from pollenfold.observe.process_memory import unread_bytes
from pollenfold.tests.gateway.test_endless_bytes import (
    ENDLESS,
    REQUEST,
    EndlessBackend,
)
from pollenfold.tests.wire.unread import n_unread_bytes
from pollenfold.wire.receive_buffers import receive_buffers

MEMORY_BYTES = 6 << 20
N_DESCRIPTORS = 100
N_CALLERS = 60


@pytest.fixture(autouse=True)
def limits():
    receive_buffers.configure(MEMORY_BYTES, N_DESCRIPTORS)
    yield receive_memory(MEMORY_BYTES, N_DESCRIPTORS)
    receive_buffers.configure()


@pytest.mark.parametrize("part", ["body without length", "chunks"])
def test_unread_bytes_of_endless_responses_are_bounded(with_path, limits, part):
    """Guards against an entry that is killed for its memory since the kernel keeps
    megabytes of each endless response whose caller reads slowly or not at all."""

    async def body(path, backend):
        server = HttpServer(path.forwarder.handle)
        port = await server.start("127.0.0.1", 0)
        callers = [
            await curio.open_connection("127.0.0.1", port) for _ in range(N_CALLERS)
        ]
        for caller in callers:
            # The id is that of the responses, so that they are passed on.
            await caller.sendall(REQUEST % b"GET")
        peak = most_in_flight = 0
        for _ in range(50):
            await curio.sleep(0.02)
            for caller in callers[::2]:
                if n_unread_bytes(caller):
                    await caller.recv(16_384)
            most_in_flight = max(most_in_flight, server.n_in_flight)
            n_of_callers = sum(map(n_unread_bytes, callers))
            peak = max(peak, unread_bytes(4096) - n_of_callers)
        assert most_in_flight >= N_CALLERS // 2
        assert 0 < peak <= limits.total_bytes
        for caller in callers:
            await caller.close()

    backend = EndlessBackend("one", *ENDLESS[part])
    with_path(body, backend, is_idempotent=True, timeout_ms=900.0)
