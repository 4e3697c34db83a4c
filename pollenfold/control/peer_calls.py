"""Sends agreement messages from a control replica to its peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from ..core.agreement.documents import call_timeout_ms, document_bytes
from ..core.agreement.messages import Message
from ..wire.agreement import decode_message, encode_message
from ..wire.frames import Protocol
from ..wire.rpc import RpcClient

MAX_CALLS_PER_PEER = 8
"""Bounds the pending calls to a peer that doesn't respond."""

MAX_FAILED_CALLS = 3
"""After this many consecutive failures the connection is reopened.

The TCP retransmission timeout grows to minutes during a long partition.
"""


class _Connection:
    """One connection to another replica, with its pending and failed calls."""

    def __init__(self, host: str, port: int) -> None:
        self.client = RpcClient(host, port)
        self.n_calls = 0
        self.n_failed_calls = 0
        self.task: curio.Task | None = None
        """The last call, until its response has arrived."""


class _Peer:
    """The connections to one other replica.

    Documents have one of their own, so that no heartbeat waits for a document.
    """

    def __init__(self, host: str, port: int) -> None:
        self.calls = _Connection(host, port)
        self.documents = _Connection(host, port)


class PeerCalls:
    """Sends messages to the other replicas, without delivery guarantee.

    Each message is one remote call; ``receive`` is called with the message in its
    response, and ``on_failed`` with a message whose call failed. ``resolve`` returns
    the address of a replica id that isn't in ``addresses``; without it the membership
    is fixed.
    """

    def __init__(
        self,
        addresses: dict[str, tuple[str, int]],
        receive: Callable[[Message], Awaitable[None]],
        on_failed: Callable[[Message], None],
        resolve: Callable[[str], tuple[str, int]] | None = None,
    ) -> None:
        self._peers = {k: _Peer(*address) for k, address in addresses.items()}
        self._receive = receive
        self._on_failed = on_failed
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

        Drops the message when ``MAX_CALLS_PER_PEER`` calls are pending. A document
        replaces the one before, which isn't waited for any more.
        """
        peer = self._peer(message.recipient)
        if not document_bytes(message.body):
            await self._start_call(peer.calls, message)
            return
        if peer.documents.task is not None:
            await peer.documents.task.cancel(blocking=False)
        await self._start_call(peer.documents, message)

    async def _start_call(self, connection: _Connection, message: Message) -> None:
        if connection.n_calls >= MAX_CALLS_PER_PEER:
            return
        connection.n_calls += 1
        connection.task = await curio.spawn(
            self._call, connection, message, daemon=True
        )

    async def close(self) -> None:
        """Close all connections."""
        for peer in self._peers.values():
            await peer.calls.client.close()
            await peer.documents.client.close()

    async def _call(self, connection: _Connection, message: Message) -> None:
        timeout_ms = call_timeout_ms(message.body)
        try:
            result = await connection.client.call(
                Protocol.AGREEMENT, encode_message(message), timeout_ms
            )
        finally:
            connection.n_calls -= 1
            if connection.task is await curio.current_task():
                connection.task = None
        if result.is_error():
            self._on_failed(message)
            connection.n_failed_calls += 1
            if connection.n_failed_calls >= MAX_FAILED_CALLS:
                connection.n_failed_calls = 0
                await connection.client.close()
            return
        connection.n_failed_calls = 0
        decoded = decode_message(result.ok) if result.ok else None
        if decoded is not None and decoded.is_ok():
            await self._receive(decoded.ok)
