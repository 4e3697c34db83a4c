"""The sum over all entries of what they send to a server that declares a limit.

The tests simulate entries that use the functions of ``core/declared_limit.py`` as a
gateway does: with their own lists of entries, with reports on limits that arrive a
second late, and with faults.
"""

import heapq
import random

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pollenfold.core.declared_limit import DeclaredLimit, divide_limit

WINDOW_MS = 4_000.0
TOLD_MS = 500.0
REPORT_MS = 1_000.0
"""How long after one entry the others know what it saw."""

RESPONSE_MS = 100.0
CHECK_MS = 1_000.0
N_ENDPOINTS = 8
REQUESTS_PER_S = {1: 100.0, 16: 100.0, 312: 333.0}


class Entry:
    """One entry with its own view of the others; ``limit`` is None until it is told."""

    def __init__(self, entry_id, entry_ids):
        self.entry_id = entry_id
        self.entry_ids = frozenset(entry_ids)
        self.limit = None
        self.told_at = float("inf")
        self.is_cut_off = False
        self.share_inputs = None

    def learn(self, rate_per_s, now, rng):
        """Apply what a response or a report says of the limit."""
        if rate_per_s is None:
            self.limit = None
        elif self.limit is None:
            self.limit = DeclaredLimit(rate_per_s, now, rng.random())
        else:
            self.limit.set_rate(rate_per_s, now)

    def updated_limit(self, now, n_entries):
        limit = self.limit
        if limit is not None:
            inputs = (limit, limit.rate_per_s, self.entry_ids)
            if inputs != self.share_inputs:
                self.share_inputs = inputs
                share = divide_limit(*self._division(limit, n_entries))
                limit.set_share(share, now)
        return limit

    def _division(self, limit, n_entries):
        return limit.rate_per_s, self.entry_id, self.entry_ids, "i-1", n_entries


class Simulation:
    """Entries with random callers at a server whose limit follows ``schedule``.

    ``schedule`` holds the times in ms and the rates from then on, None for no limit.
    ``arrivals`` are those from entries that were told half a second before.
    """

    def __init__(self, n_entries, schedule, seed, upload_share=0.0):
        self.rng = random.Random(seed)
        self.schedule = schedule
        self.upload_share = upload_share
        self.now = 0.0
        names = [f"e{number}" for number in range(n_entries)]
        self.entries = [Entry(name, names) for name in names]
        self.arrivals = []
        self.n_requests = 0
        self._events = []
        self._n_events = 0
        self.callers_per_ms = REQUESTS_PER_S[n_entries] / 1000
        self.at(0.0, self.call)
        self.at(CHECK_MS, self.check)

    def at(self, when, function, *args):
        self._n_events += 1
        heapq.heappush(self._events, (when, self._n_events, function, args))

    def run(self, until):
        while self._events and self._events[0][0] < until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)

    def rate_at(self, now):
        return [rate for at, rate in self.schedule if at <= now][-1]

    def call(self):
        """A caller's request reaches a random entry."""
        self.at(self.now + self.rng.expovariate(self.callers_per_ms), self.call)
        entry = self.rng.choice(self.entries)
        limit = entry.updated_limit(self.now, len(self.entries))
        if limit is None:
            if self.rng.random() < 1 / N_ENDPOINTS:
                self.send(entry)
            return
        fair_rate = 1000 * self.callers_per_ms / N_ENDPOINTS
        if limit.next_permit_at(fair_rate) <= self.now:
            limit.use_permit(self.now)
            self.send(entry)

    def send(self, entry):
        """Send a request; an upload takes up to 3 s until all of it has arrived."""
        limit = entry.limit
        delay_ms = self.rng.uniform(0.0, 10.0)
        if self.rng.random() < self.upload_share:
            delay_ms = self.rng.uniform(100.0, 3_000.0)
        if limit is not None:
            limit.begin_send()
        self.at(self.now + delay_ms, self.arrive, entry, limit)

    def arrive(self, entry, limit):
        self.n_requests += 1
        if limit is not None:
            limit.end_send(self.now)
        self.record(entry)

    def record(self, entry):
        if self.now >= entry.told_at + TOLD_MS and not entry.is_cut_off:
            self.arrivals.append(self.now)
        self.at(self.now + RESPONSE_MS, self.respond, entry, self.rate_at(self.now))

    def respond(self, entry, rate):
        if rate is not None:
            entry.told_at = min(entry.told_at, self.now)
        before = entry.limit and entry.limit.rate_per_s
        entry.learn(rate, self.now, self.rng)
        if before != rate and not entry.is_cut_off:
            self.at(self.now + REPORT_MS, self.report, rate)

    def report(self, rate):
        for entry in self.entries:
            if not entry.is_cut_off:
                entry.learn(rate, self.now, self.rng)

    def check(self):
        """Each entry probes the server if a check is due."""
        self.at(self.now + CHECK_MS, self.check)
        for entry in self.entries:
            limit = entry.updated_limit(self.now, len(self.entries))
            if limit is not None and limit.is_check_due(self.now):
                limit.record_check(self.now)
                self.record(entry)

    # Faults

    def restart(self, number):
        """An entry starts again and knows nothing of the limit."""
        entry = self.entries[number % len(self.entries)]
        entry.limit = None
        entry.told_at = float("inf")

    def cut_off(self, number):
        """An entry goes on with its present view; the others drop it."""
        entry = self.entries[number % len(self.entries)]
        entry.is_cut_off = True
        for other in self.entries:
            if other is not entry:
                other.entry_ids -= {entry.entry_id}

    def halve_view(self, number):
        """Half of the entries know only half of the others."""
        names = [entry.entry_id for entry in self.entries]
        known = frozenset(names[: (len(names) + 1) // 2])
        for entry in self.entries[number % 2 :: 2]:
            entry.entry_ids = known | {entry.entry_id}

    def recover(self, number):
        """All know all entries again, and none is cut off."""
        names = frozenset(entry.entry_id for entry in self.entries)
        for entry in self.entries:
            entry.entry_ids = names
            entry.is_cut_off = False

    def assert_sum_holds(self):
        """Check each window against the greatest limit that an entry may have known."""
        first = 0
        for last, end in enumerate(self.arrivals):
            while self.arrivals[first] <= end - WINDOW_MS:
                first += 1
            known_from = self.arrivals[first] - TOLD_MS - REPORT_MS - RESPONSE_MS
            rates = [rate for at, rate in self.schedule if known_from < at <= end]
            rates = [self.rate_at(max(0.0, known_from)), *rates]
            if None in rates:
                continue
            assert last - first + 1 <= 1.5 * max(rates) * WINDOW_MS / 1000 + 5


@pytest.mark.parametrize("rate_per_s", [0.0, 0.1, 0.5, 1.0, 3.1, 8.0])
@pytest.mark.parametrize("n_entries", [1, 16, 312])
def test_server_gets_its_limit_and_not_more(n_entries, rate_per_s):
    """Guards against a sum over all entries that exceeds a declared limit, and against
    a limit that is kept by sending hardly anything."""
    simulation = Simulation(n_entries, [(0.0, rate_per_s)], seed=1)
    simulation.run(10_000.0)
    n_before = simulation.n_requests
    simulation.run(130_000.0)
    simulation.assert_sum_holds()
    n_requests = simulation.n_requests - n_before
    assert n_requests <= 120 * rate_per_s + 1
    assert n_requests >= 0.75 * 120 * rate_per_s - 1


FAULTS = st.lists(
    st.tuples(
        st.floats(5_000.0, 40_000.0),
        st.sampled_from(["restart", "cut_off", "halve_view", "recover"]),
        st.integers(0, 400),
    ),
    max_size=6,
)


@given(
    n_entries=st.sampled_from([1, 16, 312]),
    rates=st.lists(
        st.one_of(st.none(), st.sampled_from([0.0, 0.3, 1.0, 2.8, 3.1, 10.0])),
        min_size=1,
        max_size=4,
    ),
    faults=FAULTS,
    upload_share=st.sampled_from([0.0, 0.3]),
    seed=st.integers(0, 1 << 16),
)
@example(
    n_entries=312,
    rates=[2.8],
    faults=[(5_000.0, "halve_view", 0)],
    upload_share=0.0,
    seed=0,
)
def test_sum_holds_under_faults(n_entries, rates, faults, upload_share, seed):
    """Guards against a sum that exceeds a limit which falls, rises, ends or returns
    while entries restart, are cut off or know different lists of entries."""
    schedule = [(10_000.0 * number, rate) for number, rate in enumerate(rates)]
    simulation = Simulation(n_entries, schedule, seed, upload_share)
    for at, kind, number in faults:
        simulation.at(at, getattr(simulation, kind), number)
    simulation.run(45_000.0)
    simulation.assert_sum_holds()
