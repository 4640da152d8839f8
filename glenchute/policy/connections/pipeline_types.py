"""The types of the pipelining interface: rules, placement requests, placements and actions. Times are in
milliseconds."""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

from ..settings import Idempotency, RequestClass

TIMER_RESOLUTION_MS = 2.0
IDEMPOTENCY_MARGIN_MS = 10.0  # a keyed request is not retried this close to the end of its window
UNLIMITED_DEPTH = 1 << 30


class PipelineRules(NamedTuple):
    """The limits of pipelining, from the operator's file, plus the platform's connection age and hedging."""

    max_depth: int = 4  # maximum attempts on one connection, including the head
    max_queued_per_server: int = 8  # maximum attempts that are queued behind others
    max_wait_ms: float = 5.0  # how long an attempt may wait for a connection
    settle_ms: float = 30.0  # minimum idle time after the last reply before a connection is reused
    max_idle_ms: float = 11_000.0  # a connection that was idle for longer is not reused
    # A head counts as stalled after `stall_factor` times this quantile of its class's service time, but not
    # before `min_stall_ms`.
    stall_quantile: float = 0.95
    stall_factor: float = 2.0
    min_stall_ms: float = 10.0
    open_cost_ms: float = 2.0  # score penalty for a new connection, in addition to its connect time
    may_hedge: bool = False
    is_adaptive: bool = True  # whether the depth limit adapts to the replies, up to `max_depth`


class PlacementRequest(NamedTuple):
    """An attempt that needs a connection.

    `expires_at_ms`: when it times out. `objective_at_ms`: when the latency objective of its request is
    missed. `retry_by_ms`: the request may still be retried if the connection is aborted by then; -inf if it
    may not be retried at all. `max_depth`: the limit of its route.
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
    """Returns the placement request of an attempt that starts at `started_at_ms`.

    `received_at_ms`, `deadline_ms`: those of its request. `may_retry`: whether the limits on attempts and
    routes allow another attempt; a retry is useful while its response still has a value (as in
    `retry_policy.useful_until_ms`). `write_by_ms`: end of the idempotency window; inf if nothing was sent
    yet.
    """
    objective_at_ms = received_at_ms + request_class.latency_objective_ms
    has_late_value = request_class.late_weight_fraction > 0
    useful_until_ms = deadline_ms if has_late_value else min(deadline_ms, objective_at_ms)
    retry_by_ms = useful_until_ms - max(TIMER_RESOLUTION_MS, mean_ms)
    if request_class.idempotency is Idempotency.WITH_KEY:
        # An attempt may have run once its first byte was sent: after an abort, its retry must start within
        # the same idempotency window.
        window_end_ms = started_at_ms + request_class.idempotency_window_ms - IDEMPOTENCY_MARGIN_MS
        retry_by_ms = min(retry_by_ms, write_by_ms - TIMER_RESOLUTION_MS, window_end_ms)
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT or not may_retry:
        retry_by_ms = -math.inf
    return PlacementRequest(request_class.name, expires_at_ms, objective_at_ms, retry_by_ms, max_depth)


class PlacementKind(Enum):
    """Where an attempt is placed. The values appear in the log."""

    IDLE = "idle"  # on a connection without other attempts
    JOIN = "join"  # on a connection behind other attempts
    OPEN = "open"  # on a new connection
    WAIT = "wait"  # not yet: place it again at `until_ms`, or earlier if a connection becomes free
    NONE = "none"  # no connection is available; the attempt has not run


class Placement(NamedTuple):
    """Where an attempt is placed. For OPEN, `PipelineScheduler.place` assigns the new `connection_id`."""

    kind: PlacementKind
    connection_id: int = 0
    # WAIT: when to place the attempt again. JOIN: its hold bound, by which it is the head or the connection
    # is closed.
    until_ms: float = 0.0
    attempts_ahead: int = 0
    expected_ms: float = 0.0  # expected time to the response
    expected_late_ms: float = 0.0  # the part of `expected_ms` that lies after the latency objective
    runner_up: str = ""  # describes the second best option and its score difference

    def describe(self, now_ms: float) -> str:
        """Returns a description for the log and for ``replay --explain``."""
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
    """Why a connection is aborted for the sake of its queued attempts."""

    STALL = "stall"  # the head is stalled, and unlikely to finish soon
    HOLD_BOUND = "bound"  # a queued attempt has reached its hold bound


class StopJoining(NamedTuple):
    """The head of this connection is stalled: no further attempt is queued on it."""

    connection_id: int
    head_id: int


class AbortConnection(NamedTuple):
    """Close this connection now for the sake of its queued attempts.

    The head ends as reset like the others.
    """

    connection_id: int
    head_id: int
    reason: AbortReason


class HedgeAttempt(NamedTuple):
    """This attempt is queued behind a stalled head: send a hedged request if that is allowed."""

    attempt_id: int


PipelineAction = StopJoining | AbortConnection | HedgeAttempt
