"""The daemons of the own interface: signals."""

import os
import signal

import curio
import pytest
from loguru import logger

from pollenfold.control.daemon import serve_control
from pollenfold.entry.daemon import serve_entry
from pollenfold.ledger.daemon import serve_ledger
from pollenfold.settings import (
    ControlSettings,
    EntrySettings,
    LedgerSettings,
    load_settings,
)
from pollenfold.testing.ports import unused_port
from pollenfold.tests.observe.conftest import handlers

__all__ = ["handlers"]


def settings_of(model, folder):
    """Return settings with an address of its own for each port of a role."""
    peer = f"x=127.0.0.1:{unused_port()}"
    flags = {
        "entry_id": "x",
        "replica_id": "x",
        "zone": "a",
        "host": "127.0.0.1",
        "caller_port": str(unused_port()),
        "platform_port": str(unused_port()),
        "peer_port": str(unused_port()),
        "operator_port": str(unused_port()),
        "control": peer,
        "peers": peer,
        "data_folder": str(folder),
        "token": "secret",
        "drain_notice_ms": "0",
    }
    if model is EntrySettings:
        flags["ledger"] = peer
    known = {name: flags[name] for name in model.model_fields if name in flags}
    return load_settings(model, known).ok


@pytest.mark.parametrize(
    ("serve", "model", "started"),
    [
        (serve_entry, EntrySettings, "event=started"),
        (serve_control, ControlSettings, "event=started"),
        (serve_ledger, LedgerSettings, "event=ledger_listening"),
    ],
)
def test_reload_signal_is_refused_and_ends_nothing(
    run, tmp_path, serve, model, started
):
    """Guards against SIGHUP that ends a daemon and resets its connections."""
    lines = []
    unhandled = []
    signal.signal(signal.SIGHUP, lambda number, frame: unhandled.append(number))

    async def wait_for_line(text):
        while not any(text in line for line in lines):
            await curio.sleep(0.01)

    async def main():
        daemon = await curio.spawn(serve, settings_of(model, tmp_path))
        await wait_for_line(started)
        os.kill(os.getpid(), signal.SIGHUP)
        async with curio.timeout_after(3):
            await wait_for_line("event=reload_refused")
        assert not daemon.terminated
        os.kill(os.getpid(), signal.SIGTERM)
        await daemon.join()

    sink = logger.add(lines.append, format="{message}")
    try:
        run(main)
    finally:
        logger.remove(sink)
    assert unhandled == []
