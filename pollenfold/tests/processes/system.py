"""Small system of real processes whose outcomes are compared with the executions."""

from __future__ import annotations

import json
import shutil
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import curio

from benchmarks.cluster import TOKEN, BackendAddress, Cluster
from benchmarks.load import CallKind, LoadPlan, LoadResult, Outcome, run_load
from benchmarks.processes import (
    ControlReplica,
    EntryAddress,
    LedgerReplica,
    Process,
    ProcessGroup,
    wait_until,
)
from benchmarks.promises import Executions, StepResult, check_step, read_executions
from pollenfold.http.client import HttpConnection
from pollenfold.http.messages import find_header
from pollenfold.testing import checked_daemon

SERVICE = "pearl-market"

KINDS = (
    CallKind("idempotent", "GET", f"/{SERVICE}/stock", 0.5),
    CallKind("with_key", "POST", f"/{SERVICE}/orders", 0.3, has_key=True),
    CallKind("without_key", "POST", f"/{SERVICE}/orders", 0.2),
)

CONTROL = "127.0.2."
ENTRIES = "127.0.4."
"""Prefixes of the addresses that ``Cluster`` gives to control replicas and entries."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Result of one request; status 0 means that no complete response arrived."""

    status: int
    state: str
    error: str = ""
    is_replayed: bool = False
    body: bytes = b""


class PartitionGroup(ProcessGroup):
    """Processes between which network partitions can be simulated, by process name."""

    def start(self, name: str, command: list[str]) -> Process:
        """Start a daemon with simulated partitions, any other command unchanged.

        The daemon reports sockets that are closed while a task waits on them.
        """
        if command[1:3] == ["-m", "pollenfold"] and not name.startswith("operator"):
            partition_arguments = [
                "pollenfold.testing.partitions",
                str(self.folder / f"{name}.cuts"),
            ]
            arguments = [checked_daemon.MODULE, *partition_arguments]
            command = [command[0], "-m", *arguments, *command[3:]]
        return super().start(name, command)

    def socket_violations(self) -> list[str]:
        """Return the lines of all logs about sockets that were closed under a wait."""
        return [
            f"{log.stem}: {line}"
            for log in self.folder.glob("*.log")
            for line in log.read_text(errors="replace").splitlines()
            if checked_daemon.LOG_MARK in line
        ]

    def partition(self, name: str, *lines: str) -> None:
        """Partition a process as ``lines`` say; without lines, end the partition.

        ``pollenfold.testing.partitions`` describes the lines.
        """
        path = self.folder / f"{name}.cuts"
        draft = path.with_suffix(".draft")
        draft.write_text("\n".join(lines))
        draft.replace(path)


@dataclass(slots=True)
class System:
    """A cluster, and the outcomes of all requests that were sent to it."""

    cluster: Cluster
    group: PartitionGroup
    outcomes: list[Outcome] = field(default_factory=list)
    n_sent: int = 0

    async def start(self) -> None:
        """Start all processes; wait until each service responds through each entry."""
        await self.cluster.start()
        await self.cluster.wait_until_serving()

    async def warm_up(self) -> None:
        """Send requests until every entry may send to every backend server.

        After the previous test, a new warm-up owner may still be waiting until the
        previous owner must have stopped sending.
        """
        await self.cluster.wait_until_serving()

        async def is_warm() -> bool:
            await self.load(100, 0.5)
            return all(
                [await self._sends_to_all(entry) for entry in self.cluster.entries]
            )

        await wait_until(is_warm, 20, "every backend server warm")

    async def _sends_to_all(self, entry: EntryAddress) -> bool:
        """Return whether an entry knows all endpoints and treats none as cold."""
        (service,) = (await self.entry_status(entry))["services"]
        limits = [endpoint["limit"] for endpoint in service["endpoints"].values()]
        return len(limits) == len(self.cluster.backends) and min(limits) > 0

    def process(self, node: EntryAddress | LedgerReplica | ControlReplica) -> Process:
        """Return the process of an entry or a replica."""
        name = node.entry_id if isinstance(node, EntryAddress) else node.replica_id
        return self.group.processes[name]

    def kill_and_wipe(self, replica: LedgerReplica | ControlReplica) -> None:
        """Kill a replica and empty its data folder."""
        self.process(replica).kill()
        shutil.rmtree(replica.data_folder)

    async def rejoin(self, replica: LedgerReplica | ControlReplica) -> None:
        """Start a killed and wiped replica and wait until it has rejoined."""
        n_before = self.count_joins(replica)
        self.group.restart(replica.replica_id)

        async def has_joined() -> bool:
            return self.count_joins(replica) > n_before

        await wait_until(has_joined, 15, f"{replica.replica_id} joined again")

    def count_joins(self, replica: LedgerReplica | ControlReplica) -> int:
        """Return how often a replica logged that it has joined."""
        return self.process(replica).log.read_text().count("joined replica=")

    async def send(
        self,
        entry: EntryAddress,
        method: str = "GET",
        path: str = "stock",
        key: str = "",
        timeout_s: float = 6,
    ) -> Reply:
        """Send one request to the service through an entry."""
        self.n_sent += 1
        request_id = f"single-{self.n_sent}"
        address = (entry.host, entry.caller_port)
        headers = {"x-request-id": request_id}
        if key:
            headers["idempotency-key"] = key
        reply = await exchange(
            address, method, f"/{SERVICE}/{path}", headers, timeout_s=timeout_s
        )
        kind = CallKind("single", method, path, 1.0, bool(key))
        self.outcomes.append(Outcome(kind, request_id, key, address, reply.state))
        return reply

    async def load(
        self,
        rate_per_s: float,
        duration_s: float,
        *,
        entries: list[EntryAddress] | None = None,
        seed: int = 1,
        **options: Any,
    ) -> LoadResult:
        """Send load through the entries and record its outcomes."""
        targets = [
            (entry.host, entry.caller_port) for entry in entries or self.cluster.entries
        ]
        self.n_sent += 1
        options = {"kinds": KINDS, "name": f"load-{self.n_sent}", **options}
        plan = LoadPlan(tuple(targets), rate_per_s, duration_s * 1000, seed, **options)
        result = await run_load(plan)
        self.outcomes += result.outcomes
        return result

    def executions(self) -> Executions:
        """Return the executions on all backend servers so far."""
        return read_executions(backend.run_log for backend in self.cluster.backends)

    def broken_promises(self) -> list[str]:
        """Return where the outcomes that callers received contradict the executions."""
        step = StepResult("all", LoadResult({}, self.outcomes), may_abort_requests=True)
        return check_step(step, self.executions())

    async def update_faults(self, backend: BackendAddress, **update: Any) -> None:
        """Set the faults of a fake backend server, or make it carry out actions."""
        body = json.dumps(update).encode()
        address = (backend.host, backend.port)
        reply = await exchange(address, "POST", "/stand-in/faults", {}, body)
        assert reply.status == 200

    async def send_to_operator_port(
        self,
        replica: ControlReplica,
        method: str,
        path: str,
        record: dict[str, Any] | None = None,
        timeout_s: float = 3,
        change_id: str | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Send one request to one control replica; status 0 for no response.

        A resend of a change must carry the ``change_id`` of the first attempt.
        """
        headers = {"authorization": f"Bearer {TOKEN}"}
        if change_id is not None:
            headers["pollenfold-change-id"] = change_id
        reply = await exchange(
            (replica.host, replica.operator_port),
            method,
            path,
            headers,
            b"" if record is None else json.dumps(record).encode(),
            timeout_s,
        )
        return reply.status, json.loads(reply.body or b"{}")

    async def leader(self, among: list[ControlReplica] | None = None) -> ControlReplica:
        """Wait for a control replica that is leader and ready, and return it."""
        leaders: list[ControlReplica] = []

        async def has_leader() -> bool:
            for replica in among or self.cluster.control:
                status, fields = await self.send_to_operator_port(
                    replica, "GET", "/v1/status", timeout_s=0.5
                )
                if status == 200 and fields["is_ready"]:
                    leaders.append(replica)
                    return True
            return False

        await wait_until(has_leader, 15, "a control leader")
        return leaders[0]

    async def entry_status(self, entry: EntryAddress) -> dict[str, Any]:
        """Return the status of an entry; empty if the entry doesn't respond."""
        reply = await exchange(
            (entry.host, entry.platform_port),
            "GET",
            "/v1/status",
            {"authorization": f"Bearer {TOKEN}"},
        )
        fields: dict[str, Any] = json.loads(reply.body or b"{}")
        return fields

    async def is_healthy(self, entry: EntryAddress) -> bool:
        """Return whether the health check of an entry succeeds."""
        reply = await exchange((entry.host, entry.platform_port), "GET", "/healthz", {})
        return reply.status == 200


async def exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 3,
) -> Reply:
    """Send one request on a new connection."""
    fields = [
        (b"host", address[0].encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    fields += [(name.encode(), value.encode()) for name, value in headers.items()]
    try:
        async with curio.timeout_after(timeout_s):
            connection = await HttpConnection.open(*address)
            try:
                result = await connection.exchange(
                    method.encode(), path.encode(), fields, body
                )
            finally:
                await connection.close()
    except (OSError, curio.TaskTimeout):
        return Reply(0, "unknown")
    if result.is_error():
        return Reply(0, "unknown")
    response = result.ok
    if response.status == 200:
        is_replayed = find_header(response.headers, b"pollenfold-replayed") is not None
        return Reply(200, "whole", "", is_replayed, response.body)
    state = find_header(response.headers, b"pollenfold-run-state") or b"unknown"
    try:
        error = str(json.loads(response.body).get("error", ""))
    except ValueError:
        error = ""
    return Reply(response.status, state.decode(), error, False, response.body)


def use_single_zone(cluster: Cluster) -> None:
    """Put all entries and backend servers into zone a, so that every entry sends to
    every server.

    An endpoint stays cold while its warm-up owner has free slots in its own zone.
    """
    cluster.entries = [replace(entry, zone="a") for entry in cluster.entries]
    cluster.backends = [replace(backend, zone="a") for backend in cluster.backends]


def max_executions(executions: Counter[str], keys: list[str]) -> int:
    """Return the number of executions of the most often executed key."""
    return max(executions[key] for key in keys)
