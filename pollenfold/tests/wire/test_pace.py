"""Readers of bytes from outside leave time to the other tasks of the loop."""

import curio
import h11
import pytest

from pollenfold.core.bulk_schedule import UNMETERED_BYTES
from pollenfold.gateway.response_reader import ResponseReader, new_parser
from pollenfold.http.memory import MemoryBudget
from pollenfold.http.request_reader import RequestReader, ServerLimits
from pollenfold.wire.lines import read_lines
from pollenfold.wire.pace import _TURN, ReadingPace

N_READERS = 40
PLAY_S = 0.6
CHUNKS = (b"20\r\n" + b"z" * 32 + b"\r\n") * 1_700


class Flood:
    """A stand-in for sockets that always have bytes; counts the reads of all."""

    def __init__(self, start, filler):
        self.start, self.filler = start, filler
        self.n_reads = 0

    def reader(self):
        """Return a coroutine function that returns the next bytes of one connection."""
        parts = [self.start]

        async def receive(*args):
            self.n_reads += 1
            return parts.pop() if parts else self.filler

        return receive


class FloodSocket:
    """A socket that always has bytes."""

    def __init__(self, flood):
        self.recv = flood.reader()

    def fileno(self):
        return -1


async def _read_response(flood):
    parser = new_parser()
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())

    async def close():
        pass

    reader = ResponseReader(
        parser, flood.reader(), lambda *args: None, close, lambda n_bytes: True
    )
    response = await reader.read()
    while await response.remaining_body.read():
        pass


async def _read_request(flood):
    async def send_continue(parser):
        pass

    limits = ServerLimits(body_bytes=1 << 30)
    reader = RequestReader(
        FloodSocket(flood),
        b"",
        lambda: limits,
        MemoryBudget(1 << 30),
        1 << 16,
        lambda: 1_000.0,
        lambda: None,
        send_continue,
    )
    request = await reader.read("peer")
    while await request.read_remaining_body():
        pass


async def _read_lines(flood):
    async for _ in read_lines(FloodSocket(flood), lambda: 1_000.0):
        pass


READERS = {
    "responses": (
        _read_response,
        Flood(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", CHUNKS),
    ),
    "requests": (
        _read_request,
        Flood(
            b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n", CHUNKS
        ),
    ),
    "feed lines": (_read_lines, Flood(b"{}\n", b"{}\n" * 20_000)),
}


@pytest.mark.parametrize("kind", READERS)
def test_many_floods_leave_turns_to_other_tasks(run, kind):
    """Guards against long messages, each of which takes a step in every turn of the
    loop: a short request then waits for the steps of hundreds of others.

    One read of these floods is several steps.
    """
    read, flood = READERS[kind]
    flood.n_reads = 0

    async def main():
        tasks = [await curio.spawn(read, flood, daemon=True) for _ in range(N_READERS)]
        n_turns = 0
        end_s = await curio.clock() + PLAY_S
        while await curio.clock() < end_s:
            await curio.sleep(0)
            n_turns += 1
        for task in tasks:
            assert not task.terminated
            await task.cancel()
        assert n_turns > flood.n_reads > N_READERS

    run(main)


def test_cancelled_wait_loses_no_bytes_and_continues(run):
    """Guards against a request body with a gap, and a reader that skips its wait, when
    the handler stops waiting for the next piece and reads again."""

    async def main():
        pace = ReadingPace()
        assert pace.resume(UNMETERED_BYTES + 1)
        async with _TURN:
            async with curio.ignore_after(0.005):
                await pace.give_way()
            assert pace.is_step_over()
        await pace.give_way()
        assert not pace.is_step_over()

    run(main)
