"""Decodes the platform's configuration and announcements, strictly, and once."""

from __future__ import annotations

import json
from typing import Any

from ..core.registry import Announcement
from ..core.routes import (
    BackendService,
    CallerLimits,
    Part,
    Route,
    RoutingConfiguration,
    sorted_routes,
)

MAX_TIMEOUT_MS = 600_000
MAX_NUMBER = 1e15
KINDS = {"safe": True, "unsafe": False, "upload": False}
"""Whether requests of a kind are idempotent. An upload is a large request that runs at
most once, like any other that isn't."""

STATES = {"ready": False, "draining": True}


class DocumentError(ValueError):
    """A document that is refused; the text names the field."""


def decode_configuration(text: str) -> RoutingConfiguration:
    """Decode a whole configuration; raise DocumentError for an invalid one."""
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"expected JSON: {error}") from error
    if not isinstance(fields, dict):
        raise DocumentError("expected an object")
    services = {}
    for item in _list(fields, "services"):
        service = _service(item)
        services[service.name] = service
    hosts: dict[str, list[Route]] = {}
    for item in _list(fields, "hosts"):
        routes = hosts.setdefault(_text(item, "host").lower(), [])
        routes += [_route(path, services) for path in _list(item, "paths")]
    for host, routes in hosts.items():
        prefixes = [route.path_prefix for route in routes]
        if len(set(prefixes)) < len(prefixes):
            raise DocumentError(f"host {host}: two routes with one pathPrefix")
    return RoutingConfiguration(
        _version(fields),
        {host: sorted_routes(routes) for host, routes in hosts.items()},
        services,
        _limits(fields.get("limits", {})),
    )


def _version(fields: dict[str, Any]) -> int:
    version = fields.get("version")
    if type(version) is not int or version < 1:
        raise DocumentError(f"version: expected a whole number, got {version!r}")
    return version


def _service(item: Any) -> BackendService:
    return BackendService(
        name=_text(item, "name"),
        health_path=_text(item, "healthPath"),
        max_connections=int(_number(item, "maxConns", 100)),
        warmup_ms=_number(item, "warmupS", 0) * 1000,
        warmup_rate_per_s=_number(item, "warmupPerS", 0),
    )


def _route(item: Any, services: dict[str, BackendService]) -> Route:
    name = _text(item, "name")
    prefix = _text(item, "pathPrefix")
    if not prefix.startswith("/"):
        raise DocumentError(f"route {name}: pathPrefix {prefix!r} lacks its slash")
    kind = _text(item, "kind")
    if kind not in KINDS:
        raise DocumentError(f"route {name}: unknown kind {kind!r}")
    timeout_ms = _number(item, "timeoutMs", None)
    if not 0 < timeout_ms <= MAX_TIMEOUT_MS:
        raise DocumentError(
            f"route {name}: timeoutMs {timeout_ms:g} is not within ten minutes"
        )
    parts = _parts(item, name)
    for part in parts:
        if part.service not in services:
            raise DocumentError(f"route {name}: unknown service {part.service!r}")
    return Route(
        name=name,
        path_prefix=prefix,
        is_idempotent=KINDS[kind],
        parts=parts,
        timeout_ms=timeout_ms,
        target_latency_ms=_number(item, "targetLatencyMs", 1_000),
        priority=int(_number(item, "priority", 0)),
        max_attempts=int(_number(item, "maxAttempts", 1)),
    )


def _parts(item: dict[str, Any], name: str) -> tuple[Part, ...]:
    split = item.get("trafficSplit")
    if split is None:
        return (Part(_text(item, "service"), 1.0),)
    parts = tuple(
        Part(_text(part, "service"), _number(part, "weight", None))
        for part in _list(item, "trafficSplit")
    )
    if not parts or sum(part.weight for part in parts) <= 0:
        raise DocumentError(f"route {name}: trafficSplit has no weight")
    return parts


def _limits(item: Any) -> CallerLimits:
    known = CallerLimits()
    return CallerLimits(
        head_bytes=int(_number(item, "headerBytes", known.head_bytes)),
        body_bytes=int(_number(item, "bodyBytes", known.body_bytes)),
        head_timeout_ms=_number(item, "headerMs", known.head_timeout_ms),
        idle_timeout_ms=_number(item, "idleMs", known.idle_timeout_ms),
    )


def _list(item: Any, name: str) -> list[Any]:
    value = item.get(name) if isinstance(item, dict) else None
    if not isinstance(value, list):
        raise DocumentError(f"{name}: expected a list, got {value!r}")
    return value


def _text(item: Any, name: str) -> str:
    value = item.get(name) if isinstance(item, dict) else None
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name}: expected a text, got {value!r}")
    return value


def _number(item: Any, name: str, default: float | None) -> float:
    """Return a finite number of 0 or more; None as the default makes it required."""
    if not isinstance(item, dict):
        raise DocumentError(f"expected an object with {name}, got {item!r}")
    value = item.get(name, default)
    # JSON allows 1e999, which reads as infinity, and Python's reader NaN as well.
    if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
        raise DocumentError(f"{name}: expected a number, got {value!r}")
    return float(value)


def decode_announcement(endpoint_id: str, body: bytes) -> Announcement:
    """Decode what an endpoint says of itself; raise DocumentError.

    ``info`` holds what stays the same during one life, ``status`` what changes.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"expected JSON: {error}") from error
    if not isinstance(fields, dict):
        raise DocumentError("expected an object")
    info = fields.get("info")
    status = fields.get("status")
    host, _, port = _text(fields, "address").rpartition(":")
    if not host or not port.isdigit():
        raise DocumentError(f"address: got {fields['address']!r}")
    state = _text(status, "state")
    if state not in STATES:
        raise DocumentError(f"state: unknown state {state!r}")
    return Announcement(
        endpoint_id=endpoint_id,
        service=_text(info, "service"),
        host=host,
        port=int(port),
        zone=_text(info, "zone"),
        slots=_whole(info, "slots"),
        is_leaving=STATES[state],
        warmup_left_ms=_number(status, "warmupLeftMs", None),
        born_ms=_whole(fields, "born") if "born" in fields else 0,
        sequence=_whole(status, "sequence"),
    )


def _whole(item: Any, name: str) -> int:
    value = item.get(name) if isinstance(item, dict) else None
    if type(value) is not int or value < 0:
        raise DocumentError(f"{name}: expected a whole number, got {value!r}")
    return value
