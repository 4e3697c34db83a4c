"""Decoding and validation of the documents of the platform."""

import copy
import json

import pytest

from pollenfold.core.routes import find_route
from pollenfold.core.slices import run_at_once
from pollenfold.platform.documents import (
    DocumentError,
    configuration_decoder,
    decode_announcement,
    decode_configuration,
)
from pollenfold.testing.configurations import large_configuration

SERVICE = {
    "name": "booking",
    "healthPath": "/healthz",
    "maxConns": 220,
    "warmupS": 3.0,
    "warmupPerS": 9.2,
}
ROUTE = {
    "name": "r1",
    "pathPrefix": "/look/",
    "kind": "safe",
    "timeoutMs": 1200,
    "targetLatencyMs": 250,
    "priority": 2,
    "service": "booking",
    "maxAttempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "services": [SERVICE, {**SERVICE, "name": "workshop"}],
    "limits": {
        "headerBytes": 16384,
        "bodyBytes": 1000,
        "headerMs": 3000,
        "idleMs": 15000,
    },
    "hosts": [
        {
            "host": "A.example",
            "paths": [
                ROUTE,
                {**ROUTE, "name": "r2", "pathPrefix": "/look/deep/", "kind": "unsafe"},
            ],
        }
    ],
}
ANNOUNCEMENT = {
    "address": "10.0.0.9:8080",
    "born": 1_780_000_000_000,
    "info": {"service": "booking", "version": "v1", "zone": "a", "slots": 4},
    "status": {"state": "ready", "sequence": 4, "warmupLeftMs": 500},
}


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [("safe", True), ("download", True), ("unsafe", False), ("upload", False)],
)
def test_only_safe_requests_and_downloads_are_idempotent(kind, is_idempotent):
    """Guards against an upload that is retried, or a known kind that is refused."""
    route = {**ROUTE, "kind": kind}
    document = {**CONFIGURATION, "hosts": [{"host": "a.example", "paths": [route]}]}
    configuration = decode_configuration(json.dumps(document))
    assert configuration.hosts["a.example"][0].is_idempotent is is_idempotent


def edited(document, path, value):
    """Return a copy with the value set at the path; None removes the field."""
    document = copy.deepcopy(document)
    *parents, last = path
    item = document
    for key in parents:
        item = item[key]
    if value is None:
        del item[last]
    else:
        item[last] = value
    return document


def test_configuration_is_decoded():
    """Guards against a field that is decoded into the wrong attribute."""
    configuration = decode_configuration(json.dumps(CONFIGURATION))
    assert configuration.version == 7
    assert configuration.services["booking"].warmup_ms == 3000
    assert configuration.limits.idle_timeout_ms == 15000
    assert find_route(configuration, "a.example:80", "/look/x").name == "r1"
    deep = find_route(configuration, "a.EXAMPLE", "/look/deep/x")
    assert (deep.name, deep.is_idempotent) == ("r2", False)
    assert find_route(configuration, "a.example", "/lookup") is None
    assert find_route(configuration, "b.example", "/look/") is None


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("hosts", 0, "paths", 0, "service"), "nobody"),
        (("hosts", 0, "paths", 0, "timeoutMs"), 600_001),
        (("hosts", 0, "paths", 0, "timeoutMs"), 0),
        (("hosts", 0, "paths", 0, "timeoutMs"), None),
        (("hosts", 0, "paths", 0, "kind"), "sometimes"),
        (("hosts", 0, "paths", 0, "pathPrefix"), "look/"),
        (("hosts", 0, "paths", 1, "pathPrefix"), "/look/"),
        (("hosts", 0, "paths", 0, "trafficSplit"), []),
        (
            ("hosts", 0, "paths", 0, "trafficSplit"),
            [{"service": "booking", "weight": 0}],
        ),
        (("hosts", 0, "paths", 0, "trafficSplit"), [{"service": "booking"}]),
        (("services", 0, "name"), 5),
        (("services",), None),
        (("hosts",), {}),
        (("services", 0, "healthPath"), "/a b"),
        (("services", 0, "healthPath"), "/a\r\nx: y"),
        (("hosts", 0, "paths", 0, "name"), "\ud800"),
        (("version",), 10**20),
        (("version",), "7"),
        (("version",), None),
    ],
)
def test_invalid_configuration_is_refused(path, value):
    """Guards against an invalid configuration that comes into force.

    A route without a timeout was accepted in one earlier run.
    """
    with pytest.raises(DocumentError):
        decode_configuration(json.dumps(edited(CONFIGURATION, path, value)))


def test_unchanged_routes_of_the_next_version_are_the_same_objects():
    """Guards against decoding thousands of routes again for a change of one weight."""
    decode = configuration_decoder()
    document = large_configuration(200)
    first = run_at_once(decode(json.dumps(document)))
    document["hosts"][0]["paths"][0]["timeoutMs"] = 999
    second = run_at_once(decode(json.dumps(document)))
    routes, others = (
        {id(route) for host in c.hosts.values() for route in host}
        for c in (first, second)
    )
    assert len(others - routes) == 1


@pytest.mark.parametrize("text", ["", "[]", "7", json.dumps(CONFIGURATION)[:-40]])
def test_malformed_configuration_is_refused(text):
    """Guards against a truncated document or one that is no object."""
    with pytest.raises(DocumentError):
        decode_configuration(text)


def test_announcement_is_decoded():
    """Guards against a field that is decoded into the wrong attribute."""
    announcement = decode_announcement("i-1", json.dumps(ANNOUNCEMENT).encode())
    assert (announcement.host, announcement.port) == ("10.0.0.9", 8080)
    assert announcement.sort_key == (1_780_000_000_000, 4)
    assert not announcement.is_leaving
    assert announcement.warmup_left_ms == 500
    assert announcement.version == "v1"


def test_announcement_without_a_version_is_accepted():
    """Guards against refusing the endpoints of services that announce no version."""
    info = {k: v for k, v in ANNOUNCEMENT["info"].items() if k != "version"}
    body = json.dumps({**ANNOUNCEMENT, "info": info}).encode()
    assert decode_announcement("i-1", body).version == ""


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("address",), "nowhere"),
        (("address",), None),
        (("info",), None),
        (("info",), "booking"),
        (("info", "slots"), "4"),
        (("info", "service"), 4),
        (("info", "version"), 2),
        (("info", "version"), ["v2"]),
        (("info", "version"), "v" * 129),
        (("status",), []),
        (("status", "state"), "resting"),
        (("status", "sequence"), 4.5),
        (("status", "sequence"), True),
        (("born",), "yesterday"),
        (("born",), 10**20),
        (("status", "sequence"), 10**20),
        (("status", "warmupLeftMs"), 10**20),
        (("status", "warmupLeftMs"), 1e14),
        (("info", "slots"), 10**30),
        (("info", "service"), "s" * (1 << 20)),
        (("info", "zone"), "\ud800"),
        (("info", "zone"), "a\nevent=x"),
        (("address",), "10.0.0.9:70000"),
        (("address",), "10.0.0.9:0"),
        (("address",), "10.0.0.9:-1"),
        (("address",), "10.0.0.9:" + "9" * 5000),
        (("address",), "10.0.0.9:²"),
        (("address",), "10.0.0.9:\u0668\u0660"),
        (("address",), "10.0.0.9\n:80"),
        (("address",), "10.0.0\0.9:80"),
        (("address",), "example.org:80"),
        (("address",), "[fe80::1%" + "x" * 10 + "]:80"),
    ],
)
def test_invalid_announcement_is_refused(path, value):
    """Guards against adding an endpoint from an invalid announcement."""
    body = json.dumps(edited(ANNOUNCEMENT, path, value)).encode()
    with pytest.raises(DocumentError):
        decode_announcement("i-1", body)


@pytest.mark.parametrize(
    "endpoint_id", ["", "i" * 129, "i 1", "i\r\n", "i\0", "\ud800", "\xe9"]
)
def test_announcement_under_an_unusable_id_is_refused(endpoint_id):
    """Guards against an id that can't stand in a header or a line of the log."""
    with pytest.raises(DocumentError):
        decode_announcement(endpoint_id, json.dumps(ANNOUNCEMENT).encode())


@pytest.mark.parametrize(
    ("address", "host"),
    [
        ("[fd00::1]:80", "fd00::1"),
        ("fd00:0::1:80", "fd00::1"),
        ("10.0.0.9:80", "10.0.0.9"),
    ],
)
def test_address_is_decoded_in_its_usual_form(address, host):
    """Guards against one server that is known under two spellings of its address."""
    body = json.dumps({**ANNOUNCEMENT, "address": address}).encode()
    announcement = decode_announcement("i-1", body)
    assert (announcement.host, announcement.port) == (host, 80)


def test_undecodable_announcement_is_refused():
    """Guards against undecodable bytes that terminate the process."""
    with pytest.raises(DocumentError):
        decode_announcement("i-1", b"\xff\x00{")
