"""Commands of the replicated log, and their effect on announced endpoints."""

import json
import random

import pytest

from pollenfold.core.orders import (
    MAX_DEPARTURES,
    Configure,
    Depart,
    Evacuate,
    Orders,
    decode_order,
    decode_orders,
    encode_order,
)
from pollenfold.core.registry import (
    Announcement,
    Registry,
    decode_announcement,
    may_get_work,
)


def announcement(endpoint_id="i-1", **changes):
    fields = {
        "endpoint_id": endpoint_id,
        "service": "s",
        "host": "10.0.0.1",
        "port": 80,
        "zone": "a",
        "slots": 4,
        "is_leaving": False,
        "warmup_left_ms": 0.0,
        "born_ms": 1000,
        "sequence": 1,
    }
    return Announcement(**{**fields, **changes})


@pytest.mark.parametrize(
    "order", [Configure(3, '{"x": 1}'), Evacuate("a", True), Depart("i-1", 5)]
)
def test_orders_survive_encoding(order):
    """Guards against a command that changes when it is encoded and decoded."""
    assert decode_order(encode_order(order)) == order


@pytest.mark.parametrize("command", [b"", b"\xff", b"[]", b'["configure", "3", 1]'])
def test_other_bytes_are_no_order(command):
    """Guards against a malformed command that terminates the process."""
    with pytest.raises(ValueError):
        decode_order(command)


def test_highest_version_is_in_force():
    """Guards against a configuration replaced by one of an older or equal version."""
    orders = Orders()
    assert orders.apply(1, Configure(5, "five"))
    assert not orders.apply(2, Configure(5, "other five"))
    assert not orders.apply(3, Configure(4, "four"))
    assert (orders.version, orders.document, orders.index) == (5, "five", 3)


def test_orders_survive_a_snapshot():
    """Guards against an acknowledged command whose effect a snapshot loses."""
    orders = Orders()
    orders.apply(1, Configure(5, "five"))
    orders.apply(2, Evacuate("a", True))
    orders.apply(3, Depart("i-1", 7))
    assert decode_orders(orders.encode()) == orders


def test_departures_are_bounded():
    """Guards against replicated state that grows with every departure."""
    orders = Orders()
    for number in range(MAX_DEPARTURES + 5):
        orders.apply(number, Depart(f"i-{number}", 1))
    assert len(orders.departures) == MAX_DEPARTURES
    assert orders.has_departed(f"i-{MAX_DEPARTURES + 4}", 1)


def test_departure_binds_one_life():
    """Guards against a late announcement that returns a departed endpoint to service,
    and against an endpoint that gets no requests after a restart under its old id."""
    orders = Orders()
    orders.apply(1, Depart("i-1", 1000))
    assert not may_get_work(announcement(sequence=99), orders)
    assert may_get_work(announcement(born_ms=1001, sequence=1), orders)


def test_evacuated_zone_gets_no_work():
    """Guards against requests to endpoints of an evacuated zone."""
    orders = Orders()
    orders.apply(1, Evacuate("a", True))
    assert not may_get_work(announcement(), orders)
    orders.apply(2, Evacuate("a", False))
    assert may_get_work(announcement(), orders)


def test_older_word_of_one_life_is_ignored():
    """Guards against a delayed announcement that replaces a newer one."""
    registry = Registry()
    assert registry.merge(announcement(sequence=5, is_leaving=True), 0.0)
    assert not registry.merge(announcement(sequence=4), 1.0)
    assert registry.get("i-1").is_leaving


def test_sequence_starts_anew_with_a_later_life():
    """Guards against ignoring a restarted endpoint because its sequence restarts."""
    registry = Registry()
    registry.merge(announcement(sequence=50), 0.0)
    assert registry.merge(announcement(sequence=1, born_ms=2000), 1.0)
    assert registry.get("i-1").born_ms == 2000


def test_address_belongs_to_the_one_born_last():
    """Guards against an address that is assigned to an earlier endpoint by a delayed
    announcement."""
    registry = Registry()
    registry.merge(announcement("old", born_ms=1000), 0.0)
    assert registry.merge(announcement("new", born_ms=2000), 1.0)
    assert registry.get("old") is None
    assert not registry.merge(announcement("old", born_ms=1000, sequence=9), 2.0)
    assert registry.get("new") is not None


def test_endpoint_may_move_to_another_address():
    """Guards against an address that stays assigned to an endpoint after it moved."""
    registry = Registry()
    registry.merge(announcement(sequence=1), 0.0)
    registry.merge(announcement(sequence=2, port=81), 1.0)
    assert registry.merge(announcement("other", born_ms=500), 2.0)


def test_silent_endpoints_expire():
    """Guards against keeping crashed endpoints indefinitely."""
    registry = Registry()
    registry.merge(announcement("quiet"), 0.0)
    registry.merge(announcement("alive", port=81), 0.0)
    registry.hear("alive", 500.0)
    registry.hear("nobody", 500.0)
    assert registry.expire(400.0) == ["quiet"]
    assert len(registry) == 1


def test_only_news_is_passed_on():
    """Guards against sending every heartbeat to every entry."""
    registry = Registry()
    registry.merge(announcement(warmup_left_ms=900.0), 0.0)
    assert not registry.merge(announcement(sequence=2, warmup_left_ms=400.0), 1.0)
    assert registry.merge(announcement(sequence=3, warmup_left_ms=0.0), 2.0)
    assert registry.merge(announcement(sequence=4, warmup_left_ms=3000.0), 3.0)


def test_announcement_survives_encoding():
    """Guards against fields that are decoded in a different order."""
    known = announcement(warmup_left_ms=12.5, is_leaving=True)
    assert decode_announcement(known.encode()) == known
    with pytest.raises(ValueError):
        decode_announcement(known.encode()[:-1])


@pytest.mark.parametrize("seed", range(20))
def test_reader_that_gets_only_what_it_lacks_holds_all_orders(seed):
    """Guards against a departure or configuration that a subscriber never receives,
    because it fetched updates in between or from a replica restored from a snapshot."""
    rng = random.Random(seed)
    held, reader = Orders(), Orders()
    for index in range(1, 200):
        order = rng.choice(
            [
                Depart(f"i-{rng.randrange(30)}", rng.randrange(5)),
                Evacuate(rng.choice("ab"), rng.random() < 0.5),
                Configure(index // 20, f"document {index // 20}"),
            ]
        )
        held.apply(index, order)
        if rng.random() < 0.1:
            held = decode_orders(held.encode())
        if rng.random() < 0.3:
            fields = held.encode_since(reader.index, reader.version)
            reader = reader.merged(json.loads(json.dumps(fields)))
            assert reader == held


def test_only_a_changed_configuration_is_sent():
    """Guards against sending the complete configuration to every entry whenever an
    endpoint leaves."""
    held = Orders()
    held.apply(1, Configure(1, "x" * 50_000))
    reader = decode_orders(held.encode())
    held.apply(2, Depart("i-1", 5))
    fields = held.encode_since(reader.index, reader.version)
    assert len(json.dumps(fields)) < 200
    assert reader.merged(fields) == held


def test_orders_on_top_of_unknown_ones_are_rejected():
    """Guards against a subscriber that accepts a difference as the complete state."""
    held = Orders()
    held.apply(5, Configure(1, "one"))
    with pytest.raises(ValueError):
        Orders().merged(held.encode_since(4, 0))
    with pytest.raises(KeyError):
        Orders().merged({**held.encode_since(0, 1), "since": 0})
