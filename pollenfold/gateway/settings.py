"""Settings of the balancer of an entry."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.clock import Instant


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """The identity of this entry, and limits that all entries share.

    ``started_at`` is when this process started. What an earlier process of this entry
    sent before still counts.
    """

    entry_id: str
    zone: str
    probes_per_s: float
    cold_burst_factor: float
    cold_slack: float
    started_at: Instant
