"""The sum over all entries of the hedges that they send to one service.

Entries want a hedge for each slow request. They restart at any moment, and load comes
in bursts. The sum is taken over all lives of all entries, as callers' servers see it.
"""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.hedging import MAX_SAVED_HEDGES, HedgeBudget

N_STEPS = 6_000

loads = st.fixed_dictionaries(
    {
        "ratio": st.floats(0.0, 1.0),
        "slow_share": st.floats(0.0, 1.0),
        "restart_share": st.sampled_from([0.0, 0.001, 0.05, 0.5]),
        "n_busy": st.integers(1, 312),
        "wanted": st.integers(1, 3),
        "seed": st.integers(0, 1_000_000),
    }
)


def simulate(n_entries, load, n_steps=N_STEPS):
    """Return for each request how many hedges followed it, over all entries.

    ``n_busy`` of the entries get nearly all requests, and in the last third of the time
    all responses are slow.
    """
    rng = random.Random(load["seed"])
    budgets = [HedgeBudget(load["ratio"]) for _ in range(n_entries)]
    hedges = []
    for step in range(n_steps):
        n_busy = min(load["n_busy"], n_entries)
        number = rng.randrange(n_busy if rng.random() < 0.9 else n_entries)
        if rng.random() < load["restart_share"]:
            budgets[number] = HedgeBudget(load["ratio"])
        budgets[number].deposit()
        is_slow = step > 2 * n_steps / 3 or rng.random() < load["slow_share"]
        wanted = load["wanted"] if is_slow else 0
        hedges.append(sum(budgets[number].withdraw() for _ in range(wanted)))
    return hedges


@pytest.mark.parametrize("n_entries", [16, 142, 312])
@given(load=loads)
def test_hedges_of_all_entries_never_exceed_the_ratio(n_entries, load):
    """Guards against a sum above the ratio of the requests, at any moment, with entries
    that restart and bursts in which all responses are slow."""
    n_hedges = 0
    for n_requests, n in enumerate(simulate(n_entries, load), 1):
        n_hedges += n
        assert n_hedges <= load["ratio"] * n_requests * (1 + 1e-9) + 1e-6


@pytest.mark.parametrize("n_entries", [16, 142, 312])
@given(load=loads)
def test_burst_adds_at_most_the_saved_hedges(n_entries, load):
    """Guards against a burst of all entries that sends the hedges of a long time."""
    hedges = simulate(n_entries, load)
    first = 2 * N_STEPS // 3
    burst = hedges[first:]
    limit = load["ratio"] * len(burst) + MAX_SAVED_HEDGES * n_entries
    assert sum(burst) <= limit * (1 + 1e-9) + 1e-6


@pytest.mark.parametrize("n_entries", [16, 142, 312])
def test_hedges_of_a_steady_load_are_sent(n_entries):
    """Load: 3 of 100 responses are slow, and each entry gets 120 requests. Guards
    against a limit that is kept by sending next to nothing."""
    load = dict(slow_share=0.03, restart_share=0.0, n_busy=n_entries, wanted=1, seed=1)
    n_steps = 120 * n_entries
    hedges = simulate(n_entries, {"ratio": 0.05, **load}, n_steps)
    steady = hedges[n_steps // 3 : 2 * n_steps // 3]
    assert sum(steady) > 0.4 * 0.03 * len(steady)
