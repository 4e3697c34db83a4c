"""What is run beside faulty endpoints, what was seen, and what of it is broken."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from benchmarks.memory_samples import Peak
from benchmarks.soak import ROOT

MEMORY_LIMIT_MB = 300
"""The limit of the platform on a process with the bytes that it hasn't read."""

MB = 1_000_000
MIN_SOUND_SHARE = 0.95


@dataclass(frozen=True, slots=True)
class Plan:
    """What is run: the size of the system, and what its faulty endpoints do."""

    seed: int = 1
    fault: str | None = None
    pace: str = "64k"
    is_in_health: bool = False
    n_entries: int = 4
    n_callers: int = 160
    n_sound_callers: int = 60
    n_endpoints: int = 12
    n_faulty: int = 6
    is_patient: bool = False
    """Whether the callers of ``mixed`` read at once, as those of ``sound`` do."""

    seconds: float = 10.0
    root: Path = ROOT

    def without_fault(self) -> Plan:
        """Return the plan of the same run with sound endpoints only."""
        return replace(self, fault=None)


@dataclass(slots=True)
class Outcome:
    """What was seen in a run."""

    plan: Plan
    counts: dict[str, dict[str, Any]] = field(default_factory=dict)
    """The counts of the callers by their service."""

    peaks: dict[str, Peak] = field(default_factory=dict)
    """The memory of each entry."""

    ended: list[str] = field(default_factory=list)
    """Processes of the system that ended, each with its status and last lines."""

    failure: str = ""
    """Why the run couldn't be judged."""

    @property
    def peak(self) -> Peak:
        """The largest values of all entries."""
        total = Peak()
        for peak in self.peaks.values():
            total.resident_bytes = max(total.resident_bytes, peak.resident_bytes)
            total.unread_bytes = max(total.unread_bytes, peak.unread_bytes)
            total.total_bytes = max(total.total_bytes, peak.total_bytes)
        return total

    def violations(self, baseline: Outcome | None = None) -> list[str]:
        """Return what is broken; ``baseline`` is the run without a fault."""
        if self.failure:
            return [self.failure]
        texts = list(self.ended)
        for name, peak in self.peaks.items():
            if peak.total_bytes > MEMORY_LIMIT_MB * MB:
                texts.append(
                    f"{name} held {peak.total_bytes / MB:.0f} MB, "
                    f"{peak.unread_bytes / MB:.0f} MB of them unread at most"
                )
        for service, counts in self.counts.items():
            for name in ("n_late", "n_unanswered", "n_closed"):
                if counts[name]:
                    texts.append(f"{service}: {name}={counts[name]}")
        share = self.sound_share(baseline)
        if share < MIN_SOUND_SHARE:
            texts.append(f"sound: served {share:.3f} of the run without a fault")
        return texts

    def sound_share(self, baseline: Outcome | None) -> float:
        """Return the served requests of ``sound`` as a share of the baseline's."""
        if baseline is None or baseline.failure:
            return 1.0
        expected: int = baseline.counts["sound"]["n_served"]
        return float(self.counts["sound"]["n_served"]) / max(1, expected)


def describe(outcome: Outcome, baseline: Outcome | None) -> str:
    """Return the line of a run."""
    plan, peak = outcome.plan, outcome.peak
    parts = [
        f"seed={plan.seed} fault={plan.fault} pace={plan.pace}",
        f"health={plan.is_in_health} ended={len(outcome.ended)}",
        f"resident_mb={peak.resident_bytes / MB:.0f}",
        f"unread_mb={peak.unread_bytes / MB:.0f}",
        f"peak_mb={peak.total_bytes / MB:.0f}",
    ]
    if baseline is not None and not outcome.failure:
        parts.append(f"sound_share={outcome.sound_share(baseline):.3f}")
    for service, counts in outcome.counts.items():
        fields = " ".join(
            f"{name.removeprefix('n_')}={str(value).replace(' ', '')}"
            for name, value in counts.items()
        )
        parts.append(f"{service}: {fields}")
    parts.append(f"broken={len(outcome.violations(baseline))}")
    return " ".join(parts)
