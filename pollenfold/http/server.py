"""An HTTP/1.1 server: listens, and stops without cutting requests off."""

from __future__ import annotations

import logging
import socket as sockets
from collections.abc import Callable

import curio
from curio import socket
from curio.io import Socket

from ..core.errors import ErrorKind
from .caller import CallerConnection, Handler, OnRejected, Traffic
from .listener import open_listener
from .memory import MemoryBudget
from .messages import Request
from .request_reader import BODY_BUDGET_BYTES, ServerLimits

WHOLE_BODY_BYTES = 64 << 20
WHOLE_BUDGET_BYTES = 64 << 20
"""A body that is read whole, and all of a server together, take at most so much."""

READ_WAIT_MS = 2000.0
"""How long a planned stop waits for the rest of a request that began to arrive."""

FIRST_REQUEST_WAIT_MS = 250.0
"""How long a planned stop waits for the first request of a connection.

The caller opened it to send one, and has no other answer to go by than this one."""


def _log_internal_error(kind: ErrorKind, detail: str, peer: str) -> None:
    """Log what is a fault of this program; other rejections are the caller's."""
    if kind is ErrorKind.INTERNAL_ERROR:
        text = "event=request_rejected kind=%s detail=%r peer=%s"
        logging.getLogger(__name__).error(text, kind.value, detail, peer)


def _never(request: Request) -> bool:
    return False


class HttpServer:
    """Serves one listening address.

    A planned stop calls ``announce_stop``, which asks callers to leave with the last
    response of their connection, then ``stop``, which closes the listener and the idle
    connections, then ``wait_idle``, which returns when no request is in flight.
    """

    connection_class = CallerConnection

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int = 1 << 20,
        limits: Callable[[], ServerLimits] | None = None,
        on_rejected: OnRejected = _log_internal_error,
        runs_beside_others: Callable[[Request], bool] = _never,
        window_bytes: int | None = None,
    ) -> None:
        """Make a server; ``limits`` is asked anew for each connection.

        With ``window_bytes`` the handler gets longer bodies in parts
        (``Request.read_rest``); otherwise each body is read whole.

        ``runs_beside_others`` tells whether a request may run while earlier ones of
        its connection do.
        """
        fixed = ServerLimits(max_body_bytes)
        self._limits = limits or (lambda: fixed)
        self._traffic = Traffic(
            handler,
            runs_beside_others,
            on_rejected,
            MemoryBudget(BODY_BUDGET_BYTES if window_bytes else WHOLE_BUDGET_BYTES),
            window_bytes or WHOLE_BODY_BYTES,
        )
        self._connections: set[CallerConnection] = set()
        self._listener: curio.Task | None = None
        self._listening: sockets.socket | None = None

    @property
    def n_in_flight(self) -> int:
        """The number of requests that were read and not yet answered."""
        return self._traffic.n_in_flight

    async def start(self, host: str, port: int) -> int:
        """Listen on the address and return the port, useful with port 0."""
        return await self.start_on(open_listener(host, port))

    async def start_on(self, listener: sockets.socket) -> int:
        """Serve a socket that listens already, and return its port."""
        self._listening = listener
        self._listener = await curio.spawn(self._accept, Socket(listener), daemon=True)
        return int(listener.getsockname()[1])

    def announce_stop(self) -> None:
        """End each connection after its last response, and go on accepting."""
        self._traffic.is_stopping = True

    async def stop(self) -> None:
        """Accept no more connections, and close those without a request.

        A connection that the kernel accepted already may carry a request, so it is
        taken over first, and gets a moment for it.
        """
        self._traffic.is_stopping = True
        if self._listener is not None and self._listening is not None:
            await self._accept_waiting(self._listening)
            await self._listener.cancel()
            self._listening.close()
        for connection in list(self._connections):
            if connection.is_new:
                await curio.spawn(self._end_new, connection, daemon=True)
            else:
                await connection.end_idle()

    async def _end_new(self, connection: CallerConnection) -> None:
        await curio.sleep(FIRST_REQUEST_WAIT_MS / 1000)
        if connection in self._connections:
            await connection.end_idle()

    async def wait_idle(self) -> None:
        """Return when no request is in flight.

        A request whose body is still arriving is waited for as well, but only for
        ``READ_WAIT_MS``, so that a caller which stops sending can't hold up the stop.
        """
        async with curio.ignore_after(READ_WAIT_MS / 1000):
            while any(c.is_busy or c.is_new for c in self._connections):
                await curio.sleep(0.005)
        while self.n_in_flight:
            await curio.sleep(0.005)

    async def _accept(self, sock: Socket) -> None:
        async with sock:
            while True:
                client, address = await sock.accept()
                await self._take_over(client, address[0])

    async def _accept_waiting(self, listening: sockets.socket) -> None:
        """Take over the connections that wait in the kernel's queue."""
        try:
            while True:
                client, address = listening.accept()
                client.setblocking(False)
                await self._take_over(Socket(client), address[0])
        except OSError:
            # No more connections wait, or the socket is closed.
            return

    async def _take_over(self, client: Socket, peer: str) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await curio.spawn(self._serve, client, peer, daemon=True)

    async def _serve(self, client: Socket, peer: str) -> None:
        make = self.connection_class
        connection = make(client, peer, self._traffic, self._limits())
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)


async def serve(
    host: str, port: int, handler: Handler, max_body_bytes: int = 1 << 20
) -> HttpServer:
    """Start a server on the address and return it."""
    server = HttpServer(handler, max_body_bytes)
    await server.start(host, port)
    return server
