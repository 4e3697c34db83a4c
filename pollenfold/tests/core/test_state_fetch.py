"""Which replica an entry asks for the replicated state, and when."""

import pytest

from pollenfold.core.clock import ManualClock
from pollenfold.core.state_fetch import (
    REMOTE_ZONE_DELAY_MS,
    RETRY_PAUSE_MS,
    STALL_TIMEOUT_MS,
    StateFetch,
)


class Subscriber:
    """An entry of zone a with feeds of ``near`` in zone a and ``far`` in zone b."""

    def __init__(self, hosts=("near", "far")):
        self.clock = ManualClock(1000.0)
        self.fetch = StateFetch("a")
        for host in hosts:
            self.fetch.open(host, "a" if host.startswith("near") else "b")

    def announce(self, host, index):
        self.fetch.announce(host, index, self.clock())

    def receive(self, host, index):
        self.fetch.receive(host, index, self.clock())

    def part(self, host):
        self.fetch.record_progress(host, self.clock())

    def asks(self):
        return self.fetch.next_host(self.clock())

    def asks_after(self, wait_ms):
        self.clock.advance(wait_ms)
        return self.asks()


def test_newer_index_is_requested_after_the_response():
    """Guards against two copies of a document on one link, and against an entry that
    stays behind since it forgot what was announced during a transfer."""
    entry = Subscriber()
    for host in ("near", "far"):
        entry.announce(host, 1)
    assert entry.asks() == "near"
    entry.announce("near", 2)
    entry.announce("far", 2)
    assert entry.asks_after(STALL_TIMEOUT_MS - 1) is None
    entry.receive("near", 1)
    assert entry.asks() == "near"
    entry.receive("near", 2)
    assert entry.asks_after(10_000) is None


def test_replica_of_another_zone_is_asked_after_the_delay():
    """Guards against bytes between zones for a state that the own zone has too."""
    entry = Subscriber()
    entry.announce("far", 1)
    assert entry.asks() is None
    assert entry.fetch.wake_at() == entry.clock() + REMOTE_ZONE_DELAY_MS
    assert entry.asks_after(REMOTE_ZONE_DELAY_MS) == "far"


def test_replica_of_another_zone_is_asked_at_once_without_one_of_the_own():
    """Guards against a start that is delayed while the own zone has no replica."""
    entry = Subscriber(["far"])
    entry.announce("far", 1)
    assert entry.asks() == "far"


def test_slow_response_that_makes_progress_is_not_requested_elsewhere():
    """Guards against a second copy that slows down the first one."""
    entry = Subscriber()
    entry.announce("near", 1)
    entry.announce("far", 1)
    assert entry.asks() == "near"
    for _ in range(50):
        assert entry.asks_after(STALL_TIMEOUT_MS - 1) is None
        entry.part("near")


def test_other_replica_is_asked_after_a_stall_and_no_third_while_it_goes_on():
    """Guards against an entry that waits for a replica which stopped responding, and
    against a copy from every replica while the link is full."""
    entry = Subscriber(["near", "far", "far2"])
    for host in ("near", "far", "far2"):
        entry.announce(host, 1)
    assert entry.asks() == "near"
    assert entry.asks_after(STALL_TIMEOUT_MS) == "far"
    assert entry.asks_after(STALL_TIMEOUT_MS) is None
    entry.part("near")
    assert entry.asks_after(STALL_TIMEOUT_MS) is None
    assert entry.asks_after(4 * STALL_TIMEOUT_MS) == "far2"


def test_stalled_replica_is_no_longer_preferred():
    """Guards against a wait for the same unresponsive replica at each new index."""
    entry = Subscriber()
    for host in ("near", "far"):
        entry.announce(host, 1)
    assert entry.asks() == "near"
    assert entry.asks_after(STALL_TIMEOUT_MS) == "far"
    entry.receive("far", 1)
    for host in ("near", "far"):
        entry.announce(host, 2)
    assert entry.asks() == "far"
    entry.receive("far", 2)
    entry.receive("near", 2)
    entry.announce("near", 3)
    entry.announce("far", 3)
    assert entry.asks() == "near"


def test_response_older_than_announced_does_not_block_the_others():
    """Guards against an entry that asks one replica over and over, which announces a
    state that it doesn't send."""
    entry = Subscriber()
    for host in ("near", "far"):
        entry.announce(host, 2)
    assert entry.asks() == "near"
    entry.receive("near", 1)
    assert entry.asks() == "far"
    entry.receive("far", 1)
    assert entry.asks() is None
    assert entry.asks_after(RETRY_PAUSE_MS) == "near"


def test_own_zone_is_preferred_again_after_a_failure():
    """Guards against bytes between zones for good after one unusable response."""
    entry = Subscriber()
    for host in ("near", "far"):
        entry.announce(host, 1)
    assert entry.asks() == "near"
    entry.fetch.record_failure("near", entry.clock())
    assert entry.asks() == "far"
    entry.receive("far", 1)
    for host in ("far", "near"):
        entry.announce(host, 2)
    assert entry.asks() == "near"


@pytest.mark.parametrize("event", ["close", "failure"])
def test_lost_feed_frees_the_request(event):
    """Guards against an entry that waits for a response on a closed connection."""
    entry = Subscriber()
    for host in ("near", "far"):
        entry.announce(host, 1)
    assert entry.asks() == "near"
    if event == "close":
        entry.fetch.close("near")
    else:
        entry.fetch.record_failure("near", entry.clock())
    assert entry.asks() == "far"


def test_replica_that_announces_a_lower_index_is_not_asked():
    """Guards against requests to a replica that is behind this entry."""
    entry = Subscriber()
    entry.announce("near", 5)
    assert entry.asks() == "near"
    entry.receive("near", 5)
    entry.announce("far", 4)
    assert entry.asks_after(10_000) is None
    assert entry.fetch.wake_at() is None
