"""Decodes the orders of roll-outs, and looks services up in the configuration."""

from __future__ import annotations

import json
from dataclasses import dataclass
from reprlib import repr as short_repr
from typing import Any

from ..core.clock import Clock
from ..core.input_limits import is_encodable, is_magnitude, is_name
from ..core.replicated_state import ReplicatedState
from ..core.rollouts.state import MAX_DURATION_MS
from ..core.slices import Steps
from ..gateway.slices import run_in_slices
from .documents import DocumentError
from .json_scan import scan_json


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The fields of an order to roll out a version of a service."""

    service: str
    target_version: str
    duration_ms: int


def decode_rollout_order(body: bytes) -> RolloutOrder:
    """Decode an order; raise DocumentError, which names the field, if it is invalid."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"expected JSON: {error}") from error
    if not isinstance(fields, dict):
        raise DocumentError(f"expected an object, got {short_repr(fields)}")
    return RolloutOrder(
        service=_name(fields, "service"),
        target_version=_name(fields, "targetVersion"),
        duration_ms=_duration_ms(fields),
    )


def _name(fields: dict[str, Any], field: str) -> str:
    value = fields.get(field)
    if not is_name(value) or not is_encodable(value):
        raise DocumentError(
            f"{field}: expected a short printable text, got {short_repr(value)}"
        )
    return value


def _duration_ms(fields: dict[str, Any]) -> int:
    value = fields.get("durationS")
    if not is_magnitude(value, MAX_DURATION_MS / 1000) or value * 1000 < 1:
        raise DocumentError(
            f"durationS: expected a positive number of seconds up to a day, "
            f"got {short_repr(value)}"
        )
    return int(value * 1000)


def service_names_steps(text: str) -> Steps[frozenset[str]]:
    """Return the names of the services in a configuration, in small steps.

    Raise ValueError if the configuration is malformed.
    """
    fields = yield from scan_json(text)
    if not isinstance(fields, dict) or not isinstance(fields.get("services"), list):
        raise DocumentError("services: expected a list")
    return frozenset(
        str(service["name"])
        for service in fields["services"]
        if isinstance(service, dict) and "name" in service
    )


class KnownServices:
    """The services of the newest configuration that was looked into."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._version = 0
        self._names: frozenset[str] = frozenset()

    async def contains(self, state: ReplicatedState, service: str) -> bool:
        """Return whether the configuration of a state has a service."""
        version = state.version
        if version == 0:
            return False
        if version != self._version:
            steps = service_names_steps(state.document)
            self._names = await run_in_slices(steps, self._clock)
            self._version = version
        return service in self._names
