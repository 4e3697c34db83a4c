"""The feeds of an entry while their connections break."""

import pytest

from pollenfold.gateway.feed import Feed
from pollenfold.gateway.feeds import FeedIdentity, Feeds
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog


class FakeFeed(Feed):
    """An open feed that keeps what was sent, or fails to send."""

    def __init__(self, zone, error=None, n_endpoints=None):
        super().__init__(None)
        self.zone = zone
        self.n_endpoints = n_endpoints
        self.error = error
        self.sent = []

    async def send(self, message):
        if self.error is not None:
            raise self.error
        self.sent.append(message)


def make_feeds():
    log = EventLog("e1", system_clock, write=len)
    view = FleetView(lambda text: None, system_clock, log)
    return Feeds(FeedIdentity("e1", "a"), view, lambda: [], 1, system_clock, log)


async def open_feed(feeds, host, feed):
    feeds._connected[host] = feed
    await feeds._choose_source()
    await feeds._request_larger_list(feed)


def n_lists(feed):
    return sum("list" in message for message in feed.sent)


@pytest.mark.parametrize("error", [None, BrokenPipeError()])
def test_new_source_is_asked_for_news_though_the_former_one_is_broken(run, error):
    """Guards against an entry that hears of no endpoint any more because it couldn't
    tell its former source that it left."""

    async def main():
        feeds = make_feeds()
        former, new = FakeFeed("b"), FakeFeed("a")
        feeds._connected["former"] = former
        await feeds._choose_source()
        assert former.sent[0] == {"news": 1}
        former.error = error
        feeds._connected["new"] = new
        await feeds._choose_source()
        assert {"news": 1} in new.sent
        if error is None:
            assert former.sent[-1] == {"news": 0}

    run(main)


def test_start_beside_a_source_that_lost_its_disk_asks_another_for_endpoints(run):
    """Guards against entries that refuse all requests for a second after a loss of
    power, since the replica of their zone came back with an empty disk."""

    async def main():
        feeds = make_feeds()
        blank = FakeFeed("a", n_endpoints=0)
        await open_feed(feeds, "blank", blank)
        full, also_full = FakeFeed("b", n_endpoints=33), FakeFeed("c", n_endpoints=33)
        await open_feed(feeds, "full", full)
        await open_feed(feeds, "also_full", also_full)
        assert feeds._source == "blank"
        assert [n_lists(feed) for feed in (blank, full, also_full)] == [0, 1, 0]

    run(main)


def test_replica_of_an_earlier_version_is_asked_for_its_list(run):
    """Guards against an entry without endpoints while versions are mixed: an earlier
    one doesn't say how many endpoints it knows."""

    async def main():
        feeds = make_feeds()
        earlier = FakeFeed("a")
        await open_feed(feeds, "earlier", earlier)
        assert n_lists(earlier) == 1

    run(main)


def test_list_that_was_lost_with_its_feed_is_asked_of_another(run):
    """Guards against an entry that waits for a list from a replica that ended."""

    async def main():
        feeds = make_feeds()
        await open_feed(feeds, "lost", FakeFeed("a", n_endpoints=33))
        feeds._remove_feed("lost")
        other = FakeFeed("b", n_endpoints=33)
        await open_feed(feeds, "other", other)
        assert n_lists(other) == 1

    run(main)
