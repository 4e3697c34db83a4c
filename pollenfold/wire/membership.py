"""Encodes and decodes the messages that synchronize the endpoint table of entries."""

from __future__ import annotations

import sys
from array import array
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import capnp
from loguru import logger

from ..core.input_limits import (
    MAX_CONNECTIONS,
    MAX_SLOTS,
    MAX_TTL_MS,
    MIN_TTL_MS,
    is_ip_address,
    is_name,
    is_port,
    is_whole_number,
)
from ..core.membership import (
    N_BUCKETS,
    AgedEndpoint,
    Difference,
    Digest,
    Endpoint,
    WarmState,
)
from .schemas import MAX_TRAVERSAL_WORDS, load_schema

MAX_ENTRIES = 2500
"""Largest number of endpoints in one message; keeps it below the frame limit."""

_MAX_U32 = 0xFFFFFFFF
_MAX_COUNTER = (1 << 63) - 1


@dataclass(frozen=True, slots=True)
class Push:
    """Changed endpoints that the receiver merges.

    ``n_malformed`` is how many more the message had that can't be used.
    """

    entries: tuple[AgedEndpoint, ...]
    n_malformed: int = 0


@dataclass(frozen=True, slots=True)
class CopyRequest:
    """Requests a copy of the table, starting at a bucket."""

    from_bucket: int


@dataclass(frozen=True, slots=True)
class Copy:
    """One page of a copy of the table.

    ``next_bucket`` is the number of buckets after the last page.
    """

    entries: tuple[AgedEndpoint, ...]
    next_bucket: int
    is_ready: bool


Request = Push | Digest | CopyRequest
Response = Difference | Copy | None


def encode_request(request: Request) -> bytes:
    """Return the encoded request."""
    message = load_schema("membership").Request.new_message()
    if isinstance(request, Push):
        _write_entries(message.init("push", len(request.entries)), request.entries)
    elif isinstance(request, Digest):
        digest = message.init("digest")
        digest.fingerprints = _pack("Q", request.fingerprints)
        _write_heartbeats(digest, request.heartbeats)
    else:
        message.copyFrom = request.from_bucket
    return bytes(message.to_bytes())


def decode_request(data: bytes) -> Request:
    """Decode a request; raise ValueError when it is malformed."""
    try:
        with _open_message(load_schema("membership").Request, data) as message:
            which = str(message.which())
            if which == "push":
                entries = _read_entries(message.push)
                return Push(entries, len(message.push) - len(entries))
            if which == "digest":
                fingerprints = _unpack("Q", message.digest.fingerprints, N_BUCKETS)
                heartbeats = _read_heartbeats(message.digest, N_BUCKETS)
                return Digest(tuple(fingerprints), heartbeats)
            return CopyRequest(_checked_bucket(message.copyFrom))
    except capnp.KjException as error:
        raise ValueError(f"malformed membership request: {error}") from error


def encode_response(response: Response) -> bytes:
    """Return the encoded response; None acknowledges a push."""
    message = load_schema("membership").Response.new_message()
    if isinstance(response, Difference):
        difference = message.init("difference")
        difference.buckets = sum(1 << index for index in response.buckets)
        entries = difference.init("entries", len(response.entries))
        _write_entries(entries, response.entries)
        _write_heartbeats(difference, response.heartbeats)
    elif isinstance(response, Copy):
        copy = message.init("copy")
        _write_entries(copy.init("entries", len(response.entries)), response.entries)
        copy.nextBucket = response.next_bucket
        copy.isReady = response.is_ready
    else:
        message.acknowledged = None
    return bytes(message.to_bytes())


def decode_response(data: bytes) -> Response:
    """Decode a response; raise ValueError when it is malformed."""
    try:
        with _open_message(load_schema("membership").Response, data) as message:
            which = str(message.which())
            if which == "difference":
                return _read_difference(message.difference)
            if which == "copy":
                copy = message.copy
                next_bucket = _checked_bucket(copy.nextBucket)
                return Copy(_read_entries(copy.entries), next_bucket, copy.isReady)
            return None
    except capnp.KjException as error:
        raise ValueError(f"malformed membership response: {error}") from error


def _open_message(schema: Any, data: bytes) -> Any:
    return schema.from_bytes(data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS)


def _read_difference(message: Any) -> Difference:
    mask = message.buckets
    buckets = tuple(index for index in range(N_BUCKETS) if mask >> index & 1)
    heartbeats = _read_heartbeats(message, N_BUCKETS - len(buckets))
    return Difference(buckets, _read_entries(message.entries), heartbeats)


def _write_entries(target: Any, entries: Sequence[AgedEndpoint]) -> None:
    for item, entry in zip(target, entries, strict=True):
        endpoint = entry.endpoint
        item.service = endpoint.service
        item.host = endpoint.host
        item.port = endpoint.port
        item.zone = endpoint.zone
        item.incarnation = endpoint.incarnation
        item.heartbeat = endpoint.heartbeat
        item.ttlMs = int(endpoint.ttl_ms)
        item.slots = endpoint.slots
        item.connections = endpoint.connections
        item.isLeaving = endpoint.is_leaving
        item.isWarm = endpoint.warm.is_warm
        item.warmEpoch = endpoint.warm.epoch
        item.warmZoneVersion = endpoint.warm.zone_version
        item.ageMs = min(_MAX_U32, int(entry.age_ms))


def _read_entries(items: Any) -> tuple[AgedEndpoint, ...]:
    """Return the valid endpoints of a message; the others are logged and left out."""
    if len(items) > MAX_ENTRIES:
        raise ValueError(f"expected at most {MAX_ENTRIES} entries, got {len(items)}")
    entries = [_read_entry(item) for item in items]
    malformed = [entry for entry in entries if not _is_usable(entry.endpoint)]
    if malformed:
        first = malformed[0].endpoint
        logger.warning(
            "event=malformed_endpoints n={} service={!r:.80} endpoint={!r:.80}",
            len(malformed),
            first.service,
            first.name,
        )
    return tuple(entry for entry in entries if _is_usable(entry.endpoint))


def _is_usable(endpoint: Endpoint) -> bool:
    """Return whether an endpoint is within the limits of announcements."""
    return (
        is_name(endpoint.service)
        and is_ip_address(endpoint.host)
        and is_port(endpoint.port)
        and (not endpoint.zone or is_name(endpoint.zone))
        and is_whole_number(endpoint.incarnation, _MAX_COUNTER)
        and is_whole_number(endpoint.heartbeat, _MAX_COUNTER)
        and MIN_TTL_MS <= endpoint.ttl_ms <= MAX_TTL_MS
        and is_whole_number(endpoint.slots, MAX_SLOTS, 1)
        and is_whole_number(endpoint.connections, MAX_CONNECTIONS, 1)
    )


def _read_entry(item: Any) -> AgedEndpoint:
    warm = WarmState(item.warmEpoch, item.isWarm, item.warmZoneVersion)
    endpoint = Endpoint(
        service=item.service,
        host=item.host,
        port=item.port,
        zone=item.zone,
        incarnation=item.incarnation,
        heartbeat=item.heartbeat,
        ttl_ms=float(item.ttlMs),
        slots=item.slots,
        connections=item.connections,
        is_leaving=item.isLeaving,
        warm=warm,
    )
    return AgedEndpoint(endpoint, float(item.ageMs))


def _checked_bucket(bucket: int) -> int:
    """Return a valid bucket; ``N_BUCKETS`` is the one after the last page of a copy."""
    if bucket > N_BUCKETS:
        raise ValueError(f"expected a bucket up to {N_BUCKETS}, got {bucket}")
    return bucket


def _write_heartbeats(target: Any, heartbeats: Sequence[Sequence[int]]) -> None:
    target.sizes = _pack("H", [len(bucket) for bucket in heartbeats])
    target.heartbeats = _pack(
        "H", [counter for bucket in heartbeats for counter in bucket]
    )


def _read_heartbeats(source: Any, n_buckets: int) -> tuple[tuple[int, ...], ...]:
    sizes = _unpack("H", source.sizes, n_buckets)
    counters = _unpack("H", source.heartbeats, sum(sizes))
    result = []
    start = 0
    for size in sizes:
        result.append(tuple(counters[start : start + size]))
        start += size
    return tuple(result)


def _pack(type_code: str, values: Iterable[int]) -> bytes:
    packed = array(type_code, values)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed.tobytes()


def _unpack(type_code: str, data: bytes, n_values: int) -> array[int]:
    packed = array(type_code)
    if len(data) != n_values * packed.itemsize:
        raise ValueError(
            f"expected {n_values * packed.itemsize} bytes, got {len(data)}"
        )
    packed.frombytes(data)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed
