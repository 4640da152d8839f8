"""Measures CPU per request with 0, 1 and 50 routes, and attempts at a failing fleet by retry budget.

``python -m benchmarks.routes [SECONDS]``. The CPU is that of the gateway's process alone. Each round measures
all three numbers of routes in turn.

``python -m benchmarks.routes reload [ROUTES] [ROUNDS]`` measures the delay of requests and PINGs while the
gateway reads a file of ROUTES routes with all their keys after SIGHUP, and while it reads nothing. PINGs are
sent on one connection, each 2 ms after the answer to the last; requests arrive at `GATEWAY_RATE`.
"""

from __future__ import annotations

import asyncio
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.machine import cpu_s, machine
from lab.faults import Fault, FaultKind, FaultScript
from lab.load import Load
from lab.nodes import Node, ServiceProfile
from lab.peers import Client
from lab.site import KINDS, SETTINGS, GatewayProcess, LabSite, accounts

PROFILE = ServiceProfile({"report-read": 5.0, "check-order": 5.0, "check-charge": 5.0}, slots=64)
ROUNDS = 4
RATE = 300.0  # requests per second
UNLIMITED = {"per_second": 1e4, "most_at_once": 1e5, "ceiling_rate": 0.0}  # a quota that is never used up
PLANS = [{**plan, **UNLIMITED} for plan in SETTINGS["packages"]]
FIFTY_PLANS = [*PLANS, *({**PLANS[0], "name": f"plan-{i}"} for i in range(47))]
GATEWAY_RATE = 163.0  # requests per second: an even share of 85,000 for each of 520 gateways
# Parts of the gateway's log lines after a reload.
RELOADED, RELOAD_REJECTED = "operator's file was read again", "operator's file in force stays"
FULL_ROUTE = """\
attempt_timeout_ms = 700
attempts = 2
backoff = { first_ms = 20, factor = 2.0, most_ms = 200, jitter = 0.2 }
retry_on = ["full", "unreachable"]
retry_budget = { share = 0.1, least_per_s = 2 }
"""
READ_ROUTE = """\
match = {{ class = "report-read"{} }}
attempt_timeout_ms = 500
attempts = 3
retry_on = ["full", "reset"]
"""


def routes(count: int) -> str | None:
    """Returns an operator's file with 1 or 50 routes, or None for 0; the load uses three of the 50 plans."""
    if not count:
        return None
    if count == 1:
        return '[[route]]\nname = "r"\n' + READ_ROUTE.format("")
    names = [str(plan["name"]) for plan in FIFTY_PLANS]
    text = (
        f'[[route]]\nname = "r{i}"\n' + READ_ROUTE.format(f', plan = "{name}"')
        for i, name in enumerate(names)
    )
    return "".join(text)


@asynccontextmanager
async def ready_gateway(
    site: LabSite, operator: str | None, plans: Sequence[Mapping[str, Any]] = FIFTY_PLANS
) -> AsyncIterator[GatewayProcess]:
    """Yields a gateway that is ready, with fifty plans or those given."""
    with tempfile.TemporaryDirectory() as folder:
        gateway = GatewayProcess(Path(folder), site.platform({**SETTINGS, "packages": plans}), operator)
        gateway.start()
        try:
            await gateway.ready()
            yield gateway
        finally:
            gateway.send_signal(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()


async def request_cpu_us(operator: str | None, seconds: float, seed: int) -> float:
    """Returns the microseconds of the gateway's CPU per request."""
    async with (
        LabSite([Node(f"n{i}", PROFILE) for i in range(4)]) as site,
        ready_gateway(site, operator) as gateway,
    ):
        assert gateway.process is not None
        load = Load(lambda: gateway.port, KINDS, accounts(), RATE, seed)
        before = cpu_s(gateway.process.pid)
        await load.run(seconds)
        used_s = cpu_s(gateway.process.pid) - before
    assert all(outcome.answer == "served" for outcome in load.outcomes)
    return 1e6 * used_s / len(load.outcomes)


async def attempts_at_failing_fleet(operator: str | None, seconds: float) -> tuple[int, int]:
    """Returns the number of requests, and of attempts at servers that reset every request."""
    faults = [Fault(FaultKind.RESET, 0.0, 1e9)]
    nodes = [Node(f"n{i}", PROFILE, FaultScript(faults, i)) for i in range(4)]
    async with LabSite(nodes) as site, ready_gateway(site, operator) as gateway:
        load = Load(lambda: gateway.port, KINDS[:1], accounts(), RATE / 2, 5)
        await load.run(seconds)
    return len(load.outcomes), sum(node.received_count for node in nodes)


def full_routes(classes: Sequence[str], plans: Sequence[str], is_invalid: bool = False) -> str:
    """Returns an operator's file with a route for each class and plan, with all keys. With `is_invalid` each
    route has an error or two."""
    extra_key = "pipeline_depth = 2\n" if is_invalid else ""
    head = '[[route]]\nname = "r{}.{}"\nmatch = {{ class = "{}", plan = "{}" }}\n'
    return "".join(head.format(i, j, class_name, plan) + FULL_ROUTE + extra_key
                   for j, plan in enumerate(plans) for i, class_name in enumerate(classes))  # fmt: skip


def log_contains(log: Path, offset: int, text: str) -> bool:
    """Returns whether the log contains a text in the 4 KiB after its first `offset` bytes.

    Only the line with the errors of an invalid file may be longer, and it begins with the text looked for.
    """
    with log.open("rb") as file:
        file.seek(offset)
        return text.encode() in file.read(4096)


async def send_pings(port: int, waits: list[tuple[float, float]]) -> None:
    """Sends PINGs until cancelled; records for each the time sent and the wait for its answer, in seconds."""
    loop, client = asyncio.get_running_loop(), await Client.connect(port)
    while True:
        sent_at, started = loop.time(), time.perf_counter()  # the loop's clock has a resolution of 1 ms
        if await client.ask(b"PING") == b"PONG":
            waits.append((sent_at, time.perf_counter() - started))
        else:  # the gateway closes connections without requests
            client = await Client.connect(port)
        await asyncio.sleep(0.002)


async def measure_reloads(count: int, rounds: int) -> None:
    """Prints the delays of PINGs and requests while about `count` routes are read and while none are."""
    names = [kind.class_name for kind in KINDS]
    plans = [*PLANS, *({**PLANS[0], "name": f"plan-{i}"} for i in range(-(-count // 3) - len(PLANS)))]
    text = full_routes(names, [str(plan["name"]) for plan in plans])
    invalid_text = full_routes(names, [str(plan["name"]) for plan in plans], is_invalid=True)
    loop = asyncio.get_running_loop()
    nodes = [Node(f"n{i}", PROFILE) for i in range(4)]
    async with LabSite(nodes) as site, ready_gateway(site, text, plans) as gateway:
        assert gateway.process is not None
        load = Load(lambda: gateway.port, KINDS, accounts(), GATEWAY_RATE, 3)
        ping_waits: list[tuple[float, float]] = []
        loading = loop.create_task(load.run(rounds * 6.0))
        pinging = loop.create_task(send_pings(gateway.port, ping_waits))
        await asyncio.sleep(1.0)
        windows: dict[str, list[tuple[float, float]]]
        windows = {"nothing read": [], "a sound file": [], "a wrong one": []}
        while not loading.done():
            for kind, new_text, log_text in (
                ("a sound file", text, RELOADED),
                ("a wrong one", invalid_text, RELOAD_REJECTED),
            ):
                gateway.operator_file.write_text(new_text)
                started = loop.time()
                await asyncio.sleep(1.0)
                windows["nothing read"].append((started, loop.time()))
                log_size = gateway.log_file.stat().st_size
                started = loop.time()
                gateway.send_signal(signal.SIGHUP)
                while not log_contains(gateway.log_file, log_size, log_text) and not loading.done():
                    await asyncio.sleep(0.02)
                windows[kind].append((started, loop.time()))
        pinging.cancel()
        served = sum(outcome.answer == "served" for outcome in load.outcomes)
    print(machine())
    print(f"{len(names) * len(plans):,} routes, {len(text) / 1024:,.0f} KiB; "
          f"{GATEWAY_RATE:g} requests a second, {served} of {len(load.outcomes)} served")  # fmt: skip
    request_waits = [(outcome.scheduled_at, outcome.duration_ms / 1000.0) for outcome in load.outcomes]
    print("ms while ...       windows, median       PINGs      p50      p99     most  requests, the same")
    for kind, spans in windows.items():
        median_ms = 1e3 * statistics.median(end - start for start, end in spans)
        line = f"{kind:14}{len(spans):4} x {median_ms:9.0f}      "
        for waits in (ping_waits, request_waits):
            waits_ms = sorted(
                1e3 * wait for sent_at, wait in waits
                if any(start <= sent_at + wait and sent_at < end for start, end in spans)
            )  # fmt: skip
            line += f"{len(waits_ms):6}"
            for share in (0.5, 0.99, 1.0):
                line += f"{waits_ms[min(len(waits_ms) - 1, int(share * len(waits_ms)))]:9.1f}"
        print(line)


async def main(seconds: float) -> None:
    """Prints both tables."""
    print(machine())
    counts = (0, 1, 50)
    cpu_us: dict[int, list[float]] = {count: [] for count in counts}
    for seed in range(ROUNDS):
        for count in counts:
            cpu_us[count].append(await request_cpu_us(routes(count), seconds, seed))
    median_without = statistics.median(cpu_us[0])
    print(f"{RATE:g} requests a second, {ROUNDS} rounds of {seconds:g} s: CPU of the gateway a request, us")
    for count in counts:
        median = statistics.median(cpu_us[count])
        print(f"{count:3} routes  {median:7.1f} ({min(cpu_us[count]):.1f} to {max(cpu_us[count]):.1f})  "
              f"{100 * (median / median_without - 1):+.1f} %")  # fmt: skip
    print(f"a fleet that resets every request, {RATE / 2:g} reads a second for {seconds:g} s")
    small_budget = "retry_budget = { share = 0.02, least_per_s = 1 }\n"
    head = '[[route]]\nname = "r"\nmatch = { class = "report-read" }\n'
    for name, operator in (("no file", None), ("route, no budget", head + "attempts = 4\n"),
                           ("budget 0.02 and 1/s", head + "attempts = 4\n" + small_budget)):  # fmt: skip
        requests, attempts = await attempts_at_failing_fleet(operator, seconds)
        print(f"{name:22}{requests:6} requests {attempts:6} attempts  {attempts / requests:.2f} each")


if __name__ == "__main__":
    if sys.argv[1:2] == ["reload"]:
        uvloop.run(measure_reloads(*(int(word) for word in [*sys.argv[2:4], "2700", "4"][:2])))
    else:
        uvloop.run(main(float(sys.argv[1]) if len(sys.argv) > 1 else 8.0))
