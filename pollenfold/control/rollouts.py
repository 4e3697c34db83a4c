"""Advances roll-outs while this replica leads the others."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from math import isfinite
from reprlib import repr as short_repr
from typing import Any

import curio

from ..core.clock import Clock, Instant, add_ms
from ..core.command_encoding import encode_command
from ..core.input_limits import is_whole_number
from ..core.registry import Announcement, accepts_new_requests
from ..core.rollouts.controller import Decision, ExposureLimits, Situation, decide
from ..core.rollouts.evidence import Evidence, Finding
from ..core.rollouts.order_age import OrderAges
from ..core.rollouts.reports import Report, Reports, decode_report
from ..core.rollouts.state import Rollout
from ..observe.error_text import error_text
from ..observe.events import EventLog
from ..observe.exposition import BoundedLabel, Metrics
from ..observe.steps import run_step
from .cluster_state import ClusterState
from .feed_server import FeedServer
from .rollout_orders import TimeOfDay
from .subscriber import Subscriber

STEP_MS = 75.0
"""The pause between two steps, in each of which all roll-outs are decided on."""

COMMIT_TIMEOUT_MS = 500.0
"""How long a step waits for the commit of a stage; a later step decides again."""

LEADER_CONTACT_MS = 500.0
"""A replica without a message of the leader for this long may lag behind."""

RATE_WINDOW_MS = 2_000.0
"""The time over which the rate of responses is measured."""

N_MANY_BAD = 50
"""The number of bad responses from which the time to take a version back counts."""

ABSENT_MS = 3_000.0
"""How long a version must be unknown until its endpoints count as gone. Endpoints
repeat their announcements every second or two."""

ANNOUNCEMENT_AGE_MS = 12_000.0
"""Entries forget endpoints without an announcement for this long."""

MAX_SERVICE_LABELS = 50
"""How many services have metrics of their own."""


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """The limits on roll-outs.

    An entry that has no contact to control for ``contact_ms`` prefers the target once
    it knows that the old version gets nothing.
    """

    limits: ExposureLimits = ExposureLimits()
    contact_ms: float = 2_000.0


class _Tracker:
    """What this replica observed of one roll-out while it leads."""

    def __init__(self, rollout: Rollout, elapsed_ms: float, now: Instant) -> None:
        self.order_index = rollout.order_index
        self.since = now
        self.reports = Reports()
        left_ms = max(rollout.duration_ms - elapsed_ms, 0.0)
        self.evidence = Evidence(left_ms, now)
        self._stage_index = -1
        self._stage_since = now
        self._target_since: Instant | None = None
        self._target_last_at = now
        self._old_last_at = now
        self._many_bad_since: Instant | None = None
        self._totals: deque[tuple[Instant, int]] = deque()

    def update(
        self, rollout: Rollout, has_old: bool, has_target: bool, now: Instant
    ) -> None:
        """Record the counts, the stage and which versions are announced."""
        self.evidence.record(self.reports.counts, now)
        total = self.evidence.total
        self._totals.append((now, total.n_old + total.n_new))
        while self._totals[0][0] < add_ms(now, -RATE_WINDOW_MS):
            self._totals.popleft()
        if self._many_bad_since is None and total.n_new_bad >= N_MANY_BAD:
            self._many_bad_since = now
        if rollout.stage_index != self._stage_index:
            self._stage_index, self._stage_since = rollout.stage_index, now
        if has_old:
            self._old_last_at = now
        if has_target:
            self._target_last_at = now
            if self._target_since is None:
                self._target_since = now
        elif now > add_ms(self._target_last_at, ABSENT_MS):
            self._target_since = None

    def known_ms(self, now: Instant) -> float:
        """Return the time since this replica gathers reports on the roll-out."""
        return now - self.since

    def in_stage_ms(self, now: Instant) -> float:
        """Return the time since this replica knows the present stage and share."""
        return now - self._stage_since

    def target_seen_ms(self, rollout: Rollout, now: Instant) -> float | None:
        """Return the time since the target was announced, or None if it isn't.

        A leader that just restarted may not know the target yet.
        """
        if self._target_since is not None:
            return now - self._target_since
        is_new = now <= add_ms(self.since, ABSENT_MS)
        return 0.0 if rollout.is_towards_target and is_new else None

    def is_old_gone(self, now: Instant) -> bool:
        """Return whether the old version has been unknown for some time."""
        return now > add_ms(self._old_last_at, ABSENT_MS)

    def since_many_bad_ms(self, now: Instant) -> float:
        """Return the time since the target had its 50th bad response, 0 before."""
        return 0.0 if self._many_bad_since is None else now - self._many_bad_since

    def rate_per_s(self) -> float:
        """Return the recent rate of responses of both versions."""
        (first_at, first), (last_at, last) = self._totals[0], self._totals[-1]
        if last_at <= first_at:
            return 0.0
        return max(last - first, 0) / (last_at - first_at) * 1000


class Rollouts:
    """Gathers the reports of the entries and commits the stages of roll-outs."""

    def __init__(
        self,
        settings: RolloutSettings,
        cluster_state: ClusterState,
        feed_server: FeedServer,
        ages: OrderAges,
        clock: Clock,
        time_of_day: TimeOfDay,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._cluster_state = cluster_state
        self._feed_server = feed_server
        self._ages = ages
        self._clock = clock
        self._time_of_day = time_of_day
        self._metrics = metrics
        self._log = log
        self._labels = BoundedLabel(MAX_SERVICE_LABELS)
        self._trackers: dict[str, _Tracker] = {}
        self._connected_at: dict[str, Instant] = {}
        """By entry, when it was last connected to this replica."""

        self._alone_at = clock()
        """When this process started or last had no entry connected."""

        cluster_state.on_rollout_started = self._record_order
        feed_server.add_part("rollouts", self._receive)

    def _record_order(self, rollout: Rollout) -> None:
        self._ages.record_order(rollout, self._clock(), self._time_of_day())

    # Reports

    def _receive(self, subscriber: Subscriber, value: Any) -> None:
        """Add the reports of an entry; skip and count malformed ones."""
        malformed = self._cluster_state.malformed
        match value:
            case [incarnation, list(items), *_] if is_whole_number(incarnation):
                for report in malformed.decode_each("rollouts", items, decode_report):
                    self._add(subscriber.name, incarnation, report)
            case _:
                malformed.record("rollouts", f"got {short_repr(value)}")

    def _add(self, entry: str, incarnation: int, report: Report) -> None:
        rollout = self._cluster_state.replicated_state.rollouts.get(report.service)
        if rollout is None or rollout.order_index != report.order_index:
            return
        if not rollout.is_final:
            now = self._clock()
            tracker = self._tracker(rollout, now)
            tracker.reports.add(entry, incarnation, report, now)

    def _tracker(self, rollout: Rollout, now: Instant) -> _Tracker:
        tracker = self._trackers.get(rollout.service)
        if tracker is None or tracker.order_index != rollout.order_index:
            elapsed_ms = self._elapsed_ms(rollout, now)
            tracker = _Tracker(rollout, elapsed_ms, now)
            self._trackers[rollout.service] = tracker
        return tracker

    def _elapsed_ms(self, rollout: Rollout, now: Instant) -> float:
        return self._ages.elapsed_ms(rollout, now, self._time_of_day())

    # Steps

    async def run(self) -> None:
        """Advance the roll-outs in progress while this replica leads."""
        while True:
            await curio.sleep(STEP_MS / 1000)
            # An unexpected error must not end the replica, which also serves orders.
            await run_step("rollouts", self._log_failure, self.step)

    def _log_failure(self, step: str, error: BaseException) -> None:
        self._log.state("rollout_step_failed", step=step, detail=error_text(error))

    async def step(self) -> None:
        """Decide on each roll-out in progress, if this replica leads."""
        now = self._clock()
        replica = self._cluster_state.commands.replica
        contact_at = replica.last_leader_contact()
        has_contact = contact_at is not None and (
            now <= add_ms(contact_at, LEADER_CONTACT_MS)
        )
        is_leading = replica.is_leader()
        self._ages.record_contact(is_leading or has_contact, now)
        self._update_entries(now)
        rollouts = self._cluster_state.replicated_state.rollouts
        in_progress = [r for r in rollouts.values() if not r.is_final]
        self._metrics.set("rollouts_in_progress", len(in_progress))
        if not is_leading:
            # Reports go to the leader, so those held here would soon be outdated.
            self._trackers.clear()
            return
        services = {rollout.service for rollout in in_progress}
        for service in self._trackers.keys() - services:
            del self._trackers[service]
        self._ages.forget_all_but(set(rollouts))
        for rollout in in_progress:
            await self._advance(rollout)

    def _update_entries(self, now: Instant) -> None:
        """Record which entries are connected, and forget those that left long ago."""
        entries = self._feed_server.entry_names()
        if not entries:
            self._alone_at = now
        for entry in entries:
            self._connected_at[entry] = now
        oldest = add_ms(now, -self._settings.contact_ms)
        left = [k for k, v in self._connected_at.items() if v < oldest]
        for entry in left:
            del self._connected_at[entry]

    async def _advance(self, rollout: Rollout) -> None:
        now = self._clock()
        tracker = self._tracker(rollout, now)
        versions = self._usable_versions(rollout, now)
        has_old = any(rollout.uses(version, is_target=False) for version in versions)
        has_target = rollout.target_version in versions
        tracker.update(rollout, has_old, has_target, now)
        situation = self._situation(rollout, tracker, now)
        self._export(rollout, situation)
        decision = decide(rollout, situation, self._settings.limits)
        if decision is not None:
            await self._commit(rollout, decision, situation)

    def _situation(
        self, rollout: Rollout, tracker: _Tracker, now: Instant
    ) -> Situation:
        entries, reports = list(self._connected_at), tracker.reports
        # After a restart or a partition the entries need time to connect again.
        is_settled = now > add_ms(self._alone_at, self._settings.contact_ms)
        stage_index = rollout.stage_index
        return Situation(
            elapsed_ms=self._elapsed_ms(rollout, now),
            in_stage_ms=tracker.in_stage_ms(now),
            target_seen_ms=tracker.target_seen_ms(rollout, now),
            total=tracker.evidence.total,
            n_in_flight_target=reports.n_in_flight_target,
            rate_per_s=tracker.rate_per_s(),
            since_many_bad_ms=tracker.since_many_bad_ms(now),
            finding=tracker.evidence.judge(),
            has_reports=is_settled and reports.has_all(entries, now),
            is_old_idle=is_settled and reports.is_old_idle(entries, stage_index, now),
            is_target_idle=is_settled
            and reports.is_target_idle(entries, stage_index, now),
            is_old_gone=tracker.is_old_gone(now),
            known_ms=tracker.known_ms(now),
        )

    def _endpoints(self, rollout: Rollout, now: Instant) -> list[Announcement]:
        oldest = add_ms(now, -ANNOUNCEMENT_AGE_MS)
        return [
            record.announcement
            for record in self._cluster_state.registry.records()
            if record.received_at > oldest
            and record.announcement.service == rollout.service
        ]

    def _usable_versions(self, rollout: Rollout, now: Instant) -> set[str]:
        """Return the versions of the endpoints that accept new requests."""
        state = self._cluster_state.replicated_state
        endpoints = self._endpoints(rollout, now)
        return {a.version for a in endpoints if accepts_new_requests(a, state)}

    async def _commit(
        self, rollout: Rollout, decision: Decision, situation: Situation
    ) -> None:
        """Commit a stage; if that fails, the next step decides again."""
        now, command = self._clock(), decision.command
        versions = {a.version for a in self._endpoints(rollout, now)}
        replaced = sorted(versions - {rollout.target_version})
        command = replace(command, replaced_versions=tuple(replaced))
        # A stage isn't held back like orders are while voters are missing: if it is
        # lost with their disks, the next leader decides it again.
        result = await self._cluster_state.commands.replica.propose(
            encode_command(command), COMMIT_TIMEOUT_MS
        )
        outcome = "committed" if result.is_ok() else result.error.value
        self._log.state(
            "rollout_advanced",
            service=rollout.service,
            target=rollout.target_version,
            before=rollout.stage.value,
            stage=command.stage.value,
            share=f"{command.share:.2f}",
            reason=decision.reason,
            outcome=outcome,
            order_index=rollout.order_index,
            elapsed_ms=situation.elapsed_ms,
            n_target=situation.total.n_new,
            n_old=situation.total.n_old,
            rate_per_s=situation.rate_per_s,
            **_evidence_fields(situation.finding),
        )
        if result.is_ok():
            stage = command.stage.value
            self._metrics.count("rollout_stages_total", stage=stage)

    def _export(self, rollout: Rollout, situation: Situation) -> None:
        service = self._labels.get(rollout.service)
        values = {
            "rollout_share": rollout.share,
            "rollout_target_responses": situation.total.n_new,
            "rollout_target_failed": situation.total.n_new_failed,
            "rollout_target_slow": situation.total.n_new_slow,
        }
        for name, value in values.items():
            self._metrics.set(name, value, service=service)


def _evidence_fields(finding: Finding) -> dict[str, object]:
    """Return the strongest evidence against the target as fields of a log line."""
    if not isfinite(finding.log_ratio):
        return {"evidence": "none"}
    return {
        "evidence": f"{finding.log_ratio:.1f}",
        "route": finding.route,
        "kind": finding.kind.value,
        "bad_target": f"{finding.n_new_bad}/{finding.n_new}",
        "bad_old": f"{finding.n_old_bad}/{finding.n_old}",
    }
