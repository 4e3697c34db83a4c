"""Lets a blank replica form a new cluster with the others, or copy their registers.

A blank replica grants no claims. When all replicas are blank, the cluster is new: two
rounds of status requests with the same incarnations prove that all replicas were blank
at one moment between the rounds. The incarnations of these founders are stored, so
that a founder that notices this late may still join empty: it has never voted. It needs
the epochs known to n - majority + 1 of the others; a blank founder knows no epochs.

In all other cases the replica needs the registers of n - majority + 1 of the others.
Every majority that it belonged to contains one of these, so they hold each value that
was chosen with its vote. The replica first sends its new epoch to all of them and then
copies their registers page by page. A peer serves pages only in the process that
accepted the epoch: a peer that loses its disk in between may itself have copied the
others before they knew the epoch.
"""

from __future__ import annotations

from dataclasses import dataclass

import curio

from ..core.register import BLANK_REGISTER, AgedRegister, Register, merge_copies
from ..wire.frames import Protocol
from ..wire.ledger import (
    Body,
    Epochs,
    Fence,
    Page,
    PageRequest,
    Request,
    Status,
    StatusRequest,
    decode_response,
    encode_request,
)
from ..wire.rpc import RpcClient

PEER_TIMEOUT_MS = 1000.0
"""Long enough to read a page of the largest outcomes from a busy peer."""

Copy = dict[str, AgedRegister]


@dataclass(frozen=True, slots=True)
class JoinResult:
    """The content with which a replica starts to vote."""

    registers: dict[str, Register]
    epochs: Epochs
    founders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _PeerStatus:
    epochs: Epochs
    status: Status


async def _call_peer(peer: RpcClient, request: Request) -> tuple[Epochs, Body] | None:
    payload = encode_request("", request)
    result = await peer.call(Protocol.LEDGER, payload, PEER_TIMEOUT_MS)
    if result.is_error():
        return None
    try:
        return decode_response(result.ok)
    except ValueError:
        return None


async def _request_status(peer: RpcClient) -> _PeerStatus | None:
    match await _call_peer(peer, StatusRequest()):
        case (epochs, Status() as status):
            return _PeerStatus(epochs, status)
    return None


async def _request_statuses(peers: dict[str, RpcClient]) -> dict[str, _PeerStatus]:
    async with curio.TaskGroup() as group:
        tasks = {
            name: await group.spawn(_request_status, p) for name, p in peers.items()
        }
    statuses = {name: task.result for name, task in tasks.items()}
    return {name: status for name, status in statuses.items() if status is not None}


async def try_join(
    replica_id: str, incarnation: str, peers: dict[str, RpcClient]
) -> JoinResult | None:
    """Return the initial content, or None when too few other replicas respond."""
    replica_ids = sorted([replica_id, *peers])
    statuses = await _request_statuses(peers)
    founders = _founders(incarnation, statuses)
    if all(peer.status.is_blank for peer in statuses.values()):
        if len(statuses) < len(peers):
            return None
        if _founders(incarnation, await _request_statuses(peers)) != founders:
            return None
        return JoinResult({}, (1,) * len(replica_ids), founders)
    voters = {
        peer_id: voter
        for peer_id, voter in statuses.items()
        if not voter.status.is_blank
    }
    known_epochs = tuple(
        map(max, *(voter.epochs for voter in voters.values()), (0,) * len(replica_ids))
    )
    stored_founders = max(voter.status.founders for voter in voters.values())
    n_required = len(replica_ids) - (len(replica_ids) // 2 + 1) + 1
    if incarnation in stored_founders:
        n_founders = sum(
            peer.status.is_blank and peer.status.incarnation in stored_founders
            for peer in statuses.values()
        )
        has_enough_peers = len(voters) + n_founders >= n_required
        return (
            JoinResult({}, known_epochs, stored_founders) if has_enough_peers else None
        )
    if len(voters) < n_required:
        return None
    own_index = replica_ids.index(replica_id)
    epochs = (
        *known_epochs[:own_index],
        known_epochs[own_index] + 1,
        *known_epochs[own_index + 1 :],
    )
    fence = Fence(replica_id, epochs[own_index])
    fenced = [
        name for name in voters if await _call_peer(peers[name], fence) is not None
    ]
    copies = [await _copy_registers(peers[name], fence) for name in fenced]
    complete_copies = [copy for copy in copies if copy is not None]
    if len(complete_copies) < n_required:
        return None
    # Another replica may have announced its epoch since the status requests.
    epochs = tuple(map(max, epochs, *(known for _, known in complete_copies)))
    return JoinResult(
        _merge_registers([copy for copy, _ in complete_copies]), epochs, stored_founders
    )


def _founders(incarnation: str, statuses: dict[str, _PeerStatus]) -> tuple[str, ...]:
    return tuple(
        sorted([incarnation, *(peer.status.incarnation for peer in statuses.values())])
    )


async def _copy_registers(peer: RpcClient, fence: Fence) -> tuple[Copy, Epochs] | None:
    """Return the registers and epochs of a peer, or None if a request fails.

    The peer reads them at the fence or later.
    """
    registers: Copy = {}
    offset = 0
    while True:
        request = PageRequest(fence.replica_id, fence.epoch, offset)
        match await _call_peer(peer, request):
            case (epochs, Page() as page):
                for key, register, age in page.registers:
                    registers[key] = (register, age)
                offset = page.next_offset
                if page.is_last:
                    return registers, epochs
            case _:
                return None


def _merge_registers(copies: list[Copy]) -> dict[str, Register]:
    keys = {key for copy in copies for key in copy}
    blank = (BLANK_REGISTER, 0.0)
    return {
        key: merge_copies([copy.get(key, blank) for copy in copies]) for key in keys
    }
