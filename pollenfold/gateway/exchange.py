"""An exchange with an endpoint: sends a request and classifies the response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from ..core.clock import Clock, add_ms, remaining_ms
from ..core.errors import ErrorKind
from ..core.outcomes import AttemptOutcome, response_outcome
from ..http.messages import BodyError, Headers, Response, find_header
from ..http.socket_state import is_closed_by_peer
from .backend import BackendConnection, BeforeFinalPiece
from .calls import Call
from .dialect import Dialect
from .endpoint import Endpoint
from .outgoing import OutgoingRequest, ReadRemainingBody, outgoing_request
from .response_reader import Failure

CALLER_CHECK_INTERVAL_MS = 150.0
"""How often a waiting request checks whether its caller closed the connection."""

RESPONSE_GRACE_MS = 40.0
"""An endpoint aborts a request at its deadline and reports it. This response is waited
for, because it says more about the outcome than one made by the entry."""


@dataclass(frozen=True, slots=True)
class ResponseWaits:
    """How to wait for a response.

    Its sender has until ``grace_ms`` after the deadline. ``check_interval_ms`` is how
    often it is checked whether the caller is gone and, with ``is_lost``, whether the
    response can't be expected any more. A non-idempotent request is given up for a
    caller that is gone only with ``completes_alone``: the receiver then completes it.
    """

    grace_ms: float = RESPONSE_GRACE_MS
    check_interval_ms: float = CALLER_CHECK_INTERVAL_MS
    is_lost: Callable[[], Awaitable[bool]] | None = None
    completes_alone: bool = False


DEFAULT_WAITS = ResponseWaits()


class CallerGoneError(Exception):
    """The caller closed its connection and no longer waits for the response."""


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
    before_final_piece: BeforeFinalPiece | None = None,
    is_lost: Callable[[], Awaitable[bool]] | None = None,
) -> tuple[AttemptOutcome, Response | None]:
    """Send the request to one endpoint; return the outcome and any response.

    ``before_final_piece`` is awaited before the final piece of a long request is sent,
    ``is_lost`` from time to time to decide whether a response can still be expected.
    Raise CallerGoneError if the caller of an idempotent request is gone, and BodyError
    if the caller doesn't send its whole body.
    """
    left_ms = remaining_ms(call.deadline, clock())
    request = _build_request(call, endpoint, dialect, left_ms, clock)
    try:
        is_sent = await send_until_deadline(
            call,
            clock,
            lambda: _send(connection, request, endpoint, clock, before_final_piece),
        )
        if not is_sent:
            return AttemptOutcome.UNREACHABLE, None
        call.may_have_executed = True
        call.sent_at = clock()
        is_expected = _response_matcher(
            call.request_id, dialect, connection.n_exchanges == 1
        )
        waits = ResponseWaits(is_lost=is_lost)
        received = await receive_response(call, connection, is_expected, clock, waits)
    except curio.TaskTimeout:
        # The server stopped reading a long request, or the caller stopped sending it.
        call.may_have_executed = True
        return AttemptOutcome.EXPIRED, None
    except BodyError:
        call.may_have_executed = True
        raise
    except OSError:
        call.may_have_executed = True
        return AttemptOutcome.LOST, None
    if isinstance(received, Response):
        return _classify(call, received, dialect), received
    return received, None


async def send_until_deadline(
    call: Call, clock: Clock, send: Callable[[], Awaitable[bool]]
) -> bool:
    """Send a request; raise TaskTimeout at the deadline, also if it moves meanwhile.

    The deadline moves if this process is stopped while its receiver reads no more.
    """
    if call.request.read_remaining_body is None:
        # The sockets take a short request at once, so a task isn't worth its time.
        async with curio.timeout_after(remaining_ms(call.deadline, clock()) / 1000):
            return await send()
    sender = await curio.spawn(send, daemon=True)
    try:
        while not sender.terminated:
            left_ms = remaining_ms(call.deadline, clock())
            if left_ms <= 0.0:
                raise curio.TaskTimeout
            wait_ms = min(left_ms, CALLER_CHECK_INTERVAL_MS)
            async with curio.ignore_after(wait_ms / 1000):
                await sender.wait()
        if sender.exception is not None:
            raise sender.exception
        return bool(sender.result)
    finally:
        if not sender.terminated:
            await sender.cancel()


async def _send(
    connection: BackendConnection,
    request: OutgoingRequest,
    endpoint: Endpoint,
    clock: Clock,
    before_final_piece: BeforeFinalPiece | None,
) -> bool:
    """Send the request, and record in the endpoint's limit when it was sent."""
    limit = endpoint.declared_limit
    if limit is None:
        return await connection.send(request, before_final_piece)
    limit.begin_send()
    try:
        return await connection.send(request, before_final_piece)
    finally:
        limit.end_send(clock())


def _build_request(
    call: Call, endpoint: Endpoint, dialect: Dialect, left_ms: float, clock: Clock
) -> OutgoingRequest:
    """Return the request for one endpoint, with the remaining time as its deadline."""
    endpoint_id = endpoint.announcement.endpoint_id.encode()
    headers = [
        *call.headers,
        (dialect.deadline_ms, b"%d" % int(left_ms)),
        (dialect.expected_instance, endpoint_id),
    ]
    return request_of_call(call, headers, clock)


def request_of_call(call: Call, headers: Headers, clock: Clock) -> OutgoingRequest:
    """Return the caller's request with other headers, for an endpoint or a peer."""
    request = call.request
    return outgoing_request(
        request.method,
        request.target,
        headers,
        request.body,
        _body_reader(call, clock),
        request.header(b"content-length"),
    )


def _body_reader(call: Call, clock: Clock) -> ReadRemainingBody | None:
    """Return the reader of the rest of a long body; it records that it was used.

    The connection calls it again while it waits for a piece. It raises BodyError after
    the deadline, which moves if this process is stopped meanwhile.
    """
    read_remaining_body = call.request.read_remaining_body
    if read_remaining_body is None:
        return None

    async def read_and_record() -> bytes:
        call.is_body_streamed = True
        if remaining_ms(call.deadline, clock()) <= 0.0:
            raise BodyError(ErrorKind.SLOW_REQUEST, "deadline")
        return await read_remaining_body()

    return read_and_record


async def receive_response(
    call: Call,
    connection: BackendConnection,
    is_expected: Callable[[Response], bool],
    clock: Clock,
    waits: ResponseWaits = DEFAULT_WAITS,
) -> Response | AttemptOutcome:
    """Wait for the response, and check meanwhile whether the caller is still there."""
    reader = await curio.spawn(connection.receive, is_expected, daemon=True)
    try:
        while not reader.terminated:
            # The deadline moves if this process is stopped meanwhile.
            until = add_ms(call.deadline, waits.grace_ms)
            left_ms = remaining_ms(until, clock())
            if left_ms <= 0.0:
                return AttemptOutcome.EXPIRED
            async with curio.ignore_after(min(left_ms, waits.check_interval_ms) / 1000):
                await reader.wait()
            if reader.terminated:
                break
            # A non-idempotent request is awaited even if its caller is gone, since
            # aborting it could leave it partly executed.
            may_abort = call.route.is_idempotent or waits.completes_alone
            if may_abort and is_caller_gone(call):
                raise CallerGoneError
            if waits.is_lost is not None and await waits.is_lost():
                if reader.terminated:
                    # The response arrived while this was checked.
                    break
                return AttemptOutcome.LOST
        received: Response | Failure = reader.result
        if received is Failure.NO_MEMORY:
            return AttemptOutcome.GIVEN_UP
        if isinstance(received, Failure):
            return AttemptOutcome.LOST
        return received
    finally:
        if not reader.terminated:
            await reader.cancel()


def _response_matcher(
    request_id: bytes, dialect: Dialect, is_first: bool
) -> Callable[[Response], bool]:
    """Return a function that checks whether a response belongs to this request.

    Backend servers echo the id of a request. A response without an id may be a late
    duplicate of a health response, unless this is the first request on the connection.
    """

    def is_expected(response: Response) -> bool:
        echoed = find_header(response.headers, dialect.request_id)
        return is_first if echoed is None else echoed == request_id

    return is_expected


def _classify(call: Call, response: Response, dialect: Dialect) -> AttemptOutcome:
    """Return the outcome, which decides whether the request may be retried."""
    outcome = endpoint_response_outcome(response, call.route.is_idempotent, dialect)
    if outcome is AttemptOutcome.NOT_STARTED:
        call.may_have_executed = call.may_have_executed_before()
    return outcome


def endpoint_response_outcome(
    response: Response, is_idempotent: bool, dialect: Dialect
) -> AttemptOutcome:
    """Return what a response of an endpoint says about its request."""
    if not dialect.is_genuine(response):
        return AttemptOutcome.LOST
    return response_outcome(
        response.status,
        is_marked=dialect.is_marked_not_executed(response),
        is_idempotent=is_idempotent,
    )
