"""Outcomes of attempts at backend servers."""

from __future__ import annotations

from enum import Enum

REFUSAL_STATUSES = frozenset((408, 421, 429, 503))
"""Callers take these for the promise that the request was not executed and never will
be, and send it again."""

SERVER_ERROR_STATUSES = frozenset((500, 502, 503, 504))
"""After these an idempotent request is retried."""

EXECUTED_STATUSES = frozenset((500, 504))
"""Failures of an endpoint that count as executed, whatever else the response says."""


class AttemptOutcome(Enum):
    """The outcome of one attempt at a backend server."""

    RESPONDED = "responded"
    SERVER_ERROR = "server_error"
    """A complete response with status 500, 502, 503 or 504."""

    UNMARKED_REFUSAL = "unmarked_refusal"
    """A complete response to a non-idempotent request, with a status that promises that
    the request wasn't executed, but without the mark of a server that didn't."""

    NOT_STARTED = "not_started"
    """The server reported that it didn't start the request, or the request wasn't sent
    because no time was left or the connection limit was reached."""

    UNREACHABLE = "unreachable"
    """No connection could be opened or reused, and no byte was sent."""

    LOST = "lost"
    """The request was sent, at least in part, but no complete response came."""

    CANCELLED = "cancelled"
    """Another attempt of the request responded first, so this one was broken off."""

    EXPIRED = "expired"
    """The deadline passed while the request was at the server."""

    GIVEN_UP = "given_up"
    """The server responded, and the entry had no memory to wait for all of it."""


def response_outcome(
    status: int, *, is_marked: bool, is_idempotent: bool
) -> AttemptOutcome:
    """Return what a complete response says about the attempt.

    ``is_marked`` is whether the server states that it didn't execute the request. A
    success that states it contradicts itself and says nothing about the request. For
    example, a 503 without the mark is a server error that permits a retry of an
    idempotent request, and an unmarked refusal of any other.
    """
    if is_marked and status < 300:
        return AttemptOutcome.LOST
    if is_marked and status not in EXECUTED_STATUSES:
        return AttemptOutcome.NOT_STARTED
    if is_idempotent and status in SERVER_ERROR_STATUSES:
        return AttemptOutcome.SERVER_ERROR
    if not is_idempotent and status in REFUSAL_STATUSES:
        return AttemptOutcome.UNMARKED_REFUSAL
    return AttemptOutcome.RESPONDED
