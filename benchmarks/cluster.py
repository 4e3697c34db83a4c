"""A complete system of processes on loopback addresses, for demo and benchmarks."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import curio

from .processes import (
    ControlReplica,
    EntryAddress,
    LedgerReplica,
    ProcessGroup,
    backend_command,
    control_command,
    entry_command,
    free_ports,
    ledger_command,
    operator_command,
    request,
    wait_healthy,
    wait_listening,
    wait_until,
)

TOKEN = "demo-token"

ZONES = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class BackendAddress:
    """One fake backend server; ``run_log`` is a file that survives its restarts."""

    name: str
    service: str
    zone: str
    host: str
    port: int
    run_log: Path


@dataclass(frozen=True, slots=True)
class Topology:
    """Numbers of processes, the services, and the capacity of each backend server."""

    n_control: int = 3
    n_ledger: int = 3
    n_entries: int = 4
    services: tuple[str, ...] = ("pearl-market", "pearl-haul")
    n_backends_per_service: int = 3
    service_ms: float = 5.0
    slots: int = 6
    seed: int = 1


def service_record(name: str, schema_version: int, slots: int) -> dict[str, Any]:
    """Return the record of a service whose GET requests are idempotent."""
    spec = {
        "tenant": "namib-pearl",
        "path_prefix": f"/{name}",
        "timeout_ms": 1000,
        "rules": [{"methods": ["GET"], "path_prefix": "/", "class": "idempotent"}],
        "slots_per_endpoint": slots,
        "connections_per_endpoint": 260,
        "queue_limit": 200,
        "max_body_bytes": 1 << 20,
        "probes_per_s": 20,
        "probe_bytes_per_s": 20_000,
        "cold_slots": 1,
        "retry_ratio": 0.1,
        "hedge_ratio": 0.02,
    }
    return _record("service", name, spec, schema_version)


def initial_records(topology: Topology) -> list[dict[str, Any]]:
    """Return the initial records; the services alternate in schema version."""
    records = [_record("fleet", "default", {"max_entries": topology.n_entries + 1})]
    for zone in ZONES:
        records.append(_record("zone", zone, {"state": "in", "region": "r1"}))
    for n, name in enumerate(topology.services):
        records.append(service_record(name, 1 + n % 2, topology.slots))
    return records


def _record(
    kind: str, name: str, spec: dict[str, Any], schema_version: int = 1
) -> dict[str, Any]:
    return {
        "schema_version": schema_version,
        "kind": kind,
        "name": name,
        "version": 1,
        "spec": spec,
    }


@dataclass(slots=True)
class Cluster:
    """The addresses and processes of one system; ``start`` starts all of them."""

    group: ProcessGroup
    topology: Topology
    control: list[ControlReplica] = field(default_factory=list)
    ledger: list[LedgerReplica] = field(default_factory=list)
    entries: list[EntryAddress] = field(default_factory=list)
    backends: list[BackendAddress] = field(default_factory=list)
    n_operator_commands: int = 0

    def __post_init__(self) -> None:
        topology, folder = self.topology, self.group.folder
        for n in range(1, topology.n_control + 1):
            host, name = f"127.0.2.{n}", f"c{n}"
            ports = free_ports(host, 2)
            zone = ZONES[(n - 1) % len(ZONES)]
            self.control.append(ControlReplica(name, zone, host, *ports, folder / name))
        for n in range(1, topology.n_ledger + 1):
            host, name = f"127.0.3.{n}", f"l{n}"
            port = free_ports(host, 1)[0]
            self.ledger.append(LedgerReplica(name, host, port, folder / name))
        for n in range(1, topology.n_entries + 1):
            host, zone = f"127.0.4.{n}", ZONES[(n - 1) % len(ZONES)]
            ports = free_ports(host, 3)
            self.entries.append(EntryAddress(f"e{n}", zone, host, *ports))
        names = [
            (service, f"{service}-{n}", ZONES[n % len(ZONES)])
            for service in topology.services
            for n in range(topology.n_backends_per_service)
        ]
        for n, (service, name, zone) in enumerate(names, 1):
            host = f"127.0.5.{n}"
            port = free_ports(host, 1)[0]
            run_log = folder / f"{name}.runs"
            self.backends.append(
                BackendAddress(name, service, zone, host, port, run_log)
            )

    @property
    def targets(self) -> tuple[tuple[str, int], ...]:
        """The caller addresses of the entries."""
        return tuple((entry.host, entry.caller_port) for entry in self.entries)

    async def start(self) -> None:
        """Start all processes, apply the records, and wait for the entries."""
        for ledger in self.ledger:
            self.group.start(ledger.replica_id, ledger_command(ledger, self.ledger))
        self.start_backends()
        await self.start_control()
        for ledger in self.ledger:
            await wait_listening(ledger.host, ledger.peer_port)
        for entry in self.entries:
            command = entry_command(entry, self.control, self.ledger, TOKEN)
            self.group.start(entry.entry_id, command)
        for entry in self.entries:
            await wait_healthy(entry.host, entry.platform_port)

    async def start_control(self) -> None:
        """Start the control replicas and apply the records."""
        for replica in self.control:
            command = control_command(replica, self.control, self.ledger, TOKEN)
            self.group.start(replica.replica_id, command)
        for replica in self.control:
            await wait_listening(replica.host, replica.operator_port)
        for n, record in enumerate(initial_records(self.topology)):
            await self.apply(record, f"record-{n}.json")

    def start_backends(self) -> None:
        """Start the fake backend servers."""
        platforms = ",".join(entry.platform for entry in self.entries)
        for n, backend in enumerate(self.backends):
            command = backend_command(
                host=backend.host,
                port=backend.port,
                service=backend.service,
                zone=backend.zone,
                entries=platforms,
                service_ms=self.topology.service_ms,
                slots=self.topology.slots,
                seed=self.topology.seed + n,
                run_log=backend.run_log,
            )
            self.group.start(backend.name, command)

    async def apply(self, record: dict[str, Any], file_name: str) -> str:
        """Apply one record with the command line tool."""
        path = self.group.folder / file_name
        path.write_text(json.dumps(record))
        return await self.run_operator_command("apply", str(path))

    async def run_operator_command(self, *arguments: str) -> str:
        """Run an operator command and return its output.

        Raise RuntimeError with the end of its log when it fails.
        """
        self.n_operator_commands += 1
        name = f"operator-{self.n_operator_commands}"
        command = operator_command(list(arguments), self.control, TOKEN)
        process = self.group.start(name, command)
        status = await process.wait(15)
        if status != 0:
            raise RuntimeError(
                f"pollenfold {' '.join(arguments)}: expected exit status 0, got "
                f"{status}: {process.log_tail(5)}"
            )
        return process.log_tail()

    async def counts(self, backend: BackendAddress) -> dict[str, Any]:
        """Return the counters of a fake backend server."""
        response = await request(backend.host, backend.port, "GET", "/stand-in/counts")
        if response is None:
            raise RuntimeError(
                f"expected the counts of {backend.name}, got no response"
            )
        counts: dict[str, Any] = json.loads(response.body)
        return counts

    async def received_in_zone(self, zone: str) -> int:
        """Return the number of requests that the servers of a zone have received."""
        counts = [await self.counts(b) for b in self.backends if b.zone == zone]
        return sum(counters["n_received"] for counters in counts)

    async def wait_until_serving(self, timeout_s: float = 20) -> None:
        """Wait until every service responds through every entry.

        New servers are cold, and new entries wait before they send requests to them.
        """

        async def all_services_respond() -> bool:
            for host, port in self.targets:
                for service in self.topology.services:
                    response = await request(host, port, "GET", f"/{service}/ready")
                    if response is None or response.status != 200:
                        return False
            return True

        await wait_until(
            all_services_respond, timeout_s, "a response from each service"
        )


class HealthChecks:
    """Checks the health of the entries as the platform's load balancer does.

    ``healthy_targets`` holds the caller addresses of the entries whose last check
    succeeded.
    """

    INTERVAL_S = 0.1

    def __init__(self, entries: list[EntryAddress]) -> None:
        self.healthy_targets = {(entry.host, entry.caller_port) for entry in entries}
        self._entries = entries
        self._tasks: list[curio.Task] = []

    async def __aenter__(self) -> HealthChecks:
        for entry in self._entries:
            self._tasks.append(await curio.spawn(self._check, entry, daemon=True))
        return self

    async def __aexit__(self, *details: object) -> None:
        for task in self._tasks:
            await task.cancel()

    async def _check(self, entry: EntryAddress) -> None:
        address = (entry.host, entry.caller_port)
        while True:
            response = await request(entry.host, entry.platform_port, "GET", "/healthz")
            if response is not None and response.status == 200:
                self.healthy_targets.add(address)
            else:
                self.healthy_targets.discard(address)
            await curio.sleep(self.INTERVAL_S)
