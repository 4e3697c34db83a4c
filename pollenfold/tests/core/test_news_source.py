"""The replica from which an entry takes its news."""

from pollenfold.core.news_source import Source, choose_source


def test_own_zone_comes_first_unless_it_is_cut_off():
    """Guards against an entry that is told nothing because its replica is cut off."""
    near, far = Source("n", "a", False), Source("f", "b", False)
    assert choose_source([far, near], "e1", "a") == "n"
    cut_off = Source("n", "a", True)
    assert choose_source([far, cut_off], "e1", "a") == "f"
    assert choose_source([cut_off], "e1", "a") == "n"
    assert choose_source([], "e1", "a") is None


def test_zone_without_replica_spreads_its_entries():
    """Guards against one replica that serves every entry of such a zone."""
    sources = [Source(f"h{n}", "b", False) for n in range(4)]
    chosen = {choose_source(sources, f"e{n}", "a") for n in range(60)}
    assert chosen == {"h0", "h1", "h2", "h3"}
