"""Settings of the fake backend server, from flags and environment variables."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import Field
from pydantic_settings import BaseSettings, SettingsConfigDict


class BackendSettings(BaseSettings):
    """Settings of the fake backend server.

    ``incarnation`` 0 selects the start time in milliseconds. The service time is
    ``service_ms`` times a log-normal factor with ``jitter_sigma``.

    A cold server turns warm after ``warm_after`` executed requests. Until then, a
    request that arrives while ``cold_slots`` others are in flight overloads it. With
    the ``cold_overload`` "fail" it gets a 500 immediately; with "slow" it is executed,
    and its service time is multiplied by ``cold_slow_factor``.

    After SIGTERM the server refuses new requests for ``linger_ms`` before it closes,
    because entries may still send requests during that time.
    """

    model_config = SettingsConfigDict(
        env_prefix="POLLENFOLD_BACKEND_", cli_kebab_case=True
    )

    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)
    service: str = "service"
    zone: str = "zone"
    incarnation: int = Field(default=0, ge=0)
    entries: list[str] = Field(default_factory=list)
    announce_every_ms: float = Field(default=1000, gt=0)
    ttl_ms: float = Field(default=5000, gt=0)
    slots: int = Field(default=6, ge=1)
    connections: int = Field(default=260, ge=1)
    queue_limit: int = Field(default=12, ge=0)
    service_ms: float = Field(default=2.0, ge=0)
    jitter_sigma: float = Field(default=0.2, ge=0)
    seed: int = 1
    starts_cold: bool = True
    cold_slots: int = Field(default=1, ge=0)
    warm_after: int = Field(default=50, ge=0)
    cold_overload: Literal["slow", "fail"] = "slow"
    cold_slow_factor: float = Field(default=10.0, ge=1)
    answer_bytes: int = Field(default=0, ge=0)
    linger_ms: float = Field(default=3500, ge=0)
    run_log: Path | None = None
