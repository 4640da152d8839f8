"""Requests and replies on the control socket, of a member whose clock and process number are fixed."""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
import threading
from pathlib import Path
from typing import Any
from unittest import mock

from glenchute.clients.membership import lease_tasks as tasks
from glenchute.clients.membership.node import MemberNode
from glenchute.control.client import call_verb
from glenchute.control.server import ControlServer
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.membership.endpoint_sharing import SharedEndpoint
from glenchute.policy.membership.members import MemberState, MemberUpdate, SwimMessage
from glenchute.policy.membership.members import SwimMessageKind as Probes
from glenchute.policy.membership.replica import Row, RowKind
from glenchute.policy.settings import Plan, Settings, SlowStart
from glenchute.protocol.member_datagrams import encode

from .files import Rows

MEMBER: dict[str, Any] = {
    "fleet": "lab",
    "name": "g0",
    "listen": "127.0.0.1:7000",
    "share_list": True,
    "members": [{"name": f"g{n}", "address": f"127.0.0.1:{7000 + n}"} for n in (1, 2, 3)],
    "leases": {
        "voters": ["g0"],
        "longest_s": 10.0,
        "tasks": [{"name": "ask", "kind": "ask"}, {"name": "audit", "kind": "audit", "interval_s": 30.0}],
    },
}
SETTINGS = Settings("a", 4, (), (Plan("rate", rate_per_s=2.0, burst_units=6.0),), SlowStart())
VERBS = (
    "tasks", "leases", "list", "members", "state", "conflicts", "digest", "release ask", "release audit",
    "unpark audit", "unpark ask",
)  # fmt: skip
BAD_REQUESTS: Rows = [
    ("unknown verb", b'{"verb": "fleet nothing"}\n'),
    ("no verb", b"{}\n"),
    ("no object", b"[1]\n"),
    ("no JSON", b"what\n"),
]


class FixedLoop:
    """A loop that only tells the time."""

    now = 1000.0

    def time(self) -> float:
        return self.now

    def call_later(self, *later: object) -> None:
        return None


def member(loop: FixedLoop) -> MemberNode:
    """A process among members, of which one has answered, one is suspected, and one was never heard."""
    with mock.patch("os.urandom", lambda count: b"\x5a" * count):
        fleet = MemberNode(MEMBER, loop, DecisionEngine(SETTINGS, 1), SETTINGS, 1)  # type: ignore[arg-type]
    return fleet


def in_service(loop: FixedLoop, fleet: MemberNode) -> None:
    """Time passes, members are heard, a lease is held, a task is parked, copies differ."""
    now = loop.time()
    fleet.replica.merge(now, Row(RowKind.TASK, "audit", "", (3 << 20) | 2, 5.0), 1.0, "g1")
    fleet.replica.merge(now, Row(RowKind.SERVER, "s9", "", 7, 1.0), 1.0, "g1")
    fleet.replica.merge(now, Row(RowKind.SERVER, "s9", "", 7, 2.0), 1.0, "g2")
    fleet.replica.merge(now, Row(RowKind.HEALTH, "s1", "g1#ff", 1, 800.0), 0.0, "g1")
    updates = (
        MemberUpdate("g1", MemberState.ALIVE, 3, 0xAB),
        MemberUpdate("g2", MemberState.SUSPECT, 0, 0xCD),
    )
    datagram = encode("lab", "g1", 0xAB, SwimMessage(Probes.ACK, 1, "", updates))
    fleet.datagram_received(datagram, ("127.0.0.1", 7001))
    fleet.datagram_received(b"noise", ("127.0.0.1", 7001))
    shared_list = fleet.endpoint_sync.shared_list
    assert shared_list is not None
    shared_list.version, shared_list.confirmed_at = 170, now - 0.25
    shared_list.endpoints = {"s0": SharedEndpoint(170, "s0", "127.0.0.1:80", "a", 0, 1.0, 0.0, 0)}
    assert fleet.task_runner is not None
    for _ in range(400):
        loop.now += 0.05
        fleet.task_runner.tick()


def answers(requests: Rows | None = None) -> tuple[Rows, Rows]:
    """All requests and the replies, in their order, of one member: fresh, and in service."""
    loop = FixedLoop()
    with mock.patch.object(tasks, "clock", loop.time):
        fleet = member(loop)
        control = ControlServer("")
        control.register("fleet", fleet.verbs())
        control.register("lab", {"fault": fault})
        given = requests or made_requests()
        assert sorted(control.verbs) == sorted([*(f"fleet {verb}" for verb in VERBS), "lab fault"])
        replies: Rows = []
        for label, request in given:
            if label == "in service: tasks":
                in_service(loop, fleet)
            (reply,) = asyncio.run(exchange(control, request))
            replies.append((label, reply))
    return given, replies


def fault() -> list[dict[str, Any]]:
    """A verb that fails."""
    raise ValueError("on purpose")


def made_requests() -> Rows:
    """The requests as the command line's client writes them, then some that no client writes."""
    rows: Rows = []
    for when in ("fresh", "in service"):
        rows += [(f"{when}: {verb}", request_of(f"fleet {verb}")[0]) for verb in VERBS]
    return [*rows, ("a verb that fails", request_of("lab fault")[0]), *BAD_REQUESTS]


async def exchange(control: ControlServer, request: bytes) -> list[bytes]:
    """One request and all that the server answers, over its socket."""
    with tempfile.TemporaryDirectory() as folder:
        control.path = str(Path(folder) / "socket")
        await control.start()
        reader, writer = await asyncio.open_unix_connection(control.path)
        writer.write(request)
        writer.write_eof()
        raw = await reader.read()
        writer.close()
        control.close()
    return raw.splitlines(keepends=True)


def request_of(verb: str, reply: bytes = b'{"rows": []}\n') -> tuple[bytes, list[dict[str, Any]]]:
    """The bytes that the client sends for a verb, and what it reads in this reply."""
    got = bytearray()
    with tempfile.TemporaryDirectory() as folder, socket.socket(socket.AF_UNIX) as door:
        path = str(Path(folder) / "socket")
        door.bind(path)
        door.listen()

        def serve() -> None:
            link, _ = door.accept()
            with link:
                while not got.endswith(b"\n"):
                    got.extend(link.recv(4096))
                link.sendall(reply)
                got.extend(link.recv(4096))  # the client has no more to say

        thread = threading.Thread(target=serve)
        thread.start()
        rows = call_verb(path, verb)
        thread.join(5.0)
    return bytes(got), rows


def rows_of(reply: bytes) -> list[dict[str, Any]] | None:
    """The rows of a reply; None where it has none."""
    found: list[dict[str, Any]] | None = json.loads(reply).get("rows")
    return found
