"""Opens the listening socket of a server before its other modules are loaded."""

from __future__ import annotations

import socket

BACKLOG = 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket; raise OSError when the address is in use.

    Connections that arrive from now on wait in the backlog. Loading the modules takes
    half a second on a small VM; without a listener, connections would be refused
    during that time, and each refusal costs a caller one of its few attempts.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
