"""A request that has been accepted and has no final response yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from .types import Call, FinalResponse, UpstreamAttempt

if TYPE_CHECKING:  # at run time it is imported only for an operator's file, as only that has routes
    from glenchute.policy.retries.route_limits import RequestRetries


class ActiveRequest:
    """One accepted request. `deadline`: seconds of the event loop's clock."""

    __slots__ = (
        "attempt_count",
        "attempts_in_flight",
        "call",
        "deadline",
        "deadline_timer",
        "has_client_disconnected",
        "may_have_run",
        "on_final_response",
        "request_id",
        "retries",
        "time_to_first_byte_ms",
    )

    def __init__(
        self,
        request_id: str,
        call: Call,
        deadline: float,
        on_final_response: Callable[[FinalResponse], None],
        has_client_disconnected: Callable[[], bool] | None = None,
    ) -> None:
        """Creates a request. `on_final_response` is called once. `has_client_disconnected` returns whether
        the client has closed its connection, even if the listener has not processed the close yet."""
        self.request_id = request_id
        self.call = call
        self.deadline = deadline
        self.on_final_response = on_final_response
        self.has_client_disconnected = has_client_disconnected
        self.attempt_count = 0
        self.attempts_in_flight: list[UpstreamAttempt] = []  # at most two: the first and a hedged one
        self.retries: RequestRetries | None = None  # None if no route applies to this request
        self.may_have_run = False
        # Set once a streamed response has begun; measured from the start of its attempt.
        self.time_to_first_byte_ms: float | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None

    def may_have_executed(self) -> bool:
        """Returns whether an attempt may have run at a server or may still run."""
        return self.may_have_run or any(attempt.is_written for attempt in self.attempts_in_flight)
