"""Measures what a change of the configuration costs the link and the CPU of one entry.

The baseline of each ratio is the line with the whole document, as entries of earlier
versions get it, in the same run. Times are the minimum over several rounds.

    python -m benchmarks.configuration_transfer
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable

from pollenfold.control.state_responses import StateResponses
from pollenfold.core.replicated_state import ReplicatedState
from pollenfold.wire.document_transfer import decode_transfer
from pollenfold.wire.lines import encode_line

N_ROUNDS = 5
N_HOSTS = 70
ROUTE_COUNTS = (1_400, 14_000)


def make_document(version: int, weights: list[float]) -> str:
    """Return a configuration with a route for each weight."""
    rng = random.Random(1)
    hosts = [{"host": f"h{n}.example", "paths": []} for n in range(N_HOSTS)]
    for number, weight in enumerate(weights):
        route = {
            "name": f"route-{number}",
            "pathPrefix": f"/{rng.getrandbits(48):x}/",
            "kind": "safe",
            "timeoutMs": 1200,
            "trafficSplit": [
                {"service": "booking", "weight": weight},
                {"service": "workshop", "weight": 10},
            ],
        }
        hosts[number % N_HOSTS]["paths"].append(route)
    return json.dumps({"version": version, "services": [], "hosts": hosts})


def best_ms(measured: Callable[[], object]) -> float:
    """Return the shortest time of several rounds."""
    best_s = float("inf")
    for _ in range(N_ROUNDS):
        start = time.perf_counter()
        measured()
        best_s = min(best_s, time.perf_counter() - start)
    return best_s * 1000


def state_line(states: list[ReplicatedState], request: dict[str, int]) -> bytes:
    """Return the first response of a replica that applied the states."""
    responses = StateResponses()
    for state in states:
        responses.record(state)
    return encode_line({"orders": responses.encode(states[-1], request)})


def apply_line(line: bytes, held: ReplicatedState) -> str:
    """Return the document that an entry reads from a line."""
    fields = json.loads(line)["orders"]
    if "document" in fields:
        return fields["document"]
    return decode_transfer(fields["transfer"], held.version, held.document)


def report(change: str, held_weights: list[float], weights: list[float]) -> None:
    """Print bytes and times of one change."""
    held = ReplicatedState(1, 1, make_document(1, held_weights))
    states = [held, ReplicatedState(2, 2, make_document(2, weights))]
    requests = {
        "document": {"index": 1, "version": 1},
        "whole": {"index": 1, "version": 0, "transfer": 1},
        "difference": {"index": 1, "version": 1, "transfer": 1},
    }
    figures = {}
    for form, request in requests.items():
        line = state_line(states, request)
        assert apply_line(line, held) == states[-1].document
        figures[form] = (
            len(line),
            best_ms(lambda request=request: state_line(states, request)),
            best_ms(lambda line=line: apply_line(line, held)),
        )
    baseline = figures["document"]
    for form, values in figures.items():
        n_bytes, encode_ms, apply_ms = values
        ratios = [value / of for value, of in zip(values, baseline, strict=True)]
        print(
            f"n_routes={len(weights)} change={change} form={form} bytes={n_bytes} "
            f"encode_ms={encode_ms:.2f} apply_ms={apply_ms:.2f} "
            f"bytes_ratio={ratios[0]:.5f} encode_ratio={ratios[1]:.2f} "
            f"apply_ratio={ratios[2]:.2f}"
        )


def main() -> None:
    """Print the figures of all sizes and changes."""
    for n_routes in ROUTE_COUNTS:
        held = [50.0] * n_routes
        changed = [60.0, *held[1:]]
        rng = random.Random(2)
        report("one_weight", held, changed)
        report("all_weights", held, [rng.randrange(1, 100) for _ in held])
        report("most_routes_new", held[: n_routes // 20], held)


if __name__ == "__main__":
    main()
