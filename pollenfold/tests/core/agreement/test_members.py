"""Changes of the members of the replicated log, in single scenarios."""

import pytest

from pollenfold.core.agreement.members import (
    address_of,
    decode_members,
    encode_members,
    next_membership_change,
    unwrap_snapshot,
    wrap_snapshot,
)
from pollenfold.tests.core.agreement.simulated_dynamic_cluster import (
    SimulatedDynamicCluster,
)


@pytest.fixture
def cluster():
    """Return five replicas that have formed one group."""
    cluster = SimulatedDynamicCluster(5, seed=3)
    cluster.run(4000)
    return cluster


def machines(cluster):
    return {name.split("/")[0] for name in cluster.voters()}


def test_other_replicas_join_the_founder(cluster):
    """Guards against two groups, or a group that stays small, at the first start."""
    assert machines(cluster) == set("abcde")
    assert {replica.state.voters for replica in cluster.replicas.values()} == {
        cluster.voters()
    }


def test_sixth_replica_does_not_become_a_voter(cluster):
    """Guards against a group that grows beyond its target size."""
    cluster.add_disk("f")
    cluster.run(3000)
    assert machines(cluster) == set("abcde")


def test_replica_at_another_address_replaces_an_unresponsive_one(cluster):
    """Guards against a group that keeps a removed machine as a voter."""
    gone = next(k for k in cluster.replicas if k != cluster.leader().replica_id)
    del cluster.replicas[gone]
    cluster.add_disk("f")
    cluster.run(4000)
    assert gone not in cluster.voters()
    assert "f" in machines(cluster)
    assert len(cluster.voters()) == 5


def test_unresponsive_replica_without_a_successor_stays_a_voter(cluster):
    """Guards against a group that shrinks while machines are only temporarily down."""
    gone = next(k for k in cluster.replicas if k != cluster.leader().replica_id)
    cluster.replicas[gone].state = None
    cluster.run(4000)
    assert gone in cluster.voters()


def test_lost_disk_is_replaced_immediately(cluster):
    """Guards against a second lost disk while the first still counts as a voter."""
    leader = cluster.leader().replica_id
    lost = next(k for k in cluster.replicas if k != leader)
    new = cluster.add_disk(lost.split("/")[0])
    cluster.run(1500)
    assert new in cluster.voters()
    assert lost not in cluster.voters()


def test_leader_on_a_new_disk_is_replaced(cluster):
    """Guards against a group that can't replace its former leader."""
    new = cluster.add_disk(cluster.leader().replica_id.split("/")[0])
    cluster.run(4000)
    assert new in cluster.voters()
    assert len(cluster.voters()) == 5


def test_replica_on_a_new_disk_does_not_complete_a_stale_majority(cluster):
    """Guards against a lost change when an empty replica completes a majority.

    Two replicas are partitioned and miss a change, a third loses its disk, and the
    other two are down: the remaining three must not elect a leader.
    """
    names = [k for k in cluster.replicas if k != cluster.leader().replica_id]
    cluster.isolated = set(names[:2])
    cluster.propose(b"missed by two")
    cluster.run(600)
    others = [k for k in cluster.replicas if k not in cluster.isolated]
    lost, *down = others
    for name in down:
        cluster.replicas[name].state = None
    cluster.add_disk(lost.split("/")[0])
    cluster.isolated = set()
    n_committed = len(cluster.committed)
    cluster.run(5000)
    assert cluster.leader() is None
    for name in down:
        cluster.start(name)
    cluster.run(5000)
    assert len(cluster.committed) > n_committed
    assert len(cluster.voters()) == 5


def test_change_survives_two_lost_disks_and_a_restart_of_all(cluster):
    """Guards against a lost change after the largest tolerated number of lost disks."""
    cluster.propose(b"acknowledged")
    cluster.run(50)
    assert b"acknowledged" in [entry.command for entry, _ in cluster.committed]
    for name in list(cluster.replicas)[:2]:
        cluster.add_disk(name.split("/")[0])
    for name in cluster.replicas:
        cluster.start(name)
    cluster.run(6000)
    applied = {replica.n_applied for replica in cluster.replicas.values()}
    assert applied == {len(cluster.committed)}
    assert len(cluster.voters()) == 5


def test_voters_change_one_at_a_time(cluster):
    """Guards against majorities of two member sets without a common replica."""
    names = [k for k in cluster.replicas if k != cluster.leader().replica_id]
    del cluster.replicas[names[0]]
    cluster.add_disk("f")
    cluster.add_disk(names[1].split("/")[0])
    cluster.run(6000)
    sets = [decode_members(entry.command) for entry, _ in cluster.committed]
    sets = [names for names in sets if names is not None]
    for before, after in zip(sets, sets[1:], strict=False):
        assert len(before ^ after) == 1


@pytest.mark.parametrize("seed", range(4))
def test_next_change_waits_until_the_one_before_is_committed(seed):
    """Guards against two uncommitted changes, after which two majorities may have no
    replica in common."""
    cluster = SimulatedDynamicCluster(5, seed=seed)
    n_in_flight = 0
    for _ in range(4000):
        cluster.run(1)
        leader = cluster.leader()
        if leader is None:
            continue
        entries = leader.log.between(leader.commit_index + 1, leader.log.last_index)
        if any(decode_members(entry.command) is not None for entry in entries):
            n_in_flight += 1
            assert next_membership_change(leader, cluster.n_target, cluster.now) is None
    assert n_in_flight
    assert machines(cluster) == set("abcde")


def test_unreachable_learner_does_not_become_a_voter():
    """Guards against a voter without the log: one more loss would stop the group."""
    cluster = SimulatedDynamicCluster(4, seed=3)
    cluster.run(4000)
    name = cluster.add_disk("f")
    while name not in cluster.leader().learners:
        cluster.run(1)
    cluster.isolated = {name}
    cluster.run(2000)
    assert machines(cluster) == set("abcd")
    cluster.isolated = set()
    cluster.run(2000)
    assert machines(cluster) == set("abcdf")


def test_learner_never_votes_for_itself(cluster):
    """Guards against a replica that starts elections before it is a member."""
    name = cluster.add_disk("f")
    cluster.isolated = {name}
    cluster.run(3000)
    assert cluster.replicas[name].state.term == 0


def test_removed_voter_requests_to_join_again(cluster):
    """Guards against a removed machine that returns and never rejoins."""
    gone = next(k for k in cluster.replicas if k != cluster.leader().replica_id)
    stored = cluster.replicas.pop(gone)
    cluster.add_disk("f")
    cluster.run(4000)
    cluster.replicas[gone] = stored
    cluster.start(gone)
    leader = cluster.leader().replica_id
    lost = next(k for k in cluster.voters() if k != leader)
    del cluster.replicas[lost]
    cluster.run(5000)
    assert gone in cluster.voters()
    assert len(cluster.voters()) == 5


def test_member_codec():
    """Guards against commands of the state machine that are decoded as members."""
    voters = frozenset({"10.0.0.1:7660/aa", "10.0.0.2:7660/bb"})
    assert decode_members(encode_members(voters)) == voters
    assert decode_members(b"\0") is None
    assert unwrap_snapshot(wrap_snapshot(voters, b"data\nmore")) == (
        voters,
        b"data\nmore",
    )
    assert address_of("10.0.0.1:7660/aa") == "10.0.0.1:7660"


def test_members_survive_compaction(cluster):
    """Guards against a snapshot that loses the voters."""
    cluster.propose(b"before")
    cluster.run(300)
    for name in cluster.replicas:
        cluster.compact(name)
    cluster.add_disk("f")
    gone = next(k for k in cluster.replicas if k != cluster.leader().replica_id)
    del cluster.replicas[gone]
    cluster.run(5000)
    cluster.propose(b"after", cluster.leader().replica_id)
    cluster.run(300)
    assert cluster.committed[-1][0].command == b"after"
