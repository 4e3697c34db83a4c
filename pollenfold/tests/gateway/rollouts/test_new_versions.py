"""Endpoints of a version that is new to a service, before its order is known."""

from pollenfold.core.clock import ManualClock
from pollenfold.core.registry import Announcement
from pollenfold.gateway.endpoint import Endpoint
from pollenfold.gateway.rollouts.new_versions import NewVersions
from pollenfold.tests.gateway.conftest import Backend

from .stages import announce, backends_of, n_requests, set_stage


class Service:
    """The versions of one service, as an entry learns of them."""

    def __init__(self):
        self.clock = ManualClock()
        self.new_versions = NewVersions(self.clock)
        self.confirmed_at = -1.0

    def usable(self, *versions, present=(), rollouts=None):
        endpoints = [
            Endpoint(
                Announcement(
                    f"i-{version}", "s", "10.0.0.1", 1, "a", 6, False, 0, 1, 1, version
                )
            )
            for version in versions
        ]
        usable = self.new_versions.usable(
            {"s": endpoints},
            {("s", version) for version in (*versions, *present)},
            rollouts or {},
            lambda instant: self.confirmed_at >= instant,
        )
        return [e.announcement.version for e in usable["s"]]


def test_new_version_waits_for_a_confirmation():
    """Load: an entry that is cut off from control when new endpoints announce
    themselves, for ten seconds.

    Guards against a full share of the requests for a version under test whose order
    this entry doesn't know.
    """
    service = Service()
    assert service.usable("v1") == ["v1"]
    service.clock.advance(1_000)
    service.confirmed_at = 900.0
    assert service.usable("v1", "v2") == ["v1"]
    service.clock.advance(10_000)
    assert service.usable("v1", "v2") == ["v1"]
    assert service.new_versions.is_holding
    service.confirmed_at = 1_000.0
    assert service.usable("v1", "v2") == ["v1", "v2"]
    assert not service.new_versions.is_holding


def test_only_remaining_version_is_used():
    """Guards against a service that is down at an isolated entry since its old
    endpoints are gone."""
    service = Service()
    service.usable("v1")
    service.clock.advance(1_000)
    assert service.usable("v1", "v2") == ["v1"]
    assert service.usable("v2", present=["v1"]) == ["v2"]


def test_version_that_returns_is_not_new():
    """Guards against endpoints of an evacuated zone that are held back when the zone
    returns."""
    service = Service()
    assert service.usable("v1", "v2") == ["v1", "v2"]
    assert service.usable("v2", present=["v1"]) == ["v2"]
    assert service.usable("v1", "v2") == ["v1", "v2"]


def test_order_ends_the_wait(with_path):
    """Guards against a canary that begins late because its endpoints are held back."""
    old, target = backends_of("old", 1), backends_of("new", 1)

    async def body(path, *backends):
        path.announce(target[0], sequence=50, version="v2")
        for _ in range(10):
            assert (await path.get()).status == 200
        assert not target[0].requests
        set_stage(path, "full")
        assert (await path.get()).status == 200
        assert n_requests(target) == 1

    with_path(body, *old, *target)


def test_versions_announced_at_the_start_are_used_at_once(with_path):
    """Guards against a starting entry that holds back what it has just learned."""

    async def body(path, *backends):
        announce(path, backends)
        assert len(path.view.by_service["s"]) == 1

    with_path(body, Backend("one"))
