"""Requests that are no longer sent, because servers ended while they ran them.

A request is identified by a digest. Other requests that ran on a server when it ended
are under suspicion too, so a request is quarantined only after several servers in
succession ended while they ran it, and no server completed it meanwhile. Runs that
overlap in time count as one: servers that end together, as with a zone, say nothing of
a request that several of them were running.

The state of a digest is merged by union, so entries and control replicas reach the same
state whatever the order of the reports.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import isfinite
from reprlib import repr as short_repr

from .clock import Instant, add_ms
from .input_limits import is_endpoint_id, is_magnitude, is_whole_number

N_ENDED_TO_QUARANTINE = 3
"""How many servers must end in succession before a request is quarantined."""

SUSPECT_EXPIRY_MS = 10 * 60_000.0
"""How long a request stays under suspicion after the last server ended."""

QUARANTINE_EXPIRY_MS = 24 * 3_600_000.0
"""How long a request stays quarantined, unless an operator releases it."""

MAX_DIGESTS = 4_096
MAX_RUNS = 16
"""The most runs that are kept of one request; those that decide are always kept."""

DIGEST_LENGTH = 32


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run of a request during which its server ended.

    ``endpoint_id`` and ``born_ms``, its start in ms since 1970, identify the
    incarnation. The run lasted from ``started_at`` to ``ended_at``, on the clock of
    this process.
    """

    endpoint_id: str
    born_ms: int
    started_at: Instant
    ended_at: Instant


def _order(run: EndedRun) -> tuple[Instant, str, int]:
    """Order runs by their ends, in the same way in all processes."""
    return run.ended_at, run.endpoint_id, run.born_ms


@dataclass(slots=True)
class _Suspect:
    """What is known of one request; the runs are in the order in which they ended."""

    runs: list[EndedRun] = field(default_factory=list)
    cleared_at: Instant = Instant(float("-inf"))

    def succession(self) -> list[EndedRun]:
        """Return the most runs that don't overlap."""
        chosen: list[EndedRun] = []
        for run in self.runs:
            if not chosen or run.started_at >= chosen[-1].ended_at:
                chosen.append(run)
        return chosen

    def is_quarantined(self) -> bool:
        return len(self.succession()) >= N_ENDED_TO_QUARANTINE

    def add(self, run: EndedRun) -> bool:
        """Add a run unless it is known or cleared; return whether it was added."""
        incarnation = (run.endpoint_id, run.born_ms)
        if run.ended_at <= self.cleared_at or any(
            (known.endpoint_id, known.born_ms) == incarnation for known in self.runs
        ):
            return False
        self.runs = sorted([*self.runs, run], key=_order)
        if len(self.runs) > MAX_RUNS:
            kept = self.succession()
            others = (run for run in self.runs if run not in kept)
            self.runs.remove(next(others, self.runs[-1]))
        return True

    def clear(self, at: Instant) -> bool:
        """Forget the runs that ended until ``at``; return whether there was one."""
        self.cleared_at = max(self.cleared_at, at)
        n_before = len(self.runs)
        self.runs = [run for run in self.runs if run.ended_at > at]
        return len(self.runs) < n_before

    def expires_at(self) -> Instant:
        if not self.runs:
            return add_ms(self.cleared_at, SUSPECT_EXPIRY_MS)
        expiry_ms = SUSPECT_EXPIRY_MS
        if self.is_quarantined():
            expiry_ms = QUARANTINE_EXPIRY_MS
        return add_ms(self.runs[-1].ended_at, expiry_ms)

    def encode(self, digest: str, now: Instant) -> list[object]:
        has_cleared = isfinite(self.cleared_at)
        return [
            digest,
            round(now - self.cleared_at) if has_cleared else None,
            [
                [
                    run.endpoint_id,
                    run.born_ms,
                    round(now - run.started_at),
                    round(now - run.ended_at),
                ]
                for run in self.runs
            ],
        ]


class Quarantine:
    """The requests that are under suspicion or quarantined, by digest."""

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        """Least recently changed first."""

    def __len__(self) -> int:
        return len(self._suspects)

    def __contains__(self, digest: str) -> bool:
        return digest in self._suspects

    def add_run(self, digest: str, run: EndedRun) -> bool:
        """Record that a server ended; return whether that was new."""
        suspect = self._suspects.get(digest) or _Suspect()
        if not suspect.add(run):
            return False
        self._keep(digest, suspect)
        return True

    def clear(self, digest: str, at: Instant) -> bool:
        """Clear a request that a server completed, or that an operator releases.

        Return whether it was under suspicion.
        """
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.clear(at):
            return False
        self._keep(digest, suspect)
        return True

    def _keep(self, digest: str, suspect: _Suspect) -> None:
        self._suspects.pop(digest, None)
        self._suspects[digest] = suspect
        if len(self._suspects) > MAX_DIGESTS:
            unproven = (k for k, v in self._suspects.items() if not v.is_quarantined())
            del self._suspects[next(unproven, next(iter(self._suspects)))]

    def is_suspect(self, digest: str) -> bool:
        """Return whether a server ended while it ran the request."""
        suspect = self._suspects.get(digest)
        return suspect is not None and bool(suspect.runs)

    def is_quarantined(self, digest: str) -> bool:
        """Return whether the request must not be sent to a server."""
        suspect = self._suspects.get(digest)
        return suspect is not None and suspect.is_quarantined()

    def ended_endpoint_ids(self, digest: str) -> list[str]:
        """Return the servers that ended in succession."""
        suspect = self._suspects.get(digest)
        return [] if suspect is None else [k.endpoint_id for k in suspect.succession()]

    def quarantined_digests(self) -> list[str]:
        """Return the digests of the quarantined requests."""
        return [k for k, v in self._suspects.items() if v.is_quarantined()]

    def expire(self, now: Instant) -> None:
        """Forget requests whose time under suspicion or in quarantine is over."""
        expired = [k for k, v in self._suspects.items() if v.expires_at() < now]
        for digest in expired:
            del self._suspects[digest]

    # Reports between processes

    def report(self, digest: str, now: Instant) -> list[object]:
        """Return what is known of a request as JSON values, with ages in ms."""
        return self._suspects[digest].encode(digest, now)

    def repeated_digests(self) -> list[str]:
        """Return the requests under which more than one server ended.

        A process that starts is told of these. Most others ran beside such a request,
        and are many when a zone ends.
        """
        return [k for k, v in self._suspects.items() if len(v.runs) > 1]

    def repeated_reports(self, now: Instant) -> list[list[object]]:
        """Return the reports on the requests of ``repeated_digests``."""
        return [self.report(digest, now) for digest in self.repeated_digests()]

    def merge(self, fields: object, now: Instant) -> str | None:
        """Merge a report of another process; return the digest if it told news.

        Raise ValueError if the report is malformed.
        """
        digest, cleared_age_ms, runs = _decode_report(fields, now)
        suspect = self._suspects.get(digest) or _Suspect()
        is_new = False
        if cleared_age_ms is not None:
            is_new = suspect.clear(add_ms(now, -cleared_age_ms))
        for run in runs:
            is_new |= suspect.add(run)
        if suspect.runs or digest in self._suspects or cleared_age_ms is not None:
            self._keep(digest, suspect)
        return digest if is_new else None


def _decode_report(
    fields: object, now: Instant
) -> tuple[str, float | None, list[EndedRun]]:
    match fields:
        case [str(digest), cleared_age_ms, list(runs)] if (
            len(digest) == DIGEST_LENGTH
            and is_endpoint_id(digest)
            and len(runs) <= MAX_RUNS
            and (cleared_age_ms is None or is_magnitude(cleared_age_ms))
        ):
            return digest, cleared_age_ms, [_decode_run(run, now) for run in runs]
    raise ValueError(f"expected a report on a request, got {short_repr(fields)}")


def _decode_run(fields: object, now: Instant) -> EndedRun:
    match fields:
        case [endpoint_id, born_ms, started_age_ms, ended_age_ms] if (
            is_endpoint_id(endpoint_id)
            and is_whole_number(born_ms)
            and is_magnitude(started_age_ms)
            and is_magnitude(ended_age_ms)
            and started_age_ms >= ended_age_ms
        ):
            started_at = add_ms(now, -started_age_ms)
            ended_at = add_ms(now, -ended_age_ms)
            return EndedRun(endpoint_id, born_ms, started_at, ended_at)
    raise ValueError(f"expected a run of a server, got {short_repr(fields)}")
