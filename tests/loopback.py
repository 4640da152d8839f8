"""Peers on loopback sockets for the gateway's tests: scripted servers, counter, discovery and client.

They model nothing: each does what a test tells it to. Waits are for conditions, never for a time to pass.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import hiredis
import uvloop

from glenchute.__main__ import Config, Program, build
from glenchute.gateway import Decisions
from heathglade import interface as api

CUSTOMER = b"00000000b4d65521"
GET = b"c=read,t=basic,d=20000,units=2,spread=2,first=1"
ORDER = b"c=order,t=basic,d=20000,k=5c0f6e1a2b3d4c59"
CHARGE = b"c=charge,t=basic,d=20000"
SETTINGS: dict[str, Any] = {
    "my_zone": "a",
    "balancers": 2,
    "me": 0,
    "domain": {"counter": True, "counter_timeout_ms": 5000.0, "max_units": 6},
    "limits": {"attempts_cap": 4, "retry_after": True, "max_retry_after_ms": 500.0, "max_open": 1000,
               "conn_idle_ms": 15000.0, "connect_timeout_ms": 5000.0},
    "packages": [{"name": "basic", "per_second": 1000.0, "most_at_once": 4000.0}],
    "profiles": [
        {"name": "read", "repeat": "read_like", "aim_ms": 5000.0, "hard_limit_ms": 20000.0},
        {"name": "order", "repeat": "idempotency_key", "group": "all", "memory_span_ms": 2000.0,
         "aim_ms": 5000.0, "hard_limit_ms": 20000.0},
        {"name": "charge", "repeat": "non_idempotent", "aim_ms": 5000.0, "hard_limit_ms": 20000.0},
    ],
    "safety": {"cold_from": 0.25, "warm_after_ms": 18000.0, "drain_grace_ms": 250.0},
}  # fmt: skip
SERVED = b"*3\r\n$5\r\nvalue\r\n*-1\r\n$20\r\ninflight=7,queue=2.5\r\n"


def play(scenario: Coroutine[Any, Any, None]) -> None:
    """Runs a scenario; the limit only keeps a broken test from hanging."""
    uvloop.run(asyncio.wait_for(scenario, 60.0))


async def until(condition: Callable[[], object]) -> None:
    """Waits until something holds."""
    while not condition():
        await asyncio.sleep(0.002)


class Peer:
    """A TCP server on a free port; `script` gets each connection."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


async def commands(reader: asyncio.StreamReader) -> AsyncIterator[list[bytes]]:
    """The commands that come on a connection."""
    parser = hiredis.Reader()
    while data := await reader.read(65536):
        parser.feed(data)
        while (words := parser.gets()) is not False:
            yield words


Reply = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[bytes | None]]


class RespPeer(Peer):
    """Answers each command with what `reply` returns; None leaves it unanswered. `log` keeps the order."""

    def __init__(self, reply: Reply) -> None:
        super().__init__()
        self.reply = reply
        self.log: list[tuple[str, int, list[bytes]]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = len(self.writers)
        try:
            async for words in commands(reader):
                self.log.append(("command", number, words))
                reply = await self.reply(words, writer)
                if reply is not None:
                    writer.write(reply)
        finally:
            self.log.append(("closed", number, []))

    def calls(self) -> list[list[bytes]]:
        """The commands that came, pings left out."""
        return [words for what, _, words in self.log if what == "command" and words != [b"PING"]]


def always(reply: bytes | None) -> Reply:
    """The same reply to everything."""

    async def answer(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        return reply

    return answer


class DiscoveryPeer(Peer):
    """Discovery: `answers` are given out one for each call; when they run out, calls are left waiting."""

    def __init__(self, *answers: bytes) -> None:
        super().__init__()
        self.answers = list(answers)
        self.targets: list[str] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.targets.append(head.split(b" ")[1].decode())
            number = len(self.targets) - 1
            await until(lambda: len(self.answers) > number)  # noqa: B023
            writer.write(self.answers[number])


def http(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)


def listing(version: int, rows: list[dict[str, Any]], full: bool = True) -> bytes:
    return http(json.dumps({"version": version, "full": full, "servers": rows}).encode())


def row(server: str, port: int, state: str = "Ready", started_ms: float = 0.0) -> dict[str, Any]:
    return {"id": server, "addr": f"127.0.0.1:{port}", "zone": "a", "kind": "m", "cell": 0, "state": state,
            "weight": 1.0, "started_ms": started_ms}  # fmt: skip


class Client:
    """A client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.parser = hiredis.Reader()

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, *words: bytes) -> None:
        self.writer.write(hiredis.pack_command(words))  # type: ignore[arg-type]

    async def reply(self) -> Any:
        """The next reply; None at the end of the connection."""
        while (found := self.parser.gets()) is False:
            data = await self.reader.read(65536)
            if not data:
                return None
            self.parser.feed(data)
        return found

    async def ask(self, *words: bytes) -> Any:
        self.send(*words)
        return await self.reply()

    async def ended(self) -> bool:
        """Whether the gateway closed the connection, with nothing more on it."""
        try:
            return not await self.reader.read(1)
        except ConnectionError:
            return True


class Script:
    """Decisions made by a test: `decide` turns each event into actions. All events are kept."""

    def __init__(self, decide: Callable[[api.Event], list[api.Action]]) -> None:
        self.decide = decide
        self.events: list[api.Event] = []
        self.inside = False

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        assert not self.inside, "the module was called from within a call"
        self.inside = True
        self.events.append(event)
        actions = self.decide(event)
        self.inside = False
        return actions

    def of(self, kind: type[Any]) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


def send_to(server: str, timeout_ms: float = 0.0) -> Callable[[api.Event], list[api.Action]]:
    """Sends each request once; what was not served fails."""

    def decide(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            return [api.Send(event.request_id, server, timeout_ms)]
        if isinstance(event, api.AttemptEnded) and not event.final:
            return [api.Fail(event.request_id)]
        return []

    return decide


class Site:
    """A gateway with its peers."""

    def __init__(self, program: Program, servers: list[RespPeer], counter: RespPeer) -> None:
        self.program, self.servers, self.counter = program, servers, counter

    @property
    def port(self) -> int:
        server = self.program.listener.server
        assert server is not None
        return int(server.sockets[0].getsockname()[1])

    async def client(self) -> Client:
        return await Client.connect(self.port)


def raw_config(discovery: int, counter: int, rows: list[dict[str, Any]], listen: int = 1) -> dict[str, Any]:
    """A configuration as the platform writes it."""
    return {
        "name": "n0", "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}",
        "counter": f"127.0.0.1:{counter}", "seed": "8c1f30d27a5be964", "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": rows},
    }  # fmt: skip


def config(discovery: int, counter: int, rows: list[dict[str, Any]], **changes: Any) -> Config:
    """The same, read; the gateway listens on a free port."""
    made = build(raw_config(discovery, counter, rows), {})
    return replace(made, listen=("127.0.0.1", 0), **changes)


@asynccontextmanager
async def site(
    *replies: Reply,
    decisions: Decisions | None = None,
    counter: Reply | None = None,
    discovery: DiscoveryPeer | None = None,
    **changes: Any,
) -> AsyncIterator[Site]:
    """A gateway that serves, with one server s0, s1, ... for each reply."""
    totals: dict[bytes, float] = {}

    async def add(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        if words[0] == b"PING":
            return b"+PONG\r\n"
        totals[words[1]] = totals.get(words[1], 0.0) + float(words[2])
        text = repr(totals[words[1]]).encode()
        return b"$%d\r\n%b\r\n" % (len(text), text)

    servers = [RespPeer(reply) for reply in replies]
    counts = RespPeer(counter or add)
    for peer in (*servers, counts):
        await peer.start()
    rows = [row(f"s{i}", peer.port) for i, peer in enumerate(servers)]
    discovery = discovery or DiscoveryPeer(listing(1, rows))
    await discovery.start()
    made = config(discovery.port, counts.port, rows, **changes)
    program = Program(made, asyncio.get_running_loop(), decisions)
    await program.start()
    if program.counter is not None:
        await until(lambda: program.counter is None or all(link.ready() for link in program.counter.links))
    try:
        yield Site(program, servers, counts)
    finally:
        await program.close()
        peers: list[Peer] = [*servers, counts, discovery]
        for each in peers:
            await each.stop()


def numbered() -> Iterator[bytes]:
    """Fresh request ids."""
    serial = 0
    while True:
        serial += 1
        yield b"%016x" % serial
