"""Operations behind the operator commands, without flag parsing and output."""

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
class AcceptedChange:
    """A change that was accepted, or that wasn't needed.

    ``change_id`` is None when the record already had the requested state.
    """

    revision: int
    change_id: str | None
    unknown_fields: tuple[str, ...] = ()


def new_change_id() -> str:
    """Return a unique change id."""
    return uuid.uuid4().hex


async def store_record(
    client: OperatorClient, fields: dict[str, Any], change_id: str
) -> Result[AcceptedChange, Failure]:
    """Store one record under the change id."""
    result = await client.post_record(encode_fields(fields), change_id)
    if result.is_error():
        return Error(_with_change_id(result.error, change_id))
    reply = result.ok
    if reply.error is not None:
        return Error(_with_change_id(_to_failure(reply), change_id))
    unknown = tuple(reply.body.get("unknown_fields", ()))
    return Ok(AcceptedChange(reply.body["revision"], change_id, unknown))


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
) -> Result[AcceptedChange, Failure]:
    """Set ``spec.state`` of a record and keep everything else in it.

    ``new_record`` is stored when there is no record yet. After a version conflict
    the write is retried only if the other change left the state as it was; where
    another operator changed the state, that change is kept and
    ``VERSION_CONFLICT`` is returned.
    """
    current = await read_record(client, kind, name)
    while True:
        if current.is_error():
            return Error(current.error)
        record, revision = current.ok
        if record is None and new_record is None:
            return Error(Failure(ErrorKind.NOT_FOUND, f"no {kind} record {name}"))
        if record is not None and record["spec"].get("state", "in") == state:
            return Ok(AcceptedChange(revision, None))
        new_version = _with_state(record, state) if record else dict(new_record or {})
        stored = await store_record(client, new_version, new_change_id())
        if stored.is_ok() or stored.error.kind is not ErrorKind.VERSION_CONFLICT:
            return stored
        current = await read_record(client, kind, name)
        if current.is_ok() and not _may_retry(record, current.ok[0], state):
            return stored


def _with_state(record: dict[str, Any], state: str) -> dict[str, Any]:
    spec = {**record["spec"], "state": state}
    return {**record, "version": record["version"] + 1, "spec": spec}


def _may_retry(
    before: dict[str, Any] | None, after: dict[str, Any] | None, state: str
) -> bool:
    """Return whether exactly one other change was stored, which kept the state.

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
    client: OperatorClient, change: AcceptedChange, wait_ms: float, clock: Clock
) -> Result[list[str], Failure]:
    """Wait until the change is in force; return the entries that still lack it.

    An empty list means that it is in force everywhere. ``["leader"]`` means that a
    new leader waits for the leases granted by its predecessor to expire.
    """
    deadline = add_ms(clock(), wait_ms)
    while True:
        result = await client.get(_progress_path(change))
        if result.is_error():
            return Error(result.error)
        reply = result.ok
        if reply.error is not None:
            return Error(_to_failure(reply))
        if _is_in_force(reply, change):
            return Ok([])
        if clock() >= deadline:
            return Ok(_entries_behind(reply))
        await curio.sleep(POLL_MS / 1000)


def _progress_path(change: AcceptedChange) -> str:
    if change.change_id is None:
        return "/v1/status?leader=true"
    return f"/v1/changes/{change.change_id}"


def _is_in_force(reply: Reply, change: AcceptedChange) -> bool:
    if "in_force" in reply.body:
        return bool(reply.body["in_force"])
    return bool(reply.body.get("in_force_revision", -1) >= change.revision)


def _entries_behind(reply: Reply) -> list[str]:
    entry_ids = reply.body.get("waiting_for")
    if entry_ids is None:
        entries = reply.body.get("entries", [])
        entry_ids = [entry["entry_id"] for entry in entries if entry["is_behind"]]
    return list(entry_ids) or ["leader"]


def _with_change_id(failure: Failure, change_id: str) -> Failure:
    """Add the change id, with which the change can be retried, to the failure."""
    detail = f"{failure.detail} change_id={change_id}".strip()
    return Failure(failure.kind, detail)


def _to_failure(reply: Reply) -> Failure:
    try:
        kind = ErrorKind(str(reply.error))
    except ValueError:
        kind = ErrorKind.UNREACHABLE
    return Failure(kind, str(reply.body.get("detail") or reply.body.get("text", "")))
