"""Replicates the endpoint table among the entries by gossip."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol as Interface

import curio
from expression import Result
from loguru import logger

from ..core.clock import Clock
from ..core.errors import ErrorKind
from ..core.membership import (
    N_BUCKETS,
    AgedEndpoint,
    Difference,
    Digest,
    Endpoint,
    EndpointTable,
)
from ..wire.frames import Protocol
from ..wire.membership import (
    Copy,
    CopyRequest,
    Push,
    Response,
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)

EXCHANGE_INTERVAL_MS = 1000.0

CALL_TIMEOUT_MS = 500.0
"""Response timeout of one peer; half the interval, so exchanges do not accumulate."""

COPY_DEADLINE_MS = 3000.0
"""A starting entry reports ready without a copied table after this time, so that a
fleet in which no entry responds can still start. Its endpoints are cold then."""

MAX_PUSH_ENTRIES = 500
"""Endpoints in one push, about 90 KB."""

MAX_COPY_ENTRIES = 1000
"""Number of endpoints after which a page of a copy ends."""


class Peer(Interface):
    """The interface of a peer's client, implemented by ``wire.rpc.RpcClient``."""

    async def call(
        self, protocol: Protocol, payload: bytes, timeout_ms: float
    ) -> Result[bytes, ErrorKind]:
        """Send one request and wait for the response."""
        ...


@dataclass(frozen=True, slots=True)
class PushResult:
    """How many peers acknowledged a push."""

    n_peers: int
    n_acknowledged: int

    @property
    def is_complete(self) -> bool:
        """Whether every peer acknowledged."""
        return self.n_acknowledged == self.n_peers


class Gossip:
    """Synchronises the table of this entry with those of its peers.

    ``peers`` returns the other live entries by id, or None while no directory is
    known. ``is_ready`` becomes true once the table was copied from a peer, or when
    there is no peer to copy from.
    """

    def __init__(
        self,
        table: EndpointTable,
        peers: Callable[[], Mapping[str, Peer] | None],
        clock: Clock,
        seed: int,
    ) -> None:
        self._table = table
        self._peers = peers
        self._clock = clock
        self._random = random.Random(seed)
        self.is_ready = False

    async def run(self) -> None:
        """Copy the table from a peer, then exchange digests once a second."""
        await self.copy_from_peers()
        while True:
            await curio.sleep(EXCHANGE_INTERVAL_MS / 1000)
            for endpoint in self._table.expire(self._clock()):
                logger.info(
                    "event=endpoint_expired service={} endpoint={} incarnation={}",
                    endpoint.service,
                    endpoint.name,
                    endpoint.incarnation,
                )
            await self.exchange()

    async def push(self, entries: Sequence[Endpoint]) -> PushResult:
        """Send changed endpoints to all peers concurrently."""
        peers = list((self._peers() or {}).values())
        aged = [AgedEndpoint(endpoint) for endpoint in entries]
        payloads = [
            encode_request(Push(tuple(aged[start : start + MAX_PUSH_ENTRIES])))
            for start in range(0, len(aged), MAX_PUSH_ENTRIES)
        ]
        if not peers or not payloads:
            return PushResult(len(peers), len(peers))
        async with curio.TaskGroup(wait=all) as group:
            for peer in peers:
                await group.spawn(self._push_to, peer, payloads)
        return PushResult(len(peers), sum(group.results))

    async def exchange(self) -> None:
        """Exchange digests with one random peer."""
        peers = self._peers()
        if not peers:
            return
        peer = peers[self._random.choice(sorted(peers))]
        sent = self._table.digest()
        response = await self._call(peer, encode_request(sent))
        if not isinstance(response, Difference):
            return
        now = self._clock()
        self._table.renew_from_difference(sent, response, now)
        received = {entry.endpoint for entry in response.entries}
        self._merge(response.entries)
        missing = [
            entry
            for entry in self._table.entries(now, response.buckets)
            if entry.endpoint not in received
        ]
        for start in range(0, len(missing), MAX_PUSH_ENTRIES):
            batch = tuple(missing[start : start + MAX_PUSH_ENTRIES])
            await self._call(peer, encode_request(Push(batch)))

    async def handle(self, payload: bytes) -> bytes:
        """Respond to a peer; raise ValueError for a malformed message."""
        request = decode_request(payload)
        if isinstance(request, Push):
            self._merge(request.entries)
            if request.n_malformed:
                # An acknowledgement would state that this entry knows all of them.
                raise ValueError(f"malformed endpoints: {request.n_malformed}")
            return encode_response(None)
        now = self._clock()
        if isinstance(request, Digest):
            self._table.renew(request, now)
            return encode_response(self._table.difference(request, now))
        return encode_response(self._copy_page(request.from_bucket))

    async def copy_from_peers(self) -> None:
        """Copy the table of a peer, then report ready.

        A peer that is not ready itself counts only when no ready peer responds.
        """
        deadline = self._clock() + COPY_DEADLINE_MS
        while True:
            peers = self._peers()
            if peers is not None:
                results = [
                    await self._copy_from(peers[peer_id])
                    for peer_id in self._random.sample(sorted(peers), len(peers))
                    if not self.is_ready
                ]
                if all(result is not None for result in results):
                    # All peers were copied, so none has more endpoints.
                    self.is_ready = True
                elif self._clock() >= deadline:
                    logger.warning("event=table_copy_missing n_peers={}", len(peers))
                    self.is_ready = True
            if self.is_ready:
                return
            await curio.sleep(0.05)

    async def _copy_from(self, peer: Peer) -> bool | None:
        """Copy a peer's table; return its readiness, or None for an incomplete copy."""
        bucket = 0
        is_ready = True
        while bucket < N_BUCKETS:
            response = await self._call(peer, encode_request(CopyRequest(bucket)))
            if not isinstance(response, Copy) or response.next_bucket <= bucket:
                return None
            self._merge(response.entries)
            bucket = response.next_bucket
            is_ready = is_ready and response.is_ready
        self.is_ready = self.is_ready or is_ready
        return is_ready

    def _copy_page(self, from_bucket: int) -> Copy:
        entries: list[AgedEndpoint] = []
        bucket = from_bucket
        while bucket < N_BUCKETS and len(entries) < MAX_COPY_ENTRIES:
            entries.extend(self._table.entries(self._clock(), (bucket,)))
            bucket += 1
        return Copy(tuple(entries), bucket, self.is_ready)

    def _merge(self, entries: Sequence[AgedEndpoint]) -> None:
        now = self._clock()
        for entry in entries:
            self._table.merge(entry.endpoint, now, entry.age_ms)

    async def _push_to(self, peer: Peer, payloads: Sequence[bytes]) -> bool:
        for payload in payloads:
            result = await peer.call(Protocol.MEMBERSHIP, payload, CALL_TIMEOUT_MS)
            if result.is_error():
                return False
        return True

    async def _call(self, peer: Peer, payload: bytes) -> Response:
        """Return the response, or None for no response or a malformed one."""
        result = await peer.call(Protocol.MEMBERSHIP, payload, CALL_TIMEOUT_MS)
        if result.is_error():
            return None
        try:
            return decode_response(result.ok)
        except ValueError as error:
            logger.warning("event=bad_membership_response error={!r}", str(error))
            return None
