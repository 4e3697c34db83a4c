"""Runs one replica of the log: connects the consensus core to network and disk."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import curio
from expression import Error, Ok, Result
from loguru import logger

from ..core.agreement.acknowledgement import LEARNER_WAIT_MS, LearnerWaits
from ..core.agreement.consensus import (
    HEARTBEAT_MS,
    Role,
    State,
    initial_state,
    is_leader,
    step,
)
from ..core.agreement.departures import Departure
from ..core.agreement.election_timeout import election_timeout_ms, first_timeout_ms
from ..core.agreement.leader_lease import acts_from, has_lease
from ..core.agreement.log import MAX_COMMAND_BYTES
from ..core.agreement.members import (
    decode_members,
    departure,
    founder_state,
    has_left,
    n_answering_voters,
    n_whole_voters,
    next_membership_change,
    waiting_learners,
)
from ..core.agreement.messages import (
    Action,
    Apply,
    Compact,
    Event,
    Join,
    Leave,
    Message,
    PersistLog,
    Propose,
    Receive,
    Request,
    Restore,
    Send,
    SendFailed,
    Tick,
)
from ..core.agreement.state import majority_contact_at, n_voters_holding
from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.errors import ErrorKind
from ..observe.hold_ups import HoldUps
from ..storage.agreement import AgreementStorage, OpenJournal
from ..storage.journal import Journal
from ..wire.agreement import decode_message, encode_message
from .leader_watch import LeaderWatch
from .peer_calls import PeerCalls
from .proposals import Proposals
from .state_machine import StateMachine

CONFIRM_POLL_MS = 5.0

REOPEN_AFTER_MS = 1000.0
"""Time between attempts to reopen the data folder after a failed write."""


@dataclass(frozen=True, slots=True)
class DynamicMembers:
    """Settings of a replica whose cluster agrees on its membership in the log.

    ``resolve`` returns host and port of a replica id. ``n_target`` is the intended
    number of voters. A founder with an empty disk bootstraps a new cluster.
    """

    resolve: Callable[[str], tuple[str, int]]
    n_target: int
    is_founder: bool = False


class Replica:
    """One replica of the log with its state machine.

    ``peers`` maps the id of every replica, this one included, to host and port.
    ``apply`` is called with each committed command and its index, in order;
    ``snapshot`` returns the state machine as bytes, and ``restore`` replaces it. A
    replica whose data folder isn't writable stays inactive until it is.

    For example, register ``replica.handle`` for ``Protocol.AGREEMENT`` in an
    ``RpcServer``, spawn ``replica.run`` and call ``await replica.propose(b"x", 500)``
    on the leader.
    """

    def __init__(
        self,
        replica_id: str,
        peers: dict[str, tuple[str, int]],
        data_folder: Path,
        apply: Callable[[int, bytes], None],
        snapshot: Callable[[], bytes],
        restore: Callable[[bytes], None],
        clock: Clock,
        seed: int,
        open_journal: OpenJournal = Journal.open,
        members: DynamicMembers | None = None,
    ) -> None:
        """Open the data folder.

        Raise ValueError when it belongs to another replica or when ``peers`` lacks
        ``replica_id``. ``open_journal`` replaces the journal in tests.
        """
        if replica_id not in peers:
            raise ValueError(f"expected one of {sorted(peers)}, got {replica_id}")
        self._replica_id = replica_id
        self._replica_ids = frozenset(peers)
        others = {k: v for k, v in peers.items() if k != replica_id}
        self._members = members
        resolve = None if members is None else members.resolve
        self._calls = PeerCalls(others, self._receive, self._on_send_failed, resolve)
        self._data_folder = data_folder
        self._machine = StateMachine(apply, snapshot, restore, members is not None)
        self._clock = clock
        self._random = random.Random(seed)
        self._open_journal = open_journal
        self._storage: AgreementStorage | None = None
        self._state: State | None = None
        self._reopen_at = clock()
        self._leader_since: Instant | None = None
        self._learner_waits = LearnerWaits()
        self._leader_watch = LeaderWatch(clock)
        self._outbox: list[Message] = []
        self._proposals = Proposals()
        self._hold_ups = HoldUps(clock, _log_hold_up)
        self._open()

    # State

    def is_leader(self) -> bool:
        """Return whether this replica leads and no other one can be leader now."""
        return self._state is not None and is_leader(self._state, self._clock())

    def leader_id(self) -> str | None:
        """Return the leader of the current term, if this replica knows it."""
        return None if self._state is None else self._state.leader_id

    def leader_since(self) -> Instant | None:
        """Return when this replica became leader, or None when it isn't."""
        return self._leader_since if self.is_leader() else None

    def acts_alone_from(self) -> Instant | None:
        """Return from when this leader may act without asking the others.

        It is None while this replica has no lease. The value is the same for one term.
        """
        state, since = self._state, self._leader_since
        if state is None or since is None or not has_lease(state, self._clock()):
            return None
        return acts_from(since)

    def growing_since(self) -> Instant | None:
        """Return since when a replica has been waiting to become a missing voter."""
        return self._learner_waits.since()

    def applied_index(self) -> int:
        """Return the index of the last entry applied to the state machine."""
        return self._machine.index

    def may_have_after(self, index: int, matches: Callable[[bytes], bool]) -> bool:
        """Return whether the log may hold a matching command after an index."""
        return self._state is None or self._state.log.may_have_after(index, matches)

    def voters(self) -> frozenset[str]:
        """Return the voters of the latest membership entry; empty when fixed."""
        return frozenset() if self._state is None else self._state.voters

    def n_whole_voters(self) -> int:
        """Return how many voters this leader has that aren't about to be replaced."""
        return 0 if self._state is None else n_whole_voters(self._state, self._clock())

    def n_answering_voters(self) -> int:
        """Return how many voters have answered this leader."""
        return 0 if self._state is None else n_answering_voters(self._state)

    def n_holding(self, index: int) -> int:
        """Return how many voters are known here to hold the log up to an index."""
        return 0 if self._state is None else n_voters_holding(self._state, index)

    def last_leader_contact(self) -> Instant | None:
        """Return when a leader last made contact, at first the start time."""
        return None if self._state is None else self._state.leader_contact_at

    def status(self) -> dict[str, Any]:
        """Return the status fields for operators."""
        state = self._state
        if state is None:
            return {
                "replica_id": self._replica_id,
                "is_storage_failed": True,
                "applied_index": self._machine.index,
            }
        return {
            "replica_id": self._replica_id,
            "incarnation": state.incarnation,
            "is_storage_failed": False,
            "is_blank": state.is_blank,
            "is_leader": self.is_leader(),
            "role": state.role.value,
            "term": state.term,
            "leader_id": state.leader_id,
            "last_index": state.log.last_index,
            "commit_index": state.commit_index,
            "applied_index": self._machine.index,
            "snapshot_index": state.log.snapshot.index,
            "has_leader": self._leader_watch.has_leader(),
            "voters": sorted(state.voters),
            "learners": sorted(state.learners),
        }

    # Requests and the run loop

    async def handle(self, payload: bytes) -> bytes:
        """Handle a message of another replica; return its response, or no bytes."""
        decoded = decode_message(payload)
        if decoded.is_error():
            logger.warning("event=bad_message detail={!r}", decoded.error.detail)
            return b""
        message = decoded.ok
        messages = self._step(Receive(message))
        responses = [m for m in messages if _is_response(m, message)]
        self._outbox += [m for m in messages if not _is_response(m, message)]
        await self._flush()
        return encode_message(responses[0]) if responses else b""

    def join(self, replica_id: str) -> None:
        """Add a replica as a learner: it receives the log but doesn't vote yet."""
        before = self._learners()
        self._outbox += self._step(Join(replica_id))
        if replica_id in self._learners() - before:
            logger.info("event=learner_joined replica={}", replica_id)
            self._compact_for_learner()

    async def leave(self, replica_id: str) -> Departure | None:
        """Let a learner take the place of a replica that is about to stop.

        Return how far that is, or None if this replica doesn't lead.
        """
        if self._members is None or self._state is None or not self.is_leader():
            return None
        self._outbox += self._step(Leave(replica_id))
        self._change_members()
        await self._flush()
        if self._state is None or not self.is_leader():
            return None
        now = self._clock()
        progress = departure(self._state, replica_id, self._members.n_target, now)
        if progress is Departure.NO_SUCCESSOR and self._may_learners_come(now):
            return Departure.WAITING
        return progress

    def _may_learners_come(self, now: Instant) -> bool:
        """Return whether learners may not have reached this new leader yet."""
        since = self._leader_since
        return since is None or now < add_ms(since, LEARNER_WAIT_MS)

    def has_left(self) -> bool:
        """Return whether this replica knows that it isn't a voter any more."""
        return self._state is None or has_left(self._state, self._replica_id)

    def _compact_for_learner(self) -> None:
        """Take a snapshot if a new replica would receive more bytes without it.

        Most entries are configurations, of which each supersedes the ones before.
        """
        data = self._machine.take_smaller_snapshot()
        if data is not None:
            self._outbox += self._step(Compact(self._machine.index, data))

    def _learners(self) -> frozenset[str]:
        return frozenset() if self._state is None else self._state.learners

    def _change_members(self) -> None:
        """Propose the next membership change, if one is due."""
        if self._members is None or self._state is None:
            return
        change = next_membership_change(
            self._state, self._members.n_target, self._clock()
        )
        if change is None:
            return
        proposal, reason = change
        voters = decode_members(proposal.command) or frozenset()
        logger.info(
            "event=members_proposed reason={} term={} before={} after={}",
            reason,
            self._state.term,
            ",".join(sorted(self._state.voters)),
            ",".join(sorted(voters)),
        )
        self._outbox += self._step(proposal)

    async def run(self) -> None:
        """Drive elections, heartbeats and recovery until cancelled."""
        try:
            while True:
                tick_at = add_ms(self._clock(), self._sleep_ms())
                await curio.sleep(remaining_ms(tick_at, self._clock()) / 1000)
                self._hold_ups.record("loop", self._clock() - tick_at)
                if self._state is None and self._clock() >= self._reopen_at:
                    self._open()
                self._outbox += self._step(Tick())
                self._change_members()
                if self._state is not None:
                    self._leader_watch.update(self._state)
                await self._flush()
        finally:
            self._state = None
            if self._storage is not None:
                self._storage.close()
            await self._calls.close()

    async def propose(
        self, command: bytes, timeout_ms: float
    ) -> Result[int, ErrorKind]:
        """Replicate a command and return its index once it is applied here.

        ``NOT_LEADER`` means that the command won't be applied; after ``NO_QUORUM``
        and ``STORAGE_FAILED`` it may be. Raise ValueError for an empty or oversized
        command.
        """
        if not 0 < len(command) <= MAX_COMMAND_BYTES:
            raise ValueError(
                f"expected a command of 1 to {MAX_COMMAND_BYTES} bytes, "
                f"got {len(command)}"
            )
        if self._state is None or not self.is_leader():
            return Error(ErrorKind.NOT_LEADER)
        next_index = self._state.log.last_index + 1
        proposal = self._proposals.add(next_index, self._state.term)
        self._outbox += self._step(Propose(command))
        await self._flush()
        try:
            async with curio.timeout_after(timeout_ms / 1000):
                await proposal.event.wait()
        except curio.TaskTimeout:
            pass
        finally:
            self._proposals.discard(proposal)
        return proposal.result or Error(ErrorKind.NO_QUORUM)

    async def confirm_index(self, timeout_ms: float) -> Result[int, ErrorKind]:
        """Return the commit index once a majority confirmed this leader since the call.

        Each majority that commits a command shares a replica with the one that answered
        heartbeats sent after the call. So no other leader had committed more by then.
        """
        state, asked_at = self._state, self._clock()
        if state is None or not self.is_leader():
            return Error(ErrorKind.NOT_LEADER)
        index, term = state.commit_index, state.term
        deadline = add_ms(asked_at, timeout_ms)
        while (now := self._clock()) < deadline:
            state = self._state
            if state is None or state.role is not Role.LEADER or state.term != term:
                return Error(ErrorKind.NOT_LEADER)
            if majority_contact_at(state, now) > asked_at:
                return Ok(index)
            await curio.sleep(CONFIRM_POLL_MS / 1000)
        return Error(ErrorKind.NO_QUORUM)

    # Steps

    def _sleep_ms(self) -> float:
        """Return the time to the next tick, at most one heartbeat interval.

        A message may make this replica the leader, which needs ticks more often than
        a follower.
        """
        wake_at = self._reopen_at if self._state is None else self._state.wake_at
        return min(max(wake_at - self._clock(), 1.0), HEARTBEAT_MS)

    def _timeout_ms(self) -> float:
        assert self._state is not None
        return election_timeout_ms(self._state, self._random)

    def _open(self) -> None:
        """Load the state from the data folder, as after a restart of the process."""
        try:
            storage = AgreementStorage(
                self._data_folder, self._replica_id, self._open_journal
            )
        except OSError as error:
            self._fail_storage(str(error))
            return
        self._storage = storage
        members = self._members
        is_new = storage.stored_state is None and storage.log.last_index == 0
        log = storage.log
        if members is not None and members.is_founder and is_new:
            stored, log = founder_state(self._replica_id)
            for action in (stored, PersistLog(log)):
                result = storage.persist(action)
                if result.is_error():
                    self._fail_storage(result.error.detail)
                    return
            logger.info("event=group_founded replica={}", self._replica_id)
        self._state = initial_state(
            self._replica_id,
            self._replica_ids,
            storage.identity.incarnation,
            storage.identity.is_blank and members is None,
            storage.stored_state,
            log,
            self._clock(),
            first_timeout_ms(members is not None, self._random),
            is_dynamic=members is not None,
        )
        snapshot = log.snapshot
        self._machine.restore(snapshot.index, snapshot.data)

    def _fail_storage(self, detail: str) -> None:
        """Become inactive, since acknowledged entries wouldn't be durable."""
        logger.error("event=storage_failed detail={!r}", detail)
        if self._storage is not None:
            self._storage.close()
        self._storage = None
        self._state = None
        self._reopen_at = add_ms(self._clock(), REOPEN_AFTER_MS)
        self._proposals.fail_all(ErrorKind.STORAGE_FAILED)

    def _step(self, event: Event) -> list[Message]:
        """Process an event and persist its writes; return the messages to send."""
        if self._state is None:
            return []
        before = self._state
        state, actions = step(before, event, self._clock(), self._timeout_ms())
        self._state = state
        messages = self._perform(actions)
        if self._state is None:
            return []
        self._observe(before, state)
        is_due = self._machine.is_snapshot_due(state.log.snapshot.index)
        if is_due and not isinstance(event, Compact):
            data = self._machine.take_snapshot()
            messages += self._step(Compact(self._machine.index, data))
        return [] if self._state is None else messages

    def _perform(self, actions: list[Action]) -> list[Message]:
        messages = []
        for action in actions:
            match action:
                case Send(message):
                    messages.append(message)
                case Apply(entries):
                    for entry in entries:
                        self._machine.apply(entry.index, entry.command)
                        self._proposals.resolve_applied(entry.index, entry.term)
                case Restore(index, data):
                    self._machine.restore(index, data)
                case _:
                    assert self._storage is not None
                    started_at = self._clock()
                    result = self._storage.persist(action)
                    self._hold_ups.record("sync", self._clock() - started_at)
                    if result.is_error():
                        self._fail_storage(result.error.detail)
                        return []
        return messages

    def _observe(self, before: State, state: State) -> None:
        """Log role changes; fail pending proposals when this replica doesn't lead."""
        self._observe_growth(state)
        if (state.role, state.term) != (before.role, before.term):
            logger.info(
                "event=role_changed replica={} role={} term={}",
                self._replica_id,
                state.role.value,
                state.term,
            )
        if before.is_blank and not state.is_blank:
            logger.info("event=joined replica={}", self._replica_id)
        if state.role is not Role.LEADER:
            self._leader_since = None
            self._proposals.fail_all(ErrorKind.NO_QUORUM)
        elif self._leader_since is None and self.is_leader():
            self._leader_since = self._clock()

    def _observe_growth(self, state: State) -> None:
        if self._members is None:
            return
        now = self._clock()
        waiting = waiting_learners(state, self._members.n_target, now)
        self._learner_waits.update(state.learners, waiting, now)

    # Messages

    async def _flush(self) -> None:
        """Complete resolved proposals and send queued messages.

        Cancellation is disabled: this task may belong to a connection that is closing,
        while the proposals and messages belong to other tasks.
        """
        outbox, self._outbox = self._outbox, []
        async with curio.disable_cancellation():
            await self._proposals.wake()
            for message in outbox:
                await self._calls.send(message)

    def _on_send_failed(self, message: Message) -> None:
        self._outbox += self._step(SendFailed(message))

    async def _receive(self, message: Message) -> None:
        """Process the response to a request as an event."""
        self._outbox += self._step(Receive(message))
        await self._flush()


def _log_hold_up(cause: str, longest_ms: float) -> None:
    """Log what keeps a replica from sending and answering heartbeats."""
    logger.warning("event=held_up cause={} longest_ms={:.1f}", cause, longest_ms)


def _is_response(message: Message, request: Message) -> bool:
    is_request = isinstance(message.body, Request)
    return message.recipient == request.sender and not is_request
