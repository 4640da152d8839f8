"""Measures requests with a deadline of 150 ms while a third of new connections to servers are slow to open.

    python -m benchmarks.connecting [SECONDS] [SEED ...]

A whole gateway and nine servers on loopback sockets in one process. Servers answer after 12 to 24 ms and
close a connection after three answers, so that new ones are opened all the time; some connects are delayed by
0.3 to 1.5 s. Columns, per request: served in time, refused, failed, answered too late, connects begun, hedged
connects, attempts that reached a server.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from typing import Any, cast

import uvloop

from benchmarks.machine import machine
from glenchute.config.policy_settings import policy_settings as read
from glenchute.core.limits import UpstreamLimits
from lab.peers import Client, generate_request_ids
from tests.loopback import CUSTOMER, SERVED, SETTINGS, site

RATE = 60.0  # requests a second
DEADLINE_MS = 150
ANSWERS = 3  # answers of a server before it closes the connection
LATE_S = (0.3, 1.5)
LIMITS = {"attempts_cap": 3, "connect_timeout_ms": 250.0}


class LateLoop(uvloop.Loop):
    """Event loop that delays some of the connects to the servers."""

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(1)
        self.share = 0.0
        self.held_ports: set[int] = set()
        self.connects = 0

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        if port in self.held_ports:
            self.connects += 1
            if self.rng.random() < self.share:
                await asyncio.sleep(self.rng.uniform(*LATE_S))
        return await super().create_connection(factory, host, port, **more)


async def run(loop: LateLoop, share: float, seconds: float, seed: int) -> str:
    """Returns a row of the table."""
    rng = random.Random(seed)
    served: dict[Any, int] = {}

    async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        await asyncio.sleep(rng.uniform(0.012, 0.024))
        served[writer] = served.get(writer, 0) + 1
        writer.write(SERVED)
        if served[writer] == ANSWERS:
            del served[writer]
            loop.call_later(0.02, writer.close)
        return None

    settings = SETTINGS | {
        "limits": SETTINGS["limits"] | LIMITS,
        "profiles": [{"name": "read", "repeat": "read_like", "aim_ms": 90.0, "hard_limit_ms": DEADLINE_MS}],
    }
    ends: Counter[str] = Counter()
    async with site(
        *[reply] * 9, settings=read(settings), limits=UpstreamLimits(0.25, 13.0, 0.25, 300)
    ) as one:
        loop.rng, loop.share, loop.connects = random.Random(seed), share, 0
        loop.held_ports = {peer.port for peer in one.servers}
        clients: list[Client] = []
        ids = generate_request_ids()

        async def ask() -> None:
            client = clients.pop() if clients else await one.client()
            fields = b"c=read,t=basic,d=%d,units=1,spread=2,first=1" % DEADLINE_MS
            began = loop.time()
            try:
                reply = await client.ask(b"CALL.GET", CUSTOMER, next(ids), fields)
            except Exception as error:
                reply = error
            late = loop.time() - began > DEADLINE_MS / 1000.0
            told = "served" if reply == b"value" else "refused" if "BUSY" in str(reply) else "failed"
            ends["late" if late else told] += 1
            clients.append(client)

        tasks = []
        end = loop.time() + seconds
        while loop.time() < end:
            tasks.append(loop.create_task(ask()))
            await asyncio.sleep(rng.expovariate(RATE))
        await asyncio.gather(*tasks)
        asked = len(tasks)
        calls = sum(len(peer.calls()) for peer in one.servers)
        shares = [ends[told] / asked for told in ("served", "refused", "failed", "late")]
        shares += [loop.connects / asked, one.program.servers.hedged_connects / asked, calls / asked]
        row = f"{share:5.2f} {seed:4} {asked:5}" + "".join(f"{each:10.3f}" for each in shares)
        loop.held_ports = set()
    return row


def main() -> None:
    """Prints a row for each share of late connects and seed."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    seeds = [int(x) for x in sys.argv[2:]] or [1]
    print(machine())
    print("share seed asked    served   refused    failed      late  connects    beside  attempts")
    for share in (0.0, 1 / 3):
        for seed in seeds:
            with asyncio.Runner(loop_factory=LateLoop) as runner:
                loop = cast(LateLoop, runner.get_loop())
                print(runner.run(run(loop, share, seconds, seed)), flush=True)


if __name__ == "__main__":
    main()
