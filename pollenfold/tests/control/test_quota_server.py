"""Configurations that a replica can't decode, and the permits it grants then."""

from types import SimpleNamespace

from pollenfold.control.quota_server import QuotaServer
from pollenfold.core.clock import add_ms
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.core.tenancy.quota_lines import PermitRequest
from pollenfold.core.tenancy.tenants import Quota
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.exposition import Metrics

KEY = "k-blue-1"


def decode(text):
    """Decode the quotas; raise UnicodeEncodeError for a text with a lone surrogate."""
    yield
    text.encode()
    return {"blue": Quota(10.0, 1.0)}


def make_server(lines):
    state = SimpleNamespace(version=0, document="")
    cluster_state = SimpleNamespace(replicated_state=state)
    feed_server = SimpleNamespace(add_part=lambda name, on_part: None)
    log = EventLog("c1", system_clock, write=lines.append)
    began_at = add_ms(system_clock(), -60_000.0)
    server = QuotaServer(
        QuotaLimits(),
        decode,
        cluster_state,
        feed_server,
        lambda: began_at,
        system_clock,
        log,
        Metrics(),
    )
    return server, state, log


def test_rejected_configuration_permits_nothing_without_an_earlier_one(run):
    """Guards against a leader that grants without a limit after a restart, because it
    can't read the configuration by whose quotas entries still ask."""

    async def body():
        server, state, _ = make_server([])
        state.version, state.document = 3, '"tenants" \ud800'
        await server.update()
        grant = server._grant(PermitRequest(1, "blue", 1_000))
        assert grant.n_granted == 0

    run(body)


def test_rejected_configuration_leaves_quotas_and_shows_no_key(run):
    """Guards against keys in the log of a configuration that can't be decoded."""

    async def body():
        lines = []
        server, state, log = make_server(lines)
        state.version, state.document = 3, '"tenants"'
        await server.update()
        state.version, state.document = 4, f'"tenants" "{KEY}" \ud800'
        await server.update()
        await server.update()
        grant = server._grant(PermitRequest(1, "blue", 1_000))
        assert 0 < grant.n_granted < 20
        log.flush()
        text = b"".join(lines).decode()
        assert text.count("event=quotas_rejected") == 1
        assert KEY not in text

    run(body)
