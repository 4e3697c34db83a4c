"""Measures what a configuration costs an entry in proportion to its routes.

First the time of one route lookup with 70, 1,400 and 14,000 routes on one host, as a
ratio to the lookup with 70 routes; for comparison also a search through all routes in
turn. Then the longest pause of the loop while a configuration replaces another one,
decoded in one step, in slices, and in slices with routes that are known from the
replaced one, as a ratio to one step. A pause is CPU time of the thread, so that other
work on the machine doesn't count. The minimum over several rounds is printed, because
such work can only increase the time.

    python -m benchmarks.route_cost
"""

from __future__ import annotations

import gc
import json
import time
from collections.abc import Callable

import curio

from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.core.routes import Route, RoutingConfiguration, find_route
from pollenfold.core.slices import in_one_step
from pollenfold.gateway.state_loader import Decode
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.platform.documents import (
    configuration_decoder,
    configuration_steps,
    decode_configuration,
)
from pollenfold.testing.configurations import large_configuration

N_ROUTES = (70, 1_400, 14_000)
N_ROUNDS = 7
N_PATHS = 200
"""Paths looked up in a round; they are spread over all routes, and every tenth has no
route."""

N_RELOADED_ROUTES = (1_400, 14_000)

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


async def reload_ms(decode: Decode, n_routes: int) -> tuple[float, float]:
    """Return the longest pause and the time until a second version is in force, in ms.

    The pause includes the release of the first version.
    """
    view = FleetView(decode, system_clock, EventLog("e1", system_clock, write=len))
    documents = [
        json.dumps(large_configuration(n_routes, version=version)) for version in (1, 2)
    ]
    # As the gateway does when it has started.
    gc.collect()
    gc.freeze()
    in_force_ms = longest_ms = 0.0
    for version, document in enumerate(documents, start=1):
        state = ReplicatedState(version, version, document).encode()
        last_s = time.thread_time()
        started_s = time.perf_counter()
        in_force_ms = longest_ms = 0.0
        view.apply_replicated_state(state, "benchmark")
        await view.finish_loading()
        ended_s = time.perf_counter() + 1.0
        while not in_force_ms or time.perf_counter() < ended_s:
            if not in_force_ms and view.replicated_state.version == version:
                in_force_ms = (time.perf_counter() - started_s) * 1000
                # The routes of the previous version are released afterwards.
                ended_s = time.perf_counter() + 0.1 + in_force_ms / 1000
            longest_ms = max(longest_ms, (time.thread_time() - last_s) * 1000)
            last_s = time.thread_time()
            await curio.sleep(0)
    gc.unfreeze()
    return longest_ms, in_force_ms


def print_lookups() -> None:
    """Print the time of a lookup."""
    for name, find in (("in turn", find_in_turn), ("by prefix", find_route)):
        times_us = [lookup_us(find, n_routes) for n_routes in N_ROUTES]
        for n_routes, time_us in zip(N_ROUTES, times_us, strict=True):
            ratio = time_us / times_us[0]
            print(
                f"lookup {name:10} {n_routes:6} routes {time_us:8.2f} us {ratio:7.2f}"
            )


def print_reloads() -> None:
    """Print the longest pause and the duration of a change of the configuration."""
    decoders: dict[str, Callable[[], Decode]] = {
        "one step": lambda: in_one_step(decode_configuration),
        "slices": lambda: configuration_steps,
        "known": configuration_decoder,
    }
    for n_routes in N_RELOADED_ROUTES:
        baseline_ms = 0.0
        for name, decode in decoders.items():
            rounds = [curio.run(reload_ms, decode(), n_routes) for _ in range(N_ROUNDS)]
            pause_ms = min(pause_ms for pause_ms, _ in rounds)
            in_force_ms = min(in_force_ms for _, in_force_ms in rounds)
            baseline_ms = baseline_ms or pause_ms
            print(
                f"reload {name:10} {n_routes:6} routes {pause_ms:8.2f} ms pause "
                f"{pause_ms / baseline_ms:7.2f} {in_force_ms:8.1f} ms until in force"
            )


def main() -> None:
    """Print both tables."""
    print_lookups()
    print_reloads()


if __name__ == "__main__":
    main()
