"""Readers whose peer always has bytes ready: how long they keep the loop."""

import contextlib

import curio
import pytest

from pollenfold.core.bulk_schedule import MAX_STEP_EVENTS
from pollenfold.core.clock import add_ms
from pollenfold.http.client import HttpConnection
from pollenfold.http.memory import MemoryBudget
from pollenfold.http.request_reader import RequestReader, ServerLimits
from pollenfold.observe.clock import system_clock
from pollenfold.wire.lines import read_lines
from pollenfold.wire.rpc import LINGER_MS, RpcServer

READ_BYTES = 65_536
N_READS = 8


class FastSocket:
    """A peer whose bytes are always ready: ``start``, then ``filler`` several times."""

    def __init__(self, start, filler, n_reads=N_READS):
        filler = filler * (READ_BYTES // len(filler))
        self.pieces = [piece for piece in (start, *[filler] * n_reads) if piece]

    async def recv(self, n_bytes):
        return self.pieces.pop(0) if self.pieces else b""

    async def send(self, data):
        return len(data)

    async def shutdown(self, how):
        pass

    def fileno(self):
        return -1


class Turns:
    """Counts the turns of the loop, and the most events within one of them."""

    def __init__(self):
        self.n_events = 0
        self.max_events = 0

    async def run(self):
        while True:
            self.max_events = max(self.max_events, self.n_events)
            self.n_events = 0
            await curio.sleep(0)

    def count(self):
        self.n_events += 1
        self.max_events = max(self.max_events, self.n_events)


async def read_request(turns):
    """Read a request whose body comes in chunks of one byte."""
    head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    limits = ServerLimits(body_bytes=1 << 30)
    reader = RequestReader(
        FastSocket(head, b"1\r\nz\r\n"),
        b"",
        lambda: limits,
        MemoryBudget(1 << 30),
        1 << 30,
        lambda: 1_000.0,
        lambda: None,
        None,
    )
    next_event = reader.parser.next_event

    def count_event():
        turns.count()
        return next_event()

    reader.parser.next_event = count_event
    with contextlib.suppress(Exception):
        await reader.read("peer")


async def read_interim_responses(turns):
    """Read interim responses without end, as the client of operators does."""
    connection = HttpConnection(FastSocket(b"", b"HTTP/1.1 100 Continue\r\n\r\n"))
    await connection.send(b"GET", b"/", [(b"host", b"x")], b"")
    next_event = connection._connection.next_event

    def count_event():
        turns.count()
        return next_event()

    connection._connection.next_event = count_event
    await connection.receive_response(1_000)


async def read_feed(turns):
    """Read lines without end, as a control replica does from a subscriber."""
    async for _ in read_lines(FastSocket(b"", b"{}\n"), lambda: 1_000.0):
        turns.count()


@pytest.mark.parametrize("read", [read_request, read_interim_responses, read_feed])
def test_small_messages_do_not_hold_the_loop(run, read):
    """Guards against a caller, a peer or a server whose many small messages take the
    time of all others: only responses of endpoints were read in steps."""

    async def main():
        turns = Turns()
        counter = await curio.spawn(turns.run, daemon=True)
        await read(turns)
        await counter.cancel()
        return turns.max_events

    assert run(main) <= 2 * MAX_STEP_EVENTS


class EndlessSocket(FastSocket):
    """A peer that sends for some time, faster than it is read."""

    def __init__(self, duration_ms):
        super().__init__(b"", b"z")
        self.until = add_ms(system_clock(), duration_ms)

    async def recv(self, n_bytes):
        return bytes(n_bytes) if system_clock() < self.until else b""


def test_linger_ends_beside_a_peer_that_sends_without_end(run):
    """Guards against a stop that doesn't end and a loop that doesn't turn: reading what
    is ready never waits, so the timeout isn't noticed."""

    async def main():
        started_at = system_clock()
        await RpcServer({})._finish(EndlessSocket(6 * LINGER_MS), set())
        return system_clock() - started_at

    assert run(main) < 2 * LINGER_MS
