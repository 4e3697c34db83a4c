"""The state of one replica of the log, and values derived from it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from ..clock import Instant, add_ms
from .log import Log
from .messages import Action, Body, Message, PersistState, Send

HEARTBEAT_MS = 100.0
ELECTION_TIMEOUT_MIN_MS = 400.0
ELECTION_TIMEOUT_MAX_MS = 800.0


class Role(Enum):
    """The Raft role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Progress:
    """The replication progress of one follower, as its leader knows it.

    ``last_contact_at`` is when the leader sent the last request that got a response.
    ``retired_incarnations`` holds earlier incarnations of the follower; their late
    responses are ignored. ``document_sent_at`` is when the document was sent whose
    response is awaited, or None; it is sent again after ``document_resend_at``.
    ``n_slow_documents`` counts those in a row that were not answered in time by a
    follower that answered heartbeats.
    """

    next_index: int
    last_contact_at: Instant
    match_index: int = 0
    incarnation: str = ""
    retired_incarnations: frozenset[str] = frozenset()
    is_blank: bool = False
    is_awaiting_response: bool = False
    snapshot_offset_bytes: int = 0
    document_sent_at: Instant | None = None
    document_resend_at: Instant = Instant(0.0)
    n_slow_documents: int = 0
    accepts_compressed: bool | None = None
    """Whether the follower accepts compressed snapshots; None until it has answered a
    heartbeat, and again after a failed call."""

    snapshot_index: int = 0
    is_snapshot_compressed: bool = False
    """Which snapshot ``snapshot_offset_bytes`` belongs to, and in which form."""


@dataclass(frozen=True, slots=True)
class PartialSnapshot:
    """The chunks of a snapshot received so far."""

    leader_term: int
    index: int
    data: bytes
    is_compressed: bool = False


@dataclass(frozen=True, slots=True)
class Rejoin:
    """The responses to the inquiries of a blank replica.

    ``blank_peers`` maps the replicas that were blank in the current round to their
    incarnations; ``previous_blank_peers`` holds those of the round before if all
    peers were blank, and is empty otherwise. ``terms`` holds the terms of the peers
    that aren't blank.
    """

    started_at: Instant
    round: int = 0
    round_started_at: Instant = Instant(0.0)
    blank_peers: dict[str, str] = field(default_factory=dict)
    previous_blank_peers: dict[str, str] = field(default_factory=dict)
    terms: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class State:
    """The state of one replica: identity, durable state, then volatile state.

    With ``is_dynamic`` the voters are those that the log names; learners receive the
    log and don't vote. No vote is granted in a term up to ``vote_floor``.
    ``leader_contact_at`` is when a message from a leader was last received, or the
    start of the replica: it may have acknowledged a leader just before a restart, and
    must not vote for another one until the shortest election timeout has passed. With
    ``is_dynamic``, ``leader_contact_at`` starts earlier by that timeout, so a restarted
    replica may vote immediately. ``wake_at`` is when the next tick is due.
    """

    replica_id: str
    peers: tuple[str, ...]
    incarnation: str
    leader_contact_at: Instant
    wake_at: Instant
    rejoin: Rejoin
    is_blank: bool
    term: int = 0
    vote: str | None = None
    vote_floor: int = 0
    founders: tuple[tuple[str, str], ...] = ()
    log: Log = Log()
    role: Role = Role.FOLLOWER
    leader_id: str | None = None
    commit_index: int = 0
    votes: frozenset[str] = frozenset()
    progress: dict[str, Progress] = field(default_factory=dict)
    term_start_index: int = 0
    partial_snapshot: PartialSnapshot | None = None
    is_dynamic: bool = False
    voters: frozenset[str] = frozenset()
    learners: frozenset[str] = frozenset()
    previous_leader_id: str | None = None
    """The replica that this one followed last."""

    joins: dict[str, Instant] = field(default_factory=dict)
    """When each replica that isn't a voter last requested to join, here or elsewhere.

    A new leader knows the learners of the one before from it."""

    leaves: dict[str, Instant] = field(default_factory=dict)
    """When each replica that is about to stop last announced it to this leader."""

    has_seen_leader: bool = False
    """Whether this replica has followed a leader, or led, since its start."""

    n_elections: int = 0
    """How often it has asked for votes since it last knew a leader."""

    @property
    def n_majority(self) -> int:
        """Return the size of the smallest majority of all voters."""
        if self.is_dynamic:
            return len(self.voters) // 2 + 1
        return (len(self.peers) + 1) // 2 + 1

    def is_voter(self, replica_id: str) -> bool:
        """Return whether a replica counts towards majorities.

        Without dynamic members every replica does.
        """
        return not self.is_dynamic or replica_id in self.voters

    def send(self, recipient: str, body: Body) -> Send:
        """Return the action that sends a message from this replica."""
        return Send(Message(self.replica_id, recipient, self.incarnation, body))

    def persist(self) -> PersistState:
        """Return the action that stores the term, vote, vote floor and founders."""
        return PersistState(self.term, self.vote, self.vote_floor, self.founders)


Step = tuple[State, list[Action]]
"""The state after an event, and the actions to perform in this order."""


def majority_contact_at(state: State, now: Instant) -> Instant:
    """Return the instant since which a majority has been in contact with this leader.

    A blank replica doesn't count, because it takes no part in elections.
    """
    contact_times = [now] if state.is_voter(state.replica_id) else []
    contact_times += [
        p.last_contact_at
        for k, p in state.progress.items()
        if not p.is_blank and state.is_voter(k)
    ]
    contact_times.sort(reverse=True)
    if len(contact_times) < state.n_majority:
        return Instant(float("-inf"))
    return contact_times[state.n_majority - 1]


def n_voters_holding(state: State, index: int) -> int:
    """Return how many voters hold the log up to an index, as far as is known here.

    A leader knows it of all voters, any other replica only of itself.
    """
    n_others = sum(
        state.is_voter(k) and not p.is_blank and p.match_index >= index
        for k, p in state.progress.items()
    )
    holds_itself = state.is_voter(state.replica_id) and state.log.last_index >= index
    return n_others + holds_itself


def is_leader(state: State, now: Instant) -> bool:
    """Return whether this replica leads and no other one can have been elected.

    True only while a majority has responded within the shortest election timeout and
    an entry of the current term is committed. The timeout counts from when the leader
    sent the requests, which is before the followers received them.
    """
    if state.role is not Role.LEADER or state.commit_index < state.term_start_index:
        return False
    return now < add_ms(majority_contact_at(state, now), ELECTION_TIMEOUT_MIN_MS)


def become_follower(
    state: State, term: int, leader_id: str | None, wake_at: Instant
) -> Step:
    """Return the state as a follower in the given term, never lower than its own.

    A blank replica keeps the time of its next inquiry, which heartbeats would
    otherwise delay.
    """
    actions: list[Action] = []
    if term > state.term:
        state = replace(state, term=term, vote=None)
        actions = [state.persist()]
    state = replace(
        state,
        role=Role.FOLLOWER,
        leader_id=leader_id,
        wake_at=state.wake_at if state.is_blank else wake_at,
        votes=frozenset(),
        progress={},
    )
    return state, actions
