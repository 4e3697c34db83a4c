"""Handles announcements of backend servers on the platform port."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Annotated, Any, Literal

from loguru import logger
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from ..core.clock import Clock
from ..core.errors import ErrorKind
from ..core.input_limits import (
    MAX_CONNECTIONS,
    MAX_PORT,
    MAX_SLOTS,
    MAX_TTL_MS,
    MIN_TTL_MS,
    normalized_ip_address,
)
from ..core.membership import Endpoint, EndpointTable, LeaveNotice, MergeOutcome
from ..http.messages import Request, Response, error_response, json_response
from .gossip import PushResult

PATH = "/v1/announcements"

_Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
_Counter = Annotated[int, Field(ge=0, lt=1 << 63)]


class Announcement(BaseModel):
    """The body of an announcement. Unknown fields are ignored."""

    model_config = ConfigDict(strict=True, extra="ignore", frozen=True)

    service: _Name
    host: str
    port: int = Field(ge=1, le=MAX_PORT)
    zone: _Name
    incarnation: _Counter
    heartbeat: _Counter
    ttl_ms: float = Field(ge=MIN_TTL_MS, le=MAX_TTL_MS)
    slots: int = Field(ge=1, le=MAX_SLOTS)
    connections: int = Field(ge=1, le=MAX_CONNECTIONS)
    state: Literal["serving", "leaving"]

    @field_validator("host")
    @classmethod
    def _check_host(cls, value: str) -> str:
        host = normalized_ip_address(value)
        if host is None:
            raise ValueError("expected an IP address without a scope")
        return host

    def endpoint(self) -> Endpoint:
        """Return the announced endpoint; a new incarnation is cold."""
        return Endpoint(
            service=self.service,
            host=self.host,
            port=self.port,
            zone=self.zone,
            incarnation=self.incarnation,
            heartbeat=self.heartbeat,
            ttl_ms=float(self.ttl_ms),
            slots=self.slots,
            connections=self.connections,
            is_leaving=self.state == "leaving",
        )


class AnnouncementHandler:
    """Handles ``POST /v1/announcements``.

    ``is_known_service`` returns whether the configuration has a service of that name.
    ``push`` sends changed endpoints to the peers, and ``on_leave`` hands a leave
    notice to the next lease renewal.
    """

    def __init__(
        self,
        table: EndpointTable,
        clock: Clock,
        is_known_service: Callable[[str], bool],
        push: Callable[[Sequence[Endpoint]], Awaitable[PushResult]],
        on_leave: Callable[[LeaveNotice], None],
    ) -> None:
        self._table = table
        self._clock = clock
        self._is_known_service = is_known_service
        self._push = push
        self._on_leave = on_leave

    async def handle(self, request: Request) -> Response:
        """Validate and merge one announcement, and push a change to the peers."""
        if request.path != PATH:
            return error_response(ErrorKind.NOT_FOUND)
        if request.method != b"POST":
            return error_response(ErrorKind.BAD_REQUEST, "expected the method POST")
        try:
            announcement = Announcement.model_validate_json(request.body)
        except ValidationError as error:
            return error_response(ErrorKind.BAD_REQUEST, _describe(error))
        if not self._is_known_service(announcement.service):
            detail = f"no service record is named {announcement.service}"
            return error_response(ErrorKind.UNKNOWN_SERVICE, detail)
        return await self._merge(announcement.endpoint())

    async def _merge(self, announced: Endpoint) -> Response:
        outcome = self._table.merge(announced, self._clock())
        endpoint = self._table.get(announced.key) or announced
        if outcome is MergeOutcome.LEFT:
            self._on_leave(LeaveNotice(*endpoint.key, endpoint.incarnation))
        pushed = PushResult(0, 0)
        # A repeated leave is pushed again: its sender may have missed the response.
        is_changed = outcome in (MergeOutcome.CHANGED, MergeOutcome.LEFT)
        if is_changed or announced.is_leaving:
            logger.info(
                "event=endpoint_{} service={} endpoint={} incarnation={}",
                "leaving" if endpoint.is_leaving else "changed",
                endpoint.service,
                endpoint.name,
                endpoint.incarnation,
            )
            pushed = await self._push([endpoint])
        return json_response(200, _response_body(announced, endpoint, pushed))


def _response_body(
    announced: Endpoint, endpoint: Endpoint, pushed: PushResult
) -> dict[str, Any]:
    reason = ""
    if endpoint.incarnation > announced.incarnation:
        reason = "older_incarnation"
    elif endpoint.is_leaving and not announced.is_leaving:
        reason = "leaving"
    return {
        "accepted": not reason,
        "reason": reason,
        "incarnation": endpoint.incarnation,
        "state": "leaving" if endpoint.is_leaving else "serving",
        "n_peers": pushed.n_peers,
        "n_acknowledged": pushed.n_acknowledged,
        "is_acknowledged": pushed.is_complete,
    }


def _describe(error: ValidationError) -> str:
    """Describe the first error: the field, what was expected and what was received."""
    first_error = error.errors(include_url=False)[0]
    field = ".".join(str(part) for part in first_error["loc"]) or "body"
    return f"{field}: {first_error['msg']}, got {first_error.get('input')!r:.80}"
