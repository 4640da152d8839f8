"""An HTTP/1.1 client connection that carries one GET request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from glenchute.policy.record import record

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_RETRY_AFTER_DIGITS = 5


@record(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes
    retry_after_s: float | None  # None: there is no Retry-After header, or it is not a number of seconds


def parse_retry_after_s(text: bytes) -> float | None:
    """Parses a Retry-After header in seconds. A date is ignored: the clocks of two machines may differ."""
    return float(text) if text.isdigit() and len(text) <= MAX_RETRY_AFTER_DIGITS else None


class HttpExchange(asyncio.Protocol):
    """A connection for one request at a time. It is closed after an invalid response, during one whose body
    exceeds `MAX_BODY_BYTES`, and after one that does not leave it usable for another request."""

    def __init__(self, on_response: Callable[[HttpResponse], None], on_closed: Callable[[], None]) -> None:
        """`on_response`: receives each complete response. `on_closed`: called when the connection has ended,
        whichever side closed it."""
        import h11  # takes a tenth of a start's import time and is not needed before the first request

        self.h11 = h11
        self.on_response = on_response
        self.on_closed = on_closed
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.body = b""
        self.retry_after_s: float | None = None
        self.is_aborted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; closes it if `abort` was called while it was connecting."""
        self.transport = transport  # type: ignore[assignment]
        if self.is_aborted:
            transport.abort()  # type: ignore[attr-defined]

    def get(self, host: str, target: str) -> None:
        """Sends a GET request. `host`: the value of the Host header; `target`: path and query."""
        assert self.transport is not None
        head = self.h11.Request(
            method="GET", target=target, headers=[("Host", host), ("Accept", "application/json")]
        )
        self.transport.write((self.http.send(head) or b"") + (self.http.send(self.h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the HTTP parser."""
        self._feed(data)

    def eof_received(self) -> None:
        """Handles the end of the peer's data. Returns None, upon which asyncio closes this side too."""
        self._feed(b"")  # completes a response whose body has no length

    def _feed(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            while self._handle_next_event():
                pass
        except self.h11.RemoteProtocolError:
            self.abort()

    def _handle_next_event(self) -> bool:
        """Handles the next event of the parser; returns False if there are no more for now."""
        event = self.http.next_event()
        if isinstance(event, self.h11.Response):
            self.status, self.body = event.status_code, b""
            self.retry_after_s = parse_retry_after_s(dict(event.headers).get(b"retry-after", b""))
        elif isinstance(event, self.h11.Data):
            self.body += bytes(event.data)
            if len(self.body) > MAX_BODY_BYTES:
                self.abort()
                return False
        elif isinstance(event, self.h11.EndOfMessage):
            self._finish_response()
            return False
        elif isinstance(event, self.h11.ConnectionClosed):
            self.abort()
            return False
        return event is not self.h11.NEED_DATA and event is not self.h11.PAUSED

    def _finish_response(self) -> None:
        response = HttpResponse(self.status, self.body, self.retry_after_s)
        if self.http.our_state is self.h11.DONE and self.http.their_state is self.h11.DONE:
            self.http.start_next_cycle()
            self.on_response(response)
        else:
            self.on_response(response)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection."""
        self.transport = None
        self.on_closed()

    def is_usable(self) -> bool:
        """Returns whether another request can be sent."""
        is_idle = self.http.our_state is self.h11.IDLE
        return is_idle and self.transport is not None and not self.transport.is_closing()

    def abort(self) -> None:
        """Closes the connection, or cancels it if it is still connecting."""
        self.is_aborted = True
        if self.transport is not None:
            self.transport.abort()
