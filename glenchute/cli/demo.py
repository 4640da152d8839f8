"""``glenchute demo``: runs a gateway and simulated servers on loopback under a mixed load, and prints a
table. One of the servers fails for a third of the time.

The gateway is a process in a process group of its own; the simulated servers and the load run in this
process. The demo ends by itself, or cleanly on SIGINT and SIGTERM.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
from pathlib import Path

import uvloop

from lab.faults import Fault, FaultKind, FaultScript
from lab.load import Load, percentile
from lab.nodes import Node, ServiceProfile
from lab.site import KINDS, GatewayProcess, LabSite, accounts

NODES = 4
FOREVER = 1e9
SERVICE_TIMES = ServiceProfile({"report-read": 25.0, "check-order": 45.0, "check-charge": 60.0})
MAX_LOSSES_SHOWN = 20
LOG_LINES_SHOWN = 20
ANSWERS = ("served", "refused", "failed", "lost")
OPERATOR = """\
[defaults]
retry_on = ["full", "unreachable"]

[[route]]
name = "reads"
match = { class = "report-read" }
attempt_timeout_ms = 300
attempts = 3
backoff = { first_ms = 10, most_ms = 100, jitter = 0.2 }
retry_on = ["full", "unreachable", "error", "reset", "timeout"]
retry_budget = { share = 0.3, least_per_s = 2 }

[[route]]
name = "orders"
match = { class = "check-order" }
attempt_timeout_ms = 700
attempts = 3
retry_on = ["full", "unreachable", "error", "reset", "timeout"]
"""


def command(args: argparse.Namespace) -> int:
    """Runs the demo. Returns 0 if each request had one answer and no charge ran twice, else 1; 2 for invalid
    arguments."""
    if not 2.0 <= args.seconds <= 600.0 or not 1.0 <= args.rate <= 500.0:
        print("glenchute: --seconds must be from 2 to 600, --rate from 1 to 500", file=sys.stderr)
        return 2
    return int(uvloop.run(run_demo(args.seconds, args.rate, args.seed)))


def create_nodes(seconds: float, seed: int) -> list[Node]:
    """Creates four nodes. In the middle third of the demo the second one fails: some of its commands go
    unanswered, some connections are reset, and the rest is answered with errors."""
    begin, end = seconds / 3.0, 2.0 * seconds / 3.0
    faults = [Fault(kind, begin, end, share) for kind, share in
              ((FaultKind.VANISH, 0.3), (FaultKind.RESET, 0.4), (FaultKind.FAIL, 1.0))]  # fmt: skip
    return [
        Node(f"node-{i}", SERVICE_TIMES, FaultScript(faults if i == 1 else (), seed + i))
        for i in range(NODES)
    ]


async def run_demo(seconds: float, rate: float, seed: int) -> int:
    """Runs the demo and returns the exit status."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    with tempfile.TemporaryDirectory(prefix="glenchute-demo-") as folder:
        async with LabSite(create_nodes(seconds, seed)) as site:
            gateway = GatewayProcess(Path(folder), site.platform(), OPERATOR)
            gateway.start()
            try:
                await gateway.ready()
                for node in site.nodes:
                    node.started_at = loop.time()  # the start time of the fault schedule
                load = Load(lambda: gateway.port, KINDS, accounts(), rate, seed)
                print(f"{NODES} nodes, one gateway on 127.0.0.1:{gateway.port}, {rate:g} requests a second")
                begin, end = seconds / 3, 2 * seconds / 3
                print(f"for {seconds:g} s; node-1 fails from {begin:.1f} to {end:.1f} s", flush=True)
                await run_load(load, site, seconds, stop)
            finally:
                status = await gateway.stop()
        log_text = gateway.log_file.read_text(errors="replace")
        status = print_results(load, site, status, stop.is_set())
        print_losses(load, log_text)
    return status


async def run_load(load: Load, site: LabSite, seconds: float, stop: asyncio.Event) -> None:
    """Runs the load and prints its progress, until its end or a signal."""
    load_task = asyncio.create_task(load.run(seconds))
    stop_task = asyncio.create_task(stop.wait())
    began, is_terminal = asyncio.get_running_loop().time(), sys.stdout.isatty()
    while not load_task.done() and not stop_task.done():
        await asyncio.wait({load_task, stop_task}, timeout=0.25 if is_terminal else 1.0,
                           return_when=asyncio.FIRST_COMPLETED)  # fmt: skip
        counts = {answer: sum(1 for o in load.outcomes if o.answer == answer) for answer in ANSWERS}
        summary = "  ".join(f"{answer} {count}" for answer, count in counts.items())
        line = f"{asyncio.get_running_loop().time() - began:5.1f} s  {summary}"
        per_node = " ".join(f"{node.name}:{node.running_count}" for node in site.nodes)
        print(
            f"\r{line}  in work {per_node}   " if is_terminal else line,
            end="" if is_terminal else "\n",
            flush=True,
        )
    if is_terminal:
        print()
    for task in (load_task, stop_task):
        task.cancel()
    for task in (load_task, stop_task):
        with contextlib.suppress(asyncio.CancelledError):
            await task


def print_losses(load: Load, log_text: str) -> None:
    """Prints when and how each lost request was lost, and the end of the gateway's log; nothing without a
    loss."""
    lost = [outcome for outcome in load.outcomes if outcome.loss is not None]
    if not lost:
        return
    began = load.outcomes[0].scheduled_at
    for outcome in lost[:MAX_LOSSES_SHOWN]:
        sent_s, ended_s = outcome.scheduled_at - began, outcome.duration_ms / 1000.0
        cause = outcome.loss.value if outcome.loss else ""
        print(f"lost: {outcome.kind.class_name} sent at {sent_s:.3f} s, after {ended_s:.3f} s: {cause}")
    print("the end of the gateway's log:", *log_text.splitlines()[-LOG_LINES_SHOWN:], sep="\n  ")


def print_results(load: Load, site: LabSite, status: int, stopped: bool) -> int:
    """Prints the results of each class, and returns the exit status."""
    columns = "".join(f"{heading:>9}" for heading in ("asked", *ANSWERS, "p50 ms", "p99 ms"))
    print(f"{'class':14}{columns}")
    lost = 0
    for kind in KINDS:
        answered = [o for o in load.outcomes_of(kind.class_name) if o.answer]
        counts = {
            answer: sum(1 for o in answered if o.answer == answer)
            for answer in ("served", "refused", "failed", "lost")
        }
        lost += counts["lost"]
        durations_ms = [o.duration_ms for o in answered if o.answer == "served"]
        figures = [
            len(answered),
            *counts.values(),
            percentile(durations_ms, 50),
            percentile(durations_ms, 99),
        ]
        print(f"{kind.class_name:14}" + "".join(f"{figure:9.0f}" for figure in figures))
    forwarded = sum(1 for o in load.outcomes if o.answer in ("served", "failed"))
    received = sum(node.received_count for node in site.nodes)
    twice = site.count_repeated()
    print(f"attempts per request sent on: {received / max(1, forwarded):.2f}")
    print(f"charges run twice: {twice}; answers lost: {lost}; the gateway's exit status: {status}"
          + (" (stopped early)" if stopped else ""))  # fmt: skip
    return 0 if not twice and not lost and not status else 1
