"""Endpoints that reset a connection while the request is still being sent."""

import contextlib
import errno
import itertools
import random
import socket
import struct

import curio
import pytest

from pollenfold.core.link import Link
from pollenfold.gateway.backend import BackendConnection
from pollenfold.gateway.outgoing import outgoing_request
from pollenfold.gateway.response_reader import Failure
from pollenfold.http.messages import BodyError

HEAD = b"HTTP/1.1 200 OK\r\nx-response-signature: s\r\n"
FRAMINGS = {
    "end": (b"connection: close\r\n\r\n", b"0123456789"),
    "length": (b"content-length: 10\r\n\r\n", b"0123456789"),
    "chunks": (b"transfer-encoding: chunked\r\n\r\n", b"a\r\n0123456789\r\n0\r\n\r\n"),
}
ENDS = ["before_head", "in_head", "after_head", "in_body", "after_body"]
N_SENT = [0, 3]
"""How many bytes of the piece are written before the reset is reported."""


class ResetSocket:
    """A socket of which one send reports a reset, which the kernel does only once.

    It writes ``n_sent`` bytes of the piece that begins with ``mark`` before.
    """

    def __init__(self, raw, mark, n_sent):
        self._raw = raw
        self._mark = mark
        self._n_left = n_sent

    def __getattr__(self, name):
        return getattr(self._raw, name)

    def send(self, data):
        is_marked = self._mark in bytes(data[:64])
        if is_marked and self._n_left:
            n_sent, self._n_left = self._n_left, 0
            self._mark = bytes(data[n_sent : n_sent + 16])
            return self._raw.send(data[:n_sent])
        if is_marked:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        return self._raw.send(data)


def sent_part(framing, end):
    """Return what the endpoint sends of its response."""
    rest_of_head, body = FRAMINGS[framing]
    head = HEAD + rest_of_head
    return {
        "before_head": b"",
        "in_head": head[:30],
        "after_head": head,
        "in_body": head + body[: len(body) // 2],
        "after_body": head + body,
    }[end]


async def exchange(part, n_sent):
    """Return what an upload got from an endpoint that sends a part of a response."""
    listener = curio.tcp_server_socket("127.0.0.1", 0)
    port = listener.getsockname()[1]
    has_request = curio.Event()
    is_answered = curio.Event()

    async def serve(client, address):
        async with client:
            await client.recv(65536)
            await has_request.wait()
            await client.sendall(part)
        await is_answered.set()

    server = await curio.spawn(curio.network.run_server, listener, serve, daemon=True)
    connection = BackendConnection("127.0.0.1", port, Link())
    await connection.wait_until_connected()
    connection._raw = ResetSocket(connection._raw, b"piece-2", n_sent)
    pieces = iter([b"piece-1" * 20, b"piece-2" * 20, b"piece-3" * 20, b""])

    async def read_remaining_body():
        piece = next(pieces)
        if piece.startswith(b"piece-2"):
            # The endpoint answers and is gone before the piece is written.
            await has_request.set()
            await is_answered.wait()
            await curio.sleep(0.01)
        return piece

    request = outgoing_request(
        b"POST", b"/x", [(b"host", b"h")], b"", read_remaining_body
    )
    assert await connection.send(request)
    received = await connection.receive(lambda response: True)
    assert not connection.is_reusable
    await connection.close()
    await server.cancel()
    return received


@pytest.mark.parametrize(
    "framing, end, n_sent", list(itertools.product(FRAMINGS, ENDS, N_SENT))
)
def test_response_is_whole_only_by_its_own_framing(run, framing, end, n_sent):
    """Guards against a part of a body that passes for a whole response, since a write
    took the kernel's only report of the reset, and against the loss of a response that
    had arrived completely before it."""
    received = run(exchange, sent_part(framing, end), n_sent)
    if end == "after_body" and framing != "end":
        assert received.status == 200
        assert received.body == b"0123456789"
    else:
        assert received is Failure.LOST


N_UPLOADS = 40
PIECE_BYTES = 2048
PART_BYTES = (100, 30_000, 300_000)
"""Of the 400,000 bytes of the body, what the endpoint sends before it resets."""


async def reset_upload(rng):
    """Return what one upload gets from an endpoint that resets it with real sockets."""
    reads_for_s, resets_after_s = rng.uniform(0.0, 0.3), rng.uniform(0.0, 0.05)
    part = HEAD + b"connection: close\r\n\r\n" + bytes(rng.choice(PART_BYTES))
    piece_interval_s = rng.uniform(0.01, 0.03)
    listener = curio.tcp_server_socket("127.0.0.1", 0)

    async def serve(client, address):
        async with curio.ignore_after(reads_for_s):
            while await client.recv(65536):
                pass
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await client.sendall(part)
        await curio.sleep(resets_after_s)
        await client.close()

    server = await curio.spawn(curio.network.run_server, listener, serve, daemon=True)
    connection = BackendConnection("127.0.0.1", listener.getsockname()[1], Link())
    await connection.wait_until_connected()

    async def read_remaining_body():
        await curio.sleep(piece_interval_s)
        return bytes(PIECE_BYTES)

    request = outgoing_request(
        b"POST", b"/x", [(b"host", b"h")], b"", read_remaining_body
    )
    await connection.send(request)
    received = await connection.receive(lambda response: True)
    if not isinstance(received, Failure) and received.remaining_body is not None:
        with contextlib.suppress(BodyError):
            while await received.remaining_body.read():
                pass
            return "whole"
        return "broken off"
    await connection.close()
    await server.cancel()
    return "broken off" if isinstance(received, Failure) else "whole"


def test_upload_that_is_reset_gets_no_whole_response(run):
    """Guards against a part of a body that passes for a whole response, with the
    kernel's own order of bytes, resets and errors."""

    async def main():
        rng = random.Random(64)
        tasks = [await curio.spawn(reset_upload, rng) for _ in range(N_UPLOADS)]
        return [await task.join() for task in tasks]

    assert run(main) == ["broken off"] * N_UPLOADS
