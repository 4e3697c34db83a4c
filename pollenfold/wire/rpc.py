"""RPC between processes over one multiplexed TCP connection for each peer."""

from __future__ import annotations

import contextlib
import socket as sockets
from collections.abc import Awaitable, Callable

import curio
from expression import Error, Ok, Result
from loguru import logger

from ..core.errors import ErrorKind, Failure
from ..http.listener import open_listener
from ..http.listening_socket import ListeningSocket
from .connections import open_connection
from .frames import HEADER_BYTES, Flag, Header, Protocol, decode_header, encode_frame
from .pace import ReadingPace
from .receive_buffers import receive_buffers
from .sockets import Socket

MAX_PENDING_REQUESTS = 256
"""Requests of one connection that are handled at the same time. Until one of them is
answered, no further one is read, so a peer that reads no responses can't make this
process keep them without limit."""

LINGER_MS = 500.0
"""How long a stopped connection still discards what its peer is sending.

Closing a socket with unread bytes resets the connection, and the reset may reach the
peer before the last response does."""

STOP_POLL_MS = 5.0

Handler = Callable[[bytes], Awaitable[bytes]]
"""Processes a request payload and returns the response payload."""


async def _receive_exactly(sock: Socket, n_bytes: int) -> bytes | None:
    """Return exactly ``n_bytes``, or None when the peer closed the connection."""
    chunks = []
    while n_bytes:
        chunk = await sock.recv(n_bytes)
        if not chunk:
            return None
        chunks.append(chunk)
        n_bytes -= len(chunk)
    return b"".join(chunks)


async def receive_frame(
    sock: Socket,
) -> Result[tuple[Header, bytes], Failure]:
    """Receive one frame.

    A closed connection gives ``UNREACHABLE`` and a malformed frame ``BAD_FRAME``.
    """
    header_bytes = await _receive_exactly(sock, HEADER_BYTES)
    if header_bytes is None:
        return Error(Failure(ErrorKind.UNREACHABLE, "connection closed"))
    header = decode_header(header_bytes)
    if header.is_error():
        return Error(header.error)
    receive_buffers.grow_for(sock, header.ok.n_payload_bytes)
    payload = await _receive_exactly(sock, header.ok.n_payload_bytes)
    if payload is None:
        return Error(Failure(ErrorKind.UNREACHABLE, "connection closed within a frame"))
    return Ok((header.ok, payload))


class RpcServer:
    """Handles requests from other processes of the system.

    ``handlers`` maps a protocol to the coroutine function that handles its requests.
    The response is an error frame when the protocol has no handler or the handler
    raises an exception. A malformed frame closes the connection.
    """

    def __init__(self, handlers: dict[Protocol, Handler]) -> None:
        self._handlers = handlers
        self._connections: dict[curio.Task, set[curio.Task]] = {}
        """For the task that reads the requests of a connection, those that handle
        them."""

        self._is_stopping = False

    async def serve(self, host: str, port: int) -> None:
        """Listen on the address until cancelled."""
        await self.serve_on(open_listener(host, port))

    async def serve_on(self, listener: sockets.socket) -> None:
        """Serve a socket that is already listening, until cancelled."""
        await curio.network.run_server(ListeningSocket(listener), self.handle)

    async def stop(self, timeout_ms: float) -> int:
        """Answer the requests that were read, and close all connections.

        Nothing more is read, also from connections that are accepted meanwhile. Return
        the number of requests that have no response after ``timeout_ms``.
        """
        self._is_stopping = True
        for reader in list(self._connections):
            await reader.cancel(blocking=False)
        async with curio.ignore_after(timeout_ms / 1000):
            while self._connections:
                await curio.sleep(STOP_POLL_MS / 1000)
        return sum(map(len, self._connections.values()))

    async def handle(self, client: Socket, address: tuple[str, int]) -> None:
        """Handle all requests of one connection concurrently."""
        if self._is_stopping:
            return
        client.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        # A task group would hold every finished task until the connection ends.
        tasks: set[curio.Task] = set()
        # A task of its own, so that a stop can end the reading and not the handling.
        reader = await curio.spawn(
            self._read_requests, client, address, tasks, daemon=True
        )
        self._connections[reader] = tasks
        try:
            await reader.wait()
            if self._is_stopping:
                await self._finish(client, tasks)
        finally:
            await reader.cancel()
            del self._connections[reader]
            for task in list(tasks):
                await task.cancel()

    async def _finish(self, client: Socket, tasks: set[curio.Task]) -> None:
        """Wait until all requests are answered and the peer has the responses."""
        while tasks:
            await curio.sleep(STOP_POLL_MS / 1000)
        with contextlib.suppress(OSError):
            await client.shutdown(sockets.SHUT_WR)
            async with curio.ignore_after(LINGER_MS / 1000):
                while await client.recv(64 * 1024):
                    # Reading what is ready never waits, so the timeout couldn't end it.
                    await curio.sleep(0)

    async def _read_requests(
        self,
        client: Socket,
        address: tuple[str, int],
        tasks: set[curio.Task],
    ) -> None:
        write_lock = curio.Lock()
        slots = curio.Semaphore(MAX_PENDING_REQUESTS)
        pace = ReadingPace()
        while True:
            pace.pause()
            await slots.acquire()
            try:
                frame = await receive_frame(client)
            except OSError:
                return
            if frame.is_error():
                if frame.error.kind is ErrorKind.BAD_FRAME:
                    logger.warning(
                        "event=bad_frame peer={} detail={!r}",
                        address[0],
                        frame.error.detail,
                    )
                return
            if pace.resume(len(frame.ok[1])) or pace.is_step_over():
                await pace.give_way()
            task = await curio.spawn(
                self._run_request_task,
                tasks,
                slots,
                client,
                write_lock,
                *frame.ok,
                daemon=True,
            )
            if not task.terminated:
                tasks.add(task)

    async def _run_request_task(
        self,
        tasks: set[curio.Task],
        slots: curio.Semaphore,
        client: Socket,
        write_lock: curio.Lock,
        header: Header,
        payload: bytes,
    ) -> None:
        try:
            await self._handle_request(client, write_lock, header, payload)
        finally:
            tasks.discard(await curio.current_task())
            await slots.release()

    async def _handle_request(
        self,
        client: Socket,
        write_lock: curio.Lock,
        header: Header,
        payload: bytes,
    ) -> None:
        handler = self._handlers.get(header.protocol)
        try:
            if handler is None:
                raise LookupError(f"no handler for protocol {header.protocol.name}")
            response_payload = await handler(payload)
            frame = encode_frame(
                header.protocol, Flag.RESPONSE, header.request_id, response_payload
            )
        except curio.CancelledError:
            raise
        except Exception as error:
            logger.warning(
                "event=rpc_failed protocol={} error={!r}", header.protocol.name, error
            )
            frame = encode_frame(header.protocol, Flag.ERROR, header.request_id, b"")
        try:
            async with write_lock:
                await client.sendall(frame)
        except OSError:
            return


class _PendingCall:
    """The response to one call, set at most once; None means that the call failed."""

    __slots__ = ("_event", "_body", "sock")

    def __init__(self) -> None:
        self.sock: Socket | None = None
        """The connection on which the request was sent."""

        self._event = curio.Event()
        self._body: bytes | None = None

    async def set(self, body: bytes | None) -> None:
        if not self._event.is_set():
            self._body = body
            await self._event.set()

    async def get(self) -> bytes | None:
        await self._event.wait()
        return self._body


class RpcClient:
    """Calls one peer over one connection, which is opened and reopened on demand.

    For example, ``await RpcClient("127.0.0.1", 7000).call(Protocol.LEASE, b"", 50)``
    returns ``Ok(bytes)``, or ``Error(ErrorKind.UNREACHABLE)`` after at most 50 ms.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._sock: Socket | None = None
        self._receive_task: curio.Task | None = None
        self._connect_lock = curio.Lock()
        self._write_lock = curio.Lock()
        self._pending_calls: dict[int, _PendingCall] = {}
        self._next_id = 0
        self._closes_when_idle = False

    async def call(
        self, protocol: Protocol, payload: bytes, timeout_ms: float
    ) -> Result[bytes, ErrorKind]:
        """Send one request and wait for its response.

        A timeout, a lost connection or a failed handler gives ``UNREACHABLE``; the
        peer may or may not have handled the request.
        """
        self._next_id = (self._next_id + 1) & 0xFFFFFFFF
        request_id = self._next_id
        pending = _PendingCall()
        self._pending_calls[request_id] = pending
        try:
            async with curio.timeout_after(timeout_ms / 1000):
                frame = encode_frame(protocol, Flag.REQUEST, request_id, payload)
                async with self._write_lock:
                    pending.sock = await self._ensure_connected()
                    await self._send(pending.sock, frame)
                body = await pending.get()
        except curio.TaskTimeout:
            return Error(ErrorKind.UNREACHABLE)
        except OSError:
            await self._disconnect()
            return Error(ErrorKind.UNREACHABLE)
        finally:
            self._pending_calls.pop(request_id, None)
            if self._closes_when_idle and not self._pending_calls:
                await self._disconnect()
        return Error(ErrorKind.UNREACHABLE) if body is None else Ok(body)

    async def close_when_idle(self) -> None:
        """Close the connection once no call waits for a response; start no other."""
        self._closes_when_idle = True
        if not self._pending_calls:
            await self._disconnect()

    async def close(self) -> None:
        """Close the connection; calls in progress give ``UNREACHABLE``."""
        await self._disconnect()

    async def _ensure_connected(self) -> Socket:
        async with self._connect_lock:
            if self._sock is None:
                sock = await open_connection(self.host, self.port)
                self._sock = sock
                self._receive_task = await curio.spawn(
                    self._receive_responses, sock, daemon=True
                )
            return self._sock

    async def _send(self, sock: Socket, frame: bytes) -> None:
        try:
            await sock.sendall(frame)
        except curio.CancelledError:
            # The frame may be partly sent; the peer would read the start of the
            # next frame as the remainder of this one.
            if self._sock is sock:
                await self._disconnect()
            raise

    async def _disconnect(self) -> None:
        sock, receive_task = self._sock, self._receive_task
        self._sock = None
        self._receive_task = None
        if receive_task is not None and receive_task is not await curio.current_task():
            await receive_task.cancel()
        if sock is None:
            return
        await sock.close()
        # A call that waits for its turn is sent on the next connection.
        for pending in list(self._pending_calls.values()):
            if pending.sock is sock:
                await pending.set(None)

    async def _receive_responses(self, sock: Socket) -> None:
        while True:
            try:
                frame = await receive_frame(sock)
            except OSError:
                break
            if frame.is_error():
                break
            header, payload = frame.ok
            pending = self._pending_calls.get(header.request_id)
            if pending is not None:
                await pending.set(payload if header.flag is Flag.RESPONSE else None)
        if self._sock is sock:
            await self._disconnect()
