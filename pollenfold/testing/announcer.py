"""Sends the announcements of a fake backend server to the entries' platform ports."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import curio
from loguru import logger

from ..http.client import HttpConnection
from .counts import Counts

ATTEMPT_TIMEOUT_S = 0.5
"""Timeout of one attempt, so that an entry that hangs doesn't stop the heartbeat."""


class Announcer:
    """Announces at a fixed interval, to the addresses in round-robin order.

    ``describe`` returns the announcement without its heartbeat. If an entry can't be
    reached or rejects the announcement, the next address is tried in the same round.
    """

    def __init__(
        self,
        addresses: list[str],
        interval_ms: float,
        describe: Callable[[], dict[str, Any]],
        counts: Counts,
    ) -> None:
        self._addresses = [_split_address(address) for address in addresses]
        self._interval_s = interval_ms / 1000
        self._describe = describe
        self._counts = counts
        self._next_index = 0
        self._heartbeat = 0

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            await self.announce()
            await curio.sleep(self._interval_s)

    async def announce(self) -> bool:
        """Announce once; return whether an entry accepted."""
        self._heartbeat += 1
        body = json.dumps({**self._describe(), "heartbeat": self._heartbeat}).encode()
        for _ in self._addresses:
            host, port = self._addresses[self._next_index % len(self._addresses)]
            self._next_index += 1
            if await _post(host, port, body):
                self._counts.n_announced += 1
                return True
            self._counts.n_announcements_failed += 1
            logger.debug("event=announcement_failed entry={}:{}", host, port)
        return False


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


async def _post(host: str, port: int, body: bytes) -> bool:
    headers = [
        (b"host", f"{host}:{port}".encode()),
        (b"content-type", b"application/json"),
        (b"connection", b"close"),
    ]
    try:
        async with curio.timeout_after(ATTEMPT_TIMEOUT_S):
            connection = await HttpConnection.open(host, port)
            try:
                result = await connection.exchange(
                    b"POST", b"/v1/announcements", headers, body
                )
            finally:
                await connection.close()
    except (OSError, curio.TaskTimeout):
        return False
    return result.is_ok() and result.ok.status < 300
