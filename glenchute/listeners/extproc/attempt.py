"""An attempt that a proxy makes."""

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
    """An attempt that the proxy makes, from the engine's choice of a server to its one result."""

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
        entry: ProxiedRequest,
        server: str,
        address: Address,
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
    ) -> None:
        self.request, self.server, self.address = entry, server, format_address(address)
        self.timeout_s, self.done, self.write_by = timeout_s, done, write_by
        self.started_at = entry.table.loop.time()
        self.deadline = self.started_at + timeout_s
        self.is_written = False  # the proxy was allowed to send it: it may have run
        self.has_ended = False
        # Never called: values pass through the proxy.
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None  # never called: the proxy writes
        self.stream: UpstreamStream | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Tells the proxy, or waits until it asks."""
        self.timer = self.request.table.loop.call_at(self.deadline, self.stop, Outcome.TIMEOUT)
        self.request.on_attempt_chosen(self)

    def stop(self, why: Outcome) -> None:
        """A timeout or a cancellation. An attempt that was not allowed never will be; one that was is reset,
        as far as a processor can, and no other attempt is allowed before its stream has ended."""
        if self.has_ended:
            return
        stream = self.stream
        self.finish(AttemptResult(why if self.is_written else Outcome.NOT_SENT))
        if stream is not None and stream.abort is not None:
            stream.abort()

    def finish(self, result: AttemptResult) -> None:
        """Reports the one result; later ones are dropped."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.done(result)
