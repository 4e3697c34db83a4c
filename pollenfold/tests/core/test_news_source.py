"""Tests of the choice of the replica that sends updates to an entry."""

from pollenfold.core.news_source import Source, choose_source


def test_own_zone_is_preferred_unless_its_replica_is_partitioned():
    """Guards against an entry without updates because its replica is partitioned."""
    local, remote = Source("n", "a", False), Source("f", "b", False)
    assert choose_source([remote, local], "e1", "a") == "n"
    partitioned = Source("n", "a", True)
    assert choose_source([remote, partitioned], "e1", "a") == "f"
    assert choose_source([partitioned], "e1", "a") == "n"
    assert choose_source([], "e1", "a") is None


def test_entries_of_a_zone_without_replica_are_spread():
    """Guards against one replica that sends updates to all entries of such a zone."""
    sources = [Source(f"h{n}", "b", False) for n in range(4)]
    chosen = {choose_source(sources, f"e{n}", "a") for n in range(60)}
    assert chosen == {"h0", "h1", "h2", "h3"}
