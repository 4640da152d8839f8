"""What the decision module puts on the shared counter, and the commands and replies on its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from glenchute.clients.counter import CounterClient
from glenchute.policy.actions import Action, IncrementCounter
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import Event, Outcome

from ..captures.scenarios import DEFAULT_SETTINGS, MIXED_OUTCOMES, Environment
from .files import Rows

REPLIES: Rows = [
    ("a total", b"$6\r\n12.375\r\n"),
    ("a large total", b"$12\r\n2000004.1250\r\n"),
    ("a negative total", b"$2\r\n-3\r\n"),
    ("an exponent", b"$7\r\n1.5e+03\r\n"),
    ("busy", b"-BUSY\r\n"),
    ("an error", b"-ERR full\r\n"),
]


def counts() -> list[IncrementCounter]:
    """The calls of one module under a load with all plans: epoch markers, units, units given back."""
    module = DecisionEngine(DEFAULT_SETTINGS, 41)
    found: list[IncrementCounter] = []

    def tell(now: float, event: Event) -> list[Action]:
        actions = module.handle(now, event)
        found.extend(action for action in actions if isinstance(action, IncrementCounter))
        return actions

    environment = Environment(tell, 41, outcomes=(*MIXED_OUTCOMES, Outcome.UNREACHABLE), others_units=0.25)
    environment.late_outcomes = (Outcome.OK, Outcome.REJECTED)
    environment.timeout_fraction = 0.1
    environment.announce_servers()
    environment.load(4000.0, 20.0, 3)
    environment.run(3000.0)
    environment.outcomes = (Outcome.UNREACHABLE,)
    environment.load(2500.0, 20.0, 3)
    return found


def count_lines() -> Rows:
    """Each call as text: name, amount and lifetime, to the bit."""
    return [
        (str(at), f"{call.key} {call.amount!r} {call.ttl_ms!r}\n".encode())
        for at, call in enumerate(counts())
    ]


class StillLoop:
    """An event loop in which nothing happens by itself."""

    now = 0.0

    def time(self) -> float:
        return self.now

    def call_later(self, *later: object) -> asyncio.TimerHandle:
        return StillTimer()  # type: ignore[return-value]

    def call_soon(self, *soon: object) -> None:
        pass

    def create_task(self, work: Coroutine[Any, Any, None]) -> None:
        work.close()


class StillTimer:
    """A timer that is never due."""

    def cancel(self) -> None:
        pass


class Kept:
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        self.sent = bytearray()

    def write(self, data: bytes) -> None:
        self.sent += data

    def is_closing(self) -> bool:
        return False


def connected(links: int) -> tuple[CounterClient, list[Kept]]:
    """Connections to a counter that never answers by itself."""
    counter = CounterClient(StillLoop(), ("127.0.0.1", 1), 0.05, links)  # type: ignore[arg-type]
    transports = [Kept() for _ in counter.connections]
    for link, transport in zip(counter.connections, transports, strict=True):
        link.connection_made(transport)  # type: ignore[arg-type]
    return counter, transports


def commands() -> Rows:
    """The bytes of each call, and of the first command on a connection."""
    counter, (transport,) = connected(1)
    rows: Rows = [("ping", bytes(transport.sent))]
    for at, call in enumerate(counts()):
        transport.sent.clear()
        counter.increment(call.key, call.amount, call.ttl_ms, lambda *done: None)
        rows.append((str(at), bytes(transport.sent)))
    return rows


def links_used() -> list[int]:
    """By which of three connections each call goes."""
    counter, transports = connected(3)
    found = []
    for call in counts():
        for transport in transports:
            transport.sent.clear()
        counter.increment(call.key, call.amount, call.ttl_ms, lambda *done: None)
        found.append(next(at for at, transport in enumerate(transports) if transport.sent))
    return found


def outcomes(replies: Rows) -> Rows:
    """What each reply is read as: ending and total."""
    rows: Rows = []
    for label, reply in replies:
        counter, _ = connected(1)
        told: list[str] = []

        def done(total: float, ending: Outcome, took_ms: float, told: list[str] = told) -> None:
            told.append(f"{ending.value} {total!r}\n")

        counter.connections[0].data_received(b"+PONG\r\n")
        counter.increment(9, 1.0, 60_000.0, done)
        counter.connections[0].data_received(reply)
        rows.append((label, told[0].encode()))
    return rows
