"""Opens TCP connections by IP address."""

from __future__ import annotations

import contextlib
import ipaddress
import socket as sockets

from curio import socket


async def open_connection(host: str, port: int, source_host: str = "") -> socket.socket:
    """Connect to an IP address; raise OSError when it can't be reached.

    The connection comes from ``source_host`` if that is an address of this VM.

    ``curio.open_connection`` resolves host names in a worker thread. IP addresses
    need no name resolution, so this function uses no thread.
    """
    is_ipv6 = ":" in host and ipaddress.ip_address(host).version == 6
    sock = socket.socket(socket.AF_INET6 if is_ipv6 else socket.AF_INET)
    try:
        if source_host:
            bind_source(sock, source_host)
        await sock.connect((host, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        await sock.close()
        raise
    return sock


def bind_source(sock: socket.socket | sockets.socket, source_host: str) -> None:
    """Let a connection come from an address, if it belongs to this VM.

    A VM with several addresses would otherwise choose one by the route, and the other
    side couldn't tell by the address which process connects.
    """
    with contextlib.suppress(OSError):
        sock.bind((source_host, 0))
