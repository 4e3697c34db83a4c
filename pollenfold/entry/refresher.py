"""Applies changes of configuration, endpoints and limits to the call path."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import curio

from ..core.errors import ErrorKind

if TYPE_CHECKING:
    from ..core.clock import Clock, Instant
    from ..core.membership import EndpointTable
    from .configuration import ConfigurationClient
    from .services import ServiceTable

REFRESH_INTERVAL_MS = 100.0
"""The longest delay of a change caused by time alone, such as the end of an ejection or
of a new warm-up owner's wait. Other changes are applied at the next tick."""

TICK_MS = 20.0
"""The interval at which changes are polled, since callbacks that are not coroutines
can't set a curio event."""


class Refresher:
    """Applies changes to the services of an entry.

    Other modules call ``wake`` when something changed. ``apply_notices`` merges the
    leave notices from control into the endpoint table. ``refreshed_at`` is the start
    of the last completed pass.
    """

    def __init__(
        self,
        configuration: ConfigurationClient,
        table: EndpointTable,
        services: ServiceTable,
        apply_notices: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._table = table
        self._services = services
        self._apply_notices = apply_notices
        self._clock = clock
        self._revision = -1
        self._is_changed = False
        self.refreshed_at: Instant | None = None

    def wake(self) -> None:
        """Record that something changed; the next pass of ``run`` applies it."""
        self._is_changed = True

    async def run(self) -> None:
        """Refresh until cancelled.

        A pass follows within ``TICK_MS`` of a change, and after ``REFRESH_INTERVAL_MS``
        without one.
        """
        while True:
            await self.refresh()
            for _ in range(int(REFRESH_INTERVAL_MS / TICK_MS)):
                await curio.sleep(TICK_MS / 1000)
                if self._is_changed:
                    break

    async def refresh(self) -> None:
        """Apply the current configuration, endpoints and limits."""
        self._is_changed = False
        started_at = self._clock()
        view = self._configuration.view()
        if view.revision != self._revision:
            self._services.apply(list(view.services))
            self._revision = view.revision
        self._apply_notices()
        has_lease = self._configuration.has_lease(self._clock())
        for runtime in self._services.runtimes:
            if not has_lease:
                await runtime.slots.refuse_all(ErrorKind.NO_LEASE)
            await runtime.sync(self._table.endpoints(runtime.spec.name), view)
        self.refreshed_at = started_at
