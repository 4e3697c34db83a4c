"""Commands of the replicated log, and their effect on announced endpoints."""

import json
import random
import tracemalloc
import zlib

import pytest

from pollenfold.core.agreement.log import MAX_COMMAND_BYTES
from pollenfold.core.command_encoding import (
    COMPRESS_ABOVE_BYTES,
    COMPRESSED_PREFIX,
    MAX_PLAIN_COMMAND_BYTES,
    CommandSizeError,
    decode_command,
    encode_command,
)
from pollenfold.core.registry import (
    Announcement,
    Registry,
    accepts_new_requests,
    decode_aged_announcement,
    decode_announcement,
    versions_by_id,
)
from pollenfold.core.replicated_state import (
    MAX_DEPARTURES,
    AdvanceRollout,
    Configure,
    Depart,
    Evacuate,
    ReplicatedState,
    StartRollout,
    decode_replicated_state,
)
from pollenfold.core.rollouts.state import RolloutStage
from pollenfold.testing.configurations import large_configuration


def announcement(endpoint_id="i-1", **changes):
    fields = {
        "endpoint_id": endpoint_id,
        "service": "s",
        "host": "10.0.0.1",
        "port": 80,
        "zone": "a",
        "slots": 4,
        "is_leaving": False,
        "warmup_left_ms": 0.0,
        "born_ms": 1000,
        "sequence": 1,
    }
    return Announcement(**{**fields, **changes})


@pytest.mark.parametrize(
    "command",
    [
        Configure(3, '{"x": 1}'),
        Evacuate("a", True),
        Depart("i-1", 5),
        StartRollout("s", "v2", 12_000, 1_780_000_000_000),
        AdvanceRollout("s", 7, RolloutStage.COMPLETED, 1.0, ("", "v1")),
    ],
)
def test_commands_survive_encoding(command):
    """Guards against a command that changes when it is encoded and decoded."""
    assert decode_command(encode_command(command)) == command


def plain_command(document):
    """Return a command as earlier versions encode it."""
    return json.dumps(["configure", 3, document], separators=(",", ":")).encode()


def test_command_that_earlier_versions_accept_is_encoded_as_they_do():
    """Guards against a replica of an earlier version that can't read a configuration
    which it accepts itself, and against one whose entries can't be read any more."""
    n_other_bytes = len(plain_command(""))
    document = "x" * (COMPRESS_ABOVE_BYTES - n_other_bytes)
    for text in ("{}", document):
        assert encode_command(Configure(3, text)) == plain_command(text)
    larger = encode_command(Configure(3, document + "x"))
    assert larger.startswith(COMPRESSED_PREFIX)
    assert decode_command(larger) == Configure(3, document + "x")
    assert decode_command(plain_command(document + "x")) == decode_command(larger)


def test_configuration_of_14000_routes_fits_into_an_entry():
    """Guards against a limit below the configurations that must be accepted."""
    document = json.dumps(large_configuration(14_000))
    encoded = encode_command(Configure(1, document))
    assert len(encoded) < MAX_COMMAND_BYTES / 2
    assert decode_command(encoded).document == document


def test_command_over_the_limits_is_refused():
    """Guards against a command that no log entry can hold, before or after its
    compression."""
    rng = random.Random(1)
    for document in (
        "x" * MAX_PLAIN_COMMAND_BYTES,
        rng.randbytes(MAX_COMMAND_BYTES).hex(),
    ):
        with pytest.raises(CommandSizeError):
            encode_command(Configure(1, document))


COMPRESSED = zlib.compress(plain_command("{}"))


@pytest.mark.parametrize(
    "compressed",
    [
        b"",
        b"\x00",
        COMPRESSED[:-1],
        COMPRESSED[:-1] + b"\xff",
        COMPRESSED + b"\x00",
        zlib.compress(b"[" * 100_000),
        zlib.compress(b"\xff"),
        zlib.compress(COMPRESSED_PREFIX + COMPRESSED),
    ],
)
def test_malformed_compressed_command_is_rejected(compressed):
    """Guards against a truncated or corrupt command that terminates the process."""
    with pytest.raises(ValueError):
        decode_command(COMPRESSED_PREFIX + compressed)


def test_decompression_is_bounded():
    """Guards against a small entry that takes up all memory when it is decompressed."""
    n_bytes = 64 * MAX_PLAIN_COMMAND_BYTES
    bomb = COMPRESSED_PREFIX + zlib.compress(bytes(n_bytes))
    tracemalloc.start()
    try:
        with pytest.raises(ValueError):
            decode_command(bomb)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 4 * MAX_PLAIN_COMMAND_BYTES


@pytest.mark.parametrize("command", [b"", b"\xff", b"[]", b'["configure", "3", 1]'])
def test_malformed_command_is_rejected(command):
    """Guards against a malformed command that terminates the process."""
    with pytest.raises(ValueError):
        decode_command(command)


def test_highest_version_is_in_force():
    """Guards against a configuration replaced by one of an older or equal version."""
    state = ReplicatedState()
    assert state.apply(1, Configure(5, "five"))
    assert not state.apply(2, Configure(5, "other five"))
    assert not state.apply(3, Configure(4, "four"))
    assert (state.version, state.document, state.index) == (5, "five", 3)


def test_replicated_state_survives_a_snapshot():
    """Guards against an acknowledged command whose effect a snapshot loses."""
    state = ReplicatedState()
    state.apply(1, Configure(5, "five"))
    state.apply(2, Evacuate("a", True))
    state.apply(3, Depart("i-1", 7))
    assert decode_replicated_state(state.encode()) == state


def test_departures_are_bounded():
    """Guards against replicated state that grows with every departure."""
    state = ReplicatedState()
    for number in range(MAX_DEPARTURES + 5):
        state.apply(number, Depart(f"i-{number}", 1))
    assert len(state.departures) == MAX_DEPARTURES
    assert state.has_departed(f"i-{MAX_DEPARTURES + 4}", 1)


def test_departure_applies_to_one_incarnation():
    """Guards against a late announcement that returns a departed endpoint to service,
    and against an endpoint that gets no requests after a restart under its old id."""
    state = ReplicatedState()
    state.apply(1, Depart("i-1", 1000))
    assert not accepts_new_requests(announcement(sequence=99), state)
    assert accepts_new_requests(announcement(born_ms=1001, sequence=1), state)


def test_evacuated_zone_gets_no_requests():
    """Guards against requests to endpoints of an evacuated zone."""
    state = ReplicatedState()
    state.apply(1, Evacuate("a", True))
    assert not accepts_new_requests(announcement(), state)
    state.apply(2, Evacuate("a", False))
    assert accepts_new_requests(announcement(), state)


def test_older_announcement_of_an_incarnation_is_ignored():
    """Guards against a delayed announcement that replaces a newer one."""
    registry = Registry()
    assert registry.merge(announcement(sequence=5, is_leaving=True), 0.0)
    assert not registry.merge(announcement(sequence=4), 1.0)
    assert registry.get("i-1").is_leaving


def test_sequence_restarts_with_a_later_incarnation():
    """Guards against ignoring a restarted endpoint because its sequence restarts."""
    registry = Registry()
    registry.merge(announcement(sequence=50), 0.0)
    assert registry.merge(announcement(sequence=1, born_ms=2000), 1.0)
    assert registry.get("i-1").born_ms == 2000


def test_address_belongs_to_the_endpoint_started_last():
    """Guards against an address that is assigned to an earlier endpoint by a delayed
    announcement."""
    registry = Registry()
    registry.merge(announcement("old", born_ms=1000), 0.0)
    assert registry.merge(announcement("new", born_ms=2000), 1.0)
    assert registry.get("old") is None
    assert not registry.merge(announcement("old", born_ms=1000, sequence=9), 2.0)
    assert registry.get("new") is not None


def test_endpoint_may_move_to_another_address():
    """Guards against an address that stays assigned to an endpoint after it moved."""
    registry = Registry()
    registry.merge(announcement(sequence=1), 0.0)
    registry.merge(announcement(sequence=2, port=81), 1.0)
    assert registry.merge(announcement("other", born_ms=500), 2.0)


def test_endpoints_without_announcements_expire():
    """Guards against keeping crashed endpoints indefinitely."""
    registry = Registry()
    registry.merge(announcement("quiet"), 0.0)
    registry.merge(announcement("alive", port=81), 0.0)
    registry.renew("alive", 500.0)
    registry.renew("nobody", 500.0)
    assert registry.expire(400.0) == ["quiet"]
    assert len(registry) == 1


def test_only_updates_are_distributed():
    """Guards against sending every heartbeat to every entry."""
    registry = Registry()
    registry.merge(announcement(warmup_left_ms=900.0), 0.0)
    assert not registry.merge(announcement(sequence=2, warmup_left_ms=400.0), 1.0)
    assert registry.merge(announcement(sequence=3, warmup_left_ms=0.0), 2.0)
    assert registry.merge(announcement(sequence=4, warmup_left_ms=3000.0), 3.0)


def test_announcement_survives_encoding():
    """Guards against fields that are decoded in a different order."""
    known = announcement(warmup_left_ms=12.5, is_leaving=True)
    assert decode_announcement(known.encode()) == known
    with pytest.raises(ValueError):
        decode_announcement(known.encode()[:-1])


@pytest.mark.parametrize("seed", range(20))
def test_subscriber_that_receives_differences_has_the_complete_state(seed):
    """Guards against a departure or configuration that a subscriber never receives,
    because it fetched updates in between or from a replica restored from a snapshot."""
    rng = random.Random(seed)
    state, subscriber = ReplicatedState(), ReplicatedState()
    for index in range(1, 200):
        command = rng.choice(
            [
                Depart(f"i-{rng.randrange(30)}", rng.randrange(5)),
                Evacuate(rng.choice("ab"), rng.random() < 0.5),
                Configure(index // 20, f"document {index // 20}"),
            ]
        )
        state.apply(index, command)
        if rng.random() < 0.1:
            state = decode_replicated_state(state.encode())
        if rng.random() < 0.3:
            fields = state.encode_since(subscriber.index, subscriber.version)
            subscriber = subscriber.merged(json.loads(json.dumps(fields)))
            assert subscriber == state


def test_only_a_changed_configuration_is_sent():
    """Guards against sending the complete configuration to every entry whenever an
    endpoint leaves."""
    state = ReplicatedState()
    state.apply(1, Configure(1, "x" * 50_000))
    subscriber = decode_replicated_state(state.encode())
    state.apply(2, Depart("i-1", 5))
    fields = state.encode_since(subscriber.index, subscriber.version)
    assert len(json.dumps(fields)) < 200
    assert subscriber.merged(fields) == state


def test_difference_to_a_missing_state_is_rejected():
    """Guards against a subscriber that accepts a difference as the complete state."""
    state = ReplicatedState()
    state.apply(5, Configure(1, "one"))
    with pytest.raises(ValueError):
        ReplicatedState().merged(state.encode_since(4, 0))
    with pytest.raises(KeyError):
        ReplicatedState().merged({**state.encode_since(0, 1), "since": 0})


def test_version_of_an_endpoint_is_sent_apart_from_its_announcement():
    """Guards against fields that processes of an earlier version don't accept."""
    sent = announcement(version="v2")
    assert sent.encode() == announcement().encode()
    received, _ = decode_aged_announcement([sent.encode(), 0], versions_by_id([sent]))
    assert received == sent


@pytest.mark.parametrize("version", [7, None, "v" * 129, ["v2"]])
def test_malformed_version_is_rejected(version):
    """Guards against a version that can't be encoded or compared."""
    with pytest.raises(ValueError, match="version"):
        decode_aged_announcement([announcement().encode(), 0], {"i-1": version})


def test_copy_without_a_version_does_not_hide_it():
    """Guards against a relay of an earlier version that removes an endpoint's version.

    The copy may arrive before or after the announcement itself, also with a higher
    sequence.
    """
    complete = announcement(version="v2")
    for announcements in (
        [announcement(), complete],
        [complete, announcement(sequence=2)],
        [announcement(sequence=2), complete],
    ):
        registry = Registry()
        for received in announcements:
            registry.merge(received, 0.0)
        assert registry.get("i-1").version == "v2"


def test_new_incarnation_has_its_own_version():
    """Guards against an endpoint that keeps the version from before its restart."""
    registry = Registry()
    registry.merge(announcement(version="v2"), 0.0)
    registry.merge(announcement(born_ms=2000), 0.0)
    assert registry.get("i-1").version == ""
