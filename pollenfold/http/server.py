"""An HTTP/1.1 server: reads whole requests and writes whole responses."""

from __future__ import annotations

import socket as sockets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import h11
from curio import socket
from curio.io import Socket

from ..core.errors import ErrorKind, RunState
from .listener import open_listener
from .messages import Request, Response, error_response

Handler = Callable[[Request], Awaitable[Response | None]]
"""Answers a request; None closes the connection without an answer."""

MAX_HEAD_BYTES = 16 * 1024
"""Greatest request head; bounds the memory that one connection can claim."""

READ_BYTES = 64 * 1024
READ_WAIT_MS = 2000.0
"""How long a planned stop waits for the rest of a request that began to arrive."""

_STATUS_WITHOUT_BODY = (204, 304)


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


OnRejected = Callable[[ErrorKind, str, str], None]
"""Is told kind, detail and peer of each request that can't reach the handler."""


def _ignore_rejected(kind: ErrorKind, detail: str, peer: str) -> None:
    return None


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


class HttpServer:
    """Serves one listening address.

    A planned stop calls ``announce_stop``, which asks callers to leave with each
    response, then ``stop``, which closes the listener and the idle connections, then
    ``wait_idle``, which returns when no request is in flight.
    """

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int = 1 << 20,
        limits: Callable[[], ServerLimits] | None = None,
        on_rejected: OnRejected = _ignore_rejected,
    ) -> None:
        """Make a server; ``limits`` is asked anew for each connection."""
        self._handler = handler
        fixed = ServerLimits(max_body_bytes)
        self._limits = limits or (lambda: fixed)
        self._on_rejected = on_rejected
        self._stopping = False
        self.n_in_flight = 0
        self._connections: dict[socket.socket, bool] = {}
        self._listener: curio.Task | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen on the address and return the port, useful with port 0."""
        return await self.start_on(open_listener(host, port))

    async def start_on(self, listener: sockets.socket) -> int:
        """Serve a socket that listens already, and return its port."""
        sock = Socket(listener)
        self._listener = await curio.spawn(self._accept, sock, daemon=True)
        return int(listener.getsockname()[1])

    def announce_stop(self) -> None:
        """End each connection after its next response, and go on accepting."""
        self._stopping = True

    async def stop(self) -> None:
        """Accept no more connections, and close those without a request."""
        self._stopping = True
        if self._listener is not None:
            await self._listener.cancel()
        for sock, busy in list(self._connections.items()):
            if not busy:
                await sock.shutdown(socket.SHUT_RD)

    async def wait_idle(self) -> None:
        """Return when no request is in flight.

        A request whose body is still arriving is waited for as well, but only for
        ``READ_WAIT_MS``, so that a caller which stops sending can't hold up the stop.
        """
        async with curio.ignore_after(READ_WAIT_MS / 1000):
            while any(self._connections.values()):
                await curio.sleep(0.005)
        while self.n_in_flight:
            await curio.sleep(0.005)

    async def _accept(self, sock: Socket) -> None:
        async with sock:
            while True:
                client, address = await sock.accept()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await curio.spawn(self._serve, client, address[0], daemon=True)

    async def _serve(self, client: socket.socket, peer: str) -> None:
        limits = self._limits()
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        self._connections[client] = False
        try:
            async with client:
                while await self._serve_one(connection, client, peer, limits):
                    connection.start_next_cycle()
        except (OSError, h11.LocalProtocolError):
            return
        finally:
            del self._connections[client]

    async def _serve_one(
        self,
        connection: h11.Connection,
        client: socket.socket,
        peer: str,
        limits: ServerLimits,
    ) -> bool:
        """Serve one request; return whether the connection can take another."""
        try:
            request = await self._read_request(connection, client, peer, limits)
        except RequestError as error:
            self._on_rejected(error.kind, error.detail, peer)
            # An earlier whole request with the same key may have run.
            state = RunState.OUTCOME_UNKNOWN.value if error.has_key else None
            response = error_response(error.kind, error.detail, run_state=state)
            response.close = True
            await self._write(connection, client, response)
            return False
        if request is None:
            return False
        self.n_in_flight += 1
        self._connections[client] = True
        try:
            answer = await self._handler(request)
            if answer is None:
                return False
            if request.method == b"HEAD":
                answer.body = b""
            answer.close = answer.close or self._stopping
            if limits.announced_idle_s and not answer.close:
                value = b"timeout=%d" % limits.announced_idle_s
                answer.headers.append((b"keep-alive", value))
            await self._write(connection, client, answer)
        finally:
            self._connections[client] = False
            self.n_in_flight -= 1
        return (
            not self._stopping
            and connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )

    async def _read_request(
        self,
        connection: h11.Connection,
        client: socket.socket,
        peer: str,
        limits: ServerLimits,
    ) -> Request | None:
        """Return the next whole request, or None when the peer closed or was idle.

        Raise RequestError for a malformed, oversized, truncated or slow request.
        """
        head: h11.Request | None = None
        head_until: float | None = None
        body: list[bytes] = []
        n_body_bytes = 0
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                kind = _protocol_error_kind(error, head)
                raise RequestError(kind, str(error), head)
            if event is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue:
                    await client.sendall(
                        connection.send(
                            h11.InformationalResponse(status_code=100, headers=[])
                        )
                    )
                if head is None and head_until is None and connection.trailing_data[0]:
                    head_until = await curio.clock() + limits.head_timeout_ms / 1000
                data = await self._receive(client, head, head_until, limits)
                if data is None:
                    return None
                connection.receive_data(data)
            elif type(event) is h11.Request:
                head = event
                _check_head(head, limits)
                self._connections[client] = True
            elif type(event) is h11.Data:
                n_body_bytes += len(event.data)
                if n_body_bytes > limits.body_bytes:
                    raise RequestError(ErrorKind.BODY_TOO_LARGE, head=head)
                body.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                if head is None:
                    raise RequestError(ErrorKind.BAD_REQUEST, "no request head")
                headers = [(name, value) for name, value in head.headers]
                return Request(
                    head.method,
                    head.target,
                    headers,
                    b"".join(body),
                    peer,
                    client.fileno(),
                )
            else:
                return None

    async def _receive(
        self,
        client: socket.socket,
        head: h11.Request | None,
        head_until: float | None,
        limits: ServerLimits,
    ) -> bytes | None:
        """Return the next bytes, or None when an idle connection timed out."""
        wait_s = limits.idle_timeout_ms / 1000
        if head_until is not None:
            wait_s = max(0.001, head_until - await curio.clock())
        try:
            async with curio.timeout_after(wait_s):
                return bytes(await client.recv(READ_BYTES))
        except curio.TaskTimeout:
            if head is None and head_until is None:
                return None
            raise RequestError(ErrorKind.SLOW_REQUEST, head=head) from None

    async def _write(
        self, connection: h11.Connection, client: socket.socket, response: Response
    ) -> None:
        headers = [*response.headers]
        if response.close:
            headers.append((b"connection", b"close"))
        if response.status not in _STATUS_WITHOUT_BODY:
            headers.append((b"content-length", b"%d" % len(response.body)))
        head = connection.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        body = connection.send(h11.Data(data=response.body)) if response.body else b""
        end = connection.send(h11.EndOfMessage())
        await client.sendall(head + body + end)


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


def _protocol_error_kind(
    error: h11.RemoteProtocolError, head: h11.Request | None
) -> ErrorKind:
    if error.error_status_hint == 431:
        return ErrorKind.HEAD_TOO_LARGE
    if head is not None and "without sending complete message body" in str(error):
        return ErrorKind.TRUNCATED_BODY
    return ErrorKind.BAD_REQUEST


async def serve(
    host: str, port: int, handler: Handler, max_body_bytes: int = 1 << 20
) -> HttpServer:
    """Start a server on the address and return it."""
    server = HttpServer(handler, max_body_bytes)
    await server.start(host, port)
    return server
