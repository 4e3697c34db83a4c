"""Tests of the HTTP client of operators, announcements and the own interface."""

import curio
import pytest

from pollenfold.http.client import ExchangeFailure, HttpConnection
from pollenfold.tests.http.status_lines import (
    INVALID_STATUS_LINES,
    VALID_STATUS_LINES,
    signed_head,
)

HEADERS = [(b"host", b"h.example")]


async def exchange(response):
    """Return the result of an exchange with a server that sends ``response``."""

    async def serve(client, address):
        async with client:
            await client.recv(65536)
            await client.sendall(response)

    sock = curio.tcp_server_socket("127.0.0.1", 0)
    server = await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
    connection = await HttpConnection.open("127.0.0.1", sock.getsockname()[1])
    try:
        result = await connection.exchange(b"POST", b"/x", HEADERS, b"x", 1_000)
        return result, connection.is_reusable
    finally:
        await connection.close()
        await server.cancel()


@pytest.mark.parametrize("status_line", INVALID_STATUS_LINES)
def test_invalid_status_fails_the_exchange(run, status_line):
    """Guards against an invalid answer that an operator or a caller gets."""

    async def main():
        result, is_reusable = await exchange(signed_head(status_line))
        assert result.is_error()
        assert result.error is ExchangeFailure.BAD_RESPONSE
        assert not is_reusable

    run(main)


@pytest.mark.parametrize(("status_line", "status"), VALID_STATUS_LINES)
def test_valid_status_is_returned(run, status_line, status):
    """Guards against a check that refuses what the protocol allows."""

    async def main():
        result, _ = await exchange(signed_head(status_line))
        assert result.ok.status == status

    run(main)
