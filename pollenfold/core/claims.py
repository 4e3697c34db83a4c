"""The claimant's side of a register: claim, abandon, complete.

An ``Operation`` takes events (``start``, ``on_reply``, ``on_failure``, ``resume``)
and returns the next action. It reads no clock and sends nothing itself.

**Why at most one claim is dispatched.** A claimant dispatches in two cases only: a
majority granted its claim at ballot 0, or a majority granted an *accept* of its claim
that it proposed itself at a higher ballot. A claim id that appears in a promise or
in a refusal is never sufficient, since it may be one vote of a minority.

Two claims can't both have a majority at ballot 0, since a replica votes once. If a
claim had a majority there, then in every later majority of promises its votes plus
the replicas that did not respond add up to a majority, so recovery keeps the claim or
returns an in-doubt value, for which no claim is proposed. A higher ballot proposes the
claimant's own claim only when the register is recovered as empty or abandoned, or
when it holds that very claim; the claimant has not dispatched at that time, because
it stops counting its votes at ballot 0 before it prepares. For the same reason it
removes its own claim from an in-doubt value: the other claims that may have been
dispatched stay in the register. Once a claim is chosen, every later value is computed
from it, and only its own claimant replaces it.

**Why votes carry an epoch.** A replica may grant a claim, lose its disk, copy the
registers of the other replicas before the claim reached them, and grant another
claim. The old vote and a later one together are no majority. So a replica that lost
its disk announces its new epoch to the other replicas before it copies their
registers: a vote granted before that is in the copy, and one granted after it carries
the new epoch, which makes the claimant discard the old vote.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from expression import Error, Ok, Result

from .errors import ErrorKind
from .register import (
    INITIAL_BALLOT,
    Accept,
    Ballot,
    Claim,
    Message,
    Outcome,
    Prepare,
    Reply,
    State,
    Value,
    recover,
    withdraw,
)

MAX_ROUNDS = 6
"""Rounds above ballot 0 before an operation gives up. With the pause between rounds,
competing claimants need one or two."""


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is stored and the caller of ``claim`` may dispatch the request."""


@dataclass(frozen=True, slots=True)
class Completed:
    """The request was executed earlier; a resend receives this response."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another claim, younger than the service timeout, holds the key."""


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The request may have been executed and its outcome is unknown.

    It is not executed again.
    """


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No majority responded. The claim may be stored: abandon it before refusing."""


ClaimResult = Claimed | Completed | InProgress | InDoubt | Unavailable

T = TypeVar("T")
Decision = Callable[[Value, float], tuple[Value, T]]
"""Maps the recovered value and its age in ms to the value to store and the result."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send the message to every replica; its replies belong to ``phase``."""

    phase: int
    message: Message


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait a short random time, longer after more rounds, then call ``resume``."""

    n_rounds: int


@dataclass(frozen=True, slots=True)
class Finish(Generic[T]):
    """The operation has ended with this result."""

    result: T


Action = Send | Pause | Finish[T]


class Operation(Generic[T]):
    """One claim, abandon or complete operation.

    It sends at most one message at ballot 0, followed by rounds at higher ballots.
    ``proposer`` must be unique to the operation. ``unavailable`` is the result when
    no majority can be reached. Events of an earlier phase are ignored.
    """

    def __init__(
        self,
        n_replicas: int,
        proposer: str,
        decide: Decision[T],
        unavailable: T,
        claim: Claim | None = None,
        claimed: T | None = None,
    ) -> None:
        self._n_replicas = n_replicas
        self._majority = n_replicas // 2 + 1
        self._proposer = proposer
        self._decide = decide
        self.unavailable = unavailable
        self._claim = claim
        self._claimed_result = claimed
        self._message: Message | None = None
        self._phase = 0
        self._n_rounds = 0
        self._highest: Ballot = INITIAL_BALLOT
        self._ballot: Ballot = INITIAL_BALLOT
        self._replies: dict[int, Reply] = {}
        self._failed: set[int] = set()
        self._epochs = (0,) * n_replicas
        self._result: T | None = None

    def start(self) -> Action[T]:
        """Return the first action."""
        if self._claim is not None:
            return self._send(self._claim)
        return self.resume()

    def resume(self) -> Action[T]:
        """Start the next round above every ballot seen."""
        self._n_rounds += 1
        self._ballot = self._highest = (self._highest[0] + 1, self._proposer)
        return self._send(Prepare(self._ballot))

    def on_reply(self, phase: int, replica: int, reply: Reply) -> Action[T] | None:
        """Process the reply of one replica; return the next action, if any."""
        if phase != self._phase or replica in self._failed:
            return None
        self._epochs = tuple(map(max, self._epochs, reply.epochs))
        self._highest = max(self._highest, reply.register.promised)
        self._replies[replica] = reply
        return self._evaluate_replies()

    def on_failure(self, phase: int, replica: int) -> Action[T] | None:
        """Record a replica's missing reply; return the next action, if any."""
        if phase != self._phase or replica in self._replies:
            return None
        self._failed.add(replica)
        return self._evaluate_replies()

    def _send(self, message: Message) -> Send:
        self._phase += 1
        self._message = message
        self._replies = {}
        self._failed = set()
        return Send(self._phase, message)

    def _finish(self, result: T) -> Finish[T]:
        self._phase += 1
        return Finish(result)

    def _pause(self) -> Action[T]:
        if self._n_rounds >= MAX_ROUNDS:
            return self._finish(self.unavailable)
        self._phase += 1
        return Pause(self._n_rounds)

    def _valid_replies(self) -> list[Reply]:
        """Return the replies of replicas that have not lost their disk since."""
        return [
            reply
            for replica, reply in self._replies.items()
            if reply.epochs[replica] >= self._epochs[replica]
        ]

    def _evaluate_replies(self) -> Action[T] | None:
        valid = self._valid_replies()
        granted = [reply for reply in valid if reply.is_granted]
        n_missing = self._n_replicas - len(self._replies) - len(self._failed)
        if len(granted) >= self._majority:
            return self._on_majority(granted, n_missing)
        if len(granted) + n_missing >= self._majority:
            return None
        if len(valid) < self._majority:
            return self._finish(self.unavailable) if n_missing == 0 else None
        if isinstance(self._message, Claim):
            return self._resolve_split_vote(valid)
        return self._pause()

    def _on_majority(self, granted: list[Reply], n_missing: int) -> Action[T] | None:
        if isinstance(self._message, Claim):
            assert self._claimed_result is not None
            return self._finish(self._claimed_result)
        if isinstance(self._message, Accept):
            assert self._result is not None
            return self._finish(self._result)
        promises = [(reply.register, reply.age_ms) for reply in granted]
        value = recover(promises, self._n_replicas)
        is_new_doubt = value.state is State.IN_DOUBT and all(
            reply.register.accepted == INITIAL_BALLOT for reply in granted
        )
        if is_new_doubt and n_missing:
            # The missing replies often leave only one claim that can have a majority.
            return None
        new_value, self._result = self._decide(value, _age_ms(value, granted))
        return self._send(Accept(self._ballot, new_value))

    def _resolve_split_vote(self, valid: list[Reply]) -> Action[T]:
        """Finish if a majority holds one value of another claimant, else start a round.

        The value might not be chosen. That is safe, because a result about another
        claim never permits a dispatch. The operation's own claim needs a round, since
        its votes may be superseded.
        """
        assert self._claim is not None
        for reply in valid:
            value = reply.register.value
            is_own = self._claim.claim_id in value.claim_ids
            if is_own or value.state not in (State.CLAIMED, State.COMPLETED):
                continue
            matching = [other for other in valid if other.register.value == value]
            if len(matching) >= self._majority:
                _, result = self._decide(value, _age_ms(value, matching))
                return self._finish(result)
        return self.resume()


def _age_ms(value: Value, replies: list[Reply]) -> float:
    return max(
        (
            reply.age_ms
            for reply in replies
            if set(value.claim_ids) & set(reply.register.value.claim_ids)
        ),
        default=0.0,
    )


def claim(
    n_replicas: int, proposer: str, claim_id: str, max_age_ms: float
) -> Operation[ClaimResult]:
    """Return the operation that claims a key.

    ``claim_id`` must be new for every call: a second ``Claimed`` for one id would
    allow its request to be executed twice. A claim without an outcome that is at
    least ``max_age_ms`` old results in ``InDoubt``.
    """

    def decide(value: Value, age_ms: float) -> tuple[Value, ClaimResult]:
        remaining = withdraw(value, claim_id)
        if remaining.state in (State.EMPTY, State.ABANDONED):
            return Value(State.CLAIMED, (claim_id,)), Claimed()
        if remaining.state is State.COMPLETED:
            assert remaining.outcome is not None
            return remaining, Completed(remaining.outcome)
        if remaining.state is State.CLAIMED and age_ms < max_age_ms:
            return remaining, InProgress()
        return remaining, InDoubt()

    return Operation[ClaimResult](
        n_replicas, proposer, decide, Unavailable(), Claim(claim_id), Claimed()
    )


def abandon(
    n_replicas: int, proposer: str, claim_id: str
) -> Operation[Result[None, ErrorKind]]:
    """Return the operation that gives up a claim whose request was not executed.

    It succeeds only when the key is stored as abandoned. While another claim holds
    the key, that claimant may execute the request: the result is ``IN_PROGRESS``, or
    ``OUTCOME_UNKNOWN`` when the key is in doubt or completed by another claim.
    """

    def decide(value: Value, _: float) -> tuple[Value, Result[None, ErrorKind]]:
        remaining = withdraw(value, claim_id)
        if remaining.state in (State.EMPTY, State.ABANDONED):
            return Value(State.ABANDONED, (claim_id,)), Ok(None)
        is_claimed = remaining.state is State.CLAIMED
        kind = ErrorKind.IN_PROGRESS if is_claimed else ErrorKind.OUTCOME_UNKNOWN
        return remaining, Error(kind)

    unavailable: Result[None, ErrorKind] = Error(ErrorKind.LEDGER_UNAVAILABLE)
    return Operation[Result[None, ErrorKind]](n_replicas, proposer, decide, unavailable)


def complete(
    n_replicas: int, proposer: str, claim_id: str, outcome: Outcome
) -> Operation[Result[None, ErrorKind]]:
    """Return the operation that stores the outcome of a dispatched claim.

    The first outcome is final: a different outcome, or a claim that does not hold the
    key, results in ``OUTCOME_UNKNOWN``.
    """
    completed = Value(State.COMPLETED, (claim_id,), outcome)

    def decide(value: Value, _: float) -> tuple[Value, Result[None, ErrorKind]]:
        if value == completed:
            return value, Ok(None)
        is_held = value.state is State.IN_DOUBT and value.is_open
        is_held = is_held or claim_id in value.claim_ids
        if is_held and value.state in (State.CLAIMED, State.IN_DOUBT):
            return completed, Ok(None)
        return value, Error(ErrorKind.OUTCOME_UNKNOWN)

    unavailable: Result[None, ErrorKind] = Error(ErrorKind.LEDGER_UNAVAILABLE)
    return Operation[Result[None, ErrorKind]](n_replicas, proposer, decide, unavailable)
