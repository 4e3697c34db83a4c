"""Cost of the endpoint table: digest exchange, push and memory for each endpoint.

Run ``python -m benchmarks.membership_cost``. It prints ``name=value`` lines for three
table sizes. ``cpu_us`` is the CPU time of both sides together. The baseline sends the
complete table as JSON in each exchange.
"""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, replace

from pollenfold.core.clock import Instant
from pollenfold.core.membership import (
    AgedEndpoint,
    Endpoint,
    EndpointTable,
    WarmState,
    merge_endpoints,
)
from pollenfold.testing.endpoints import make_endpoint
from pollenfold.wire.membership import (
    Push,
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)

SIZES = (120, 480, 1200)
N_SERVICES = 38
N_ROUNDS = 20
RENEWED_SHARE = 0.5
"""Share of the heartbeat counters that grow between two exchanges of two entries."""

NOW = Instant(0.0)


def make_endpoints(n_endpoints: int) -> list[Endpoint]:
    """Return distinct endpoints spread over the services."""
    return [
        make_endpoint(
            service=f"service-{index % N_SERVICES:02d}",
            host=f"10.0.{index // 250}.{index % 250 + 1}",
            zone=f"zone-{index % 6}",
            incarnation=1_760_000_000_000 + index,
            heartbeat=1000 + index,
            warm=WarmState(1, True, 3),
        )
        for index in range(n_endpoints)
    ]


def make_table(endpoints: list[Endpoint]) -> EndpointTable:
    table = EndpointTable()
    for endpoint in endpoints:
        table.merge(endpoint, NOW)
    return table


def renew(table: EndpointTable, endpoints: list[Endpoint], heartbeat: int) -> None:
    """Merge a higher heartbeat counter for every second endpoint into a table."""
    for endpoint in endpoints[:: round(1 / RENEWED_SHARE)]:
        table.merge(replace(endpoint, heartbeat=heartbeat), NOW)


def exchange(left: EndpointTable, right: EndpointTable) -> int:
    """Run one digest exchange and return its size in bytes."""
    sent = left.digest()
    request = encode_request(sent)
    received = decode_request(request)
    right.renew(received, NOW)
    response = encode_response(right.difference(received, NOW))
    left.renew_from_difference(sent, decode_response(response), NOW)
    return len(request) + len(response)


def push(sender: list[Endpoint], receiver: EndpointTable) -> int:
    """Push endpoints to a table and return the size in bytes."""
    request = encode_request(Push(tuple(AgedEndpoint(e) for e in sender)))
    for entry in decode_request(request).entries:
        receiver.merge(entry.endpoint, NOW, entry.age_ms)
    return len(request) + len(encode_response(None))


def baseline_exchange(left: list[Endpoint], right: list[Endpoint]) -> int:
    """Send a complete table as JSON and merge it; return the size in bytes."""
    request = json.dumps([asdict(endpoint) for endpoint in left]).encode()
    for value, known in zip(json.loads(request), right, strict=True):
        value["warm"] = WarmState(**value["warm"])
        merge_endpoints(known, Endpoint(**value))
    return len(request)


def measure(run: Callable[[int], int]) -> tuple[float, float]:
    """Return the mean bytes and CPU microseconds per round."""
    gc.collect()
    n_bytes = 0
    start = time.process_time()
    for index in range(N_ROUNDS):
        n_bytes += run(index)
    cpu_us = (time.process_time() - start) * 1e6
    return n_bytes / N_ROUNDS, cpu_us / N_ROUNDS


def measure_exchange(endpoints: list[Endpoint]) -> tuple[float, float]:
    """Return bytes and CPU microseconds per exchange, without the renewals."""
    left, right = make_table(endpoints), make_table(endpoints)
    n_bytes, cpu_s = 0, 0.0
    for index in range(N_ROUNDS):
        renew(left, endpoints, 10_000 + 2 * index)
        renew(right, endpoints[1:], 10_001 + 2 * index)
        start = time.process_time()
        n_bytes += exchange(left, right)
        cpu_s += time.process_time() - start
        assert left.digest() == right.digest()
    return n_bytes / N_ROUNDS, cpu_s * 1e6 / N_ROUNDS


def memory_bytes(endpoints: list[Endpoint]) -> int:
    """Return the memory used by a table and its endpoints."""
    payload = encode_request(Push(tuple(AgedEndpoint(e) for e in endpoints)))
    gc.collect()
    tracemalloc.start()
    table = EndpointTable()
    for entry in decode_request(payload).entries:
        table.merge(entry.endpoint, NOW)
    for index in range(N_SERVICES):
        table.endpoints(f"service-{index:02d}")
    table.digest()
    gc.collect()
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return n_bytes


def main() -> None:
    """Print the figures of each size."""
    for size in SIZES:
        endpoints = make_endpoints(size)
        receiver = make_table(endpoints)

        def push_all(index: int) -> int:
            changed = [
                replace(e, warm=WarmState(2 + index, True, 3)) for e in endpoints
            ]
            return push(changed, receiver)

        def push_one(index: int) -> int:
            changed = replace(endpoints[0], warm=WarmState(100 + index, True, 3))
            return push([changed], receiver)

        figures = {
            "exchange": measure_exchange(endpoints),
            "baseline_exchange": measure(
                lambda _: baseline_exchange(endpoints, endpoints)
            ),
            "push": measure(push_all),
        }
        for name, (n_bytes, cpu_us) in figures.items():
            print(f"n={size}.{name}_bytes_per_endpoint={n_bytes / size:.2f}")
            print(f"n={size}.{name}_cpu_us_per_endpoint={cpu_us / size:.3f}")
        n_bytes, cpu_us = measure(push_one)
        print(f"n={size}.push_of_one_bytes={n_bytes:.0f}")
        print(f"n={size}.push_of_one_cpu_us={cpu_us:.1f}")
        memory = memory_bytes(endpoints)
        print(f"n={size}.memory_bytes_per_endpoint={memory / size:.0f}")


if __name__ == "__main__":
    main()
