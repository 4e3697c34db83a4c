"""Claims on registers that lose messages, processes and disks.

One key on 3 or 5 replicas. Messages are delivered in any order, twice or never; a
restart of a replica equals the loss of its messages, since it syncs before it
answers. A replica that lost its disk copies the others in steps, and the next disk
may be lost right after.
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
    life: int = 0
    sources: dict[int, int] = field(default_factory=dict)
    copies: dict[int, Register] = field(default_factory=dict)


@dataclass
class Claimant:
    claim_id: str
    operation: object = None
    state: str = "claiming"
    n_ran_before: int = 0
    completed_before: Outcome | None = None


class World:
    """The replicas, the claimants, the messages in flight and what was promised."""

    def __init__(self, n_replicas: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.n = n_replicas
        self.n_needed = n_replicas - (n_replicas // 2 + 1) + 1
        self.replicas = [Replica(i, (1,) * self.n) for i in range(self.n)]
        self.claimants: list[Claimant] = []
        self.messages: list[tuple] = []
        self.ran: list[str] = []
        self.stored: Outcome | None = None
        self.n_operations = 0
        self.now = Instant(0.0)

    def begin(self, claimant: Claimant, build) -> None:
        self.n_operations += 1
        claimant.operation = build(self.n, f"p{self.n_operations}", claimant.claim_id)
        claimant.n_ran_before = len(self.ran)
        claimant.completed_before = self.stored
        self.act(claimant, claimant.operation.start())

    def begin_claim(self) -> Claimant:
        claimant = Claimant(f"c{len(self.claimants)}")
        self.claimants.append(claimant)
        self.begin(claimant, lambda n, p, c: claims.claim(n, p, c, MAX_AGE_MS))
        return claimant

    def act(self, claimant: Claimant, action) -> None:
        task = (claimant, claimant.operation)
        match action:
            case claims.Send(phase, message):
                for index in range(self.n):
                    self.messages.append((task, phase, index, message, None))
            case claims.Pause():
                self.messages.append((task, None, None, None, None))
            case claims.Finish(answer):
                self.finish(claimant, answer)

    def finish(self, claimant: Claimant, answer) -> None:
        was, claimant.state = claimant.state, "refused"
        if was == "claiming":
            self.check_claim_answer(claimant, answer)
        elif was == "abandoning" and answer.is_ok():
            claimant.state = "abandoned"
            assert claimant.n_ran_before == 0, "did_not_run for a key that ran"
        elif was == "completing":
            claimant.state = "completed" if answer.is_ok() else "ran"
            if answer.is_ok():
                assert self.stored in (None, outcome_of(claimant)), "outcome changed"
                self.stored = outcome_of(claimant)

    def check_claim_answer(self, claimant: Claimant, answer) -> None:
        if claimant.completed_before and answer != claims.Unavailable():
            expected = claims.Completed(claimant.completed_before)
            assert answer == expected, "a stored outcome was lost"
        match answer:
            case claims.Claimed():
                holders = [c for c in self.claimants if c.state in ("held", "ran")]
                assert not holders and not self.ran, "second dispatch"
                claimant.state = "held"
            case claims.Completed(outcome):
                assert outcome.body.decode() == self.ran[0], "foreign outcome"

    def deliver(self, message: tuple) -> None:
        task, phase, index, request, reply = message
        claimant, operation = task
        self.now = Instant(self.now + 1)
        if phase is None:
            self.act(claimant, operation.resume())
        elif reply is not None:
            self.act(claimant, operation.on_reply(phase, index, reply))
        elif request is None:
            self.act(claimant, operation.on_failure(phase, index))
        elif self.replicas[index].is_blank:
            self.messages.append((task, phase, index, None, None))
        else:
            replica = self.replicas[index]
            replica.register, granted = handle(replica.register, request, self.now)
            reply = Reply(granted, replica.register, 0.0, replica.epochs)
            self.messages.append((task, phase, index, None, reply))

    def take_message(self, keep: bool = False) -> tuple | None:
        if not self.messages:
            return None
        position = self.random.randrange(len(self.messages))
        return self.messages[position] if keep else self.messages.pop(position)

    def lose_disk(self) -> None:
        replica = self.random.choice(self.replicas)
        n_blank = sum(r.is_blank for r in self.replicas if r is not replica)
        if n_blank < self.n - self.n // 2 - 1:
            self.replicas[replica.index] = Replica(
                replica.index, (0,) * self.n, is_blank=True, life=replica.life + 1
            )

    def continue_copy(self) -> None:
        """Take one step of a blank replica: a new epoch, or the copy of one peer."""
        blank = [r for r in self.replicas if r.is_blank]
        if not blank:
            return
        replica = self.random.choice(blank)
        voters = [r for r in self.replicas if not r.is_blank]
        fenced = [i for i in replica.sources if i not in replica.copies]
        if replica.epochs[replica.index] == 0:
            known = tuple(map(max, *(r.epochs for r in voters)))
            replica.epochs = with_epoch(known, replica.index, known[replica.index] + 1)
        elif len(replica.sources) < self.n_needed:
            others = [r for r in voters if r.index not in replica.sources]
            if not others:
                replica.sources, replica.copies = {}, {}
                return
            source = self.random.choice(others)
            epoch = replica.epochs[replica.index]
            source.epochs = with_epoch(source.epochs, replica.index, epoch)
            replica.sources[source.index] = source.life
        elif fenced:
            source = self.replicas[fenced[0]]
            if source.is_blank or source.life != replica.sources[source.index]:
                self.replicas[replica.index] = Replica(
                    replica.index, (0,) * self.n, is_blank=True, life=replica.life
                )
                return
            replica.copies[source.index] = source.register
            replica.epochs = tuple(map(max, replica.epochs, source.epochs))
        else:
            aged = [(register, 0.0) for register in replica.copies.values()]
            replica.register = merge_copies(aged)
            replica.is_blank = False

    def continue_claimant(self) -> None:
        """Let a claimant that waits for nothing run, complete, abandon or crash."""
        idle = [c for c in self.claimants if c.state in ("held", "ran", "refused")]
        if not idle:
            return
        claimant = self.random.choice(idle)
        if claimant.state == "held" and self.random.random() < 0.5:
            self.ran.append(claimant.claim_id)
            claimant.state = "ran"
        elif claimant.state == "ran":
            claimant.state = "completing"
            self.begin(
                claimant,
                lambda n, p, c: claims.complete(n, p, c, outcome_of(claimant)),
            )
        else:
            claimant.state = "abandoning"
            self.begin(claimant, claims.abandon)

    def step(self, with_disk_loss: bool) -> None:
        match self.random.randrange(24):
            case 0 if len(self.claimants) < 6:
                if sum(c.state == "claiming" for c in self.claimants) < 4:
                    self.begin_claim()
            case 1 | 2:
                self.continue_claimant()
            case 3 if with_disk_loss:
                self.lose_disk()
            case 4 | 5 | 6 | 7:
                self.continue_copy()
            case 8:
                self.drop_or_fail()
            case 9:
                message = self.take_message(keep=True)
                if message is not None and message[1] is not None:
                    self.deliver(message)
            case _:
                message = self.take_message()
                if message is not None:
                    self.deliver(message)

    def drop_or_fail(self) -> None:
        """Lose a request or a reply; the claimant sees a timeout."""
        message = self.take_message()
        if message is None:
            return
        task, phase, index, _, _ = message
        if phase is None:
            self.deliver(message)
        else:
            self.messages.append((task, phase, index, None, None))

    def settle(self) -> None:
        """Deliver everything in order, with every replica back."""
        while any(replica.is_blank for replica in self.replicas):
            self.continue_copy()
        for _ in range(10_000):
            if not self.messages:
                return
            self.deliver(self.messages.pop(0))
        raise AssertionError("claimants never settle")


def with_epoch(epochs: tuple[int, ...], index: int, epoch: int) -> tuple[int, ...]:
    return (*epochs[:index], max(epochs[index], epoch), *epochs[index + 1 :])


def outcome_of(claimant: Claimant) -> Outcome:
    return Outcome(200, body=claimant.claim_id.encode())


@settings(max_examples=600)
@given(st.sampled_from([3, 5]), st.integers(0, 2**32), st.booleans())
def test_at_most_one_dispatch_and_no_stuck_key(n_replicas, seed, with_disk_loss):
    """Guards against a second dispatch, a lost outcome and a key that stays held."""
    world = World(n_replicas, seed)
    world.begin_claim()
    for _ in range(N_STEPS):
        world.step(with_disk_loss)
    world.settle()
    for claimant in world.claimants:
        if claimant.state in ("held", "refused"):
            claimant.state = "abandoning"
            world.begin(claimant, claims.abandon)
            world.settle()
    last = world.begin_claim()
    world.settle()
    assert last.state != "claiming"
    if not world.ran and not with_disk_loss:
        assert last.state == "held", "a key that never ran stays held"
