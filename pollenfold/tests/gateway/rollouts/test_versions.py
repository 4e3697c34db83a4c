"""Which endpoints an entry sends requests to in each stage of a roll-out."""

import curio
import pytest

from pollenfold.core.rollouts.choice import rank_endpoints
from pollenfold.gateway.endpoint import Endpoint
from pollenfold.gateway.relay.headers import RelayedRequest
from pollenfold.http.messages import Request
from pollenfold.tests.gateway.conftest import Backend

from .stages import (
    announce,
    backends_of,
    n_requests,
    server_error,
    set_stage,
)

SLOW = b"6,6,6,500"


def test_share_is_kept_over_many_requests(with_path):
    """Load: 600 requests one after the other at a share of 0.1.

    Guards against a share that retries, search or load change. The bounds are four
    standard deviations from the mean.
    """
    old, target = backends_of("old", 3), backends_of("new", 3)

    async def body(path, *backends):
        announce(path, old, target)
        set_stage(path, "ramp", 0.1)
        for _ in range(600):
            assert (await path.get()).status == 200
        assert 31 <= n_requests(target) <= 89
        assert n_requests(old) == 600 - n_requests(target)
        metrics = path.metrics
        for version, backends in (("v1", old), ("v2", target)):
            n_counted = metrics.get(
                "version_attempts_total", service="s", version=version
            )
            assert n_counted == n_requests(backends)

    with_path(body, *old, *target)


def test_canary_uses_few_endpoints_equally(with_path):
    """Load: 200 attempts at 2 of 20 target endpoints, one of them in another zone.

    Guards against a canary in which no endpoint is as busy as it would be with all
    requests, also because entries prefer their own zone.
    """
    old, target = backends_of("old", 1), backends_of("new", 20)
    tested_ids = rank_endpoints([backend.name for backend in target], "s 5")[:2]

    async def body(path, *backends):
        announce(path, old, target)
        far = next(backend for backend in target if backend.name == tested_ids[1])
        path.announce(far, sequence=90, zone="b", version="v2")
        set_stage(path, "canary", 0.1)
        path.forwarder._versions._rng.random = lambda: 0.0
        for _ in range(200):
            assert (await path.get()).status == 200
        used = {backend.name for backend in target if backend.requests}
        assert used <= set(tested_ids)
        assert n_requests(target) == 200

    with_path(body, *old, *target)


def test_candidates_of_the_canary_are_drawn_equally(with_path):
    """Load: 4,000 attempts at 4 tested endpoints, one of which is alone in its zone.

    Guards against an endpoint that gets all requests of its zone, since each attempt
    chooses from all tested endpoints and prefers the own zone.
    """

    async def body(path, *backends):
        target = [Backend(f"new{number:02}", port=number + 1) for number in range(40)]
        announce(path, backends, target)
        rollout = set_stage(path, "canary", 0.1)
        selector = path.forwarder._versions
        counts = {}
        for _ in range(4_000):
            subset = selector._subset(rollout, True, False)
            assert len(subset.endpoints) == 2
            for endpoint in subset.endpoints:
                name = endpoint.announcement.endpoint_id
                counts[name] = counts.get(name, 0) + 1
        assert len(counts) == 4
        assert all(1_800 < n < 2_200 for n in counts.values())

    with_path(body, Backend("old"))


@pytest.mark.parametrize(
    ("stage", "is_target"),
    [("full", True), ("completed", True), ("reverting", False), ("rolled_back", False)],
)
def test_version_that_ends_gets_nothing(with_path, stage, is_target):
    """Load: 40 requests of which the first attempt fails.

    Guards against a first attempt or a retry at the version that ends, which may be
    stopped at any moment.
    """
    old, target = backends_of("old", 2), backends_of("new", 2)

    async def body(path, *backends):
        announce(path, old, target)
        set_stage(path, stage)
        used, unused = (target, old) if is_target else (old, target)
        used[0].respond = server_error
        for _ in range(40):
            await path.get()
        assert n_requests(used) >= 40
        assert n_requests(unused) == 0

    with_path(body, *old, *target)


def test_replaced_version_that_control_does_not_name_gets_nothing(with_path):
    """Guards against requests to the old version after its end because the leader that
    completed the roll-out had restarted and knew none of its endpoints. A version that
    appears later without an order gets requests."""
    old, target, later = Backend("old"), Backend("new"), Backend("later")

    async def body(path, *backends):
        path.view.forget("later", "not_started")
        announce(path, [old], [target])
        for stage in ("canary", "full"):
            set_stage(path, stage)
            assert (await path.get()).status == 200
        n_old = len(old.requests)
        set_stage(path, "completed", replaced=())
        path.announce(later, sequence=70, version="v3")
        path.confirm(path.view.replicated_state.index)
        path.view.expire()
        for _ in range(10):
            assert (await path.get()).status == 200
        assert len(old.requests) == n_old
        assert target.n_checks and later.n_checks

    with_path(body, old, target, later)


def test_version_that_ends_takes_nothing_when_the_other_is_gone(with_path):
    """Guards against a request to the old version after ``full`` because no endpoint
    of the target responds: the old endpoints may be stopped without draining."""
    old = backends_of("old", 2)

    async def body(path, *backends):
        announce(path, old, [Backend("gone", port=1)])
        set_stage(path, "full")
        assert (await path.get()).status == 503
        assert n_requests(old) == 0

    with_path(body, *old)


def test_old_version_takes_what_the_target_does_not(with_path):
    """Guards against requests that fail because the target isn't up yet, refuses
    connections, or is overloaded."""
    old, slow = Backend("old"), Backend("slow", load=SLOW)

    async def body(path, *backends):
        announce(path, [old])
        set_stage(path, "ramp", 0.99)
        path.forwarder._versions._rng.random = lambda: 0.5
        assert (await path.get()).status == 200
        announce(path, target=[Backend("gone", port=1)])
        assert (await path.get()).status == 200
        announce(path, target=[slow])
        for _ in range(10):
            assert (await path.get()).status == 200
        assert len(old.requests) == 12

    with_path(body, old, slow)


def test_retry_goes_to_the_old_version(with_path):
    """Guards against a caller who pays twice for a bad target."""
    old, target = backends_of("old", 1), backends_of("new", 2, respond=server_error)

    async def body(path, *backends):
        announce(path, old, target)
        set_stage(path, "ramp", 0.5)
        for _ in range(30):
            assert (await path.get()).status == 200
        assert 0 < n_requests(target) < 30
        assert n_requests(old) == 30
        path.log.flush()
        assert any(
            "attempts=new0" in line and "@v2:server_error" in line
            for line in path.lines
        )

    with_path(body, *old, *target)


def test_relayed_retry_goes_to_the_old_version(with_path):
    """Guards against a peer that sends the second attempt of a request to the target,
    since it is the first one at that peer."""
    old, target = backends_of("old", 1), backends_of("new", 1)

    async def body(path, *backends):
        announce(path, old, target)
        set_stage(path, "ramp", 0.9)
        headers = [(b"host", b"h.example"), (b"x-request-id", b"q1")]
        relayed = RelayedRequest(
            "s",
            200.0,
            1,
            is_repeat=True,
            is_retry_acquired=True,
            version=1,
            is_idempotent=True,
        )
        for _ in range(10):
            request = Request(b"GET", b"/x/1", list(headers), b"")
            response, _ = await path.forwarder.handle_relayed(request, relayed)
            assert response.status == 200
        assert n_requests(target) == 0

    with_path(body, *old, *target)


def test_load_of_one_version_does_not_decide_for_the_other(with_path):
    """Load: 40 requests at once, half of them drawn for an overloaded target.

    Guards against requests that are refused for the old version because the last
    search, at the target, found only slow endpoints.
    """
    old, target = backends_of("old", 2), backends_of("new", 2, load=SLOW)

    async def body(path, *backends):
        announce(path, old, target)
        set_stage(path, "ramp", 0.5)
        tasks = [await curio.spawn(path.get) for _ in range(40)]
        responses = [await task.join() for task in tasks]
        assert [response.status for response in responses] == [200] * 40
        assert n_requests(target) == 0

    with_path(body, *old, *target)


def test_unprobed_choice_stays_within_the_version(with_path):
    """Guards against requests to the wrong version while the probe budget is used up,
    or when endpoints report no load."""
    old, target = backends_of("old", 2), backends_of("new", 2)

    async def body(path, *backends):
        announce(path, old, target)
        set_stage(path, "full")
        path.balancer._acquire_probes = lambda n_probes, now: False
        for _ in range(10):
            assert (await path.get()).status == 200
        assert n_requests(old) == 0

    with_path(body, *old, *target)


def test_declared_limits_of_one_version_do_not_hold_for_the_other(with_path):
    """Guards against requests to the wrong version since it has a permit, and against
    a refusal because the other version is at its limit."""
    old, target = Backend("old", limit=b"0"), Backend("new")

    async def body(path, *backends):
        announce(path, [old], [target])
        set_stage(path, "reverting")
        await path.get()
        assert (await path.get()).status == 503
        path.log.flush()
        assert "asked=old;limited/" in path.lines[-1]
        set_stage(path, "full")
        assert (await path.get()).status == 200

    with_path(body, old, target)


def test_back_off_of_the_target_does_not_delay_retries(with_path):
    """Guards against callers who wait for the target although the old version, which
    was only busy, takes their next attempt."""
    old, target = Backend("old", load=SLOW), Backend("new")

    async def body(path, *backends):
        announce(path, [old], [target])
        set_stage(path, "ramp", 0.99)
        path.forwarder._versions._rng.random = lambda: 0.5
        path.view.start_backoff(path.view.endpoints["new"], 20_000.0)
        response = await path.get()
        assert response.status == 503
        after_s = float(dict(response.headers)[b"retry-after"])
        assert after_s < 2.0

    with_path(body, old, target)


def test_service_without_a_rollout_is_served_as_before(with_path):
    """Guards against a choice by version without an order, and against log fields and
    metrics of deployments without roll-outs."""
    old, target = backends_of("old", 1), backends_of("new", 1)

    async def body(path, *backends):
        announce(path, old, target)
        for _ in range(40):
            assert (await path.get()).status == 200
        assert old[0].n_checks and target[0].n_checks
        path.log.flush()
        assert not any("@v" in line for line in path.lines)
        path.forwarder.version_outcomes.export()
        assert "version_" not in path.metrics.render()

    with_path(body, *old, *target)


def test_load_is_counted_by_version():
    """Guards against an exchange that ends at another version than it began."""
    endpoint = Endpoint(None)
    endpoint.begin_exchange()
    assert (endpoint.health.n_in_flight, endpoint.version_load.n_in_flight) == (1, 1)
    endpoint.end_exchange()
    assert (endpoint.health.n_in_flight, endpoint.version_load.n_in_flight) == (0, 0)
