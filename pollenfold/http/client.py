"""One HTTP/1.1 connection to a server, for one exchange at a time."""

from __future__ import annotations

from enum import Enum

import curio
import h11
from curio import socket
from expression import Error, Ok, Result

from .messages import Headers, Response

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 16 << 20
"""A longer response is refused, so that one server can't exhaust the memory."""


class ExchangeFailure(Enum):
    """How far an exchange had come when it failed."""

    NOT_SENT = "not_sent"
    """No byte of the request was written to the connection."""

    NO_RESPONSE = "no_response"
    """The request was written at least in part; no response byte came."""

    BAD_RESPONSE = "bad_response"
    """The response was malformed, truncated or too long."""


class HttpConnection:
    """A connection on which one request follows another.

    After an exchange ``reusable`` says whether both sides completed it. Only such
    a connection may carry another request; any other must be closed, because a
    late response on it could reach the next caller.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.reusable = True

    @classmethod
    async def open(cls, host: str, port: int) -> HttpConnection:
        """Connect; raise OSError when the server can't be reached."""
        sock = await curio.open_connection(host, port)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock)

    async def exchange(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> Result[Response, ExchangeFailure]:
        """Send one request and read its whole response.

        ``headers`` must contain ``host`` and no framing headers. When the caller of
        this function is cancelled, the connection is left not reusable.
        """
        self.reusable = False
        connection = self._connection
        head = h11.Request(
            method=method,
            target=target,
            headers=[*headers, (b"content-length", b"%d" % len(body))],
        )
        data = connection.send(head)
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        failure = await self._send(data)
        if failure is not None:
            return Error(failure)
        return await self._read_response()

    async def close(self) -> None:
        """Close the connection, which also cancels a request in flight."""
        self.reusable = False
        await self._sock.close()

    async def _send(self, data: bytes) -> ExchangeFailure | None:
        try:
            await self._sock.sendall(data)
        except OSError as error:
            # curio reports how much was written before the failure; without that
            # figure the request counts as sent.
            n_sent_bytes = getattr(error, "bytes_sent", 1)
            if n_sent_bytes == 0:
                return ExchangeFailure.NOT_SENT
            return ExchangeFailure.NO_RESPONSE
        return None

    async def _read_response(self) -> Result[Response, ExchangeFailure]:
        connection = self._connection
        head: h11.Response | None = None
        body: list[bytes] = []
        n_body_bytes = 0
        while True:
            try:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    data = await self._sock.recv(READ_BYTES)
                    if not data and head is None:
                        return Error(ExchangeFailure.NO_RESPONSE)
                    connection.receive_data(data)
                    continue
            except h11.RemoteProtocolError:
                return Error(ExchangeFailure.BAD_RESPONSE)
            except OSError:
                if head is None:
                    return Error(ExchangeFailure.NO_RESPONSE)
                return Error(ExchangeFailure.BAD_RESPONSE)
            if type(event) is h11.Response:
                head = event
            elif type(event) is h11.Data:
                n_body_bytes += len(event.data)
                if n_body_bytes > MAX_BODY_BYTES:
                    return Error(ExchangeFailure.BAD_RESPONSE)
                body.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                return self._complete(head, b"".join(body))
            elif type(event) is h11.ConnectionClosed:
                return Error(ExchangeFailure.NO_RESPONSE)

    def _complete(
        self, head: h11.Response | None, body: bytes
    ) -> Result[Response, ExchangeFailure]:
        if head is None:
            return Error(ExchangeFailure.BAD_RESPONSE)
        connection = self._connection
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            # Bytes that follow a complete response belong to no request.
            if not connection.trailing_data[0]:
                connection.start_next_cycle()
                self.reusable = True
        headers = [(name, value) for name, value in head.headers]
        return Ok(Response(head.status_code, headers, body))
