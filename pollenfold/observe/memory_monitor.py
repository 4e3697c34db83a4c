"""Watches the memory of the process against its limit."""

from __future__ import annotations

from collections.abc import Callable

import curio

from ..wire.receive_buffers import ReceiveBuffers
from .events import EventLog
from .exposition import Metrics
from .process_memory import resident_bytes, unread_bytes

SAMPLE_INTERVAL_MS = 5_000.0
HIGH_SHARE = 0.8
"""The share of the limit from which the process is in danger of being killed."""

NORMAL_SHARE = 0.7
"""Below it, an earlier warning is taken back; the gap keeps a value near the threshold
from being logged with each sample."""


class MemoryMonitor:
    """Exports the memory of a process and logs when it comes near its limit."""

    def __init__(
        self,
        buffers: ReceiveBuffers,
        metrics: Metrics,
        log: EventLog,
        resident: Callable[[], int] = resident_bytes,
        unread: Callable[[int], int] = unread_bytes,
    ) -> None:
        self._buffers = buffers
        self._metrics = metrics
        self._log = log
        self._resident = resident
        self._unread = unread
        self._is_high = False

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await curio.sleep(SAMPLE_INTERVAL_MS / 1000)

    def sample(self) -> None:
        """Set the gauges, and log when the use becomes high or normal again."""
        self._buffers.forget_closed()
        limit_bytes = self._buffers.memory_bytes
        n_resident = self._resident()
        n_unread = self._unread(self._buffers.n_descriptors)
        self._metrics.set("memory_resident_bytes", n_resident)
        self._metrics.set("memory_unread_bytes", n_unread)
        self._metrics.set("memory_limit_bytes", limit_bytes)
        self._metrics.set("large_receive_buffers", self._buffers.n_long)
        share = (n_resident + n_unread) / limit_bytes
        if self._is_high:
            is_high = share >= NORMAL_SHARE
        else:
            is_high = share >= HIGH_SHARE
        if is_high != self._is_high:
            self._is_high = is_high
            self._log.state(
                "memory_high" if is_high else "memory_normal",
                resident_bytes=n_resident,
                unread_bytes=n_unread,
                limit_bytes=limit_bytes,
                n_large_buffers=self._buffers.n_long,
            )
