"""Measures the time from process start to the first PONG, without and with an operator's file, in turn.

``python -m benchmarks.start_up [ROUNDS]``
"""

from __future__ import annotations

import compileall
import os
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.machine import machine
from lab.nodes import Node, ServiceProfile
from lab.site import GatewayProcess, LabSite

OPERATOR = Path(__file__).resolve().parent.parent / "deploy" / "operator.toml"


async def measure_start(site: LabSite, operator: str | None) -> tuple[float, float]:
    """Starts a gateway once; returns the milliseconds elapsed and those of CPU."""
    with tempfile.TemporaryDirectory() as folder:
        gateway = GatewayProcess(Path(folder), site.platform(), operator)
        started = time.monotonic()
        gateway.start()
        try:
            await gateway.ready()
            elapsed_ms = 1000.0 * (time.monotonic() - started)
        finally:
            gateway.send_signal(signal.SIGKILL)
            assert gateway.process is not None
            _, _, usage = os.wait4(gateway.process.pid, 0)
            gateway.process.returncode = -signal.SIGKILL
        return elapsed_ms, 1000.0 * (usage.ru_utime + usage.ru_stime)


async def main(rounds: int) -> None:
    """Prints median, least and most, without the file and with it."""
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    compileall.compile_dir("glenchute", quiet=2)  # as the platform's build does
    operator_file = OPERATOR.read_text()
    without_file: list[tuple[float, float]] = []
    with_file: list[tuple[float, float]] = []
    async with LabSite([Node("n0", ServiceProfile({}))]) as site:
        await measure_start(site, None)
        for round_number in range(rounds):
            order = (None, operator_file) if round_number % 2 else (operator_file, None)
            for operator in order:
                (with_file if operator else without_file).append(await measure_start(site, operator))
    print(machine())
    print(f"{rounds} starts of each in turn, to the first PONG, milliseconds: median (least, most)")
    for index, clock in enumerate(("clock", "processor")):
        for name, starts in (("without the file", without_file), ("with it", with_file)):
            values = [start[index] for start in starts]
            median = statistics.median(values)
            print(f"{clock:10} {name:18}{median:8.1f} ({min(values):.1f}, {max(values):.1f})")


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 20))
