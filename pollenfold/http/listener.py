"""Opens the listening socket of a server before its other modules are loaded."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable

from ..core.clock import add_ms
from ..observe.clock import system_clock
from ..wire.receive_buffers import receive_buffers

BACKLOG = 1024

BUSY_WAIT_MS = 2_000.0
"""How long a starting process waits for a port that is in use.

The process that it replaces may still be closing its sockets."""

BUSY_POLL_MS = 20.0


def open_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket; raise OSError when the address is in use.

    Connections that arrive from now on wait in the backlog. Loading the modules takes
    half a second on a small VM; without a listener, connections would be refused
    during that time, and each refusal costs a caller one of its few attempts.
    """
    sock = _bind(host, port)
    try:
        start_listening(sock)
    except OSError:
        sock.close()
        raise
    return sock


def _bind(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        receive_buffers.limit(sock)
        sock.bind((host, port))
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def _reserve(host: str, port: int) -> socket.socket:
    """Bind an address so that no other process can bind it.

    Linux lets two sockets that allow reuse bind one address while neither listens.
    Reuse is needed for the bind only, because of connections of an earlier process.
    """
    sock = _bind(host, port)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
    return sock


def start_listening(sock: socket.socket) -> None:
    """Accept connections on a socket that ``reserve_when_free`` returned.

    Connections inherit the option, with which a process that is started while they
    are still open can bind their address.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.listen(BACKLOG)


def _go_on() -> None:
    """Wait on, whatever happens."""


def reserve_when_free(
    host: str, port: int, check: Callable[[], None] = _go_on
) -> socket.socket:
    """Return a socket with the address, which accepts no connection yet.

    A process reserves all addresses that it needs before it listens on any: one that
    lacks an address ends, and would reset the connections that it had accepted.

    Wait up to ``BUSY_WAIT_MS`` while the port is in use, and raise OSError with the
    address if it stays so. The wait blocks, so this is only for a process that serves
    nothing yet. ``check`` is called before each attempt and may raise an exception to
    end the wait.
    """
    deadline = add_ms(system_clock(), BUSY_WAIT_MS)
    while True:
        check()
        try:
            return _reserve(host, port)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or system_clock() >= deadline:
                detail = f"can't listen on {host}:{port}: {error.strerror}"
                raise OSError(error.errno, detail) from error
        time.sleep(BUSY_POLL_MS / 1000)
