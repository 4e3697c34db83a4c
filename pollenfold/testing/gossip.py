"""Entries in one process that exchange their endpoint tables directly."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from ..core.clock import ManualClock
from ..core.errors import ErrorKind
from ..core.membership import Endpoint, EndpointTable
from ..entry.gossip import Gossip
from ..wire.frames import Protocol


class LocalPeer:
    """A peer in the same process; ``is_reachable`` cuts it off."""

    def __init__(self, handle: Callable[[bytes], Awaitable[bytes]]) -> None:
        self._handle = handle
        self.is_reachable = True
        self.n_bytes = 0

    async def call(
        self, protocol: Protocol, payload: bytes, timeout_ms: float
    ) -> Result[bytes, ErrorKind]:
        """Answer as an RpcClient does; a failed handler is ``UNREACHABLE``."""
        if not self.is_reachable:
            return Error(ErrorKind.UNREACHABLE)
        try:
            answer = await self._handle(payload)
        except ValueError:
            return Error(ErrorKind.UNREACHABLE)
        self.n_bytes += len(payload) + len(answer)
        return Ok(answer)


class GossipFleet:
    """Entries with one clock; ``peers[n].is_reachable`` cuts entry ``n`` off."""

    def __init__(self, n_entries: int, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.tables = [EndpointTable() for _ in range(n_entries)]
        self.gossips = [
            Gossip(table, self._peers_of(index), self.clock, seed + index)
            for index, table in enumerate(self.tables)
        ]
        self.peers = [LocalPeer(gossip.handle) for gossip in self.gossips]

    def _peers_of(self, index: int) -> Callable[[], dict[str, LocalPeer]]:
        return lambda: {str(n): p for n, p in enumerate(self.peers) if n != index}

    def serving(self, service: str) -> list[tuple[Endpoint, ...]]:
        """Return what each entry has in service."""
        return [table.endpoints(service) for table in self.tables]

    async def exchange(self, n_rounds: int) -> None:
        """Let each entry exchange digests once in each round."""
        for _ in range(n_rounds):
            for gossip in self.gossips:
                await gossip.exchange()
