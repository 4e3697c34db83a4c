"""The replicated log keeps its promises under any schedule of faults."""

from hypothesis import event, given
from hypothesis import strategies as st

from pollenfold.tests.core.cores import Cores, perform_fault

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
    "cut_off",
    "heal",
    "propose",
    "propose",
    "compact",
]
STEPS = st.tuples(st.sampled_from(FAULTS), st.integers(0, 31), st.integers(0, 11))
SCHEDULES = st.lists(STEPS, min_size=20, max_size=80)
LOSSES = st.tuples(st.integers(0, 4), st.lists(STEPS, max_size=12))


def may_lose_disk(cores, name):
    """Beyond a minority of blank replicas the page promises no change."""
    n_blank = sum(c.is_blank for k, c in cores.cores.items() if k != name)
    return n_blank < (len(cores.cores) - 1) // 2


def perform(cores, fault, first, second):
    name = list(cores.cores)[first % len(cores.cores)]
    if fault != "lose_disk":
        perform_fault(cores, name, fault, first, second)
    elif may_lose_disk(cores, name):
        cores.lose_disk(name)


def check_progress(cores):
    """All replicas take part and apply a new change 4 s after the faults stop."""
    cores.recover(4000)
    for core in cores.cores.values():
        assert not core.is_blank
        assert core.n_applied == len(cores.committed)


@given(st.sampled_from([3, 5]), st.booleans(), SCHEDULES, st.integers(0, 2**16))
def test_any_schedule(n_cores, is_founded, schedule, seed):
    """Guards against two leaders in a term, and lost or changed entries."""
    cores = Cores(n_cores, seed)
    if is_founded:
        cores.run(2000)
    for fault, first, second in schedule:
        perform(cores, fault, first, second)
    event(f"lost disks: {min(cores.n_lost_disks, 3)}")
    check_progress(cores)


@given(
    st.sampled_from([3, 5]),
    st.lists(LOSSES, min_size=2, max_size=4),
    st.integers(0, 2**16),
)
def test_second_loss_right_after_a_repair(n_cores, losses, seed):
    """Guards against a repaired replica that lets the others forget a change.

    Each disk is lost in the middle of replication, and the next one as soon as the
    page allows it.
    """
    cores = Cores(n_cores, seed)
    cores.run(3000)
    for lost, schedule in losses:
        cores.propose(b"before the loss")
        for fault, first, second in schedule:
            perform(cores, fault, first, second)
        name = list(cores.cores)[lost % n_cores]
        for _ in range(200):
            if may_lose_disk(cores, name):
                cores.lose_disk(name)
                break
            cores.run(20)
    check_progress(cores)
