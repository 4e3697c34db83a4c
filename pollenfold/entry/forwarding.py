"""Forwards requests to warm-up owners if this entry may send to no endpoint.

While every endpoint of a service is cold, for example after an outage, only their
warm-up owners may send to them. Callers connect to any entry, so the other entries
forward requests to an owner, over at most one hop.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..core.clock import Clock
from ..core.errors import RunState
from ..core.records import RequestClass
from ..core.retries import AttemptOutcome, may_retry
from ..http.messages import Request, Response, find_header
from ..http.pool import Pool
from .attempts import AttemptResult, Exchange, PooledAttempt, relayed_headers

if TYPE_CHECKING:
    from .state import Directory

FORWARDED_BY = b"pollenfold-forwarded-by"
MAX_CONNECTIONS = 64
MAX_OWNERS_TRIED = 3


class Forwarder:
    """Forwards requests to other entries over pooled connections."""

    def __init__(
        self,
        entry_id: str,
        directory: Callable[[], Directory],
        seed: int,
        clock: Clock,
    ) -> None:
        self._entry_id = entry_id
        self._directory = directory
        self._random = random.Random(seed)
        self._clock = clock
        self._pools: dict[tuple[str, int], Pool] = {}

    async def forward(
        self, exchange: Exchange, owners: tuple[str, ...], request_class: RequestClass
    ) -> Response | None:
        """Return the response of the first owner that accepted the request.

        None means that no owner was reached, so the request did not run. Raise
        RequestLostError if the request was lost after it was sent and no owner
        responded: it may have run.
        """
        headers = [*exchange.headers, (FORWARDED_BY, self._entry_id.encode())]
        forwarded = Exchange(exchange.request, headers, exchange.deadline)
        last: Response | None = None
        is_lost = False
        for pool in self._choose_pools(owners):
            result = await self._attempt(pool, forwarded, request_class)
            if result.response is not None:
                last = result.response
                if not _did_not_run(last):
                    return _relayed_response(last)
            elif not may_retry(result.outcome, request_class):
                raise RequestLostError
            is_lost |= result.outcome is AttemptOutcome.LOST
        if is_lost:
            raise RequestLostError
        return None if last is None else _relayed_response(last)

    async def _attempt(
        self, pool: Pool, exchange: Exchange, request_class: RequestClass
    ) -> AttemptResult:
        attempt = PooledAttempt(pool, self._clock)
        try:
            result = await attempt.start(exchange)
            if result is None:
                is_cancellable = request_class is RequestClass.IDEMPOTENT
                result = await attempt.wait_until(
                    exchange, exchange.deadline, is_cancellable
                )
            return result or AttemptResult(AttemptOutcome.EXPIRED)
        finally:
            await attempt.finish()

    def _choose_pools(self, owners: tuple[str, ...]) -> list[Pool]:
        entries = [
            entry
            for entry in self._directory().entries
            if entry.entry_id in owners and entry.entry_id != self._entry_id
        ]
        n_tried = min(MAX_OWNERS_TRIED, len(entries))
        pools = []
        for entry in self._random.sample(entries, n_tried):
            address = (entry.host, entry.caller_port)
            if address not in self._pools:
                self._pools[address] = Pool(*address, MAX_CONNECTIONS)
            pools.append(self._pools[address])
        return pools


class RequestLostError(Exception):
    """A forwarded request may have run, but no response arrived."""


def is_forwarded(request: Request) -> bool:
    """Return whether another entry forwarded the request."""
    return request.header(FORWARDED_BY) is not None


def _did_not_run(response: Response) -> bool:
    state = find_header(response.headers, b"pollenfold-run-state")
    return state == RunState.DID_NOT_RUN.value.encode() and response.status == 503


def _relayed_response(response: Response) -> Response:
    return Response(response.status, relayed_headers(response), response.body)
