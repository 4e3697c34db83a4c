"""The requests of callers in progress, and what all connections of a server share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import h11

from ..core.errors import ErrorKind, RunState
from .caller_outputs import CallerOutputs
from .memory import MemoryBudget
from .messages import Request, Response, error_response
from .request_reader import RequestError, RequestReader

Handler = Callable[[Request], Awaitable[Response | None]]
"""Returns the response to a request; None closes the connection without a response."""

OnRejected = Callable[[ErrorKind, str, str], None]
"""Called with kind, detail and peer of each request that can't reach the handler, or
for which the handler raises an unexpected error."""

OnUnanswered = Callable[[Request, str], None]
"""Called with a request that was read and whose connection ends without a complete
response, and why."""

ANSWERED = "answered"
STALLED = "caller_stalled"
"""The connection was closed since its caller read slowly."""

ABANDONED = "abandoned"
"""The handler returned no response, since the caller had gone."""


@dataclass(slots=True)
class ConnectionCounts:
    """What a server has done since its start, to compare with what callers saw."""

    n_accepted: int = 0
    """Connections taken from the kernel's accept queue."""

    n_requests: int = 0
    """Requests that were read."""

    n_unanswered: int = 0
    """Requests that were read and ended without a complete response."""


@dataclass(slots=True)
class SharedState:
    """State shared by all connections of one server."""

    handler: Handler
    allows_concurrency: Callable[[Request], bool]
    on_rejected: OnRejected
    on_unanswered: OnUnanswered
    budget: MemoryBudget
    window_bytes: int
    outputs: CallerOutputs
    is_stopping: bool = False
    has_stopped: bool = False
    """Whether no further request is accepted on the connections that are still open."""

    n_in_flight: int = 0
    counts: ConnectionCounts = field(default_factory=ConnectionCounts)


@dataclass(slots=True, eq=False)
class Exchange:
    """One pending request with what is needed to send its response in order."""

    parser: h11.Connection
    reader: RequestReader
    request: Request
    is_late: bool = False
    """Whether the request came after the server stopped."""

    task: curio.Task | None = None
    is_done: curio.Event = field(default_factory=curio.Event)
    end: str = "connection_ended"
    """How the exchange ended: ``ANSWERED``, or why there is no complete response."""


def refusal_of_late(request: Request) -> Response:
    """Return the refusal of a request that came after the server stopped.

    An earlier request with the same key may have been executed.
    """
    has_key = request.header(b"idempotency-key") is not None
    state = RunState.OUTCOME_UNKNOWN.value if has_key else None
    return error_response(ErrorKind.STOPPING, run_state=state)


def refusal_of_unread(error: RequestError) -> Response:
    """Return the response to a request that can't reach the handler.

    An earlier complete request with the same key may have been executed.
    """
    state = RunState.OUTCOME_UNKNOWN.value if error.has_key else None
    response = error_response(
        error.kind, error.detail, run_state=state, retry_after_s=error.retry_after_s
    )
    response.close = True
    return response
