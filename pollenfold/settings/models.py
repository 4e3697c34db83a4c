"""Settings models; a flag takes precedence over its environment variable."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated, Any, TypeVar

from expression import Error, Ok, Result
from pydantic import (
    AfterValidator,
    BeforeValidator,
    Field,
    SecretStr,
    ValidationError,
    model_validator,
)
from pydantic_settings import BaseSettings, NoDecode, SettingsConfigDict

from ..core.errors import ErrorKind, Failure
from ..core.receive_memory import DEFAULT_MEMORY_BYTES, DEFAULT_N_DESCRIPTORS
from ..records.models import NAME_PATTERN

ENVIRONMENT_PREFIX = "POLLENFOLD_"

Address = tuple[str, int]


def _check_host(host: str) -> str:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("an IP address") from None
    return host


def parse_address(text: str) -> Address:
    """Parse ``host:port``; raise ValueError with the expected form."""
    host, separator, port = text.strip().rpartition(":")
    if not separator or not port.isascii() or not port.isdecimal():
        raise ValueError(f"IP address and port such as 10.0.0.1:7000, not {text!r}")
    if not 0 < int(port) < 65536:
        raise ValueError(f"a port from 1 to 65535, not {port}")
    return _check_host(host.removeprefix("[").removesuffix("]")), int(port)


def _parse_optional_address(value: Any) -> Any:
    if isinstance(value, str):
        return parse_address(value) if value else None
    return value


def _parse_members(value: Any) -> Any:
    """Parse ``id=host:port,id=host:port``."""
    if not isinstance(value, str):
        return value
    members: dict[str, Address] = {}
    for part in filter(None, value.replace(" ", "").split(",")):
        member_id, separator, address = part.partition("=")
        if not separator:
            raise ValueError(f"a list such as a=10.0.0.1:7000, not {part!r}")
        if member_id in members:
            raise ValueError(f"each id once, not {member_id!r} twice")
        members[member_id] = parse_address(address)
    return members


def _parse_addresses(value: Any) -> Any:
    """Parse ``host:port,host:port``."""
    if not isinstance(value, str):
        return value
    return [parse_address(part) for part in value.split(",") if part.strip()]


def _check_token(token: SecretStr) -> SecretStr:
    text = token.get_secret_value()
    if not text or not text.isascii() or not text.isprintable() or " " in text:
        raise ValueError("printable ASCII characters without spaces")
    return token


Identifier = Annotated[str, Field(pattern=NAME_PATTERN)]
Host = Annotated[str, AfterValidator(_check_host)]
Port = Annotated[int, Field(ge=1, le=65535)]
Token = Annotated[SecretStr, AfterValidator(_check_token)]
OptionalAddress = Annotated[
    Address | None, NoDecode, BeforeValidator(_parse_optional_address)
]
Members = Annotated[
    dict[Identifier, Address],
    NoDecode,
    BeforeValidator(_parse_members),
    Field(min_length=1, max_length=9),
]


OptionalMembers = Annotated[
    dict[Identifier, Address] | None, NoDecode, BeforeValidator(_parse_members)
]
Addresses = Annotated[
    list[Address], NoDecode, BeforeValidator(_parse_addresses), Field(min_length=1)
]
Duration = Annotated[float, Field(ge=0, le=600_000)]


class _Settings(BaseSettings):
    model_config = SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX, extra="ignore", frozen=True
    )


class _DaemonSettings(_Settings):
    """Limits of a process, from which the sizes of its receive buffers follow."""

    memory_mb: int = Field(
        default=DEFAULT_MEMORY_BYTES >> 20,
        ge=32,
        le=1 << 20,
        description="memory in MB that the process may use, unread bytes included",
    )
    max_descriptors: int = Field(
        default=DEFAULT_N_DESCRIPTORS,
        ge=64,
        le=1 << 20,
        description="file descriptors that the process may open",
    )


class _ReplicaSettings(_DaemonSettings):
    replica_id: Identifier = Field(description="id of this replica")
    host: Host = Field(description="IP address to listen on")
    peers: Members = Field(
        description="all replicas, this one included: id=host:port,id=host:port"
    )
    data_folder: Path = Field(description="folder for the files of this replica")

    @model_validator(mode="after")
    def _check_replica_id(self) -> _ReplicaSettings:
        if self.replica_id not in self.peers:
            raise ValueError(f"peers with the replica id {self.replica_id!r}")
        return self


class ControlSettings(_ReplicaSettings):
    """Settings of a control replica."""

    zone: Identifier = Field(description="availability zone of this VM")
    operator_port: Port = Field(description="port of the operator interface")
    token: Token = Field(description="bearer token of the operator interface")
    ledger: OptionalMembers = Field(
        default=None,
        description="ledger replicas to list requests from: id=host:port,id=host:port",
    )


class LedgerSettings(_ReplicaSettings):
    """Settings of a ledger replica."""


class EntrySettings(_DaemonSettings):
    """Settings of an entry."""

    entry_id: Identifier = Field(description="id of this entry")
    zone: Identifier = Field(description="availability zone of this VM")
    host: Host = Field(description="IP address to listen on")
    caller_port: Port = Field(description="port for callers")
    platform_port: Port = Field(description="port for health and announcements")
    peer_port: Port = Field(description="port for other entries")
    control: Members = Field(description="control replicas: id=host:port,id=host:port")
    ledger: Members = Field(description="ledger replicas: id=host:port,id=host:port")
    token: Token = Field(description="bearer token of the platform port")
    statsd: OptionalAddress = Field(
        default=None, description="host:port that receives metrics over UDP"
    )
    drain_notice_ms: float = Field(
        default=5000,
        ge=0,
        le=600_000,
        description="time in ms between failing the health check and closing the port",
    )


class OperatorSettings(_Settings):
    """Settings of the commands for operators."""

    operator: Addresses = Field(description="operator addresses: host:port,host:port")
    token: Token = Field(description="bearer token of the operator interface")
    timeout_ms: Duration = Field(
        default=5000, description="timeout of each request in ms"
    )
    wait_ms: Duration = Field(
        default=10_000,
        description="time in ms to wait until a change is in force",
    )


SettingsT = TypeVar("SettingsT", bound=BaseSettings)


def load_settings(
    model: type[SettingsT], flags: dict[str, str]
) -> Result[SettingsT, Failure]:
    """Read settings from flags and the environment.

    An invalid setting gives ``BAD_SETTING``, whose detail is one line.
    """
    try:
        return Ok(model(**flags))
    except ValidationError as error:
        return Error(Failure(ErrorKind.BAD_SETTING, _describe_error(error)))


def _describe_error(error: ValidationError) -> str:
    first = error.errors(include_url=False)[0]
    name = str(first["loc"][0]) if first["loc"] else ""
    message = first["msg"]
    for start in ("Input should be ", "Value error, "):
        message = message.removeprefix(start)
    if not name:
        return f"expected {message}"
    sources = f"--{name.replace('_', '-')} or {ENVIRONMENT_PREFIX}{name.upper()}"
    if first["type"] == "missing":
        return f"{name}: missing, set {sources}"
    value = "" if name == "token" else f"got {first['input']!r}, "
    return " ".join(f"{name} ({sources}): {value}expected {message}".split())
