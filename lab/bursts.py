"""Portals that pipeline: bursts of reads on one connection, at drawn moments, whatever became of those
before.

An open load: each read's time counts from the moment at which its burst was due, also where the sender itself
was late, so that a stall is felt by all that would have come during it (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from lab.load import read
from lab.peers import Client


@dataclass
class Bursts:
    """So many reads a second on average, in bursts of 1 to `most`. `took` is called with the milliseconds of
    each read that was served."""

    port: int
    rate: float
    took: Callable[[float], None]
    most: int = 8
    seed: int = 1
    class_name: str = "report-read"
    plan: str = "standard"
    deadline_ms: int = 2000
    accounts: int = 200
    idle: list[Client] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    portals: int = 0  # connections opened

    async def run(self, seconds: float) -> None:
        """Sends for so long, then waits for the last answers."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        began = at = loop.time()
        serial = itertools.count()
        tasks: set[asyncio.Task[None]] = set()
        mean = (1 + self.most) / 2.0
        while True:
            at += rng.expovariate(self.rate / mean)
            if at - began >= seconds:
                break
            words = [self.words(rng, next(serial)) for _ in range(rng.randint(1, self.most))]
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = asyncio.create_task(self.ask(at, words))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        for client in self.idle:
            client.writer.close()

    def words(self, rng: random.Random, number: int) -> list[bytes]:
        """One read."""
        fields = f"c={self.class_name},t={self.plan},d={self.deadline_ms}"
        return [b"CALL.GET", b"%016x" % rng.randrange(self.accounts), b"%08x%08x" % (self.seed, number),
                fields.encode()]  # fmt: skip

    async def ask(self, due: float, burst: list[list[bytes]]) -> None:
        """One burst, on a portal connection of its own for as long as it takes."""
        answered = 0
        try:
            async with asyncio.timeout(self.deadline_ms / 1000.0 + 0.5):
                while answered < len(burst):
                    kept, before = bool(self.idle), answered
                    if not kept:
                        self.portals += 1
                    client = self.idle.pop() if kept else await Client.connect(self.port)
                    try:
                        async for answer in self.answered(client, burst[answered:]):
                            answered += 1
                            self.note(answer, due)
                    except ConnectionError:
                        client.writer.close()
                        if not kept or answered > before:
                            raise  # else the burst crossed the end of the connection: once more on another
                    except asyncio.CancelledError:
                        client.writer.close()
                        raise
                    else:
                        self.idle.append(client)
        except (TimeoutError, ConnectionError):
            self.answers["lost"] += len(burst) - answered

    async def answered(self, client: Client, burst: list[list[bytes]]) -> AsyncIterator[object]:
        """The replies to a burst, which goes out in one write."""
        for words in burst:
            client.send(*words)
        for _ in burst:
            reply = await client.reply()
            if reply is None:
                raise ConnectionError
            yield reply

    def note(self, reply: object, due: float) -> None:
        """Books a reply."""
        answer = read(reply)[0]
        self.answers[answer] += 1
        if answer == "served":
            self.took(1000.0 * (asyncio.get_running_loop().time() - due))
