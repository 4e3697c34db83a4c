"""One connection of an entry to a backend server, for one exchange at a time.

A connection serves several exchanges one after the other. It is used again only when
both sides of the last exchange were complete and no byte followed the response.
"""

from __future__ import annotations

import errno
import socket as sockets
from collections.abc import Awaitable, Callable
from enum import Enum
from functools import partial

import curio
import h11
from curio.io import Socket
from curio.traps import _read_wait, _write_wait

from ..core.clock import Instant, add_ms, remaining_ms
from ..core.errors import ErrorKind
from ..core.link import SHORT_BYTES, Link
from ..http.messages import BodyError, BodySource, Response, find_header
from ..http.readiness import is_readable
from ..observe.clock import system_clock
from .outgoing import OutgoingRequest, ReadRest

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
RESPONSE_WINDOW_BYTES = 256 * 1024
"""A longer response is passed on while it arrives."""

MAX_INTERIM = 16
"""How many interim responses (1xx) may come before a response."""

MAX_READS_AT_ONCE = 4
SEND_CHECK_MS = 20.0
"""How often a blocked send looks whether the server already answered."""

REST_CHECK_MS = 100.0
"""The same while the caller's next bytes are waited for."""

BeforeEnd = Callable[[], Awaitable[None]]
"""Is awaited before the end of a long request is sent."""

_FRAMING = frozenset((b"content-length", b"transfer-encoding"))


class Failure(Enum):
    """How far an exchange had come when it failed."""

    LOST = "lost"
    """The request was written at least in part and no whole response came."""


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


class BackendConnection:
    """One connection to a backend server.

    An idle connection holds no parser: an entry keeps hundreds of them, and each
    parser would take some KB.
    """

    __slots__ = (
        "_sock",
        "_raw",
        "_is_connected",
        "_request",
        "_parser",
        "_is_all_sent",
        "_had_other_answer",
        "_n_read_at_once",
        "_link",
        "is_clean",
        "used_at",
        "n_exchanges",
    )

    def __init__(self, host: str, port: int, link: Link) -> None:
        """Start to connect, without waiting; raise OSError when that fails at once.

        ``link`` paces long bodies.
        """
        raw = sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        raw.setblocking(False)
        raw.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        code = raw.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            raw.close()
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        self._raw = raw
        self._sock = Socket(raw)
        self._is_connected = code == 0
        self._request: OutgoingRequest | None = None
        self._parser: h11.Connection | None = None
        self._is_all_sent = True
        self._had_other_answer = False
        self._n_read_at_once = 0
        self._link = link
        self.is_clean = True
        self.used_at = Instant(0.0)
        self.n_exchanges = 0

    async def connected(self) -> None:
        """Wait until the connection is open; raise OSError when it can't be."""
        if self._is_connected:
            return
        await _write_wait(self._raw)
        code = self._raw.getsockopt(sockets.SOL_SOCKET, sockets.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        self._is_connected = True

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""
        return self._is_connected

    def has_input(self) -> bool:
        """Return whether bytes or the end of the stream wait to be read.

        An idle connection of which this is true can't carry a request any more.
        """
        return is_readable(self._raw.fileno())

    async def close(self) -> None:
        """Close the connection, which also cancels a request in flight."""
        self.is_clean = False
        await self._sock.close()

    async def send(
        self, request: OutgoingRequest, before_end: BeforeEnd | None = None
    ) -> bool:
        """Write a request; return False when not one byte of it was written.

        ``before_end`` is awaited before the last piece of a long body that is at hand.

        The connection is not clean until ``receive`` has read the whole response. A
        server may answer before it has read a long request: then the rest isn't sent,
        and the connection carries no other request.
        Raise OSError when the connection broke after the first byte.
        """
        self.is_clean = False
        self._is_all_sent = True
        self.n_exchanges += 1
        self._request = request
        parser = self._parser = _new_parser()
        parts = [part for part in request.encode(parser) if part]
        for position, data in enumerate(parts):
            is_last = request.read_rest is None and position == len(parts) - 1
            n_sent, n_bytes = await self._write(data, before_end if is_last else None)
            if n_sent == 0 and position == 0:
                return False
            self._is_all_sent = n_sent == n_bytes
            if not self._is_all_sent:
                return True
        while request.read_rest is not None and self._is_all_sent:
            piece = await self._next_piece(request.read_rest)
            if piece is None:
                self._is_all_sent = False
                break
            event = h11.Data(data=piece) if piece else h11.EndOfMessage()
            n_sent, n_bytes = await self._write(parser.send(event) or b"")
            if n_sent < n_bytes:
                self._is_all_sent = False
            if not piece:
                break
        return True

    async def _write(
        self, data: bytes, before_end: BeforeEnd | None = None
    ) -> tuple[int, int]:
        """Write bytes; return how many, of how many.

        Fewer are written when the server answers before, and none when the connection
        broke before the first one. Raise OSError when it broke later.
        """
        view = memoryview(data)
        n_sent = 0
        piece_bytes = self._link.piece_bytes if len(data) > SHORT_BYTES else 0
        n_permitted = 0 if piece_bytes else len(data)
        while n_sent < len(data):
            if n_sent == n_permitted:
                n_permitted = min(len(data), n_sent + piece_bytes)
                if before_end is not None and n_permitted == len(data):
                    await before_end()
                if not await self._wait_for_turn(n_permitted - n_sent):
                    break
            try:
                n_written = self._raw.send(view[n_sent:n_permitted])
                n_sent += n_written
                self._link.note_sent(n_written, system_clock())
            except (BlockingIOError, InterruptedError):
                if self.has_input():
                    break
                try:
                    async with curio.timeout_after(SEND_CHECK_MS / 1000):
                        await _write_wait(self._raw)
                except curio.TaskTimeout:
                    continue
            except OSError:
                if n_sent == 0 and self._is_all_sent:
                    return 0, len(data)
                raise
        return n_sent, len(data)

    async def _wait_for_turn(self, n_bytes: int) -> bool:
        """Wait until the link has room; return False when the server answers before."""
        left_ms = self._link.reserve_piece(n_bytes, system_clock())
        until = add_ms(system_clock(), left_ms)
        while not self.has_input():
            left_ms = remaining_ms(until, system_clock())
            if left_ms <= 0.0:
                return True
            await curio.sleep(min(left_ms, SEND_CHECK_MS) / 1000)
        return False

    async def _next_piece(self, read_rest: ReadRest) -> bytes | None:
        """Return the next part of the body; None when the server answers before."""
        while not self.has_input():
            try:
                async with curio.timeout_after(REST_CHECK_MS / 1000):
                    return await read_rest()
            except curio.TaskTimeout:
                continue
        return None

    async def receive(
        self, is_answer: Callable[[Response], bool]
    ) -> Response | Failure:
        """Read the response to the request that was sent.

        A whole response that ``is_answer`` rejects belongs to an earlier exchange and
        is skipped once; the connection then carries no other request.
        """
        request, parser = self._request, self._parser
        self._request = self._parser = None
        if request is None or parser is None:
            raise RuntimeError("no request was sent")
        for _ in range(2):
            response = await self._read_response(parser)
            if isinstance(response, Failure):
                return response
            if is_answer(response):
                return response
            if response.rest is not None:
                return Failure.LOST
            rest = parser.trailing_data[0]
            if not self.is_clean and not rest:
                return Failure.LOST
            self._had_other_answer = True
            parser = _new_parser()
            request.encode(parser)
            if rest:
                parser.receive_data(rest)
        return Failure.LOST

    async def _read_response(self, parser: h11.Connection) -> Response | Failure:
        """Read a response, whole or, of a long one, as much as the window holds."""
        try:
            head = await self._read_head(parser)
            body: list[bytes] = []
            n_body_bytes = 0
            while n_body_bytes < RESPONSE_WINDOW_BYTES:
                piece = await self._read_piece(parser, head)
                if not piece:
                    whole = b"".join(body)
                    return Response(head.status_code, list(head.headers), whole)
                body.append(piece)
                n_body_bytes += len(piece)
        except (OSError, h11.RemoteProtocolError):
            return Failure.LOST
        headers = list(head.headers)
        length = find_header(headers, b"content-length")
        rest = BodySource(
            partial(self._read_rest, parser, head),
            self.close,
            None if length is None else int(length),
        )
        return Response(head.status_code, headers, b"".join(body), rest=rest)

    async def _read_head(self, parser: h11.Connection) -> h11.Response:
        """Return the head; raise OSError when the connection ends before it."""
        n_interim = 0
        while True:
            event = await self._next_event(parser)
            if type(event) is h11.Response:
                return event
            n_interim += 1
            if type(event) is not h11.InformationalResponse or n_interim > MAX_INTERIM:
                raise ConnectionAbortedError("no response")

    async def _read_piece(self, parser: h11.Connection, head: h11.Response) -> bytes:
        """Return a part of the body, or nothing at its end; raise OSError before it."""
        while True:
            event = await self._next_event(parser)
            if type(event) is h11.Data:
                if event.data:
                    return bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                self._finish(parser, head)
                return b""
            else:
                raise ConnectionAbortedError("the response broke off")

    async def _read_rest(self, parser: h11.Connection, head: h11.Response) -> bytes:
        try:
            return await self._read_piece(parser, head)
        except (OSError, h11.RemoteProtocolError) as error:
            raise BodyError(ErrorKind.BACKEND_FAILED, str(error)) from error

    async def _next_event(
        self, parser: h11.Connection
    ) -> h11.Event | type[h11.PAUSED] | type[h11.NEED_DATA]:
        while (event := parser.next_event()) is h11.NEED_DATA:
            parser.receive_data(await self._receive_bytes())
        return event

    async def _receive_bytes(self) -> bytes:
        self._n_read_at_once += 1
        if self._n_read_at_once >= MAX_READS_AT_ONCE:
            # A server that sends without end must not keep the loop from others.
            self._n_read_at_once = 0
            await curio.sleep(0)
        try:
            return self._raw.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            self._n_read_at_once = 0
            await _read_wait(self._raw)
            return bytes(await self._sock.recv(READ_BYTES))

    def _finish(self, parser: h11.Connection, head: h11.Response) -> None:
        """Decide whether another exchange may follow."""
        names = {name for name, _ in head.headers}
        is_framed = bool(names & _FRAMING) or head.status_code in (204, 304)
        closes = (find_header(list(head.headers), b"connection") or b"").lower()
        is_kept = is_framed and b"close" not in closes and head.http_version == b"1.1"
        is_over = self._is_all_sent and not parser.trailing_data[0]
        self.is_clean = is_kept and is_over and not self._had_other_answer
