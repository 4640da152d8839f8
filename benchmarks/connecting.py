"""Measures requests with a deadline of 150 ms while a third of new connections to servers are slow to open.

    python -m benchmarks.connecting [SECONDS] [SEED ...]

A complete gateway and nine servers on loopback sockets in one process. Servers answer after 12 to 24 ms and
close a connection after three answers, so that new ones are opened all the time; some connects are delayed by
0.3 to 1.5 s. After the share of slow connects, the seed and the number of requests, the columns are, per
request: served in time, refused, failed, answered too late, connects started, hedged connects ("beside"),
attempts that reached a server.
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
ANSWERS_PER_CONNECTION = 3  # after which the server closes it
CONNECT_DELAY_S = (0.3, 1.5)  # bounds of the delay of a slow connect
LIMITS = {"attempts_cap": 3, "connect_timeout_ms": 250.0}


class SlowConnectLoop(uvloop.Loop):
    """Event loop that delays a share of the connects to some ports."""

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(1)
        self.slow_share = 0.0
        self.slow_ports: set[int] = set()
        self.connects = 0  # started, to `slow_ports`

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        if port in self.slow_ports:
            self.connects += 1
            if self.rng.random() < self.slow_share:
                await asyncio.sleep(self.rng.uniform(*CONNECT_DELAY_S))
        return await super().create_connection(factory, host, port, **options)


async def run(loop: SlowConnectLoop, slow_share: float, seconds: float, seed: int) -> str:
    """Runs the load; returns a row of the table."""
    rng = random.Random(seed)
    answers: dict[Any, int] = {}  # number sent so far, by connection

    async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        await asyncio.sleep(rng.uniform(0.012, 0.024))
        answers[writer] = answers.get(writer, 0) + 1
        writer.write(SERVED)
        if answers[writer] == ANSWERS_PER_CONNECTION:
            del answers[writer]
            loop.call_later(0.02, writer.close)
        return None

    settings = SETTINGS | {
        "limits": SETTINGS["limits"] | LIMITS,
        "profiles": [{"name": "read", "repeat": "read_like", "aim_ms": 90.0, "hard_limit_ms": DEADLINE_MS}],
    }
    outcomes: Counter[str] = Counter()
    async with site(
        *[reply] * 9, settings=read(settings), limits=UpstreamLimits(0.25, 13.0, 0.25, 300)
    ) as gateway_site:
        loop.rng, loop.slow_share, loop.connects = random.Random(seed), slow_share, 0
        loop.slow_ports = {peer.port for peer in gateway_site.servers}
        clients: list[Client] = []
        ids = generate_request_ids()

        async def send_request() -> None:
            client = clients.pop() if clients else await gateway_site.client()
            fields = b"c=read,t=basic,d=%d,units=1,spread=2,first=1" % DEADLINE_MS
            started = loop.time()
            try:
                reply = await client.ask(b"CALL.GET", CUSTOMER, next(ids), fields)
            except Exception as error:
                reply = error
            is_late = loop.time() - started > DEADLINE_MS / 1000.0
            outcome = "served" if reply == b"value" else "refused" if "BUSY" in str(reply) else "failed"
            outcomes["late" if is_late else outcome] += 1
            clients.append(client)

        tasks = []
        end = loop.time() + seconds
        while loop.time() < end:
            tasks.append(loop.create_task(send_request()))
            await asyncio.sleep(rng.expovariate(RATE))
        await asyncio.gather(*tasks)
        requests = len(tasks)
        counts = [outcomes[outcome] for outcome in ("served", "refused", "failed", "late")]
        counts += [loop.connects, gateway_site.program.servers.hedged_connects]
        counts.append(sum(len(peer.calls()) for peer in gateway_site.servers))
        row = f"{slow_share:5.2f} {seed:4} {requests:5}"
        row += "".join(f"{count / requests:10.3f}" for count in counts)
        loop.slow_ports = set()
    return row


def main() -> None:
    """Prints a row for each share of slow connects and seed."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    seeds = [int(x) for x in sys.argv[2:]] or [1]
    print(machine())
    print("share seed asked    served   refused    failed      late  connects    beside  attempts")
    for slow_share in (0.0, 1 / 3):
        for seed in seeds:
            with asyncio.Runner(loop_factory=SlowConnectLoop) as runner:
                loop = cast(SlowConnectLoop, runner.get_loop())
                print(runner.run(run(loop, slow_share, seconds, seed)), flush=True)


if __name__ == "__main__":
    main()
