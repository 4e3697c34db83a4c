"""What a deployment calls the headers that callers and backend servers exchange."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..core.selection import ServerLoad
from ..http.messages import Response


@dataclass(frozen=True, slots=True)
class Dialect:
    """Header names in lower case, and the functions that read their values.

    ``deadline_ms`` says how long the sender waits. With ``expected_instance`` any
    other instance at the address refuses the request. ``not_executed`` marks an
    answer of a server that did not run the request, ``leaving`` with the value 1 any
    answer of a server that leaves. ``parse_load`` returns None for a
    value that it can't read. ``is_genuine`` tells whether a response of a backend
    server is its own whole answer.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    not_executed: bytes
    server_load: bytes
    instance: bytes
    warmup_left_ms: bytes
    leaving: bytes
    parse_load: Callable[[bytes], ServerLoad | None]
    is_genuine: Callable[[Response], bool]
