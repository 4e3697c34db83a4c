"""Functions common to all daemons: settings reload, metrics and termination."""

from __future__ import annotations

from collections.abc import Callable

import curio

from ..http.messages import Response
from .events import EventLog
from .exposition import Metrics


def reload_settings(
    reload: Callable[[], None], seeds: Callable[[], list[str]], log: EventLog
) -> None:
    """Reload the settings; invalid settings are logged and leave the old in force."""
    try:
        reload()
    except ValueError as error:
        log.state("settings_rejected", detail=str(error))
        return
    log.state("settings_reloaded", seeds=",".join(seeds()))


def metrics_response(metrics: Metrics, log: EventLog) -> Response:
    """Return all metrics in the text exposition format."""
    metrics.set("log_lines_dropped_total", log.n_dropped)
    text = metrics.render().encode()
    return Response(200, [(b"content-type", b"text/plain")], text)


async def wait_for_stop_task(
    group: curio.TaskGroup, stop: curio.Task, log: EventLog
) -> None:
    """Wait until the task ``stop`` ends; raise if another task ends first."""
    first_done = await group.next_done()
    if first_done is stop:
        return
    log.state("task_failed", task=first_done.name)
    log.flush()
    raise first_done.exception or RuntimeError("a task ended unexpectedly")
