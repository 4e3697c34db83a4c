"""Checks whether this entry is cut off from the endpoints, and when a cut is over.

``core/reach.py`` decides; this module contacts endpoints and peers. A check runs only
after failures gave reason for it. While the entry is cut off, a bounded number of
trials contacts endpoints on new connections, and some peers are asked for their reach.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Collection

import curio

from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.link import Link
from ..core.peer_choice import PeerCandidate, PeerTable
from ..core.reach import CheckResult, Contact, Reach
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .dialect import Dialect
from .endpoint import Endpoint
from .endpoint_contacts import EndpointContacts
from .peers import Peer
from .relay.client import RelayClient
from .view import FleetView

N_CHECKED_ENDPOINTS = 6
N_TRIED_ENDPOINTS = 2
TRIAL_INTERVAL_MS = 100.0
"""Together they bound what an entry sends to endpoints while it is cut off."""

N_ASKED_PEERS = 4
MAX_ASK_ROUNDS = 3
"""A check asks so many peers, and others when none of them reaches an endpoint, since
most entries may be cut off at the same time."""

N_REFRESHED_PEERS = 2
REFRESH_INTERVAL_MS = 300.0
"""How often a cut entry asks some peers to know more of them."""

SEARCH_INTERVAL_MS = 100.0
"""How often it asks at most while it knows of no peer that reaches a service."""


CONTACT_INTERVAL_MS = 100.0
"""How often an entry without requests contacts endpoints at most, to answer peers that
ask what it reaches."""


class ReachMonitor:
    """The belief of one entry on its path to the endpoints, and what checks it.

    ``on_change`` is called when a cut begins and when it ends.
    """

    def __init__(
        self,
        view: FleetView,
        dialect: Dialect,
        zone: str,
        relay_client: RelayClient,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
        link: Link,
    ) -> None:
        self.reach = Reach()
        self.is_isolated = False
        """Whether neither an endpoint nor a peer responded to the last check."""

        self.peer_table = PeerTable()
        self._view = view
        self._zone = zone
        self._relay_client = relay_client
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._contacts = EndpointContacts(
            view, dialect, zone, self._observe_response, clock, metrics, rng, link
        )
        self._check: curio.Task | None = None
        self._refresh: curio.Task | None = None
        self._search: curio.Task | None = None
        self._trials: curio.Task | None = None
        self._is_stopped = False
        self._next_refresh_at = Instant(float("-inf"))
        self._next_search_at = Instant(float("-inf"))
        self._next_contact_at = Instant(float("-inf"))
        self.on_change: Callable[[], Awaitable[None]] = _do_nothing

    @property
    def is_cut(self) -> bool:
        """Whether this entry is cut off from the endpoints."""
        return self.reach.is_cut

    @property
    def has_reaching_peer(self) -> bool:
        """Whether a peer is known that reaches endpoints."""
        now = self._clock()
        return any(
            self.peer_table.reaches(entry_id, service, now)
            for entry_id in self._view.peers
            for service in self._view.by_service
        )

    @property
    def is_silent(self) -> bool:
        """Whether it is cut off and its open connections are silent as well."""
        return self.reach.is_silent(self._clock())

    # Evidence

    def observe(self, endpoint: Endpoint, contact: Contact) -> None:
        """Record the result of a request, a probe or a connection."""
        announcement = endpoint.announcement
        self.reach.observe(
            announcement.service, announcement.endpoint_id, contact, self._clock()
        )

    def _observe_response(self, endpoint: Endpoint) -> None:
        self.observe(endpoint, Contact.RESPONDED)

    async def observe_failure(self, endpoint: Endpoint, contact: Contact) -> None:
        """Record a failure, and start a check if there is reason for it."""
        self.observe(endpoint, contact)
        await self._start_check_if_needed()

    async def observe_waiting(self, endpoint: Endpoint, since: Instant) -> None:
        """Record that a request has had no response ``since`` it was sent."""
        announcement = endpoint.announcement
        self.reach.observe_waiting(
            announcement.service, announcement.endpoint_id, since, self._clock()
        )
        await self._start_check_if_needed()

    async def _start_check_if_needed(self) -> None:
        if self.reach.needs_check(self._clock()):
            await self._start_check()

    async def _start_check(self) -> None:
        if not self._is_stopped and not self._is_checking():
            self._check = await curio.spawn(self._run_check, daemon=True)

    def _is_checking(self) -> bool:
        return self._check is not None and not self._check.terminated

    async def wait_for_check(self) -> None:
        """Wait for the result of the check that is running, if there is one."""
        if self._check is not None:
            await self._check.wait()

    async def stop(self) -> None:
        """End all checks and trials."""
        self._is_stopped = True
        for task in (self._check, self._refresh, self._search, self._trials):
            if task is not None:
                await task.cancel()

    def reached_services(self) -> frozenset[str]:
        """Return the services whose endpoints respond to this entry."""
        return self.reach.reached_services(self._clock())

    async def refresh_reach(self) -> None:
        """Contact some endpoints if no response is recent, before it is reported."""
        now = self._clock()
        if self.reach.is_cut or not self.reach.is_stale(now):
            return
        if self._refresh is None or self._refresh.terminated:
            if now < self._next_contact_at:
                return
            self._next_contact_at = add_ms(now, CONTACT_INTERVAL_MS)
            endpoints = self._contacts.choose(N_CHECKED_ENDPOINTS)
            self._refresh = await curio.spawn(
                self._contacts.contact, endpoints, daemon=True
            )
        await self._refresh.wait()

    # Checks

    async def _run_check(self) -> None:
        started_at = self._clock()
        endpoints = self._contacts.choose(N_CHECKED_ENDPOINTS)
        n_responded = await self._contacts.contact_in_steps(endpoints)
        n_peers, peer_services = 0, frozenset[str]()
        if not n_responded:
            n_peers, peer_services = await self._ask_peers(self.reach.ask_at())
        services = frozenset(e.announcement.service for e in endpoints)
        check = CheckResult(
            services, len(endpoints), n_responded, peer_services, n_peers
        )
        self.is_isolated = bool(self._view.peers) and not (n_responded or n_peers)
        now = self._clock()
        is_cut = self.reach.conclude_check(check, started_at, now)
        result = "cut" if is_cut else "reached" if n_responded else "unconfirmed"
        self._metrics.count("reach_checks_total", result=result)
        if not n_responded:
            self._log.state(
                "endpoints_unreachable" if is_cut else "endpoints_silent",
                endpoints=len(endpoints),
                responded=n_responded,
                services=",".join(sorted(services)),
                peers_answered=n_peers,
                peers_reach=",".join(sorted(peer_services)),
                check_ms=now - started_at,
            )
        if not is_cut:
            return
        await self._change()
        self._trials = await curio.spawn(self._run_trials, daemon=True)

    async def _change(self) -> None:
        self._metrics.set("is_cut", float(self.is_cut))
        await self.on_change()

    # Peers

    def peers(self) -> tuple[dict[str, Peer], list[PeerCandidate]]:
        """Return the peers by entry id, and as candidates."""
        peers = self._view.peers
        candidates = [
            PeerCandidate(peer.entry_id, peer.zone == self._zone)
            for peer in peers.values()
        ]
        return peers, candidates

    async def _ask_peers(self, ask_at: Instant) -> tuple[int, frozenset[str]]:
        """Ask peers until one reaches endpoints; return how many answered, and the
        services that these reach."""
        await curio.sleep(remaining_ms(ask_at, self._clock()) / 1000)
        asked: set[str] = set()
        n_answered = 0
        services: frozenset[str] = frozenset()
        for _ in range(MAX_ASK_ROUNDS):
            chosen, n_new = await self._refresh_peers(N_ASKED_PEERS, asked)
            asked.update(chosen)
            n_answered += n_new
            now = self._clock()
            services = frozenset(
                service
                for service in self._view.by_service
                if any(self.peer_table.reaches(k, service, now) for k in asked)
            )
            if services or not chosen:
                break
        return n_answered, services

    async def _refresh_peers(
        self, n_wanted: int, excluded: Collection[str] = ()
    ) -> tuple[list[str], int]:
        """Ask peers for their reach; return which were asked, and how many answered."""
        peers, candidates = self.peers()
        self.peer_table.retain(peers)
        chosen = self.peer_table.choose_to_ask(
            candidates, n_wanted, excluded, self._clock(), self._rng
        )
        tasks = [await curio.spawn(self._ask, peers[c.entry_id]) for c in chosen]
        n_answered = sum([await task.join() for task in tasks])
        return [c.entry_id for c in chosen], n_answered

    async def _ask(self, peer: Peer) -> bool:
        """Ask a peer for its reach; return whether it answered."""
        report = await self._relay_client.ask_reach(peer)
        if report is None:
            self.peer_table.record_unreachable(peer.entry_id, self._clock())
        else:
            # An older answer may be from before the failures that are examined.
            self.peer_table.record_report(
                peer.entry_id, report.services, report.n_in_flight, report.answered_at
            )
        return report is not None

    async def find_peer_for(self, service: str, excluded: Collection[str] = ()) -> bool:
        """Return whether a peer reaches a service; ask some if none is known to.

        Peers that are ``excluded`` don't count.

        Unless this entry is known to be cut off, only reports count that are younger
        than the failures here, since the service may have just gone down.
        """
        since = Instant(float("-inf"))
        if not self.is_cut:
            since = self.reach.ask_service_at(service)
            await curio.sleep(remaining_ms(since, self._clock()) / 1000)
        if self._knows_peer_for(service, since, excluded):
            return True
        if self._clock() >= self._next_search_at:
            self._next_search_at = add_ms(self._clock(), SEARCH_INTERVAL_MS)
            self._search = await curio.spawn(
                self._refresh_peers, N_ASKED_PEERS, excluded, daemon=True
            )
        if self._search is not None:
            await self._search.wait()
        return self._knows_peer_for(service, since, excluded)

    def _knows_peer_for(
        self, service: str, since: Instant, excluded: Collection[str]
    ) -> bool:
        now = self._clock()
        return any(
            self.peer_table.reaches(entry_id, service, now, since)
            for entry_id in self._view.peers
            if entry_id not in excluded
        )

    # The way back

    async def _run_trials(self) -> None:
        """Try the path and keep up with peers until the cut is over."""
        while self.is_cut:
            started_at = self._clock()
            endpoints = self._contacts.choose(N_TRIED_ENDPOINTS)
            n_responded = await self._contacts.contact(endpoints)
            if started_at >= self._next_refresh_at:
                self._next_refresh_at = add_ms(started_at, REFRESH_INTERVAL_MS)
                await self._refresh_peers(N_REFRESHED_PEERS)
            now = self._clock()
            is_over = self.reach.observe_trials(
                len(endpoints), n_responded, now, self.has_reaching_peer
            )
            if is_over:
                self._log.state(
                    "endpoints_reachable",
                    cut_ms=self.reach.cut_ms(now),
                    endpoints=len(endpoints),
                    responded=n_responded,
                )
                await self._change()
                return
            pause_ms = TRIAL_INTERVAL_MS - (now - started_at)
            await curio.sleep(max(pause_ms, TRIAL_INTERVAL_MS / 4) / 1000)

    async def maintain(self) -> None:
        """Drop what is known of endpoints, services and entries that are gone.

        Trials that ended with an error are started again, since nothing else ends a
        cut.
        """
        has_trials = self._trials is not None and not self._trials.terminated
        if self.is_cut and not has_trials and not self._is_checking():
            self._trials = await curio.spawn(self._run_trials, daemon=True)
        self._contacts.forget_absent()
        self.reach.retain(frozenset(self._view.by_service))
        self.peer_table.retain(self._view.peers)


async def _do_nothing() -> None:
    pass
