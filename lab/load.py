"""Open-loop load: requests at random times, each with a record of its outcome.

If a reused connection ends before any byte of a reply, its request is sent again on another connection. The
protocol demands this of clients, as a command may cross the gateway's close of an idle connection.
"""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import hiredis

from lab.peers import Client


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A request class: its share of the load, its deadline, and how its requests are sent."""

    class_name: str
    share: float
    deadline_ms: int
    post: bool = False  # sent as CALL.POST with a body
    keyed: bool = False  # carries an idempotency key


@dataclass(frozen=True, slots=True)
class Account:
    """An account that sends requests; `weight` is its part of the load relative to other accounts."""

    account_id: bytes
    plan: str
    weight: float = 1.0
    extra_fields: str = ""  # further fields of its commands, such as `,spread=3,first=0`


class Loss(Enum):
    """Why a request has no answer. A client has to send a request again on another connection only if the
    connection had been used before."""

    NOT_CONNECTED = "no connection came up"
    CLOSED_UNANSWERED = "its new connection ended without a reply"
    LATE = "no reply came within its deadline and 50 ms"


class Answer(NamedTuple):
    """How a request was answered: "served", "refused", "failed" or "lost"."""

    answer: str
    retry_after_ms: int | None = None
    loss: Loss | None = None


@dataclass(slots=True)
class Outcome:
    """The outcome of a request."""

    kind: RequestKind
    account: Account
    request_id: bytes
    scheduled_at: float  # send time by the event loop's clock
    duration_ms: float = 0.0  # from the scheduled send time to the answer
    answer: str = ""  # "served", "refused", "failed" or "lost"
    retry_after_ms: int | None = None
    loss: Loss | None = None


@dataclass
class Load:
    """Load generator for one gateway, with `rate_per_s` requests per second on average.

    `port` returns the gateway's port at each connect.
    """

    port: Callable[[], int]
    kinds: Sequence[RequestKind]
    accounts: Sequence[Account]
    rate_per_s: float
    seed: int = 1
    outcomes: list[Outcome] = field(default_factory=list)
    idle_clients: list[Client] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Sends requests for `seconds`, then waits for the last answers."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        started = send_at = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        serial = 0
        while True:
            send_at += rng.expovariate(self.rate_per_s)
            if send_at - started >= seconds:
                break
            kind = rng.choices(self.kinds, [k.share for k in self.kinds])[0]
            account = rng.choices(self.accounts, [a.weight for a in self.accounts])[0]
            serial += 1
            await asyncio.sleep(max(0.0, send_at - loop.time()))
            task = asyncio.create_task(
                self.send_request(Outcome(kind, account, b"%08x%08x" % (self.seed, serial), send_at))
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        for client in self.idle_clients:
            client.writer.close()

    async def send_request(self, outcome: Outcome) -> None:
        """Sends one request and records its outcome."""
        self.outcomes.append(outcome)
        loop, kind = asyncio.get_running_loop(), outcome.kind
        account = outcome.account
        fields = f"c={kind.class_name},t={account.plan},d={kind.deadline_ms}{account.extra_fields}"
        if kind.keyed:
            fields += f",k=k{outcome.request_id.decode()}"
        command = [b"CALL.POST" if kind.post else b"CALL.GET", account.account_id, outcome.request_id,
                 fields.encode(), *([b"body"] if kind.post else [])]  # fmt: skip
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000.0 + 0.05):
                answer = await self.exchange(command)
        except TimeoutError:
            answer = Answer("lost", loss=Loss.LATE)
        outcome.answer, outcome.retry_after_ms, outcome.loss = answer
        outcome.duration_ms = 1000.0 * (loop.time() - outcome.scheduled_at)

    async def exchange(self, command: list[bytes]) -> Answer:
        """Sends a command on an idle connection or a new one."""
        while True:
            is_reused = bool(self.idle_clients)
            client = None
            try:
                client = self.idle_clients.pop() if is_reused else await Client.connect(self.port())
                client.send(*command)
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
                if is_reused:
                    continue  # the command crossed the close of the connection
                cause = Loss.NOT_CONNECTED if client is None else Loss.CLOSED_UNANSWERED
                return Answer("lost", loss=cause)
            assert client is not None
            self.idle_clients.append(client)
            return Answer(*classify_reply(reply))

    def outcomes_of(self, class_name: str) -> list[Outcome]:
        """Returns the outcomes of a class."""
        return [outcome for outcome in self.outcomes if outcome.kind.class_name == class_name]


def classify_reply(reply: object) -> tuple[str, int | None]:
    """Classifies a reply as "served", "refused" or "failed".

    Also returns the milliseconds to wait before a retry, if the reply gives them.
    """
    if isinstance(reply, bytes):
        return "served", None
    if isinstance(reply, hiredis.ReplyError) and str(reply).split(" ")[0] == "BUSY":
        after = str(reply).split(" ")[1:]
        return "refused", int(after[0]) if after else None
    return "failed", None


def percentile(values: Sequence[float], percent: int) -> float:
    """Returns a percentile of the values, `percent` from 1 to 99; 0.0 without values."""
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]
