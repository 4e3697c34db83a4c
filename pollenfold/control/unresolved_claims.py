"""Lists the unresolved ledger claims for operators."""

from __future__ import annotations

from typing import Any

from expression import Ok, Result

from ..core.clock import Clock
from ..core.errors import Failure
from ..ledger.client import LedgerClient

MAX_REQUESTS = 200
"""Limit of claims per response, since each is read from all ledger replicas."""


class UnresolvedClaims:
    """Reads claims without an outcome from the ledger replicas."""

    def __init__(
        self, ledger: dict[str, tuple[str, int]], client_id: str, clock: Clock
    ) -> None:
        self._client = LedgerClient(ledger, client_id, clock)

    async def get(self) -> Result[list[dict[str, Any]], Failure]:
        """Return at most ``MAX_REQUESTS`` claims, with their keys and ages in ms."""
        claims = await self._client.unresolved_claims(MAX_REQUESTS)
        return Ok(
            [
                {
                    "key": claim.key,
                    "claim_ids": list(claim.claim_ids),
                    "age_ms": round(claim.age_ms),
                    "is_in_doubt": claim.is_in_doubt,
                }
                for claim in claims
            ]
        )
