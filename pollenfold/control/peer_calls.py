"""Sends agreement messages from a control replica to its peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from ..core.agreement_messages import Message
from ..wire.agreement import decode_message, encode_message
from ..wire.frames import Protocol
from ..wire.rpc import RpcClient

CALL_TIMEOUT_MS = 400.0
MAX_CALLS_PER_PEER = 8
"""Bounds the pending calls to a peer that doesn't respond."""

MAX_FAILED_CALLS = 3
"""After this many consecutive failures the connection is reopened.

The TCP retransmission timeout grows to minutes during a long partition.
"""


class _Peer:
    """The connection to one other replica, with its pending and failed calls."""

    def __init__(self, host: str, port: int) -> None:
        self.client = RpcClient(host, port)
        self.n_calls = 0
        self.n_failed_calls = 0


class PeerCalls:
    """Sends messages to the other replicas, without delivery guarantee.

    Each message is one remote call; ``receive`` is called with the message in its
    response. ``resolve`` returns the address of a replica id that isn't in
    ``addresses``; without it the membership is fixed.
    """

    def __init__(
        self,
        addresses: dict[str, tuple[str, int]],
        receive: Callable[[Message], Awaitable[None]],
        resolve: Callable[[str], tuple[str, int]] | None = None,
    ) -> None:
        self._peers = {k: _Peer(*address) for k, address in addresses.items()}
        self._receive = receive
        self._resolve = resolve

    def _peer(self, replica_id: str) -> _Peer:
        peer = self._peers.get(replica_id)
        if peer is None and self._resolve is not None:
            peer = self._peers[replica_id] = _Peer(*self._resolve(replica_id))
        if peer is None:
            raise LookupError(f"expected one of {sorted(self._peers)}")
        return peer

    async def send(self, message: Message) -> None:
        """Start a call with the message without waiting for its response.

        Drops the message when ``MAX_CALLS_PER_PEER`` calls are pending.
        """
        peer = self._peer(message.recipient)
        if peer.n_calls < MAX_CALLS_PER_PEER:
            peer.n_calls += 1
            await curio.spawn(self._call, peer, message, daemon=True)

    async def close(self) -> None:
        """Close all connections."""
        for peer in self._peers.values():
            await peer.client.close()

    async def _call(self, peer: _Peer, message: Message) -> None:
        try:
            result = await peer.client.call(
                Protocol.AGREEMENT, encode_message(message), CALL_TIMEOUT_MS
            )
        finally:
            peer.n_calls -= 1
        if result.is_error():
            peer.n_failed_calls += 1
            if peer.n_failed_calls >= MAX_FAILED_CALLS:
                peer.n_failed_calls = 0
                await peer.client.close()
            return
        peer.n_failed_calls = 0
        decoded = decode_message(result.ok) if result.ok else None
        if decoded is not None and decoded.is_ok():
            await self._receive(decoded.ok)
