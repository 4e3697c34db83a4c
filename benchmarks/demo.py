"""The demo: a whole system under load while zones leave and processes end.

Called by ``scripts/demo``. Prints a table with one row for each step and exits with
status 1 when a promise was broken, 2 when the system could not be started.
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
from .promises import StepResult, check_step, format_table, read_runs, refusal_lines

KINDS = (
    CallKind("idempotent", "GET", "/pearl-market/stock/check", 0.3),
    CallKind("lookup", "GET", "/pearl-haul/deliveries/status", 0.2),
    CallKind("with_key", "POST", "/pearl-market/orders/bulk", 0.3, has_key=True),
    CallKind("without_key", "POST", "/pearl-haul/deliveries/confirm", 0.2),
)

ZONE_LIMIT_S = 3.0
"""Stated limit: after it a zone that was taken out gets no new work."""

Action = Callable[[], Awaitable[int | None]]
"""Taken during a step; returns the late work in a zone that it took out."""


@dataclass(slots=True)
class Stage:
    """Where the load goes, and the run logs of the servers behind."""

    targets: tuple[Address, ...]
    run_logs: list[Path]
    healthy: Collection[Address] | None = None
    rate_per_s: float = 80
    seed: int = 1
    steps: list[StepResult] = field(default_factory=list)


async def run_step(
    stage: Stage,
    name: str,
    duration_s: float,
    action: Action | None = None,
    *,
    may_break: bool = False,
    resends_all: bool = False,
) -> StepResult:
    """Send load, take the action half a second later, then resend keys and check.

    Keys whose outcome is unknown are sent again through another entry; with
    ``resends_all`` every key is. An action that fails counts as a broken promise, and
    the next step goes on.
    """
    plan = LoadPlan(
        stage.targets,
        stage.rate_per_s,
        duration_s * 1000,
        stage.seed + len(stage.steps),
        kinds=KINDS,
        name=name.replace(" ", "-"),
        healthy=stage.healthy,
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
    step = StepResult(name, load, may_break=may_break, n_late_work=n_late_work)
    step.resends = await resend(stage, load, resends_all)
    finish_step(stage, step)
    if failure:
        step.broken_promises.append(failure)
    return step


def finish_step(stage: Stage, step: StepResult) -> None:
    """Check a step and add it to the table; a promise broken earlier counts once."""
    runs = read_runs(stage.run_logs)
    known = {text for one in stage.steps for text in one.broken_promises}
    step.broken_promises = [
        text for text in check_step(step, runs) if text not in known
    ]
    step.greatest_runs = max(runs.by_key.values(), default=0)
    stage.steps.append(step)


async def resend(stage: Stage, load: LoadResult, resends_all: bool) -> list[Outcome]:
    """Send keys again through another entry than the first time."""
    again = LoadResult({name: ClassResult() for name in load.classes})
    sender = Sender(LoadPlan(stage.targets, 1, 0, stage.seed), again)
    for one in list(load.outcomes):
        if not one.key or (one.state != "unknown" and not resends_all):
            continue
        up = stage.targets if stage.healthy is None else stage.healthy
        others = [target for target in stage.targets if target != one.target]
        target = next((other for other in others if other in up), one.target)
        call = Call(one.kind, 0.0, f"{one.request_id}-again", one.key)
        await sender.send(call, target)
    await sender.close()
    for name, figures in again.classes.items():
        load.classes[name].wrong += figures.wrong
    return again.outcomes


async def take_zone_out(stage: Stage, cluster: Cluster, zone: str) -> None:
    """Take a zone out under load and count its new work after the limit.

    The time runs from the start of the operator's command.
    """

    async def leave() -> int:
        if await cluster.received_in_zone(zone) == 0:
            raise RuntimeError(f"expected work in zone {zone} before it leaves, got 0")
        command = await curio.spawn(cluster.operate, "zone", "out", zone)
        await curio.sleep(ZONE_LIMIT_S)
        n_before = await cluster.received_in_zone(zone)
        await curio.sleep(2)
        n_late_work = await cluster.received_in_zone(zone) - n_before
        await _finished(command)
        return n_late_work

    await run_step(stage, f"zone {zone} out", 0.5 + ZONE_LIMIT_S + 2.5, leave)


async def _finished(command: curio.Task) -> None:
    try:
        await command.join()
    except curio.TaskError as error:
        raise RuntimeError(str(error.__cause__)) from error


async def take_zone_in(stage: Stage, cluster: Cluster, zone: str) -> None:
    """Bring a zone back; its servers warm up under load."""

    async def return_zone() -> None:
        await cluster.operate("zone", "in", zone)

    await run_step(stage, f"zone {zone} in", 3, return_zone)


async def kill_and_restart(
    stage: Stage,
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

    await run_step(stage, f"kill {role}", 3, kill, may_break=role == "entry")


async def stop_entry(stage: Stage, cluster: Cluster, n: int) -> None:
    """Stop an entry as planned under load; it must interrupt no request."""
    name = cluster.entries[n].entry_id
    process = cluster.group.processes[name]

    async def stop() -> None:
        process.terminate()
        status = await process.wait(15)
        if status != 0:
            raise RuntimeError(f"{name}: expected exit status 0, got {status}")

    await run_step(stage, "planned stop", 4, stop)


async def run_steps(stage: Stage, cluster: Cluster) -> None:
    """Run all steps in order."""
    control, ledger = cluster.control[0], cluster.ledger[0]
    entry, backend = cluster.entries[0], cluster.backends[0]
    await run_step(stage, "steady", 2)
    await run_step(stage, "resend keys", 1.5, resends_all=True)
    await take_zone_out(stage, cluster, "b")
    await take_zone_in(stage, cluster, "b")
    await kill_and_restart(
        stage,
        cluster,
        "entry",
        entry.entry_id,
        lambda: wait_healthy(entry.host, entry.platform_port),
    )
    await kill_and_restart(
        stage,
        cluster,
        "control",
        control.replica_id,
        lambda: wait_listening(control.host, control.operator_port),
    )
    await kill_and_restart(
        stage,
        cluster,
        "ledger",
        ledger.replica_id,
        lambda: wait_listening(ledger.host, ledger.peer_port),
    )
    await kill_and_restart(
        stage,
        cluster,
        "backend server",
        backend.name,
        lambda: wait_healthy(backend.host, backend.port),
    )
    await stop_entry(stage, cluster, len(cluster.entries) - 1)


async def run_demo(cluster: Cluster, seed: int) -> list[StepResult]:
    """Start the system, run the steps and return them."""
    await cluster.start()
    await cluster.wait_for_work()
    async with HealthChecks(cluster.entries) as checks:
        run_logs = [backend.run_log for backend in cluster.backends]
        stage = Stage(cluster.targets, run_logs, checks.up, seed=seed)
        await run_steps(stage, cluster)
    return stage.steps


def report(steps: list[StepResult]) -> int:
    """Print the table and every broken promise; return the exit status."""
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
    """Flags of the demo. ``folder`` keeps the logs and data folders."""

    model_config = SettingsConfigDict(cli_kebab_case=True)

    seed: int = 1
    folder: Path | None = None


def main() -> int:
    """Run the demo with the flags of the command line."""
    settings = DemoSettings(_cli_parse_args=True)  # type: ignore[call-arg]
    if not daemons_exist():
        print("expected the daemons in pollenfold/, found none", file=sys.stderr)
        return 2
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as temporary:
        folder = settings.folder or Path(temporary)
        with ProcessGroup(folder) as group:
            cluster = Cluster(group, Topology(seed=settings.seed))
            try:
                steps = curio.run(run_demo, cluster, settings.seed)
            except (RuntimeError, TimeoutError) as error:
                print(f"the system did not start: {error}", file=sys.stderr)
                for process in group.processes.values():
                    if not process.is_running:
                        print(f"{process.name}: {process.log_tail(5)}", file=sys.stderr)
                return 2
    status = report(steps)
    print(f"duration_s={time.monotonic() - started_at:.1f}")
    return status


if __name__ == "__main__":
    sys.exit(main())
