"""Endpoint selection for a request: probes a few for load and chooses the best."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from ..core.balancing.overload import OVERLOADED_SLOWDOWN
from ..core.balancing.selection import (
    EARLY_ACCEPT_SLOWDOWN,
    EndpointCandidate,
    choose_probe_targets,
    choose_without_reports,
)
from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.link import Link
from ..core.reach import Contact
from ..core.token_bucket import TokenBucket
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .backend import BackendConnection
from .connections import Connections
from .dialect import Dialect
from .endpoint import Endpoint
from .limits.permits import LimitedChoice, Permits
from .pick import EndpointSubset, Pick
from .probes import Prober, ProbeResult, ServiceProbeState
from .reach_monitor import ReachMonitor
from .search_memory import SearchMemory
from .settings import BalancerSettings
from .view import FleetView

N_FIRST_PROBES = 2
N_NEXT_PROBES = 3
MAX_ROUNDS = 3
N_RELAYED_PROBES = N_FIRST_PROBES + N_NEXT_PROBES
"""How many probes an entry leaves to a peer with each relayed request."""

OVERLOAD_MEMORY_MS = 12.0
"""How long the result of a search that found only slow endpoints is reused."""

UNPROBED_MEMORY_MS = 150.0
"""The same while the probe budget is exhausted."""

SLOW_ENDPOINT_PROBE_INTERVAL_MS = 40.0
"""How long after an endpoint reported being slow it is probed again."""

N_COMPARED_ENDPOINTS = 5
"""How many others are tried at most before a refused connection counts as the end of an
endpoint."""

PROBE_BURST_S = 5.0
PROBE_BUDGET_SHARE = 0.85
"""The share of the configured probe rate that searches may use."""


@dataclass(slots=True)
class _Search:
    """The search for an endpoint for one request, with its results so far."""

    service: str
    probe_state: ServiceProbeState
    endpoints: list[Endpoint]
    deadline: Instant
    max_slowdown: float
    trace: list[str]
    probed_ids: set[str] = field(default_factory=set)
    n_rounds: int = 0
    best: ProbeResult | None = None


class Balancer:
    """Selects endpoints for the requests of one entry."""

    def __init__(
        self,
        view: FleetView,
        dialect: Dialect,
        settings: BalancerSettings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        link: Link,
        monitor: ReachMonitor,
        log: EventLog,
    ) -> None:
        self._monitor = monitor
        self._view = view
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._connections = Connections(view, clock, metrics, link, monitor, log)
        self._prober = Prober(
            view,
            dialect,
            settings.zone,
            self._connections,
            clock,
            metrics,
            rng,
            link,
            monitor,
        )
        self._permits = Permits(view, settings, self._connections, clock)
        self._memory = SearchMemory(view)
        self._probe_budget: TokenBucket | None = None

    # Selection

    async def pick(
        self,
        service: str,
        tried_endpoint_ids: set[str],
        deadline: Instant,
        max_slowdown: float,
        trace: list[str],
        avoided_endpoint_ids: frozenset[str] = frozenset(),
        subset: EndpointSubset | None = None,
    ) -> Pick | None:
        """Return an endpoint with a connection, or None if none is usable.

        The request needs a slowdown of at most ``max_slowdown``. No search is made if
        another request's search has just found no endpoint that fast. An endpoint that
        declares a limit gets the request without a probe, if this entry has a permit.
        ``avoided_endpoint_ids`` are used only if there are no others. Only endpoints of
        the ``subset`` are used if there is one.

        For each round of probes an item is appended to ``trace``: the number of probed
        endpoints, the number of responses and the least slowdown, as in ``3/2/1.60``.
        """
        now = self._clock()
        is_first_attempt = not tried_endpoint_ids
        if is_first_attempt and (subset is None or not subset.is_search_repeated):
            self._permits.count_request(service)
        endpoints = [
            endpoint
            for endpoint in (
                self._view.by_service.get(service, ())
                if subset is None
                else subset.endpoints
            )
            if endpoint.announcement.endpoint_id not in tried_endpoint_ids
            and not endpoint.is_backing_off(now)
        ]
        endpoints = [
            endpoint
            for endpoint in endpoints
            if endpoint.announcement.endpoint_id not in avoided_endpoint_ids
        ] or endpoints
        limited = [e for e in endpoints if e.declared_limit is not None]
        if limited:
            endpoints = [e for e in endpoints if e.declared_limit is None]
            # A retry goes to an endpoint whose load was just reported, if there is one.
            if is_first_attempt or not endpoints:
                choice = LimitedChoice(
                    limited, not endpoints, max_slowdown >= 1.0, deadline, trace
                )
                pick = await self._permits.pick_limited(choice)
                if pick is not None:
                    return pick
        if not endpoints:
            return None
        self._update_probe_budget(now)
        state = self._memory.get(service, subset)
        search = _Search(service, state, endpoints, deadline, max_slowdown, trace)
        if self._is_overloaded(search, OVERLOAD_MEMORY_MS):
            trace.append(f"crowded/{state.least_slowdown:.2f}")
            return None
        if not state.should_probe(now):
            return await self._pick_without_reports(search)
        try:
            return await self._pick_by_reports(search)
        except BaseException:
            # The request was cancelled; the best endpoint so far has a connection.
            if search.best is not None:
                await self._discard(search.best)
            raise

    def permit_wait_ms(
        self, service: str, subset: EndpointSubset | None = None
    ) -> float | None:
        """Return the ms until the first endpoint of a service may get a request.

        Return None if the service has no endpoints, or one that neither declares a
        limit nor backs off. Only endpoints of the ``subset`` count if there is one.
        """
        if subset is None:
            return self._permits.wait_ms(self._view.by_service.get(service, ()))
        return self._permits.wait_ms(subset.endpoints)

    def _acquire_probes(self, n_probes: int, now: Instant) -> bool:
        budget = self._probe_budget
        return budget is not None and budget.try_acquire(n_probes, now)

    def _update_probe_budget(self, now: Instant) -> None:
        """Adjust the probe budget to the current numbers of endpoints and entries."""
        n_endpoints = len(self._view.endpoints)
        n_entries = self._view.fleet.get(now)
        rate = (
            self._settings.probes_per_s * PROBE_BUDGET_SHARE * n_endpoints / n_entries
        )
        burst = rate * PROBE_BURST_S
        if self._probe_budget is None:
            # Starts full: callers that waited for a restart arrive all at once.
            self._probe_budget = TokenBucket(rate, burst, now, level=burst)
        self._probe_budget.rate_per_s = rate
        self._probe_budget.burst = burst

    async def _pick_by_reports(self, search: _Search) -> Pick | None:
        """Probe in rounds until an endpoint is fast, and select the best."""
        for n_round in range(MAX_ROUNDS):
            if remaining_ms(search.deadline, self._clock()) <= 0.0:
                break
            if self._monitor.is_cut:
                break
            candidates = self._probe_candidates(search)
            if not candidates and search.best is None:
                # None responded. That may only be a short peak of load, so probe again.
                search.probed_ids.clear()
                candidates = self._probe_candidates(search)
            n_wanted = self._acquire_round(n_round)
            if not n_wanted and not search.probed_ids:
                return await self._pick_unprobed(search)
            if not candidates or not n_wanted:
                break
            # Earlier rounds prefer the own zone, to limit traffic between zones.
            is_local_only = n_round < MAX_ROUNDS - 1
            await self._probe_round(search, candidates, n_wanted, is_local_only)
            if search.best is not None and search.best.cost < EARLY_ACCEPT_SLOWDOWN:
                break
        search.probe_state.is_unreached = search.best is None
        return None if search.best is None else await self._accept(search, search.best)

    def _probe_candidates(self, search: _Search) -> list[Endpoint]:
        """Return the endpoints that may be probed next.

        Cold endpoints are included only if the best one is overloaded, or if no other
        endpoints remain.
        """
        now = self._clock()
        best = search.best
        is_overloaded = best is not None and best.slowdown > OVERLOADED_SLOWDOWN
        remaining = [
            endpoint
            for endpoint in search.endpoints
            if endpoint.announcement.endpoint_id not in search.probed_ids
            and not endpoint.is_backing_off(now)
            # The limit may have been declared since the search began.
            and endpoint.declared_limit is None
        ]
        preferred = [
            endpoint
            for endpoint in remaining
            if is_overloaded or endpoint.is_unconfirmed or not endpoint.is_cold(now)
        ]
        return preferred or remaining

    def _acquire_round(self, n_round: int) -> int:
        """Reserve the probes of a round in the probe budget; return how many."""
        now = self._clock()
        n_wanted = N_NEXT_PROBES if n_round else N_FIRST_PROBES
        if self._acquire_probes(n_wanted, now):
            return n_wanted
        return int(n_round == 0 and self._acquire_probes(1, now))

    async def _probe_round(
        self,
        search: _Search,
        candidates: list[Endpoint],
        n_wanted: int,
        is_local_only: bool,
    ) -> None:
        """Probe some of the endpoints and update the best result so far."""
        by_id = {e.announcement.endpoint_id: e for e in candidates}
        endpoint_candidates = [
            self._endpoint_candidate(endpoint) for endpoint in candidates
        ]
        chosen = choose_probe_targets(
            endpoint_candidates, n_wanted, is_local_only, self._clock(), self._rng
        )
        search.probed_ids.update(candidate.endpoint_id for candidate in chosen)
        endpoints = [by_id[candidate.endpoint_id] for candidate in chosen]
        uses_longest_wait = search.best is None and search.n_rounds > 0
        search.n_rounds += 1
        results = await self._prober.probe(
            search.service, search.probe_state, endpoints, uses_longest_wait
        )
        best = search.best = await self._keep_best(search.best, results)
        least = "none" if best is None else f"{best.slowdown:.2f}"
        search.trace.append(f"{len(chosen)}/{len(results)}/{least}")

    async def _discard(self, result: ProbeResult) -> None:
        await self._connections.discard(result.endpoint, result.connection)

    async def _accept(self, search: _Search, best: ProbeResult) -> Pick | None:
        """Select the best endpoint, or return None if it may no longer get requests."""
        search.probe_state.least_slowdown = best.slowdown
        search.probe_state.last_search_at = self._clock()
        is_permitted = self._permits.acquire(best.endpoint)
        # The endpoint may have started to leave while it was probed.
        if not is_permitted or not self._view.accepts_new_requests(best.endpoint):
            await self._connections.release(best.endpoint, best.connection)
            return None
        return Pick(best.endpoint, best.connection, best.slowdown, best.load)

    async def _pick_unprobed(self, search: _Search) -> Pick | None:
        """Select an endpoint while the probe budget is exhausted.

        The result of the last search is then valid for longer, so that an overloaded
        service isn't flooded with requests because nothing can be probed.
        """
        if self._is_overloaded(search, UNPROBED_MEMORY_MS):
            search.trace.append(f"unasked/{search.probe_state.least_slowdown:.2f}")
            return None
        search.trace.append("unasked")
        return await self._pick_without_reports(search)

    def _is_overloaded(self, search: _Search, memory_ms: float) -> bool:
        """Return whether the last search found no endpoint fast enough for this one."""
        state = search.probe_state
        if self._clock() >= add_ms(state.last_search_at, memory_ms):
            return False
        return state.least_slowdown > max(search.max_slowdown, OVERLOADED_SLOWDOWN)

    def _endpoint_candidate(self, endpoint: Endpoint) -> EndpointCandidate:
        announcement = endpoint.announcement
        is_local = announcement.zone == self._settings.zone
        has_idle = self._connections.has_idle(announcement.endpoint_id)
        return EndpointCandidate(
            announcement.endpoint_id, is_local, endpoint.health, has_idle
        )

    async def _keep_best(
        self, best: ProbeResult | None, results: list[ProbeResult]
    ) -> ProbeResult | None:
        """Return the best result, and release the connections of the others."""
        for result in results:
            if not self._permits.has(result.endpoint):
                rejected: ProbeResult | None = result
            elif best is None or result.cost < best.cost:
                rejected, best = best, result
            else:
                rejected = result
            if rejected is not None:
                await self._connections.release(rejected.endpoint, rejected.connection)
        return best

    async def _pick_without_reports(self, search: _Search) -> Pick | None:
        """Select by this entry's own measurements; a cold endpoint needs a permit."""
        remaining = list(search.endpoints)
        search.probe_state.is_unreached = False
        for _ in range(MAX_ROUNDS):
            if self._monitor.is_cut:
                break
            now = self._clock()
            warm = [e for e in remaining if not e.is_cold(now)]
            candidate = choose_without_reports(
                [self._endpoint_candidate(e) for e in warm or remaining], now, self._rng
            )
            if candidate is None:
                break
            endpoint = next(
                e
                for e in remaining
                if e.announcement.endpoint_id == candidate.endpoint_id
            )
            remaining.remove(endpoint)
            is_permitted = self._permits.has(endpoint)
            pick = await self._permits.connect(endpoint, search.deadline)
            if pick is not None:
                search.probe_state.is_unreached = False
                return pick
            search.probe_state.is_unreached |= is_permitted
        return None

    def take_probes(self) -> int:
        """Take the probes for one request from the budget, as far as it has them.

        They are left to the peer to which the request is relayed: its own share of the
        budget is for its own requests, and this entry sends hardly any probes while it
        is cut off.
        """
        now = self._clock()
        self._update_probe_budget(now)
        budget = self._probe_budget
        if budget is None:
            return 0
        n_probes = min(N_RELAYED_PROBES, max(0, int(budget.level(now))))
        budget.charge(n_probes, now)
        return n_probes

    def add_probes(self, n_probes: int) -> None:
        """Add the probes that a peer left with a relayed request."""
        now = self._clock()
        self._update_probe_budget(now)
        if self._probe_budget is not None:
            self._probe_budget.refund(n_probes, now)

    def is_unreached(self, service: str) -> bool:
        """Return whether no endpoint responded that the last search contacted."""
        return self._memory.is_unreached(service)

    def last_slowdown(self, service: str) -> float:
        """Return the slowdown of the best endpoint that the last search found."""
        return self._memory.get(service).least_slowdown

    def least_slowdown(self, service: str) -> float | None:
        """Return the same unless it was long ago, or no endpoint responded."""
        state = self._memory.get(service)
        if state.is_unreached:
            return None
        valid_until = add_ms(state.last_search_at, UNPROBED_MEMORY_MS)
        return state.least_slowdown if self._clock() < valid_until else None

    async def wait_until_fast(
        self,
        service: str,
        endpoint: Endpoint,
        until: Instant,
        is_cancelled: Callable[[], bool],
    ) -> None:
        """Wait until an endpoint reports that it is fast, but not beyond ``until``.

        Return immediately if it can't be probed, declares a limit or doesn't respond,
        or if ``is_cancelled`` returns true.
        """
        state = self._memory.get(service)
        while (
            (now := self._clock()) < until
            and endpoint.declared_limit is None
            and self._acquire_probes(1, now)
        ):
            results = await self._prober.probe(service, state, [endpoint], False)
            for result in results:
                await self.release(result.endpoint, result.connection)
            if (
                not results
                or results[0].slowdown < EARLY_ACCEPT_SLOWDOWN
                or is_cancelled()
            ):
                return
            await curio.sleep(SLOW_ENDPOINT_PROBE_INTERVAL_MS / 1000)

    async def has_ended(self, endpoint: Endpoint) -> bool:
        """Return whether the process of an endpoint has ended, as far as it shows.

        The links of an entry that is cut off refuse connections as well, and so may
        those of all entries. So it counts as an end only if another endpoint accepts a
        connection; those that are known to be down aren't tried.
        """
        if not await self._connections.is_refused(endpoint):
            return False
        self._monitor.observe(endpoint, Contact.UNOPENED)
        others = [
            other
            for other in self._view.endpoints.values()
            if other is not endpoint and not other.health.is_failing
        ]
        compared = self._rng.sample(others, min(N_COMPARED_ENDPOINTS, len(others)))
        for other in compared:
            if await self._connections.is_open(other):
                return True
        return False

    async def release(self, endpoint: Endpoint, connection: BackendConnection) -> None:
        """Return a connection to the pool of its endpoint, or close it."""
        await self._connections.release(endpoint, connection)

    async def run_maintenance(self) -> None:
        """Periodically close idle connections and drop state of removed endpoints."""
        while True:
            await curio.sleep(1.0)
            await self._connections.maintain()
            self._prober.forget_absent()
            self._permits.forget_absent()
            self._memory.forget_ended()
            await self._monitor.maintain()
            await self._check_limits()

    async def _check_limits(self) -> None:
        """Probe limited endpoints that haven't responded for some time.

        Without it, an entry that saw a limit once and has no permit would never learn
        that the limit has ended.
        """
        for service, endpoints in list(self._view.by_service.items()):
            due = [
                endpoint
                for endpoint in endpoints
                if self._view.accepts_new_requests(endpoint)
                and self._permits.acquire_check(endpoint)
            ]
            if due:
                state = self._memory.get(service)
                for result in await self._prober.probe(service, state, due, False):
                    await self.release(result.endpoint, result.connection)
