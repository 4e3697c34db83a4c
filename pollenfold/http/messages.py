"""Requests and responses as the handlers see them."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from ..core.clock import Instant
from ..core.errors import ERROR_TABLE, ErrorKind

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
"""Headers that concern one connection only and are not passed on."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header ``name`` (lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


class BodyError(Exception):
    """The rest of a request's body can't be read; ``kind`` tells why."""

    def __init__(self, kind: ErrorKind, detail: str = "") -> None:
        super().__init__(detail)
        self.kind = kind


@dataclass(slots=True)
class Request:
    """One request.

    ``peer`` is the address of the caller. ``descriptor`` is that of the caller's
    socket, to notice that the caller closed it; -1 stands for none. ``received_at`` is
    when its head was read: the caller's time runs while the body arrives.

    ``body`` is complete unless ``read_rest`` is set: a short body that ended early
    never reaches a handler. Of a long body it is the first part, and each call of
    ``read_rest`` returns the next one, nothing at the end, or raises BodyError.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    peer: str = ""
    descriptor: int = -1
    received_at: Instant | None = None
    read_rest: Callable[[], Awaitable[bytes]] | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header ``name`` (lower case), or None."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class BodySource:
    """The rest of a response's body, which is still arriving.

    ``read`` returns the next part, nothing at the end, or raises BodyError when the
    body broke off. ``close`` must be awaited once, whether it was read to its end or
    not. ``length`` is that of the whole body where it is known.
    """

    read: Callable[[], Awaitable[bytes]]
    close: Callable[[], Awaitable[None]]
    length: int | None = None


@dataclass(slots=True)
class Response:
    """One response; ``close`` ends the connection after it.

    ``body`` is whole unless ``rest`` gives what follows it.
    """

    status: int
    headers: Headers
    body: bytes = b""
    close: bool = False
    rest: BodySource | None = None


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
    """Return the response of an error kind as the error table gives it.

    ``retry_after_s`` replaces the time of the table where more is known.
    ``run_state`` replaces the state of the table where the caller of this function
    knows more, for example ``outcome_unknown`` for a key that an earlier request
    may have used.
    """
    answer = ERROR_TABLE[kind]
    state = run_state or answer.run_state.value
    headers = [(b"pollenfold-run-state", state.encode())]
    after_s = answer.retry_after_s if retry_after_s is None else retry_after_s
    if after_s is not None:
        headers.append((b"retry-after", f"{after_s:g}".encode()))
    body: dict[str, Any] = {
        "error": kind.value,
        "run_state": state,
        "text": answer.text,
    }
    if detail:
        body["detail"] = detail
    return json_response(answer.status, body, headers)
