"""Attempts: one request sent to one server, with exactly one result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from glenchute.core.types import AttemptResult, ResponseSource
from glenchute.policy.events import Outcome


class CarriedAttempt(Protocol):
    """The part of an attempt that its connection uses, where the connection carries one attempt at a time.

    `result` is set once the outcome is known but is reported only when the connection has closed.
    """

    result: AttemptResult | None
    timer: asyncio.TimerHandle | None

    @property
    def on_response_started(self) -> Callable[[ResponseSource], None] | None:
        """The callback that receives the source of a streamed response; None: values are not streamed."""

    def stop(self, outcome: Outcome) -> None:
        """Ends the attempt early with this outcome."""

    def finish(self, result: AttemptResult) -> None:
        """Reports the result; further results are ignored."""


class BaseAttempt:
    """The common base of attempts on exclusive and on pipelined connections.

    `payload` encodes the command, given the remaining time in milliseconds. `done` is called once, with the
    result. No byte is written after `write_by`. `on_response_started` is called before `done` for a response
    that is too long to be buffered. `is_wanted` is called right before the command is written; if it returns
    False, it has already ended the attempt. All times are loop times, in seconds.
    """

    __slots__ = (
        "done",
        "expires_at",
        "is_finished",
        "is_wanted",
        "is_written",
        "on_response_started",
        "payload",
        "started_at",
        "timer",
        "write_by",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
    ) -> None:
        self.payload = payload
        self.done = done
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None
        self.started_at = loop.time()
        self.expires_at = self.started_at + timeout_s
        self.write_by = write_by
        self.is_finished = False
        self.is_written = False  # a byte may have been sent, so the request may have run
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Sends the command, or begins to open a connection for it."""
        raise NotImplementedError

    def stop(self, outcome: Outcome) -> None:
        """Ends the attempt at a timeout or a cancellation.

        Where something was written, the result is reported once the connection is closed.
        """
        raise NotImplementedError

    def release(self) -> None:
        """Cancels the timers and drops references to the connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def finish(self, result: AttemptResult) -> None:
        """Reports the result; further results are ignored."""
        if self.is_finished:
            return
        self.is_finished = True
        self.release()
        self.done(result)
