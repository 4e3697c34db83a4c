"""Whether an entry believes that it is cut off from the endpoints."""

import pytest

from pollenfold.core.reach import (
    CHECK_PAUSE_MS,
    FRESH_RESPONSE_MS,
    MIN_HEALING_MS,
    QUIET_MS,
    CheckResult,
    Contact,
    Reach,
)

SERVICES = frozenset(("s", "t"))
CUT_CHECK = CheckResult(SERVICES, 4, 0, frozenset(("s",)), 2)


def failing_reach(n_endpoints=3, now=1_000.0):
    """Return the evidence of an entry whose endpoints stop responding."""
    reach = Reach()
    reach.observe("s", "i-0", Contact.RESPONDED, now - 10.0)
    for number in range(n_endpoints):
        reach.observe("st"[number % 2], f"i-{number}", Contact.UNOPENED, now)
    return reach


def cut_reach(now=1_000.0):
    reach = failing_reach(now=now)
    assert reach.conclude_check(CUT_CHECK, now, now + 100.0)
    return reach


def test_one_failed_endpoint_among_responding_ones_needs_no_check():
    """Guards against checks of an entry because one endpoint is down."""
    reach = failing_reach(1)
    assert not reach.needs_check(1_000.0)


@pytest.mark.parametrize("contact", [Contact.UNOPENED, Contact.UNANSWERED])
def test_failures_of_two_endpoints_without_a_response_need_a_check(contact):
    """Guards against an entry that notices only one way in which it can be cut off."""
    reach = Reach()
    reach.observe("s", "i-0", Contact.RESPONDED, 999.0)
    reach.observe("s", "i-1", contact, 1_000.0)
    assert not reach.needs_check(1_000.0)
    reach.observe("t", "i-2", contact, 1_000.0)
    assert reach.needs_check(1_000.0)


def test_entry_with_little_traffic_needs_a_check_after_one_failure():
    """Guards against an entry with few requests that notices a cut late."""
    reach = failing_reach(1, now=1_000.0)
    assert reach.needs_check(990.0 + QUIET_MS)


def test_request_that_waits_longer_than_any_response_needs_a_check():
    """Guards against a cut that shows only in requests that hang."""
    reach = Reach()
    reach.observe("s", "i-0", Contact.RESPONDED, 999.0)
    reach.observe_waiting("s", "i-1", 1_000.0, 1_000.0 + QUIET_MS)
    assert reach.needs_check(1_000.0 + QUIET_MS)


def test_request_that_waits_while_others_have_responses_needs_no_check():
    """Guards against checks because some requests take long."""
    reach = Reach()
    reach.observe("s", "i-0", Contact.RESPONDED, 1_100.0)
    reach.observe_waiting("s", "i-1", 1_000.0, 1_400.0)
    assert not reach.needs_check(1_400.0)


@pytest.mark.parametrize(
    "check",
    [
        CheckResult(SERVICES, 4, 1, SERVICES, 2),
        CheckResult(SERVICES, 4, 0, frozenset(), 2),
        CheckResult(frozenset(("s",)), 2, 0, frozenset(("t",)), 2),
        CheckResult(frozenset(), 0, 0, SERVICES, 2),
    ],
    ids=["an endpoint responds", "peers reach none", "other service", "none contacted"],
)
def test_check_that_shows_no_cut(check):
    """Guards against an entry that passes its work on because servers are down."""
    reach = failing_reach()
    assert not reach.conclude_check(check, 1_000.0, 1_100.0)
    assert not reach.is_cut
    assert not reach.needs_check(1_100.0)


def test_response_during_a_check_rules_out_a_cut():
    """Guards against a cut that is found though a request got its response."""
    reach = failing_reach()
    reach.observe("t", "i-7", Contact.RESPONDED, 1_050.0)
    assert not reach.conclude_check(CUT_CHECK, 1_000.0, 1_100.0)


def test_cut_entry_reports_no_service_as_reached():
    """Guards against entries that pass requests on to one another in a cut."""
    reach = Reach()
    reach.observe("s", "i-0", Contact.RESPONDED, 1_000.0)
    assert reach.reached_services(1_000.0) == {"s"}
    assert not reach.reached_services(1_001.0 + FRESH_RESPONSE_MS)
    assert not cut_reach().reached_services(1_100.0)


def test_service_that_fails_is_not_reported_as_reached():
    """Guards against requests that are passed on to an entry which reaches only other
    services."""
    reach = Reach()
    reach.observe("s", "i-0", Contact.RESPONDED, 1_000.0)
    for number in (1, 2):
        reach.observe("s", f"i-{number}", Contact.UNOPENED, 1_010.0)
    reach.observe("t", "i-3", Contact.RESPONDED, 1_020.0)
    assert reach.reached_services(1_020.0) == {"t"}


def test_peers_are_asked_once_their_last_responses_are_younger_than_the_failures():
    """Guards against a cut that is found because peers report the time before servers
    ended."""
    reach = failing_reach(now=1_000.0)
    peer = Reach()
    peer.observe("s", "i-0", Contact.RESPONDED, 999.0)
    assert not peer.reached_services(reach.ask_at())


def test_cut_is_over_after_trials_succeed_for_some_time():
    """Guards against a return to a path that responds only once."""
    reach = cut_reach()
    assert not reach.observe_trials(2, 2, 2_000.0)
    assert not reach.observe_trials(2, 2, 1_999.0 + MIN_HEALING_MS)
    assert reach.observe_trials(2, 2, 2_000.0 + MIN_HEALING_MS)
    assert not reach.is_cut


def test_failed_trial_starts_the_way_back_anew():
    """Guards against a return while the path comes and goes."""
    reach = cut_reach()
    assert not reach.observe_trials(2, 2, 2_000.0)
    assert not reach.observe_trials(2, 0, 2_100.0)
    assert not reach.observe_trials(2, 2, 2_000.0 + MIN_HEALING_MS)
    assert reach.is_cut


def test_cut_is_over_though_some_endpoints_are_down():
    """Guards against an entry that relays on because half of the endpoints are down."""
    reach = cut_reach()
    for step in range(4):
        is_over = reach.observe_trials(2, 1, 2_000.0 + step * MIN_HEALING_MS)
    assert is_over


def test_cut_that_returns_soon_takes_longer_to_be_over():
    """Guards against an entry that changes its mind with a path that flaps."""
    reach = cut_reach()
    reach.observe_trials(2, 2, 2_000.0)
    assert reach.observe_trials(2, 2, 2_000.0 + MIN_HEALING_MS)
    reach.observe("s", "i-1", Contact.UNOPENED, 3_000.0)
    assert reach.conclude_check(CUT_CHECK, 3_000.0, 3_100.0)
    reach.observe_trials(2, 2, 4_000.0)
    assert not reach.observe_trials(2, 2, 4_000.0 + MIN_HEALING_MS)
    assert reach.observe_trials(2, 2, 4_000.0 + 2 * MIN_HEALING_MS)


def test_check_is_not_repeated_at_once():
    """Guards against a flood of checks while endpoints fail."""
    reach = failing_reach()
    reach.conclude_check(CheckResult(SERVICES, 4, 2, SERVICES, 2), 1_000.0, 1_100.0)
    reach.observe("s", "i-1", Contact.UNOPENED, 1_101.0)
    reach.observe("s", "i-2", Contact.UNOPENED, 1_101.0)
    assert not reach.needs_check(1_101.0)
    assert reach.needs_check(1_100.0 + CHECK_PAUSE_MS)
