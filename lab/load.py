"""Clients: an open load of requests at drawn moments, and the truth about what each was answered.

A request is sent once more on a new connection where the old one ended with no answer on it before a byte of
one came, as the protocol has it for a command that crosses a close; only a connection that had carried a
request before can end that way.
"""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import hiredis

from lab.peers import Client


@dataclass(frozen=True, slots=True)
class Kind:
    """One class of requests: its share of the load, how long clients wait, and how it is sent."""

    class_name: str
    share: float
    deadline_ms: int
    post: bool = False
    keyed: bool = False


@dataclass(frozen=True, slots=True)
class Account:
    """One customer; `weight` is its share of the load against the others'."""

    customer: bytes
    plan: str
    weight: float = 1.0
    more: str = ""  # further fields of its commands: `,spread=3,first=0`


@dataclass(slots=True)
class Outcome:
    """What became of a request."""

    kind: Kind
    account: Account
    request_id: bytes
    asked: float
    took_ms: float = 0.0
    answer: str = ""  # served, refused, failed, lost
    retry_after_ms: int | None = None


@dataclass
class Load:
    """A load on one gateway."""

    port: Callable[[], int]
    kinds: Sequence[Kind]
    accounts: Sequence[Account]
    rate: float
    seed: int = 1
    outcomes: list[Outcome] = field(default_factory=list)
    idle: list[Client] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Sends for so long, then waits for the last answers."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        began = at = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        while True:
            at += rng.expovariate(self.rate)
            if at - began >= seconds:
                break
            kind = rng.choices(self.kinds, [k.share for k in self.kinds])[0]
            account = rng.choices(self.accounts, [a.weight for a in self.accounts])[0]
            number += 1
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = asyncio.create_task(
                self.ask(Outcome(kind, account, b"%08x%08x" % (self.seed, number), at))
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        for client in self.idle:
            client.writer.close()

    async def ask(self, outcome: Outcome) -> None:
        """One request to its end."""
        self.outcomes.append(outcome)
        loop, kind = asyncio.get_running_loop(), outcome.kind
        fields = f"c={kind.class_name},t={outcome.account.plan},d={kind.deadline_ms}{outcome.account.more}"
        if kind.keyed:
            fields += f",k=k{outcome.request_id.decode()}"
        words = [b"CALL.POST" if kind.post else b"CALL.GET", outcome.account.customer, outcome.request_id,
                 fields.encode(), *([b"body"] if kind.post else [])]  # fmt: skip
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000.0 + 0.05):
                outcome.answer, outcome.retry_after_ms = await self.exchange(words)
        except TimeoutError:
            outcome.answer = "lost"
        outcome.took_ms = 1000.0 * (loop.time() - outcome.asked)

    async def exchange(self, words: list[bytes]) -> tuple[str, int | None]:
        """Sends on a kept connection, or on a new one."""
        while True:
            kept = bool(self.idle)
            client = None
            try:
                client = self.idle.pop() if kept else await Client.connect(self.port())
                client.send(*words)
                reply = await client.reply()
            except ConnectionError:
                reply = None
            except asyncio.CancelledError:
                if client is not None:
                    client.writer.close()
                raise
            if reply is None:
                if client is not None:
                    client.writer.close()
                if kept:
                    continue  # it crossed the end of the connection
                return "lost", None
            assert client is not None
            self.idle.append(client)
            return read(reply)

    def of(self, class_name: str) -> list[Outcome]:
        """The outcomes of a class."""
        return [outcome for outcome in self.outcomes if outcome.kind.class_name == class_name]


def read(reply: object) -> tuple[str, int | None]:
    """An answer as the protocol's table reads it, with the time after which to come back."""
    if isinstance(reply, bytes):
        return "served", None
    if isinstance(reply, hiredis.ReplyError) and str(reply).split(" ")[0] == "BUSY":
        after = str(reply).split(" ")[1:]
        return "refused", int(after[0]) if after else None
    return "failed", None


def percentile(values: Sequence[float], percent: int) -> float:
    """The value that this percentage of them (1 to 99) does not pass; 0 of none."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]
