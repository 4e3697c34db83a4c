"""The load measurement budget of a service, and parsing of load reports."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

from .clock import Instant
from .records import ServiceSpec
from .token_bucket import TokenBucket

MAX_REPORT_BYTES = 512
"""Maximum length of a load report; longer ones are rejected."""

MAX_PROBE_BYTES = 1024
"""Bytes reserved for a probe's request and response; unused bytes are refunded."""

REPORT_BYTES = 64
"""Bytes reserved for a report on a response: the header that requests the report and
the header that carries it."""

MAX_LOAD = 4.0
"""Cap of the reported load per slot; higher values carry no further information."""

_MAX_COUNT = 1_000_000

_COMMON_REPORT = re.compile(rb"in_flight=(\d{1,7});slots=(\d{1,7});cold=([01])")
"""The form of nearly all reports; matching it is cheaper than splitting."""


class MeasurementBudget:
    """This entry's share of a service's load measurement budget.

    The share is the budget divided by the maximum number of entries, not by the
    number in this entry's view. The token buckets start empty, so restarts don't
    add to the budget. The burst is one second of the rate, and at least one probe.
    """

    def __init__(self, spec: ServiceSpec, max_entries: int, now: Instant) -> None:
        n_entries = max(1, max_entries)
        probes_per_s = max(0.0, spec.probes_per_s) / n_entries
        bytes_per_s = max(0.0, spec.probe_bytes_per_s) / n_entries
        self._probes = TokenBucket(probes_per_s, max(1.0, probes_per_s), now)
        self._bytes = TokenBucket(bytes_per_s, max(MAX_PROBE_BYTES, bytes_per_s), now)

    def try_probe(self, now: Instant) -> bool:
        """Reserve one probe with ``MAX_PROBE_BYTES``, or return False."""
        if self._bytes.level(now) < MAX_PROBE_BYTES:
            return False
        if not self._probes.try_acquire(1.0, now):
            return False
        return self._bytes.try_acquire(MAX_PROBE_BYTES, now)

    def finish_probe(self, n_bytes: int, now: Instant) -> None:
        """Correct the reservation of a probe to the bytes that it used."""
        if n_bytes <= MAX_PROBE_BYTES:
            self._bytes.refund(MAX_PROBE_BYTES - n_bytes, now)
        else:
            self._bytes.charge(n_bytes - MAX_PROBE_BYTES, now)

    def try_request_report(self, now: Instant, is_urgent: bool = False) -> bool:
        """Reserve the bytes to request a report on a response, or return False.

        Half of the burst is kept for probes, which cover endpoints without requests,
        and for urgent reports, which a warm-up needs.
        """
        reserve = 0.0 if is_urgent else self._bytes.burst / 2
        if self._bytes.level(now) < reserve + REPORT_BYTES:
            return False
        return self._bytes.try_acquire(REPORT_BYTES, now)

    def count_report(self, n_bytes: int, was_requested: bool, now: Instant) -> None:
        """Charge the bytes of a report that came on a response.

        An unrequested report is charged too and may overdraw the budget; probes and
        further report requests then wait until the deficit is refilled.
        """
        reserved = REPORT_BYTES if was_requested else 0
        self._bytes.charge(max(0, n_bytes - reserved), now)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a backend server reported, and when the report was received."""

    in_flight: int
    slots: int
    is_cold: bool
    received: Instant

    @property
    def load(self) -> float:
        """Requests in flight per slot, capped at ``MAX_LOAD``."""
        return min(MAX_LOAD, self.in_flight / max(1, self.slots))


def parse_load_header(value: bytes, now: Instant) -> LoadReport | None:
    """Parse ``in_flight=3;slots=6;cold=0``; return None if it is malformed.

    Unknown fields are ignored, and ``cold`` is optional.
    """
    common = _COMMON_REPORT.fullmatch(value)
    if common is not None:
        in_flight, slots, cold = map(int, common.groups())
        return _make_report(in_flight, slots, cold, now)
    if len(value) > MAX_REPORT_BYTES:
        return None
    fields: dict[str, int] = {}
    for part in value.decode("latin-1").split(";"):
        name, _, text = part.strip().partition("=")
        if name not in ("in_flight", "slots", "cold"):
            continue
        if name in fields or not (text.isascii() and text.isdigit()) or len(text) > 7:
            return None
        fields[name] = int(text)
    return _make_report(
        fields.get("in_flight"), fields.get("slots"), fields.get("cold", 0), now
    )


def parse_load_body(body: bytes, now: Instant) -> LoadReport | None:
    """Parse ``{"in_flight": 3, "slots": 6, "cold": false}``; None if malformed."""
    if len(body) > MAX_REPORT_BYTES:
        return None
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(value, dict):
        return None
    return _make_report(
        value.get("in_flight"), value.get("slots"), value.get("cold", False), now
    )


def _make_report(
    in_flight: Any, slots: Any, cold: Any, now: Instant
) -> LoadReport | None:
    for count in (in_flight, slots):
        if type(count) is not int or not 0 <= count <= _MAX_COUNT:
            return None
    if type(cold) not in (int, bool) or cold not in (0, 1) or slots < 1:
        return None
    return LoadReport(in_flight, slots, bool(cold), now)
