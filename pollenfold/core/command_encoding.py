"""Commands of the replicated log as bytes."""

from __future__ import annotations

import json
from reprlib import repr as short_repr
from typing import Any

from .agreement.log import MAX_COMMAND_BYTES
from .compression import compress, decompress
from .input_limits import is_magnitude, is_name, is_whole_number
from .replicated_state import (
    AdvanceRollout,
    Command,
    Configure,
    Depart,
    Evacuate,
    Order,
    StartRollout,
)
from .rollouts.state import MAX_DURATION_MS, decode_stage

MAX_PLAIN_COMMAND_BYTES = 4 << 20
"""The largest command before compression. It bounds what a replica decompresses, and
keeps a line with the replicated state below the limit of the feeds."""

COMPRESS_ABOVE_BYTES = 1 << 19
"""Earlier versions accept uncompressed commands up to this size, and no larger ones, so
whatever they accept stays readable for them."""

COMPRESSED_PREFIX = b"\x00zlib\x00"
"""The prefix of a compressed command; JSON doesn't start with these bytes."""

EVACUATE_PREFIX = b'["evacuate",'
START_ROLLOUT_PREFIX = b'["start_rollout",'


class CommandSizeError(ValueError):
    """A command is too large for the replicated log."""


def encode_command(command: Command) -> bytes:
    """Return the command as the bytes of a log entry, compressed if it is large.

    Raise CommandSizeError if it has more than ``MAX_PLAIN_COMMAND_BYTES``, or more
    than ``MAX_COMMAND_BYTES`` after compression.
    """
    match command:
        case Configure(version, document):
            fields: list[Any] = ["configure", version, document]
        case Evacuate(zone, is_out):
            fields = ["evacuate", zone, is_out]
        case Depart(endpoint_id, born_ms):
            fields = ["depart", endpoint_id, born_ms]
        case StartRollout(service, target_version, duration_ms, ordered_at_ms):
            fields = ["start_rollout", service, target_version]
            fields += [duration_ms, ordered_at_ms]
        case AdvanceRollout(service, order_index, stage, share, replaced_versions):
            fields = ["advance_rollout", service, order_index, stage.value, share]
            fields.append(list(replaced_versions))
    encoded = json.dumps(fields, separators=(",", ":")).encode()
    if len(encoded) > MAX_PLAIN_COMMAND_BYTES:
        raise CommandSizeError(
            f"expected a command of at most {MAX_PLAIN_COMMAND_BYTES} bytes, "
            f"got {len(encoded)}"
        )
    if len(encoded) <= COMPRESS_ABOVE_BYTES:
        return encoded
    compressed = COMPRESSED_PREFIX + compress(encoded)
    if len(compressed) > MAX_COMMAND_BYTES:
        raise CommandSizeError(
            f"expected a command of at most {MAX_COMMAND_BYTES} bytes after "
            f"compression, got {len(compressed)}"
        )
    return compressed


def is_order_on_same_subject(order: Order, encoded: bytes) -> bool:
    """Return whether an entry of the log is an order on the same zone or service."""
    # Configurations are large, so only what begins like an order is decoded.
    if not encoded.startswith((EVACUATE_PREFIX, START_ROLLOUT_PREFIX)):
        return False
    try:
        command = decode_command(encoded)
    except ValueError:
        return False
    match order, command:
        case Evacuate(zone), Evacuate(other):
            return zone == other
        case StartRollout(service), StartRollout(other):
            return service == other
    return False


def decode_command(command: bytes) -> Command:
    """Decode a command; raise ValueError if the bytes are not a valid command.

    A command within the log may exceed the limits of ``input_limits``: if replicas of
    an earlier version apply it, those of this version must do so too.
    """
    if command.startswith(COMPRESSED_PREFIX):
        compressed = command[len(COMPRESSED_PREFIX) :]
        command = decompress(compressed, MAX_PLAIN_COMMAND_BYTES)
    try:
        match json.loads(command):
            case ["configure", int(version), str(document)]:
                return Configure(version, document)
            case ["evacuate", str(zone), bool(is_out)]:
                return Evacuate(zone, is_out)
            case ["depart", str(endpoint_id), int(born_ms)]:
                return Depart(endpoint_id, born_ms)
            case ["start_rollout", *fields]:
                return _decode_start(fields)
            case ["advance_rollout", *fields]:
                return _decode_advance(fields)
    except (UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
    raise ValueError("expected a command of the replicated log")


def _decode_start(fields: list[Any]) -> StartRollout:
    match fields:
        case [service, target_version, duration_ms, ordered_at_ms] if (
            is_name(service)
            and is_name(target_version)
            and is_whole_number(duration_ms, MAX_DURATION_MS, 1)
            and is_whole_number(ordered_at_ms)
        ):
            return StartRollout(service, target_version, duration_ms, ordered_at_ms)
    raise ValueError(f"expected the order of a roll-out, got {short_repr(fields)}")


def _decode_advance(fields: list[Any]) -> AdvanceRollout:
    match fields:
        case [service, order_index, str(stage), share, list(versions), *_] if (
            is_name(service)
            and is_whole_number(order_index)
            and is_magnitude(share, 1.0)
            and all(isinstance(version, str) for version in versions)
        ):
            return AdvanceRollout(
                service, order_index, decode_stage(stage), float(share), tuple(versions)
            )
    raise ValueError(f"expected a stage of a roll-out, got {short_repr(fields)}")
