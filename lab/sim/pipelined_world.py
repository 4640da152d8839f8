"""The simulated site with pipelined connections.

The real pipeline scheduler and command pipelines are between the decision engines and the nodes. Replies
arrive on each connection in the order of its commands. Besides the rules of `World` the site checks when the
bytes of each command were sent, which attempt got each reply, and which attempts were queued behind others.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any

from glenchute.policy.actions import StartAttempt
from glenchute.policy.connections.class_compatibility import ClassCompatibility
from glenchute.policy.connections.pipeline_types import (
    AbortConnection,
    PipelineRules,
    Placement,
    PlacementKind,
    placement_request,
)
from glenchute.policy.connections.pipelined_connection import (
    NETWORK_DELAY_MS,
    CommandPipeline,
    PipelinedCommand,
)
from glenchute.policy.connections.pipelining import PipelineScheduler
from glenchute.policy.events import EndpointListKind, EndpointState, Outcome
from glenchute.policy.settings import Idempotency
from lab.sim.swarm import KINDS
from lab.sim.world import DEADLINE_MARGIN_MS, DRAIN_GRACE_MS, NET_MS, AttemptContext, BrokenRule, Node, World

PIPELINED_KINDS = (*KINDS, "stuck lines", "extra replies", "volley")
MAX_CONNECTIONS = 5  # per gateway: few, so that they are shared
RULES = PipelineRules(max_depth=4, max_queued_per_server=8, settle_ms=10.0, max_idle_ms=4000.0)
COMMAND_BYTES = 10


class SimulatedAttempt:
    """An attempt in flight."""

    __slots__ = (
        "arrived_at",
        "attempt_id",
        "command",
        "connection",
        "context",
        "expires_at",
        "has_waited",
        "is_finished",
        "is_unsent",
        "was_sent",
        "write_by",
    )

    def __init__(self, attempt_id: int, context: AttemptContext, expires_at: float, write_by: float) -> None:
        self.attempt_id, self.context = attempt_id, context
        self.expires_at, self.write_by = expires_at, write_by
        self.connection: SimulatedConnection | None = None
        self.command: PipelinedCommand[SimulatedAttempt] | None = None
        self.arrived_at = math.inf  # at the node
        self.is_finished = False
        self.is_unsent = False  # it was reported as never sent when its connection was closed
        self.was_sent = False
        self.has_waited = False

    @property
    def request_id(self) -> str:
        return self.context.request.request_id


class SimulatedConnection:
    """A connection of one gateway."""

    __slots__ = (
        "buffered",
        "connection_id",
        "gateway",
        "incarnation",
        "is_blocked",
        "is_closed",
        "is_flush_scheduled",
        "is_up",
        "node",
        "pipeline",
        "replies",
        "sent",
        "started_ms",
    )

    def __init__(self, gateway: int, incarnation: int, node: Node | None, connection_id: int) -> None:
        self.gateway, self.incarnation = gateway, incarnation
        self.node, self.connection_id = node, connection_id
        self.pipeline: CommandPipeline[SimulatedAttempt] = CommandPipeline(NETWORK_DELAY_MS, RULES.settle_ms)
        self.is_up = self.is_closed = self.is_flush_scheduled = False
        self.is_blocked = False  # bytes stay in the send buffer of the operating system
        self.buffered: list[SimulatedAttempt] = []  # written, not sent yet
        self.sent: deque[SimulatedAttempt] = deque()  # attempts without a reply, in order
        self.replies: dict[int, Outcome] = {}  # by attempt, until all earlier replies have arrived
        self.started_ms = node.started_ms if node is not None else 0.0


class PipelinedWorld(World):
    """A site whose gateways use pipelined connections."""

    def __init__(self, *args: Any, **changes: Any) -> None:
        self.schedulers: dict[int, PipelineScheduler] = {}
        self.connections: dict[tuple[int, int], SimulatedConnection] = {}  # by gateway and connection
        self.attempts: dict[tuple[int, int, str, int], SimulatedAttempt] = {}
        self.last_attempt_id = 0
        self.check_times: dict[int, float] = {}
        # By node: fraction of the replies that are followed by a surplus reply, if the node has no further
        # command of the connection.
        self.surplus_reply_rates: dict[str, float] = {}
        # By node: fraction of the writes of which a part stays in the send buffer for a while.
        self.stuck_write_rates: dict[str, float] = {}
        self.joined = 0  # attempts placed behind others on a connection
        self.aborted_shared = 0  # connections that were closed with several attempts on them
        self.max_depth_seen = 0  # most attempts on a connection at once
        super().__init__(*args, **changes)

    def start_fault(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Starts faults that only concern pipelined connections."""
        if kind == "volley":  # simultaneous reads of one customer
            number = self.rng.randrange(30)
            for _ in range(20 + int(40 * size)):
                self.schedule(0.0, self.send_client_request, "read", "wide", f"wide{number}")
            return
        rates_by_kind = {"extra replies": self.surplus_reply_rates, "stuck lines": self.stuck_write_rates}
        if kind not in rates_by_kind:
            super().start_fault(kind, node, size, span_ms)
        rates_by_kind[kind][node.name] = 0.1 + 0.5 * size
        self.schedule(span_ms, self.end_fault, rates_by_kind[kind], node.name)

    def end_fault(self, rates: dict[str, float], name: str) -> None:
        """Ends a fault of a node; `rates` has the nodes with this fault."""
        rates.pop(name, None)

    # --- gateways ----------------------------------------------------------------------------------------

    def start_gateway(self, number: int) -> None:
        compatibility = ClassCompatibility(self.settings.classes, ("read", "order", "bid"), number % 2 == 1)
        scheduler = self.schedulers[number] = PipelineScheduler(RULES, compatibility)
        for cls in self.settings.classes:
            for sample in range(40):  # as after minutes of traffic, which would take long to simulate
                scheduler.times.add(self.now, cls.name, "", 10.0 + 2.0 * sample, False)
        self.check_times[number] = math.inf
        super().start_gateway(number)

    def kill_gateway(self, number: int, down_ms: float) -> None:
        if self.alive[number]:
            for key, conn in list(self.connections.items()):
                if key[0] == number:
                    conn.is_closed = True  # commands that were sent may still run at the node
                    del self.connections[key]
            self.attempts = {key: attempt for key, attempt in self.attempts.items() if key[0] != number}
        super().kill_gateway(number, down_ms)

    def deliver_endpoints(
        self, number: int, incarnation: int, kind: EndpointListKind, nodes: list[Node]
    ) -> None:
        if self.is_current(number, incarnation):
            scheduler = self.schedulers[number]
            for node in nodes:
                if node.state is EndpointState.ACTIVE:
                    scheduler.server(node.name).is_draining = False
                    if node.started_ms > 0:
                        scheduler.on_server_started(node.name)
                    continue
                scheduler.on_server_draining(node.name)
                self.on_server_draining(number, node.name)
                if node.state is EndpointState.REMOVED:
                    scheduler.on_server_removed(node.name)
        super().deliver_endpoints(number, incarnation, kind, nodes)

    def on_server_draining(self, number: int, name: str) -> None:
        """Withdraws the unwritten commands to a draining node.

        Its blocked connections are aborted before the grace period ends.
        """
        for conn in [c for key, c in self.connections.items() if key[0] == number]:
            if conn.node is not None and conn.node.name == name:
                for entry in list(conn.pipeline.pending):
                    self.schedule(0.0, self.withdraw_unwritten, entry.item)
                self.schedule(DRAIN_GRACE_MS - 10.0, self.abort_if_blocked, conn)

    def withdraw_unwritten(self, attempt: SimulatedAttempt) -> None:
        """Ends an attempt as unreachable, unless its command has been written meanwhile."""
        if attempt.is_finished or attempt.command is None or attempt.connection is None:
            return
        if attempt.connection.pipeline.withdraw(attempt.command):
            self.schedulers[attempt.connection.gateway].on_withdrawn(
                self.now, attempt.connection.connection_id, attempt.attempt_id
            )
            self.finish(attempt, Outcome.UNREACHABLE)

    def abort_if_blocked(self, conn: SimulatedConnection) -> None:
        """Closes a connection if some of its bytes are still in the send buffer."""
        if conn.is_blocked and not conn.is_closed:
            self.close(conn, None, Outcome.RESET)

    # --- attempts ----------------------------------------------------------------------------------------

    def dispatch(
        self, node: Node | None, context: AttemptContext, timeout: float, action: StartAttempt
    ) -> None:
        """Starts an attempt, which the scheduler then places on a connection."""
        number = context.gateway
        self.last_attempt_id += 1
        write_by = action.write_by_ms - self.skew[number] if action.write_by_ms > 0 else math.inf
        attempt = SimulatedAttempt(self.last_attempt_id, context, self.now + timeout, write_by)
        self.attempts[number, context.incarnation, attempt.request_id, context.attempt] = attempt
        self.schedule(timeout, self.on_timeout, attempt)
        self.schedule(0.0, self.place, attempt)

    def place(self, attempt: SimulatedAttempt) -> None:
        """Places an attempt on the connection that the scheduler chooses, or delays or ends the attempt."""
        context = attempt.context
        if attempt.is_finished or not self.is_current(context.gateway, context.incarnation):
            return
        stop_at = self.endpoint_stop_times[context.gateway].get(context.server, math.inf)
        if self.now > min(attempt.write_by, stop_at):
            self.finish(attempt, Outcome.UNREACHABLE)
            return
        placement = self.choose_placement(attempt)
        if placement.kind is PlacementKind.NONE:
            self.finish(attempt, Outcome.UNREACHABLE)
        elif placement.kind is PlacementKind.WAIT:
            attempt.has_waited = True
            self.schedule(placement.until_ms - self.now, self.place, attempt)
        else:
            self.append_to_pipeline(attempt, self.connection_of(attempt, placement))

    def choose_placement(self, attempt: SimulatedAttempt) -> Placement:
        """Returns what the gateway's scheduler does with an attempt now."""
        number, _, request, attempt_number, server, _ = attempt.context
        scheduler, cls = self.schedulers[number], request.cls
        may_retry = attempt_number + 1 < self.settings.max_attempts
        placement_terms = placement_request(
            cls,
            scheduler.times.mean(cls.name, server),
            self.now,
            attempt.expires_at,
            request.accepted_ms,
            request.deadline - DEADLINE_MARGIN_MS,
            attempt.write_by,
            may_retry,
        )
        own_connections = [conn for key, conn in self.connections.items() if key[0] == number]
        return scheduler.place(
            self.now,
            server,
            attempt.attempt_id,
            placement_terms,
            lambda: len(own_connections) < MAX_CONNECTIONS,
            attempt.has_waited,
        )

    def connection_of(self, attempt: SimulatedAttempt, placement: Placement) -> SimulatedConnection:
        """Returns the connection that a placement names; a new one starts to connect."""
        number, incarnation, _, _, server, _ = attempt.context
        conn = self.connections.get((number, placement.connection_id))
        if placement.kind is PlacementKind.OPEN:
            conn = SimulatedConnection(number, incarnation, self.nodes.get(server), placement.connection_id)
            self.connections[number, placement.connection_id] = conn
            self.schedule(self.rng.uniform(1.0, 12.0), self.on_connected, conn)
        if conn is None:
            raise BrokenRule("connections", f"{placement} names an unknown connection")
        if placement.kind is PlacementKind.JOIN:
            self.joined += 1
        return conn

    def append_to_pipeline(self, attempt: SimulatedAttempt, conn: SimulatedConnection) -> None:
        """Appends an attempt to a connection's pipeline, and checks its depth."""
        attempt.connection = conn
        attempt.command = conn.pipeline.append(attempt, b"x" * COMMAND_BYTES)
        self.max_depth_seen = max(self.max_depth_seen, len(conn.pipeline))
        if len(conn.pipeline) > RULES.max_depth:
            raise BrokenRule("depth", f"{len(conn.pipeline)} on connection {conn.connection_id}")
        self.schedule_flush(conn)
        self.schedule_check(attempt.context.gateway)

    def on_connected(self, conn: SimulatedConnection) -> None:
        """Ends connection establishment, with success if the node is alive."""
        if conn.is_closed:
            return
        if conn.node is None or not conn.node.alive:
            self.close(conn, None, Outcome.UNREACHABLE)
            return
        conn.is_up, conn.started_ms = True, conn.node.started_ms
        self.schedulers[conn.gateway].on_connected(self.now, conn.connection_id)
        self.schedule_flush(conn)

    def schedule_flush(self, conn: SimulatedConnection) -> None:
        """Schedules a flush of a connection that is established and not blocked."""
        if conn.is_up and not conn.is_flush_scheduled and not conn.is_blocked:
            conn.is_flush_scheduled = True
            # Commands are written in the next iteration of the event loop, which may be busy until then.
            self.schedule(self.rng.uniform(0.0, 3.0), self.flush, conn)

    def flush(self, conn: SimulatedConnection) -> None:
        """Writes the pending commands."""
        conn.is_flush_scheduled = False
        if conn.is_closed or conn.is_blocked or not self.is_current(conn.gateway, conn.incarnation):
            return
        scheduler = self.schedulers[conn.gateway]
        for entry in list(conn.pipeline.pending):
            attempt = entry.item
            stop_at = self.endpoint_stop_times[conn.gateway].get(attempt.context.server, math.inf)
            if self.now > min(attempt.write_by, stop_at):
                conn.pipeline.withdraw(entry)
                scheduler.on_withdrawn(self.now, conn.connection_id, attempt.attempt_id)
                self.finish(attempt, Outcome.UNREACHABLE)
        if conn.is_closed:
            return
        batch = [entry.item for entry in conn.pipeline.next_batch(self.now, 16, 1000)[0]]
        if not batch:
            return
        name = conn.node.name if conn.node is not None else ""
        if self.rng.random() < self.stuck_write_rates.get(name, 0.0):
            sent_count = self.rng.randrange(len(batch) + 1)
            batch, conn.buffered = batch[:sent_count], batch[sent_count:]
            conn.is_blocked = bool(conn.buffered)
            self.schedule(self.rng.uniform(5.0, 700.0), self.unblock, conn)
            write_by = [entry.item.write_by for entry in conn.pipeline.in_flight]
            abort_at = min(*write_by, self.endpoint_stop_times[conn.gateway].get(name, math.inf))
            if abort_at < math.inf:
                self.schedule(abort_at - 1.0 - self.now, self.abort_if_blocked, conn)
        self.send_batch(conn, batch)

    def unblock(self, conn: SimulatedConnection) -> None:
        """Sends the buffered commands, if the connection is still open."""
        batch, conn.buffered, conn.is_blocked = conn.buffered, [], False
        if not conn.is_closed and self.is_current(conn.gateway, conn.incarnation):
            self.send_batch(conn, batch)
            self.schedule_flush(conn)

    def send_batch(self, conn: SimulatedConnection, batch: list[SimulatedAttempt]) -> None:
        """Sends commands after checking that the rules allow it."""
        conn.pipeline.update_sent(COMMAND_BYTES * len(conn.buffered))
        for attempt in batch:
            number, _, request, attempt_number, server, _ = attempt.context
            stop_at = self.endpoint_stop_times[number].get(server)
            if stop_at is not None and self.now > stop_at:
                raise BrokenRule(
                    "drains", f"{request.request_id} was sent to {server} {self.now - stop_at:.0f} ms late"
                )
            if attempt_number not in request.in_flight:
                raise BrokenRule(
                    "one outcome", f"attempt {attempt_number} of {request.request_id} was sent after its end"
                )
            if (
                request.cls.idempotency is Idempotency.WITH_KEY
                and request.may_have_run
                and request.first_sent_ms is not None
                and self.now - request.first_sent_ms > request.cls.idempotency_window_ms
            ):
                raise BrokenRule(
                    "nothing twice", f"{request.request_id} was sent again after its key had expired"
                )
            if request.cls.idempotency is Idempotency.NON_IDEMPOTENT and conn.sent:
                raise BrokenRule(
                    "sharing",
                    f"non-idempotent {request.request_id} was sent behind {conn.sent[0].request_id}",
                )
            conn.sent.append(attempt)
            attempt.was_sent = True
            self.schedule(NET_MS, self.arrive_at_node, conn, attempt)

    def arrive_at_node(self, conn: SimulatedConnection, attempt: SimulatedAttempt) -> None:
        """Handles a command that arrives at the node, even if the gateway has closed the connection."""
        if attempt.is_unsent:
            raise BrokenRule(
                "nothing twice",
                f"{attempt.request_id} was reported as never sent, and arrived",
            )
        if conn.node is None or not conn.node.alive or conn.node.started_ms != conn.started_ms:
            self.schedule(NET_MS, self.on_reset, conn)
            return
        attempt.arrived_at = self.now
        self.arrive(conn.node, attempt.context)

    # --- replies -----------------------------------------------------------------------------------------

    def on_attempt_ended(
        self, number: int, incarnation: int, request: Any, attempt_number: int, server: str, began: float,
        outcome: Outcome,
    ) -> None:  # fmt: skip
        """Handles a node's reply, which the gateway gets after all earlier ones on the connection."""
        attempt = self.attempts.get((number, incarnation, request.request_id, attempt_number))
        conn = attempt.connection if attempt is not None else None
        if attempt is None or attempt.is_finished or conn is None or conn.is_closed:
            return
        if outcome in (Outcome.RESET, Outcome.UNREACHABLE):
            self.on_reset(conn)
            return
        conn.replies[attempt.attempt_id] = outcome
        while not conn.is_closed and conn.sent and conn.sent[0].attempt_id in conn.replies:
            first = conn.sent.popleft()
            self.on_reply(conn, first, conn.replies.pop(first.attempt_id))
        name = conn.node.name if conn.node is not None else ""
        # The node sends a surplus reply only if it had no other command of this connection when it replied.
        has_no_command = all(other.arrived_at > self.now - NET_MS for other in conn.sent)
        if (
            not conn.is_closed
            and has_no_command
            and self.rng.random() < self.surplus_reply_rates.get(name, 0.0)
        ):
            self.schedule(self.rng.uniform(0.0, NET_MS), self.on_surplus_reply, conn)

    def on_reply(self, conn: SimulatedConnection, attempt: SimulatedAttempt, outcome: Outcome) -> None:
        """Handles a reply at the gateway."""
        matched = conn.pipeline.match_reply(self.now)
        if matched is None:
            raise BrokenRule("pairing", f"the reply for {attempt.request_id} was taken for a surplus one")
        entry, is_trusted = matched
        if entry.item is not attempt:
            raise BrokenRule(
                "pairing",
                f"{entry.item.request_id} got the reply for {attempt.request_id}",
            )
        self.schedulers[conn.gateway].on_reply(self.now, conn.connection_id, outcome is Outcome.OK)
        if not is_trusted:
            self.close(conn, None, Outcome.RESET)
            outcome = Outcome.ERROR
        self.finish(attempt, outcome)
        self.schedule_check(conn.gateway)

    def on_surplus_reply(self, conn: SimulatedConnection) -> None:
        """Handles a surplus reply at the gateway."""
        if conn.is_closed or not self.is_current(conn.gateway, conn.incarnation):
            return
        matched = conn.pipeline.match_reply(self.now)
        if matched is not None and matched.is_trusted:
            raise BrokenRule(
                "one answer",
                f"{matched.command.item.request_id} was served with a surplus reply",
            )
        if matched is not None:
            self.schedulers[conn.gateway].on_reply(self.now, conn.connection_id, False)
        self.close(conn, None, Outcome.RESET)
        if matched is not None:
            self.finish(matched.command.item, Outcome.ERROR)

    # --- endings -----------------------------------------------------------------------------------------

    def on_timeout(self, attempt: SimulatedAttempt) -> None:
        """Ends an attempt that has timed out, and closes its connection if the command was written."""
        if attempt.is_finished or not self.is_current(attempt.context.gateway, attempt.context.incarnation):
            return
        conn, entry = attempt.connection, attempt.command
        if conn is None or entry is None:
            self.finish(attempt, Outcome.UNREACHABLE)
        elif conn.pipeline.withdraw(entry):
            self.schedulers[conn.gateway].on_withdrawn(self.now, conn.connection_id, attempt.attempt_id)
            self.finish(attempt, Outcome.UNREACHABLE)
        else:
            if conn.pipeline.in_flight[0] is not entry:
                raise BrokenRule(
                    "head-of-line blocking",
                    f"{attempt.request_id} was aborted behind another command",
                )
            self.close(conn, entry, Outcome.TIMEOUT)

    def on_reset(self, conn: SimulatedConnection) -> None:
        """Closes a connection that was reset; how many bytes had been sent is unknown."""
        if not conn.is_closed and self.is_current(conn.gateway, conn.incarnation):
            conn.pipeline.update_sent(0)
            conn.buffered.clear()
            self.close(conn, None, Outcome.RESET)

    def close(
        self, conn: SimulatedConnection, cause: PipelinedCommand[SimulatedAttempt] | None, outcome: Outcome
    ) -> None:
        """Closes a connection and ends each attempt on it."""
        if conn.is_closed:
            return
        conn.is_closed = True
        self.connections.pop((conn.gateway, conn.connection_id), None)
        rows = conn.pipeline.close(cause, outcome)
        self.aborted_shared += len(rows) > 1
        self.schedulers[conn.gateway].on_closed(conn.connection_id, bool(rows))
        for attempt, attempt_outcome in rows:
            attempt.is_unsent = attempt_outcome is Outcome.UNREACHABLE
            self.finish(attempt, attempt_outcome)

    def finish(self, attempt: SimulatedAttempt, outcome: Outcome) -> None:
        """Ends an attempt, which must not have ended before."""
        if attempt.is_finished:
            raise BrokenRule("one outcome", f"{attempt.request_id} has two outcomes, the second {outcome}")
        if attempt.was_sent and outcome is Outcome.UNREACHABLE:
            raise BrokenRule(
                "nothing twice",
                f"{attempt.request_id} was reported as never sent, and had been sent",
            )
        attempt.is_finished = True
        context = attempt.context
        key = (context.gateway, context.incarnation, attempt.request_id, context.attempt)
        self.attempts.pop(key, None)
        super().on_attempt_ended(*context, outcome)

    def schedule_check(self, number: int) -> None:
        """Schedules the next check of a gateway's pipeline scheduler."""
        at = self.schedulers[number].next_check_ms()
        if at < self.check_times[number]:
            self.check_times[number] = at
            self.schedule(at - self.now, self.run_checks, number, self.incarnation[number], at)

    def run_checks(self, number: int, incarnation: int, at: float) -> None:
        """Aborts the connections that the pipeline scheduler names for stalled heads and exceeded limits."""
        if not self.is_current(number, incarnation) or self.check_times[number] != at:
            return
        self.check_times[number] = math.inf
        for action in self.schedulers[number].check(self.now):
            conn = (
                self.connections.get((number, action.connection_id))
                if isinstance(action, AbortConnection)
                else None
            )
            if conn is not None and conn.pipeline.in_flight:
                self.close(conn, conn.pipeline.in_flight[0], Outcome.RESET)
            elif conn is not None:
                self.close(conn, None, Outcome.RESET)
        self.schedule(0.5, self.schedule_check, number)
