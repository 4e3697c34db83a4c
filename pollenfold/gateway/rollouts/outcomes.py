"""Counts the attempts and their outcomes for each version of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.balancing.overload import WorkEstimate
from ...core.clock import Clock, Instant
from ...core.outcomes import AttemptOutcome
from ...core.rollouts.outcomes import OutcomeTally, judge_attempt
from ...core.rollouts.state import Rollout
from ...http.messages import Response
from ...observe.exposition import BoundedLabel, Metrics
from ..calls import Call
from ..endpoint import Endpoint
from ..pick import Pick
from ..probes import COLD_SLOWDOWN
from ..reach_monitor import ReachMonitor

if TYPE_CHECKING:
    from ..view import FleetView

MAX_VERSION_SERIES = 64
"""How many versions have metrics of their own."""


class VersionOutcomes:
    """The evidence of this entry on the versions of all services with a roll-out."""

    def __init__(
        self, view: FleetView, monitor: ReachMonitor, clock: Clock, metrics: Metrics
    ) -> None:
        self._view = view
        self._monitor = monitor
        self._clock = clock
        self._metrics = metrics
        self._tallies: dict[str, OutcomeTally] = {}
        self._version_label = BoundedLabel(MAX_VERSION_SERIES)

    def _rollout(self, endpoint: Endpoint) -> Rollout | None:
        service = endpoint.announcement.service
        return self._view.replicated_state.rollouts.get(service)

    def count_attempt(self, endpoint: Endpoint) -> str:
        """Count an attempt; return the version for the log, empty if not wanted."""
        rollout = self._rollout(endpoint)
        if rollout is None:
            return ""
        version = endpoint.announcement.version
        label = self._version_label.get(version)
        self._metrics.count(
            "version_attempts_total", service=rollout.service, version=label
        )
        return version

    def record(
        self,
        call: Call,
        pick: Pick,
        outcome: AttemptOutcome,
        response: Response | None,
        started_at: Instant,
        elapsed_ms: float,
    ) -> None:
        """Count the outcome of an attempt that its caller waited for."""
        rollout = self._rollout(pick.endpoint)
        if rollout is None or rollout.is_final:
            return
        if not self._is_evidence(call, outcome, started_at):
            return
        announcement = pick.endpoint.announcement
        status = 0 if response is None else response.status
        since_sent_ms = elapsed_ms - max(0.0, call.sent_at - started_at)
        expected_ms = call.work_estimate.get() * self._expected_slowdown(pick)
        verdict = judge_attempt(outcome, status, since_sent_ms, expected_ms)
        if verdict is not None:
            is_target = rollout.is_target(announcement.version)
            self.tally(rollout).add(call.route.name, is_target, verdict)

    def _is_evidence(
        self, call: Call, outcome: AttemptOutcome, started_at: Instant
    ) -> bool:
        """Return whether an outcome says something about the endpoint.

        It doesn't if this entry is cut off from endpoints, or if the deadline passed
        while the caller was still sending its request.
        """
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.EXPIRED):
            is_sent = call.sent_at >= started_at
            return not self._monitor.is_cut and (is_sent or not call.is_body_streamed)
        return True

    def _expected_slowdown(self, pick: Pick) -> float:
        """Return the slowdown to expect, also if the endpoint wasn't probed."""
        is_cold = pick.endpoint.is_cold(self._clock())
        return max(1.0, pick.slowdown, COLD_SLOWDOWN if is_cold else 1.0)

    def observe_work(
        self, estimate: WorkEstimate, latency_ms: float, pick: Pick
    ) -> None:
        """Update the work estimate of a route, unless the endpoint is under test.

        A slow version would raise the estimate that its responses are compared with.
        """
        rollout = self._rollout(pick.endpoint)
        if rollout is not None and not rollout.is_final:
            if rollout.is_target(pick.endpoint.announcement.version):
                return
        estimate.observe(latency_ms, pick.slowdown)

    def tally(self, rollout: Rollout) -> OutcomeTally:
        """Return the counts of a roll-out, which start with its order."""
        tally = self._tallies.get(rollout.service)
        if tally is None or tally.order_index != rollout.order_index:
            tally = self._tallies[rollout.service] = OutcomeTally(rollout.order_index)
        return tally

    def export(self) -> None:
        """Set the gauges of the exchanges in flight by version."""
        for rollout in self._view.replicated_state.rollouts.values():
            n_old, n_target = self._view.version_loads.n_in_flight(
                rollout.service, rollout.target_version
            )
            for side, n_in_flight in (("old", n_old), ("target", n_target)):
                self._metrics.set(
                    "version_in_flight", n_in_flight, service=rollout.service, side=side
                )
