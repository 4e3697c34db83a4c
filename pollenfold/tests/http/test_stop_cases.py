"""Connections at a planned stop, with the kernel's sockets and a loop that is late.

Closing a socket with unread bytes resets the connection. So a caller that sees an
orderly end and no response knows that its request was read and not answered.
"""

import socket
import time

import curio
import pytest

from pollenfold.http import caller, server
from pollenfold.http.caller import MAX_PIPELINED_REQUESTS
from pollenfold.http.socket_state import is_closed_by_peer
from pollenfold.tests.http.test_pipeline import (
    GET,
    POST,
    Service,
    read_all,
    wait_until,
)

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


@pytest.mark.parametrize("method", [GET, POST])
def test_all_pipelined_requests_after_the_stop_are_refused(run, method):
    """Guards against requests that were sent long before the connection ends, were
    read, and get no response since an earlier one was refused."""
    names = [b"late%d" % n for n in range(3 * MAX_PIPELINED_REQUESTS)]

    async def main():
        service = Service()
        service.hold("a")
        sock = await service.connect()
        await sock.sendall(GET % b"a")
        await wait_until(lambda: service.started == ["a"])
        await service.server.stop()
        await sock.sendall(b"".join(method % name for name in names))
        await curio.sleep(LATE_S)
        await service.gates["a"].set()
        _, data = await read_all(sock)
        assert data.count(b"HTTP/1.1 200") == 1
        assert data.count(b"HTTP/1.1 503") == len(names)
        assert data.count(b"pollenfold-run-state: did_not_run") == len(names)
        assert data.lower().count(b"connection: close") == 1
        assert data.lower().rindex(b"connection: close") > data.rindex(b"HTTP/1.1 503")
        assert service.started == ["a"]
        assert service.unanswered == []

    run(main)


def test_requests_that_arrived_before_the_last_response_are_answered(run):
    """Guards against a response that closes the connection of a stop while requests of
    its caller lie unread: they were sent before the caller could know of the close."""

    async def main():
        service = Service()
        sock = await service.connect()
        await sock.sendall(POST % b"a" + GET % b"b")
        service.hold("a")
        await wait_until(lambda: service.started == ["a"])
        service.server.announce_stop()
        await sock.sendall(POST % b"c")
        await curio.sleep(0.05)
        await service.gates["a"].set()
        bodies, data = await read_all(sock)
        assert bodies == ["a", "b", "c"]
        assert data.lower().count(b"connection: close") == 1

    run(main)


def test_drain_waits_for_requests_that_have_arrived_unread(run):
    """Guards against a process that ends between the arrival of a request and its
    response, since it looked only at requests that were already read."""

    async def main():
        service = Service()
        async with await connect_kept(service) as sock:
            # No task of the server runs between this send and the stop.
            sock._socket.send(GET % b"crossing")
            await service.server.stop()
            await service.server.wait_idle()
            assert service.server.n_connections == 0
            response = await read_response(sock)
        # The stop lets other tasks run before it refuses further requests.
        has_run = "crossing" in service.finished
        assert response.endswith(b"crossing") if has_run else is_refusal(response)

    run(main)


def test_drain_waits_for_connections_that_linger(run):
    """Guards against a process that ends while a caller still sends: the kernel resets
    the connection, and the reset overtakes the last response."""
    head = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2000000\r\n\r\n"

    async def send_on(sock):
        try:
            for _ in range(15):
                await sock.sendall(b"x" * 1000)
                await curio.sleep(0.02)
            await sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

    async def main():
        service = Service()
        async with await connect_kept(service) as sock:
            await sock.sendall(head)
            sender = await curio.spawn(send_on, sock)
            await curio.sleep(0.05)
            await service.server.stop()
            await service.server.wait_idle()
            assert sender.terminated
            assert service.server.n_connections == 0
            assert (await read_response(sock)).startswith(b"HTTP/1.1 413")
            await sender.join()

    run(main)


def test_drain_waits_a_bounded_time_for_a_request_that_does_not_come(run, monkeypatch):
    """Guards against a caller that delays a stop by sending a part of a request."""
    monkeypatch.setattr(server, "PARTIAL_REQUEST_WAIT_MS", 200.0)

    async def main():
        service = Service()
        async with await connect_kept(service) as sock:
            sock._socket.send(b"GET /part HTTP/1.1\r\n")
            async with curio.timeout_after(1.0):
                await service.server.stop()
                await service.server.wait_idle()

    run(main)


def test_stop_takes_connections_that_come_while_the_loop_is_late(run):
    """Guards against a connection that arrives after the stop emptied the accept
    queue, waits there while the loop is late, and is reset with its request."""

    async def connect_late(service, callers):
        sock = socket.create_connection(("127.0.0.1", service.port))
        callers.append(curio.io.Socket(sock))
        sock.send(POST % b"queued")
        time.sleep(LATE_S)

    async def main():
        service = Service()
        callers = []
        async with await connect_kept(service):
            # It runs when the stop first lets other tasks run.
            late = await curio.spawn(connect_late, service, callers)
            await service.server.stop()
            await late.join()
            async with callers[0] as sock:
                assert (await read_response(sock)).endswith(b"queued")
        assert service.server.counts.n_accepted == 2

    run(main)


@pytest.mark.parametrize("after_ms", [240.0, 245.0, 250.0, 255.0, 260.0])
@pytest.mark.parametrize("late_s", [0.0, LATE_S])
def test_first_request_at_the_end_of_its_wait_is_unread_or_answered(
    run, after_ms, late_s
):
    """Guards against a first request that is read when the wait for it is over, and
    ends without a response."""

    async def main():
        service = Service()
        async with await service.connect() as sock:
            await wait_until(lambda: service.server.n_connections == 1)
            await service.server.stop()
            await curio.sleep(after_ms / 1000)
            if is_closed_by_peer(sock.fileno()):
                # The caller sees the end before it sends.
                return
            sock._socket.send(POST % b"first")
            time.sleep(late_s)
            response = await read_response(sock)
            assert response == RESET or response.endswith(b"first"), response
        assert service.unanswered == []

    run(main)


@pytest.mark.parametrize("is_kept", [False, True])
def test_request_that_waits_to_send_its_body_is_answered(run, is_kept):
    """Guards against a stop that drops a request whose caller waits for 100 Continue,
    or whose body is still on its way."""
    head = b"POST /body HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n"

    async def main():
        service = Service()
        connect = connect_kept(service) if is_kept else service.connect()
        async with await connect as sock:
            await sock.sendall(head + b"expect: 100-continue\r\n\r\n")
            assert (await read_response(sock)).startswith(b"HTTP/1.1 100")
            await service.server.stop()
            idle = await curio.spawn(service.server.wait_idle)
            await sock.sendall(b"ab")
            await curio.sleep(LATE_S)
            await sock.sendall(b"cd")
            await idle.join()
            response = await read_response(sock)
            assert is_refusal(response) if is_kept else response.endswith(b"body")
        assert service.unanswered == []

    run(main)
