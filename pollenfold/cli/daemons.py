"""The commands that run the daemons."""

from __future__ import annotations

import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar

import curio
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from loguru import logger
from pydantic_settings import BaseSettings

from ..observe.logs import configure_logs
from ..observe.signals import RELOAD_SIGNAL
from ..settings import ControlSettings, EntrySettings, LedgerSettings, load_settings
from ..settings.models import ENVIRONMENT_PREFIX
from ..wire.receive_buffers import receive_buffers
from .commands import EXIT_BAD_SETTING, EXIT_FAILED

ServeFunction = Callable[[Any], Awaitable[None]]


def _settings_options(model: type[BaseSettings]) -> list[Option]:
    """Return one flag for each setting."""
    return [
        option(
            name.replace("_", "-"),
            description=f"{field.description}; {ENVIRONMENT_PREFIX}{name.upper()}",
            flag=False,
        )
        for name, field in model.model_fields.items()
    ]


class DaemonCommand(Command):
    """Runs a daemon with settings from flags and the environment."""

    model: ClassVar[type[BaseSettings]]

    def handle(self) -> int:
        """Run the daemon until it is stopped."""
        # By default SIGHUP would end the process while it loads its modules.
        signal.signal(RELOAD_SIGNAL, signal.SIG_IGN)
        names = [name for name in self.model.model_fields]
        flags = {
            name: str(self.option(name.replace("_", "-")))
            for name in names
            if self.option(name.replace("_", "-")) is not None
        }
        loaded = load_settings(self.model, flags)
        if loaded.is_error():
            print(f"pollenfold {self.name}: {loaded.error.detail}", file=sys.stderr)
            return EXIT_BAD_SETTING
        configure_logs(str(self.name))
        settings = loaded.ok
        receive_buffers.configure(settings.memory_mb << 20, settings.max_descriptors)
        try:
            curio.run(self.import_serve_function(), settings)
        except (OSError, RuntimeError, ValueError) as error:
            # A port in use, an unusable data folder, or a task that ended unexpectedly.
            logger.error("event=stopped error={!r}", error)
            return EXIT_FAILED
        return 0

    def import_serve_function(self) -> ServeFunction:
        """Import the daemon of this role only, and return its coroutine function."""
        raise NotImplementedError


class EntryCommand(DaemonCommand):
    """Runs an entry."""

    name = "entry"
    description = "Run an entry, which proxies requests to backend servers"
    model = EntrySettings
    options = _settings_options(EntrySettings)
    help = """Example: <info>pollenfold entry --entry-id e1 --zone a --host 10.0.0.9 \
--caller-port 8080 --platform-port 8081 --peer-port 8082 \
--control c1=10.0.0.1:7000 --ledger l1=10.0.0.2:7200</info>"""

    def import_serve_function(self) -> ServeFunction:
        """Import the entry daemon."""
        from ..entry.daemon import serve_entry

        return serve_entry


class ControlCommand(DaemonCommand):
    """Runs a control replica."""

    name = "control"
    description = "Run a control replica, which keeps the configuration"
    model = ControlSettings
    options = _settings_options(ControlSettings)
    help = """Example: <info>pollenfold control --replica-id c1 --zone a \
--host 10.0.0.1 --peers c1=10.0.0.1:7000,c2=10.0.0.2:7000,c3=10.0.0.3:7000 \
--operator-port 7100 --data-folder control-data</info>"""

    def import_serve_function(self) -> ServeFunction:
        """Return the function that runs the control daemon."""
        from ..control.daemon import serve_control

        return serve_control


class LedgerCommand(DaemonCommand):
    """Runs a ledger replica."""

    name = "ledger"
    description = "Run a ledger replica, which records non-idempotent requests"
    model = LedgerSettings
    options = _settings_options(LedgerSettings)
    help = """Example: <info>pollenfold ledger --replica-id l1 --host 10.0.0.1 \
--peers l1=10.0.0.1:7200,l2=10.0.0.2:7200,l3=10.0.0.3:7200 \
--data-folder ledger-data</info>"""

    def import_serve_function(self) -> ServeFunction:
        """Import the ledger daemon."""
        from ..ledger.daemon import serve_ledger

        return serve_ledger
