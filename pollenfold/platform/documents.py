"""Decodes and validates the configuration and announcements of the platform."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from reprlib import repr as short_repr
from typing import Any

from ..core.input_limits import (
    MAX_SLOTS,
    MAX_WARMUP_MS,
    MAX_WHOLE_NUMBER,
    is_encodable,
    is_endpoint_id,
    is_name,
    is_request_target,
    is_whole_number,
    parse_address,
)
from ..core.registry import Announcement
from ..core.routes import (
    BackendService,
    CallerLimits,
    HostRoutes,
    Route,
    RoutingConfiguration,
    WeightedService,
)
from ..core.slices import Steps, run_at_once
from .document_errors import DocumentError
from .json_scan import DecodeItem, raw_decode, scan_json
from .tenant_documents import KnownTenants, tenant_steps

__all__ = [
    "DocumentError",
    "configuration_decoder",
    "configuration_steps",
    "decode_announcement",
    "decode_configuration",
]

MAX_TIMEOUT_MS = 600_000
MAX_NUMBER = 1e15
IDEMPOTENCE_BY_KIND = {
    "safe": True,
    "download": True,
    "unsafe": False,
    "upload": False,
}
"""Whether requests of a kind are idempotent. An upload is a large request that, like
any non-idempotent one, is executed at most once; a download has a large response."""

IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


MAX_ROUTE_BRACES = 3
"""A known route is looked for up to its third closing brace, which a route that is
split between two services has."""

KnownRoutes = dict[str, Route]
"""Routes by their JSON text."""

Splits = dict[tuple[tuple[str, float], ...], tuple[WeightedService, ...]]
"""The services of routes by name and weight. Equal ones are stored once, since most
routes share theirs with many others."""


def decode_configuration(text: str) -> RoutingConfiguration:
    """Decode a complete configuration; raise DocumentError if it is invalid."""
    return run_at_once(configuration_steps(text))


def configuration_steps(text: str) -> Steps[RoutingConfiguration]:
    """Decode a complete configuration in small steps, one for each route.

    Raise DocumentError if it is invalid.
    """
    return configuration_decoder()(text)


def configuration_decoder() -> Callable[[str], Steps[RoutingConfiguration]]:
    """Return a function like ``configuration_steps`` for successive versions.

    It keeps the routes of the last valid version by their text. Most versions change
    few routes, and decoding one takes ten times as long as finding it.
    """
    known: KnownRoutes = {}
    known_tenants: KnownTenants = {}

    def decode(text: str) -> Steps[RoutingConfiguration]:
        nonlocal known, known_tenants
        routes: KnownRoutes = {}
        configuration = yield from _decode_steps(text, known, routes, known_tenants)
        previous, known = known, routes
        tenants = configuration.tenants
        known_tenants = {} if tenants is None else tenants.by_name
        # Releasing thousands of texts at once would be one long step.
        while previous:
            previous.popitem()
            yield
        return configuration

    return decode


def _decode_steps(
    text: str,
    known: KnownRoutes,
    decoded: KnownRoutes,
    known_tenants: KnownTenants,
) -> Steps[RoutingConfiguration]:
    """Decode a configuration; add all its routes to those that are decoded."""
    try:
        fields = yield from scan_json(text, _decode_unless_known(known))
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"expected JSON: {error}") from error
    if not isinstance(fields, dict):
        raise DocumentError("expected an object")
    services = {}
    for item in _list_field(fields, "services"):
        service = _decode_service(item)
        services[service.name] = service
        yield
    hosts, names = yield from _decode_hosts(fields, services, decoded)
    sorted_hosts = {}
    for host, host_routes in hosts.items():
        sorted_hosts[host] = host_routes.in_matching_order()
        yield
    tenants = yield from tenant_steps(fields, known_tenants)
    return RoutingConfiguration(
        _decode_version(fields),
        sorted_hosts,
        services,
        _decode_limits(fields.get("limits", {})),
        {host: host_routes.index() for host, host_routes in hosts.items()},
        names,
        tenants,
    )


def _decode_hosts(
    fields: dict[str, Any], services: dict[str, BackendService], decoded: KnownRoutes
) -> Steps[tuple[dict[str, HostRoutes], set[str]]]:
    """Decode the routes of all hosts; return them by host, and their names."""
    hosts: dict[str, HostRoutes] = {}
    names: set[str] = set()
    splits: Splits = {}
    for item in _list_field(fields, "hosts"):
        host = _text_field(item, "host").lower()
        host_routes = hosts.setdefault(host, HostRoutes())
        for path_text, path in _popped(_list_field(item, "paths")):
            route = _decode_route(path, services, splits)
            decoded[path_text] = route
            if not host_routes.add(route):
                raise DocumentError(f"host {host}: two routes with one pathPrefix")
            names.add(route.name)
            yield
    return hosts, names


def _decode_unless_known(known: KnownRoutes) -> DecodeItem:
    """Return a decoder of list members, which returns each with its text.

    A text that is known is a complete JSON object, so it ends where the member ends.
    """

    def decode(text: str, start: int) -> tuple[tuple[str, Any], int]:
        end = start
        may_be_known = bool(known) and text.startswith("{", start)
        for _ in range(MAX_ROUTE_BRACES if may_be_known else 0):
            end = text.find("}", end) + 1
            if not end:
                break
            route = known.get(text[start:end])
            if route is not None:
                return (text[start:end], route), end
        value, end = raw_decode(text, start)
        return (text[start:end], value), end

    return decode


def _popped(items: list[Any]) -> Iterator[Any]:
    """Yield the items in order and remove them from the list.

    So each is released when it has been decoded; releasing thousands at the end would
    be one long step.
    """
    items.reverse()
    while items:
        yield items.pop()


def _decode_version(fields: dict[str, Any]) -> int:
    version: object = fields.get("version")
    if not is_whole_number(version, MAX_WHOLE_NUMBER, 1):
        shown = short_repr(version)
        raise DocumentError(f"version: expected a whole number, got {shown}")
    return version


def _decode_service(item: Any) -> BackendService:
    return BackendService(
        name=_name_field(item, "name"),
        health_path=_target_field(item, "healthPath"),
        max_connections=int(_number_field(item, "maxConns", 100)),
        warmup_ms=_number_field(item, "warmupS", 0) * 1000,
        warmup_rate_per_s=_number_field(item, "warmupPerS", 0),
    )


def _decode_route(
    item: Any, services: dict[str, BackendService], splits: Splits
) -> Route:
    """Decode a route; check the services also of one that is known."""
    if isinstance(item, Route):
        for weighted in item.weighted_services:
            _check_service(weighted.service, services, item.name)
        return item
    name = _text_field(item, "name")
    prefix = _text_field(item, "pathPrefix")
    if not prefix.startswith("/"):
        raise DocumentError(f"route {name}: pathPrefix {prefix!r} lacks its slash")
    kind = _text_field(item, "kind")
    if kind not in IDEMPOTENCE_BY_KIND:
        raise DocumentError(f"route {name}: unknown kind {kind!r}")
    timeout_ms = _number_field(item, "timeoutMs", None)
    if not 0 < timeout_ms <= MAX_TIMEOUT_MS:
        raise DocumentError(
            f"route {name}: timeoutMs {timeout_ms:g} is not within ten minutes"
        )
    parts = _decode_traffic_split(item, name)
    weighted_services = splits.get(parts)
    if weighted_services is None:
        for service, _ in parts:
            _check_service(service, services, name)
        weighted_services = tuple(WeightedService(*part) for part in parts)
        splits[parts] = weighted_services
    return Route(
        name=name,
        path_prefix=prefix,
        is_idempotent=IDEMPOTENCE_BY_KIND[kind],
        weighted_services=weighted_services,
        timeout_ms=timeout_ms,
        target_latency_ms=_number_field(item, "targetLatencyMs", 1_000),
        priority=int(_number_field(item, "priority", 0)),
        max_attempts=int(_number_field(item, "maxAttempts", 1)),
        allows_anonymous=_decode_allows_anonymous(item, name),
    )


def _decode_allows_anonymous(item: dict[str, Any], route_name: str) -> bool:
    value = item.get("allowAnonymous", False)
    if not isinstance(value, bool):
        shown = short_repr(value)
        raise DocumentError(
            f"route {route_name}: allowAnonymous: expected a boolean, got {shown}"
        )
    return value


def _check_service(
    service: str, services: dict[str, BackendService], route_name: str
) -> None:
    if service not in services:
        raise DocumentError(f"route {route_name}: unknown service {service!r}")


def _decode_traffic_split(
    item: dict[str, Any], route_name: str
) -> tuple[tuple[str, float], ...]:
    """Return the services of a route with their weights."""
    split = item.get("trafficSplit")
    if split is None:
        return ((_text_field(item, "service"), 1.0),)
    parts = tuple(
        (_text_field(part, "service"), _number_field(part, "weight", None))
        for part in _list_field(item, "trafficSplit")
    )
    if not parts or sum(weight for _, weight in parts) <= 0:
        raise DocumentError(f"route {route_name}: trafficSplit has no weight")
    return parts


def _decode_limits(item: Any) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        head_bytes=int(_number_field(item, "headerBytes", defaults.head_bytes)),
        body_bytes=int(_number_field(item, "bodyBytes", defaults.body_bytes)),
        head_timeout_ms=_number_field(item, "headerMs", defaults.head_timeout_ms),
        idle_timeout_ms=_number_field(item, "idleMs", defaults.idle_timeout_ms),
    )


def _list_field(item: Any, name: str) -> list[Any]:
    value = item.get(name) if isinstance(item, dict) else None
    if not isinstance(value, list):
        raise DocumentError(f"{name}: expected a list, got {short_repr(value)}")
    return value


def _text_field(item: Any, name: str) -> str:
    value = item.get(name) if isinstance(item, dict) else None
    # JSON can name halves of a character, which no encoding can write.
    if not isinstance(value, str) or not value or not is_encodable(value):
        raise DocumentError(f"{name}: expected a text, got {short_repr(value)}")
    return value


def _target_field(item: Any, name: str) -> str:
    value = _text_field(item, name)
    if not is_request_target(value):
        raise DocumentError(f"{name}: expected a path, got {short_repr(value)}")
    return value


def _number_field(
    item: Any, name: str, default: float | None, maximum: float = MAX_NUMBER
) -> float:
    """Return a number from 0 to the maximum; it is required if the default is None."""
    if not isinstance(item, dict):
        raise DocumentError(f"expected an object with {name}, got {short_repr(item)}")
    value = item.get(name, default)
    # JSON allows 1e999, which decodes to infinity; Python's decoder also accepts NaN.
    if type(value) not in (int, float) or not 0 <= value <= maximum:
        raise DocumentError(f"{name}: expected a number, got {short_repr(value)}")
    return float(value)


def decode_announcement(endpoint_id: str, body: bytes) -> Announcement:
    """Decode the announcement of an endpoint; raise DocumentError if it is invalid.

    ``info`` holds what is constant during one incarnation, ``status`` what changes.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"expected JSON: {error}") from error
    if not isinstance(fields, dict):
        raise DocumentError("expected an object")
    if not is_endpoint_id(endpoint_id):
        raise DocumentError(f"expected an endpoint id, got {short_repr(endpoint_id)}")
    info = fields.get("info")
    status = fields.get("status")
    address_text = _text_field(fields, "address")
    address = parse_address(address_text)
    if address is None:
        shown = short_repr(address_text)
        raise DocumentError(f"address: expected an IP address and a port, got {shown}")
    state = _text_field(status, "state")
    if state not in IS_LEAVING_BY_STATE:
        raise DocumentError(f"state: unknown state {short_repr(state)}")
    host, port = address
    return Announcement(
        endpoint_id=endpoint_id,
        service=_name_field(info, "service"),
        host=host,
        port=port,
        zone=_name_field(info, "zone"),
        slots=_integer_field(info, "slots", MAX_SLOTS),
        is_leaving=IS_LEAVING_BY_STATE[state],
        warmup_left_ms=_number_field(status, "warmupLeftMs", None, MAX_WARMUP_MS),
        born_ms=_integer_field(fields, "born") if "born" in fields else 0,
        sequence=_integer_field(status, "sequence"),
    )


def _name_field(item: Any, name: str) -> str:
    value = _text_field(item, name)
    if not is_name(value):
        raise DocumentError(
            f"{name}: expected a short printable text, got {short_repr(value)}"
        )
    return value


def _integer_field(item: Any, name: str, maximum: int = MAX_WHOLE_NUMBER) -> int:
    value = item.get(name) if isinstance(item, dict) else None
    if not is_whole_number(value, maximum):
        raise DocumentError(f"{name}: expected a whole number, got {short_repr(value)}")
    return value
