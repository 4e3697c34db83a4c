"""Metrics and log lines on the pools of connections to endpoints."""

from __future__ import annotations

from collections.abc import Iterable

from ..observe.events import EventLog
from ..observe.exposition import BoundedLabel, Metrics
from .endpoint import Endpoint
from .pool import ConnectionPool

MAX_SERVICE_SERIES = 100
N_STALLED_CHECKS = 3
"""After so many checks in succession a full pool without a request in flight is
reported. Searches and checks hold connections for less than that."""


class PoolReport:
    """Exports the pools by service, and reports those that are full without use.

    Such a pool lets no request through to its endpoint, however well that is.
    """

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._service_label = BoundedLabel(MAX_SERVICE_SERIES)
        self._n_stalled: dict[str, int] = {}
        self._services: set[str] = set()

    def update(self, pools: Iterable[tuple[Endpoint, ConnectionPool]]) -> None:
        """Set the gauges, and log each pool that has just been found stalled."""
        totals: dict[str, list[int]] = {label: [0, 0, 0] for label in self._services}
        n_stalled: dict[str, int] = {}
        for endpoint, pool in pools:
            label = self._service_label.get(endpoint.announcement.service)
            counts = totals.setdefault(label, [0, 0, 0])
            counts[0] += pool.n_open
            counts[1] += pool.n_idle
            counts[2] += pool.limit
            if _is_stalled(endpoint, pool):
                endpoint_id = endpoint.announcement.endpoint_id
                n_checks = self._n_stalled.get(endpoint_id, 0) + 1
                n_stalled[endpoint_id] = n_checks
                if n_checks == N_STALLED_CHECKS:
                    self._report(endpoint, pool)
        self._n_stalled = n_stalled
        self._services = set(totals)
        for label, (n_open, n_idle, limit) in totals.items():
            for state, n in (("open", n_open), ("idle", n_idle), ("limit", limit)):
                self._metrics.set("pool_connections", n, service=label, state=state)
        self._metrics.set(
            "pools_stalled", sum(n >= N_STALLED_CHECKS for n in n_stalled.values())
        )

    def _report(self, endpoint: Endpoint, pool: ConnectionPool) -> None:
        self._log.state(
            "pool_stalled",
            endpoint=endpoint.announcement.endpoint_id,
            service=endpoint.announcement.service,
            n_open=pool.n_open,
            limit=pool.limit,
        )


def _is_stalled(endpoint: Endpoint, pool: ConnectionPool) -> bool:
    is_full = pool.n_open >= pool.limit and not pool.n_idle
    return is_full and not endpoint.health.n_in_flight
