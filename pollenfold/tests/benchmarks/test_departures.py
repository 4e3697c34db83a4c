"""Real control replicas that are replaced faster than their silence is noticed."""

import pytest

from benchmarks.departures import Plan, run_seed


@pytest.mark.parametrize(
    "plan",
    [
        Plan(n_leaving=3, gap_s=1.0, leader_position=1, is_one_killed=False),
        Plan(n_leaving=5, gap_s=0.3, leader_position=0, is_one_killed=False),
    ],
    ids=["three", "all"],
)
def test_group_survives_the_planned_departure_of_its_members(tmp_path, plan):
    """Guards against a group without a majority for good after planned departures,
    though the successors held the whole log."""
    assert run_seed(1, tmp_path, plan=plan) == []
