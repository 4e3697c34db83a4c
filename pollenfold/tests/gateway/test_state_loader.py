"""Replicated states whose configurations are decoded in slices."""

import json
import sys

import curio
import pytest

from pollenfold.core.registry import Announcement
from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.core.routes import RoutingConfiguration, find_route
from pollenfold.core.slices import MIN_STEPS
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.platform.documents import configuration_steps
from pollenfold.testing.configurations import large_configuration

N_STEPS = 10 * MIN_STEPS


class SteppedClock:
    """A clock that advances by a slice with each reading, so slices are shortest."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        self.now += 10.0
        return self.now


def slow_steps(text):
    """Decode a document ``VERSION`` or ``VERSION invalid`` in many steps."""
    for _ in range(N_STEPS):
        yield
    if text.endswith("invalid"):
        raise ValueError("invalid document")
    return RoutingConfiguration(int(text))


def make_view(decode=slow_steps, clock=None):
    log = EventLog("e1", system_clock, write=len)
    return FleetView(decode, clock or SteppedClock(), log)


def state(index, version, document=None, evacuated=(), **departures):
    text = str(version) if document is None else document
    return ReplicatedState(index, version, text, frozenset(evacuated), departures)


def receive(view, *states):
    for item in states:
        assert view.apply_replicated_state(item.encode(), "test")


def n_used_elsewhere(routes):
    """Return how many of the routes have references besides the list and the call."""
    return sum(sys.getrefcount(routes[k]) > 2 for k in range(len(routes)))


async def until_loaded(view):
    """Finish loading; return the versions in force meanwhile, and their indices."""
    seen = []
    await view.finish_loading()
    async with curio.timeout_after(10):
        while view._loader._has_work():
            seen.append((view.replicated_state.version, view.replicated_state.index))
            await curio.sleep(0)
    seen.append((view.replicated_state.version, view.replicated_state.index))
    assert seen == sorted(seen)
    return list(dict.fromkeys(seen))


def test_other_tasks_run_while_a_large_document_is_decoded(run):
    """Guards against an entry that responds to nobody while it decodes a configuration,
    because that is one step on its only loop."""

    async def main():
        document = large_configuration(14_000, version=3)
        view = make_view(configuration_steps, system_clock)
        n_ticks = 0

        async def tick():
            nonlocal n_ticks
            while view.configuration is None:
                n_ticks += 1
                await curio.sleep(0)

        ticker = await curio.spawn(tick)
        receive(view, state(5, 3, json.dumps(document)))
        assert view.configuration is None
        assert (view.received_state.index, view.received_state.version) == (5, 3)
        await until_loaded(view)
        await ticker.join()
        assert n_ticks >= 20
        assert (view.replicated_state.index, view.configuration.version) == (5, 3)
        for item in document["hosts"]:
            for path in item["paths"][::100]:
                route = find_route(
                    view.configuration, item["host"], path["pathPrefix"] + "x"
                )
                assert route.name == path["name"]

    run(main)


def test_small_document_is_in_force_at_once():
    """Guards against a configuration that waits for other work without need."""
    view = make_view(configuration_steps)
    receive(view, state(2, 7, json.dumps(large_configuration(30, version=7))))
    assert view.configuration.version == view.replicated_state.version == 7
    assert not view._loader._has_work()


def test_departure_and_evacuation_do_not_wait_for_a_document(run):
    """Guards against requests to endpoints that have left, or whose zone was evacuated,
    for as long as a large configuration is decoded."""

    async def main():
        view = make_view()
        receive(view, state(1, 1, one=5))
        await until_loaded(view)
        receive(view, state(2, 2, evacuated=["b"], one=5))
        assert view.replicated_state.evacuated == {"b"}
        receive(view, state(3, 2, evacuated=["a", "b"], one=5, two=6))
        assert view.configuration.version == view.replicated_state.version == 1
        assert view.replicated_state.index == 1
        assert view.replicated_state.has_departed("two", 6)
        assert view.replicated_state.evacuated == {"a", "b"}
        await until_loaded(view)
        assert view.replicated_state == state(3, 2, evacuated=["a", "b"], one=5, two=6)

    run(main)


def test_withdrawn_evacuation_waits_for_the_configuration_before_it(run):
    """Guards against requests to a zone under the routes of the configuration that was
    replaced before the zone was returned to service."""

    async def main():
        view = make_view()
        receive(view, state(1, 1, evacuated=["a"]))
        await until_loaded(view)
        receive(view, state(2, 2, evacuated=["a"]), state(3, 2))
        assert view.replicated_state.evacuated == {"a"}
        assert await until_loaded(view) == [(1, 1), (2, 3)]
        assert view.replicated_state.evacuated == frozenset()

    run(main)


def test_newest_state_is_next_after_the_one_that_is_decoded(run):
    """Guards against versions that arrive faster than they are decoded: the newest must
    not be lost, and none may come into force that is older than the one before."""

    async def main():
        view = make_view()
        receive(view, state(1, 1), state(2, 2), state(3, 3), state(4, 3, one=5))
        assert view.configuration is None
        assert await until_loaded(view) == [(0, 0), (1, 1), (3, 4)]
        assert view.configuration.version == 3
        assert not view.apply_replicated_state(state(4, 3).encode(), "test")
        assert not view.apply_replicated_state(state(3, 3).encode(), "test")

    run(main)


def test_document_that_is_invalid_here_leaves_the_last_configuration(run):
    """Guards against an entry that ends, or answers by an index whose configuration it
    can't read, when a later version's document is invalid for it."""

    async def main():
        view = make_view()
        receive(view, state(1, 1))
        await until_loaded(view)
        receive(view, state(2, 2, "2 invalid", evacuated=["a"]))
        await until_loaded(view)
        receive(view, state(3, 2, "2 invalid", two=6))
        assert not view._loader._has_work()
        assert view.configuration.version == view.replicated_state.version == 1
        assert view.replicated_state.index == 1
        assert view.replicated_state.evacuated == frozenset()
        assert view.replicated_state.has_departed("two", 6)
        receive(view, state(4, 3))
        await until_loaded(view)
        assert view.replicated_state == state(4, 3)

    run(main)


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_endpoints_are_updated_with_the_state(run, is_evacuated):
    """Guards against lists of endpoints that don't follow a state that was loaded."""

    async def main():
        view = make_view()
        fields = Announcement("i-1", "s", "10.0.0.1", 80, "a", 4, False, 0.0, 1, 1)
        view.apply_announcements([(fields.encode(), 0.0)])
        receive(view, state(1, 1, evacuated=["a"] if is_evacuated else []))
        assert bool(view.by_service) != is_evacuated
        receive(view, state(2, 2))
        await until_loaded(view)
        assert list(view.by_service) == ["s"]

    run(main)


def test_routes_of_a_replaced_configuration_are_released_in_steps(run):
    """Guards against a pause when thousands of routes are released at once, and against
    memory that the previous configuration keeps."""

    async def main():
        view = make_view(configuration_steps)
        for version in (1, 2):
            document = json.dumps(large_configuration(4_000, version=version))
            receive(view, state(version, version, document))
            while view.configuration is None or view.configuration.version < version:
                view._loader._run_slice()
            if version == 1:
                hosts = view.configuration.hosts.values()
                previous = [route for routes in hosts for route in routes]
                del hosts
        assert n_used_elsewhere(previous) > 3_000
        await until_loaded(view)
        assert n_used_elsewhere(previous) == 0

    run(main)


def test_decoder_that_fails_unexpectedly_leaves_the_state_in_force():
    """Guards against a state that comes into force without its configuration, so that
    the entry denies the new routes as if its former configuration were the newest."""

    def failing_steps(text):
        yield
        if text == "8":
            raise MemoryError
        return RoutingConfiguration(int(text))

    view = make_view(failing_steps)
    receive(view, state(1, 7), state(2, 8))
    view.announced_index = 2
    view.confirmations.record(view.confirmations.begin(system_clock()), 2)
    assert (view.replicated_state.index, view.configuration.version) == (1, 7)
    assert not view.is_state_current()
    receive(view, state(3, 9))
    assert (view.replicated_state.index, view.configuration.version) == (3, 9)


def test_release_is_finished_although_another_configuration_replaces_the_next(run):
    """Guards against a pause when a small configuration follows a large one whose
    predecessor isn't released yet."""

    async def main():
        view = make_view(configuration_steps)
        previous = []
        for version in (1, 2):
            document = json.dumps(large_configuration(2_000, version=version))
            receive(view, state(version, version, document))
            while view.configuration is None or view.configuration.version < version:
                view._loader._run_slice()
            for routes in view.configuration.hosts.values():
                previous += routes
                del routes
        small = json.dumps(large_configuration(10, version=3))
        receive(view, state(3, 3, small))
        assert view.configuration.version == 3
        assert n_used_elsewhere(previous) == 4_000
        await until_loaded(view)
        assert n_used_elsewhere(previous) == 0

    run(main)
