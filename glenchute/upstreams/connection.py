"""A connection to a server that carries one attempt at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from glenchute.core.socket_events import has_unread_input
from glenchute.core.types import AttemptResult
from glenchute.policy.events import Outcome
from glenchute.protocol import resp2
from glenchute.protocol.incomplete_reply import whole_value
from glenchute.protocol.streamed_reply import StreamedReply

from .attempt import CarriedAttempt
from .connection_tracker import ConnectionTracker
from .responses import RESPONSE_STALL_S, result_of

if TYPE_CHECKING:
    from .streamed_value import StreamedValue


class ConnectionOwner(Protocol):
    """The part of a connection pool that its connections use."""

    @property
    def tracker(self) -> ConnectionTracker:
        """The tracker that counts the connections of all pools."""

    def on_connected(self, conn: Connection) -> None:
        """Registers an established connection."""

    def release(self, conn: Connection) -> None:
        """Returns a connection without attempts to the idle ones."""

    def remove_connection(self, conn: Connection) -> None:
        """Removes a closed connection."""


class Connection(asyncio.Protocol):
    """One connection; `attempt` is the attempt whose command is written and has no complete response yet."""

    __slots__ = ("attempt", "idle_since", "parser", "pool", "stall_timer", "streamed", "transport")

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.parser = resp2.Parser()
        self.attempt: CarriedAttempt | None = None
        self.streamed: StreamedValue | None = None  # the long value that is being relayed to a client
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.stall_timer: asyncio.TimerHandle | None = None  # set while a response is incomplete

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the established connection with its pool."""
        self.transport = transport  # type: ignore[assignment]
        self.pool.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, and ends the attempt once its response is complete."""
        attempt = self.attempt
        if attempt is None or attempt.result is not None:
            self.abort()  # after surplus bytes, replies can't be matched to commands any more
            return
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        try:
            if self.streamed is not None:
                self.streamed.feed(data)
                return
            self.parser.feed(data)
            reply = self.parser.next_message()
        except resp2.ValueTooLongError:
            self._start_stream(attempt)
            return
        except resp2.ProtocolError:
            self.fail_response()
            return
        if reply is False:
            # With a wrong length prefix the response never completes while the connection stays open.
            loop = self.pool.tracker.loop
            self.stall_timer = loop.call_later(RESPONSE_STALL_S, self._on_response_stalled)
            return
        self.complete_response(attempt, result_of(reply), self.parser.has_unparsed())

    def complete_response(self, attempt: CarriedAttempt, result: AttemptResult, has_surplus: bool) -> None:
        """Ends the attempt with its complete response; `has_surplus`: more bytes followed it."""
        is_reusable = result.is_connection_reusable and not has_surplus
        if not is_reusable and result.outcome is not Outcome.OK:
            self.fail_response()
            return
        self.attempt = None
        if is_reusable:
            self.pool.release(self)
        else:
            self.abort()  # a value followed by surplus bytes is served, but its connection is not reused
        attempt.finish(result)

    def _start_stream(self, attempt: CarriedAttempt) -> None:
        """Starts to relay a value that is too long to be buffered."""
        parsed = StreamedReply.parse_head(self.parser.take_unparsed())
        if parsed is None or attempt.on_response_started is None:
            self.fail_response()
            return
        from .streamed_value import StreamedValue  # imported here, as most processes never stream

        reply, first_bytes = parsed
        tracker = self.pool.tracker
        try:
            self.streamed = StreamedValue(
                self, attempt, reply, tracker.loop, tracker.read_permits, tracker.value_buffers
            )
            self.streamed.feed(first_bytes)
        except resp2.ProtocolError:
            self.fail_response()

    def _on_response_stalled(self) -> None:
        """Ends the attempt, as the rest of its response does not come."""
        if self.attempt is not None and self.attempt.result is None:
            self.attempt.result = self.whole_value_result()
        self.fail_response()

    def whole_value_result(self) -> AttemptResult | None:
        """Returns the result of a response whose value is whole, though the elements after it have not come;
        None for any other."""
        value = whole_value(self.parser.unparsed())
        return AttemptResult(Outcome.OK, value) if value is not None else None

    def fail_response(self) -> None:
        """Ends the attempt as an error, for an invalid or incomplete response; the request may have run."""
        if self.attempt is not None and self.attempt.result is None:
            self.attempt.result = AttemptResult(Outcome.ERROR)
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the attempt once the connection is closed."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self.pool.remove_connection(self)
        if self.streamed is not None:
            self.streamed.on_connection_lost()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            # The command may have been sent, so the outcome is never one that excludes that it ran. The
            # result is reported by `call_soon`, since uvloop closes the socket only after this call and a
            # retry must not reach a server while this attempt is open.
            result = attempt.result or self.whole_value_result() or AttemptResult(Outcome.RESET)
            self.pool.tracker.loop.call_soon(attempt.finish, result)

    def has_unread_input(self) -> bool:
        """Returns whether the kernel holds bytes, or the end of the connection, that the loop has not
        read."""
        return self.transport is not None and has_unread_input(self.transport)

    def abort(self) -> None:
        """Closes the connection immediately; its attempt ends in `connection_lost`."""
        if self.transport is not None:
            self.transport.abort()
