"""What entries tell each other of the limits that endpoints declare.

At a low limit few entries send requests to the endpoint. The others learn only from
these reports that the limit changed or ended.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from reprlib import repr as short_repr

from .clock import Instant, add_ms
from .input_limits import is_endpoint_id, is_magnitude, is_whole_number

RATE_TOLERANCE = 0.05
"""A rate that differs by a smaller share isn't reported again."""


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What one entry saw of the limit of one incarnation of an endpoint.

    ``rate_per_s`` is None for an endpoint that no longer declares a limit. ``age_ms``
    is how long ago the entry saw it.
    """

    endpoint_id: str
    born_ms: int
    rate_per_s: float | None
    age_ms: float

    def encode(self) -> list[object]:
        """Return the fields as JSON values."""
        return [self.endpoint_id, self.born_ms, self.rate_per_s, round(self.age_ms)]

    def is_similar(self, other: LimitReport) -> bool:
        """Return whether another report of the endpoint tells nothing new."""
        own, others = self.rate_per_s, other.rate_per_s
        if self.born_ms != other.born_ms or (own is None) != (others is None):
            return False
        if own is None or others is None:
            return True
        return abs(own - others) <= RATE_TOLERANCE * min(own, others)


def decode_limit_report(fields: object) -> LimitReport:
    """Decode the fields of ``encode``; raise ValueError if they are malformed."""
    match fields:
        case [endpoint_id, born_ms, rate_per_s, age_ms] if (
            is_endpoint_id(endpoint_id)
            and is_whole_number(born_ms)
            and (rate_per_s is None or is_magnitude(rate_per_s))
            and is_magnitude(age_ms)
        ):
            return LimitReport(endpoint_id, born_ms, rate_per_s, float(age_ms))
    raise ValueError(f"expected the fields of a limit report, got {short_repr(fields)}")


@dataclass(frozen=True, slots=True)
class SeenReport:
    """A report with the time of its observation, on the clock of this process."""

    report: LimitReport
    seen_at: Instant

    def aged_report(self, now: Instant) -> LimitReport:
        """Return the report with its present age."""
        return replace(self.report, age_ms=max(0.0, now - self.seen_at))

    def supersedes(self, known: SeenReport) -> bool:
        """Return whether this report is newer and tells something new."""
        if self.report.born_ms != known.report.born_ms:
            return True
        return self.seen_at > known.seen_at and not self.report.is_similar(known.report)


def seen_report(report: LimitReport, now: Instant) -> SeenReport:
    """Return a report that was just received, with the time of its observation."""
    return SeenReport(report, add_ms(now, -report.age_ms))
