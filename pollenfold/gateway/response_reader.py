"""Reads the response to one request from a connection to a backend server.

A response that fits into the window is read completely. Of a longer one, the reader
returns the window and a source of the remaining body, which the caller reads at its own
pace.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from enum import Enum
from functools import partial

import h11

from ..core.clock import Instant
from ..core.errors import ErrorKind
from ..http.messages import BodyError, BodySource, Response, find_header
from ..http.response_head import check_response_head
from ..http.response_parser import ParserEvent, ResponseParser
from ..observe.clock import system_clock
from ..wire.pace import ReadingPace
from .response_memory import (
    COPIES,
    RESPONSE_MEMORY,
    UNRESERVED_BYTES,
    NoMemoryError,
    Reservation,
    ResponseMemory,
)

MAX_HEAD_BYTES = 64 * 1024
RESPONSE_WINDOW_BYTES = 256 * 1024
"""A longer response is streamed to the caller while it arrives."""

READ_BYTES = 64 * 1024
PIECE_BYTES = 64 * 1024
"""The remaining body is passed on in pieces of about this size."""

_KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,\s])timeout=(\d{1,6})(?:$|[,\s])")

_FRAMING = frozenset((b"content-length", b"transfer-encoding"))


class Failure(Enum):
    """How far an exchange had got when it failed."""

    LOST = "lost"
    """The request was written at least in part, but no complete response arrived."""

    NO_MEMORY = "no_memory"
    """The response arrived, but too many others wait for memory already."""


def new_parser() -> h11.Connection:
    """Return a parser for one exchange."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


class ResponseReader:
    """Reads one response.

    ``parser`` has sent the request. ``receive_bytes`` returns at most so many bytes
    of the connection, ``b""`` at its end, or raises OSError. ``on_complete`` is called
    with the head, and whether bytes follow, when the whole response was read. ``close``
    closes the connection. ``unread`` was received after an earlier response.
    ``endpoint`` identifies the server in ``memory``, for which ``max_waiting`` of its
    responses may wait. ``grow_buffer`` is called with the
    size of the body, as far as it is known, and returns whether the kernel's receive
    buffer is large enough. ``error`` is what ended the reading.
    """

    __slots__ = (
        "_parser",
        "_receive_bytes",
        "_on_complete",
        "_close",
        "_grow_buffer",
        "_has_grown_buffer",
        "_n_expected_bytes",
        "_n_received_bytes",
        "error",
        "_pace",
        "_is_complete",
        "_endpoint",
        "_memory",
        "_reservation",
        "_arrived_at",
        "_max_waiting",
    )

    def __init__(
        self,
        parser: h11.Connection,
        receive_bytes: Callable[[int], Awaitable[bytes]],
        on_complete: Callable[[h11.Response, bool], None],
        close: Callable[[], Awaitable[None]],
        grow_buffer: Callable[[int], bool],
        unread: bytes = b"",
        endpoint: object = None,
        memory: ResponseMemory = RESPONSE_MEMORY,
        max_waiting: int | None = None,
    ) -> None:
        self._parser = ResponseParser(parser)
        if unread:
            self._parser.receive_data(unread)
        self._receive_bytes = receive_bytes
        self._on_complete = on_complete
        self._close = close
        self._grow_buffer = grow_buffer
        self._has_grown_buffer = False
        self._n_expected_bytes = 0
        self._n_received_bytes = len(unread)
        self.error: Exception | None = None
        self._pace = ReadingPace()
        self._is_complete = False
        self._endpoint = endpoint
        self._memory = memory
        self._max_waiting = max_waiting
        self._reservation: Reservation | None = None
        self._arrived_at: Instant | None = None

    @property
    def surplus(self) -> bytes:
        """The bytes that were received after the response."""
        return self._parser.surplus

    async def read(self) -> Response | Failure:
        """Read the response, or as much of a long one as the window holds."""
        try:
            head = await self._read_head()
            length = _body_length(head)
            self._n_expected_bytes = length or 0
            body = await self._read_window(head, length)
        except (OSError, h11.RemoteProtocolError) as error:
            self.error = error
            self._reservation = None
            return Failure.LOST
        except NoMemoryError:
            return Failure.NO_MEMORY
        except BaseException:
            # The traceback of a cancellation may keep this reader for long.
            self._reservation = None
            raise
        headers = list(head.headers)
        if self._is_complete:
            return Response(
                head.status_code,
                headers,
                body,
                reservation=self._reservation,
                arrived_at=self._arrived_at,
            )
        remaining_body = BodySource(
            partial(self._read_remaining_body, head),
            self._close_body,
            length,
        )
        return Response(
            head.status_code,
            headers,
            body,
            remaining_body=remaining_body,
            arrived_at=self._arrived_at,
        )

    async def _read_head(self) -> h11.Response:
        """Return the head; raise OSError if the connection ends before it."""
        while True:
            event = await self._next_event()
            if type(event) is h11.Response:
                check_response_head(event)
                return event
            if type(event) is not h11.InformationalResponse:
                raise ConnectionAbortedError("no final response was received")

    async def _read_window(self, head: h11.Response, length: int | None) -> bytes:
        """Return the body, or the first part of a long one; wait for memory for it."""
        body = await self._read_body(head, UNRESERVED_BYTES + 1)
        if self._is_complete:
            return body
        # The last read of the window may exceed it.
        n_bytes = RESPONSE_WINDOW_BYTES + READ_BYTES
        if length is not None:
            n_bytes = min(n_bytes, length)
        self._pace.pause()
        # The wait for memory depends on other callers and isn't work of the server.
        self._arrived_at = system_clock()
        self._reservation = await self._memory.reserve(
            self._endpoint, COPIES * n_bytes, self._max_waiting
        )
        return body + await self._read_body(head, RESPONSE_WINDOW_BYTES - len(body))

    async def _read_body(
        self, head: h11.Response, max_bytes: int, waits_for_more: bool = True
    ) -> bytes:
        """Return bytes of the body, fewer than ``max_bytes`` only at its end.

        With ``waits_for_more`` false, return what has arrived, at least one byte unless
        the body has ended. Chunks are joined at once: a list of them would hold many
        times their bytes. Raise OSError if the body is truncated.
        """
        body = bytearray()
        self._pace.resume(0)
        while len(body) < max_bytes and not self._is_complete:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                if body and not waits_for_more:
                    break
                await self._receive()
                continue
            if self._pace.is_step_over():
                await self._pace.give_way()
            if type(event) is h11.Data:
                body += event.data
            elif type(event) is h11.EndOfMessage:
                self._is_complete = True
                self._on_complete(head, bool(self.surplus))
            else:
                raise ConnectionAbortedError("the response ended early")
        self._pace.pause()
        return bytes(body)

    async def _read_remaining_body(self, head: h11.Response) -> bytes:
        try:
            return await self._read_body(head, PIECE_BYTES, waits_for_more=False)
        except (OSError, h11.RemoteProtocolError) as error:
            self._reservation = None
            raise BodyError(ErrorKind.BACKEND_FAILED, str(error)) from error
        except BaseException:
            self._reservation = None
            raise

    async def _close_body(self) -> None:
        self._reservation = None
        await self._close()

    async def _next_event(self) -> ParserEvent:
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            await self._receive()
        if self._pace.is_step_over():
            await self._pace.give_way()
        return event

    async def _receive(self) -> None:
        self._pace.pause()
        is_reserved = self._reservation is not None
        data = await self._receive_bytes(
            READ_BYTES if is_reserved else UNRESERVED_BYTES
        )
        self._parser.receive_data(data)
        self._n_received_bytes += len(data)
        if not self._has_grown_buffer:
            n_bytes = max(self._n_expected_bytes, self._n_received_bytes)
            self._has_grown_buffer = self._grow_buffer(n_bytes)
        if self._pace.resume(len(data)):
            await self._pace.give_way()


def _body_length(head: h11.Response) -> int | None:
    """Return the announced length of the body, or None."""
    length = find_header(list(head.headers), b"content-length")
    return None if length is None else int(length)


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
