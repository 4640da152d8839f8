"""envoy.service.ratelimit.v3 over the same quotas: a proxy that only asks "may this account go on?".

The call takes units of the account's quota as a request does, and nothing more follows from it: the server
that the engine chooses is not used, and the attempt ends at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from envoy.service.ratelimit.v3 import rls_pb2

from glenchute.core.active_request import ActiveRequest
from glenchute.core.executor import RequestExecutor
from glenchute.core.types import (
    AttemptContext,
    AttemptResult,
    AttemptTransport,
    Call,
    FinalResponse,
    Rejected,
    ResponseSource,
)
from glenchute.policy.events import Outcome
from glenchute.policy.services.request_mapping import MappedRequest, MappingError, MappingRules, RequestView

RateLimitRequest = rls_pb2.RateLimitRequest
RateLimitResponse = rls_pb2.RateLimitResponse
MAX_DESCRIPTORS = 16
OK = rls_pb2.RateLimitResponse.OK
OVER_LIMIT = rls_pb2.RateLimitResponse.OVER_LIMIT


@dataclass(slots=True)
class RateLimitCall(Call):
    """A call that only asks; it is the transport of its own attempt."""

    gateway: RequestExecutor | None = None
    active_request: ActiveRequest | None = None
    on_admitted: Callable[[], None] | None = None

    def encode(self, left_ms: int) -> bytes:
        """Nothing is sent: the proxy forwards the request itself."""
        return b""

    @property
    def transport(self) -> AttemptTransport | None:
        """What makes the attempts of this call."""
        return self

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        context: AttemptContext | None = None,
    ) -> UntrackedAttempt:
        """The engine admits the call, which is the answer."""
        return UntrackedAttempt(self, done)


class UntrackedAttempt:
    """The attempt of a rate limit call: whoever asked makes it, unseen from here. It ends as cancelled, which
    may have run, so that its units stay taken."""

    def __init__(self, call: RateLimitCall, done: Callable[[AttemptResult], None]) -> None:
        assert call.gateway is not None
        self.call, self.done = call, done
        self.started_at = call.gateway.loop.time()
        self.is_written = False
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None  # nothing is written
        self.has_ended = False

    def start(self) -> None:
        """Reports the admission, and ends."""
        call = self.call
        if call.on_admitted is not None:
            call.on_admitted()
        assert call.gateway is not None
        # In the loop's next round: the live request is known by then also where it was decided at once.
        call.gateway.loop.call_soon(self.withdraw_request)

    def withdraw_request(self) -> None:
        """Ends the request before its attempt, so that the engine looks for no other server."""
        gateway, live = self.call.gateway, self.call.active_request
        if gateway is not None and live is not None:
            gateway.client_disconnected(live)
        self.stop(Outcome.CANCELLED)

    def stop(self, ending: Outcome) -> None:
        """Ends it."""
        if not self.has_ended:
            self.has_ended = True
            self.done(AttemptResult(Outcome.CANCELLED))


class RateLimiter:
    """Answers the calls."""

    def __init__(
        self,
        gateway: RequestExecutor,
        rules: MappingRules,
        domain: str,
        wait_ms: float,
        counts: dict[str, int],
    ) -> None:
        self.gateway, self.rules, self.domain, self.deadline_ms = gateway, rules, domain, wait_ms
        self.counts = counts

    def check(self, message: Any, answer: Callable[[Any], None]) -> Callable[[], None]:
        """Decides one call.

        `answer` gets the response once, now or later; the returned function ends the call early, where the
        proxy disconnects. A call of another domain, or without a descriptor that the rules can read, is
        allowed, as the API has it for limits that nobody configured.
        """
        if message.domain != self.domain or not 0 < len(message.descriptors) <= MAX_DESCRIPTORS:
            answer(build_response([OK] * len(message.descriptors)))
            return lambda: None
        for at, descriptor in enumerate(message.descriptors):
            descriptor_entries = {entry.key: entry.value for entry in descriptor.entries}
            try:
                fields = self.rules.map_request(RequestView({}, descriptors=descriptor_entries))
            except MappingError:
                continue
            return self.check_descriptor(message, at, fields, answer)
        self.counts["ratelimit-unread"] = self.counts.get("ratelimit-unread", 0) + 1
        answer(build_response([OK] * len(message.descriptors)))
        return lambda: None

    def check_descriptor(
        self, message: Any, at: int, fields: MappedRequest, answer: Callable[[Any], None]
    ) -> Callable[[], None]:
        """The quota of one descriptor's account decides the call."""
        codes = [OK] * len(message.descriptors)
        units = fields.units * max(1, message.hits_addend or 1)
        if units > self.rules.max_units:
            codes[at] = OVER_LIMIT
            answer(build_response(codes, at, 0.0))
            return lambda: None
        call = RateLimitCall(
            b"",
            fields.class_name,
            fields.plan,
            fields.account,
            self.deadline_ms,
            units,
            fields.gateway_spread,
            self.gateway,
        )
        has_responded = False

        def respond(response: Any) -> None:
            nonlocal has_responded
            if not has_responded:
                has_responded = True
                answer(response)

        def on_final_response(final: FinalResponse) -> None:
            codes[at] = OVER_LIMIT
            respond(build_response(codes, at, final.retry_after_ms if isinstance(final, Rejected) else 0.0))

        call.on_admitted = lambda: respond(build_response(codes))
        live = call.active_request = self.gateway.accept(call, on_final_response)
        return lambda: self.gateway.client_disconnected(live)


def build_response(codes: list[int], at: int = 0, retry_after_ms: float | None = None) -> Any:
    """A RateLimitResponse. Over the limit it says when to retry, for the descriptor `at`."""
    made = RateLimitResponse(overall_code=OVER_LIMIT if OVER_LIMIT in codes else OK)
    for code in codes:
        made.statuses.add(code=code)
    if retry_after_ms:
        made.statuses[at].duration_until_reset.FromMilliseconds(int(retry_after_ms))
        seconds = str(max(1, -int(-retry_after_ms // 1000)))
        made.response_headers_to_add.add(key="retry-after", value=seconds)
    return made
