"""What counts as the work of a server on a request."""

from types import SimpleNamespace

import curio
import h11
import pytest

from pollenfold.core.clock import Instant, ManualClock
from pollenfold.gateway.response_memory import ResponseMemory
from pollenfold.gateway.response_reader import ResponseReader, new_parser
from pollenfold.gateway.streamed_body import read_until_deadline
from pollenfold.http.messages import BodyError, BodySource
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


def read_streamed(read_ms, taken_ms, deadline_ms=1_000.0):
    """Read a body of which each piece comes and is taken in some time.

    Return what was reported when it broke off.
    """
    clock = ManualClock()
    call = SimpleNamespace(deadline=Instant(deadline_ms))
    reported = []

    async def read():
        clock.advance(read_ms)
        if clock() >= deadline_ms:
            # Until the timeout of the reader.
            await curio.sleep(10.0)
        return b"x"

    async def close():
        pass

    source = BodySource(read, close)
    read_piece = read_until_deadline(
        call, source, clock, lambda *broken_off: reported.append(broken_off)
    )

    async def main():
        with pytest.raises(BodyError):
            while True:
                await read_piece()
                clock.advance(taken_ms)

    curio.run(main)
    return reported


def test_endpoint_is_not_late_for_a_caller_that_reads_slowly():
    """Guards against endpoints that slow readers have counted as failing: each response
    that wasn't read by the deadline added a penalty."""
    assert read_streamed(read_ms=1.0, taken_ms=300.0) == [("deadline", False)]


def test_endpoint_that_sends_slowly_is_late():
    """Guards against a sick endpoint whose responses break off without a penalty."""
    assert read_streamed(read_ms=300.0, taken_ms=1.0) == [("deadline", True)]
