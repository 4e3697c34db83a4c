"""Large configuration documents for tests and benchmarks."""

from __future__ import annotations

import random
from typing import Any

ALPHABET = "bcdfghjklmnprstvz0123456789"
N_SERVICES = 6
TIMEOUTS_MS = (800, 1_200, 2_500)
SPLIT_EVERY_ROUTES = 4
"""Every fourth route distributes its requests over two services."""


def large_configuration(
    n_routes: int, n_hosts: int = 10, version: int = 1, seed: int = 1
) -> dict[str, Any]:
    """Return a valid configuration with random names and ``n_routes`` routes in all.

    The same arguments always return the same document, and a larger ``n_routes`` with
    the same seed returns the same services.
    """
    rng = random.Random(seed)
    services = [_service(_name(rng)) for _ in range(N_SERVICES)]
    names = [service["name"] for service in services]
    hosts: list[dict[str, Any]] = [
        {"host": f"{_name(rng)}.example", "paths": []} for _ in range(n_hosts)
    ]
    for number in range(n_routes):
        hosts[number % n_hosts]["paths"].append(_route(rng, number, names))
    return {
        "version": version,
        "services": services,
        "limits": {
            "headerBytes": 16_384,
            "bodyBytes": 67_108_864,
            "headerMs": 3_000,
            "idleMs": 15_000,
        },
        "hosts": hosts,
    }


def _name(rng: random.Random) -> str:
    return "".join(rng.choices(ALPHABET, k=7))


def _service(name: str) -> dict[str, Any]:
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 220,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "warmupPerS": 9.2,
    }


def _route(rng: random.Random, number: int, services: list[str]) -> dict[str, Any]:
    route: dict[str, Any] = {
        "name": f"r-{number}-{_name(rng)}",
        "pathPrefix": f"/{_name(rng)}{number}/",
        "kind": rng.choice(("safe", "unsafe")),
        "timeoutMs": rng.choice(TIMEOUTS_MS),
        "targetLatencyMs": 250,
        "priority": rng.randrange(3),
        "maxAttempts": 2,
    }
    if number % SPLIT_EVERY_ROUTES:
        route["service"] = rng.choice(services)
    else:
        weight = rng.randrange(1, 100)
        route["trafficSplit"] = [
            {"service": services[0], "weight": weight},
            {"service": services[1], "weight": 100 - weight},
        ]
    return route
