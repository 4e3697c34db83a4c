"""What the operator commands do, apart from reading flags and printing."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import curio
from expression import Error, Ok, Result

from ..core.clock import Clock, add_ms
from ..core.errors import ErrorKind, Failure
from ..records.parsing import encode_fields
from .client import OperatorClient, Reply

POLL_MS = 50.0

Print = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Accepted:
    """A change that was accepted, or a state that was there already.

    ``change_id`` is None in the second case.
    """

    revision: int
    change_id: str | None
    unknown_fields: tuple[str, ...] = ()


def new_change_id() -> str:
    """Return an id that no other change has."""
    return uuid.uuid4().hex


async def store_record(
    client: OperatorClient, fields: dict[str, Any], change_id: str
) -> Result[Accepted, Failure]:
    """Store one record under the change id."""
    result = await client.post_record(encode_fields(fields), change_id)
    if result.is_error():
        return Error(_with_change_id(result.error, change_id))
    reply = result.ok
    if reply.error is not None:
        return Error(_with_change_id(_to_failure(reply), change_id))
    unknown = tuple(reply.body.get("unknown_fields", ()))
    return Ok(Accepted(reply.body["revision"], change_id, unknown))


async def read_record(
    client: OperatorClient, kind: str, name: str
) -> Result[tuple[dict[str, Any] | None, int], Failure]:
    """Return the stored record or None, and the revision of the configuration."""
    path = f"/v1/records?kind={quote(kind)}&name={quote(name)}"
    result = await client.get(path)
    if result.is_error():
        return Error(result.error)
    reply = result.ok
    if reply.error is not None:
        return Error(_to_failure(reply))
    records = reply.body["records"]
    return Ok((records[0] if records else None, reply.body["revision"]))


async def set_state(
    client: OperatorClient,
    kind: str,
    name: str,
    state: str,
    new_record: dict[str, Any] | None = None,
) -> Result[Accepted, Failure]:
    """Set ``spec.state`` of a record and keep everything else in it.

    ``new_record`` is stored when there is no record yet. A conflict is tried again
    only when the other change left the state alone; where another operator changed
    the state, that decision stands and ``VERSION_CONFLICT`` is returned.
    """
    read = await read_record(client, kind, name)
    while True:
        if read.is_error():
            return Error(read.error)
        record, revision = read.ok
        if record is None and new_record is None:
            return Error(Failure(ErrorKind.NOT_FOUND, f"no {kind} record {name}"))
        if record is not None and record["spec"].get("state", "in") == state:
            return Ok(Accepted(revision, None))
        wanted = _with_state(record, state) if record else dict(new_record or {})
        stored = await store_record(client, wanted, new_change_id())
        if stored.is_ok() or stored.error.kind is not ErrorKind.VERSION_CONFLICT:
            return stored
        read = await read_record(client, kind, name)
        if read.is_ok() and not _may_retry(record, read.ok[0], state):
            return stored


def _with_state(record: dict[str, Any], state: str) -> dict[str, Any]:
    spec = {**record["spec"], "state": state}
    return {**record, "version": record["version"] + 1, "spec": spec}


def _may_retry(
    before: dict[str, Any] | None, after: dict[str, Any] | None, state: str
) -> bool:
    """Return whether one other change happened that doesn't concern the state.

    After several changes the state may have been changed and changed back.
    """
    if after is None:
        return False
    if after["spec"].get("state") == state:
        return True
    if before is None or after["version"] != before["version"] + 1:
        return False
    return bool(before["spec"].get("state") == after["spec"].get("state"))


async def wait_in_force(
    client: OperatorClient, accepted: Accepted, wait_ms: float, clock: Clock
) -> Result[list[str], Failure]:
    """Wait until the change is in force; return the entries that lack it by then.

    An empty list means that it is in force everywhere. ``["leader"]`` means that a
    new leader waits for the leases of its predecessor to end.
    """
    deadline = add_ms(clock(), wait_ms)
    while True:
        result = await client.get(_progress_path(accepted))
        if result.is_error():
            return Error(result.error)
        reply = result.ok
        if reply.error is not None:
            return Error(_to_failure(reply))
        if _is_in_force(reply, accepted):
            return Ok([])
        if clock() >= deadline:
            return Ok(_waiting_for(reply))
        await curio.sleep(POLL_MS / 1000)


def _progress_path(accepted: Accepted) -> str:
    if accepted.change_id is None:
        return "/v1/status?leader=true"
    return f"/v1/changes/{accepted.change_id}"


def _is_in_force(reply: Reply, accepted: Accepted) -> bool:
    if "in_force" in reply.body:
        return bool(reply.body["in_force"])
    return bool(reply.body.get("in_force_revision", -1) >= accepted.revision)


def _waiting_for(reply: Reply) -> list[str]:
    behind = reply.body.get("waiting_for")
    if behind is None:
        entries = reply.body.get("entries", [])
        behind = [entry["entry_id"] for entry in entries if entry["is_behind"]]
    return list(behind) or ["leader"]


def _with_change_id(failure: Failure, change_id: str) -> Failure:
    """Return the failure with the id under which the change can be sent again."""
    detail = f"{failure.detail} change_id={change_id}".strip()
    return Failure(failure.kind, detail)


def _to_failure(reply: Reply) -> Failure:
    try:
        kind = ErrorKind(str(reply.error))
    except ValueError:
        kind = ErrorKind.UNREACHABLE
    return Failure(kind, str(reply.body.get("detail") or reply.body.get("text", "")))
