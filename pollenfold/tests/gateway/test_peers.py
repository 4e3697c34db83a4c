"""Which entries an entry takes for its peers."""

import pytest

from pollenfold.core.clock import Instant, add_ms
from pollenfold.gateway.peers import ABSENT_PEER_MS, Peer, PeerDirectory
from pollenfold.tests.gateway.test_feeds import FakeFeed, make_feeds


class FakeClock:
    now = Instant(0.0)

    def __call__(self):
        return self.now


@pytest.mark.parametrize(
    "zones",
    [
        None,
        ["e2"],
        {"a": None},
        {"a": {"e2": 5}},
        {"a": {"e2": "host.example"}},
        {"a": {"e2": "10.0.0.2\n"}},
        {"a": {"e2": "10.0.0.2:80"}},
        {"a": {"e2": "10.0.0.256"}},
        {"a": {"e2": "0.0.0.0"}},
        {"a": {"e2": "224.0.0.1"}},
        {"a": {"e2": "1"}},
        {"a": {"e2": "10.0.0.2\0"}},
        {"a": {"": "10.0.0.2"}},
        {"a": {"e" * 201: "10.0.0.2"}},
        {"a": {"e1": "10.0.0.2"}},
    ],
)
def test_malformed_peer_is_skipped_and_the_others_hold(zones):
    """Guards against a feed that ends, or a name lookup, because of one odd entry."""
    directory = PeerDirectory(FakeClock())
    directory.apply(zones, "e1")
    directory.apply({"b": {"e3": "10.0.0.3"}}, "e1")
    assert directory.by_id == {"e3": Peer("e3", "10.0.0.3", "b")}
    assert directory.has_host("10.0.0.3")
    assert not directory.has_host("10.0.0.2")


def test_peers_that_left_are_removed_at_once_and_unreported_ones_later():
    """Guards against an entry without peers because a control replica restarted, and
    against requests relayed to an entry that left."""
    clock = FakeClock()
    directory = PeerDirectory(clock)
    directory.apply({"a": {f"e{n}": f"10.0.0.{n}" for n in (2, 3, 4)}}, "e1")
    directory.remove(["e2", "unknown"])
    assert set(directory.by_id) == {"e3", "e4"}
    assert not directory.has_host("10.0.0.2")
    directory.replace(["e1"])
    clock.now = add_ms(clock.now, ABSENT_PEER_MS - 1.0)
    directory.expire()
    assert set(directory.by_id) == {"e3", "e4"}
    directory.apply({"a": {"e4": "10.0.0.40"}}, "e1")
    clock.now = add_ms(clock.now, 1.0)
    directory.expire()
    assert directory.by_id == {"e4": Peer("e4", "10.0.0.40", "a")}
    assert not directory.has_host("10.0.0.3")


def test_only_the_update_source_names_peers(run):
    """Guards against outdated peers of a replica that isn't the update source, and
    against losing all peers together with control."""

    async def main():
        feeds = make_feeds()
        source, other = FakeFeed("a"), FakeFeed("b")
        feeds._connected = {"source": source, "other": other}
        await feeds._choose_source()
        await feeds.apply_line({"peers": {"a": {"e2": "10.0.0.2"}}}, "source", source)
        await feeds.apply_line({"peers": {"a": {"e9": "10.0.0.9"}}}, "other", other)
        assert set(feeds._view.peers) == {"e2"}
        feeds._remove_feed("source")
        feeds._remove_feed("other")
        feeds._view.expire()
        assert set(feeds._view.peers) == {"e2"}

    run(main)
