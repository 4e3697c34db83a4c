"""Dynamic membership of the replicated log, agreed on in the log itself.

A replica with dynamic members has an id that is never reused for another disk, so a
replica that lost its disk is a new one, which first receives the log as a learner and
then votes. The voters change by one at a time: if two sets differ by one member, any
majority of one and any majority of the other have a replica in common.
"""

from __future__ import annotations

import json
from collections.abc import Collection
from dataclasses import replace

from ..clock import Instant, add_ms
from .departures import Departure, is_leaving, leaving_voter
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

ABSENT_AFTER_MS = ELECTION_TIMEOUT_MAX_MS
"""A voter unresponsive for this long may be replaced by a waiting learner."""

LEARNER_ABSENT_AFTER_MS = 1_500.0
"""A learner unresponsive for this long isn't waited for any more."""

JOIN_VALID_MS = 1_500.0
"""How long a request to join holds at a replica that doesn't lead; it is repeated."""

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
    """Add a replica that requests to join as a learner, once this is the leader."""
    if replica_id in state.voters:
        return state
    # An earlier disk of the same machine is gone and can't be a learner any more.
    other_joins = {
        k: v
        for k, v in state.joins.items()
        if address_of(k) != address_of(replica_id) and now < add_ms(v, JOIN_VALID_MS)
    }
    state = replace(state, joins={**other_joins, replica_id: now})
    if state.role is not Role.LEADER or replica_id in state.learners:
        return state
    other_learners = {
        k for k in state.learners if address_of(k) != address_of(replica_id)
    }
    return _with_peers(
        state, state.voters, frozenset({*other_learners, replica_id}), now
    )


def with_recent_learners(state: State, now: Instant) -> State:
    """Return the state of a new leader with those that asked others to join lately."""
    learners = {k for k, v in state.joins.items() if now < add_ms(v, JOIN_VALID_MS)}
    if not learners - state.voters:
        return state
    return _with_peers(state, state.voters, frozenset(learners - state.voters), now)


def next_membership_change(
    state: State, n_target: int, now: Instant
) -> tuple[Propose, str] | None:
    """Return the next change of the voters and its reason, or None.

    A leader changes the voters only when the previous change is committed and so is
    an entry of its own term. In this order: remove an earlier disk of a learner's
    machine; add a learner if there are fewer voters than ``n_target``; remove an
    unresponsive voter if a learner waits to replace it; let a learner take the place
    of a voter that leaves. Only learners that hold nearly the complete log are
    considered.

    The successor of a voter that leaves is added first: until the voter is removed,
    the group has one more copy of the log. If the voter stops in between, or stays
    after all, there is one voter too many, and one is removed.
    """
    if (
        not state.is_dynamic
        or not is_leader(state, now)
        or _has_uncommitted_change(state)
    ):
        return None
    ready = _ready_learners(state, now)
    replaced = _replaced_disk(state, ready)
    if replaced is not None:
        return _without(state, replaced), "disk_replaced"
    if len(state.voters) < n_target:
        return (_with(state, ready[0]), "learner_added") if ready else None
    has_surplus = len(state.voters) > n_target
    unresponsive = _longest_unresponsive_voter(state, now)
    if unresponsive is not None and (ready or has_surplus):
        return _without(state, unresponsive), "voter_absent"
    leaving = leaving_voter(state, now)
    if not has_surplus:
        if leaving is None or not ready:
            return None
        return _with(state, ready[0]), "successor_added"
    reason = "voter_in_surplus" if leaving is None else "voter_left"
    removed = leaving or min(state.voters - {state.replica_id})
    if not _is_removable(state, removed, now):
        return None
    return _without(state, removed), reason


def _ready_learners(state: State, now: Instant) -> list[str]:
    return [
        k
        for k in sorted(state.learners)
        if k in state.progress
        and _is_caught_up(state, k, now)
        and not is_leaving(state, k, now)
    ]


def _replaced_disk(state: State, ready: list[str]) -> str | None:
    """Return a voter whose machine has a new disk, which is a ready learner."""
    addresses = {address_of(k) for k in ready}
    others = sorted(state.voters - {state.replica_id})
    return next((k for k in others if address_of(k) in addresses), None)


def _with(state: State, replica_id: str) -> Propose:
    return Propose(encode_members(state.voters | {replica_id}))


def _without(state: State, replica_id: str) -> Propose:
    return Propose(encode_members(state.voters - {replica_id}))


def has_left(state: State, replica_id: str) -> bool:
    """Return whether a replica isn't a voter, by a committed change of the members."""
    return (
        state.is_dynamic
        and replica_id not in state.voters
        and not _has_uncommitted_change(state)
    )


def departure(state: State, replica_id: str, n_target: int, now: Instant) -> Departure:
    """Return how far the leave of a replica is, as its leader knows it."""
    if has_left(state, replica_id):
        return Departure.LEFT
    has_surplus = len(state.voters) > n_target
    if has_surplus or _has_uncommitted_change(state):
        # The replica may be one of those that have to commit the change.
        return Departure.WAITING
    has_learner = any(_responsive_learners(state, now))
    return Departure.WAITING if has_learner else Departure.NO_SUCCESSOR


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
    """Return the learners that lately answered the leader.

    Those that are about to stop are left out.
    """
    return [
        k
        for k in state.learners
        if k in state.progress
        and not is_leaving(state, k, now)
        and now < add_ms(state.progress[k].last_contact_at, LEARNER_ABSENT_AFTER_MS)
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
    """Return the voter that has been unresponsive longest and may be removed, or None.

    The others must be a majority without it, and without those that are about to
    stop: if they aren't, the group needs the one that is unresponsive to return.
    """
    unresponsive = _unresponsive_voters(state, now)
    leaving = {k for k in state.voters if is_leaving(state, k, now)}
    if not unresponsive or not _is_removable(state, unresponsive[0], now, leaving):
        return None
    return min(unresponsive, key=lambda k: (state.progress[k].last_contact_at, k))


def _is_removable(
    state: State,
    replica_id: str,
    now: Instant,
    uncounted: Collection[str] = (),
) -> bool:
    """Return whether the responsive voters are a majority without this one."""
    remaining = state.voters - {replica_id}
    absent = {*_unresponsive_voters(state, now), *uncounted}
    return len(remaining - absent) >= len(remaining) // 2 + 1


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
