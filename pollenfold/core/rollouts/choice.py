"""Which version, and which of its endpoints, gets an attempt during a roll-out."""

from __future__ import annotations

from collections.abc import Iterable
from math import floor

import xxhash

from .state import Rollout, RolloutStage

TESTING_STAGES = frozenset({RolloutStage.CANARY, RolloutStage.RAMP})
"""The stages in which both versions get requests."""


def is_testing(rollout: Rollout) -> bool:
    """Return whether both versions get requests."""
    return rollout.stage in TESTING_STAGES


def sides_to_try(
    rollout: Rollout, fraction: float, is_retry: bool, is_out_of_contact: bool
) -> tuple[bool, ...]:
    """Return the sides that may take an attempt, the preferred one first.

    A side is True for the target and False for the old version. ``fraction`` is
    uniformly distributed from 0 up to but not including 1. A retry goes to the old
    version while both get requests, so that a bad target costs a caller one attempt.

    An entry that is out of contact with control doesn't test the target: the roll-out
    may have been judged bad meanwhile. It may also have been completed, so the target
    takes attempts for which no endpoint of the old version responds.

    For example, with the share 0.06 the fraction 0.03 gives ``(True, False)``, and 0.5
    gives ``(False,)``.
    """
    if not is_testing(rollout):
        return (rollout.is_towards_target,)
    if is_out_of_contact:
        return (False, True)
    if is_retry or not rollout.draws_target(fraction):
        return (False,)
    return (True, False)


def may_send(
    rollout: Rollout, version: str, chosen_by: Rollout | None, is_target: bool
) -> bool:
    """Return whether an attempt may still be sent to an endpoint of a version.

    ``chosen_by`` is the roll-out by which the endpoint was chosen, for the side
    ``is_target``; it is None if there was none. An endpoint of the target that was
    chosen without the roll-out was not chosen by its share.
    """
    if chosen_by is None or chosen_by.order_index != rollout.order_index:
        is_target = rollout.is_target(version)
        if is_target and is_testing(rollout):
            return False
    return rollout.uses(version, is_target)


def n_tested_endpoints(n_endpoints: int, share: float, fraction: float) -> int:
    """Return how many endpoints of the target take its share of the requests.

    The same share of the endpoints makes each of them as busy as it would be with all
    the requests. The result is rounded at random by ``fraction``, so that this holds on
    average: with 60 endpoints and the share 0.06 it is 3 for 0.4 of the requests and 4
    for 0.6 of them.
    """
    n_tested = max(1, floor(n_endpoints * share + fraction))
    return min(n_endpoints, n_tested)


def rank_endpoints(endpoint_ids: Iterable[str], subject: str) -> list[str]:
    """Return the endpoints in an order that is the same in all entries.

    It is that of rendezvous hashing: without an endpoint, the order of the others
    stays the same.
    """
    return sorted(
        endpoint_ids, key=lambda k: xxhash.xxh3_64_intdigest(f"{k} {subject}".encode())
    )
