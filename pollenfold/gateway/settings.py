"""Limits that the balancer of an entry keeps to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Limits that hold for all entries together, and who this entry is."""

    entry_id: str
    zone: str
    probes_per_s: float
    cold_burst_factor: float
    cold_slack: float
