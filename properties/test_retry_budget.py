"""The sum over all entries of the retries that they send to one service.

The tests simulate entries that use ``RetryBudget`` as a gateway does, with what
control reports of the other entries, under faults that end, stop, freeze or cut off
entries in series. The sum is taken over all lives of all entries.
"""

import heapq
import random
from bisect import bisect_left, bisect_right

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pollenfold.core.allowances import FleetSize
from pollenfold.core.retry_budget import RetryBudget, RetryLimits

WINDOW_MS = 10_000.0
RATIO = 0.2
N_EXTRA = {1: 60, 16: 60, 312: 430}
REQUESTS_PER_S = {1: 40.0, 16: 160.0, 312: 460.0}
PUBLISH_MS = 500.0
"""How often control reports the number and the names of the entries."""

SILENCE_MS = 5_000.0
"""How long after its last sign of life control drops an entry."""

ARRIVAL_MS = 10.0
RETRIES_WANTED = 2
END_MS = 60_000.0


class Life:
    """One life of an entry, with what it knows of the others."""

    def __init__(self, name, n_extra, now):
        self.name = name
        self.fleet = FleetSize()
        self.entry_ids = frozenset()
        limits = RetryLimits(RATIO, n_extra, WINDOW_MS)
        self.budget = RetryBudget(limits, name, now)

    def learn(self, entry_ids, n_entries, now):
        """Apply a report of control."""
        self.entry_ids = entry_ids
        self.fleet.report(n_entries, now)

    def try_retry(self, now):
        return self.budget.try_acquire("s", now).is_permitted


class Simulation:
    """Entries whose callers want retries for all requests, with one control replica.

    An entry is in one state: it runs, is down, is frozen or is cut off from control.
    """

    def __init__(self, n_entries, seed, requests_per_s=None):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.retries_wanted_from = 0.0
        self.n_extra = N_EXTRA[n_entries]
        self.names = [f"e{number}" for number in range(n_entries)]
        self.states = dict.fromkeys(self.names, "runs")
        self.lives = {name: Life(name, self.n_extra, 0.0) for name in self.names}
        self.heard_at = dict.fromkeys(self.names, 0.0)
        self.fleet = FleetSize()
        self.requests = []
        self.retries = []
        self._events = []
        self._n_events = 0
        self._requests_per_ms = (requests_per_s or REQUESTS_PER_S[n_entries]) / 1000
        self.at(0.0, self.publish)
        self.at(10_000.0, self.call)

    def at(self, when, function, *args):
        self._n_events += 1
        heapq.heappush(self._events, (when, self._n_events, function, args))

    def run(self, until=END_MS):
        while self._events and self._events[0][0] < until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)

    def publish(self):
        """Control reports the entries that it hears from to those it reaches."""
        self.at(self.now + PUBLISH_MS, self.publish)
        for name in self.names:
            if self.states[name] == "runs":
                self.heard_at[name] = self.now
        oldest = self.now - SILENCE_MS
        present = frozenset(
            name
            for name in self.names
            if self.heard_at[name] > oldest and self.states[name] != "down"
        )
        self.fleet.report(len(present), self.now)
        for name, life in self.lives.items():
            if self.states[name] == "runs":
                life.learn(present, self.fleet.get(self.now), self.now)
            if self.states[name] in ("runs", "cut_off"):
                life.budget.update_share(life.fleet, life.entry_ids, self.now)

    def call(self):
        """A caller's request reaches a random entry, whose servers refuse it."""
        wait_ms = self.rng.expovariate(self._requests_per_ms)
        self.at(self.now + wait_ms, self.call)
        self.requests.append(self.now)
        name = self.rng.choice(self.names)
        if self.states[name] not in ("runs", "cut_off"):
            return
        life = self.lives[name]
        life.budget.count_request("s", self.now)
        if self.now < self.retries_wanted_from:
            return
        for _ in range(RETRIES_WANTED):
            if life.try_retry(self.now):
                self.retries.append(self.now + self.rng.uniform(0.0, ARRIVAL_MS))

    # Faults of a share of the entries

    def _chosen(self, share):
        n_chosen = max(1, round(share * len(self.names)))
        return self.rng.sample(self.names, n_chosen)

    def kill(self, share, for_ms):
        """Entries end and start again, with nothing in memory."""
        for name in self._chosen(share):
            self.states[name] = "down"
            self.at(self.now + min(for_ms, 500.0), self._start, name)

    def stop(self, share, for_ms):
        """Entries are down for longer."""
        for name in self._chosen(share):
            self.states[name] = "down"
            self.at(self.now + for_ms, self._start, name)

    def _start(self, name):
        self.states[name] = "runs"
        self.lives[name] = Life(name, self.n_extra, self.now)

    def freeze(self, share, for_ms):
        """Entries do nothing for a while, and go on with what they knew."""
        self._interrupt("frozen", share, for_ms)

    def cut_off(self, share, for_ms):
        """Entries serve callers, and control and they don't hear each other."""
        self._interrupt("cut_off", share, for_ms)

    def _interrupt(self, state, share, for_ms):
        for name in self._chosen(share):
            if self.states[name] == "runs":
                self.states[name] = state
                self.at(self.now + for_ms, self._resume, name, state)

    def _resume(self, name, state):
        if self.states[name] == state:
            self.states[name] = "runs"

    def restart_control(self, share, for_ms):
        """Control forgets how many entries there were, and hears from them anew."""
        self.fleet = FleetSize()
        for name in self._chosen(share):
            self.heard_at[name] = -SILENCE_MS

    def assert_sum_holds(self):
        """Check each window of retries against the most requests of the window, of the
        one before, and of the one half a window before."""
        self.retries.sort()
        for first, start in enumerate(self.retries):
            n_retries = bisect_right(self.retries, start + WINDOW_MS) - first
            n_requests = max(
                self._n_requests(start - earlier_ms)
                for earlier_ms in (0.0, WINDOW_MS / 2, WINDOW_MS)
            )
            assert n_retries <= RATIO * n_requests + self.n_extra

    def _n_requests(self, start):
        end = bisect_right(self.requests, start + WINDOW_MS)
        return end - bisect_left(self.requests, start)


KILLS = [(17_000.0, "kill", 0.9, 500.0), (20_000.0, "kill", 0.9, 500.0)]
FAULTS = st.lists(
    st.tuples(
        st.floats(10_000.0, 50_000.0),
        st.sampled_from(["kill", "stop", "freeze", "cut_off", "restart_control"]),
        st.sampled_from([0.1, 0.5, 0.9, 1.0]),
        st.floats(500.0, 25_000.0),
    ),
    max_size=8,
)


@pytest.mark.parametrize("n_entries", [1, 16, 312])
def test_retries_keep_to_the_budget_through_mass_kills(n_entries):
    """Guards against a share of the budget that each new process gets again."""
    simulation = Simulation(n_entries, seed=11)
    for at in range(12_000, 40_000, 2_000):
        simulation.at(float(at), simulation.kill, 0.9, 500.0)
    simulation.run()
    simulation.assert_sum_holds()


@pytest.mark.parametrize("n_entries", [1, 16, 312])
def test_retries_keep_to_the_budget_when_servers_fail_just_before_mass_kills(n_entries):
    """Guards against retries for requests from before the window by processes that end,
    in addition to those for the requests of the processes that replace them."""
    simulation = Simulation(n_entries, seed=11)
    simulation.retries_wanted_from = 20_000.0
    for at in (23_400.0, 26_900.0):
        simulation.at(at, simulation.kill, 0.9, 500.0)
    simulation.run()
    simulation.assert_sum_holds()


@pytest.mark.parametrize("n_entries", [1, 16, 312])
def test_retries_use_most_of_the_budget_in_calm(n_entries):
    """Guards against a budget that is kept by sending hardly any retry."""
    simulation = Simulation(n_entries, seed=11)
    simulation.run()
    simulation.assert_sum_holds()
    n_windows = (END_MS - 10_000.0) / WINDOW_MS
    n_allowed = RATIO * len(simulation.requests) + n_windows * simulation.n_extra
    assert len(simulation.retries) >= 0.6 * n_allowed


def test_few_extra_retries_of_many_entries_are_still_sent():
    """Guards against a budget whose share is below one retry in each entry, so that no
    entry sends any."""
    simulation = Simulation(312, seed=11, requests_per_s=40.0)
    simulation.n_extra = 60
    simulation.lives = {name: Life(name, 60, 0.0) for name in simulation.names}
    simulation.run()
    simulation.assert_sum_holds()
    n_windows = (END_MS - 10_000.0) / WINDOW_MS
    assert len(simulation.retries) >= 0.2 * 60 * n_windows


def test_retries_keep_to_the_budget_while_most_entries_are_cut_off_for_long():
    """Guards against entries that are cut off and use a share which the others have
    divided among themselves."""
    simulation = Simulation(16, seed=11, requests_per_s=20.0)
    simulation.at(20_000.0, simulation.cut_off, 0.9, 150_000.0)
    simulation.run(200_000.0)
    simulation.assert_sum_holds()


@settings(max_examples=60)
@given(
    n_entries=st.sampled_from([1, 16, 312]),
    faults=FAULTS,
    seed=st.integers(0, 1 << 16),
)
@example(n_entries=16, faults=KILLS, seed=11)
def test_retries_keep_to_the_budget_under_faults(n_entries, faults, seed):
    """Guards against a sum over all lives of all entries that exceeds the budget while
    entries are killed, stopped, frozen and cut off in series."""
    simulation = Simulation(n_entries, seed)
    for at, kind, share, for_ms in faults:
        simulation.at(at, getattr(simulation, kind), share, for_ms)
    simulation.run()
    simulation.assert_sum_holds()


@settings(max_examples=40)
@given(
    n_entries=st.sampled_from([1, 16]),
    wanted_from=st.floats(12_000.0, 30_000.0),
    faults=st.lists(
        st.tuples(
            st.floats(0.0, 9_000.0),
            st.sampled_from(["kill", "stop", "restart_control"]),
            st.sampled_from([0.5, 0.9, 1.0]),
        ),
        min_size=1,
        max_size=4,
    ),
    seed=st.integers(0, 1 << 16),
)
@example(16, 20_000.0, [(3_400.0, "kill", 0.9), (6_900.0, "kill", 0.9)], 11)
@example(1, 20_000.0, [(5_000.0, "kill", 1.0)], 0)
def test_retries_keep_to_the_budget_when_servers_fail_before_faults(
    n_entries, wanted_from, faults, seed
):
    """Guards against the retries of a time without any, which processes that end send
    in addition to those of the processes that replace them."""
    simulation = Simulation(n_entries, seed)
    simulation.retries_wanted_from = wanted_from
    for after_ms, kind, share in faults:
        at = wanted_from + after_ms
        simulation.at(at, getattr(simulation, kind), share, 1_000.0)
    simulation.run()
    simulation.assert_sum_holds()
