"""Members of the replicated log that are agreed on in the log itself.

A replica with dynamic members has an id that it never gives to another disk, so a
replica that lost its disk is a new one, which first learns the log and then votes.
The voters change by one at a time: two sets that differ by one member always have a
replica in common in any two of their majorities.
"""

from __future__ import annotations

import json
from dataclasses import replace

from .agreement_log import Entry, Log
from .agreement_messages import PersistState, Propose
from .agreement_state import (
    ELECTION_TIMEOUT_MAX_MS,
    Progress,
    Role,
    State,
    is_leader,
)
from .clock import Instant, add_ms

MEMBERS_PREFIX = b"\x00members\x00"
"""Starts a command that replaces the voters; no other command starts with it."""

ABSENT_AFTER_MS = 1_500.0
"""A voter that was silent for so long may be replaced by a learner that waits."""

CATCH_UP_ENTRIES = 8
"""A learner that lacks no more entries than this may become a voter."""


def encode_members(voters: frozenset[str]) -> bytes:
    """Return the command that makes these replicas the voters."""
    return MEMBERS_PREFIX + json.dumps(sorted(voters)).encode()


def decode_members(command: bytes) -> frozenset[str] | None:
    """Return the voters of a command, or None for any other command."""
    if not command.startswith(MEMBERS_PREFIX):
        return None
    return frozenset(json.loads(command[len(MEMBERS_PREFIX) :]))


def wrap_snapshot(voters: frozenset[str], data: bytes) -> bytes:
    """Return a snapshot that holds the voters beside the state machine."""
    return encode_members(voters) + b"\n" + data


def unwrap_snapshot(data: bytes) -> tuple[frozenset[str], bytes]:
    """Return the voters and the state machine of a snapshot."""
    head, _, rest = data.partition(b"\n")
    return decode_members(head) or frozenset(), rest


def voters_of(log: Log) -> frozenset[str]:
    """Return the latest voters that the log names, committed or not."""
    for entry in reversed(log.entries):
        voters = decode_members(entry.command)
        if voters is not None:
            return voters
    if not log.snapshot.index:
        return frozenset()
    return unwrap_snapshot(log.snapshot.data)[0]


def address_of(replica_id: str) -> str:
    """Return the address part of an id, for example ``10.0.0.1`` of ``10.0.0.1/x``.

    Two ids with one address are two disks of one machine, of which the earlier one
    is gone.
    """
    return replica_id.partition("/")[0]


def host_and_port(replica_id: str) -> tuple[str, int]:
    """Return where a replica listens; ``replica_id`` may be a mere address."""
    host, _, port = address_of(replica_id).rpartition(":")
    return host, int(port)


def with_members(state: State, now: Instant) -> State:
    """Return the state with voters as its log names them."""
    if not state.is_dynamic:
        return state
    voters = voters_of(state.log)
    learners = state.learners - voters
    return _with_peers(state, voters, learners, now)


def _with_peers(
    state: State, voters: frozenset[str], learners: frozenset[str], now: Instant
) -> State:
    peers = tuple(sorted((voters | learners) - {state.replica_id}))
    progress = state.progress
    if state.role is Role.LEADER:
        first = Progress(state.log.last_index + 1, now)
        progress = {peer: progress.get(peer, first) for peer in peers}
    return replace(
        state, voters=voters, learners=learners, peers=peers, progress=progress
    )


def add_learner(state: State, replica_id: str, now: Instant) -> State:
    """Let a leader send its log to a replica that asks to join."""
    if state.role is not Role.LEADER or replica_id in state.voters | state.learners:
        return state
    # An earlier disk of the same machine asks for nothing any more.
    others = {k for k in state.learners if address_of(k) != address_of(replica_id)}
    return _with_peers(state, state.voters, frozenset({*others, replica_id}), now)


def next_members(
    state: State, n_target: int, now: Instant
) -> tuple[Propose, str] | None:
    """Return the next change of the voters and its reason, or None.

    A leader changes the voters only when the change before is committed and so is an
    entry of its own term. Order: add a learner where a place is free; remove an
    earlier disk of a learner's machine; remove a voter that is silent, when a learner
    waits for its place. A learner is added only once it has nearly the whole log.
    """
    if not state.is_dynamic or not is_leader(state, now) or _is_changing(state):
        return None
    ready = [
        k
        for k in sorted(state.learners)
        if k in state.progress and _is_caught_up(state, k, now)
    ]
    if not ready:
        return None
    replaced = [
        k
        for k in sorted(state.voters - {state.replica_id})
        if any(address_of(k) == address_of(learner) for learner in ready)
    ]
    if len(state.voters) < n_target and not replaced:
        return Propose(encode_members(state.voters | {ready[0]})), "learner_added"
    if replaced:
        return Propose(encode_members(state.voters - {replaced[0]})), "disk_replaced"
    silent = _longest_silent(state, now)
    if silent is not None:
        return Propose(encode_members(state.voters - {silent})), "voter_absent"
    return None


def _is_changing(state: State) -> bool:
    uncommitted = state.log.between(state.commit_index + 1, state.log.last_index)
    return any(decode_members(entry.command) is not None for entry in uncommitted)


def _is_caught_up(state: State, replica_id: str, now: Instant) -> bool:
    progress = state.progress[replica_id]
    is_near = progress.match_index + CATCH_UP_ENTRIES >= state.log.last_index
    is_heard = now < add_ms(progress.answered_at, ELECTION_TIMEOUT_MAX_MS)
    return progress.match_index > 0 and is_near and is_heard


def _longest_silent(state: State, now: Instant) -> str | None:
    """Return the voter to drop, if the others still form a majority without it."""
    silent = [
        (state.progress[k].answered_at, k)
        for k in state.voters - {state.replica_id}
        if now >= add_ms(state.progress[k].answered_at, ABSENT_AFTER_MS)
    ]
    n_present = len(state.voters) - len(silent)
    n_left = len(state.voters) - 1
    if not silent or n_present < n_left // 2 + 1:
        return None
    return min(silent)[1]


def founding(replica_id: str) -> tuple[PersistState, Log]:
    """Return what the founder of a group stores: itself as the only voter."""
    entry = Entry(1, 1, encode_members(frozenset({replica_id})))
    return PersistState(1, None, 0, ()), Log(entries=(entry,))
