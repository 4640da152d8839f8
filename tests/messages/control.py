"""Requests and replies on the control socket of a member whose clock and boot number are fixed."""

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
from glenchute.policy.membership.members import MemberState, MemberUpdate, SwimMessage, SwimMessageKind
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
    """An event loop that has a time and runs nothing."""

    now = 1000.0

    def time(self) -> float:
        return self.now

    def call_later(self, *args: object) -> None:
        return None


def create_member(loop: FixedLoop) -> MemberNode:
    """Creates a member that has received nothing from the others yet."""
    with mock.patch("os.urandom", lambda count: b"\x5a" * count):
        node = MemberNode(MEMBER, loop, DecisionEngine(SETTINGS, 1), SETTINGS, 1)  # type: ignore[arg-type]
    return node


def bring_into_service(loop: FixedLoop, node: MemberNode) -> None:
    """Brings the member into service: it receives datagrams, a list, a parked task and two different copies
    of a row, and acquires a lease."""
    now = loop.time()
    node.replica.merge(now, Row(RowKind.TASK, "audit", "", (3 << 20) | 2, 5.0), 1.0, "g1")
    node.replica.merge(now, Row(RowKind.SERVER, "s9", "", 7, 1.0), 1.0, "g1")
    node.replica.merge(now, Row(RowKind.SERVER, "s9", "", 7, 2.0), 1.0, "g2")
    node.replica.merge(now, Row(RowKind.HEALTH, "s1", "g1#ff", 1, 800.0), 0.0, "g1")
    updates = (
        MemberUpdate("g1", MemberState.ALIVE, 3, 0xAB),
        MemberUpdate("g2", MemberState.SUSPECT, 0, 0xCD),
    )
    datagram = encode("lab", "g1", 0xAB, SwimMessage(SwimMessageKind.ACK, 1, "", updates))
    node.datagram_received(datagram, ("127.0.0.1", 7001))
    node.datagram_received(b"noise", ("127.0.0.1", 7001))
    shared_list = node.endpoint_sync.shared_list
    assert shared_list is not None
    shared_list.version, shared_list.confirmed_at = 170, now - 0.25
    shared_list.endpoints = {"s0": SharedEndpoint(170, "s0", "127.0.0.1:80", "a", 0, 1.0, 0.0, 0)}
    assert node.task_runner is not None
    for _ in range(400):
        loop.now += 0.05
        node.task_runner.tick()


def session(requests: Rows | None = None) -> tuple[Rows, Rows]:
    """Returns the requests, by default those of `sample_requests`, and one member's replies to them. The
    member is new until the first request labelled "in service"."""
    loop = FixedLoop()
    with mock.patch.object(tasks, "clock", loop.time):
        node = create_member(loop)
        control = ControlServer("")
        control.register("fleet", node.verbs())
        control.register("lab", {"fault": raise_error})
        sent = requests or sample_requests()
        assert sorted(control.verbs) == sorted([*(f"fleet {verb}" for verb in VERBS), "lab fault"])
        replies: Rows = []
        for label, request in sent:
            if label == "in service: tasks":
                bring_into_service(loop, node)
            (reply,) = asyncio.run(exchange(control, request))
            replies.append((label, reply))
    return sent, replies


def raise_error() -> list[dict[str, Any]]:
    """The handler of the verb `lab fault`, which always fails."""
    raise ValueError("on purpose")


def sample_requests() -> Rows:
    """Returns requests as the control client writes them, followed by invalid ones that it never writes."""
    rows: Rows = []
    for when in ("fresh", "in service"):
        rows += [(f"{when}: {verb}", call_with_client(f"fleet {verb}")[0]) for verb in VERBS]
    return [*rows, ("a verb that fails", call_with_client("lab fault")[0]), *BAD_REQUESTS]


async def exchange(control: ControlServer, request: bytes) -> list[bytes]:
    """Sends a request over the server's socket and returns the lines of the reply."""
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


def call_with_client(verb: str, reply: bytes = b'{"rows": []}\n') -> tuple[bytes, list[dict[str, Any]]]:
    """Returns the bytes that the client sends for a verb, and the rows that it decodes from this reply."""
    received = bytearray()
    with tempfile.TemporaryDirectory() as folder, socket.socket(socket.AF_UNIX) as listener:
        path = str(Path(folder) / "socket")
        listener.bind(path)
        listener.listen()

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                while not received.endswith(b"\n"):
                    received.extend(connection.recv(4096))
                connection.sendall(reply)
                received.extend(connection.recv(4096))  # the client must send nothing more

        thread = threading.Thread(target=serve)
        thread.start()
        rows = call_verb(path, verb)
        thread.join(5.0)
    return bytes(received), rows


def decode_rows(reply: bytes) -> list[dict[str, Any]] | None:
    """Returns the rows of a reply; None if it has none."""
    found: list[dict[str, Any]] | None = json.loads(reply).get("rows")
    return found
