"""Endpoint search: reuse of the last result, and preference for the own zone."""

import curio

from pollenfold.gateway.probes import ServiceProbeState

from .conftest import Backend

SLOW = b"6,6,6,500"


def test_search_is_not_repeated_right_after_it_found_only_slow_servers(with_path):
    """Load pattern: a burst on a service whose servers are all slow.

    Guards against probes for each request of the burst, which add to the overload.
    """
    backend = Backend("s1", load=SLOW)

    async def body(path, backend):
        assert (await path.get()).status == 503
        n_checks = backend.n_checks
        assert n_checks > 0
        assert (await path.get()).status == 503
        assert backend.n_checks == n_checks
        assert any("asked=crowded/" in line for line in path.lines + flushed(path))

    with_path(body, backend)


def flushed(path):
    path.log.flush()
    return path.lines


def test_server_of_the_own_zone_is_preferred_at_equal_load(with_path):
    """Guards against needless traffic between zones."""
    near, far = Backend("near"), Backend("far")

    async def body(path, near, far):
        path.announce(far, sequence=9, zone="b")
        endpoints = [path.view.endpoints["far"], path.view.endpoints["near"]]
        results = await path.balancer._prober.probe(
            "s", ServiceProbeState(), endpoints, False
        )
        best = min(results, key=lambda result: result.cost)
        assert len(results) == 2
        assert best.endpoint.announcement.endpoint_id == "near"
        assert results[0].slowdown == results[1].slowdown

    with_path(body, near, far)


def test_other_zones_are_not_probed_while_the_own_zone_is_fast(with_path):
    """Guards against probes and requests to other zones while servers of the own zone
    have spare capacity."""
    near = [Backend(f"near{number}") for number in range(3)]
    far = [Backend(f"far{number}") for number in range(3)]

    async def body(path, *backends):
        for backend in far:
            path.announce(backend, sequence=9, zone="b")
        for _ in range(10):
            assert (await path.get()).status == 200
        assert sum(backend.n_checks for backend in far) == 0
        assert sum(backend.n_checks for backend in near) >= 20

    with_path(body, *near, *far)


def test_cancelled_search_returns_the_connections_of_its_probes(with_path):
    """Guards against a caller that uses up the connections to endpoints by dropping
    pipelined requests while endpoints are probed for them."""
    backends = [Backend(f"s{number}", check_delay_ms=60.0) for number in range(2)]

    async def body(path, *backends):
        pools = [
            path.balancer._connections.pool(path.view.endpoints[backend.name])
            for backend in backends
        ]
        for _ in range(6):
            task = await curio.spawn(path.get)
            await curio.sleep(0.01)
            await task.cancel()
        assert [pool.n_open - pool.n_idle for pool in pools] == [0, 0]

    with_path(body, *backends)
