"""The route of a request is the one with the longest prefix, whatever the routes."""

from dataclasses import replace

from hypothesis import example, given
from hypothesis import strategies as st

from pollenfold.core.routes import (
    Route,
    RoutingConfiguration,
    WeightedService,
    find_route,
    sorted_routes,
)

TEXTS = st.text("/ab\u00e9", max_size=12)
PREFIXES = st.lists(TEXTS.map("/".__add__), max_size=12, unique=True)
PATHS = st.lists(TEXTS.map("/".__add__), min_size=1, max_size=12)
HOSTS = ("a.example", "b.example")


def make_route(prefix):
    return Route(prefix, prefix, True, (WeightedService("s", 1.0),))


def longest_match(prefixes, path):
    """Return the longest prefix of the path by trying all of them, or None."""
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    return max(matching, key=len, default=None)


def test_first_of_two_routes_with_one_prefix_is_found():
    """Guards against an order of equal prefixes that depends on how they are found."""
    routes = sorted_routes([make_route("/a/"), replace(make_route("/a/"), name="b")])
    configuration = RoutingConfiguration(1, {"a.example": routes})
    assert find_route(configuration, "a.example", "/a/").name == "/a/"


@given(PREFIXES, PREFIXES, PATHS)
@example(["/", "//", "///"], [], ["/////", "/", ""])
@example(["/a", "/a/", "/a/b", "/a/b/"], [], ["/a", "/ab", "/a/b", "/a/b/c"])
@example(["/a/"], ["/a/b/"], ["/a/b/" + "/" * 5_000, "/a/" * 5_000])
def test_route_equals_the_result_of_a_linear_search(first, second, paths):
    """Guards against a lookup that misses a route, prefers a shorter prefix or finds a
    route of another host, also for prefixes that don't end with a slash."""
    prefixes = dict(zip(HOSTS, (first, second)))
    configuration = RoutingConfiguration(
        1, {h: sorted_routes([make_route(p) for p in ps]) for h, ps in prefixes.items()}
    )
    for host, host_prefixes in prefixes.items():
        for path in (*paths, *host_prefixes):
            route = find_route(configuration, host, path)
            found = None if route is None else route.path_prefix
            assert found == longest_match(host_prefixes, path)
    assert find_route(configuration, "c.example", paths[0]) is None
