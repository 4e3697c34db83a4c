"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import sys

from loguru import logger


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
