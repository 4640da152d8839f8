"""Probes of `benchmarks.capacity`: endpoint choice, lists, tenants and counter calls of one gateway."""

from __future__ import annotations

import functools
import json
import random
import time
from typing import Any, NamedTuple

from benchmarks.slopes import REFERENCE_MS, Measure, allocated_kib, cpu_ms, reference_ms
from glenchute.policy.actions import Action, IncrementCounter, StartAttempt
from glenchute.policy.balancing.subset import SubsetSettings
from glenchute.policy.balancing.subsetting_engine import SubsettingEngine
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import (
    AttemptEnded,
    CounterReply,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Outcome,
    Request,
    TimerFired,
)
from glenchute.policy.settings import Idempotency, Plan, RequestClass, Settings, SlowStart
from glenchute.protocol import resp2 as resp
from glenchute.protocol.endpoint_list import CurrentList, decode_list, decode_list_in_parts

GATEWAYS, TENANTS = 520, 41_000
RATE = 163.0  # requests per second at one gateway, at the peak
PLAN = Plan("standard", rate_per_s=4.0, burst_units=12.0)
READ = RequestClass("read", 400.0, 1.0, Idempotency.IDEMPOTENT)


def engine_settings(counter: bool = False, plan: Plan = PLAN) -> Settings:
    """Returns settings with a class, a plan with a quota and one without, and optionally a counter."""
    return Settings("z0", GATEWAYS, (READ,), (plan, Plan("free")), SlowStart(), has_counter=counter)


def discovery_rows(count: int) -> list[dict[str, Any]]:
    """Returns rows as discovery sends them, in seven zones."""
    common = {"weight": 1.0, "state": "Ready", "started_ms": 0}
    return [{"id": f"server-{n:05d}", "addr": f"10.0.{n >> 8}.{n & 255}:9000", "zone": f"z{n % 7}",
             "cell": n % 4, **common} for n in range(count)]  # fmt: skip


def list_text(count: int, full: bool = True) -> str:
    """Returns the body of a full list, or of a list of changes."""
    return json.dumps({"version": 1, "full": full, "servers": discovery_rows(count)})


def endpoints(count: int) -> tuple[Endpoint, ...]:
    """Returns the endpoints of a list as the module gets them."""
    return decode_list(json.loads(list_text(count))).event.endpoints


def gateway_with_list(listed: int, seed: int, all_used: bool = False) -> DecisionEngine | SubsettingEngine:
    """Returns the module after a full list, with a subset of the servers, as under `run`, or with all."""
    settings = engine_settings()
    gateway: DecisionEngine | SubsettingEngine = DecisionEngine(settings, seed)
    if not all_used:
        gateway = SubsettingEngine(gateway, settings, SubsetSettings(GATEWAYS, seed * 37 % GATEWAYS))
    gateway.handle(0.0, EndpointList(EndpointListKind.FULL, endpoints(listed)))
    return gateway


def serve_requests(gateway: DecisionEngine | SubsettingEngine, count: int, first: int = 0) -> None:
    """Plays `count` requests at one gateway's share of the peak; each is answered before the next arrives."""
    for number in range(first, first + count):
        now_ms, request_id = 1000.0 + number * 1000.0 / RATE, str(number)
        for action in gateway.handle(now_ms, Request(request_id, "read", "free", "c", 4000.0)):
            if isinstance(action, StartAttempt):
                end = AttemptEnded(request_id, 0, action.address, Outcome.OK, 4.0, True, 0.0, 1.0)
                gateway.handle(now_ms + 4.0, end)


def request_ms(all_used: bool = False) -> Measure:
    """Measures the CPU milliseconds of a request, from its arrival to the end of its attempt."""

    def measure(listed: int, seed: int) -> float:
        gateway, count = (
            gateway_with_list(listed, seed, all_used),
            100 if listed > 1_000 and all_used else 400,
        )
        serve_requests(gateway, 10)
        return cpu_ms(lambda: serve_requests(gateway, count, 10)) / count

    return measure


def idle_percent(all_used: bool = False) -> Measure:
    """Measures the percent of a core spent without requests, at four timer events per second."""

    def measure(listed: int, seed: int) -> float:
        gateway = gateway_with_list(listed, seed, all_used)
        ticks = iter(range(1, 10**6))
        return cpu_ms(lambda: gateway.handle(250.0 * next(ticks), TimerFired(0)), 40) * 4.0 / 10.0

    return measure


def unreachable_end_us(all_used: bool = False) -> Measure:
    """Measures the CPU microseconds to record an attempt that ended without a connection, without the choice
    of its server."""

    def measure(listed: int, seed: int) -> float:
        gateway = gateway_with_list(listed, seed, all_used)
        engine: Any = gateway.engine if isinstance(gateway, SubsettingEngine) else gateway
        server = next(iter(engine.pool.servers))
        event = AttemptEnded("1", 0, server, Outcome.UNREACHABLE, 1.0, False)
        return 1e3 * cpu_ms(lambda: engine.pool.record_end(1.0, event, READ, 1.0), 400)

    return measure


def changed_row_ms(listed: int, seed: int) -> float:
    """Measures the CPU milliseconds to apply a changed row: a server starts to drain, or is active again."""
    gateway, listed_endpoints = gateway_with_list(listed, seed), endpoints(listed)
    numbers = iter(range(1, 10**6))

    def apply_change() -> None:
        number = next(numbers)
        state = EndpointState.DRAINING if number % 2 else EndpointState.ACTIVE
        endpoint = listed_endpoints[number // 2 % listed]
        changed = Endpoint(endpoint.address, endpoint.zone, state=state)
        gateway.handle(0.01 * number, EndpointList(EndpointListKind.CHANGES, (changed,)))

    return cpu_ms(apply_change, 40)


def part_costs_ms(count: int, seed: int) -> list[float]:
    """Returns the CPU milliseconds of each part in which a full list is read and applied, not normalized."""
    body, current, part_ms = list_text(count).encode(), CurrentList(), []
    gateway, parts = gateway_with_list(0, seed), decode_list_in_parts(body, current)
    while True:
        started, update = time.process_time(), None
        try:
            next(parts)
        except StopIteration as stop:
            update = stop.value
            current.apply(update)
            gateway.handle(0.0, update.event)
        part_ms.append(1e3 * (time.process_time() - started))
        if update is not None:
            return part_ms


def full_list_ms(count: int, seed: int) -> float:
    """Measures the CPU milliseconds to read and apply a full list, all parts together, without sockets and
    pools."""
    return cpu_ms(lambda: part_costs_ms(count, seed), 3)


def longest_part_ms(count: int, seed: int) -> float:
    """Measures the longest part of reading a list, which is how long a request may wait for the event loop.
    Takes the least of five runs, as a single short interval is easily disturbed."""
    reference_before_ms = reference_ms()
    least_ms = min(max(part_costs_ms(count, seed)) for _ in range(5))
    return least_ms * REFERENCE_MS / (0.5 * (reference_before_ms + reference_ms()))


def list_kib(count: int, seed: int) -> float:
    """Measures the memory that a list takes: discovery's rows, addresses, the module's servers."""
    text = list_text(count)

    def make() -> object:
        update, current = decode_list(json.loads(text)), CurrentList()
        gateway = DecisionEngine(engine_settings(), seed)
        current.apply(update)
        gateway.handle(0.0, update.event)
        return update.addresses, current, gateway

    return allocated_kib(make)


def tenants_kib(count: int, seed: int) -> float:
    """Measures the memory of tenants that the module has seen within a minute."""

    def make() -> DecisionEngine:
        gateway = DecisionEngine(engine_settings(True), seed)
        gateway.handle(0.0, EndpointList(EndpointListKind.FULL, endpoints(4)))
        for n in range(count):
            request = Request(str(n), "read", "standard", f"{n:016x}", 4e3, gateway_spread=GATEWAYS)
            gateway.quota.tenants.lookup(1.0, request)
        return gateway

    return allocated_kib(make)


def cumulative_zipf_weights(tenants: int) -> list[float]:
    """Returns cumulative weights of tenants by Zipf's law with exponent 1, not normalized."""
    weights, total = [], 0.0
    for rank in range(1, tenants + 1):
        total += 1.0 / rank
        weights.append(total)
    return weights


class CounterTraffic(NamedTuple):
    """Traffic between one gateway and the counter, per second."""

    calls: float
    sent_kib: float
    received_kib: float
    cpu_percent: float  # CPU of the whole module, without encoding and sending the calls


@functools.cache
def counter_traffic(tenants: int, rate: float, seed: int, seconds: float = 20.0) -> CounterTraffic:
    """Measures one gateway of 520 that has the counter to itself; the counter answers after 1 ms."""
    rng, gateway = random.Random(seed), DecisionEngine(engine_settings(True), seed)
    totals: dict[int, float] = {}
    calls = sent_bytes = received_bytes = 0
    gateway.handle(0.0, EndpointList(EndpointListKind.FULL, endpoints(20)))

    def perform(now_ms: float, actions: list[Action]) -> None:
        nonlocal calls, sent_bytes, received_bytes
        for action in actions:
            if isinstance(action, IncrementCounter):
                total = totals[action.key] = totals.get(action.key, 0.0) + action.amount
                amount, ttl = b"%.3f" % action.amount, b"%d" % action.ttl_ms
                calls += 1
                sent_bytes += len(resp.encode_command(b"INCRTTL", b"%d" % action.key, amount, ttl))
                text = b"%.3f" % total
                received_bytes += len(b"$%d\r\n%s\r\n" % (len(text), text))
                reply = CounterReply(action.key, total, Outcome.OK, 1.0)
                perform(now_ms + 1.0, gateway.handle(now_ms + 1.0, reply))
            elif isinstance(action, StartAttempt):
                end = AttemptEnded(action.request_id, 0, action.address, Outcome.OK, 2.0, True)
                perform(now_ms + 2.0, gateway.handle(now_ms + 2.0, end))

    cumulative = cumulative_zipf_weights(tenants)
    requesters = rng.choices(range(tenants), cum_weights=cumulative, k=round(rate * seconds))

    def run() -> None:
        tick_ms = 250.0
        for number, tenant in enumerate(requesters):
            now_ms = 1000.0 + number * 1000.0 / rate
            while tick_ms < now_ms - 5.0:
                perform(tick_ms, gateway.handle(tick_ms, TimerFired(0)))
                tick_ms += 250.0
            request = Request(
                str(number), "read", "standard", f"{tenant:016x}", 4000.0, gateway_spread=GATEWAYS
            )
            perform(now_ms, gateway.handle(now_ms, request))

    cpu_percent = cpu_ms(run) / 10.0 / seconds
    return CounterTraffic(
        calls / seconds, sent_bytes / seconds / 1024.0, received_bytes / seconds / 1024.0, cpu_percent
    )
