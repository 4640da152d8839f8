"""Whether a process admits client requests, and when it closes the connections of its clients.

One state machine for every way out of service: the operators' drain, SIGTERM, and the replacement by a
process that listens on the same socket. No I/O; times are seconds of one monotonic clock.

Guarantees, each with a property test:

- `is_ready` holds in `Phase.SERVING` alone; a process that shuts down is never ready again.
- No connection is closed before the load balancer in front has had the time to notice (`settle_s`), as a
  connection closed earlier is reopened here. From then on the idle time after which a connection is closed
  falls to zero within `IDLE_CLOSE_PERIOD_S`, so that those whose next request is farthest away go first.
- A request later than `DRAIN_ADMISSION_S` into a drain is rejected: it could outlive the drain.
"""

from __future__ import annotations

import math
from enum import Enum

DRAIN_SETTLE_S = 0.35  # the front polls readiness every 0.1 s and still sends connections for 0.2 s
SHUTDOWN_ACCEPT_S = 0.5  # after SIGTERM new connections arrive for up to 0.4 s
IDLE_CLOSE_PERIOD_S = 1.0  # within this, every idle connection is closed
INITIAL_IDLE_LIMIT_S = 0.25  # connections in use are hardly ever idle for so long
DRAIN_ADMISSION_S = 1.8
# The platform kills the process no sooner after SIGTERM than the longest deadline, of which
# `MAX_COUNTED_DEADLINE_S` counts at most, and `KILL_DELAY_S`. All is answered `ANSWER_MARGIN_S` before.
KILL_DELAY_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
ANSWER_MARGIN_S = 0.25
MIN_IDLE_CLOSE_PERIOD_S = 0.05


def shutdown_grace_s(longest_deadline_s: float) -> float:
    """The grace period: from SIGTERM to the moment at which every open request has been answered."""
    kill_after_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S
    return max(kill_after_s - ANSWER_MARGIN_S, SHUTDOWN_ACCEPT_S + MIN_IDLE_CLOSE_PERIOD_S)


class Phase(Enum):
    """What a process is to its clients. The values are what the operations address and PING answer."""

    STARTING = "starting"  # the listener is not up
    SERVING = "serving"
    DRAINING = "lame duck"  # still serving; may return to service
    SHUTTING_DOWN = "leaving"


class ProcessLifecycle:
    """The phases of one process."""

    def __init__(self, longest_deadline_s: float = math.inf) -> None:
        """`longest_deadline_s`: of any request, from which follows how soon the platform kills the process.
        Idle connections are closed before that, however short it is."""
        self.shutdown_grace_s = shutdown_grace_s(longest_deadline_s)
        self.idle_close_period_s = min(IDLE_CLOSE_PERIOD_S, self.shutdown_grace_s - SHUTDOWN_ACCEPT_S)
        self.phase = Phase.STARTING
        self.phase_started_at = 0.0
        self.settle_s = 0.0  # after the start of the phase, no connection is closed for so long
        self.drain_count = 0  # reported to the operators

    @property
    def is_ready(self) -> bool:
        """Whether new clients may be sent here."""
        return self.phase is Phase.SERVING

    def begin_serving(self, now: float) -> None:
        """The listener is up."""
        if self.phase is Phase.STARTING:
            self._enter(now, Phase.SERVING, 0.0)

    def begin_drain(self, now: float) -> bool:
        """Begins a drain; False where that changes nothing. Before the listener is up there are no clients to
        drain."""
        if self.phase is not Phase.SERVING:
            return False
        self.drain_count += 1
        self._enter(now, Phase.DRAINING, DRAIN_SETTLE_S)
        return True

    def cancel_drain(self, now: float) -> bool:
        """Returns to service; False where no drain was in progress."""
        if self.phase is not Phase.DRAINING:
            return False
        self._enter(now, Phase.SERVING, 0.0)
        return True

    def begin_shutdown(self, now: float, replaced: bool) -> None:
        """Begins the graceful shutdown. `replaced`: the listening socket stays open in another process, so a
        client that reconnects is accepted there. A drain that the front has noticed continues as it is."""
        if self.phase is Phase.SHUTTING_DOWN:
            return
        has_settled = self.phase is Phase.DRAINING and now - self.phase_started_at >= self.settle_s
        self._enter(now, Phase.SHUTTING_DOWN, 0.0 if replaced or has_settled else SHUTDOWN_ACCEPT_S)

    def _enter(self, now: float, phase: Phase, settle_s: float) -> None:
        self.phase, self.phase_started_at, self.settle_s = phase, now, settle_s

    # --- consequences for connections and requests -------------------------------------------------------

    @property
    def is_closing_connections(self) -> bool:
        """Whether connections are being closed, or will be once the front has noticed."""
        return self.phase in (Phase.DRAINING, Phase.SHUTTING_DOWN)

    def closes_after_response(self, now: float) -> bool:
        """Whether a connection is closed behind its last response."""
        return self.is_closing_connections and now - self.phase_started_at >= self.settle_s

    def idle_limit_s(self, now: float) -> float:
        """The idle time from which a connection without an open request is closed; inf: none is."""
        if not self.closes_after_response(now):
            return math.inf
        elapsed_share = (now - self.phase_started_at - self.settle_s) / self.idle_close_period_s
        return INITIAL_IDLE_LIMIT_S * max(0.0, 1.0 - elapsed_share)

    def admits_requests(self, now: float) -> bool:
        """Whether a request that arrives now is admitted: not from `DRAIN_ADMISSION_S` into a drain on. In
        every other phase yes, also while shutting down, as it is still answered within `shutdown_grace_s`."""
        return self.phase is not Phase.DRAINING or now - self.phase_started_at < DRAIN_ADMISSION_S
