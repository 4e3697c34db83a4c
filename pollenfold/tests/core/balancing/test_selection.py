"""Tests of selection by probing the load just before a request is sent."""

import random

import pytest

from pollenfold.core.balancing.selection import (
    EndpointCandidate,
    EndpointHealth,
    ServerLoad,
    choose_probe_targets,
    choose_without_reports,
    expected_slowdown,
)


def server(name, is_local=True, has_idle_connection=False):
    return EndpointCandidate(name, is_local, EndpointHealth(), has_idle_connection)


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


def test_own_zone_is_probed_first():
    """Guards against cross-zone probes while local endpoints may be sufficient."""
    candidates = [server("a1"), server("a2"), server("b1", False), server("b2", False)]
    chosen = choose_probe_targets(candidates, 2, True, 0.0, random.Random(1))
    assert {o.endpoint_id for o in chosen} == {"a1", "a2"}


def test_other_zones_are_probed_when_the_own_is_empty():
    """Guards against a zone without endpoints that refuses its callers."""
    candidates = [server("b1", False)]
    assert (
        choose_probe_targets(candidates, 2, True, 0.0, random.Random(1)) == candidates
    )


def test_unreachable_endpoint_is_excluded_and_retried():
    """Guards against waiting for an unreachable endpoint at every request."""
    unreachable, reachable = server("unreachable"), server("reachable")
    unreachable.health.mark_unreachable(0.0)
    chosen = choose_probe_targets(
        [unreachable, reachable], 2, True, 1.0, random.Random(1)
    )
    assert chosen == [reachable]
    assert choose_probe_targets([unreachable], 1, True, 1.0, random.Random(1)) == [
        unreachable
    ]
    assert not unreachable.health.is_unreachable(5_000.0)


def test_exclusion_of_an_unreachable_endpoint_grows_and_is_bounded():
    """Guards against probing an unreachable endpoint several times per second."""
    health = EndpointHealth()
    ends = []
    for _ in range(8):
        health.mark_unreachable(0.0)
        ends.append(health.unreachable_until)
    assert ends == sorted(ends)
    assert ends[0] < ends[-1] <= 2_000.0


def test_healthy_endpoint_is_preferred_to_a_failing_one():
    """Guards against a server that attracts load by failing fast."""
    failing, healthy = server("failing"), server("healthy")
    for health, latency_ms in ((failing.health, 5.0), (healthy.health, 50.0)):
        health.observe(latency_ms)
    for _ in range(10):
        failing.health.add_penalty(2.0, 0.0)
    rng = random.Random(1)
    assert choose_without_reports([failing, healthy], 0.0, rng) is failing
    failing.health.observe(60.0)
    failing.health.latency_ms = healthy.health.latency_ms
    assert choose_without_reports([failing, healthy], 0.0, rng) is healthy


def test_penalty_decays():
    """Guards against an endpoint without requests after it has recovered."""
    health = EndpointHealth()
    health.add_penalty(4.0, 0.0)
    assert health.penalty(0.0) == pytest.approx(4.0)
    assert health.penalty(15_000.0) < 0.01


def test_slow_endpoints_are_probed_last():
    """Guards against probing servers that have just reported being slow."""
    candidates = [server(f"e{k}") for k in range(4)]
    for slow in candidates[:2]:
        slow.health.mark_slow(0.0)
    for seed in range(20):
        chosen = choose_probe_targets(candidates, 2, True, 1.0, random.Random(seed))
        assert {o.endpoint_id for o in chosen} == {"e2", "e3"}


def test_requests_in_flight_count_without_reports():
    """Guards against sending all requests to one server that was fast before."""
    busy, idle = server("busy"), server("idle")
    for health in (busy.health, idle.health):
        health.observe(20.0)
    busy.health.n_in_flight = 3
    assert choose_without_reports([busy, idle], 0.0, random.Random(2)) is idle
    assert choose_without_reports([], 0.0, random.Random(2)) is None


def test_idle_connections_are_reused_and_new_endpoints_are_probed():
    """Guards against a new connection for nearly every probe, and against endpoints
    that join and are never probed."""
    candidates = [server(f"e{n}", has_idle_connection=n < 10) for n in range(20)]
    rng = random.Random(1)
    n_new = 0
    probed = set()
    for _ in range(400):
        chosen = choose_probe_targets(candidates, 2, True, 0.0, rng)
        assert len({o.endpoint_id for o in chosen}) == 2
        n_new += sum(not o.has_idle_connection for o in chosen)
        probed |= {o.endpoint_id for o in chosen}
    # With uniform choice half of the 800 probes would need a new connection.
    assert n_new < 300
    assert len(probed) == 20


def test_entry_with_few_requests_reuses_its_connections():
    """Guards against a new connection for each request at an entry with one request per
    second, whose probes are spread over hundreds of endpoints."""
    rng = random.Random(3)
    used_at = {f"e{n}": -1e9 for n in range(27)}
    n_new, n_requests = 0, 600
    for second in range(n_requests):
        # Idle connections are closed after 9 s.
        candidates = [
            server(e, has_idle_connection=second - t < 9) for e, t in used_at.items()
        ]
        for chosen in choose_probe_targets(candidates, 2, True, 1000.0 * second, rng):
            n_new += not chosen.has_idle_connection
            used_at[chosen.endpoint_id] = second
    assert n_new < 0.5 * n_requests
    assert all(t >= 0 for t in used_at.values())
