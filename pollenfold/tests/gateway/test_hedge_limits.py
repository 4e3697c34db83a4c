"""Hedged requests on an entry's call path: when there is none."""

import curio
import pytest

from pollenfold.core.clock import add_ms
from pollenfold.core.declared_limit import DeclaredLimit
from pollenfold.core.retry_budget import RetryBudget, RetryLimits
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.hedging import (
    ROUTE,
    hedged_runner,
    hedges,
    last_line,
    make_backends,
    prime,
)


@pytest.fixture
def with_hedges(with_path):
    """Return a function that runs ``body(path, first, second)`` on an entry that has
    served enough requests to hedge."""
    return hedged_runner(with_path)


def test_no_hedge_beyond_the_retry_budget(with_hedges):
    """Load: failures have used up the retries. Guards against hedges that exceed the
    limit of retries of all entries."""

    async def body(path, first, second):
        limits = RetryLimits(0.0, 0, 10_000.0)
        path.forwarder._retry_budget = RetryBudget(limits, "e1", system_clock())
        assert (await path.get()).body == b"of first"
        assert len(second.requests) == 0
        assert hedges(path, "refused_retry_budget") == 1

    with_hedges(body, *make_backends())


def test_no_hedge_beyond_the_ratio(with_path):
    """Load: a burst, in which all responses are slow. Guards against hedges that
    multiply the load of a slow service."""

    async def body(path, first, second):
        prime(path, 25)
        for _ in range(10):
            assert (await path.get()).status == 200
        # 35 requests have earned 1.75 hedges. Later the delay follows the responses.
        assert len(second.requests) == 1
        assert hedges(path, "refused_ratio") >= 1

    with_path(body, *make_backends(360.0), hedge_ratio=0.05, **ROUTE)


def test_no_hedge_while_all_endpoints_are_overloaded(with_hedges):
    """Load: all endpoints overloaded. Guards against hedges that add to the load."""

    async def body(path, first, second):
        assert (await path.get()).status == 200
        assert len(second.requests) == 0
        assert hedges(path, "refused_overloaded") == 1

    first, second = make_backends()
    first.load, second.load = b"6,1,6,100", b"6,1,6,101"
    with_hedges(body, first, second)


def test_no_hedge_after_a_refusal(with_hedges):
    """Load: the capacity is just used up, so that a request is refused now and then.
    Guards against a hedge in place of a first attempt."""

    async def body(path, first, second):
        path.forwarder.hedges._get().record_refusal("s")
        assert (await path.get()).body == b"of first"
        assert len(second.requests) == 0
        assert hedges(path, "refused_overloaded") == 1

    with_hedges(body, *make_backends())


def test_no_hedge_without_spare_capacity(with_hedges):
    """Load: the other endpoint works near its limit. Guards against a hedge that slows
    down the requests there."""

    async def body(path, first, second):
        second.load = b"5,0,6,100"
        assert (await path.get()).body == b"of first"
        assert len(second.requests) == 0
        assert hedges(path, "refused_no_endpoint") == 1

    with_hedges(body, *make_backends())


def mark_cold(endpoint, now):
    endpoint.cold_until = add_ms(now, 1_000.0)


def mark_unconfirmed(endpoint, now):
    endpoint.is_unconfirmed = True


def mark_backing_off(endpoint, now):
    endpoint.backoff_until = add_ms(now, 1_000.0)


def mark_limited(endpoint, now):
    endpoint.declared_limit = DeclaredLimit(5.0, now)


def mark_penalized(endpoint, now):
    endpoint.health.add_penalty(2.0, now)


def mark_unreachable(endpoint, now):
    endpoint.health.mark_unreachable(now)


@pytest.mark.parametrize(
    "mark",
    [
        mark_cold,
        mark_unconfirmed,
        mark_backing_off,
        mark_limited,
        mark_penalized,
        mark_unreachable,
    ],
)
def test_no_hedge_to_a_doubtful_endpoint(with_hedges, mark):
    """Load: a service that starts, or in which endpoints fail. Guards against hedges
    that take the few requests that such an endpoint may get, or fail there."""

    async def body(path, first, second):
        task = await curio.spawn(path.get)
        while not first.requests:
            await curio.sleep(0.002)
        mark(path.view.endpoints["second"], system_clock())
        assert (await task.join()).body == b"of first"
        assert len(second.requests) == 0
        assert hedges(path, "refused_no_endpoint") == 1

    with_hedges(body, *make_backends())


def test_no_hedge_too_late_for_the_deadline(with_hedges):
    """Load: a caller with little time. Guards against work whose response comes after
    the deadline."""

    async def body(path, first, second):
        assert (await path.get(deadline=b"420")).status == 504
        assert len(second.requests) == 0
        assert hedges(path, "refused_too_late") == 1

    with_hedges(body, *make_backends())


def test_nothing_changes_without_a_ratio(with_path):
    """Guards against a cost of hedges for deployments that don't use them."""

    async def body(path, first, second):
        n_spawned = []
        for _ in range(30):
            assert (await path.get()).body == b"of first"
        first.delay_ms = 500.0
        spawn = curio.spawn

        async def counting_spawn(function, *args, **options):
            n_spawned.append(function.__qualname__)
            return await spawn(function, *args, **options)

        curio.spawn = counting_spawn
        try:
            assert (await path.get()).body == b"of first"
        finally:
            curio.spawn = spawn
        assert len(second.requests) == 0
        assert not path.forwarder.hedges.is_loaded
        assert not [name for name in n_spawned if name.startswith("Race")]
        assert "hedge" not in path.metrics.render()
        assert "hedge" not in last_line(path)["asked"]

    with_path(body, *make_backends(0.0))


def test_ratio_that_is_reloaded_takes_effect(with_hedges):
    """Guards against a change of the limit that only a restart applies."""

    async def body(path, first, second):
        path.hedge_ratio = 0.0
        assert (await path.get()).body == b"of first"
        path.hedge_ratio = 1.0
        assert (await path.get()).body == b"of second"

    with_hedges(body, *make_backends(700.0))


def test_state_of_removed_services_is_dropped(with_hedges):
    """Guards against memory that grows with each change of the configuration."""

    async def body(path, first, second):
        switch = path.forwarder.hedges
        switch.retain({"s": None})
        assert "s" in switch._get()._services
        switch.retain({})
        assert not switch._get()._services

    with_hedges(body, *make_backends())
