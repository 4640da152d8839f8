"""A request that has been accepted and has no final response yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from .types import Call, FinalResponse, UpstreamAttempt

if TYPE_CHECKING:  # only an operator's file brings routes in
    from glenchute.policy.retries.route_limits import RequestRetries


class ActiveRequest:
    """One accepted request. `deadline` is in seconds of the event loop's clock."""

    __slots__ = (
        "attempt_count",
        "attempts_in_flight",
        "call",
        "deadline",
        "deadline_timer",
        "has_client_left",
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
        has_client_left: Callable[[], bool] | None = None,
    ) -> None:
        """`on_final_response` is called once. `has_client_left` tells whether the client has closed its
        connection, though the listener may not have read that yet."""
        self.request_id = request_id
        self.call = call
        self.deadline = deadline
        self.on_final_response = on_final_response
        self.has_client_left = has_client_left
        self.attempt_count = 0
        self.attempts_in_flight: list[UpstreamAttempt] = []  # two at most, where one is hedged
        self.retries: RequestRetries | None = None  # None: no route limits this request
        self.may_have_run = False
        self.time_to_first_byte_ms: float | None = None  # of a streamed response, from its attempt's start
        self.deadline_timer: asyncio.TimerHandle | None = None

    def may_have_executed(self) -> bool:
        """Whether an attempt may have run at a server, or still may."""
        return self.may_have_run or any(attempt.is_written for attempt in self.attempts_in_flight)
