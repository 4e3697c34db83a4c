"""A few cores of the replicated log with one list of messages in flight.

Every step is checked against what all cores have done before: at most one leader for
each term and at each instant, one entry for each committed index, and no leader
without the entries that were committed in earlier terms.
"""

import random
from dataclasses import dataclass

from pollenfold.core import agreement_messages as messages
from pollenfold.core.agreement import Log, Role, initial_state, is_leader, step

REPLICA_IDS = "abcde"


@dataclass
class Core:
    """One core: what its disk holds, and its state while it runs."""

    name: str
    incarnation: str
    is_blank: bool = True
    stored: messages.PersistState | None = None
    log: Log = Log()
    state: object = None
    n_applied: int = 0
    crash_after: int | None = None


class Cores:
    """Cores that run one event at a time; ``flight`` holds the undelivered messages."""

    is_dynamic = False

    def __init__(self, n_cores, seed=0):
        self.now = 0.0
        self.random = random.Random(seed)
        self.flight = []
        self.cut_off = set()
        self.leaders = {}
        self.committed = []
        self.n_lost_disks = 0
        self.cores = {k: Core(k, f"{k}0") for k in REPLICA_IDS[:n_cores]}
        for name in self.cores:
            self.start(name)

    def start(self, name):
        core = self.cores[name]
        core.n_applied = core.log.snapshot.index
        core.crash_after = None
        core.state = initial_state(
            name,
            self.first_members(name),
            core.incarnation,
            core.is_blank,
            core.stored,
            core.log,
            self.now,
            self.timeout_ms(),
            is_dynamic=self.is_dynamic,
        )

    def first_members(self, name):
        """Return the replicas that a core is told of at its start."""
        return frozenset(self.cores)

    def timeout_ms(self):
        return self.random.uniform(400, 800)

    def lose_disk(self, name):
        """Start the core again on an empty disk."""
        self.n_lost_disks += 1
        self.cores[name] = Core(name, f"{name}{self.n_lost_disks}")
        self.start(name)

    def step(self, name, event):
        """Run one event, or the part of its actions before a planned crash."""
        core = self.cores[name]
        if core.state is None:
            return
        state, actions = step(core.state, event, self.now, self.timeout_ms())
        core.state = state
        kinds = [isinstance(action, messages.Persist) for action in actions]
        sends = [isinstance(action, messages.Send) for action in actions]
        assert True not in kinds[(sends + [True]).index(True) :], "sent before stored"
        n_actions = len(actions) if core.crash_after is None else core.crash_after
        for action in actions[:n_actions]:
            self.perform(core, action)
        if core.crash_after is not None:
            core.state = None
        elif state.role is Role.LEADER:
            self.check_leader(state)

    def perform(self, core, action):
        match action:
            case messages.PersistState():
                core.stored = action
            case messages.PersistEntries(entries):
                core.log = core.log.with_entries(entries)
            case messages.PersistLog(log):
                core.log = log
            case messages.PersistJoined():
                core.is_blank = False
            case messages.Send(message):
                self.flight.append(message)
            case messages.Apply(entries):
                for entry in entries:
                    self.check_applied(core, entry)
            case messages.Restore(index, data):
                assert data == self.snapshot(index)
                core.n_applied = index

    def check_applied(self, core, entry):
        assert entry.index == core.n_applied + 1
        core.n_applied += 1
        if entry.index > len(self.committed):
            self.committed.append((entry, core.state.term))
        assert self.committed[entry.index - 1][0] == entry

    def check_leader(self, state):
        states = [core.state for core in self.cores.values() if core.state]
        assert sum(is_leader(state, self.now) for state in states) <= 1
        leader = self.leaders.setdefault(state.term, state.replica_id)
        assert leader == state.replica_id, f"two leaders in term {state.term}"
        for entry, term in self.committed:
            if term < state.term and entry.index > state.log.snapshot.index:
                assert state.log.term_at(entry.index) == entry.term

    def snapshot(self, index):
        return repr([entry.command for entry, _ in self.committed[:index]]).encode()

    def compact(self, name):
        n_applied = self.cores[name].n_applied
        self.step(name, messages.Compact(n_applied, self.snapshot(n_applied)))

    def deliver(self, position):
        """Deliver one message, unless a partition lies between its ends."""
        message = self.flight.pop(position)
        if (message.sender in self.cut_off) == (message.recipient in self.cut_off):
            self.step(message.recipient, messages.Receive(message))

    def run(self, duration_ms):
        """Deliver every message in order, and tick, for a time."""
        end = self.now + duration_ms
        while self.now < end:
            for _ in range(len(self.flight)):
                self.deliver(0)
            self.now += 1
            if not self.flight:
                waking = [c.state.wake_at for c in self.cores.values() if c.state]
                self.now = min(max(self.now, min(waking, default=end)), end)
            self.tick()

    def recover(self, duration_ms):
        """End all faults, wait, and check that a new change is committed."""
        self.cut_off.clear()
        for name, core in self.cores.items():
            if core.state is None or core.crash_after is not None:
                self.start(name)
        self.run(duration_ms)
        self.propose(b"after the faults")
        self.run(500)
        commands = [entry.command for entry, _ in self.committed]
        assert commands[-1:] == [b"after the faults"]

    def tick(self):
        for name in self.cores:
            self.step(name, messages.Tick())

    def leader(self):
        """Return the core that leads in the largest term, or None."""
        states = [core.state for core in self.cores.values() if core.state]
        leaders = [state for state in states if state.role is Role.LEADER]
        return max(leaders, key=lambda state: state.term, default=None)

    def propose(self, command, name=None):
        """Propose a command to the named core, or to the leader."""
        leader = self.leader()
        if name is None and leader is not None:
            name = leader.replica_id
        if name is not None:
            self.step(name, messages.Propose(command))


def perform_fault(cores, name, fault, first, second):
    """Do one fault of a generated schedule to the named core, lost disks apart."""
    core = cores.cores[name]
    flight = cores.flight
    match fault:
        case "deliver":
            for _ in range(min(second + 1, len(flight))):
                cores.deliver(cores.random.randrange(len(flight)))
        case "drop" if flight:
            flight.pop(first % len(flight))
        case "duplicate" if flight:
            flight.append(flight[first % len(flight)])
        case "pass_time":
            cores.now += 80 * second
            cores.step(name, messages.Tick())
        case "run":
            cores.run(20 * first)
        case "crash":
            core.crash_after = second % 4
        case "restart":
            cores.start(name)
        case "cut_off":
            cores.cut_off = {k for i, k in enumerate(cores.cores) if first >> i & 1}
        case "heal":
            cores.cut_off.clear()
        case "propose":
            cores.propose(b"%d" % first, name if second % 2 else None)
        case "compact":
            cores.compact(name)
