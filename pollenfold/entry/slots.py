"""Slots at the endpoints of one service, and the bounded queue for them."""

from __future__ import annotations

import random
from collections import deque

import curio
from expression import Error, Ok, Result

from ..core.admission import admit, retry_after_s
from ..core.clock import Clock, Instant, remaining_ms
from ..core.errors import ErrorKind
from ..core.routing import Candidate, Policy, observe_latency, prefer_zone


class _Waiter:
    """A request that waits; ``candidate`` is set when a slot was handed to it."""

    __slots__ = ("tried", "event", "candidate", "error")

    def __init__(self, tried: set[str]) -> None:
        self.tried = tried
        self.event = curio.Event()
        self.candidate: Candidate | None = None
        self.error: ErrorKind | None = None


class SlotQueue:
    """Hands out slots at candidates in the order of arrival.

    ``candidates`` is replaced by ``update``; the objects keep their counts, so a
    request in flight at an endpoint that left still gives its slot back.
    """

    def __init__(
        self, zone: str, queue_limit: int, policy: Policy, seed: int, clock: Clock
    ) -> None:
        self.queue_limit = queue_limit
        self.n_in_flight = 0
        self.mean_service_ms = 0.0
        self._zone = zone
        self._policy = policy
        self._rng = random.Random(seed)
        self._clock = clock
        self._candidates: tuple[Candidate, ...] = ()
        self._waiters: deque[_Waiter] = deque()

    @property
    def n_waiting(self) -> int:
        """The number of requests in the queue."""
        return len(self._waiters)

    @property
    def candidates(self) -> tuple[Candidate, ...]:
        """The endpoints that may take new work."""
        return self._candidates

    def n_slots(self) -> int:
        """Return the concurrency that this entry may have over all endpoints."""
        return sum(candidate.limit for candidate in self._candidates)

    async def update(self, candidates: tuple[Candidate, ...]) -> None:
        """Replace the endpoints that may take new work, and serve the queue."""
        self._candidates = candidates
        await self._serve_queue()

    async def acquire(
        self, tried: set[str], deadline: Instant
    ) -> Result[Candidate, ErrorKind]:
        """Take a slot at an endpoint that is not in ``tried``.

        Wait in the queue when no endpoint has room. Give ``NO_BACKEND_SERVER``,
        ``QUEUE_FULL`` or ``DEADLINE_EXCEEDED`` at once when waiting can't help.
        """
        if not self._waiters:
            candidate = self._choose(tried)
            if candidate is not None:
                self._take(candidate)
                return Ok(candidate)
        if all(c.key in tried for c in self._candidates):
            return Error(ErrorKind.NO_BACKEND_SERVER)
        admitted = self._admit(deadline)
        if admitted.is_error():
            return Error(admitted.error)
        return await self._wait(tried, deadline)

    def refusal(self, deadline: Instant) -> ErrorKind | None:
        """Return why a request would be refused now, or None when it may come."""
        if not self._candidates:
            return ErrorKind.NO_BACKEND_SERVER
        if not self._waiters and any(c.has_room for c in self._candidates):
            return None
        admitted = self._admit(deadline)
        return admitted.error if admitted.is_error() else None

    def retry_after_s(self) -> int:
        """Return when a refused caller should come back, in whole seconds."""
        return retry_after_s(self.n_waiting, self.n_slots(), self.mean_service_ms)

    def try_acquire(self, tried: set[str]) -> Candidate | None:
        """Take a slot if there is one now, else return None."""
        if self._waiters:
            return None
        candidate = self._choose(tried)
        if candidate is not None:
            self._take(candidate)
        return candidate

    async def release(self, candidate: Candidate, latency_ms: float | None) -> None:
        """Give a slot back; ``latency_ms`` is that of a whole response, if any."""
        candidate.n_in_flight -= 1
        self.n_in_flight -= 1
        if latency_ms is not None:
            observe_latency(candidate, latency_ms, self._clock())
            # Started at the first latency: a mean that rises slowly from 0 would
            # admit requests whose deadline can't be met.
            change_ms = latency_ms - self.mean_service_ms
            self.mean_service_ms += (0.05 if self.mean_service_ms else 1.0) * change_ms
        if self._waiters:
            await self._serve_queue()

    async def refuse_all(self, kind: ErrorKind) -> None:
        """Answer every request in the queue, for example when the lease ended."""
        while self._waiters:
            waiter = self._waiters.popleft()
            waiter.error = kind
            await waiter.event.set()

    def _admit(self, deadline: Instant) -> Result[None, ErrorKind]:
        return admit(
            len(self._waiters),
            self.queue_limit,
            self.n_slots(),
            self.mean_service_ms,
            deadline,
            self._clock(),
        )

    def _choose(self, tried: set[str]) -> Candidate | None:
        open_candidates = [c for c in self._candidates if c.n_in_flight < c.limit]
        if tried:
            open_candidates = [c for c in open_candidates if c.key not in tried]
        if not open_candidates:
            return None
        preferred = prefer_zone(open_candidates, self._zone)
        return self._policy(preferred, self._rng, self._clock())

    def _take(self, candidate: Candidate) -> None:
        candidate.n_in_flight += 1
        self.n_in_flight += 1

    async def _wait(
        self, tried: set[str], deadline: Instant
    ) -> Result[Candidate, ErrorKind]:
        waiter = _Waiter(tried)
        self._waiters.append(waiter)
        left_ms = remaining_ms(deadline, self._clock())
        try:
            async with curio.ignore_after(left_ms / 1000):
                await waiter.event.wait()
        except curio.CancelledError:
            await self._leave(waiter)
            raise
        if waiter.candidate is not None:
            return Ok(waiter.candidate)
        if waiter.error is not None:
            return Error(waiter.error)
        self._waiters.remove(waiter)
        return Error(ErrorKind.DEADLINE_EXCEEDED)

    async def _leave(self, waiter: _Waiter) -> None:
        if waiter.candidate is not None:
            await self.release(waiter.candidate, None)
        elif waiter.error is None:
            self._waiters.remove(waiter)

    async def _serve_queue(self) -> None:
        """Hand free slots to waiting requests, first come, first served."""
        for waiter in list(self._waiters):
            candidate = self._choose(waiter.tried)
            if candidate is not None:
                self._take(candidate)
                waiter.candidate = candidate
            elif all(c.key in waiter.tried for c in self._candidates):
                waiter.error = ErrorKind.NO_BACKEND_SERVER
            elif not waiter.tried:
                break
            else:
                continue
            self._waiters.remove(waiter)
            await waiter.event.set()
