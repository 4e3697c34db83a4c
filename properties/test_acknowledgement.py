"""An acknowledged command survives as many lost disks as the group must survive.

A machine counts as lost while it is down and ``CATCH_UP_MS`` after it started on an
empty disk, except at the first start, when all disks are new.
"""

from hypothesis import event, given
from hypothesis import strategies as st

from pollenfold.core.agreement.acknowledgement import Group, LearnerWaits, is_held_back
from pollenfold.core.agreement.consensus import is_leader
from pollenfold.core.agreement.members import (
    n_answering_voters,
    n_whole_voters,
    waiting_learners,
)
from pollenfold.tests.core.agreement.simulated_dynamic_cluster import (
    SimulatedDynamicCluster,
)

MAX_LOST = 2
CATCH_UP_MS = 4_000.0
ACK_MS = 500
MACHINES = "abcde"
COMMAND = b"acknowledged"


class AcknowledgingCluster(SimulatedDynamicCluster):
    """A cluster whose leader holds commands back as a control replica does."""

    def __init__(self, seed, is_new):
        self.is_new = is_new
        self.led_since = {}
        self.learner_waits = {}
        super().__init__(1, seed)

    def tick(self):
        super().tick()
        for name, replica in self.replicas.items():
            state = replica.state
            is_led = state is not None and is_leader(state, self.now)
            self.observe(self.led_since, name, is_led)
            if state is not None:
                waiting = waiting_learners(state, self.n_target, self.now)
                waits = self.learner_waits.setdefault(name, LearnerWaits())
                waits.update(state.learners, waiting, self.now)

    def observe(self, since, name, is_true):
        if is_true:
            since.setdefault(name, self.now)
        else:
            since.pop(name, None)

    def acknowledge(self):
        """Send the command once; return whether it is acknowledged."""
        leader = self.leader()
        if leader is None or leader.replica_id not in self.led_since:
            return False
        name = leader.replica_id
        group = Group(
            n_whole_voters(leader, self.now),
            n_answering_voters(leader),
            self.n_target,
            self.is_new,
            0.0,
            self.led_since[name],
            self.learner_waits[name].since(),
        )
        if is_held_back(group, self.now):
            return False
        n_entries = len(self.committed)
        self.propose(COMMAND)
        end_at = self.now + ACK_MS
        while self.now < end_at:
            self.run(5)
            if COMMAND in [entry.command for entry, _ in self.committed[n_entries:]]:
                return True
        return False

    def lose_disks(self, machines):
        """Restart all processes, these machines on empty disks."""
        for machine in machines:
            self.add_disk(machine)
        for name in self.replicas:
            self.start(name)

    def check_kept(self):
        """Check that a leader is elected and has the command."""
        self.recover(8_000)
        leader = self.leader()
        assert COMMAND in [entry.command for entry in leader.log.entries]


def wait_for_acknowledgement(cluster, timeout_ms=5_000):
    end_at = cluster.now + timeout_ms
    while cluster.now < end_at:
        if cluster.acknowledge():
            return True
        cluster.run(40)
    return False


@given(
    st.lists(st.integers(0, 3_000), min_size=4, max_size=4),
    st.integers(0, 3_000),
    st.permutations(MACHINES),
    st.integers(0, 2**16),
)
def test_command_survives_lost_disks_at_the_first_start(
    starts_ms, sent_ms, lost_order, seed
):
    """Guards against an acknowledgement by the first members of a new group."""
    cluster = AcknowledgingCluster(seed, is_new=True)
    times = [(at, machine) for at, machine in zip(starts_ms, "bcde", strict=True)]
    for at, machine in sorted([*times, (sent_ms, "")]):
        cluster.run(max(0, at - cluster.now))
        if machine:
            cluster.add_disk(machine)
        elif cluster.acknowledge():
            break
    is_acknowledged = COMMAND in [entry.command for entry, _ in cluster.committed]
    if not is_acknowledged:
        is_acknowledged = wait_for_acknowledgement(cluster)
    assert is_acknowledged
    cluster.lose_disks(lost_order[:MAX_LOST])
    for machine in set(MACHINES) - {name[0] for name in cluster.replicas}:
        cluster.add_disk(machine)
    cluster.check_kept()


@given(
    st.sampled_from(["same", "other", "none"]),
    st.integers(0, 3_000),
    st.integers(0, 6_000),
    st.permutations(MACHINES),
    st.integers(0, 2**16),
)
def test_command_survives_lost_disks_while_a_disk_is_replaced(
    successor, down_ms, sent_ms, lost_order, seed
):
    """Guards against an acknowledgement by a group that is smaller for a while."""
    cluster = AcknowledgingCluster(seed, is_new=False)
    for machine in MACHINES[1:]:
        cluster.add_disk(machine)
    cluster.run(4_000)
    assert len(cluster.voters()) == 5
    first, *others = lost_order
    del cluster.replicas[next(k for k in cluster.replicas if k[0] == first)]
    cluster.run(down_ms)
    started_at = cluster.now
    if successor != "none":
        cluster.add_disk(first if successor == "same" else "f")
    cluster.run(sent_ms)
    assert wait_for_acknowledgement(cluster)
    is_first_lost = successor == "none" or cluster.now < started_at + CATCH_UP_MS
    event(f"first lost: {is_first_lost}")
    cluster.lose_disks(others[: MAX_LOST - is_first_lost])
    if successor == "none":
        cluster.add_disk(first)
    cluster.check_kept()
