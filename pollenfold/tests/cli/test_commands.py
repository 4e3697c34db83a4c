"""The operator commands against a control replica."""

import json
import os

import curio
import pytest

from pollenfold.cli.client import OperatorClient
from pollenfold.cli.commands import _print_latencies
from pollenfold.cli.main import COMMANDS, main
from pollenfold.cli.operations import set_state, store_record
from pollenfold.core.directory import LiveEntry
from pollenfold.core.errors import ErrorKind
from pollenfold.core.records import RequestClass, Rule
from pollenfold.entry.platform import PlatformInterface
from pollenfold.http.server import HttpServer
from pollenfold.observe.clock import system_clock
from pollenfold.observe.histograms import Histograms
from pollenfold.testing.control import TOKEN, FakeControlReplica
from pollenfold.testing.endpoints import make_service


@pytest.fixture(autouse=True)
def environment(monkeypatch):
    for name in [name for name in os.environ if name.startswith("POLLENFOLD_")]:
        monkeypatch.delenv(name)
    monkeypatch.setenv("POLLENFOLD_TOKEN", TOKEN)


@pytest.fixture
def program(capsys):
    """Return a coroutine function that runs a command.

    It returns exit status, output and errors.
    """

    async def run_program(control, *arguments):
        host, port = control.operator_address
        given = [*arguments, "--operator", f"{host}:{port}"]
        status = await curio.run_in_thread(main, given)
        output = capsys.readouterr()
        return status, output.out, output.err

    return run_program


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a record to a file and returns the file name."""

    def write_record(kind="zone", name="a", version=1, **spec):
        path = tmp_path / f"{kind}-{name}-{version}.json"
        path.write_text(json.dumps(record(kind, name, version, **spec)))
        return str(path)

    return write_record


def record(kind="zone", name="a", version=1, **spec):
    fields = {"schema_version": 2, "kind": kind, "name": name, "version": version}
    return {**fields, "spec": spec}


def stored(control, kind="zone", name="a"):
    return json.loads(control.state.configuration.records[kind, name].data)


def test_apply_reports_accepted_then_in_force(control_run, program, write):
    """Guards against a change that is reported in force too early or never."""

    async def steps(control):
        first = write()
        status, out, err = await program(control, "apply", first, "--change-id", "x1")
        lines = out.splitlines()
        assert lines[0] == "zone a version 1 accepted revision=1 change_id=x1"
        assert (lines[1], status) == ("zone a version 1 in force revision=1", 0)
        again = await program(control, "apply", first, "--change-id", "x1")
        assert again == (0, out, err)
        status, out, err = await program(control, "apply", first)
        assert (status, out) == (1, "")
        assert "version_conflict: zone a version 1: " in err
        assert "expected version 2" in err

    control_run(steps)


def test_apply_names_the_entry_that_lacks_the_change(control_run, program, write):
    """Guards against a change reported in force while an entry still lacks it."""

    async def steps(control):
        directory = control.state.leadership().directory
        entry = LiveEntry("e7", 1, "127.0.0.1", 1, 2, 3, "a")

        async def renew():
            while True:
                directory.grant(entry, 0, system_clock())
                await curio.sleep(0.05)

        task = await curio.spawn(renew)
        status, out, _ = await program(control, "apply", write(), "--wait-ms", "300")
        assert status == 3
        assert "not in force after 300 ms waiting=e7" in out
        await task.cancel()

    control_run(steps)


def test_bad_file_stops_apply_before_anything_is_sent(control_run, program, write):
    """Guards against storing only some records of a set that has an invalid one."""

    async def steps(control):
        invalid_file = write(name="b", state="gone")
        status, out, err = await program(control, "apply", write(), invalid_file)
        assert (status, out) == (1, "")
        assert "spec.state: got 'gone', expected 'in' or 'out'" in err
        assert control.state.configuration.revision == 0
        assert await curio.run_in_thread(main, ["check", invalid_file]) == 1

    control_run(steps)


def test_zone_out_and_in_keep_the_other_fields(control_run, program, write):
    """Guards against a command that drops fields of a later schema."""

    async def steps(control):
        await program(control, "apply", write(region="r", later={"x": 1}))
        status, out, _ = await program(control, "zone", "out", "a")
        assert status == 0
        assert "zone a out in force revision=2" in out
        expected = {"region": "r", "later": {"x": 1}, "state": "out"}
        assert stored(control)["spec"] == expected
        _, out, _ = await program(control, "zone", "out", "a")
        assert "already so" in out
        await program(control, "zone", "in", "a")
        assert stored(control)["version"] == 3
        status, _, err = await program(control, "zone", "out", "b")
        assert (status, "not_found: no zone record b" in err) == (1, True)

    control_run(steps)


class RacingClient(OperatorClient):
    """A client whose first change comes just after those of another operator."""

    def __init__(self, control, others):
        super().__init__([control.operator_address], TOKEN, system_clock, 2000)
        self.others = others

    async def post_record(self, data, change_id):
        while self.others:
            other = json.dumps(self.others.pop(0)).encode()
            reply = await super().post_record(other, f"other-{len(self.others)}")
            assert reply.ok.error is None
        return await super().post_record(data, change_id)


@pytest.mark.parametrize(
    "others, error, final",
    [
        ([{"state": "in", "region": "new"}], None, {"state": "out", "region": "new"}),
        ([{"state": "out"}], None, {"state": "out"}),
        (
            [{"state": "out"}, {"state": "in", "region": "r3"}],
            ErrorKind.VERSION_CONFLICT,
            {"state": "in", "region": "r3"},
        ),
    ],
)
def test_conflict_never_overwrites_another_decision(control_run, others, error, final):
    """Guards against a command that overwrites the change of another operator."""

    async def steps(control):
        changes = [record(version=2 + n, **spec) for n, spec in enumerate(others)]
        client = RacingClient(control, [])
        await store_record(client, record(state="in"), "first")
        client.others = changes
        result = await set_state(client, "zone", "a", "out")
        assert (result.error.kind if result.is_error() else None) is error
        assert stored(control)["spec"] == final

    control_run(steps)


def test_drain_and_undo(control_run, program, write):
    """Guards against an endpoint that can't be drained, or can't be put back."""

    async def steps(control):
        name = "10.0.0.7:80"
        assert (await program(control, "drain", name))[0] == 1
        status, _, err = await program(control, "drain", name, "--service", "s")
        assert (status, "no service record s" in err) == (1, True)
        service = write("service", "s", tenant="t", path_prefix="/s")
        await program(control, "apply", service)
        assert (await program(control, "drain", name, "--service", "s"))[0] == 0
        assert stored(control, "endpoint", name)["spec"]["state"] == "drained"
        assert (await program(control, "drain", name, "--undo"))[0] == 0
        assert stored(control, "endpoint", name)["spec"]["state"] == "in"

    control_run(steps)


def test_commands_follow_the_leader(control_run, program, write):
    """Guards against commands that only work when sent to the leader.

    No ledger is available here, so ``requests`` must fail with that reason.
    """

    async def steps(control):
        follower = FakeControlReplica("c2", control.peers, control.operators)
        await follower.start()
        follower.replica.follow("c1")
        assert (await program(follower, "apply", write()))[0] == 0
        status, out, _ = await program(follower, "status")
        assert (status, "replica_id=c1 " in out) == (0, True)
        status, _, err = await program(follower, "requests")
        assert (status, "ledger_unavailable" in err) == (1, True)
        await follower.stop()

    control_run(steps)


@pytest.mark.parametrize("command", COMMANDS)
def test_every_command_has_help_with_an_example(command, capsys):
    """Guards against a command that an operator can't use without the source."""
    assert main([*command.name.split(), "--help"]) == 0
    assert "Example: pollenfold " in capsys.readouterr().out


CONTROL = "control --replica-id c1 --zone a --host 127.0.0.1 --operator-port 7100 "
CONTROL += "--data-folder data"


@pytest.mark.parametrize(
    "arguments, expected",
    [
        ("status", "operator: missing, set --operator or POLLENFOLD_OPERATOR"),
        ("status --operator x", "such as 10.0.0.1:7000, not 'x'"),
        ("status --operator 10.0.0.1:99999", "a port from 1 to 65535, not 99999"),
        ("status --operator 10.0.0.1:1 --token=", "expected printable ASCII"),
        ("apply f --operator 10.0.0.1:1 --change-id !", "--change-id: expected"),
        ("status --nothing", "--nothing"),
        ("control", "replica_id: missing, set --replica-id"),
        (f"{CONTROL} --peers c2=10.0.0.2:1", "peers with the replica id 'c1'"),
        (f"{CONTROL} --peers c1", "not 'c1'"),
        (f"{CONTROL} --peers c1=a:1,c1=b:1", "an IP address"),
        (f"{CONTROL} --peers c1=1.1.1.1:1,c1=1.1.1.1:2", "each id once"),
        ("entry --entry-id a/b", "entry_id (--entry-id or POLLENFOLD_ENTRY_ID)"),
        ("entry --entry-id a --zone a --host localhost", "an IP address"),
        ("ledger --replica-id l1", "host: missing"),
    ],
)
def test_wrong_setting_is_one_line_and_exit_status_2(arguments, expected, capsys):
    """Guards against an invalid setting that is accepted or reported as a traceback."""
    assert main(arguments.split()) == 2
    output = capsys.readouterr()
    assert (output.out, output.err.count("\n")) == ("", 1)
    assert expected in output.err


def test_status_prints_the_latencies_of_entries(run, capsys):
    """Guards against a status without the latencies by tenant and class."""

    async def main_task():
        histograms = Histograms()
        rule = Rule(("GET",), "/", RequestClass.IDEMPOTENT)
        spec = make_service(name="booking", tenant="khanom", rules=(rule,))
        histograms.record(spec, RequestClass.IDEMPOTENT, 200, 12.0)
        platform = PlatformInterface(
            lambda: None, None, lambda: {"histograms": histograms.summary()}, "secret"
        )
        server = HttpServer(platform.handle)
        port = await server.start("127.0.0.1", 0)
        client = OperatorClient([], "secret", system_clock, 1000)
        entry = {"entry_id": "e1", "host": "127.0.0.1", "platform_port": port}
        await _print_latencies(client, entry)
        await server.stop()
        await _print_latencies(client, entry)

    run(main_task)
    first, second = capsys.readouterr().out.splitlines()
    assert "entry_id=e1 tenant=khanom service=booking class=idempotent" in first
    assert "n_responses=1" in first and "p99_ms=12" in first
    assert "n_status_200=1" in first
    assert second.startswith("entry_id=e1 latencies=")
