"""The connection pools of all servers, by server id."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection

from glenchute.core.limits import UpstreamLimits
from glenchute.core.types import Address, AttemptContext, AttemptResult

from .attempt import BaseAttempt
from .connection_pool import GRACE_MARGIN_S, ConnectionPool
from .connection_tracker import ConnectionTracker
from .exclusive_attempt import ExclusiveAttempt

SWEEP_INTERVAL_S = 1.0


class ServerPools(ConnectionTracker):
    """The upstream: the servers that accept requests, and the attempts on connections to them.

    The pool of a server from a long endpoint list is created when the server is first used, as most servers
    never are.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, limits: UpstreamLimits) -> None:
        super().__init__(loop, limits)
        self.pools: dict[str, ConnectionPool] = {}
        self.unopened: dict[str, Address] = {}  # addresses of servers without a pool yet
        # Servers in `unopened` that drain, with the loop time after which nothing is written to them.
        self.stopping: dict[str, float] = {}
        # Pools that were replaced or whose servers have left the list.
        self.removed: set[ConnectionPool] = set()
        self.sweeper = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def new_pool(self, server: str, address: Address) -> ConnectionPool:
        """Creates the pool of a server that is new, is active again or has a new address."""
        return ConnectionPool(self, address)

    def activate_server(self, server: str, address: Address, has_restarted: bool) -> None:
        """Adds or updates a server that accepts requests; `has_restarted`: it has a new process."""
        if self.unopened.pop(server, None) is not None:
            self.stopping.pop(server, None)
            self.pools[server] = self.new_pool(server, address)
            return
        pool = self.pools.get(server)
        if pool is None or pool.stop_at is not None or pool.address != address:
            if pool is not None:
                self.removed.add(pool)
                pool.stop()
            self.pools[server] = self.new_pool(server, address)
        elif has_restarted:
            pool.close_idle()  # they are connected to the process that has ended

    def activate_servers(
        self,
        addresses: dict[str, Address],
        has_restarted: Callable[[str], bool],
        retained: Collection[str] | None,
    ) -> None:
        """Adds or updates servers that accept requests.

        `has_restarted` returns whether a server has a new process. Of all other servers those in `retained`
        are left unchanged and the rest is removed; None: all are left unchanged.
        """
        for server in list(self.pools):
            if server in addresses:
                self.activate_server(server, addresses[server], has_restarted(server))
            elif retained is not None and server not in retained:
                self.remove_server(server)
        stopping = self.stopping.items()
        self.stopping = {
            name: at
            for name, at in stopping
            if name not in addresses and (retained is None or name in retained)
        }
        if retained is not None:
            self.unopened = {name: self.unopened[name] for name in self.stopping}
        self.unopened |= addresses
        for server in self.pools:
            self.unopened.pop(server, None)

    def drain_server(self, server: str) -> None:
        """Stops new attempts at a server that drains; those in flight may finish."""
        if server in self.unopened:
            stop_at = self.loop.time() + self.limits.drain_grace_s - GRACE_MARGIN_S
            self.stopping.setdefault(server, stop_at)
            return
        pool = self.pools.get(server)
        if pool is not None:
            pool.stop()

    def remove_server(self, server: str) -> None:
        """Removes a server that has left the endpoint list; its attempts in flight may finish."""
        self.unopened.pop(server, None)
        self.stopping.pop(server, None)
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.stop()
            self.removed.add(pool)

    def is_stopping(self, server: str) -> bool:
        """Returns whether a server drains or is not listed."""
        pool = self.pools.get(server)
        if pool is None:
            return server not in self.unopened or server in self.stopping
        return pool.stop_at is not None

    def server_ids(self) -> list[str]:
        """Returns the ids of all servers that are active or draining."""
        return [*self.pools, *self.unopened]

    def open_pool(self, server: str) -> ConnectionPool | None:
        """Returns the pool of a server that is active or within its drain's grace period, else None.

        Creates the pool if the server has none yet.
        """
        if server in self.stopping:
            pool = self.pools[server] = self.new_pool(server, self.unopened.pop(server))
            pool.stop_at = self.stopping.pop(server)
        elif server in self.unopened:
            self.activate_server(server, self.unopened[server], False)
        found = self.pools.get(server)
        if found is None or (found.stop_at is not None and self.loop.time() > found.stop_at):
            return None
        return found

    def address(self, server: str) -> Address | None:
        """Returns the address of a server; None if it accepts no requests (any more)."""
        pool = self.open_pool(server)
        return pool.address if pool is not None else None

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float = math.inf,
        context: AttemptContext | None = None,
    ) -> BaseAttempt | None:
        """Creates an attempt without starting it; None if the server accepts no requests (any more).

        `context` is unused here; only attempts that share connections need it.
        """
        pool = self.open_pool(server)
        if pool is None:
            return None
        return ExclusiveAttempt(pool, payload, timeout_s, done, write_by)

    def sweep(self) -> None:
        """Closes connections that have been idle for long, before the server would, and drops removed pools
        without connections."""
        self.sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        before = self.loop.time() - self.limits.max_idle_s
        for pool in [pool for pool in self.active_pools if pool.idle]:
            pool.close_idle(before)
        self.removed = {pool for pool in self.removed if pool.open}

    def close(self) -> None:
        """Closes all connections, at the end of the process."""
        self.sweeper.cancel()
        for pool in [*self.pools.values(), *self.removed]:
            for conn in list(pool.open):
                conn.abort()
