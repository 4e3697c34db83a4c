"""Changes to the replicated configuration, resends, snapshots and views."""

import json

import pytest

from pollenfold.core.configuration import (
    MAX_RESULTS,
    Change,
    ConfigurationState,
    apply_change,
    build_view,
    decode_change,
    decode_state,
    encode_change,
    encode_state,
    records_since,
)
from pollenfold.core.errors import ErrorKind
from pollenfold.core.records import EndpointSpec, FleetSpec, ServiceSpec, ZoneSpec


def change(change_id, version, name="a", **spec):
    fields = {"kind": "zone", "name": name, "version": version, "spec": spec}
    return Change(change_id, json.dumps(fields).encode())


@pytest.mark.parametrize(
    "version, error",
    [
        (0, ErrorKind.VERSION_CONFLICT),
        (1, ErrorKind.VERSION_CONFLICT),
        (2, None),
        (3, ErrorKind.VERSION_CONFLICT),
    ],
)
def test_only_the_next_version_is_accepted(version, error):
    """Guards against two operators who both store the same version."""
    state = ConfigurationState()
    assert apply_change(state, change("first", 1)).error is None
    before = encode_state(state)
    result = apply_change(state, change("second", version, state="out"))
    assert result.error is error
    assert (state.revision, result.revision) == ((2, 2) if error is None else (1, 1))
    if error is not None:
        assert "expected version 2" in result.detail
        assert records_since(state, 0) == records_since(decode_state(before), 0)


def test_resend_gets_the_first_result():
    """Guards against a resent change that is applied twice or refused."""
    state = ConfigurationState()
    first = apply_change(state, change("x", 1))
    apply_change(state, change("y", 2))
    conflict = apply_change(state, change("z", 2))
    before = encode_state(state)
    assert apply_change(state, change("x", 1)) == first
    assert apply_change(state, change("z", 2)) == conflict
    assert encode_state(state) == before


def test_change_id_of_another_record_is_refused():
    """Guards against reporting the result of one change for another."""
    state = ConfigurationState()
    apply_change(state, change("x", 1))
    before = encode_state(state)
    result = apply_change(state, change("x", 2))
    assert result.error is ErrorKind.BAD_REQUEST
    assert encode_state(state) == before


def test_results_of_the_last_4096_changes_are_kept():
    """Guards against results that accumulate without limit or are dropped early."""
    assert MAX_RESULTS == 4096
    state = ConfigurationState()
    for version in range(1, MAX_RESULTS + 2):
        assert apply_change(state, change(f"id-{version}", version)).error is None
    assert len(state.results) == MAX_RESULTS
    oldest = apply_change(state, change("id-2", 2))
    assert (oldest.error, oldest.revision) == (None, 2)


@pytest.mark.parametrize(
    "record", [b"", b"\xff", b"[]", b"{}", b'{"kind":"zone","name":"a","version":"1"}']
)
def test_malformed_record_in_the_log_changes_nothing(record):
    """Guards against a replica that stops at a command it can't decode."""
    state = ConfigurationState()
    result = apply_change(state, Change("x", record))
    assert result.error is ErrorKind.BAD_RECORD
    assert (state.revision, state.records) == (0, {})


def test_changes_survive_their_encoding():
    """Guards against a command that is decoded differently from how it was encoded."""
    original = change("id-é", 1)
    assert decode_change(encode_change(original)) == original
    for damaged in (b"", b"\x00", b"\x00\x05ab"):
        with pytest.raises(ValueError):
            decode_change(damaged)


def service(name, path_prefix):
    return ServiceSpec(name, "t", path_prefix, 1000, (), 1, 1, 1, 1, 1, 1, 1, 0.1, 0.1)


@pytest.mark.parametrize(
    "path, name",
    [
        ("/shop", "shop"),
        ("/shop/", "shop"),
        ("/shop/cart/1", "cart"),
        ("/shop/cartoon", "shop"),
        ("/shopping", "root"),
        ("/", "root"),
    ],
)
def test_service_has_the_longest_prefix_of_whole_segments(path, name):
    """Guards against a request that reaches another tenant's service."""
    services = [service("root", "/"), service("shop", "/shop/")]
    view = build_view(1, [*services, service("cart", "/shop/cart")])
    assert view.find_service(path).name == name
    assert build_view(1, services[1:]).find_service("/other") is None


def test_view_holds_zones_fleet_and_drained_endpoints():
    """Guards against requests to zones that are out and to drained endpoints."""
    view = build_view(
        3,
        [
            ZoneSpec("a", "r", False, 2),
            ZoneSpec("b", "r", True, 1),
            FleetSpec(12),
            EndpointSpec("10.0.0.1:80", "s", True),
            EndpointSpec("10.0.0.2:80", "s", False),
        ],
    )
    assert [view.is_zone_in_service(name) for name in "abc"] == [False, True, True]
    assert view.fleet.max_entries == 12
    assert view.drained == {"10.0.0.1:80"}
