"""Valid and invalid JSON records of both schema versions."""

import json

import pytest

from pollenfold.core.errors import ErrorKind
from pollenfold.core.records import RequestClass
from pollenfold.records.parsing import MAX_RECORD_BYTES, parse_record


def record(kind="service", name="booking", schema_version=1, version=1, **spec):
    if kind == "service":
        spec = {"tenant": "khanom", "path_prefix": "/booking", **spec}
    fields = {
        "schema_version": schema_version,
        "kind": kind,
        "name": name,
        "version": version,
        "spec": spec,
    }
    return json.dumps(fields).encode()


@pytest.mark.parametrize(
    "data, field, value, expected",
    [
        (record(timeout_ms=-5), "spec.timeout_ms", "-5", "greater than"),
        (record(timeout_ms="1"), "spec.timeout_ms", "'1'", "number"),
        (record(queue_limit=True), "spec.queue_limit", "True", "integer"),
        (record(retry_ratio=1.5), "spec.retry_ratio", "1.5", "less than"),
        (record(cold_slots=5), "spec", "{", "at most slots_per_endpoint"),
        (record(tenant=None), "spec.tenant", "None", "string"),
        (record(path_prefix="shop"), "spec.path_prefix", "'shop'", "pattern"),
        (
            record(rules=[{"methods": ["GET"], "class": "safe"}]),
            "spec.rules.0.class",
            "'safe'",
            "'idempotent'",
        ),
        (record("zone", "a", state="gone"), "spec.state", "'gone'", "'in' or 'out'"),
        (record("fleet", "default", max_entries=0), "max_entries", "0", "greater"),
        (record("fleet", "other"), "record", "{", "name 'default'"),
        (record("endpoint", "10.0.0.1", service="a"), "record", "{", "ip:port"),
        (record("endpoint", "1.2.3.4:0", service="a"), "record", "{", "ip:port"),
        (record("endpoint", "1.2.3.4:80"), "spec.service", "missing", "a value"),
        (record(schema_version=3), "schema_version", "3", "less than or equal to 2"),
        (record(version=0), "version", "0", "greater than or equal to 1"),
        (record("region", "a"), "kind", "'region'", "'service'"),
        (record(name="a b"), "name", "'a b'", "without spaces"),
        (b"{", "", "b'{'", "a JSON object"),
        (b"[]", "", "b'[]'", "a JSON object"),
        (b'{"version": NaN}', "", "NaN", "a JSON object"),
        (b"\xff\xfe\x00", "", "xff", "a JSON object"),
        (b"[" * 50_000, "", "nested", "fewer levels"),
        (b" " * (MAX_RECORD_BYTES + 1), "", "65537 bytes", "at most 65536"),
    ],
)
def test_bad_record_names_field_value_and_expectation(data, field, value, expected):
    """Guards against an invalid record that is accepted or reported vaguely."""
    failure = parse_record(data).error
    assert failure.kind is ErrorKind.BAD_RECORD
    assert field in failure.detail
    assert value in failure.detail
    assert expected in failure.detail


@pytest.mark.parametrize("schema_version", [1, 2])
def test_both_schema_versions_give_the_same_spec(schema_version):
    """Guards against versions that give different specs during a rollout."""
    rules = [{"methods": ["GET"], "path_prefix": "/status", "class": "idempotent"}]
    parsed = parse_record(record(schema_version=schema_version, rules=rules)).ok
    assert parsed.spec.timeout_ms == 2000
    assert parsed.spec.rules[0].request_class is RequestClass.IDEMPOTENT
    assert parsed.unknown_fields == ()
    zone = parse_record(record("zone", "a", schema_version, version=7)).ok
    assert (zone.spec.is_in_service, zone.spec.version) == (True, 7)


def test_unknown_fields_are_kept_and_named():
    """Guards against an older process that drops fields of a later schema."""
    data = json.loads(
        record(weight=3, rules=[{"methods": ["GET"], "class": "idempotent", "x": 1}])
    )
    data["owner"] = {"team": "é"}
    parsed = parse_record(json.dumps(data).encode()).ok
    assert parsed.unknown_fields == ("owner", "spec.weight", "spec.rules.0.x")
    assert json.loads(parsed.encode()) == data


def test_stored_record_of_a_later_schema_is_read():
    """Guards against an entry that rejects a record of a newer control replica."""
    data = record("zone", "a", schema_version=9, state="out", later=True)
    assert parse_record(data).is_error()
    assert not parse_record(data, is_stored=True).ok.spec.is_in_service


def test_schema_2_adds_optional_fields():
    """Guards against a field of schema 2 that is stored without validation."""
    data = record(schema_version=2, description="bookings", contact="team")
    assert parse_record(data).ok.unknown_fields == ()
    assert (
        "spec.description"
        in parse_record(record(schema_version=2, description=1)).error.detail
    )


def test_encoding_does_not_depend_on_the_order_of_keys():
    """Guards against a retry that is treated as a different record."""
    data = json.loads(record())
    reordered = json.dumps(dict(reversed(data.items()))).encode()
    assert parse_record(reordered).ok.encode() == parse_record(record()).ok.encode()
