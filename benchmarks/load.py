"""Open-loop load generator: the seed sets the send times, not earlier responses.

``python -m benchmarks.load --targets 127.0.0.1:8080 --rate-per-s 500`` prints one
``name=value`` line for each figure.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import curio
from hdrh.histogram import HdrHistogram
from pydantic import Field
from pydantic_settings import BaseSettings, SettingsConfigDict

from pollenfold.observe.clock import system_clock
from pollenfold.testing.response_bodies import check_response_body

from .arrivals import burst_arrivals, poisson_arrivals
from .connection import CallerConnection, Response, ResponseError, encode_request

Address = tuple[str, int]

SPIN_MS = 1.5
"""The event loop wakes with a resolution of 1 ms, so the end of each wait polls the
clock. Otherwise the latencies would include up to one millisecond of timer delay."""

MAX_LATENCY_US = 60_000_000


@dataclass(frozen=True, slots=True)
class CallKind:
    """One class of requests, with its share of the calls."""

    name: str
    method: str
    path: str
    share: float
    has_key: bool = False


DEFAULT_KINDS = (
    CallKind("idempotent", "GET", "/pearl-market/stock/check", 0.9),
    CallKind("non_idempotent", "POST", "/pearl-market/orders/bulk", 0.1, has_key=True),
)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Calls and targets of one load run; equal plans send equal calls.

    ``n_connections`` limits the concurrent calls. A call waits while all connections
    are busy, and its wait is part of its latency. ``name`` makes the keys of different
    plans distinct. ``healthy``, when given, is a collection that another task updates;
    only targets in it receive calls, as behind a platform load balancer.
    """

    targets: tuple[Address, ...]
    rate_per_s: float
    duration_ms: float
    seed: int
    kinds: tuple[CallKind, ...] = DEFAULT_KINDS
    is_bursty: bool = False
    n_connections: int = 64
    timeout_ms: float = 5000
    name: str = "load"
    healthy: Collection[Address] | None = None


@dataclass(slots=True)
class ClassResult:
    """Figures of one class; latencies in microseconds from the scheduled send time.

    ``round_p99_ms`` holds the 99th percentile of each added run.
    """

    n_sent: int = 0
    n_complete: int = 0
    wrong: Counter[str] = field(default_factory=Counter)
    broken: Counter[str] = field(default_factory=Counter)
    refusals: Counter[tuple[str, str]] = field(default_factory=Counter)
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )

    round_p99_ms: list[float] = field(default_factory=list)

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile of the complete responses."""
        return float(self.latency.get_value_at_percentile(percentile)) / 1000

    def add(self, other: ClassResult) -> None:
        """Add the figures of another run of the same class."""
        self.n_sent += other.n_sent
        self.n_complete += other.n_complete
        self.wrong += other.wrong
        self.broken += other.broken
        self.refusals += other.refusals
        self.latency.add(other.latency)
        self.round_p99_ms.append(other.percentile_ms(99))


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one call as seen by the caller.

    ``state`` is ``whole`` for a complete response, ``unknown`` for an incomplete or
    missing one, or the run state of a refusal. ``due`` is the scheduled time on the
    system clock, and ``latency_ms`` counts from it.
    """

    kind: CallKind
    request_id: str
    key: str
    target: Address
    state: str
    due: float = 0.0
    latency_ms: float = 0.0


@dataclass(slots=True)
class LoadResult:
    """Figures by class, and the outcome of each call."""

    classes: dict[str, ClassResult]
    outcomes: list[Outcome] = field(default_factory=list)
    duration_ms: float = 0.0

    @property
    def n_complete(self) -> int:
        """The number of complete responses of all classes."""
        return sum(result.n_complete for result in self.classes.values())

    def lines(self, prefix: str) -> Iterator[str]:
        """Yield the figures as ``name=value`` lines."""
        for name, class_result in self.classes.items():
            class_prefix = f"{prefix}.{name}"
            yield f"{class_prefix}.sent={class_result.n_sent}"
            yield f"{class_prefix}.whole={class_result.n_complete}"
            for percentile in (50, 99, 99.9):
                value = class_result.percentile_ms(percentile)
                yield f"{class_prefix}.p{percentile}_ms={value:.3f}"
            for (error, state), n in sorted(class_result.refusals.items()):
                yield f"{class_prefix}.refused.{error}.{state}={n}"
            for reason, n in sorted((class_result.broken + class_result.wrong).items()):
                yield f"{class_prefix}.{reason.replace(' ', '_')}={n}"


@dataclass(slots=True)
class Call:
    """One scheduled call; ``due`` is on the system clock."""

    kind: CallKind
    due: float
    request_id: str
    key: str


class Sender:
    """Sends calls one at a time, over one connection per target."""

    def __init__(
        self, plan: LoadPlan, result: LoadResult, first_target: int = 0
    ) -> None:
        self._plan = plan
        self._result = result
        self._target_index = first_target
        self._connections: dict[Address, CallerConnection] = {}

    async def open(self) -> None:
        """Connect to the first target, so that no latency includes the connect time.

        A failure is ignored here; the call that uses the connection reports it.
        """
        with suppress(OSError):
            await self._connection(self._plan.targets[self._target_index]).open()

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            await connection.close()

    async def send(self, call: Call, target: Address | None = None) -> None:
        """Send a call to the given or the next target, and record its outcome."""
        kind = call.kind
        class_result = self._result.classes[kind.name]
        target = target or self._next_target()
        headers = {"X-Request-Id": call.request_id}
        if call.key:
            headers["Idempotency-Key"] = call.key
        request = encode_request(kind.method, kind.path, target[0], headers)
        class_result.n_sent += 1
        state = "unknown"
        try:
            connection = self._connection(target)
            response = await connection.call(request, self._plan.timeout_ms)
            state = _record_response(call, response, class_result)
        except ResponseError as error:
            class_result.broken[str(error)] += 1
        latency_ms = system_clock() - call.due
        self._result.outcomes.append(
            Outcome(
                kind, call.request_id, call.key, target, state, call.due, latency_ms
            )
        )

    def _next_target(self) -> Address:
        """Return the next healthy target.

        Without health data or a healthy target, return the current one.
        """
        targets, healthy = self._plan.targets, self._plan.healthy
        if healthy is None:
            return targets[self._target_index]
        for _ in targets:
            self._target_index = (self._target_index + 1) % len(targets)
            if targets[self._target_index] in healthy:
                break
        return targets[self._target_index]

    def _connection(self, target: Address) -> CallerConnection:
        if target not in self._connections:
            self._connections[target] = CallerConnection(*target)
        return self._connections[target]


def plan_calls(plan: LoadPlan) -> Iterator[Call]:
    """Yield the calls of a plan with their due times from the start."""
    rng = random.Random(plan.seed)
    arrivals = burst_arrivals if plan.is_bursty else poisson_arrivals
    for n, due in enumerate(arrivals(plan.rate_per_s, plan.duration_ms, rng)):
        yield _next_call(plan, rng, f"{n}", due)


def _next_call(plan: LoadPlan, rng: random.Random, number: str, due: float) -> Call:
    kind = rng.choices(plan.kinds, [kind.share for kind in plan.kinds])[0]
    call_id = f"{plan.name}-{plan.seed}-{number}"
    return Call(kind, due, call_id, f"key-{call_id}" if kind.has_key else "")


def _new_result(plan: LoadPlan) -> LoadResult:
    return LoadResult({kind.name: ClassResult() for kind in plan.kinds})


async def run_load(plan: LoadPlan) -> LoadResult:
    """Send the calls of the plan and return when all of them have an outcome."""
    result = _new_result(plan)
    calls: curio.Queue = curio.Queue()
    workers = []
    for n in range(plan.n_connections):
        sender = Sender(plan, result, n % len(plan.targets))
        await sender.open()
        workers.append(await curio.spawn(_send_calls, calls, sender))
    start = system_clock()
    try:
        for call in plan_calls(plan):
            call.due += start
            await _wait_until(call.due)
            await calls.put(call)
        for _ in workers:
            await calls.put(None)
        for worker in workers:
            await worker.join()
    finally:
        for worker in workers:
            await worker.cancel()
    result.duration_ms = system_clock() - start
    return result


async def run_closed_loop(plan: LoadPlan) -> LoadResult:
    """Send closed-loop load: the next call on a connection follows the last response.

    This measures the maximum throughput. The latencies exclude queueing and are not
    comparable with those of ``run_load``.
    """
    result = _new_result(plan)
    start = system_clock()

    async def repeat(worker: int) -> None:
        sender = Sender(plan, result, worker % len(plan.targets))
        rng = random.Random(f"{plan.seed}:{worker}")
        n = 0
        while (now := system_clock()) - start < plan.duration_ms:
            n += 1
            await sender.send(_next_call(plan, rng, f"{worker}-{n}", now))
        await sender.close()

    async with curio.TaskGroup() as group:
        for worker in range(plan.n_connections):
            await group.spawn(repeat, worker)
    result.duration_ms = system_clock() - start
    return result


async def _wait_until(due: float) -> None:
    while (left_ms := due - system_clock()) > 0:
        await curio.sleep(max(0, left_ms - SPIN_MS) / 1000)


async def _send_calls(calls: curio.Queue, sender: Sender) -> None:
    while (call := await calls.get()) is not None:
        await sender.send(call)
    await sender.close()


def _record_response(call: Call, response: Response, class_result: ClassResult) -> str:
    """Record a response and return the resulting ``Outcome.state``."""
    if response.status != 200:
        refusal = response.refusal()
        class_result.refusals[refusal] += 1
        return refusal[1]
    problem = check_response_body(response.body, call.request_id, call.key)
    if problem is not None:
        class_result.wrong[
            "not whole" if problem == "not whole" else "not its own"
        ] += 1
        return "unknown"
    class_result.n_complete += 1
    latency_us = round((system_clock() - call.due) * 1000)
    class_result.latency.record_value(max(1, min(latency_us, MAX_LATENCY_US)))
    return "whole"


class LoadSettings(BaseSettings):
    """Flags of the load tool."""

    model_config = SettingsConfigDict(cli_kebab_case=True)

    targets: list[str]
    rate_per_s: float = Field(default=200, gt=0)
    duration_s: float = Field(default=10, gt=0)
    seed: int = 1
    bursty: bool = False
    n_connections: int = Field(default=64, ge=1)
    timeout_ms: float = Field(default=5000, gt=0)


def main() -> int:
    """Run one plan; the exit status is 1 when a response was wrong."""
    settings = LoadSettings(_cli_parse_args=True)  # type: ignore[call-arg]
    targets = [target.rpartition(":") for target in settings.targets]
    plan = LoadPlan(
        tuple((host, int(port)) for host, _, port in targets),
        settings.rate_per_s,
        settings.duration_s * 1000,
        settings.seed,
        is_bursty=settings.bursty,
        n_connections=settings.n_connections,
        timeout_ms=settings.timeout_ms,
    )
    result = curio.run(run_load, plan)
    for line in result.lines("load"):
        print(line)
    return 1 if any(c.wrong for c in result.classes.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
