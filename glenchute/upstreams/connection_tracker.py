"""The connections of a process to all servers: their limit, and what is learned from opening them."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Coroutine, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from glenchute.core.limits import UpstreamLimits
from glenchute.policy.connections.hedged_connects import ConnectTimeEstimate
from glenchute.policy.connections.stream_read_permits import StreamReadPermits

if TYPE_CHECKING:
    from .streamed_value import StreamedValue


class IdleConnection(Protocol):
    """An idle connection, as far as choosing one to close needs it."""

    @property
    def idle_since(self) -> float:
        """Loop time, in seconds, of its last use."""


class TrackedPool(Protocol):
    """A server's connections, as far as the limit needs them; the idle ones in order of their last use."""

    @property
    def open(self) -> Collection[object]:
        """All connections that are up or coming up."""

    @property
    def idle(self) -> Sequence[IdleConnection]:
        """The idle ones, the longest idle first."""

    def close_longest_idle(self) -> None:
        """Closes the connection that has been idle longest."""

    def close_idle(self, before: float | None = None) -> None:
        """Closes idle connections, those last used before this loop time where it is given."""


class ConnectionTracker:
    """Counts connections against the limit, and closes idle ones to make room.

    Costs follow the connections in use, not the servers: only pools with open connections are walked.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, limits: UpstreamLimits) -> None:
        self.loop = loop
        self.limits = limits
        self.process_share = 1.0  # of the gateway's limits, while several processes serve
        self.active_pools: set[TrackedPool] = set()  # with open connections
        self.connecting: set[object] = set()  # connections that are coming up, not yet in their pools
        self.hedged_connects = 0  # opened so far
        self.connect_times = ConnectTimeEstimate(limits.connect_timeout_s)
        self.read_permits: StreamReadPermits[StreamedValue] = StreamReadPermits(limits.max_streams)

    def set_process_share(self, share: float) -> None:
        """From now on this process uses at most this share of the gateway's connections and streams."""
        self.process_share = share
        self.read_permits.max_readers = max(1, int(self.limits.max_streams * share))

    def max_connections(self) -> float:
        """Connections that this process may have now."""
        return self.limits.max_connections * self.process_share

    def connection_count(self) -> int:
        """Connections that are open or coming up."""
        return len(self.connecting) + sum(len(pool.open) for pool in self.active_pools)

    def may_open(self) -> bool:
        """Whether `make_room` would succeed."""
        if self.connection_count() < self.max_connections():
            return True
        return any(pool.idle for pool in self.active_pools)

    def make_room(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one for it if necessary."""
        if self.connection_count() < self.max_connections():
            return True
        pools = [pool for pool in self.active_pools if pool.idle]
        if not pools:
            return False
        min(pools, key=lambda pool: pool.idle[0].idle_since).close_longest_idle()
        return True

    def start_connect(self, connection: object, connect: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs `connect` in a task; `connection` counts as coming up until it ends.

        The end is observed from outside: a task that is cancelled before its first step runs none of its
        code.
        """
        self.connecting.add(connection)
        task = self.loop.create_task(connect)
        task.add_done_callback(lambda _: self.connecting.discard(connection))
        return task
