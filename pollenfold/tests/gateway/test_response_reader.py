"""The pace of reading long responses, and what proper responses may look like."""

import curio
import h11
import pytest

from pollenfold.gateway.response_reader import ResponseReader, new_parser
from pollenfold.observe.clock import system_clock
from pollenfold.wire import pace

N_BODY_BYTES = 2 << 20
CALLER_DELAY_MS = 300.0
N_SLOW_CALLERS = 2
PATIENCE_MS = 3_000.0


@pytest.fixture(autouse=True)
def schedule(monkeypatch):
    """Give each test a schedule of its own."""
    monkeypatch.setattr(pace, "_SCHEDULE", pace.BulkSchedule())


def make_reader(receive_bytes):
    parser = new_parser()
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())

    async def close():
        pass

    return ResponseReader(
        parser, receive_bytes, lambda head, has_surplus: None, close, lambda n: True
    )


def make_long_reader():
    """Return the reader of a long response whose bytes are always ready."""
    pieces = [b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % N_BODY_BYTES]
    pieces += [bytes(65_536)] * (N_BODY_BYTES // 65_536)
    pieces.reverse()

    async def receive_bytes(max_bytes):
        return pieces.pop()

    return make_reader(receive_bytes)


async def read_all(response, delay_ms=0.0):
    n_bytes = len(response.body)
    while piece := await response.remaining_body.read():
        n_bytes += len(piece)
        await curio.sleep(delay_ms / 1000)
    return n_bytes


async def time_of_reading_ms():
    started_at = system_clock()
    assert await read_all(await make_long_reader().read()) == N_BODY_BYTES
    return system_clock() - started_at


def test_slow_callers_do_not_delay_long_responses_of_others(run):
    """Guards against time in which a response is written to a slow caller that counts
    as time of reading: all long responses of the process would wait for it."""

    async def take_slowly():
        await read_all(await make_long_reader().read(), CALLER_DELAY_MS)

    async def main():
        alone_ms = await time_of_reading_ms()
        slow = [
            await curio.spawn(take_slowly, daemon=True) for _ in range(N_SLOW_CALLERS)
        ]
        await curio.sleep(2.5 * CALLER_DELAY_MS / 1000)
        beside_ms = PATIENCE_MS
        async with curio.ignore_after(PATIENCE_MS / 1000):
            beside_ms = await time_of_reading_ms()
        for task in slow:
            await task.cancel()
        return alone_ms, beside_ms

    alone_ms, beside_ms = run(main)
    # The slow callers take a piece each in this time, so hardly any of the loop's time.
    assert beside_ms < alone_ms + CALLER_DELAY_MS


@pytest.mark.parametrize("event", [b"data: 1\n\n", b":\n\n"], ids=["event", "comment"])
def test_slow_response_in_small_chunks_is_read(run, event):
    """Guards against a proper response, each event in a chunk of its own and with time
    between them, that is taken for one that costs too much and is lost."""
    n_events = 1_500
    pieces = [b"%x\r\n%s\r\n" % (len(event), event) for _ in range(n_events)]
    pieces.insert(0, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    pieces.append(b"0\r\n\r\n")
    pieces.reverse()

    async def receive_bytes(max_bytes):
        # Most of the time the reader waits, so others have the loop.
        await curio.sleep(0.0005)
        return pieces.pop()

    async def main():
        reader = make_reader(receive_bytes)
        return await reader.read(), reader.error

    response, error = run(main)
    assert error is None
    assert response.body == event * n_events
