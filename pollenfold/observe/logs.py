"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from .events import EventLog


def configure_logs(role: str, level: str = "INFO") -> None:
    """Write events of this process to stderr, each with its role."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format=(
            "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level.name} "
            f"role={role} {{message}}"
        ),
    )


def forward_logs(log: EventLog) -> None:
    """Forward loguru messages of shared modules to the rate-limited event log."""
    logger.remove()
    logger.add(lambda message: log.preformatted(message.rstrip()), format="{message}")


def refuse_reload() -> None:
    """Log that SIGHUP changes nothing, for a daemon without settings to read again."""
    logger.warning(
        "event=reload_refused detail={!r}", "settings are read only at the start"
    )


def log_failed_step(step: str, error: BaseException) -> None:
    """Log the failure of a step of a stop."""
    logger.error("event=stop_step_failed step={} detail={!r}", step, error)
