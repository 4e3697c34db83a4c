"""What the demo checks after each step, and its table. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from .load import LoadResult, Outcome

DAMAGE = ("malformed answer", "surplus bytes after the answer")
"""Answers that no ended connection explains."""


@dataclass(slots=True)
class Runs:
    """Runs on all backend servers, by key and by request id."""

    by_key: Counter[str] = field(default_factory=Counter)
    by_request: Counter[str] = field(default_factory=Counter)


def read_runs(run_logs: Iterable[Path]) -> Runs:
    """Count the runs in the logs of the fake backend servers."""
    runs = Runs()
    for path in run_logs:
        if not path.exists():
            continue
        for line in path.read_text().splitlines():
            request_id, _, key = line.partition("\t")
            runs.by_request[request_id] += 1
            if key:
                runs.by_key[key] += 1
    return runs


@dataclass(slots=True)
class StepResult:
    """One step of the demo.

    ``may_break`` is set where an entry was killed, since its connections end with
    it. ``n_late_work`` is the new work in a zone later than 3 s after it was taken
    out, or None when no zone was out.
    """

    name: str
    load: LoadResult
    resends: list[Outcome] = field(default_factory=list)
    may_break: bool = False
    n_late_work: int | None = None
    greatest_runs: int = 0
    broken_promises: list[str] = field(default_factory=list)


def check_step(step: StepResult, runs: Runs) -> list[str]:
    """Return every promise that the step broke, one sentence each."""
    outcomes = [*step.load.outcomes, *step.resends]
    return [
        *_check_runs(runs),
        *_check_refusals(outcomes, runs),
        *_check_whole(outcomes, runs),
        *_check_answers(step),
        *_check_zone(step),
    ]


def _check_runs(runs: Runs) -> Iterator[str]:
    for key, n_runs in runs.by_key.items():
        if n_runs > 1:
            yield f"key {key} ran {n_runs} times"


def _check_refusals(outcomes: list[Outcome], runs: Runs) -> Iterator[str]:
    last_of_key = {one.key: one for one in outcomes if one.key}
    for one in outcomes:
        if one.state == "did_not_run" and runs.by_request[one.request_id]:
            yield f"request {one.request_id} was answered did_not_run and ran"
    for key, one in last_of_key.items():
        if one.state == "did_not_run" and runs.by_key[key]:
            yield f"key {key} was answered did_not_run and ran"


def _check_whole(outcomes: list[Outcome], runs: Runs) -> Iterator[str]:
    for one in outcomes:
        if one.state != "whole":
            continue
        n_runs = runs.by_key[one.key] if one.key else runs.by_request[one.request_id]
        if n_runs == 0:
            yield f"request {one.request_id} was answered and never ran"
        elif one.kind.method == "POST" and not one.key and n_runs > 1:
            yield f"request {one.request_id} without a key ran {n_runs} times"


def _check_answers(step: StepResult) -> Iterator[str]:
    for name, one in step.load.classes.items():
        for reason, n in one.wrong.items():
            yield f"{n} answers of class {name} were {reason}"
        for reason, n in one.broken.items():
            if reason in DAMAGE or not step.may_break:
                yield f"{n} requests of class {name} were cut off: {reason}"


def _check_zone(step: StepResult) -> Iterator[str]:
    if step.n_late_work:
        yield f"{step.n_late_work} requests reached the zone 3 s after it was taken out"


def format_table(steps: list[StepResult]) -> str:
    """Return one row for each step."""
    heads = ["step", "sent", "whole", "refused", "broken", "resent"]
    heads += ["greatest_runs", "zone_work_after_3s", "promises"]
    rows = [heads]
    for step in steps:
        classes = step.load.classes.values()
        late = "-" if step.n_late_work is None else str(step.n_late_work)
        rows.append(
            [
                step.name,
                str(sum(one.n_sent for one in classes)),
                str(sum(one.n_whole for one in classes)),
                str(sum(one.refusals.total() for one in classes)),
                str(sum(one.broken.total() for one in classes)),
                str(len(step.resends)),
                str(step.greatest_runs),
                late,
                "broken" if step.broken_promises else "kept",
            ]
        )
    widths = [max(len(row[n]) for row in rows) for n in range(len(heads))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip()
        for row in rows
    )


def refusal_lines(steps: list[StepResult]) -> Iterator[str]:
    """Yield the refusals and broken connections of each step by reason."""
    for step in steps:
        reasons: Counter[str] = Counter()
        for one in step.load.classes.values():
            for (error, state), n in one.refusals.items():
                reasons[f"{error}/{state}"] += n
            reasons.update({f"cut off ({k})": n for k, n in one.broken.items()})
        if reasons:
            listed = ", ".join(f"{reason} {n}" for reason, n in sorted(reasons.items()))
            yield f"{step.name}: {listed}"
