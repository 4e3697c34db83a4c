"""Replicas that announce that they stop, and the learners that take their places."""

import itertools

import pytest

from pollenfold.core.agreement.consensus import Role
from pollenfold.core.agreement.departures import Departure
from pollenfold.core.agreement.members import (
    ABSENT_AFTER_MS,
    decode_members,
    has_left,
    next_membership_change,
)
from pollenfold.core.agreement.messages import Leave
from pollenfold.tests.core.agreement.simulated_dynamic_cluster import (
    SimulatedDynamicCluster,
)

RECOVERY_MS = 15_000


def formed_cluster(n_machines=5, n_successors=0, seed=3):
    """Return a group of ``n_machines``, with learners that hold the whole log."""
    cluster = SimulatedDynamicCluster(n_machines, seed=seed)
    cluster.run(4000)
    cluster.propose(b"acknowledged")
    for letter in "fghij"[:n_successors]:
        cluster.add_disk(letter)
    cluster.run(4000)
    return cluster


def machines(cluster):
    return {name.split("/")[0] for name in cluster.voters()}


def leavers(cluster, n_leaving, leader_position):
    """Return voters in the order in which they leave, the leader at a position."""
    leader = cluster.leader().replica_id
    others = [name for name in sorted(cluster.voters()) if name != leader]
    others.insert(leader_position, leader)
    return others[:n_leaving]


def commit_another(cluster):
    """Check that a group goes on and has kept what it acknowledged before."""
    cluster.propose(b"another")
    cluster.run(1000)
    commands = [entry.command for entry, _ in cluster.committed]
    assert commands[-1] == b"another"
    assert b"acknowledged" in commands


@pytest.mark.parametrize("gap_ms", [0, 300, 1000])
@pytest.mark.parametrize(
    "n_leaving, leader_position",
    [(n, k) for n in (3, 5) for k in range(n)],
)
def test_voters_that_leave_one_after_the_other_are_replaced(
    n_leaving, leader_position, gap_ms
):
    """Guards against a group without a majority after its voters were stopped faster
    than silence is noticed, though learners with the whole log waited."""
    cluster = formed_cluster(n_successors=n_leaving)
    leaving = leavers(cluster, n_leaving, leader_position)
    for name in leaving:
        cluster.leave(name)
        cluster.run(gap_ms)
    cluster.run(RECOVERY_MS)
    assert set(leaving).isdisjoint(cluster.replicas)
    assert cluster.leader() is not None
    assert cluster.voters() == set(cluster.replicas)
    assert len(cluster.voters()) == 5
    commit_another(cluster)


def test_voter_stays_until_its_successor_has_caught_up():
    """Guards against a voter that ends while its successor still lacks the log."""
    cluster = formed_cluster()
    leaving, successor = leavers(cluster, 1, 4)[0], cluster.add_disk("f")
    cluster.request_to_join()
    cluster.leave(leaving)
    cluster.isolated = {successor}
    cluster.run(700)
    assert leaving in cluster.voters()
    cluster.isolated = set()
    cluster.run(1500)
    assert machines(cluster) == set("abcdef") - {leaving.split("/")[0]}


def test_voter_without_a_successor_ends_at_once():
    """Guards against a stop that takes its grace period, though nobody can take the
    place, and against a group that shrinks at each restart."""
    cluster = formed_cluster()
    leaving = leavers(cluster, 1, 4)[0]
    stored = cluster.replicas[leaving]
    cluster.leave(leaving)
    cluster.run(300)
    assert leaving not in cluster.replicas
    assert leaving in cluster.voters()
    cluster.replicas[leaving] = stored
    cluster.start(leaving)
    cluster.run(2000)
    assert machines(cluster) == set("abcde")


@pytest.mark.parametrize("is_leader_leaving", [False, True])
def test_successor_is_added_before_the_voter_is_removed(is_leader_leaving):
    """Guards against a group of four while a voter leaves: it loses its majority if
    two disks are lost with it."""
    cluster = formed_cluster(n_successors=1)
    n_before = len(cluster.committed)
    cluster.leave(leavers(cluster, 1, 0 if is_leader_leaving else 4)[0])
    cluster.run(3000)
    sets = [decode_members(entry.command) for entry, _ in cluster.committed[n_before:]]
    assert [len(voters) for voters in sets if voters is not None] == [6, 5]


def test_leader_ends_its_term_once_its_removal_is_committed():
    """Guards against a replica that leads a group to which it doesn't belong."""
    cluster = formed_cluster(n_successors=1)
    leaving = cluster.leader().replica_id
    while not has_left(cluster.replicas[leaving].state, leaving):
        cluster.step(leaving, Leave(leaving))
        cluster.run(50)
    assert cluster.replicas[leaving].state.role is Role.FOLLOWER
    cluster.run(3000)
    assert cluster.leader().replica_id != leaving


def test_replica_has_left_only_once_its_removal_is_committed():
    """Guards against a replica that ends although the others may still need its vote:
    the leader that removed it is cut off."""
    cluster = formed_cluster(n_successors=1)
    leader = cluster.leader().replica_id
    leaving = leavers(cluster, 1, 4)[0]
    while len(cluster.voters()) == 5:
        cluster.step(leader, Leave(leaving))
        cluster.run(1)
    cluster.run(50)
    cluster.isolated = {leader}
    state = cluster.replicas[leader].state
    change = next_membership_change(state, cluster.n_target, cluster.now)
    assert change[1] == "voter_left"
    cluster.step(leader, change[0])
    assert cluster.departure(leaving) is Departure.WAITING


def test_new_leader_knows_the_learners():
    """Guards against a new leader that can replace nobody until learners find it."""
    cluster = formed_cluster(n_successors=1)
    learner = next(k for k in cluster.replicas if k not in cluster.voters())
    del cluster.replicas[cluster.leader().replica_id]
    while cluster.leader() is None:
        cluster.joined_at = cluster.now
        cluster.run(1)
    assert learner in cluster.leader().learners


def test_learner_that_leaves_takes_no_place():
    """Guards against a voter that ends as it is added, in the place of another."""
    cluster = formed_cluster(n_successors=1)
    learner = next(k for k in cluster.replicas if k not in cluster.voters())
    cluster.step(cluster.leader().replica_id, Leave(learner))
    assert cluster.departure(learner) is Departure.LEFT
    cluster.leave(leavers(cluster, 1, 4)[0])
    cluster.run(300)
    assert learner not in cluster.voters()


def test_group_shrinks_again_if_the_voter_stays():
    """Guards against a group of six for good, which a lost zone leaves with three:
    the voter that announced its leave was started again in between."""
    cluster = formed_cluster(n_successors=1)
    staying = leavers(cluster, 1, 4)[0]
    cluster.leave(staying)
    while len(cluster.voters()) == 5:
        cluster.run(1)
    cluster.run(20)
    # Neither the replica nor the leader remembers the leave after a restart.
    cluster.start(staying)
    cluster.start(cluster.leader().replica_id)
    cluster.run(5000)
    assert len(cluster.voters()) == 5
    commit_another(cluster)


@pytest.mark.parametrize("lost", list(itertools.combinations(range(4), 2)))
def test_change_survives_two_lost_disks_while_a_voter_leaves(lost):
    """Guards against an acknowledged change that is lost with as many disks as the
    group tolerates, at the moment at which it has one voter too many."""
    cluster = formed_cluster(n_successors=1)
    cluster.leave(leavers(cluster, 1, 4)[0])
    while len(cluster.voters()) == 5:
        cluster.run(1)
    staying = sorted(set(cluster.voters()) - set(cluster.leaving_until))
    for position in lost:
        cluster.add_disk(staying[position % len(staying)].split("/")[0])
    cluster.run(RECOVERY_MS)
    assert len(cluster.voters()) == 5
    commit_another(cluster)


@pytest.mark.parametrize("seed", range(3, 9))
@pytest.mark.parametrize("leader_position", [0, 1, 2])
def test_killed_voters_are_replaced_one_after_the_other(leader_position, seed):
    """Guards against a new leader that counts the silence of the one before anew, so
    that three machines taken away without a signal, a second apart, end the group."""
    cluster = formed_cluster(n_successors=3, seed=seed)
    for name in leavers(cluster, 3, leader_position):
        del cluster.replicas[name]
        cluster.run(1000)
    cluster.run(RECOVERY_MS)
    assert cluster.voters() == set(cluster.replicas)
    commit_another(cluster)


@pytest.mark.parametrize("seed", range(3, 9))
def test_leaders_killed_in_turn_are_replaced(seed):
    """Guards against a group whose leaders are lost faster than it replaces them."""
    cluster = formed_cluster(n_successors=5, seed=seed)
    for _ in range(5):
        del cluster.replicas[cluster.leader().replica_id]
        cluster.run(2000)
    cluster.run(RECOVERY_MS)
    assert len(cluster.voters()) == 5
    commit_another(cluster)


def test_absent_voter_is_kept_while_the_group_may_need_it():
    """Guards against a group that can't get its majority back: two voters stop without
    a successor as a third, which comes back, is removed since a learner waits."""
    cluster = formed_cluster()
    leader = cluster.leader().replica_id
    down, *stopping = [k for k in sorted(cluster.voters()) if k != leader][:3]
    cluster.replicas[down].state = None
    cluster.run(ABSENT_AFTER_MS + 100)
    for name in stopping:
        cluster.step(leader, Leave(name))
        del cluster.replicas[name]
    cluster.add_disk("f")
    for _ in range(200):
        # The leader looks for a change at each step.
        cluster.joined_at = 0.0
        cluster.run(1)
    cluster.start(down)
    cluster.run(RECOVERY_MS)
    commit_another(cluster)


def test_replica_waits_until_the_change_under_way_is_committed():
    """Guards against a leader that ends with a change that only it holds."""
    cluster = SimulatedDynamicCluster(4, seed=3)
    cluster.run(4000)
    cluster.add_disk("f")
    while len(cluster.voters()) == 4:
        cluster.run(1)
    leader = cluster.leader().replica_id
    cluster.step(leader, Leave(leader))
    assert cluster.departure(leader) is Departure.WAITING
