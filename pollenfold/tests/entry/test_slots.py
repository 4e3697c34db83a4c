"""The slot queue under limits, deadlines, cancellation and removed endpoints."""

import curio
import pytest

from pollenfold.core.clock import add_ms
from pollenfold.core.errors import ErrorKind
from pollenfold.core.routing import Candidate, least_in_flight
from pollenfold.entry.slots import SlotQueue
from pollenfold.observe.clock import system_clock


async def make_queue(n_candidates=1, limit=1, queue_limit=10):
    queue = SlotQueue("a", queue_limit, least_in_flight, 1, system_clock)
    candidates = tuple(
        Candidate(str(i), "a", slots=limit, limit=limit) for i in range(n_candidates)
    )
    await queue.update(candidates)
    return queue, candidates


def deadline_in(ms=5000.0):
    return add_ms(system_clock(), ms)


def test_limit_is_never_exceeded(run):
    """Guards against more concurrent requests at a server than the entry's limit."""

    async def main():
        queue, candidates = await make_queue(n_candidates=2, limit=2, queue_limit=100)
        peak = 0

        async def call():
            nonlocal peak
            acquired = await queue.acquire(set(), deadline_in())
            peak = max(peak, *(c.n_in_flight for c in candidates))
            await curio.sleep(0.001)
            await queue.release(acquired.ok, 1.0)

        async with curio.TaskGroup() as group:
            for _ in range(50):
                await group.spawn(call)
        assert peak == 2
        assert queue.n_in_flight == 0
        assert [c.n_in_flight for c in candidates] == [0, 0]

    run(main)


@pytest.mark.parametrize(
    "queue_limit, deadline_ms, expected",
    [(0, 5000.0, ErrorKind.QUEUE_FULL), (10, 20.0, ErrorKind.DEADLINE_EXCEEDED)],
)
def test_refusal_of_a_waiting_request(run, queue_limit, deadline_ms, expected):
    """Guards against a full queue that accepts a request, and a request that waits past
    its deadline."""

    async def main():
        queue, _ = await make_queue(queue_limit=queue_limit)
        await queue.acquire(set(), deadline_in())
        refused = await queue.acquire(set(), deadline_in(deadline_ms))
        assert refused.error is expected
        assert queue.n_waiting == 0

    run(main)


def test_cancelled_waiter_leaves_the_queue(run):
    """Guards against a slot leak when a queued request is cancelled."""

    async def main():
        queue, _ = await make_queue()
        held = (await queue.acquire(set(), deadline_in())).ok
        task = await curio.spawn(queue.acquire, set(), deadline_in())
        await curio.sleep(0.005)
        await task.cancel()
        await queue.release(held, 1.0)
        assert queue.n_in_flight == 0
        assert (await queue.acquire(set(), deadline_in(50))).is_ok()

    run(main)


def test_new_endpoint_serves_the_queue(run):
    """Guards against queued requests that are not assigned to added endpoints."""

    async def main():
        queue, candidates = await make_queue()
        await queue.acquire(set(), deadline_in())
        task = await curio.spawn(queue.acquire, set(), deadline_in())
        await curio.sleep(0.005)
        extra = Candidate("new", "b", slots=1, limit=1)
        await queue.update((*candidates, extra))
        assert (await task.join()).ok is extra

    run(main)


def test_removed_endpoint_gets_no_new_work(run):
    """Guards against a queued request that is sent to a removed endpoint."""

    async def main():
        queue, candidates = await make_queue(n_candidates=2)
        held = [(await queue.acquire(set(), deadline_in())).ok for _ in candidates]
        task = await curio.spawn(queue.acquire, set(), deadline_in())
        await curio.sleep(0.005)
        removed, retained = held
        await queue.update((retained,))
        await queue.release(removed, 1.0)
        await curio.sleep(0.005)
        assert queue.n_waiting == 1
        await queue.release(retained, 1.0)
        assert (await task.join()).ok is retained

    run(main)


def test_tried_endpoints_are_not_chosen_again(run):
    """Guards against a retry at the server that has just failed."""

    async def main():
        queue, candidates = await make_queue(n_candidates=2, limit=5)
        first = (await queue.acquire(set(), deadline_in())).ok
        second = (await queue.acquire({first.key}, deadline_in())).ok
        assert second is not first
        both = {c.key for c in candidates}
        refused = await queue.acquire(both, deadline_in())
        assert refused.error is ErrorKind.NO_BACKEND_SERVER

    run(main)


def test_queue_is_refused_when_the_lease_ends(run):
    """Guards against requests that stay queued after the entry has lost its lease."""

    async def main():
        queue, _ = await make_queue()
        await queue.acquire(set(), deadline_in())
        task = await curio.spawn(queue.acquire, set(), deadline_in())
        await curio.sleep(0.005)
        await queue.refuse_all(ErrorKind.NO_LEASE)
        assert (await task.join()).error is ErrorKind.NO_LEASE

    run(main)
