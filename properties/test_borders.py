"""Whatever another process states, a border gives a value within its limits, or its
declared error, and one malformed member of a list hides none of the others."""

import json
from types import SimpleNamespace

import curio
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pollenfold.control.cluster_state import ClusterState
from pollenfold.control.peer_view import PeerView
from pollenfold.core import input_limits
from pollenfold.core.clock import Instant
from pollenfold.core.limit_report import decode_limit_report
from pollenfold.core.quarantine import Quarantine
from pollenfold.core.registry import decode_announcement as decode_fields
from pollenfold.core.registry import versions_by_id, with_version
from pollenfold.core.rollouts.reports import Reports, decode_report
from pollenfold.core.rollouts.state import decode_rollout, start_rollout
from pollenfold.gateway.feed import Feed
from pollenfold.gateway.feeds import FeedIdentity, Feeds
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.exposition import Metrics
from pollenfold.platform.documents import (
    DocumentError,
    configuration_steps,
    decode_announcement,
    decode_configuration,
)
from pollenfold.platform.settings import SettingsError, parse_settings
from pollenfold.tests.platform.test_documents import ANNOUNCEMENT, CONFIGURATION
from pollenfold.wire.document_transfer import encode_transfer
from properties.test_decoders import (
    SETTINGS,
    VALUES,
    value_paths,
    with_value_at,
)

ODD_SCALARS = st.sampled_from(
    [
        10**400,
        -(10**400),
        1 << 63,
        1e308,
        float("inf"),
        float("nan"),
        -0.0,
        70_000,
        0,
        True,
        "",
        "\ud800",
        "²",
        "a\r\nb",
        "\0",
        "x" * 10_000,
        "10.0.0.9:70000",
        "10.0.0.9:0",
        "10.0.0.9:" + "9" * 5000,
        "[fe80::1%x]:80",
        "a.example:80",
    ]
)
NESTED = st.integers(1, 900).map(lambda depth: json.loads("[" * depth + "]" * depth))
ODD_VALUES = ODD_SCALARS | VALUES | NESTED
FIELDS = ["i-1", "s", "10.0.0.9", 80, "a", 4, False, 0.0, 1, 1]
TRUE_FIELDS = ["i-true", "s", "10.0.0.8", 80, "a", 4, False, 0.0, 1, 1]
NOW = Instant(1e9)


def is_within_limits(announcement):
    """Return whether all fields of an announcement are within the limits."""
    limits = input_limits
    return (
        limits.is_endpoint_id(announcement.endpoint_id)
        and limits.is_name(announcement.service)
        and limits.is_ip_address(announcement.host)
        and limits.is_port(announcement.port)
        and limits.is_name(announcement.zone)
        and limits.is_whole_number(announcement.slots, limits.MAX_SLOTS)
        and type(announcement.is_leaving) is bool
        and limits.is_magnitude(announcement.warmup_left_ms, limits.MAX_WARMUP_MS)
        and limits.is_whole_number(announcement.born_ms)
        and (announcement.version == "" or limits.is_name(announcement.version))
        and limits.is_whole_number(announcement.sequence)
    )


@given(st.sampled_from(list(value_paths(ANNOUNCEMENT))), ODD_VALUES)
@example(("address",), "10.0.0.9:²")
@example(("status", "sequence"), 10**400)
def test_platform_announcement_is_within_the_limits_or_refused(path, value):
    """Guards against an odd announcement that is accepted and passed on."""
    body = json.dumps(with_value_at(ANNOUNCEMENT, path, value)).encode()
    try:
        announcement = decode_announcement("i-1", body)
    except DocumentError:
        return
    assert is_within_limits(announcement)
    line = [announcement.encode(), versions_by_id([announcement])]
    fields, versions = json.loads(json.dumps(line))
    assert with_version(decode_fields(fields), versions) == announcement


@given(st.text(max_size=200))
@example("\ud800")
def test_endpoint_id_is_within_the_limits_or_refused(endpoint_id):
    """Guards against an id that can't stand in a header of a request."""
    try:
        announcement = decode_announcement(endpoint_id, json.dumps(ANNOUNCEMENT))
    except DocumentError:
        return
    assert is_within_limits(announcement)


@given(st.integers(0, len(FIELDS) - 1), ODD_VALUES)
@example(3, 70_000)
@example(3, True)
@example(9, 10**400)
def test_announcement_of_a_feed_is_within_the_limits_or_refused(position, value):
    """Guards against an odd announcement that a process takes from another one."""
    fields = [*FIELDS]
    fields[position] = value
    try:
        assert is_within_limits(decode_fields(fields))
    except ValueError:
        return


@given(st.integers(0, 3), ODD_VALUES)
@example(2, 10**400)
@example(1, True)
def test_limit_report_is_within_the_limits_or_refused(position, value):
    """Guards against a report that raises another error than the declared one."""
    fields = ["i-1", 5, 2.5, 10.0]
    fields[position] = value
    try:
        report = decode_limit_report(fields)
    except ValueError:
        return
    assert decode_limit_report(json.loads(json.dumps(report.encode()))).born_ms >= 0
    assert report.rate_per_s is None or 0 <= report.rate_per_s < float("inf")


QUARANTINE_REPORT = ["a" * 32, 50.0, [["i-1", 5, 20.0, 10.0]]]


@given(st.sampled_from(list(value_paths(QUARANTINE_REPORT))), ODD_VALUES)
@example((2, 0, 2), 10**400)
@example((1,), 10**400)
def test_quarantine_report_is_merged_or_refused(path, value):
    """Guards against a report that raises another error than the declared one, and one
    that can't be passed on."""
    quarantine = Quarantine()
    try:
        quarantine.merge(with_value_at(QUARANTINE_REPORT, path, value), NOW)
    except ValueError:
        assert not len(quarantine)
        return
    for report in quarantine.repeated_reports(NOW):
        Quarantine().merge(json.loads(json.dumps(report)), NOW)


@given(st.sampled_from(list(value_paths(CONFIGURATION))), ODD_VALUES)
@example(("services", 0, "healthPath"), "/a b\r\n")
@example(("services", 0, "name"), "\ud800")
@example(("version",), 10**400)
def test_configuration_can_be_used_or_is_refused(path, value):
    """Guards against a configuration whose texts can't be sent, or whose version can't
    be exported as a metric."""
    document = with_value_at(CONFIGURATION, path, value)
    try:
        configuration = decode_configuration(json.dumps(document))
    except DocumentError:
        return
    metrics = Metrics()
    metrics.set("version", configuration.version)
    for service in configuration.services.values():
        metrics.count("requests_total", service=service.name)
        assert input_limits.is_request_target(service.health_path)
    for routes in configuration.hosts.values():
        for route in routes:
            metrics.count("requests_total", route=route.name)
    metrics.render().encode()


@given(st.sampled_from(list(value_paths(SETTINGS))), ODD_VALUES)
@example(("network", "internalPorts", 0), 70_000)
@example(("network", "listenAddrs", "front"), "10.0.0.1:²")
@example(("network", "seeds", 0), "10.0.0.9:" + "9" * 5000)
@example(("terms", "bounds", "graceS"), 10**400)
def test_settings_can_be_used_or_are_refused(path, value):
    """Guards against a settings file that ends a process without naming the field."""
    fields = with_value_at(SETTINGS, path, value)
    if not isinstance(fields, dict):
        return
    try:
        settings = parse_settings(fields)
    except SettingsError:
        return
    assert all(0 <= bound < float("inf") for bound in settings.bounds.values())
    assert all(0 <= port < 65_536 for _, port in settings.addresses.values())


ROLLOUT = start_rollout(None, "s", "v2", 12_000, 1_780_000_000_000, 4)
REPORT = ["s", 4, 5, 1, 2, {"r1": [100, 1, 2, 9, 0, 1], "r2": [0, 0, 0, 0, 0, 0]}]


@given(st.sampled_from(list(value_paths(REPORT))), ODD_VALUES)
@example((5, "r1", 0), 10**400)
@example((5, "r1", 4), True)
def test_report_on_a_roll_out_is_added_or_refused(path, value):
    """Guards against counts that end a replica, or that can't be added up."""
    try:
        report = decode_report(with_value_at(REPORT, path, value))
    except ValueError:
        return
    reports = Reports()
    reports.add("e1", 1, decode_report(REPORT), Instant(0.0))
    reports.add("e1", 2, report, Instant(0.0))
    for counts in reports.counts.values():
        assert 0 <= counts.n_new_bad <= counts.n_new <= 1 << 54


@given(st.sampled_from(list(value_paths(ROLLOUT.encode()))), ODD_VALUES)
def test_state_of_a_roll_out_is_valid_or_refused(path, value):
    """Guards against a roll-out that ends each entry that acts on it."""
    try:
        rollout = decode_rollout(with_value_at(ROLLOUT.encode(), path, value))
    except ValueError:
        return
    assert decode_rollout(json.loads(json.dumps(rollout.encode()))) == rollout
    assert 0 <= rollout.share <= 1
    assert not (rollout.uses("v1", True) and rollout.uses("v1", False))


LINE = {
    "zone": "a",
    "index": 0,
    "n_entries": 3,
    "n_endpoints": 2,
    "n_peers": 2,
    "control": ["10.0.0.2"],
    "orders": {
        "index": 5,
        "version": 0,
        "document": "",
        "evacuated": ["b"],
        "departures": {"i-9": 5},
        "since": 0,
        "rollouts": [ROLLOUT.encode()],
    },
    "announcements": [[FIELDS, 0]],
    "versions": {"i-1": "v1"},
    "heard": ["i-1"],
    "limits": [["i-1", 1, 2.5, 10.0]],
    "quarantine": [QUARANTINE_REPORT],
    "entries": ["e1"],
    "joined": ["e2"],
    "left": ["e3"],
    "complete_ms": 5,
    "confirmed": [1, 5],
    "peers": {"a": {"e2": "10.0.0.2"}},
}


def entry_view(log):
    return FleetView(configuration_steps, system_clock, log)


def replica_view(log):
    state = ClusterState(3, system_clock, log)
    state.commands.replica = SimpleNamespace(voters=frozenset)
    return PeerView(state)


def known_announcements(view):
    if isinstance(view, FleetView):
        return list(view.registry.announcements())
    return list(view._cluster_state.registry.announcements())


def line_with_transfer():
    """Return a line whose state has its document as a replica sends it to an entry."""
    transfer = encode_transfer(0, "", json.dumps(CONFIGURATION))
    state = {**LINE["orders"], "version": 7, "transfer": transfer}
    del state["document"]
    return {**LINE, "orders": state}


LINES = [LINE, line_with_transfer()]


@pytest.mark.parametrize("make_view", [entry_view, replica_view])
@given(
    st.sampled_from([(line, path) for line in LINES for path in value_paths(line)]),
    ODD_VALUES,
)
@example((LINE, ("n_entries",)), 10**400)
@example((LINE, ("announcements", 0, 1)), 10**400)
@example((LINE, ("announcements", 0, 0, 4)), "\ud800")
@example((LINE, ("joined", 0)), [])
@example((LINE, ("heard", 0)), {})
@example((LINE, ("orders", "departures", "i-9")), [])
@example((LINE, ("orders", "document")), "{")
@example((LINE, ("orders",)), 7)
def test_feed_line_with_any_value_hides_no_other_member(make_view, place, value):
    """Guards against a process that closes its feed, ends, or misses the endpoints that
    come after a malformed member of a line."""
    line = with_value_at(*place, value)
    if not isinstance(line, dict):
        return
    if isinstance(line.get("announcements"), list):
        line["announcements"].append([TRUE_FIELDS, 0])

    async def main():
        log = EventLog("p", system_clock, write=len)
        view = make_view(log)
        feeds = Feeds(FeedIdentity("e1", "a"), view, lambda: [], 1, system_clock, log)
        feeds._source = "h"
        feed = Feed(None)
        for _ in range(2):
            await feeds.apply_line(line, "h", feed)
        return view

    view = curio.run(main)
    known = known_announcements(view)
    assert all(is_within_limits(announcement) for announcement in known)
    if isinstance(line.get("announcements"), list):
        assert "i-true" in {announcement.endpoint_id for announcement in known}
    view.digests()
    assert 1 <= view.fleet.get(system_clock()) <= input_limits.MAX_ENTRIES
