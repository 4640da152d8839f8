"""One HTTP/1.1 client connection with one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MAX_BODY_BYTES = 4 * 1024 * 1024


def parse_retry_after_s(text: bytes) -> float | None:
    """A retry-after in seconds; a date says nothing to a clock that nobody shares."""
    return float(text) if text.isdigit() and len(text) <= 5 else None


class HttpExchange(asyncio.Protocol):
    """One HTTP connection: a request at a time, each answer handed on whole."""

    def __init__(
        self, answered: Callable[[int, bytes, float | None], None], lost: Callable[[], None]
    ) -> None:
        import h11  # a tenth of what a start imports, and not needed before the first call

        self.h11 = h11
        self.on_response = answered
        self.on_closed = lost
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.body = b""
        self.retry_after: float | None = None  # seconds, if the answer names them
        self.is_aborted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.is_aborted:
            transport.abort()  # type: ignore[attr-defined]  # given up while it came up

    def get(self, host: str, target: str) -> None:
        """Sends a request."""
        assert self.transport is not None
        head = self.h11.Request(
            method="GET", target=target, headers=[("Host", host), ("Accept", "application/json")]
        )
        self.transport.write((self.http.send(head) or b"") + (self.http.send(self.h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        self.feed(data)

    def eof_received(self) -> None:
        self.feed(b"")  # ends a body that has no length

    def feed(self, data: bytes) -> None:
        """Feeds the parser and hands on what is whole."""
        try:
            self.http.receive_data(data)
            while self.handle_next_event():
                pass
        except self.h11.RemoteProtocolError:
            self.abort()

    def handle_next_event(self) -> bool:
        """One step of the parser; False when it needs more bytes."""
        event = self.http.next_event()
        if isinstance(event, self.h11.Response):
            self.status, self.body = event.status_code, b""
            self.retry_after = parse_retry_after_s(dict(event.headers).get(b"retry-after", b""))
        elif isinstance(event, self.h11.Data):
            self.body += bytes(event.data)
            if len(self.body) > MAX_BODY_BYTES:
                self.abort()
                return False
        elif isinstance(event, self.h11.EndOfMessage):
            status, body = self.status, self.body
            if self.http.our_state is self.h11.DONE and self.http.their_state is self.h11.DONE:
                self.http.start_next_cycle()
                self.on_response(status, body, self.retry_after)
            else:
                self.on_response(status, body, self.retry_after)
                self.abort()
            return False
        elif isinstance(event, self.h11.ConnectionClosed):
            self.abort()
            return False
        return event is not self.h11.NEED_DATA and event is not self.h11.PAUSED

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.on_closed()

    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        idle = self.http.our_state is self.h11.IDLE
        return idle and self.transport is not None and not self.transport.is_closing()

    def abort(self) -> None:
        """Closes the connection."""
        self.is_aborted = True
        if self.transport is not None:
            self.transport.abort()
