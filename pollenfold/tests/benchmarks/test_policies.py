"""Tests of the simulation model that compares selection policies."""

import pytest

from benchmarks.policies import (
    BURST_EVERY_MS,
    BURST_MS,
    DURATION_MS,
    FAILING,
    LOAD,
    N_ENDPOINTS,
    POLICIES,
    SLOTS,
    Model,
    compare_policies,
    draw_calls,
    is_failing,
)


def test_all_policies_get_the_same_calls_at_the_stated_load():
    """Guards against a comparison in which the policies get different calls."""
    calls = draw_calls(1)
    assert calls == draw_calls(1) != draw_calls(2)
    work_ms = sum(call.work_ms for call in calls)
    capacity_ms = N_ENDPOINTS * SLOTS * DURATION_MS
    assert work_ms / capacity_ms == pytest.approx(LOAD, rel=0.03)
    n_in_bursts = sum(call.at % BURST_EVERY_MS < BURST_MS for call in calls)
    # Bursts take 5 of 100 ms at four times the rate.
    assert n_in_bursts / len(calls) == pytest.approx(20 / 115, rel=0.1)


def test_model_is_deterministic_and_completes_every_call():
    """Guards against results that aren't reproducible, and lost calls."""
    first, second = (Model(POLICIES["probe_score"], 1) for _ in range(2))
    result = first.run()
    assert second.run().n_good == result.n_good
    assert result.n_calls == len(draw_calls(1))
    assert all(
        candidate.n_in_flight == 0 for view in first._views for candidate in view
    )


def test_failing_endpoint_fails_for_a_third_of_the_run():
    """Guards against a simulated fault that never occurs."""
    n_failing = sum(is_failing(FAILING, at) for at in range(int(DURATION_MS)))
    assert n_failing == pytest.approx(DURATION_MS / 3, abs=1)


def test_comparison_names_every_policy_with_its_baseline():
    """Guards against a reported result without its baseline."""
    lines = list(compare_policies([1]))
    assert len(lines) == 4 * len(POLICIES)
    assert all(" baseline_random=" in line for line in lines)
