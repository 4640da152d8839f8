"""Pipelining: which connection to its server an attempt uses, and when one is aborted as its head stalls.

The decision engine has chosen the server; this module only chooses the connection. It takes events (`place`,
`on_connected`, `on_reply`, `on_closed`, ...) and returns typed placements and actions. It does no I/O and
uses no randomness; the time is an argument in milliseconds.

Invariants, whatever the estimates of service times:

- *Hold bound.* An attempt that is queued behind others has a hold bound, which is no later than its own
  timeout and `PlacementRequest.retry_by_ms`. By then it is the head, or the connection is aborted while the
  aborted attempts may still be retried. No attempt times out behind another.
- A non-idempotent attempt is never queued behind another, and never aborted for others.
- No connection has more attempts than the rules, the server's adaptive limit and the attempt's route allow at
  the time of joining, and no more than `max_queued_per_server` attempts are queued at a server.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable

from .check_schedule import CheckSchedule
from .class_compatibility import ClassCompatibility
from .connection_queues import ConnectionQueue, QueuedAttempt, ServerQueues
from .depth_limit import DepthLimit
from .pipeline_types import (
    TIMER_RESOLUTION_MS,
    AbortConnection,
    AbortReason,
    HedgeAttempt,
    PipelineAction,
    PipelineRules,
    Placement,
    PlacementKind,
    PlacementRequest,
    StopJoining,
)
from .placement_choice import PlacementChooser
from .service_times import ServiceTimes
from .stall_detector import THRESHOLD_TTL_MS, StallDetector

ABORTS_PER_PLACEMENT = 0.1  # what each placement adds to the budget of attempts aborted before their bound
MAX_ABORT_BALANCE = 16.0  # maximum budget of attempts aborted before their bound
RECHECK_MS = THRESHOLD_TTL_MS  # interval at which an abort is repeated while the connection is still open
# A stalled head is kept if it finishes within another mean service time with at least this probability.
MIN_PROBABILITY_TO_KEEP = 0.5
# A reply that comes so soon after the one ahead may have been finished earlier: its time is an upper bound.
CENSORED_WITHIN_MS = 1.0
# Keys of `PipelineScheduler.counts`, which appear in the log.
STALLED_COUNT = "condemned"
BOUND_ABORT_COUNT = "cut at a bound"
STALL_ABORT_COUNT = "cut at a stall"


class PipelineScheduler:
    """All pipelined connections of a gateway.

    Memory is bounded by the number of connections and attempts in flight. Connection ids are assigned here,
    attempt ids by the caller.
    """

    def __init__(self, rules: PipelineRules, compatibility: ClassCompatibility) -> None:
        self.rules, self.compatibility = rules, compatibility
        self.times = ServiceTimes(compatibility.classes)
        self.stalls = StallDetector(rules, self.times)
        self.chooser = PlacementChooser(rules, compatibility, self.times, self.stalls)
        self.servers: dict[str, ServerQueues] = {}
        self.connections: dict[int, ConnectionQueue] = {}
        self.checks = CheckSchedule(self.connections)
        self.last_connection_id = 0
        self.abort_balance = MAX_ABORT_BALANCE / 2.0  # how many attempts may be aborted before their bound
        self.counts: Counter[str] = Counter()

    # --- servers -----------------------------------------------------------------------------------------

    def server(self, name: str) -> ServerQueues:
        """Returns the connections to a server, creating the entry for a new server."""
        found = self.servers.get(name)
        if found is None:
            found = self.servers[name] = ServerQueues(name, self.rules.max_depth)
        return found

    def on_server_started(self, name: str) -> None:
        """Resets the state of a server that a new process runs.

        The process is warming up, so its depth limit starts at 1 and its relative latency is unknown.
        """
        server = self.server(name)
        server.depth_limit = DepthLimit(self.rules.max_depth, initial=1.0)
        server.is_draining = False
        self.times.forget_server(name)

    def on_server_draining(self, name: str) -> None:
        """Stops placements at a draining server; its attempts may finish."""
        if name in self.servers:
            self.servers[name].is_draining = True

    def on_server_removed(self, name: str) -> None:
        """Forgets a server that left the endpoint list. Its connections remain until they are closed."""
        self.servers.pop(name, None)
        self.times.forget_server(name)
        self.stalls.forget_server(name)

    # --- placement ---------------------------------------------------------------------------------------

    def place(
        self,
        now_ms: float,
        server_name: str,
        attempt_id: int,
        request: PlacementRequest,
        may_open: Callable[[], bool],
        has_waited: bool = False,
    ) -> Placement:
        """Chooses a connection and queues the attempt there.

        `may_open`: whether one more connection may be opened; called only if that matters. `has_waited`:
        whether the attempt has waited already and may not wait again.
        """
        server = self.server(server_name)
        if server.is_draining:
            return Placement(PlacementKind.NONE)
        self.abort_balance = min(MAX_ABORT_BALANCE, self.abort_balance + ABORTS_PER_PLACEMENT)
        placement = self.chooser.choose(now_ms, server, request, may_open, has_waited)
        self.counts[placement.kind.value] += 1
        if placement.kind in (PlacementKind.WAIT, PlacementKind.NONE):
            return placement
        if placement.kind is PlacementKind.OPEN:
            return self._place_on_new(now_ms, server, attempt_id, request, placement)
        self._place_on_existing(now_ms, attempt_id, request, placement)
        return placement

    def _place_on_new(
        self,
        now_ms: float,
        server: ServerQueues,
        attempt_id: int,
        request: PlacementRequest,
        placement: Placement,
    ) -> Placement:
        """Queues the attempt on a new connection; returns the placement with the connection's id."""
        self.last_connection_id += 1
        connection_id = self.last_connection_id
        connection = ConnectionQueue(connection_id, server, now_ms)
        self.connections[connection_id] = server.connections[connection_id] = connection
        sent_at_ms = now_ms + server.connect_ms
        connection.attempts.append(QueuedAttempt(attempt_id, request, sent_at_ms, math.inf, False))
        return placement._replace(connection_id=connection_id)

    def _place_on_existing(
        self, now_ms: float, attempt_id: int, request: PlacementRequest, placement: Placement
    ) -> None:
        """Queues the attempt on the chosen connection."""
        connection = self.connections[placement.connection_id]
        is_queued = bool(connection.attempts)
        sent_at_ms = now_ms
        if connection.is_connecting:
            sent_at_ms = max(now_ms, connection.connect_started_ms + connection.server.connect_ms)
        hold_bound_ms = placement.until_ms if is_queued else math.inf
        connection.attempts.append(QueuedAttempt(attempt_id, request, sent_at_ms, hold_bound_ms, is_queued))
        if placement.kind is PlacementKind.JOIN:
            self._schedule_check(now_ms, connection)

    # --- stalls ------------------------------------------------------------------------------------------

    def next_check_ms(self) -> float:
        """Returns the earliest time at which `check` has work; inf while no attempts are queued."""
        return self.checks.next_check_ms()

    def check(self, now_ms: float) -> list[PipelineAction]:
        """Returns the actions for heads that are stalled now and for hold bounds that have expired."""
        actions: list[PipelineAction] = []
        while self.checks.next_check_ms() <= now_ms:
            actions += self._check_connection(now_ms, self.checks.pop())
        return actions

    def _check_connection(self, now_ms: float, connection: ConnectionQueue) -> list[PipelineAction]:
        """Returns the actions for one connection and schedules its next check."""
        actions: list[PipelineAction] = []
        head = connection.attempts[0]
        has_reached_bound = now_ms >= connection.abort_by_ms()
        if not has_reached_bound and now_ms < self.stalls.stalls_at_ms(now_ms, connection, head):
            self._schedule_check(now_ms, connection)  # the stall threshold has grown since
            return actions
        if not connection.is_marked_stalled:
            connection.is_marked_stalled = True
            actions.append(StopJoining(connection.connection_id, head.attempt_id))
            connection.server.depth_limit.on_failure()
            self.counts[STALLED_COUNT] += 1
        if self.rules.may_hedge:
            actions += self._hedge_queued(connection)
        if not self._may_abort(now_ms, head):
            return actions  # the queued attempts can wait until the head times out
        if has_reached_bound:
            actions.append(self._abort(now_ms, connection, AbortReason.HOLD_BOUND))
            self.counts[BOUND_ABORT_COUNT] += 1
        elif not self.rules.may_hedge and self.is_worth_aborting(now_ms, connection):
            self.abort_balance -= len(connection.attempts)
            actions.append(self._abort(now_ms, connection, AbortReason.STALL))
            self.counts[STALL_ABORT_COUNT] += 1
        else:
            self._schedule_check(now_ms, connection)
        return actions

    def _may_abort(self, now_ms: float, head: QueuedAttempt) -> bool:
        """Returns whether the head may be aborted for those behind it and can still be retried."""
        may_abort_class = self.compatibility.may_abort_for_others(head.request.class_name)
        return may_abort_class and now_ms <= head.request.retry_by_ms + TIMER_RESOLUTION_MS

    def _abort(self, now_ms: float, connection: ConnectionQueue, reason: AbortReason) -> AbortConnection:
        """Returns the action that aborts the connection, and schedules the check that would repeat it."""
        self.checks.schedule(connection, now_ms + RECHECK_MS)
        return AbortConnection(connection.connection_id, connection.attempts[0].attempt_id, reason)

    def _hedge_queued(self, connection: ConnectionQueue) -> list[PipelineAction]:
        """Returns hedges for the attempts behind the head, one for each."""
        actions: list[PipelineAction] = []
        for attempt in list(connection.attempts)[1:]:
            if not attempt.is_hedged:
                attempt.is_hedged = True
                actions.append(HedgeAttempt(attempt.attempt_id))
        return actions

    def is_worth_aborting(self, now_ms: float, connection: ConnectionQueue) -> bool:
        """Returns whether to abort before the hold bound.

        This is so if the budget allows it and the head is unlikely to finish soon.
        """
        head = connection.attempts[0]
        if self.abort_balance < len(connection.attempts):
            return False
        server, class_name = connection.server.name, head.request.class_name
        mean_ms = self.times.mean(class_name, server)
        age_ms = now_ms - head.sent_at_ms
        probability = self.times.probability_within(class_name, server, mean_ms, age_ms)
        return probability < MIN_PROBABILITY_TO_KEEP

    def _schedule_check(self, now_ms: float, connection: ConnectionQueue) -> None:
        """Schedules the next check: at the connection's hold bound, or earlier when its head stalls."""
        at_ms = math.inf
        if len(connection.attempts) > 1:
            at_ms = connection.abort_by_ms()
            if not connection.is_marked_stalled:
                head = connection.attempts[0]
                at_ms = min(at_ms, self.stalls.stalls_at_ms(now_ms, connection, head))
        self.checks.schedule(connection, at_ms)

    # --- connection events -------------------------------------------------------------------------------

    def on_connected(self, now_ms: float, connection_id: int) -> None:
        """Records that a connection is established and its attempts are sent."""
        connection = self.connections.get(connection_id)
        if connection is None or not connection.is_connecting:
            return
        connection.server.record_connect(now_ms - connection.connect_started_ms)
        connection.is_connecting = False
        # No surplus reply can be in transit on a new connection, so it needs no time to settle.
        connection.idle_since_ms = now_ms - self.rules.settle_ms
        for attempt in connection.attempts:
            attempt.sent_at_ms = now_ms
        self._schedule_check(now_ms, connection)

    def on_reply(self, now_ms: float, connection_id: int, is_ok: bool = True) -> int | None:
        """Removes the head of this connection on its reply and returns its attempt id; None without a head.

        `is_ok`: the reply is a value, so that its time counts as a service time.
        """
        connection = self.connections.get(connection_id)
        if connection is None or not connection.attempts:
            return None
        attempt = connection.attempts.popleft()
        if is_ok and attempt.request.class_name in self.times.histograms:
            self._record_service_time(now_ms, connection, attempt)
        connection.last_reply_ms = now_ms
        connection.is_marked_stalled = False  # the next attempt is the head now, with its own threshold
        self._on_attempt_removed(now_ms, connection)
        return attempt.attempt_id

    def _record_service_time(
        self, now_ms: float, connection: ConnectionQueue, attempt: QueuedAttempt
    ) -> None:
        """Updates the service times and the depth limit with a reply."""
        server, class_name = connection.server, attempt.request.class_name
        time_ms = max(0.0, now_ms - attempt.sent_at_ms)
        mean_ms = self.times.mean(class_name, server.name)
        is_censored = attempt.was_queued and now_ms - connection.last_reply_ms < CENSORED_WITHIN_MS
        self.times.add(now_ms, class_name, server.name, time_ms, is_censored)
        if mean_ms > 0:
            server.depth_limit.on_reply(time_ms / mean_ms, attempt.was_queued)

    def on_withdrawn(self, now_ms: float, connection_id: int, attempt_id: int) -> None:
        """Removes an attempt that was withdrawn before any of it was written."""
        connection = self.connections.get(connection_id)
        if connection is None:
            return
        connection.attempts = deque(
            attempt for attempt in connection.attempts if attempt.attempt_id != attempt_id
        )
        if not connection.attempts:
            connection.is_marked_stalled = False
        self._on_attempt_removed(now_ms, connection)

    def on_closed(self, connection_id: int, has_failed: bool = False) -> None:
        """Removes a closed connection. `has_failed`: a timeout or fault closed it while it had attempts."""
        connection = self.connections.pop(connection_id, None)
        if connection is None:
            return
        connection.server.connections.pop(connection_id, None)
        if has_failed:
            connection.server.depth_limit.on_failure()

    def _on_attempt_removed(self, now_ms: float, connection: ConnectionQueue) -> None:
        """Updates the idle time and the check after an attempt was removed."""
        if not connection.attempts:
            connection.idle_since_ms = now_ms
        self._schedule_check(now_ms, connection)
