"""Reads one request of a caller: its head, the first part of its body, and the rest.

A body that fits into the window is read whole before the request is handled, so that
it may be sent again. Of a longer one the handler gets the window and reads on itself,
as fast as it passes the bytes on.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import h11
from curio import socket

from ..core.clock import Instant
from ..core.errors import ErrorKind
from ..observe.clock import system_clock
from .memory import MemoryBudget
from .messages import BodyError, Request, find_header

MAX_HEAD_BYTES = 16 * 1024
"""Greatest request head; bounds the memory that one connection can claim."""

READ_BYTES = 64 * 1024
READS_PER_TURN = 4
"""How often a body is read before other tasks have their turn."""

UNRESERVED_BYTES = 16 * 1024
"""A body may take so much without a reservation, as most requests do."""

BODY_WINDOW_BYTES = 128 * 1024
"""How much of a body is read before the request is handled."""

BODY_BUDGET_BYTES = 4 << 20
"""The windows of all connections together."""


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What a caller may send, and how long it may take.

    ``head_timeout_ms`` counts from the first byte of a request to the end of its head,
    ``idle_timeout_ms`` while nothing arrives. ``announced_idle_s`` is the idle time
    that responses name in ``Keep-Alive``; 0 leaves the header out.
    """

    body_bytes: int = 1 << 20
    head_bytes: int = MAX_HEAD_BYTES
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0
    announced_idle_s: int = 0


class RequestError(Exception):
    """A request that can't reach the handler, with the kind to answer.

    ``head`` is that of the request when it was read.
    """

    def __init__(
        self, kind: ErrorKind, detail: str = "", head: h11.Request | None = None
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        names = () if head is None else (name for name, _ in head.headers)
        self.has_key = b"idempotency-key" in names


class RequestReader:
    """Reads one request from a connection.

    Of a body longer than ``window_bytes`` only so much is read before the request is
    returned. ``parser`` is new for each request and holds the bytes that came after
    the one before. ``on_head`` is called when the head is whole. ``idle_left_ms`` tells
    how much longer the first byte may take.
    """

    def __init__(
        self,
        client: socket.socket,
        parser: h11.Connection,
        limits: ServerLimits,
        budget: MemoryBudget,
        window_bytes: int,
        idle_left_ms: Callable[[], float],
        on_head: Callable[[], None],
        send_continue: Callable[[], Awaitable[None]],
    ) -> None:
        self._client = client
        self._parser = parser
        self._limits = limits
        self._budget = budget
        self._window_bytes = window_bytes
        self._idle_left_ms = idle_left_ms
        self._on_head = on_head
        self._send_continue = send_continue
        self._head: h11.Request | None = None
        self._head_until: float | None = None
        self._head_at = Instant(0.0)
        self._n_body_bytes = 0
        self._n_reserved = 0
        self._n_reads = 0
        self.is_body_read = False

    async def read(self, peer: str) -> Request | None:
        """Return the next request, or None when the peer closed or was idle.

        Raise RequestError for a malformed, oversized, truncated or slow request.
        """
        head = await self._read_head()
        if head is None:
            return None
        headers = [(name, value) for name, value in head.headers]
        length = find_header(headers, b"content-length")
        window: list[bytes] = []
        n_window_bytes = 0
        while n_window_bytes < self._window_bytes:
            if n_window_bytes >= UNRESERVED_BYTES and not self._n_reserved:
                wanted = self._limits.body_bytes if length is None else int(length)
                await self._reserve(min(wanted, self._window_bytes))
            piece = await self._read_piece()
            if not piece:
                break
            window.append(piece)
            n_window_bytes += len(piece)
        request = Request(
            head.method,
            head.target,
            headers,
            b"".join(window),
            peer,
            self._client.fileno(),
            self._head_at,
        )
        if not self.is_body_read:
            request.read_rest = self._read_rest
        return request

    async def release(self) -> None:
        """Give back the memory of the body."""
        n_reserved, self._n_reserved = self._n_reserved, 0
        if n_reserved:
            await self._budget.release(n_reserved)

    async def _reserve(self, n_bytes: int) -> None:
        """Wait for a part of the memory that all bodies share."""
        try:
            async with curio.timeout_after(self._limits.idle_timeout_ms / 1000):
                self._n_reserved = await self._budget.reserve(n_bytes)
        except curio.TaskTimeout:
            detail = "no memory for the body"
            raise RequestError(ErrorKind.QUEUE_FULL, detail, self._head) from None

    async def _read_rest(self) -> bytes:
        """Return the next piece of a long body, or nothing at its end."""
        try:
            return await self._read_piece()
        except RequestError as error:
            raise BodyError(error.kind, error.detail) from error
        except OSError as error:
            raise BodyError(ErrorKind.TRUNCATED_BODY, str(error)) from error

    async def _read_head(self) -> h11.Request | None:
        while True:
            event = self._next_event()
            if type(event) is h11.Request:
                self._head = event
                self._head_at = system_clock()
                _check_head(event, self._limits)
                self._on_head()
                return event
            if event is not h11.NEED_DATA:
                return None
            if self._head_until is None and self._parser.trailing_data[0]:
                wait_s = self._limits.head_timeout_ms / 1000
                self._head_until = await curio.clock() + wait_s
            data = await self._receive_head_bytes()
            if data is None:
                return None
            self._parser.receive_data(data)

    async def _read_piece(self) -> bytes:
        """Return some bytes of the body, or nothing at its end."""
        while not self.is_body_read:
            event = self._next_event()
            if type(event) is h11.Data:
                self._n_body_bytes += len(event.data)
                if self._n_body_bytes > self._limits.body_bytes:
                    raise RequestError(ErrorKind.BODY_TOO_LARGE, head=self._head)
                if event.data:
                    return bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                self.is_body_read = True
            elif event is h11.NEED_DATA:
                if self._parser.they_are_waiting_for_100_continue:
                    await self._send_continue()
                self._parser.receive_data(await self._receive_body_bytes())
            else:
                raise RequestError(ErrorKind.TRUNCATED_BODY, head=self._head)
        return b""

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            kind = _protocol_error_kind(error, self._head)
            raise RequestError(kind, str(error), self._head) from error

    async def _receive_head_bytes(self) -> bytes | None:
        """Return the next bytes, or None when an idle connection timed out."""
        if self._head_until is not None:
            wait_s = max(0.001, self._head_until - await curio.clock())
            try:
                async with curio.timeout_after(wait_s):
                    return bytes(await self._client.recv(READ_BYTES))
            except curio.TaskTimeout:
                raise RequestError(ErrorKind.SLOW_REQUEST) from None
        while (wait_ms := self._idle_left_ms()) > 0.0:
            async with curio.ignore_after(wait_ms / 1000):
                return bytes(await self._client.recv(READ_BYTES))
        return None

    async def _receive_body_bytes(self) -> bytes:
        self._n_reads += 1
        if self._n_reads % READS_PER_TURN == 0:
            # A caller that sends without a pause must not keep the loop from others.
            await curio.sleep(0)
        try:
            async with curio.timeout_after(self._limits.idle_timeout_ms / 1000):
                return bytes(await self._client.recv(READ_BYTES))
        except curio.TaskTimeout:
            raise RequestError(ErrorKind.SLOW_REQUEST, head=self._head) from None


def _check_head(head: h11.Request, limits: ServerLimits) -> None:
    """Refuse a head that is too large or has two framings.

    The parser bounds only a head that comes in several pieces. Two framings may be
    read differently by two readers.
    """
    n_bytes = sum(len(name) + len(value) for name, value in head.headers)
    if n_bytes + len(head.target) > limits.head_bytes:
        raise RequestError(ErrorKind.HEAD_TOO_LARGE, f"{n_bytes} bytes", head)
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        detail = "both content-length and transfer-encoding"
        raise RequestError(ErrorKind.BAD_REQUEST, detail, head)
    length = find_header(list(head.headers), b"content-length")
    if length is not None and int(length) > limits.body_bytes:
        # Known at once, so the caller needn't send a body that is refused.
        raise RequestError(ErrorKind.BODY_TOO_LARGE, f"{int(length)} bytes", head)


def _protocol_error_kind(
    error: h11.RemoteProtocolError, head: h11.Request | None
) -> ErrorKind:
    if error.error_status_hint == 431:
        return ErrorKind.HEAD_TOO_LARGE
    if head is not None and "without sending complete message body" in str(error):
        return ErrorKind.TRUNCATED_BODY
    return ErrorKind.BAD_REQUEST
