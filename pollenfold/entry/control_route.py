"""Sends lease requests to the control leader, directly or through a peer entry."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

import curio

from ..core.clock import Clock, Instant, add_ms
from ..core.errors import ErrorKind
from ..wire.frames import Protocol
from ..wire.lease import LeaseRequest, LeaseResponse, decode_response, encode_request
from ..wire.rpc import RpcClient

CALL_TIMEOUT_MS = 300.0
"""Timeout of one exchange in addition to its ``wait_ms``: far above a round trip, and
short enough to try the control replicas and then peers within one lease."""

DIRECT_RETRY_MS = 1000.0
"""How often an entry that renews through a peer retries the control replicas."""

N_PEERS = 2
"""Number of peers contacted concurrently if no control replica is reachable."""

Address = tuple[str, int]


class ControlRoute:
    """The route from this entry to the control leader.

    ``peers`` returns the peer addresses (host and peer port) of other entries.
    """

    def __init__(
        self,
        control: list[Address],
        peers: Callable[[], Iterable[Address]],
        clock: Clock,
    ) -> None:
        self._control = control
        self._peers = peers
        self._clock = clock
        self._clients: dict[Address, RpcClient] = {}
        self._current: Address | None = None
        self._is_direct = True
        self._next_direct_at = Instant(0.0)
        self._n_searches = 0
        self._search_lock = curio.Lock()

    async def exchange(
        self, request: LeaseRequest, is_direct: bool = False
    ) -> tuple[LeaseResponse, Instant] | None:
        """Send the request to the leader; return the response and the time of sending.

        None means that no leader was reached. With ``is_direct`` no peer is used.
        """
        current = self._current
        if current is not None and self._may_use_current(is_direct):
            reply = await self._send(current, request)
            if reply is not None and reply[0].error is not ErrorKind.NOT_LEADER:
                return reply
        async with self._search_lock:
            latest = self._current
            if latest in (None, current) or not self._may_use_current(is_direct):
                if self._is_direct_backing_off(is_direct):
                    return None
                self._current = None
                return await self._search(replace(request, wait_ms=0.0), is_direct)
        # A concurrent exchange has found the leader meanwhile.
        return await self._send(latest, request)

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()

    def _may_use_current(self, is_direct: bool) -> bool:
        if self._is_direct:
            return True
        return not is_direct and self._clock() < self._next_direct_at

    def _is_direct_backing_off(self, is_direct: bool) -> bool:
        """Return whether the control replicas were recently tried without success."""
        return (
            is_direct and not self._is_direct and self._clock() < self._next_direct_at
        )

    async def _send(
        self, address: Address, request: LeaseRequest
    ) -> tuple[LeaseResponse, Instant] | None:
        """Send the request to one address; return None if no response arrives.

        A peer that can't reach a leader counts as no response.
        """
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(*address)
        sent_at = self._clock()
        timeout_ms = request.wait_ms + CALL_TIMEOUT_MS
        result = await client.call(Protocol.LEASE, encode_request(request), timeout_ms)
        if result.is_error():
            # The connection may be stuck after a network partition that has ended.
            if self._clients.get(address) is client:
                del self._clients[address]
            await client.close()
            return None
        response = decode_response(result.ok)
        if response.is_error() or response.ok.error is ErrorKind.UNREACHABLE:
            return None
        return response.ok, sent_at

    async def _search(
        self, request: LeaseRequest, is_direct: bool
    ) -> tuple[LeaseResponse, Instant] | None:
        self._n_searches += 1
        reply = await self._send_to_all(self._control, request, True)
        if reply is None and not is_direct:
            reply = await self._send_to_all(self._choose_peers(), request, False)
        self._next_direct_at = add_ms(self._clock(), DIRECT_RETRY_MS)
        return reply

    async def _send_to_all(
        self, addresses: list[Address], request: LeaseRequest, is_direct: bool
    ) -> tuple[LeaseResponse, Instant] | None:
        """Query the addresses concurrently; keep the first that finds the leader."""
        contacted = set(addresses)
        async with curio.TaskGroup(wait=None) as group:
            for address in addresses:
                await group.spawn(self._send_with_address, address, request)
            async for task in group:
                address, reply = task.result
                if reply is None:
                    continue
                response = reply[0]
                if response.error is not ErrorKind.NOT_LEADER:
                    self._current = address
                    self._is_direct = is_direct
                    return reply
                if is_direct and response.leader not in {None, *contacted}:
                    contacted.add(response.leader)
                    await group.spawn(self._send_with_address, response.leader, request)
        return None

    async def _send_with_address(
        self, address: Address, request: LeaseRequest
    ) -> tuple[Address, tuple[LeaseResponse, Instant] | None]:
        return address, await self._send(address, request)

    def _choose_peers(self) -> list[Address]:
        peers = sorted(set(self._peers()))
        if not peers:
            return []
        start = self._n_searches * N_PEERS % len(peers)
        return (peers[start:] + peers[:start])[:N_PEERS]
