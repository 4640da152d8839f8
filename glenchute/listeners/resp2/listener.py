"""The listener for clients: accepts connections, closes those past their limits, and schedules those with
unprocessed commands fairly on the event loop."""

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
from glenchute.core.socket_events import has_socket_event
from glenchute.policy.connections.client_memory import ClientMemory
from glenchute.policy.connections.client_slots import CloseConnection, ConnectionSlots
from glenchute.policy.connections.descriptor_budget import DescriptorBudget
from glenchute.policy.lifecycle.draining import ProcessLifecycle
from glenchute.protocol.resp2 import MAX_VALUE_BYTES

from .closed_peers import PAUSED_POLL_INTERVAL_S, ClosedPeerDetector
from .commands import CommandParser
from .connection import MAX_TURN_REPLY_BYTES, READ_BYTES, ClientConnection

log = logging.getLogger("glenchute")

ACCEPT_BACKLOG = 512  # connections that the kernel queues until they are accepted
# The kernel's send buffer per client, which could otherwise grow to megabytes for a slow reader.
SEND_BUFFER_BYTES = 128 * 1024
UNREAD_CHECK_INTERVAL_S = 0.1  # the time told to servers may exceed a client's by 0.15 s
MAX_TURN_S = 0.002  # time for the scheduled connections in one iteration of the event loop
REPORT_INTERVAL_S = 10.0
# The time before a finished reply's deadline from which unfinished requests ahead of it may be abandoned.
RELEASE_MARGIN_S = 0.02
IDLE_CLOSE_INTERVAL_S = 0.05  # time between checks for idle connections while draining or shutting down


class Listener:
    """Accepts client connections and owns them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: RequestExecutor,
        command_parser: CommandParser,
        budget: DescriptorBudget,
        max_client_bytes: int,
    ) -> None:
        """`budget`: how many of the process's file descriptors are for clients. `max_client_bytes`: the limit
        of the bytes buffered for all clients together."""
        self.loop = loop
        self.gateway = gateway
        self.command_parser = command_parser
        self.budget = budget
        self.connection_slots: ConnectionSlots[ClientConnection] = ConnectionSlots(
            budget.client_connections, budget.requesting_connections, budget.overflow_connections
        )
        self.client_memory: ClientMemory[ClientConnection] = ClientMemory(max_client_bytes, MAX_VALUE_BYTES)
        self.is_relief_scheduled = False
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.open_ids: set[bytes] = set()
        # Whether unfinished idempotent requests may be abandoned for finished replies behind them.
        self.may_release_replies = False
        self.closed_peers = ClosedPeerDetector()
        # Connections with unprocessed commands, in the order of their turns.
        self.scheduled_clients: deque[ClientConnection] = deque()
        self.queued_reply_bytes = 0  # bytes of replies since `run_turns` last started
        # The timers of the next `release_blocked_replies` of connections.
        self.release_timers: dict[ClientConnection, asyncio.TimerHandle] = {}
        self.server: asyncio.Server | None = None
        self.accepted_count = self.request_count = 0  # totals of connections and requests
        self.last_report = "", loop.time()  # the line last logged, and when
        self.paused_clients: set[ClientConnection] = set()
        self.closed_check_timer: asyncio.TimerHandle | None = None
        self.unread_checked_at = 0.0  # time of the last look at what paused clients have sent
        self.lifecycle = ProcessLifecycle(command_parser.bounds.max_deadline_ms / 1000.0)
        self.idle_close_timer: asyncio.TimerHandle | None = None
        self.sweep_timer = loop.call_later(self.connection_slots.next_sweep_s(), self.sweep)

    @property
    def clients(self) -> KeysView[ClientConnection]:
        """All client connections."""
        return self.connection_slots.slots.keys()

    def schedule_turn(self, client: ClientConnection) -> None:
        """Queues a connection that has unprocessed commands."""
        self.scheduled_clients.append(client)
        if len(self.scheduled_clients) == 1:
            self.loop.call_soon(self.run_turns)

    def run_turns(self) -> None:
        """Gives each queued connection a turn, in order, as far as the limits of one iteration allow.

        Replies and time in one iteration of the event loop are bounded, because a request takes several
        iterations and its latency grows with their length. Since the loop accepts one connection per
        iteration, this returns after one turn while any connection waits to be accepted. Connections that
        are still queued are not read from.
        """
        waiting, self.scheduled_clients = self.scheduled_clients, deque()
        self.queued_reply_bytes, turn_end = 0, time.monotonic() + MAX_TURN_S
        try:
            while waiting:
                waiting.popleft().run_turn()
                if (
                    self.queued_reply_bytes > MAX_TURN_REPLY_BYTES
                    or time.monotonic() > turn_end
                    or (waiting and self.has_pending_accept())
                ):
                    break
        finally:
            is_rescheduled = bool(self.scheduled_clients)  # one of the turns has called `schedule_turn`
            self.scheduled_clients.extendleft(reversed(waiting))
            if waiting and not is_rescheduled:
                self.loop.call_soon(self.run_turns)

    def release_blocked_replies(self, client: ClientConnection) -> None:
        """Abandons unfinished requests that would delay finished replies past their deadlines, as
        `decide_release` decides, and schedules the next check."""
        from glenchute.policy.connections.response_order import (  # imported here, as the feature is optional
            PendingReply,
            decide_release,
        )

        timer = self.release_timers.pop(client, None)
        if timer is not None:
            timer.cancel()
        idempotent_classes = self.command_parser.idempotent_classes
        replies = [
            PendingReply(
                s.deadline,
                s.reply is not None,
                s.active_request is not None and s.active_request.call.class_name in idempotent_classes,
            )
            for s in client.slots
        ]
        decision = decide_release(self.loop.time(), replies, RELEASE_MARGIN_S)
        for slot in list(client.slots)[: decision.release_count]:
            if slot.reply is None and slot.active_request is not None:
                self.gateway.abort_request(slot.active_request.request_id)
        if decision.next_check_s < math.inf and client.slots:
            self.release_timers[client] = self.loop.call_at(decision.next_check_s, client.flush)

    def watch_paused(self, client: ClientConnection) -> None:
        """Polls for the end of a connection that is not read from, which would go unnoticed otherwise."""
        self.paused_clients.add(client)
        if self.closed_check_timer is None:
            self.unread_checked_at = self.loop.time()
            self.closed_check_timer = self.loop.call_later(PAUSED_POLL_INTERVAL_S, self.check_paused)

    def check_paused(self) -> None:
        """Aborts paused connections that their clients have closed; their requests must not be forwarded."""
        self.closed_check_timer = None
        self.closed_peers.check()
        for client in [client for client in self.paused_clients if client.is_closed_by_peer]:
            if client.transport is not None:
                client.transport.abort()
        self.record_unread()
        if self.paused_clients:
            self.closed_check_timer = self.loop.call_later(PAUSED_POLL_INTERVAL_S, self.check_paused)

    def record_unread(self) -> None:
        """Records when commands of paused clients arrive, as their time counts from then."""
        now = self.loop.time()
        if now - self.unread_checked_at >= UNREAD_CHECK_INTERVAL_S:
            for client in self.paused_clients:
                client.record_unread(self.unread_checked_at)
            self.unread_checked_at = now

    def update_memory(self, client: ClientConnection, buffered_bytes: int) -> None:
        """Updates how many bytes a connection buffers, and schedules `relieve_memory` past the limit."""
        self.client_memory.update(client, buffered_bytes)
        if self.client_memory.is_exhausted and not self.is_relief_scheduled:
            self.is_relief_scheduled = True
            self.loop.call_soon(self.relieve_memory)

    def relieve_memory(self) -> None:
        """Closes connections whose clients do not read until all buffers together are within their limit."""
        self.is_relief_scheduled = False
        blocked = self.connection_slots.blocked()
        for client in blocked:
            client.update_memory()  # the client may have read some since the last update
        now = self.loop.time()
        for client in self.client_memory.choose_victims(blocked):
            self.client_memory.remove(client)
            self.close_connection(self.connection_slots.close_unread(now, client))

    def has_pending_accept(self) -> bool:
        """Returns whether any connection waits to be accepted."""
        return self.server is not None and any(
            has_socket_event(s, select.POLLIN) for s in self.server.sockets
        )

    async def start(self, host: str, port: int, passed: socket.socket | None = None) -> None:
        """Starts to accept connections on this address, or from `passed`, a listening socket, if given."""
        if passed is not None:
            passed.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            self.server = await self.loop.create_server(
                lambda: ClientConnection(self), sock=passed, backlog=ACCEPT_BACKLOG
            )
        else:
            self.server = await self.loop.create_server(
                lambda: ClientConnection(self), host, port, backlog=ACCEPT_BACKLOG
            )
            for listening in self.server.sockets:  # accepted sockets inherit the size
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.lifecycle.begin_serving(self.loop.time())

    def on_connected(self, client: ClientConnection) -> None:
        """Adds an accepted connection, and closes others if the limits require it."""
        now = self.loop.time()
        self.accepted_count += 1
        closes = self.connection_slots.add(now, client)
        while not all([self.close_connection(close) for close in closes]):
            # A connection chosen for eviction has unread input and stays, so another one is chosen.
            closes = self.connection_slots.evict_excess(now, client)

    def close_connection(self, close: CloseConnection[ClientConnection]) -> bool:
        """Closes a connection; False if it has unread input and stays.

        If that raises, only this connection is aborted, and the others are unaffected.
        """
        try:
            return close.key.close_for(close.reason)
        except Exception:
            log.exception("closing a client connection failed")
            if close.key.transport is not None:
                close.key.transport.abort()
            return True

    def sweep(self) -> None:
        """Closes connections that have exceeded their limits, and logs the report when it is due."""
        now = self.loop.time()
        for close in self.connection_slots.close_expired(now):
            self.close_connection(close)
        if now - self.last_report[1] >= REPORT_INTERVAL_S:
            self.log_report(now)
        self.sweep_timer = self.loop.call_later(self.connection_slots.next_sweep_s(), self.sweep)

    def log_report(self, now: float) -> None:
        """Logs the counts of connections, requests and close reasons, unless nothing has changed."""
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
        """Limits this process to a fraction of the gateway's slots from now on.

        Connections beyond the limit are evicted when new ones are accepted.
        """
        self.connection_slots.max_connections = max(1, int(self.budget.client_connections * share))
        self.connection_slots.max_requesting = max(1, int(self.budget.requesting_connections * share))

    def closes_after_reply(self) -> bool:
        """Returns whether a connection is closed after its last reply, as while draining or shutting down."""
        return self.lifecycle.is_closing_connections and self.lifecycle.closes_after_response(
            self.loop.time()
        )

    def start_drain(self) -> bool:
        """Starts to drain; False if that changes nothing."""
        changed = self.lifecycle.begin_drain(self.loop.time())
        if changed:
            log.info("drain: on, %d connections held", len(self.clients))
            self.close_idle()
        return changed

    def end_drain(self) -> bool:
        """Cancels the drain; False if that changes nothing."""
        changed = self.lifecycle.cancel_drain(self.loop.time())
        if changed:
            log.info("drain: off")
        return changed

    def start_shutdown(self, replaced: bool = False) -> None:
        """Starts the graceful shutdown. `replaced`: another process accepts from the same socket."""
        self.lifecycle.begin_shutdown(self.loop.time(), replaced)
        self.close_idle()

    def has_unwritten_replies(self) -> bool:
        """Returns whether any connection has replies to write."""
        return any(client.has_unwritten_replies() for client in self.clients)

    def fail_buffered_values(self) -> None:
        """Lets values fail that are buffered and not whole, at the end of the process, so that the replies
        behind them are written."""
        for client in list(self.clients):
            for _ in range(len(client.slots)):  # the value behind one that fails may be buffered next
                if client.buffering is not None:
                    client.buffering.fail()

    def close_idle(self) -> None:
        """Closes connections idle for longer than the limit, repeatedly while draining or shutting down."""
        if self.idle_close_timer is not None:
            self.idle_close_timer.cancel()
            self.idle_close_timer = None
        if not self.lifecycle.is_closing_connections:
            return
        now = self.loop.time()
        limit_s = self.lifecycle.idle_limit_s(now)
        if limit_s < math.inf:
            for client in list(self.clients):
                client.close_if_idle(now - limit_s)
        self.idle_close_timer = self.loop.call_later(IDLE_CLOSE_INTERVAL_S, self.close_idle)

    def stop(self) -> None:
        """Stops accepting connections.

        The listening socket is closed but not shut down, so that another process which shares it accepts
        the connections in its queue.
        """
        if self.server is not None:
            self.server.close()
            self.server = None
            self.log_report(self.loop.time())

    def close(self) -> None:
        """Closes all connections at the end of the process. Written replies are still sent, but nothing more
        is read."""
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
