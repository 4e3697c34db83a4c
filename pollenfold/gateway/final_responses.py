"""Final responses of an entry, with the log line and the metrics of each."""

from __future__ import annotations

import random

from ..core.balancing.overload import retry_after_ms, short_retry_after_ms
from ..core.clock import Clock, add_ms, remaining_ms
from ..core.errors import ErrorKind, RunState
from ..http.messages import HOP_HEADERS, Response, error_response
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .calls import Call
from .request_labels import RequestLabels
from .tenancy import WITHOUT_TENANTS, Identity
from .view import FleetView

MAX_LOGGED_URL_CHARS = 200
LONG_SEND_MARGIN_MS = 250.0
"""How long after its deadline a caller may still read a long response. One that stops
reading would hold the connection to the endpoint, which a roll-out waits for."""

QUOTA_KINDS = (ErrorKind.QUOTA_EXCEEDED, ErrorKind.QUOTA_UNKNOWN)


class FinalResponses:
    """Builds the final response to each accepted request, and logs and counts it."""

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._labels = RequestLabels()
        self._rng = rng

    def refuse(
        self,
        request_id: bytes,
        kind: ErrorKind,
        *,
        route: str = "",
        detail: str = "",
        after_ms: float | None = None,
        url: str = "",
        identity: Identity = WITHOUT_TENANTS,
    ) -> Response:
        """Refuse a request for which no ``Call`` was created.

        ``url``, for the log only, is the host and path for which there is no route.
        """
        after_s = None if after_ms is None else after_ms / 1000
        response = error_response(kind, detail, retry_after_s=after_s)
        self._metrics.count("refused_total", kind=kind.value)
        self._log.request(
            "request_refused",
            True,
            request=request_id.decode("latin-1"),
            route=route,
            status=response.status,
            kind=kind.value,
            url=url[:MAX_LOGGED_URL_CHARS],
            version=self._view.replicated_state.version,
            index=self._view.replicated_state.index,
            announced_index=self._view.announced_index,
            **_tenant_field(identity),
        )
        return response

    def finish(self, call: Call, status: int, kind: str) -> None:
        """Count and log the end of a call, with the decisions that led to it."""
        latency_ms = self._clock() - call.started_at
        name = call.route.name
        labels = self._labels.get(name, call.identity.label)
        self._metrics.count("requests_total", **labels, status=str(status))
        self._metrics.observe("request_ms", latency_ms, **labels)
        self._log.request(
            "request_done",
            not 200 <= status < 300,
            request=call.request_id.decode("latin-1"),
            route=name,
            service=call.service,
            digest=call.digest or "none",
            status=status,
            kind=kind,
            latency_ms=latency_ms,
            deadline_ms=call.deadline - call.started_at,
            age_ms=call.age_ms,
            from_peer=call.is_relayed,
            work_ms=call.work_estimate.get(),
            attempts=call.describe_attempts() or "none",
            asked=";".join(call.decision_trace) or "none",
            relayed=";".join(call.relay_trace) or "none",
            version=self._view.replicated_state.version,
            index=self._view.replicated_state.index,
            n_endpoints=len(self._view.by_service.get(call.service, ())),
            **_tenant_field(call.identity),
        )

    def finish_failed(self, call: Call, kind: ErrorKind) -> Response:
        """Return the response to a call for which no attempt succeeded.

        An error response of a backend server, if there was one, is passed on.
        """
        if call.last_response is not None:
            return self.relay(call, call.last_response)
        if kind is ErrorKind.QUARANTINED:
            # A retry of the caller can't succeed, so there is no time to wait.
            if call.may_have_executed:
                kind = ErrorKind.OUTCOME_UNKNOWN
            response = error_response(kind)
        elif call.may_have_executed:
            is_late = kind is ErrorKind.DEADLINE_EXCEEDED
            kind = kind if is_late else ErrorKind.BACKEND_FAILED
            response = error_response(kind, run_state=RunState.OUTCOME_UNKNOWN.value)
        elif kind in QUOTA_KINDS:
            # The leader told the time, so nothing is added to it.
            after_s = round((call.backoff_ms or 0.0) / 1000, 3)
            response = error_response(kind, retry_after_s=after_s)
        else:
            if kind is ErrorKind.DEADLINE_EXCEEDED:
                kind = ErrorKind.QUEUE_FULL
            left_ms = remaining_ms(call.deadline, self._clock())
            after_ms = retry_after_ms(left_ms, self._rng.random())
            if kind is ErrorKind.BACKEND_REFUSED:
                after_ms = short_retry_after_ms(self._rng.random())
            if call.backoff_ms is not None:
                after_ms = max(after_ms, call.backoff_ms)
            response = error_response(kind, retry_after_s=round(after_ms / 1000, 3))
        self._metrics.count("refused_total", kind=kind.value)
        self.finish(call, response.status, kind.value)
        return response

    def end_incomplete_request(self, call: Call, kind: ErrorKind) -> Response | None:
        """End a call whose caller didn't send its whole body.

        Part of the body has reached a backend server, so the response must not claim
        that the request was not executed. Return None when the caller is gone.
        """
        if kind is ErrorKind.TRUNCATED_BODY:
            self.finish(call, 0, "caller_gone")
            return None
        is_slow = kind is ErrorKind.SLOW_REQUEST
        kind = ErrorKind.DEADLINE_EXCEEDED if is_slow else kind
        response = error_response(kind, run_state=RunState.OUTCOME_UNKNOWN.value)
        response.close = True
        self.finish(call, response.status, kind.value)
        return response

    def relay(self, call: Call, response: Response) -> Response:
        """Pass on the response of a backend server, without hop-by-hop headers."""
        call.is_endpoint_response = True
        self.finish(call, response.status, "responded")
        headers = [pair for pair in response.headers if pair[0] not in HOP_HEADERS]
        is_long = response.remaining_body is not None
        send_until = add_ms(call.deadline, LONG_SEND_MARGIN_MS) if is_long else None
        return Response(
            response.status,
            headers,
            response.body,
            remaining_body=response.remaining_body,
            send_until=send_until,
            reservation=response.reservation,
        )


def _tenant_field(identity: Identity) -> dict[str, str]:
    """Return the field of a log line that names the tenant, if there are tenants."""
    return {} if identity.label is None else {"tenant": identity.label}
