"""Ledger replicas in the event loop of a test, with fault injection."""

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
from .listening import listening_socket

CALL_TIMEOUT_MS = 500.0
"""A busy machine or a full garbage collection can block the event loop that all
replicas share for longer than the 50 ms timeout of a deployed client."""


class LocalLedger:
    """Replicas on loopback ports assigned by the kernel.

    A replica keeps its port when it restarts. For example::

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
        listening = {name: listening_socket("127.0.0.1", 0) for name in self.names}
        self.addresses = {name: sock.getsockname() for name, sock in listening.items()}
        for name, sock in listening.items():
            self._gates[name] = curio.Event()
            await self._gates[name].set()
            self._create_replica(name)
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
        """Try once to join a blank replica; return whether the replica may vote."""
        if self.replicas[name].is_blank:
            await self.replicas[name].join_once()
        return not self.replicas[name].is_blank

    async def stop(self, name: str) -> None:
        """Stop a replica; requests to it fail immediately until it is restarted."""
        self._stopped.add(name)
        await self.replicas[name].close()

    def start(self, name: str) -> None:
        """Start a stopped replica on its existing data folder."""
        self._create_replica(name)
        self._stopped.discard(name)

    async def restart_with_torn_entry(self, name: str) -> None:
        """Restart a replica with an incomplete entry at the end of its journal."""
        await self.stop(name)
        with (self.folder(name) / "registers").open("ab") as journal:
            journal.write(b"\x00\x00\x00\x40torn")
        self.start(name)

    def fail_disk(self, name: str) -> None:
        """Make all further writes of a replica fail."""
        journal_descriptor = self.replicas[name].store._journal._descriptor
        read_only = os.open(os.devnull, os.O_RDONLY)
        os.dup2(read_only, journal_descriptor)
        os.close(read_only)

    async def lose_disk(self, name: str) -> None:
        """Restart a replica on an empty data folder."""
        await self.stop(name)
        shutil.rmtree(self.folder(name))
        self.start(name)

    def isolate(self, name: str) -> None:
        """Partition a replica: requests to it get no response."""
        self._isolated.add(name)

    def reconnect(self, name: str) -> None:
        """End the partition of a replica."""
        self._isolated.discard(name)

    def suspend(self, name: str) -> None:
        """Hold the requests to a replica until it is resumed."""
        self._gates[name].clear()

    async def resume(self, name: str) -> None:
        """Let a suspended replica handle the requests that it held."""
        await self._gates[name].set()

    async def resume_for_new_requests(self, name: str) -> curio.Event:
        """Let a suspended replica handle new requests but not those it holds; return
        the event that releases the held ones."""
        gate = self._gates[name]
        self._gates[name] = curio.Event()
        await self._gates[name].set()
        return gate

    def _create_replica(self, name: str) -> None:
        peers = {n: a for n, a in self.addresses.items() if n != name}
        self.replicas[name] = LedgerReplica(
            name, peers, self.folder(name), self.wall_clock
        )

    def _handler(self, name: str):  # type: ignore[no-untyped-def]
        async def handle(payload: bytes) -> bytes:
            gate = self._gates[name]
            if name in self._stopped:
                raise ConnectionError(f"replica {name} is stopped")
            self.n_received[name] += 1
            if name in self._isolated:
                await curio.sleep(3600)
            await gate.wait()
            return await self.replicas[name].handle_request(payload)

        return handle
