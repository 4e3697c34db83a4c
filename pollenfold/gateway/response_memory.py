"""A bound on what all responses under way hold in the memory of an entry.

The bound holds for any number of callers, backend servers and slow readers. Beyond it,
no further bytes of a long response are read until another one has ended. Its bytes stay
with the server, and the deadline of its call still counts. A few responses of an
endpoint may wait like that; further ones are given up.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import curio

from ..core.receive_memory import DEFAULT_MEMORY_BYTES

UNRESERVED_BYTES = 16 * 1024
"""Bodies up to this size, which most responses have, need no reservation."""

COPIES = 2
"""The body, and the bytes written to the caller, exist at the same time."""

MEMORY_SHARE = 0.25
"""The part of the memory of the process that responses under way may take."""

ENDPOINT_SHARE = 0.125
"""The part of the bound that responses of one endpoint may take, so that a few faulty
ones can't hold up the long responses of all others."""

POLL_MS = 5.0


def _wait_on() -> None:
    """Do nothing; stands for a missing ``on_full``."""


class NoMemoryError(Exception):
    """A response can't wait for memory, since too many of its endpoint do already.

    Each of them holds a connection to the endpoint, which other requests need.
    """


class ResponseMemory:
    """The bytes that all responses may reserve together.

    A reservation is returned when its last reference is dropped: a response may end in
    many places, and one of them that forgot it would shrink the bound for ever.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._n_reserved_by_endpoint: Counter[object] = Counter()
        self.n_reserved_bytes = 0
        self._n_waiting_by_endpoint: Counter[object] = Counter()
        self.on_full: Callable[[], None] = _wait_on
        """Called again and again while a response waits."""

    def set_process_limit(self, process_bytes: int) -> None:
        """Derive the bound from the memory limit of the process."""
        self._max_bytes = int(process_bytes * MEMORY_SHARE)

    async def reserve(
        self, endpoint: object, n_bytes: int, max_waiting: int | None = None
    ) -> Reservation:
        """Wait until the bytes are free, and return them as a reservation.

        A single response always fits into an unused bound. Raise NoMemoryError if
        ``max_waiting`` responses of the endpoint wait already.
        """
        if not self._has_room(endpoint, n_bytes):
            await self._wait_for_room(endpoint, n_bytes, max_waiting)
        return Reservation(self, endpoint, n_bytes)

    async def _wait_for_room(
        self, endpoint: object, n_bytes: int, max_waiting: int | None
    ) -> None:
        n_waiting = self._n_waiting_by_endpoint[endpoint]
        if max_waiting is not None and n_waiting >= max_waiting:
            raise NoMemoryError
        self._n_waiting_by_endpoint[endpoint] += 1
        try:
            while not self._has_room(endpoint, n_bytes):
                self.on_full()
                await curio.sleep(POLL_MS / 1000)
        finally:
            self._n_waiting_by_endpoint[endpoint] -= 1
            if not self._n_waiting_by_endpoint[endpoint]:
                del self._n_waiting_by_endpoint[endpoint]

    def _has_room(self, endpoint: object, n_bytes: int) -> bool:
        of_endpoint = self._n_reserved_by_endpoint[endpoint]
        if of_endpoint and of_endpoint + n_bytes > self._max_bytes * ENDPOINT_SHARE:
            return False
        n_reserved = self.n_reserved_bytes
        return not n_reserved or n_reserved + n_bytes <= self._max_bytes

    def add(self, endpoint: object, n_bytes: int) -> None:
        """Count bytes of an endpoint's response, or return them if negative."""
        self.n_reserved_bytes += n_bytes
        self._n_reserved_by_endpoint[endpoint] += n_bytes
        if not self._n_reserved_by_endpoint[endpoint]:
            del self._n_reserved_by_endpoint[endpoint]


class Reservation:
    """Bytes of one response, returned when the object is dropped."""

    __slots__ = ("_memory", "_endpoint", "_n_bytes")

    def __init__(self, memory: ResponseMemory, endpoint: object, n_bytes: int) -> None:
        self._memory = memory
        self._endpoint = endpoint
        self._n_bytes = n_bytes
        memory.add(endpoint, n_bytes)

    def __del__(self) -> None:
        self._memory.add(self._endpoint, -self._n_bytes)


RESPONSE_MEMORY = ResponseMemory(int(DEFAULT_MEMORY_BYTES * MEMORY_SHARE))
"""The bound of this process."""
