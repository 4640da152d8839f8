"""The typed interface of pipelining: rules, placement requests and results, actions. Times are
milliseconds."""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

from ..settings import Idempotency, RequestClass

TIMER_RESOLUTION_MS = 2.0
IDEMPOTENCY_MARGIN_MS = 10.0  # of its window that a retry of a keyed request needs
UNLIMITED_DEPTH = 1 << 30


class PipelineRules(NamedTuple):
    """The limits of pipelining: the operator's, with the platform's connection age and hedging setting."""

    max_depth: int = 4  # attempts on one connection, the head included
    max_queued_per_server: int = 8  # attempts behind others
    max_wait_ms: float = 5.0  # that an attempt waits for a connection
    settle_ms: float = 30.0  # that a connection rests after its last reply
    max_idle_ms: float = 11_000.0  # after which a connection is not used again
    # A head is stalled after `stall_factor` times this quantile of its class's service time, and at least
    # `min_stall_ms`.
    stall_quantile: float = 0.95
    stall_factor: float = 2.0
    min_stall_ms: float = 10.0
    open_cost_ms: float = 2.0  # charged for a new connection, besides the time that it takes
    may_hedge: bool = False
    is_adaptive: bool = True  # whether the depth limit follows the replies, below `max_depth`


class PlacementRequest(NamedTuple):
    """An attempt that needs a connection.

    `expires_at_ms`: its timeout. `objective_at_ms`: the latency objective of its request. `retry_by_ms`: if
    its connection is aborted by then its request may be retried; -inf if it may not at all. `max_depth`: its
    route's limit.
    """

    class_name: str
    expires_at_ms: float
    objective_at_ms: float
    retry_by_ms: float
    max_depth: int = UNLIMITED_DEPTH


def placement_request(
    request_class: RequestClass,
    mean_ms: float,
    started_at_ms: float,
    expires_at_ms: float,
    received_at_ms: float,
    deadline_ms: float,
    write_by_ms: float,
    may_retry: bool,
    max_depth: int = UNLIMITED_DEPTH,
) -> PlacementRequest:
    """The placement request of an attempt that starts now.

    `received_at_ms`, `deadline_ms`: of its request. `may_retry`: whether the limits on attempts and routes
    allow another one; it is useful for as long as `DecisionEngine.may_repeat` thinks so. `write_by_ms`: the
    end of the idempotency window; inf when nothing was sent yet.
    """
    objective_at_ms = received_at_ms + request_class.latency_objective_ms
    has_late_value = request_class.late_weight_fraction > 0
    useful_until_ms = deadline_ms if has_late_value else min(deadline_ms, objective_at_ms)
    retry_by_ms = useful_until_ms - max(TIMER_RESOLUTION_MS, mean_ms)
    if request_class.idempotency is Idempotency.WITH_KEY:
        # An aborted attempt may have run from its first byte on: its retry has to start in the same window.
        window_end_ms = started_at_ms + request_class.idempotency_window_ms - IDEMPOTENCY_MARGIN_MS
        retry_by_ms = min(retry_by_ms, write_by_ms - TIMER_RESOLUTION_MS, window_end_ms)
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT or not may_retry:
        retry_by_ms = -math.inf
    return PlacementRequest(request_class.name, expires_at_ms, objective_at_ms, retry_by_ms, max_depth)


class PlacementKind(Enum):
    """Where an attempt goes. The values appear in the log."""

    IDLE = "idle"  # on a connection without other attempts
    JOIN = "join"  # behind others
    OPEN = "open"  # on a new connection
    WAIT = "wait"  # nowhere yet: place it again by `until_ms`, or when a connection frees
    NONE = "none"  # no connection is available: it has not run


class Placement(NamedTuple):
    """Where an attempt goes. `connection_id` is a new one where a connection is to be opened."""

    kind: PlacementKind
    connection_id: int = 0
    until_ms: float = (
        0.0  # WAIT: place it again by then; JOIN: it is the head or its connection closed by then
    )
    attempts_ahead: int = 0
    expected_ms: float = 0.0  # to the response
    expected_late_ms: float = 0.0  # of these, after the latency objective
    runner_up: str = ""  # the second best option, and by how much it is worse

    def describe(self, now_ms: float) -> str:
        """For the log and for ``replay --explain``."""
        if self.kind is PlacementKind.JOIN:
            text = (
                f"joins line {self.connection_id} behind {self.attempts_ahead}, "
                f"held {self.until_ms - now_ms:.0f} ms at most"
            )
        elif self.kind is PlacementKind.OPEN:
            text = f"opens line {self.connection_id}"
        elif self.kind is PlacementKind.IDLE:
            text = f"takes idle line {self.connection_id}"
        elif self.kind is PlacementKind.WAIT:
            text = f"waits {self.until_ms - now_ms:.0f} ms at most"
        else:
            text = "finds no connection"
        if self.expected_ms:
            text += f"; expected {self.expected_ms:.1f} ms, {self.expected_late_ms:.1f} past its aim"
        return f"{text}; {self.runner_up}" if self.runner_up else text


class AbortReason(Enum):
    """Why a connection is aborted for the attempts that are queued on it."""

    STALL = "stall"  # the head is stalled, and unlikely to finish soon
    HOLD_BOUND = "bound"  # a queued attempt can't wait longer


class StopJoining(NamedTuple):
    """The head of this connection is stalled: no attempt is queued on it any more."""

    connection_id: int
    head_id: int


class AbortConnection(NamedTuple):
    """Close this connection now for the sake of those behind its head, which ends as reset like the
    others."""

    connection_id: int
    head_id: int
    reason: AbortReason


class HedgeAttempt(NamedTuple):
    """This attempt is queued behind a stalled head: a hedged request is useful, where allowed."""

    attempt_id: int


PipelineAction = StopJoining | AbortConnection | HedgeAttempt
