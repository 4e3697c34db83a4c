"""Listening sockets for servers that tests start without their daemon."""

from __future__ import annotations

from ..http.listener import open_listener
from ..http.listening_socket import ListeningSocket


def listening_socket(host: str = "127.0.0.1", port: int = 0) -> ListeningSocket:
    """Return a socket that listens as those of the daemons do."""
    return ListeningSocket(open_listener(host, port))
