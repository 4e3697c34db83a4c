"""Rules and budgets for retries and hedged requests."""

from __future__ import annotations

from .outcomes import AttemptOutcome
from .records import RequestClass


def may_retry(outcome: AttemptOutcome, request_class: RequestClass) -> bool:
    """Return whether a request may be retried after an attempt with this outcome.

    A non-idempotent request is retried only if it provably never started, so that it
    isn't executed twice.
    """
    if outcome in (AttemptOutcome.NOT_STARTED, AttemptOutcome.UNREACHABLE):
        return True
    if request_class is RequestClass.NON_IDEMPOTENT:
        return False
    return outcome in (AttemptOutcome.LOST, AttemptOutcome.SERVER_ERROR)


class RatioBudget:
    """Limits extra requests to a ratio of the calls.

    Each call adds ``ratio`` permits, up to ``burst`` permits in total. For example, a
    ratio of 0.1 lets one call in ten be retried, so retries can't multiply the load
    of an overloaded service. It starts with ``n_initial`` permits, by default with all.
    """

    __slots__ = ("ratio", "_burst", "_n_permits")

    def __init__(
        self, ratio: float, burst: float = 10.0, n_initial: float | None = None
    ) -> None:
        self.ratio = ratio
        self._burst = burst
        self._n_permits = burst if n_initial is None else n_initial

    def deposit(self) -> None:
        """Count one call."""
        self._n_permits = min(self._burst, self._n_permits + self.ratio)

    def withdraw(self) -> bool:
        """Use a permit for one extra request, or return False if there is none."""
        if self._n_permits < 1.0:
            return False
        self._n_permits -= 1.0
        return True

    def refund(self) -> None:
        """Return a permit that was not used."""
        self._n_permits = min(self._burst, self._n_permits + 1.0)


class QuantileEstimate:
    """A running estimate of one quantile of a stream of latencies in ms.

    A latency above the estimate raises it by ``quantile`` times the step, and any other
    lowers it by ``1 - quantile`` times the step, so it converges to the value below
    which that share of latencies lies. The step is a twentieth of the estimate. For
    example, ``QuantileEstimate(0.95)`` gives the delay after which one call in twenty
    is hedged.
    """

    __slots__ = ("_quantile", "value_ms")

    def __init__(self, quantile: float, initial_ms: float) -> None:
        self._quantile = quantile
        self.value_ms = initial_ms

    def observe(self, latency_ms: float) -> None:
        """Update the estimate with one latency."""
        step_ms = 0.05 * self.value_ms + 0.01
        if latency_ms > self.value_ms:
            self.value_ms += step_ms * self._quantile
        else:
            self.value_ms -= step_ms * (1.0 - self._quantile)
