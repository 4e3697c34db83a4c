"""The measurement budget of a service, and load reports with their age."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

from .clock import Instant
from .records import ServiceSpec
from .token_bucket import TokenBucket

MAX_REPORT_BYTES = 512
"""Longest load report that is read."""

MAX_PROBE_BYTES = 1024
"""Bytes that a probe reserves, request and response; the rest is given back."""

REPORT_BYTES = 64
"""Bytes that a report on a response reserves: the header that asks for it and the
header that carries it."""

MAX_LOAD = 4.0
"""Greatest reported load per slot; a larger figure tells nothing more."""

_MAX_FIGURE = 1_000_000

_USUAL_REPORT = re.compile(rb"in_flight=(\d{1,7});slots=(\d{1,7});cold=([01])")
"""The form that nearly every report has; reading it costs less than splitting."""


class MeasurementBudget:
    """This entry's part of what a service may spend on load measurement.

    The part is the budget divided by the greatest number of entries, not by the
    number that this entry believes in. A bucket starts empty, so that restarts do
    not add to the budget. ``burst`` is one second of the rate and at least one
    probe.
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
        if not self._probes.try_take(1.0, now):
            return False
        return self._bytes.try_take(MAX_PROBE_BYTES, now)

    def finish_probe(self, n_bytes: int, now: Instant) -> None:
        """Settle a reserved probe with the bytes that it used."""
        if n_bytes <= MAX_PROBE_BYTES:
            self._bytes.give_back(MAX_PROBE_BYTES - n_bytes, now)
        else:
            self._bytes.charge(n_bytes - MAX_PROBE_BYTES, now)

    def try_request_report(self, now: Instant, is_urgent: bool = False) -> bool:
        """Reserve the bytes to ask for a report on a response, or return False.

        Half of the burst is left for probes, which reach the endpoints that get no
        requests, and for urgent reports, which a warm-up needs.
        """
        reserve = 0.0 if is_urgent else self._bytes.burst / 2
        if self._bytes.level(now) < reserve + REPORT_BYTES:
            return False
        return self._bytes.try_take(REPORT_BYTES, now)

    def count_report(self, n_bytes: int, was_requested: bool, now: Instant) -> None:
        """Count the bytes of a report that came on a response.

        A report that was not asked for costs its bytes too; then probes and further
        requests for reports wait until the debt is paid.
        """
        reserved = REPORT_BYTES if was_requested else 0
        self._bytes.charge(max(0, n_bytes - reserved), now)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server said of itself, and when that was received."""

    in_flight: int
    slots: int
    is_cold: bool
    received: Instant

    @property
    def load(self) -> float:
        """Requests in flight for each slot."""
        return min(MAX_LOAD, self.in_flight / max(1, self.slots))


def parse_load_header(value: bytes, now: Instant) -> LoadReport | None:
    """Read ``in_flight=3;slots=6;cold=0``; return None when it is malformed.

    Unknown fields are ignored, and ``cold`` may be missing.
    """
    usual = _USUAL_REPORT.fullmatch(value)
    if usual is not None:
        in_flight, slots, cold = map(int, usual.groups())
        return _report(in_flight, slots, cold, now)
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
    return _report(
        fields.get("in_flight"), fields.get("slots"), fields.get("cold", 0), now
    )


def parse_load_body(body: bytes, now: Instant) -> LoadReport | None:
    """Read ``{"in_flight": 3, "slots": 6, "cold": false}``, None when malformed."""
    if len(body) > MAX_REPORT_BYTES:
        return None
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(value, dict):
        return None
    return _report(
        value.get("in_flight"), value.get("slots"), value.get("cold", False), now
    )


def _report(in_flight: Any, slots: Any, cold: Any, now: Instant) -> LoadReport | None:
    for figure in (in_flight, slots):
        if type(figure) is not int or not 0 <= figure <= _MAX_FIGURE:
            return None
    if type(cold) not in (int, bool) or cold not in (0, 1) or slots < 1:
        return None
    return LoadReport(in_flight, slots, bool(cold), now)
