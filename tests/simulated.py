"""The core, the engine and the routes in simulated time, with servers whose outcomes are planned.

The servers record when the bytes of each attempt were sent and how it ended. The rules are checked on these
records, not on the gateway's state.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from glenchute.core.executor import RequestExecutor
from glenchute.core.types import (
    Address,
    AttemptContext,
    AttemptResult,
    Call,
    Failed,
    FinalResponse,
    Rejected,
    ResponseSource,
    Served,
)
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, Outcome
from glenchute.policy.retries.route_limits import RouteTable
from glenchute.policy.settings import Idempotency, IdempotencyScope, Plan, RequestClass, Settings, SlowStart

MAY_HAVE_RUN = (Outcome.OK, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED)
ZONES = "aab"


class SimulatedTimer:
    """The handle of a scheduled call."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class SimulatedLoop:
    """The part of an event loop that the core uses. Time passes only in `run`."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.queue: list[tuple[float, int, SimulatedTimer, Callable[..., Any], tuple[Any, ...]]] = []
        self.order = itertools.count()

    def time(self) -> float:
        return self.now

    def call_at(self, at: float, call: Callable[..., Any], *args: Any) -> SimulatedTimer:
        handle = SimulatedTimer()
        heapq.heappush(self.queue, (max(at, self.now), next(self.order), handle, call, args))
        return handle

    def call_later(self, delay: float, call: Callable[..., Any], *args: Any) -> SimulatedTimer:
        return self.call_at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Runs all calls that are due until this time, in order. An exception of a call ends the run."""
        while self.queue and self.queue[0][0] <= until:
            at, _, handle, call, args = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            if not handle.cancelled:
                call(*args)
        self.now = max(self.now, until)


class SimulatedClock:
    """The engine's clock, which follows the simulated loop."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self.loop = loop

    def now_ms(self) -> float:
        return self.loop.now * 1000.0


@dataclass(frozen=True)
class PlannedOutcome:
    """How an attempt will end.

    Its bytes are sent after `connect_s`, or never if that exceeds the connect timeout. It ends with `outcome`
    after a further `duration_s`, or gets no response if that is 1e6 or more.
    """

    connect_s: float
    duration_s: float
    outcome: Outcome


@dataclass
class AttemptRecord:
    """What happened to one attempt, as the server saw it."""

    request: bytes
    server: str
    started_at: float
    sent_at: float | None = None  # when its bytes were sent
    ended_at: float | None = None
    outcome: Outcome | None = None
    timeout_s: float = 0.0


@dataclass
class SimulatedCall(Call):
    """A request that is encoded as its id."""

    idempotency: Idempotency = Idempotency.IDEMPOTENT

    def encode(self, left_ms: int) -> bytes:
        return self.request_id


class SimulatedAttempt:
    """An attempt that behaves as those of the real upstreams.

    It has its own timeout, sends nothing after `write_by`, and reports one result.
    """

    def __init__(
        self,
        servers: SimulatedServers,
        record: AttemptRecord,
        planned: PlannedOutcome,
        done: Callable[[AttemptResult], None],
        write_by: float,
    ) -> None:
        self.servers, self.record, self.planned, self.done = servers, record, planned, done
        self.started_at = record.started_at
        self.write_by = write_by
        self.is_written = False
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None
        self.has_ended = False

    def start(self) -> None:
        loop = self.servers.loop
        loop.call_later(self.record.timeout_s, self.stop, Outcome.TIMEOUT)
        connect_s = min(self.planned.connect_s, self.servers.connect_s)
        loop.call_later(connect_s, self.on_connected, self.planned.connect_s <= self.servers.connect_s)

    def on_connected(self, is_connected: bool) -> None:
        if self.has_ended:
            return
        if not is_connected or self.servers.loop.now > self.write_by:
            self.end(Outcome.UNREACHABLE)
            return
        self.is_written, self.record.sent_at = True, self.servers.loop.now
        self.servers.check_sent(self.record)
        if self.planned.duration_s < 1e6:
            self.servers.loop.call_later(self.planned.duration_s, self.end, self.planned.outcome)

    def stop(self, outcome: Outcome) -> None:
        self.end(outcome if self.is_written else Outcome.UNREACHABLE)

    def end(self, outcome: Outcome) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        self.record.ended_at, self.record.outcome = self.servers.loop.now, outcome
        self.done(AttemptResult(outcome, self.record.request if outcome is Outcome.OK else None))


class SimulatedServers:
    """All servers, which check the rules on attempts by their own records.

    `next_outcome` returns the planned outcome of each attempt in turn. `connect_s` is the connect timeout.
    """

    def __init__(
        self, loop: SimulatedLoop, next_outcome: Callable[[], PlannedOutcome],
        allows_concurrent_attempts: bool, connect_s: float,
    ) -> None:  # fmt: skip
        self.loop, self.next_outcome, self.connect_s = loop, next_outcome, connect_s
        self.allows_concurrent_attempts = allows_concurrent_attempts
        self.records: list[AttemptRecord] = []
        self.by_request: dict[bytes, list[AttemptRecord]] = {}
        self.calls: dict[bytes, SimulatedCall] = {}
        self.names: list[str] = []
        self.idempotency_window_s = 0.0
        # If set, returns the planned outcome by request and attempt number, in place of `next_outcome`.
        self.planned_outcome: Callable[[bytes, int], PlannedOutcome] | None = None

    def activate_server(self, server: str, address: Address, has_restarted: bool) -> None:
        if server not in self.names:
            self.names.append(server)

    def activate_servers(
        self,
        addresses: dict[str, Address],
        has_restarted: Callable[[str], bool],
        retained: Collection[str] | None,
    ) -> None:
        for server in [] if retained is None else [name for name in self.names if name not in retained]:
            self.remove_server(server)
        for server, address in addresses.items():
            self.activate_server(server, address, has_restarted(server))

    def drain_server(self, server: str) -> None: ...

    def remove_server(self, server: str) -> None:
        self.names.remove(server)

    def server_ids(self) -> list[str]:
        return list(self.names)

    def address(self, server: str) -> Address | None:
        return ("127.0.0.1", 7000 + int(server[1:])) if server in self.names else None

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        context: AttemptContext | None = None,
    ) -> SimulatedAttempt | None:
        if server not in self.names:
            return None
        if self.planned_outcome is not None:
            # Servers and proxies get the timeout in whole milliseconds.
            timeout_s = max(1, int(1000.0 * timeout_s + 1e-6)) / 1000.0
        record = AttemptRecord(payload(0), server, self.loop.now, timeout_s=timeout_s)
        return SimulatedAttempt(self, record, self.plan_attempt(record), done, write_by)

    def plan_attempt(self, record: AttemptRecord) -> PlannedOutcome:
        """Records an attempt and returns its planned outcome."""
        number = len(self.attempts_of(record.request)) if self.planned_outcome is not None else 0
        self.records.append(record)
        self.by_request.setdefault(record.request, []).append(record)
        return (
            self.planned_outcome(record.request, number)
            if self.planned_outcome is not None
            else self.next_outcome()
        )

    def check_sent(self, record: AttemptRecord) -> None:
        """Checks that an attempt may be sent now, given the earlier attempts of its request."""
        call = self.calls[record.request]
        earlier = [r for r in self.attempts_of(record.request) if r is not record]
        if not self.allows_concurrent_attempts:
            assert all(r.ended_at is not None for r in earlier), "concurrent attempts of one request"
        may_have_run = [
            r for r in earlier if r.sent_at is not None and (r.outcome is None or r.outcome in MAY_HAVE_RUN)
        ]
        if may_have_run and call.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("a non-idempotent request was sent again after it may have run")
        if may_have_run and call.idempotency is Idempotency.WITH_KEY:
            first = min(r.sent_at for r in may_have_run if r.sent_at is not None)
            assert self.loop.now - first <= self.idempotency_window_s, (
                "an attempt with an idempotency key was sent after the key had expired"
            )

    def attempts_of(self, request: bytes) -> list[AttemptRecord]:
        """Returns the records of a request's attempts."""
        return self.by_request.get(request, [])


@dataclass
class SimulatedSite:
    """One gateway and its servers. `responses` has the final responses to each request, with their times."""

    routes: RouteTable | None
    next_outcome: Callable[[], PlannedOutcome]
    allows_concurrent_attempts: bool = False
    connect_s: float = 0.25
    max_attempts: int = 5
    seed: int = 1
    responses: dict[bytes, list[tuple[float, FinalResponse]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.loop = SimulatedLoop()
        settings = Settings(
            zone="a",
            gateway_count=1,
            classes=(
                RequestClass("report-read", 2500.0, 1.0, Idempotency.IDEMPOTENT),
                RequestClass("check-order", 3500.0, 2.0, Idempotency.WITH_KEY, IdempotencyScope.ALL, 2500.0),
                RequestClass("check-charge", 5000.0, 2.0, Idempotency.NON_IDEMPOTENT),
            ),
            plans=(Plan("osnovni", rate_per_s=1e6, burst_units=1e6),),
            slow_start=SlowStart(),
            max_attempts=self.max_attempts,
            max_retry_after_ms=1000.0,
            allows_hedging=self.allows_concurrent_attempts,
        )
        self.idempotency_by_class = {cls.name: cls.idempotency for cls in settings.classes}
        self.servers = SimulatedServers(
            self.loop, self.next_outcome, self.allows_concurrent_attempts, self.connect_s
        )
        self.servers.idempotency_window_s = 2.5
        self.gateway = RequestExecutor(
            self.loop, DecisionEngine(settings, self.seed), self.servers, None  # type: ignore[arg-type]
        )  # fmt: skip
        self.gateway.clock = SimulatedClock(self.loop)  # type: ignore[assignment]
        self.gateway.routes = self.routes
        self.gateway.allows_concurrent_attempts = self.allows_concurrent_attempts
        entries = tuple(Endpoint(f"s{i}", ZONES[i % 3]) for i in range(6))
        self.servers.names = [entry.address for entry in entries]
        self.gateway.post(EndpointList(EndpointListKind.CACHED, entries))

    def send_request(self, class_name: str, left_ms: float, plan: str = "osnovni") -> bytes:
        """Sends a client's request and returns its id."""
        request = b"%d" % (len(self.responses) + 1)
        idempotency = self.idempotency_by_class[class_name]
        call = SimulatedCall(request, class_name, plan, "c1", left_ms, 1.0, 1, idempotency)
        self.servers.calls[request] = call
        self.responses[request] = []
        self.gateway.accept(call, lambda answer: self.responses[request].append((self.loop.now, answer)))
        return request

    def check_response(self, request: bytes, sent_at: float, left_ms: float) -> None:
        """Checks that a request got exactly one final response, and in time.

        A rejection is valid only if no attempt may have run.
        """
        ((at, answer),) = self.responses[request]
        assert at <= sent_at + left_ms / 1000.0 + 1e-6
        may_have_run = [
            r
            for r in self.servers.attempts_of(request)
            if r.sent_at is not None and r.outcome in MAY_HAVE_RUN
        ]
        if isinstance(answer, Rejected):
            assert not may_have_run, "a rejection after an attempt that may have run"
        elif isinstance(answer, Served):
            assert answer.value == request and any(r.outcome is Outcome.OK for r in may_have_run)
        else:
            assert isinstance(answer, Failed)
