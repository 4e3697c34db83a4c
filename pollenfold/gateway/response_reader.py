"""Reads the response to one request from a connection to a backend server.

A response that fits into the window is read completely. Of a longer one, the reader
returns the window and a source of the remaining body, which the caller reads at its own
pace.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from enum import Enum

import h11

from ..core.errors import ErrorKind
from ..http.messages import BodyError, BodySource, Response, find_header

MAX_HEAD_BYTES = 64 * 1024
RESPONSE_WINDOW_BYTES = 256 * 1024
"""A longer response is streamed to the caller while it arrives."""

MAX_INTERIM_RESPONSES = 16
"""The maximum number of interim responses (1xx) before the final response."""

_KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,\s])timeout=(\d{1,6})(?:$|[,\s])")

_FRAMING = frozenset((b"content-length", b"transfer-encoding"))


class Failure(Enum):
    """How far an exchange had got when it failed."""

    LOST = "lost"
    """The request was written at least in part, but no complete response arrived."""


def new_parser() -> h11.Connection:
    """Return a parser for one exchange."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


class ResponseReader:
    """Reads one response.

    ``parser`` has sent the request. ``receive_bytes`` returns the next bytes of the
    connection, ``b""`` at its end, or raises OSError. ``on_complete`` is called with
    the head when the whole response was read, and ``close`` closes the connection.
    """

    __slots__ = ("_parser", "_receive_bytes", "_on_complete", "_close")

    def __init__(
        self,
        parser: h11.Connection,
        receive_bytes: Callable[[], Awaitable[bytes]],
        on_complete: Callable[[h11.Response], None],
        close: Callable[[], Awaitable[None]],
    ) -> None:
        self._parser = parser
        self._receive_bytes = receive_bytes
        self._on_complete = on_complete
        self._close = close

    @property
    def surplus(self) -> bytes:
        """The bytes that were received after the response."""
        return self._parser.trailing_data[0]

    async def read(self) -> Response | Failure:
        """Read the response, or as much of a long one as the window holds."""
        try:
            head = await self._read_head()
            body: list[bytes] = []
            n_body_bytes = 0
            while n_body_bytes < RESPONSE_WINDOW_BYTES:
                piece = await self._read_piece(head)
                if not piece:
                    content = b"".join(body)
                    return Response(head.status_code, list(head.headers), content)
                body.append(piece)
                n_body_bytes += len(piece)
        except (OSError, h11.RemoteProtocolError):
            return Failure.LOST
        headers = list(head.headers)
        length = find_header(headers, b"content-length")

        async def read_remaining_body() -> bytes:
            return await self._read_remaining_body(head)

        remaining_body = BodySource(
            read_remaining_body, self._close, None if length is None else int(length)
        )
        return Response(
            head.status_code, headers, b"".join(body), remaining_body=remaining_body
        )

    async def _read_head(self) -> h11.Response:
        """Return the head; raise OSError if the connection ends before it."""
        n_interim = 0
        while True:
            event = await self._next_event()
            if type(event) is h11.Response:
                return event
            n_interim += 1
            if (
                type(event) is not h11.InformationalResponse
                or n_interim > MAX_INTERIM_RESPONSES
            ):
                raise ConnectionAbortedError("no final response was received")

    async def _read_piece(self, head: h11.Response) -> bytes:
        """Return a piece of the body, empty at the end; raise OSError if truncated."""
        while True:
            event = await self._next_event()
            if type(event) is h11.Data:
                if event.data:
                    return bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                self._on_complete(head)
                return b""
            else:
                raise ConnectionAbortedError("the response ended early")

    async def _read_remaining_body(self, head: h11.Response) -> bytes:
        try:
            return await self._read_piece(head)
        except (OSError, h11.RemoteProtocolError) as error:
            raise BodyError(ErrorKind.BACKEND_FAILED, str(error)) from error

    async def _next_event(
        self,
    ) -> h11.Event | type[h11.PAUSED] | type[h11.NEED_DATA]:
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            self._parser.receive_data(await self._receive_bytes())
        return event


def is_persistent(head: h11.Response) -> bool:
    """Return whether the server keeps the connection open after the response."""
    names = {name for name, _ in head.headers}
    is_framed = bool(names & _FRAMING) or head.status_code in (204, 304)
    option = (find_header(list(head.headers), b"connection") or b"").lower()
    return is_framed and b"close" not in option and head.http_version == b"1.1"


def idle_timeout_ms(head: h11.Response) -> float | None:
    """Return the idle timeout that the server announces, or None."""
    value = find_header(list(head.headers), b"keep-alive") or b""
    timeout = _KEEP_ALIVE_TIMEOUT.search(value)
    return None if timeout is None else 1000.0 * int(timeout[1])
