"""Opens TCP connections by IP address."""

from __future__ import annotations

import errno
from ipaddress import ip_address

from curio import socket

from ..core.input_limits import is_port


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
    return socket.AF_INET6 if version == 6 else socket.AF_INET


async def open_connection(host: str, port: int) -> socket.socket:
    """Connect to an IP address; raise OSError when it can't be reached.

    ``curio.open_connection`` resolves host names in a worker thread. IP addresses
    need no name resolution, so this function uses no thread.
    """
    sock = socket.socket(address_family(host, port))
    try:
        await sock.connect((host, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        await sock.close()
        raise
    return sock
