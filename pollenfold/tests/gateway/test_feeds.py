"""The feeds of an entry while their connections break."""

import pytest

from pollenfold.gateway.feeds import FeedIdentity, Feeds, _Feed
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog


class FakeFeed(_Feed):
    """An open feed that keeps what was sent, or fails to send."""

    def __init__(self, zone, error=None):
        super().__init__(None)
        self.zone = zone
        self.error = error
        self.sent = []

    async def send(self, message):
        if self.error is not None:
            raise self.error
        self.sent.append(message)


@pytest.mark.parametrize("error", [None, BrokenPipeError()])
def test_new_source_is_asked_for_news_though_the_former_one_is_broken(run, error):
    """Guards against an entry that hears of no endpoint any more because it couldn't
    tell its former source that it left."""

    async def main():
        log = EventLog("e1", system_clock, write=len)
        view = FleetView(lambda text: None, system_clock, log)
        identity = FeedIdentity("e1", "a")
        feeds = Feeds(identity, view, lambda: [], 1, system_clock, log)
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
