"""Decisions on roll-outs by a leader that doesn't know the earlier evidence."""

import curio
import pytest

from pollenfold.control.rollouts import _Tracker
from pollenfold.core.replicated_state import ReplicatedState, StartRollout
from pollenfold.core.rollouts.controller import ExposureLimits, Situation, decide
from pollenfold.core.rollouts.evidence import RouteCounts
from pollenfold.core.rollouts.reports import Report
from pollenfold.core.rollouts.state import RolloutStage
from pollenfold.tests.control.test_cluster import wait_until
from pollenfold.tests.control.test_rollouts import (
    end_of,
    stage_of,
    start_rollout,
)

DURATION_MS = 12_000
STEP_MS = 75.0


def first_decision(elapsed_ms, reports_after_ms, bad_share, for_ms):
    """Return the first stage but the ramp on which a new leader decides.

    Until its election the target had 170 responses of 2,700, and 18 per second follow.
    """
    state = ReplicatedState()
    state.apply(1, StartRollout("s", "v2", DURATION_MS, 0))
    rollout = state.rollouts["s"]
    tracker = _Tracker(rollout, elapsed_ms, 0.0)
    now = 0.0
    while now < for_ms:
        if now >= reports_after_ms:
            n_new = int(170 + 0.018 * now)
            counts = RouteCounts(2_530 + int(0.28 * now), 0, 0, n_new)
            counts += RouteCounts(n_new_failed=int(bad_share * n_new))
            report = Report("s", 1, 1, 0, 0, {"r1": counts})
            tracker.reports.add("e0", 1, report, now)
        tracker.update(rollout, True, True, now)
        situation = Situation(
            elapsed_ms=elapsed_ms + now,
            in_stage_ms=tracker.in_stage_ms(now),
            target_seen_ms=8_000.0,
            total=tracker.evidence.total,
            n_in_flight_target=0,
            rate_per_s=tracker.rate_per_s(),
            since_many_bad_ms=0.0,
            finding=tracker.evidence.judge(),
            has_reports=tracker.reports.has_all(["e0"], now),
            is_old_idle=False,
            is_target_idle=False,
            known_ms=tracker.known_ms(now),
        )
        decision = decide(rollout, situation, ExposureLimits())
        if decision is not None and decision.command.stage is not RolloutStage.RAMP:
            return decision.command.stage
        now += STEP_MS
    return None


@pytest.mark.parametrize("reports_after_ms", [0.0, 300.0])
@pytest.mark.parametrize("elapsed_ms", [7_500.0, 9_200.0])
def test_new_leader_does_not_send_all_requests_to_a_bad_version(
    elapsed_ms, reports_after_ms
):
    """Load: the leader is lost before it takes back a version of which a quarter of
    the responses fail.

    Guards against a successor that calls the version good since it has no reports yet,
    or has just the first ones, whose bad responses don't spread in time.
    """
    stage = first_decision(elapsed_ms, reports_after_ms, 0.25, 2_500.0)
    assert stage is RolloutStage.REVERTING


def test_new_leader_completes_a_good_version_in_time():
    """Guards against a successor that waits for too long."""
    assert first_decision(7_500.0, 300.0, 0.0, 1_200.0) is RolloutStage.FULL
    assert first_decision(11_000.0, 100.0, 0.0, 600.0) is RolloutStage.FULL


def test_roll_out_does_not_end_while_no_entry_is_connected(with_cluster):
    """Load: all entries lose their feeds for longer than ``contact_ms``, with a request
    in flight at the old version, while the replicas keep a leader.

    Guards against an end that no entry confirmed, and against one that is reported
    before the entries connected again.
    """

    async def body(cluster):
        entries = await start_rollout(cluster, 3.0)
        for entry in entries:
            entry.is_stuck = True
        await wait_until(lambda: stage_of(cluster) is RolloutStage.FULL)
        servers = [running.node.feed_server for running in cluster.running.values()]
        for server in servers:
            server.entry_names = set
        await curio.sleep(3.0)
        assert stage_of(cluster) is RolloutStage.FULL
        # The first entry connects again before the others, and has nothing in flight.
        entries[0].is_stuck = False
        for server in servers:
            server.entry_names = lambda: {entries[0].name}
        await curio.sleep(0.5)
        assert stage_of(cluster) is RolloutStage.FULL
        for server in servers:
            del server.entry_names
        await curio.sleep(2.5)
        assert stage_of(cluster) is RolloutStage.FULL
        for entry in entries:
            entry.is_stuck = False
        async with curio.timeout_after(2.0):
            assert await end_of(cluster) == "completed"

    with_cluster(body)
