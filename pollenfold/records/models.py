"""Validation models of the JSON records of schema versions 1 and 2.

Schema 2 adds optional fields only. Fields that a model doesn't know are kept in the
record and returned, so that a record of a later schema survives an older process.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

from ..core.records import (
    EndpointSpec,
    FleetSpec,
    RecordKind,
    RequestClass,
    Rule,
    ServiceSpec,
    ZoneSpec,
)

LATEST_SCHEMA_VERSION = 2
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
FLEET_NAME = "default"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
PathPrefix = Annotated[str, Field(pattern=r"^/[!-\"$->@-~]*$", max_length=256)]
Method = Annotated[str, Field(pattern=r"^[A-Z][A-Z-]{0,31}$")]
Ratio = Annotated[float, Field(ge=0, le=1)]
Description = Annotated[str, Field(max_length=1024)]


class _Model(BaseModel):
    model_config = ConfigDict(
        extra="allow", strict=True, frozen=True, allow_inf_nan=False
    )


class RuleModel(_Model):
    """A rule of a service record."""

    methods: list[Method] = Field(min_length=1, max_length=16)
    path_prefix: PathPrefix = "/"
    request_class: Literal["idempotent", "non_idempotent"] = Field(alias="class")

    def to_rule(self) -> Rule:
        """Return the rule as a data class of ``core.records``."""
        return Rule(
            tuple(self.methods), self.path_prefix, RequestClass(self.request_class)
        )


class ServiceModel(_Model):
    """Spec of a service record, schema 1.

    The upper bounds only catch mistakes such as a wrong unit; they are well above
    the sizes that the system is designed for.
    """

    tenant: Name
    path_prefix: PathPrefix
    timeout_ms: float = Field(default=2000, ge=1, le=600_000)
    rules: list[RuleModel] = Field(default=[], max_length=256)
    slots_per_endpoint: int = Field(default=4, ge=1, le=10_000)
    connections_per_endpoint: int = Field(default=220, ge=1, le=100_000)
    queue_limit: int = Field(default=100, ge=0, le=100_000)
    max_body_bytes: int = Field(default=1 << 20, ge=0, le=16 << 20)
    probes_per_s: float = Field(default=10, ge=0, le=100_000)
    probe_bytes_per_s: float = Field(default=10_000, ge=0, le=1e9)
    cold_slots: int = Field(default=1, ge=1, le=10_000)
    retry_ratio: Ratio = 0.1
    hedge_ratio: Ratio = 0.05

    @model_validator(mode="after")
    def _check_cold_slots(self) -> ServiceModel:
        if self.cold_slots > self.slots_per_endpoint:
            raise ValueError(
                f"cold_slots of at most slots_per_endpoint, which is "
                f"{self.slots_per_endpoint}, not {self.cold_slots}"
            )
        return self

    def to_spec(self, name: str, version: int) -> ServiceSpec:
        """Return the service as a data class of ``core.records``."""
        return ServiceSpec(
            name=name,
            tenant=self.tenant,
            path_prefix=self.path_prefix,
            timeout_ms=float(self.timeout_ms),
            rules=tuple(rule.to_rule() for rule in self.rules),
            slots_per_endpoint=self.slots_per_endpoint,
            connections_per_endpoint=self.connections_per_endpoint,
            queue_limit=self.queue_limit,
            max_body_bytes=self.max_body_bytes,
            probes_per_s=float(self.probes_per_s),
            probe_bytes_per_s=float(self.probe_bytes_per_s),
            cold_slots=self.cold_slots,
            retry_ratio=float(self.retry_ratio),
            hedge_ratio=float(self.hedge_ratio),
        )


class ServiceModel2(ServiceModel):
    """Spec of a service record, schema 2."""

    description: Description | None = None
    contact: Annotated[str, Field(max_length=256)] | None = None


class ZoneModel(_Model):
    """Spec of a zone record, schema 1."""

    state: Literal["in", "out"] = "in"
    region: Name = "default"

    def to_spec(self, name: str, version: int) -> ZoneSpec:
        """Return the zone as a data class of ``core.records``."""
        return ZoneSpec(name, self.region, self.state == "in", version)


class ZoneModel2(ZoneModel):
    """Spec of a zone record, schema 2."""

    description: Description | None = None


class FleetModel(_Model):
    """Spec of the fleet record, schema 1."""

    max_entries: int = Field(default=19, ge=1, le=1000)

    def to_spec(self, name: str, version: int) -> FleetSpec:
        """Return the fleet limits as a data class of ``core.records``."""
        return FleetSpec(self.max_entries)


class FleetModel2(FleetModel):
    """Spec of the fleet record, schema 2."""

    description: Description | None = None


class EndpointModel(_Model):
    """Spec of an endpoint record, schema 1."""

    service: Name
    state: Literal["in", "drained"] = "drained"

    def to_spec(self, name: str, version: int) -> EndpointSpec:
        """Return the endpoint as a data class of ``core.records``."""
        return EndpointSpec(name, self.service, self.state == "drained")


class EndpointModel2(EndpointModel):
    """Spec of an endpoint record, schema 2."""

    description: Description | None = None


SpecModel = ServiceModel | ZoneModel | FleetModel | EndpointModel

SPEC_MODELS: dict[tuple[RecordKind, int], type[Any]] = {
    (RecordKind.SERVICE, 1): ServiceModel,
    (RecordKind.SERVICE, 2): ServiceModel2,
    (RecordKind.ZONE, 1): ZoneModel,
    (RecordKind.ZONE, 2): ZoneModel2,
    (RecordKind.FLEET, 1): FleetModel,
    (RecordKind.FLEET, 2): FleetModel2,
    (RecordKind.ENDPOINT, 1): EndpointModel,
    (RecordKind.ENDPOINT, 2): EndpointModel2,
}
"""The spec model of each kind and schema version."""


class EnvelopeModel(_Model):
    """The fields that all records share."""

    schema_version: int = Field(ge=1, le=LATEST_SCHEMA_VERSION)
    kind: Literal["service", "zone", "fleet", "endpoint"]
    name: str = Field(min_length=1, max_length=64)
    version: int = Field(ge=1, le=2**53)
    spec: dict[str, Any]

    @field_validator("name")
    @classmethod
    def _check_characters(cls, name: str) -> str:
        if not name.isascii() or not name.isprintable() or " " in name:
            raise ValueError("printable ASCII characters without spaces")
        return name

    @model_validator(mode="after")
    def _check_name(self) -> EnvelopeModel:
        if self.kind == "endpoint":
            if not is_endpoint_name(self.name):
                raise ValueError(f"name of the form ip:port, not {self.name!r}")
        elif self.kind == "fleet" and self.name != FLEET_NAME:
            raise ValueError(f"name {FLEET_NAME!r}, not {self.name!r}")
        return self


def is_endpoint_name(name: str) -> bool:
    """Return whether the name has the form ``ip:port``, or ``[ip]:port`` for IPv6."""
    host, separator, port = name.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        return False
    if port != str(int(port)):
        return False
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    return (address.version == 6) == is_bracketed
