"""Selection by a look at the load just before the send."""

import random

import pytest

from pollenfold.core.selection import (
    EndpointHealth,
    Option,
    ServerLoad,
    choose_round,
    choose_without_reports,
    expected_slowdown,
)


def option(name, is_local=True, has_idle=False):
    return Option(name, is_local, EndpointHealth(), has_idle)


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        (ServerLoad(0, 0, 6), ServerLoad(5, 0, 6)),
        (ServerLoad(5, 0, 6), ServerLoad(6, 3, 6)),
        (ServerLoad(3, 0, 6), ServerLoad(0, 0, 6, slowdown=5.0)),
        (ServerLoad(6, 2, 6), ServerLoad(0, 0, 6, slowdown=5.0)),
    ],
)
def test_expected_slowdown_orders_servers(better, worse):
    """Guards against an idle server on a busy VM that attracts the requests."""
    assert expected_slowdown(better) < expected_slowdown(worse)


def test_own_zone_is_asked_first():
    """Guards against questions across zones while the own zone may do."""
    options = [option("a1"), option("a2"), option("b1", False), option("b2", False)]
    chosen = choose_round(options, 2, True, 0.0, random.Random(1))
    assert {o.endpoint_id for o in chosen} == {"a1", "a2"}


def test_other_zones_are_asked_when_the_own_has_nothing():
    """Guards against a zone without endpoints that refuses its callers."""
    options = [option("b1", False)]
    assert choose_round(options, 2, True, 0.0, random.Random(1)) == options


def test_unreachable_endpoint_is_left_out_and_tried_again():
    """Guards against waiting for a dead endpoint at every request."""
    dead, alive = option("dead"), option("alive")
    dead.health.mark_unreachable(0.0)
    chosen = choose_round([dead, alive], 2, True, 1.0, random.Random(1))
    assert chosen == [alive]
    assert choose_round([dead], 1, True, 1.0, random.Random(1)) == [dead]
    assert not dead.health.is_unreachable(5_000.0)


def test_pause_of_an_unreachable_endpoint_grows_and_is_bounded():
    """Guards against a dead endpoint that is asked several times a second."""
    health = EndpointHealth()
    ends = []
    for _ in range(8):
        health.mark_unreachable(0.0)
        ends.append(health.unreachable_until)
    assert ends == sorted(ends)
    assert ends[0] < ends[-1] <= 2_000.0


def test_endpoint_that_fails_loses_to_one_that_does_not():
    """Guards against a server that fails fast and attracts load by being quick."""
    failing, sound = option("failing"), option("sound")
    for health, latency_ms in ((failing.health, 5.0), (sound.health, 50.0)):
        health.observe(latency_ms)
    for _ in range(10):
        failing.health.fail(2.0, 0.0)
    rng = random.Random(1)
    assert choose_without_reports([failing, sound], 0.0, rng) is failing
    failing.health.observe(60.0)
    failing.health.latency_ms = sound.health.latency_ms
    assert choose_without_reports([failing, sound], 0.0, rng) is sound


def test_penalty_fades():
    """Guards against an endpoint that never gets work again after it recovered."""
    health = EndpointHealth()
    health.fail(4.0, 0.0)
    assert health.penalty(0.0) == pytest.approx(4.0)
    assert health.penalty(15_000.0) < 0.01


def test_doubtful_endpoints_are_asked_last():
    """Guards against questions to servers that just said that they are slow."""
    options = [option(f"e{k}") for k in range(4)]
    for slow in options[:2]:
        slow.health.mark_slow(0.0)
    for seed in range(20):
        chosen = choose_round(options, 2, True, 1.0, random.Random(seed))
        assert {o.endpoint_id for o in chosen} == {"e2", "e3"}


def test_requests_in_flight_count_without_reports():
    """Guards against all requests on one server that was quick once."""
    busy, idle = option("busy"), option("idle")
    for health in (busy.health, idle.health):
        health.observe(20.0)
    busy.health.n_in_flight = 3
    assert choose_without_reports([busy, idle], 0.0, random.Random(2)) is idle
    assert choose_without_reports([], 0.0, random.Random(2)) is None


def test_open_connections_are_used_and_new_endpoints_are_found():
    """Guards against a new connection for nearly every question, and against
    endpoints that join and are never asked."""
    options = [option(f"e{n}", has_idle=n < 10) for n in range(20)]
    rng = random.Random(1)
    n_new = 0
    asked = set()
    for _ in range(400):
        chosen = choose_round(options, 2, True, 0.0, rng)
        assert len({o.endpoint_id for o in chosen}) == 2
        n_new += sum(not o.has_idle for o in chosen)
        asked |= {o.endpoint_id for o in chosen}
    # By chance alone half of the 800 questions would need a new connection.
    assert n_new < 300
    assert len(asked) == 20


def test_entry_with_few_requests_keeps_to_its_connections():
    """Guards against a new connection for each request where hundreds of endpoints
    share the questions of an entry that serves one request a second."""
    rng = random.Random(3)
    used_at = {f"e{n}": -1e9 for n in range(27)}
    n_new, n_requests = 0, 600
    for second in range(n_requests):
        # Idle connections are closed after 9 s.
        options = [option(e, has_idle=second - t < 9) for e, t in used_at.items()]
        for chosen in choose_round(options, 2, True, 1000.0 * second, rng):
            n_new += not chosen.has_idle
            used_at[chosen.endpoint_id] = second
    assert n_new < 0.5 * n_requests
    assert all(t >= 0 for t in used_at.values())
