"""Connects the handover between processes to the decision engine and to the descriptor limits."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

from glenchute.clients.discovery import DiscoveryClient
from glenchute.clients.handover import HandoverServer, PredecessorConnection, request_handover, socket_path
from glenchute.config.platform import PlatformConfig
from glenchute.core.executor import RequestExecutor
from glenchute.listeners.resp2.listener import Listener
from glenchute.policy.actions import SendLimitShares, SendState
from glenchute.policy.events import (
    AdmissionEnded,
    LimitShare,
    LimitSharesReceived,
    OtherProcessEnded,
    QuotaSnapshot,
    StateReceived,
    SuccessorStarted,
)
from glenchute.policy.lifecycle.handover import (
    ActiveEndpoints,
    encode_handover,
    encode_shares,
    retained_limit_share,
)
from glenchute.upstreams.server_pools import ServerPools

log = logging.getLogger("glenchute")

DESCRIPTORS_PER_CLIENT = 2  # the client's connection and one to a server


class ProcessHandover:
    """The handover from the predecessor of this process, and to its successor."""

    def __init__(
        self,
        path: Path,
        config: PlatformConfig,
        loop: asyncio.AbstractEventLoop,
        gateway: RequestExecutor,
        listener: Listener,
        servers: ServerPools,
        discovery: DiscoveryClient,
    ) -> None:
        self.path, self.config, self.loop = path, config, loop
        self.gateway, self.listener, self.servers = gateway, listener, servers
        self.discovery = discovery
        self.predecessor: PredecessorConnection | None = None
        self.server = HandoverServer(loop, self.make_message, self.on_other_ended)
        self.quotas: tuple[QuotaSnapshot, ...] = ()
        self.is_closed = False
        gateway.send_to_successor = self.send_to_successor

    @classmethod
    def create(
        cls,
        folder: str | None,
        config: PlatformConfig,
        loop: asyncio.AbstractEventLoop,
        gateway: RequestExecutor,
        listener: Listener,
        servers: ServerPools,
        discovery: DiscoveryClient,
    ) -> ProcessHandover | None:
        """Creates the handover; returns None, with a warning, if there is no usable folder for the socket."""
        path = socket_path(folder, config.name, config.listen) if folder else None
        if path is None:
            log.warning("no handover between processes: TMPDIR is not set, or its path is too long")
            return None
        return cls(path, config, loop, gateway, listener, servers, discovery)

    async def request_state(self) -> None:
        """Requests and applies the state of the predecessor, if any. Called before clients are accepted."""
        self.predecessor = await request_handover(
            self.loop, self.path, self.config.name, self.on_other_ended, self.receive_shares
        )
        if self.predecessor is None or self.predecessor.state is None:
            return
        state = self.predecessor.state
        log.info("received quota state from the predecessor process: %d tenants", len(state.quotas))
        self.apply_limit_share(state.limit_share)
        self.gateway.post(StateReceived(state.quotas))
        self.withdraw_endpoints(state.endpoints)
        if self.predecessor.transport is None:
            self.on_other_ended()  # the predecessor has ended in the meantime

    def withdraw_endpoints(self, active: ActiveEndpoints | None) -> None:
        """Takes endpoints out of use that the predecessor could not use any more."""
        update = self.discovery.withdraw_inactive(active) if active is not None else None
        if update is None:
            return
        count = len(update.event.endpoints)
        log.info("the predecessor process could not use %d servers of the saved list any more", count)
        self.gateway.update_endpoints(update)

    async def start_serving(self) -> None:
        """Starts accepting a successor."""
        await self.server.start(self.path)

    def make_message(self) -> bytes:
        """Reduces the limits of this process for a successor that has connected, and returns the message to
        it."""
        in_use = DESCRIPTORS_PER_CLIENT * max(len(self.listener.clients), self.servers.connection_count())
        share = retained_limit_share(in_use, self.config.max_descriptors)
        self.apply_limit_share(share)
        self.quotas = ()
        self.gateway.post(SuccessorStarted())  # the engine calls `send_to_successor` before this returns
        log.info("handed over quota state to the successor process: %d tenants", len(self.quotas))
        endpoints = self.discovery.active_endpoints()
        return encode_handover(self.config.name, 1.0 - share, self.quotas, endpoints)

    def send_to_successor(self, action: SendState | SendLimitShares) -> None:
        """Executes an action of the decision engine. The quotas are a part of the message that
        `make_message` returns."""
        match action:
            case SendState(quotas):
                self.quotas = quotas
            case SendLimitShares(shares):
                self.server.send(encode_shares(self.config.name, shares))
                log.info("gave up the limits of %d tenants to the successor process", len(shares))

    def end_admission(self) -> None:
        """Gives up this process's shares of the limits to the successor, if there is one. Called when this
        process admits no more requests."""
        if self.server.successor is not None:
            self.gateway.post(AdmissionEnded())  # the engine calls `send_to_successor`

    def receive_shares(self, shares: tuple[LimitShare, ...]) -> None:
        """Adds what the predecessor has given up to the limits of this process."""
        self.gateway.post(LimitSharesReceived(shares))

    def on_other_ended(self) -> None:
        """Restores all limits of this process once the last overlapping process has ended."""
        if self.is_closed:
            return
        has_predecessor = self.predecessor is not None and self.predecessor.transport is not None
        if self.server.successor is None and not has_predecessor:
            log.info("the other process of this gateway has ended; all limits are restored")
            self.apply_limit_share(1.0)
            self.gateway.post(OtherProcessEnded())

    def apply_limit_share(self, share: float) -> None:
        """Restricts this process to a share of the gateway's descriptors, from 0 to 1."""
        self.listener.set_share(share)
        self.servers.set_process_share(share)

    def close(self) -> None:
        """Closes the sockets at the end of the process."""
        self.is_closed = True
        self.server.close()
        if self.predecessor is not None:
            self.predecessor.close()
