"""The handover between two processes of a gateway: messages, and the bytes on the socket."""

from __future__ import annotations

import asyncio
import math
import tempfile
from pathlib import Path

from glenchute.clients.handover import HandoverServer, PredecessorConnection, request_handover, socket_path
from glenchute.policy.actions import SendState
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import QuotaSnapshot, SuccessorStarted
from glenchute.policy.lifecycle.handover import encode_handover

from ..captures.scenarios import DEFAULT_SETTINGS, Environment
from .files import Rows

GATEWAY = "g7"
LIMIT_SHARE = 0.625
QUOTAS = (
    QuotaSnapshot(
        "0000000000001092", "basic", 3, 17.25, 4.5, 1.125, 0.375, 12.0, 40.0, 1_700_000_000_123.5, 21.5
    ),
    QuotaSnapshot("b", "rate", 1, -2.0, -0.5, 0.0, 0.0, 0.0, 0.0, -1.0, math.inf),
    QuotaSnapshot("größe", "", 1_000_000, 1e12, -1e12, 0.1, 1e-9, 3.0, 3.0, 1e15, -7.25),
)
LISTEN_ADDRESSES = (("g7", ("127.0.0.1", 7000)), ("zagreb-12", ("0.0.0.0", 65535)))


def quotas_after_load() -> tuple[QuotaSnapshot, ...]:
    """Returns the quotas that a decision engine hands over after a short load."""
    engine = DecisionEngine(DEFAULT_SETTINGS, 31)
    environment = Environment(engine.handle, 31, others_units=0.5, timeout_fraction=0.1)
    environment.announce_servers()
    environment.load(2500.0, 25.0, 3)
    (action,) = engine.handle(environment.now, SuccessorStarted())
    assert isinstance(action, SendState)
    return action.quotas


def cases() -> list[tuple[str, float, tuple[QuotaSnapshot, ...]]]:
    """Returns the label, the successor's limit share and the quotas of each message."""
    return [
        ("every field", LIMIT_SHARE, QUOTAS),
        ("no customers", 0.25, ()),
        ("after a load", 0.5, quotas_after_load()),
    ]


def messages() -> Rows:
    """Returns each message, encoded, with its label."""
    return [(label, encode_handover(GATEWAY, limit_share, quotas)) for label, limit_share, quotas in cases()]


def socket_names() -> Rows:
    """Returns the path of the handover socket for each gateway of `LISTEN_ADDRESSES`."""
    return [
        (f"{name} {listen}", f"{socket_path('/t', name, listen)}\n".encode())
        for name, listen in LISTEN_ADDRESSES
    ]


async def from_predecessor() -> bytes:
    """Returns all bytes that the process in service sends to a successor that connects."""
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "socket"
        server = HandoverServer(loop, lambda: encode_handover(GATEWAY, LIMIT_SHARE, QUOTAS), lambda: None)
        await server.start(path)
        reader, writer = await asyncio.open_unix_connection(str(path))
        raw = await reader.readline()
        server.close()
        raw += await reader.read()
        writer.close()
    return raw


async def to_successor(raw: bytes) -> tuple[PredecessorConnection | None, bytes]:
    """Returns the connection of a successor that receives these bytes, None if it rejects them, and all bytes
    that it sends."""
    loop = asyncio.get_running_loop()
    sent = bytearray()
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(raw)
        while data := await reader.read(4096):
            sent.extend(data)
        writer.close()
        closed.set()

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "socket"
        server = await asyncio.start_unix_server(serve, str(path))
        connection = await request_handover(loop, path, GATEWAY, lambda: None)
        if connection is not None:
            assert connection.transport is not None
            connection.transport.close()
        await closed.wait()
        server.close()
    return connection, bytes(sent)
