"""Command line entry point of ``pollenfold``."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from .. import __version__
from .commands import (
    EXIT_BAD_SETTING,
    ApplyCommand,
    CheckCommand,
    DrainCommand,
    RequestsCommand,
    StatusCommand,
    ZoneInCommand,
    ZoneOutCommand,
)
from .daemons import ControlCommand, EntryCommand, LedgerCommand

COMMANDS = (
    EntryCommand,
    ControlCommand,
    LedgerCommand,
    ApplyCommand,
    CheckCommand,
    StatusCommand,
    ZoneOutCommand,
    ZoneInCommand,
    DrainCommand,
    RequestsCommand,
)


def make_application() -> Application:
    """Return the program with all its commands."""
    application = Application("pollenfold", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def main(arguments: list[str] | None = None) -> int:
    """Run the program and return its exit status.

    ``arguments`` replaces those of the process.
    """
    command_line = sys.argv[1:] if arguments is None else arguments
    try:
        return int(make_application().run(ArgvInput(["pollenfold", *command_line])))
    except CleoError as error:
        # An invalid flag or argument.
        print(f"pollenfold: {' '.join(str(error).split())}", file=sys.stderr)
        return EXIT_BAD_SETTING
