"""HTTP requests and responses as passed to and from handlers."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ..core.clock import Instant
from ..core.errors import ERROR_TABLE, ErrorKind
from .socket_state import is_closed_by_peer

Headers = list[tuple[bytes, bytes]]
"""Header names in lower case, with their values, in the order received."""

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Headers that apply to one connection only and are not forwarded."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header ``name`` (lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


class BodyError(Exception):
    """The remaining body can't be read; ``kind`` is the reason."""

    def __init__(self, kind: ErrorKind, detail: str = "") -> None:
        super().__init__(detail)
        self.kind = kind


@dataclass(slots=True)
class Request:
    """One request.

    ``peer`` is the address of the caller. ``descriptor`` is that of the caller's
    socket, used to detect that the caller closed it, or -1. ``connection_id`` tells its
    connection from all others of this process, also from earlier ones, unless it is 0.
    ``received_at`` is when the head was read, since the caller's deadline already
    counts while the body arrives.

    ``body`` is complete unless ``read_remaining_body`` is set; a truncated short body
    never reaches a handler. For a long body it is the first part, and each call of
    ``read_remaining_body`` returns the next part, ``b""`` at the end, or raises
    BodyError.

    ``probe_sender`` sends the start of a request's response and returns whether the
    caller's VM acknowledged it on an open connection.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    peer: str = ""
    descriptor: int = -1
    received_at: Instant | None = None
    read_remaining_body: Callable[[], Awaitable[bytes]] | None = None
    probe_sender: Callable[[Request], Awaitable[bool]] | None = None
    connection_id: int = 0

    async def is_sender_waiting(self) -> bool:
        """Return whether the caller still waits for the response.

        The close of a connection may be lost behind a network partition. So if the
        server can, it lets the caller's VM acknowledge the start of the response.
        """
        if self.descriptor < 0:
            return True
        if is_closed_by_peer(self.descriptor):
            return False
        return self.probe_sender is None or await self.probe_sender(self)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header ``name`` (lower case), or None."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class BodySource:
    """The part of a response's body that is still arriving.

    ``read`` returns the next part, ``b""`` at the end, or raises BodyError when the
    body is truncated. ``close`` must be awaited once, whether the body was read to its
    end or not. ``length`` is the length of the complete body, if known.
    """

    read: Callable[[], Awaitable[bytes]]
    close: Callable[[], Awaitable[None]]
    length: int | None = None


@dataclass(slots=True)
class Response:
    """One response; ``close`` ends the connection after it.

    ``body`` is complete unless ``remaining_body`` is set, which provides the remaining
    body. After ``send_until``, nobody waits for the response any more: a connection on
    which it isn't sent completely by then is reset. ``reservation`` holds the memory
    that is reserved for the body as long as the response exists.
    """

    status: int
    headers: Headers
    body: bytes = b""
    close: bool = False
    remaining_body: BodySource | None = None
    send_until: Instant | None = None
    reservation: object = None
    arrived_at: Instant | None = None


def json_response(status: int, value: Any, headers: Headers | None = None) -> Response:
    """Return a response with ``value`` as its JSON body."""
    body = json.dumps(value).encode()
    return Response(
        status, [(b"content-type", b"application/json"), *(headers or [])], body
    )


def error_response(
    kind: ErrorKind,
    detail: str = "",
    *,
    run_state: str | None = None,
    retry_after_s: float | None = None,
) -> Response:
    """Return the response that the error table defines for an error kind.

    ``retry_after_s`` and ``run_state`` override the values of the table where the
    calling code knows more, for example ``outcome_unknown`` for a key that an earlier
    request may have used.
    """
    definition = ERROR_TABLE[kind]
    state = run_state or definition.run_state.value
    headers = [(b"pollenfold-run-state", state.encode())]
    after_s = definition.retry_after_s if retry_after_s is None else retry_after_s
    if after_s is not None:
        headers.append((b"retry-after", f"{after_s:g}".encode()))
    body: dict[str, Any] = {
        "error": kind.value,
        "run_state": state,
        "text": definition.text,
    }
    if detail:
        body["detail"] = detail
    return json_response(definition.status, body, headers)
