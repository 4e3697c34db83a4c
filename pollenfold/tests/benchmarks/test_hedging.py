"""The simulation of hedged requests."""

import pytest

from benchmarks import hedging


@pytest.fixture(autouse=True)
def short_runs(monkeypatch):
    monkeypatch.setattr(hedging, "DURATION_MS", 70_000.0)
    monkeypatch.setattr(hedging, "WARMUP_MS", 30_000.0)


def test_hedges_shorten_the_tail_within_their_limit():
    """Load: 3 of 100 responses take seven times as long. Guards against decisions that
    together leave the tail as it is."""
    scenario = hedging.SCENARIOS[0]
    base = hedging.Model(scenario, 0.0, 1).run()
    figures = hedging.Model(scenario, 0.05, 1).run()
    assert 0 < figures.n_hedges <= 0.05 * figures.n_requests
    assert figures.percentile(0.99) < 0.75 * base.percentile(0.99)
    assert figures.work_ms < 1.05 * base.work_ms


def test_overload_is_not_increased():
    """Load: 1.5 times the capacity. Guards against hedges that add to an overload."""
    figures = hedging.Model(hedging.SCENARIOS[-1], 0.1, 1).run()
    assert figures.n_refused > 0.2 * figures.n_requests
    assert figures.n_hedges == 0
