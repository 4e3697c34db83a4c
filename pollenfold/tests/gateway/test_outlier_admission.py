"""Requests whose endpoint is excluded, or whose result shows nothing about it."""

import curio

from pollenfold.core.clock import add_ms
from pollenfold.core.failure_outliers import EXCLUSION_MS, MEDIAN_INTERVAL_MS, Change
from pollenfold.core.outcomes import AttemptOutcome
from pollenfold.gateway import endpoint_attempts
from pollenfold.gateway.exchange import CallerGoneError
from pollenfold.gateway.pick import Pick
from pollenfold.http.messages import Response
from pollenfold.observe.clock import system_clock

from .conftest import Backend

N_FAILURES = 12


def endpoint_of(path, name):
    return path.view.endpoints[name]


async def exclude(path, failing, others):
    """Let an endpoint fail while the others succeed, until it is excluded."""
    outliers = path.balancer.outliers
    changes = []
    for _ in range(2):
        # The usual failure share is updated from time to time.
        await curio.sleep(2 * MEDIAN_INTERVAL_MS / 1000)
        for _ in range(N_FAILURES):
            for name in others:
                pick = Pick(endpoint_of(path, name), None, 1.0)
                outliers.record(pick, AttemptOutcome.RESPONDED, Response(200, []))
            pick = Pick(endpoint_of(path, failing), None, 1.0)
            changes.append(outliers.record(pick, AttemptOutcome.LOST, None))
    assert Change.EXCLUDED in changes


def test_excluded_endpoint_is_used_if_no_other_can_be_reached(with_path):
    """Guards against a service without any endpoint: the one that is excluded works,
    and the others can't be reached."""
    first, second, third = Backend("s1"), Backend("s2"), Backend("s3")

    async def body(path, first, second, third):
        await exclude(path, "s1", ["s2", "s3"])
        for name in ("s2", "s3"):
            endpoint_of(path, name).health.mark_unreachable(system_clock())
        usable = path.balancer.outliers.usable("s", list(path.view.endpoints.values()))
        assert endpoint_of(path, "s1") in usable
        statuses = [(await path.get()).status for _ in range(5)]
        assert statuses == [200] * 5

    with_path(body, first, second, third)


async def begin_trial(path, name):
    """Return the pick of a request that is the trial of an excluded endpoint."""
    await curio.sleep(EXCLUSION_MS / 1000 + 0.05)
    endpoint = endpoint_of(path, name)
    connection = await path.balancer._connections.connect(
        endpoint, add_ms(system_clock(), 1_000.0)
    )
    pick = Pick(endpoint, connection, 1.0)
    assert path.balancer.outliers.admit(pick)
    assert pick.is_trial
    return pick


def is_excluded(path, name):
    incarnations = [endpoint.incarnation for endpoint in path.view.by_service["s"]]
    outliers = path.balancer.outliers._services["s"]
    return endpoint_of(path, name).incarnation in outliers.excluded(
        incarnations, system_clock()
    )


def test_trial_whose_caller_left_is_followed_by_another(with_path, monkeypatch):
    """Guards against a sound endpoint that gets no request for five more seconds since
    the caller of its trial left."""

    async def leave(*arguments):
        raise CallerGoneError

    async def body(path, first, second):
        await exclude(path, "s1", ["s2"])
        pick = await begin_trial(path, "s1")
        monkeypatch.setattr(endpoint_attempts, "exchange", leave)
        monkeypatch.setattr(path.balancer, "pick", returning(pick))
        await path.get()
        assert not is_excluded(path, "s1")

    with_path(body, Backend("s1"), Backend("s2"))


def test_trial_that_is_not_sent_is_followed_by_another(with_path, monkeypatch):
    """Guards against a sound endpoint that gets no request for five more seconds since
    the request of its trial was refused before it was sent."""

    async def body(path, first, second):
        await exclude(path, "s1", ["s2"])
        pick = await begin_trial(path, "s1")
        monkeypatch.setattr(path.balancer, "pick", returning(pick))
        # Less time is left than any request needs.
        assert (await path.get(deadline=b"1")).status >= 400
        assert first.requests == []
        assert not is_excluded(path, "s1")

    with_path(body, Backend("s1"), Backend("s2"))


def returning(result):
    async def function(*arguments):
        return result

    return function
