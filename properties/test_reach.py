"""What entries believe of their path, after cuts, heals, kills and rolls."""

import random
from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.peer_choice import PeerCandidate, PeerTable
from pollenfold.core.reach import CheckResult, Contact, Reach

STEP_MS = 50.0
CHECK_MS = 100.0
NOTICE_MS = 1_000.0
"""Within this time an entry with requests knows that it is cut off, or no longer."""

HEAL_MS = 3_500.0
"""The same for the end of a cut, after cuts that returned soon."""

SERVICES = ("s", "t")
N_ENDPOINTS = 6
"""For each service."""

N_ENTRIES = 5


@dataclass
class Entry:
    """One entry with its belief, and the truth of its path."""

    name: str
    reach: Reach = field(default_factory=Reach)
    peers: PeerTable = field(default_factory=PeerTable)
    is_path_cut: bool = False
    changed_at: float = float("-inf")
    check_until: float | None = None
    check_started_at: float = 0.0


class World:
    """Entries and endpoints, of which some are down or cut off."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.entries = [Entry(f"e{number}") for number in range(N_ENTRIES)]
        self.endpoints = {
            f"{service}{number}": service
            for service in SERVICES
            for number in range(N_ENDPOINTS)
        }
        self.down = set()
        self.down_changed_at = float("-inf")

    def responds(self, entry, endpoint_id):
        return not entry.is_path_cut and endpoint_id not in self.down

    def run(self, duration_ms):
        """Let time pass, with requests at all entries."""
        until = self.now + duration_ms
        while self.now < until:
            for entry in self.entries:
                self.step(entry)
            self.check_beliefs()
            self.now += STEP_MS

    def step(self, entry):
        reach = entry.reach
        if entry.check_until is not None:
            if self.now >= entry.check_until:
                self.conclude(entry)
        elif reach.is_cut:
            chosen = self.rng.sample(sorted(self.endpoints), 2)
            n_responded = sum(self.responds(entry, k) for k in chosen)
            reach.observe_trials(len(chosen), n_responded, self.now)
        else:
            self.send_request(entry)
            if reach.needs_check(self.now):
                entry.check_started_at = self.now
                entry.check_until = max(self.now + CHECK_MS, reach.ask_at())

    def send_request(self, entry):
        service = self.rng.choice(SERVICES)
        ids = [k for k, name in self.endpoints.items() if name == service]
        for endpoint_id in self.rng.sample(sorted(ids), min(3, len(ids))):
            is_reached = self.responds(entry, endpoint_id)
            contact = Contact.RESPONDED if is_reached else Contact.UNOPENED
            entry.reach.observe(service, endpoint_id, contact, self.now)
            if is_reached:
                return

    def conclude(self, entry):
        chosen = self.rng.sample(sorted(self.endpoints), 6)
        n_responded = sum(self.responds(entry, k) for k in chosen)
        services = frozenset(self.endpoints[k] for k in chosen)
        others = [e for e in self.entries if e is not entry]
        asked = self.rng.sample(others, 4)
        reached = frozenset().union(*(self.report(peer) for peer in asked))
        check = CheckResult(services, len(chosen), n_responded, reached, len(asked))
        entry.reach.conclude_check(check, entry.check_started_at, self.now)
        entry.check_until = None

    def report(self, peer):
        """Return what a peer reaches; it contacts endpoints if it doesn't know."""
        if not peer.reach.is_cut and peer.reach.is_stale(self.now):
            for endpoint_id in self.rng.sample(sorted(self.endpoints), 6):
                if self.responds(peer, endpoint_id):
                    service = self.endpoints[endpoint_id]
                    peer.reach.observe(
                        service, endpoint_id, Contact.RESPONDED, self.now
                    )
        return peer.reach.reached_services(self.now)

    # Faults

    def cut(self, numbers, is_cut):
        for number in numbers:
            entry = self.entries[number]
            if entry.is_path_cut != is_cut:
                entry.is_path_cut = is_cut
                entry.changed_at = self.now

    def set_down(self, endpoint_ids):
        self.down = set(endpoint_ids)
        self.down_changed_at = self.now

    def roll(self):
        """Replace all endpoints by new ones, as a new version does."""
        self.endpoints = {f"{k}'": name for k, name in self.endpoints.items()}
        self.down = set()
        self.down_changed_at = self.now

    # Invariants

    def check_beliefs(self):
        n_down = len(self.down)
        for entry in self.entries:
            settled_since = max(entry.changed_at, self.down_changed_at)
            is_settled = self.now - settled_since > NOTICE_MS
            is_healed = self.now - settled_since > HEAL_MS
            connected = [e for e in self.entries if not e.is_path_cut]
            others_settled = all(
                self.now - e.changed_at > HEAL_MS for e in self.entries
            )
            if entry.is_path_cut and connected and not n_down:
                if is_settled and others_settled:
                    assert entry.reach.is_cut
            if not entry.is_path_cut and n_down == 0 and is_healed:
                assert not entry.reach.is_cut


faults = st.one_of(
    st.tuples(st.just("cut"), st.sets(st.integers(0, N_ENTRIES - 1), min_size=1)),
    st.tuples(st.just("heal"), st.just(set(range(N_ENTRIES)))),
    st.tuples(st.just("kill"), st.sets(st.integers(0, 2 * N_ENDPOINTS - 1))),
    st.tuples(st.just("roll"), st.just(set())),
)
pauses = st.sampled_from((200.0, 700.0, 5_000.0))


@given(st.lists(st.tuples(faults, pauses), max_size=8), st.integers(0, 99))
def test_entries_know_whether_they_are_cut(steps, seed):
    """Guards against an entry that doesn't notice a cut or its end, or that believes in
    a cut while it reaches endpoints, after any sequence of faults."""
    world = World(seed)
    world.run(1_000.0)
    for (kind, numbers), pause_ms in steps:
        match kind:
            case "cut" | "heal":
                world.cut(numbers, kind == "cut")
            case "kill":
                ids = sorted(world.endpoints)
                world.set_down(ids[number] for number in numbers)
            case "roll":
                world.roll()
        world.run(pause_ms)


@given(st.integers(0, 99), st.booleans())
def test_servers_that_are_down_cut_off_no_entry(seed, is_all):
    """Guards against a fleet that passes its requests on in circles because servers are
    down."""
    world = World(seed)
    world.run(1_000.0)
    down = [k for k, service in world.endpoints.items() if is_all or service == "s"]
    world.set_down(down)
    for _ in range(60):
        world.run(STEP_MS)
        assert not any(entry.reach.is_cut for entry in world.entries)


@given(
    st.integers(1, 39),
    st.integers(1, 200),
    st.integers(0, 99),
)
def test_requests_are_shared_among_the_connected_entries(n_cut, n_requests, seed):
    """Guards against a herd at a few entries while most are cut off."""
    rng = random.Random(seed)
    connected = [PeerCandidate(f"e{k}", k % 4 == 0) for k in range(40 - n_cut)]
    table = PeerTable()
    for candidate in connected:
        table.record_report(candidate.entry_id, frozenset("s"), 5, 0.0)
    n_relayed = {}
    for _ in range(n_requests):
        chosen = table.choose(connected, "s", (), 0.0, rng)
        table.begin_relay(chosen.entry_id)
        n_relayed[chosen.entry_id] = n_relayed.get(chosen.entry_id, 0) + 1
    n_local = sum(candidate.is_local for candidate in connected)
    mean = n_requests / n_local
    assert max(n_relayed.values()) <= mean + 5
