"""The replica from which an entry takes its news."""

from pollenfold.core.news_source import Source, choose_source


def test_own_zone_comes_first_unless_it_hears_too_few():
    """Guards against an entry that is told nothing because its replica is cut off."""
    near, far = Source("n", "a", 4), Source("f", "b", 4)
    assert choose_source([far, near], "e1", "a", 5) == "n"
    cut_off = Source("n", "a", 1)
    assert choose_source([far, cut_off], "e1", "a", 5) == "f"
    assert choose_source([cut_off], "e1", "a", 5) == "n"
    assert choose_source([], "e1", "a", 5) is None


def test_zone_without_replica_spreads_its_entries():
    """Guards against one replica that serves every entry of such a zone."""
    sources = [Source(f"h{n}", "b", 4) for n in range(4)]
    chosen = {choose_source(sources, f"e{n}", "a", 5) for n in range(60)}
    assert chosen == {"h0", "h1", "h2", "h3"}
