"""Linear fits of measured costs, and CPU, memory and network use of processes."""

from __future__ import annotations

import os
import re
import shutil
import statistics
from collections import Counter
from pathlib import Path

from .processes import run_command

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(process_id: int) -> float:
    """Return the CPU time (user and system) of a process in seconds."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"expected VmRSS in the status of process {process_id}")


def stream_bytes_by_process() -> Counter[int] | None:
    """Return the bytes sent and received on the open TCP connections of each process.

    These are the kernel's counters as ``ss`` prints them; None when ``ss`` is missing.
    A connection counts once for a process that holds several descriptors of it.
    """
    if shutil.which("ss") is None:
        return None
    status, output = run_command(["ss", "-tinpOH"], 10)
    if status != 0:
        return None
    totals: Counter[int] = Counter()
    for line in output.splitlines():
        n_bytes = sum(map(int, re.findall(r"bytes_(?:sent|received):(\d+)", line)))
        for process_id in set(re.findall(r"pid=(\d+)", line)):
            totals[int(process_id)] += n_bytes
    return totals


def fit_line(name: str, unit: str, points: list[tuple[float, float]]) -> str:
    """Return one output line with slope, intercept and greatest error of a fit.

    ``max_error`` is the greatest deviation of a point from the line, relative to the
    point's value.
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    errors = [abs(y - (slope * x + intercept)) / y for x, y in points if y]
    return (
        f"{name}.slope={slope:.4g} {unit} intercept={intercept:.4g} "
        f"max_error={max(errors, default=0.0):.1%} n_points={len(points)}"
    )
