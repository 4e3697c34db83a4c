"""Tests of selection policies with stale and misleading load reports."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.clock import Instant
from pollenfold.core.routing import (
    REPORT_HALF_LIFE_MS,
    Candidate,
    least_in_flight,
    observe_failure,
    observe_latency,
    prefer_zone,
    probe_score,
    random_choice,
    round_robin,
    score,
    two_choices_ewma,
)

NOW = Instant(1000.0)
POLICIES = [
    random_choice,
    round_robin(),
    least_in_flight,
    two_choices_ewma,
    probe_score,
]


def make_candidates(n_candidates, **fields):
    return [
        Candidate(str(i), "a", slots=6, limit=6, observed_at=NOW, **fields)
        for i in range(n_candidates)
    ]


@pytest.mark.parametrize("policy", POLICIES)
def test_policy_chooses_a_candidate(policy):
    """Guards against a policy that fails for one candidate or returns none of them."""
    rng = random.Random(1)
    for n_candidates in (1, 2, 20):
        candidates = make_candidates(n_candidates)
        for _ in range(50):
            assert policy(candidates, rng, NOW) in candidates


def share_of_first(policy, candidates):
    rng = random.Random(1)
    return (
        sum(policy(candidates, rng, NOW) is candidates[0] for _ in range(2000)) / 2000
    )


@pytest.mark.parametrize("policy", [two_choices_ewma, probe_score])
def test_slow_server_gets_less(policy):
    """Guards against a slow server that keeps its full share of the load."""
    candidates = make_candidates(10, ewma_ms=10.0)
    candidates[0].ewma_ms = 200.0
    assert share_of_first(policy, candidates) < 0.02


def test_busy_report_counts_while_it_is_fresh():
    """Guards against a policy that ignores a load report, or never discards it."""
    candidates = make_candidates(10, ewma_ms=10.0)
    candidates[0].reported_in_flight = 12.0
    candidates[0].reported_at = NOW
    assert share_of_first(probe_score, candidates) < 0.02
    candidates[0].reported_at = Instant(NOW - 1000.0)
    assert 0.05 < share_of_first(probe_score, candidates) < 0.2


def test_server_that_reports_too_low_a_load_gains_nothing():
    """Guards against a misleading report that attracts load."""
    unreported, underreporting = make_candidates(2, ewma_ms=10.0, n_in_flight=4)
    underreporting.reported_in_flight = 0.0
    underreporting.reported_at = NOW
    assert score(underreporting, NOW) == score(unreported, NOW)


@given(st.integers(0, 20), st.integers(0, 10**6), st.sampled_from([0, 10, 1000]))
def test_no_report_improves_the_rank(n_in_flight, reported, age_ms):
    """Guards against a server that attracts load with a false report."""
    unreported, reporting = make_candidates(2, ewma_ms=10.0, n_in_flight=n_in_flight)
    reporting.reported_in_flight = float(reported)
    reporting.reported_at = Instant(NOW - age_ms)
    assert score(reporting, NOW) >= score(unreported, NOW)


def test_weight_of_a_report_decays_with_its_age():
    """Guards against a stale report that has the weight of a new one."""
    (candidate,) = make_candidates(1, ewma_ms=10.0)
    base_score = score(candidate, NOW)
    candidate.reported_in_flight = float(candidate.slots)
    loads = []
    for n_half_lives in range(3):
        candidate.reported_at = Instant(NOW - n_half_lives * REPORT_HALF_LIFE_MS)
        loads.append(score(candidate, NOW) / base_score - 1.0)
    assert loads == pytest.approx([1.0, 0.5, 0.25])


def test_requests_spill_to_other_zones_before_they_queue():
    """Guards against queueing in the local zone while another zone is idle."""
    local, remote = make_candidates(2)
    remote.zone = "b"
    assert prefer_zone([local, remote], "a") == [local]
    local.n_in_flight = local.slots
    assert prefer_zone([local, remote], "a") == [local, remote]


def test_latency_rises_immediately_and_falls_slowly():
    """Guards against an average that hides a sudden slow-down."""
    (candidate,) = make_candidates(1, ewma_ms=10.0)
    observe_latency(candidate, 100.0, NOW)
    assert candidate.ewma_ms == 100.0
    observe_latency(candidate, 10.0, NOW)
    assert 80.0 < candidate.ewma_ms < 100.0


def test_server_with_one_slow_response_is_tried_again():
    """Guards against permanently excluding a server after one slow response."""
    candidates = make_candidates(10)
    for candidate in candidates:
        observe_latency(candidate, 10.0, NOW)
    observe_latency(candidates[0], 500.0, NOW)
    rng = random.Random(1)
    now = NOW
    for _ in range(5000):
        now = Instant(now + 2.0)
        chosen = probe_score(candidates, rng, now)
        observe_latency(chosen, 10.0, now)
    assert candidates[0].ewma_ms < 100.0


def test_failure_counts_as_a_timeout():
    """Guards against a server that appears fast because it fails fast."""
    candidates = make_candidates(10, ewma_ms=10.0)
    observe_failure(candidates[0], 100.0, NOW)
    assert share_of_first(probe_score, candidates) < 0.02


def test_cold_endpoint_of_another_zone_is_chosen():
    """Guards against an endpoint that stays cold while local ones have capacity."""
    local, remote, cold = make_candidates(3)
    remote.zone = cold.zone = "b"
    cold.is_warming = True
    assert prefer_zone([local, remote, cold], "a") == [local, cold]
    local.n_in_flight = local.slots
    assert prefer_zone([local, remote, cold], "a") == [local, remote, cold]
