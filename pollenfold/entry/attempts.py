"""One attempt of a request at one backend server."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from ..core.clock import Clock, Instant, remaining_ms
from ..core.outcomes import AttemptOutcome
from ..http.client import ExchangeFailure, HttpConnection
from ..http.messages import HOP_HEADERS, Headers, Request, Response, find_header
from ..http.pool import Pool
from ..http.socket_state import is_closed_by_peer
from .backends import Backend

CONNECT_TIMEOUT_MS = 250.0
CANCEL_CHECK_MS = 25.0
"""How often a waiting attempt checks whether the caller closed its connection."""

DEADLINE_SLACK_MS = 5.0
"""A server counts the remaining time in whole ms and responds slightly early."""

SMALL_BODY_BYTES = 4096

_LOAD_WANTED = (b"pollenfold-load-wanted", b"1")

NOT_STARTED = b"pollenfold-not-started"
TIMEOUT_HEADER = b"pollenfold-timeout-ms"
EXCHANGE_ID = b"pollenfold-exchange-id"
"""Identifies one exchange on its connection. If the server echoes it, a duplicated
response is distinguished from the response to the next request on the connection."""

_PER_HOP_HEADERS = HOP_HEADERS | {EXCHANGE_ID, TIMEOUT_HEADER}
_ENTRY_HEADERS = frozenset(
    (b"idempotency-key", b"pollenfold-replayed", b"pollenfold-run-state")
)
_SERVER_ERRORS = frozenset((500, 502, 503, 504))


class CallerGone(Exception):
    """The caller closed its connection, so the response is no longer needed."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt; ``response`` is set if a complete one arrived."""

    outcome: AttemptOutcome
    response: Response | None = None


def combine_results(earlier: AttemptResult, later: AttemptResult) -> AttemptResult:
    """Return the result that counts after two attempts of one request.

    An attempt that never started does not override an earlier one that was lost or
    expired, because the request may have run in the earlier one.
    """
    never_ran = (AttemptOutcome.NOT_STARTED, AttemptOutcome.UNREACHABLE)
    if later.outcome in never_ran and earlier.outcome not in never_ran:
        return earlier
    if earlier.outcome is AttemptOutcome.SERVER_ERROR and later.response is None:
        return earlier
    return later


@dataclass(frozen=True, slots=True)
class Exchange:
    """The data of a request that all its attempts share."""

    request: Request
    headers: Headers
    deadline: Instant

    def is_caller_gone(self) -> bool:
        """Return whether the caller closed its connection."""
        descriptor = self.request.descriptor
        return descriptor >= 0 and is_closed_by_peer(descriptor)


def forwarded_headers(request: Request, extra: Headers) -> Headers:
    """Return the headers to forward: all but those of the caller's connection."""
    headers = [pair for pair in request.headers if pair[0] not in _PER_HOP_HEADERS]
    return headers + extra


def relayed_headers(response: Response) -> Headers:
    """Return the headers of a response that are relayed to the caller."""
    return [pair for pair in response.headers if pair[0] not in _PER_HOP_HEADERS]


def backend_headers(response: Response) -> Headers:
    """Return the headers of a backend server's response to relay to the caller.

    Only the entry sets the headers about the execution. A backend server that calls
    an entry itself may relay such headers of another request.
    """
    return [pair for pair in relayed_headers(response) if pair[0] not in _ENTRY_HEADERS]


def classify_response(response: Response) -> AttemptOutcome:
    """Classify a complete response for retries."""
    if response.status not in _SERVER_ERRORS:
        return AttemptOutcome.RESPONDED
    if response.status == 503 and find_header(response.headers, NOT_STARTED) == b"true":
        return AttemptOutcome.NOT_STARTED
    return AttemptOutcome.SERVER_ERROR


class PooledAttempt:
    """One exchange over a connection of a pool.

    ``start`` sends the request; ``wait`` reads the response and may be repeated while
    it returns None; ``finish`` returns the connection to the pool or closes it. With
    ``wants_report`` the request asks for a load report in the response headers.
    """

    __slots__ = ("_pool", "_clock", "_connection", "started_at", "wants_report")

    def __init__(self, pool: Pool, clock: Clock) -> None:
        self._pool = pool
        self.started_at = clock()
        self._clock = clock
        self._connection: HttpConnection | None = None
        self.wants_report = False

    async def start(self, exchange: Exchange) -> AttemptResult | None:
        """Send the request; return a result only if the attempt has already ended."""
        left_ms = remaining_ms(exchange.deadline, self._clock())
        if left_ms <= 0.0:
            return AttemptResult(AttemptOutcome.NOT_STARTED)
        try:
            connection = await self._pool.acquire(min(CONNECT_TIMEOUT_MS, left_ms))
        except OSError:
            return AttemptResult(AttemptOutcome.UNREACHABLE)
        if connection is None:
            return AttemptResult(AttemptOutcome.NOT_STARTED)
        self._connection = connection
        request = exchange.request
        left_ms = remaining_ms(exchange.deadline, self._clock())
        if left_ms <= 0.0:
            return AttemptResult(AttemptOutcome.NOT_STARTED)
        headers = [
            *exchange.headers,
            (TIMEOUT_HEADER, b"%d" % max(1, int(left_ms))),
            (EXCHANGE_ID, b"%d" % (connection.n_exchanges + 1)),
        ]
        if self.wants_report:
            headers.append(_LOAD_WANTED)
        try:
            failure = await self._send(connection, request, headers, left_ms)
        except curio.TaskTimeout:
            return AttemptResult(AttemptOutcome.EXPIRED)
        if failure is None:
            return None
        if failure is ExchangeFailure.NOT_SENT:
            return AttemptResult(AttemptOutcome.UNREACHABLE)
        return AttemptResult(AttemptOutcome.LOST)

    @staticmethod
    async def _send(
        connection: HttpConnection, request: Request, headers: Headers, left_ms: float
    ) -> ExchangeFailure | None:
        """Write the request; raise TaskTimeout if the server stops reading.

        A small request always fits into the empty send buffer of an idle connection,
        so it is written without the cost of a timeout.
        """
        send = connection.send(request.method, request.target, headers, request.body)
        if len(request.body) <= SMALL_BODY_BYTES:
            return await send
        return await curio.timeout_after(left_ms / 1000, send)

    async def wait(self, timeout_ms: float) -> AttemptResult | None:
        """Wait for the response; return None after ``timeout_ms`` without one."""
        assert self._connection is not None
        response = await self._connection.receive_response(timeout_ms)
        if isinstance(response, Response):
            echoed = find_header(response.headers, EXCHANGE_ID)
            if echoed not in (None, b"%d" % self._connection.n_exchanges):
                self._connection.is_reusable = False
                return AttemptResult(AttemptOutcome.LOST)
            return AttemptResult(classify_response(response), response)
        if response is ExchangeFailure.TIMEOUT:
            return None
        return AttemptResult(AttemptOutcome.LOST)

    async def wait_until(
        self, exchange: Exchange, until: Instant, is_cancellable: bool
    ) -> AttemptResult | None:
        """Wait until an instant, in slices that let it detect a disconnected caller.

        Raise CallerGone for a cancellable attempt whose caller closed its
        connection.
        """
        while True:
            left_ms = remaining_ms(until, self._clock())
            if left_ms <= 0.0:
                return None
            result = await self.wait(min(left_ms, CANCEL_CHECK_MS))
            if result is not None:
                return self._mark_expired(result, exchange)
            if is_cancellable and exchange.is_caller_gone():
                raise CallerGone

    def _mark_expired(self, result: AttemptResult, exchange: Exchange) -> AttemptResult:
        """Return a 504 at the deadline as expired: the server stopped in time."""
        response = result.response
        if response is None or response.status != 504:
            return result
        if remaining_ms(exchange.deadline, self._clock()) > DEADLINE_SLACK_MS:
            return result
        return AttemptResult(AttemptOutcome.EXPIRED, response)

    async def finish(self) -> None:
        """Release the connection; an incomplete exchange closes it."""
        if self._connection is not None:
            connection = self._connection
            self._connection = None
            await self._pool.release(connection)


class Attempt(PooledAttempt):
    """An attempt at one backend server, which holds a slot there."""

    __slots__ = ("backend",)

    def __init__(self, backend: Backend, clock: Clock) -> None:
        super().__init__(backend.pool, clock)
        self.backend = backend
