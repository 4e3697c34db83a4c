"""Connections to peers, and questions to them: what they reach, how busy they are."""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace

import curio

from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.link import Link
from ..http.messages import Response
from ..observe.exposition import Metrics
from .backend import BackendConnection
from .outgoing import outgoing_request
from .peers import Peer
from .pool import ConnectionPool
from .view import FleetView

REACH_TARGET = b"/reach"
ASK_TIMEOUT_MS = 200.0
"""Limits connecting and one question together."""

ANSWER_MEMORY_MS = 100.0
"""How long the answer of a peer is used for all requests."""

PROVEN_MS = 100.0
"""How long after an exchange a connection is used without a question first.

A connection may go silent without a reset. A request that mustn't be repeated and is
sent on such a connection has an unknown outcome."""

MAX_PEER_CONNECTIONS = 64
MIN_PEER_CONNECTIONS = 4
MAX_ALL_PEER_CONNECTIONS = 1_536
"""How many connections all other entries together may open to one peer, so that they
leave it most of its file descriptors (some 4,000)."""

MAX_REPORT_BYTES = 64 * 1024
MAX_IN_FLIGHT = 1 << 31
IDLE_CLOSE_MS = 9_000.0
MAINTENANCE_INTERVAL_S = 1.0
N_FAILURES_OF_HANGING_PEER = 2


@dataclass(frozen=True, slots=True)
class ReachReport:
    """The services whose endpoints a peer reaches, and its requests in flight.

    ``answered_at`` is when the peer said so, since one answer is used for a while.
    """

    services: frozenset[str]
    n_in_flight: int
    answered_at: Instant = Instant(0.0)


@dataclass(frozen=True, slots=True)
class PeerConnection:
    """A connection to a peer, with the pool to which it must be released."""

    connection: BackendConnection
    pool: ConnectionPool


@dataclass(slots=True)
class _PeerState:
    """The connections to one peer, and its last answer.

    ``pending`` is set while a question is on its way, and signals its end.
    """

    pool: ConnectionPool
    report: ReachReport | None = None
    answered_at: Instant = Instant(float("-inf"))
    failed_at: list[Instant] = field(default_factory=list)
    """When the last questions failed, without an answer in between."""

    pending: curio.Event | None = field(default=None)


class ReachQuestions:
    """Connects to peers and asks them; one answer serves all requests for a while."""

    def __init__(
        self,
        view: FleetView,
        port: int,
        source_host: str,
        clock: Clock,
        metrics: Metrics,
        link: Link,
    ) -> None:
        self._view = view
        self._port = port
        self._source_host = source_host
        self._clock = clock
        self._metrics = metrics
        self._link = link
        self._states: dict[tuple[str, str], _PeerState] = {}
        """By entry id and host, since an entry may come back elsewhere."""

    def _state(self, peer: Peer) -> _PeerState:
        key = (peer.entry_id, peer.host)
        state = self._states.get(key)
        if state is None:
            pool = ConnectionPool(
                peer.host,
                self._port,
                MAX_PEER_CONNECTIONS,
                self._clock,
                self._link,
                self._source_host,
            )
            state = self._states[key] = _PeerState(pool)
        state.pool.limit = self._connection_limit()
        return state

    def _connection_limit(self) -> int:
        """Return this entry's share of the connections that a peer can take."""
        share = MAX_ALL_PEER_CONNECTIONS // self._view.fleet.get(self._clock())
        return max(MIN_PEER_CONNECTIONS, min(MAX_PEER_CONNECTIONS, share))

    async def ask(self, peer: Peer) -> ReachReport | None:
        """Return what a peer reaches, or None if it doesn't respond."""
        await self.refresh(peer)
        state = self._state(peer)
        if state.pending is not None:
            await state.pending.wait()
        return state.report

    async def refresh(self, peer: Peer) -> None:
        """Ask a peer in the background, unless its answer is recent or on its way."""
        state = self._state(peer)
        is_recent = self._clock() < add_ms(state.answered_at, ANSWER_MEMORY_MS)
        if is_recent or state.pending is not None:
            return
        state.pending = curio.Event()
        await curio.spawn(self._ask, state, daemon=True)

    def is_hanging(self, peer: Peer, since: Instant) -> bool:
        """Return whether a peer has answered none of several questions ``since``."""
        failed_at = self._state(peer).failed_at
        return len(failed_at) == N_FAILURES_OF_HANGING_PEER and min(failed_at) >= since

    async def _ask(self, state: _PeerState) -> None:
        try:
            connection = await self._connect(state, ASK_TIMEOUT_MS, 0.0)
            if connection is not None:
                await state.pool.release(connection)
        finally:
            pending, state.pending = state.pending, None
            if pending is not None:
                await pending.set()

    def _record(self, state: _PeerState, report: ReachReport | None) -> None:
        now = self._clock()
        state.report = None if report is None else replace(report, answered_at=now)
        state.answered_at = now
        if report is None:
            recent = [*state.failed_at, self._clock()]
            state.failed_at = recent[-N_FAILURES_OF_HANGING_PEER:]
        else:
            state.failed_at = []
        result = "unanswered" if report is None else "answered"
        self._metrics.count("peer_questions_total", result=result)

    def is_full(self, peer: Peer) -> bool:
        """Return whether this entry uses all connections that it may have to a peer."""
        pool = self._state(peer).pool
        return pool.n_open >= pool.limit and not pool.n_idle

    async def connect(self, peer: Peer, deadline: Instant) -> PeerConnection | None:
        """Return a connection on which the peer responds, or None if there is none."""
        state = self._state(peer)
        left_ms = min(remaining_ms(deadline, self._clock()), ASK_TIMEOUT_MS)
        connection = await self._connect(state, left_ms, PROVEN_MS)
        return None if connection is None else PeerConnection(connection, state.pool)

    async def _connect(
        self, state: _PeerState, timeout_ms: float, proven_ms: float
    ) -> BackendConnection | None:
        """Return a connection that was used within ``proven_ms`` or has just answered.

        If an idle connection doesn't answer, the others may be silent as well, so that
        all are closed and a new one is tried. Each of the two may take ``timeout_ms``.
        """
        pool = state.pool
        for _ in range(2):
            try:
                connection = await pool.acquire()
            except OSError:
                break
            if connection is None:
                # At the limit of connections, which says nothing about the peer.
                return None
            is_reused = connection.n_exchanges > 0
            proven_until = add_ms(connection.last_used_at, proven_ms)
            if is_reused and self._clock() < proven_until:
                return connection
            report = await self._ask_on(pool, connection, timeout_ms)
            if report is not None:
                self._record(state, report)
                # A peer that stops closes each connection after its answer.
                return connection if connection.is_reusable else None
            if not is_reused:
                break
            await pool.close_idle(0.0)
        self._record(state, None)
        return None

    async def _ask_on(
        self, pool: ConnectionPool, connection: BackendConnection, timeout_ms: float
    ) -> ReachReport | None:
        """Ask on a connection; discard it unless it can be used further."""
        report: ReachReport | None = None
        try:
            async with curio.timeout_after(timeout_ms / 1000):
                await connection.wait_until_connected()
                request = outgoing_request(
                    b"GET", REACH_TARGET, [(b"host", b"peer")], b""
                )
                if await connection.send(request):
                    received = await connection.receive(lambda response: True)
                    if isinstance(received, Response):
                        report = decode_report(received)
        except (OSError, curio.TaskTimeout):
            report = None
        finally:
            if report is None or not connection.is_reusable:
                await pool.discard(connection)
        return report

    async def run_maintenance(self) -> None:
        """Close idle connections and forget absent peers until cancelled."""
        while True:
            await curio.sleep(MAINTENANCE_INTERVAL_S)
            for key, state in list(self._states.items()):
                entry_id, host = key
                peer = self._view.peers.get(entry_id)
                is_known = peer is not None and peer.host == host
                await state.pool.close_idle(IDLE_CLOSE_MS if is_known else 0.0)
                if not is_known and not state.pool.n_open and state.pending is None:
                    self._states.pop(key, None)


def decode_report(response: Response) -> ReachReport | None:
    """Return the report in a response, or None if it is malformed or too long."""
    is_long = response.remaining_body is not None
    if response.status != 200 or is_long or len(response.body) > MAX_REPORT_BYTES:
        return None
    try:
        fields = json.loads(response.body)
        services, n_in_flight = fields["services"], fields["in_flight"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if not isinstance(services, list) or not all(type(k) is str for k in services):
        return None
    if type(n_in_flight) is not int or not 0 <= n_in_flight < MAX_IN_FLIGHT:
        return None
    return ReachReport(frozenset(services), n_in_flight)
