"""The lease of a leader under any schedule of faults."""

from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import event, given
from hypothesis import strategies as st

from pollenfold.core.agreement.consensus import Role, is_leader
from pollenfold.core.agreement.election_timeout import FIRST_ELECTION_TIMEOUTS_MS
from pollenfold.core.agreement.leader_lease import LEASE_MS, acts_from
from pollenfold.core.agreement.state import (
    ELECTION_TIMEOUT_MIN_MS,
    majority_contact_at,
)
from pollenfold.core.clock import add_ms

from .test_agreement_members import SCHEDULES, LeavingCluster, perform


class ClusterWithLeases(LeavingCluster):
    """Records by term from when its leader acts, and when its last lease ends.

    Replicas that restarted ask for votes early.
    """

    def __init__(self, *args):
        self.starts = {}
        self.ends = {}
        super().__init__(*args)

    def start(self, name):
        super().start(name)
        replica = self.replicas[name]
        wake_at = add_ms(self.now, self.random.uniform(*FIRST_ELECTION_TIMEOUTS_MS))
        replica.state = replace(replica.state, wake_at=wake_at)

    def check_leader(self, state):
        """Leave out the check of ``is_leader``, which early votes after a restart make
        fail for a moment; that is why a new leader waits."""

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

    def check_leases(self):
        """Check that the leases of all earlier terms end before a leader acts."""
        terms = sorted(self.starts)
        for earlier, later in pairwise(terms):
            latest_end = max(self.ends[t] for t in terms if t <= earlier)
            assert latest_end <= self.starts[later]


@given(SCHEDULES, st.integers(0, 2**16))
def test_lease_ends_before_the_next_leader_acts(schedule, seed):
    """Guards against two leaders that act alone at the same time, also while voters
    restart and vote at once."""
    cluster = ClusterWithLeases(5, seed)
    cluster.run(4000)
    for fault, first, second in schedule:
        perform(cluster, fault, first, second)
    cluster.recover(8000)
    event(f"leaders: {min(len(cluster.starts), 6)}")
    cluster.check_leases()


@pytest.mark.parametrize("seed", range(20))
def test_lease_ends_although_the_others_restart_and_elect_at_once(seed):
    """Guards against a leader that was cut off and acts beside one that was elected
    within its lease, by voters that forgot in a restart when they heard of it."""
    cluster = ClusterWithLeases(5, seed)
    cluster.run(4000)
    former = cluster.leader()
    cluster.isolated = {former.replica_id}
    for name in cluster.replicas:
        if name != former.replica_id:
            cluster.start(name)
    cluster.run(300)
    assert len(cluster.starts) >= 2
    elected_at = max(cluster.starts.values()) - ELECTION_TIMEOUT_MIN_MS
    assert elected_at < cluster.ends[former.term]
    cluster.check_leases()
