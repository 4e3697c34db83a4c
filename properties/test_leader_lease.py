"""The lease of a leader under any schedule of faults."""

from itertools import pairwise

from hypothesis import event, given
from hypothesis import strategies as st

from pollenfold.core.agreement.consensus import Role, is_leader
from pollenfold.core.agreement.leader_lease import LEASE_MS, acts_from
from pollenfold.core.agreement.state import majority_contact_at
from pollenfold.core.clock import add_ms
from pollenfold.tests.core.agreement.simulated_dynamic_cluster import (
    SimulatedDynamicCluster,
)

from .test_agreement_members import SCHEDULES, perform


class ClusterWithLeases(SimulatedDynamicCluster):
    """Records by term from when its leader acts, and when its last lease ends."""

    def __init__(self, *args):
        self.starts = {}
        self.ends = {}
        super().__init__(*args)

    def step(self, name, event):
        super().step(name, event)
        state = self.replicas[name].state if name in self.replicas else None
        if state is None or state.role is not Role.LEADER:
            return
        if is_leader(state, self.now):
            self.starts.setdefault(state.term, acts_from(self.now))
        if state.term in self.starts:
            end = add_ms(majority_contact_at(state, self.now), LEASE_MS)
            self.ends[state.term] = max(self.ends.get(state.term, end), end)


@given(SCHEDULES, st.integers(0, 2**16))
def test_lease_ends_before_the_next_leader_acts(schedule, seed):
    """Guards against two leaders that act alone at the same time, also while voters
    restart and vote at once."""
    cluster = ClusterWithLeases(5, seed)
    cluster.run(4000)
    for fault, first, second in schedule:
        perform(cluster, fault, first, second)
    cluster.recover(8000)
    terms = sorted(cluster.starts)
    event(f"leaders: {min(len(terms), 6)}")
    for earlier, later in pairwise(terms):
        latest_end = max(cluster.ends[t] for t in terms if t <= earlier)
        assert latest_end <= cluster.starts[later]
