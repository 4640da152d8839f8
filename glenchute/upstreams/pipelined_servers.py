"""The pipelined upstream: attempts share connections, with one scheduler for all servers.

`policy/connections/pipelining.py` decides which attempt joins which connection, and when a connection is
aborted for the attempts queued on it. `policy/connections/pipelined_connection.py` decides which bytes belong
to which attempt, and how each attempt ends when its connection does.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Iterable

from glenchute.core.limits import UpstreamLimits
from glenchute.core.types import Address, AttemptContext, AttemptResult
from glenchute.policy.connections.class_compatibility import ClassCompatibility
from glenchute.policy.connections.pipeline_types import PipelineRules
from glenchute.policy.connections.pipelining import PipelineScheduler
from glenchute.policy.settings import RequestClass

from .connection_pool import ConnectionPool
from .pipeline_runtime import PipelineRuntime, WriteLimits
from .pipelined_attempt import PipelinedAttempt
from .pipelined_pool import PipelinedPool
from .server_pools import ServerPools

log = logging.getLogger("glenchute")

REPORT_INTERVAL_S = 10.0


class PipelinedServers(ServerPools):
    """The connection pools of all servers, whose connections are pipelined."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: UpstreamLimits,
        classes: Iterable[RequestClass],
        rules: PipelineRules,
        compatibility: ClassCompatibility,
        write_limits: WriteLimits,
    ) -> None:
        super().__init__(loop, limits)
        scheduler = PipelineScheduler(rules, compatibility)
        self.runtime = PipelineRuntime(loop, scheduler, classes, write_limits)
        self.scheduler = scheduler
        self.last_report = ""
        self.last_report_at = loop.time()

    def new_pool(self, server: str, address: Address) -> ConnectionPool:
        """Creates the pool of a server that is new, is active again or has a new address."""
        return PipelinedPool(self, self.runtime, server, address)

    def activate_server(self, server: str, address: Address, has_restarted: bool) -> None:
        """Adds or updates a server that accepts requests; `has_restarted`: it has a new process."""
        before = self.pools.get(server)
        super().activate_server(server, address, has_restarted)
        if has_restarted or self.pools[server] is not before:
            self.scheduler.on_server_started(server)

    def drain_server(self, server: str) -> None:
        """Stops new attempts at a server that drains; those in flight may finish."""
        self.scheduler.on_server_draining(server)
        super().drain_server(server)

    def remove_server(self, server: str) -> None:
        """Removes a server that has left the endpoint list; its attempts in flight may finish."""
        self.scheduler.on_server_draining(server)
        super().remove_server(server)
        self.scheduler.on_server_removed(server)

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float = math.inf,
        context: AttemptContext | None = None,
    ) -> PipelinedAttempt | None:
        """Creates an attempt without starting it; None if the server accepts no requests (any more)."""
        pool = self.open_pool(server)
        if pool is None:
            return None
        assert isinstance(pool, PipelinedPool)
        attempt = PipelinedAttempt(pool, payload, timeout_s, done, write_by, context)
        self.runtime.attempts[attempt.attempt_id] = attempt
        return attempt

    def sweep(self) -> None:
        """As `ServerPools.sweep`; also logs the counts every `REPORT_INTERVAL_S` if they have changed."""
        super().sweep()
        now = self.loop.time()
        if now - self.last_report_at >= REPORT_INTERVAL_S:
            counts = {**self.scheduler.counts, **self.runtime.counts}
            report = " ".join(f"{name}={count}" for name, count in sorted(counts.items()))
            if report != self.last_report:
                log.info("pipelining counts: %s", report)
            self.last_report, self.last_report_at = report, now

    def close(self) -> None:
        """Closes all connections, also those being opened, at the end of the process."""
        self.runtime.close()
        for pool in [*self.pools.values(), *self.removed]:
            if isinstance(pool, PipelinedPool):
                for conn in list(pool.by_id.values()):
                    if not conn.is_up:
                        conn.on_connect_failed()
        super().close()
