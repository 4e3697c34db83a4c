"""Endpoints and services for tests and benchmarks."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ..core.membership import Endpoint
from ..core.records import ServiceSpec

_DEFAULT = Endpoint(
    service="pearl-market",
    host="10.0.0.1",
    port=8080,
    zone="a",
    incarnation=1,
    heartbeat=1,
    ttl_ms=5000.0,
    slots=6,
    connections=260,
)

_DEFAULT_SERVICE = ServiceSpec(
    name="pearl-market",
    tenant="namib-pearl",
    path_prefix="/market",
    timeout_ms=1000.0,
    rules=(),
    slots_per_endpoint=6,
    connections_per_endpoint=260,
    queue_limit=100,
    max_body_bytes=1 << 20,
    probes_per_s=100.0,
    probe_bytes_per_s=50_000.0,
    cold_slots=1,
    retry_ratio=0.1,
    hedge_ratio=0.05,
)


def make_service(**fields: Any) -> ServiceSpec:
    """Return the service ``pearl-market`` with some fields replaced."""
    return replace(_DEFAULT_SERVICE, **fields)


def make_endpoint(**fields: Any) -> Endpoint:
    """Return an endpoint of ``pearl-market`` with some fields replaced."""
    return replace(_DEFAULT, **fields)
