"""What counts as the work of a server on a request."""

import curio
import h11

from pollenfold.gateway.response_memory import ResponseMemory
from pollenfold.gateway.response_reader import ResponseReader, new_parser
from pollenfold.observe.clock import system_clock

WAIT_S = 0.3
BODY_BYTES = 40_000


def read_response(memory, when_read=None):
    """Read a response of 40 KB that has arrived; return it, and when that began."""
    parser = new_parser()
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    parser.send(h11.EndOfMessage())
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
    arrived = bytearray(head + b"x" * BODY_BYTES)

    async def receive_bytes(max_bytes):
        data = bytes(arrived[:max_bytes])
        del arrived[:max_bytes]
        return data

    async def close():
        pass

    reader = ResponseReader(
        parser,
        receive_bytes,
        lambda head, has_surplus: None,
        close,
        lambda n_bytes: True,
        memory=memory,
    )

    async def main():
        started_at = system_clock()
        if when_read is not None:
            await curio.spawn(when_read, daemon=True)
        return await reader.read(), started_at

    return curio.run(main)


def test_wait_for_memory_is_no_work_of_the_server():
    """Guards against callers that read slowly and hold the memory of long responses:
    work_ms rose from 70 to 3,400, and requests that could be served were refused."""
    memory = ResponseMemory(100_000)
    memory.add("other", 100_000)

    async def free_memory():
        await curio.sleep(WAIT_S)
        memory.add("other", -100_000)

    response, started_at = read_response(memory, free_memory)
    assert len(response.body) == BODY_BYTES
    assert system_clock() - started_at >= 1000 * WAIT_S
    assert response.arrived_at - started_at < 500 * WAIT_S
