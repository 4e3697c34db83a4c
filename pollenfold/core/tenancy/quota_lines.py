"""The parts of feed lines with which an entry asks for permits and a leader answers.

``{"quota": [[request_number, tenant, n_permits], ...]}`` is answered with
``{"granted": [[request_number, n_granted, retry_after_ms], ...]}``. Nothing granted and
no time to come back means that the replica grants no permits at present.
"""

from __future__ import annotations

from dataclasses import dataclass
from reprlib import repr as short_repr
from typing import Any

from ..input_limits import is_magnitude, is_name, is_whole_number
from .quota_ledger import Grant
from .quota_limits import MAX_RETRY_AFTER_MS
from .quota_shares import MAX_ASKED


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """An entry's request for permits of one tenant."""

    number: int
    tenant: str
    n_permits: int

    def encode(self) -> list[object]:
        """Return the member of a line."""
        return [self.number, self.tenant, self.n_permits]


def decode_permit_request(item: Any) -> PermitRequest:
    """Decode a member of a line; raise ValueError if it is malformed."""
    match item:
        case [number, tenant, n_permits] if (
            is_whole_number(number)
            and is_name(tenant)
            and is_whole_number(n_permits, MAX_ASKED, 1)
        ):
            return PermitRequest(number, tenant, n_permits)
    raise ValueError(f"expected a request for permits, got {short_repr(item)}")


def encode_grant(number: int, grant: Grant) -> list[object]:
    """Return the member of a line that answers a request."""
    return [number, grant.n_granted, grant.retry_after_ms]


def decode_grant(item: Any) -> tuple[int, Grant]:
    """Decode the answer to a request; raise ValueError if it is malformed."""
    match item:
        case [number, n_granted, retry_after_ms] if (
            is_whole_number(number)
            and is_whole_number(n_granted, MAX_ASKED)
            and is_magnitude(retry_after_ms, MAX_RETRY_AFTER_MS)
        ):
            return number, Grant(n_granted, float(retry_after_ms))
    raise ValueError(f"expected an answer with permits, got {short_repr(item)}")
