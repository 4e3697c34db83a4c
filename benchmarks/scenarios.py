"""Zone evacuations, faults, bursts and idle cost on complete systems of processes.

Each figure is printed on one ``name=value`` line with its baseline or limit from the
same run. ``python -m benchmarks.scenarios --seed 1`` runs only these scenarios.
"""

from __future__ import annotations

import json
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import curio
from pydantic_settings import BaseSettings, SettingsConfigDict

from pollenfold.observe.clock import system_clock

from .cluster import BackendAddress, Cluster, HealthChecks, Topology, service_record
from .fits import processor_s, stream_bytes_by_process
from .load import CallKind, LoadPlan, LoadResult, run_load
from .processes import ProcessGroup, request, wait_until
from .windows import Window, hurt_line, window, window_lines

LOAD_SHARE = 0.6
"""Offered load as a share of the capacity of all slots of the service."""

ZONE = "b"
ZONE_LIMIT_S = 3.0
"""Documented limit after which an evacuated zone receives no new requests."""

MOVE_S = 10.0
PHASE_S = 6.0
IDLE_S = 5.0
ENTRY_KILLED_AFTER_S = 1.0

CPU_LIMIT_PERCENT = 2.2
BYTES_LIMIT_PER_S = 21_000
"""Documented limits of the control overhead per node."""

Fault = dict[str, Any]
Action = Callable[[], Awaitable[None]]

BOOKING = Topology(
    services=("booking",), n_backends_per_service=12, service_ms=60, slots=4
)
PEARL_MARKET = Topology(
    services=("pearl-market",), n_backends_per_service=12, service_ms=80, slots=6
)


@dataclass(slots=True)
class ScenarioSystem:
    """A running system with a single service, and the load on it."""

    cluster: Cluster
    checks: HealthChecks
    seed: int
    n_loads: int = 0

    @property
    def rate_per_s(self) -> float:
        """The rate that occupies ``LOAD_SHARE`` of the slots."""
        topology = self.cluster.topology
        n_slots = topology.n_backends_per_service * topology.slots
        return LOAD_SHARE * n_slots / topology.service_ms * 1000

    @property
    def service(self) -> str:
        """The name of the service."""
        return self.cluster.topology.services[0]

    async def load(self, duration_s: float, is_bursty: bool = False) -> LoadResult:
        """Send open-loop load to the healthy entries; each call has its own seed."""
        self.n_loads += 1
        kinds = (
            CallKind("idempotent", "GET", f"/{self.service}/status", 0.9),
            CallKind("with_key", "POST", f"/{self.service}/orders", 0.1, has_key=True),
        )
        plan = LoadPlan(
            self.cluster.targets,
            self.rate_per_s,
            duration_s * 1000,
            self.seed + self.n_loads,
            kinds=kinds,
            is_bursty=is_bursty,
            n_connections=256,
            name=f"{self.service}-{self.n_loads}",
            healthy=self.checks.healthy_targets,
        )
        return await run_load(plan)


async def configure_backend(backend: BackendAddress, **fields: Any) -> None:
    """Send a fault table or actions to a fake backend server."""
    body = json.dumps(fields).encode()
    response = await request(
        backend.host, backend.port, "POST", "/stand-in/faults", body
    )
    if response is None or response.status != 200:
        raise RuntimeError(f"{backend.name} did not accept the fault settings {fields}")


def warm_endpoints(cluster: Cluster) -> set[str]:
    """Return the endpoints whose latest change logged by any entry was to warm."""
    lines = []
    for entry in cluster.entries:
        log = cluster.group.processes[entry.entry_id].log.read_text()
        lines += [line for line in log.splitlines() if "event=warm_state" in line]
    # Each line starts with its time, so sorting orders the lines of all entries.
    is_warm_by_endpoint = {}
    for line in sorted(lines):
        fields = dict(part.partition("=")[::2] for part in line.split())
        is_warm_by_endpoint[fields["endpoint"]] = fields["is_warm"] == "True"
    return {name for name, is_warm in is_warm_by_endpoint.items() if is_warm}


async def warm_up(system: ScenarioSystem) -> None:
    """Send load until every server is warm for the entries, then for two more seconds.

    The entries complete their warm-up ramps later than a fake server turns warm.
    """

    async def is_warm() -> bool:
        await system.load(1)
        return len(warm_endpoints(system.cluster)) == len(system.cluster.backends)

    await wait_until(is_warm, 30, "warm backend servers")
    await system.load(2)


async def total_counts(cluster: Cluster) -> Counter[str]:
    """Return the counters summed over all backend servers."""
    sums: Counter[str] = Counter()
    for backend in cluster.backends:
        counts = await cluster.counts(backend)
        for name in ("n_probes", "n_probe_bytes", "n_report_bytes", "n_received"):
            sums[name] += counts[name]
    return sums


async def measure_steady_phase(system: ScenarioSystem) -> tuple[Window, list[str]]:
    """Measure the steady latencies and the probe cost over the same time."""
    before, start = await total_counts(system.cluster), system_clock()
    result = await system.load(PHASE_S)
    used = await total_counts(system.cluster)
    used.subtract(before)
    elapsed_s = (system_clock() - start) / 1000
    topology = system.cluster.topology
    spec = service_record(system.service, 1, topology.slots)["spec"]
    steady = window(result.outcomes)
    limit_bytes = spec["probe_bytes_per_s"]
    n_bytes = used["n_probe_bytes"] + used["n_report_bytes"]
    lines = [
        f"probes.per_s={used['n_probes'] / elapsed_s:.2f} "
        f"limit={spec['probes_per_s']} elapsed_s={elapsed_s:.1f}",
        f"probes.bytes_per_s={used['n_probe_bytes'] / elapsed_s:.0f} "
        f"limit={limit_bytes} without=first_lines",
        f"probes_and_reports.bytes_per_s={n_bytes / elapsed_s:.0f} "
        f"limit={limit_bytes} responses_per_s={steady.n_sent / elapsed_s:.0f}",
    ]
    return steady, lines


async def measure_zone_removal(system: ScenarioSystem, steady: Window) -> list[str]:
    """Evacuate the zone under load; its idle servers then turn cold."""
    cluster = system.cluster
    start = system_clock()
    load = await curio.spawn(system.load, MOVE_S)
    command = await curio.spawn(cluster.run_operator_command, "zone", "out", ZONE)
    await curio.sleep(ZONE_LIMIT_S)
    n_before = await cluster.received_in_zone(ZONE)
    result = await load.join()
    n_late = await cluster.received_in_zone(ZONE) - n_before
    await command.join()
    for backend in cluster.backends:
        if backend.zone == ZONE:
            await configure_backend(backend, actions=["turn_cold"])
    limit_at = start + ZONE_LIMIT_S * 1000
    n_left = sum(b.zone != ZONE for b in cluster.backends)
    share_left = LOAD_SHARE * len(cluster.backends) / n_left
    early = window(result.outcomes, to_ms=limit_at)
    late = window(result.outcomes, from_ms=limit_at)
    return [
        f"zone_out.share_of_slots_left={share_left:.2f} steady={LOAD_SHARE}",
        *window_lines("zone_out.first_3_s", early, steady),
        *window_lines("zone_out.after_3_s", late, steady, 1.5),
        hurt_line("zone_out", window(result.outcomes), steady),
        f"zone_out.new_work_after_3_s={n_late} limit=0",
    ]


async def measure_zone_return(system: ScenarioSystem, steady: Window) -> list[str]:
    """Return the zone to service under load; its servers are cold."""
    cluster = system.cluster
    cold = [b for b in cluster.backends if b.zone == ZONE]
    n_before = [(await cluster.counts(b))["n_overload_violations"] for b in cold]
    n_received = await cluster.received_in_zone(ZONE)
    load = await curio.spawn(system.load, MOVE_S)
    await cluster.run_operator_command("zone", "in", ZONE)
    result = await load.join()
    n_received = await cluster.received_in_zone(ZONE) - n_received
    zone_share = n_received / len(result.outcomes)
    counts = [await cluster.counts(b) for b in cold]
    max_in_flight = max(c["greatest_in_flight_cold"] for c in counts)
    n_over = sum(c["n_overload_violations"] for c in counts) - sum(n_before)
    n_cold = sum(c["cold"] for c in counts)
    after_return = window(result.outcomes)
    return [
        *window_lines("zone_in", after_return, steady),
        hurt_line("zone_in", after_return, steady),
        f"zone_in.greatest_work_at_cold_server={max_in_flight} limit_cold_slots=1",
        f"zone_in.requests_over_cold_slots={n_over} limit=0",
        f"zone_in.received_share={zone_share:.4f} "
        f"fair_share={len(cold) / len(cluster.backends):.4f}",
        f"zone_in.servers_still_cold={n_cold} of={len(cold)}",
    ]


async def measure_idle_cost(cluster: Cluster) -> list[str]:
    """Measure the idle cost of the control and ledger processes."""
    names = [replica.replica_id for replica in (*cluster.control, *cluster.ledger)]
    ids = {name: cluster.group.processes[name].popen.pid for name in names}
    before, start = {n: processor_s(pid) for n, pid in ids.items()}, system_clock()
    bytes_before = stream_bytes_by_process()
    await curio.sleep(IDLE_S)
    elapsed_s = (system_clock() - start) / 1000
    bytes_after = stream_bytes_by_process()
    lines = []
    for name, pid in ids.items():
        share = (processor_s(pid) - before[name]) / elapsed_s * 100
        lines.append(f"idle.{name}.cpu_percent={share:.2f} limit={CPU_LIMIT_PERCENT}")
        rate = "not_run"
        if bytes_before is not None and bytes_after is not None:
            rate = f"{(bytes_after[pid] - bytes_before[pid]) / elapsed_s:.0f}"
        lines.append(f"idle.{name}.bytes_per_s={rate} limit={BYTES_LIMIT_PER_S}")
    return lines


async def run_fault_phase(
    system: ScenarioSystem,
    name: str,
    base: LoadResult | None,
    action: Action | None = None,
    is_bursty: bool = False,
) -> LoadResult:
    """Run a phase and print its figures with the phase without fault as baseline."""
    load = await curio.spawn(system.load, PHASE_S, is_bursty)
    if action is not None:
        await action()
    result: LoadResult = await load.join()
    base = base or result
    for kind, class_result in result.classes.items():
        for percentile in (99, 99.9):
            value = class_result.percentile_ms(percentile)
            steady = base.classes[kind].percentile_ms(percentile)
            print(
                f"{name}.{kind}.p{percentile}_ms={value:.1f} no_fault={steady:.1f} "
                f"ratio={value / steady:.2f}"
            )
        reasons = "".join(
            f" {error}={n}" for (error, _), n in sorted(class_result.refusals.items())
        )
        print(
            f"{name}.{kind}.refused={class_result.refusals.total()} "
            f"no_fault={base.classes[kind].refusals.total()} "
            f"broken={class_result.broken.total()} wrong={class_result.wrong.total()} "
            f"sent={class_result.n_sent}{reasons}"
        )
    goodput, steady = (
        load_result.n_complete / sum(c.n_sent for c in load_result.classes.values())
        for load_result in (result, base)
    )
    print(f"{name}.goodput_share={goodput:.4f} no_fault={steady:.4f}", flush=True)
    return result


async def run_fail_fast_phase(system: ScenarioSystem, base: LoadResult) -> None:
    """Make one server fail fast; print the share of requests that it received."""
    cluster, failing = system.cluster, system.cluster.backends[2]
    await configure_backend(failing, faults=[{"kind": "fail_fast"}])
    all_before = (await total_counts(cluster))["n_received"]
    before = (await cluster.counts(failing))["n_received"]
    await run_fault_phase(system, "fail_fast", base)
    n_received = (await cluster.counts(failing))["n_received"] - before
    n_all = (await total_counts(cluster))["n_received"] - all_before
    print(
        f"fail_fast.received_share={n_received / n_all:.4f} "
        f"fair_share={1 / len(cluster.backends):.4f}",
        flush=True,
    )
    await configure_backend(failing, faults=[])


async def run_faults(system: ScenarioSystem) -> None:
    """Run the fault phases, with a recovery phase after each persistent fault."""
    cluster = system.cluster
    base = await run_fault_phase(system, "no_fault", None)
    await run_fault_phase(system, "burst", base, is_bursty=True)
    slow, noisy = cluster.backends[:2]
    await configure_backend(slow, faults=[{"kind": "slow", "factor": 5}])
    await configure_backend(
        noisy, faults=[{"kind": "slow", "factor": 10, "share": 0.1}]
    )
    await run_fault_phase(system, "slow_and_noisy", base)
    for backend in (slow, noisy):
        await configure_backend(backend, faults=[])
    await system.load(2)
    await run_fail_fast_phase(system, base)
    await system.load(2)

    async def kill() -> None:
        await curio.sleep(ENTRY_KILLED_AFTER_S)
        cluster.group.processes[cluster.entries[0].entry_id].kill()

    await run_fault_phase(system, "killed_entry", base, kill)


async def run_zone_move(system: ScenarioSystem) -> None:
    """Evacuate a zone and return it to service; print the figures and the idle cost."""
    steady, lines = await measure_steady_phase(system)
    lines += window_lines("zone_steady", steady, steady)
    lines += await measure_idle_cost(system.cluster)
    await system.load(1)
    lines += await measure_zone_removal(system, steady)
    lines += await measure_zone_return(system, steady)
    print("\n".join(lines), flush=True)


async def run_scenario(
    topology: Topology,
    folder: Path,
    seed: int,
    scenario: Callable[[ScenarioSystem], Awaitable[None]],
) -> None:
    """Start a system, warm up its servers, and run a scenario on it."""
    with ProcessGroup(folder) as group:
        cluster = Cluster(group, topology)
        await cluster.start()
        await cluster.wait_until_serving()
        async with HealthChecks(cluster.entries) as checks:
            system = ScenarioSystem(cluster, checks, seed)
            print(
                f"{system.service}.rate_per_s={system.rate_per_s:.0f} "
                f"entries={topology.n_entries} "
                f"endpoints={topology.n_backends_per_service} "
                f"slots={topology.slots} service_ms={topology.service_ms} "
                f"share_of_slots={LOAD_SHARE}",
                flush=True,
            )
            await warm_up(system)
            await scenario(system)


async def run_scenarios(folder: Path, seed: int) -> None:
    """Run the zone evacuation, then the faults, each on its own system."""
    await run_scenario(BOOKING, folder / "zone", seed, run_zone_move)
    await run_scenario(PEARL_MARKET, folder / "faults", seed, run_faults)


class ScenarioSettings(BaseSettings):
    """Flags of the scenarios.

    With ``folder``, the logs and data folders are written there and kept; otherwise
    they are deleted.
    """

    model_config = SettingsConfigDict(cli_kebab_case=True)

    seed: int = 1
    folder: Path | None = None


def main() -> int:
    """Run the scenarios with the flags of the command line."""
    settings = ScenarioSettings(_cli_parse_args=True)  # type: ignore[call-arg]
    with tempfile.TemporaryDirectory() as temporary:
        curio.run(run_scenarios, settings.folder or Path(temporary), settings.seed)
    return 0


if __name__ == "__main__":
    sys.exit(main())
