"""Decides by quotas whether an entry may send a request.

The client is imported only once a request of a tenant with a quota arrives or its
configuration comes into force, since each import takes memory in every entry.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import curio

from ...core.clock import Clock
from ...core.errors import ErrorKind
from ...core.tenancy.quota_limits import QuotaLimits
from ...observe.error_text import error_text
from ...observe.events import EventLog
from ...observe.exposition import Metrics
from ...observe.steps import run_again
from ..calls import NOT_EXECUTED_OUTCOMES, Call
from ..feed import Feed
from ..view import FleetView
from .outcomes import Refusal

if TYPE_CHECKING:
    from .client import QuotaClient

RESERVE_INTERVAL_MS = 1_000.0


class QuotaGate:
    """Gets the permits for the requests of tenants that have a quota.

    ``leader`` returns the feed of the control replica that leads, or None.
    """

    def __init__(
        self,
        limits: QuotaLimits,
        entry_id: str,
        leader: Callable[[], Feed | None],
        view: FleetView,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._limits = limits
        self._entry_id = entry_id
        self._leader = leader
        self._view = view
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._client: QuotaClient | None = None

    # Requests

    def refusal_kind(self, call: Call) -> ErrorKind | None:
        """Return why a request is refused before an endpoint is searched for it.

        That is so while a denial of the leader holds.
        """
        if self._client is None or call.tenant is None or call.tenant.quota is None:
            return None
        refusal = self._client.denial(call.tenant)
        return None if refusal is None else _refuse(call, refusal)

    async def acquire(self, call: Call) -> ErrorKind | None:
        """Get a permit for a request about to be sent; return why there is none.

        A request keeps its permit for an attempt after one that wasn't executed, as
        long as the permit is valid. The quota counts each run, so it needs another one
        after an attempt that may have run.
        """
        tenant = call.tenant
        if tenant is None or tenant.quota is None:
            return None
        n_runs = _n_possible_runs(call)
        if self._clock() < call.permit_until and n_runs == call.n_runs_before_permit:
            return None
        client = self._client or await self._start_client()
        outcome = await client.acquire(tenant, tenant.quota, call.deadline)
        if isinstance(outcome, Refusal):
            return _refuse(call, outcome)
        call.permit_until = outcome.valid_until
        call.n_runs_before_permit = n_runs
        return None

    async def acquire_another(self, call: Call) -> bool:
        """Return whether a second attempt may run beside the first one.

        It needs a permit of its own. Without one the request isn't refused, as the
        first attempt goes on.
        """
        tenant = call.tenant
        if tenant is None or tenant.quota is None:
            return True
        client = self._client or await self._start_client()
        outcome = await client.acquire(tenant, tenant.quota, call.deadline)
        return not isinstance(outcome, Refusal)

    # The client

    async def run(self) -> None:
        """Keep this entry's share of the reserves up to date until cancelled."""
        while True:
            await curio.sleep(RESERVE_INTERVAL_MS / 1000)
            await self._update_reserve()

    async def _update_reserve(self) -> None:
        configuration = self._view.configuration
        tenants = None if configuration is None else configuration.tenants
        if self._client is None and tenants is None:
            return
        with_quota = [t for t in tenants.by_name.values() if t.quota] if tenants else []
        if self._client is None and not with_quota:
            return
        client = self._client or await self._start_client()
        await client.update_reserve(with_quota, self._view.fleet, self._view.entry_ids)

    async def _start_client(self) -> QuotaClient:
        from ...core.tenancy.quota_shares import QuotaShares
        from .client import QuotaClient

        client = QuotaClient(
            QuotaShares(self._limits, self._entry_id),
            self._leader,
            self._clock,
            self._log,
            self._metrics,
            self._view.malformed,
        )
        self._client = client
        # The request that starts the client may end, while others need the client.
        async with curio.disable_cancellation():
            await curio.spawn(
                run_again, "quota_client", self._log_failure, client.run, daemon=True
            )
        return client

    def _log_failure(self, task: str, error: BaseException) -> None:
        self._log.state("task_failed", task=task, detail=error_text(error))

    async def apply_answers(self, items: Any) -> None:
        """Apply the part of a line with which a replica answers."""
        if self._client is not None:
            await self._client.apply_answers(items)


def _refuse(call: Call, refusal: Refusal) -> ErrorKind:
    call.backoff_ms = refusal.retry_after_ms
    call.decision_trace.append(f"{refusal.kind.value}/{refusal.retry_after_ms:.0f}")
    return refusal.kind


def _n_possible_runs(call: Call) -> int:
    return sum(a.outcome not in NOT_EXECUTED_OUTCOMES for a in call.attempts)
