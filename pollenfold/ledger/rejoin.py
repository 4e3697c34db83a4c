"""How a blank replica forms a new cluster with the others, or copies them.

A blank replica answers no claim. When all replicas are blank, the cluster is new: two
rounds that show the same incarnations prove that all were blank at one moment in
between. The incarnations of the founders are stored, so that a founder that was slow
to see this may still join empty: it has never voted. It needs the epochs that n -
majority + 1 of the others know; a blank founder knows of none.

Otherwise it needs n - majority + 1 of the others. Every majority that it belonged to
contains one of these, so each value chosen with its help is in their registers. It
first tells all of them its new epoch, then copies them page by page. A peer serves
pages only in the process that took the epoch: if that peer loses its disk in between,
it may itself have copied the others before they knew the epoch.
"""

from __future__ import annotations

from dataclasses import dataclass

import curio

from ..core.register import BLANK_REGISTER, Aged, Register, merge_copies
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
"""Covers reading a page of the largest outcomes from a busy peer."""

Copy = dict[str, Aged]


@dataclass(frozen=True, slots=True)
class Joined:
    """What a replica starts with once it may vote."""

    registers: dict[str, Register]
    epochs: Epochs
    founders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _PeerStatus:
    epochs: Epochs
    status: Status


async def _ask(peer: RpcClient, request: Request) -> tuple[Epochs, Body] | None:
    payload = encode_request("", request)
    result = await peer.call(Protocol.LEDGER, payload, PEER_TIMEOUT_MS)
    if result.is_error():
        return None
    try:
        return decode_response(result.ok)
    except ValueError:
        return None


async def _ask_status(peer: RpcClient) -> _PeerStatus | None:
    match await _ask(peer, StatusRequest()):
        case (epochs, Status() as status):
            return _PeerStatus(epochs, status)
    return None


async def _ask_all(peers: dict[str, RpcClient]) -> dict[str, _PeerStatus]:
    async with curio.TaskGroup() as group:
        tasks = {name: await group.spawn(_ask_status, p) for name, p in peers.items()}
    answers = {name: task.result for name, task in tasks.items()}
    return {name: answer for name, answer in answers.items() if answer is not None}


async def try_join(
    replica_id: str, incarnation: str, peers: dict[str, RpcClient]
) -> Joined | None:
    """Return the content to start with, or None when too few others answer."""
    ids = sorted([replica_id, *peers])
    answers = await _ask_all(peers)
    founders = _founders(incarnation, answers)
    if all(answer.status.is_blank for answer in answers.values()):
        if len(answers) < len(peers):
            return None
        if _founders(incarnation, await _ask_all(peers)) != founders:
            return None
        return Joined({}, (1,) * len(ids), founders)
    voters = {n: a for n, a in answers.items() if not a.status.is_blank}
    known = tuple(map(max, *(a.epochs for a in voters.values()), (0,) * len(ids)))
    stored = max(a.status.founders for a in voters.values())
    n_needed = len(ids) - (len(ids) // 2 + 1) + 1
    if incarnation in stored:
        n_founders = sum(
            answer.status.is_blank and answer.status.incarnation in stored
            for answer in answers.values()
        )
        is_known = len(voters) + n_founders >= n_needed
        return Joined({}, known, stored) if is_known else None
    if len(voters) < n_needed:
        return None
    own = ids.index(replica_id)
    epochs = (*known[:own], known[own] + 1, *known[own + 1 :])
    fence = Fence(replica_id, epochs[own])
    fenced = [name for name in voters if await _ask(peers[name], fence) is not None]
    copies = [await _copy(peers[name], fence) for name in fenced]
    whole = [copy for copy in copies if copy is not None]
    if len(whole) < n_needed:
        return None
    # Another replica may have announced its epoch since the first answers.
    epochs = tuple(map(max, epochs, *(known for _, known in whole)))
    return Joined(_merge([copy for copy, _ in whole]), epochs, stored)


def _founders(incarnation: str, answers: dict[str, _PeerStatus]) -> tuple[str, ...]:
    return tuple(
        sorted([incarnation, *(a.status.incarnation for a in answers.values())])
    )


async def _copy(peer: RpcClient, fence: Fence) -> tuple[Copy, Epochs] | None:
    """Return all registers and epochs of a peer as of the fence or later."""
    registers: Copy = {}
    offset = 0
    while True:
        request = PageRequest(fence.replica_id, fence.epoch, offset)
        match await _ask(peer, request):
            case (epochs, Page() as page):
                for key, register, age in page.registers:
                    registers[key] = (register, age)
                offset = page.next_offset
                if page.is_last:
                    return registers, epochs
            case _:
                return None


def _merge(copies: list[Copy]) -> dict[str, Register]:
    keys = {key for copy in copies for key in copy}
    blank = (BLANK_REGISTER, 0.0)
    return {
        key: merge_copies([copy.get(key, blank) for copy in copies]) for key in keys
    }
