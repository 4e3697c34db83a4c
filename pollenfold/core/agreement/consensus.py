"""The replicated log: Raft as a pure function of state, event and time.

``step`` returns the next state and the actions to perform, in this order. A persist
action must be durable before the actions after it are performed; if it fails, the
state must be discarded and the replica restarted from what is stored.
"""

from __future__ import annotations

from dataclasses import replace

from ..clock import Instant, add_ms
from .departures import record_leave
from .election import on_vote_request, on_vote_response, start_pre_vote
from .log import Entry, Log, Snapshot
from .members import add_learner, has_left, with_voters_from_log
from .messages import (
    Action,
    AppendRequest,
    AppendResponse,
    Compact,
    Event,
    Inquiry,
    InquiryResponse,
    Join,
    Leave,
    Message,
    PersistLog,
    PersistState,
    Propose,
    Receive,
    SendFailed,
    SnapshotRequest,
    SnapshotResponse,
    VoteRequest,
    VoteResponse,
)
from .rejoin import on_inquiry, on_inquiry_response, start_inquiry_round
from .replication import (
    broadcast,
    on_append_request,
    on_follower_response,
    on_send_failed,
    on_snapshot_request,
    propose,
    record_incarnation,
)
from .state import (
    ELECTION_TIMEOUT_MAX_MS,
    ELECTION_TIMEOUT_MIN_MS,
    HEARTBEAT_MS,
    Rejoin,
    Role,
    State,
    Step,
    become_follower,
    is_leader,
    majority_contact_at,
)

__all__ = [
    "ELECTION_TIMEOUT_MAX_MS",
    "ELECTION_TIMEOUT_MIN_MS",
    "HEARTBEAT_MS",
    "Entry",
    "Log",
    "Role",
    "Snapshot",
    "State",
    "initial_state",
    "is_leader",
    "step",
]


def initial_state(
    replica_id: str,
    replica_ids: frozenset[str],
    incarnation: str,
    is_blank: bool,
    stored: PersistState | None,
    log: Log,
    now: Instant,
    timeout_ms: float,
    is_dynamic: bool = False,
) -> State:
    """Return the state of a replica that starts from its stored state and log.

    With ``is_dynamic`` the log names the voters, ``replica_ids`` holds just the
    replica itself, and it is never blank: a new disk has a new id.
    """
    if replica_id not in replica_ids:
        raise ValueError(
            f"expected a replica id of {sorted(replica_ids)}, got {replica_id}"
        )
    # With dynamic members votes alone decide, not the time since the last contact
    # with a leader, so a restarted replica may vote immediately. That shortens the
    # recovery when all replicas restart together.
    leader_contact_at = add_ms(now, -ELECTION_TIMEOUT_MIN_MS) if is_dynamic else now
    state = State(
        replica_id,
        tuple(sorted(replica_ids - {replica_id})),
        incarnation,
        leader_contact_at=leader_contact_at,
        wake_at=now if is_blank else add_ms(now, timeout_ms),
        rejoin=Rejoin(now),
        is_blank=is_blank,
        log=log,
        commit_index=log.snapshot.index,
        is_dynamic=is_dynamic,
    )
    state = with_voters_from_log(state, now)
    if stored is None:
        return state
    return replace(
        state,
        term=stored.term,
        vote=stored.vote,
        vote_floor=stored.vote_floor,
        founders=stored.founders,
    )


def step(state: State, event: Event, now: Instant, timeout_ms: float) -> Step:
    """Return the state after the event and the actions to perform.

    ``timeout_ms`` is a new random election timeout between
    ``ELECTION_TIMEOUT_MIN_MS`` and ``ELECTION_TIMEOUT_MAX_MS``; it is used if the
    event starts an election timer.
    """
    state, actions = _on_event(state, event, now, timeout_ms)
    if state.role is Role.LEADER and has_left(state, state.replica_id):
        # Its removal is committed, so the remaining voters elect the next leader.
        state, _ = become_follower(state, state.term, None, add_ms(now, timeout_ms))
    return state, actions


def _on_event(state: State, event: Event, now: Instant, timeout_ms: float) -> Step:
    match event:
        case Receive(message):
            return _on_message(state, message, now, timeout_ms)
        case Propose(command):
            return propose(state, command, now)
        case Compact(index, data):
            return _compact(state, index, data)
        case Join(replica_id):
            return add_learner(state, replica_id, now), []
        case Leave(replica_id):
            return record_leave(state, replica_id, now), []
        case SendFailed(message):
            return on_send_failed(state, message), []
        case _:
            return _on_tick(state, now, timeout_ms)


def _on_tick(state: State, now: Instant, timeout_ms: float) -> Step:
    if now < state.wake_at:
        return state, []
    if state.is_blank:
        return start_inquiry_round(state, now, timeout_ms)
    if state.role is not Role.LEADER:
        return start_pre_vote(state, now, timeout_ms)
    if now >= add_ms(majority_contact_at(state, now), ELECTION_TIMEOUT_MAX_MS):
        return become_follower(state, state.term, None, add_ms(now, timeout_ms))
    return broadcast(state, now)


def _compact(state: State, index: int, data: bytes) -> Step:
    log = state.log
    term = log.term_at(index)
    if term is None or not log.snapshot.index < index <= state.commit_index:
        return state, []
    state = replace(state, log=log.with_snapshot(Snapshot(index, term, data)))
    actions: list[Action] = [PersistLog(state.log)]
    return state, actions


def _on_message(
    state: State, message: Message, now: Instant, timeout_ms: float
) -> Step:
    if message.recipient != state.replica_id:
        return state, []
    if message.sender not in state.peers and not state.is_dynamic:
        return state, []
    match message.body:
        case VoteRequest() as body:
            wake_at = add_ms(now, timeout_ms)
            return on_vote_request(state, message, body, now, wake_at)
        case VoteResponse() as body:
            return on_vote_response(state, message, body, now, timeout_ms)
        case AppendRequest() as body:
            return on_append_request(state, message, body, now, timeout_ms)
        case SnapshotRequest() as body:
            return on_snapshot_request(state, message, body, now, timeout_ms)
        case AppendResponse() | SnapshotResponse() as body:
            return on_follower_response(state, message, body, now, timeout_ms)
        case Inquiry() as body:
            if state.role is Role.LEADER:
                state = record_incarnation(state, message, True, now)
            return on_inquiry(state, message, body)
        case InquiryResponse() as body:
            return on_inquiry_response(state, message, body, now, timeout_ms)
