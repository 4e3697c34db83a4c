"""A simulated cluster whose members are agreed on in the replicated log.

Machines are named by a letter; each disk of a machine has an id of its own, such as
``b/2``. The checks are those of ``SimulatedCluster``.
"""

from pollenfold.core.agreement.acknowledgement import LEARNER_WAIT_MS
from pollenfold.core.agreement.departures import Departure
from pollenfold.core.agreement.members import (
    decode_members,
    departure,
    founder_state,
    next_membership_change,
    wrap_snapshot,
)
from pollenfold.core.agreement.messages import Join, Leave, Propose
from pollenfold.tests.core.agreement.simulated_cluster import (
    SimulatedCluster,
    SimulatedReplica,
)

JOIN_INTERVAL_MS = 200
N_TARGET = 5
LEAVE_WAIT_MS = 4_500
"""How long a replica that leaves waits until a learner has its place."""


class SimulatedDynamicCluster(SimulatedCluster):
    """A cluster that starts with a founder; the other replicas join it."""

    is_dynamic = True

    def __init__(self, n_machines, seed=0, n_target=N_TARGET):
        self.n_target = n_target
        self.n_disks = 0
        self.joined_at = 0.0
        self.leaving_until = {}
        """Until when each replica that is about to stop waits for a successor."""

        self.led_since = {}
        """Since when each leader leads, by its term."""

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
        leader = self.leader()
        if leader is not None:
            self.led_since.setdefault(leader.term, self.now)
        if self.now < self.joined_at + JOIN_INTERVAL_MS:
            return
        self.joined_at = self.now
        for name, replica in list(self.replicas.items()):
            if replica.state is None:
                continue
            change = next_membership_change(replica.state, self.n_target, self.now)
            if change is not None:
                self.step(name, Propose(change[0].command))
        self.announce_leaves()
        self.request_to_join()

    def request_to_join(self):
        """Let each replica that isn't a voter request to join, unless partitioned."""
        leader = self.leader()
        if leader is None:
            return
        for name, replica in self.replicas.items():
            is_waiting = replica.state is not None and name not in leader.voters
            if is_waiting and name not in self.leaving_until:
                self.send_join(name)

    def send_join(self, name):
        """Send a request to join to all replicas on this side of a partition."""
        for other in list(self.replicas):
            if (name in self.isolated) == (other in self.isolated) and other != name:
                self.step(other, Join(name))

    def start(self, name):
        """Start a replica; one that was about to stop goes on working."""
        self.leaving_until.pop(name, None)
        super().start(name)

    def leave(self, name):
        """Let a replica announce that it stops; it ends once its place is taken."""
        self.leaving_until.setdefault(name, self.now + LEAVE_WAIT_MS)

    def announce_leaves(self):
        """Let the leader hear of each leave, unless partitioned."""
        for name, until in list(self.leaving_until.items()):
            if name not in self.replicas:
                # It was lost before it had left.
                del self.leaving_until[name]
                continue
            leader = self.leader()
            is_partitioned = leader is not None and (name in self.isolated) != (
                leader.replica_id in self.isolated
            )
            outcome = Departure.WAITING
            if leader is not None and not is_partitioned:
                self.step(leader.replica_id, Leave(name))
                outcome = self.departure(name)
            if outcome is not Departure.WAITING or self.now >= until:
                del self.leaving_until[name]
                self.end_leave(name, outcome)

    def end_leave(self, name, outcome):
        """End the process of a replica that left, or that waited long enough."""
        del self.replicas[name]

    def departure(self, name):
        """Return how far a leave is; a new leader waits for learners at first."""
        leader = self.leader()
        if leader is None:
            return Departure.WAITING
        led_since = self.led_since.get(leader.term, self.now)
        outcome = departure(leader, name, self.n_target, self.now)
        if outcome is Departure.NO_SUCCESSOR and self.now < led_since + LEARNER_WAIT_MS:
            return Departure.WAITING
        return outcome

    def voters(self):
        """Return the voters in the leader's state."""
        leader = self.leader()
        return frozenset() if leader is None else leader.voters
