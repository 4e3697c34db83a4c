"""The HTTP interface for operators, with a bearer token."""

from __future__ import annotations

import hmac
import json
import re
import secrets
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from expression import Result
from loguru import logger

from ..core.configuration import Change, ChangeResult
from ..core.errors import ErrorKind, Failure
from ..core.records import FleetSpec, RecordKind, ServiceSpec
from ..http.messages import Request, Response, error_response, json_response
from ..records.parsing import ParsedRecord, parse_record
from .state import ControlState, Leadership

PROPOSE_TIMEOUT_MS = 1000.0
"""After this time the outcome is reported as unknown. A leader that lost its majority
has stepped down by then, so the change can be retried at its successor."""

CHANGE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
CHANGE_ID_HEADER = b"pollenfold-change-id"

ListRequests = Callable[[], Awaitable[Result[list[dict[str, Any]], Failure]]]
"""Returns the unresolved claims of the ledger."""


class OperatorInterface:
    """Handles the requests of operators.

    ``leader_address`` returns the operator address ``host:port`` of the leader, or
    None while it is unknown. ``list_requests`` is None without a ledger.
    """

    def __init__(
        self,
        state: ControlState,
        replica_id: str,
        zone: str,
        token: str,
        leader_address: Callable[[], Awaitable[str | None]],
        list_requests: ListRequests | None = None,
    ) -> None:
        self._state = state
        self._replica_id = replica_id
        self._zone = zone
        self._authorization = b"Bearer " + token.encode()
        self._leader_address = leader_address
        self._list_requests = list_requests

    async def handle(self, request: Request) -> Response:
        """Respond to one request."""
        authorization = request.header(b"authorization") or b""
        if not hmac.compare_digest(authorization, self._authorization):
            logger.warning("event=operator_unauthorized peer={}", request.peer)
            return error_response(ErrorKind.UNAUTHORIZED, "expected a bearer token")
        path = request.path
        if path == "/v1/records" and request.method == b"POST":
            return await self._post_record(request)
        if request.method != b"GET":
            detail = f"{request.method.decode('latin-1')} {path} is not supported"
            return error_response(ErrorKind.NOT_FOUND, detail)
        if path == "/v1/status":
            if b"leader=true" in request.target and self._state.leadership() is None:
                return await self._redirect_to_leader()
            return await self._get_status()
        if path == "/v1/requests":
            return await self._get_requests()
        leadership = self._state.leadership()
        if path == "/v1/records":
            return (
                await self._redirect_to_leader()
                if leadership is None
                else self._get_records(request)
            )
        if path.startswith("/v1/changes/"):
            change_id = path.removeprefix("/v1/changes/")
            if leadership is None:
                return await self._redirect_to_leader()
            return self._get_change(leadership, change_id)
        return error_response(ErrorKind.NOT_FOUND, path)

    async def _post_record(self, request: Request) -> Response:
        leadership = self._state.leadership()
        if leadership is None:
            return await self._redirect_to_leader()
        header = request.header(CHANGE_ID_HEADER)
        change_id = (
            secrets.token_hex(16) if header is None else header.decode("latin-1")
        )
        if not CHANGE_ID.fullmatch(change_id):
            detail = f"Pollenfold-Change-Id: expected {CHANGE_ID.pattern}"
            return error_response(ErrorKind.BAD_REQUEST, detail)
        parsed = parse_record(request.body)
        if parsed.is_error():
            return _error(parsed.error.kind, parsed.error.detail, change_id=change_id)
        record = parsed.ok
        if change_id not in self._state.configuration.results:
            # A retry returns the first outcome even if other records changed since.
            problem = self._find_conflict(record, leadership)
            if problem is not None:
                return _error(ErrorKind.BAD_RECORD, problem, change_id=change_id)
        result = await self._state.submit(
            Change(change_id, record.encode()), PROPOSE_TIMEOUT_MS
        )
        if result.is_error():
            if result.error is ErrorKind.NOT_LEADER:
                return await self._redirect_to_leader()
            return _error(result.error, "", change_id=change_id)
        self._log_change(result.ok, record, request.peer)
        return _change_response(result.ok, record)

    def _find_conflict(
        self, record: ParsedRecord, leadership: Leadership
    ) -> str | None:
        """Return how a record conflicts with live entries or other records, or None."""
        spec = record.spec
        if isinstance(spec, FleetSpec):
            leadership.directory.expire(self._state.clock())
            n_entries = len(leadership.directory.live_entries())
            if spec.max_entries < n_entries:
                return (
                    f"spec.max_entries: got {spec.max_entries}, expected at least "
                    f"{n_entries}, the number of entries that hold a lease"
                )
        if isinstance(spec, ServiceSpec):
            for stored in self._state.configuration.records.values():
                if stored.kind != RecordKind.SERVICE.value or stored.name == spec.name:
                    continue
                other = json.loads(stored.data)["spec"].get("path_prefix", "")
                if other.rstrip("/") == spec.path_prefix.rstrip("/"):
                    return (
                        f"spec.path_prefix: got {spec.path_prefix!r}, expected a "
                        f"prefix that service {stored.name} does not have"
                    )
        return None

    def _get_records(self, request: Request) -> Response:
        query = parse_qs(urlsplit(request.target.decode("latin-1")).query)
        kind, name = query.get("kind", [None])[0], query.get("name", [None])[0]
        records = [
            json.loads(stored.data)
            for stored in self._state.configuration.records.values()
            if kind in (None, stored.kind) and name in (None, stored.name)
        ]
        revision = self._state.configuration.revision
        return json_response(200, {"revision": revision, "records": records})

    def _get_change(self, leadership: Leadership, change_id: str) -> Response:
        outcome = self._state.configuration.results.get(change_id)
        if outcome is None:
            detail = f"change {change_id} is not committed, or older than 4096 others"
            return error_response(ErrorKind.NOT_FOUND, detail)
        fields = _change_fields(outcome)
        now = self._state.clock()
        revision = self._state.configuration.revision
        if outcome.error is None:
            in_force = leadership.directory.in_force_revision(revision, now)
            fields["in_force"] = in_force >= outcome.revision
            fields["waiting_for"] = leadership.directory.entries_behind(
                outcome.revision, now
            )
            fields["is_leader_settled"] = leadership.directory.is_settled(now)
        return json_response(200, fields)

    async def _get_status(self) -> Response:
        state = self._state
        leadership = state.leadership()
        now = state.clock()
        fields: dict[str, Any] = {
            "replica_id": self._replica_id,
            "zone": self._zone,
            "role": "leader" if state.replica.is_leader() else "follower",
            "is_ready": leadership is not None,
            "leader_id": state.replica.leader_id(),
            "leader": await self._leader_address(),
            "revision": state.configuration.revision,
            "max_entries": state.max_entries()[0],
            "replica": state.replica.status(),
        }
        if leadership is not None:
            directory = leadership.directory
            revision = state.configuration.revision
            fields["in_force_revision"] = directory.in_force_revision(revision, now)
            fields["is_leader_settled"] = directory.is_settled(now)
            behind = directory.entries_behind(revision, now)
            fields["entries"] = [
                {
                    "entry_id": entry.entry_id,
                    "host": entry.host,
                    "caller_port": entry.caller_port,
                    "platform_port": entry.platform_port,
                    "peer_port": entry.peer_port,
                    "zone": entry.zone,
                    "is_behind": entry.entry_id in behind,
                }
                for entry in directory.live_entries()
            ]
        return json_response(200, fields)

    async def _get_requests(self) -> Response:
        if self._list_requests is None:
            detail = "this control replica has no ledger addresses"
            return error_response(ErrorKind.LEDGER_UNAVAILABLE, detail)
        result = await self._list_requests()
        if result.is_error():
            return error_response(result.error.kind, result.error.detail)
        return json_response(200, {"requests": result.ok})

    async def _redirect_to_leader(self) -> Response:
        """Redirect to the leader; ``NOT_READY`` while this replica becomes leader."""
        if self._state.replica.is_leader():
            return error_response(ErrorKind.NOT_READY, "the leader is starting")
        return _error(ErrorKind.NOT_LEADER, "", leader=await self._leader_address())

    def _log_change(
        self, outcome: ChangeResult, record: ParsedRecord, peer: str
    ) -> None:
        logger.info(
            "event=change change_id={} kind={} name={} version={} result={} "
            "revision={} peer={}",
            outcome.change_id,
            record.kind.value,
            record.name,
            record.version,
            "accepted" if outcome.error is None else outcome.error.value,
            outcome.revision,
            peer,
        )


def _error(kind: ErrorKind, detail: str, **fields: Any) -> Response:
    """Return an error response with further fields in its body."""
    response = error_response(kind, detail)
    response.body = json.dumps({**json.loads(response.body), **fields}).encode()
    return response


def _change_fields(outcome: ChangeResult) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "change_id": outcome.change_id,
        "accepted": outcome.error is None,
        "revision": outcome.revision,
    }
    if outcome.error is not None:
        fields["error"] = outcome.error.value
        fields["detail"] = outcome.detail
    return fields


def _change_response(outcome: ChangeResult, record: ParsedRecord) -> Response:
    if outcome.error is not None:
        return _error(outcome.error, outcome.detail, change_id=outcome.change_id)
    fields = _change_fields(outcome)
    if record.unknown_fields:
        fields["unknown_fields"] = list(record.unknown_fields)
    return json_response(200, fields)
