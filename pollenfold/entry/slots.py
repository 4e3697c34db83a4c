"""Slots at the endpoints of one service, and the bounded queue for them."""

from __future__ import annotations

import random
from collections import deque

import curio
from expression import Error, Ok, Result

from ..core.balancing.admission import admit, retry_after_s
from ..core.clock import Clock, Instant, remaining_ms
from ..core.errors import ErrorKind
from ..core.routing import Candidate, Policy, observe_latency, prefer_zone


class _Waiter:
    """A queued request; ``candidate`` is set once a slot is assigned to it."""

    __slots__ = ("tried", "event", "candidate", "error")

    def __init__(self, tried: set[str]) -> None:
        self.tried = tried
        self.event = curio.Event()
        self.candidate: Candidate | None = None
        self.error: ErrorKind | None = None


class SlotQueue:
    """Assigns slots at candidates to requests in order of arrival.

    ``update`` replaces ``candidates``; the objects keep their counts, so a request in
    flight at an endpoint that was removed still releases its slot.
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
        """The endpoints that may receive new work."""
        return self._candidates

    def n_slots(self) -> int:
        """Return this entry's concurrency limit over all endpoints."""
        return sum(candidate.limit for candidate in self._candidates)

    async def update(self, candidates: tuple[Candidate, ...]) -> None:
        """Replace the endpoints that may receive new work, and serve the queue."""
        self._candidates = candidates
        await self._serve_queue()

    async def acquire(
        self, tried: set[str], deadline: Instant
    ) -> Result[Candidate, ErrorKind]:
        """Acquire a slot at an endpoint that is not in ``tried``.

        Wait in the queue if no endpoint has spare capacity. Return
        ``NO_BACKEND_SERVER``, ``QUEUE_FULL`` or ``DEADLINE_EXCEEDED`` immediately if
        waiting would be useless.
        """
        if not self._waiters:
            candidate = self._choose(tried)
            if candidate is not None:
                self._occupy(candidate)
                return Ok(candidate)
        if all(c.key in tried for c in self._candidates):
            return Error(ErrorKind.NO_BACKEND_SERVER)
        admitted = self._admit(deadline)
        if admitted.is_error():
            return Error(admitted.error)
        return await self._wait(tried, deadline)

    def refusal(self, deadline: Instant) -> ErrorKind | None:
        """Return why a request would be refused now, or None if admitted."""
        if not self._candidates:
            return ErrorKind.NO_BACKEND_SERVER
        if not self._waiters and any(c.has_capacity for c in self._candidates):
            return None
        admitted = self._admit(deadline)
        return admitted.error if admitted.is_error() else None

    def retry_after_s(self) -> int:
        """Return after how many whole seconds a refused caller should retry."""
        return retry_after_s(self.n_waiting, self.n_slots(), self.mean_service_ms)

    def try_acquire(self, tried: set[str]) -> Candidate | None:
        """Acquire a slot if one is free now, else return None."""
        if self._waiters:
            return None
        candidate = self._choose(tried)
        if candidate is not None:
            self._occupy(candidate)
        return candidate

    async def release(self, candidate: Candidate, latency_ms: float | None) -> None:
        """Release a slot; ``latency_ms`` is None if there is no latency to record."""
        candidate.n_in_flight -= 1
        self.n_in_flight -= 1
        if latency_ms is not None:
            observe_latency(candidate, latency_ms, self._clock())
            # The mean starts at the first latency: one that rises slowly from 0 would
            # admit requests whose deadline can't be met.
            change_ms = latency_ms - self.mean_service_ms
            self.mean_service_ms += (0.05 if self.mean_service_ms else 1.0) * change_ms
        if self._waiters:
            await self._serve_queue()

    async def refuse_all(self, kind: ErrorKind) -> None:
        """Refuse every queued request, for example after the lease has expired."""
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
        available = [c for c in self._candidates if c.n_in_flight < c.limit]
        if tried:
            available = [c for c in available if c.key not in tried]
        if not available:
            return None
        preferred = prefer_zone(available, self._zone)
        return self._policy(preferred, self._rng, self._clock())

    def _occupy(self, candidate: Candidate) -> None:
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
            await self._cancel_wait(waiter)
            raise
        if waiter.candidate is not None:
            return Ok(waiter.candidate)
        if waiter.error is not None:
            return Error(waiter.error)
        self._waiters.remove(waiter)
        return Error(ErrorKind.DEADLINE_EXCEEDED)

    async def _cancel_wait(self, waiter: _Waiter) -> None:
        if waiter.candidate is not None:
            await self.release(waiter.candidate, None)
        elif waiter.error is None:
            self._waiters.remove(waiter)

    async def _serve_queue(self) -> None:
        """Assign free slots to waiting requests in order of arrival."""
        for waiter in list(self._waiters):
            candidate = self._choose(waiter.tried)
            if candidate is not None:
                self._occupy(candidate)
                waiter.candidate = candidate
            elif all(c.key in waiter.tried for c in self._candidates):
                waiter.error = ErrorKind.NO_BACKEND_SERVER
            elif not waiter.tried:
                break
            else:
                continue
            self._waiters.remove(waiter)
            await waiter.event.set()
