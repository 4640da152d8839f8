"""Chooses the connection to a server for an attempt: an idle one, one to join, a new one, or none yet.

Options are scored by the expected time to the response, in which milliseconds after the latency objective
weigh more, plus the cost of opening a connection. Times are in milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from .class_compatibility import ClassCompatibility, Compatibility
from .connection_queues import ConnectionQueue, QueuedAttempt, ServerQueues
from .pipeline_types import (
    TIMER_RESOLUTION_MS,
    PipelineRules,
    Placement,
    PlacementKind,
    PlacementRequest,
)
from .response_forecast import ExpectedResponse, expected_response
from .service_times import ServiceTimes
from .stall_detector import StallDetector

LATE_WEIGHT = 4.0  # additional weight of each millisecond after the latency objective
MAX_CANDIDATES = 2  # how many of the connections to join are scored, starting with the shortest queues
MIN_JOINABLE_DEPTH = 2


class JoinCandidate(NamedTuple):
    """A connection that an attempt may join.

    `hold_bound_ms`: the time by which the attempt will be the head or the connection closed.
    """

    connection: ConnectionQueue
    hold_bound_ms: float


class ScoredPlacement(NamedTuple):
    """An option and its score; lower is better. `label` describes it in the log."""

    score_ms: float
    label: str
    placement: Placement


class PlacementChooser:
    """Chooses among the connections to a server. Its only side effect is on the cache of stall thresholds."""

    def __init__(
        self,
        rules: PipelineRules,
        compatibility: ClassCompatibility,
        times: ServiceTimes,
        stalls: StallDetector,
    ) -> None:
        self.rules = rules
        self.compatibility = compatibility
        self.times = times
        self.stalls = stalls

    def choose(
        self,
        now_ms: float,
        server: ServerQueues,
        request: PlacementRequest,
        may_open: Callable[[], bool],
        has_waited: bool,
    ) -> Placement:
        """Returns the best placement.

        `may_open`: whether one more connection may be opened; called only if that matters. `has_waited`:
        whether the attempt has waited already, which rules out WAIT.
        """
        idle = self.idle_connection(now_ms, server)
        if idle is not None:
            return Placement(PlacementKind.IDLE, idle.connection_id)
        if not self._has_samples(now_ms, request):
            # Without samples there is no forecast of response times, so connections are not shared.
            return (
                Placement(PlacementKind.OPEN) if may_open() else self._nothing_available(now_ms, has_waited)
            )
        options: list[ScoredPlacement] = []
        if may_open():
            options.append(self._open_option(now_ms, server, request))
        candidates = self.joinable(now_ms, server, request)
        if len(candidates) == 1 and not options and (has_waited or not self.rules.max_wait_ms):
            connection, hold_bound_ms = candidates[0]  # the only option, so no score is needed
            return Placement(
                PlacementKind.JOIN, connection.connection_id, hold_bound_ms, len(connection.attempts)
            )
        options += [self._join_option(now_ms, server, request, candidate) for candidate in candidates]
        wait = None if has_waited else self._wait_option(now_ms, server, request)
        if wait is not None:
            options.append(wait)
        if not options:
            return self._nothing_available(now_ms, has_waited)
        return _best_placement(options)

    def idle_connection(self, now_ms: float, server: ServerQueues) -> ConnectionQueue | None:
        """Returns the most recently used of the connections that have been idle for at least `settle_ms` and
        less than `max_idle_ms`, if any."""
        best: ConnectionQueue | None = None
        for connection in server.connections.values():
            idle_ms = now_ms - connection.idle_since_ms
            is_busy = bool(connection.attempts) or connection.is_connecting
            if is_busy or not self.rules.settle_ms <= idle_ms < self.rules.max_idle_ms:
                continue
            if best is None or connection.idle_since_ms > best.idle_since_ms:
                best = connection
        return best

    def joinable(self, now_ms: float, server: ServerQueues, request: PlacementRequest) -> list[JoinCandidate]:
        """Returns the connections that the attempt may join, those with the fewest attempts first."""
        rules = self.rules
        adaptive_depth = server.depth_limit.attempts() if rules.is_adaptive else request.max_depth
        max_depth = min(rules.max_depth, request.max_depth, adaptive_depth)
        if max_depth < MIN_JOINABLE_DEPTH or server.queued_count() >= rules.max_queued_per_server:
            return []
        if request.retry_by_ms <= now_ms:
            return []
        shortest_first = sorted(
            (len(c.attempts), c.connection_id)
            for c in server.connections.values()
            if 0 < len(c.attempts) < max_depth
        )
        # The bound lies before the attempt's timeout, as two timers due together may fire in either order.
        hold_bound_ms = min(request.retry_by_ms, request.expires_at_ms - TIMER_RESOLUTION_MS)
        found: list[JoinCandidate] = []
        for _, connection_id in shortest_first:
            connection = server.connections[connection_id]
            if self.stalls.is_stalled(now_ms, connection):
                continue
            # The attempts ahead have ended by the hold bound, so this one never times out behind another.
            if self.blocked_until_ms(now_ms, connection, request) <= hold_bound_ms:
                found.append(JoinCandidate(connection, hold_bound_ms))
                if len(found) == MAX_CANDIDATES:
                    break
        return found

    def blocked_until_ms(
        self, now_ms: float, connection: ConnectionQueue, request: PlacementRequest
    ) -> float:
        """Returns the latest time until which attempts on this connection block the new one.

        inf if it must not join. Each attempt ahead, once it is the head, is aborted when it stalls if it may
        still be retried then; otherwise it blocks until its timeout.
        """
        blocked_ms = now_ms
        for attempt in connection.attempts:
            compatibility = self.compatibility.between(attempt.request.class_name, request.class_name)
            if compatibility is Compatibility.NEVER:
                return math.inf
            stalls_at_ms = max(blocked_ms, self.stalls.stalls_at_ms(now_ms, connection, attempt))
            expires_at_ms = attempt.request.expires_at_ms
            may_abort = (
                compatibility is Compatibility.UNTIL_STALL and stalls_at_ms <= attempt.request.retry_by_ms
            )
            blocked_ms = max(blocked_ms, min(expires_at_ms, stalls_at_ms) if may_abort else expires_at_ms)
        return blocked_ms

    def _has_samples(self, now_ms: float, request: PlacementRequest) -> bool:
        """Returns whether there are enough service time samples of the request's class."""
        class_name = request.class_name
        return class_name in self.times.histograms and self.times.has_samples(now_ms, class_name)

    def _nothing_available(self, now_ms: float, has_waited: bool) -> Placement:
        """Returns a WAIT placement, or NONE if the attempt has waited already."""
        if has_waited:
            return Placement(PlacementKind.NONE)
        return Placement(PlacementKind.WAIT, until_ms=now_ms + self.rules.max_wait_ms)

    def _open_option(self, now_ms: float, server: ServerQueues, request: PlacementRequest) -> ScoredPlacement:
        """Scores opening a new connection."""
        expected = self._expected(now_ms, server, request, (), server.connect_ms)
        placement = Placement(PlacementKind.OPEN, 0, 0.0, 0, expected.total_ms, expected.late_ms)
        return ScoredPlacement(_score_ms(expected) + self.rules.open_cost_ms, "a new one", placement)

    def _join_option(
        self, now_ms: float, server: ServerQueues, request: PlacementRequest, candidate: JoinCandidate
    ) -> ScoredPlacement:
        """Scores joining a connection behind its attempts."""
        connection, hold_bound_ms = candidate
        delay_ms = 0.0
        if connection.is_connecting:
            delay_ms = max(0.0, connection.connect_started_ms + server.connect_ms - now_ms)
        ahead = list(connection.attempts)
        expected = self._expected(now_ms, server, request, ahead, delay_ms)
        placement = Placement(
            PlacementKind.JOIN,
            connection.connection_id,
            hold_bound_ms,
            len(ahead),
            expected.total_ms,
            expected.late_ms,
        )
        return ScoredPlacement(_score_ms(expected), f"behind {len(ahead)}", placement)

    def _wait_option(
        self, now_ms: float, server: ServerQueues, request: PlacementRequest
    ) -> ScoredPlacement | None:
        """Scores waiting for a connection that is about to settle; None if there is none in time."""
        rules = self.rules
        if rules.max_wait_ms <= 0:
            return None
        idle_since_times_ms = [
            c.idle_since_ms for c in server.connections.values() if not c.attempts and not c.is_connecting
        ]
        ready_at_ms = min(idle_since_times_ms, default=math.inf) + rules.settle_ms
        if not now_ms < ready_at_ms <= now_ms + rules.max_wait_ms or ready_at_ms >= request.expires_at_ms:
            return None
        expected = self._expected(now_ms, server, request, (), ready_at_ms - now_ms)
        placement = Placement(PlacementKind.WAIT, 0, ready_at_ms, 0, expected.total_ms, expected.late_ms)
        # The penalty: the timer is coarse, and another attempt may take the connection first.
        return ScoredPlacement(_score_ms(expected) + TIMER_RESOLUTION_MS, "a wait", placement)

    def _expected(
        self,
        now_ms: float,
        server: ServerQueues,
        request: PlacementRequest,
        ahead: Sequence[QueuedAttempt],
        delay_ms: float,
    ) -> ExpectedResponse:
        """Returns the expected response time at this server."""
        return expected_response(self.times, now_ms, server.name, request, ahead, delay_ms)


def _score_ms(expected: ExpectedResponse) -> float:
    """Returns the weighted expected time to the response."""
    return expected.total_ms + LATE_WEIGHT * expected.late_ms


def _best_placement(options: list[ScoredPlacement]) -> Placement:
    """Returns the option with the lowest score, the earlier of equal ones, with a note on the second best."""
    ranked = sorted(options, key=lambda option: option.score_ms)
    best = ranked[0].placement
    if len(ranked) > 1:
        difference_ms = ranked[1].score_ms - ranked[0].score_ms
        best = best._replace(runner_up=f"{ranked[1].label} is worse by {difference_ms:.1f} ms")
    return best
