"""Ties a process of the gateway to the ones before and after it: who is beside whom, and what follows."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

from glenchute.clients.handover import HandoverServer, PredecessorConnection, request_handover, socket_path
from glenchute.config.platform import PlatformConfig
from glenchute.core.gateway import Gateway
from glenchute.listeners.resp2.clients import Listener
from glenchute.policy.events import OtherProcessEnded, QuotaSnapshot, StateReceived, SuccessorStarted
from glenchute.policy.lifecycle.handover import encode_handover, retained_limit_share
from glenchute.upstreams.connection_pool import Servers

log = logging.getLogger("glenchute")


class ProcessHandover:
    """One process's part in replacements."""

    def __init__(
        self, path: Path, config: PlatformConfig, loop: asyncio.AbstractEventLoop, gateway: Gateway,
        listener: Listener, servers: Servers,
    ) -> None:  # fmt: skip
        self.path, self.config, self.loop = path, config, loop
        self.gateway, self.listener, self.servers = gateway, listener, servers
        self.predecessor: PredecessorConnection | None = None
        self.server = HandoverServer(loop, self.make_message, self.on_other_ended)
        self.quotas: tuple[QuotaSnapshot, ...] = ()
        self.is_closed = False
        gateway.handing = self.set_quotas

    @classmethod
    def create(
        cls, folder: str | None, config: PlatformConfig, loop: asyncio.AbstractEventLoop, gateway: Gateway,
        listener: Listener, servers: Servers,
    ) -> ProcessHandover | None:  # fmt: skip
        """None where the processes have no place to meet."""
        path = socket_path(folder, config.name, config.listen) if folder else None
        if path is None:
            log.warning("nothing is handed over: TMPDIR is not set, or its name is too long")
            return None
        return cls(path, config, loop, gateway, listener, servers)

    async def request_state(self) -> None:
        """Before clients come: what the process before knows, if there is one."""
        self.predecessor = await request_handover(self.loop, self.path, self.config.name, self.on_other_ended)
        if self.predecessor is None or self.predecessor.state is None:
            return
        told = self.predecessor.state
        log.info("takes over beside the process before: %d customers", len(told.quotas))
        self.apply_limit_share(told.limit_share)
        self.gateway.post(StateReceived(told.quotas))
        if self.predecessor.transport is None:
            self.on_other_ended()  # it ended meanwhile

    async def start_serving(self) -> None:
        """The process serves: the next one may ask."""
        await self.server.start(self.path)

    def make_message(self) -> bytes:
        """The next process asks."""
        whole = self.config.max_descriptors
        share = retained_limit_share(2 * max(len(self.listener.clients), self.servers.count()), whole)
        self.apply_limit_share(share)
        self.quotas = ()
        self.gateway.post(SuccessorStarted())
        log.info("the next process is up beside this one: %d customers handed over", len(self.quotas))
        return encode_handover(self.config.name, 1.0 - share, self.quotas)

    def set_quotas(self, stocks: tuple[QuotaSnapshot, ...]) -> None:
        """The module's part of the message."""
        self.quotas = stocks

    def on_other_ended(self) -> None:
        """The other process has ended."""
        if self.is_closed:
            return
        if self.server.successor is None and (self.predecessor is None or self.predecessor.transport is None):
            log.info("the other process has gone")
            self.apply_limit_share(1.0)
            self.gateway.post(OtherProcessEnded())

    def apply_limit_share(self, share: float) -> None:
        """This process keeps to so much of the gateway's limits."""
        self.listener.share(share)
        self.servers.share(share)

    def close(self) -> None:
        """The end of the process."""
        self.is_closed = True
        self.server.close()
        if self.predecessor is not None:
            self.predecessor.close()
