"""Long request bodies that come in many small chunks."""

import contextlib

import curio

from pollenfold.core.bulk_schedule import MAX_STEP_EVENTS
from pollenfold.core.link import Link
from pollenfold.gateway.backend import BackendConnection
from pollenfold.gateway.outgoing import outgoing_request
from pollenfold.http.memory import MemoryBudget
from pollenfold.http.messages import BodyError
from pollenfold.http.request_reader import RequestReader, ServerLimits
from pollenfold.observe.clock import system_clock
from pollenfold.tests.http.test_reading_pace import FastSocket, Turns

HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


def test_small_chunks_of_a_request_do_not_hold_the_loop(run):
    """Guards against a caller whose body in chunks of one byte takes the time of all
    others: each chunk is parsed, and written to the endpoint on its own."""

    async def drain(client, address):
        async with client:
            while await client.recv(1 << 20):
                pass

    async def main():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(curio.network.run_server, listener, drain, daemon=True)
        port = listener.getsockname()[1]
        connection = BackendConnection("127.0.0.1", port, Link(0.0))
        await connection.wait_until_connected()
        limits = ServerLimits(body_bytes=1 << 30)
        reader = RequestReader(
            FastSocket(HEAD, b"1\r\nz\r\n", n_reads=4),
            b"",
            lambda: limits,
            MemoryBudget(1 << 30),
            100,
            lambda: 1_000.0,
            lambda: None,
            None,
        )
        request = await reader.read("peer")
        turns = Turns()
        longest_ms = 0.0

        async def read_piece():
            turns.count()
            return await request.read_remaining_body()

        async def measure():
            nonlocal longest_ms
            before = system_clock()
            while True:
                await curio.sleep(0)
                now = system_clock()
                longest_ms, before = max(longest_ms, now - before), now

        tasks = [await curio.spawn(f, daemon=True) for f in (turns.run, measure)]
        headers = [(b"host", b"x")]
        outgoing = outgoing_request(
            b"POST", b"/", headers, request.body, read_piece, None
        )
        with contextlib.suppress(BodyError):
            await connection.send(outgoing)
        for task in tasks:
            await task.cancel()
        await connection.close()
        return turns.max_events, longest_ms

    n_events, longest_ms = run(main)
    assert n_events <= 2 * MAX_STEP_EVENTS, f"{longest_ms:.0f} ms in one turn"
