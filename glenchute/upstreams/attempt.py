"""An attempt: one request on its way to one server, and its single result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from glenchute.core.types import Result, Source
from glenchute.policy.events import Outcome


class CarriedAttempt(Protocol):
    """An attempt on a connection of its own, as its connection needs it.

    `result` is set while the connection closes for it.
    """

    result: Result | None
    timer: asyncio.TimerHandle | None

    @property
    def began(self) -> Callable[[Source], None] | None: ...

    def stop(self, ending: Outcome) -> None: ...

    def finish(self, result: Result) -> None: ...


class UpstreamAttempt:
    """What attempts have in common, whatever kind of connection carries them.

    `payload` makes the command, given the milliseconds that are left. `done` is called once, with the result.
    Not a byte is written after `write_by`. `began` is called, before `done`, for a response that is too long
    to be buffered. `wanted` is called right before the command is written; where it returns False it has
    ended the attempt. Times are the loop's, in seconds.
    """

    __slots__ = (
        "began",
        "done",
        "expires_at",
        "is_finished",
        "payload",
        "started",
        "timer",
        "wanted",
        "write_by",
        "written",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[Result], None],
        write_by: float,
    ) -> None:
        self.payload = payload
        self.done = done
        self.began: Callable[[Source], None] | None = None
        self.wanted: Callable[[], bool] | None = None
        self.started = loop.time()
        self.expires_at = self.started + timeout_s
        self.write_by = write_by
        self.is_finished = False
        self.written = False  # a byte may have been sent
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

    def finish(self, result: Result) -> None:
        """Reports the result; further ones are ignored."""
        if self.is_finished:
            return
        self.is_finished = True
        self.release()
        self.done(result)
