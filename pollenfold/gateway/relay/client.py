"""Relays requests to peers: entries that reach endpoints that this one doesn't."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import curio

from ...core.clock import Clock, Instant, add_ms, remaining_ms
from ...core.link import Link
from ...core.outcomes import AttemptOutcome
from ...http.messages import BodyError, BodySource, Response
from ...observe.events import EventLog
from ...observe.exposition import Metrics
from ..backend import BackendConnection
from ..calls import Attempt, Call
from ..dialect import Dialect
from ..exchange import (
    CallerGoneError,
    ResponseWaits,
    is_caller_gone,
    receive_response,
    request_of_call,
    send_until_deadline,
)
from ..notices import apply_response_notices
from ..outgoing import OutgoingRequest
from ..peers import Peer
from ..reach_questions import PeerConnection, ReachQuestions, ReachReport
from ..streamed_body import read_until_deadline
from ..view import FleetView
from .headers import RELAY_REQUEST, RelayedRequest, encode_relayed_request
from .result import (
    RelayOutcome,
    RelayResult,
    relay_result,
    response_matcher,
)

RESPONSE_GRACE_MS = 100.0
"""How long after the deadline the response of a peer is waited for: the peer itself
waits 40 ms for that of an endpoint."""

CALLER_CHECK_INTERVAL_MS = 50.0
"""How often it is checked whether the caller is gone. The peer checks as well, and both
together must notice well within half a second."""

HANG_CHECK_AFTER_MS = 300.0
"""How long after it was sent a request that may be repeated asks whether the peer still
responds at all."""


class RelayClient:
    """Sends requests to the peer ports of other entries."""

    def __init__(
        self,
        dialect: Dialect,
        view: FleetView,
        port: int,
        source_host: str,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
        link: Link,
    ) -> None:
        self._dialect = dialect
        self._view = view
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._questions = ReachQuestions(view, port, source_host, clock, metrics, link)

    async def ask_reach(self, peer: Peer) -> ReachReport | None:
        """Return which services a peer reaches, or None if it doesn't respond."""
        return await self._questions.ask(peer)

    def is_full(self, peer: Peer) -> bool:
        """Return whether this entry uses all connections that it may have to a peer."""
        return self._questions.is_full(peer)

    async def run_maintenance(self) -> None:
        """Close idle connections and forget absent peers until cancelled."""
        await self._questions.run_maintenance()

    async def relay(self, call: Call, peer: Peer) -> RelayResult:
        """Send a request to a peer and return how it ended.

        The attempt is added to those of the call, and what the response says of its
        endpoint is applied here as well. Raise CallerGoneError if the caller is gone;
        the peer then sends the request no further, or completes it if it mustn't be
        aborted. Raise BodyError if the caller doesn't send its whole body.
        """
        started_at = self._clock()
        result = RelayResult(RelayOutcome.UNREACHABLE)
        try:
            connection = await self._questions.connect(peer, call.deadline)
            if connection is None:
                result.is_full = self._questions.is_full(peer)
            else:
                result = await self._exchange(call, peer, connection)
        except (CallerGoneError, BodyError):
            if call.may_have_executed:
                result = RelayResult(RelayOutcome.LOST, n_sends=1)
            raise
        finally:
            self._record(call, peer, result, started_at)
        if result.n_sends:
            call.is_retry_acquired = False
        self._apply_notices(result, started_at)
        return result

    def _record(
        self, call: Call, peer: Peer, result: RelayResult, started_at: Instant
    ) -> None:
        elapsed_ms = self._clock() - started_at
        target = f"{peer.entry_id}/{result.endpoint_id}"
        outcome = AttemptOutcome(result.outcome.value)
        attempt = Attempt(target, 0.0, outcome, elapsed_ms, n_sends=result.n_sends)
        call.attempts.append(attempt)
        self._metrics.count(
            "relayed_total", service=call.service, outcome=outcome.value
        )
        self._log.request(
            "request_relayed",
            result.outcome is not RelayOutcome.RESPONDED,
            request=call.request_id.decode("latin-1"),
            peer=peer.entry_id,
            host=peer.host,
            endpoint=result.endpoint_id or "none",
            outcome=outcome.value,
            kind="none" if result.error_kind is None else result.error_kind.value,
            endpoint_status="none" if result.notices is None else result.notices.status,
            n_sends=result.n_sends,
            n_in_flight="unknown"
            if result.peer_in_flight is None
            else result.peer_in_flight,
            left_ms=remaining_ms(call.deadline, started_at),
            elapsed_ms=elapsed_ms,
        )

    def _apply_notices(self, result: RelayResult, asked_at: Instant) -> None:
        """Apply what the endpoint said of itself, if it is the incarnation known here.

        After this entry has passed on that the endpoint leaves, it must not send it
        further requests on a path of its own.
        """
        endpoint = self._view.endpoints.get(result.endpoint_id)
        notices = result.notices
        if endpoint is None or notices is None:
            return
        if endpoint.announcement.born_ms != result.born_ms:
            return
        is_passed_on = result.outcome is RelayOutcome.RESPONDED
        is_success = is_passed_on and notices.status < 300
        apply_response_notices(
            endpoint,
            notices,
            self._dialect,
            self._view,
            self._rng,
            is_success,
            asked_at,
        )

    async def _exchange(
        self,
        call: Call,
        peer: Peer,
        peer_connection: PeerConnection,
    ) -> RelayResult:
        """Send the request on a connection, and release or hold the connection."""
        may_have_executed = call.may_have_executed
        is_held = False
        try:
            received = await self._send_and_receive(
                call, peer, peer_connection.connection
            )
            self._log_invalid_response(call, peer, peer_connection.connection)
            if isinstance(received, RelayOutcome):
                n_sends = 0 if received is RelayOutcome.UNREACHABLE else 1
                return RelayResult(received, n_sends=n_sends)
            result = relay_result(received, call.route.is_idempotent, self._dialect)
            if result.outcome is RelayOutcome.NOT_STARTED:
                call.may_have_executed = may_have_executed
            if received.remaining_body is not None:
                if result.outcome is RelayOutcome.RESPONDED:
                    self._hold_for_body(call, peer, peer_connection, received)
                    is_held = True
                else:
                    received.remaining_body = None
            return result
        finally:
            if not is_held:
                await peer_connection.pool.release(peer_connection.connection)

    def _log_invalid_response(
        self, call: Call, peer: Peer, connection: BackendConnection
    ) -> None:
        """Log what the peer sent instead of a response, if it did."""
        if connection.invalid_response:
            self._log.request(
                "response_invalid",
                True,
                request=call.request_id.decode("latin-1"),
                peer=peer.entry_id,
                detail=connection.invalid_response,
            )

    async def _send_and_receive(
        self, call: Call, peer: Peer, connection: BackendConnection
    ) -> Response | RelayOutcome:
        left_ms = remaining_ms(call.deadline, self._clock())
        if left_ms < 1.0:
            return RelayOutcome.UNREACHABLE
        if is_caller_gone(call):
            raise CallerGoneError
        request = self._request(call, left_ms)
        try:
            if not await send_until_deadline(
                call, self._clock, lambda: connection.send(request)
            ):
                return RelayOutcome.UNREACHABLE
            call.may_have_executed = True
            call.sent_at = self._clock()
            waits = ResponseWaits(
                RESPONSE_GRACE_MS,
                CALLER_CHECK_INTERVAL_MS,
                self._hang_check(call, peer),
                completes_alone=True,
            )
            is_expected = response_matcher(call.request_id, self._dialect)
            received = await receive_response(
                call, connection, is_expected, self._clock, waits
            )
        except curio.TaskTimeout:
            call.may_have_executed = True
            return RelayOutcome.EXPIRED
        except BodyError:
            call.may_have_executed = True
            raise
        except OSError:
            call.may_have_executed = True
            return RelayOutcome.LOST
        if received is AttemptOutcome.GIVEN_UP:
            # It isn't waited for any longer, and may have been executed.
            return RelayOutcome.EXPIRED
        if isinstance(received, AttemptOutcome):
            return RelayOutcome(received.value)
        return received

    def _request(self, call: Call, left_ms: float) -> OutgoingRequest:
        """Return the request with the remaining time and attempts as its limits."""
        n_sends = call.n_sends()
        relayed = RelayedRequest(
            service=call.service,
            target_ms=call.target_at - self._clock(),
            max_attempts=max(1, call.max_attempts - n_sends),
            is_repeat=n_sends > 0,
            is_retry_acquired=call.is_retry_acquired,
            version=call.version,
            is_idempotent=call.route.is_idempotent,
            is_counted=call.is_counted,
            n_probes=call.n_probes_left,
            tenant="" if call.tenant is None else call.tenant.name,
        )
        headers = [
            *call.headers,
            (self._dialect.deadline_ms, b"%d" % int(left_ms)),
            (RELAY_REQUEST, encode_relayed_request(relayed)),
        ]
        return request_of_call(call, headers, self._clock)

    def _hang_check(
        self, call: Call, peer: Peer
    ) -> Callable[[], Awaitable[bool]] | None:
        """Return a check whether the peer has stopped responding to anything.

        A request that mustn't be repeated is awaited until its deadline instead, since
        giving it up earlier would help nobody.
        """
        if not call.route.is_idempotent:
            return None
        sent_at = self._clock()
        check_from = add_ms(sent_at, HANG_CHECK_AFTER_MS)

        async def is_hanging() -> bool:
            if self._clock() < check_from:
                return False
            await self._questions.refresh(peer)
            return self._questions.is_hanging(peer, sent_at)

        return is_hanging

    def _hold_for_body(
        self,
        call: Call,
        peer: Peer,
        peer_connection: PeerConnection,
        response: Response,
    ) -> None:
        """Hold the connection until the rest of a long response has been passed on."""
        source = response.remaining_body
        if source is None:
            raise ValueError("the response has no remaining body to stream")

        def record_broken_off(detail: str, is_peer_late: bool) -> None:
            self._log.request(
                "response_broken_off",
                True,
                request=call.request_id.decode("latin-1"),
                peer=peer.entry_id,
                detail=detail,
                peer_late=is_peer_late,
            )

        async def close() -> None:
            await peer_connection.pool.release(peer_connection.connection)

        read = read_until_deadline(call, source, self._clock, record_broken_off)
        response.remaining_body = BodySource(read, close, source.length)
