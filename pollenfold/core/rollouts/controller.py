"""Decides the next stage of a roll-out from what the entries report."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from ..replicated_state import AdvanceRollout
from .evidence import Finding, RouteCounts
from .state import Rollout, RolloutStage

CANARY_END = 0.45
"""The part of the duration in which a version that turns bad late must show it."""

FULL_AT = 0.6
"""The part of the duration after which a good version gets all requests. What is in
flight at the old version takes up to several seconds more."""

DOUBT_END = 0.75
"""Until then a suspect or doubtful version may prove to be good; later there would be
no time to end what is in flight."""

GIVE_UP_AT = 0.9
MIN_END_MS = 1_000.0
"""An unusable target is taken back at the part ``GIVE_UP_AT`` of the duration, or
``MIN_END_MS`` before its end if that is earlier, but not before ``DOUBT_END``. The
stage and the reports on it then arrive by the deadline."""

MIN_OBSERVED = 0.25
"""The part of the duration for which the target is observed before it gets more than
the share of the canary, unless its endpoints appear too late for that."""

RAMP_SHARES = (0.15, 0.3, 0.5)
"""The shares of the target in the ramp, as far as its exposure leaves room."""

RAMP_STEP_MS = 400.0
"""Each share brings evidence for at least this long before the next one."""

REACTION_MS = 1_500.0
"""The time from the first bad response to the last request that the target gets: the
test, the reports, the commit and the feeds."""

MIN_REACTION_MS = 300.0
"""The same without the time for the test."""

MIN_KNOWN_MS = 1_000.0
"""A new leader gathers reports for this long, or half of the time left, before it calls
a version good. Until then the counts lack entries, and the bad responses from before
its term fall into one slot of the evidence."""

USED_EXPOSURE = 0.8
"""The part of the exposure limit that a ramp may use."""

USED_ROLLBACK_TIME = 0.5
"""The part of the time to take back a bad version after which doubt is enough."""

STEADY_RATE = 0.8
"""The part of the present rate that is counted on until the deadline."""

MIN_EXPECTED = 10.0
"""A target that gets none of so many requests that it should have had is unusable."""


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """How many requests of its service a bad version may get.

    It may get ``share`` of the requests between the order and the deadline, plus
    ``slack``, and none ``rollback_ms`` after its 50th bad response.
    """

    share: float = 0.1
    slack: float = 50.0
    rollback_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class Situation:
    """What the leader knows of a roll-out.

    ``in_stage_ms`` is the time since it knows the present stage and share.
    ``target_seen_ms`` is the time since the target was announced, None if it isn't.
    ``has_reports`` is whether all connected entries reported lately on this roll-out;
    ``is_old_idle`` and ``is_target_idle`` whether they also confirmed the present stage
    and have nothing in flight at the version. ``rate_per_s`` counts the responses of
    both versions. ``since_many_bad_ms`` is the time since the target had its 50th bad
    response, 0 before. ``is_old_gone`` is whether no endpoint of the old version is
    announced. ``known_ms`` is the time since this leader gathers reports on the
    roll-out.
    """

    elapsed_ms: float
    in_stage_ms: float
    target_seen_ms: float | None
    total: RouteCounts
    n_in_flight_target: int
    rate_per_s: float
    since_many_bad_ms: float
    finding: Finding
    has_reports: bool
    is_old_idle: bool
    is_target_idle: bool
    is_old_gone: bool = False
    known_ms: float = inf


@dataclass(frozen=True, slots=True)
class Decision:
    """The next stage or share, and the reason for the log."""

    command: AdvanceRollout
    reason: str


def decide(
    rollout: Rollout, situation: Situation, limits: ExposureLimits
) -> Decision | None:
    """Return the next stage or share of a roll-out, or None to leave it as it is."""
    match rollout.stage:
        case RolloutStage.COMPLETED | RolloutStage.ROLLED_BACK:
            return None
        case RolloutStage.REVERTING:
            if situation.is_target_idle:
                return _advance(rollout, RolloutStage.ROLLED_BACK, "target_idle")
            return None
        case RolloutStage.FULL:
            return _decide_at_full(rollout, situation, limits)
    reason = _reason_to_revert(rollout, situation, limits)
    if reason is not None:
        return _advance(rollout, RolloutStage.REVERTING, reason)
    if situation.is_old_gone and situation.target_seen_ms is not None:
        return _advance(rollout, RolloutStage.FULL, "old_gone")
    if _is_full_due(rollout, situation):
        return _advance(rollout, RolloutStage.FULL, "no_evidence_against")
    return _next_share(rollout, situation, limits)


def _advance(
    rollout: Rollout, stage: RolloutStage, reason: str, share: float = 0.0
) -> Decision:
    is_towards_target = stage in (RolloutStage.FULL, RolloutStage.COMPLETED)
    share = 1.0 if is_towards_target else share
    command = AdvanceRollout(rollout.service, rollout.order_index, stage, share)
    return Decision(command, reason)


def _decide_at_full(
    rollout: Rollout, situation: Situation, limits: ExposureLimits
) -> Decision | None:
    """Complete the roll-out when the old version is idle, unless the target is bad."""
    if situation.finding.is_bad:
        return _advance(rollout, RolloutStage.REVERTING, "worse_than_old")
    if situation.finding.is_doubtful and _is_late(situation, limits):
        return _advance(rollout, RolloutStage.REVERTING, "exposed")
    if situation.target_seen_ms is None:
        return _advance(rollout, RolloutStage.REVERTING, "target_gone")
    if situation.is_old_idle:
        return _advance(rollout, RolloutStage.COMPLETED, "old_idle")
    return None


def _reason_to_revert(
    rollout: Rollout, situation: Situation, limits: ExposureLimits
) -> str | None:
    """Return why the target of a canary or ramp is taken back, or None if it isn't."""
    if situation.finding.is_bad:
        return "worse_than_old"
    progress = situation.elapsed_ms / rollout.duration_ms
    if situation.finding.is_doubtful:
        if progress >= DOUBT_END:
            return "doubtful"
        n_exposed = _exposure(rollout.share, MIN_REACTION_MS, situation)
        if n_exposed > exposure_limit(rollout, situation, limits):
            return "exposed"
        if _is_late(situation, limits):
            return "exposed"
    if situation.elapsed_ms >= _give_up_ms(rollout) and not _is_usable(
        rollout, situation
    ):
        return "target_unusable"
    return None


def _give_up_ms(rollout: Rollout) -> float:
    """Return the time since the order at which an unusable target is taken back."""
    duration_ms = rollout.duration_ms
    give_up_ms = min(GIVE_UP_AT * duration_ms, duration_ms - MIN_END_MS)
    return max(give_up_ms, DOUBT_END * duration_ms)


def _is_late(situation: Situation, limits: ExposureLimits) -> bool:
    """Return whether a bad version would have to be taken back by now."""
    return situation.since_many_bad_ms > USED_ROLLBACK_TIME * limits.rollback_ms


def _is_usable(rollout: Rollout, situation: Situation) -> bool:
    """Return whether the target is announced and gets requests, if there are any."""
    if situation.target_seen_ms is None:
        return False
    total = situation.total
    return total.n_new > 0 or rollout.share * total.n_old < MIN_EXPECTED


def _is_full_due(rollout: Rollout, situation: Situation) -> bool:
    """Return whether the target gets all requests now."""
    progress = situation.elapsed_ms / rollout.duration_ms
    if progress < FULL_AT or not _is_usable(rollout, situation):
        return False
    if situation.finding.is_doubtful:
        return False
    left_ms = max(rollout.duration_ms - situation.elapsed_ms, 0.0)
    if situation.known_ms < min(MIN_KNOWN_MS, left_ms / 2):
        return False
    if progress >= DOUBT_END:
        return True
    if situation.finding.is_suspect:
        return False
    return situation.has_reports and _is_observed(rollout, situation)


def _is_observed(rollout: Rollout, situation: Situation) -> bool:
    """Return whether the target has been announced for long enough to be judged."""
    seen_ms = situation.target_seen_ms or 0.0
    return seen_ms >= MIN_OBSERVED * rollout.duration_ms


def _next_share(
    rollout: Rollout, situation: Situation, limits: ExposureLimits
) -> Decision | None:
    """Raise the share while the exposure leaves room for an undetected bad version."""
    progress = situation.elapsed_ms / rollout.duration_ms
    if progress < CANARY_END or situation.finding.is_doubtful:
        return None
    if not situation.has_reports or not _is_usable(rollout, situation):
        return None
    if not _is_observed(rollout, situation) or situation.in_stage_ms < RAMP_STEP_MS:
        return None
    room = USED_EXPOSURE * exposure_limit(rollout, situation, limits)
    share = next((s for s in RAMP_SHARES if s > rollout.share), None)
    if share is None or _exposure(share, REACTION_MS, situation) > room:
        return None
    return _advance(rollout, RolloutStage.RAMP, "exposure_leaves_room", share)


def exposure_limit(
    rollout: Rollout, situation: Situation, limits: ExposureLimits
) -> float:
    """Return how many requests a bad version may get until the deadline."""
    left_ms = max(rollout.duration_ms - situation.elapsed_ms, 0.0)
    n_to_come = STEADY_RATE * situation.rate_per_s * left_ms / 1000
    n_total = situation.total.n_old + situation.total.n_new + n_to_come
    return limits.share * n_total + limits.slack


def _exposure(share: float, for_ms: float, situation: Situation) -> float:
    """Return the requests that the target will have had after some time at a share."""
    n_to_come = share * situation.rate_per_s * for_ms / 1000
    return situation.total.n_new + situation.n_in_flight_target + n_to_come
