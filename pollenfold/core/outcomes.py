"""How an attempt at a backend server ends."""

from __future__ import annotations

from enum import Enum


class AttemptOutcome(Enum):
    """How one attempt at a backend server ended."""

    RESPONDED = "responded"
    SERVER_ERROR = "server_error"
    """A whole response with status 500, 502, 503 or 504."""

    NOT_STARTED = "not_started"
    """The server said that it did not start, or nothing was tried for want of time or
    of a connection under the limit."""

    UNREACHABLE = "unreachable"
    """No connection could be opened or used, and no byte was sent."""

    LOST = "lost"
    """The request was sent at least in part and no whole response came."""

    EXPIRED = "expired"
    """The deadline passed while the request was at the server."""
