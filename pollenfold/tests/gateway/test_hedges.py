"""Hedged requests on an entry's call path: which response is used, and what remains."""

import re
import socket

import curio
import pytest

from pollenfold.core.clock import add_ms
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend
from pollenfold.tests.gateway.hedging import (
    DELAY_MS,
    answer,
    assert_memory_released,
    hedged_runner,
    hedges,
    last_line,
    make_backends,
    pool,
    prime,
    wait_until_released,
)

LONG_BODY = b"0123456789" * 60_000


@pytest.fixture
def with_hedges(with_path):
    """Return a function that runs ``body(path, first, second)`` on an entry that has
    served enough requests to hedge."""
    return hedged_runner(with_path)


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


def test_stop_ends_both_attempts(with_hedges):
    """Guards against a hedge that outlives the deadline of a process that stops."""

    async def body(path, first, second):
        task = await curio.spawn(path.get)
        await curio.sleep(0.4)
        path.forwarder.limit_deadlines(add_ms(system_clock(), 50.0))
        async with curio.timeout_after(0.6):
            assert (await task.join()).status == 504

    with_hedges(body, *make_backends(first_ms=3_000.0, second_ms=3_000.0))
