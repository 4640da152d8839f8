"""Measures the CPU per request by capture mode, the bytes per request, and replay speed against real time.

``python -m benchmarks.capture [SECONDS]``. The modes are "off", "ring" (in memory) and "disk". Each round
measures all of them in turn. The CPU is that of the gateway's process.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.machine import machine
from benchmarks.routes import RATE, ROUNDS, request_cpu_us
from glenchute.capture.codec import EVENTS
from glenchute.capture.replay import find_runs, read_segment, replay
from glenchute.policy.events import Request


def operator(mode: str, folder: str) -> str | None:
    """Returns the operator's file for a mode; None for off."""
    return None if mode == "off" else f'[capture]\nfolder = "{folder}"\nmode = "{mode}"\nsegments = 1000\n'


async def main(seconds: float) -> None:
    """Prints the tables."""
    print(machine())
    cpu_us: dict[str, list[float]] = {"off": [], "ring": [], "disk": []}
    with tempfile.TemporaryDirectory() as folder:
        for seed in range(ROUNDS):
            for mode, values in cpu_us.items():
                values.append(await request_cpu_us(operator(mode, folder), seconds, seed))
        median_off = statistics.median(cpu_us["off"])
        print(f"{RATE:g} requests a second, {ROUNDS} rounds of {seconds:g} s: the gateway's CPU for one, us")
        for mode, values in cpu_us.items():
            median = statistics.median(values)
            percent = 100.0 * (median / median_off - 1.0)
            print(f"{mode:5}{median:8.1f} ({min(values):.1f} to {max(values):.1f})  {percent:+.1f} %")
        size_bytes = requests = records = 0
        captured_ms = replay_s = 0.0
        for files in find_runs(Path(folder)).values():
            for file in files:
                segment = read_segment(file)
                size_bytes += file.stat().st_size
                records += len(segment.records)
                requests += sum(1 for record in segment.records if EVENTS[record[1]] is Request)
                if segment.records:
                    captured_ms += segment.records[-1][0] - segment.records[0][0]
            started = time.process_time()
            assert not replay(files).differences
            replay_s += time.process_time() - started
    print(f"{size_bytes / requests:.0f} bytes and {records / requests:.1f} records a request, "
          "snapshots included")  # fmt: skip
    print(f"replay: {captured_ms / 1000.0 / replay_s:.0f} times real time, "
          f"{records / replay_s:.0f} records a second")  # fmt: skip


if __name__ == "__main__":
    uvloop.run(main(float(sys.argv[1]) if len(sys.argv) > 1 else 8.0))
