"""The choice of the version and of the endpoints for an attempt, without a network."""

import random
from collections import Counter

import pytest

from pollenfold.core.rollouts.choice import (
    may_send,
    n_tested_endpoints,
    rank_endpoints,
    sides_to_try,
)
from pollenfold.core.rollouts.state import Rollout, RolloutStage

N_ENTRIES = 130
TARGET_IDS = [f"i-{number:03}" for number in range(60)]


def rollout_at(stage, share=0.06, order_index=5, **changes):
    shares = {"full": 1.0, "completed": 1.0, "reverting": 0.0, "rolled_back": 0.0}
    fields = {
        "service": "s",
        "target_version": "v2",
        "duration_ms": 12_000,
        "order_index": order_index,
        "ordered_at_ms": 0,
        "stage": RolloutStage(stage),
        "share": shares.get(stage, share),
        "stage_index": order_index,
    }
    return Rollout(**{**fields, **changes})


@pytest.mark.parametrize(
    ("stage", "fraction", "is_retry", "is_out_of_contact", "sides"),
    [
        ("canary", 0.05, False, False, (True, False)),
        ("canary", 0.06, False, False, (False,)),
        ("canary", 0.0, True, False, (False,)),
        ("canary", 0.0, False, True, (False, True)),
        ("ramp", 0.0, True, False, (False,)),
        ("full", 0.99, False, False, (True,)),
        ("full", 0.99, True, False, (True,)),
        ("full", 0.99, False, True, (True,)),
        ("reverting", 0.0, False, False, (False,)),
        ("reverting", 0.0, False, True, (False,)),
        ("completed", 0.99, True, False, (True,)),
        ("rolled_back", 0.0, False, False, (False,)),
    ],
)
def test_sides_of_an_attempt(stage, fraction, is_retry, is_out_of_contact, sides):
    """Guards against an attempt at a version that the stage excludes, and against a
    retry or a fallback that adds to the exposure of a target under test."""
    rollout = rollout_at(stage)
    assert sides_to_try(rollout, fraction, is_retry, is_out_of_contact) == sides


def test_share_holds_over_all_entries():
    """Load: 130 entries that each send 20 requests in the canary stage.

    Guards against an exposure above the share because each entry sends few requests.
    """
    n_target = 0
    for number in range(N_ENTRIES):
        rng = random.Random(number)
        n_target += sum(
            sides_to_try(rollout_at("canary"), rng.random(), False, False)[0]
            for _ in range(20)
        )
    assert 0.04 < n_target / (N_ENTRIES * 20) < 0.08


def test_tested_endpoints_are_as_busy_as_with_all_requests():
    """Load: 100,000 requests at a share of 0.06 on 60 target endpoints.

    Guards against a canary whose endpoints get less than they would with all requests,
    so that a fault that only shows under load stays hidden.
    """
    rng = random.Random(3)
    ranked = rank_endpoints(TARGET_IDS, "s 5")
    n_requests = 100_000
    counts = Counter()
    for _ in range(n_requests):
        if rng.random() < 0.06:
            n_tested = n_tested_endpoints(len(ranked), 0.06, rng.random())
            counts[rng.choice(ranked[:n_tested])] += 1
    assert set(counts) == set(ranked[:4])
    with_all_requests = n_requests / len(TARGET_IDS)
    for endpoint_id in ranked[:3]:
        assert 0.9 < counts[endpoint_id] / with_all_requests < 1.1


def test_entries_test_the_same_endpoints_while_one_is_missing():
    """Guards against entries that test different endpoints since one of them doesn't
    know all: each endpoint would then get too little to show a fault under load."""
    ranked = rank_endpoints(TARGET_IDS, "s 5")
    without_last = rank_endpoints(reversed(ranked[:-1]), "s 5")
    assert without_last == ranked[:-1]
    assert rank_endpoints(TARGET_IDS, "s 9") != ranked


@pytest.mark.parametrize(
    ("n_endpoints", "share", "fraction", "n_tested"),
    [(60, 0.06, 0.3, 3), (60, 0.06, 0.5, 4), (3, 0.06, 0.1, 1), (0, 0.06, 0.9, 0)]
    + [(60, 1.0, 0.9, 60), (1, 0.5, 0.9, 1)],
)
def test_number_of_tested_endpoints(n_endpoints, share, fraction, n_tested):
    """Guards against a canary without endpoints, and against more than there are."""
    assert n_tested_endpoints(n_endpoints, share, fraction) == n_tested


@pytest.mark.parametrize(
    ("stage", "version", "chosen_by", "is_target", "is_permitted"),
    [
        ("canary", "v1", None, False, True),
        # Chosen without the share, since the order came meanwhile.
        ("canary", "v2", None, False, False),
        ("canary", "v2", rollout_at("canary"), True, True),
        ("canary", "v2", rollout_at("completed", order_index=3), True, False),
        ("ramp", "v2", rollout_at("canary"), True, True),
        ("full", "v1", rollout_at("ramp"), False, False),
        ("full", "v1", None, False, False),
        ("full", "v2", rollout_at("ramp"), True, True),
        ("reverting", "v2", rollout_at("full"), True, False),
        ("reverting", "v1", rollout_at("canary"), False, True),
        ("rolled_back", "v2", rollout_at("reverting"), False, False),
    ],
)
def test_stage_that_changes_between_choice_and_send(
    stage, version, chosen_by, is_target, is_permitted
):
    """Guards against a request to a version that ends, after this entry reported that
    nothing is in flight there."""
    rejected = ("v2",) if stage in ("reverting", "rolled_back") else ()
    rollout = rollout_at(stage, rejected_versions=rejected)
    assert may_send(rollout, version, chosen_by, is_target) == is_permitted
