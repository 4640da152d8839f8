"""The listener for clients: accepts connections, closes those whose time is up, and shares the event loop
among those that have commands left."""

from __future__ import annotations

import asyncio
import logging
import math
import select
import socket
import time
from collections import deque
from collections.abc import KeysView

from glenchute.core.executor import RequestExecutor
from glenchute.policy.connections.client_memory import ClientMemory
from glenchute.policy.connections.client_slots import CloseConnection, ConnectionSlots
from glenchute.policy.connections.descriptor_budget import DescriptorBudget
from glenchute.policy.lifecycle.draining import ProcessLifecycle

from .closed_peers import PAUSED_POLL_INTERVAL_S, ClosedPeerDetector, has_socket_event
from .commands import CommandParser
from .connection import MAX_TURN_REPLY_BYTES, READ_BYTES, ClientConnection

log = logging.getLogger("glenchute")

ACCEPT_BACKLOG = 512  # connections that the kernel keeps until they are accepted
SEND_BUFFER_BYTES = (
    128 * 1024
)  # of the kernel for each client, so that it holds no megabytes for a slow reader
MAX_TURN_S = 0.002  # of an iteration of the loop, for the commands that all connections have left
REPORT_INTERVAL_S = 10.0
RELEASE_MARGIN_S = 0.02  # before a finished reply's deadline, an unfinished one before it may be abandoned
IDLE_CLOSE_INTERVAL_S = 0.05  # while the process drains or shuts down


class Listener:
    """Accepts clients and owns their connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: RequestExecutor,
        catalogue: CommandParser,
        made: DescriptorBudget,
        max_client_bytes: int,
    ) -> None:
        """`made` tells how many of the process's descriptors are for clients, `max_client_bytes` how much may
        be buffered for all of them."""
        self.loop = loop
        self.gateway = gateway
        self.catalogue = catalogue
        self.budget = made
        self.connection_slots: ConnectionSlots[ClientConnection] = ConnectionSlots(
            made.client_connections, made.requesting_connections, made.overflow_connections
        )
        self.client_memory: ClientMemory[ClientConnection] = ClientMemory(max_client_bytes)
        self.is_relief_scheduled = False
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.open_ids: set[bytes] = set()
        # Unfinished idempotent requests may be abandoned for finished replies behind them.
        self.may_release_replies = False
        self.closed_peers = ClosedPeerDetector()
        # Connections that have commands left, in the order of their turns.
        self.scheduled_clients: deque[ClientConnection] = deque()
        self.queued_reply_bytes = 0  # since `run_turns` last began
        # When `release_blocked_replies` is to look at a connection again.
        self.release_timers: dict[ClientConnection, asyncio.TimerHandle] = {}
        self.server: asyncio.Server | None = None
        self.accepted_count = self.request_count = 0  # connections, requests
        self.last_report = "", loop.time()  # the line last logged, and when
        self.paused_clients: set[ClientConnection] = set()
        self.closed_check_timer: asyncio.TimerHandle | None = None
        self.lifecycle = ProcessLifecycle(catalogue.bounds.max_deadline_ms / 1000.0)
        self.idle_close_timer: asyncio.TimerHandle | None = None
        self.sweep_timer = loop.call_later(self.connection_slots.next_sweep_s(), self.sweep)

    @property
    def clients(self) -> KeysView[ClientConnection]:
        """All connections."""
        return self.connection_slots.slots.keys()

    def schedule_turn(self, client: ClientConnection) -> None:
        """Queues a connection that has commands left."""
        self.scheduled_clients.append(client)
        if len(self.scheduled_clients) == 1:
            self.loop.call_soon(self.run_turns)

    def run_turns(self) -> None:
        """Lets the queued connections go on, one after the other.

        What they may do in one iteration of the loop is bounded: a request takes several iterations, and each
        lasts as long as this makes it. The loop accepts one connection in an iteration, so that iterations
        are kept as short as possible while any waits for that. Connections still queued are not read from.
        """
        waiting, self.scheduled_clients = self.scheduled_clients, deque()
        self.queued_reply_bytes, until = 0, time.monotonic() + MAX_TURN_S
        try:
            while waiting:
                waiting.popleft().run_turn()
                if (
                    self.queued_reply_bytes > MAX_TURN_REPLY_BYTES
                    or time.monotonic() > until
                    or (waiting and self.has_pending_accept())
                ):
                    break
        finally:
            again = bool(self.scheduled_clients)  # `run_turns` is scheduled already
            self.scheduled_clients.extendleft(reversed(waiting))
            if waiting and not again:
                self.loop.call_soon(self.run_turns)

    def release_blocked_replies(self, client: ClientConnection) -> None:
        """Abandons unfinished requests that keep finished replies past their deadlines, as `decide_release`
        says."""
        from glenchute.policy.connections.response_order import (  # where asked for
            PendingReply,
            decide_release,
        )

        look = self.release_timers.pop(client, None)
        if look is not None:
            look.cancel()
        safe = self.catalogue.idempotent_classes
        order = [
            PendingReply(
                s.deadline,
                s.reply is not None,
                s.active_request is not None and s.active_request.call.class_name in safe,
            )
            for s in client.slots
        ]
        found = decide_release(self.loop.time(), order, RELEASE_MARGIN_S)
        for slot in list(client.slots)[: found.release_count]:
            if slot.reply is None and slot.active_request is not None:
                self.gateway.abort_request(slot.active_request.request_id)
        if found.next_check_s < math.inf and client.slots:
            self.release_timers[client] = self.loop.call_at(found.next_check_s, client.flush)

    def watch_paused(self, client: ClientConnection) -> None:
        """This connection is not read from, so that the client's end would go unnoticed: it is polled for."""
        self.paused_clients.add(client)
        if self.closed_check_timer is None:
            self.closed_check_timer = self.loop.call_later(PAUSED_POLL_INTERVAL_S, self.check_paused)

    def check_paused(self) -> None:
        """Aborts the connections whose clients have closed them: their requests must not be forwarded."""
        self.closed_check_timer = None
        self.closed_peers.check()
        for client in [one for one in self.paused_clients if one.is_closed_by_peer]:
            if client.transport is not None:
                client.transport.abort()
        if self.paused_clients:
            self.closed_check_timer = self.loop.call_later(PAUSED_POLL_INTERVAL_S, self.check_paused)

    def update_memory(self, client: ClientConnection, buffered_bytes: int) -> None:
        """A connection buffers this much now."""
        self.client_memory.update(client, buffered_bytes)
        if self.client_memory.is_exhausted and not self.is_relief_scheduled:
            self.is_relief_scheduled = True
            self.loop.call_soon(self.relieve_memory)

    def relieve_memory(self) -> None:
        """Gives up connections whose clients do not read until all buffers are within their bound."""
        self.is_relief_scheduled = False
        blocked = self.connection_slots.blocked()
        for client in blocked:
            client.update_memory()  # some may have been read since
        now = self.loop.time()
        for client in self.client_memory.choose_victims(blocked):
            self.client_memory.remove(client)
            self.close_connection(self.connection_slots.close_unread(now, client))

    def has_pending_accept(self) -> bool:
        """Whether connections wait to be accepted."""
        return self.server is not None and any(
            has_socket_event(s, select.POLLIN) for s in self.server.sockets
        )

    async def start(self, host: str, port: int, passed: socket.socket | None = None) -> None:
        """Listens on this address, or accepts from a socket that is listening already."""
        if passed is not None:
            passed.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            self.server = await self.loop.create_server(
                lambda: ClientConnection(self), sock=passed, backlog=ACCEPT_BACKLOG
            )
        else:
            self.server = await self.loop.create_server(
                lambda: ClientConnection(self), host, port, backlog=ACCEPT_BACKLOG
            )
            for listening in self.server.sockets:  # what it accepts inherits the size
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.lifecycle.begin_serving(self.loop.time())

    def on_connected(self, client: ClientConnection) -> None:
        """A connection was accepted."""
        now = self.loop.time()
        self.accepted_count += 1
        closes = self.connection_slots.add(now, client)
        while not all([self.close_connection(close) for close in closes]):
            # A connection that was to be evicted has unread input, and stays.
            closes = self.connection_slots.evict_excess(now, client)

    def close_connection(self, close: CloseConnection[ClientConnection]) -> bool:
        """Closes a connection; False where it stays after all. A fault costs this one its clean end, and the
        others nothing."""
        try:
            return close.key.close_for(close.reason)
        except Exception:
            log.exception("ending a connection failed")
            if close.key.transport is not None:
                close.key.transport.abort()
            return True

    def sweep(self) -> None:
        """Closes the connections whose time is up."""
        now = self.loop.time()
        for close in self.connection_slots.close_expired(now):
            self.close_connection(close)
        if now - self.last_report[1] >= REPORT_INTERVAL_S:
            self.log_report(now)
        self.sweep_timer = self.loop.call_later(self.connection_slots.next_sweep_s(), self.sweep)

    def log_report(self, now: float) -> None:
        """Logs how many clients came, and why connections were closed, unless nothing has changed."""
        ends = " ".join(
            f"{reason.value}={n}" for reason, n in self.connection_slots.closed_counts.items() if n
        )
        line = f"accepted={self.accepted_count} requests={self.request_count} closed: {ends or 'none'}"
        if line != self.last_report[0]:
            log.info(
                "clients: held=%d requesting=%d %s",
                len(self.connection_slots),
                self.connection_slots.requesting_count,
                line,
            )
        self.last_report = line, now

    def set_share(self, share: float) -> None:
        """This process keeps to this fraction of the gateway's slots from now on; connections beyond it are
        evicted as new ones come."""
        self.connection_slots.max_connections = max(1, int(self.budget.client_connections * share))
        self.connection_slots.max_requesting = max(1, int(self.budget.requesting_connections * share))

    def closes_after_reply(self) -> bool:
        """Whether connections close after their last reply."""
        return self.lifecycle.is_closing_connections and self.lifecycle.closes_after_response(
            self.loop.time()
        )

    def start_drain(self) -> bool:
        """Starts draining; False where that changes nothing."""
        changed = self.lifecycle.begin_drain(self.loop.time())
        if changed:
            log.info("drain: on, %d connections held", len(self.clients))
            self.close_idle()
        return changed

    def end_drain(self) -> bool:
        """Ends the drain; False where none is on."""
        changed = self.lifecycle.cancel_drain(self.loop.time())
        if changed:
            log.info("drain: off")
        return changed

    def start_shutdown(self, replaced: bool = False) -> None:
        """Starts the graceful shutdown. `replaced`: another process accepts from the same socket."""
        self.lifecycle.begin_shutdown(self.loop.time(), replaced)
        self.close_idle()

    def close_idle(self) -> None:
        """Closes idle connections, the longest idle first, while the process drains or shuts down."""
        if self.idle_close_timer is not None:
            self.idle_close_timer.cancel()
            self.idle_close_timer = None
        if not self.lifecycle.is_closing_connections:
            return
        now = self.loop.time()
        borne = self.lifecycle.idle_limit_s(now)
        if borne < math.inf:
            for client in list(self.clients):
                client.close_if_idle(now - borne)
        self.idle_close_timer = self.loop.call_later(IDLE_CLOSE_INTERVAL_S, self.close_idle)

    def stop(self) -> None:
        """Accepts no more. The listening socket itself is not shut: connections in its queue are for whoever
        else accepts from it."""
        if self.server is not None:
            self.server.close()
            self.server = None
            self.log_report(self.loop.time())

    def close(self) -> None:
        """Closes everything at the end of the process: written replies are still sent, nothing more is
        read."""
        self.sweep_timer.cancel()
        if self.closed_check_timer is not None:
            self.closed_check_timer.cancel()
        if self.idle_close_timer is not None:
            self.idle_close_timer.cancel()
        if self.server is not None:
            self.server.close()
        for client in list(self.clients):
            if client.transport is not None:
                client.transport.close()
        self.closed_peers.close()
