"""Passes requests on to peers while this entry doesn't reach the endpoints."""

from __future__ import annotations

import random

import curio

from ...core.clock import Clock, remaining_ms
from ...core.errors import ERROR_TABLE, ErrorKind
from ...http.messages import Response, find_header
from ...http.retry_after import parse_backoff_ms
from ...observe.exposition import Metrics
from ..balancer import Balancer
from ..calls import Call
from ..exchange import CallerGoneError, is_caller_gone
from ..final_responses import QUOTA_KINDS, FinalResponses
from ..peers import Peer
from ..reach_monitor import ReachMonitor
from .client import RelayClient, RelayOutcome, RelayResult

MAX_TRIED_PEERS = 3
"""How many peers a request is passed on to, one after the other."""

MAX_FULL_PEERS = 8
"""How many peers are passed over whose connections are all in use."""

MAX_SEARCH_MS = 250.0
"""How long a request that reached no endpoint waits for a peer that does."""

MIN_RELAY_MS = 15.0
"""With less time left a request isn't passed on."""


class Relaying:
    """Passes the requests of this entry's callers on to peers.

    A request that a peer passed on is never passed on again.
    """

    def __init__(
        self,
        monitor: ReachMonitor,
        client: RelayClient,
        final_responses: FinalResponses,
        balancer: Balancer,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._monitor = monitor
        self._client = client
        self._final_responses = final_responses
        self._balancer = balancer
        self._clock = clock
        self._metrics = metrics
        self._rng = rng

    async def relay_if_cut(self, call: Call) -> Response | None:
        """Return the final response if this entry is cut off and a peer took the call.

        Return None if this entry isn't cut off, if no peer is known that reaches the
        service, or if the request may not be passed on.
        """
        if not self._monitor.is_cut or not _may_relay(call):
            return None
        if not await self._monitor.find_peer_for(call.service):
            return None
        return await self._relay(call)

    async def relay_if_unreached(self, call: Call) -> Response | None:
        """Return the final response if a peer took a call that reached no endpoint.

        None of the endpoints that this entry tried responded. If peers don't reach the
        service either, it is down, and None is returned.
        """
        if not _may_relay(call) or not self._balancer.is_unreached(call.service):
            return None
        if self._monitor.is_isolated:
            return None
        has_peer = False
        async with curio.ignore_after(MAX_SEARCH_MS / 1000):
            await self._monitor.wait_for_check()
            has_peer = await self._monitor.find_peer_for(call.service)
        return await self._relay(call) if has_peer else None

    async def _relay(self, call: Call) -> Response | None:
        """Pass a call on to one peer after another; return the final response.

        Return None if no peer took it, so that no endpoint received it through a peer.
        """
        excluded: set[str] = set()
        refusal_kind: ErrorKind | None = None
        while len(excluded) < MAX_TRIED_PEERS:
            if is_caller_gone(call):
                raise CallerGoneError
            if remaining_ms(call.deadline, self._clock()) < MIN_RELAY_MS:
                refusal_kind = ErrorKind.DEADLINE_EXCEEDED
                break
            peer = await self._find_peer(call, excluded)
            if peer is None:
                break
            excluded.add(peer.entry_id)
            result = await self._relay_to(call, peer)
            call.is_counted |= result.outcome is not RelayOutcome.UNREACHABLE
            if result.outcome is RelayOutcome.RESPONDED and result.response is not None:
                return self._final_responses.relay(call, result.response)
            if result.outcome is RelayOutcome.EXPIRED:
                refusal_kind = ErrorKind.DEADLINE_EXCEEDED
                break
            if result.outcome is RelayOutcome.NOT_STARTED:
                refusal_kind = _refusal_kind(result)
                if refusal_kind in QUOTA_KINDS:
                    call.backoff_ms = _retry_after_ms(result)
                if refusal_kind is ErrorKind.QUOTA_EXCEEDED:
                    # Any peer gets its permits from the same leader.
                    break
            if result.outcome is RelayOutcome.LOST:
                refusal_kind = ErrorKind.BACKEND_FAILED
            if not _may_relay(call):
                break
        if refusal_kind is None:
            return None
        return self._final_responses.finish_failed(call, refusal_kind)

    async def _find_peer(self, call: Call, excluded: set[str]) -> Peer | None:
        """Return a peer to try; after the first one, ask others if none is known."""
        peer = self._choose_peer(call, excluded)
        if peer is not None or not excluded:
            return peer
        async with curio.ignore_after(MAX_SEARCH_MS / 1000):
            await self._monitor.find_peer_for(call.service, excluded)
        return self._choose_peer(call, excluded)

    def _choose_peer(self, call: Call, excluded: set[str]) -> Peer | None:
        """Choose among the peers to which this entry may have another connection."""
        peers, candidates = self._monitor.peers()
        skipped = set(excluded)
        for _ in range(MAX_FULL_PEERS):
            chosen = self._monitor.peer_table.choose(
                candidates, call.service, skipped, self._clock(), self._rng
            )
            if chosen is None:
                return None
            peer = peers[chosen.entry_id]
            if not self._client.is_full(peer):
                return peer
            skipped.add(chosen.entry_id)
        return None

    async def _relay_to(self, call: Call, peer: Peer) -> RelayResult:
        started_at = self._clock()
        call.n_probes_left = self._balancer.take_probes()
        end_relay = self._monitor.peer_table.begin_relay(peer.entry_id)
        outcome = "abandoned"
        try:
            result = await self._client.relay(call, peer)
            outcome = result.outcome.value
        finally:
            end_relay()
            call.relay_trace.append(f"{peer.entry_id}:{outcome}")
            self._metrics.observe("relay_ms", self._clock() - started_at)
        self._record(call, peer, result)
        return result

    def _record(self, call: Call, peer: Peer, result: RelayResult) -> None:
        """Update what is known of the peer from the end of a relayed request."""
        table, now = self._monitor.peer_table, self._clock()
        if result.peer_in_flight is not None:
            table.record_load(peer.entry_id, result.peer_in_flight)
        if result.is_full:
            return
        if result.outcome is RelayOutcome.UNREACHABLE or _is_hop_lost(result):
            table.record_unreachable(peer.entry_id, now)
        elif result.reached is False:
            table.record_unreached(peer.entry_id, call.service, now)
        elif result.reached:
            table.record_served(peer.entry_id, call.service, now)


def _is_hop_lost(result: RelayResult) -> bool:
    """Return whether the peer didn't respond; it may also report a lost endpoint."""
    return result.outcome is RelayOutcome.LOST and result.response is None


def _refusal_kind(result: RelayResult) -> ErrorKind:
    """Return the kind of a peer's refusal, as it is passed on to the caller.

    This entry admitted the request, so that a peer's "no such route" or "too large"
    only shows that the two hold different configurations.
    """
    kind = result.error_kind or ErrorKind.BACKEND_REFUSED
    if kind is ErrorKind.QUOTA_EXCEEDED:
        return kind
    return kind if ERROR_TABLE[kind].status >= 500 else ErrorKind.NOT_CONFIRMED


def _retry_after_ms(result: RelayResult) -> float | None:
    """Return when the caller may come back, as the peer says."""
    headers = [] if result.response is None else result.response.headers
    return parse_backoff_ms(find_header(headers, b"retry-after") or b"", None)


def _may_relay(call: Call) -> bool:
    """Return whether a request may be sent to an endpoint through a peer."""
    is_repeatable = call.route.is_idempotent or not call.may_have_executed
    has_attempts = call.n_sends() < call.max_attempts
    is_complete = not call.is_body_streamed
    return not call.is_relayed and is_repeatable and has_attempts and is_complete
