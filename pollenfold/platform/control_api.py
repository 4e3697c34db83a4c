"""The control API of the platform: heartbeats, configurations, orders of operators."""

from __future__ import annotations

import time
from collections.abc import Callable
from urllib.parse import unquote

from expression import Result

from ..control.cluster import ClusterNode
from ..core.errors import ErrorKind
from ..core.input_limits import is_endpoint_id, is_name
from ..core.replicated_state import Configure, Evacuate, StartRollout
from ..gateway.slices import run_in_slices
from ..http.messages import Request, Response, error_response, json_response
from ..observe.clock import system_clock
from .documents import DocumentError, configuration_decoder, decode_announcement
from .rollout_documents import KnownServices, decode_rollout_order

INSTANCES = "/-/instances/"
EVACUATIONS = "/-/evacuations/"
CONFIGURATION = "/-/config"
ROLLOUTS = "/-/rollouts"

COMMAND_TIMEOUT_MS = 900.0
"""Below the second after which callers try another replica."""


class ControlApi:
    """Translates requests of endpoints and the operator into commands."""

    def __init__(self, node: ClusterNode, api_port: int, zones: frozenset[str]) -> None:
        self._node = node
        self._cluster_state = node.cluster_state
        self._port = api_port
        self._zones = zones
        self._decode = configuration_decoder()
        self._known_services = KnownServices(system_clock)

    async def handle(self, request: Request) -> Response | None:
        """Handle one request; None closes the connection, since nobody waits."""
        path = request.path
        method = request.method
        if path.startswith(INSTANCES) and method in (b"PUT", b"DELETE"):
            return await self._handle_instance(request, path.removeprefix(INSTANCES))
        if path.startswith(EVACUATIONS) and method in (b"POST", b"DELETE"):
            zone = path.removeprefix(EVACUATIONS)
            return await self._evacuate(request, zone, method == b"POST")
        if path == CONFIGURATION and method == b"PUT":
            return await self._configure(request)
        if path == CONFIGURATION and method == b"GET":
            return await self._get_configuration(request)
        if path == ROLLOUTS and method == b"POST":
            return await self._start_rollout(request)
        if path.startswith(f"{ROLLOUTS}/") and method == b"GET":
            service = unquote(path.removeprefix(f"{ROLLOUTS}/"))
            return await self._get_rollout(request, service)
        return error_response(ErrorKind.NOT_FOUND, path)

    def _redirect(self, request: Request) -> Response | None:
        """Redirect to the leader, or refuse, while this replica isn't a member."""
        if self._node.membership.is_member():
            return None
        host = self._node.membership.leader_host()
        if host is None:
            return error_response(ErrorKind.NOT_READY, retry_after_s=0.3)
        location = f"http://{host}:{self._port}".encode() + request.target
        return Response(307, [(b"location", location)])

    async def _handle_instance(
        self, request: Request, endpoint_id: str
    ) -> Response | None:
        redirect = self._redirect(request)
        if redirect is not None:
            return redirect
        if not is_endpoint_id(endpoint_id):
            error = DocumentError(f"expected an endpoint id, got {endpoint_id!r:.80}")
            return self._invalid_response("instance", endpoint_id[:80], error)
        if request.method == b"DELETE":
            return await self._depart(request, endpoint_id)
        try:
            announcement = decode_announcement(endpoint_id, request.body)
        except DocumentError as error:
            return self._invalid_response("heartbeat", endpoint_id, error)
        result = await self._cluster_state.announce(announcement, COMMAND_TIMEOUT_MS)
        if not announcement.is_leaving:
            return json_response(200, {})
        return self._command_response("drain", endpoint_id, result, request)

    async def _depart(self, request: Request, endpoint_id: str) -> Response | None:
        """Commit that the endpoint leaves which sent the request."""
        now_ms = int(time.time() * 1000)
        result = await self._cluster_state.depart(
            endpoint_id, now_ms, COMMAND_TIMEOUT_MS, request.is_sender_waiting
        )
        return self._order_response("leave", endpoint_id, result, request)

    async def _evacuate(
        self, request: Request, zone: str, is_out: bool
    ) -> Response | None:
        if not is_name(zone) or (self._zones and zone not in self._zones):
            return error_response(ErrorKind.NOT_FOUND, f"unknown zone {zone:.80}")
        call = "zone_out" if is_out else "zone_in"
        result = await self._cluster_state.orders.submit(
            Evacuate(zone, is_out), COMMAND_TIMEOUT_MS, request.is_sender_waiting
        )
        return self._order_response(call, zone, result, request)

    async def _start_rollout(self, request: Request) -> Response | None:
        try:
            fields = decode_rollout_order(request.body)
        except DocumentError as error:
            return self._invalid_response("rollout", "", error)
        order = StartRollout(
            fields.service,
            fields.target_version,
            fields.duration_ms,
            max(0, int(time.time() * 1000 - _waited_ms(request))),
        )
        result = await self._node.rollout_orders.submit(
            order,
            self._known_services.contains,
            COMMAND_TIMEOUT_MS,
            request.is_sender_waiting,
        )
        subject = f"{order.service}:{order.target_version}"
        if result.is_error() and result.error is ErrorKind.UNKNOWN_SERVICE:
            unknown = DocumentError(f"service: unknown service {order.service!r}")
            return self._invalid_response("rollout", subject, unknown)
        return self._order_response("rollout", subject, result, request)

    async def _get_rollout(self, request: Request, service: str) -> Response:
        found = await self._node.rollout_orders.find(service, COMMAND_TIMEOUT_MS)
        if found.is_error():
            return self._command_response("rollout_read", service[:80], found, request)
        if found.ok is None:
            return error_response(ErrorKind.NOT_FOUND, "no roll-out of the service")
        fields = {"state": found.ok.state, "targetVersion": found.ok.target_version}
        return json_response(200, fields)

    def _order_response(
        self,
        call: str,
        subject: str,
        result: Result[object, ErrorKind],
        request: Request,
    ) -> Response | None:
        """Return the response to an order, or None if nobody waits for it."""
        if result.is_ok() or result.error is not ErrorKind.ABANDONED:
            return self._command_response(call, subject, result, request)
        outcome = result.error.value
        self._node.metrics.count("orders_total", call=call, outcome=outcome)
        self._node.log.state(
            "order_abandoned",
            call=call,
            subject=subject,
            peer=request.peer,
            waited_ms=_waited_ms(request),
        )
        return None

    async def _configure(self, request: Request) -> Response:
        try:
            text = request.body.decode()
            steps = self._decode(text)
            configuration = await run_in_slices(steps, system_clock)
        except (DocumentError, UnicodeDecodeError) as error:
            return self._invalid_response("configuration", "", error)
        command = Configure(configuration.version, text)
        result = await self._cluster_state.submit(command, COMMAND_TIMEOUT_MS)
        return self._command_response(
            "configuration", str(configuration.version), result, request
        )

    async def _get_configuration(self, request: Request) -> Response:
        result = await self._cluster_state.read(COMMAND_TIMEOUT_MS)
        if result.is_error():
            return self._command_response("read", "", result, request)
        if not result.ok.version:
            return error_response(ErrorKind.NOT_READY, "no configuration yet")
        headers = [(b"content-type", b"application/json")]
        return Response(200, headers, result.ok.document.encode())

    def _command_response(
        self,
        call: str,
        subject: str,
        result: Result[object, ErrorKind],
        request: Request,
    ) -> Response:
        """Log and count the outcome of a command, and return the response."""
        error = result.error if result.is_error() else None
        outcome = "accepted" if error is None else error.value
        self._node.metrics.count("orders_total", call=call, outcome=outcome)
        self._node.log.state(
            "order_answered",
            call=call,
            subject=subject,
            outcome=outcome,
            order_index=result.ok if error is None and type(result.ok) is int else 0,
            waited_ms=_waited_ms(request),
            index=self._cluster_state.replicated_state.index,
            version=self._cluster_state.replicated_state.version,
            leader=str(self._node.replica.leader_id()),
            n_voters=len(self._node.replica.voters()),
            n_target=self._cluster_state.commands.n_members,
        )
        if error is None:
            return json_response(200, {})
        if error in (ErrorKind.BODY_TOO_LARGE, ErrorKind.ROLLOUT_CONFLICT):
            return error_response(error)
        response = error_response(error, retry_after_s=0.2)
        response.status = 503
        return response

    def _invalid_response(self, call: str, subject: str, error: Exception) -> Response:
        self._node.metrics.count("orders_total", call=call, outcome="invalid")
        self._node.log.state(
            "order_invalid", call=call, subject=subject, detail=str(error)[:200]
        )
        return error_response(ErrorKind.BAD_REQUEST, str(error)[:200])


def _waited_ms(request: Request) -> float:
    """Return the time since the head of a request was read."""
    if request.received_at is None:
        return 0.0
    return system_clock() - request.received_at


def make_handler(
    api_port: int, zones: frozenset[str]
) -> Callable[[ClusterNode], Callable[[Request], object]]:
    """Return a factory of request handlers, one for each node."""
    return lambda node: ControlApi(node, api_port, zones).handle
