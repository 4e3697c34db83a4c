"""The members of the replicated log under any schedule of faults."""

from hypothesis import event, given
from hypothesis import strategies as st

from pollenfold.tests.core.cores import perform_fault
from pollenfold.tests.core.dynamic_cores import DynamicCores

FAULTS = [
    "deliver",
    "deliver",
    "drop",
    "duplicate",
    "pass_time",
    "run",
    "run",
    "crash",
    "restart",
    "lose_disk",
    "replace",
    "cut_off",
    "heal",
    "propose",
    "propose",
    "compact",
]
STEPS = st.tuples(st.sampled_from(FAULTS), st.integers(0, 31), st.integers(0, 11))
SCHEDULES = st.lists(STEPS, min_size=20, max_size=60)
MAX_LOST = 2


def n_missing(cores):
    """Return how many voters of the newest group have lost their disk or are gone."""
    newest = max(
        (c.state for c in cores.cores.values() if c.state),
        key=lambda state: (state.log.last_term, state.log.last_index),
        default=None,
    )
    if newest is None:
        return MAX_LOST
    return len(newest.voters - set(cores.cores)) + max(0, 5 - len(newest.voters))


def perform(cores, fault, first, second):
    name = list(cores.cores)[first % len(cores.cores)]
    if fault not in ("lose_disk", "replace"):
        perform_fault(cores, name, fault, first, second)
    elif n_missing(cores) < MAX_LOST:
        machine = name.split("/")[0]
        if fault == "replace":
            del cores.cores[name]
            taken = {other.split("/")[0] for other in cores.cores}
            free = [letter for letter in "abcdefgh" if letter not in taken]
            machine = free[second % len(free)]
        cores.add_disk(machine)


@given(SCHEDULES, st.integers(0, 2**16))
def test_any_schedule_of_losses_and_replacements(schedule, seed):
    """Guards against two groups, lost changes, and a group that never recovers."""
    cores = DynamicCores(5, seed)
    cores.run(4000)
    for fault, first, second in schedule:
        perform(cores, fault, first, second)
    event(f"disks: {min(cores.n_disks, 9)}")
    cores.recover(8000)
    assert len(cores.voters()) == 5
