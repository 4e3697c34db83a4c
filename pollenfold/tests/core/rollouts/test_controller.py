"""Each decision on the stage of a roll-out."""

import math
from dataclasses import replace

import pytest

from pollenfold.core.replicated_state import (
    AdvanceRollout,
    ReplicatedState,
    StartRollout,
)
from pollenfold.core.rollouts.controller import (
    ExposureLimits,
    Situation,
    decide,
)
from pollenfold.core.rollouts.evidence import Finding, RouteCounts
from pollenfold.core.rollouts.state import RolloutStage

DURATION_MS = 10_000
LIMITS = ExposureLimits(0.1, 50.0, 5_000.0)
BAD, DOUBTFUL = Finding(log_ratio=20.0), Finding(log_ratio=5.0)
SUSPECT = Finding(log_ratio=1.0)

CALM = Situation(
    elapsed_ms=3_000.0,
    in_stage_ms=3_000.0,
    target_seen_ms=2_500.0,
    total=RouteCounts(n_old=280, n_new=20),
    n_in_flight_target=0,
    rate_per_s=100.0,
    since_many_bad_ms=0.0,
    finding=Finding(),
    has_reports=True,
    is_old_idle=False,
    is_target_idle=False,
)
"""A good version at 100 requests per second, 3 s after the order."""


def rollout_at(stage, share=0.06):
    state = ReplicatedState()
    state.apply(1, StartRollout("s", "v2", DURATION_MS, 0))
    if stage is not RolloutStage.CANARY:
        assert state.apply(2, AdvanceRollout("s", 1, stage, share))
    return state.rollouts["s"]


def decided(stage=RolloutStage.CANARY, share=0.06, **changes):
    """Return the next stage and the reason, or None."""
    situation = replace(CALM, **changes)
    decision = decide(rollout_at(stage, share), situation, LIMITS)
    if decision is None:
        return None
    return decision.command.stage.value, decision.reason


@pytest.mark.parametrize("elapsed_ms", [0.0, 2_000.0, 4_400.0])
def test_canary_lasts(elapsed_ms):
    """Guards against a canary that ends before a version turns bad."""
    assert decided(elapsed_ms=elapsed_ms) is None


def test_ramp_follows_the_canary():
    """Guards against a canary that is the only evidence before all requests."""
    assert decided(elapsed_ms=4_600.0) == ("ramp", "exposure_leaves_room")


def test_ramp_rises_step_by_step():
    """Guards against a share that rises before its evidence arrives."""
    ramp = RolloutStage.RAMP
    shares = []
    rollout = rollout_at(RolloutStage.CANARY)
    for _ in range(4):
        situation = replace(CALM, elapsed_ms=4_700.0, rate_per_s=50.0)
        decision = decide(rollout, situation, LIMITS)
        if decision is None:
            break
        shares.append(decision.command.share)
        rollout = rollout_at(ramp, decision.command.share)
    assert shares == [0.15, 0.3, 0.5]
    assert decided(ramp, 0.15, elapsed_ms=4_700.0, in_stage_ms=300.0) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"total": RouteCounts(n_old=280, n_new=120)},
        {"n_in_flight_target": 120},
        {"rate_per_s": 2_000.0, "total": RouteCounts(n_old=280, n_new=20)},
        {"has_reports": False},
        {"finding": DOUBTFUL},
        {"target_seen_ms": None},
    ],
)
def test_ramp_needs_room_and_evidence(changes):
    """Guards against an undetected bad version that exceeds the exposure limit."""
    situation = {"elapsed_ms": 4_600.0, **changes}
    if "rate_per_s" in changes:
        # The limit counts the requests to come, which are many at this rate too.
        situation["elapsed_ms"] = 5_900.0
        situation["total"] = RouteCounts(n_old=100, n_new=700)
    assert decided(**situation) is None


@pytest.mark.parametrize("stage", [RolloutStage.CANARY, RolloutStage.RAMP])
def test_good_version_gets_all_requests_in_time(stage):
    """Guards against a good version that isn't completed by its deadline."""
    assert decided(stage, elapsed_ms=6_000.0) == ("full", "no_evidence_against")
    before = decided(stage, elapsed_ms=5_900.0)
    assert before == ("ramp", "exposure_leaves_room")


def test_full_waits_while_the_version_is_doubtful():
    """Guards against a version that gets all requests though it may be bad."""
    ramp = RolloutStage.RAMP
    assert decided(ramp, 0.3, elapsed_ms=6_500.0, finding=DOUBTFUL) is None
    late = decided(ramp, 0.3, elapsed_ms=7_600.0, finding=DOUBTFUL)
    assert late == ("reverting", "doubtful")


def test_suspect_version_waits_for_more_evidence():
    """Guards against all requests to a version that looks bad, and against a good one
    that isn't completed since a few of its responses were bad."""
    ramp = RolloutStage.RAMP
    assert decided(ramp, 0.5, elapsed_ms=6_500.0, finding=SUSPECT) is None
    late = decided(ramp, 0.5, elapsed_ms=7_600.0, finding=SUSPECT)
    assert late == ("full", "no_evidence_against")


def test_full_waits_for_reports_but_not_too_long():
    """Guards against a new leader that judges on the counts of a few entries."""
    assert decided(elapsed_ms=6_100.0, has_reports=False) is None
    assert decided(elapsed_ms=7_600.0, has_reports=False)[0] == "full"


def test_full_waits_until_the_target_was_observed():
    """Guards against all requests to endpoints that started just now."""
    assert decided(elapsed_ms=6_100.0, target_seen_ms=500.0) is None
    assert decided(elapsed_ms=6_100.0, target_seen_ms=2_600.0)[0] == "full"
    assert decided(elapsed_ms=7_600.0, target_seen_ms=500.0)[0] == "full"


@pytest.mark.parametrize(
    "stage", [RolloutStage.CANARY, RolloutStage.RAMP, RolloutStage.FULL]
)
@pytest.mark.parametrize("elapsed_ms", [1_000.0, 5_000.0, 30_000.0])
def test_bad_version_is_taken_back_at_once(stage, elapsed_ms):
    """Guards against requests to a version that is known to be bad."""
    decision = decided(stage, elapsed_ms=elapsed_ms, finding=BAD, is_old_idle=True)
    assert decision == ("reverting", "worse_than_old")


def test_doubtful_version_is_taken_back_before_the_limit_is_reached():
    """Guards against a bad version that exceeds its exposure while it is doubtful."""
    total = RouteCounts(n_old=280, n_new=400)
    exposed = decided(RolloutStage.RAMP, 0.5, total=total, finding=DOUBTFUL)
    assert exposed == ("reverting", "exposed")
    for stage in (RolloutStage.CANARY, RolloutStage.FULL):
        exposed = decided(stage, finding=DOUBTFUL, since_many_bad_ms=2_600.0)
        assert exposed == ("reverting", "exposed")


def test_version_without_traffic_is_good_if_it_is_announced():
    """Guards against a good version that isn't completed in a quiet time."""
    quiet = {"total": RouteCounts(), "rate_per_s": 0.0}
    assert decided(elapsed_ms=6_100.0, **quiet)[0] == "full"
    assert decided(RolloutStage.FULL, is_old_idle=True, **quiet)[0] == "completed"


@pytest.mark.parametrize(
    "changes",
    [
        {"target_seen_ms": None, "total": RouteCounts()},
        {"total": RouteCounts(n_old=900)},
    ],
)
def test_unusable_version_is_rolled_back_before_the_deadline(changes):
    """Guards against all requests to endpoints that don't exist or take none."""
    assert decided(elapsed_ms=8_900.0, **changes) is None
    late = decided(elapsed_ms=9_000.0, **changes)
    assert late == ("reverting", "target_unusable")


@pytest.mark.parametrize(
    ("duration_ms", "give_up_ms"), [(20_000, 18_000), (5_000, 4_000), (2_000, 1_500)]
)
def test_short_roll_out_leaves_time_for_its_end(duration_ms, give_up_ms):
    """Guards against a target that is taken back too late for the reports on it."""
    rollout = replace(rollout_at(RolloutStage.CANARY), duration_ms=duration_ms)
    for elapsed_ms, is_reverted in ((give_up_ms - 1, False), (give_up_ms, True)):
        situation = replace(CALM, elapsed_ms=float(elapsed_ms), target_seen_ms=None)
        assert (decide(rollout, situation, LIMITS) is not None) == is_reverted


def test_completed_waits_until_the_old_version_is_idle():
    """Guards against old endpoints that are stopped under requests, also late."""
    full = RolloutStage.FULL
    assert decided(full, elapsed_ms=30_000.0) is None
    assert decided(full, elapsed_ms=8_000.0, is_target_idle=True) is None
    assert decided(full, is_old_idle=True) == ("completed", "old_idle")


def test_target_serves_alone_once_the_old_version_is_gone():
    """Guards against requests that are refused since they belong to a version without
    endpoints, as after an order for the version that is already in use."""
    assert decided(is_old_gone=True) == ("full", "old_gone")
    assert decided(is_old_gone=True, target_seen_ms=None) is None
    assert decided(is_old_gone=True, finding=BAD)[0] == "reverting"


def test_version_whose_endpoints_are_gone_is_taken_back():
    """Guards against a service without endpoints while the old ones still serve."""
    gone = decided(RolloutStage.FULL, target_seen_ms=None, is_old_idle=True)
    assert gone == ("reverting", "target_gone")


def test_rolled_back_waits_until_the_target_is_idle():
    """Guards against new endpoints that drain under requests."""
    reverting = RolloutStage.REVERTING
    assert decided(reverting, elapsed_ms=30_000.0, is_old_idle=True) is None
    idle = decided(reverting, is_target_idle=True)
    assert idle == ("rolled_back", "target_idle")


@pytest.mark.parametrize(
    "path",
    [
        (RolloutStage.FULL, RolloutStage.COMPLETED),
        (RolloutStage.REVERTING, RolloutStage.ROLLED_BACK),
    ],
)
def test_final_stages_stay(path):
    """Guards against a roll-out that starts again by itself."""
    state = ReplicatedState()
    state.apply(1, StartRollout("s", "v2", DURATION_MS, 0))
    for number, stage in enumerate(path, 2):
        assert state.apply(number, AdvanceRollout("s", 1, stage, 0.0))
    situation = replace(CALM, finding=BAD, is_old_idle=True, is_target_idle=True)
    assert decide(state.rollouts["s"], situation, LIMITS) is None


def test_finding_without_evidence_is_neither_bad_nor_doubtful():
    """Guards against a default that takes a version back."""
    assert Finding().log_ratio == -math.inf
    assert not Finding().is_bad
    assert not Finding().is_doubtful
