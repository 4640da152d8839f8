"""The HTTP/1.1 server of the operations address, with one request per connection.

The `Routes` that are passed to the server define what a request does. The server runs in the gateway's event
loop, so the limits here also bound how long one iteration of the loop takes.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import h11

from glenchute.policy.connections.operator_slots import OperatorSlots

log = logging.getLogger("glenchute")

MAX_CONNECTIONS = 8
MAX_HEAD_BYTES = 4096
MAX_BODY_BYTES = 4096  # limit for a body, which no request needs; a smaller one is ignored
REQUEST_TIMEOUT_S = 5.0  # a connection is closed this long after it was accepted
SWEEP_INTERVAL_S = 0.5
LISTEN_BACKLOG = 64

Handler = Callable[[], tuple[int, str]]  # executes a request and returns its status and a line of text
Routes = Mapping[str, Mapping[str, Handler]]  # handlers by path, then by method


@dataclass(frozen=True, slots=True)
class Response:
    """The response to a request."""

    status: int
    text: str
    allow: str = ""  # the value of the header Allow, which is left out if this is empty


def respond(routes: Routes, method: str, target: str) -> Response:
    """Executes a request and returns its response."""
    handlers = routes.get(target.partition("?")[0])
    if handlers is None:
        return Response(404, "no such call")
    handler = handlers.get(method)
    if handler is None:
        return Response(405, "not by this method", ", ".join(sorted(handlers)))
    return Response(*handler())


class OperatorConnection(asyncio.Protocol):
    """One connection, which is closed after one request and its response."""

    def __init__(self, server: OperationsServer) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body_bytes = 0
        self.has_responded = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes a slot; aborts the connections that are evicted for it."""
        self.transport = transport  # type: ignore[assignment]
        for evicted in self.server.slots.add(self.server.loop.time(), self):
            evicted.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases the connection's slot."""
        self.transport = None
        self.server.slots.remove(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; responds 4xx to what is not a valid request."""
        if self.has_responded:
            return  # bytes after the first request are discarded until the client closes the connection
        try:
            self.http.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            self._send_response(Response(status if 400 <= status < 500 else 400, "not a call"))

    def eof_received(self) -> bool:
        """Returns whether this side stays open after the client has shut down its own."""
        return self.has_responded  # the client may still read its response

    def _process_events(self) -> None:
        """Parses the received bytes until more are needed or a response has been sent."""
        while not self.has_responded:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                self.request = event
                if self.http.they_are_waiting_for_100_continue:
                    self._send(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(event, h11.Data):
                self.body_bytes += len(event.data)
                if self.body_bytes > MAX_BODY_BYTES:
                    self._send_response(Response(413, "no body is needed"))
            elif isinstance(event, h11.EndOfMessage) and self.request is not None:
                method = self.request.method.decode("ascii", "replace")
                target = self.request.target.decode("ascii", "replace")
                self._send_response(self.server.respond(method, target))
            else:
                return

    def _send_response(self, response: Response) -> None:
        """Sends the response and shuts down this side; the client closes the connection."""
        self.has_responded = True
        text = f"{response.text}\n".encode("ascii", "replace")
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(text)))]
        headers.append(("Connection", "close"))
        if response.allow:
            headers.append(("Allow", response.allow))
        self._send(h11.Response(status_code=response.status, headers=headers))
        self._send(h11.Data(data=text))
        self._send(h11.EndOfMessage())
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()

    def _send(self, event: h11.Event) -> None:
        data = self.http.send(event)
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Closes the connection at once, also without a response."""
        if self.transport is not None:
            self.transport.abort()


class OperationsServer:
    """Listens at the operations address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, routes: Routes) -> None:
        self.loop = loop
        self.routes = routes
        self.slots: OperatorSlots[OperatorConnection] = OperatorSlots(MAX_CONNECTIONS, REQUEST_TIMEOUT_S)
        self.server: asyncio.Server | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts listening on this address. Raises OSError if that fails."""
        self.server = await self.loop.create_server(
            lambda: OperatorConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        self._sweep()

    @property
    def port(self) -> int:
        """Returns the port that the server listens on."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def respond(self, method: str, target: str) -> Response:
        """Executes a request. If its handler raises, the exception is logged and the status is 500."""
        try:
            return respond(self.routes, method, target)
        except Exception:
            log.exception("a request at the operations address failed; responding with 500")
            return Response(500, "failed")

    def _sweep(self) -> None:
        """Closes the connections that have timed out, every `SWEEP_INTERVAL_S`."""
        for connection in self.slots.remove_expired(self.loop.time()):
            connection.abort()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self.server is not None:
            self.server.close()
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for connection in list(self.slots.opened_at):
            connection.abort()
