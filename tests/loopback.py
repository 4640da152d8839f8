"""A gateway on loopback sockets, with scripted peers (`lab/peers.py`) and scripted decisions."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

from glenchute.cli.program import GatewayProgram
from glenchute.config.operator import parse
from glenchute.config.platform import PlatformConfig, build
from glenchute.core.types import DecisionHandler
from glenchute.policy.actions import Action, Fail, StartAttempt
from glenchute.policy.events import AttemptEnded, Event, Request
from lab.peers import (
    Client,
    DiscoveryPeer,
    Peer,
    Reply,
    RespPeer,
    discovery_answer,
    generate_request_ids,
    http_response,
    reply_with,
    run_scenario,
    server_row,
    wait_until,
)
from lab.ports import free_port

__all__ = [
    "Client",
    "DiscoveryPeer",
    "Peer",
    "Reply",
    "RespPeer",
    "discovery_answer",
    "generate_request_ids",
    "http_response",
    "reply_with",
    "run_scenario",
    "server_row",
    "wait_until",
]

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


class ScriptedEngine:
    """A decision handler for tests: `decide` maps each event to actions. All events are recorded."""

    def __init__(self, decide: Callable[[Event], list[Action]]) -> None:
        self.decide = decide
        self.events: list[Event] = []
        self.is_handling = False

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        assert not self.is_handling, "the engine was called while it handled an event"
        self.is_handling = True
        self.events.append(event)
        actions = self.decide(event)
        self.is_handling = False
        return actions

    def events_of(self, kind: type[Any]) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


def send_to(server: str, timeout_ms: float = 0.0) -> Callable[[Event], list[Action]]:
    """Returns decisions that send each request to `server` once, and fail it if it was not served."""

    def decide(event: Event) -> list[Action]:
        if isinstance(event, Request):
            return [StartAttempt(event.request_id, server, timeout_ms)]
        if isinstance(event, AttemptEnded) and not event.is_final:
            return [Fail(event.request_id)]
        return []

    return decide


class Site:
    """A running gateway with its servers and its counter."""

    def __init__(self, program: GatewayProgram, servers: list[RespPeer], counter: RespPeer) -> None:
        self.program, self.servers, self.counter = program, servers, counter

    @property
    def port(self) -> int:
        server = self.program.listener.server
        assert server is not None
        return int(server.sockets[0].getsockname()[1])

    async def client(self) -> Client:
        return await Client.connect(self.port)


def raw_config(discovery: int, counter: int, rows: list[dict[str, Any]], listen: int = 1) -> dict[str, Any]:
    """Returns the platform's file as parsed JSON, with `rows` as the known servers."""
    return {
        "name": "n0", "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}",
        "counter": f"127.0.0.1:{counter}", "seed": "8c1f30d27a5be964", "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": rows},
    }  # fmt: skip


def config(discovery: int, counter: int, rows: list[dict[str, Any]], **changes: Any) -> PlatformConfig:
    """Returns the validated configuration of `raw_config`, with a free port to listen at."""
    raw = raw_config(discovery, counter, rows, free_port())
    raw["limits"]["sockets"] = changes.pop("sockets", raw["limits"]["sockets"])
    return replace(build(raw, {}), **changes)


@asynccontextmanager
async def site(
    *replies: Reply,
    decisions: DecisionHandler | None = None,
    counter: Reply | None = None,
    discovery: DiscoveryPeer | None = None,
    operator: str | None = None,
    **changes: Any,
) -> AsyncIterator[Site]:
    """Runs a gateway with servers s0, s1, ..., one for each reply, until the context ends."""
    totals: dict[bytes, float] = {}

    async def increment(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        if command[0] == b"PING":
            return b"+PONG\r\n"
        totals[command[1]] = totals.get(command[1], 0.0) + float(command[2])
        text = repr(totals[command[1]]).encode()
        return b"$%d\r\n%b\r\n" % (len(text), text)

    servers = [RespPeer(reply) for reply in replies]
    counter_peer = RespPeer(counter or increment)
    for peer in (*servers, counter_peer):
        await peer.start()
    rows = [server_row(f"s{i}", peer.port) for i, peer in enumerate(servers)]
    discovery = discovery or DiscoveryPeer(discovery_answer(1, rows))
    await discovery.start()
    platform_config = config(discovery.port, counter_peer.port, rows, **changes)
    operator_config = parse(operator, platform_config.facts).config if operator is not None else None
    assert operator is None or operator_config is not None
    program = GatewayProgram(platform_config, asyncio.get_running_loop(), decisions, operator=operator_config)
    await program.start()
    if program.counter is not None:
        await wait_until(
            lambda: program.counter is None or all(link.is_ready() for link in program.counter.connections)
        )
    try:
        yield Site(program, servers, counter_peer)
    finally:
        await program.close()
        all_peers: list[Peer] = [*servers, counter_peer, discovery]
        for each in all_peers:
            await each.stop()
