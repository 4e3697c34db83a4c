"""A bound on the bytes that all connections of a process hold at the same time."""

from __future__ import annotations

from collections import deque

import curio


class MemoryBudget:
    """Bytes that may be reserved; who asks for more than is left waits its turn.

    A reservation is given whole or not at all, so two that each hold a part can't wait
    for one another. One that is larger than the whole budget gets all of it.
    """

    def __init__(self, n_bytes: int) -> None:
        self._n_all = n_bytes
        self._n_free = n_bytes
        self._waiting: deque[tuple[int, curio.Event]] = deque()

    @property
    def n_free_bytes(self) -> int:
        """The bytes that are not reserved."""
        return self._n_free

    async def reserve(self, n_bytes: int) -> int:
        """Wait for the bytes; return how many to release."""
        n_bytes = min(n_bytes, self._n_all)
        if not self._waiting and n_bytes <= self._n_free:
            self._n_free -= n_bytes
            return n_bytes
        turn = (n_bytes, curio.Event())
        self._waiting.append(turn)
        try:
            await turn[1].wait()
        except BaseException:
            if turn in self._waiting:
                self._waiting.remove(turn)
            else:
                self._n_free += n_bytes
            await self._wake()
            raise
        return n_bytes

    async def release(self, n_bytes: int) -> None:
        """Give bytes back, which lets waiting ones in."""
        self._n_free += n_bytes
        await self._wake()

    async def _wake(self) -> None:
        while self._waiting and self._waiting[0][0] <= self._n_free:
            n_bytes, event = self._waiting.popleft()
            self._n_free -= n_bytes
            await event.set()
