"""Measures the CPU time of an entry per call, and that of the baseline forwarder.

One entry process receives calls at several rates. The slope of its CPU time over the
rate is the cost of a call, and the intercept is the idle cost. The control replicas and
the ledger run as in production.

    python -m benchmarks.call_cost --rates 100 200 300
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

import curio

from .fits import fit_line, processor_s, resident_mb
from .load import CallKind, LoadPlan, run_load
from .processes import ProcessGroup
from .run import start_entry, start_forwarder

PHASE_S = 4.0
N_ROUNDS = 3
"""Each round measures every rate on every path in turn, so that a drift of the
machine's load affects all paths alike."""

KINDS = {
    "idempotent": CallKind("idempotent", "GET", "/pearl-market/stock", 1.0),
    "non_idempotent": CallKind("non_idempotent", "POST", "/pearl-market/orders", 1.0),
}


async def measure(
    group: ProcessGroup,
    path: str,
    address: tuple[str, int],
    kind: str,
    plan_seed: int,
    rate_per_s: float,
) -> tuple[float, float]:
    """Return complete responses per second and CPU seconds per second."""
    process_id = group.processes[path].popen.pid
    plan = LoadPlan(
        (address,),
        rate_per_s,
        PHASE_S * 1000,
        plan_seed,
        kinds=(KINDS[kind],),
        name=f"{path}-{kind}-{plan_seed}",
    )
    before_s = processor_s(process_id)
    result = await run_load(plan)
    used_s = processor_s(process_id) - before_s
    return result.n_complete / PHASE_S, used_s / PHASE_S


async def run(rates: list[int]) -> None:
    """Print the fit of each path and kind, and the entry's resident memory."""
    with tempfile.TemporaryDirectory() as folder:
        with ProcessGroup(Path(folder)) as group:
            paths = await start_entry(group)
            forwarder = await start_forwarder(group, paths["direct"])
            cases = [
                ("forwarder", forwarder, "idempotent"),
                ("e1", paths["entry"], "idempotent"),
                ("e1", paths["entry"], "non_idempotent"),
            ]
            points: dict[str, list[tuple[float, float]]] = {}
            for n_round in range(N_ROUNDS):
                for rate in rates:
                    for path, address, kind in cases:
                        seed = n_round * 1000 + rate
                        point = await measure(group, path, address, kind, seed, rate)
                        points.setdefault(f"{path}.{kind}", []).append(point)
            for name, measured in points.items():
                line = fit_line(f"call.{name}.processor_s", "s for each call", measured)
                print(line, flush=True)
            entry_id = group.processes["e1"].popen.pid
            print(f"call.e1.memory_mb={resident_mb(entry_id):.1f}")


def main() -> None:
    """Run with the rates of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=int, nargs="+", default=[50, 150, 250])
    curio.run(run, parser.parse_args().rates)


if __name__ == "__main__":
    main()
