"""The platform's calls to control: heartbeats, configurations and evacuations."""

from __future__ import annotations

import time
from collections.abc import Callable

from expression import Result

from ..control.cluster import ClusterNode
from ..core.errors import ErrorKind
from ..core.orders import Configure, Evacuate
from ..http.messages import Request, Response, error_response, json_response
from .documents import DocumentError, decode_announcement, decode_configuration

INSTANCES = "/-/instances/"
EVACUATIONS = "/-/evacuations/"
CONFIGURATION = "/-/config"

ORDER_TIMEOUT_MS = 900.0
"""Callers try another replica after a second without an answer."""


class ControlApi:
    """Translates calls of endpoints and the operator to orders."""

    def __init__(self, node: ClusterNode, api_port: int, zones: frozenset[str]) -> None:
        self._node = node
        self._book = node.book
        self._port = api_port
        self._zones = zones

    async def handle(self, request: Request) -> Response:
        """Answer one call."""
        path = request.path
        method = request.method
        if path.startswith(INSTANCES) and method in (b"PUT", b"DELETE"):
            return await self._instance(request, path.removeprefix(INSTANCES))
        if path.startswith(EVACUATIONS) and method in (b"POST", b"DELETE"):
            zone = path.removeprefix(EVACUATIONS)
            return await self._evacuate(zone, method == b"POST")
        if path == CONFIGURATION and method == b"PUT":
            return await self._configure(request)
        if path == CONFIGURATION and method == b"GET":
            return await self._get_configuration()
        return error_response(ErrorKind.NOT_FOUND, path)

    def _refer(self, request: Request) -> Response | None:
        """Send a caller on while this replica is no member of the group."""
        if self._node.is_member():
            return None
        host = self._node.leader_host()
        if host is None:
            return error_response(ErrorKind.NOT_READY, retry_after_s=0.3)
        location = f"http://{host}:{self._port}".encode() + request.target
        return Response(307, [(b"location", location)])

    async def _instance(self, request: Request, endpoint_id: str) -> Response:
        referral = self._refer(request)
        if referral is not None:
            return referral
        if request.method == b"DELETE":
            now_ms = int(time.time() * 1000)
            return self._answer(
                "leave",
                endpoint_id,
                await self._book.depart(endpoint_id, now_ms, ORDER_TIMEOUT_MS),
            )
        try:
            announcement = decode_announcement(endpoint_id, request.body)
        except DocumentError as error:
            return self._invalid("heartbeat", endpoint_id, error)
        result = await self._book.announce(announcement, ORDER_TIMEOUT_MS)
        if not announcement.is_leaving:
            return json_response(200, {})
        return self._answer("drain", endpoint_id, result)

    async def _evacuate(self, zone: str, is_out: bool) -> Response:
        if self._zones and zone not in self._zones:
            return error_response(ErrorKind.NOT_FOUND, f"unknown zone {zone}")
        result = await self._book.submit(Evacuate(zone, is_out), ORDER_TIMEOUT_MS)
        return self._answer("zone_out" if is_out else "zone_in", zone, result)

    async def _configure(self, request: Request) -> Response:
        try:
            text = request.body.decode()
            configuration = decode_configuration(text)
        except (DocumentError, UnicodeDecodeError) as error:
            return self._invalid("configuration", "", error)
        order = Configure(configuration.version, text)
        result = await self._book.submit(order, ORDER_TIMEOUT_MS)
        return self._answer("configuration", str(configuration.version), result)

    async def _get_configuration(self) -> Response:
        result = await self._book.read(ORDER_TIMEOUT_MS)
        if result.is_error():
            return self._answer("read", "", result)
        if not result.ok.version:
            return error_response(ErrorKind.NOT_READY, "no configuration yet")
        headers = [(b"content-type", b"application/json")]
        return Response(200, headers, result.ok.document.encode())

    def _answer(
        self, call: str, subject: str, result: Result[object, ErrorKind]
    ) -> Response:
        """Answer an order once its outcome is known."""
        error = result.error if result.is_error() else None
        outcome = "accepted" if error is None else error.value
        self._node.metrics.count("orders_total", call=call, outcome=outcome)
        self._node.log.state(
            "order_answered",
            call=call,
            subject=subject,
            outcome=outcome,
            index=self._book.orders.index,
            version=self._book.orders.version,
            leader=str(self._node.replica.leader_id()),
        )
        if error is None:
            return json_response(200, {})
        response = error_response(error, retry_after_s=0.2)
        response.status = 503
        return response

    def _invalid(self, call: str, subject: str, error: Exception) -> Response:
        self._node.metrics.count("orders_total", call=call, outcome="invalid")
        self._node.log.state(
            "order_invalid", call=call, subject=subject, detail=str(error)[:200]
        )
        return error_response(ErrorKind.BAD_REQUEST, str(error)[:200])


def make_handler(
    api_port: int, zones: frozenset[str]
) -> Callable[[ClusterNode], Callable[[Request], object]]:
    """Return what makes the handler of a node."""
    return lambda node: ControlApi(node, api_port, zones).handle
