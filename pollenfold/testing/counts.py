"""Counters of a fake backend server, from which tests check the guarantees."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import IO, Any


@dataclass(slots=True)
class Counts:
    """Counters since the start of the process; seconds are Unix time.

    ``run_log`` gets one line with request id and key for each execution, so that the
    executions of a killed process can still be counted.
    """

    n_received: int = 0
    n_runs: int = 0
    n_completed: int = 0
    n_refused: int = 0
    n_failed: int = 0
    n_stopped_by_caller: int = 0
    n_stopped_by_deadline: int = 0
    n_overload_violations: int = 0
    greatest_in_flight: int = 0
    greatest_in_flight_cold: int = 0
    greatest_working: int = 0
    n_probes: int = 0
    n_probe_bytes: int = 0
    n_report_bytes: int = 0
    n_announced: int = 0
    n_announcements_failed: int = 0
    last_received_after_leaving_ms: float = 0.0
    received_by_second: Counter[int] = field(default_factory=Counter)
    probes_by_second: Counter[int] = field(default_factory=Counter)
    runs: Counter[str] = field(default_factory=Counter)
    run_log: IO[bytes] | None = None

    def record_request(self) -> None:
        """Count a received request for work, including one that is refused later."""
        self.n_received += 1
        self.received_by_second[int(time.time())] += 1

    def record_probe(self, n_bytes: int) -> None:
        """Count a probe of the health or load path."""
        self.n_probes += 1
        self.n_probe_bytes += n_bytes
        self.probes_by_second[int(time.time())] += 1

    def record_execution(self, request_id: str, key: str) -> int:
        """Count the start of an execution; return how often its key was executed."""
        self.n_runs += 1
        if self.run_log is not None:
            self.run_log.write(f"{request_id}\t{key}\n".encode())
        if not key:
            return 1
        self.runs[key] += 1
        return self.runs[key]

    def as_json(self) -> dict[str, Any]:
        """Return the body of ``/stand-in/counts``."""
        excluded = {"run_log", "received_by_second", "probes_by_second", "runs"}
        scalars = {
            name: getattr(self, name) for name in self.__slots__ if name not in excluded
        }
        return {
            **scalars,
            "received_by_second": dict(self.received_by_second),
            "probes_by_second": dict(self.probes_by_second),
            "greatest_runs": max(self.runs.values(), default=0),
            "runs": dict(self.runs),
        }
