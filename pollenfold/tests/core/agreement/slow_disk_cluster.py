"""A simulated group whose replicas do nothing else while they sync to a slow disk."""

import random

from pollenfold.core.agreement import messages
from pollenfold.core.agreement.consensus import Role, initial_state, is_leader, step
from pollenfold.core.agreement.election_timeout import (
    FIRST_ELECTION_TIMEOUTS_MS,
    election_timeout_ms,
)
from pollenfold.core.agreement.log import Entry, Log
from pollenfold.core.agreement.members import encode_members

LINK_MS = 1.0
SYNCS_MS = (50.0, 200.0)

REPLICA_IDS = tuple(f"10.0.0.{number}:7660/{number}" for number in range(1, 6))


class SlowDiskReplica:
    """One replica; ``busy_until`` is when its present sync returns."""

    def __init__(self, state):
        self.state = state
        self.busy_until = state.wake_at
        self.inbox = []


class SlowDiskCluster:
    """Five voters that restart at different times with the same log."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.leaders = []
        entry = Entry(1, 1, encode_members(frozenset(REPLICA_IDS)))
        log = Log(entries=(entry,))
        self.replicas = {}
        self.started_at = 0.0
        for replica_id in REPLICA_IDS:
            start_at = self.random.uniform(0.0, 800.0)
            self.started_at = max(self.started_at, start_at)
            state = initial_state(
                replica_id,
                frozenset({replica_id}),
                "1",
                False,
                messages.PersistState(1, None, 0, ()),
                log,
                start_at,
                self.random.uniform(*FIRST_ELECTION_TIMEOUTS_MS),
                is_dynamic=True,
            )
            replica = self.replicas[replica_id] = SlowDiskReplica(state)
            replica.busy_until = start_at

    def run_until(self, end_at):
        while self.now < end_at:
            for replica in self.replicas.values():
                self.run_replica(replica)
            self.now += 1.0

    def run_replica(self, replica):
        """Handle what has arrived and tick, unless a sync holds the replica up."""
        while self.now >= replica.busy_until:
            arrived = [m for at, m in replica.inbox if at <= self.now]
            if not arrived:
                break
            replica.inbox = [item for item in replica.inbox if item[1] != arrived[0]]
            self.step(replica, messages.Receive(arrived[0]))
        if self.now >= replica.busy_until:
            self.step(replica, messages.Tick())

    def step(self, replica, event):
        timeout_ms = election_timeout_ms(replica.state, self.random)
        before = replica.state
        replica.state, actions = step(before, event, self.now, timeout_ms)
        n_syncs = sum(isinstance(action, messages.Persist) for action in actions)
        held_ms = sum(self.random.uniform(*SYNCS_MS) for _ in range(n_syncs))
        replica.busy_until = self.now + held_ms
        for action in actions:
            if isinstance(action, messages.Send):
                message = action.message
                recipient = self.replicas.get(message.recipient)
                if recipient is not None:
                    at = replica.busy_until + LINK_MS
                    recipient.inbox.append((at, message))
        if before.role is not Role.LEADER and replica.state.role is Role.LEADER:
            self.leaders.append((self.now, replica.state.replica_id))

    def propose(self, command):
        """Let the leader append a command, unless a sync holds it up."""
        for replica in self.replicas.values():
            if is_leader(replica.state, self.now) and self.now >= replica.busy_until:
                self.step(replica, messages.Propose(command))

    def has_leader(self):
        """Return whether a replica leads with a committed entry of its term."""
        return any(is_leader(r.state, self.now) for r in self.replicas.values())

    def terms(self):
        return {replica.state.term for replica in self.replicas.values()}
