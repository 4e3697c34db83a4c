"""Hedged requests on an entry's call path to fake backend servers.

The first endpoint reports the lower load, so that it gets each request first. Both have
spare capacity. The delay of a hedge is the expected time of the route, 210 ms, long
enough for a busy machine.
"""

import gc
import re
import socket

import curio
import pytest

from pollenfold.core.clock import add_ms
from pollenfold.core.declared_limit import DeclaredLimit
from pollenfold.core.retry_budget import RetryBudget, RetryLimits
from pollenfold.gateway.response_memory import RESPONSE_MEMORY
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend, signed_response

DELAY_MS = 210.0
ROUTE = {"target_latency_ms": 600.0, "timeout_ms": 2_400.0}
LONG_BODY = b"0123456789" * 60_000


def answer(text, status=200):
    return lambda request: signed_response(status, text)


def make_backends(first_ms=1_000.0, second_ms=0.0, **changes):
    """Return two backend servers, of which the first gets each request."""
    first = Backend("first", answer(b"of first"), delay_ms=first_ms, **changes)
    second = Backend("second", answer(b"of second"), delay_ms=second_ms)
    second.load = b"0,0,6,120"
    return first, second


@pytest.fixture
def with_hedges(with_path):
    """Return a function that runs ``body(path, first, second)`` on an entry that has
    served enough requests to hedge."""

    def run_body(body, first, second, **changes):
        async def prepared(path, first, second):
            prime(path)
            await body(path, first, second)
            await wait_until_released(path, first, second)

        with_path(prepared, first, second, **{"hedge_ratio": 1.0, **ROUTE, **changes})

    return run_body


def prime(path, n_requests=40):
    """Let the entry have seen requests that took as long as expected."""
    hedges = path.forwarder.hedges._get()
    # Probes of a busy machine take longer than the usual limit.
    state = path.balancer._memory.get("s")
    state.mean_probe_ms = 20.0
    for _ in range(n_requests):
        hedges.count_request("s", path.hedge_ratio)
        hedges._service("s").ratios.observe(1.0)


def pool(path, backend):
    return path.balancer._connections.pool(path.view.endpoints[backend.name])


async def wait_until_released(path, *backends):
    """Guards against a connection or an in-flight count that is left behind. A search
    that was overtaken may still run."""
    until = add_ms(system_clock(), 1_000.0)
    while not all(is_released(path, backend) for backend in backends):
        assert system_clock() < until
        await curio.sleep(0.01)


def is_released(path, backend):
    """Return whether nothing is in flight at an endpoint."""
    connections = pool(path, backend)
    return (
        path.view.endpoints[backend.name].health.n_in_flight == 0
        and connections.n_open == connections.n_idle
        and not path.forwarder._active_calls
    )


async def assert_memory_released(path, first, second):
    """Guards against memory of responses that stays reserved.

    The loop keeps the task that ended last until another one ends, and a long response
    is part of a cycle, with or without hedges.
    """
    first.respond = second.respond = answer(b"short")
    first.delay_ms = second.delay_ms = 0.0
    for _ in range(3):
        assert (await path.get()).body == b"short"
    gc.collect()
    assert RESPONSE_MEMORY.n_reserved_bytes == 0


def hedges(path, result):
    return path.metrics.get("hedges_total", service="s", result=result)


def last_line(path):
    path.log.flush()
    lines = [line for line in path.lines if "event=request_done" in line]
    return dict(re.findall(r"(\w+)=(\S+)", lines[-1]))


def test_slow_first_answer_is_overtaken(with_hedges):
    """Load: a response takes seven times as long. Guards against a caller that waits
    for it though another endpoint is free, a loser that goes on, and one that counts as
    a failure."""

    async def body(path, first, second):
        started_at = system_clock()
        response = await path.get()
        assert (response.status, response.body) == (200, b"of second")
        assert DELAY_MS <= system_clock() - started_at < 900
        assert (len(first.requests), len(second.requests)) == (1, 1)
        assert pool(path, first).n_open == 0
        assert path.view.endpoints["first"].health.penalty(system_clock()) < 1.0
        assert path.metrics.get("attempts_total", service="s", outcome="lost") == 0
        assert hedges(path, "won") == 1
        assert path.metrics.get("retries_total", service="s") == 1
        line = last_line(path)
        assert re.match(r"first:cancelled:.*;second:responded:", line["attempts"])
        assert "hedge/210/send;" in line["asked"] and "retry/0/" in line["asked"]
        assert 'hedge_delay_ms_count{service="s"} 1' in path.metrics.render()

    with_hedges(body, *make_backends())


def test_late_answer_of_a_loser_reaches_nobody(with_hedges):
    """Guards against a late response that the next caller gets."""

    async def body(path, first, second):
        first.respond = answer(b"late")
        assert (await path.get()).body == b"of second"
        first.delay_ms = 0.0
        until = add_ms(system_clock(), 500.0)
        while system_clock() < until:
            first.respond = answer(b"of first")
            assert (await path.get()).body in (b"of first", b"of second")

    with_hedges(body, *make_backends(first_ms=450.0))


def test_first_attempt_wins_over_a_slower_hedge(with_hedges):
    """Guards against a hedge that delays the response of the first attempt, or that
    goes on after it."""

    async def body(path, first, second):
        started_at = system_clock()
        assert (await path.get()).body == b"of first"
        assert system_clock() - started_at < 1_200
        assert (len(first.requests), len(second.requests)) == (1, 1)
        assert pool(path, second).n_open == 0
        # A probe that timed out on a busy machine adds 0.5, a lost attempt 2.
        assert path.view.endpoints["second"].health.penalty(system_clock()) < 1.0
        assert hedges(path, "lost") == 1
        attempts = last_line(path)["attempts"]
        assert re.match(r"second:cancelled:.*;first:responded:", attempts)

    with_hedges(body, *make_backends(first_ms=450.0, second_ms=1_500.0))


def test_fast_response_starts_no_hedge(with_hedges):
    """Load: usual responses. Guards against a hedge of each request."""

    async def body(path, first, second):
        for _ in range(20):
            assert (await path.get()).body == b"of first"
        assert len(second.requests) == 0
        assert "hedge" not in last_line(path)["asked"]

    with_hedges(body, *make_backends(first_ms=0.0))


@pytest.mark.parametrize("respond", [lambda request: None, answer(b"", 500)])
def test_second_attempt_is_the_retry_of_a_first_that_fails(with_hedges, respond):
    """Guards against a failure that is passed on while the hedge runs, and a third
    attempt after it."""

    async def body(path, first, second):
        response = await path.get()
        assert (response.status, response.body) == (200, b"of second")
        assert (len(first.requests), len(second.requests)) == (1, 1)
        assert path.metrics.get("retries_total", service="s") == 1
        assert path.view.endpoints["first"].health.penalty(system_clock()) > 1.0

    first, second = make_backends(first_ms=450.0, second_ms=500.0)
    first.respond = respond
    with_hedges(body, first, second)


@pytest.mark.parametrize(
    ("of_first", "of_second", "status"),
    [
        (None, None, 502),
        (answer(b"", 500), answer(b"", 500), 500),
        (None, answer(b"", 500), 500),
        (answer(b"", 500), None, 500),
    ],
)
def test_failure_of_both_attempts(with_hedges, of_first, of_second, status):
    """Guards against a request that is sent a third time, or refused as not executed
    though it may have run."""

    async def body(path, first, second):
        response = await path.get()
        assert response.status == status
        assert (len(first.requests), len(second.requests)) == (1, 1)
        assert hedges(path, "failed") == 1
        is_refused = b"did_not_run" in dict(response.headers).values()
        assert not is_refused

    first, second = make_backends(first_ms=450.0, second_ms=120.0)
    first.respond = of_first or (lambda request: None)
    second.respond = of_second or (lambda request: None)
    with_hedges(body, first, second)


def test_third_attempt_after_both_failed(with_hedges):
    """Guards against a route whose further attempts end with the hedge."""

    async def body(path, first, second):
        first.respond = second.respond = lambda request: None
        third = Backend("third", answer(b"of third"))
        third.load = b"0,0,6,140"
        await third.start()
        path.announce(third, sequence=9)
        assert (await path.get()).body == b"of third"
        assert (len(first.requests), len(second.requests)) == (1, 1)

    first, second = make_backends(first_ms=450.0, second_ms=120.0)
    with_hedges(body, first, second, max_attempts=3)


def test_no_response_of_both_ends_at_the_deadline(with_hedges):
    """Guards against a request that waits beyond its deadline for its hedge."""

    async def body(path, first, second):
        started_at = system_clock()
        assert (await path.get(deadline=b"700")).status == 504
        assert system_clock() - started_at < 1_000

    with_hedges(body, *make_backends(first_ms=3_000.0, second_ms=3_000.0))


def test_caller_that_leaves_ends_both_attempts(with_hedges):
    """Guards against work for a caller that is gone, at either endpoint."""

    async def body(path, first, second):
        ours, callers = socket.socketpair()
        with ours:
            task = await curio.spawn(path.get, b"GET", b"1500", b"", ours.fileno())
            await curio.sleep(0.4)
            assert (len(first.requests), len(second.requests)) == (1, 1)
            callers.close()
            async with curio.timeout_after(0.6):
                assert await task.join() is None
        assert pool(path, first).n_open == pool(path, second).n_open == 0
        assert last_line(path)["kind"] == "caller_gone"

    with_hedges(body, *make_backends(first_ms=3_000.0, second_ms=3_000.0))


@pytest.mark.parametrize("after_ms", [100.0, 212.0, 216.0, 400.0])
def test_cancelled_request_leaves_nothing_behind(with_hedges, after_ms):
    """Guards against connections and counts that stay after the task of a request was
    cancelled: before the delay, in the search and while both attempts run."""

    async def body(path, first, second):
        task = await curio.spawn(path.get)
        await curio.sleep(after_ms / 1000)
        await task.cancel()
        await curio.sleep(0.1)

    first, second = make_backends(first_ms=3_000.0, second_ms=3_000.0)
    second.check_delay_ms = 10.0
    with_hedges(body, first, second)


@pytest.mark.parametrize("check_ms", [70.0, 3_000.0])
def test_response_during_the_search_is_passed_on_at_once(with_hedges, check_ms):
    """Guards against a response that waits for the probes of its hedge, a retry that is
    counted though none is sent, and a connection that the search keeps."""

    async def body(path, first, second):
        task = await curio.spawn(path.get)
        while not first.requests:
            await curio.sleep(0.002)
        second.check_delay_ms = check_ms
        assert (await task.join()).body == b"of first"
        assert hedges(path, "overtaken") == 1
        await wait_until_released(path, first, second)
        assert len(second.requests) == 0
        assert path.metrics.get("retries_total", service="s") == 0

    with_hedges(body, *make_backends(first_ms=235.0))


def test_nothing_is_sent_to_an_endpoint_that_leaves_before_the_task_starts(with_hedges):
    """Guards against a request to an endpoint of which this entry has just learned that
    it leaves: other tasks run between the selection and the task of the attempt."""

    async def body(path, first, second):
        selected = []
        may_still_send = path.forwarder._may_still_send

        def record_selected(subset, pick):
            may_send = may_still_send(subset, pick)
            if may_send:
                selected.append(pick.endpoint.announcement.endpoint_id)
            return may_send

        async def remove_selected():
            while not selected:
                await curio.sleep(0)
            path.view.endpoints.pop(selected[0])

        path.forwarder._may_still_send = record_selected
        endpoint = path.view.endpoints["first"]
        remover = await curio.spawn(remove_selected)
        assert (await path.get()).body == b"of second"
        await remover.join()
        assert selected == ["first", "second"]
        assert first.requests == []
        path.view.endpoints["first"] = endpoint

    with_hedges(body, *make_backends(first_ms=0.0))


def test_non_idempotent_request_is_never_hedged(with_hedges):
    """Guards against a request that is executed twice."""

    async def body(path, first, second):
        assert (await path.get(b"POST", body=b"x")).body == b"of first"
        assert len(second.requests) == 0

    with_hedges(body, *make_backends(), is_idempotent=False)


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_hedges_count_as_attempts_of_the_route(with_hedges, max_attempts):
    """Guards against a request that reaches more endpoints than its route allows."""

    async def body(path, first, second):
        assert (await path.get()).status == 200
        assert len(second.requests) == max_attempts - 1

    with_hedges(body, *make_backends(), max_attempts=max_attempts)


@pytest.mark.parametrize("first_ms", [400.0, 1_000.0])
def test_long_response_wins_or_loses(with_hedges, first_ms):
    """Guards against a mixture of two long responses, a truncated one, and a loser that
    keeps reserved memory."""

    async def body(path, first, second):
        first.respond = answer(b"F" + LONG_BODY)
        second.respond = answer(b"S" + LONG_BODY)
        response = await path.get()
        parts = [response.body]
        source = response.remaining_body
        while part := await source.read():
            parts.append(part)
        await source.close()
        winner = b"F" if first_ms < 500 else b"S"
        assert b"".join(parts) == winner + LONG_BODY
        del response, source
        await curio.sleep(0.3)
        await assert_memory_released(path, first, second)

    with_hedges(body, *make_backends(first_ms, second_ms=360.0))


def test_long_responses_at_the_same_moment(with_hedges):
    """Guards against a long response that loses when it has begun, and then holds its
    connection and its memory."""

    async def body(path, first, second):
        first.respond = answer(b"F" + LONG_BODY)
        second.respond = answer(b"S" + LONG_BODY)
        for second_ms in range(40, 100, 5):
            prime(path)
            path.view.endpoints["first"].health.mark_reachable()
            second.delay_ms = float(second_ms)
            response = await path.get()
            source = response.remaining_body
            while await source.read():
                pass
            await source.close()
            del response, source
            await curio.sleep(0.05)
            await wait_until_released(path, first, second)
        await assert_memory_released(path, first, second)

    with_hedges(body, *make_backends(300.0))


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


def test_stop_ends_both_attempts(with_hedges):
    """Guards against a hedge that outlives the deadline of a process that stops."""

    async def body(path, first, second):
        task = await curio.spawn(path.get)
        await curio.sleep(0.4)
        path.forwarder.limit_deadlines(add_ms(system_clock(), 50.0))
        async with curio.timeout_after(0.6):
            assert (await task.join()).status == 504

    with_hedges(body, *make_backends(first_ms=3_000.0, second_ms=3_000.0))


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
