"""An HTTP/1.1 client connection that carries one exchange at a time."""

from __future__ import annotations

import contextlib
from enum import Enum

import curio
import h11
from expression import Error, Ok, Result

from ..wire.connections import open_connection
from ..wire.pace import ReadingPace
from ..wire.receive_buffers import receive_buffers
from ..wire.sockets import Socket
from .messages import Headers, Response
from .response_head import check_response_head
from .socket_state import is_readable

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 16 << 20
"""A longer response fails the exchange, so one server can't exhaust the memory."""


class ExchangeFailure(Enum):
    """The stage at which an exchange failed."""

    NOT_SENT = "not_sent"
    """No byte of the request was written to the connection."""

    NO_RESPONSE = "no_response"
    """At least part of the request was written; no response byte was received."""

    BAD_RESPONSE = "bad_response"
    """The response was malformed, truncated or too long."""

    TIMEOUT = "timeout"
    """The timeout passed; ``receive`` may be called again to continue waiting."""


class HttpConnection:
    """A persistent connection for consecutive exchanges.

    ``n_exchanges`` counts the requests sent. After an exchange, ``is_reusable`` is true
    if both sides completed it. Only such a connection may carry another request;
    any other must be closed, because a late response on it could reach the next caller.
    """

    __slots__ = (
        "_sock",
        "_connection",
        "_head",
        "_body",
        "_has_response_bytes",
        "_is_head_request",
        "n_exchanges",
        "is_reusable",
    )

    def __init__(self, sock: Socket) -> None:
        self._sock = sock
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._has_response_bytes = False
        self._is_head_request = False
        self.n_exchanges = 0
        self.is_reusable = True

    @classmethod
    async def open(cls, host: str, port: int) -> HttpConnection:
        """Connect; raise OSError when the server can't be reached."""
        sock = await open_connection(host, port)
        return cls(sock)

    def is_stale(self) -> bool:
        """Return whether the idle connection can't carry a request any more."""
        return is_readable(self._sock.fileno())

    async def exchange(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        timeout_ms: float = 60_000,
    ) -> Result[Response, ExchangeFailure]:
        """Send one request and read its complete response."""
        failure = await self.send(method, target, headers, body)
        if failure is not None:
            return Error(failure)
        return await self.receive(timeout_ms)

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> ExchangeFailure | None:
        """Write one request; return None when all of it was written.

        ``headers`` must contain ``host`` and no framing headers.
        """
        self.is_reusable = False
        self.n_exchanges += 1
        self._is_head_request = method == b"HEAD"
        self._head = None
        self._body = bytearray()
        self._has_response_bytes = False
        connection = self._connection
        framed_headers = headers
        if body or method not in (b"GET", b"HEAD"):
            framed_headers = [*headers, (b"content-length", b"%d" % len(body))]
        data = connection.send(
            h11.Request(method=method, target=target, headers=framed_headers)
        )
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        return await self._write(data)

    async def receive(self, timeout_ms: float) -> Result[Response, ExchangeFailure]:
        """Read the response as ``receive_response`` does, for code outside the call
        path."""
        response = await self.receive_response(timeout_ms)
        return Ok(response) if isinstance(response, Response) else Error(response)

    async def receive_response(self, timeout_ms: float) -> Response | ExchangeFailure:
        """Read the response to the request that was sent, or continue reading it.

        ``TIMEOUT`` leaves the exchange open, so the call may be repeated. The
        call path uses this method because building a Result costs as much there as
        selecting a backend server.
        """
        try:
            async with curio.timeout_after(timeout_ms / 1000):
                return await self._read_response()
        except curio.TaskTimeout:
            return ExchangeFailure.TIMEOUT

    async def close(self) -> None:
        """Close the connection, which also cancels a request in flight.

        An error is ignored: it would end the loop that closes idle connections, or
        cost the response that was just read.
        """
        self.is_reusable = False
        with contextlib.suppress(Exception):
            await self._sock.close()

    async def _write(self, data: bytes) -> ExchangeFailure | None:
        n_sent_bytes = 0
        try:
            while n_sent_bytes < len(data):
                n_sent_bytes += await self._sock.send(data[n_sent_bytes:])
        except OSError:
            if n_sent_bytes == 0:
                return ExchangeFailure.NOT_SENT
            return ExchangeFailure.NO_RESPONSE
        return None

    async def _read_response(self) -> Response | ExchangeFailure:
        connection = self._connection
        pace = ReadingPace()
        while True:
            if pace.is_step_over():
                await pace.give_way()
            try:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    pace.pause()
                    data = await self._sock.recv(READ_BYTES)
                    self._has_response_bytes |= bool(data)
                    connection.receive_data(data)
                    if pace.resume(len(data)):
                        await pace.give_way()
                    continue
                if type(event) is h11.Response:
                    check_response_head(event)
                    self._head = event
                    continue
            except (OSError, h11.RemoteProtocolError):
                return self._read_failure()
            if type(event) is h11.Data:
                receive_buffers.grow_for(self._sock, len(self._body))
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    return ExchangeFailure.BAD_RESPONSE
            elif type(event) is h11.EndOfMessage:
                return self._complete_exchange()
            elif type(event) is h11.ConnectionClosed:
                return self._read_failure()

    def _read_failure(self) -> ExchangeFailure:
        if self._has_response_bytes:
            return ExchangeFailure.BAD_RESPONSE
        return ExchangeFailure.NO_RESPONSE

    def _complete_exchange(self) -> Response | ExchangeFailure:
        head = self._head
        if head is None:
            return ExchangeFailure.BAD_RESPONSE
        connection = self._connection
        is_bodiless = self._is_head_request or head.status_code in (204, 304)
        if not is_bodiless and not _is_framed(head):
            return ExchangeFailure.BAD_RESPONSE
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            # Not reused after surplus bytes, which belong to no request.
            if not connection.trailing_data[0]:
                connection.start_next_cycle()
                self.is_reusable = True
        return Response(head.status_code, list(head.headers), bytes(self._body))


def _is_framed(head: h11.Response) -> bool:
    """Return whether the framing distinguishes a complete from a truncated body."""
    names = {name for name, _ in head.headers}
    return b"content-length" in names or b"transfer-encoding" in names
