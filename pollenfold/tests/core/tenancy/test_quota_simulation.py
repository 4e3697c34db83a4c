"""The sum over all entries of the requests that a tenant's quota lets through."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pollenfold.core.tenancy.tenants import Quota
from pollenfold.tests.core.tenancy.quota_simulation import LIMITS, Simulation

SIZES = (16, 142, 312)
N_TENANTS = 87
FACTOR = 1.6
"""The quotas as a multiple of the usual rate."""

END_MS = 12_000.0
SETTLED_MS = 5_000.0


def usual_rate(n_entries, position):
    """Return the usual rate of a tenant: a few have most of the load."""
    return max(1.0, 5.0 * n_entries * 0.5 ** (position + 1) / 4)


def quotas_of(n_entries):
    return {
        f"t{position}": Quota(FACTOR * rate, FACTOR * rate)
        for position in range(N_TENANTS)
        for rate in [usual_rate(n_entries, position)]
    }


def simulated(n_entries, hot, n_active, **options):
    """Return a simulation in which the first tenants have ``hot`` times their load."""
    quotas = quotas_of(n_entries)
    simulation = Simulation(n_entries, quotas, **options)
    for position in range(N_TENANTS):
        factor = hot if position < n_active else 1.0
        rate = usual_rate(n_entries, position) * factor
        simulation.load(f"t{position}", rate, END_MS)
    return simulation


def n_unused(simulation, tenant):
    """Return how many permits weren't used after the start, of 0.95 of the quota."""
    n_runs = sum(run >= SETTLED_MS for run in simulation.runs[tenant])
    rate_per_s = simulation.quotas[tenant].rate_per_s
    return 0.95 * rate_per_s * (END_MS - SETTLED_MS) / 1000 - n_runs


@pytest.mark.parametrize("n_entries", SIZES)
@pytest.mark.parametrize("n_hot", [1, 10, N_TENANTS])
def test_hot_tenants_use_their_quotas_and_no_more(n_entries, n_hot):
    """Load: 87 tenants, of which 1, 10 or all send ten times their usual rate.

    Guards against a sum above the limit, and against a quota that entries can't use
    since they refuse, hold or lose permits.
    """
    simulation = simulated(n_entries, 10.0, n_hot)
    simulation.run(END_MS)
    for tenant, quota in simulation.quotas.items():
        assert simulation.most_in_window(tenant) <= LIMITS.total(quota)
    for position in range(n_hot):
        # The last permit may come right after the end.
        assert n_unused(simulation, f"t{position}") <= 1.0


@pytest.mark.parametrize("n_entries", SIZES)
def test_usual_load_is_hardly_refused(n_entries):
    """Load: 87 tenants at their usual rates, 1 / 1.6 of their quotas.

    Guards against requests that are refused within the quota.
    """
    simulation = simulated(n_entries, 1.0, 0)
    simulation.run(SETTLED_MS)
    n_offered = sum(simulation.n_offered.values())
    n_denied = sum(simulation.n_denied.values())
    simulation.run(END_MS + 500.0)
    n_offered = sum(simulation.n_offered.values()) - n_offered
    assert sum(simulation.n_denied.values()) - n_denied <= 0.01 * n_offered


def test_callers_that_come_back_after_a_surge_are_served():
    """Load: a tenant at 142 entries sends five times its usual rate for a second.

    Guards against a Retry-After that is too short for those denied before. Some come
    back too late for their permit, which another request took meanwhile.
    """
    quota = Quota(32.0, 8.0)
    simulation = Simulation(142, {"t": quota}, comes_back=True)
    simulation.load("t", 20.0, END_MS)
    simulation.load("t", 80.0, 6_000.0, 5_000.0)
    simulation.run(END_MS + 5_000.0)
    n_later = simulation.n_served_later + simulation.n_refused_later
    assert n_later > 20
    assert simulation.n_served_later >= 0.8 * n_later


def test_high_rate_at_an_entry_takes_few_messages():
    """Load: a tenant sends 1,600 requests a second to 16 entries, within its quota.

    Guards against a message for each request.
    """
    simulation = Simulation(16, {"t": Quota(2_560.0, 2_560.0)})
    simulation.load("t", 1_600.0, 5_000.0)
    simulation.run(5_500.0)
    assert len(simulation.runs["t"]) >= 0.99 * simulation.n_offered["t"]
    assert simulation.n_messages <= 0.25 * simulation.n_offered["t"]


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "cut", "freeze", "leader"]),
        st.floats(0.0, 12_000.0),
        st.floats(1.0, 3_000.0),
        st.integers(0, 15),
    ),
    max_size=12,
)


def apply_fault(simulation, kind, duration_ms, position):
    """Let something fail; half of the entries are cut or frozen at the same time."""
    until_ms = simulation.clock() + duration_ms
    for entry in simulation.entries[position::2]:
        if kind == "kill":
            entry.restart()
        elif kind == "cut":
            entry.cut_until = until_ms
        elif kind == "freeze":
            entry.frozen_until = until_ms
    if kind == "leader":
        simulation.change_leader(duration_ms)


@settings(max_examples=60, deadline=None)
@given(FAULTS, st.integers(0, 99), st.floats(0.5, 40.0), st.floats(0.0, 60.0))
def test_sum_holds_through_faults(faults, seed, rate, burst):
    """Load: one tenant at 16 entries, ten times its usual rate, at any faults.

    Guards against permits that are used twice or too late over a change of leader, a
    restart, a cut or a freeze.
    """
    quota = Quota(rate, burst)
    simulation = Simulation(16, {"t": quota}, seed=seed)
    simulation.load("t", rate * 6, 15_000.0)
    for kind, at_ms, duration_ms, position in faults:
        simulation.at(at_ms, apply_fault, simulation, kind, duration_ms, position)
    simulation.run(16_000.0)
    assert simulation.most_in_window("t") <= LIMITS.total(quota)


@settings(max_examples=30, deadline=None)
@given(FAULTS, st.integers(0, 99), st.floats(0.1, 1.0))
def test_lower_quota_holds_one_window_later(faults, seed, factor):
    """Load: one tenant at 16 entries, ten times its usual rate, with a lower quota.

    Guards against permits or bursts of the former quota in later windows.
    """
    before, after = Quota(30.0, 30.0), Quota(30.0 * factor, 30.0 * factor)
    simulation = Simulation(16, {"t": before}, seed=seed)
    simulation.load("t", 180.0, 16_000.0)
    for kind, at_ms, duration_ms, position in faults:
        simulation.at(at_ms, apply_fault, simulation, kind, duration_ms, position)
    simulation.at(6_000.0, simulation.set_quota, "t", after)
    simulation.run(17_000.0)
    assert simulation.most_in_window("t") <= LIMITS.total(before)
    in_force_ms = 6_000.0 + LIMITS.window_ms
    assert simulation.most_in_window("t", in_force_ms) <= LIMITS.total(after)


@pytest.mark.parametrize(
    "faults",
    [
        [("leader", 7_000.0 + 600 * k, 50.0, 0) for k in range(5)],
        [("leader", 7_000.0, 5_000.0, 0)]
        + [("kill", 7_500.0 + 500 * k, 0.0, k % 2) for k in range(8)],
        [("cut", 7_000.0, 4_000.0, k) for k in (0, 1)]
        + [("kill", 7_500.0 + 500 * k, 0.0, k % 2) for k in range(8)],
    ],
    ids=["leaders", "kills-without-a-leader", "kills-while-cut"],
)
def test_sum_holds_through_repeated_faults(faults):
    """Load: one tenant at 16 entries, six times its quota, with faults in one window.

    Guards against a burst of each leader, and a reserve for each process.
    """
    quota = Quota(40.0, 60.0)
    simulation = Simulation(16, {"t": quota})
    simulation.load("t", 240.0, 14_000.0)
    for kind, at_ms, duration_ms, position in faults:
        simulation.at(at_ms, apply_fault, simulation, kind, duration_ms, position)
    simulation.run(15_000.0)
    assert simulation.most_in_window("t") <= LIMITS.total(quota)
