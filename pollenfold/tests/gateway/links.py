"""Links between one entry and its backend servers that a test can cut."""

from contextlib import suppress
from dataclasses import dataclass, field

import curio
from curio import socket

RESET = b"\1\0\0\0\0\0\0\0"


@dataclass
class Link:
    """A forwarder to one backend server, on an address of its own.

    ``mode`` is "pass" or how the link is cut: "refuse" resets open connections and
    refuses new ones, "reset" accepts new ones and resets them, "hang" carries no byte
    and opens no connection, and "refuse_new" only refuses new ones.
    """

    port: int
    mode: str = "pass"
    own_port: int = 0
    n_accepted: int = 0
    _pairs: list = field(default_factory=list)
    _fillers: list = field(default_factory=list)
    _listener: object = None
    _reservation: object = None

    async def start(self):
        await self._listen()

    async def cut(self, mode):
        """Cut the link, or restore it with the mode "pass"."""
        self.mode = mode
        if mode == "hang":
            await self._accepting.cancel()
            await self._fill_backlog()
        if mode in ("refuse", "refuse_new"):
            await self._accepting.cancel()
            await self._listener.close()
            self._reserve_port()
        if mode in ("refuse", "reset"):
            await self._reset_all()
        if mode == "pass":
            await self._restore()

    async def _restore(self):
        await self._accepting.cancel()
        await self._reset_all()
        for filler in self._fillers:
            filler.close()
        if self._fillers:
            # The port is kept, since another process could take it meanwhile.
            self._fillers.clear()
            self._listener._socket.listen(128)
            self._accepting = await curio.spawn(self._accept, daemon=True)
            return
        await self._listener.close()
        await self._listen()
        self._release_port()

    def _reserve_port(self):
        """Keep other processes from using the port; connections to it are refused."""
        self._reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)._socket
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind(("127.0.0.1", self.own_port))

    def _release_port(self):
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None

    async def _listen(self):
        self._listener = curio.tcp_server_socket("127.0.0.1", self.own_port)
        self.own_port = self._listener.getsockname()[1]
        self._accepting = await curio.spawn(self._accept, daemon=True)

    async def _fill_backlog(self):
        """Let the kernel drop each further attempt to connect."""
        self._listener._socket.listen(0)
        for _ in range(2):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler._socket.connect_ex(("127.0.0.1", self.own_port))
            self._fillers.append(filler._socket)

    async def _accept(self):
        while True:
            client, _ = await self._listener.accept()
            self.n_accepted += 1
            if self.mode == "reset":
                client._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                await client.close()
                continue
            try:
                server = await curio.open_connection("127.0.0.1", self.port)
            except OSError:
                await client.close()
                continue
            self._pairs.append((client, server))
            await curio.spawn(self._copy, client, server, daemon=True)
            await curio.spawn(self._copy, server, client, daemon=True)

    async def _copy(self, source, target):
        """Pass bytes on until the source ends, then close it and end the target."""
        try:
            while data := await source.recv(65536):
                if self.mode != "hang":
                    await target.sendall(data)
        except OSError:
            pass
        finally:
            await source.close()
            end(target)

    async def _reset_all(self):
        for client, _ in self._pairs:
            end(client, is_reset=True)
        self._pairs.clear()


def end(sock, is_reset=False):
    """Let the task that reads from a socket close it."""
    if sock._socket is None:
        return
    if is_reset:
        sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    with suppress(OSError):
        sock._socket.shutdown(socket.SHUT_RD)
