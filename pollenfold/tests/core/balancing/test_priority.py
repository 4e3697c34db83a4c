"""Priorities of a service under overload, in simulated time."""

import math

import pytest

from pollenfold.core.balancing.priority import (
    LAST_STEP,
    MAX_PRIORITIES,
    ServicePriorities,
)
from pollenfold.core.balancing.selection import ServerLoad
from pollenfold.core.clock import Instant
from pollenfold.tests.core.balancing.priority_load import Demand, Simulation

N_SERVERS = 30
WORK_PER_S = N_SERVERS * 2 / 1.6 * 1000
"""How much work in ms all servers do in a second while both slots are busy."""

NARROW = {"work_ms": 76.0, "target_ms": 206.0}
WIDE = {"work_ms": 141.0, "target_ms": 802.0}
BUSY = ServerLoad(1, 0, 2)
IDLE = ServerLoad(0, 0, 2, slowdown=9.0)


def demand(name, priority, share, route, **changes):
    """Return a demand that needs a share of the capacity of the service."""
    rate_per_s = share * WORK_PER_S / route["work_ms"]
    return Demand(name, priority, rate_per_s=rate_per_s, **route, **changes)


def simulate(demands, duration_ms, counted_from_ms=0.0, **changes):
    """Return the counts of each demand, with 65 entries before 30 servers."""
    simulation = Simulation(demands, 65, N_SERVERS, **changes)
    return simulation, simulation.run(duration_ms, counted_from_ms)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_burst_on_a_service_with_two_priorities(seed):
    """Guards against a burst that leaves the whole service to the lower priority.

    Load: half of the capacity; from 4 s to 10 s a total of 1.8 times the capacity, of
    which 0.5 is of the higher priority, with a narrow target.
    """
    burst = {"from_ms": 4_000.0, "until_ms": 10_000.0}
    demands = [
        demand("high", 0, 0.2, NARROW),
        demand("low", 2, 0.3, WIDE),
        demand("high burst", 0, 0.3, NARROW, **burst),
        demand("low burst", 2, 1.0, WIDE, **burst),
    ]
    _, without = simulate(demands, 10_000, 4_000, uses_priorities=False, seed=seed)
    assert without["high burst"].in_time_share < 0.2
    assert without["low burst"].in_time_share > 0.7
    simulation, counts = simulate(demands, 10_000, 4_000, seed=seed)
    for name in ("high", "high burst"):
        assert counts[name].in_time_share > 0.8
    assert counts["low burst"].in_time_share > 0.2
    assert all(c.n_idle_refused == 0 for c in counts.values())
    simulation, counts = simulate(demands, 30_000, 20_000, seed=seed)
    assert {c.n_held for c in counts.values()} == {0}
    assert {step for at, step in simulation.steps if at > 24_000.0} == {0}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hot_tenant_of_low_priority(seed):
    """Guards against a tenant that takes the capacity of others on the same route.

    Load: tenants of priority 1 need 0.6 of the capacity; one of priority 2 rises from
    0.1 to ten times that at 4 s. All requests are of one route.
    """
    demands = [
        demand("others", 1, 0.6, NARROW),
        demand("usual", 2, 0.1, NARROW),
        demand("hot", 2, 0.9, NARROW, from_ms=4_000.0),
    ]
    _, without = simulate(demands, 14_000, 4_000, uses_priorities=False, seed=seed)
    assert without["others"].in_time_share < 0.75
    _, counts = simulate(demands, 14_000, 4_000, seed=seed)
    assert counts["others"].in_time_share > 0.85
    assert counts["others"].in_time_share > counts["hot"].in_time_share
    assert counts["hot"].in_time_share > 0.1
    assert all(c.n_idle_refused == 0 for c in counts.values())


@pytest.mark.parametrize("n_slots", [2, 3, 6])
def test_quiet_day(n_slots):
    """Guards against requests that are held back although the service has capacity.

    Load: 0.6 of the capacity for 20 s, in three priorities.
    """
    demands = [
        demand("p0", 0, 0.2 * n_slots / 2, NARROW),
        demand("p1", 1, 0.2 * n_slots / 2, NARROW),
        demand("p2", 2, 0.2 * n_slots / 2, WIDE),
    ]
    simulation, counts = simulate(demands, 20_000, n_slots=n_slots)
    assert all(c.n_refused == 0 for c in counts.values())
    assert {step for _, step in simulation.steps} == {0}


@pytest.mark.parametrize("share", [0.9, 1.1, 1.5, 2.5])
def test_each_priority_is_served_at_least_as_well_as_lower_ones(share):
    """Guards against a middle priority that gets less than a lower one.

    Load: a lasting overload of 0.9 to 2.5 times the capacity in three priorities, the
    higher the narrower the target. A fiftieth is of the highest priority, of which an
    entry sees less than one request in a second.
    """
    demands = [
        demand("p0", 0, 0.02 * share, NARROW),
        demand("p1", 1, 0.38 * share, {"work_ms": 100.0, "target_ms": 400.0}),
        demand("p2", 2, 0.6 * share, WIDE),
    ]
    _, counts = simulate(demands, 16_000, 6_000)
    shares = [counts[name].in_time_share for name in ("p0", "p1", "p2")]
    assert shares[0] >= shares[1] - 0.03
    assert shares[1] >= shares[2] - 0.03
    assert shares[0] > 0.75
    assert all(c.n_idle_refused == 0 for c in counts.values())


def overloaded(n_searches=20):
    """Return the state after two seconds in which priority 0 missed all searches."""
    priorities = ServicePriorities()
    for number in range(n_searches):
        priorities.record_search(0, 2.0, 3.0, Instant(number * 100.0))
    return priorities


def test_lower_priority_is_held_back_step_by_step_and_released():
    """Guards against a jump to the last step by one refusal, and an endless hold."""
    priorities = ServicePriorities()
    limits = []
    for number in range(20):
        priorities.record_search(0, 2.0, 3.0, Instant(number * 100.0))
        limits.append(priorities.limit(2))
    assert sorted(set(limits), reverse=True) == [math.inf, 2.0, 1.5, 1.0, 0.0]
    assert limits == sorted(limits, reverse=True)
    assert priorities.limit(0) == math.inf
    at_ms = 2_000.0
    while priorities.step(2):
        at_ms += 100.0
        assert at_ms < 25_000.0
        priorities.record_search(2, 5.0, 1.0, Instant(at_ms))
    assert priorities.limit(2) == math.inf


def test_idle_server_is_never_refused():
    """Guards against capacity that nobody uses."""
    priorities = overloaded()
    assert priorities.step(2) == LAST_STEP
    assert not priorities.holds_back(2, 14.0, IDLE)
    assert priorities.holds_back(2, 1.6, BUSY)
    assert not priorities.holds_back(0, 1.6, BUSY)


@pytest.mark.parametrize(
    ("priority", "limit", "slowdown"),
    [
        (0, 2.0, 2.0),
        # It can't be in time even on an idle server: an old request of a caller.
        (0, 0.5, 3.0),
        (0, -4.0, 3.0),
        # The lowest priority of the service.
        (2, 2.0, 3.0),
    ],
)
def test_nothing_is_held_back_without_a_refusal_of_a_higher_priority(
    priority, limit, slowdown
):
    """Guards against requests that are refused for nobody's sake."""
    priorities = ServicePriorities()
    for number in range(100):
        now = Instant(number * 50.0)
        priorities.record_search(2, 9.0, slowdown, now)
        priorities.record_search(priority, limit, slowdown, now)
    assert priorities.limit(2) == math.inf


def test_priority_that_is_gone_holds_back_nobody():
    """Guards against capacity that is kept for requests which no longer come.

    Load: the higher priority stops; the lower one keeps the servers busy.
    """
    priorities = overloaded()
    for number in range(300):
        now = Instant(2_000.0 + number * 100.0)
        priorities.record_search(2, 9.0, 4.0, now)
    assert priorities.step(2) == 0


def test_priorities_of_a_service_are_bounded():
    """Guards against memory that grows with each priority of a configuration."""
    priorities = ServicePriorities()
    for number in range(50):
        priorities.record_search(number, 2.0, 1.0, Instant(float(number)))
    assert len(priorities._states) == MAX_PRIORITIES
