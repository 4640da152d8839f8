"""An attempt that a proxy makes for a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from glenchute.core.types import Address, AttemptResult, ResponseSource
from glenchute.policy.events import Outcome

from .responses import format_address

if TYPE_CHECKING:
    from .request import ProxiedRequest
    from .streams import UpstreamStream


class ProxiedAttempt:
    """An attempt that the proxy makes, from the engine's choice of a server to its result, which is reported
    once."""

    __slots__ = (
        "address",
        "deadline",
        "done",
        "has_ended",
        "is_wanted",
        "is_written",
        "on_response_started",
        "request",
        "server",
        "started_at",
        "stream",
        "timeout_s",
        "timer",
        "write_by",
    )

    def __init__(
        self,
        request: ProxiedRequest,
        server: str,
        address: Address,
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
    ) -> None:
        self.request, self.server, self.address = request, server, format_address(address)
        self.timeout_s, self.done, self.write_by = timeout_s, done, write_by
        self.started_at = request.table.loop.time()
        self.deadline = self.started_at + timeout_s
        self.is_written = False  # the proxy has been allowed to send it, so it may have run
        self.has_ended = False
        # The two callbacks of `UpstreamAttempt` are never called: the proxy sends the request and forwards
        # the response itself.
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None
        self.stream: UpstreamStream | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts the timeout and tells the proxy of the chosen server, or waits until the proxy asks."""
        self.timer = self.request.table.loop.call_at(self.deadline, self.stop, Outcome.TIMEOUT)
        self.request.on_attempt_chosen(self)

    def stop(self, outcome: Outcome) -> None:
        """Ends the attempt early, after a timeout or a cancellation.

        An attempt that the proxy was not allowed to send yet is never allowed. If it was allowed, its stream
        is aborted, which is all that a processor can do to reset it; no other attempt is allowed before that
        stream has ended.
        """
        if self.has_ended:
            return
        stream = self.stream
        self.finish(AttemptResult(outcome if self.is_written else Outcome.NOT_SENT))
        if stream is not None and stream.abort is not None:
            stream.abort()

    def finish(self, result: AttemptResult) -> None:
        """Reports the result; only the first call has an effect."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.done(result)
