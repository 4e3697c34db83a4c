"""The closed list of error kinds, and the error response for each of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RunState(Enum):
    """Whether the request of an error response was executed by a backend server."""

    DID_NOT_RUN = "did_not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RAN = "ran"


class ErrorKind(Enum):
    """All kinds of refusals and failures."""

    BAD_REQUEST = "bad_request"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    TRUNCATED_BODY = "truncated_body"
    SLOW_REQUEST = "slow_request"
    UNKNOWN_SERVICE = "unknown_service"
    NO_ROUTE = "no_route"
    NOT_FOUND = "not_found"
    UNAUTHORIZED = "unauthorized"
    BAD_RECORD = "bad_record"
    VERSION_CONFLICT = "version_conflict"
    ROLLOUT_CONFLICT = "rollout_conflict"
    NO_LEASE = "no_lease"
    STOPPING = "stopping"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_FAILED = "backend_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    QUARANTINED = "quarantined"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNKNOWN = "quota_unknown"
    IN_PROGRESS = "in_progress"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    NO_QUORUM = "no_quorum"
    NOT_LEADER = "not_leader"
    SUPERSEDED = "superseded"
    ABANDONED = "abandoned"
    NOT_READY = "not_ready"
    NOT_CONFIRMED = "not_confirmed"
    FLEET_FULL = "fleet_full"
    BAD_FRAME = "bad_frame"
    UNREACHABLE = "unreachable"
    STORAGE_FAILED = "storage_failed"
    BAD_SETTING = "bad_setting"
    INTERNAL_ERROR = "internal_error"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to a caller or an operator for one error kind.

    ``retry_after_s`` is the delay in seconds before a retry, or None if a retry of
    the same request can't succeed.
    """

    status: int
    run_state: RunState
    retry_after_s: float | None
    text: str


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure with its kind and, in ``detail``, the expected and the actual value."""

    kind: ErrorKind
    detail: str = ""


_DID_NOT_RUN = RunState.DID_NOT_RUN
_UNKNOWN = RunState.OUTCOME_UNKNOWN

ERROR_TABLE: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, _DID_NOT_RUN, None, "malformed request"),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(
        431, _DID_NOT_RUN, None, "request head is too large"
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, _DID_NOT_RUN, None, "request body is too large"
    ),
    ErrorKind.TRUNCATED_BODY: ErrorResponse(
        400, _DID_NOT_RUN, None, "request body ended early"
    ),
    ErrorKind.SLOW_REQUEST: ErrorResponse(
        408, _DID_NOT_RUN, None, "the request took too long to arrive"
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
        404, _DID_NOT_RUN, None, "no service record matches the path"
    ),
    ErrorKind.NO_ROUTE: ErrorResponse(
        404, _DID_NOT_RUN, None, "no route matches host and path"
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(404, _DID_NOT_RUN, None, "no such resource"),
    ErrorKind.UNAUTHORIZED: ErrorResponse(
        401, _DID_NOT_RUN, None, "missing or wrong token"
    ),
    ErrorKind.BAD_RECORD: ErrorResponse(422, _DID_NOT_RUN, None, "invalid record"),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(
        409, _DID_NOT_RUN, None, "record version is not the stored version plus one"
    ),
    ErrorKind.ROLLOUT_CONFLICT: ErrorResponse(
        409,
        _DID_NOT_RUN,
        None,
        "a roll-out of the service to another version is in progress",
    ),
    ErrorKind.NO_LEASE: ErrorResponse(
        503, _DID_NOT_RUN, 2, "this entry holds no configuration lease"
    ),
    ErrorKind.STOPPING: ErrorResponse(503, _DID_NOT_RUN, 1, "this entry is stopping"),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, _DID_NOT_RUN, 1, "the queue is full"),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
        504, _DID_NOT_RUN, 1, "the deadline can't be met"
    ),
    ErrorKind.NO_BACKEND_SERVER: ErrorResponse(
        503, _DID_NOT_RUN, 1, "no backend server can take the request"
    ),
    ErrorKind.BACKEND_REFUSED: ErrorResponse(
        503, _DID_NOT_RUN, 1, "the backend servers did not start the request"
    ),
    ErrorKind.BACKEND_FAILED: ErrorResponse(
        502, _UNKNOWN, 1, "the backend server failed before a whole answer"
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        502, _UNKNOWN, None, "the request may have run; it is not run again"
    ),
    ErrorKind.QUARANTINED: ErrorResponse(
        503,
        _DID_NOT_RUN,
        None,
        "servers ended while they ran this request; do not repeat it",
    ),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(
        429, _DID_NOT_RUN, 1, "the tenant has reached its quota"
    ),
    ErrorKind.QUOTA_UNKNOWN: ErrorResponse(
        503, _DID_NOT_RUN, 0.5, "no leader can tell what is left of the quota"
    ),
    ErrorKind.IN_PROGRESS: ErrorResponse(
        409, _UNKNOWN, 1, "an earlier request with this key is in progress"
    ),
    ErrorKind.LEDGER_UNAVAILABLE: ErrorResponse(
        503, _DID_NOT_RUN, 1, "no majority of the ledger answers"
    ),
    ErrorKind.NO_QUORUM: ErrorResponse(
        503, _UNKNOWN, 1, "no majority of the control replicas confirmed the change"
    ),
    ErrorKind.NOT_LEADER: ErrorResponse(
        421, _DID_NOT_RUN, 1, "this control replica is not the leader"
    ),
    ErrorKind.SUPERSEDED: ErrorResponse(
        503, _DID_NOT_RUN, 1, "another order on the same subject came first"
    ),
    ErrorKind.ABANDONED: ErrorResponse(
        503, _DID_NOT_RUN, 1, "the sender no longer waited for the response"
    ),
    ErrorKind.NOT_READY: ErrorResponse(503, _DID_NOT_RUN, 1, "still starting"),
    ErrorKind.NOT_CONFIRMED: ErrorResponse(
        503,
        _DID_NOT_RUN,
        0.25,
        "refused by a configuration that may be out of date",
    ),
    ErrorKind.FLEET_FULL: ErrorResponse(
        503, _DID_NOT_RUN, 2, "the fleet has its greatest number of entries"
    ),
    ErrorKind.BAD_FRAME: ErrorResponse(400, _DID_NOT_RUN, None, "malformed frame"),
    ErrorKind.UNREACHABLE: ErrorResponse(503, _UNKNOWN, 1, "no answer from the peer"),
    ErrorKind.STORAGE_FAILED: ErrorResponse(
        503, _UNKNOWN, 1, "the data folder can't be written"
    ),
    ErrorKind.BAD_SETTING: ErrorResponse(400, _DID_NOT_RUN, None, "invalid setting"),
    ErrorKind.INTERNAL_ERROR: ErrorResponse(
        500, _UNKNOWN, None, "an unexpected error ended the handling of the request"
    ),
}
