"""The checks of the demo after each step, and its table. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from .load import LoadResult, Outcome

MALFORMED_RESPONSES = ("malformed answer", "surplus bytes after the answer")
"""Reasons of ``ResponseError`` that a killed process can't cause."""


@dataclass(slots=True)
class Executions:
    """Number of executions on all backend servers, by key and by request id."""

    by_key: Counter[str] = field(default_factory=Counter)
    by_request: Counter[str] = field(default_factory=Counter)


def read_executions(run_logs: Iterable[Path]) -> Executions:
    """Count the executions in the run logs of the fake backend servers."""
    executions = Executions()
    for path in run_logs:
        if not path.exists():
            continue
        for line in path.read_text().splitlines():
            request_id, _, key = line.partition("\t")
            executions.by_request[request_id] += 1
            if key:
                executions.by_key[key] += 1
    return executions


@dataclass(slots=True)
class StepResult:
    """One step of the demo.

    ``may_abort_requests`` permits aborted requests: it is set when an entry is killed,
    which closes its connections. ``n_late_work`` counts the requests that reached a
    zone later than 3 s after its evacuation; it is None in steps without an evacuation.
    """

    name: str
    load: LoadResult
    resends: list[Outcome] = field(default_factory=list)
    may_abort_requests: bool = False
    n_late_work: int | None = None
    max_executions: int = 0
    broken_promises: list[str] = field(default_factory=list)


def check_step(step: StepResult, executions: Executions) -> list[str]:
    """Return one sentence for each promise that the step broke."""
    outcomes = [*step.load.outcomes, *step.resends]
    return [
        *_check_duplicate_executions(executions),
        *_check_refusals(outcomes, executions),
        *_check_completed(outcomes, executions),
        *_check_responses(step),
        *_check_zone(step),
    ]


def _check_duplicate_executions(executions: Executions) -> Iterator[str]:
    for key, n_runs in executions.by_key.items():
        if n_runs > 1:
            yield f"key {key} ran {n_runs} times"


def _check_refusals(outcomes: list[Outcome], executions: Executions) -> Iterator[str]:
    last_of_key = {outcome.key: outcome for outcome in outcomes if outcome.key}
    for outcome in outcomes:
        if outcome.state == "did_not_run" and executions.by_request[outcome.request_id]:
            yield f"request {outcome.request_id} was answered did_not_run and ran"
    for key, outcome in last_of_key.items():
        if outcome.state == "did_not_run" and executions.by_key[key]:
            yield f"key {key} was answered did_not_run and ran"


def _check_completed(outcomes: list[Outcome], executions: Executions) -> Iterator[str]:
    for outcome in outcomes:
        if outcome.state != "whole":
            continue
        n_runs = (
            executions.by_key[outcome.key]
            if outcome.key
            else executions.by_request[outcome.request_id]
        )
        if n_runs == 0:
            yield f"request {outcome.request_id} was answered and never ran"
        elif outcome.kind.method == "POST" and not outcome.key and n_runs > 1:
            yield f"request {outcome.request_id} without a key ran {n_runs} times"


def _check_responses(step: StepResult) -> Iterator[str]:
    for name, class_result in step.load.classes.items():
        for reason, n in class_result.wrong.items():
            yield f"{n} answers of class {name} were {reason}"
        for reason, n in class_result.broken.items():
            if reason in MALFORMED_RESPONSES or not step.may_abort_requests:
                yield f"{n} requests of class {name} were aborted: {reason}"


def _check_zone(step: StepResult) -> Iterator[str]:
    if step.n_late_work:
        yield f"{step.n_late_work} requests reached the zone 3 s after it was taken out"


def format_table(steps: list[StepResult]) -> str:
    """Return the table with one row per step."""
    headers = ["step", "sent", "whole", "refused", "broken", "resent"]
    headers += ["greatest_runs", "zone_work_after_3s", "promises"]
    rows = [headers]
    for step in steps:
        classes = step.load.classes.values()
        late_work = "-" if step.n_late_work is None else str(step.n_late_work)
        rows.append(
            [
                step.name,
                str(sum(c.n_sent for c in classes)),
                str(sum(c.n_complete for c in classes)),
                str(sum(c.refusals.total() for c in classes)),
                str(sum(c.broken.total() for c in classes)),
                str(len(step.resends)),
                str(step.max_executions),
                late_work,
                "broken" if step.broken_promises else "kept",
            ]
        )
    widths = [max(len(row[n]) for row in rows) for n in range(len(headers))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip()
        for row in rows
    )


def refusal_lines(steps: list[StepResult]) -> Iterator[str]:
    """Yield the refused and aborted requests of each step by reason."""
    for step in steps:
        reasons: Counter[str] = Counter()
        for class_result in step.load.classes.values():
            for (error, state), n in class_result.refusals.items():
                reasons[f"{error}/{state}"] += n
            reasons.update(
                {f"cut off ({k})": n for k, n in class_result.broken.items()}
            )
        if reasons:
            listed = ", ".join(f"{reason} {n}" for reason, n in sorted(reasons.items()))
            yield f"{step.name}: {listed}"
