"""Measures the processor time of permits at the leader and at an entry.

Lines of ``--items`` requests each are decoded, granted and answered, as by the leader,
then encoded and applied, as by an entry, without sockets. The minimum over several
rounds is printed, because other work on the machine can only increase the time. The
slope over two line sizes separates the cost of an item from that of a line.

    python -m benchmarks.quota_cost
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from pollenfold.core.clock import Instant
from pollenfold.core.tenancy.quota_ledger import Grant, QuotaLedger
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.core.tenancy.quota_lines import (
    PermitRequest,
    decode_grant,
    decode_permit_request,
    encode_grant,
)
from pollenfold.core.tenancy.quota_shares import QuotaShares
from pollenfold.core.tenancy.tenants import Quota
from pollenfold.wire.lines import encode_line

N_ROUNDS = 20
N_LINES = 500
N_TENANTS = 87
LINE_SIZES = (1, 21)

QUOTAS = {f"tenant-{number}": Quota(20.0, 20.0) for number in range(N_TENANTS)}


def request_line(n_items: int) -> bytes:
    """Return a line with a request for one permit of each of some tenants."""
    names = list(QUOTAS)
    items = [PermitRequest(100_000 + k, names[k], 1).encode() for k in range(n_items)]
    return encode_line({"quota": items})


def leader_cost_us(n_items: int) -> tuple[float, int]:
    """Return the time of one line at the leader, and the bytes of its answer."""
    ledger = QuotaLedger(QuotaLimits())
    ledger.apply_quotas(QUOTAS, Instant(0.0))
    ledger.start(Instant(0.0))
    line = request_line(n_items)
    now = 0.0
    n_bytes = 0

    def handle() -> None:
        nonlocal now, n_bytes
        now += 1.0
        granted = []
        for item in json.loads(line)["quota"]:
            request = decode_permit_request(item)
            grant = ledger.grant(request.tenant, request.n_permits, Instant(now))
            granted.append(encode_grant(request.number, grant))
        n_bytes = len(encode_line({"granted": granted}))

    return _least_us(handle), n_bytes


def entry_cost_us(n_items: int) -> float:
    """Return the time of one line and its answer at an entry."""
    shares = QuotaShares(QuotaLimits(), "e1")
    names = list(QUOTAS)
    answer = encode_line(
        {"granted": [encode_grant(k, Grant(1)) for k in range(n_items)]}
    )
    now = 0.0

    def handle() -> None:
        nonlocal now
        now += 300.0
        at = Instant(now)
        items = []
        for number in range(n_items):
            share = shares.get(names[number], QUOTAS[names[number]], at)
            share.count_request(at)
            share.take(at)
            n_permits = share.n_to_ask(1, at)
            items.append(PermitRequest(number, names[number], n_permits).encode())
        encode_line({"quota": items})
        for item in json.loads(answer)["granted"]:
            number, grant = decode_grant(item)
            share = shares.get(names[number], QUOTAS[names[number]], at)
            share.apply_grant(grant, 1, at, at)
            share.take(at)

    return _least_us(handle)


def _least_us(handle: Callable[[], None]) -> float:
    least_s = float("inf")
    for _ in range(N_ROUNDS):
        started_at = time.process_time()
        for _ in range(N_LINES):
            handle()
        least_s = min(least_s, time.process_time() - started_at)
    return 1e6 * least_s / N_LINES


def main() -> None:
    """Print the cost of a line and of an item at both roles, with their bytes."""
    small, large = LINE_SIZES
    for role in ("leader", "entry"):
        costs = [
            leader_cost_us(n)[0] if role == "leader" else entry_cost_us(n)
            for n in LINE_SIZES
        ]
        item_us = (costs[1] - costs[0]) / (large - small)
        print(f"{role}: line {costs[0] - item_us:.1f} us, item {item_us:.2f} us")
    for n_items in LINE_SIZES:
        n_answer = leader_cost_us(n_items)[1]
        print(f"{n_items} items: {len(request_line(n_items))} and {n_answer} bytes")


if __name__ == "__main__":
    main()
