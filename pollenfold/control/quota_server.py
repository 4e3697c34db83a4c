"""Grants permits for the requests of tenants to entries, while this replica leads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio

from ..core.clock import Clock, Instant, add_ms
from ..core.slices import Steps
from ..core.tenancy.quota_ledger import Grant, QuotaLedger
from ..core.tenancy.quota_limits import QuotaLimits
from ..core.tenancy.quota_lines import (
    PermitRequest,
    decode_permit_request,
    encode_grant,
)
from ..core.tenancy.tenants import Quota
from ..gateway.slices import run_in_slices
from ..observe.error_text import error_text
from ..observe.events import EventLog
from ..observe.exposition import BoundedLabel, Metrics
from .cluster_state import ClusterState
from .feed_server import FeedServer
from .subscriber import Subscriber

DecodeQuotas = Callable[[str], Steps[dict[str, Quota]]]
"""Decodes the quotas of a configuration in small steps; raises ValueError if it is
invalid."""

POLL_INTERVAL_MS = 50.0
"""The pause between two checks for a new configuration."""

LOG_INTERVAL_MS = 5_000.0
"""The minimum time between two log lines on one tenant that reaches its quota."""

MAX_TENANT_SERIES = 100
"""How many tenants have metrics of their own."""


class QuotaServer:
    """Answers the entries' requests for permits.

    ``acts_alone_from`` returns from when this replica may grant permits, or None while
    another one may lead. It is called for each grant, since this process may have been
    frozen.
    """

    def __init__(
        self,
        limits: QuotaLimits,
        decode: DecodeQuotas | None,
        cluster_state: ClusterState,
        feed_server: FeedServer,
        acts_alone_from: Callable[[], Instant | None],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._ledger = QuotaLedger(limits)
        self._decode = decode
        self._cluster_state = cluster_state
        self._feed_server = feed_server
        self._acts_alone_from = acts_alone_from
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._tenant_label = BoundedLabel(MAX_TENANT_SERIES)
        self._started_at: Instant | None = None
        self._applied_version: int | None = None
        self._rejected_version: int | None = None
        self._next_log_at: dict[str, Instant] = {}
        feed_server.add_part("quota", self.answer)

    # Permits

    def answer(self, subscriber: Subscriber, items: Any) -> None:
        """Answer all requests of one line with one line."""
        requests = self._cluster_state.malformed.decode_each(
            "quota", items, decode_permit_request
        )
        if requests:
            granted = [encode_grant(r.number, self._grant(r)) for r in requests]
            self._feed_server.send(subscriber, {"granted": granted})

    def _grant(self, request: PermitRequest) -> Grant:
        # Read before the lease is checked, so that the grant counts within the lease
        # even if the process is frozen between the two.
        now = self._clock()
        starts_at = self._acts_alone_from()
        if starts_at is None or self._applied_version is None:
            return Grant(0)
        if starts_at != self._started_at:
            self._started_at = starts_at
            self._ledger.start(starts_at)
            self._log.state("quota_leadership_began", starts_at_ms=starts_at)
        grant = self._ledger.grant(request.tenant, request.n_permits, now)
        self._record(request, grant, now)
        return grant

    def _record(self, request: PermitRequest, grant: Grant, now: Instant) -> None:
        tenant = self._tenant_label.get(request.tenant)
        if grant.n_granted:
            self._metrics.count("quota_granted_total", grant.n_granted, tenant=tenant)
        if not grant.retry_after_ms:
            return
        n_denied = request.n_permits - grant.n_granted
        self._metrics.count("quota_denied_total", n_denied, tenant=tenant)
        if now >= self._next_log_at.get(request.tenant, now):
            self._next_log_at[request.tenant] = add_ms(now, LOG_INTERVAL_MS)
            self._log.state(
                "quota_reached",
                tenant=request.tenant,
                retry_after_ms=grant.retry_after_ms,
            )

    # Configurations

    async def run(self) -> None:
        """Decode the quotas of each new configuration until cancelled."""
        while True:
            await self.update()
            await curio.sleep(POLL_INTERVAL_MS / 1000)

    async def update(self) -> None:
        """Apply the quotas of the configuration in force, if it is new.

        Other tasks run meanwhile, so commands don't wait for the decoding.
        """
        state = self._cluster_state.replicated_state
        version, document = state.version, state.document
        if self._decode is None or not version:
            return
        if version in (self._applied_version, self._rejected_version):
            return
        quotas: dict[str, Quota] = {}
        if _may_have_tenants(document):
            try:
                quotas = await run_in_slices(self._decode(document), self._clock)
            except Exception as error:
                # The entries reject it too and keep the configuration before it. If
                # this replica has read none, it can't know those quotas.
                detail = error_text(error)
                self._log.state("quotas_rejected", version=version, detail=detail)
                self._rejected_version = version
                return
        self._ledger.apply_quotas(quotas, self._clock())
        self._next_log_at = {k: v for k, v in self._next_log_at.items() if k in quotas}
        self._applied_version = version
        if quotas:
            self._log.state("quotas_applied", version=version, n_quotas=len(quotas))


def _may_have_tenants(document: str) -> bool:
    """Return whether a configuration may have tenants, without decoding it.

    A name may also be written with escapes.
    """
    return '"tenants"' in document or "\\u" in document
