"""Tests of route matching and of the weighted split of a route's requests."""

from collections import Counter

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
    split.next_service(
        route("gone", "/", WeightedService("a", 1), WeightedService("b", 1))
    )
    split.retain({"kept"})
    assert split._credits == {}
