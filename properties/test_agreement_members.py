"""Membership changes of the replicated log under any schedule of faults."""

from hypothesis import event, given
from hypothesis import strategies as st

from pollenfold.core.agreement.departures import Departure
from pollenfold.tests.core.agreement.simulated_cluster import perform_fault
from pollenfold.tests.core.agreement.simulated_dynamic_cluster import (
    SimulatedDynamicCluster,
)

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
    "leave",
    "leave",
    "partition",
    "heal",
    "propose",
    "propose",
    "compact",
]
STEPS = st.tuples(st.sampled_from(FAULTS), st.integers(0, 31), st.integers(0, 11))
SCHEDULES = st.lists(STEPS, min_size=20, max_size=60)
MAX_LOST = 2


CATCH_UP_MS = 4_000
"""How long a machine counts as lost after its successor was started."""


def newest_voters(cluster):
    """Return the voters of the newest log, or None if all replicas are down."""
    states = [c.state for c in cluster.replicas.values() if c.state]
    newest = max(
        states,
        key=lambda state: (state.log.last_term, state.log.last_index),
        default=None,
    )
    return None if newest is None else newest.voters


def n_missing(cluster):
    """Return how many machines count as lost.

    These are voters of the newest log that are lost or not added yet, and learners
    that were lost lately: one of them may be about to be added.
    """
    voters = newest_voters(cluster)
    if voters is None:
        return MAX_LOST
    lost_at = [t for t in cluster.learners_lost_at if cluster.now < t + CATCH_UP_MS]
    return n_missing_of(cluster, voters) + len(lost_at)


def n_missing_of(cluster, voters):
    return len(voters - set(cluster.replicas)) + max(0, 5 - len(voters))


def n_missing_of_any(cluster):
    """Return the largest number by any log.

    The newest one may have a voter whose addition isn't committed and won't be, once
    the replica that has it ends.
    """
    states = [c.state for c in cluster.replicas.values() if c.state and c.state.voters]
    return max((n_missing_of(cluster, s.voters) for s in states), default=MAX_LOST)


def perform(cluster, fault, first, second):
    name = list(cluster.replicas)[first % len(cluster.replicas)]
    if fault == "leave":
        add_machine(cluster, second)
        cluster.leave(name)
    elif fault not in ("lose_disk", "replace"):
        perform_fault(cluster, name, fault, first, second)
    elif n_missing(cluster) < MAX_LOST:
        if name not in (newest_voters(cluster) or ()):
            cluster.learners_lost_at.append(cluster.now)
        machine = name.split("/")[0]
        if fault == "replace":
            del cluster.replicas[name]
            add_machine(cluster, second)
        else:
            cluster.add_disk(machine)


def add_machine(cluster, choice):
    """Start an empty machine, unless there are enough to replace all five voters."""
    taken = {other.split("/")[0] for other in cluster.replicas}
    free = [letter for letter in "abcdefghij" if letter not in taken]
    if free:
        cluster.add_disk(free[choice % len(free)])


class LeavingCluster(SimulatedDynamicCluster):
    """A cluster in which a replica that isn't replaced in time counts as lost.

    If as many are lost as may be, it is started again instead.
    """

    def __init__(self, *arguments):
        self.learners_lost_at = []
        super().__init__(*arguments)

    def end_leave(self, name, outcome):
        if outcome is Departure.LEFT or n_missing_of_any(self) < MAX_LOST:
            super().end_leave(name, outcome)
        else:
            self.start(name)


@given(SCHEDULES, st.integers(0, 2**16))
def test_any_schedule_of_losses_and_replacements(schedule, seed):
    """Guards against two groups, lost changes, and a group that never recovers."""
    cluster = LeavingCluster(5, seed)
    cluster.run(4000)
    for fault, first, second in schedule:
        perform(cluster, fault, first, second)
    event(f"disks: {min(cluster.n_disks, 9)}")
    cluster.recover(8000)
    assert len(cluster.voters()) == 5
