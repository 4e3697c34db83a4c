"""Straight-line fits of measured costs, and processor time of processes."""

from __future__ import annotations

import os
import statistics
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(process_id: int) -> float:
    """Return the user and system time in seconds of a process so far."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"expected VmRSS in the status of process {process_id}")


def fit_line(name: str, unit: str, points: list[tuple[float, float]]) -> str:
    """Return one output line with slope, intercept and greatest error of a fit.

    ``max_error`` is the greatest distance of a point from the line, as a share of
    the point's value.
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    errors = [abs(y - (slope * x + intercept)) / y for x, y in points if y]
    return (
        f"{name}.slope={slope:.4g} {unit} intercept={intercept:.4g} "
        f"max_error={max(errors, default=0.0):.1%} n_points={len(points)}"
    )
