"""Settings of the balancer of an entry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """The identity of this entry, and limits that all entries share."""

    entry_id: str
    zone: str
    probes_per_s: float
    cold_burst_factor: float
    cold_slack: float
