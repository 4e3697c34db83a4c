"""The choice of the entry to which a request is passed on."""

import random
from collections import Counter

from pollenfold.core.peer_choice import (
    CUT_MEMORY_MS,
    REPORT_LIFETIME_MS,
    PeerCandidate,
    PeerTable,
)

LOCAL = [PeerCandidate(f"a-{number}", True) for number in range(3)]
REMOTE = [PeerCandidate(f"b-{number}", False) for number in range(3)]
ALL = [*LOCAL, *REMOTE]
REACHED = frozenset(("s",))


def table_with(candidates, n_in_flight=0, now=0.0):
    """Return what an entry knows after these peers reported that they reach "s"."""
    table = PeerTable()
    for candidate in candidates:
        table.record_report(candidate.entry_id, REACHED, n_in_flight, now)
    return table


def choose(table, now=0.0, service="s", excluded=(), seed=1):
    chosen = table.choose(ALL, service, excluded, now, random.Random(seed))
    return None if chosen is None else chosen.entry_id


def test_own_zone_comes_first():
    """Guards against bytes between zones while the own zone has room."""
    table = table_with(ALL, n_in_flight=4)
    assert all(choose(table, seed=k).startswith("a-") for k in range(50))


def test_other_zone_is_used_when_the_own_is_much_busier():
    """Guards against a zone whose few connected entries are overloaded by the rest."""
    table = table_with(ALL, n_in_flight=2)
    for candidate in LOCAL:
        table.record_load(candidate.entry_id, 40)
    assert all(choose(table, seed=k).startswith("b-") for k in range(50))


def test_other_zone_is_used_when_the_own_is_cut():
    """Guards against refusals while all of a zone is cut off."""
    table = table_with(REMOTE)
    for candidate in LOCAL:
        table.record_report(candidate.entry_id, frozenset(), 0, 0.0)
    assert choose(table).startswith("b-")


def test_peer_that_does_not_reach_the_service_is_not_chosen():
    """Guards against entries that pass work on in circles when servers are down."""
    table = table_with(LOCAL)
    assert choose(table, service="t") is None
    for candidate in LOCAL:
        table.record_unreached(candidate.entry_id, "s", 0.0)
    assert choose(table) is None


def test_old_report_is_not_relied_on():
    """Guards against requests that are passed on to an entry that was cut meanwhile."""
    table = table_with(ALL)
    assert choose(table, now=REPORT_LIFETIME_MS + 1.0) is None


def test_requests_on_their_way_count_as_load():
    """Guards against a herd at the entry that reported the least load."""
    table = table_with(LOCAL)
    chosen = Counter()
    for seed in range(60):
        entry_id = choose(table, seed=seed)
        table.begin_relay(entry_id)
        chosen[entry_id] += 1
    assert max(chosen.values()) - min(chosen.values()) <= 4


def test_unreachable_peer_is_avoided_for_a_while():
    """Guards against requests that are lost at the same peer one after the other."""
    table = table_with(LOCAL[:1])
    table.record_unreachable("a-0", 0.0)
    assert choose(table) is None


def test_cut_peers_are_not_asked_again_at_once():
    """Guards against questions to the same cut peers while others aren't asked."""
    table = table_with([])
    table.record_report("a-0", frozenset(), 0, 0.0)
    rng = random.Random(1)
    asked = table.choose_to_ask(ALL, 4, (), 1.0, rng)
    assert len(asked) == 4
    assert "a-0" not in {candidate.entry_id for candidate in asked}
    later = table.choose_to_ask(ALL, 6, (), CUT_MEMORY_MS, rng)
    assert "a-0" in {candidate.entry_id for candidate in later}


def test_cut_peers_are_asked_again_if_there_are_no_others():
    """Guards against an entry that refuses all requests for seconds, because each of
    its few peers once reported that it reached nothing."""
    table = table_with([])
    for candidate in ALL:
        table.record_report(candidate.entry_id, frozenset(), 0, 0.0)
    assert len(table.choose_to_ask(ALL, 4, (), 1.0, random.Random(1))) == 4


def test_both_zones_are_asked():
    """Guards against a check that asks only entries of a zone that is wholly cut."""
    asked = table_with([]).choose_to_ask(ALL, 4, (), 0.0, random.Random(3))
    assert Counter(candidate.is_local for candidate in asked) == {True: 2, False: 2}


def test_entries_that_left_are_forgotten():
    """Guards against memory that grows with each entry that ever was."""
    table = table_with(ALL)
    table.retain({"a-0"})
    assert choose(table) == "a-0"
