"""Connections to addresses that can't be used."""

import socket

import curio
import pytest

from pollenfold.core.link import Link
from pollenfold.gateway.backend import BackendConnection
from pollenfold.wire.connections import open_connection

UNUSABLE = [
    ("127.0.0.1", 70_000),
    ("127.0.0.1", 10**400),
    ("127.0.0.1", 0),
    ("10.0.0\0.1", 80),
    ("x" * 70 + ".example", 80),
    ("a.example", 80),
]
IDS = ["port", "large_port", "port_0", "null", "long_label", "host_name"]


@pytest.mark.parametrize(("host", "port"), UNUSABLE, ids=IDS)
def test_connection_to_an_unusable_address_fails_as_any_other(host, port):
    """Guards against an error that no caller handles, which ended requests with 500 or
    the task of a feed, and against a name lookup that blocks the event loop."""
    with pytest.raises(OSError, match="expected an IP address and a port"):
        BackendConnection(host, port, Link())
    with pytest.raises(OSError, match="expected an IP address and a port"):
        curio.run(open_connection, host, port)


def test_connection_to_an_ipv6_address():
    """Guards against a server that announces an IPv6 address and gets no request."""

    async def main():
        with socket.socket(socket.AF_INET6) as listener:
            listener.bind(("::1", 0))
            listener.listen()
            port = listener.getsockname()[1]
            connection = BackendConnection("::1", port, Link())
            async with curio.timeout_after(2):
                await connection.wait_until_connected()
            assert connection.is_connected
            await connection.close()

    curio.run(main)
