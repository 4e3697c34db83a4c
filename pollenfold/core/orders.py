"""Orders that control replicas agree on: configuration, evacuations, departures.

Each order is one command of the replicated log. Applying it is deterministic, so all
replicas hold the same orders at the same index.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

MAX_DEPARTURES = 1_000
"""Departures kept; older ones concern endpoints whose announcements have ended."""


@dataclass(frozen=True, slots=True)
class Configure:
    """Put a whole configuration in force, unless a higher version is held."""

    version: int
    document: str


@dataclass(frozen=True, slots=True)
class Evacuate:
    """Send nothing more to the endpoints of a zone, or take that back."""

    zone: str
    is_out: bool


@dataclass(frozen=True, slots=True)
class Depart:
    """Send nothing more to an endpoint that was started at ``born_ms`` or before."""

    endpoint_id: str
    born_ms: int


Order = Configure | Evacuate | Depart


def encode_order(order: Order) -> bytes:
    """Return an order as a command of the log."""
    match order:
        case Configure(version, document):
            fields: list[Any] = ["configure", version, document]
        case Evacuate(zone, is_out):
            fields = ["evacuate", zone, is_out]
        case Depart(endpoint_id, born_ms):
            fields = ["depart", endpoint_id, born_ms]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_order(command: bytes) -> Order:
    """Read an order; raise ValueError for any other bytes."""
    try:
        match json.loads(command):
            case ["configure", int(version), str(document)]:
                return Configure(version, document)
            case ["evacuate", str(zone), bool(is_out)]:
                return Evacuate(zone, is_out)
            case ["depart", str(endpoint_id), int(born_ms)]:
                return Depart(endpoint_id, born_ms)
    except UnicodeDecodeError as error:
        raise ValueError(str(error)) from error
    raise ValueError("expected an order of the replicated log")


@dataclass(slots=True)
class Orders:
    """The orders in force after the log entry ``index``.

    ``version`` 0 means that no configuration was accepted yet. ``departures`` maps an
    endpoint id to the start of its latest life that leaves, in ms since 1970.
    """

    index: int = 0
    version: int = 0
    document: str = ""
    evacuated: frozenset[str] = frozenset()
    departures: dict[str, int] = field(default_factory=dict)
    departed_at: dict[str, int] = field(default_factory=dict, compare=False)
    """The index of each departure; one that a snapshot held counts as of its index."""

    def apply(self, index: int, order: Order) -> bool:
        """Apply an order and return whether it changed anything."""
        self.index = index
        match order:
            case Configure(version, document):
                if version <= self.version:
                    return False
                self.version = version
                self.document = document
                return True
            case Evacuate(zone, is_out):
                before = self.evacuated
                self.evacuated = before | {zone} if is_out else before - {zone}
                return before != self.evacuated
            case Depart(endpoint_id, born_ms):
                return self._depart(endpoint_id, born_ms)

    def _depart(self, endpoint_id: str, born_ms: int) -> bool:
        if self.has_departed(endpoint_id, born_ms):
            return False
        self.departures.pop(endpoint_id, None)
        self.departures[endpoint_id] = born_ms
        self.departed_at[endpoint_id] = self.index
        self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        while len(self.departures) > MAX_DEPARTURES:
            oldest = next(iter(self.departures))
            del self.departures[oldest]
            self.departed_at.pop(oldest, None)

    def has_departed(self, endpoint_id: str, born_ms: int) -> bool:
        """Return whether this life of an endpoint leaves, or has left."""
        return self.departures.get(endpoint_id, -1) >= born_ms

    def encode(self) -> dict[str, Any]:
        """Return the orders as JSON values."""
        return {
            "index": self.index,
            "version": self.version,
            "document": self.document,
            "evacuated": sorted(self.evacuated),
            "departures": self.departures,
        }

    def encode_since(self, index: int, version: int) -> dict[str, Any]:
        """Return what a reader lacks that has the orders of an earlier index.

        The configuration is most of the bytes, and most orders don't change it.
        """
        fields = self.encode()
        fields["since"] = index
        fields["departures"] = {
            k: v
            for k, v in self.departures.items()
            if self.departed_at.get(k, self.index) > index
        }
        if version == self.version:
            del fields["document"]
        return fields

    def merged(self, fields: dict[str, Any]) -> Orders:
        """Return the orders of ``encode`` or ``encode_since`` on top of these.

        Raise KeyError or ValueError for other fields, and where what the sender
        left out isn't held here.
        """
        since = int(fields.get("since", 0))
        if since > self.index:
            raise ValueError(f"orders since {since} on top of {self.index}")
        known = {"document": self.document} if self._is_held(fields) else {}
        orders = decode_orders({**known, **fields})
        if since:
            orders.departures = {**self.departures, **orders.departures}
            orders._drop_oldest()
        return orders

    def _is_held(self, fields: dict[str, Any]) -> bool:
        return int(fields["version"]) == self.version


def decode_orders(fields: dict[str, Any]) -> Orders:
    """Return the orders that ``Orders.encode`` gave.

    Raise KeyError, ValueError or TypeError for other fields.
    """
    index = int(fields["index"])
    if not isinstance(fields["departures"], dict):
        raise ValueError(f"departures: got {fields['departures']!r}")
    departures = {str(k): int(v) for k, v in fields["departures"].items()}
    return Orders(
        index,
        int(fields["version"]),
        str(fields["document"]),
        frozenset(fields["evacuated"]),
        departures,
        dict.fromkeys(departures, index),
    )
