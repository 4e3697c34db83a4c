"""HTTP client for the operator interface of the control replicas."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import curio
from expression import Error, Ok, Result

from ..control.operators import CHANGE_ID_HEADER
from ..core.clock import Clock, add_ms
from ..core.errors import ErrorKind, Failure
from ..http.client import HttpConnection
from ..settings.models import Address, parse_address

EXCHANGE_TIMEOUT_MS = 1500.0
"""Longer than the time after which a replica reports an unknown outcome. A leader
that hangs delays a command for this time; then the next replica is tried."""

CONNECT_TIMEOUT_MS = 500.0
"""Limits the delay from a replica behind a network partition that drops packets."""

RETRY_MS = 100.0

_RETRYABLE_ERRORS = {
    ErrorKind.NOT_LEADER.value,
    ErrorKind.NOT_READY.value,
    ErrorKind.NO_QUORUM.value,
}
"""Errors after which the request is retried. A retry can't apply a change twice,
because each change carries an id."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and JSON body of a response."""

    status: int
    body: dict[str, Any]

    @property
    def error(self) -> str | None:
        """The error kind, or None for a success."""
        return None if self.status == 200 else str(self.body.get("error", self.status))

    def describe(self) -> str:
        """Return the error as one line."""
        text = self.body.get("detail") or self.body.get("text") or ""
        return f"{self.error}: {text}" if text else str(self.error)


class OperatorClient:
    """Sends requests to the leader of the control replicas.

    ``addresses`` are operator addresses. A request is retried, on the other replicas
    too, until ``timeout_ms`` has passed.
    """

    def __init__(
        self, addresses: list[Address], token: str, clock: Clock, timeout_ms: float
    ) -> None:
        self._addresses = addresses
        self._token = token
        self._clock = clock
        self._timeout_ms = timeout_ms

    async def get(self, path: str) -> Result[Reply, Failure]:
        """Read from the leader."""
        return await self._request(b"GET", path, [], b"")

    async def post_record(
        self, record: bytes, change_id: str
    ) -> Result[Reply, Failure]:
        """Store a record; a retry with the same id gets the first response."""
        headers = [(CHANGE_ID_HEADER, change_id.encode())]
        return await self._request(b"POST", "/v1/records", headers, record)

    async def read_entry(self, address: Address) -> Result[Reply, Failure]:
        """Read the status of one entry from its platform port, without a retry."""
        return await self._exchange(address, b"GET", "/v1/status", [], b"")

    async def _request(
        self,
        method: bytes,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> Result[Reply, Failure]:
        deadline = add_ms(self._clock(), self._timeout_ms)
        failure = Failure(ErrorKind.UNREACHABLE, "no control replica to connect to")
        while True:
            pending = list(self._addresses)
            tried: set[Address] = set()
            while pending:
                address = pending.pop(0)
                if address in tried:
                    continue
                tried.add(address)
                result = await self._exchange(address, method, path, headers, body)
                if result.is_error():
                    failure = result.error
                    continue
                reply = result.ok
                if reply.error not in _RETRYABLE_ERRORS:
                    return Ok(reply)
                failure = Failure(ErrorKind(reply.error), reply.describe())
                leader = _read_leader(reply)
                if leader is not None:
                    pending.insert(0, leader)
            if self._clock() >= deadline:
                return Error(failure)
            await curio.sleep(RETRY_MS / 1000)

    async def _exchange(
        self,
        address: Address,
        method: bytes,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> Result[Reply, Failure]:
        host, port = address
        name = f"{host}:{port}"
        all_headers = [
            (b"host", name.encode()),
            (b"authorization", b"Bearer " + self._token.encode()),
            *headers,
        ]
        try:
            async with curio.timeout_after(EXCHANGE_TIMEOUT_MS / 1000):
                async with curio.timeout_after(CONNECT_TIMEOUT_MS / 1000):
                    connection = await HttpConnection.open(host, port)
                try:
                    result = await connection.exchange(
                        method, path.encode(), all_headers, body
                    )
                finally:
                    await connection.close()
        except (OSError, curio.TaskTimeout) as error:
            detail = f"{name}: {error or 'no response in time'}"
            return Error(Failure(ErrorKind.UNREACHABLE, detail))
        if result.is_error():
            detail = f"{name}: {result.error.value}"
            return Error(Failure(ErrorKind.UNREACHABLE, detail))
        try:
            value = json.loads(result.ok.body)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            detail = f"{name}: expected a JSON object"
            return Error(Failure(ErrorKind.UNREACHABLE, detail))
        return Ok(Reply(result.ok.status, value))


def _read_leader(reply: Reply) -> Address | None:
    leader = reply.body.get("leader")
    try:
        return parse_address(leader) if isinstance(leader, str) else None
    except ValueError:
        return None
