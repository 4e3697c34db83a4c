"""The memory for bodies is released however a request ends while it is read."""

import struct

import curio
import pytest
from curio import socket

from pollenfold.http.client import HttpConnection
from pollenfold.http.memory import MemoryBudget
from pollenfold.http.messages import Response
from pollenfold.http.request_reader import BODY_WINDOW_BYTES
from pollenfold.http.server import HttpServer

N_BYTES = 160_000
BUDGET_BYTES = 4 * BODY_WINDOW_BYTES
UPLOAD_HEAD = b"POST /upload HTTP/1.1\r\nhost: t\r\ncontent-length: 160000\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
N_ABORTED = 12
"""Three times as many as the budget has room for."""


async def respond(request):
    while request.read_remaining_body is not None:
        if not await request.read_remaining_body():
            break
    if request.path == "/last":
        await curio.sleep(0.1)
    return Response(200, [], b"ok", close=request.path == "/last")


async def start_server():
    budget = MemoryBudget(BUDGET_BYTES)
    server = HttpServer(
        respond,
        window_bytes=BODY_WINDOW_BYTES,
        budget=budget,
        allows_concurrency=lambda request: request.path == "/last",
    )
    return server, await server.start("127.0.0.1", 0), budget


async def abort_by_reset(port):
    sock = await send(port, UPLOAD_HEAD + b"x" * 60_000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await sock.close()


async def abort_by_close(port):
    sock = await send(port, UPLOAD_HEAD + b"x" * 60_000)
    await sock.close()


async def abort_by_an_earlier_response(port):
    """Send a body behind a request whose response closes the connection."""
    head = b"GET /last HTTP/1.1\r\nhost: t\r\n\r\n"
    sock = await send(port, head + UPLOAD_HEAD + b"x" * 60_000)
    while await sock.recv(1_000):
        pass
    await sock.close()


async def send(port, data):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.connect(("127.0.0.1", port))
    await sock.sendall(data)
    await curio.sleep(0.03)
    return sock


@pytest.mark.parametrize(
    "abort", [abort_by_reset, abort_by_close, abort_by_an_earlier_response]
)
def test_aborted_uploads_leave_memory_for_later_ones(run, abort):
    """Guards against uploads that get no answer since aborted ones hold the memory."""

    async def main():
        server, port, budget = await start_server()
        for _ in range(N_ABORTED):
            await abort(port)
        await curio.sleep(0.2)
        assert budget.n_free_bytes == BUDGET_BYTES
        connection = await HttpConnection.open("127.0.0.1", port)
        result = await connection.exchange(
            b"POST", b"/upload", [(b"host", b"t")], b"x" * N_BYTES, 2_000
        )
        assert result.ok.status == 200
        await server.stop()

    run(main)
