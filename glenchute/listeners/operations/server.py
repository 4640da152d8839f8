"""HTTP/1.1 at the second address, one call to a connection. What a call does is `actions` of whoever starts
it. It runs in the gateway's loop, each turn of which is bounded.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import h11

from glenchute.policy.connections.operator_slots import OperatorSlots

log = logging.getLogger("glenchute")

MAX_CONNECTIONS = 8  # connections at once
MAX_HEAD_BYTES = 4096  # bytes of a call's head
MAX_BODY_BYTES = 4096  # bytes that may follow it; none is needed
REQUEST_TIMEOUT_S = 5.0  # a call that is not finished by then is ended
SWEEP_INTERVAL_S = 0.5

Action = Callable[[], tuple[int, str]]  # what a call does: the status, and a line for people
Actions = Mapping[str, Mapping[str, Action]]  # by path, then by method


@dataclass(frozen=True, slots=True)
class Response:
    """One answer."""

    status: int
    text: str
    allow: str = ""


def respond(actions: Actions, method: str, target: str) -> Response:
    """The answer to a call, which is carried out with it."""
    methods = actions.get(target.partition("?")[0])
    if methods is None:
        return Response(404, "no such call")
    action = methods.get(method)
    if action is None:
        return Response(405, "not by this method", ", ".join(sorted(methods)))
    return Response(*action())


class OperatorConnection(asyncio.Protocol):
    """One connection: a call, its answer, the end."""

    def __init__(self, server: OperationsServer) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body_bytes = 0
        self.is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        for other in self.server.slots.add(self.server.loop.time(), self):
            other.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.slots.remove(self)

    def data_received(self, data: bytes) -> None:
        if self.is_answered:
            return  # one call to a connection: what follows is thrown away until the caller closes
        try:
            self.http.receive_data(data)
            self.process_events()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            self.send_response(Response(status if 400 <= status < 500 else 400, "not a call"))

    def eof_received(self) -> bool:
        return self.is_answered  # a caller that has shut its side may still wait for its answer

    def process_events(self) -> None:
        """Goes on with what has come."""
        while not self.is_answered:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                self.request = event
                if self.http.they_are_waiting_for_100_continue:
                    self.send(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(event, h11.Data):
                self.body_bytes += len(event.data)
                if self.body_bytes > MAX_BODY_BYTES:
                    self.send_response(Response(413, "no body is needed"))
            elif isinstance(event, h11.EndOfMessage) and self.request is not None:
                method = self.request.method.decode("ascii", "replace")
                self.send_response(
                    self.server.respond(method, self.request.target.decode("ascii", "replace"))
                )
            else:
                return

    def send_response(self, reply: Response) -> None:
        """The one answer; then the own side is shut, and the other end closes."""
        self.is_answered = True
        text = f"{reply.text}\n".encode("ascii", "replace")
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(text)))]
        headers.append(("Connection", "close"))
        if reply.allow:
            headers.append(("Allow", reply.allow))
        self.send(h11.Response(status_code=reply.status, headers=headers))
        self.send(h11.Data(data=text))
        self.send(h11.EndOfMessage())
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()

    def send(self, event: h11.Event) -> None:
        """Sends one part of an answer."""
        data = self.http.send(event)
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Ends the connection, whatever has come."""
        if self.transport is not None:
            self.transport.abort()


class OperationsServer:
    """The listener at the second address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, actions: Actions) -> None:
        self.loop = loop
        self.actions = actions
        self.slots: OperatorSlots[OperatorConnection] = OperatorSlots(MAX_CONNECTIONS, REQUEST_TIMEOUT_S)
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens on this address only; OSError where that can't be."""
        self.server = await self.loop.create_server(lambda: OperatorConnection(self), host, port, backlog=64)
        self.sweep()

    @property
    def port(self) -> int:
        """Where it listens."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def respond(self, method: str, target: str) -> Response:
        """The answer to a call. A fault of ours is logged and answered."""
        try:
            return respond(self.actions, method, target)
        except Exception:
            log.exception("a call at the second address failed")
            return Response(500, "failed")

    def sweep(self) -> None:
        """Ends callers whose time is up."""
        for caller in self.slots.remove_expired(self.loop.time()):
            caller.abort()
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def close(self) -> None:
        """The end of the process."""
        if self.server is not None:
            self.server.close()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for caller in list(self.slots.opened_at):
            caller.abort()
