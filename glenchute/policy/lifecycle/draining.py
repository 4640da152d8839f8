"""Draining and shutdown: whether a process admits client requests, and when it closes client connections.

One state machine for every way out of service: an operator's drain, SIGTERM, and the replacement by a process
that listens on the same socket. No I/O; times are seconds of one monotonic clock.

Guarantees, each with a property test:

- `is_ready` is true in `Phase.SERVING` alone; a process that shuts down is never ready again.
- No connection is closed before the load balancer in front has had time to notice (`close_delay_s`), as a
  client whose connection is closed earlier reconnects to this process. From then on the idle time after which
  a connection is closed falls to zero within `IDLE_CLOSE_PERIOD_S`, so that connections whose next request is
  farthest away are closed first.
- A request that arrives later than `DRAIN_ADMISSION_S` into a drain is rejected: it could outlast the drain.
- Once the process ends its open requests, every further one is rejected, as nobody would wait for its
  response.
"""

from __future__ import annotations

import math
from enum import Enum

# The load balancer polls readiness every 0.1 s and still sends connections for 0.2 s.
DRAIN_CLOSE_DELAY_S = 0.35
SHUTDOWN_ACCEPT_S = 0.5  # new connections arrive for up to 0.4 s after SIGTERM
IDLE_CLOSE_PERIOD_S = 1.0  # time within which every idle connection is closed
INITIAL_IDLE_LIMIT_S = 0.25  # connections in use are rarely idle for so long
DRAIN_ADMISSION_S = 1.8  # time into a drain for which requests are admitted
# After SIGTERM the platform waits at least for the longest request deadline, of which at most
# `MAX_COUNTED_DEADLINE_S` counts, plus `KILL_DELAY_S` before it kills the process. Every request is answered
# `ANSWER_MARGIN_S` before that.
KILL_DELAY_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
ANSWER_MARGIN_S = 0.25
MIN_IDLE_CLOSE_PERIOD_S = 0.05


def shutdown_grace_s(longest_deadline_s: float) -> float:
    """Returns the grace period: the time after SIGTERM within which every open request is answered."""
    kill_after_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S
    return max(kill_after_s - ANSWER_MARGIN_S, SHUTDOWN_ACCEPT_S + MIN_IDLE_CLOSE_PERIOD_S)


class Phase(Enum):
    """The phases of a process towards its clients. The operations address and PING answer with the values."""

    STARTING = "starting"  # not listening yet
    SERVING = "serving"
    DRAINING = "lame duck"  # still serves; may return to service
    SHUTTING_DOWN = "leaving"


class ProcessLifecycle:
    """Tracks the phase of one process, and what it implies for requests and connections."""

    def __init__(self, longest_deadline_s: float = math.inf) -> None:
        """`longest_deadline_s`: the longest deadline of any request; the time at which the platform kills the
        process depends on it. Idle connections are closed before that, however short the time is."""
        self.shutdown_grace_s = shutdown_grace_s(longest_deadline_s)
        self.idle_close_period_s = min(IDLE_CLOSE_PERIOD_S, self.shutdown_grace_s - SHUTDOWN_ACCEPT_S)
        self.phase = Phase.STARTING
        self.phase_started_at = 0.0
        self.close_delay_s = 0.0  # time from the start of the phase in which no connection is closed
        self.drain_count = 0  # drains so far, reported to operators
        self.has_ended_admission = False

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new clients to this process."""
        return self.phase is Phase.SERVING

    def begin_serving(self, now: float) -> None:
        """Begins service, as the process is listening."""
        if self.phase is Phase.STARTING:
            self._enter(now, Phase.SERVING, 0.0)

    def begin_drain(self, now: float) -> bool:
        """Begins a drain. Returns False, and changes nothing, unless the process is serving: before it
        listens there are no clients to drain."""
        if self.phase is not Phase.SERVING:
            return False
        self.drain_count += 1
        self._enter(now, Phase.DRAINING, DRAIN_CLOSE_DELAY_S)
        return True

    def cancel_drain(self, now: float) -> bool:
        """Ends a drain by a return to service; returns False if no drain was in progress."""
        if self.phase is not Phase.DRAINING:
            return False
        self._enter(now, Phase.SERVING, 0.0)
        return True

    def begin_shutdown(self, now: float, replaced: bool) -> None:
        """Begins the graceful shutdown. `replaced`: the listening socket stays open in another process, which
        accepts clients that reconnect. If connections are already being closed for a drain, that
        continues."""
        if self.phase is Phase.SHUTTING_DOWN:
            return
        was_closing = self.phase is Phase.DRAINING and now - self.phase_started_at >= self.close_delay_s
        self._enter(now, Phase.SHUTTING_DOWN, 0.0 if replaced or was_closing else SHUTDOWN_ACCEPT_S)

    def end_admission(self) -> None:
        """Ends the admission of requests for good: the process is about to end its open requests and exits
        without waiting for later ones."""
        self.has_ended_admission = True

    def _enter(self, now: float, phase: Phase, close_delay_s: float) -> None:
        self.phase, self.phase_started_at, self.close_delay_s = phase, now, close_delay_s

    # --- effects on connections and requests --------------------------------------------------------------

    @property
    def is_closing_connections(self) -> bool:
        """Whether connections are being closed, or will be once the load balancer has noticed."""
        return self.phase in (Phase.DRAINING, Phase.SHUTTING_DOWN)

    def closes_after_response(self, now: float) -> bool:
        """Returns whether a connection is closed after the last of its pending responses."""
        return self.is_closing_connections and now - self.phase_started_at >= self.close_delay_s

    def idle_limit_s(self, now: float) -> float:
        """Returns the idle time after which a connection without an open request is closed; inf: none is
        closed."""
        if not self.closes_after_response(now):
            return math.inf
        elapsed_share = (now - self.phase_started_at - self.close_delay_s) / self.idle_close_period_s
        return INITIAL_IDLE_LIMIT_S * max(0.0, 1.0 - elapsed_share)

    def admits_requests(self, now: float) -> bool:
        """Returns whether a request that arrives now is admitted: not after `DRAIN_ADMISSION_S` of a drain,
        and not after `end_admission`. In every other case it is, also during shutdown, as it is still
        answered within `shutdown_grace_s`."""
        if self.has_ended_admission:
            return False
        return self.phase is not Phase.DRAINING or now - self.phase_started_at < DRAIN_ADMISSION_S
