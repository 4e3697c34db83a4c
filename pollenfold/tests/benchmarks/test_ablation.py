"""Tests of the list of mechanisms that an ablation run disables one at a time."""

import shutil

import pytest

from benchmarks.ablation import ROOT, load_mechanisms, select_mechanisms

MECHANISMS = load_mechanisms()


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda m: m.name)
def test_change_fits_the_present_code(mechanism, tmp_path):
    """Guards against a patch that no longer applies to the current code."""
    path = tmp_path / mechanism.file
    path.parent.mkdir(parents=True)
    shutil.copy(ROOT / mechanism.file, path)
    before = path.read_text()
    mechanism.switch_off(tmp_path)
    after = path.read_text()
    assert after != before
    compile(after, str(path), "exec")


def test_unknown_name_is_refused():
    """Guards against a misspelt name that selects all mechanisms."""
    with pytest.raises(ValueError, match="unknown: pennalties"):
        select_mechanisms(["pennalties"], MECHANISMS)
