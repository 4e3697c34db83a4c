"""Entries in one process that gossip their endpoint tables through direct calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from ..core.clock import ManualClock
from ..core.errors import ErrorKind
from ..core.membership import Endpoint, EndpointTable
from ..entry.gossip import Gossip
from ..wire.frames import Protocol


class LocalPeer:
    """Peer in the same process; ``is_reachable = False`` partitions it."""

    def __init__(self, handle: Callable[[bytes], Awaitable[bytes]]) -> None:
        self._handle = handle
        self.is_reachable = True
        self.n_bytes = 0

    async def call(
        self, protocol: Protocol, payload: bytes, timeout_ms: float
    ) -> Result[bytes, ErrorKind]:
        """Call the handler like an RpcClient; a failed handler is ``UNREACHABLE``."""
        if not self.is_reachable:
            return Error(ErrorKind.UNREACHABLE)
        try:
            response = await self._handle(payload)
        except ValueError:
            return Error(ErrorKind.UNREACHABLE)
        self.n_bytes += len(payload) + len(response)
        return Ok(response)


class GossipFleet:
    """Entries with a common clock; ``peers[n].is_reachable`` partitions entry ``n``."""

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

    def serving_endpoints(self, service: str) -> list[tuple[Endpoint, ...]]:
        """Return, for each entry, the endpoints of the service in its table."""
        return [table.endpoints(service) for table in self.tables]

    async def exchange(self, n_rounds: int) -> None:
        """Run rounds in which each entry exchanges digests once."""
        for _ in range(n_rounds):
            for gossip in self.gossips:
                await gossip.exchange()
