"""The connections of a process to all servers: their limit, their connect times, and the permits to read
streamed values."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Coroutine, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from glenchute.core.limits import UpstreamLimits
from glenchute.policy.connections.hedged_connects import ConnectTimeEstimate
from glenchute.policy.connections.stream_read_permits import StreamReadPermits
from glenchute.policy.connections.value_buffer_budget import ValueBufferBudget
from glenchute.protocol.streamed_reply import MAX_STREAMED_BYTES

if TYPE_CHECKING:
    from .streamed_value import StreamedValue


class IdleConnection(Protocol):
    """The part of an idle connection that is used to choose the one to close."""

    @property
    def idle_since(self) -> float:
        """The loop time of its last use, in seconds."""


class TrackedPool(Protocol):
    """The part of a connection pool that the connection limit uses."""

    @property
    def open(self) -> Collection[object]:
        """All established connections."""

    @property
    def idle(self) -> Sequence[IdleConnection]:
        """The idle connections, the longest idle first."""

    def close_longest_idle(self) -> None:
        """Closes the connection that has been idle for longest."""

    def close_idle(self, before: float | None = None) -> None:
        """Closes idle connections: all, or those not used since `before` (loop time)."""


class ConnectionTracker:
    """Enforces the limit of connections, and closes idle ones to stay within it.

    The cost depends on the connections in use, not on the number of servers: only pools with open connections
    are visited.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, limits: UpstreamLimits) -> None:
        self.loop = loop
        self.limits = limits
        self.process_share = 1.0  # fraction of the gateway's limits, below 1 while several processes serve
        self.active_pools: set[TrackedPool] = set()  # pools with open connections
        self.connecting: set[object] = set()  # connections being opened, not yet in their pools
        self.hedged_connects = 0  # total of hedged connects opened
        self.connect_times = ConnectTimeEstimate(limits.connect_timeout_s)
        self.read_permits: StreamReadPermits[StreamedValue] = StreamReadPermits(limits.max_streams)
        self.value_buffers: ValueBufferBudget[StreamedValue] = ValueBufferBudget(
            limits.max_buffered_value_bytes
        )

    def set_process_share(self, share: float) -> None:
        """Limits this process to a fraction of the gateway's connections and streams from now on."""
        self.process_share = share
        self.read_permits.max_readers = max(1, int(self.limits.max_streams * share))
        self.value_buffers.max_bytes = max(
            MAX_STREAMED_BYTES, int(self.limits.max_buffered_value_bytes * share)
        )

    def max_connections(self) -> float:
        """Returns the number of connections that this process may have."""
        return self.limits.max_connections * self.process_share

    def connection_count(self) -> int:
        """Returns the number of connections that are established or being opened."""
        return len(self.connecting) + sum(len(pool.open) for pool in self.active_pools)

    def may_open(self) -> bool:
        """Returns whether `make_room` would succeed."""
        if self.connection_count() < self.max_connections():
            return True
        return any(pool.idle for pool in self.active_pools)

    def make_room(self) -> bool:
        """Returns whether one more connection may be opened; closes the longest idle one if that is
        necessary."""
        if self.connection_count() < self.max_connections():
            return True
        pools = [pool for pool in self.active_pools if pool.idle]
        if not pools:
            return False
        min(pools, key=lambda pool: pool.idle[0].idle_since).close_longest_idle()
        return True

    def start_connect(self, connection: object, connect: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs `connect` in a task; `connection` counts as being opened until the task ends.

        The end is observed by a callback: a task that is cancelled before its first step runs none of its own
        code, not even `finally`.
        """
        self.connecting.add(connection)
        task = self.loop.create_task(connect)
        task.add_done_callback(lambda _: self.connecting.discard(connection))
        return task
