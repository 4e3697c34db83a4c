"""Opens TCP connections by IP address."""

from __future__ import annotations

import ipaddress

from curio import socket


async def open_connection(host: str, port: int) -> socket.socket:
    """Connect to an IP address; raise OSError when it can't be reached.

    ``curio.open_connection`` resolves host names in a worker thread. IP addresses
    need no name resolution, so this function uses no thread.
    """
    is_ipv6 = ":" in host and ipaddress.ip_address(host).version == 6
    sock = socket.socket(socket.AF_INET6 if is_ipv6 else socket.AF_INET)
    try:
        await sock.connect((host, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        await sock.close()
        raise
    return sock
