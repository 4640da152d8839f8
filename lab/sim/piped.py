"""The simulated site with pipelined connections: the scheduler and the command pipeline between the decision
engines and the nodes, over a network that answers each connection in order.

Besides the rules of `World` it checks what a node was sent on which connection and when the bytes were sent,
whose value each reply was, and which attempt was queued behind which.
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
from lab.sim.world import MARGIN_MS, NET_MS, BrokenRule, Node, World

PIPED_KINDS = (*KINDS, "stuck lines", "extra replies", "volley")
MAX_CONNECTIONS = 5  # of a gateway: few, so that they are shared
RULES = PipelineRules(max_depth=4, max_queued_per_server=8, settle_ms=10.0, max_idle_ms=4000.0)
COMMAND_BYTES = 10


class SimulatedAttempt:
    """An attempt in flight. `back`: what the site passes back with its end."""

    __slots__ = (
        "arrived_at",
        "attempt_id",
        "back",
        "command",
        "connection",
        "expires_at",
        "has_waited",
        "is_finished",
        "is_unsent",
        "was_sent",
        "write_by",
    )

    def __init__(self, attempt_id: int, back: tuple[Any, ...], expires_at: float, write_by: float) -> None:
        self.attempt_id, self.back = attempt_id, back
        self.expires_at, self.write_by = expires_at, write_by
        self.connection: SimulatedConnection | None = None
        self.command: PipelinedCommand[SimulatedAttempt] | None = None
        self.arrived_at = math.inf  # at the node
        self.is_finished = False
        self.is_unsent = False  # it ended as never sent
        self.was_sent = False
        self.has_waited = False


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
        self.is_blocked = False  # bytes stay in the machine's buffer
        self.buffered: list[SimulatedAttempt] = []  # written, not sent yet
        self.sent: deque[SimulatedAttempt] = deque()  # without a reply, in order
        self.replies: dict[int, Outcome] = {}  # by attempt; in order only once all before are there
        self.started_ms = node.started_ms if node is not None else 0.0


class PipedWorld(World):
    """A site whose gateways use pipelined connections."""

    def __init__(self, *args: Any, **changes: Any) -> None:
        self.schedulers: dict[int, PipelineScheduler] = {}
        self.connections: dict[tuple[int, int], SimulatedConnection] = {}  # by gateway and line
        self.attempts: dict[tuple[int, int, str, int], SimulatedAttempt] = {}
        self.last_attempt_id = 0
        self.check_times: dict[int, float] = {}
        self.extra: dict[str, float] = {}  # by node: share of answers with a second copy behind
        self.stuck: dict[str, float] = {}  # by node: share of writes that stay behind for a while
        self.joined = self.aborted_shared = self.max_depth_seen = 0
        super().__init__(*args, **changes)

    def strike(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Faults that only matter to pipelined connections."""
        if kind == "volley":  # a portal's reads, all in one moment
            number = self.rng.randrange(30)
            for _ in range(20 + int(40 * size)):
                self.at(0.0, self.ask, "read", "wide", f"wide{number}")
            return
        kinds = {"extra replies": self.extra, "stuck lines": self.stuck}
        if kind not in kinds:
            super().strike(kind, node, size, span_ms)
        kinds[kind][node.name] = 0.1 + 0.5 * size
        self.at(span_ms, self.end_fault, kinds[kind], node.name)

    def end_fault(self, active: dict[str, float], name: str) -> None:
        active.pop(name, None)

    # --- gateways ----------------------------------------------------------------------------------------

    def start(self, number: int) -> None:
        sharing = ClassCompatibility(self.settings.classes, ("read", "order", "bid"), number % 2 == 1)
        scheduler = self.schedulers[number] = PipelineScheduler(RULES, sharing)
        for cls in self.settings.classes:
            for share in range(40):  # as after some minutes: an hour of the simulated day would be too dear
                scheduler.times.add(self.now, cls.name, "", 10.0 + 2.0 * share, False)
        self.check_times[number] = math.inf
        super().start(number)

    def die(self, number: int, back_ms: float) -> None:
        if self.alive[number]:
            for key, conn in list(self.connections.items()):
                if key[0] == number:
                    conn.is_closed = True  # what has gone may run all the same
                    del self.connections[key]
            self.attempts = {key: one for key, one in self.attempts.items() if key[0] != number}
        super().die(number, back_ms)

    def tell(self, number: int, incarnation: int, kind: EndpointListKind, nodes: list[Node]) -> None:
        if self.lives(number, incarnation):
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
        super().tell(number, incarnation, kind, nodes)

    def on_server_draining(self, number: int, name: str) -> None:
        """A node drains: what was not written goes elsewhere; what stays buffered is aborted before the grace
        period ends."""
        for conn in [c for key, c in self.connections.items() if key[0] == number]:
            if conn.node is not None and conn.node.name == name:
                for entry in list(conn.pipeline.pending):
                    self.at(0.0, self.stop_unsent, entry.item)
                self.at(240.0, self.still_stuck, conn)

    def stop_unsent(self, one: SimulatedAttempt) -> None:
        """It ends, unless it was written meanwhile."""
        if one.is_finished or one.command is None or one.connection is None:
            return
        if one.connection.pipeline.withdraw(one.command):
            self.schedulers[one.connection.gateway].on_withdrawn(
                self.now, one.connection.connection_id, one.attempt_id
            )
            self.finish(one, Outcome.UNREACHABLE)

    def still_stuck(self, conn: SimulatedConnection) -> None:
        if conn.is_blocked and not conn.is_closed:
            self.close(conn, None, Outcome.RESET)

    # --- attempts ----------------------------------------------------------------------------------------

    def dispatch(
        self, node: Node | None, back: tuple[Any, ...], timeout: float, action: StartAttempt
    ) -> None:
        """An attempt is placed on a connection by the scheduler, instead of getting its own."""
        number = back[0]
        self.last_attempt_id += 1
        write_by = action.write_by_ms - self.skew[number] if action.write_by_ms > 0 else math.inf
        one = SimulatedAttempt(self.last_attempt_id, back, self.now + timeout, write_by)
        self.attempts[number, back[1], back[2].ref, back[3]] = one
        self.at(timeout, self.on_timeout, one)
        self.at(0.0, self.place, one)

    def place(self, one: SimulatedAttempt) -> None:
        """Asks the scheduler."""
        number, incarnation, asked, attempt, server, _ = one.back
        if one.is_finished or not self.lives(number, incarnation):
            return
        scheduler, cls = self.schedulers[number], asked.cls
        stop = self.told[number].get(server, math.inf)
        if self.now > min(one.write_by, stop):
            self.finish(one, Outcome.UNREACHABLE)
            return
        again = attempt + 1 < self.settings.max_attempts
        request = placement_request(
            cls,
            scheduler.times.mean(cls.name, server),
            self.now,
            one.expires_at,
            asked.came,
            asked.deadline - MARGIN_MS,
            one.write_by,
            again,
        )
        mine = [conn for key, conn in self.connections.items() if key[0] == number]
        found = scheduler.place(
            self.now, server, one.attempt_id, request, lambda: len(mine) < MAX_CONNECTIONS, one.has_waited
        )
        if found.kind is PlacementKind.NONE:
            self.finish(one, Outcome.UNREACHABLE)
            return
        if found.kind is PlacementKind.WAIT:
            one.has_waited = True
            self.at(found.until_ms - self.now, self.place, one)
            return
        conn = self.connections.get((number, found.connection_id))
        if found.kind is PlacementKind.OPEN:
            conn = SimulatedConnection(number, incarnation, self.nodes.get(server), found.connection_id)
            self.connections[number, found.connection_id] = conn
            self.at(self.rng.uniform(1.0, 12.0), self.connected, conn)
        if conn is None:
            raise BrokenRule("lines", f"{found} names a connection that is not there")
        if found.kind is PlacementKind.JOIN:
            self.joined += 1
        one.connection = conn
        one.command = conn.pipeline.append(one, b"x" * COMMAND_BYTES)
        self.max_depth_seen = max(self.max_depth_seen, len(conn.pipeline))
        if len(conn.pipeline) > RULES.max_depth:
            raise BrokenRule("depth", f"{len(conn.pipeline)} on line {conn.connection_id}")
        self.schedule_flush(conn)
        self.schedule_check(number)

    def connected(self, conn: SimulatedConnection) -> None:
        """It comes up, or does not."""
        if conn.is_closed:
            return
        if conn.node is None or not conn.node.alive:
            self.close(conn, None, Outcome.UNREACHABLE)
            return
        conn.is_up, conn.started_ms = True, conn.node.started_ms
        self.schedulers[conn.gateway].on_connected(self.now, conn.connection_id)
        self.schedule_flush(conn)

    def schedule_flush(self, conn: SimulatedConnection) -> None:
        if conn.is_up and not conn.is_flush_scheduled and not conn.is_blocked:
            conn.is_flush_scheduled = True
            self.at(self.rng.uniform(0.0, 3.0), self.flush, conn)  # an iteration of a busy loop

    def flush(self, conn: SimulatedConnection) -> None:
        """Writes what is pending."""
        conn.is_flush_scheduled = False
        if conn.is_closed or conn.is_blocked or not self.lives(conn.gateway, conn.incarnation):
            return
        scheduler = self.schedulers[conn.gateway]
        for entry in list(conn.pipeline.pending):
            one = entry.item
            stop = self.told[conn.gateway].get(one.back[4], math.inf)
            if self.now > min(one.write_by, stop):
                conn.pipeline.withdraw(entry)
                scheduler.on_withdrawn(self.now, conn.connection_id, one.attempt_id)
                self.finish(one, Outcome.UNREACHABLE)
        if conn.is_closed:
            return
        batch = [entry.item for entry in conn.pipeline.next_batch(self.now, 16, 1000)[0]]
        if not batch:
            return
        name = conn.node.name if conn.node is not None else ""
        if self.rng.random() < self.stuck.get(name, 0.0):
            go = self.rng.randrange(len(batch) + 1)
            conn.buffered, conn.is_blocked = batch[go:], bool(batch[go:])
            batch = batch[:go]
            self.at(self.rng.uniform(5.0, 700.0), self.unblock, conn)
            limits = [entry.item.write_by for entry in conn.pipeline.in_flight]
            end = min(*limits, self.told[conn.gateway].get(name, math.inf))
            if end < math.inf:
                self.at(end - 1.0 - self.now, self.still_stuck, conn)
        self.send_batch(conn, batch)

    def unblock(self, conn: SimulatedConnection) -> None:
        """What was buffered is sent, if the connection is still open."""
        batch, conn.buffered, conn.is_blocked = conn.buffered, [], False
        if not conn.is_closed and self.lives(conn.gateway, conn.incarnation):
            self.send_batch(conn, batch)
            self.schedule_flush(conn)

    def send_batch(self, conn: SimulatedConnection, batch: list[SimulatedAttempt]) -> None:
        """Bytes are sent: checks whether they may be."""
        conn.pipeline.update_sent(COMMAND_BYTES * len(conn.buffered))
        for one in batch:
            number, _, asked, attempt, server, _ = one.back
            stop = self.told[number].get(server)
            if stop is not None and self.now > stop:
                raise BrokenRule("drains", f"{asked.ref} left for {server} {self.now - stop:.0f} ms late")
            if attempt not in asked.out:
                raise BrokenRule("one ending", f"attempt {attempt} of {asked.ref} left after its ending")
            keyed = asked.cls.idempotency is Idempotency.WITH_KEY and asked.first_left is not None
            if keyed and asked.may_have_run and self.now - asked.first_left > asked.cls.idempotency_window_ms:
                raise BrokenRule("nothing twice", f"{asked.ref} left again when its key was forgotten")
            if asked.cls.idempotency is Idempotency.NON_IDEMPOTENT and conn.sent:
                raise BrokenRule("sharing", f"unsafe {asked.ref} went behind {conn.sent[0].back[2].ref}")
            conn.sent.append(one)
            one.was_sent = True
            self.at(NET_MS, self.arrive_at_node, conn, one)

    def arrive_at_node(self, conn: SimulatedConnection, one: SimulatedAttempt) -> None:
        """A command arrives at the node, also on a connection that the gateway has closed meanwhile."""
        if one.is_unsent:
            raise BrokenRule("nothing twice", f"{one.back[2].ref} was told as never sent, and came")
        if conn.node is None or not conn.node.alive or conn.node.started_ms != conn.started_ms:
            self.at(NET_MS, self.on_reset, conn)
            return
        one.arrived_at = self.now
        self.arrive(conn.node, one.back)

    # --- replies -----------------------------------------------------------------------------------------

    def ended(
        self, number: int, incarnation: int, asked: Any, attempt: int, server: str, began: float,
        ending: Outcome,
    ) -> None:  # fmt: skip
        """A node's reply to one command: it reaches the gateway after all before it on its connection."""
        one = self.attempts.get((number, incarnation, asked.ref, attempt))
        conn = one.connection if one is not None else None
        if one is None or one.is_finished or conn is None or conn.is_closed:
            return
        if ending in (Outcome.RESET, Outcome.UNREACHABLE):
            self.on_reset(conn)
            return
        conn.replies[one.attempt_id] = ending
        while not conn.is_closed and conn.sent and conn.sent[0].attempt_id in conn.replies:
            first = conn.sent.popleft()
            self.reply(conn, first, conn.replies.pop(first.attempt_id))
        name = conn.node.name if conn.node is not None else ""
        # The node answered a moment ago, and saw nothing else waiting here: more may be on its way.
        unseen = all(other.arrived_at > self.now - NET_MS for other in conn.sent)
        if not conn.is_closed and unseen and self.rng.random() < self.extra.get(name, 0.0):
            self.at(self.rng.uniform(0.0, NET_MS), self.surplus, conn)

    def reply(self, conn: SimulatedConnection, whose: SimulatedAttempt, ending: Outcome) -> None:
        """A reply, at the gateway."""
        found = conn.pipeline.match_reply(self.now)
        if found is None:
            raise BrokenRule("pairing", f"the reply for {whose.back[2].ref} was held for one too many")
        entry, trusted = found
        if entry.item is not whose:
            raise BrokenRule("pairing", f"{entry.item.back[2].ref} got the reply for {whose.back[2].ref}")
        self.schedulers[conn.gateway].on_reply(self.now, conn.connection_id, ending is Outcome.OK)
        if not trusted:
            self.close(conn, None, Outcome.RESET)
            ending = Outcome.ERROR
        self.finish(whose, ending)
        self.schedule_check(conn.gateway)

    def surplus(self, conn: SimulatedConnection) -> None:
        """A surplus reply arrives."""
        if conn.is_closed or not self.lives(conn.gateway, conn.incarnation):
            return
        found = conn.pipeline.match_reply(self.now)
        if found is not None and found.is_trusted:
            raise BrokenRule(
                "one answer", f"{found.command.item.back[2].ref} was served with another's value"
            )
        if found is not None:
            self.schedulers[conn.gateway].on_reply(self.now, conn.connection_id, False)
        self.close(conn, None, Outcome.RESET)
        if found is not None:
            self.finish(found.command.item, Outcome.ERROR)

    # --- endings -----------------------------------------------------------------------------------------

    def on_timeout(self, one: SimulatedAttempt) -> None:
        """An attempt times out."""
        if one.is_finished or not self.lives(one.back[0], one.back[1]):
            return
        conn, entry = one.connection, one.command
        if conn is None or entry is None:
            self.finish(one, Outcome.UNREACHABLE)
        elif conn.pipeline.withdraw(entry):
            self.schedulers[conn.gateway].on_withdrawn(self.now, conn.connection_id, one.attempt_id)
            self.finish(one, Outcome.UNREACHABLE)
        else:
            if conn.pipeline.in_flight[0] is not entry:
                raise BrokenRule("hold-back", f"{one.back[2].ref} was given up behind another")
            self.close(conn, entry, Outcome.TIMEOUT)

    def on_reset(self, conn: SimulatedConnection) -> None:
        """The connection breaks; the machine does not say how much of it had left."""
        if not conn.is_closed and self.lives(conn.gateway, conn.incarnation):
            conn.pipeline.update_sent(0)
            conn.buffered.clear()
            self.close(conn, None, Outcome.RESET)

    def close(
        self, conn: SimulatedConnection, cause: PipelinedCommand[SimulatedAttempt] | None, ending: Outcome
    ) -> None:
        """The connection closes, and each attempt on it ends."""
        if conn.is_closed:
            return
        conn.is_closed = True
        self.connections.pop((conn.gateway, conn.connection_id), None)
        rows = conn.pipeline.close(cause, ending)
        self.aborted_shared += len(rows) > 1
        self.schedulers[conn.gateway].on_closed(conn.connection_id, bool(rows))
        for one, how in rows:
            one.is_unsent = how is Outcome.UNREACHABLE
            self.finish(one, how)

    def finish(self, one: SimulatedAttempt, ending: Outcome) -> None:
        """The single end of an attempt."""
        if one.is_finished:
            raise BrokenRule("one ending", f"{one.back[2].ref} has two, the second {ending}")
        if one.was_sent and ending is Outcome.UNREACHABLE:
            raise BrokenRule("nothing twice", f"{one.back[2].ref} was told as never sent, and had left")
        one.is_finished = True
        number, incarnation, asked, attempt = one.back[:4]
        self.attempts.pop((number, incarnation, asked.ref, attempt), None)
        super().ended(number, incarnation, asked, attempt, one.back[4], one.back[5], ending)

    def schedule_check(self, number: int) -> None:
        """Schedules the scheduler's next check."""
        at = self.schedulers[number].next_check_ms()
        if at < self.check_times[number]:
            self.check_times[number] = at
            self.at(at - self.now, self.run_checks, number, self.incarnation[number], at)

    def run_checks(self, number: int, incarnation: int, at: float) -> None:
        """Executes what the scheduler says of stalled heads and reached bounds."""
        if not self.lives(number, incarnation) or self.check_times[number] != at:
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
        self.at(0.5, self.schedule_check, number)
