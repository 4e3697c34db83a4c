"""In-process control replica without consensus, for tests of other modules."""

from __future__ import annotations

from pathlib import Path

import curio
from curio import network

from ..control.leases import LeaseService
from ..control.operators import OperatorInterface
from ..control.state import ControlState
from ..core.clock import Clock
from ..core.directory import LEASE_MS
from ..http.listening_socket import ListeningSocket
from ..http.server import HttpServer
from ..observe.clock import system_clock
from ..wire.frames import Protocol
from ..wire.rpc import RpcServer
from .listening import listening_socket
from .replica import FakeReplica

TOKEN = "test-token"


class FakeControlReplica:
    """Serves leases and the operator interface on ports chosen by the kernel.

    ``peers`` and ``operators`` map replica ids to addresses; replicas that share
    these dictionaries redirect clients to each other.
    """

    def __init__(
        self,
        replica_id: str = "c1",
        peers: dict[str, tuple[str, int]] | None = None,
        operators: dict[str, str] | None = None,
        lease_ms: float = LEASE_MS,
        clock: Clock = system_clock,
    ) -> None:
        self.replica_id = replica_id
        self.peers = {} if peers is None else peers
        self.operators = {} if operators is None else operators
        self.state = ControlState(clock, lease_ms)
        self.replica = FakeReplica(
            replica_id,
            {},
            Path(),
            self.state.apply,
            self.state.snapshot,
            self.state.restore,
            clock,
            0,
        )
        self.state.replica = self.replica
        self.leases = LeaseService(self.state, self.peers)
        self.interface = OperatorInterface(
            self.state, replica_id, "a", TOKEN, self._leader_address
        )
        self._http = HttpServer(self.interface.handle)
        self._tasks: list[curio.Task] = []

    @property
    def peer_address(self) -> tuple[str, int]:
        """Address for calls of peers and entries."""
        return self.peers[self.replica_id]

    @property
    def operator_address(self) -> tuple[str, int]:
        """Address of the operator interface."""
        host, _, port = self.operators[self.replica_id].rpartition(":")
        return host, int(port)

    async def start(self) -> None:
        """Listen on both ports."""
        sock = listening_socket("127.0.0.1", 0)
        self.peers[self.replica_id] = ("127.0.0.1", sock.getsockname()[1])
        port = await self._http.start("127.0.0.1", 0)
        self.operators[self.replica_id] = f"127.0.0.1:{port}"
        await self._listen(sock)
        self._tasks.append(await curio.spawn(self.state.run, daemon=True))

    async def stop(self) -> None:
        """Close both ports and all connections."""
        await self._http.stop()
        for task in self._tasks:
            await task.cancel()
        self._tasks = []

    async def _listen(self, sock: ListeningSocket) -> None:
        server = RpcServer({Protocol.LEASE: self.leases.handle})
        self._tasks.append(
            await curio.spawn(network.run_server, sock, server.handle, daemon=True)
        )

    async def _leader_address(self) -> str | None:
        return self.operators.get(self.replica.leader_id() or "")
