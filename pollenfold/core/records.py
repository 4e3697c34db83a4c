"""Parsed configuration records, as used by routing and admission."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RequestClass(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class RecordKind(Enum):
    """The kind of object that a record configures."""

    SERVICE = "service"
    ZONE = "zone"
    FLEET = "fleet"
    ENDPOINT = "endpoint"


@dataclass(frozen=True, slots=True)
class Rule:
    """Assigns a class to requests with one of the methods under the path prefix."""

    methods: tuple[str, ...]
    path_prefix: str
    request_class: RequestClass


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service of a tenant, and the limits of its endpoints.

    ``retry_ratio`` and ``hedge_ratio`` are fractions of the number of calls. The
    probe budget, ``probes_per_s`` and ``probe_bytes_per_s``, is shared by all entries.
    """

    name: str
    tenant: str
    path_prefix: str
    timeout_ms: float
    rules: tuple[Rule, ...]
    slots_per_endpoint: int
    connections_per_endpoint: int
    queue_limit: int
    max_body_bytes: int
    probes_per_s: float
    probe_bytes_per_s: float
    cold_slots: int
    retry_ratio: float
    hedge_ratio: float


@dataclass(frozen=True, slots=True)
class ZoneSpec:
    """An availability zone; ``version`` is that of its record."""

    name: str
    region: str
    is_in_service: bool
    version: int


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """Limits that apply to all entries together."""

    max_entries: int


@dataclass(frozen=True, slots=True)
class EndpointSpec:
    """Operator settings for one endpoint, named ``ip:port``."""

    name: str
    service: str
    is_drained: bool


def classify(service: ServiceSpec, method: str, path: str) -> RequestClass:
    """Return the class of the first matching rule, or non-idempotent if none matches.

    ``path`` is the full path of the request; rules match the part after the path
    prefix of the service.
    """
    relative_path = path[len(service.path_prefix.rstrip("/")) :] or "/"
    for rule in service.rules:
        if method in rule.methods and relative_path.startswith(rule.path_prefix):
            return rule.request_class
    return RequestClass.NON_IDEMPOTENT
