"""Reading one request from a connection, and the memory budget for bodies."""

import curio

from pollenfold.http.memory import MemoryBudget
from pollenfold.http.request_reader import RequestReader, ServerLimits


class FastClient:
    """A caller whose bytes are always available, so that reading never waits."""

    def __init__(self, n_bytes):
        head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % n_bytes
        self.pieces = [head] + [b"x" * 65536] * (n_bytes // 65536)

    async def recv(self, n_bytes):
        return self.pieces.pop(0)

    def fileno(self):
        return -1


def test_continuous_sender_does_not_starve_other_tasks(run):
    """Guards against a long body on a fast link that blocks the event loop."""
    n_pieces = 100

    async def main():
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await curio.sleep(0)

        limits = ServerLimits(body_bytes=1 << 30)
        client = FastClient(n_pieces * 65536)
        reader = RequestReader(
            client,
            b"",
            lambda: limits,
            MemoryBudget(1 << 20),
            1 << 30,
            lambda: 1000.0,
            lambda: None,
            None,
        )
        counter = await curio.spawn(count_turns, daemon=True)
        request = await reader.read("peer")
        await counter.cancel()
        assert len(request.body) == n_pieces * 65536
        assert turns >= n_pieces / 10

    run(main)


def test_memory_is_granted_completely_and_in_order(run):
    """Guards against a deadlock of bodies that each hold a partial reservation, and
    against small reservations that starve a large one."""

    async def main():
        budget = MemoryBudget(100)
        assert await budget.reserve(60) == 60
        granted = []

        async def reserve(name, n_bytes):
            granted.append((name, await budget.reserve(n_bytes)))

        large = await curio.spawn(reserve, "large", 500)
        small = await curio.spawn(reserve, "small", 10)
        await curio.sleep(0.01)
        assert granted == []
        await budget.release(60)
        await large.join()
        assert granted == [("large", 100)]
        await small.cancel()
        await budget.release(100)
        assert budget.n_free_bytes == 100

    run(main)
