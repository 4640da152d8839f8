"""Stand-in server for HTTP/1.1 (RFC 9112) that records what ran and fails according to a script.

Requests carry `x-class`, `x-request-id` and, for keyed classes, `idempotency-key`; repeats of a key within
`idempotency_window_s` have no effect. Status 429 rejects a request that did not run.
"""

from __future__ import annotations

import asyncio
from typing import Any

import h11

from lab.faults import FaultKind, FaultScript
from lab.nodes import Effect, ServiceProfile
from lab.peers import Peer

REASONS = {200: b"OK", 429: b"Too Many Requests", 500: b"Internal Server Error"}
MAX_BODY_BYTES = 1024 * 1024


async def next_event(conn: h11.Connection, reader: asyncio.StreamReader) -> Any:
    """Returns the next h11 event of the other end; raises h11's errors."""
    while True:
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        conn.receive_data(await reader.read(64 * 1024))


async def read_message(conn: h11.Connection, reader: asyncio.StreamReader) -> tuple[Any, bytes] | None:
    """Reads a request or response with its body; None if the other end sends nothing more."""
    head = await next_event(conn, reader)
    while isinstance(head, h11.InformationalResponse):
        head = await next_event(conn, reader)
    if not isinstance(head, h11.Request | h11.Response):
        return None
    body = bytearray()
    while True:
        event = await next_event(conn, reader)
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise h11.RemoteProtocolError(f"message body is longer than {MAX_BODY_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return head, bytes(body)
        else:
            raise h11.RemoteProtocolError("connection ended inside a message body")


class HttpNode(Peer):
    """A stand-in HTTP server.

    `effects` holds each effect; `received_requests` holds the time and id of each complete request, in order.
    """

    def __init__(self, name: str, profile: ServiceProfile, script: FaultScript | None = None) -> None:
        super().__init__()
        self.name, self.profile, self.script = name, profile, script or FaultScript()
        self.started_at = 0.0
        self.effects: list[Effect] = []
        self.received_requests: list[tuple[float, str]] = []
        self.in_flight_count = 0  # requests that run or wait for a slot
        self.free_slots = asyncio.Semaphore(profile.slots)
        self.key_times: dict[bytes, float] = {}

    async def start(self, port: int = 0) -> None:
        self.started_at = asyncio.get_running_loop().time()
        await super().start(port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        if self.script.fault(loop.time() - self.started_at, (FaultKind.DOWN,)) is not None:
            writer.transport.abort()
            return
        conn = h11.Connection(h11.SERVER)
        while True:
            try:
                message = await read_message(conn, reader)
            except (h11.ProtocolError, ConnectionError):
                return
            if message is None or not await self.answer(conn, writer, message[0]):
                return
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def answer(self, conn: h11.Connection, writer: asyncio.StreamWriter, request: Any) -> bool:
        """Serves one request; returns whether the connection stays open."""
        loop = asyncio.get_running_loop()
        headers = {name.decode(): value for name, value in request.headers}
        request_id = headers.get("x-request-id", b"").decode()
        self.received_requests.append((loop.time(), request_id))
        fault = self.script.fault(loop.time() - self.started_at)
        kind = fault.kind if fault is not None else None
        if kind is FaultKind.REFUSE or self.in_flight_count >= self.profile.slots + self.profile.queue:
            return await self.reply(conn, writer, 429, b"")
        if kind is FaultKind.FAIL:
            return await self.reply(conn, writer, 500, b"")
        self.in_flight_count += 1
        try:
            async with self.free_slots:
                class_name = headers.get("x-class", b"").decode()
                self.record_effect(class_name, headers, loop.time())
                await asyncio.sleep(self.profile.service_ms.get(class_name, 1.0) / 1000.0)
        finally:
            self.in_flight_count -= 1
        if fault is not None and kind is FaultKind.DELAY:
            await asyncio.sleep(fault.delay_s)
        elif kind is FaultKind.RESET:
            writer.transport.abort()
            return False
        elif kind in (FaultKind.VANISH, FaultKind.STALL):
            if kind is FaultKind.STALL:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-le")
            await asyncio.sleep(60.0)  # longer than the other end waits
            return False
        return await self.reply(conn, writer, 200, request_id.encode())

    def record_effect(self, class_name: str, headers: dict[str, bytes], now: float) -> None:
        """Records the effect of a request, unless its key was used within `idempotency_window_s`."""
        key = headers.get("idempotency-key") if class_name in self.profile.keyed_classes else None
        if key is not None:
            if now - self.key_times.get(key, -1e9) < self.profile.idempotency_window_s:
                return
            self.key_times[key] = now
        request_id = headers.get("x-request-id", b"")
        self.effects.append(Effect(now, class_name, headers.get("x-account", b""), request_id, key))

    async def reply(
        self, conn: h11.Connection, writer: asyncio.StreamWriter, status: int, body: bytes
    ) -> bool:
        """Writes a response."""
        load_report = b"inflight=%d,queue=0" % self.in_flight_count
        fields = [(b"content-length", b"%d" % len(body)), (b"x-glenchute-load", load_report)]
        head = h11.Response(status_code=status, headers=fields, reason=REASONS[status])
        parts = [conn.send(head), conn.send(h11.Data(data=body)), conn.send(h11.EndOfMessage())]
        writer.write(b"".join(part for part in parts if part))
        await writer.drain()
        return True


def repeated_requests(nodes: list[HttpNode], class_name: str = "check-charge") -> list[bytes]:
    """Returns the requests of a class that ran more than once, as recorded by the servers."""
    ran = [effect.request_id for node in nodes for effect in node.effects if effect.class_name == class_name]
    return sorted({request_id for request_id in ran if ran.count(request_id) > 1})
