"""Measures how state, messages, CPU and memory grow by role, and checks each forecast at a larger size.

``python -m benchmarks.capacity [--quick] [gateway] [lists] [counter] [member] [lease] [config] [tools]``
prints a table for each role; without a role it prints all of them and draws ``docs/capacity-calls.svg``.
Each probe drives the real decision code in this process. A slope is a least-squares line through the medians
of its sizes; the forecast for the check point is printed before that size is run. CPU is `time.process_time`,
so other programs on the machine affect it only through caches, clock frequency and shared cores. The probes
are defined here, in `capacity_gateway` and in `capacity_members`.
"""

from __future__ import annotations

import argparse
import functools
import itertools
import json
import math
import random
import statistics
import sys
import time
from collections import Counter as Tally
from collections.abc import Iterator, Sequence
from types import SimpleNamespace
from typing import Any

from benchmarks.capacity_gateway import (
    GATEWAYS,
    PLAN,
    RATE,
    TENANTS,
    changed_row_ms,
    counter_traffic,
    full_list_ms,
    idle_percent,
    list_kib,
    list_text,
    longest_part_ms,
    request_ms,
    tenants_kib,
    unreachable_end_us,
)
from benchmarks.capacity_members import (
    gossip_cost,
    lease_messages,
    members_kib,
    replica_kib,
    usage_update_cost,
)
from benchmarks.machine import machine
from benchmarks.slopes import Measure, Probe, allocated_kib, cpu_ms, print_table
from glenchute.cli.fleet import text_table
from glenchute.clients.membership import status
from glenchute.config.facts import ClassFacts, PlatformFacts
from glenchute.config.operator import OperatorConfig, ReadResult, parse
from glenchute.config.operator_shape import MAX_ROUTES
from glenchute.policy.endpoints.polling import PollingSettings, PollScheduler
from glenchute.policy.membership.members import MemberList, SwimSettings
from glenchute.policy.retries.route_limits import RouteTable
from glenchute.policy.settings import Idempotency

SERVERS, ROUTES = 5_700, 2_700
TENANT_MEMORY_S = 60.0  # gateway and counter forget a tenant not seen for this long
# For an operator's file with `[discovery] calls_per_s = 20, list_age_s = 17`, and for one without them.
STATED = PollingSettings(GATEWAYS, rate_per_s=20.0, max_list_age_s=17.0)
UNSTATED = PollingSettings(GATEWAYS)


def poll_schedulers(count: int, seed: int, settings: PollingSettings) -> Iterator[PollScheduler]:
    """Yields the scheduler of each of `count` gateways."""
    for number in range(count):
        yield PollScheduler(
            settings._replace(gateway_count=count, gateway_index=number),
            random.Random(seed * 100_000 + number),
        )


def idle_calls(settings: PollingSettings) -> Measure:
    """Measures the long polls per second that end, over 200 s without a change of the list."""

    def measure(count: int, seed: int) -> float:
        ends = 0
        for scheduler in poll_schedulers(count, seed, settings):
            end_s = scheduler.watch_wait_s() * scheduler.rng.random()
            while end_s < 200.0:
                ends += 1
                end_s += scheduler.watch_wait_s()
        return ends / 200.0

    return measure


def calls_in_busiest_second(delays_s: Sequence[float]) -> float:
    """Returns the calls in the busiest second; seconds are counted from the start."""
    return float(max(Tally(int(delay_s) for delay_s in delays_s).values()))


def start_calls(settings: PollingSettings, has_list: bool) -> Measure:
    """Measures the busiest second when all gateways start at once, with saved lists or without."""
    return lambda count, seed: calls_in_busiest_second(
        [scheduler.first_poll_delay_s(has_list) for scheduler in poll_schedulers(count, seed, settings)]
    )


def zone_return_calls(returning: int, seed: int) -> float:
    """Measures the busiest second when consecutive gateways of the 520 start at once without saved lists."""
    schedulers = itertools.islice(poll_schedulers(GATEWAYS, seed, STATED), returning)
    return calls_in_busiest_second([scheduler.first_poll_delay_s(False) for scheduler in schedulers])


def calls_after_change(settings: PollingSettings) -> Measure:
    """Measures the busiest second after a change of the list has ended the long polls of all gateways."""
    return lambda count, seed: calls_in_busiest_second(
        [scheduler.synchronized_delay_s() for scheduler in poll_schedulers(count, seed, settings)]
    )


def platform_facts(plans: int) -> PlatformFacts:
    """Returns the facts that an operator's file is checked against: ten classes and `plans` plans."""
    return PlatformFacts({f"class-{n}": ClassFacts(Idempotency.IDEMPOTENT, 4e3) for n in range(10)},
                 tuple(f"plan-{n}" for n in range(plans)), 5, False, 250.0)  # fmt: skip


def routes_text(count: int) -> str:
    """Returns an operator's file with a route for each pair of class and plan, ten classes."""
    return "".join(f'[[route]]\nname = "r{n}"\nmatch.class = ["class-{n % 10}"]\n'
                   f'match.plan = ["plan-{n // 10}"]\nattempts = 2\n' for n in range(count))  # fmt: skip


@functools.cache
def load_operator_file(count: int, seed: int) -> tuple[float, OperatorConfig]:
    """Returns the CPU milliseconds to read and check an operator's file, which SIGHUP does outside the event
    loop, and the configuration read."""
    text, facts = routes_text(count), platform_facts(-(-count // 10))
    results: list[ReadResult] = []
    load_ms = cpu_ms(lambda: results.append(parse(text, facts)))
    if results[0].config is None:
        raise ValueError(f"the file with {count} routes is invalid: {results[0].findings[0].code}")
    return load_ms, results[0].config


def route_match_us(count: int, seed: int) -> float:
    """Measures the CPU microseconds to find the route of a request."""
    routes, plan = RouteTable(load_operator_file(count, seed)[1].bindings, seed), f"plan-{(count - 1) // 10}"
    return 1e3 * cpu_ms(lambda: routes.start_request(1.0, "class-3", plan), 50_000)


def routes_kib(count: int, seed: int) -> float:
    """Measures the memory of the configuration with `count` routes."""
    text, facts = routes_text(count), platform_facts(-(-count // 10))
    return allocated_kib(lambda: parse(text, facts).config)


def print_rejections() -> None:
    """Prints which bounds of the operator's file reject the sizes of the design."""
    head = '[fleet]\nfleet = "f"\nname = "g"\nlisten = "127.0.0.1:1999"\n'
    row = '[[fleet.members]]\nname = "m{0}"\naddress = "127.0.0.1:{0}"\n'
    members = head + "".join(row.format(2_000 + n) for n in range(GATEWAYS - 1))
    for name, text in ((f"{ROUTES:,} routes", routes_text(ROUTES)), ("[fleet] of 520", members)):
        errors = [finding for finding in parse(text, None).findings if not finding.is_warning]
        result = f"{errors[0].code}: {errors[0].message}" if errors else "taken"
        print(f"| {name}, {len(text) / 1024:.0f} KiB | {result} |")


def answer_kib(count: int, seed: int) -> float:
    """Measures the KiB of the answer to `glenchute fleet members`, as JSON."""
    return len(json.dumps(member_rows(count))) / 1024.0


def member_table_ms(count: int, seed: int) -> float:
    """Measures the CPU milliseconds to format that answer as a table."""
    rows = member_rows(count)
    return cpu_ms(lambda: text_table(rows), 3)


def member_rows(count: int) -> list[dict[str, Any]]:
    """Returns the rows of the answer to `glenchute fleet members`."""
    names = [f"gateway-{n:03d}" for n in range(count)]
    node: Any = SimpleNamespace(
        loop=SimpleNamespace(time=lambda: 1.0),
        name=names[0],
        boot=1 << 59,
        members=MemberList(names[0], 1, names, SwimSettings(), random.Random(1)),
    )
    return status.show_members(node)


# Sizes of a probe, its check point and the size of the design.
SERVER_SIZES = (400, 1_200, 2_800), SERVERS, SERVERS
GATEWAY_SIZES = (65, 130, 260), GATEWAYS, GATEWAYS
# Sizes at which the stated rate and list age determine the calls: they do so from 240 and 275 gateways on.
STATED_GATEWAY_SIZES = (290, 350, 410), GATEWAYS, GATEWAYS
RATE_SIZES = (20, 40, 80), round(RATE), round(RATE)
MEMBER_SIZES = (30, 60, 120), 240, GATEWAYS
USAGE_RATE_SIZES = (20, 40, 80), 163, 163
ROUTE_SIZES = (300, 600, 1_200), MAX_ROUTES, ROUTES
# Limits of a probe.
MAX_ADDED_MS, MAX_CORE_PERCENT, MAX_KIB, MAX_KIB_PER_S = 3.9, 2.4, 32e6 / 1024.0, 11.0 / 1.024
# Names of sizes and units in the tables.
SERVERS_LISTED, MEMBERS, REQUESTS, CORE_PERCENT = "servers listed", "members", "requests/s", "% of a core"
ALL = "all listed used"
ROLES: dict[str, list[Probe]] = {
    "gateway": [
        Probe("CPU of a request", SERVERS_LISTED, "ms", request_ms(), *SERVER_SIZES, MAX_ADDED_MS),
        Probe(f"the same, {ALL}", SERVERS_LISTED, "ms", request_ms(True), *SERVER_SIZES, MAX_ADDED_MS),
        Probe("quiet", SERVERS_LISTED, CORE_PERCENT, idle_percent(), *SERVER_SIZES, MAX_CORE_PERCENT),
        Probe(f"the same, {ALL}", SERVERS_LISTED, CORE_PERCENT,
              idle_percent(True), *SERVER_SIZES, MAX_CORE_PERCENT),
        Probe("an ending without a connection", SERVERS_LISTED, "us", unreachable_end_us(), *SERVER_SIZES),
        Probe(f"the same, {ALL}", SERVERS_LISTED, "us", unreachable_end_us(True), *SERVER_SIZES),
        Probe("a changed row", SERVERS_LISTED, "ms", changed_row_ms, *SERVER_SIZES, 1.0),
        Probe("a whole list read and applied", SERVERS_LISTED, "ms", full_list_ms, *SERVER_SIZES, 100.0),
        Probe("its longest part", SERVERS_LISTED, "ms", longest_part_ms, *SERVER_SIZES, 5.0),
        Probe("memory of a list", SERVERS_LISTED, "KiB", list_kib, *SERVER_SIZES, MAX_KIB),
        Probe("memory of tenants", "tenants seen in 60 s", "KiB",
              tenants_kib, (500, 1_000, 2_000), 10_000, TENANTS, MAX_KIB),
        Probe("memory of routes", "routes", "KiB", routes_kib, *ROUTE_SIZES, MAX_KIB),
        Probe("match of a route", "routes", "us", route_match_us, *ROUTE_SIZES),
    ],
    "lists": [
        Probe("calls at quiet, nothing stated", "gateways", "calls/s",
              idle_calls(UNSTATED), *GATEWAY_SIZES, STATED.rate_per_s),
        Probe("the same, stated", "gateways", "calls/s",
              idle_calls(STATED), *STATED_GATEWAY_SIZES, STATED.rate_per_s),
        Probe("worst second after news, nothing stated", "gateways", "calls",
              calls_after_change(UNSTATED), *GATEWAY_SIZES, STATED.rate_per_s),
        Probe("the same, stated", "gateways", "calls",
              calls_after_change(STATED), *STATED_GATEWAY_SIZES, STATED.rate_per_s),
        Probe("worst second of a start, nothing stated", "gateways", "calls",
              start_calls(UNSTATED, True), *GATEWAY_SIZES, STATED.rate_per_s),
        Probe("the same, stated", "gateways", "calls",
              start_calls(STATED, True), *STATED_GATEWAY_SIZES, STATED.rate_per_s),
        Probe("the same, stated, without saved lists", "gateways", "calls",
              start_calls(STATED, False), *STATED_GATEWAY_SIZES, STATED.rate_per_s),
        Probe("worst second of a zone's gateways back, stated, no lists", "gateways back", "calls",
              zone_return_calls, (20, 35, 50), 74, 74, STATED.rate_per_s),
        Probe("a whole list", SERVERS_LISTED, "KiB", lambda n, _: len(list_text(n)) / 1024, *SERVER_SIZES),
        Probe("a changed row told to all", "gateways", "KiB",
              lambda n, _: n * len(list_text(1, False)) / 1024, *GATEWAY_SIZES),
    ],
    "counter": [
        Probe("calls of a gateway", "requests/s", "calls/s",
              lambda n, s: counter_traffic(TENANTS, n, s).calls, *RATE_SIZES),
        Probe("sent by a gateway", "requests/s", "KiB/s",
              lambda n, s: counter_traffic(TENANTS, n, s).sent_kib, *RATE_SIZES, MAX_KIB_PER_S),
        Probe("heard by a gateway", "requests/s", "KiB/s",
              lambda n, s: counter_traffic(TENANTS, n, s).received_kib, *RATE_SIZES),
        Probe("the module, 20 servers, all counted", "requests/s", CORE_PERCENT,
              lambda n, s: counter_traffic(TENANTS, n, s).cpu_percent, *RATE_SIZES),
    ],
    "member": [
        Probe("probes, quiet", MEMBERS, "messages/s",
              lambda n, s: gossip_cost(n, s, False).messages_per_s, *MEMBER_SIZES),
        Probe("probes, quiet", MEMBERS, "bytes/s",
              lambda n, s: gossip_cost(n, s, False).bytes_per_s, *MEMBER_SIZES, 1024 * MAX_KIB_PER_S),
        Probe("probes, quiet", MEMBERS, CORE_PERCENT,
              lambda n, s: gossip_cost(n, s, False).cpu_percent, *MEMBER_SIZES, MAX_CORE_PERCENT),
        Probe("a zone gone, worst second of any", MEMBERS, "bytes",
              lambda n, s: gossip_cost(n, s, True).peak_bytes, *MEMBER_SIZES, 1024 * MAX_KIB_PER_S),
        Probe("a zone gone", MEMBERS, CORE_PERCENT,
              lambda n, s: gossip_cost(n, s, True).cpu_percent, *MEMBER_SIZES, MAX_CORE_PERCENT),
        Probe("memory of members", MEMBERS, "KiB", members_kib, *GATEWAY_SIZES, MAX_KIB),
        Probe("words of use, sets of 3", REQUESTS, CORE_PERCENT,
              lambda n, s: usage_update_cost(n, s).cpu_percent, *USAGE_RATE_SIZES, MAX_CORE_PERCENT),
        Probe("words of use, sets of 3", REQUESTS, "words/s",
              lambda n, s: usage_update_cost(n, s).updates_per_s, *USAGE_RATE_SIZES),
        Probe("words of use, sets of 3", REQUESTS, "KiB/s sent",
              lambda n, s: usage_update_cost(n, s).sent_kib_per_s, *USAGE_RATE_SIZES, MAX_KIB_PER_S),
        Probe("words of use, sets by share", REQUESTS, CORE_PERCENT,
              lambda n, s: usage_update_cost(n, s, True).cpu_percent, *USAGE_RATE_SIZES, MAX_CORE_PERCENT),
        Probe("words of use, sets by share", REQUESTS, "KiB/s sent",
              lambda n, s: usage_update_cost(n, s, True).sent_kib_per_s, *USAGE_RATE_SIZES, MAX_KIB_PER_S),
        Probe("memory of words", "rows held", "KiB",
              replica_kib, (1_000, 2_000, 4_000), 8_000, 8_000, MAX_KIB),
    ],
    "lease": [
        Probe("messages of all, 20 tasks", MEMBERS, "messages/s",
              lambda n, s: lease_messages(n, 20, s), (15, 30, 60), 120, GATEWAYS),
        Probe("messages of all, 30 members", "tasks", "messages/s",
              lambda n, s: lease_messages(30, n, s), (5, 10, 20), 50, 360),
    ],
    "config": [
        Probe("load of an operator's file", "routes", "ms",
              lambda n, s: load_operator_file(n, s)[0], *ROUTE_SIZES),
        Probe("620 loads a day", "routes", CORE_PERCENT,
              lambda n, s: load_operator_file(n, s)[0] * 620 / 864_000, *ROUTE_SIZES, MAX_CORE_PERCENT),
    ],
    "tools": [
        Probe("answer of `glenchute fleet members`", MEMBERS, "KiB", answer_kib, *GATEWAY_SIZES),
        Probe("its table", MEMBERS, "ms", member_table_ms, *GATEWAY_SIZES),
    ],
}  # fmt: skip


def print_zipf_figures() -> None:
    """Prints what follows from Zipf's law alone: tenants known to a gateway, keys held by the counter."""
    shares = [1.0 / rank for rank in range(1, TENANTS + 1)]
    total, window_s = sum(shares), PLAN.burst_units / PLAN.rate_per_s
    known = sum(1.0 - math.exp(-RATE * TENANT_MEMORY_S * share / total) for share in shares)
    tenants_per_window = sum(1.0 - math.exp(-RATE * GATEWAYS * window_s * share / total) for share in shares)
    keys = tenants_per_window * TENANT_MEMORY_S / window_s
    print(f"\nby the law alone: a gateway knows {known:,.0f} tenants of the last {TENANT_MEMORY_S:.0f} s; "
          f"the counter holds {keys:,.0f} names, windows of {window_s:.0f} s; the first tenant asks "
          f"{1.0 / total:.1%} of all")  # fmt: skip


def plot() -> None:
    """Plots the calls to the counter by tenants: the curve approaches one call per request."""
    import pygal

    tenants = [10, 30, 100, 300, 1_000, 3_000, 10_000, TENANTS]
    title = f"Calls to the counter of one gateway of {GATEWAYS}, {RATE:g} requests a second"
    x_title = "tenants (Zipf, exponent 1)"
    chart = pygal.Line(title=title, x_title=x_title, range=(0, None), js=[], no_prefix=True)
    chart.x_labels = [f"{count:,}" for count in tenants]
    medians = [statistics.median(counter_traffic(n, RATE, s).calls for s in range(3)) for n in tenants]
    chart.add("median of 3 seeds", [round(calls, 1) for calls in medians])
    chart.add("requests", [RATE] * len(tenants))
    chart.render_to_file("docs/capacity-calls.svg")
    points = (f"{count:,}: {calls:.1f}" for count, calls in zip(tenants, medians, strict=True))
    print("\ndocs/capacity-calls.svg, calls by tenants:", ", ".join(points))


def main() -> int:
    """Measures the roles named on the command line, or all."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("roles", nargs="*", metavar="ROLE", help=", ".join(ROLES))
    parser.add_argument("--quick", action="store_true", help="one repeat, no plot: no spread")
    args = parser.parse_args()
    if unknown := set(args.roles) - set(ROLES):
        parser.error(f"no such role: {', '.join(sorted(unknown))}")
    started = time.process_time()
    print(machine())
    for role in args.roles or ROLES:
        print_table(role, ROLES[role], 1 if args.quick else 3)
    if not args.roles or "counter" in args.roles:
        print_zipf_figures()
    if not args.roles or "config" in args.roles:
        print_rejections()
    if not args.roles and not args.quick:
        plot()
    print(f"\n{time.process_time() - started:.0f} s of CPU")
    return 0


if __name__ == "__main__":
    sys.exit(main())
