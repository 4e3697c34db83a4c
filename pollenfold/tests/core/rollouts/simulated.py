"""Simulated roll-outs: responses of both versions, and the stages that follow."""

import math
from dataclasses import dataclass

from pollenfold.core.replicated_state import ReplicatedState, StartRollout
from pollenfold.core.rollouts.controller import ExposureLimits, Situation, decide
from pollenfold.core.rollouts.evidence import Evidence, RouteCounts

STEP_MS = 50.0
REPORT_DELAY_MS = 300.0
"""The age of the counts at the leader."""

FEED_DELAY_MS = 100.0
"""The time until the entries act on a stage."""

TARGET_START_MS = 1_000.0
IDLE_AFTER_MS = 1_500.0
"""How long requests stay in flight at the version that ends."""

ROUTES = ("a", "b", "c")


@dataclass(frozen=True)
class Load:
    """Requests to three routes, and the responses of both versions.

    ``failed`` and ``slow`` are the shares of bad responses of both versions,
    ``bad_share`` that of the target in addition, from ``onset_ms`` after its start.
    """

    rate_per_s: float
    failed: float = 0.0
    slow: float = 0.0
    bad_share: float = 0.0
    bad_kind: str = "failed"
    bad_routes: tuple[str, ...] = ROUTES
    onset_ms: float = 0.0


@dataclass
class Outcome:
    """How a roll-out ended, and what the target got."""

    stage: str
    ended_ms: float
    n_target: int
    bad_for_ms: float | None
    """The time from the first bad response to ``reverting``."""

    until_full_ms: float | None
    late_ms: float
    """The time from the 50th bad response to the last request of the target."""


def poisson(rng, mean):
    limit, n, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        n, product = n + 1, product * rng.random()
    return n


class Responses:
    """Cumulative counts by route."""

    def __init__(self, load, rng):
        self._load = load
        self._rng = rng
        self._counts = {route: [0] * 6 for route in ROUTES}
        self.bad_at = []
        self.n_target = 0
        self.last_target_at = 0.0

    def add(self, share, now_ms):
        mean = self._load.rate_per_s * STEP_MS / 1000 / len(ROUTES)
        for route in ROUTES:
            for _ in range(poisson(self._rng, mean)):
                is_target = now_ms > TARGET_START_MS and self._rng.random() < share
                self._respond(route, is_target, now_ms)
        return {route: RouteCounts(*counts) for route, counts in self._counts.items()}

    def _respond(self, route, is_target, now_ms):
        load, rng = self._load, self._rng
        is_failed = rng.random() < load.failed
        is_slow = rng.random() < load.slow
        if is_target and self._is_spoilt(route, now_ms):
            is_failed |= load.bad_kind == "failed"
            is_slow |= load.bad_kind == "slow"
            self.bad_at.append(now_ms)
        counts = self._counts[route]
        offset = 3 if is_target else 0
        counts[offset] += 1
        counts[offset + 1] += is_failed
        counts[offset + 2] += is_slow and not is_failed
        if is_target:
            self.n_target += 1
            self.last_target_at = now_ms

    def _is_spoilt(self, route, now_ms):
        load = self._load
        if route not in load.bad_routes:
            return False
        if now_ms < TARGET_START_MS + load.onset_ms:
            return False
        return self._rng.random() < load.bad_share


def run_rollout(load, rng, duration_ms=12_000):
    """Run a roll-out to its end, or until some time after its deadline."""
    state = ReplicatedState()
    state.apply(1, StartRollout("s", "v2", duration_ms, 0))
    rollout = state.rollouts["s"]
    responses, evidence = Responses(load, rng), Evidence(duration_ms, 0.0)
    delayed, shares = [], [(0.0, rollout.share)]
    now_ms = stage_at = 0.0
    until_full_ms = reverted_at = None
    while not rollout.is_final and now_ms < duration_ms + 3_000:
        now_ms += STEP_MS
        share = [s for at, s in shares if at <= now_ms][-1]
        delayed.append(responses.add(share, now_ms))
        if len(delayed) > REPORT_DELAY_MS / STEP_MS:
            evidence.record(delayed.pop(0), now_ms)
        situation = situation_at(now_ms, stage_at, evidence, load)
        decision = decide(rollout, situation, ExposureLimits())
        if decision is None:
            continue
        assert state.apply(state.index + 1, decision.command)
        rollout, stage_at = state.rollouts["s"], now_ms
        shares.append((now_ms + FEED_DELAY_MS, rollout.share))
        if rollout.stage.value == "full":
            until_full_ms = now_ms
        elif rollout.stage.value == "reverting":
            reverted_at = now_ms
    bad_at = responses.bad_at
    is_detected = bool(bad_at) and reverted_at is not None
    return Outcome(
        rollout.stage.value,
        now_ms,
        responses.n_target,
        reverted_at - bad_at[0] if is_detected else None,
        until_full_ms,
        responses.last_target_at - bad_at[49] if len(bad_at) >= 50 else 0.0,
    )


def situation_at(now_ms, stage_at, evidence, load):
    has_target = now_ms > TARGET_START_MS
    is_idle = now_ms - stage_at > IDLE_AFTER_MS
    return Situation(
        elapsed_ms=now_ms,
        in_stage_ms=now_ms - stage_at,
        target_seen_ms=now_ms - TARGET_START_MS if has_target else None,
        total=evidence.total,
        n_in_flight_target=0,
        rate_per_s=load.rate_per_s,
        since_many_bad_ms=0.0,
        finding=evidence.judge(),
        has_reports=True,
        is_old_idle=is_idle,
        is_target_idle=is_idle,
    )


def exposure_limit(load, duration_ms=12_000):
    return 0.1 * load.rate_per_s * duration_ms / 1000 + 50
