"""Reading one request of a caller."""

import curio
import h11

from pollenfold.http.memory import MemoryBudget
from pollenfold.http.request_reader import RequestReader, ServerLimits


class FastClient:
    """A caller whose bytes are always there, so that reading never waits."""

    def __init__(self, n_bytes):
        head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % n_bytes
        self.pieces = [head] + [b"x" * 65536] * (n_bytes // 65536)

    async def recv(self, n_bytes):
        return self.pieces.pop(0)

    def fileno(self):
        return -1


def test_caller_that_never_pauses_leaves_others_their_turn(run):
    """Guards against a long body on a fast link that holds up all other work."""
    n_pieces = 100

    async def main():
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await curio.sleep(0)

        limits = ServerLimits(body_bytes=1 << 30)
        parser = h11.Connection(h11.SERVER)
        client = FastClient(n_pieces * 65536)
        reader = RequestReader(
            client,
            parser,
            limits,
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


def test_memory_is_given_whole_and_in_turn(run):
    """Guards against bodies that each hold a part and wait for one another, and
    against a large one that small ones overtake for ever."""

    async def main():
        budget = MemoryBudget(100)
        assert await budget.reserve(60) == 60
        given = []

        async def take(name, n_bytes):
            given.append((name, await budget.reserve(n_bytes)))

        large = await curio.spawn(take, "large", 500)
        small = await curio.spawn(take, "small", 10)
        await curio.sleep(0.01)
        assert given == []
        await budget.release(60)
        await large.join()
        assert given == [("large", 100)]
        await small.cancel()
        await budget.release(100)
        assert budget.n_free_bytes == 100

    run(main)
