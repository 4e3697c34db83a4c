"""Leader election: pre-votes, votes and the start of a leader's term."""

from __future__ import annotations

from dataclasses import replace

from ..clock import Instant, add_ms
from .log import Entry
from .members import with_recent_learners
from .messages import (
    Action,
    Message,
    PersistEntries,
    VoteRequest,
    VoteResponse,
)
from .replication import advance_commit, broadcast
from .state import (
    ELECTION_TIMEOUT_MIN_MS,
    Progress,
    Role,
    State,
    Step,
    become_follower,
    majority_contact_at,
)


def start_pre_vote(state: State, now: Instant, timeout_ms: float) -> Step:
    """Ask whether a majority would vote for this replica; the term isn't raised.

    An isolated replica repeats this and keeps its term, so the others need no new
    election when it reconnects.
    """
    if not state.is_voter(state.replica_id):
        return replace(state, leader_id=None, wake_at=add_ms(now, timeout_ms)), []
    state = replace(
        state,
        role=Role.PRE_CANDIDATE,
        leader_id=None,
        votes=frozenset({state.replica_id}),
        wake_at=add_ms(now, timeout_ms),
        n_elections=state.n_elections + 1,
    )
    if len(state.votes) >= state.n_majority:
        return _start_election(state, now, timeout_ms)
    return state, _request_votes(state, state.term + 1, is_pre_vote=True)


def _start_election(state: State, now: Instant, timeout_ms: float) -> Step:
    state = replace(
        state,
        role=Role.CANDIDATE,
        term=state.term + 1,
        vote=state.replica_id,
        votes=frozenset({state.replica_id}),
        wake_at=add_ms(now, timeout_ms),
    )
    actions: list[Action] = [state.persist()]
    if len(state.votes) >= state.n_majority:
        state, leader_actions = _become_leader(state, now)
        return state, actions + leader_actions
    return state, actions + _request_votes(state, state.term, is_pre_vote=False)


def _request_votes(state: State, term: int, is_pre_vote: bool) -> list[Action]:
    body = VoteRequest(term, is_pre_vote, state.log.last_index, state.log.last_term)
    voters = (peer for peer in state.peers if state.is_voter(peer))
    return [state.send(peer, body) for peer in voters]


def _become_leader(state: State, now: Instant) -> Step:
    state = with_recent_learners(state, now)
    last_index = state.log.last_index
    entry = Entry(last_index + 1, state.term, b"")
    progress = {
        peer: Progress(last_index + 1, _last_contact_at(state, peer, now))
        for peer in state.peers
    }
    state = replace(
        state,
        role=Role.LEADER,
        leader_id=state.replica_id,
        has_seen_leader=True,
        n_elections=0,
        progress=progress,
        log=state.log.with_entries((entry,)),
        term_start_index=entry.index,
    )
    persist = PersistEntries((entry,))
    state, sends = broadcast(state, now)
    state, applies = advance_commit(state)
    return state, [persist, *sends, *applies]


def _last_contact_at(state: State, peer: str, now: Instant) -> Instant:
    """Return since when a new leader counts the silence of another replica.

    The leader before has been silent since this replica heard of it, unless it voted.
    Of all others nothing is known.
    """
    if peer == state.previous_leader_id and peer not in state.votes:
        return state.leader_contact_at
    return now


def on_vote_request(
    state: State, message: Message, request: VoteRequest, now: Instant, wake_at: Instant
) -> Step:
    """Respond to a request for a vote or a pre-vote.

    If a message from a leader was received within the shortest election timeout, the
    request has no effect, not even on the term; ``is_leader`` relies on this.
    """
    if state.is_blank or _has_recent_leader(state, now):
        return state, [_vote_response(state, message, request, False)]
    is_log_up_to_date = (request.last_term, request.last_index) >= (
        state.log.last_term,
        state.log.last_index,
    )
    if request.is_pre_vote:
        is_granted = is_log_up_to_date and request.term > state.term
        return state, [_vote_response(state, message, request, is_granted)]
    actions: list[Action] = []
    if request.term > state.term:
        state, actions = become_follower(state, request.term, None, state.wake_at)
    is_granted = (
        is_log_up_to_date
        and request.term == state.term > state.vote_floor
        and state.vote in (None, message.sender)
    )
    if is_granted:
        state, _ = become_follower(state, state.term, None, wake_at)
        state = replace(state, vote=message.sender)
        actions = [state.persist()]
    return state, [*actions, _vote_response(state, message, request, is_granted)]


def _vote_response(
    state: State, message: Message, request: VoteRequest, is_granted: bool
) -> Action:
    body = VoteResponse(
        state.term, message.incarnation, request.is_pre_vote, request.term, is_granted
    )
    return state.send(message.sender, body)


def _has_recent_leader(state: State, now: Instant) -> bool:
    contact_at = state.leader_contact_at
    if state.role is Role.LEADER:
        contact_at = majority_contact_at(state, now)
    return now < add_ms(contact_at, ELECTION_TIMEOUT_MIN_MS)


def on_vote_response(
    state: State,
    message: Message,
    response: VoteResponse,
    now: Instant,
    timeout_ms: float,
) -> Step:
    """Count a vote; with a majority, start the election or become leader.

    A vote that arrives after the end of the candidacy doesn't count: the voter may
    have lost its disk since, and ``agreement_rejoin`` relies on such votes being void.
    """
    if response.term > state.term and not response.is_granted:
        return become_follower(state, response.term, None, add_ms(now, timeout_ms))
    role = Role.PRE_CANDIDATE if response.is_pre_vote else Role.CANDIDATE
    for_term = state.term + 1 if response.is_pre_vote else state.term
    if (
        state.role is not role
        or response.to_incarnation != state.incarnation
        or response.for_term != for_term
        or not response.is_granted
        or now >= state.wake_at
    ):
        return state, []
    if not state.is_voter(message.sender):
        return state, []
    state = replace(state, votes=state.votes | {message.sender})
    if len(state.votes) < state.n_majority:
        return state, []
    if response.is_pre_vote:
        return _start_election(state, now, timeout_ms)
    return _become_leader(state, now)
