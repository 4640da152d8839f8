"""Time from the start of the process to the first PONG, without an operator's file and with one, in turn.

``python -m benchmarks.start_up [ROUNDS]``
"""

from __future__ import annotations

import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.machine import machine
from lab.nodes import Node, Trade
from lab.site import GatewayProcess, LabSite

OPERATOR = Path(__file__).resolve().parent.parent / "deploy" / "operator.toml"


async def one(site: LabSite, operator: str | None) -> float:
    """One start; milliseconds."""
    with tempfile.TemporaryDirectory() as folder:
        gateway = GatewayProcess(Path(folder), site.platform(), operator)
        began = time.monotonic()
        gateway.start()
        try:
            await gateway.ready()
            return 1000.0 * (time.monotonic() - began)
        finally:
            gateway.signal(signal.SIGKILL)
            assert gateway.process is not None
            gateway.process.wait()


async def main(rounds: int) -> None:
    """Prints the medians of pairs."""
    text = OPERATOR.read_text()
    async with LabSite([Node("n0", Trade({}))]) as site:
        await one(site, None)
        await one(site, text)
        pairs = [(await one(site, None), await one(site, text)) for _ in range(rounds)]
    print(machine())
    print(f"{rounds} pairs, milliseconds to the first PONG: median (least, most)")
    for name, values in (("without the file", [p[0] for p in pairs]), ("with it", [p[1] for p in pairs]),
                         ("difference in a pair", [p[1] - p[0] for p in pairs])):  # fmt: skip
        print(f"{name:22}{statistics.median(values):8.1f} ({min(values):.1f}, {max(values):.1f})")


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 20))
