"""A simulated cluster whose members are agreed on in the replicated log.

Machines are named by a letter; each disk of a machine has an id of its own, such as
``b/2``. The checks are those of ``SimulatedCluster``.
"""

from pollenfold.core.agreement.members import (
    decode_members,
    founder_state,
    next_membership_change,
    wrap_snapshot,
)
from pollenfold.core.agreement.messages import Join, Propose
from pollenfold.tests.core.agreement.simulated_cluster import (
    SimulatedCluster,
    SimulatedReplica,
)

JOIN_INTERVAL_MS = 200
N_TARGET = 5


class SimulatedDynamicCluster(SimulatedCluster):
    """A cluster that starts with a founder; the other replicas join it."""

    is_dynamic = True

    def __init__(self, n_machines, seed=0, n_target=N_TARGET):
        self.n_target = n_target
        self.n_disks = 0
        self.joined_at = 0.0
        super().__init__(0, seed)
        for position in range(n_machines):
            self.add_disk("abcdefgh"[position], is_founder=position == 0)

    def add_disk(self, machine, is_founder=False):
        """Start a machine on an empty disk; its earlier disk is lost."""
        for name in [k for k in self.replicas if k.split("/")[0] == machine]:
            del self.replicas[name]
        name = f"{machine}/{self.n_disks}"
        self.n_disks += 1
        replica = self.replicas[name] = SimulatedReplica(name, name, is_blank=False)
        if is_founder:
            replica.stored, replica.log = founder_state(name)
        self.start(name)
        return name

    def initial_members(self, name):
        return frozenset({name})

    def deliver(self, position):
        message = self.in_flight[position]
        if message.recipient in self.replicas:
            super().deliver(position)
        else:
            self.in_flight.pop(position)

    def snapshot(self, index):
        commands = [entry.command for entry, _ in self.committed[:index]]
        voters = [decode_members(command) for command in commands]
        latest = [names for names in voters if names is not None][-1:]
        data = repr(commands).encode()
        return wrap_snapshot(latest[0] if latest else frozenset(), data)

    def tick(self):
        super().tick()
        if self.now < self.joined_at + JOIN_INTERVAL_MS:
            return
        self.joined_at = self.now
        for name, replica in list(self.replicas.items()):
            if replica.state is None:
                continue
            change = next_membership_change(replica.state, self.n_target, self.now)
            if change is not None:
                self.step(name, Propose(change[0].command))
        self.request_to_join()

    def request_to_join(self):
        """Let each replica that isn't a voter request to join, unless partitioned."""
        leader = self.leader()
        if leader is None:
            return
        for name, replica in self.replicas.items():
            is_partitioned = (name in self.isolated) != (
                leader.replica_id in self.isolated
            )
            if (
                replica.state is not None
                and name not in leader.voters
                and not is_partitioned
            ):
                self.step(leader.replica_id, Join(name))

    def voters(self):
        """Return the voters in the leader's state."""
        leader = self.leader()
        return frozenset() if leader is None else leader.voters
