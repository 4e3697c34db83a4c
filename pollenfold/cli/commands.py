"""The commands for operators."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import curio
from cleo.commands.command import Command
from cleo.helpers import argument, option
from expression import Error, Ok, Result
from pydantic import SecretStr

from ..control.operators import CHANGE_ID
from ..core.errors import ErrorKind, Failure
from ..observe.clock import system_clock
from ..records.parsing import ParsedRecord, parse_record
from ..settings import OperatorSettings, load_settings
from .client import OperatorClient
from .operations import (
    AcceptedChange,
    new_change_id,
    read_record,
    set_state,
    store_record,
    wait_in_force,
)

EXIT_FAILED = 1
EXIT_BAD_SETTING = 2
EXIT_NOT_IN_FORCE = 3
"""The change is accepted, but was not in force everywhere within the wait."""

SERVER_OPTIONS = [
    option(
        "operator",
        description="operator addresses host:port,host:port; POLLENFOLD_OPERATOR",
        flag=False,
    ),
    option("token", description="bearer token; POLLENFOLD_TOKEN", flag=False),
    option("timeout-ms", description="timeout of each request in ms", flag=False),
]
WAIT_OPTION = option(
    "wait-ms",
    description="time in ms to wait until the change is in force; 0 doesn't wait",
    flag=False,
)


class OperatorCommand(Command):
    """A command that calls the operator interface."""

    options = SERVER_OPTIONS

    def handle(self) -> int:
        """Read the settings, run the command and return the exit status."""
        names = ("operator", "token", "timeout-ms", "wait-ms")
        supported = {flag.name for flag in self.options}
        flags = {
            name.replace("-", "_"): str(self.option(name))
            for name in names
            if name in supported and self.option(name) is not None
        }
        loaded = load_settings(OperatorSettings, flags)
        if loaded.is_error():
            return self.fail(loaded.error, EXIT_BAD_SETTING)
        settings = loaded.ok
        token: SecretStr = settings.token
        client = OperatorClient(
            list(settings.operator),
            token.get_secret_value(),
            system_clock,
            settings.timeout_ms,
        )
        self.wait_ms = settings.wait_ms
        return int(curio.run(self.operate, client))

    async def operate(self, client: OperatorClient) -> int:
        """Execute the command and return the exit status."""
        raise NotImplementedError

    def fail(self, failure: Failure, status: int = EXIT_FAILED) -> int:
        """Write the failure as one line and return the exit status."""
        line = f"pollenfold {self.name}: {failure.kind.value}: {failure.detail}"
        print(" ".join(line.split()), file=sys.stderr)
        return status

    async def report(
        self, client: OperatorClient, title: str, change: AcceptedChange
    ) -> int:
        """Print that the change is accepted, and then whether it is in force."""
        self.report_accepted(title, change)
        return await self.report_in_force(client, title, change)

    def report_accepted(self, title: str, change: AcceptedChange) -> None:
        """Print that the change is accepted."""
        if change.change_id is None:
            print(f"{title} already so revision={change.revision}")
        else:
            print(
                f"{title} accepted revision={change.revision} "
                f"change_id={change.change_id}",
                flush=True,
            )
        for name in change.unknown_fields:
            print(f"{title} warning: unknown field {name} is kept", file=sys.stderr)

    async def report_in_force(
        self, client: OperatorClient, title: str, change: AcceptedChange
    ) -> int:
        """Wait for the change to be in force, and print whether it is."""
        if self.wait_ms <= 0:
            return 0
        result = await wait_in_force(client, change, self.wait_ms, system_clock)
        if result.is_error():
            return self.fail(result.error)
        if result.ok:
            waiting = ",".join(result.ok)
            print(f"{title} not in force after {self.wait_ms:g} ms waiting={waiting}")
            return EXIT_NOT_IN_FORCE
        print(f"{title} in force revision={change.revision}")
        return 0


def read_files(names: list[str]) -> Result[list[tuple[str, ParsedRecord]], Failure]:
    """Read and validate records from files; ``-`` is the standard input."""
    records = []
    for name in names:
        try:
            data = sys.stdin.buffer.read() if name == "-" else Path(name).read_bytes()
        except OSError as error:
            detail = f"{name}: {error.strerror}"
            return Error(Failure(ErrorKind.BAD_RECORD, detail))
        parsed = parse_record(data)
        if parsed.is_error():
            detail = f"{name}: {parsed.error.detail}"
            return Error(Failure(parsed.error.kind, detail))
        records.append((name, parsed.ok))
    return Ok(records)


def _title(record: ParsedRecord) -> str:
    return f"{record.kind.value} {record.name} version {record.version}"


class ApplyCommand(OperatorCommand):
    """Stores records."""

    name = "apply"
    description = "Store records and wait until they are in force"
    help = """Every file holds one JSON record whose version is the stored version \
plus one. All files are checked before the first is sent.

A change whose response was lost can be sent again with the change id that was
printed, or given with --change-id: it is applied only once.

Exit status: 0 in force, 1 refused or failed, 2 invalid setting, 3 accepted but not in
force within --wait-ms.

Example: <info>pollenfold apply booking.json --change-id booking-7</info>"""
    arguments = [argument("files", "JSON files, - for stdin", multiple=True)]
    options = [
        *SERVER_OPTIONS,
        WAIT_OPTION,
        option("change-id", description="id of this change", flag=False),
    ]

    async def operate(self, client: OperatorClient) -> int:
        """Store each record in turn and stop at the first failure."""
        names = list(self.argument("files"))
        change_id_flag = self.option("change-id")
        if change_id_flag is not None and (
            len(names) > 1 or not CHANGE_ID.fullmatch(change_id_flag)
        ):
            detail = f"--change-id: expected one file and {CHANGE_ID.pattern}"
            return self.fail(Failure(ErrorKind.BAD_SETTING, detail), EXIT_BAD_SETTING)
        records = read_files(names)
        if records.is_error():
            return self.fail(records.error)
        changes: list[tuple[str, AcceptedChange]] = []
        status = 0
        for _, record in records.ok:
            change_id = change_id_flag or new_change_id()
            result = await store_record(client, record.fields, change_id)
            if result.is_error():
                detail = f"{_title(record)}: {result.error.detail}"
                status = self.fail(Failure(result.error.kind, detail))
                break
            self.report_accepted(_title(record), result.ok)
            changes.append((_title(record), result.ok))
        for title, change in changes:
            status = await self.report_in_force(client, title, change) or status
        return status


class CheckCommand(Command):
    """Validates records without a server."""

    name = "check"
    description = "Validate records without sending them"
    help = """Prints one line for each file and names the field, the value and the
expected value of an invalid record.

Example: <info>pollenfold check booking.json</info>"""
    arguments = [argument("files", "JSON files, - for stdin", multiple=True)]

    def handle(self) -> int:
        """Check every file and return 1 when one is invalid."""
        status = 0
        for name in self.argument("files"):
            result = read_files([name])
            if result.is_error():
                print(f"{result.error.kind.value}: {result.error.detail}")
                status = EXIT_FAILED
                continue
            _, record = result.ok[0]
            print(f"{name}: ok {_title(record)}")
            for field in record.unknown_fields:
                print(f"{name}: warning: unknown field {field} is kept")
        return status


class StatusCommand(OperatorCommand):
    """Prints the state of the control replicas and the entries."""

    name = "status"
    description = "Print the leader, the live entries and their latencies"
    help = """Prints one line for the leader, one for each entry with a lease, and one
for each tenant, service and class of requests that an entry has served.

Example: <info>pollenfold status --operator 10.0.0.1:7100</info>"""

    async def operate(self, client: OperatorClient) -> int:
        """Print the status of the leader, or of the first replica that responds."""
        result = await client.get("/v1/status?leader=true")
        if result.is_error():
            # Without a leader, any replica reports its own view.
            result = await client.get("/v1/status")
        if result.is_error():
            return self.fail(result.error)
        if result.ok.error is not None:
            return self.fail(Failure(ErrorKind.UNREACHABLE, result.ok.describe()))
        fields: dict[str, Any] = dict(result.ok.body)
        entries = fields.pop("entries", [])
        replica = fields.pop("replica", {})
        print(_format({**fields, **{f"log_{key}": replica[key] for key in replica}}))
        for entry in entries:
            print(_format(entry))
            await _print_latencies(client, entry)
        return 0


async def _print_latencies(client: OperatorClient, entry: dict[str, Any]) -> None:
    """Print the histograms of an entry: latencies in ms and responses by status."""
    result = await client.read_entry((entry["host"], entry["platform_port"]))
    if result.is_error() or result.ok.error is not None:
        detail = result.error.detail if result.is_error() else result.ok.describe()
        print(_format({"entry_id": entry["entry_id"], "latencies": repr(detail)}))
        return
    for row in result.ok.body["histograms"]:
        statuses = row.pop("n_by_status")
        counts = {f"n_status_{status}": n for status, n in sorted(statuses.items())}
        print(_format({"entry_id": entry["entry_id"], **row, **counts}))


def _format(fields: dict[str, Any]) -> str:
    return " ".join(f"{key}={value}" for key, value in fields.items())


class _ZoneCommand(OperatorCommand):
    arguments = [argument("zone", "name of the zone")]
    options = [*SERVER_OPTIONS, WAIT_OPTION]
    state = ""

    async def operate(self, client: OperatorClient) -> int:
        """Set the state of the zone."""
        name = self.argument("zone")
        result = await set_state(client, "zone", name, self.state)
        if result.is_error():
            return self.fail(result.error)
        return await self.report(client, f"zone {name} {self.state}", result.ok)


class ZoneOutCommand(_ZoneCommand):
    """Takes a zone out of service."""

    name = "zone out"
    description = "Take an availability zone out of service"
    state = "out"
    help = """Reads the zone record and writes it with the state out. Another
operator's decision about the state in the meantime is never overwritten.

Example: <info>pollenfold zone out zone-a</info>"""


class ZoneInCommand(_ZoneCommand):
    """Brings a zone back into service."""

    name = "zone in"
    description = "Bring an availability zone back into service"
    state = "in"
    help = """Reads the zone record and writes it with the state in. Another
operator's decision about the state in the meantime is never overwritten.

Example: <info>pollenfold zone in zone-a</info>"""


class DrainCommand(OperatorCommand):
    """Drains an endpoint."""

    name = "drain"
    description = "Stop or resume sending new requests to an endpoint"
    help = """Writes the endpoint record. --service is needed only for an endpoint
without a record.

Example: <info>pollenfold drain 10.0.0.7:8080 --service booking</info>
Example: <info>pollenfold drain 10.0.0.7:8080 --undo</info>"""
    arguments = [argument("endpoint", "ip:port")]
    options = [
        *SERVER_OPTIONS,
        WAIT_OPTION,
        option("service", description="service of the endpoint", flag=False),
        option("undo", description="resume sending requests to the endpoint"),
    ]

    async def operate(self, client: OperatorClient) -> int:
        """Set the state of the endpoint."""
        name = self.argument("endpoint")
        state = "in" if self.option("undo") else "drained"
        new_record = None
        service = self.option("service")
        if service is not None:
            service_record = await read_record(client, "service", service)
            if service_record.is_error():
                return self.fail(service_record.error)
            if service_record.ok[0] is None:
                detail = f"no service record {service}"
                return self.fail(Failure(ErrorKind.NOT_FOUND, detail))
            new_record = {
                "schema_version": 1,
                "kind": "endpoint",
                "name": name,
                "version": 1,
                "spec": {"service": service, "state": state},
            }
        result = await set_state(client, "endpoint", name, state, new_record)
        if result.is_error():
            failure = result.error
            if failure.kind is ErrorKind.NOT_FOUND:
                failure = Failure(failure.kind, f"{failure.detail}, set --service")
            return self.fail(failure)
        return await self.report(client, f"endpoint {name} {state}", result.ok)


class RequestsCommand(OperatorCommand):
    """Lists claims of non-idempotent requests that have no outcome."""

    name = "requests"
    description = "List claims of non-idempotent requests without an outcome"
    help = """Prints one line for each claim.

Example: <info>pollenfold requests</info>"""

    async def operate(self, client: OperatorClient) -> int:
        """Print the claims."""
        result = await client.get("/v1/requests")
        if result.is_error():
            return self.fail(result.error)
        if result.ok.error is not None:
            kind = result.ok.body.get("error", ErrorKind.UNREACHABLE.value)
            return self.fail(Failure(ErrorKind(kind), result.ok.describe()))
        for claim in result.ok.body["requests"]:
            print(_format(claim))
        return 0
