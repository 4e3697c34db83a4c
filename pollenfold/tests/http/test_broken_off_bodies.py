"""Bodies without a length that end before they are complete."""

import socket
import subprocess
import sys

import curio
import pytest

from pollenfold.core.errors import ErrorKind
from pollenfold.http.messages import BodyError, BodySource, Response
from pollenfold.http.server import HttpServer

PIECE = b"x" * 1000
REQUEST = b"GET /long HTTP/%s\r\nhost: x\r\n\r\n"
ENDS = {
    "body_error": BodyError(ErrorKind.BACKEND_FAILED, "reset"),
    "other_error": RuntimeError("failed"),
    "socket_error": ConnectionResetError("reset"),
    "cancelled": None,
}


async def received(version, end):
    """Return what a caller reads of a body that ends early, and how reading ends."""
    is_cancelled = curio.Event()
    pieces = iter([PIECE])

    async def read():
        piece = next(pieces, None)
        if piece is not None:
            return piece
        if end is not None:
            raise end
        await is_cancelled.set()
        await curio.sleep(10)
        return b""

    async def close():
        pass

    async def handle(request):
        return Response(200, [], b"", remaining_body=BodySource(read, close, None))

    server = HttpServer(handle, allows_concurrency=lambda request: True)
    port = await server.start("127.0.0.1", 0)
    sock = await curio.open_connection("127.0.0.1", port)
    await sock.sendall(REQUEST % version)
    if end is None:
        await is_cancelled.wait()
        await server.close_all()
    data = b""
    try:
        while more := await sock.recv(65536):
            data += more
    except ConnectionResetError:
        return data, "reset"
    finally:
        await sock.close()
    return data, "closed"


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("end", ENDS)
def test_body_that_ends_early_never_looks_complete(run, version, end):
    """Guards against a caller that takes the part of a body for the whole, since the
    connection was closed like that of a complete response."""
    data, how = run(received, version, ENDS[end])
    assert how == "reset" or (version == b"1.1" and not data.endswith(b"0\r\n\r\n"))


PROGRAM = """
import curio
from pollenfold.http.messages import BodySource, Response
from pollenfold.http.server import HttpServer

pieces = iter([b"x" * 1000])

async def read():
    for piece in pieces:
        return piece
    await curio.sleep(10)

async def close():
    pass

async def handle(request):
    return Response(200, [], b"", remaining_body=BodySource(read, close, None))

async def main():
    print(await HttpServer(handle).start("127.0.0.1", 0), flush=True)
    await curio.sleep(10)

curio.run(main)
"""


def test_killed_process_leaves_no_body_that_looks_complete():
    """Guards against a part of a body that passes for the whole to a caller of
    HTTP/1.0, since the kernel closes the connections of a killed process."""
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
    )
    try:
        port = int(process.stdout.readline())
        with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
            sock.sendall(REQUEST % b"1.0")
            data = b""
            while not data.endswith(PIECE):
                data += sock.recv(65536)
            process.kill()
            with pytest.raises(ConnectionResetError):
                sock.recv(65536)
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_complete_body_without_a_length_ends_with_a_close(run):
    """Guards against a reset that takes the end of a complete body from its caller."""

    async def main():
        pieces = iter([PIECE * 300, b""])

        async def read():
            return next(pieces)

        async def close():
            pass

        async def handle(request):
            return Response(200, [], b"", remaining_body=BodySource(read, close, None))

        port = await (server := HttpServer(handle)).start("127.0.0.1", 0)
        sock = await curio.open_connection("127.0.0.1", port)
        await sock.sendall(REQUEST % b"1.0")
        await curio.sleep(0.2)
        data = b""
        while more := await sock.recv(65536):
            data += more
        await server.stop()
        return data

    assert run(main).endswith(PIECE * 300)
