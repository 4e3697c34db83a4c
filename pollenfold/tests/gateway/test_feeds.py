"""The feeds of an entry when connections break or replicas lost their state."""

import importlib

import curio
import pytest

from pollenfold.core.routes import RoutingConfiguration
from pollenfold.core.slices import in_one_step
from pollenfold.gateway.endpoint import Endpoint
from pollenfold.gateway.feed import Feed
from pollenfold.gateway.feeds import FeedIdentity, Feeds
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.tests.core.test_replicated_state import announcement


class FakeFeed(Feed):
    """An open feed that records the sent messages, or fails to send."""

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
    view = FleetView(
        in_one_step(lambda text: RoutingConfiguration()), system_clock, log
    )
    return Feeds(FeedIdentity("e1", "a"), view, lambda: [], 1, system_clock, log)


async def open_feed(feeds, host, feed):
    feeds._connected[host] = feed
    await feeds._choose_source()
    await feeds._request_larger_list(feed)


def n_list_requests(feed):
    return sum("list" in message for message in feed.sent)


@pytest.mark.parametrize("error", [None, BrokenPipeError()])
def test_updates_are_requested_from_a_new_source_though_the_former_one_is_broken(
    run, error
):
    """Guards against an entry that receives no more updates on endpoints because its
    message to the former update source failed."""

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


def test_start_with_a_source_that_lost_its_disk_requests_the_list_of_another(run):
    """Guards against entries that refuse all requests for a second after a power loss,
    since the replica of their zone came back with an empty disk."""

    async def main():
        feeds = make_feeds()
        blank = FakeFeed("a", n_endpoints=0)
        await open_feed(feeds, "blank", blank)
        full, also_full = FakeFeed("b", n_endpoints=33), FakeFeed("c", n_endpoints=33)
        await open_feed(feeds, "full", full)
        await open_feed(feeds, "also_full", also_full)
        assert feeds._source == "blank"
        assert [n_list_requests(feed) for feed in (blank, full, also_full)] == [0, 1, 0]

    run(main)


def test_list_is_requested_from_a_replica_of_an_earlier_version(run):
    """Guards against an entry without endpoints while versions are mixed: a replica of
    an earlier version doesn't report how many endpoints it knows."""

    async def main():
        feeds = make_feeds()
        earlier = FakeFeed("a")
        await open_feed(feeds, "earlier", earlier)
        assert n_list_requests(earlier) == 1

    run(main)


def test_list_that_was_lost_with_its_feed_is_requested_from_another(run):
    """Guards against an entry that waits for a list from a replica that stopped."""

    async def main():
        feeds = make_feeds()
        await open_feed(feeds, "lost", FakeFeed("a", n_endpoints=33))
        feeds._remove_feed("lost")
        other = FakeFeed("b", n_endpoints=33)
        await open_feed(feeds, "other", other)
        assert n_list_requests(other) == 1

    run(main)


def test_request_that_ends_servers_is_reported_at_once_and_to_each_new_source(run):
    """Guards against a request that ends servers of other entries until the next
    regular message, and against a replica that lost what the former one knew."""

    async def main():
        feeds = make_feeds()
        sender = await curio.spawn(feeds.send_quarantine_reports, daemon=True)
        quarantine = feeds._view.quarantine

        def n_reports(feed):
            return sum(len(message.get("quarantine", ())) for message in feed.sent)

        async def record_ends(digest):
            for name in ("i-1", "i-2"):
                endpoint = Endpoint(announcement(name))
                await quarantine.record_end(digest, endpoint, 0.0, 1.0)
            await curio.sleep(0.01)

        await record_ends("1" * 32)
        far = FakeFeed("b")
        await open_feed(feeds, "far", far)
        await curio.sleep(0.01)
        assert n_reports(far) == 1
        await record_ends("2" * 32)
        assert n_reports(far) == 2
        near = FakeFeed("a")
        await open_feed(feeds, "near", near)
        await curio.sleep(0.01)
        assert n_reports(near) == 2
        await quarantine.record_completion("1" * 32)
        await curio.sleep(0.01)
        assert n_reports(near) == 3
        assert not sender.terminated

    run(main)


@pytest.mark.parametrize("name", ["state_requests", "confirmation_requests"])
def test_requests_go_on_after_an_error(run, monkeypatch, name):
    """Guards against an entry that never requests a configuration again, or never has
    it confirmed, after one error of a task that nobody waits for."""
    module = importlib.import_module(f"pollenfold.gateway.{name}")
    requests = {
        "state_requests": "StateRequests",
        "confirmation_requests": "ConfirmationRequests",
    }[name]
    n_runs = 0

    async def fail_once(self):
        nonlocal n_runs
        n_runs += 1
        if n_runs == 1:
            raise KeyError("10.0.0.1")
        await curio.sleep(10)

    monkeypatch.setattr(getattr(module, requests), "run", fail_once)

    async def main():
        task = await curio.spawn(make_feeds().run, daemon=True)
        await curio.sleep(0.5)
        await task.cancel()

    run(main)
    assert n_runs == 2


def test_leader_is_the_feed_that_said_so_last(run):
    """Guards against reports that go to a replica which no longer leads."""

    async def main():
        feeds = make_feeds()
        first, second = FakeFeed("a"), FakeFeed("b")
        await open_feed(feeds, "c1", first)
        await open_feed(feeds, "c2", second)
        assert feeds.leader is None
        await feeds.apply_line({"leads": 1}, "c1", first)
        assert feeds.leader is first
        await feeds.apply_line({"leads": 1}, "c2", second)
        await feeds.apply_line({"leads": 0}, "c1", first)
        assert feeds.leader is second
        feeds._remove_feed("c2")
        assert feeds.leader is None

    run(main)


def test_parts_of_a_line_reach_their_functions(run):
    """Guards against a part of a line that is dropped without a trace."""

    async def main():
        feeds, received = make_feeds(), []

        async def record(value):
            received.append(value)

        feeds.add_part("granted", record)
        feed = FakeFeed("a")
        await open_feed(feeds, "c1", feed)
        await feeds.apply_line({"granted": [1]}, "c1", feed)
        await feeds.apply_line({"other": [2]}, "c1", feed)
        assert received == [[1]]

    run(main)
