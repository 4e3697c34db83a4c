"""Opens TCP connections by IP address."""

from __future__ import annotations

import contextlib
import errno
import socket as sockets
from ipaddress import ip_address

from ..core.input_limits import is_port
from .receive_buffers import receive_buffers
from .sockets import Socket


def address_family(host: str, port: int) -> int:
    """Return the address family of an IP address, as needed to create a socket.

    Raise OSError if a connection to host and port is impossible. The socket module
    would raise OverflowError, ValueError or TypeError for some of these, and would
    block to resolve a host name.
    """
    try:
        version = ip_address(host).version
    except ValueError:
        version = 0
    if not version or not is_port(port):
        raise OSError(
            errno.EINVAL, f"expected an IP address and a port, got {host!r:.80} {port}"
        )
    return sockets.AF_INET6 if version == 6 else sockets.AF_INET


async def open_connection(host: str, port: int, source_host: str = "") -> Socket:
    """Connect to an IP address; raise OSError when it can't be reached.

    The connection comes from ``source_host`` if that is an address of this VM.

    ``curio.open_connection`` resolves host names in a worker thread. IP addresses
    need no name resolution, so this function uses no thread.
    """
    sock = Socket(sockets.socket(address_family(host, port), sockets.SOCK_STREAM))
    try:
        receive_buffers.limit(sock)
        if source_host:
            bind_source(sock, source_host)
        await sock.connect((host, port))
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
    except BaseException:
        await sock.close()
        raise
    return sock


def bind_source(sock: Socket | sockets.socket, source_host: str) -> None:
    """Let a connection come from an address, if it belongs to this VM.

    A VM with several addresses would otherwise choose one by the route, and the other
    side couldn't tell by the address which process connects.
    """
    with contextlib.suppress(OSError):
        sock.bind((source_host, 0))
