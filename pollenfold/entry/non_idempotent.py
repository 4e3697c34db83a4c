"""Executes each non-idempotent request, an *action*, under one claim in the ledger."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio
from loguru import logger

from ..core.claims import Claimed, Completed, InDoubt, InProgress, Unavailable
from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.errors import ERROR_TABLE, ErrorKind, RunState
from ..core.outcomes import REFUSAL_STATUSES
from ..core.register import Outcome
from ..http.messages import Response, error_response, find_header
from ..ledger.client import LedgerClient
from .attempts import backend_headers
from .refusal import Refusal

if TYPE_CHECKING:
    from ..core.claims import ClaimResult
    from ..core.records import ServiceSpec

MAX_STORED_BODY_BYTES = 64 * 1024
MAX_CLAIMS_IN_FLIGHT = 256
"""An overloaded ledger delays every claim, and more concurrent claims would only add to
its load. At 5 ms per claim, one entry has far fewer than this in flight."""

REPLAY_WAIT_MS = 250.0
"""How long a resent request waits for the outcome of the one that holds the claim."""

REPLAY_POLL_MS = 20.0
STORE_ATTEMPTS = 20
STORE_PAUSE_MS = 100.0

_BODY_OMITTED = (b"pollenfold-body-omitted", b"true")
_REPLAYED = (b"pollenfold-replayed", b"true")
_KEPT_HEADERS = (_REPLAYED[0], b"idempotency-key")

Dispatch = Callable[[], Awaitable["Response | Refusal"]]


class NonIdempotentRunner:
    """Claims, dispatches and stores the outcome of non-idempotent requests.

    ``n_storing`` counts outcomes that are still being stored; a planned shutdown waits
    until it is 0.
    """

    def __init__(self, ledger: LedgerClient, entry_id: str, clock: Clock) -> None:
        self._ledger = ledger
        self._entry_id = entry_id
        self._clock = clock
        self._n_claiming = 0
        self.n_storing = 0

    async def run(
        self,
        spec: ServiceSpec,
        key: bytes,
        is_callers_key: bool,
        deadline: Instant,
        dispatch: Dispatch,
    ) -> Response:
        """Execute a request at most once and return its final response.

        ``is_callers_key`` is whether the caller chose the key, so that an earlier
        request may have used it. ``dispatch`` is called at most once, and only after a
        majority of the ledger has stored the claim.
        """
        if self._n_claiming >= MAX_CLAIMS_IN_FLIGHT:
            return _overload_response(key, is_callers_key)
        register = f"{spec.name}/{key.decode('latin-1')}"
        self._n_claiming += 1
        try:
            claim, claim_id = await self._claim(register, spec, deadline)
        finally:
            self._n_claiming -= 1
        if isinstance(claim, Claimed):
            response = await self._run_claimed(
                register, claim_id, is_callers_key, dispatch
            )
        elif isinstance(claim, Completed):
            response = _replayed_response(claim.outcome)
        elif isinstance(claim, InProgress):
            response = error_response(ErrorKind.IN_PROGRESS)
        elif isinstance(claim, InDoubt):
            response = error_response(ErrorKind.OUTCOME_UNKNOWN)
        else:
            is_late = remaining_ms(deadline, self._clock()) <= 0.0
            kind = (
                ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.LEDGER_UNAVAILABLE
            )
            response = await self._abandon_claim(
                register, claim_id, is_callers_key, kind
            )
        response.headers.append((b"idempotency-key", key))
        return response

    async def _claim(
        self, register: str, spec: ServiceSpec, deadline: Instant
    ) -> tuple[ClaimResult, str]:
        """Send a claim to the ledger; return its result and the claim's id.

        If another request holds the key, wait briefly for the outcome of that request,
        but never past the deadline.
        """
        wait_until = min(deadline, add_ms(self._clock(), REPLAY_WAIT_MS))
        while True:
            claim_id = f"{self._entry_id}/{secrets.token_hex(8)}"
            left_ms = remaining_ms(deadline, self._clock())
            claim: ClaimResult = Unavailable()
            async with curio.ignore_after(left_ms / 1000):
                claim = await self._ledger.claim(register, claim_id, spec.timeout_ms)
            if not isinstance(claim, InProgress):
                return claim, claim_id
            if remaining_ms(wait_until, self._clock()) < REPLAY_POLL_MS:
                return claim, claim_id
            await curio.sleep(REPLAY_POLL_MS / 1000)

    async def _run_claimed(
        self, register: str, claim_id: str, is_callers_key: bool, dispatch: Dispatch
    ) -> Response:
        result = await dispatch()
        if isinstance(result, Response):
            relayed = Response(result.status, backend_headers(result), result.body)
            await self._store_in_background(register, claim_id, relayed)
            relayed.headers.append((b"pollenfold-run-state", b"ran"))
            if relayed.status in REFUSAL_STATUSES:
                logger.warning(
                    "event=refusal_unmarked key={!r} claim={} endpoint_status={}",
                    register,
                    claim_id,
                    relayed.status,
                )
            return without_refusal_status(relayed)
        state = result.run_state or ERROR_TABLE[result.kind].run_state
        if state is RunState.DID_NOT_RUN:
            return await self._abandon_claim(
                register, claim_id, is_callers_key, result.kind
            )
        logger.warning(
            "event=outcome_unknown key={!r} claim={} cause={}",
            register,
            claim_id,
            result.kind.value,
        )
        return error_response(ErrorKind.OUTCOME_UNKNOWN)

    async def _abandon_claim(
        self, register: str, claim_id: str, is_callers_key: bool, kind: ErrorKind
    ) -> Response:
        """Abandon the claim, and report ``did_not_run`` only if that succeeded.

        Without a majority for the abandonment, another entry may hold a caller's key.
        A key that this entry generated is unknown to other entries.
        """
        abandoned = await self._ledger.abandon(register, claim_id)
        if abandoned.is_ok() or not is_callers_key:
            return error_response(kind, run_state=RunState.DID_NOT_RUN.value)
        return error_response(kind, run_state=RunState.OUTCOME_UNKNOWN.value)

    async def _store_in_background(
        self, register: str, claim_id: str, response: Response
    ) -> None:
        """Start a task that stores the outcome; the response doesn't wait for it."""
        outcome = _outcome(response)
        self.n_storing += 1
        await curio.spawn(
            self._store_until_done, register, claim_id, outcome, daemon=True
        )

    async def _store_until_done(
        self, register: str, claim_id: str, outcome: Outcome
    ) -> None:
        try:
            for _ in range(STORE_ATTEMPTS):
                stored = await self._ledger.complete(register, claim_id, outcome)
                if stored.is_ok():
                    return
                await curio.sleep(STORE_PAUSE_MS / 1000)
            logger.warning(
                "event=outcome_not_stored key={!r} claim={}", register, claim_id
            )
        finally:
            self.n_storing -= 1


def _overload_response(key: bytes, is_callers_key: bool) -> Response:
    """Refuse a request without sending a claim to the ledger.

    If the caller chose the key, an earlier request with it may have run.
    """
    state = RunState.OUTCOME_UNKNOWN if is_callers_key else RunState.DID_NOT_RUN
    response = error_response(ErrorKind.LEDGER_UNAVAILABLE, run_state=state.value)
    response.headers.append((b"idempotency-key", key))
    return response


def _outcome(response: Response) -> Outcome:
    headers = tuple(response.headers)
    if len(response.body) > MAX_STORED_BODY_BYTES:
        return Outcome(response.status, (*headers, _BODY_OMITTED), b"")
    return Outcome(response.status, headers, response.body)


def _replayed_response(outcome: Outcome) -> Response:
    """Return the stored response, marked as replayed."""
    if _BODY_OMITTED in outcome.headers:
        detail = "the first response was too long to be stored"
        return error_response(
            ErrorKind.OUTCOME_UNKNOWN, detail, run_state=RunState.RAN.value
        )
    headers = [*outcome.headers, _REPLAYED, (b"pollenfold-run-state", b"ran")]
    return without_refusal_status(Response(outcome.status, headers, outcome.body))


def without_refusal_status(response: Response) -> Response:
    """Return the response to a request that ran, with no status that denies it.

    Callers send a request again after some statuses, and one without a key of the
    caller would then run twice. For example, a 503 of a backend server becomes 502
    ``outcome_unknown`` with the run state ``ran``.
    """
    if response.status not in REFUSAL_STATUSES:
        return response
    if find_header(response.headers, b"pollenfold-run-state") != b"ran":
        return response
    replacement = error_response(
        ErrorKind.OUTCOME_UNKNOWN,
        f"the backend server responded with status {response.status}",
        run_state=RunState.RAN.value,
    )
    kept = [pair for pair in response.headers if pair[0] in _KEPT_HEADERS]
    replacement.headers += kept
    return replacement
