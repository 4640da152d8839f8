"""The core, the module and the routes under a simulated clock, before servers whose every ending is drawn.

The servers' side keeps the truth: when the bytes of each attempt left, and how it ended. What the rules
promise is checked there, not in what the gateway believes.
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
from glenchute.policy.engine import DecisionEngine as Module
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, Outcome
from glenchute.policy.retries.route_limits import RouteTable
from glenchute.policy.settings import Idempotency, IdempotencyScope, Plan, RequestClass, Settings, SlowStart

MAY_HAVE_RUN = (Outcome.OK, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED)
ZONES = "aab"


class Handle:
    """A timer."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Loop:
    """As much of an event loop as the core asks for; time passes only in `run`."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.queue: list[tuple[float, int, Handle, Callable[..., Any], tuple[Any, ...]]] = []
        self.order = itertools.count()

    def time(self) -> float:
        return self.now

    def call_at(self, at: float, call: Callable[..., Any], *args: Any) -> Handle:
        handle = Handle()
        heapq.heappush(self.queue, (max(at, self.now), next(self.order), handle, call, args))
        return handle

    def call_later(self, delay: float, call: Callable[..., Any], *args: Any) -> Handle:
        return self.call_at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Carries out all that is due; nothing may raise."""
        while self.queue and self.queue[0][0] <= until:
            at, _, handle, call, args = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            if not handle.cancelled:
                call(*args)
        self.now = max(self.now, until)


class Clock:
    """The module's clock."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop

    def now_ms(self) -> float:
        return self.loop.now * 1000.0


@dataclass(frozen=True)
class Fate:
    """What becomes of an attempt: `connect_s` until its bytes leave (inf: never), then `ending` after
    `took_s` (over 1e6: nothing comes)."""

    connect_s: float
    took_s: float
    ending: Outcome


@dataclass
class Record:
    """The truth about one attempt."""

    request: bytes
    server: str
    started: float
    left: float | None = None  # when its bytes left
    ended: float | None = None
    ending: Outcome | None = None
    timeout_s: float = 0.0


@dataclass
class Order(Call):
    """A request; the servers are told who it is."""

    repeat: Idempotency = Idempotency.IDEMPOTENT

    def encode(self, left_ms: int) -> bytes:
        return self.request_id


class Try:
    """An attempt, as the real backend makes it: its own time-out, no bytes after `write_by`, one ending."""

    def __init__(
        self,
        servers: Servers,
        record: Record,
        fate: Fate,
        done: Callable[[AttemptResult], None],
        write_by: float,
    ) -> None:
        self.servers, self.record, self.fate, self.done = servers, record, fate, done
        self.started_at = record.started
        self.write_by = write_by
        self.is_written = False
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None
        self.over = False

    def start(self) -> None:
        loop = self.servers.loop
        loop.call_later(self.record.timeout_s, self.stop, Outcome.TIMEOUT)
        connect = min(self.fate.connect_s, self.servers.connect_s)
        loop.call_later(connect, self.connected, self.fate.connect_s <= self.servers.connect_s)

    def connected(self, up: bool) -> None:
        if self.over:
            return
        if not up or self.servers.loop.now > self.write_by:
            self.end(Outcome.UNREACHABLE)
            return
        self.is_written, self.record.left = True, self.servers.loop.now
        self.servers.check(self.record)
        if self.fate.took_s < 1e6:
            self.servers.loop.call_later(self.fate.took_s, self.end, self.fate.ending)

    def stop(self, ending: Outcome) -> None:
        self.end(ending if self.is_written else Outcome.UNREACHABLE)

    def end(self, ending: Outcome) -> None:
        if self.over:
            return
        self.over = True
        self.record.ended, self.record.ending = self.servers.loop.now, ending
        self.done(AttemptResult(ending, self.record.request if ending is Outcome.OK else None))


class Servers:
    """The servers' side, with the rules as it sees them."""

    def __init__(self, loop: Loop, fates: Callable[[], Fate], overlap: bool, connect_s: float) -> None:
        self.loop, self.fates, self.overlap, self.connect_s = loop, fates, overlap, connect_s
        self.records: list[Record] = []
        self.by_request: dict[bytes, list[Record]] = {}
        self.orders: dict[bytes, Order] = {}
        self.names: list[str] = []
        self.memory_s = 0.0
        self.drawn: Callable[[bytes, int], Fate] | None = None  # by request and attempt, in place of `fates`

    def activate_server(self, server: str, address: Address, started_anew: bool) -> None:
        if server not in self.names:
            self.names.append(server)

    def activate_servers(
        self, addresses: dict[str, Address], anew: Callable[[str], bool], stay: Collection[str] | None
    ) -> None:
        for server in [] if stay is None else [name for name in self.names if name not in stay]:
            self.remove_server(server)
        for server, address in addresses.items():
            self.activate_server(server, address, anew(server))

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
        about: AttemptContext | None = None,
    ) -> Try | None:
        if server not in self.names:
            return None
        if self.drawn is not None:
            timeout_s = max(1, int(1000.0 * timeout_s + 1e-6)) / 1000.0  # as told to nodes and proxies
        record = Record(payload(0), server, self.loop.now, timeout_s=timeout_s)
        return Try(self, record, self.fate(record), done, write_by)

    def fate(self, record: Record) -> Fate:
        """Books an attempt and draws what becomes of it."""
        number = len(self.of(record.request)) if self.drawn is not None else 0
        self.records.append(record)
        self.by_request.setdefault(record.request, []).append(record)
        return self.drawn(record.request, number) if self.drawn is not None else self.fates()

    def check(self, record: Record) -> None:
        """The bytes of an attempt leave: what has been before it must allow that."""
        order = self.orders[record.request]
        before = [r for r in self.of(record.request) if r is not record]
        if not self.overlap:
            assert all(r.ended is not None for r in before), "two attempts at once"
        ran = [r for r in before if r.left is not None and (r.ending is None or r.ending in MAY_HAVE_RUN)]
        if ran and order.repeat is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("an unsafe request went out again after it may have run")
        if ran and order.repeat is Idempotency.WITH_KEY:
            first = min(r.left for r in ran if r.left is not None)
            assert self.loop.now - first <= self.memory_s, "a keyed attempt left beyond the memory span"

    def of(self, request: bytes) -> list[Record]:
        return self.by_request.get(request, [])


@dataclass
class Site:
    """One gateway and its servers; `answers` holds each request's final answers and when they came."""

    routes: RouteTable | None
    fates: Callable[[], Fate]
    overlap: bool = False
    connect_s: float = 0.25
    max_attempts: int = 5
    seed: int = 1
    answers: dict[bytes, list[tuple[float, FinalResponse]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.loop = Loop()
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
            allows_hedging=self.overlap,
        )
        self.repeats = {cls.name: cls.idempotency for cls in settings.classes}
        self.servers = Servers(self.loop, self.fates, self.overlap, self.connect_s)
        self.servers.memory_s = 2.5
        self.gateway = RequestExecutor(
            self.loop, Module(settings, self.seed), self.servers, None  # type: ignore[arg-type]
        )  # fmt: skip
        self.gateway.clock = Clock(self.loop)  # type: ignore[assignment]
        self.gateway.routes, self.gateway.allows_concurrent_attempts = self.routes, self.overlap
        entries = tuple(Endpoint(f"s{i}", ZONES[i % 3]) for i in range(6))
        self.servers.names = [entry.address for entry in entries]
        self.gateway.post(EndpointList(EndpointListKind.CACHED, entries))

    def ask(self, class_name: str, left_ms: float, plan: str = "osnovni") -> bytes:
        """A client's request."""
        request = b"%d" % (len(self.answers) + 1)
        repeat = self.repeats[class_name]
        order = Order(request, class_name, plan, "c1", left_ms, 1.0, 1, repeat)
        self.servers.orders[request] = order
        self.answers[request] = []
        self.gateway.accept(order, lambda answer: self.answers[request].append((self.loop.now, answer)))
        return request

    def check_answers(self, request: bytes, asked: float, left_ms: float) -> None:
        """Exactly one final answer in time, and a refusal promises the truth."""
        ((at, answer),) = self.answers[request]
        assert at <= asked + left_ms / 1000.0 + 1e-6
        ran = [r for r in self.servers.of(request) if r.left is not None and r.ending in MAY_HAVE_RUN]
        if isinstance(answer, Rejected):
            assert not ran, "a refusal after a try that may have run"
        elif isinstance(answer, Served):
            assert answer.value == request and any(r.ending is Outcome.OK for r in ran)
        else:
            assert isinstance(answer, Failed)
