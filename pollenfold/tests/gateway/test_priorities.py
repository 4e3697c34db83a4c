"""Priorities at the admission of an entry's requests."""

from dataclasses import replace

import pytest

from pollenfold.core.balancing.priority import LAST_STEP
from pollenfold.core.tenancy.tenants import Tenant
from pollenfold.tests.gateway.conftest import Backend
from pollenfold.tests.gateway.test_tenants import call, key_header, set_tenants

TENANTS = {Tenant("blue", 0): ["k-blue"], Tenant("green", 2): ["k-green"]}
HIGH, LOW = key_header(b"k-blue"), key_header(b"k-green")
FULL = b"6,4,6,100"
"""A load with a slowdown of 2.9. The work estimate is 0.35 of the target at first, so
that a new request accepts 2.5."""

HALF_BUSY = b"3,0,6,100"
"""A load with a slowdown of 1."""


def hold_back(path, n_steps=LAST_STEP):
    """Let the higher priority of the service hold back the lower one."""
    priorities = path.forwarder._priorities._priorities_of("s")
    state = priorities._state_of(0, path.forwarder._clock())
    state.limits.append(2.0)
    state.step, state.stepped_at = n_steps, path.forwarder._clock()


def held_lines(path):
    path.log.flush()
    return [line for line in path.lines if "held/" in line]


def test_lower_priority_leaves_busy_endpoints_to_the_higher_one(with_path):
    """Guards against a decision that has no effect on requests, and a refusal that
    isn't safe to repeat or takes part in metrics of nothing."""

    async def body(path, backend):
        set_tenants(path.view, TENANTS)
        hold_back(path)
        assert (await call(path, HIGH)).status == 200
        response = await call(path, LOW)
        assert response.status == 503
        assert (b"pollenfold-run-state", b"did_not_run") in response.headers
        assert any(name == b"retry-after" for name, _ in response.headers)
        assert len(backend.requests) == 1
        counts = path.metrics.get("admissions_total", service="s", verdict="held")
        assert counts == 1
        (line,) = held_lines(path)
        assert "tenant=green" in line
        assert f"held/{LAST_STEP}" in line

    with_path(body, Backend("one", load=HALF_BUSY))


def test_idle_endpoint_takes_a_request_of_any_priority(with_path):
    """Guards against a request that is refused although an endpoint has nothing to do,
    even if it reports to be slow."""

    async def body(path, backend):
        set_tenants(path.view, TENANTS)
        hold_back(path)
        for _ in range(5):
            assert (await call(path, LOW)).status == 200
        backend.load = b"0,0,6,180"
        assert (await call(path, LOW)).status == 200

    with_path(body, Backend("one", load=b"0,0,6,100"))


@pytest.mark.parametrize("has_tenants", [True, False])
def test_refused_requests_hold_back_lower_ones_only_with_tenants(
    with_path, has_tenants
):
    """Guards against a change for deployments that have no tenants, and against a
    signal that doesn't reach the decision.

    Load: requests of priority 0 that find a full service, each from a busy caller.
    """

    async def body(path, backend):
        if has_tenants:
            set_tenants(path.view, TENANTS, priority=0)
        for _ in range(12):
            assert (await call(path, HIGH)).status == 503
        by_service = path.forwarder._priorities._by_service
        assert list(by_service) == (["s"] if has_tenants else [])
        if has_tenants:
            assert by_service["s"].step(2) >= 1
            assert by_service["s"].step(0) == 0

    with_path(body, Backend("one", load=FULL))


def test_request_is_admitted_as_before_without_a_refusal(with_path):
    """Guards against a difference in normal operation."""

    async def body(path, backend):
        set_tenants(path.view, TENANTS)
        for _ in range(10):
            assert (await call(path, HIGH)).status == 200
            assert (await call(path, LOW)).status == 200
        assert not held_lines(path)
        assert path.forwarder._priorities._by_service["s"].step(2) == 0

    with_path(body, Backend("one", load=HALF_BUSY))


def test_priority_of_the_route_counts_for_a_tenant_without_one(with_path):
    """Guards against routes of low priority that take capacity from others."""

    async def body(path, backend):
        set_tenants(path.view, {Tenant("blue"): ["k-blue"]}, priority=3)
        hold_back(path)
        assert (await call(path, HIGH)).status == 503
        configuration = path.view.configuration
        (route,) = configuration.hosts["h.example"]
        hosts = {"h.example": (replace(route, priority=0),)}
        path.view.configuration = replace(configuration, hosts=hosts, indexes={})
        assert (await call(path, HIGH)).status == 200

    with_path(body, Backend("one", load=HALF_BUSY))
