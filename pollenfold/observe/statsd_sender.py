"""Metrics for statsd, sent once a second outside the call path."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from statsd import StatsClient

if TYPE_CHECKING:
    from collections.abc import Callable

FLUSH_INTERVAL_MS = 1000.0


class MetricsSender:
    """Sends gauges to a statsd server over UDP.

    ``collect`` returns the gauges by name. Lost datagrams are not detected.
    """

    def __init__(
        self,
        address: tuple[str, int],
        prefix: str,
        collect: Callable[[], dict[str, float]],
    ) -> None:
        self._client = StatsClient(address[0], address[1], prefix=prefix)
        self._collect = collect

    async def run(self) -> None:
        """Send all gauges at each interval until cancelled."""
        while True:
            await curio.sleep(FLUSH_INTERVAL_MS / 1000)
            with self._client.pipeline() as pipeline:
                for name, value in self._collect().items():
                    pipeline.gauge(name, value)
