"""The blank replica rule: no vote after a lost disk until caught up.

A blank replica inquires of all others once per heartbeat. When all of them are blank
at one instant, the cluster is new. Otherwise it needs the terms of enough others
that every quorum of its earlier incarnation includes one of them, and then the whole
log of a leader of at least the largest of these terms.
"""

from __future__ import annotations

from dataclasses import replace

from .agreement_messages import (
    Action,
    AppendRequest,
    Inquiry,
    InquiryResponse,
    Message,
    PersistJoined,
    SnapshotRequest,
)
from .agreement_state import (
    ELECTION_TIMEOUT_MAX_MS,
    HEARTBEAT_MS,
    State,
    Step,
)
from .clock import Instant, add_ms

BLANK_WAIT_MS = 1.25 * ELECTION_TIMEOUT_MAX_MS
"""Terms count from this time after the start on.

A vote of the earlier incarnation may still be counted by a candidate while another
voter reports its old term and votes afterwards. After the longest election timeout,
with a margin for the rate of clocks, that candidacy has ended.
"""


def start_round(state: State, now: Instant, timeout_ms: float) -> Step:
    """Inquire of all other replicas, or found a cluster of one."""
    rejoin = state.rejoin
    if not state.peers:
        return _found(state, now, timeout_ms, ())
    is_all_blank = len(rejoin.blank) == len(state.peers)
    rejoin = replace(
        rejoin,
        round=rejoin.round + 1,
        round_started_at=now,
        confirmed=rejoin.blank if is_all_blank else {},
        blank={},
    )
    state = replace(state, rejoin=rejoin, wake_at=add_ms(now, HEARTBEAT_MS))
    return state, [state.send(peer, Inquiry(rejoin.round)) for peer in state.peers]


def on_inquiry(state: State, message: Message, inquiry: Inquiry) -> Step:
    """Report the own term to a blank replica."""
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
    """Record one answer; found the cluster when that is certain.

    One round can collect answers of replicas that were blank at different times.
    When all answers of two rounds in a row are alike, all replicas were blank at the
    instant between the rounds.
    """
    rejoin = state.rejoin
    if not state.is_blank or response.to_incarnation != state.incarnation:
        return state, []
    if response.round != rejoin.round:
        return state, []
    if (state.replica_id, state.incarnation) in response.founders:
        return _found(state, now, timeout_ms, response.founders)
    terms = {k: v for k, v in rejoin.terms.items() if k != message.sender}
    if response.is_blank:
        blank = {**rejoin.blank, message.sender: message.incarnation}
        rejoin = replace(rejoin, blank=blank)
    elif rejoin.round_started_at >= add_ms(rejoin.started_at, BLANK_WAIT_MS):
        terms[message.sender] = response.term
    state = replace(state, rejoin=replace(rejoin, terms=terms))
    if len(rejoin.blank) < len(state.peers) or rejoin.blank != rejoin.confirmed:
        return state, []
    founders = {**rejoin.blank, state.replica_id: state.incarnation}
    return _found(state, now, timeout_ms, tuple(sorted(founders.items())))


def _found(
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
    """End the blank state once the own log holds the whole log of the leader.

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
