"""Open-loop load of pipelining clients: bursts of reads at random times, independent of earlier answers.

Latency is measured from the scheduled time of a burst, even if the sender was late, so that a stall counts
for all bursts that were due during it (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from lab.load import classify_reply
from lab.peers import Client


@dataclass
class BurstLoad:
    """Load generator with `rate` reads per second on average, in bursts of 1 to `max_burst`.

    `on_served` is called with the latency in milliseconds of each read that was served.
    """

    port: int
    rate: float
    on_served: Callable[[float], None]
    max_burst: int = 8
    seed: int = 1
    class_name: str = "report-read"
    plan: str = "standard"
    deadline_ms: int = 2000
    accounts: int = 200
    idle: list[Client] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    connections_opened: int = 0

    async def run(self, seconds: float) -> None:
        """Sends bursts for `seconds`, then waits for the last answers."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        started = at = loop.time()
        serial = itertools.count()
        tasks: set[asyncio.Task[None]] = set()
        mean_size = (1 + self.max_burst) / 2.0
        while True:
            at += rng.expovariate(self.rate / mean_size)
            if at - started >= seconds:
                break
            size = rng.randint(1, self.max_burst)
            burst = [self.command_words(rng, next(serial)) for _ in range(size)]
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = asyncio.create_task(self.send_burst(at, burst))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        for client in self.idle:
            client.writer.close()

    def command_words(self, rng: random.Random, number: int) -> list[bytes]:
        """Returns the words of a read command."""
        fields = f"c={self.class_name},t={self.plan},d={self.deadline_ms}"
        return [b"CALL.GET", b"%016x" % rng.randrange(self.accounts), b"%08x%08x" % (self.seed, number),
                fields.encode()]  # fmt: skip

    async def send_burst(self, due: float, burst: list[list[bytes]]) -> None:
        """Sends a burst on a connection without other requests, and records the answers."""
        answered = 0
        try:
            async with asyncio.timeout(self.deadline_ms / 1000.0 + 0.5):
                while answered < len(burst):
                    is_reused, answered_before = bool(self.idle), answered
                    if not is_reused:
                        self.connections_opened += 1
                    client = self.idle.pop() if is_reused else await Client.connect(self.port)
                    try:
                        async for reply in self.replies(client, burst[answered:]):
                            answered += 1
                            self.record(reply, due)
                    except ConnectionError:
                        client.writer.close()
                        # A reused connection that ended without an answer may have been closed as idle
                        # while the burst was on its way; the loop then sends the burst again.
                        if not is_reused or answered > answered_before:
                            raise
                    except asyncio.CancelledError:
                        client.writer.close()
                        raise
                    else:
                        self.idle.append(client)
        except (TimeoutError, ConnectionError):
            self.answers["lost"] += len(burst) - answered

    async def replies(self, client: Client, burst: list[list[bytes]]) -> AsyncIterator[object]:
        """Sends a burst and yields the replies to it."""
        for words in burst:
            client.send(*words)
        for _ in burst:
            reply = await client.reply()
            if reply is None:
                raise ConnectionError
            yield reply

    def record(self, reply: object, due: float) -> None:
        """Counts a reply, and reports the latency of a served read."""
        answer = classify_reply(reply)[0]
        self.answers[answer] += 1
        if answer == "served":
            self.on_served(1000.0 * (asyncio.get_running_loop().time() - due))
