"""Tests of route matching and of the weighted split of a route's requests."""

from collections import Counter

import pytest

from pollenfold.core.routes import (
    Route,
    RoutingConfiguration,
    WeightedService,
    WeightedSplit,
    find_route,
    sorted_routes,
)


def route(name, prefix, *parts):
    return Route(name, prefix, True, parts or (WeightedService("s", 1.0),))


def test_longest_prefix_wins():
    """Guards against matching a route with a shorter prefix, with a prefix that ends
    within a path segment, or a route of another host."""
    routes = sorted_routes([route("wide", "/a/"), route("narrow", "/a/b/")])
    configuration = RoutingConfiguration(1, {"h": routes})
    assert find_route(configuration, "h", "/a/b/c").name == "narrow"
    assert find_route(configuration, "h", "/a/bc").name == "wide"
    assert find_route(configuration, "h", "/ab") is None
    assert find_route(configuration, "", "/a/") is None


def test_split_is_exact_over_few_requests():
    """Guards against shares that are correct only after thousands of requests."""
    split = WeightedSplit()
    canary = route("r", "/", WeightedService("old", 90), WeightedService("new", 10))
    counts = Counter(split.next_service(canary) for _ in range(50))
    assert counts == {"old": 45, "new": 5}


def test_split_resets_when_the_weights_change():
    """Guards against credits that were accumulated under earlier weights."""
    split = WeightedSplit()
    for _ in range(7):
        split.next_service(
            route("r", "/", WeightedService("a", 99), WeightedService("b", 1))
        )
    reweighted = route("r", "/", WeightedService("a", 1), WeightedService("b", 1))
    counts = Counter(split.next_service(reweighted) for _ in range(10))
    assert counts == {"a": 5, "b": 5}


def test_split_drops_removed_routes():
    """Guards against a memory leak: state that grows with each configuration."""
    split = WeightedSplit()
    for name in ("gone", "kept"):
        split.next_service(
            route(name, "/", WeightedService("a", 1), WeightedService("b", 1))
        )
    assert list(split.route_names()) == ["gone", "kept"]
    for name in ("gone", "never"):
        split.discard(name)
    assert list(split._credits) == ["kept"]


class CountingPath(str):
    """A path that counts the comparisons with prefixes and the prefixes taken of it."""

    n_operations = 0

    def startswith(self, *arguments):
        self.n_operations += 1
        return super().startswith(*arguments)

    def __getitem__(self, key):
        self.n_operations += 1
        return super().__getitem__(key)


@pytest.mark.parametrize("path", ["/b99/x", "/none/x", "/" * 16_000])
def test_lookup_cost_is_independent_of_the_number_of_routes(path):
    """Guards against a search through all routes of a host for each request, and
    against work in proportion to the slashes that a caller sends."""
    routes = sorted_routes([route(f"r{k}", f"/b{k:05}/") for k in range(5_000)])
    configuration = RoutingConfiguration(1, {"h": routes})
    counting_path = CountingPath(path)
    find_route(configuration, "h", counting_path)
    assert counting_path.n_operations <= 5
