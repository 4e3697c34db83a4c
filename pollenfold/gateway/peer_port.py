"""The port on which an entry takes requests that other entries relay to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ..core.clock import Clock, add_ms
from ..core.errors import ErrorKind
from ..http.memory import MemoryBudget
from ..http.messages import Request, Response, error_response, json_response
from ..http.request_reader import BODY_WINDOW_BYTES, ServerLimits
from ..http.server import HttpServer, OnRejected, OnUnanswered
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .calls import Call
from .endpoint_attempts import RESPONSE_OUTCOMES
from .forward import Forwarder
from .peers import PeerDirectory
from .reach_monitor import ReachMonitor
from .relay.headers import (
    RELAY_REQUEST,
    RELAY_RESPONSE,
    RelayNotice,
    decode_relayed_request,
    encode_relay_notice,
    without_relay_headers,
)

REACH_PATH = "/reach"
IDLE_TIMEOUT_S = 30
"""Longer than a peer keeps an idle connection, so that the peer closes it first."""

HEAD_MARGIN_BYTES = 4_096
"""How much a head may grow by the headers between entries."""

SEND_MARGIN_MS = 250.0
"""How long after its deadline a response is still sent. The passing entry waits 100 ms;
if it hangs, it must not hold the connection to the endpoint any longer."""

REFUSAL_LOG_INTERVAL_MS = 1_000.0


class PeerPort:
    """Serves the requests of peers like those of callers, and says what it reaches.

    ``monitor`` knows which endpoints this entry reaches; ``n_caller_requests`` returns
    the number of requests of its own callers in flight.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        peers: PeerDirectory,
        monitor: ReachMonitor,
        n_caller_requests: Callable[[], int],
        caller_limits: Callable[[], ServerLimits],
        on_rejected: OnRejected,
        on_unanswered: OnUnanswered,
        budget: MemoryBudget,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._forwarder = forwarder
        self._peers = peers
        self._monitor = monitor
        self._n_caller_requests = n_caller_requests
        self._caller_limits = caller_limits
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._next_refusal_log_at = clock()
        self.is_stopping = False
        self.server = HttpServer(
            self.handle,
            limits=self._limits,
            on_rejected=on_rejected,
            on_unanswered=on_unanswered,
            window_bytes=BODY_WINDOW_BYTES,
            is_permitted=self._is_permitted,
            budget=budget,
        )

    def _limits(self) -> ServerLimits:
        limits = self._caller_limits()
        return replace(
            limits,
            head_bytes=limits.head_bytes + HEAD_MARGIN_BYTES,
            idle_timeout_ms=1_000.0 * (IDLE_TIMEOUT_S + 1),
            announced_idle_s=IDLE_TIMEOUT_S,
        )

    def _is_permitted(self, host: str) -> bool:
        """Return whether a peer has this address; count and log others."""
        if self._peers.has_host(host):
            return True
        self._metrics.count("peer_connections_refused_total")
        now = self._clock()
        if now >= self._next_refusal_log_at:
            self._next_refusal_log_at = add_ms(now, REFUSAL_LOG_INTERVAL_MS)
            self._log.state(
                "peer_connection_refused", host=host, n_peers=len(self._peers.by_id)
            )
        return False

    @property
    def n_in_flight(self) -> int:
        """The number of requests in flight, of callers and of peers."""
        return self._n_caller_requests() + self.server.n_in_flight

    def announce_stop(self) -> None:
        """Report no service as reached, and close connections after a response."""
        self.is_stopping = True
        self.server.announce_stop()

    async def handle(self, request: Request) -> Response | None:
        """Respond to a relayed request, or to a question of a peer."""
        if request.header(RELAY_REQUEST) is None:
            is_question = request.method == b"GET" and request.path == REACH_PATH
            if is_question:
                await self._monitor.refresh_reach()
                return self._report_reach()
            return error_response(ErrorKind.NOT_FOUND)
        relayed = decode_relayed_request(request.headers)
        if relayed is None:
            return error_response(ErrorKind.BAD_REQUEST, "malformed relay header")
        self._metrics.count("requests_from_peers_total", service=relayed.service)
        response, call = await self._forwarder.handle_relayed(request, relayed)
        if response is not None:
            value = encode_relay_notice(self._notice(call))
            headers = without_relay_headers(response.headers)
            response.headers = [*headers, (RELAY_RESPONSE, value)]
            if call is not None:
                response.send_until = add_ms(call.deadline, SEND_MARGIN_MS)
        return response

    def _report_reach(self) -> Response:
        # The question itself is a request in flight.
        report = {"services": self._services(), "in_flight": self.n_in_flight - 1}
        return json_response(200, report)

    def _services(self) -> list[str]:
        return [] if self.is_stopping else sorted(self._monitor.reached_services())

    def _notice(self, call: Call | None) -> RelayNotice:
        attempts = [] if call is None else call.attempts
        last = attempts[-1] if attempts else None
        is_reached: bool | None = None
        if any(attempt.outcome in RESPONSE_OUTCOMES for attempt in attempts):
            is_reached = True
        elif self._monitor.is_cut:
            is_reached = False
        is_from_endpoint = call is not None and call.is_endpoint_response
        is_passed_on = call is None or is_from_endpoint
        return RelayNotice(
            is_from_endpoint=is_from_endpoint,
            endpoint_id="" if last is None else last.endpoint_id,
            born_ms=0 if last is None else last.born_ms,
            n_sends=0 if call is None else call.n_sends(),
            n_in_flight=self.n_in_flight,
            is_reached=is_reached,
            endpoint_notices=None if is_passed_on else call.last_notices,
        )
