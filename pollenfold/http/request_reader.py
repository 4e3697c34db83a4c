"""Reads one request from a caller's connection: its head and its body.

A body that fits into the window is buffered completely before the request is handled,
so that the request can be retried. Of a longer body, the handler gets the window and
reads the remainder itself, at the pace at which it forwards the bytes.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import h11

from ..core.clock import Instant
from ..core.errors import ErrorKind
from ..observe.clock import system_clock
from ..wire.pace import ReadingPace
from ..wire.receive_buffers import receive_buffers
from ..wire.sockets import Socket
from .memory import MemoryBudget
from .messages import BodyError, Request, find_header

MAX_HEAD_BYTES = 16 * 1024
"""The largest request head; bounds the memory that one connection can use."""

READ_BYTES = 64 * 1024
UNRESERVED_BYTES = 16 * 1024
"""Bodies up to this size, which most requests have, need no reservation."""

BODY_WINDOW_BYTES = 128 * 1024
"""How much of a body is buffered before the request is handled."""

QUOTED_BYTES = re.compile(r":? (?:bytearray\()?b['\"]")
"""What precedes the bytes of a request that an error of the parser quotes."""

BODY_BUDGET_BYTES = 4 << 20
"""Memory limit for the body windows of all connections together."""


@dataclass(frozen=True, slots=True)
class SizeRefusal:
    """The response to a request over a size limit that may be out of date.

    ``retry_after_s`` of None stands for the value of the error table.
    """

    kind: ErrorKind
    retry_after_s: float | None = None


CHANGED_LIMITS = SizeRefusal(ErrorKind.NOT_CONFIRMED)
"""For a request over the limit at the time of its head, but not over the one since."""


def _limits_are_final() -> SizeRefusal | None:
    return None


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Size limits and timeouts for requests from callers.

    ``head_timeout_ms`` counts from the first byte of a request to the end of its head,
    ``idle_timeout_ms`` while nothing arrives. The latter also limits how long a body
    waits for memory. ``announced_idle_s`` is the idle timeout that responses announce
    in ``Keep-Alive``; 0 omits the header. ``size_refusal`` is called for a request that
    is too large; it returns what is said instead, or None if the limits are known to be
    the newest ones.
    """

    body_bytes: int = 1 << 20
    head_bytes: int = MAX_HEAD_BYTES
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0
    announced_idle_s: int = 0
    size_refusal: Callable[[], SizeRefusal | None] = _limits_are_final


class RequestError(Exception):
    """A request that can't reach the handler; ``kind`` selects the error response.

    ``head`` is the request's head if it was read completely. ``retry_after_s``
    overrides the value of the error table.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        head: h11.Request | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s
        names = () if head is None else (name for name, _ in head.headers)
        self.has_key = b"idempotency-key" in names


class RequestReader:
    """Reads one request from a connection.

    Of a body longer than ``window_bytes``, only that many bytes are read before the
    request is returned.
    ``unread`` are the bytes received after the previous request. ``limits`` returns the
    limits in force: those at the time when the head is complete count for the rest of
    the request. ``on_head`` is called when the head is complete. ``idle_left_ms``
    returns how much longer to wait for the first byte.
    """

    def __init__(
        self,
        client: Socket,
        unread: bytes,
        limits: Callable[[], ServerLimits],
        budget: MemoryBudget,
        window_bytes: int,
        idle_left_ms: Callable[[], float],
        on_head: Callable[[], None],
        send_continue: Callable[[h11.Connection], Awaitable[None]],
    ) -> None:
        self._client = client
        self._limits_in_force = limits
        self._limits = limits()
        self.parser = _new_parser(self._limits, unread)
        self._budget = budget
        self._window_bytes = window_bytes
        self._idle_left_ms = idle_left_ms
        self._on_head = on_head
        self._send_continue = send_continue
        self._head: h11.Request | None = None
        self._head_deadline_s: float | None = None
        self._head_received_at = Instant(0.0)
        self._n_body_bytes = 0
        self._n_reserved = 0
        self._pace = ReadingPace()
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
        # One buffer: a list of chunks of one byte would hold many times their bytes.
        window = bytearray()
        has_grown = False
        while len(window) < self._window_bytes:
            has_grown = has_grown or receive_buffers.grow_for(
                self._client, max(int(length or 0), len(window))
            )
            if len(window) >= UNRESERVED_BYTES and not self._n_reserved:
                wanted = self._limits.body_bytes if length is None else int(length)
                await self._reserve(min(wanted, self._window_bytes))
            piece = await self._read_piece()
            if not piece:
                break
            window += piece
        request = Request(
            head.method,
            head.target,
            headers,
            bytes(window),
            peer,
            self._client.fileno(),
            self._head_received_at,
        )
        if not self.is_body_read:
            request.read_remaining_body = self._read_remaining_body
        return request

    async def release(self) -> None:
        """Release the memory reserved for the body."""
        n_reserved, self._n_reserved = self._n_reserved, 0
        if n_reserved:
            await self._budget.release(n_reserved)

    async def _reserve(self, n_bytes: int) -> None:
        """Reserve memory from the budget shared by all bodies, waiting if needed.

        Raise RequestError if it isn't granted within ``idle_timeout_ms``.
        """
        try:
            async with curio.timeout_after(self._limits.idle_timeout_ms / 1000):
                self._n_reserved = await self._budget.reserve(n_bytes)
        except curio.TaskTimeout:
            detail = "no memory for the body"
            raise RequestError(ErrorKind.QUEUE_FULL, detail, self._head) from None

    async def _read_remaining_body(self) -> bytes:
        """Return the next piece of a long body, or ``b""`` at its end."""
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
                self._head_received_at = system_clock()
                self._limits = self._limits_in_force()
                _check_head(event, self._limits)
                self._on_head()
                return event
            if event is not h11.NEED_DATA:
                return None
            if self._head_deadline_s is None and self.parser.trailing_data[0]:
                wait_s = self._limits.head_timeout_ms / 1000
                self._head_deadline_s = await curio.clock() + wait_s
            data = await self._receive_head_bytes()
            if data is None:
                return None
            self._renew_limits()
            self.parser.receive_data(data)

    def _renew_limits(self) -> None:
        """Let changed limits count for the head that is arriving.

        h11 takes the limit of an incomplete head only when a parser is created.
        """
        limits = self._limits_in_force()
        if limits.head_bytes != self._limits.head_bytes:
            self.parser = _new_parser(limits, self.parser.trailing_data[0])
        self._limits = limits

    async def _read_piece(self) -> bytes:
        """Return the next piece of the body, or ``b""`` at its end."""
        self._pace.resume(0)
        while not self.is_body_read:
            # The handler may cancel the wait and read again, so no bytes are held here.
            if self._pace.is_step_over():
                await self._pace.give_way()
            event = self._next_event()
            if type(event) is h11.Data:
                self._n_body_bytes += len(event.data)
                if self._n_body_bytes > self._limits.body_bytes:
                    kind, limits = ErrorKind.BODY_TOO_LARGE, self._limits_in_force()
                    raise _size_error(kind, self._n_body_bytes, limits, self._head)
                if event.data:
                    self._pace.pause()
                    return bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                self.is_body_read = True
            elif event is h11.NEED_DATA:
                if self.parser.they_are_waiting_for_100_continue:
                    await self._send_continue(self.parser)
                self.parser.receive_data(await self._receive_body_bytes())
            else:
                raise RequestError(ErrorKind.TRUNCATED_BODY, head=self._head)
        return b""

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                n_bytes = len(self.parser.trailing_data[0])
                limits = self._limits_in_force()
                kind = ErrorKind.HEAD_TOO_LARGE
                raise _size_error(kind, n_bytes, limits, self._head) from error
            kind = _protocol_error_kind(error, self._head)
            raise RequestError(kind, _protocol_error_text(error), self._head) from error

    async def _receive_head_bytes(self) -> bytes | None:
        """Return the next bytes, or None when an idle connection timed out."""
        if self._head_deadline_s is not None:
            wait_s = max(0.001, self._head_deadline_s - await curio.clock())
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
        self._pace.pause()
        try:
            async with curio.timeout_after(self._limits.idle_timeout_ms / 1000):
                data = bytes(await self._client.recv(READ_BYTES))
        except curio.TaskTimeout:
            raise RequestError(ErrorKind.SLOW_REQUEST, head=self._head) from None
        self._pace.resume(len(data))
        return data


def _check_head(head: h11.Request, limits: ServerLimits) -> None:
    """Raise RequestError for a head that is too large or has ambiguous framing.

    h11 bounds only a head that arrives in several pieces. Two HTTP implementations may
    interpret a request with both content-length and transfer-encoding differently,
    which allows request smuggling.
    """
    n_bytes = sum(len(name) + len(value) for name, value in head.headers)
    n_bytes += len(head.target)
    if n_bytes > limits.head_bytes:
        raise _size_error(ErrorKind.HEAD_TOO_LARGE, n_bytes, limits, head)
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        detail = "both content-length and transfer-encoding"
        raise RequestError(ErrorKind.BAD_REQUEST, detail, head)
    length = find_header(list(head.headers), b"content-length")
    if length is not None and int(length) > limits.body_bytes:
        # Fail before the body, so the caller needn't send one that is rejected.
        raise _size_error(ErrorKind.BODY_TOO_LARGE, int(length), limits, head)


def _new_parser(limits: ServerLimits, data: bytes) -> h11.Connection:
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)
    if data:
        parser.receive_data(data)
    return parser


def _size_error(
    kind: ErrorKind, n_bytes: int, limits: ServerLimits, head: h11.Request | None
) -> RequestError:
    """Return the error for a head or body over the limit that counts for it.

    ``limits`` are those in force now. Callers take "too large" as final, so it is said
    only if the same request would be refused again.
    """
    is_head = kind is ErrorKind.HEAD_TOO_LARGE
    limit_bytes = limits.head_bytes if is_head else limits.body_bytes
    refusal = limits.size_refusal()
    if refusal is None and n_bytes <= limit_bytes:
        refusal = CHANGED_LIMITS
    if refusal is None:
        return RequestError(kind, f"{n_bytes} bytes", head)
    detail = f"{n_bytes} bytes, limit not confirmed"
    return RequestError(refusal.kind, detail, head, refusal.retry_after_s)


def _protocol_error_text(error: h11.RemoteProtocolError) -> str:
    """Return the text of a parser's error without what it quotes of the request.

    A malformed header line may hold the key of a caller.
    """
    return QUOTED_BYTES.split(str(error), maxsplit=1)[0]


def _protocol_error_kind(
    error: h11.RemoteProtocolError, head: h11.Request | None
) -> ErrorKind:
    if head is not None and "without sending complete message body" in str(error):
        return ErrorKind.TRUNCATED_BODY
    return ErrorKind.BAD_REQUEST
