"""An HTTP/1.1 server that stops without aborting requests."""

from __future__ import annotations

import contextlib
import errno
import logging
import socket as sockets
from collections.abc import Callable

import curio

from ..core.errors import ErrorKind
from ..observe.steps import run_step
from ..wire.sockets import Socket
from .caller import CallerConnection
from .caller_outputs import CallerOutputs
from .exchanges import (
    ConnectionCounts,
    Handler,
    OnRejected,
    OnUnanswered,
    SharedState,
)
from .listener import BACKLOG, open_listener
from .listening_socket import ACCEPT_PAUSE_MS, CLOSED_ERRORS, ListeningSocket
from .memory import MemoryBudget
from .messages import Request
from .request_reader import BODY_BUDGET_BYTES, ServerLimits

MAX_BUFFERED_BODY_BYTES = 64 << 20
BUFFERED_BODY_BUDGET_BYTES = 64 << 20
"""Memory limits for one completely buffered body and for all bodies of a server."""

EXHAUSTED_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""Errors of an accept that has no descriptor or memory left, maybe for a moment."""

MAX_ACCEPT_PAUSES = 4
"""How often a stop waits for ``ACCEPT_PAUSE_MS`` after such an error."""

MAX_FAILED_ACCEPTS = 2 * BACKLOG
"""Each other failed accept takes one connection off the queue."""

PARTIAL_REQUEST_WAIT_MS = 2000.0
"""How long a planned stop waits for a request that has arrived in part."""

FIRST_REQUEST_WAIT_MS = 250.0
"""How long a planned stop waits for the first request of a connection.

The caller opened it to send one, and had no earlier response on it that could announce
the stop."""


def _log_internal_error(kind: ErrorKind, detail: str, peer: str) -> None:
    """Log internal errors; other rejections are caused by the caller."""
    if kind is ErrorKind.INTERNAL_ERROR:
        text = "event=request_rejected kind=%s detail=%r peer=%s"
        logging.getLogger(__name__).error(text, kind.value, detail, peer)


def _log_failed_connection(peer: str, error: BaseException) -> None:
    text = "event=connection_failed peer=%s detail=%r"
    logging.getLogger(__name__).error(text, peer, error)


def _log_failed_step(step: str, error: BaseException) -> None:
    text = "event=stop_step_failed step=%s detail=%r"
    logging.getLogger(__name__).error(text, step, error)


def _ignore_unanswered(request: Request, reason: str) -> None:
    """Only count requests without a response."""


def _never_concurrent(request: Request) -> bool:
    return False


class HttpServer:
    """Serves one listening address.

    A planned stop calls ``announce_stop``, which sends ``Connection: close`` with the
    last response of each connection, then ``stop``, which closes the listener and the
    idle connections, then ``wait_idle``, which returns when all others have ended.
    """

    connection_class = CallerConnection

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int = 1 << 20,
        limits: Callable[[], ServerLimits] | None = None,
        on_rejected: OnRejected = _log_internal_error,
        allows_concurrency: Callable[[Request], bool] = _never_concurrent,
        window_bytes: int | None = None,
        is_permitted: Callable[[str], bool] | None = None,
        budget: MemoryBudget | None = None,
        on_unanswered: OnUnanswered = _ignore_unanswered,
        outputs: CallerOutputs | None = None,
    ) -> None:
        """Create a server; ``limits`` returns the limits in force.

        It is called several times for each request, so that a change counts for the
        connections that are open.

        Connections from addresses for which ``is_permitted`` is false are closed at
        once. ``budget`` limits the memory of bodies together with other servers, and
        ``outputs`` what callers have yet to take.

        With ``window_bytes``, the handler gets longer bodies in parts
        (``Request.read_remaining_body``); otherwise each body is buffered completely.

        ``allows_concurrency`` returns whether a request may be handled concurrently
        with earlier ones of its connection.
        """
        default_limits = ServerLimits(max_body_bytes)
        self._limits = limits or (lambda: default_limits)
        self._shared = SharedState(
            handler,
            allows_concurrency,
            on_rejected,
            on_unanswered,
            budget
            or MemoryBudget(
                BODY_BUDGET_BYTES if window_bytes else BUFFERED_BODY_BUDGET_BYTES
            ),
            window_bytes or MAX_BUFFERED_BODY_BYTES,
            outputs or CallerOutputs(),
        )
        self._is_permitted = is_permitted
        self._connections: set[CallerConnection] = set()
        self._accept_task: curio.Task | None = None
        self._listening_socket: sockets.socket | None = None

    @property
    def n_in_flight(self) -> int:
        """The number of requests that were read and whose response is pending."""
        return self._shared.n_in_flight

    @property
    def counts(self) -> ConnectionCounts:
        """The connections and requests since the start."""
        return self._shared.counts

    @property
    def n_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    async def start(self, host: str, port: int) -> int:
        """Listen on the address and return the port; 0 lets the kernel choose one."""
        return await self.start_on(open_listener(host, port))

    async def start_on(self, listener: sockets.socket) -> int:
        """Serve a socket that is already listening, and return its port."""
        self._listening_socket = listener
        self._accept_task = await curio.spawn(
            self._accept, ListeningSocket(listener), daemon=True
        )
        return int(listener.getsockname()[1])

    def announce_stop(self) -> None:
        """Close each connection after the next response that leaves no request pending.

        New connections are still accepted.
        """
        self._shared.is_stopping = True

    async def stop(self) -> None:
        """Close the listener and the idle connections; refuse further requests.

        A connection in the kernel's accept queue may carry a request, so it is
        accepted first and given ``FIRST_REQUEST_WAIT_MS`` to send it.

        What one connection or the listener raises is logged, and costs no other
        connection its response. A connection that can't be closed stays open, and
        its next request is refused.
        """
        self._shared.is_stopping = True
        if self._accept_task is not None and self._listening_socket is not None:
            # Other tasks run until the task has ended, and the loop may be late, so
            # nothing is waited for between the last accept and the close.
            listener = self._listening_socket
            cancel = self._accept_task.cancel
            await run_step("stop_accepting", _log_failed_step, cancel)
            await run_step(
                "accept_queued", _log_failed_step, self._accept_queued, listener
            )
            await run_step("close_listener", _log_failed_step, listener.close)
        self._shared.has_stopped = True
        for connection in list(self._connections):
            if connection.is_new:
                await curio.spawn(self._close_new_if_idle, connection, daemon=True)
            else:
                await self._close_if_idle(connection)

    async def _close_if_idle(self, connection: CallerConnection) -> None:
        await run_step("close_if_idle", _log_failed_step, connection.close_if_idle)

    async def _close_new_if_idle(self, connection: CallerConnection) -> None:
        await curio.sleep(FIRST_REQUEST_WAIT_MS / 1000)
        if connection in self._connections:
            await self._close_if_idle(connection)

    async def wait_idle(self) -> None:
        """Return when no request is in flight and no response in transit.

        A request that is still arriving, or lies unread, is waited for as well, but
        only for ``PARTIAL_REQUEST_WAIT_MS``, so that a caller that stops sending can't
        delay the stop. A process that ended before a closing connection has taken in
        what its caller still sends would reset it.
        """
        async with curio.ignore_after(PARTIAL_REQUEST_WAIT_MS / 1000):
            while self._connections:
                await curio.sleep(0.005)
        while self.n_in_flight or any(c.is_closing for c in self._connections):
            await curio.sleep(0.005)

    async def close_all(self) -> None:
        """Cancel the connections that are still open, at the end of a stop.

        Requests without a response are reported, while the log can still be written.
        """
        for connection in list(self._connections):
            await run_step("close_connection", _log_failed_step, connection.cancel)

    async def _accept(self, sock: Socket) -> None:
        while True:
            client, address = await sock.accept()
            await self._start_connection(client, address[0])

    async def _accept_queued(self, listening_socket: sockets.socket) -> None:
        """Accept the connections that wait in the kernel's accept queue."""
        n_failures = n_pauses = 0
        while n_failures < MAX_FAILED_ACCEPTS:
            try:
                client, address = listening_socket.accept()
            except BlockingIOError:
                return
            except Exception as error:
                number = error.errno if isinstance(error, OSError) else None
                if number in EXHAUSTED_ERRORS and n_pauses < MAX_ACCEPT_PAUSES:
                    n_pauses += 1
                    await curio.sleep(ACCEPT_PAUSE_MS / 1000)
                elif number in (*EXHAUSTED_ERRORS, *CLOSED_ERRORS):
                    raise
                n_failures += 1
                continue
            await self._start_queued(client, address[0])

    async def _start_queued(self, client: sockets.socket, peer: str) -> None:
        try:
            sock = Socket(client)
        except Exception as error:
            _log_failed_connection(peer, error)
            client.close()
            return
        await self._start_connection(sock, peer)

    async def _start_connection(self, client: Socket, peer: str) -> None:
        """Serve an accepted connection; an error ends it, and not the accepting."""
        try:
            await self._spawn_connection(client, peer)
        except Exception as error:
            _log_failed_connection(peer, error)
            with contextlib.suppress(OSError):
                await client.close()

    async def _spawn_connection(self, client: Socket, peer: str) -> None:
        if self._is_permitted is not None and not self._is_permitted(peer):
            await client.close()
            return
        self._shared.counts.n_accepted += 1
        client.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        connection = self.connection_class(client, peer, self._shared, self._limits)
        # Added before its task runs, so that a stop waits for it.
        self._connections.add(connection)
        await curio.spawn(self._serve, connection, daemon=True)

    async def _serve(self, connection: CallerConnection) -> None:
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
