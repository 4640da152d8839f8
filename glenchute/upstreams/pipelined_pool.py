"""The pipelined connections to one server, and the attempts that wait for one."""

from __future__ import annotations

from typing import Protocol

from glenchute.core.types import Address

from .connection_pool import ConnectionPool
from .connection_tracker import ConnectionTracker
from .pipeline_runtime import PipelineRuntime
from .pipelined_connection import PipelinedConnection


class WaitingAttempt(Protocol):
    """An attempt that waits for a connection."""

    def place_again(self) -> None:
        """A connection may have become available."""

    def stop_unless_written(self) -> None:
        """Its server drains."""


class PipelinedPool(ConnectionPool):
    """The connections to one server."""

    __slots__ = ("by_id", "runtime", "server", "waiting")

    def __init__(
        self, tracker: ConnectionTracker, runtime: PipelineRuntime, server: str, address: Address
    ) -> None:
        super().__init__(tracker, address)
        self.runtime = runtime
        self.server = server
        self.by_id: dict[int, PipelinedConnection] = {}  # those that attempts may be placed on
        self.waiting: dict[int, WaitingAttempt] = {}  # by attempt id, the longest waiting first

    def open_connection(self, connection_id: int) -> PipelinedConnection | None:
        """Begins to open a connection; None where the limit does not allow one."""
        tracker = self.tracker
        if not tracker.make_room():
            return None
        conn = self.by_id[connection_id] = PipelinedConnection(self, connection_id)
        conn.connect_task = tracker.start_connect(conn, conn.connect())
        connect_timeout_s = tracker.limits.connect_timeout_s
        conn.connect_timer = tracker.loop.call_later(connect_timeout_s, conn.on_connect_failed)
        return conn

    def mark_busy(self, conn: PipelinedConnection) -> None:
        """An attempt joins this connection."""
        if conn in self.idle:
            self.idle.remove(conn)

    def retire(self, connection_id: int) -> None:
        """Nothing is placed on this connection any more."""
        self.by_id.pop(connection_id, None)

    def place_next_waiting(self) -> None:
        """A connection may have become available: the longest waiting attempt is placed again."""
        for attempt in list(self.waiting.values())[:1]:
            attempt.place_again()

    def stop(self) -> None:
        """The server drains or was removed. What was written may be answered, the rest goes elsewhere."""
        super().stop()
        assert self.stop_at is not None
        stops = [attempt.stop_unless_written for attempt in self.waiting.values()]
        for conn in list(self.by_id.values()):
            stops += [command.item.stop_unless_written for command in conn.pipeline.pending]
            if conn.is_buffer_full:
                conn.set_send_deadline(self.stop_at)
        for stop in stops:
            # Not from here: the core must not be called while it reports the endpoint list.
            self.tracker.loop.call_soon(stop)
