"""Runs the benchmarks and prints each figure with its baseline from the same run.

Called by ``scripts/bench``. The baseline of the forwarder and of the entry is the same
load sent directly to the backend server.
"""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from statistics import median

import curio
from pydantic import Field
from pydantic_settings import BaseSettings, SettingsConfigDict

from .cluster import Cluster, Topology
from .load import ClassResult, LoadPlan, LoadResult, run_closed_loop, run_load
from .policies import compare_policies
from .processes import (
    ProcessGroup,
    backend_command,
    daemons_exist,
    forwarder_command,
    free_ports,
    wait_healthy,
    wait_listening,
)
from .scenarios import run_scenarios

PERCENTILES = (50.0, 99.0, 99.9)

Address = tuple[str, int]


class BenchSettings(BaseSettings):
    """Flags of the benchmarks; each round sends one phase of load to each path."""

    model_config = SettingsConfigDict(cli_kebab_case=True)

    seed: int = 1
    rate_per_s: float = Field(default=300, gt=0)
    n_rounds: int = Field(default=15, ge=1)
    phase_s: float = Field(default=1, gt=0)
    at_most_s: float = Field(default=3, gt=0)


async def start_entry(group: ProcessGroup) -> dict[str, Address]:
    """Start a complete system with one entry and one backend server.

    Return the addresses of the direct path and of the path through the entry. The first
    round of calls warms the backend server up.
    """
    topology = Topology(
        n_entries=1,
        services=("pearl-market",),
        n_backends_per_service=1,
        service_ms=0,
        slots=64,
    )
    cluster = Cluster(group, topology)
    await cluster.start()
    await cluster.wait_until_serving()
    backend = cluster.backends[0]
    return {"direct": (backend.host, backend.port), "entry": cluster.targets[0]}


async def start_direct_backend(group: ProcessGroup) -> Address:
    """Start a backend server with service time 0; a longer one would hide overhead."""
    host = "127.0.1.1"
    port = free_ports(host, 1)[0]
    command = backend_command(
        host=host,
        port=port,
        service_ms=0,
        slots=64,
        queue_limit=200,
        starts_cold="false",
    )
    group.start("backend", command)
    await wait_healthy(host, port)
    return host, port


async def start_forwarder(group: ProcessGroup, backend: Address) -> Address:
    """Start the baseline forwarder in front of the backend server."""
    host = "127.0.1.2"
    port = free_ports(host, 1)[0]
    target = f"{backend[0]}:{backend[1]}"
    group.start("forwarder", forwarder_command(host=host, port=port, targets=target))
    await wait_listening(host, port)
    return host, port


async def measure_latency(
    paths: dict[str, Address],
    settings: BenchSettings,
    n_rounds: int,
    is_bursty: bool = False,
) -> dict[str, dict[str, ClassResult]]:
    """Send the same calls to each path in turn, in rounds.

    Short alternating rounds spread the load drift of a shared machine over all paths.
    The first round only fills the connection pools and is not counted.
    """
    results: dict[str, dict[str, ClassResult]] = {name: {} for name in paths}
    for n_round in range(n_rounds + 1):
        for name, address in paths.items():
            plan = LoadPlan(
                (address,),
                settings.rate_per_s,
                settings.phase_s * 1000,
                settings.seed + n_round,
                is_bursty=is_bursty,
                name=f"{name}-{'burst-' * is_bursty}{n_round}",
            )
            result = await run_load(plan)
            if n_round == 0:
                continue
            for kind, class_result in result.classes.items():
                results[name].setdefault(kind, ClassResult()).add(class_result)
    return results


async def measure_throughput(
    paths: dict[str, Address], settings: BenchSettings
) -> dict[str, LoadResult]:
    """Measure the maximum throughput of each path."""
    results = {}
    for name, address in paths.items():
        plan = LoadPlan(
            (address,),
            rate_per_s=1,
            duration_ms=settings.at_most_s * 1000,
            seed=settings.seed,
            n_connections=32,
            name=f"{name}-most",
        )
        results[name] = await run_closed_loop(plan)
    return results


def latency_lines(
    results: dict[str, dict[str, ClassResult]], suffix: str = ""
) -> Iterator[str]:
    """Yield the latency of each path with the direct path as baseline."""
    direct = results["direct"]
    for name, classes in results.items():
        for kind, class_result in classes.items():
            for percentile in PERCENTILES:
                value = class_result.percentile_ms(percentile)
                base = direct[kind].percentile_ms(percentile)
                yield (
                    f"{name}{suffix}.{kind}.p{percentile:g}_ms={value:.3f} "
                    f"baseline_direct={base:.3f} added={value - base:.3f}"
                )
            # A single stall of a shared machine dominates the 99th percentile of the
            # complete run, but not the median over the rounds.
            value = median(class_result.round_p99_ms)
            base = median(direct[kind].round_p99_ms)
            yield (
                f"{name}{suffix}.{kind}.median_round_p99_ms={value:.3f} "
                f"baseline_direct={base:.3f} added={value - base:.3f}"
            )
            n_incomplete = class_result.n_sent - class_result.n_complete
            yield (
                f"{name}{suffix}.{kind}.sent={class_result.n_sent} "
                f"not_whole={n_incomplete}"
            )


def throughput_lines(results: dict[str, LoadResult]) -> Iterator[str]:
    """Yield the throughput of each path with the direct path as baseline."""
    base = results["direct"].n_complete / results["direct"].duration_ms * 1000
    for name, result in results.items():
        value = result.n_complete / result.duration_ms * 1000
        yield f"{name}.calls_per_s_at_most={value:.0f} baseline_direct={base:.0f}"


async def run_benchmarks(settings: BenchSettings, folder: Path) -> bool:
    """Print all figures; return whether every latency call had a complete response.

    The throughput runs don't affect the result.
    """
    with ProcessGroup(folder) as group:
        if daemons_exist():
            paths = await start_entry(group)
        else:
            print("entry=not_run", flush=True)
            paths = {"direct": await start_direct_backend(group)}
        paths["forwarder"] = await start_forwarder(group, paths["direct"])
        latency = await measure_latency(paths, settings, settings.n_rounds)
        for line in latency_lines(latency):
            print(line, flush=True)
        burst_latency = await measure_latency(paths, settings, 5, is_bursty=True)
        for line in latency_lines(burst_latency, "_burst"):
            print(line, flush=True)
        throughput = await measure_throughput(paths, settings)
        for line in throughput_lines(throughput):
            print(line, flush=True)
    return all(
        class_result.n_sent == class_result.n_complete
        for classes in (*latency.values(), *burst_latency.values())
        for class_result in classes.values()
    )


def main() -> int:
    """Run everything with the flags of the command line."""
    settings = BenchSettings(_cli_parse_args=True)  # type: ignore[call-arg]
    print(f"seed={settings.seed}", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        all_complete = curio.run(run_benchmarks, settings, Path(folder))
        curio.run(run_scenarios, Path(folder), settings.seed)
    for line in compare_policies([settings.seed, settings.seed + 1, settings.seed + 2]):
        print(line, flush=True)
    return 0 if all_complete else 1


if __name__ == "__main__":
    sys.exit(main())
