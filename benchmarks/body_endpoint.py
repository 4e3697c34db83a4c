"""A backend server whose responses are as long as their path says, or endless.

    python -m benchmarks.body_endpoint 127.0.0.1 i-1

It runs as a process of its own, so that its writes don't delay the callers that
measure, and prints its port. With several names, one process serves as many endpoints
and prints a port for each. ``--load`` is what all of them report, whatever they do.
``/safe/1000000`` gives a body of 1 MB, ``/safe/endless`` one that only ends when the
connection does.
"""

from __future__ import annotations

import argparse
import hashlib

import curio
from curio import socket

PIECE = b"x" * 65_536
IDLE_LOAD = "0,0,6,100"
HEAD_END = b"\r\n\r\n"


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


def _response_head(name: bytes, load: str, head: bytes, length: int | None) -> bytes:
    request_id = _header(head, b"x-request-id")
    signature = hashlib.sha256(request_id).hexdigest().encode()
    lines = [
        b"HTTP/1.1 200 OK",
        b"x-instance-id: " + name,
        b"x-server-load: " + load.encode(),
    ]
    if request_id:
        lines += [
            b"x-request-id: " + request_id,
            b"x-response-signature: " + signature,
        ]
    if length is not None:
        lines.append(b"content-length: %d" % length)
    return b"\r\n".join(lines) + HEAD_END


async def _write_body(client: socket.socket, n_bytes: int) -> None:
    while n_bytes > 0:
        piece = PIECE[:n_bytes]
        await client.sendall(piece)
        n_bytes -= len(piece)


async def _serve(client: socket.socket, name: bytes, load: str) -> None:
    data = b""
    while True:
        while HEAD_END not in data:
            piece = await client.recv(65_536)
            if not piece:
                return
            data += piece
        head, data = data.split(HEAD_END, 1)
        left = int(_header(head, b"content-length") or 0) - len(data)
        data = b""
        while left > 0:
            piece = await client.recv(65_536)
            if not piece:
                return
            left -= len(piece)
        size = head.split(b" ")[1].rsplit(b"/", 1)[1]
        if size == b"endless":
            await client.sendall(_response_head(name, load, head, None))
            while True:
                await client.sendall(PIECE)
        length = int(size) if size.isdigit() and head.startswith(b"GET") else 2
        await client.sendall(_response_head(name, load, head, length))
        await _write_body(client, length)


async def _run_endpoint(host: str, name: str, load: str) -> None:
    listener = curio.tcp_server_socket(host, 0, backlog=1024)
    print(listener.getsockname()[1], flush=True)

    async def handle(client: socket.socket, address: tuple[str, int]) -> None:
        try:
            async with client:
                await _serve(client, name.encode(), load)
        except OSError:
            return

    await curio.network.run_server(listener, handle)


async def run(host: str, names: list[str], load: str = IDLE_LOAD) -> None:
    """Serve until the process is ended."""
    async with curio.TaskGroup() as group:
        for name in names:
            await group.spawn(_run_endpoint, host, name, load)


def main() -> None:
    """Serve the endpoints of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("host")
    parser.add_argument("names", nargs="+")
    parser.add_argument("--load", default=IDLE_LOAD, help="running,waiting,slots,%%")
    arguments = parser.parse_args()
    curio.run(run, arguments.host, arguments.names, arguments.load)


if __name__ == "__main__":
    main()
