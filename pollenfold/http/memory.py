"""A bound on the bytes that all connections of a server hold at the same time."""

from __future__ import annotations

from collections import deque

import curio


class MemoryBudget:
    """A byte budget with reservations, granted first come, first served.

    A reservation is granted completely or not at all, so two partial reservations
    can't deadlock. One that exceeds the budget gets the entire budget.
    """

    def __init__(self, n_bytes: int) -> None:
        self._n_total = n_bytes
        self._n_free = n_bytes
        self._waiters: deque[tuple[int, curio.Event]] = deque()

    @property
    def n_free_bytes(self) -> int:
        """The bytes that are not reserved."""
        return self._n_free

    async def reserve(self, n_bytes: int) -> int:
        """Wait for the bytes; return how many to release."""
        n_bytes = min(n_bytes, self._n_total)
        if not self._waiters and n_bytes <= self._n_free:
            self._n_free -= n_bytes
            return n_bytes
        waiter = (n_bytes, curio.Event())
        self._waiters.append(waiter)
        try:
            await waiter[1].wait()
        except BaseException:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            else:
                self._n_free += n_bytes
            await self._grant_waiting()
            raise
        return n_bytes

    async def release(self, n_bytes: int) -> None:
        """Return bytes to the budget and grant the reservations that fit now."""
        self._n_free += n_bytes
        await self._grant_waiting()

    async def _grant_waiting(self) -> None:
        while self._waiters and self._waiters[0][0] <= self._n_free:
            n_bytes, event = self._waiters.popleft()
            self._n_free -= n_bytes
            await event.set()
