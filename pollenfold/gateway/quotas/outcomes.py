"""What an entry's request for a permit leads to."""

from __future__ import annotations

from dataclasses import dataclass

from ...core.clock import Instant
from ...core.errors import ErrorKind


@dataclass(frozen=True, slots=True)
class Permit:
    """The permission to send one request until an instant."""

    valid_until: Instant


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request may not be sent, and when its caller may come back."""

    kind: ErrorKind
    retry_after_ms: float
