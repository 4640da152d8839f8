"""Calls of the decision engine to the shared counter, and the commands and replies on its connections."""

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


def counter_calls() -> list[IncrementCounter]:
    """Returns the calls of one engine under a load of all plans: epoch markers, units and refunded units."""
    engine = DecisionEngine(DEFAULT_SETTINGS, 41)
    found: list[IncrementCounter] = []

    def handle(now: float, event: Event) -> list[Action]:
        actions = engine.handle(now, event)
        found.extend(action for action in actions if isinstance(action, IncrementCounter))
        return actions

    environment = Environment(handle, 41, outcomes=(*MIXED_OUTCOMES, Outcome.UNREACHABLE), others_units=0.25)
    environment.late_outcomes = (Outcome.OK, Outcome.REJECTED)
    environment.timeout_fraction = 0.1
    environment.announce_servers()
    environment.load(4000.0, 20.0, 3)
    environment.run(3000.0)
    environment.outcomes = (Outcome.UNREACHABLE,)
    environment.load(2500.0, 20.0, 3)
    return found


def counter_call_rows() -> Rows:
    """Returns each call as text that holds the exact values of key, amount and time to live."""
    return [
        (str(number), f"{call.key} {call.amount!r} {call.ttl_ms!r}\n".encode())
        for number, call in enumerate(counter_calls())
    ]


class IdleLoop:
    """An event loop that runs nothing."""

    now = 0.0

    def time(self) -> float:
        return self.now

    def call_later(self, *args: object) -> asyncio.TimerHandle:
        return IdleTimer()  # type: ignore[return-value]

    def call_soon(self, *args: object) -> None:
        pass

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        coroutine.close()


class IdleTimer:
    """A timer that never fires."""

    def cancel(self) -> None:
        pass


class RecordingTransport:
    """A transport that records the bytes written to it."""

    def __init__(self) -> None:
        self.sent = bytearray()

    def write(self, data: bytes) -> None:
        self.sent += data

    def is_closing(self) -> bool:
        return False


def connected_client(count: int) -> tuple[CounterClient, list[RecordingTransport]]:
    """Returns a client with `count` open connections, and their transports, which never reply."""
    counter = CounterClient(IdleLoop(), ("127.0.0.1", 1), 0.05, count)  # type: ignore[arg-type]
    transports = [RecordingTransport() for _ in counter.connections]
    for connection, transport in zip(counter.connections, transports, strict=True):
        connection.connection_made(transport)  # type: ignore[arg-type]
    return counter, transports


def commands() -> Rows:
    """Returns the bytes of the ping that a new connection starts with, and of each call."""
    counter, (transport,) = connected_client(1)
    rows: Rows = [("ping", bytes(transport.sent))]
    for number, call in enumerate(counter_calls()):
        transport.sent.clear()
        counter.increment(call.key, call.amount, call.ttl_ms, lambda *args: None)
        rows.append((str(number), bytes(transport.sent)))
    return rows


def connections_used() -> list[int]:
    """Returns the index of the connection, of three, that each call uses."""
    counter, transports = connected_client(3)
    found = []
    for call in counter_calls():
        for transport in transports:
            transport.sent.clear()
        counter.increment(call.key, call.amount, call.ttl_ms, lambda *args: None)
        found.append(next(index for index, transport in enumerate(transports) if transport.sent))
    return found


def outcomes(replies: Rows) -> Rows:
    """Returns the outcome and the total that the client reports for each reply to a call."""
    rows: Rows = []
    for label, reply in replies:
        counter, _ = connected_client(1)
        results: list[str] = []

        def on_done(total: float, outcome: Outcome, latency_ms: float, results: list[str] = results) -> None:
            results.append(f"{outcome.value} {total!r}\n")

        counter.connections[0].data_received(b"+PONG\r\n")
        counter.increment(9, 1.0, 60_000.0, on_done)
        counter.connections[0].data_received(reply)
        rows.append((label, results[0].encode()))
    return rows
