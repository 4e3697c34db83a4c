"""The load on a cold server with several entries, stale directories and kills.

The model has a control leader with leases, entries that renew at any time, and a
server that can handle one more concurrent request after each step of successful
responses. The lease rule holds: the leader removes an entry only after its lease has
expired, and an entry without a lease starts no request.
"""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.balancing.warmup import (
    SUCCESSES_PER_SLOT,
    Directory,
    WarmupController,
)
from pollenfold.core.clock import Instant
from pollenfold.testing.endpoints import make_endpoint, make_service

LEASE_MS = 2000.0
SPEC = make_service(timeout_ms=1000.0, cold_slots=1, slots_per_endpoint=4)
ENDPOINT = make_endpoint(slots=4)


class Entry:
    """An entry with its lease, its copy of the directory and its requests in flight."""

    def __init__(self, entry_id):
        self.id = entry_id
        self.controller = WarmupController(entry_id, LEASE_MS)
        self.directory = None
        self.lease_until = 0.0
        self.is_running = True
        self.end_times = []

    def limit(self, now):
        if not self.is_running or now >= self.lease_until or not self.directory:
            return 0
        return self.controller.limit(ENDPOINT, SPEC, 0, self.directory, now)


class Fleet:
    """The leader, the entries and the server."""

    def __init__(self, n_entries):
        self.now = Instant(0.0)
        self.revision = 0
        self.leases = {}
        self.entries = [Entry(f"e{n}") for n in range(n_entries)]
        self.n_successes = 0
        self.is_warm = False

    def renew(self, entry, sent_ago_ms):
        """Renew a lease; the entry's lease starts when it sent the request."""
        if not entry.is_running:
            return
        self.remove_expired()
        if entry.id not in self.leases:
            self.revision += 1
        self.leases[entry.id] = self.now + LEASE_MS
        entry.lease_until = self.now - sent_ago_ms + LEASE_MS
        known_directory = entry.directory
        if known_directory is None or known_directory.revision != self.revision:
            members = tuple(sorted(self.leases))
            entry.directory = Directory(self.revision, self.now, members)

    def remove_expired(self):
        expired_ids = [key for key, until in self.leases.items() if until <= self.now]
        for key in expired_ids:
            del self.leases[key]
        self.revision += bool(expired_ids)

    def restart(self, index):
        """Kill or restart an entry; its requests continue at the server."""
        old_entry = self.entries[index]
        if old_entry.is_running:
            old_entry.is_running = False
            return
        entry = Entry(f"e{index}-{self.revision}")
        entry.end_times = old_entry.end_times
        self.entries[index] = entry

    def start_requests(self, entry, durations_ms):
        for duration_ms in durations_ms:
            if len(entry.end_times) < entry.limit(self.now):
                entry.end_times.append(self.now + duration_ms)

    def advance(self, duration_ms):
        self.now = Instant(self.now + duration_ms)
        for entry in self.entries:
            n_ended = sum(end <= self.now for end in entry.end_times)
            entry.end_times = [end for end in entry.end_times if end > self.now]
            for _ in range(n_ended):
                self.n_successes += 1
                if entry.is_running:
                    change = entry.controller.record_result(
                        ENDPOINT, SPEC, 5.0, False, False, self.now
                    )
                    self.is_warm |= change is not None

    def capacity(self):
        """Return the concurrency the server can handle after its responses so far."""
        slots, needed = SPEC.cold_slots, 0
        while True:
            needed += SUCCESSES_PER_SLOT * slots
            if self.n_successes < needed:
                return slots
            slots += 1

    def check(self):
        in_flight = sum(len(entry.end_times) for entry in self.entries)
        limits = sum(entry.limit(self.now) for entry in self.entries)
        assert in_flight <= self.capacity()
        assert limits <= self.capacity()


durations = st.lists(st.sampled_from([1.0, 20.0, 400.0, 1000.0]), max_size=4)
actions = st.one_of(
    st.tuples(st.just("renew"), st.integers(0, 3), st.sampled_from([0.0, 300.0])),
    st.tuples(st.just("send"), st.integers(0, 3), durations),
    st.tuples(st.just("restart"), st.integers(0, 3), st.none()),
    st.tuples(
        st.just("advance"), st.none(), st.sampled_from([1.0, 50.0, 600.0, 1900.0])
    ),
)


def run_steps(fleet, steps):
    for kind, index, argument in steps:
        if kind == "advance":
            fleet.advance(argument)
        elif kind == "restart":
            fleet.restart(index)
        elif kind == "renew":
            fleet.renew(fleet.entries[index], argument)
        else:
            fleet.start_requests(fleet.entries[index], argument)
        if fleet.is_warm:
            return
        fleet.check()


@given(st.lists(actions, max_size=120))
def test_cold_server_never_exceeds_its_capacity(steps):
    """Guards against two owners at the same time, and against requests of an owner
    that continue after its lease."""
    run_steps(Fleet(4), steps)


@given(st.integers(0, 1 << 32))
def test_busy_fleet_with_kills_never_overloads_a_cold_server(seed):
    """Guards against overload of a cold server under steady load, where every entry
    always sends as much as its limit permits and entries renew at different rates."""
    random = Random(seed)
    fleet = Fleet(4)
    # Some entries renew shortly before their lease expires, and so get changes late.
    renewal_probabilities = [random.choice([0.02, 0.1, 0.3]) for _ in fleet.entries]
    for _ in range(300):
        for entry, probability in zip(
            fleet.entries, renewal_probabilities, strict=True
        ):
            if random.random() < probability:
                fleet.renew(entry, random.choice([0.0, 200.0]))
            fleet.start_requests(entry, [random.choice([20.0, 300.0, 1000.0])] * 4)
        if random.random() < 0.02:
            fleet.restart(random.randrange(4))
        fleet.advance(random.choice([20.0, 100.0]))
        if fleet.is_warm:
            return
        fleet.check()
