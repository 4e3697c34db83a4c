"""Ledger replicas in the loop of a test, with faults on demand."""

from __future__ import annotations

import os
import shutil
from pathlib import Path

import curio

from ..core.clock import Clock, ManualClock
from ..core.register import RETENTION_MS
from ..ledger.client import LedgerClient
from ..ledger.replica import LedgerReplica
from ..observe.clock import system_clock
from ..wire.frames import Protocol
from ..wire.rpc import RpcServer

CALL_TIMEOUT_MS = 500.0
"""A busy machine or a full garbage collection stops the one loop that all replicas
share for more than the 50 ms of a deployed client."""


class LocalLedger:
    """Replicas on loopback ports that the kernel assigned.

    Ports stay the same through restarts. For example::

        async with LocalLedger(tmp_path, 3) as ledger:
            client = ledger.client("entry-1")
            await ledger.lose_disk("a")
    """

    def __init__(
        self, folder: Path, n_replicas: int = 3, *, is_joined: bool = True
    ) -> None:
        self.names = [chr(ord("a") + n) for n in range(n_replicas)]
        self.wall_clock = ManualClock(2 * RETENTION_MS)
        self.replicas: dict[str, LedgerReplica] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self._folder = folder
        self._is_joined = is_joined
        self.n_received = dict.fromkeys(self.names, 0)
        self._gates: dict[str, curio.Event] = {}
        self._isolated: set[str] = set()
        self._stopped: set[str] = set()
        self._tasks: list[curio.Task] = []
        self._clients: list[LedgerClient] = []

    async def __aenter__(self) -> LocalLedger:
        socks = {name: curio.tcp_server_socket("127.0.0.1", 0) for name in self.names}
        self.addresses = {name: sock.getsockname() for name, sock in socks.items()}
        for name, sock in socks.items():
            self._gates[name] = curio.Event()
            await self._gates[name].set()
            self._open(name)
            server = RpcServer({Protocol.LEDGER: self._handler(name)})
            run_server = curio.network.run_server
            self._tasks.append(await curio.spawn(run_server, sock, server.handle))
        if self._is_joined:
            for name in self.names:
                await self.join(name)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            await task.cancel()
        for client in self._clients:
            await client.close()
        for name in self.names:
            if name not in self._stopped:
                await self.replicas[name].close()

    def client(
        self,
        client_id: str,
        clock: Clock = system_clock,
        call_timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> LedgerClient:
        """Return a client of all replicas."""
        client = LedgerClient(self.addresses, client_id, clock, call_timeout_ms)
        self._clients.append(client)
        return client

    def folder(self, name: str) -> Path:
        """Return the data folder of a replica."""
        return self._folder / name

    async def join(self, name: str) -> bool:
        """Let a blank replica try to join; return whether it may vote."""
        if self.replicas[name].is_blank:
            await self.replicas[name].join_once()
        return not self.replicas[name].is_blank

    async def stop(self, name: str) -> None:
        """End a replica; requests to it fail at once until it is started again."""
        self._stopped.add(name)
        await self.replicas[name].close()

    def start(self, name: str) -> None:
        """Start a stopped replica on the content of its folder."""
        self._open(name)
        self._stopped.discard(name)

    async def crash_in_write(self, name: str) -> None:
        """Restart a replica that leaves an unfinished journal entry."""
        await self.stop(name)
        with (self.folder(name) / "registers").open("ab") as journal:
            journal.write(b"\x00\x00\x00\x40torn")
        self.start(name)

    def fail_disk(self, name: str) -> None:
        """Let every write of a replica fail from now on."""
        descriptor = self.replicas[name].store._journal._descriptor
        read_only = os.open(os.devnull, os.O_RDONLY)
        os.dup2(read_only, descriptor)
        os.close(read_only)

    async def lose_disk(self, name: str) -> None:
        """Restart a replica on an empty folder."""
        await self.stop(name)
        shutil.rmtree(self.folder(name))
        self.start(name)

    def isolate(self, name: str) -> None:
        """Leave the requests to a replica, and to it from others, unanswered."""
        self._isolated.add(name)

    def reconnect(self, name: str) -> None:
        """End the isolation of a replica."""
        self._isolated.discard(name)

    def suspend(self, name: str) -> None:
        """Keep the requests to a replica until it is resumed."""
        self._gates[name].clear()

    async def resume(self, name: str) -> None:
        """Let a suspended replica answer the requests that it kept."""
        await self._gates[name].set()

    async def delay_kept(self, name: str) -> curio.Event:
        """Let a suspended replica answer new requests; return the event that
        releases those it kept."""
        gate = self._gates[name]
        self._gates[name] = curio.Event()
        await self._gates[name].set()
        return gate

    def _open(self, name: str) -> None:
        peers = {n: a for n, a in self.addresses.items() if n != name}
        self.replicas[name] = LedgerReplica(
            name, peers, self.folder(name), self.wall_clock
        )

    def _handler(self, name: str):  # type: ignore[no-untyped-def]
        async def answer(payload: bytes) -> bytes:
            gate = self._gates[name]
            if name in self._stopped:
                raise ConnectionError(f"replica {name} is stopped")
            self.n_received[name] += 1
            if name in self._isolated:
                await curio.sleep(3600)
            await gate.wait()
            return await self.replicas[name].answer(payload)

        return answer
