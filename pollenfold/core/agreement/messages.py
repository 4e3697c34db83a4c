"""Messages, events and actions of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass

from ..clock import Instant
from .log import Entry, Log


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote, or with ``is_pre_vote`` whether a vote would be granted."""

    term: int
    is_pre_vote: bool
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """The response to a vote request of ``to_incarnation`` for ``for_term``."""

    term: int
    to_incarnation: str
    is_pre_vote: bool
    for_term: int
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries after ``previous_index``; without entries it is a heartbeat.

    ``last_index`` is the end of the leader's log when it sent the request, and
    ``to_incarnation`` the incarnation of the recipient that it knew.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    last_index: int
    to_incarnation: str
    sent_at: Instant


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Reports up to which index the follower's log matches the leader's.

    After a failure the leader should continue after ``match_index``. ``sent_at`` is
    copied from the request and is a time of the leader's clock. Followers of an earlier
    version don't accept compressed snapshots.
    """

    term: int
    is_success: bool
    match_index: int
    is_blank: bool
    sent_at: Instant
    accepts_compressed: bool = False


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """One chunk of a snapshot, from the byte ``offset_bytes`` on.

    With ``is_compressed`` the chunks and sizes are those of the compressed snapshot.
    """

    term: int
    index: int
    snapshot_term: int
    offset_bytes: int
    n_total_bytes: int
    data: bytes
    last_index: int
    to_incarnation: str
    sent_at: Instant
    is_compressed: bool = False


@dataclass(frozen=True, slots=True)
class SnapshotResponse:
    """Reports how many bytes of the snapshot the follower holds."""

    term: int
    index: int
    n_bytes: int
    is_blank: bool
    sent_at: Instant


@dataclass(frozen=True, slots=True)
class Inquiry:
    """Requests the term of another replica, on behalf of a blank one."""

    round: int


@dataclass(frozen=True, slots=True)
class InquiryResponse:
    """The response to an inquiry in one round of the incarnation ``to_incarnation``.

    ``founders`` names the replicas and incarnations that were all blank at the same
    time when the cluster was founded.
    """

    round: int
    to_incarnation: str
    is_blank: bool
    term: int
    founders: tuple[tuple[str, str], ...]


Request = VoteRequest | AppendRequest | SnapshotRequest | Inquiry
Response = VoteResponse | AppendResponse | SnapshotResponse | InquiryResponse
Body = Request | Response


@dataclass(frozen=True, slots=True)
class Message:
    """A message with its sender; ``incarnation`` is that of the sender."""

    sender: str
    recipient: str
    incarnation: str
    body: Body


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Receive:
    """A message has arrived."""

    message: Message


@dataclass(frozen=True, slots=True)
class Propose:
    """A command to append to the log; only a leader accepts it."""

    command: bytes


@dataclass(frozen=True, slots=True)
class Compact:
    """A snapshot of the state machine after the applied entry ``index``."""

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Join:
    """A replica that isn't a member requests the log from the leader."""

    replica_id: str


@dataclass(frozen=True, slots=True)
class Leave:
    """A replica is about to stop and should be replaced as a voter before."""

    replica_id: str


@dataclass(frozen=True, slots=True)
class SendFailed:
    """No response to a request arrived, and none is waited for any more."""

    message: Message


Event = Tick | Receive | Propose | Compact | Join | Leave | SendFailed


@dataclass(frozen=True, slots=True)
class PersistState:
    """Store the term and vote before the actions that follow."""

    term: int
    vote: str | None
    vote_floor: int
    founders: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PersistEntries:
    """Store the entries, replacing all from the index of the first one on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class PersistLog:
    """Replace the stored snapshot and entries in one atomic step."""

    log: Log


@dataclass(frozen=True, slots=True)
class PersistJoined:
    """Store that this incarnation has joined: it isn't blank and may vote."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message once all actions before it are done."""

    message: Message


@dataclass(frozen=True, slots=True)
class Apply:
    """Pass committed entries to the state machine."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state machine with a snapshot received from the leader.

    ``index`` is that of the last log entry that the snapshot covers.
    """

    index: int
    data: bytes


Persist = PersistState | PersistEntries | PersistLog | PersistJoined
Action = Persist | Send | Apply | Restore
