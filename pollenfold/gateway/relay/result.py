"""What the response of a peer means for a relayed request."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ...core.errors import ErrorKind, RunState
from ...core.outcomes import AttemptOutcome
from ...http.messages import Response, find_header
from ..dialect import Dialect
from ..exchange import endpoint_response_outcome
from ..notices import notices_of
from .headers import RelayNotice, decode_relay_notice, without_relay_headers


class RelayOutcome(Enum):
    """How a relayed request ended."""

    RESPONDED = "responded"
    """An endpoint responded. The response is passed on unchanged."""

    NOT_STARTED = "not_started"
    """The peer said that no endpoint executed the request."""

    UNREACHABLE = "unreachable"
    """No byte of the request was sent to the peer."""

    LOST = "lost"
    """The request was sent, at least in part, and may have been executed."""

    EXPIRED = "expired"
    """The deadline passed; the request may have been executed."""


@dataclass(slots=True)
class RelayResult:
    """The end of a relayed request.

    ``response`` is that of the endpoint with RESPONDED, else the peer's own or None,
    and ``error_kind`` is the kind of the peer's own error. ``endpoint_id`` names the
    endpoint that got the request last, or is empty. ``peer_in_flight`` is the number of
    requests in flight at the peer, None if it didn't say. ``reached`` is True if an
    endpoint responded, False if the peer is cut off itself, and else None: it may have
    found none for a moment. ``n_sends`` is the number of endpoints that got the
    request. ``notices`` has the status and the headers in which the endpoint said
    something of itself, also if its response isn't passed on.
    """

    outcome: RelayOutcome
    response: Response | None = None
    endpoint_id: str = ""
    peer_in_flight: int | None = None
    reached: bool | None = None
    error_kind: ErrorKind | None = None
    n_sends: int = 0
    born_ms: int = 0
    is_full: bool = False
    """Whether this entry uses all connections that it may have to the peer."""

    notices: Response | None = None


def response_matcher(request_id: bytes, dialect: Dialect) -> Callable[[Response], bool]:
    """Return a check whether a response belongs to a request.

    A peer's own errors carry no request id.
    """

    def is_expected(response: Response) -> bool:
        echoed = find_header(response.headers, dialect.request_id)
        return echoed is None or echoed == request_id

    return is_expected


def relay_result(
    response: Response, is_idempotent: bool, dialect: Dialect
) -> RelayResult:
    """Return what a response of a peer means for the request.

    A peer of an earlier version passes on an endpoint's refusal that isn't marked as
    one, after which the outcome is unknown.
    """
    notice = decode_relay_notice(response.headers)
    has_notice = notice is not None
    response.headers = without_relay_headers(response.headers)
    if notice is None:
        # The peer refused the request before it was handled, for example as too large.
        notice = RelayNotice(False, "", 0, 0, 0, None)
        result = RelayResult(RelayOutcome.LOST, response)
    else:
        result = RelayResult(
            RelayOutcome.LOST,
            response,
            notice.endpoint_id,
            notice.n_in_flight,
            notice.is_reached,
            n_sends=notice.n_sends,
            born_ms=notice.born_ms,
            notices=notice.endpoint_notices,
        )
    if notice.is_from_endpoint:
        result.notices = notices_of(response, dialect)
        outcome = endpoint_response_outcome(response, is_idempotent, dialect)
        if outcome in (AttemptOutcome.RESPONDED, AttemptOutcome.SERVER_ERROR):
            result.outcome = RelayOutcome.RESPONDED
        return result
    run_state = find_header(response.headers, b"pollenfold-run-state")
    result.error_kind = _error_kind(response)
    if run_state == RunState.DID_NOT_RUN.value.encode():
        result.outcome = RelayOutcome.NOT_STARTED
    elif result.error_kind is ErrorKind.DEADLINE_EXCEEDED:
        result.outcome = RelayOutcome.EXPIRED
    if not has_notice and result.outcome is not RelayOutcome.NOT_STARTED:
        # It is unknown how many endpoints got the request.
        result.n_sends = 1
    return result


def _error_kind(response: Response) -> ErrorKind | None:
    """Return the kind that the body of an error response names, if it does."""
    try:
        return ErrorKind(json.loads(response.body)["error"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
