"""Settings of the daemons and commands, from flags and environment variables."""

from .models import (
    ControlSettings,
    EntrySettings,
    LedgerSettings,
    OperatorSettings,
    load_settings,
)

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "LedgerSettings",
    "OperatorSettings",
    "load_settings",
]
