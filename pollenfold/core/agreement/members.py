"""Dynamic membership of the replicated log, agreed on in the log itself.

A replica with dynamic members has an id that is never reused for another disk, so a
replica that lost its disk is a new one, which first receives the log as a learner and
then votes. The voters change by one at a time: if two sets differ by one member, any
majority of one and any majority of the other have a replica in common.
"""

from __future__ import annotations

import json
from dataclasses import replace

from ..clock import Instant, add_ms
from .log import Entry, Log
from .messages import PersistState, Propose
from .state import (
    ELECTION_TIMEOUT_MAX_MS,
    Progress,
    Role,
    State,
    is_leader,
)

MEMBERS_PREFIX = b"\x00members\x00"
"""The prefix of a command that replaces the voters; no other command has it."""

ABSENT_AFTER_MS = 1_500.0
"""A voter unresponsive for this long may be replaced by a waiting learner."""

CATCH_UP_ENTRIES = 8
"""A learner may become a voter once it lacks at most this many entries."""


def encode_members(voters: frozenset[str]) -> bytes:
    """Return the command that makes these replicas the voters."""
    return MEMBERS_PREFIX + json.dumps(sorted(voters)).encode()


def decode_members(command: bytes) -> frozenset[str] | None:
    """Return the voters that a command sets, or None for any other command."""
    if not command.startswith(MEMBERS_PREFIX):
        return None
    return frozenset(json.loads(command[len(MEMBERS_PREFIX) :]))


def wrap_snapshot(voters: frozenset[str], data: bytes) -> bytes:
    """Return the data of a snapshot that holds the voters and the state machine."""
    return encode_members(voters) + b"\n" + data


def unwrap_snapshot(data: bytes) -> tuple[frozenset[str], bytes]:
    """Return the voters and the state machine of a snapshot."""
    members_command, _, state_data = data.partition(b"\n")
    return decode_members(members_command) or frozenset(), state_data


def voters_of(log: Log) -> frozenset[str]:
    """Return the latest voters that the log names, committed or not."""
    for entry in reversed(log.entries):
        voters = decode_members(entry.command)
        if voters is not None:
            return voters
    if not log.snapshot.index:
        return frozenset()
    # Only the first line is copied: this runs for each batch of entries, and the state
    # machine may have megabytes.
    data = log.snapshot.data
    members_command = data[: max(0, data.find(b"\n"))]
    return decode_members(members_command) or frozenset()


def address_of(replica_id: str) -> str:
    """Return the address in an id, for example ``10.0.0.1`` for ``10.0.0.1/x``.

    Two ids with the same address are two disks of one machine; the earlier disk is
    gone.
    """
    return replica_id.partition("/")[0]


def host_and_port(replica_id: str) -> tuple[str, int]:
    """Return where a replica listens; ``replica_id`` may be just an address."""
    host, _, port = address_of(replica_id).rpartition(":")
    return host, int(port)


def with_voters_from_log(state: State, now: Instant) -> State:
    """Return the state with the voters that its log names."""
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
        initial_progress = Progress(state.log.last_index + 1, now)
        progress = {peer: progress.get(peer, initial_progress) for peer in peers}
    return replace(
        state, voters=voters, learners=learners, peers=peers, progress=progress
    )


def add_learner(state: State, replica_id: str, now: Instant) -> State:
    """Add a replica that requests to join as a learner, if this is the leader."""
    if state.role is not Role.LEADER or replica_id in state.voters | state.learners:
        return state
    # An earlier disk of the same machine is gone and can't be a learner any more.
    other_learners = {
        k for k in state.learners if address_of(k) != address_of(replica_id)
    }
    return _with_peers(
        state, state.voters, frozenset({*other_learners, replica_id}), now
    )


def next_membership_change(
    state: State, n_target: int, now: Instant
) -> tuple[Propose, str] | None:
    """Return the next change of the voters and its reason, or None.

    A leader changes the voters only when the previous change is committed and so is
    an entry of its own term. In this order: remove an earlier disk of a learner's
    machine; add a learner if there are fewer voters than ``n_target``; remove an
    unresponsive voter if a learner waits to replace it. Only learners that hold
    nearly the complete log are considered.
    """
    if (
        not state.is_dynamic
        or not is_leader(state, now)
        or _has_uncommitted_change(state)
    ):
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
    unresponsive = _longest_unresponsive_voter(state, now)
    if unresponsive is not None:
        return Propose(encode_members(state.voters - {unresponsive})), "voter_absent"
    return None


def waiting_learners(state: State, n_target: int, now: Instant) -> list[str]:
    """Return the responsive learners that may become one of the missing voters."""
    # This runs for each message, and most groups have no learner.
    if state.role is not Role.LEADER or not state.learners:
        return []
    if n_whole_voters(state, now) >= n_target:
        return []
    return _responsive_learners(state, now)


def n_whole_voters(state: State, now: Instant) -> int:
    """Return how many voters a leader has without those that are about to be replaced.

    These are earlier disks of a machine whose new disk is a learner, and, as many as
    there are other responsive learners, voters that are unresponsive for
    ``ABSENT_AFTER_MS``.
    """
    addresses = {address_of(k) for k in state.learners}
    replaced = {k for k in state.voters if address_of(k) in addresses}
    replaced_addresses = {address_of(k) for k in replaced}
    responsive = {address_of(k) for k in _responsive_learners(state, now)}
    n_other_learners = len(responsive - replaced_addresses)
    n_absent = len(set(_unresponsive_voters(state, now)) - replaced)
    return len(state.voters) - len(replaced) - min(n_other_learners, n_absent)


def n_answering_voters(state: State) -> int:
    """Return how many voters have answered this leader, itself included."""
    n_others = sum(
        state.is_voter(k) and p.match_index > 0 for k, p in state.progress.items()
    )
    return n_others + state.is_voter(state.replica_id)


def _responsive_learners(state: State, now: Instant) -> list[str]:
    """Return the learners that have answered a leader within ``ABSENT_AFTER_MS``."""
    return [
        k
        for k in state.learners
        if k in state.progress
        and now < add_ms(state.progress[k].last_contact_at, ABSENT_AFTER_MS)
    ]


def _has_uncommitted_change(state: State) -> bool:
    uncommitted = state.log.between(state.commit_index + 1, state.log.last_index)
    return any(decode_members(entry.command) is not None for entry in uncommitted)


def _is_caught_up(state: State, replica_id: str, now: Instant) -> bool:
    progress = state.progress[replica_id]
    is_near_log_end = progress.match_index + CATCH_UP_ENTRIES >= state.log.last_index
    is_responsive = now < add_ms(progress.last_contact_at, ELECTION_TIMEOUT_MAX_MS)
    return progress.match_index > 0 and is_near_log_end and is_responsive


def _longest_unresponsive_voter(state: State, now: Instant) -> str | None:
    """Return the voter that has been unresponsive longest, or None.

    None also if the responsive voters would be no majority of the remaining ones.
    """
    unresponsive = _unresponsive_voters(state, now)
    n_responsive = len(state.voters) - len(unresponsive)
    n_remaining = len(state.voters) - 1
    if not unresponsive or n_responsive < n_remaining // 2 + 1:
        return None
    return min(unresponsive, key=lambda k: (state.progress[k].last_contact_at, k))


def _unresponsive_voters(state: State, now: Instant) -> list[str]:
    return [
        k
        for k in state.voters - {state.replica_id}
        if k in state.progress
        and now >= add_ms(state.progress[k].last_contact_at, ABSENT_AFTER_MS)
    ]


def founder_state(replica_id: str) -> tuple[PersistState, Log]:
    """Return the initial state and log of the founder of a group, its only voter."""
    entry = Entry(1, 1, encode_members(frozenset({replica_id})))
    return PersistState(1, None, 0, ()), Log(entries=(entry,))
