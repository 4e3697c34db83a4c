"""The final answers of an entry, each with its log line and its count."""

from __future__ import annotations

import random

from ..core.clock import Clock, remaining_ms
from ..core.errors import ErrorKind, RunState
from ..core.overload import quick_retry_after_ms, retry_after_ms
from ..http.messages import HOP_HEADERS, Response, error_response
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from .calls import Call
from .view import FleetView


class FinalAnswers:
    """Makes the final answer of each request that an entry took."""

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
        self._rng = rng

    def refuse(
        self,
        request_id: bytes,
        kind: ErrorKind,
        *,
        route: str = "",
        detail: str = "",
        after_ms: float | None = None,
    ) -> Response:
        """Refuse a request before a call is made of it."""
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
            version=self._view.orders.version,
        )
        return response

    def finish(self, call: Call, status: int, kind: str) -> None:
        """Count and log the end of a call, with what decided it."""
        latency_ms = self._clock() - call.started_at
        name = call.route.name
        self._metrics.count("requests_total", route=name, status=str(status))
        self._metrics.observe("request_ms", latency_ms, route=name)
        self._log.request(
            "request_done",
            not 200 <= status < 300,
            request=call.request_id.decode("latin-1"),
            route=name,
            service=call.service,
            status=status,
            kind=kind,
            latency_ms=latency_ms,
            deadline_ms=call.deadline - call.started_at,
            age_ms=call.age_ms,
            work_ms=call.work.get(),
            attempts=call.describe_attempts() or "none",
            asked=";".join(call.trace) or "none",
            version=self._view.orders.version,
            index=self._view.orders.index,
            n_endpoints=len(self._view.by_service.get(call.service, ())),
        )

    def give_up(self, call: Call, kind: ErrorKind) -> Response:
        """Answer for a call that ends without a response to pass on."""
        if call.last_response is not None:
            return self.relay(call, call.last_response)
        if call.may_have_run:
            is_late = kind is ErrorKind.DEADLINE_EXCEEDED
            kind = kind if is_late else ErrorKind.BACKEND_FAILED
            response = error_response(kind, run_state=RunState.OUTCOME_UNKNOWN.value)
        else:
            if kind is ErrorKind.DEADLINE_EXCEEDED:
                kind = ErrorKind.QUEUE_FULL
            left_ms = remaining_ms(call.deadline, self._clock())
            after_ms = retry_after_ms(left_ms, self._rng.random())
            if kind is ErrorKind.BACKEND_REFUSED:
                after_ms = quick_retry_after_ms(self._rng.random())
            if call.rest_ms is not None:
                after_ms = max(after_ms, call.rest_ms)
            response = error_response(kind, retry_after_s=round(after_ms / 1000, 3))
        self._metrics.count("refused_total", kind=kind.value)
        self.finish(call, response.status, kind.value)
        return response

    def end_broken_body(self, call: Call, kind: ErrorKind) -> Response | None:
        """Answer for a call whose caller didn't send the rest of its body.

        A part of it reached a backend server, so no answer may say that it didn't run.
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
        """Pass a backend server's response on."""
        self.finish(call, response.status, "responded")
        headers = [pair for pair in response.headers if pair[0] not in HOP_HEADERS]
        return Response(response.status, headers, response.body, rest=response.rest)
