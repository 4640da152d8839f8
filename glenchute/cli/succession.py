"""Ties a process of the gateway to the ones before and after it: who is beside whom, and what follows."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

from glenchute.clients.handover import Door, Predecessor, ask, path_in
from glenchute.config.platform import PlatformConfig
from glenchute.core.gateway import RequestExecutor
from glenchute.listeners.resp2.clients import Listener
from glenchute.policy.events import OtherProcessEnded, QuotaSnapshot, StateReceived, SuccessorStarted
from glenchute.policy.lifecycle.handover import keeps, message
from glenchute.upstreams.server_pools import ServerPools

log = logging.getLogger("glenchute")


class Succession:
    """One process's part in replacements."""

    def __init__(
        self, path: Path, config: PlatformConfig, loop: asyncio.AbstractEventLoop, gateway: RequestExecutor,
        listener: Listener, servers: ServerPools,
    ) -> None:  # fmt: skip
        self.path, self.config, self.loop = path, config, loop
        self.gateway, self.listener, self.servers = gateway, listener, servers
        self.before: Predecessor | None = None
        self.door = Door(loop, self.tell, self.alone)
        self.stocks: tuple[QuotaSnapshot, ...] = ()
        self.closed = False
        gateway.send_state = self.handing

    @classmethod
    def of(
        cls,
        folder: str | None,
        config: PlatformConfig,
        loop: asyncio.AbstractEventLoop,
        gateway: RequestExecutor,
        listener: Listener,
        servers: ServerPools,
    ) -> Succession | None:
        """None where the processes have no place to meet."""
        path = path_in(folder, config.name, config.listen) if folder else None
        if path is None:
            log.warning("nothing is handed over: TMPDIR is not set, or its name is too long")
            return None
        return cls(path, config, loop, gateway, listener, servers)

    async def take(self) -> None:
        """Before clients come: what the process before knows, if there is one."""
        self.before = await ask(self.loop, self.path, self.config.name, self.alone)
        if self.before is None or self.before.told is None:
            return
        told = self.before.told
        log.info("takes over beside the process before: %d customers", len(told.stocks))
        self.shares(told.share)
        self.gateway.post(StateReceived(told.stocks))
        if self.before.transport is None:
            self.alone()  # it ended meanwhile

    async def open(self) -> None:
        """The process serves: the next one may ask."""
        await self.door.open(self.path)

    def tell(self) -> bytes:
        """The next process asks."""
        whole = self.config.max_descriptors
        share = keeps(2 * max(len(self.listener.clients), self.servers.connection_count()), whole)
        self.shares(share)
        self.stocks = ()
        self.gateway.post(SuccessorStarted())
        log.info("the next process is up beside this one: %d customers handed over", len(self.stocks))
        return message(self.config.name, 1.0 - share, self.stocks)

    def handing(self, stocks: tuple[QuotaSnapshot, ...]) -> None:
        """The module's part of the message."""
        self.stocks = stocks

    def alone(self) -> None:
        """The other process has ended."""
        if self.closed:
            return
        if self.door.next is None and (self.before is None or self.before.transport is None):
            log.info("the other process has gone")
            self.shares(1.0)
            self.gateway.post(OtherProcessEnded())

    def shares(self, share: float) -> None:
        """This process keeps to so much of the gateway's limits."""
        self.listener.set_share(share)
        self.servers.share(share)

    def close(self) -> None:
        """The end of the process."""
        self.closed = True
        self.door.close()
        if self.before is not None:
            self.before.close()
