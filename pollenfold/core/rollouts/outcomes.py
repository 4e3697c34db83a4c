"""What the attempts of one entry show of the two versions of a roll-out."""

from __future__ import annotations

from enum import Enum

from ..outcomes import AttemptOutcome

SLOW_FACTOR = 2.0
"""A response that takes longer than this multiple of the expected time is slow. A bad
version takes several times as long, while the work of good responses varies little
(``WORK_VARIATION_FACTOR``)."""

SLOW_MARGIN_MS = 20.0
"""Added to the bound, since a busy entry notices a response some ms late, which would
make short responses look slow."""

MAX_ROUTES = 64
"""How many routes of a service are counted apart; the others are counted together."""

OTHER_ROUTES = "(other)"

_N_COUNTS = 6
"""Three counts for each side: all attempts, the failed and the slow ones."""


class Verdict(Enum):
    """What one attempt shows; the value is its position among the counts of a side."""

    GOOD = 0
    FAILED = 1
    SLOW = 2


def judge_attempt(
    outcome: AttemptOutcome, status: int, elapsed_ms: float, expected_ms: float
) -> Verdict | None:
    """Return what an attempt shows of the version, or None if it shows nothing.

    ``status`` is that of the response, 0 without one, and ``expected_ms`` the time that
    the response should have taken. An attempt that the endpoint didn't execute shows
    nothing. A failure counts as such however long it took.

    For example, a response with status 200 after 300 ms in place of 100 ms is slow.
    """
    match outcome:
        case AttemptOutcome.NOT_STARTED | AttemptOutcome.UNREACHABLE:
            return None
        case AttemptOutcome.RESPONDED if status < 500:
            is_slow = elapsed_ms > SLOW_FACTOR * expected_ms + SLOW_MARGIN_MS
            return Verdict.SLOW if is_slow else Verdict.GOOD
    return Verdict.FAILED


class OutcomeTally:
    """The outcomes of a roll-out in this process, by route and version.

    ``order_index`` identifies the roll-out. The counts only grow.
    """

    def __init__(self, order_index: int) -> None:
        self.order_index = order_index
        self._counts: dict[str, list[int]] = {}

    def add(self, route: str, is_target: bool, verdict: Verdict) -> None:
        """Count one attempt of a route at the target or the old version."""
        counts = self._counts.get(route)
        if counts is None:
            if len(self._counts) >= MAX_ROUTES:
                route = OTHER_ROUTES
            counts = self._counts.setdefault(route, [0] * _N_COUNTS)
        first = _N_COUNTS // 2 * is_target
        counts[first] += 1
        if verdict is not Verdict.GOOD:
            counts[first + verdict.value] += 1

    def encode(self) -> dict[str, list[int]]:
        """Return the counts of each route as JSON values.

        They are the attempts at the old version, the failed and the slow ones of them,
        then the same for the target.
        """
        return {route: list(counts) for route, counts in self._counts.items()}
