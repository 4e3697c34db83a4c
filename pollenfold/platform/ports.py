"""The ports on which the processes of one VM listen for each other and for metrics."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

METRICS_PORTS = {"entry": 7670, "control": 7671}
"""The same ports as in the deploy file, which sets one per role for all VMs."""

N_REQUIRED_PORTS = 3
"""Ports at the start of the internal range that a role can't do without."""


@dataclass(frozen=True, slots=True)
class Ports:
    """The ports of one process; those of its peers are the same.

    A control replica listens on ``agreement`` and ``feed``, an entry on ``relay``.
    ``relay`` is 0 if the range has no port for it, ``metrics`` None if none is left.
    """

    agreement: int
    feed: int
    relay: int
    metrics: int | None


def assign_ports(
    role: str, first_port: int, last_port: int, used_ports: Collection[int]
) -> Ports:
    """Return the ports of a role for an internal range, both ends included.

    The required ports depend on the range only, so each VM knows those of its peers.
    The metrics port gives way: if another socket needs the port of the deploy file, a
    port at the end of the range replaces it. ``used_ports`` are those on which the
    processes of this VM listen for callers, the platform and operators.

    For example, an entry with the range 7660 to 7675 has 7670 for metrics, and with
    7668 to 7683 it has 7683, since 7670 is the relay port.
    """
    relay = first_port + 2
    return Ports(
        agreement=first_port,
        feed=first_port + 1,
        relay=relay if relay <= last_port else 0,
        metrics=_metrics_port(role, first_port, last_port, used_ports),
    )


def _metrics_port(
    role: str, first_port: int, last_port: int, used_ports: Collection[int]
) -> int | None:
    """Return the first candidate that no required socket of either role needs.

    The candidates of the two roles never coincide, since both may run on one VM.
    """
    first_spare = first_port + N_REQUIRED_PORTS
    offset = list(METRICS_PORTS).index(role)
    spare = range(last_port - offset, first_spare - 1, -len(METRICS_PORTS))
    own = METRICS_PORTS[role]
    others = set(METRICS_PORTS.values()) - {own}
    unavailable = {*range(first_port, first_spare), *used_ports}
    for port in (own, *(port for port in spare if port not in others)):
        if port not in unavailable:
            return port
    return None
