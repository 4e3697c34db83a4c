"""Measures what a configuration costs an entry in proportion to its routes.

The time of one route lookup with 70, 1,400 and 14,000 routes on one host, as a ratio to
the lookup with 70 routes; and for comparison the same for a search through all routes
in turn. The minimum over several rounds is printed, because other work on the machine
can only increase the time.

    python -m benchmarks.route_cost
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from pollenfold.core.routes import Route, RoutingConfiguration, find_route
from pollenfold.platform.documents import decode_configuration
from pollenfold.testing.configurations import large_configuration

N_ROUTES = (70, 1_400, 14_000)
N_ROUNDS = 7
N_PATHS = 200
"""Paths looked up in a round; they are spread over all routes, and every tenth has no
route."""

Find = Callable[[RoutingConfiguration, str, str], Route | None]


def find_in_turn(
    configuration: RoutingConfiguration, host: str, path: str
) -> Route | None:
    """Return the route that ``find_route`` returns, by trying each prefix."""
    for route in configuration.hosts.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def lookup_us(find: Find, n_routes: int) -> float:
    """Return the mean time in us of a lookup on a host with this many routes."""
    document = large_configuration(n_routes, n_hosts=1)
    configuration = decode_configuration(json.dumps(document))
    ((host, routes),) = configuration.hosts.items()
    paths = [
        routes[number * len(routes) // N_PATHS].path_prefix + "x/y"
        if number % 10
        else "/none/x/y"
        for number in range(N_PATHS)
    ]
    best_s = float("inf")
    for _ in range(N_ROUNDS):
        started_s = time.perf_counter()
        for path in paths:
            find(configuration, host, path)
        best_s = min(best_s, time.perf_counter() - started_s)
    return best_s / N_PATHS * 1e6


def main() -> None:
    """Print the table."""
    for name, find in (("in turn", find_in_turn), ("by prefix", find_route)):
        times_us = [lookup_us(find, n_routes) for n_routes in N_ROUTES]
        for n_routes, time_us in zip(N_ROUTES, times_us, strict=True):
            ratio = time_us / times_us[0]
            print(
                f"lookup {name:10} {n_routes:6} routes {time_us:8.2f} us {ratio:7.2f}"
            )


if __name__ == "__main__":
    main()
