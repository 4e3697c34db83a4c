"""The deployment's names for the headers of callers and backend servers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..core.balancing.selection import ServerLoad
from ..http.messages import Response, find_header


@dataclass(frozen=True, slots=True)
class Dialect:
    """Header names in lower case, and the functions that parse their values.

    ``deadline_ms`` is how long the sender waits. ``expected_instance`` names the
    instance that may execute the request; any other instance at the address refuses
    it. ``not_executed`` marks a response of a server that did not execute the request,
    ``leaving`` with the value 1 any response of a server that is leaving.
    ``declared_limit`` in any response is the number of requests per second that the
    server takes from all entries together.
    ``credentials`` name the headers that identify a caller. ``api_key`` is the one with
    the key of a tenant, and ``tenant`` the one with the tenant's name that an endpoint
    gets; both have their meaning only if the configuration has tenants.
    ``parse_load`` returns None for a malformed value. ``is_genuine`` returns whether a
    response was produced by the backend server itself and is complete.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    not_executed: bytes
    server_load: bytes
    instance: bytes
    warmup_left_ms: bytes
    leaving: bytes
    declared_limit: bytes
    credentials: tuple[bytes, ...]
    api_key: bytes
    tenant: bytes
    parse_load: Callable[[bytes], ServerLoad | None]
    is_genuine: Callable[[Response], bool]

    def is_marked_not_executed(self, response: Response) -> bool:
        """Return whether the server states that it didn't execute the request.

        Another instance at the address says so by the status 421 alone.
        """
        if response.status == 421:
            return True
        return find_header(response.headers, self.not_executed) is not None
