"""The simulated site with shared connections: the deciders of `pipeline.py` and `line.py` between the modules
and the nodes, and a network that answers a connection in order.

What is added to the site's books: what a node was sent on which connection and when the bytes left, whose
value each reply was, who stood behind whom.
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
MOST_CONNECTIONS = 5  # of a gateway: few, so that lines are shared
RULES = PipelineRules(max_depth=4, max_queued_per_server=8, settle_ms=10.0, max_idle_ms=4000.0)
COMMAND_BYTES = 10


class Try:
    """An attempt on its way."""

    __slots__ = (
        "back", "came_at", "conn", "entry", "left", "never", "over", "ref", "until", "waited", "write_by",
    )  # fmt: skip

    def __init__(self, ref: int, back: tuple[Any, ...], until: float, write_by: float) -> None:
        self.ref, self.back, self.until, self.write_by = ref, back, until, write_by
        self.conn: Conn | None = None
        self.entry: PipelinedCommand[Try] | None = None
        self.came_at = math.inf  # to the node
        self.over = self.never = self.left = self.waited = False


class Conn:
    """A connection of one gateway."""

    __slots__ = (
        "booked", "buffered", "closed", "incarnation", "line", "node", "number", "order", "replies", "serial",
        "started_ms", "stuck", "up",
    )  # fmt: skip

    def __init__(self, number: int, incarnation: int, node: Node | None, serial: int) -> None:
        self.number, self.incarnation, self.node, self.serial = number, incarnation, node, serial
        self.line: CommandPipeline[Try] = CommandPipeline(NETWORK_DELAY_MS, RULES.settle_ms)
        self.up = self.closed = self.stuck = self.booked = False
        self.buffered: list[Try] = []  # handed over, and not gone yet
        self.order: deque[Try] = deque()  # what has gone, not answered
        self.replies: dict[int, Outcome] = {}  # by attempt; in order only once all before are there
        self.started_ms = node.started_ms if node is not None else 0.0


class PipedWorld(World):
    """A site whose gateways share connections."""

    def __init__(self, *args: Any, **changes: Any) -> None:
        self.pipes: dict[int, PipelineScheduler] = {}
        self.conns: dict[tuple[int, int], Conn] = {}  # by gateway and line
        self.tries: dict[tuple[int, int, str, int], Try] = {}
        self.refs = 0
        self.alarms: dict[int, float] = {}
        self.extra: dict[str, float] = {}  # by node: share of answers with a second copy behind
        self.stuck: dict[str, float] = {}  # by node: share of writes that stay behind for a while
        self.joined = self.cut_lines = self.most_on_a_line = 0
        super().__init__(*args, **changes)

    def strike(self, kind: str, node: Node, size: float, span_ms: float) -> None:
        """Faults that only shared connections can tell."""
        if kind == "volley":  # a portal's reads, all in one moment
            number = self.rng.randrange(30)
            for _ in range(20 + int(40 * size)):
                self.at(0.0, self.ask, "read", "wide", f"wide{number}")
            return
        kinds = {"extra replies": self.extra, "stuck lines": self.stuck}
        if kind not in kinds:
            super().strike(kind, node, size, span_ms)
        kinds[kind][node.name] = 0.1 + 0.5 * size
        self.at(span_ms, self.relieve, kinds[kind], node.name)

    def relieve(self, held: dict[str, float], name: str) -> None:
        held.pop(name, None)

    # --- gateways ----------------------------------------------------------------------------------------

    def start(self, number: int) -> None:
        sharing = ClassCompatibility(self.settings.classes, ("read", "order", "bid"), number % 2 == 1)
        pipe = self.pipes[number] = PipelineScheduler(RULES, sharing)
        for cls in self.settings.classes:
            for share in range(40):  # as after some minutes: an hour of the simulated day would be too dear
                pipe.times.add(self.now, cls.name, "", 10.0 + 2.0 * share, False)
        self.alarms[number] = math.inf
        super().start(number)

    def die(self, number: int, back_ms: float) -> None:
        if self.alive[number]:
            for key, conn in list(self.conns.items()):
                if key[0] == number:
                    conn.closed = True  # what has gone may run all the same
                    del self.conns[key]
            self.tries = {key: one for key, one in self.tries.items() if key[0] != number}
        super().die(number, back_ms)

    def tell(self, number: int, incarnation: int, kind: EndpointListKind, nodes: list[Node]) -> None:
        if self.lives(number, incarnation):
            pipe = self.pipes[number]
            for node in nodes:
                if node.state is EndpointState.ACTIVE:
                    pipe.server(node.name).is_draining = False
                    if node.started_ms > 0:
                        pipe.on_server_started(node.name)
                    continue
                pipe.on_server_draining(node.name)
                self.emptied(number, node.name)
                if node.state is EndpointState.REMOVED:
                    pipe.on_server_removed(node.name)
        super().tell(number, incarnation, kind, nodes)

    def emptied(self, number: int, name: str) -> None:
        """A node drains: what was not handed over goes elsewhere; what stays behind in the machine is cut off
        before the grace ends."""
        for conn in [c for key, c in self.conns.items() if key[0] == number]:
            if conn.node is not None and conn.node.name == name:
                for entry in list(conn.line.pending):
                    self.at(0.0, self.unsent, entry.item)
                self.at(240.0, self.still_stuck, conn)

    def unsent(self, one: Try) -> None:
        """It ends, unless it was handed over meanwhile."""
        if one.over or one.entry is None or one.conn is None:
            return
        if one.conn.line.withdraw(one.entry):
            self.pipes[one.conn.number].on_withdrawn(self.now, one.conn.serial, one.ref)
            self.over(one, Outcome.UNREACHABLE)

    def still_stuck(self, conn: Conn) -> None:
        if conn.stuck and not conn.closed:
            self.cut(conn, None, Outcome.RESET)

    # --- attempts ----------------------------------------------------------------------------------------

    def dispatch(
        self, node: Node | None, back: tuple[Any, ...], timeout: float, action: StartAttempt
    ) -> None:
        """Instead of going out on a connection of its own, an attempt finds its place."""
        number = back[0]
        self.refs += 1
        write_by = action.write_by_ms - self.skew[number] if action.write_by_ms > 0 else math.inf
        one = Try(self.refs, back, self.now + timeout, write_by)
        self.tries[number, back[1], back[2].ref, back[3]] = one
        self.at(timeout, self.given_up, one)
        self.at(0.0, self.seek, one)

    def seek(self, one: Try) -> None:
        """Asks the decider."""
        number, incarnation, asked, attempt, server, _ = one.back
        if one.over or not self.lives(number, incarnation):
            return
        pipe, cls = self.pipes[number], asked.cls
        stop = self.told[number].get(server, math.inf)
        if self.now > min(one.write_by, stop):
            self.over(one, Outcome.UNREACHABLE)
            return
        again = attempt + 1 < self.settings.max_attempts
        job = placement_request(cls, pipe.times.mean(cls.name, server), self.now, one.until, asked.came,
                     asked.deadline - MARGIN_MS, one.write_by, again)  # fmt: skip
        mine = [conn for key, conn in self.conns.items() if key[0] == number]
        found = pipe.place(self.now, server, one.ref, job, lambda: len(mine) < MOST_CONNECTIONS, one.waited)
        if found.kind is PlacementKind.NONE:
            self.over(one, Outcome.UNREACHABLE)
            return
        if found.kind is PlacementKind.WAIT:
            one.waited = True
            self.at(found.until_ms - self.now, self.seek, one)
            return
        conn = self.conns.get((number, found.connection_id))
        if found.kind is PlacementKind.OPEN:
            conn = Conn(number, incarnation, self.nodes.get(server), found.connection_id)
            self.conns[number, found.connection_id] = conn
            self.at(self.rng.uniform(1.0, 12.0), self.connected, conn)
        if conn is None:
            raise BrokenRule("lines", f"{found} names a connection that is not there")
        if found.kind is PlacementKind.JOIN:
            self.joined += 1
        one.conn = conn
        one.entry = conn.line.append(one, b"x" * COMMAND_BYTES)
        self.most_on_a_line = max(self.most_on_a_line, len(conn.line))
        if len(conn.line) > RULES.max_depth:
            raise BrokenRule("depth", f"{len(conn.line)} on line {conn.serial}")
        self.book(conn)
        self.arm(number)

    def connected(self, conn: Conn) -> None:
        """It comes up, or does not."""
        if conn.closed:
            return
        if conn.node is None or not conn.node.alive:
            self.cut(conn, None, Outcome.UNREACHABLE)
            return
        conn.up, conn.started_ms = True, conn.node.started_ms
        self.pipes[conn.number].on_connected(self.now, conn.serial)
        self.book(conn)

    def book(self, conn: Conn) -> None:
        if conn.up and not conn.booked and not conn.stuck:
            conn.booked = True
            self.at(self.rng.uniform(0.0, 3.0), self.flush, conn)  # a busy loop's turn

    def flush(self, conn: Conn) -> None:
        """Hands over what waits."""
        conn.booked = False
        if conn.closed or conn.stuck or not self.lives(conn.number, conn.incarnation):
            return
        pipe = self.pipes[conn.number]
        for entry in list(conn.line.pending):
            one = entry.item
            stop = self.told[conn.number].get(one.back[4], math.inf)
            if self.now > min(one.write_by, stop):
                conn.line.withdraw(entry)
                pipe.on_withdrawn(self.now, conn.serial, one.ref)
                self.over(one, Outcome.UNREACHABLE)
        if conn.closed:
            return
        batch = [entry.item for entry in conn.line.next_batch(self.now, 16, 1000)[0]]
        if not batch:
            return
        name = conn.node.name if conn.node is not None else ""
        if self.rng.random() < self.stuck.get(name, 0.0):
            go = self.rng.randrange(len(batch) + 1)
            conn.buffered, conn.stuck = batch[go:], bool(batch[go:])
            batch = batch[:go]
            self.at(self.rng.uniform(5.0, 700.0), self.unstuck, conn)
            limits = [entry.item.write_by for entry in conn.line.in_flight]
            end = min(*limits, self.told[conn.number].get(name, math.inf))
            if end < math.inf:
                self.at(end - 1.0 - self.now, self.still_stuck, conn)
        self.sent_off(conn, batch)

    def unstuck(self, conn: Conn) -> None:
        """What stayed behind leaves, if the connection is still there."""
        batch, conn.buffered, conn.stuck = conn.buffered, [], False
        if not conn.closed and self.lives(conn.number, conn.incarnation):
            self.sent_off(conn, batch)
            self.book(conn)

    def sent_off(self, conn: Conn, batch: list[Try]) -> None:
        """Bytes leave: the books say whether they may."""
        conn.line.update_sent(COMMAND_BYTES * len(conn.buffered))
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
            if asked.cls.idempotency is Idempotency.NON_IDEMPOTENT and conn.order:
                raise BrokenRule("sharing", f"unsafe {asked.ref} went behind {conn.order[0].back[2].ref}")
            conn.order.append(one)
            one.left = True
            self.at(NET_MS, self.comes, conn, one)

    def comes(self, conn: Conn, one: Try) -> None:
        """A command comes to the node, also on a connection that the gateway has closed meanwhile."""
        if one.never:
            raise BrokenRule("nothing twice", f"{one.back[2].ref} was told as never sent, and came")
        if conn.node is None or not conn.node.alive or conn.node.started_ms != conn.started_ms:
            self.at(NET_MS, self.broken, conn)
            return
        one.came_at = self.now
        self.arrive(conn.node, one.back)

    # --- replies -----------------------------------------------------------------------------------------

    def ended(
        self, number: int, incarnation: int, asked: Any, attempt: int, server: str, began: float,
        ending: Outcome,
    ) -> None:  # fmt: skip
        """A node's word on one command: it comes to the gateway once all before it on its connection have."""
        one = self.tries.get((number, incarnation, asked.ref, attempt))
        conn = one.conn if one is not None else None
        if one is None or one.over or conn is None or conn.closed:
            return
        if ending in (Outcome.RESET, Outcome.UNREACHABLE):
            self.broken(conn)
            return
        conn.replies[one.ref] = ending
        while not conn.closed and conn.order and conn.order[0].ref in conn.replies:
            first = conn.order.popleft()
            self.reply(conn, first, conn.replies.pop(first.ref))
        name = conn.node.name if conn.node is not None else ""
        # The node answered a moment ago, and saw nothing else waiting here: more may be on its way.
        unseen = all(other.came_at > self.now - NET_MS for other in conn.order)
        if not conn.closed and unseen and self.rng.random() < self.extra.get(name, 0.0):
            self.at(self.rng.uniform(0.0, NET_MS), self.surplus, conn)

    def reply(self, conn: Conn, whose: Try, ending: Outcome) -> None:
        """A reply, at the gateway."""
        found = conn.line.match_reply(self.now)
        if found is None:
            raise BrokenRule("pairing", f"the reply for {whose.back[2].ref} was held for one too many")
        entry, trusted = found
        if entry.item is not whose:
            raise BrokenRule("pairing", f"{entry.item.back[2].ref} got the reply for {whose.back[2].ref}")
        self.pipes[conn.number].on_reply(self.now, conn.serial, ending is Outcome.OK)
        if not trusted:
            self.cut(conn, None, Outcome.RESET)
            ending = Outcome.ERROR
        self.over(whose, ending)
        self.arm(conn.number)

    def surplus(self, conn: Conn) -> None:
        """More comes than belongs to an answer."""
        if conn.closed or not self.lives(conn.number, conn.incarnation):
            return
        found = conn.line.match_reply(self.now)
        if found is not None and found[1]:
            raise BrokenRule("one answer", f"{found[0].item.back[2].ref} was served with another's value")
        if found is not None:
            self.pipes[conn.number].on_reply(self.now, conn.serial, False)
        self.cut(conn, None, Outcome.RESET)
        if found is not None:
            self.over(found[0].item, Outcome.ERROR)

    # --- endings -----------------------------------------------------------------------------------------

    def given_up(self, one: Try) -> None:
        """An attempt's time is up."""
        if one.over or not self.lives(one.back[0], one.back[1]):
            return
        conn, entry = one.conn, one.entry
        if conn is None or entry is None:
            self.over(one, Outcome.UNREACHABLE)
        elif conn.line.withdraw(entry):
            self.pipes[conn.number].on_withdrawn(self.now, conn.serial, one.ref)
            self.over(one, Outcome.UNREACHABLE)
        else:
            if conn.line.in_flight[0] is not entry:
                raise BrokenRule("hold-back", f"{one.back[2].ref} was given up behind another")
            self.cut(conn, entry, Outcome.TIMEOUT)

    def broken(self, conn: Conn) -> None:
        """The connection breaks; the machine does not say how much of it had left."""
        if not conn.closed and self.lives(conn.number, conn.incarnation):
            conn.line.update_sent(0)
            conn.buffered.clear()
            self.cut(conn, None, Outcome.RESET)

    def cut(self, conn: Conn, cause: PipelinedCommand[Try] | None, ending: Outcome) -> None:
        """The connection ends, and each attempt on it."""
        if conn.closed:
            return
        conn.closed = True
        self.conns.pop((conn.number, conn.serial), None)
        rows = conn.line.close(cause, ending)
        self.cut_lines += len(rows) > 1
        self.pipes[conn.number].on_closed(conn.serial, bool(rows))
        for one, how in rows:
            one.never = how is Outcome.UNREACHABLE
            self.over(one, how)

    def over(self, one: Try, ending: Outcome) -> None:
        """An attempt's one ending."""
        if one.over:
            raise BrokenRule("one ending", f"{one.back[2].ref} has two, the second {ending}")
        if one.left and ending is Outcome.UNREACHABLE:
            raise BrokenRule("nothing twice", f"{one.back[2].ref} was told as never sent, and had left")
        one.over = True
        number, incarnation, asked, attempt = one.back[:4]
        self.tries.pop((number, incarnation, asked.ref, attempt), None)
        super().ended(number, incarnation, asked, attempt, one.back[4], one.back[5], ending)

    def arm(self, number: int) -> None:
        """The decider's next look."""
        at = self.pipes[number].next_check_ms()
        if at < self.alarms[number]:
            self.alarms[number] = at
            self.at(at - self.now, self.look, number, self.incarnation[number], at)

    def look(self, number: int, incarnation: int, at: float) -> None:
        """Stalled heads, and bounds that are reached."""
        if not self.lives(number, incarnation) or self.alarms[number] != at:
            return
        self.alarms[number] = math.inf
        for action in self.pipes[number].check(self.now):
            conn = (
                self.conns.get((number, action.connection_id))
                if isinstance(action, AbortConnection)
                else None
            )
            if conn is not None and conn.line.in_flight:
                self.cut(conn, conn.line.in_flight[0], Outcome.RESET)
            elif conn is not None:
                self.cut(conn, None, Outcome.RESET)
        self.at(0.5, self.arm, number)
