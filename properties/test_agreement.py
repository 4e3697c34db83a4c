"""Safety and liveness of the replicated log under any schedule of faults."""

from hypothesis import event, given
from hypothesis import strategies as st

from pollenfold.tests.core.agreement.simulated_cluster import (
    SimulatedCluster,
    perform_fault,
)

FAULTS = [
    "deliver",
    "deliver",
    "deliver",
    "drop",
    "duplicate",
    "pass_time",
    "pass_time",
    "run",
    "crash",
    "restart",
    "lose_disk",
    "partition",
    "heal",
    "propose",
    "propose",
    "compact",
]
STEPS = st.tuples(st.sampled_from(FAULTS), st.integers(0, 31), st.integers(0, 11))
SCHEDULES = st.lists(STEPS, min_size=20, max_size=80)
LOSSES = st.tuples(st.integers(0, 4), st.lists(STEPS, max_size=12))


def may_lose_disk(cluster, name):
    """Return whether the guarantees still hold with this disk lost too.

    They hold only while a minority of the replicas is blank: a blank replica started
    on an empty disk and has not joined yet.
    """
    n_blank = sum(c.is_blank for k, c in cluster.replicas.items() if k != name)
    return n_blank < (len(cluster.replicas) - 1) // 2


def perform(cluster, fault, first, second):
    name = list(cluster.replicas)[first % len(cluster.replicas)]
    if fault != "lose_disk":
        perform_fault(cluster, name, fault, first, second)
    elif may_lose_disk(cluster, name):
        cluster.lose_disk(name)


def check_progress(cluster):
    """Check that the cluster recovers from the faults.

    A command proposed 4 s after the faults stop commits within 0.5 s, and by then all
    replicas have joined and applied all commands.
    """
    cluster.recover(4000)
    for replica in cluster.replicas.values():
        assert not replica.is_blank
        assert replica.n_applied == len(cluster.committed)


@given(st.sampled_from([3, 5]), st.booleans(), SCHEDULES, st.integers(0, 2**16))
def test_any_schedule(n_replicas, is_founded, schedule, seed):
    """Guards against two leaders in a term, and lost or changed entries."""
    cluster = SimulatedCluster(n_replicas, seed)
    if is_founded:
        cluster.run(2000)
    for fault, first, second in schedule:
        perform(cluster, fault, first, second)
    event(f"lost disks: {min(cluster.n_lost_disks, 3)}")
    check_progress(cluster)


@given(
    st.sampled_from([3, 5]),
    st.lists(LOSSES, min_size=2, max_size=4),
    st.integers(0, 2**16),
)
def test_second_loss_right_after_a_repair(n_replicas, losses, seed):
    """Guards against a change lost because a replica rejoined without it.

    Each disk is lost during replication, and the next one as soon as the guarantees
    permit it.
    """
    cluster = SimulatedCluster(n_replicas, seed)
    cluster.run(3000)
    for lost, schedule in losses:
        cluster.propose(b"before the loss")
        for fault, first, second in schedule:
            perform(cluster, fault, first, second)
        name = list(cluster.replicas)[lost % n_replicas]
        for _ in range(200):
            if may_lose_disk(cluster, name):
                cluster.lose_disk(name)
                break
            cluster.run(20)
    check_progress(cluster)
