"""Outcomes of attempts at backend servers."""

from __future__ import annotations

from enum import Enum


class AttemptOutcome(Enum):
    """The outcome of one attempt at a backend server."""

    RESPONDED = "responded"
    SERVER_ERROR = "server_error"
    """A complete response with status 500, 502, 503 or 504."""

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
