"""Functions common to all daemons: settings reload, metrics and termination."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import curio

from ..http.messages import Response
from ..http.server import HttpServer
from .clock import system_clock
from .error_text import error_text
from .events import EventLog
from .exposition import Metrics
from .signals import Signals, StopRequest
from .steps import OnFailed

METRICS_RETRY_MS = 1_000.0


def reload_settings(
    reload: Callable[[], None], seeds: Callable[[], list[str]], log: EventLog
) -> None:
    """Reload the settings; invalid settings are logged and leave the old in force.

    No content of the file may end the process, so any error rejects the settings.
    """
    try:
        reload()
    except Exception as error:
        log.state("settings_rejected", detail=str(error) or repr(error))
        return
    log.state("settings_reloaded", seeds=",".join(seeds()))


def metrics_response(metrics: Metrics, log: EventLog) -> Response:
    """Return all metrics in the text exposition format."""
    metrics.set("log_lines_dropped_total", log.n_dropped)
    text = metrics.render().encode()
    return Response(200, [(b"content-type", b"text/plain")], text)


async def serve_metrics(
    server: HttpServer, host: str, port: int | None, log: EventLog
) -> None:
    """Serve metrics as soon as their port is free; without a port, don't.

    A process does its work without this server, so it never waits for the port.
    """
    if port is None:
        log.state("metrics_unavailable", detail="no port is left for them")
        return
    try:
        await server.start(host, port)
    except OSError as error:
        log.state("metrics_unavailable", port=port, detail=str(error))
        await curio.spawn(_retry_metrics, server, host, port, log, daemon=True)


async def _retry_metrics(
    server: HttpServer, host: str, port: int, log: EventLog
) -> None:
    while True:
        await curio.sleep(METRICS_RETRY_MS / 1000)
        try:
            await server.start(host, port)
        except OSError:
            continue
        log.state("metrics_available", port=port)
        return


@dataclass(frozen=True, slots=True)
class End:
    """Why a daemon ends: a signal, or the failure of one of its tasks.

    After a failure it drains like after a signal, since its callers are not to blame,
    and raises ``failure`` then.
    """

    stop: StopRequest
    failure: BaseException | None = None


def failed_step_logger(log: EventLog) -> OnFailed:
    """Return a function that logs the failure of a step of a stop."""

    def log_failed_step(step: str, error: BaseException) -> None:
        log.state("stop_step_failed", step=step, detail=error_text(error))

    return log_failed_step


def end_after_failure(failure: BaseException, log: EventLog, signals: Signals) -> End:
    """Return the end of a daemon that can't go on, and log it.

    If it was to stop anyway, the grace period counts from the signal.
    """
    log.state("daemon_failed", detail=error_text(failure))
    log.flush()
    return End(signals.stop_request or StopRequest("none", system_clock()), failure)


async def wait_for_end(
    group: curio.TaskGroup, stop: curio.Task, log: EventLog, signals: Signals
) -> End:
    """Wait until the task ``stop`` returns a stop request, or any task fails."""
    first_done = await group.next_done()
    if first_done is stop and first_done.exception is None:
        return End(stop.result)
    log.state("task_failed", task=first_done.name)
    error = first_done.exception or RuntimeError("a task ended unexpectedly")
    return end_after_failure(error, log, signals)
