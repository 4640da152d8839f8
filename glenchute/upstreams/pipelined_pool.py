"""The pipelined connections to one server, and the attempts that wait for a connection."""

from __future__ import annotations

from typing import Protocol

from glenchute.core.types import Address

from .connection_pool import ConnectionPool
from .connection_tracker import ConnectionTracker
from .pipeline_runtime import PipelineRuntime
from .pipelined_connection import PipelinedConnection


class WaitingAttempt(Protocol):
    """The part of an attempt that the pool uses while it waits for a connection."""

    def place_again(self) -> None:
        """Asks for a placement again, as a connection may have become available."""

    def stop_unless_written(self) -> None:
        """Ends the attempt, as its server drains, if none of its bytes has been written."""


class PipelinedPool(ConnectionPool):
    """The pipelined connections to one server."""

    __slots__ = ("by_id", "runtime", "server", "waiting")

    def __init__(
        self, tracker: ConnectionTracker, runtime: PipelineRuntime, server: str, address: Address
    ) -> None:
        super().__init__(tracker, address)
        self.runtime = runtime
        self.server = server
        self.by_id: dict[int, PipelinedConnection] = {}  # connections that attempts may be placed on
        self.waiting: dict[int, WaitingAttempt] = {}  # by attempt id, the least recently placed first

    def open_connection(self, connection_id: int) -> PipelinedConnection | None:
        """Starts to open a connection; None if the connection limit does not allow it."""
        tracker = self.tracker
        if not tracker.make_room():
            return None
        conn = self.by_id[connection_id] = PipelinedConnection(self, connection_id)
        conn.connect_task = tracker.start_connect(conn, conn.connect())
        connect_timeout_s = tracker.limits.connect_timeout_s
        conn.connect_timer = tracker.loop.call_later(connect_timeout_s, conn.on_connect_failed)
        return conn

    def mark_busy(self, conn: PipelinedConnection) -> None:
        """Removes the connection from the idle ones, as an attempt joins it."""
        if conn in self.idle:
            self.idle.remove(conn)

    def retire(self, connection_id: int) -> None:
        """Makes the connection unavailable for further attempts."""
        self.by_id.pop(connection_id, None)

    def place_next_waiting(self) -> None:
        """Places the first waiting attempt again, as a connection may have become available."""
        for attempt in list(self.waiting.values())[:1]:
            attempt.place_again()

    def stop(self) -> None:
        """Stops new work, as the server drains or was removed.

        Written commands may still be answered; attempts that are not written end, so that their requests can
        go to other servers.
        """
        super().stop()
        assert self.stop_at is not None
        stops = [attempt.stop_unless_written for attempt in self.waiting.values()]
        for conn in list(self.by_id.values()):
            stops += [command.item.stop_unless_written for command in conn.pipeline.pending]
            if conn.is_buffer_full:
                conn.set_send_deadline(self.stop_at)
        for stop in stops:
            # Called later, as the core must not be re-entered while it reports the endpoint list.
            self.tracker.loop.call_soon(stop)
