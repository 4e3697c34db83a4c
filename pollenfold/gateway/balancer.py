"""Finds the endpoint for one request: asks a few for their load and takes the best."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.link import Link
from ..core.selection import (
    QUICK_SLOWDOWN,
    Option,
    ServerLoad,
    choose_round,
    choose_without_reports,
)
from ..core.token_bucket import TokenBucket
from ..observe.exposition import Metrics
from .backend import BackendConnection
from .cold import ColdPermits
from .connections import Connections
from .dialect import Dialect
from .probes import Answer, Prober, ServiceState
from .settings import BalancerSettings
from .view import Endpoint, FleetView

N_FIRST_PROBES = 2
N_NEXT_PROBES = 3
MAX_ROUNDS = 3
CROWDED_SLOWDOWN = 2.0
"""Cold endpoints are asked as well when warm ones are at least so slow."""

CROWDED_MEMORY_MS = 12.0
"""How long a search that found only slow endpoints stands for the next ones."""

UNASKED_MEMORY_MS = 150.0
"""The same while the probe budget is spent."""

ASK_AGAIN_PAUSE_MS = 40.0
"""How long after an endpoint said that it is slow it is asked again."""

PROBE_BURST_S = 5.0
PROBE_SHARE = 0.85
"""The share of the probe budget that this use of it may take."""


@dataclass(slots=True)
class Pick:
    """An endpoint for one request, with a connection that is ready to carry it.

    ``slowdown`` is how many times its usual time the request should take there, and
    ``load`` what the endpoint said just now, if it said anything.
    """

    endpoint: Endpoint
    connection: BackendConnection
    slowdown: float
    load: ServerLoad | None = None


@dataclass(slots=True)
class _Search:
    """The search of an endpoint for one request, with what it found so far."""

    service: str
    state: ServiceState
    endpoints: list[Endpoint]
    deadline: Instant
    max_slowdown: float
    trace: list[str]
    asked: set[str] = field(default_factory=set)
    n_rounds: int = 0
    best: Answer | None = None


class Balancer:
    """Chooses endpoints for one entry."""

    def __init__(
        self,
        view: FleetView,
        dialect: Dialect,
        settings: BalancerSettings,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        link: Link,
    ) -> None:
        self._view = view
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._connections = Connections(view, clock, metrics, link)
        self._prober = Prober(
            view, dialect, settings.zone, self._connections, clock, metrics, rng, link
        )
        self._cold = ColdPermits(view, settings, clock)
        self._services: dict[str, ServiceState] = {}
        self._probe_budget: TokenBucket | None = None

    # Choice

    async def pick(
        self,
        service: str,
        tried: set[str],
        deadline: Instant,
        max_slowdown: float,
        trace: list[str],
    ) -> Pick | None:
        """Return an endpoint with a connection, or None when none can be used.

        A request that needs a slowdown of at most ``max_slowdown`` isn't searched an
        endpoint for when another one just found none so quick.

        ``trace`` gets one item for each round of questions: how many endpoints were
        asked and answered, and the least slowdown, for example ``3/2/1.60``.
        """
        now = self._clock()
        endpoints = [
            endpoint
            for endpoint in self._view.by_service.get(service, ())
            if endpoint.announcement.endpoint_id not in tried
            and not endpoint.is_resting(now)
        ]
        if not endpoints:
            return None
        self._refill(now)
        state = self._services.setdefault(service, ServiceState())
        search = _Search(service, state, endpoints, deadline, max_slowdown, trace)
        if self._is_crowded(search, CROWDED_MEMORY_MS):
            trace.append(f"crowded/{state.least_slowdown:.2f}")
            return None
        if not state.tells_load(now):
            return await self._pick_without_reports(search)
        return await self._pick_by_reports(search)

    def _may_probe(self, n_probes: int, now: Instant) -> bool:
        budget = self._probe_budget
        return budget is not None and budget.try_take(n_probes, now)

    def _refill(self, now: Instant) -> None:
        """Adjust the probe budget to the present size of the fleet."""
        n_endpoints = len(self._view.endpoints)
        n_entries = self._view.fleet.get(now)
        rate = self._settings.probes_per_s * PROBE_SHARE * n_endpoints / n_entries
        burst = rate * PROBE_BURST_S
        if self._probe_budget is None:
            # Full at first: callers that waited for a restart come all at once.
            self._probe_budget = TokenBucket(rate, burst, now, level=burst)
        self._probe_budget.rate_per_s = rate
        self._probe_budget.burst = burst

    async def _pick_by_reports(self, search: _Search) -> Pick | None:
        """Ask in rounds until an endpoint is quick, and take the best."""
        for n_round in range(MAX_ROUNDS):
            if remaining_ms(search.deadline, self._clock()) <= 0.0:
                break
            usable = self._usable(search)
            if not usable and search.best is None:
                # None of them answered, which a busy moment explains as well.
                search.asked.clear()
                usable = self._usable(search)
            n_wanted = self._n_permitted(n_round)
            if not n_wanted and not search.asked:
                return await self._pick_unasked(search)
            if not usable or not n_wanted:
                break
            # What another zone answers costs bytes between zones.
            is_local_only = n_round < MAX_ROUNDS - 1
            await self._ask_round(search, usable, n_wanted, is_local_only)
            if search.best is not None and search.best.cost < QUICK_SLOWDOWN:
                break
        return None if search.best is None else await self._take(search, search.best)

    def _usable(self, search: _Search) -> list[Endpoint]:
        """Return the endpoints to ask next; cold ones only when there is a need."""
        now = self._clock()
        best = search.best
        is_crowded = best is not None and best.slowdown > CROWDED_SLOWDOWN
        left = [
            endpoint
            for endpoint in search.endpoints
            if endpoint.announcement.endpoint_id not in search.asked
            and not endpoint.is_resting(now)
        ]
        usable = [
            endpoint
            for endpoint in left
            if is_crowded or endpoint.is_unconfirmed or not endpoint.is_cold(now)
        ]
        return usable or left

    def _n_permitted(self, n_round: int) -> int:
        """Take permits for a round from the probe budget; return how many."""
        now = self._clock()
        n_wanted = N_NEXT_PROBES if n_round else N_FIRST_PROBES
        if self._may_probe(n_wanted, now):
            return n_wanted
        return int(n_round == 0 and self._may_probe(1, now))

    async def _ask_round(
        self,
        search: _Search,
        usable: list[Endpoint],
        n_wanted: int,
        is_local_only: bool,
    ) -> None:
        """Ask some of the endpoints, and keep the best answer so far."""
        by_id = {e.announcement.endpoint_id: e for e in usable}
        options = [self._option(endpoint) for endpoint in usable]
        chosen = choose_round(
            options, n_wanted, is_local_only, self._clock(), self._rng
        )
        search.asked.update(option.endpoint_id for option in chosen)
        endpoints = [by_id[option.endpoint_id] for option in chosen]
        is_patient = search.best is None and search.n_rounds > 0
        search.n_rounds += 1
        answers = await self._prober.ask(
            search.service, search.state, endpoints, is_patient
        )
        best = search.best = await self._best(search.best, answers)
        least = "none" if best is None else f"{best.slowdown:.2f}"
        search.trace.append(f"{len(chosen)}/{len(answers)}/{least}")

    async def _take(self, search: _Search, best: Answer) -> Pick | None:
        """Return the best endpoint, unless it may not get the request any more."""
        search.state.least_slowdown = best.slowdown
        search.state.searched_at = self._clock()
        is_permitted = not best.is_cold or self._cold.take(best.endpoint)
        # The endpoint may have begun to leave while it was asked.
        if not is_permitted or not self._view.may_get_work(best.endpoint):
            await self._connections.give_back(best.endpoint, best.connection)
            return None
        return Pick(best.endpoint, best.connection, best.slowdown, best.load)

    async def _pick_unasked(self, search: _Search) -> Pick | None:
        """Choose while the probe budget is spent.

        What the last search found stands a little longer then, so that a crowded
        service isn't flooded for want of questions.
        """
        if self._is_crowded(search, UNASKED_MEMORY_MS):
            search.trace.append(f"unasked/{search.state.least_slowdown:.2f}")
            return None
        search.trace.append("unasked")
        return await self._pick_without_reports(search)

    def _is_crowded(self, search: _Search, memory_ms: float) -> bool:
        """Return whether the last search found nothing quick enough for this one."""
        state = search.state
        if self._clock() >= add_ms(state.searched_at, memory_ms):
            return False
        return state.least_slowdown > max(search.max_slowdown, CROWDED_SLOWDOWN)

    def _option(self, endpoint: Endpoint) -> Option:
        announcement = endpoint.announcement
        is_local = announcement.zone == self._settings.zone
        has_idle = self._connections.has_idle(announcement.endpoint_id)
        return Option(announcement.endpoint_id, is_local, endpoint.health, has_idle)

    async def _best(self, best: Answer | None, answers: list[Answer]) -> Answer | None:
        """Return the better of the best so far and the answers; release the rest."""
        for answer in answers:
            if answer.is_cold and not self._cold.has(answer.endpoint):
                loser: Answer | None = answer
            elif best is None or answer.cost < best.cost:
                loser, best = best, answer
            else:
                loser = answer
            if loser is not None:
                await self._connections.give_back(loser.endpoint, loser.connection)
        return best

    async def _pick_without_reports(self, search: _Search) -> Pick | None:
        """Choose by what this entry saw; a cold endpoint needs a permit."""
        left = list(search.endpoints)
        for _ in range(MAX_ROUNDS):
            now = self._clock()
            warm = [e for e in left if not e.is_cold(now)]
            option = choose_without_reports(
                [self._option(e) for e in warm or left], now, self._rng
            )
            if option is None:
                return None
            endpoint = next(
                e for e in left if e.announcement.endpoint_id == option.endpoint_id
            )
            left.remove(endpoint)
            if endpoint.is_cold(now) and not self._cold.take(endpoint):
                continue
            connection = await self._connections.connect(endpoint, search.deadline)
            if connection is None:
                continue
            # The endpoint may have begun to leave while the connection was opened.
            if self._view.may_get_work(endpoint):
                return Pick(endpoint, connection, 1.0)
            await self._connections.give_back(endpoint, connection)
        return None

    async def wait_until_quick(
        self,
        service: str,
        endpoint: Endpoint,
        until: Instant,
        is_over: Callable[[], bool],
    ) -> None:
        """Wait until an endpoint says that it is quick, at most until then.

        Return at once when it can't be asked or doesn't answer, or when ``is_over``.
        """
        state = self._services.setdefault(service, ServiceState())
        while (now := self._clock()) < until and self._may_probe(1, now):
            answers = await self._prober.ask(service, state, [endpoint], False)
            for answer in answers:
                await self.give_back(answer.endpoint, answer.connection)
            if not answers or answers[0].slowdown < QUICK_SLOWDOWN or is_over():
                return
            await curio.sleep(ASK_AGAIN_PAUSE_MS / 1000)

    async def give_back(
        self, endpoint: Endpoint, connection: BackendConnection
    ) -> None:
        """Return a connection that is no longer used."""
        await self._connections.give_back(endpoint, connection)

    async def run(self) -> None:
        """Close old idle connections and forget endpoints that left."""
        while True:
            await curio.sleep(1.0)
            await self._connections.close_old()
            self._prober.forget_absent()
            self._cold.forget_absent()
