"""A replica detects whether its data folder is the one it used before."""

import pytest

from pollenfold.storage.identity import load_identity, mark_joined


def test_empty_folder_is_blank_until_joined(tmp_path):
    """Guards against a replica that votes again after it lost its disk."""
    identity = load_identity(tmp_path, "a")
    assert identity.is_blank
    assert load_identity(tmp_path, "a") == identity
    mark_joined(tmp_path, identity)
    reloaded = load_identity(tmp_path, "a")
    assert not reloaded.is_blank
    assert reloaded.incarnation == identity.incarnation


def test_lost_disk_draws_a_new_incarnation(tmp_path):
    """Guards against peers that mistake an empty replica for its predecessor."""
    first = load_identity(tmp_path / "one", "a")
    assert load_identity(tmp_path / "two", "a").incarnation != first.incarnation


def test_folder_of_another_replica_is_refused(tmp_path):
    """Guards against a data folder mounted on the wrong VM."""
    load_identity(tmp_path, "a")
    with pytest.raises(ValueError, match="expected a data folder of replica b"):
        load_identity(tmp_path, "b")
