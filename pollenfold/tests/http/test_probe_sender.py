"""Whether a caller still waits: its VM acknowledges the start of the response."""

import struct

import curio
import pytest
from curio import socket

from pollenfold.http import caller
from pollenfold.http.client import HttpConnection
from pollenfold.http.messages import Response
from pollenfold.http.server import HttpServer
from pollenfold.observe.clock import system_clock

REQUEST = b"POST /order HTTP/1.1\r\nhost: t\r\ncontent-length: 0\r\n\r\n"


class Orders:
    """A handler that carries out an order only if its sender waits."""

    def __init__(self, status=200, pause_s=0.0):
        self.status = status
        self.pause_s = pause_s
        self.answers = []

    async def handle(self, request):
        await curio.sleep(self.pause_s)
        is_waiting = await request.is_sender_waiting()
        self.answers.append(is_waiting)
        if not is_waiting:
            return None
        return Response(self.status, [(b"x-order", b"1")], b"done")


async def start(orders):
    server = HttpServer(orders.handle)
    return server, await server.start("127.0.0.1", 0)


@pytest.mark.parametrize("status", [200, 404, 503])
def test_response_after_a_probe_is_whole(run, status):
    """Guards against a status line that is sent twice or cut after the probe."""

    async def main():
        orders = Orders(status)
        server, port = await start(orders)
        connection = await HttpConnection.open("127.0.0.1", port)
        for _ in range(3):
            headers = [(b"host", b"t")]
            result = await connection.exchange(b"POST", b"/order", headers, b"x", 1_000)
            assert (result.ok.status, result.ok.body) == (status, b"done")
        assert orders.answers == [True] * 3
        await server.stop()

    run(main)


def test_error_response_after_a_probe_is_whole(run):
    """Guards against a handler that fails after the start of the response is sent."""

    async def main():
        async def fail(request):
            assert await request.is_sender_waiting()
            raise RuntimeError("unexpected")

        server = HttpServer(fail)
        port = await server.start("127.0.0.1", 0)
        connection = await HttpConnection.open("127.0.0.1", port)
        result = await connection.exchange(
            b"POST", b"/order", [(b"host", b"t")], b"", 1_000
        )
        assert result.ok.status == 500
        await server.stop()

    run(main)


@pytest.mark.parametrize("is_reset", [False, True])
def test_caller_that_closed_waits_no_longer(run, is_reset):
    """Guards against an order of a sender that left, which still lay in the socket."""

    async def main():
        orders = Orders(pause_s=0.05)
        server, port = await start(orders)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await sock.connect(("127.0.0.1", port))
        await sock.sendall(REQUEST)
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await curio.sleep(0.01)
        await sock.close()
        await curio.sleep(0.2)
        assert orders.answers == [False]
        await server.stop()

    run(main)


def test_caller_whose_vm_acknowledges_nothing_waits_no_longer(run, monkeypatch):
    """Guards against an order whose sender closed the connection behind a network
    partition: without the close, the connection looks open."""
    monkeypatch.setattr(caller, "n_unacknowledged_bytes", lambda descriptor: 9)

    async def main():
        orders = Orders()
        server, port = await start(orders)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await sock.connect(("127.0.0.1", port))
        started_at = system_clock()
        await sock.sendall(REQUEST)
        assert await sock.recv(100) == caller.RESPONSE_START
        assert await sock.recv(100) == b""
        assert orders.answers == [False]
        waited_ms = system_clock() - started_at
        assert caller.PROBE_WAIT_MS <= waited_ms < caller.PROBE_WAIT_MS + 1_500
        await server.stop()

    run(main)


def test_probe_waits_for_an_acknowledgement(run, monkeypatch):
    """Guards against a probe that doesn't wait for the round trip."""
    unacknowledged = [9, 9, 0]
    monkeypatch.setattr(
        caller, "n_unacknowledged_bytes", lambda descriptor: unacknowledged.pop(0)
    )

    async def main():
        orders = Orders()
        server, port = await start(orders)
        connection = await HttpConnection.open("127.0.0.1", port)
        result = await connection.exchange(
            b"POST", b"/order", [(b"host", b"t")], b"", 1_000
        )
        assert result.ok.status == 200
        assert not unacknowledged
        await server.stop()

    run(main)


def test_probe_of_a_pipelined_request_waits_for_its_turn(run):
    """Guards against a start of a response within the one before it."""

    async def main():
        async def handle(request):
            if request.path == "/slow":
                await curio.sleep(0.1)
                return Response(200, [], b"slow")
            assert await request.is_sender_waiting()
            return Response(200, [], b"quick")

        server = HttpServer(handle, allows_concurrency=lambda request: True)
        port = await server.start("127.0.0.1", 0)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        await sock.connect(("127.0.0.1", port))
        for path in (b"/slow", b"/quick"):
            await sock.sendall(b"GET " + path + b" HTTP/1.1\r\nhost: t\r\n\r\n")
        received = b""
        while b"quick" not in received:
            received += await sock.recv(1_000)
        assert received.startswith(caller.RESPONSE_START + b"200")
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.index(b"slow") < received.index(b"quick")
        await sock.close()
        await server.stop()

    run(main)
