"""A short run of the soak; each seed that ever failed stays here."""

from pathlib import Path

import pytest

from benchmarks.soak import run_seed

FAILED_SEEDS = {
    3: "a second SIGTERM ended a control process that was stopping",
    8: "a SIGHUP ended an entry that was starting or stopping",
}


@pytest.mark.parametrize("seed", sorted({100, *FAILED_SEEDS}))
def test_promises_hold_under_faults(seed, tmp_path: Path):
    """Guards against broken promises under overlapping faults from outside."""
    assert run_seed(seed, 1, tmp_path) == []
