"""The shared state of the pipelined upstream: the scheduler, its timer, and the attempts in flight."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from glenchute.policy.connections.pipeline_types import (
    AbortConnection,
    AbortReason,
    HedgeAttempt,
    PipelineAction,
    StopJoining,
)
from glenchute.policy.connections.pipelining import PipelineScheduler
from glenchute.policy.settings import RequestClass

# Keys of `PipelineRuntime.counts`, which appear in the log.
WRITE_COUNT = "writes"
COMMAND_COUNT = "commands"
ABORT_COUNT = "cut"


class WriteLimits(NamedTuple):
    """The most that is written in one batch."""

    max_commands: int = 16
    max_bytes: int = 16 * 1024


class ActiveAttempt(Protocol):
    """The part of an attempt that the scheduler's actions use."""

    def on_blocked(self) -> None:
        """Reports that the attempt is queued behind a stalled head, so that it may be hedged."""

    def abort_connection(self, connection_id: int, reason: AbortReason) -> None:
        """Aborts the connection, whose head this attempt is, for the attempts behind it."""


class PipelineRuntime:
    """Runs the scheduler on an event loop, with one timer for all connections.

    The scheduler's times are the loop's in milliseconds, all others here in seconds.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        scheduler: PipelineScheduler,
        classes: Iterable[RequestClass],
        write_limits: WriteLimits,
    ) -> None:
        self.loop = loop
        self.scheduler = scheduler
        self.classes = {cls.name: cls for cls in classes}
        self.write_limits = write_limits
        self.attempts: dict[int, ActiveAttempt] = {}  # by attempt id
        self.last_attempt_id = 0
        self.counts: Counter[str] = Counter()
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = math.inf

    def now_ms(self) -> float:
        """Returns the loop's time in milliseconds, as the scheduler counts it."""
        return 1000.0 * self.loop.time()

    def new_attempt_id(self) -> int:
        """Assigns an attempt id that is unique within this upstream."""
        self.last_attempt_id += 1
        return self.last_attempt_id

    def schedule_check(self) -> None:
        """Sets the timer to the scheduler's next check, if that is earlier than the timer's time."""
        at = self.scheduler.next_check_ms() / 1000.0
        if at >= self.timer_at or at == math.inf:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = at
        self.timer = self.loop.call_at(at, self._check)

    def _check(self) -> None:
        """Executes the actions that are due, and sets the timer again."""
        self.timer_at, self.timer = math.inf, None
        for action in self.scheduler.check(self.now_ms()):
            self._execute(action)
        self.schedule_check()

    def _execute(self, action: PipelineAction) -> None:
        """Executes one action."""
        match action:
            case StopJoining():
                pass  # the scheduler itself stops placing attempts there
            case HedgeAttempt(attempt_id):
                blocked = self.attempts.get(attempt_id)
                if blocked is not None:
                    blocked.on_blocked()
            case AbortConnection(connection_id, head_id, reason):
                head = self.attempts.get(head_id)
                if head is not None:
                    head.abort_connection(connection_id, reason)

    def close(self) -> None:
        """Cancels the timer, at the end of the process."""
        if self.timer is not None:
            self.timer.cancel()
