"""Connections at a planned stop, with the kernel's sockets and a loop that is late.

Closing a socket with unread bytes resets the connection. So a caller that sees an
orderly end and no response knows that its request was read and not answered.
"""

import time

import curio
import pytest

from pollenfold.http import caller
from pollenfold.tests.http.test_pipeline import GET, POST, Service

LATE_S = 0.3
"""How long a task keeps the loop from running."""

RESET = b"reset"
UNANSWERED = b"read, but not answered"


async def connect_kept(service):
    """Return a connection on which one request was answered."""
    sock = await service.connect()
    await sock.sendall(GET % b"first")
    await read_response(sock)
    return sock


async def read_response(sock):
    """Return one response, or how the connection ended without one."""
    data = b""
    async with curio.timeout_after(5):
        try:
            while b"\r\n\r\n" not in data:
                if not (piece := await sock.recv(65536)):
                    return UNANSWERED
                data += piece
        except ConnectionResetError:
            return RESET
    return data


def send_after_look(monkeypatch, sock, data):
    """Send data right after the server looked for unread bytes on its connections."""
    is_readable = caller.is_readable

    def look_and_send(descriptor):
        was_readable = is_readable(descriptor)
        monkeypatch.setattr(caller, "is_readable", is_readable)
        sock._socket.send(data)
        time.sleep(LATE_S)
        return was_readable

    monkeypatch.setattr(caller, "is_readable", look_and_send)


def is_refusal(response):
    return (
        response.startswith(b"HTTP/1.1 503")
        and b"connection: close" in response.lower()
        and b"pollenfold-run-state: did_not_run" in response
    )


@pytest.mark.parametrize("method", [GET, POST])
def test_request_that_crosses_the_close_is_unread_or_refused(run, monkeypatch, method):
    """Guards against a request that arrives after the stop looked for unread bytes, is
    read nevertheless, and ends without a response once a late loop closes."""

    async def main():
        service = Service()
        async with await connect_kept(service) as sock:
            send_after_look(monkeypatch, sock, method % b"crossing")
            await service.server.stop()
            response = await read_response(sock)
            assert response == RESET or is_refusal(response), response
        assert service.started == ["first"]

    run(main)
