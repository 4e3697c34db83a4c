"""The bound on what all responses under way hold together."""

import curio
import h11

from pollenfold.gateway.response_memory import UNRESERVED_BYTES, ResponseMemory
from pollenfold.gateway.response_reader import (
    RESPONSE_WINDOW_BYTES,
    Failure,
    ResponseReader,
    new_parser,
)

N_RESPONSES = 60
MAX_BYTES = 8 << 20
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
WAIT_S = 0.3


def _reader(memory, n_body_bytes, endpoint="e", max_waiting=None):
    parser = new_parser()
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    parts = [HEAD % n_body_bytes]

    async def receive(max_bytes):
        return parts.pop() if parts else b"z" * max_bytes

    async def close():
        pass

    return ResponseReader(
        parser,
        receive,
        lambda *args: None,
        close,
        lambda n_bytes: True,
        endpoint=endpoint,
        memory=memory,
        max_waiting=max_waiting,
    )


async def _spawn_readers(memory, n_readers, n_body_bytes, endpoint=None):
    return [
        await curio.spawn(
            _reader(memory, n_body_bytes, endpoint or f"e{number}").read, daemon=True
        )
        for number in range(n_readers)
    ]


async def _cancel(tasks):
    for task in tasks:
        await task.cancel()


def test_windows_of_all_responses_are_bounded_together(run):
    """Guards against an entry that is killed for its memory because many endpoints
    send long responses to slow callers at the same time."""

    async def main():
        memory = ResponseMemory(MAX_BYTES)
        tasks = await _spawn_readers(memory, N_RESPONSES, 10 << 20)
        async with curio.timeout_after(5):
            while not any(task.terminated for task in tasks):
                await curio.sleep(0.01)
        await curio.sleep(WAIT_S)
        bodies = [len(task.result.body) for task in tasks if task.terminated]
        assert sum(bodies) <= MAX_BYTES
        assert memory.n_reserved_bytes <= MAX_BYTES
        await _cancel(tasks)

    run(main)


def test_memory_is_free_after_any_end(run):
    """Guards against a bound that shrinks with each response that ends early, until no
    long response is read any more."""

    async def main():
        memory = ResponseMemory(MAX_BYTES)
        for _ in range(3):
            tasks = await _spawn_readers(memory, N_RESPONSES, 10 << 20)
            await curio.sleep(WAIT_S)
            for task in tasks:
                await task.cancel()
                if not task.exception:
                    await task.result.remaining_body.close()
            assert memory.n_reserved_bytes == 0
        response = await _reader(memory, 100_000).read()
        assert memory.n_reserved_bytes == 200_000
        del response
        assert memory.n_reserved_bytes == 0

    run(main)


def test_waiting_response_continues_when_memory_is_free(run):
    """Guards against a long response of a sound server that is never read on."""

    async def main():
        memory = ResponseMemory(2 * RESPONSE_WINDOW_BYTES)
        first = await _reader(memory, 10 << 20, "one").read()
        task = await curio.spawn(_reader(memory, 10 << 20, "two").read, daemon=True)
        await curio.sleep(0.05)
        assert not task.terminated
        del first
        response = await task.join()
        assert len(response.body) >= RESPONSE_WINDOW_BYTES

    run(main)


def test_short_responses_need_no_memory(run):
    """Guards against a short response that waits behind long ones."""

    async def main():
        memory = ResponseMemory(1)
        held = await _reader(memory, 10 << 20, "one").read()
        response = await _reader(memory, UNRESERVED_BYTES, "two").read()
        assert len(response.body) == UNRESERVED_BYTES
        assert held.remaining_body is not None

    run(main)


def test_one_endpoint_cannot_use_all_memory(run):
    """Guards against a faulty endpoint that holds up the long responses of others."""

    async def main():
        memory = ResponseMemory(MAX_BYTES)
        tasks = await _spawn_readers(memory, N_RESPONSES, 10 << 20, "faulty")
        await curio.sleep(0.1)
        assert not all(task.terminated for task in tasks)
        async with curio.timeout_after(2):
            response = await _reader(memory, 10 << 20, "sound").read()
        assert len(response.body) >= RESPONSE_WINDOW_BYTES
        await _cancel(tasks)

    run(main)


def test_bound_follows_the_limit_of_the_process():
    """Guards against a bound beyond what the process may use."""
    memory = ResponseMemory(MAX_BYTES)
    memory.set_process_limit(100 << 20)
    assert memory._max_bytes == 25 << 20


def test_few_responses_of_an_endpoint_wait_for_memory(run):
    """Guards against slow readers whose responses wait on all connections to the
    endpoints, so that ordinary requests find none."""

    async def main():
        memory = ResponseMemory(MAX_BYTES)
        memory.add("slow readers", MAX_BYTES)
        tasks = [
            await curio.spawn(_reader(memory, 40_000, "e", 3).read) for _ in range(8)
        ]
        await curio.sleep(WAIT_S)
        given_up = [task for task in tasks if task.terminated]
        assert len(given_up) == 5
        assert all(task.result is Failure.NO_MEMORY for task in given_up)
        # Those of another endpoint, and short ones, aren't concerned.
        other = await curio.spawn(_reader(memory, 40_000, "other", 3).read)
        short = await curio.spawn(_reader(memory, UNRESERVED_BYTES, "e", 3).read)
        await curio.sleep(WAIT_S)
        assert not other.terminated
        assert len(short.result.body) == UNRESERVED_BYTES
        memory.add("slow readers", -MAX_BYTES)
        for task in tasks:
            if task not in given_up:
                assert len((await task.join()).body) == 40_000
        await other.join()
        assert not memory._n_waiting_by_endpoint
        for task in (*given_up, short):
            await task.join()

    run(main)
