"""Tests of the choice of the replica that sends updates to an entry."""

from pollenfold.core.update_source import UpdateSource, choose_update_source


def test_own_zone_is_preferred_unless_its_replica_is_partitioned():
    """Guards against an entry without updates because its replica is partitioned."""
    local, remote = UpdateSource("n", "a", False), UpdateSource("f", "b", False)
    assert choose_update_source([remote, local], "e1", "a") == "n"
    partitioned = UpdateSource("n", "a", True)
    assert choose_update_source([remote, partitioned], "e1", "a") == "f"
    assert choose_update_source([partitioned], "e1", "a") == "n"
    assert choose_update_source([], "e1", "a") is None


def test_entries_of_a_zone_without_replica_are_spread():
    """Guards against one replica that sends updates to all entries of such a zone."""
    sources = [UpdateSource(f"h{n}", "b", False) for n in range(4)]
    chosen = {choose_update_source(sources, f"e{n}", "a") for n in range(60)}
    assert chosen == {"h0", "h1", "h2", "h3"}
