"""An attempt: one request on its way to one server, and its single result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from glenchute.core.types import AttemptResult, ResponseSource
from glenchute.policy.events import Outcome


class CarriedAttempt(Protocol):
    """An attempt on a connection of its own, as its connection needs it.

    `result` is set while the connection closes for it.
    """

    result: AttemptResult | None
    timer: asyncio.TimerHandle | None

    @property
    def on_response_started(self) -> Callable[[ResponseSource], None] | None:
        """Called with the source when a streamed response begins."""

    def stop(self, ending: Outcome) -> None:
        """Ends the attempt with this outcome."""

    def finish(self, result: AttemptResult) -> None:
        """Ends it, once."""


class BaseAttempt:
    """What attempts have in common, whatever kind of connection carries them.

    `payload` makes the command, given the milliseconds that are left. `done` is called once, with the result.
    Not a byte is written after `write_by`. `on_response_started` is called, before `done`, for a response
    that is too long to be buffered. `is_wanted` is called right before the command is written; where it
    returns False it has ended the attempt. Times are the loop's, in seconds.
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
        self.is_written = False  # a byte may have been sent
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Sends the command, or begins to."""
        raise NotImplementedError

    def stop(self, ending: Outcome) -> None:
        """A timeout or a cancellation. The result is reported once the connection is closed."""
        raise NotImplementedError

    def release(self) -> None:
        """Cancels the timers and drops what the attempt refers to."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def finish(self, result: AttemptResult) -> None:
        """Reports the result; further ones are ignored."""
        if self.is_finished:
            return
        self.is_finished = True
        self.release()
        self.done(result)
