"""What many long responses hold together in the process."""

import tracemalloc

import curio
import pytest

from pollenfold.core.receive_memory import KERNEL_SHARE
from pollenfold.http.server import HttpServer
from pollenfold.tests.gateway.test_endless_bytes import ENDLESS, REQUEST, EndlessBackend
from pollenfold.wire.receive_buffers import receive_buffers

MEMORY_BYTES = 48 << 20
N_CALLERS = 180


@pytest.fixture(autouse=True)
def limits():
    receive_buffers.configure(MEMORY_BYTES, 4 * N_CALLERS)
    yield
    receive_buffers.configure()


def test_windows_of_long_responses_are_bounded_together(with_path):
    """Guards against an entry that is killed for its memory since each of many callers
    that read slowly or not at all has a whole window of its response in the process."""

    async def body(path, backend):
        server = HttpServer(path.forwarder.handle)
        port = await server.start("127.0.0.1", 0)
        tracemalloc.start()
        callers = []
        for _ in range(N_CALLERS):
            sock = await curio.open_connection("127.0.0.1", port)
            await sock.sendall((REQUEST % b"GET").replace(b"700", b"9000"))
            callers.append(sock)
        held = []
        for _ in range(30):
            await curio.sleep(0.1)
            held.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        for caller in callers:
            await caller.close()
        assert max(held) <= (1 - KERNEL_SHARE) * MEMORY_BYTES

    backend = EndlessBackend("one", *ENDLESS["body without length"])
    with_path(body, backend, is_idempotent=True, timeout_ms=9_000.0)
