"""CPU a request with 0, 1 and 50 routes, and attempts sent to a wholly failing fleet, with a budget or none.

``python -m benchmarks.routes [SECONDS]``. The CPU is that of the gateway's process alone, over rounds in
which the three take turns.
"""

from __future__ import annotations

import signal
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import uvloop

from benchmarks.machine import cpu_s, machine
from lab.faults import Fault, Kind, Script
from lab.load import Load
from lab.nodes import Node, Trade
from lab.site import KINDS, SETTINGS, GatewayProcess, LabSite, accounts

TRADE = Trade({"report-read": 5.0, "check-order": 5.0, "check-charge": 5.0}, slots=64)
ROUNDS = 4
RATE = 300.0
ROOM = {"per_second": 1e4, "most_at_once": 1e5, "ceiling_rate": 0.0}
PLANS = [{**plan, **ROOM} for plan in SETTINGS["packages"]]
MANY = [*PLANS, *({**PLANS[0], "name": f"plan-{i}"} for i in range(47))]
READ = """\
match = {{ class = "report-read"{} }}
attempt_timeout_ms = 500
attempts = 3
retry_on = ["full", "reset"]
"""


def routes(count: int) -> str | None:
    """So many routes; the load uses three plans of fifty."""
    if not count:
        return None
    if count == 1:
        return '[[route]]\nname = "r"\n' + READ.format("")
    names = [str(plan["name"]) for plan in MANY]
    text = (f'[[route]]\nname = "r{i}"\n' + READ.format(f', plan = "{name}"') for i, name in enumerate(names))
    return "".join(text)


@asynccontextmanager
async def serving(site: LabSite, operator: str | None) -> AsyncIterator[GatewayProcess]:
    """A gateway that is ready, with fifty plans."""
    with tempfile.TemporaryDirectory() as folder:
        gateway = GatewayProcess(Path(folder), site.platform({**SETTINGS, "packages": MANY}), operator)
        gateway.start()
        try:
            await gateway.ready()
            yield gateway
        finally:
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()


async def cost(operator: str | None, seconds: float, seed: int) -> float:
    """Microseconds of the gateway's processor for each request."""
    async with LabSite([Node(f"n{i}", TRADE) for i in range(4)]) as site, serving(site, operator) as gateway:
        assert gateway.process is not None
        load = Load(lambda: gateway.port, KINDS, accounts(), RATE, seed)
        before = cpu_s(gateway.process.pid)
        await load.run(seconds)
        used = cpu_s(gateway.process.pid) - before
    assert all(outcome.answer == "served" for outcome in load.outcomes)
    return 1e6 * used / len(load.outcomes)


async def buried(operator: str | None, seconds: float) -> tuple[int, int]:
    """Requests and attempts at a fleet that fails wholly."""
    faults = [Fault(Kind.RESET, 0.0, 1e9)]
    nodes = [Node(f"n{i}", TRADE, Script(faults, i)) for i in range(4)]
    async with LabSite(nodes) as site, serving(site, operator) as gateway:
        load = Load(lambda: gateway.port, KINDS[:1], accounts(), RATE / 2, 5)
        await load.run(seconds)
    return len(load.outcomes), sum(node.received for node in nodes)


async def main(seconds: float) -> None:
    """Prints both tables."""
    print(machine())
    counts = (0, 1, 50)
    found: dict[int, list[float]] = {count: [] for count in counts}
    for turn in range(ROUNDS):
        for count in counts:
            found[count].append(await cost(routes(count), seconds, turn))
    base = statistics.median(found[0])
    print(f"{RATE:g} requests a second, {ROUNDS} rounds of {seconds:g} s: CPU of the gateway a request, us")
    for count in counts:
        median = statistics.median(found[count])
        print(f"{count:3} routes  {median:7.1f} ({min(found[count]):.1f} to {max(found[count]):.1f})  "
              f"{100 * (median / base - 1):+.1f} %")  # fmt: skip
    print(f"a fleet that resets every request, {RATE / 2:g} reads a second for {seconds:g} s")
    tight = "retry_budget = { share = 0.02, least_per_s = 1 }\n"
    head = '[[route]]\nname = "r"\nmatch = { class = "report-read" }\n'
    for name, operator in (("no file", None), ("route, no budget", head + "attempts = 4\n"),
                           ("budget 0.02 and 1/s", head + "attempts = 4\n" + tight)):  # fmt: skip
        asked, sent = await buried(operator, seconds)
        print(f"{name:22}{asked:6} requests {sent:6} attempts  {sent / asked:.2f} each")


if __name__ == "__main__":
    uvloop.run(main(float(sys.argv[1]) if len(sys.argv) > 1 else 8.0))
