"""Requests for the replicated state, over any sequence of events on the feeds."""

from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.clock import ManualClock
from pollenfold.core.state_fetch import (
    MAX_DOUBLINGS,
    REMOTE_ZONE_DELAY_MS,
    RETRY_PAUSE_MS,
    STALL_TIMEOUT_MS,
    StateFetch,
)

ZONES = {"near": "a", "near2": "a", "far": "b", "far2": "c"}
MAX_WAIT_MS = (STALL_TIMEOUT_MS + RETRY_PAUSE_MS) * 2**MAX_DOUBLINGS

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["commit", "announce", "respond", "lag", "part", "close"]),
        st.sampled_from(sorted(ZONES)),
        st.sampled_from([0.0, 1.0, 60.0, 130.0, 600.0, 5_000.0]),
    ),
    max_size=60,
)


class Model:
    """Replicas of one log, and an entry that fetches their state."""

    def __init__(self):
        self.clock = ManualClock()
        self.fetch = StateFetch("a")
        self.committed = 0
        self.announced = {}
        self.held = 0
        self.pending = {}
        """By replica, when the request was sent or its response last made progress."""

        for host, zone in ZONES.items():
            self._open(host, zone)

    def _open(self, host, zone):
        self.fetch.open(host, zone)
        self.announced[host] = 0

    def apply(self, event, host):
        now = self.clock()
        if event == "commit":
            self.committed += 1
        elif event == "announce":
            self.announced[host] = self.committed
            self.fetch.announce(host, self.committed, now)
        elif event == "respond" and host in self.pending:
            self.respond(host, self.committed)
        elif event == "lag" and host in self.pending:
            self.respond(host, self.announced[host] - 1)
        elif event == "part" and host in self.pending:
            self.pending[host] = now
            self.fetch.record_progress(host, now)
        elif event == "close":
            self.pending.pop(host, None)
            self.fetch.close(host)
            self._open(host, ZONES[host])

    def respond(self, host, index):
        del self.pending[host]
        self.held = max(self.held, index)
        self.fetch.receive(host, index, self.clock())

    def ask(self):
        """Ask the next replica, if there is one; check that the request is due."""
        now = self.clock()
        host = self.fetch.next_host(now)
        if host is None:
            return None
        assert self.announced[host] > self.held
        for progress_at in self.pending.values():
            assert now - progress_at >= STALL_TIMEOUT_MS
        self.pending[host] = now
        assert self.fetch.next_host(now) is None
        return host


def play(events):
    model = Model()
    for event, host, wait_ms in events:
        model.apply(event, host)
        model.ask()
        model.clock.advance(wait_ms)
        model.ask()
    return model


@given(EVENTS)
def test_one_request_is_in_flight_and_the_entry_catches_up(events):
    """Guards against two copies on a link that makes progress, and against an entry
    that never gets a state which replicas announce and send."""
    model = play(events)
    wanted = max(model.announced.values())
    deadline = model.clock() + 2 * MAX_WAIT_MS + REMOTE_ZONE_DELAY_MS
    while model.held < wanted:
        host = model.ask()
        if host is not None:
            model.respond(host, model.announced[host])
            continue
        wake_at = model.fetch.wake_at()
        assert wake_at is not None
        assert wake_at <= deadline
        model.clock.advance(max(0.0, wake_at - model.clock()))


@given(EVENTS)
def test_replicas_that_never_respond_are_asked_at_a_falling_rate(events):
    """Guards against requests that fill a link whose responses are only late."""
    model = play(events)
    n_asked, until = 0, model.clock() + 60_000.0
    while (wake_at := model.fetch.wake_at()) is not None and wake_at < until:
        n_asked += model.ask() is not None
        wake_at = model.fetch.wake_at()
        if wake_at is not None:
            model.clock.advance(max(0.0, wake_at - model.clock()))
    assert n_asked <= MAX_DOUBLINGS + 1 + 60_000.0 / (
        STALL_TIMEOUT_MS * 2**MAX_DOUBLINGS
    )
