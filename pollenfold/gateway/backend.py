"""A connection of an entry to a backend server, for one exchange at a time.

A connection serves several exchanges in sequence. It is reused only if the request and
the response of the last exchange were complete and no bytes followed the response.
"""

from __future__ import annotations

import errno
import socket as sockets
from collections.abc import Awaitable, Callable
from functools import partial

import curio
import h11

from ..core.clock import Instant, add_ms, remaining_ms
from ..core.link import MAX_UNPACED_BYTES, Link
from ..http.messages import Response
from ..http.response_head import describe_invalid_response
from ..http.socket_state import is_readable
from ..observe.clock import system_clock
from ..wire.connections import address_family, bind_source
from ..wire.receive_buffers import receive_buffers
from ..wire.sockets import Socket
from .outgoing import OutgoingRequest, ReadRemainingBody
from .response_reader import (
    Failure,
    ResponseReader,
    idle_timeout_ms,
    is_persistent,
    new_parser,
)

SEND_CHECK_INTERVAL_MS = 20.0
"""How often a blocked send checks whether the server has already responded."""

BODY_CHECK_INTERVAL_MS = 100.0
"""The same check while waiting for more of the caller's request body."""

BeforeFinalPiece = Callable[[], Awaitable[None]]
"""Awaited before the final piece of a long request is sent."""

IDLE_TIMEOUT_MARGIN_MS = 250.0
"""How long before the announced idle timeout of the server a connection is no longer
reused: a request that crosses the server's close may have been executed."""


class BackendConnection:
    """One connection to a backend server.

    An idle connection has no parser, because an entry keeps hundreds of idle
    connections and a parser uses several KB. ``invalid_response`` says what was wrong
    with the response that ended the last exchange, if it wasn't valid.
    """

    __slots__ = (
        "_sock",
        "_raw",
        "_address",
        "_is_connected",
        "_request",
        "_parser",
        "_is_request_written",
        "_send_error",
        "_has_skipped_response",
        "_link",
        "is_reusable",
        "invalid_response",
        "max_waiting",
        "_idle_timeout_ms",
        "last_used_at",
        "n_exchanges",
    )

    def __init__(self, host: str, port: int, link: Link, source_host: str = "") -> None:
        """Start connecting without waiting; raise OSError on an immediate failure.

        ``link`` paces long bodies. The connection comes from ``source_host`` if that is
        an address of this VM.
        """
        raw = sockets.socket(address_family(host, port), sockets.SOCK_STREAM)
        raw.setblocking(False)
        raw.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        receive_buffers.limit(raw)
        if source_host:
            bind_source(raw, source_host)
        code = raw.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            raw.close()
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        self._raw = raw
        self._address = (host, port)
        self._sock = Socket(raw)
        self._is_connected = code == 0
        self._request: OutgoingRequest | None = None
        self._parser: h11.Connection | None = None
        self._is_request_written = True
        self._send_error: OSError | None = None
        """What ended the sending of the request that is in flight."""

        self._has_skipped_response = False
        self._link = link
        self.is_reusable = True
        self.invalid_response = ""
        self.max_waiting: int | None = None
        """How many responses of the endpoint may wait for memory; None is any."""

        self._idle_timeout_ms = float("inf")
        self.last_used_at = Instant(0.0)
        self.n_exchanges = 0

    async def wait_until_connected(self) -> None:
        """Wait until the connection is open; raise OSError if it can't be opened."""
        if self._is_connected:
            return
        await self._sock.wait_writable()
        code = self._raw.getsockopt(sockets.SOL_SOCKET, sockets.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        self._is_connected = True

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""
        return self._is_connected

    def is_about_to_expire(self, now: Instant) -> bool:
        """Return whether the server may close the idle connection at any moment."""
        idle_ms = now - self.last_used_at
        return idle_ms > self._idle_timeout_ms - IDLE_TIMEOUT_MARGIN_MS

    @property
    def descriptor(self) -> int:
        """The descriptor of the socket, negative once it is closed."""
        return self._raw.fileno()

    def has_input(self) -> bool:
        """Return whether bytes or the end of the stream are ready to be read.

        An idle connection with input can't carry another request.
        """
        return is_readable(self._raw.fileno())

    async def close(self) -> None:
        """Close the connection, which also cancels any request in flight."""
        self.is_reusable = False
        await self._sock.close()

    async def send(
        self,
        request: OutgoingRequest,
        before_final_piece: BeforeFinalPiece | None = None,
    ) -> bool:
        """Write a request; return False if no byte of it was written.

        ``before_final_piece`` is awaited before the last piece of a long body, if the
        body is already complete in memory.

        The connection isn't reusable until ``receive`` has read the whole response. A
        server may respond before it has read a long request: the remaining body is then
        not sent, and the connection carries no further request. The same holds if the
        connection fails after the first byte: ``receive`` reads what arrived before.
        """
        self.is_reusable = False
        self._is_request_written = True
        self._send_error = None
        self.n_exchanges += 1
        self._request = request
        parser = self._parser = new_parser()
        parts = [part for part in request.encode(parser) if part]
        for position, data in enumerate(parts):
            is_last = request.read_remaining_body is None and position == len(parts) - 1
            n_sent, n_bytes = await self._write(
                data, before_final_piece if is_last else None
            )
            if n_sent == 0 and position == 0:
                return False
            self._is_request_written = n_sent == n_bytes
            if not self._is_request_written:
                return True
        while request.read_remaining_body is not None and self._is_request_written:
            piece = await self._next_piece(request.read_remaining_body)
            if piece is None:
                self._is_request_written = False
                break
            event = h11.Data(data=piece) if piece else h11.EndOfMessage()
            n_sent, n_bytes = await self._write(parser.send(event) or b"")
            if n_sent < n_bytes:
                self._is_request_written = False
            if not piece:
                break
        return True

    async def _write(
        self, data: bytes, before_final_piece: BeforeFinalPiece | None = None
    ) -> tuple[int, int]:
        """Write bytes; return the number written and the total number.

        Fewer are written if the server responds first, or the connection fails.
        """
        view = memoryview(data)
        n_sent = 0
        piece_bytes = self._link.piece_bytes if len(data) > MAX_UNPACED_BYTES else 0
        n_permitted = 0 if piece_bytes else len(data)
        while n_sent < len(data):
            if n_sent == n_permitted:
                n_permitted = min(len(data), n_sent + piece_bytes)
                if before_final_piece is not None and n_permitted == len(data):
                    await before_final_piece()
                if not await self._wait_for_link(n_permitted - n_sent):
                    break
            try:
                n_written = self._raw.send(view[n_sent:n_permitted])
                n_sent += n_written
                self._link.record_sent(n_written, system_clock())
            except (BlockingIOError, InterruptedError):
                if self.has_input():
                    break
                try:
                    async with curio.timeout_after(SEND_CHECK_INTERVAL_MS / 1000):
                        await self._sock.wait_writable()
                except curio.TaskTimeout:
                    continue
            except OSError as error:
                self._send_error = error
                break
        return n_sent, len(data)

    async def _wait_for_link(self, n_bytes: int) -> bool:
        """Wait until a piece may be sent; return False if the server responds first."""
        left_ms = self._link.reserve_piece(n_bytes, system_clock())
        until = add_ms(system_clock(), left_ms)
        while not self.has_input():
            left_ms = remaining_ms(until, system_clock())
            if left_ms <= 0.0:
                return True
            await curio.sleep(min(left_ms, SEND_CHECK_INTERVAL_MS) / 1000)
        return False

    async def _next_piece(self, read_remaining_body: ReadRemainingBody) -> bytes | None:
        """Return the next piece of the body, or None if the server responds first."""
        while not self.has_input():
            try:
                async with curio.timeout_after(BODY_CHECK_INTERVAL_MS / 1000):
                    return await read_remaining_body()
            except curio.TaskTimeout:
                continue
        return None

    async def receive(
        self, is_expected: Callable[[Response], bool]
    ) -> Response | Failure:
        """Read the response to the request that was sent.

        A complete response for which ``is_expected`` is false belongs to an earlier
        exchange. One such response is skipped, and the connection then carries no
        further request.
        """
        request, parser = self._request, self._parser
        self._request = self._parser = None
        if request is None or parser is None:
            raise RuntimeError("no request was sent")
        surplus = b""
        for _ in range(2):
            reader = ResponseReader(
                parser,
                self._receive_bytes,
                self._finish_response,
                self.close,
                partial(receive_buffers.grow_for, self._raw),
                surplus,
                self._address,
                max_waiting=self.max_waiting,
            )
            response = await reader.read()
            if isinstance(response, Failure):
                self.invalid_response = describe_invalid_response(reader.error)
                return response
            if is_expected(response):
                return response
            if response.remaining_body is not None:
                return Failure.LOST
            surplus = reader.surplus
            if not self.is_reusable and not surplus:
                return Failure.LOST
            self._has_skipped_response = True
            parser = new_parser()
            request.encode(parser)
        return Failure.LOST

    async def _receive_bytes(self, max_bytes: int) -> bytes:
        """Return the next bytes, or ``b""`` if the server ended the stream.

        The kernel reports a reset once. If a send got that report, reading ends like
        that of a closed connection, and a response without a length would look whole.
        """
        try:
            data = self._raw.recv(max_bytes)
        except (BlockingIOError, InterruptedError):
            data = await self._sock.recv(max_bytes)
        if not data and self._send_error is not None:
            raise ConnectionResetError(errno.ECONNRESET, str(self._send_error))
        return data

    def _finish_response(self, head: h11.Response, has_surplus: bool) -> None:
        """Decide whether the connection can be reused for another exchange."""
        announced_ms = idle_timeout_ms(head)
        if announced_ms is not None:
            self._idle_timeout_ms = announced_ms
        is_complete = self._is_request_written and not has_surplus
        self.is_reusable = (
            is_persistent(head) and is_complete and not self._has_skipped_response
        )
