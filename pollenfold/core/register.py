"""The register of one idempotency key on a ledger replica.

A register is changed only by ``handle``, a pure function of the register, one
message and the time. Ballot 0 needs no prepare phase: a replica votes for the first
claim that reaches an empty register. Every later change is a CASPaxos round:
*prepare* with a higher ballot, then *accept* with the value that the claimant
computed from the promises.

Votes are counted by replica and epoch. A replica that lost its disk returns with a
higher epoch, which the replicas that it copied from report in every reply; see
``core.claims`` for the reason.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

from .clock import Instant

Ballot = tuple[int, str]
"""Round number and proposer, compared in this order."""

INITIAL_BALLOT: Ballot = (0, "")
"""The ballot of a first claim, which needs no promise."""

RETENTION_MS = 24 * 3600 * 1000.0
"""A resend after this time is a new request; this bounds the memory of a replica."""

RETENTION_MARGIN_MS = 3600 * 1000.0
"""Covers clock differences between replicas and the duration of an operation."""


class State(Enum):
    """What the register records about the request with its key."""

    EMPTY = "empty"
    CLAIMED = "claimed"
    ABANDONED = "abandoned"
    COMPLETED = "completed"
    IN_DOUBT = "in_doubt"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The response to a request that was executed."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Value:
    """The content of a register.

    ``claim_ids`` holds the single claim of a claimed, abandoned or completed register.
    In doubt it holds every claim that may have been dispatched, sorted; ``is_open``
    then means that a further claim, whose votes were lost with a disk, may also have
    been dispatched.
    """

    state: State
    claim_ids: tuple[str, ...] = ()
    outcome: Outcome | None = None
    is_open: bool = False


EMPTY = Value(State.EMPTY)


@dataclass(frozen=True, slots=True)
class Register:
    """The state of one key on one replica.

    ``accepted`` is the ballot of ``value``. With ``is_vote_unknown`` the replica may
    have voted at ballot 0 for an unknown claim before it lost its disk.
    ``changed_at`` is when the value was stored, ``promised_at`` when the last promise
    was made, both by the wall clock of the replica.
    """

    promised: Ballot = INITIAL_BALLOT
    accepted: Ballot = INITIAL_BALLOT
    value: Value = EMPTY
    is_vote_unknown: bool = False
    changed_at: Instant = Instant(0.0)
    promised_at: Instant = Instant(0.0)


BLANK_REGISTER = Register()


@dataclass(frozen=True, slots=True)
class Claim:
    """Requests the vote at ballot 0."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Requests the promise to refuse all lower ballots."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Accept:
    """Requests storing ``value`` at ``ballot``."""

    ballot: Ballot
    value: Value


Message = Claim | Prepare | Accept


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply of a replica to a message.

    ``register`` is its state after the message. ``age_ms`` is how long the value has
    been stored. ``epochs`` has the epoch of every replica as known to this one, in
    the order of the sorted replica ids.
    """

    is_granted: bool
    register: Register
    age_ms: float = 0.0
    epochs: tuple[int, ...] = ()


def handle(register: Register, message: Message, now: Instant) -> tuple[Register, bool]:
    """Return the register after the message, and whether the message was granted."""
    if isinstance(message, Claim):
        return _handle_claim(register, message, now)
    if isinstance(message, Prepare):
        # An equal ballot is refused, since a second promise for it could let two
        # different values be proposed at one ballot.
        if message.ballot <= register.promised:
            return register, False
        return replace(register, promised=message.ballot, promised_at=now), True
    return _handle_accept(register, message, now)


def _handle_claim(
    register: Register, message: Claim, now: Instant
) -> tuple[Register, bool]:
    # A promise ends ballot 0 on this replica, even for the claim it voted for: a
    # recovery may already have read this replica as empty.
    if register.promised != INITIAL_BALLOT or register.is_vote_unknown:
        return register, False
    if register.value.state is State.EMPTY:
        value = Value(State.CLAIMED, (message.claim_id,))
        return replace(register, value=value, changed_at=now), True
    return register, register.value.claim_ids == (message.claim_id,)


def _handle_accept(
    register: Register, message: Accept, now: Instant
) -> tuple[Register, bool]:
    if message.ballot < register.promised:
        return register, False
    old, new = register.value, message.value
    is_same = old.state is new.state and old.claim_ids == new.claim_ids
    changed_at = register.changed_at if is_same else now
    return Register(message.ballot, message.ballot, new, False, changed_at, now), True


def age_ms(register: Register, now: Instant) -> float:
    """Return how long the value has been stored, at least zero."""
    return max(0.0, now - register.changed_at)


def is_droppable(register: Register, now: Instant) -> bool:
    """Return whether the register may be deleted.

    Claims without an outcome and unknown votes are kept: deleting one would allow a
    resend to execute the request again while its outcome is unknown. A promise counts
    as a change, so that a round in progress does not lose it.
    """
    last_changed_at = max(register.changed_at, register.promised_at)
    if register.is_vote_unknown or now - last_changed_at < RETENTION_MS:
        return False
    return register.value.state not in (State.CLAIMED, State.IN_DOUBT)


AgedRegister = tuple[Register, float]
"""A register and how long its value has been stored, in ms."""


def merge_copies(copies: Sequence[AgedRegister]) -> Register:
    """Rebuild the register of a replica that lost its disk from those of others.

    The result has the highest promise and the value of the highest ballot. If the
    copies hold different claims at ballot 0, or an unknown vote, its vote is unknown:
    the lost disk may have held a vote for any of these claims.
    """
    registers = [register for register, _ in copies]
    newest = _highest_accepted(copies)
    promised = max(register.promised for register in registers)
    promised_at = max(register.promised_at for register in registers)
    if newest.accepted > INITIAL_BALLOT and not _is_expiring(copies):
        return replace(newest, promised=promised, promised_at=promised_at)
    claims = {r.value: r for r in registers if r.value.state is not State.EMPTY}
    is_unknown = len(claims) > 1 or any(r.is_vote_unknown for r in registers)
    if is_unknown or not claims:
        changed_at = max(register.changed_at for register in registers)
        return Register(
            promised, INITIAL_BALLOT, EMPTY, is_unknown, changed_at, promised_at
        )
    (voted,) = claims.values()
    return replace(voted, promised=promised, promised_at=promised_at)


def recover(promises: Sequence[AgedRegister], n_replicas: int) -> Value:
    """Return the value that may have been chosen, from a majority of promises.

    The value of the highest ballot above 0 wins. At ballot 0 a claim may have been
    chosen if its votes plus the replicas that did not reply or do not know their vote
    reach a majority. If there is one such claim, it is kept; if there is none, the
    result is empty; if there are several, or one that appears in no reply may exist,
    the result is in doubt.
    """
    newest = _highest_accepted(promises)
    if newest.accepted > INITIAL_BALLOT:
        if _is_expiring(promises):
            claim_ids = {c for r, _ in promises for c in r.value.claim_ids}
            return Value(State.IN_DOUBT, tuple(sorted(claim_ids)), is_open=True)
        return newest.value
    majority = n_replicas // 2 + 1
    known = [register for register, _ in promises if not register.is_vote_unknown]
    n_unknown = n_replicas - len(known)
    votes: dict[str, int] = {}
    for register in known:
        for claim_id in register.value.claim_ids:
            votes[claim_id] = votes.get(claim_id, 0) + 1
    possible = sorted(
        claim_id for claim_id, n in votes.items() if n + n_unknown >= majority
    )
    if n_unknown >= majority:
        return Value(State.IN_DOUBT, tuple(possible), is_open=True)
    if not possible:
        return EMPTY
    state = State.CLAIMED if len(possible) == 1 else State.IN_DOUBT
    return Value(state, tuple(possible))


def _highest_accepted(copies: Sequence[AgedRegister]) -> Register:
    return max((register for register, _ in copies), key=lambda r: r.accepted)


def _is_expiring(copies: Sequence[AgedRegister]) -> bool:
    """Return whether other replicas may already have dropped the value of
    the highest accepted ballot.

    Replicas drop a register at slightly different times. If one copy holds a value
    near the end of its retention and another a younger claim, that claim may have
    been chosen by replicas that had dropped the value.
    """
    newest = _highest_accepted(copies)
    if newest.value.state not in (State.ABANDONED, State.COMPLETED):
        return False
    newest_age_ms = max(age for register, age in copies if register == newest)
    return newest_age_ms >= RETENTION_MS - RETENTION_MARGIN_MS and any(
        register.value not in (EMPTY, newest.value) and age < newest_age_ms
        for register, age in copies
    )


def withdraw(value: Value, claim_id: str) -> Value:
    """Return the value without a claim that its claimant withdraws undispatched.

    If a register is in doubt between two claims and one is withdrawn, the other one
    holds the key, since no third claim can have been dispatched. Withdrawing the last
    claim abandons the key.
    """
    if claim_id not in value.claim_ids:
        return value
    if value.state not in (State.CLAIMED, State.IN_DOUBT):
        return value
    remaining = tuple(other for other in value.claim_ids if other != claim_id)
    if value.is_open or len(remaining) > 1:
        return replace(value, claim_ids=remaining)
    if remaining:
        return Value(State.CLAIMED, remaining)
    return Value(State.ABANDONED, (claim_id,))
