"""The statistics of routes that an entry keeps between requests."""

import pytest

from pollenfold.core.clock import Instant
from pollenfold.core.routes import (
    Route,
    RoutingConfiguration,
    WeightedService,
    sorted_routes,
)
from pollenfold.gateway.calls import CallFactory
from pollenfold.http.messages import Request
from pollenfold.platform.headers import DIALECT

N_ROUTES = 2_000
MAX_CHECKS = 100


class CountingSet(set):
    """A set of names that counts how often it is asked for one."""

    n_checks = 0

    def __contains__(self, name):
        self.n_checks += 1
        return super().__contains__(name)


class CountingHosts(dict):
    """The routes by host; counts those over which it is iterated."""

    n_checks = 0

    def values(self):
        self.n_checks += sum(map(len, super().values()))
        return super().values()


def make_routes(numbers):
    services = (WeightedService("a", 1.0), WeightedService("b", 1.0))
    return [Route(f"r{k}", f"/{k}/", True, services, 800.0) for k in numbers]


def make_configuration(version, routes):
    names = CountingSet(route.name for route in routes)
    hosts = CountingHosts({"h.example": sorted_routes(routes)})
    return RoutingConfiguration(version, hosts, route_names=names)


def n_checks(configuration):
    return configuration.route_names.n_checks + configuration.hosts.n_checks


@pytest.fixture
def factory():
    """Return the statistics after one request for each of the first routes."""
    factory = CallFactory(DIALECT)
    routes = make_routes(range(N_ROUTES))
    configuration = make_configuration(1, routes)
    for route in routes:
        factory.retain(configuration)
        create_call(factory, route)
    return factory


def create_call(factory, route):
    headers = [(DIALECT.deadline_ms, b"700")]
    request = Request(b"GET", b"/", headers, b"")
    call = factory.create_call(request, b"q", route, Instant(0.0))
    assert call is not None


def held_names(factory):
    return (
        set(factory._caller_ages)
        | set(factory._work_estimates)
        | set(factory._split._credits)
    )


def test_first_request_after_a_change_does_bounded_work(factory):
    """Guards against a request that waits while the state of all routes is compared
    with a new configuration."""
    configuration = make_configuration(2, make_routes(range(0, N_ROUTES, 2)))
    for _ in range(10):
        before = n_checks(configuration)
        factory.retain(configuration)
        assert n_checks(configuration) - before <= MAX_CHECKS


def test_state_of_removed_routes_is_dropped_with_later_requests(factory):
    """Guards against memory that grows with each change of the routes, and against
    statistics that are lost for routes that stay."""
    kept = make_routes(range(0, N_ROUTES, 2))
    for version in (2, 3):
        configuration = make_configuration(version, kept)
        for _ in range(N_ROUTES):
            factory.retain(configuration)
    assert held_names(factory) == {route.name for route in kept}
    assert set(factory._work_estimates) == held_names(factory)
