"""A link of limited bandwidth to the port of a control replica."""

from contextlib import suppress

import curio
from curio import socket

SEGMENT_BYTES = 1_460
BUFFER_BYTES = 32 * 1024
"""Of each socket, so that little is under way beyond what the link carries."""


class SlowLink:
    """Forwards connections to an address; bytes to it share a bandwidth."""

    def __init__(self, target, bytes_per_s):
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._is_free = curio.Lock()
        self.port = 0
        self.n_bytes = 0

    async def start(self):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        self.port = listener.getsockname()[1]
        await curio.spawn(self._accept, listener, daemon=True)

    async def _accept(self, listener):
        async with listener:
            while True:
                client, _ = await listener.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client):
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        with suppress(OSError):
            async with client, server:
                await server.connect(self._target)
                async with curio.TaskGroup(wait=any) as group:
                    await group.spawn(self._carry, client, server)
                    await group.spawn(self._copy, server, client)

    async def _carry(self, source, target):
        with suppress(OSError):
            while data := await source.recv(SEGMENT_BYTES):
                async with self._is_free:
                    await curio.sleep(len(data) / self._bytes_per_s)
                self.n_bytes += len(data)
                await target.sendall(data)

    async def _copy(self, source, target):
        with suppress(OSError):
            while data := await source.recv(65_536):
                await target.sendall(data)
