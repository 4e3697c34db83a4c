"""The services of the active configuration, with their endpoints and budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.clock import Clock
from ..core.hedging import MAX_SAVED_HEDGES, HedgeBudget, hedge_delay_ms
from ..core.outcomes import AttemptOutcome
from ..core.retries import QuantileEstimate, RatioBudget
from ..core.routing import Candidate, Policy, observe_failure, probe_score
from .attempts import Attempt, AttemptResult
from .backends import Backend, connection_limit, make_backend
from .slots import SlotQueue

if TYPE_CHECKING:
    from ..core.configuration import ConfigurationView
    from ..core.measurement import LoadReport
    from ..core.membership import Endpoint
    from ..core.records import ServiceSpec
    from .health import EndpointHealth

FAILURE_PENALTY = 10.0
"""The ranking of servers counts a failed attempt as this many mean service times."""

_FAILURES = frozenset(
    (AttemptOutcome.SERVER_ERROR, AttemptOutcome.LOST, AttemptOutcome.UNREACHABLE)
)


class ServiceRuntime:
    """One service: its queue for slots, its endpoints, its retry and hedge budgets.

    Only its warm-up owner may send requests to a cold endpoint. ``warmup_owners`` are
    the owners of the endpoints that this entry must not use.
    """

    def __init__(
        self,
        spec: ServiceSpec,
        zone: str,
        seed: int,
        clock: Clock,
        health: EndpointHealth,
        policy: Policy = probe_score,
    ) -> None:
        self.spec = spec
        self.slots = SlotQueue(zone, spec.queue_limit, policy, seed, clock)
        self.backends: dict[str, Backend] = {}
        self.warmup_owners: tuple[str, ...] = ()
        self.retry_budget = RatioBudget(spec.retry_ratio)
        self._hedge_budget = HedgeBudget(spec.hedge_ratio, MAX_SAVED_HEDGES)
        self._latency = QuantileEstimate(0.95, initial_ms=spec.timeout_ms / 4)
        self._clock = clock
        self._health = health

    def update_spec(self, spec: ServiceSpec) -> None:
        """Apply a new version of the record; requests in flight continue."""
        self.spec = spec
        self.slots.queue_limit = spec.queue_limit
        self.retry_budget.ratio = spec.retry_ratio
        self._hedge_budget.ratio = spec.hedge_ratio

    def count_call(self) -> None:
        """Deposit one call's share into the retry and hedge budgets."""
        self.retry_budget.deposit()
        self._hedge_budget.deposit()

    def hedge_delay_ms(self) -> float:
        """Return how long an attempt may take before it is hedged."""
        return hedge_delay_ms(self._latency.value_ms)

    def start_attempt(self, candidate: Candidate) -> Attempt:
        """Return an attempt at the endpoint whose slot was acquired."""
        backend = self.backends[candidate.key]
        self._health.start(backend.endpoint)
        attempt = Attempt(backend, self._clock)
        attempt.wants_report = self._health.wants_report(self.spec, backend)
        return attempt

    def acquire_hedge(self, tried: set[str]) -> Candidate | None:
        """Acquire a slot for a hedge if the budget and the endpoints allow it."""
        if not self._hedge_budget.withdraw():
            return None
        candidate = self.slots.try_acquire(tried)
        if candidate is None:
            self._hedge_budget.refund()
        return candidate

    async def finish_attempt(
        self, attempt: Attempt, result: AttemptResult | None
    ) -> None:
        """End an attempt: record its result, and release its connection and slot.

        ``result`` is None for an attempt that was cancelled; its duration until then is
        a lower bound of its latency.
        """
        await attempt.finish()
        latency_ms = self._clock() - attempt.started_at
        backend = attempt.backend
        report = self._health.observe(
            self.spec, backend, result, latency_ms, attempt.wants_report
        )
        if report is not None:
            self._update_reported_load(backend.candidate, report)
        is_complete = result is not None and result.outcome is AttemptOutcome.RESPONDED
        is_lower_bound = result is None or result.outcome is AttemptOutcome.EXPIRED
        # A lower bound below the mean carries no information.
        is_sample = (
            is_complete or is_lower_bound and latency_ms > backend.candidate.ewma_ms
        )
        if result is not None and result.outcome in _FAILURES:
            penalty_ms = FAILURE_PENALTY * max(1.0, self.slots.mean_service_ms)
            observe_failure(backend.candidate, penalty_ms, self._clock())
        if is_sample:
            self._latency.observe(latency_ms)
        await self.slots.release(backend.candidate, latency_ms if is_sample else None)

    async def sync(
        self, endpoints: tuple[Endpoint, ...], view: ConfigurationView
    ) -> None:
        """Apply the endpoints known now and their current limits."""
        usable = []
        owners = set()
        n_connections = connection_limit(
            self.spec.connections_per_endpoint, view.fleet.max_entries
        )
        current_keys = set()
        for endpoint in endpoints:
            key = f"{endpoint.host}:{endpoint.port}"
            current_keys.add(key)
            backend = self.backends.get(key)
            if backend is None:
                backend = make_backend(endpoint, key, n_connections)
                self.backends[key] = backend
            backend.endpoint = endpoint
            backend.pool.limit = n_connections
            candidate = backend.candidate
            # With more slots than connections, requests would be refused that could
            # have waited for a slot.
            candidate.limit = min(
                n_connections, self._health.limit(self.spec, endpoint, view)
            )
            owner = self._health.warmup_owner(endpoint, view)
            candidate.is_warming = owner is not None
            if candidate.limit > 0:
                usable.append(candidate)
            else:
                owners.add(owner)
        self.warmup_owners = tuple(owner for owner in owners if owner is not None)
        await self._drop_absent(current_keys)
        self._health.retain(self.spec.name, endpoints)
        await self.slots.update(tuple(usable))

    async def _drop_absent(self, current_keys: set[str]) -> None:
        for key in [key for key in self.backends if key not in current_keys]:
            backend = self.backends[key]
            backend.candidate.limit = 0
            if backend.candidate.n_in_flight == 0:
                await backend.pool.close()
                del self.backends[key]

    def record_report(self, key: str, report: LoadReport) -> None:
        """Record a load report from a probe."""
        backend = self.backends.get(key)
        if backend is not None:
            self._update_reported_load(backend.candidate, report)

    @staticmethod
    def _update_reported_load(candidate: Candidate, report: LoadReport) -> None:
        candidate.reported_in_flight = float(report.in_flight)
        candidate.reported_at = report.received


class ServiceTable:
    """Maps a path to its service by the longest prefix of complete path segments."""

    def __init__(
        self, zone: str, seed: int, clock: Clock, health: EndpointHealth
    ) -> None:
        self._zone = zone
        self._seed = seed
        self._clock = clock
        self._health = health
        self._runtimes: dict[str, ServiceRuntime] = {}
        self._by_prefix: tuple[tuple[str, ServiceRuntime], ...] = ()

    @property
    def runtimes(self) -> list[ServiceRuntime]:
        """All services of the active configuration."""
        return list(self._runtimes.values())

    def find(self, path: str) -> ServiceRuntime | None:
        """Return the service of a path, or None when no record matches."""
        for prefix, runtime in self._by_prefix:
            if path.startswith(prefix) and path[len(prefix) : len(prefix) + 1] in "/":
                return runtime
        return None

    def apply(self, specs: list[ServiceSpec]) -> None:
        """Apply the service records of a new configuration revision."""
        runtimes = {}
        for spec in specs:
            runtime = self._runtimes.get(spec.name)
            if runtime is None:
                runtime = ServiceRuntime(
                    spec, self._zone, self._seed, self._clock, self._health
                )
            else:
                runtime.update_spec(spec)
            runtimes[spec.name] = runtime
        self._runtimes = runtimes
        by_prefix = [(r.spec.path_prefix.rstrip("/"), r) for r in runtimes.values()]
        by_prefix.sort(key=lambda pair: -len(pair[0]))
        self._by_prefix = tuple(by_prefix)
