"""Routes by host and prefix, and the split of a route's requests."""

from collections import Counter

from pollenfold.core.routes import (
    Part,
    Route,
    RoutingConfiguration,
    WeightedSplit,
    find_route,
    sorted_routes,
)


def route(name, prefix, *parts):
    return Route(name, prefix, True, parts or (Part("s", 1.0),))


def test_longest_prefix_wins():
    """Guards against a request that a wider route takes."""
    routes = sorted_routes([route("wide", "/a/"), route("narrow", "/a/b/")])
    configuration = RoutingConfiguration(1, {"h": routes})
    assert find_route(configuration, "h", "/a/b/c").name == "narrow"
    assert find_route(configuration, "h", "/a/bc").name == "wide"
    assert find_route(configuration, "h", "/ab") is None
    assert find_route(configuration, "", "/a/") is None


def test_split_keeps_its_weights_over_short_spans():
    """Guards against shares that only come right after thousands of requests."""
    split = WeightedSplit()
    canary = route("r", "/", Part("old", 90), Part("new", 10))
    counts = Counter(split.next_service(canary) for _ in range(50))
    assert counts == {"old": 45, "new": 5}


def test_split_starts_anew_with_other_weights():
    """Guards against credits that were earned under other weights."""
    split = WeightedSplit()
    for _ in range(7):
        split.next_service(route("r", "/", Part("a", 99), Part("b", 1)))
    swapped = route("r", "/", Part("a", 1), Part("b", 1))
    counts = Counter(split.next_service(swapped) for _ in range(10))
    assert counts == {"a": 5, "b": 5}


def test_split_forgets_removed_routes():
    """Guards against state that grows with each change of the configuration."""
    split = WeightedSplit()
    split.next_service(route("gone", "/", Part("a", 1), Part("b", 1)))
    split.retain({"kept"})
    assert split._credits == {}
