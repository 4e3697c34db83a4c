"""What an entry says about its pools of connections to endpoints."""

from pollenfold.gateway.pool_report import N_STALLED_CHECKS

from .conftest import Backend


def test_full_pool_without_requests_is_reported_once(with_path):
    """Guards against an entry that refuses all requests to a sound server and says
    nothing that tells why."""

    async def body(path, backend):
        connections = path.balancer._connections
        endpoint = path.view.endpoints["one"]
        pool = connections.pool(endpoint)
        lost = [pool.open() for _ in range(pool.limit)]
        assert (await path.get()).status == 503
        for n_checks in range(1, N_STALLED_CHECKS + 3):
            await connections.maintain()
            path.log.flush()
            lines = [line for line in path.lines if "event=pool_stalled " in line]
            assert len(lines) == int(n_checks >= N_STALLED_CHECKS)
        assert f"endpoint=one service=s n_open={pool.limit}" in lines[0]
        gauge = path.metrics.get
        assert gauge("pools_stalled") == 1
        assert gauge("pool_connections", service="s", state="open") == pool.limit
        assert gauge("pool_connections", service="s", state="limit") == pool.limit
        for connection in lost:
            await pool.discard(connection)
        await connections.maintain()
        assert gauge("pools_stalled") == 0
        assert gauge("pool_connections", service="s", state="open") == 0
        assert (await path.get()).status == 200

    with_path(body, Backend("one"))
