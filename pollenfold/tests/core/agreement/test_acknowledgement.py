"""When the leader holds commands back, in single cases."""

from dataclasses import replace

import pytest

from pollenfold.core.agreement.acknowledgement import Group, is_held_back
from pollenfold.core.clock import Instant

NOW = Instant(100_000.0)
LONG_AGO = Instant(0.0)
SETTLED = Group(4, 4, 5, False, LONG_AGO, LONG_AGO, None)


@pytest.mark.parametrize("n_voters", [1, 2, 3, 4])
@pytest.mark.parametrize(
    "reason",
    [
        {"is_new": True, "started_at": Instant(NOW - 5_900)},
        {"led_since": Instant(NOW - 900)},
        {"growing_since": Instant(NOW - 2_900)},
    ],
)
def test_incomplete_group_waits_for_voters_that_are_about_to_come(n_voters, reason):
    """Guards against an acknowledgement by fewer voters than must survive."""
    group = replace(SETTLED, n_voters=n_voters, n_answering=n_voters, **reason)
    assert is_held_back(group, NOW)
    assert not is_held_back(replace(group, n_voters=5, n_answering=5), NOW)


def test_new_leader_waits_for_the_answers_of_its_voters():
    """Guards against a new leader that counts a lost disk as a voter until it hears of
    the successor."""
    group = replace(SETTLED, n_voters=5, n_answering=4, led_since=Instant(NOW - 900))
    assert is_held_back(group, NOW)
    assert not is_held_back(replace(group, n_answering=5), NOW)
    assert not is_held_back(replace(group, led_since=Instant(NOW - 1_100)), NOW)


@pytest.mark.parametrize(
    "passed",
    [
        {},
        {"is_new": True, "started_at": Instant(NOW - 6_100)},
        {"is_new": False, "started_at": Instant(NOW - 100)},
        {"led_since": Instant(NOW - 1_100)},
        {"growing_since": Instant(NOW - 3_100)},
    ],
)
def test_incomplete_group_accepts_commands_after_a_bounded_wait(passed):
    """Guards against orders that wait for a machine that stays down."""
    assert not is_held_back(replace(SETTLED, **passed), NOW)
