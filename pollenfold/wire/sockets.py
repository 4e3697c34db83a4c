"""The sockets that all processes use: any task may close one that others wait on.

Curio keeps the registration of a task's last wait on one of its own sockets until the
task waits again, and finds registrations by descriptor number. A socket that is closed
in between ends the event loop, or takes the wait of a connection that got its number.
Here a registration exists only while a task is suspended in a wait, and ``close``
removes those that exist before it closes the descriptor.
"""

from __future__ import annotations

import errno
import os
import socket as sockets
from typing import Any, Self

from curio.errors import CancelledError, ReadResourceBusy, WriteResourceBusy
from curio.traps import _io_waiting, _read_wait, _scheduler_wake, _write_wait

_NOT_READY = (BlockingIOError, InterruptedError)


class SocketBusyError(OSError):
    """Another task already waits for the same direction of the socket."""

    def __init__(self, direction: str, descriptor: int) -> None:
        super().__init__(
            errno.EBUSY, f"two tasks wait to {direction} on descriptor {descriptor}"
        )


class Socket:
    """A non-blocking socket, owned by the task that closes it.

    One task may read while another writes. ``close``, also by leaving ``async with``,
    may come from any task at any time: it ends the waits of the others with
    ConnectionAbortedError. Afterwards ``fileno`` returns -1 and every operation raises
    OSError; closing again does nothing. For example::

        async with Socket(raw) as sock:
            await sock.sendall(b"ping")
            data = await sock.recv(64)
    """

    __slots__ = ("_socket", "n_written_bytes")

    def __init__(self, raw: sockets.socket) -> None:
        raw.setblocking(False)
        self._socket = raw
        self.n_written_bytes = 0
        """The bytes that the kernel has taken from ``send`` and ``sendall``."""

    def __repr__(self) -> str:
        return f"<Socket {self._socket!r}>"

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    # Without waiting

    def fileno(self) -> int:
        """Return the descriptor, or -1 once the socket is closed."""
        return self._socket.fileno()

    def bind(self, address: Any) -> None:
        """Bind the socket to an address."""
        self._socket.bind(address)

    def getsockname(self) -> Any:
        """Return the local address."""
        return self._socket.getsockname()

    def getpeername(self) -> Any:
        """Return the address of the peer."""
        return self._socket.getpeername()

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Set an option of the socket."""
        self._socket.setsockopt(level, option, value)

    def getsockopt(self, level: int, option: int) -> int:
        """Return an option of the socket."""
        return self._socket.getsockopt(level, option)

    def send_nowait(self, data: bytes | bytearray | memoryview) -> int:
        """Write what the kernel takes now; raise BlockingIOError if that is nothing."""
        return self._socket.send(data)

    def shutdown_nowait(self, how: int) -> None:
        """Close one or both directions of the connection, and keep the descriptor."""
        self._socket.shutdown(how)

    # With waiting

    async def wait_readable(self) -> None:
        """Wait for bytes, the end of the stream, an error or a connection."""
        try:
            await _read_wait(self._open_descriptor())
        except ReadResourceBusy:
            raise SocketBusyError("read", self.fileno()) from None

    async def wait_writable(self) -> None:
        """Wait until bytes can be written, or a connection is open or has failed."""
        try:
            await _write_wait(self._open_descriptor())
        except WriteResourceBusy:
            raise SocketBusyError("write", self.fileno()) from None

    async def recv(self, max_bytes: int) -> bytes:
        """Return the next bytes, or ``b""`` at the end of the stream."""
        while True:
            try:
                return self._socket.recv(max_bytes)
            except _NOT_READY:
                await self.wait_readable()

    async def send(self, data: bytes | bytearray | memoryview) -> int:
        """Write at least one byte of the data; return the number written."""
        while True:
            try:
                n_bytes = self._socket.send(data)
            except _NOT_READY:
                await self.wait_writable()
            else:
                self.n_written_bytes += n_bytes
                return n_bytes

    async def sendall(self, data: bytes | bytearray | memoryview) -> None:
        """Write all of the data; a CancelledError tells how much as ``bytes_sent``."""
        n_sent_bytes = 0
        with memoryview(data).cast("B") as view:
            try:
                while n_sent_bytes < len(view):
                    n_sent_bytes += await self.send(view[n_sent_bytes:])
            except CancelledError as error:
                error.bytes_sent = n_sent_bytes
                raise

    async def accept(self) -> tuple[Socket, Any]:
        """Return the next connection of a listening socket, and its peer's address."""
        while True:
            try:
                client, address = self._socket.accept()
            except _NOT_READY:
                await self.wait_readable()
            else:
                return Socket(client), address

    async def connect(self, address: Any) -> None:
        """Connect to an address; raise OSError if that fails."""
        code = self._socket.connect_ex(address)
        if code == errno.EINPROGRESS:
            await self.wait_writable()
            code = self._socket.getsockopt(sockets.SOL_SOCKET, sockets.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))

    async def shutdown(self, how: int) -> None:
        """Close one or both directions of the connection, and keep the descriptor."""
        self._socket.shutdown(how)

    async def close(self) -> None:
        """Close the socket and end the waits of other tasks; never waits itself."""
        descriptor = self._socket.fileno()
        if descriptor < 0:
            return
        tasks = [task for task in await _io_waiting(descriptor) if task is not None]
        await _scheduler_wake(_AbortedWaits(tasks), len(tasks))
        self._socket.close()

    def _open_descriptor(self) -> int:
        """Return the descriptor number; curio keeps no registration of one."""
        descriptor = self._socket.fileno()
        if descriptor < 0:
            raise _closed_error()
        return descriptor


class _AbortedWaits:
    """Ends the waits of tasks, in the form of a scheduling primitive of curio.

    A cancellation would be noted on the tasks, undo their timeouts, and not reach those
    that have disabled it.
    """

    def __init__(self, tasks: list[Any]) -> None:
        self._tasks = tasks

    def _kernel_wake(self, n_tasks: int) -> list[Any]:
        """Remove the registrations of the tasks; return the tasks to run."""
        for task in self._tasks:
            task.cancel_func()
            task._trap_result = _closed_error()
        return self._tasks


def _closed_error() -> OSError:
    return ConnectionAbortedError(errno.ECONNABORTED, "the socket was closed")
