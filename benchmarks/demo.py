"""Demo of a complete system under load during zone evacuations and process failures.

Called by ``scripts/demo``. Prints a table with one row per step. The exit status is 1
when a promise was broken and 2 when the system could not be started.
"""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from pathlib import Path

import curio
from pydantic_settings import BaseSettings, SettingsConfigDict

from .cluster import Cluster, HealthChecks, Topology
from .load import (
    Address,
    Call,
    CallKind,
    ClassResult,
    LoadPlan,
    LoadResult,
    Outcome,
    Sender,
    run_load,
)
from .processes import ProcessGroup, daemons_exist, wait_healthy, wait_listening
from .promises import (
    StepResult,
    check_step,
    format_table,
    read_executions,
    refusal_lines,
)

KINDS = (
    CallKind("idempotent", "GET", "/pearl-market/stock/check", 0.3),
    CallKind("lookup", "GET", "/pearl-haul/deliveries/status", 0.2),
    CallKind("with_key", "POST", "/pearl-market/orders/bulk", 0.3, has_key=True),
    CallKind("without_key", "POST", "/pearl-haul/deliveries/confirm", 0.2),
)

ZONE_LIMIT_S = 3.0
"""Documented limit after which an evacuated zone receives no new requests."""

Action = Callable[[], Awaitable[int | None]]
"""Runs during a step; returns the number of late requests in an evacuated zone."""


@dataclass(slots=True)
class DemoRun:
    """The targets of the load, the run logs of the backend servers, and the results."""

    targets: tuple[Address, ...]
    run_logs: list[Path]
    healthy: Collection[Address] | None = None
    rate_per_s: float = 80
    seed: int = 1
    steps: list[StepResult] = field(default_factory=list)


async def run_step(
    demo_run: DemoRun,
    name: str,
    duration_s: float,
    action: Action | None = None,
    *,
    may_abort_requests: bool = False,
    resends_all: bool = False,
) -> StepResult:
    """Send load, run the action half a second later, then resend keys and check.

    Keys with an unknown outcome are sent again through another entry, or all keys with
    ``resends_all``. A failed action counts as a broken promise; the later steps still
    run.
    """
    plan = LoadPlan(
        demo_run.targets,
        demo_run.rate_per_s,
        duration_s * 1000,
        demo_run.seed + len(demo_run.steps),
        kinds=KINDS,
        name=name.replace(" ", "-"),
        healthy=demo_run.healthy,
    )
    task = await curio.spawn(run_load, plan)
    n_late_work, failure = None, ""
    if action is not None:
        await curio.sleep(0.5)
        try:
            n_late_work = await action()
        except (RuntimeError, TimeoutError) as error:
            failure = str(error)
    load = await task.join()
    step = StepResult(
        name, load, may_abort_requests=may_abort_requests, n_late_work=n_late_work
    )
    step.resends = await resend(demo_run, load, resends_all)
    finish_step(demo_run, step)
    if failure:
        step.broken_promises.append(failure)
    return step


def finish_step(demo_run: DemoRun, step: StepResult) -> None:
    """Check a step and store its result; omit violations of earlier steps."""
    executions = read_executions(demo_run.run_logs)
    already_reported = {text for s in demo_run.steps for text in s.broken_promises}
    step.broken_promises = [
        text for text in check_step(step, executions) if text not in already_reported
    ]
    step.max_executions = max(executions.by_key.values(), default=0)
    demo_run.steps.append(step)


async def resend(
    demo_run: DemoRun, load: LoadResult, resends_all: bool
) -> list[Outcome]:
    """Send keys again, each through a different entry than the first time."""
    resent = LoadResult({name: ClassResult() for name in load.classes})
    sender = Sender(LoadPlan(demo_run.targets, 1, 0, demo_run.seed), resent)
    for outcome in list(load.outcomes):
        if not outcome.key or (outcome.state != "unknown" and not resends_all):
            continue
        healthy = demo_run.targets if demo_run.healthy is None else demo_run.healthy
        others = [target for target in demo_run.targets if target != outcome.target]
        target = next((other for other in others if other in healthy), outcome.target)
        call = Call(outcome.kind, 0.0, f"{outcome.request_id}-again", outcome.key)
        await sender.send(call, target)
    await sender.close()
    for name, figures in resent.classes.items():
        load.classes[name].wrong += figures.wrong
    return resent.outcomes


async def take_zone_out(demo_run: DemoRun, cluster: Cluster, zone: str) -> None:
    """Evacuate a zone under load and count the new requests there after the limit.

    The limit counts from the start of the operator's command.
    """

    async def remove_zone() -> int:
        if await cluster.received_in_zone(zone) == 0:
            raise RuntimeError(
                f"expected requests in zone {zone} before the evacuation, got 0"
            )
        command = await curio.spawn(cluster.run_operator_command, "zone", "out", zone)
        await curio.sleep(ZONE_LIMIT_S)
        n_before = await cluster.received_in_zone(zone)
        await curio.sleep(2)
        n_late_work = await cluster.received_in_zone(zone) - n_before
        await _join_command(command)
        return n_late_work

    await run_step(demo_run, f"zone {zone} out", 0.5 + ZONE_LIMIT_S + 2.5, remove_zone)


async def _join_command(command: curio.Task) -> None:
    try:
        await command.join()
    except curio.TaskError as error:
        raise RuntimeError(str(error.__cause__)) from error


async def take_zone_in(demo_run: DemoRun, cluster: Cluster, zone: str) -> None:
    """Return a zone to service; its servers warm up under load."""

    async def return_zone() -> None:
        await cluster.run_operator_command("zone", "in", zone)

    await run_step(demo_run, f"zone {zone} in", 3, return_zone)


async def kill_and_restart(
    demo_run: DemoRun,
    cluster: Cluster,
    role: str,
    name: str,
    ready: Callable[[], Awaitable[None]],
) -> None:
    """Kill a process under load, then start it again."""

    async def kill() -> None:
        cluster.group.processes[name].kill()
        await curio.sleep(1.5)
        cluster.group.restart(name)
        await ready()

    await run_step(
        demo_run, f"kill {role}", 3, kill, may_abort_requests=role == "entry"
    )


async def stop_entry(demo_run: DemoRun, cluster: Cluster, n: int) -> None:
    """Stop an entry with SIGTERM under load; no request may be interrupted."""
    name = cluster.entries[n].entry_id
    process = cluster.group.processes[name]

    async def stop() -> None:
        process.terminate()
        status = await process.wait(15)
        if status != 0:
            raise RuntimeError(f"{name}: expected exit status 0, got {status}")

    await run_step(demo_run, "planned stop", 4, stop)


async def run_steps(demo_run: DemoRun, cluster: Cluster) -> None:
    """Run all steps in order."""
    control, ledger = cluster.control[0], cluster.ledger[0]
    entry, backend = cluster.entries[0], cluster.backends[0]
    await run_step(demo_run, "steady", 2)
    await run_step(demo_run, "resend keys", 1.5, resends_all=True)
    await take_zone_out(demo_run, cluster, "b")
    await take_zone_in(demo_run, cluster, "b")
    await kill_and_restart(
        demo_run,
        cluster,
        "entry",
        entry.entry_id,
        lambda: wait_healthy(entry.host, entry.platform_port),
    )
    await kill_and_restart(
        demo_run,
        cluster,
        "control",
        control.replica_id,
        lambda: wait_listening(control.host, control.operator_port),
    )
    await kill_and_restart(
        demo_run,
        cluster,
        "ledger",
        ledger.replica_id,
        lambda: wait_listening(ledger.host, ledger.peer_port),
    )
    await kill_and_restart(
        demo_run,
        cluster,
        "backend server",
        backend.name,
        lambda: wait_healthy(backend.host, backend.port),
    )
    await stop_entry(demo_run, cluster, len(cluster.entries) - 1)


async def run_demo(cluster: Cluster, seed: int) -> list[StepResult]:
    """Start the system, run the steps and return them."""
    await cluster.start()
    await cluster.wait_until_serving()
    async with HealthChecks(cluster.entries) as checks:
        run_logs = [backend.run_log for backend in cluster.backends]
        demo_run = DemoRun(cluster.targets, run_logs, checks.healthy_targets, seed=seed)
        await run_steps(demo_run, cluster)
    return demo_run.steps


def report(steps: list[StepResult]) -> int:
    """Print the table and all broken promises; return the exit status."""
    print(format_table(steps))
    for line in refusal_lines(steps):
        print(f"refused: {line}")
    n_broken = 0
    for step in steps:
        for text in step.broken_promises:
            n_broken += 1
            print(f"broken promise: {step.name}: {text}")
    print(f"broken_promises={n_broken}")
    return 1 if n_broken else 0


class DemoSettings(BaseSettings):
    """Flags of the demo.

    With ``folder``, the logs and data folders are written there and kept; otherwise
    they are deleted.
    """

    model_config = SettingsConfigDict(cli_kebab_case=True)

    seed: int = 1
    folder: Path | None = None


def main() -> int:
    """Run the demo with the flags of the command line."""
    settings = DemoSettings(_cli_parse_args=True)  # type: ignore[call-arg]
    if not daemons_exist():
        print("the pollenfold program has no daemon commands", file=sys.stderr)
        return 2
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as temporary:
        folder = settings.folder or Path(temporary)
        with ProcessGroup(folder) as group:
            cluster = Cluster(group, Topology(seed=settings.seed))
            try:
                steps = curio.run(run_demo, cluster, settings.seed)
            except (RuntimeError, TimeoutError) as error:
                print(f"system failed to start: {error}", file=sys.stderr)
                for process in group.processes.values():
                    if not process.is_running:
                        print(f"{process.name}: {process.log_tail(5)}", file=sys.stderr)
                return 2
    status = report(steps)
    print(f"duration_s={time.monotonic() - started_at:.1f}")
    return status


if __name__ == "__main__":
    sys.exit(main())
