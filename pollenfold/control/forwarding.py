"""Calls between control replicas, and the responses to commands that are forwarded."""

from __future__ import annotations

from expression import Error, Ok, Result

from ..core.agreement.members import host_and_port
from ..core.errors import ErrorKind
from ..wire.frames import Protocol
from ..wire.rpc import RpcClient

FORWARD_TIMEOUT_MS = 700.0
RETRY_PAUSE_MS = 40.0

INDEX_BYTES = 8
CONFIRMATION_BYTES = 9
"""The length of a confirmed index from a leader that appends orders on a condition.

Leaders of earlier versions send 8 bytes. Replicas of earlier versions read the same
index from both, since the first of the 9 bytes is zero."""

NOT_COMMITTED = b""
MAY_BE_COMMITTED = b"\0"
"""The response to a forwarded command whose outcome the leader doesn't know. Replicas
of earlier versions read it as index 0, which means not committed."""

SUPERSEDED = b"\1"
"""The response to an order that isn't appended, since another one came first. Only
replicas that send conditions get it."""

NOT_APPENDED_KINDS = (ErrorKind.NOT_LEADER, ErrorKind.NOT_READY)
"""Errors of a leader after which the command isn't in the log and won't be."""

Clients = dict[tuple[str, int], RpcClient]
"""The connections to other replicas by host and port."""


def encode_outcome(result: Result[int, ErrorKind]) -> bytes:
    """Return the response to a forwarded command."""
    if result.is_ok():
        return result.ok.to_bytes(INDEX_BYTES, "big")
    if result.error is ErrorKind.SUPERSEDED:
        return SUPERSEDED
    return NOT_COMMITTED if result.error in NOT_APPENDED_KINDS else MAY_BE_COMMITTED


def decode_outcome(response: Result[bytes, ErrorKind]) -> Result[int, ErrorKind]:
    """Return the index of a forwarded command from the response of the leader."""
    if response.is_error():
        return Error(response.error)
    if response.ok == MAY_BE_COMMITTED:
        return Error(ErrorKind.NO_QUORUM)
    if response.ok == SUPERSEDED:
        return Error(ErrorKind.SUPERSEDED)
    index = int.from_bytes(response.ok, "big")
    return Ok(index) if index else Error(ErrorKind.NOT_LEADER)


async def call_replica(
    clients: Clients,
    replica_id: str,
    protocol: Protocol,
    payload: bytes,
    timeout_ms: float,
) -> Result[bytes, ErrorKind]:
    """Call a replica with its client among ``clients``, which may be created."""
    address = host_and_port(replica_id)
    client = clients.get(address)
    if client is None:
        client = clients[address] = RpcClient(*address)
    result = await client.call(protocol, payload, timeout_ms)
    if result.is_error() and clients.get(address) is client:
        # The connection may be half-open: lost without a reset. Other calls on it may
        # still be answered.
        del clients[address]
        await client.close_when_idle()
    return result
