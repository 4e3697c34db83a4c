"""One exchange with an endpoint: the send, the wait and what the response means."""

from __future__ import annotations

from collections.abc import Callable

import curio

from ..core.clock import Clock, add_ms, remaining_ms
from ..core.outcomes import AttemptOutcome
from ..http.messages import BodyError, Response, find_header
from ..http.readiness import is_closed_by_peer
from .backend import BackendConnection, BeforeEnd, Failure
from .calls import Call
from .dialect import Dialect
from .outgoing import OutgoingRequest, ReadRest, outgoing_request
from .view import Endpoint

CALLER_CHECK_MS = 150.0
"""How often a waiting request looks whether its caller closed the connection."""

RESPONSE_GRACE_MS = 40.0
"""An endpoint ends work at its deadline and says so; that answer is worth waiting
for, since it tells more than an own one."""


class CallerGoneError(Exception):
    """The caller closed its connection, so nobody waits for the response."""


def is_caller_gone(call: Call) -> bool:
    """Return whether the caller closed its connection."""
    descriptor = call.request.descriptor
    return descriptor >= 0 and is_closed_by_peer(descriptor)


async def exchange(
    call: Call,
    connection: BackendConnection,
    endpoint: Endpoint,
    dialect: Dialect,
    clock: Clock,
    before_end: BeforeEnd | None = None,
) -> tuple[AttemptOutcome, Response | None]:
    """Send the request to one endpoint; return how that ended, and a whole response.

    ``before_end`` is awaited before the end of a long request is sent.
    Raise CallerGoneError when nobody waits for an idempotent request any more, and
    BodyError when the caller doesn't send the rest of a body.
    """
    left_ms = remaining_ms(call.deadline, clock())
    try:
        async with curio.timeout_after(left_ms / 1000):
            request = _request_for(call, endpoint, dialect, left_ms)
            is_sent = await connection.send(request, before_end)
        if not is_sent:
            return AttemptOutcome.UNREACHABLE, None
        call.may_have_run = True
        call.sent_at = clock()
        received = await _wait(call, connection, dialect, clock)
    except curio.TaskTimeout:
        # The server takes no more of a long request, or the caller sends no more.
        call.may_have_run = True
        return AttemptOutcome.EXPIRED, None
    except BodyError:
        call.may_have_run = True
        raise
    except OSError:
        call.may_have_run = True
        return AttemptOutcome.LOST, None
    if isinstance(received, Response):
        return _classify(call, received, dialect), received
    return received, None


def _request_for(
    call: Call, endpoint: Endpoint, dialect: Dialect, left_ms: float
) -> OutgoingRequest:
    """Return the request for one endpoint, with the time that is left."""
    endpoint_id = endpoint.announcement.endpoint_id.encode()
    headers = [
        *call.headers,
        (dialect.deadline_ms, b"%d" % int(left_ms)),
        (dialect.expected_instance, endpoint_id),
    ]
    request = call.request
    return outgoing_request(
        request.method,
        request.target,
        headers,
        request.body,
        _rest_of(call),
        request.header(b"content-length"),
    )


def _rest_of(call: Call) -> ReadRest | None:
    """Return what reads the rest of a long body, and notes that it was begun."""
    read_rest = call.request.read_rest
    if read_rest is None:
        return None

    async def read_and_note() -> bytes:
        call.is_rest_taken = True
        return await read_rest()

    return read_and_note


async def _wait(
    call: Call, connection: BackendConnection, dialect: Dialect, clock: Clock
) -> Response | AttemptOutcome:
    """Wait for the response, and look whether the caller still does."""
    until = add_ms(call.deadline, RESPONSE_GRACE_MS)
    is_answer = _answers(call.request_id, dialect, connection.n_exchanges == 1)
    reader = await curio.spawn(connection.receive, is_answer, daemon=True)
    try:
        while not reader.terminated:
            left_ms = remaining_ms(until, clock())
            if left_ms <= 0.0:
                return AttemptOutcome.EXPIRED
            async with curio.ignore_after(min(left_ms, CALLER_CHECK_MS) / 1000):
                await reader.wait()
            if reader.terminated:
                break
            # The outcome of a non-idempotent request is awaited even when its
            # caller left: ending it half done helps nobody.
            if call.route.is_idempotent and is_caller_gone(call):
                raise CallerGoneError
        received: Response | Failure = reader.result
        if isinstance(received, Failure):
            return AttemptOutcome.LOST
        return received
    finally:
        if not reader.terminated:
            await reader.cancel()


def _answers(
    request_id: bytes, dialect: Dialect, is_first: bool
) -> Callable[[Response], bool]:
    """Return what tells whether a response belongs to this request.

    Backend servers echo the id of a request. A response without one may be a late
    second copy of a health answer, unless nothing was asked on the connection before.
    """

    def is_answer(response: Response) -> bool:
        echoed = find_header(response.headers, dialect.request_id)
        return is_first if echoed is None else echoed == request_id

    return is_answer


def _classify(call: Call, response: Response, dialect: Dialect) -> AttemptOutcome:
    """Return what a whole response means for another attempt."""
    is_refused = find_header(response.headers, dialect.not_executed)
    if response.status == 421 or is_refused is not None:
        call.may_have_run = call.ran_before()
        return AttemptOutcome.NOT_STARTED
    if not dialect.is_genuine(response):
        return AttemptOutcome.LOST
    if response.status in (500, 502, 503, 504) and call.route.is_idempotent:
        return AttemptOutcome.SERVER_ERROR
    return AttemptOutcome.RESPONDED
