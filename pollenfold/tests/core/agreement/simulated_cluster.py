"""A simulated cluster of log replicas with one list of messages in flight.

Every step is checked against all earlier ones: at most one leader for each term and at
each instant, one entry for each committed index, and no leader that lacks entries
committed in earlier terms.
"""

import random
from dataclasses import dataclass

from pollenfold.core.agreement import messages
from pollenfold.core.agreement.consensus import (
    Log,
    Role,
    initial_state,
    is_leader,
    step,
)

REPLICA_IDS = "abcde"


@dataclass
class SimulatedReplica:
    """One replica: the content of its disk, and its state while it runs."""

    name: str
    incarnation: str
    is_blank: bool = True
    stored: messages.PersistState | None = None
    log: Log = Log()
    state: object = None
    n_applied: int = 0
    crash_after: int | None = None


class SimulatedCluster:
    """Replicas that process one event at a time.

    ``in_flight`` holds the undelivered messages, and ``isolated`` the replicas on the
    other side of a network partition.
    """

    is_dynamic = False

    def __init__(self, n_replicas, seed=0):
        self.now = 0.0
        self.random = random.Random(seed)
        self.in_flight = []
        self.isolated = set()
        self.leaders = {}
        self.committed = []
        self.n_lost_disks = 0
        self.replicas = {
            k: SimulatedReplica(k, f"{k}0") for k in REPLICA_IDS[:n_replicas]
        }
        for name in self.replicas:
            self.start(name)

    def start(self, name):
        replica = self.replicas[name]
        replica.n_applied = replica.log.snapshot.index
        replica.crash_after = None
        replica.state = initial_state(
            name,
            self.initial_members(name),
            replica.incarnation,
            replica.is_blank,
            replica.stored,
            replica.log,
            self.now,
            self.timeout_ms(),
            is_dynamic=self.is_dynamic,
        )

    def initial_members(self, name):
        """Return the replica ids that a replica knows when it starts."""
        return frozenset(self.replicas)

    def timeout_ms(self):
        return self.random.uniform(400, 800)

    def lose_disk(self, name):
        """Restart the replica on an empty disk."""
        self.n_lost_disks += 1
        self.replicas[name] = SimulatedReplica(name, f"{name}{self.n_lost_disks}")
        self.start(name)

    def step(self, name, event):
        """Process one event; perform only the actions before a scheduled crash."""
        replica = self.replicas[name]
        if replica.state is None:
            return
        state, actions = step(replica.state, event, self.now, self.timeout_ms())
        replica.state = state
        are_persists = [isinstance(action, messages.Persist) for action in actions]
        are_sends = [isinstance(action, messages.Send) for action in actions]
        assert True not in are_persists[(are_sends + [True]).index(True) :], (
            "message sent before the state was stored"
        )
        n_actions = len(actions) if replica.crash_after is None else replica.crash_after
        for action in actions[:n_actions]:
            self.perform(replica, action)
        if replica.crash_after is not None:
            replica.state = None
        elif state.role is Role.LEADER:
            self.check_leader(state)

    def perform(self, replica, action):
        match action:
            case messages.PersistState():
                replica.stored = action
            case messages.PersistEntries(entries):
                replica.log = replica.log.with_entries(entries)
            case messages.PersistLog(log):
                replica.log = log
            case messages.PersistJoined():
                replica.is_blank = False
            case messages.Send(message):
                self.in_flight.append(message)
            case messages.Apply(entries):
                for entry in entries:
                    self.check_applied(replica, entry)
            case messages.Restore(index, data):
                assert data == self.snapshot(index)
                replica.n_applied = index

    def check_applied(self, replica, entry):
        assert entry.index == replica.n_applied + 1
        replica.n_applied += 1
        if entry.index > len(self.committed):
            self.committed.append((entry, replica.state.term))
        assert self.committed[entry.index - 1][0] == entry

    def check_leader(self, state):
        states = [replica.state for replica in self.replicas.values() if replica.state]
        assert sum(is_leader(state, self.now) for state in states) <= 1
        leader = self.leaders.setdefault(state.term, state.replica_id)
        assert leader == state.replica_id, f"two leaders in term {state.term}"
        for entry, term in self.committed:
            if term < state.term and entry.index > state.log.snapshot.index:
                assert state.log.term_at(entry.index) == entry.term

    def snapshot(self, index):
        return repr([entry.command for entry, _ in self.committed[:index]]).encode()

    def compact(self, name):
        n_applied = self.replicas[name].n_applied
        self.step(name, messages.Compact(n_applied, self.snapshot(n_applied)))

    def deliver(self, position):
        """Deliver one message, unless a partition separates sender and recipient."""
        message = self.in_flight.pop(position)
        if (message.sender in self.isolated) == (message.recipient in self.isolated):
            self.step(message.recipient, messages.Receive(message))

    def run(self, duration_ms):
        """Deliver all messages in order, with ticks, for the given duration."""
        end_at = self.now + duration_ms
        while self.now < end_at:
            for _ in range(len(self.in_flight)):
                self.deliver(0)
            self.now += 1
            if not self.in_flight:
                wake_times = [
                    c.state.wake_at for c in self.replicas.values() if c.state
                ]
                self.now = min(max(self.now, min(wake_times, default=end_at)), end_at)
            self.tick()

    def recover(self, duration_ms):
        """End all faults, run for the duration and check that a new command commits."""
        self.isolated.clear()
        for name, replica in self.replicas.items():
            if replica.state is None or replica.crash_after is not None:
                self.start(name)
        self.run(duration_ms)
        self.propose(b"after the faults")
        self.run(500)
        commands = [entry.command for entry, _ in self.committed]
        assert commands[-1:] == [b"after the faults"]

    def tick(self):
        for name in self.replicas:
            self.step(name, messages.Tick())

    def leader(self):
        """Return the state of the leader with the largest term, or None."""
        states = [replica.state for replica in self.replicas.values() if replica.state]
        leaders = [state for state in states if state.role is Role.LEADER]
        return max(leaders, key=lambda state: state.term, default=None)

    def propose(self, command, name=None):
        """Propose a command to the named replica, or to the leader."""
        leader = self.leader()
        if name is None and leader is not None:
            name = leader.replica_id
        if name is not None:
            self.step(name, messages.Propose(command))


def perform_fault(cluster, name, fault, first, second):
    """Inject one fault of a generated schedule, except lost disks, into a replica."""
    replica = cluster.replicas[name]
    in_flight = cluster.in_flight
    match fault:
        case "deliver":
            for _ in range(min(second + 1, len(in_flight))):
                cluster.deliver(cluster.random.randrange(len(in_flight)))
        case "drop" if in_flight:
            in_flight.pop(first % len(in_flight))
        case "duplicate" if in_flight:
            in_flight.append(in_flight[first % len(in_flight)])
        case "pass_time":
            cluster.now += 80 * second
            cluster.step(name, messages.Tick())
        case "run":
            cluster.run(20 * first)
        case "crash":
            replica.crash_after = second % 4
        case "restart":
            cluster.start(name)
        case "partition":
            cluster.isolated = {
                k for i, k in enumerate(cluster.replicas) if first >> i & 1
            }
        case "heal":
            cluster.isolated.clear()
        case "propose":
            cluster.propose(b"%d" % first, name if second % 2 else None)
        case "compact":
            cluster.compact(name)
