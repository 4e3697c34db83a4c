"""Rejoin of a replica that lost its disk: it doesn't vote until it has caught up.

A blank replica sends an inquiry to all others once per heartbeat interval. If all of
them are blank at the same instant, the cluster is new. Otherwise it needs the terms of
enough others that every quorum of its earlier incarnation includes one of them, and
then the complete log of a leader whose term is at least the largest of these terms.
"""

from __future__ import annotations

from dataclasses import replace

from ..clock import Instant, add_ms
from .messages import (
    Action,
    AppendRequest,
    Inquiry,
    InquiryResponse,
    Message,
    PersistJoined,
    SnapshotRequest,
)
from .state import (
    ELECTION_TIMEOUT_MAX_MS,
    HEARTBEAT_MS,
    State,
    Step,
)

BLANK_WAIT_MS = 1.25 * ELECTION_TIMEOUT_MAX_MS
"""A replica ignores the terms from rounds that start in its first ``BLANK_WAIT_MS``.

A candidate may still count a vote of the earlier incarnation while another voter
reports its old term and votes afterwards. That candidacy has ended after the longest
election timeout; the factor is a margin for the drift of clocks.
"""


def start_inquiry_round(state: State, now: Instant, timeout_ms: float) -> Step:
    """Send an inquiry to all other replicas, or found a cluster of one."""
    rejoin = state.rejoin
    if not state.peers:
        return _found_cluster(state, now, timeout_ms, ())
    is_all_blank = len(rejoin.blank_peers) == len(state.peers)
    rejoin = replace(
        rejoin,
        round=rejoin.round + 1,
        round_started_at=now,
        previous_blank_peers=rejoin.blank_peers if is_all_blank else {},
        blank_peers={},
    )
    state = replace(state, rejoin=rejoin, wake_at=add_ms(now, HEARTBEAT_MS))
    return state, [state.send(peer, Inquiry(rejoin.round)) for peer in state.peers]


def on_inquiry(state: State, message: Message, inquiry: Inquiry) -> Step:
    """Report this replica's term to a blank replica."""
    body = InquiryResponse(
        inquiry.round, message.incarnation, state.is_blank, state.term, state.founders
    )
    return state, [state.send(message.sender, body)]


def on_inquiry_response(
    state: State,
    message: Message,
    response: InquiryResponse,
    now: Instant,
    timeout_ms: float,
) -> Step:
    """Record one response; found the cluster once all replicas are known to be blank.

    One round can collect responses of replicas that were blank at different times.
    If two consecutive rounds get the same responses, all blank, then all replicas
    were blank at the instant between the rounds.
    """
    rejoin = state.rejoin
    if not state.is_blank or response.to_incarnation != state.incarnation:
        return state, []
    if response.round != rejoin.round:
        return state, []
    if (state.replica_id, state.incarnation) in response.founders:
        return _found_cluster(state, now, timeout_ms, response.founders)
    terms = {k: v for k, v in rejoin.terms.items() if k != message.sender}
    if response.is_blank:
        blank_peers = {**rejoin.blank_peers, message.sender: message.incarnation}
        rejoin = replace(rejoin, blank_peers=blank_peers)
    elif rejoin.round_started_at >= add_ms(rejoin.started_at, BLANK_WAIT_MS):
        terms[message.sender] = response.term
    state = replace(state, rejoin=replace(rejoin, terms=terms))
    if (
        len(rejoin.blank_peers) < len(state.peers)
        or rejoin.blank_peers != rejoin.previous_blank_peers
    ):
        return state, []
    founders = {**rejoin.blank_peers, state.replica_id: state.incarnation}
    return _found_cluster(state, now, timeout_ms, tuple(sorted(founders.items())))


def _found_cluster(
    state: State,
    now: Instant,
    timeout_ms: float,
    founders: tuple[tuple[str, str], ...],
) -> Step:
    state = replace(
        state,
        is_blank=False,
        founders=founders,
        wake_at=add_ms(now, timeout_ms),
    )
    return state, [state.persist(), PersistJoined()]


def join_if_caught_up(
    state: State,
    request: AppendRequest | SnapshotRequest,
    match_index: int,
    wake_at: Instant,
) -> Step:
    """End the blank state once the local log holds the leader's complete log.

    The leader must have sent the request to this incarnation: an older request may
    end before entries that the earlier incarnation acknowledged.
    """
    n_needed = len(state.peers) + 2 - state.n_majority
    terms = state.rejoin.terms
    if not state.is_blank or len(terms) < n_needed:
        return state, []
    if request.to_incarnation != state.incarnation:
        return state, []
    if request.term < max(terms.values()) or match_index < request.last_index:
        return state, []
    state = replace(state, is_blank=False, vote_floor=state.term, wake_at=wake_at)
    actions: list[Action] = [state.persist(), PersistJoined()]
    return state, actions
