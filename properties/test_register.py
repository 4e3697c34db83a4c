"""Claims on registers that lose messages, processes and disks.

One key on 3 or 5 replicas. Messages are delivered in any order, twice or never; a
restart of a replica is equivalent to the loss of its messages, since it syncs before
it responds. A replica that lost its disk copies the others in steps, and the next
disk may be lost immediately afterwards.
"""

import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from pollenfold.core import claims
from pollenfold.core.clock import Instant
from pollenfold.core.register import (
    BLANK_REGISTER,
    Outcome,
    Register,
    Reply,
    handle,
    merge_copies,
)

MAX_AGE_MS = 1e9
N_STEPS = 250


@dataclass
class Replica:
    index: int
    epochs: tuple[int, ...]
    register: Register = BLANK_REGISTER
    is_blank: bool = False
    incarnation: int = 0
    sources: dict[int, int] = field(default_factory=dict)
    copies: dict[int, Register] = field(default_factory=dict)


@dataclass
class Claimant:
    claim_id: str
    operation: object = None
    state: str = "claiming"
    n_executed_before: int = 0
    completed_before: Outcome | None = None


class Simulation:
    """The replicas, claimants, messages in flight and the acknowledged outcome."""

    def __init__(self, n_replicas: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.n_replicas = n_replicas
        self.n_needed = n_replicas - (n_replicas // 2 + 1) + 1
        self.replicas = [
            Replica(i, (1,) * self.n_replicas) for i in range(self.n_replicas)
        ]
        self.claimants: list[Claimant] = []
        self.messages: list[tuple] = []
        self.executed: list[str] = []
        self.stored_outcome: Outcome | None = None
        self.n_operations = 0
        self.now = Instant(0.0)

    def start_operation(self, claimant: Claimant, build) -> None:
        self.n_operations += 1
        claimant.operation = build(
            self.n_replicas, f"p{self.n_operations}", claimant.claim_id
        )
        claimant.n_executed_before = len(self.executed)
        claimant.completed_before = self.stored_outcome
        self.perform(claimant, claimant.operation.start())

    def start_claim(self) -> Claimant:
        claimant = Claimant(f"c{len(self.claimants)}")
        self.claimants.append(claimant)
        self.start_operation(
            claimant, lambda n, p, c: claims.claim(n, p, c, MAX_AGE_MS)
        )
        return claimant

    def perform(self, claimant: Claimant, action) -> None:
        task = (claimant, claimant.operation)
        match action:
            case claims.Send(phase, message):
                for index in range(self.n_replicas):
                    self.messages.append((task, phase, index, message, None))
            case claims.Pause():
                self.messages.append((task, None, None, None, None))
            case claims.Finish(result):
                self.finish_operation(claimant, result)

    def finish_operation(self, claimant: Claimant, result) -> None:
        previous_state, claimant.state = claimant.state, "refused"
        if previous_state == "claiming":
            self.check_claim_result(claimant, result)
        elif previous_state == "abandoning" and result.is_ok():
            claimant.state = "abandoned"
            assert claimant.n_executed_before == 0, (
                "did_not_run for a key that was executed"
            )
        elif previous_state == "completing":
            claimant.state = "completed" if result.is_ok() else "executed"
            if result.is_ok():
                assert self.stored_outcome in (None, outcome_of(claimant)), (
                    "outcome changed"
                )
                self.stored_outcome = outcome_of(claimant)

    def check_claim_result(self, claimant: Claimant, result) -> None:
        if claimant.completed_before and result != claims.Unavailable():
            expected = claims.Completed(claimant.completed_before)
            assert result == expected, "a stored outcome was lost"
        match result:
            case claims.Claimed():
                holders = [c for c in self.claimants if c.state in ("held", "executed")]
                assert not holders and not self.executed, "second dispatch"
                claimant.state = "held"
            case claims.Completed(outcome):
                assert outcome.body.decode() == self.executed[0], (
                    "outcome of another claimant"
                )

    def deliver(self, message: tuple) -> None:
        task, phase, index, request, reply = message
        claimant, operation = task
        self.now = Instant(self.now + 1)
        if phase is None:
            self.perform(claimant, operation.resume())
        elif reply is not None:
            self.perform(claimant, operation.on_reply(phase, index, reply))
        elif request is None:
            self.perform(claimant, operation.on_failure(phase, index))
        elif self.replicas[index].is_blank:
            self.messages.append((task, phase, index, None, None))
        else:
            replica = self.replicas[index]
            replica.register, granted = handle(replica.register, request, self.now)
            reply = Reply(granted, replica.register, 0.0, replica.epochs)
            self.messages.append((task, phase, index, None, reply))

    def pick_message(self, keep: bool = False) -> tuple | None:
        if not self.messages:
            return None
        position = self.random.randrange(len(self.messages))
        return self.messages[position] if keep else self.messages.pop(position)

    def lose_disk(self) -> None:
        replica = self.random.choice(self.replicas)
        n_blank = sum(r.is_blank for r in self.replicas if r is not replica)
        if n_blank < self.n_replicas - self.n_replicas // 2 - 1:
            self.replicas[replica.index] = Replica(
                replica.index,
                (0,) * self.n_replicas,
                is_blank=True,
                incarnation=replica.incarnation + 1,
            )

    def continue_copy(self) -> None:
        """Perform one recovery step of a blank replica: a new epoch or one copy."""
        blank = [r for r in self.replicas if r.is_blank]
        if not blank:
            return
        replica = self.random.choice(blank)
        voters = [r for r in self.replicas if not r.is_blank]
        fenced = [i for i in replica.sources if i not in replica.copies]
        if replica.epochs[replica.index] == 0:
            known_epochs = tuple(map(max, *(r.epochs for r in voters)))
            replica.epochs = with_epoch(
                known_epochs, replica.index, known_epochs[replica.index] + 1
            )
        elif len(replica.sources) < self.n_needed:
            others = [r for r in voters if r.index not in replica.sources]
            if not others:
                replica.sources, replica.copies = {}, {}
                return
            source = self.random.choice(others)
            epoch = replica.epochs[replica.index]
            source.epochs = with_epoch(source.epochs, replica.index, epoch)
            replica.sources[source.index] = source.incarnation
        elif fenced:
            source = self.replicas[fenced[0]]
            if source.is_blank or source.incarnation != replica.sources[source.index]:
                self.replicas[replica.index] = Replica(
                    replica.index,
                    (0,) * self.n_replicas,
                    is_blank=True,
                    incarnation=replica.incarnation,
                )
                return
            replica.copies[source.index] = source.register
            replica.epochs = tuple(map(max, replica.epochs, source.epochs))
        else:
            aged = [(register, 0.0) for register in replica.copies.values()]
            replica.register = merge_copies(aged)
            replica.is_blank = False

    def continue_claimant(self) -> None:
        """Let an idle claimant execute, complete, abandon or crash."""
        idle = [c for c in self.claimants if c.state in ("held", "executed", "refused")]
        if not idle:
            return
        claimant = self.random.choice(idle)
        if claimant.state == "held" and self.random.random() < 0.5:
            self.executed.append(claimant.claim_id)
            claimant.state = "executed"
        elif claimant.state == "executed":
            claimant.state = "completing"
            self.start_operation(
                claimant,
                lambda n, p, c: claims.complete(n, p, c, outcome_of(claimant)),
            )
        else:
            claimant.state = "abandoning"
            self.start_operation(claimant, claims.abandon)

    def step(self, with_disk_loss: bool) -> None:
        match self.random.randrange(24):
            case 0 if len(self.claimants) < 6:
                if sum(c.state == "claiming" for c in self.claimants) < 4:
                    self.start_claim()
            case 1 | 2:
                self.continue_claimant()
            case 3 if with_disk_loss:
                self.lose_disk()
            case 4 | 5 | 6 | 7:
                self.continue_copy()
            case 8:
                self.drop_or_fail()
            case 9:
                message = self.pick_message(keep=True)
                if message is not None and message[1] is not None:
                    self.deliver(message)
            case _:
                message = self.pick_message()
                if message is not None:
                    self.deliver(message)

    def drop_or_fail(self) -> None:
        """Drop a request or a reply, so the claimant gets a timeout; end a pause."""
        message = self.pick_message()
        if message is None:
            return
        task, phase, index, _, _ = message
        if phase is None:
            self.deliver(message)
        else:
            self.messages.append((task, phase, index, None, None))

    def deliver_all(self) -> None:
        """Complete the recovery of all replicas, then deliver all messages in order."""
        while any(replica.is_blank for replica in self.replicas):
            self.continue_copy()
        for _ in range(10_000):
            if not self.messages:
                return
            self.deliver(self.messages.pop(0))
        raise AssertionError(
            "expected all messages to be delivered within 10,000 steps"
        )


def with_epoch(epochs: tuple[int, ...], index: int, epoch: int) -> tuple[int, ...]:
    return (*epochs[:index], max(epochs[index], epoch), *epochs[index + 1 :])


def outcome_of(claimant: Claimant) -> Outcome:
    return Outcome(200, body=claimant.claim_id.encode())


@settings(max_examples=600)
@given(st.sampled_from([3, 5]), st.integers(0, 2**32), st.booleans())
def test_at_most_one_dispatch_and_no_stuck_key(n_replicas, seed, with_disk_loss):
    """Guards against a second dispatch, a lost outcome and a key that stays held."""
    simulation = Simulation(n_replicas, seed)
    simulation.start_claim()
    for _ in range(N_STEPS):
        simulation.step(with_disk_loss)
    simulation.deliver_all()
    for claimant in simulation.claimants:
        if claimant.state in ("held", "refused"):
            claimant.state = "abandoning"
            simulation.start_operation(claimant, claims.abandon)
            simulation.deliver_all()
    last_claimant = simulation.start_claim()
    simulation.deliver_all()
    assert last_claimant.state != "claiming"
    if not simulation.executed and not with_disk_loss:
        assert last_claimant.state == "held", "a key that was never executed stays held"
