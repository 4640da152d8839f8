"""Serves envoy.service.ratelimit.v3 from the same quotas, for proxies that only ask whether an account's
request is within its quota.

A rate limit call takes units of the account's quota as a request does. Nothing is sent to the server that
the engine chooses, and the call's attempt ends at once.
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
    """A call that only takes quota; it is the transport of its own attempt."""

    gateway: RequestExecutor | None = None
    active_request: ActiveRequest | None = None
    on_admitted: Callable[[], None] | None = None

    def encode(self, left_ms: int) -> bytes:
        """Returns no bytes: the proxy forwards the request itself."""
        return b""

    @property
    def transport(self) -> AttemptTransport | None:
        """Returns the transport that makes the attempts of this call."""
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
        """Creates the attempt with which the engine admits the call: starting it reports the admission."""
        return UntrackedAttempt(self, done)


class UntrackedAttempt:
    """The attempt of a rate limit call. The proxy forwards the request without the gateway seeing it, so the
    attempt ends as cancelled: a cancelled attempt may have run, and its units stay taken."""

    def __init__(self, call: RateLimitCall, done: Callable[[AttemptResult], None]) -> None:
        assert call.gateway is not None
        self.call, self.done = call, done
        self.started_at = call.gateway.loop.time()
        self.is_written = False
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None  # never called: nothing is written
        self.has_ended = False

    def start(self) -> None:
        """Reports the admission and schedules the end of the request."""
        call = self.call
        if call.on_admitted is not None:
            call.on_admitted()
        assert call.gateway is not None
        # Deferred to the loop's next iteration: `active_request` is set by then, even if the executor has
        # decided within `accept`.
        call.gateway.loop.call_soon(self.withdraw_request)

    def withdraw_request(self) -> None:
        """Ends the request before its attempt, so that the engine does not choose another server."""
        gateway, active_request = self.call.gateway, self.call.active_request
        if gateway is not None and active_request is not None:
            gateway.client_disconnected(active_request)
        self.stop(Outcome.CANCELLED)

    def stop(self, outcome: Outcome) -> None:
        """Ends the attempt, always as cancelled."""
        if not self.has_ended:
            self.has_ended = True
            self.done(AttemptResult(Outcome.CANCELLED))


class RateLimiter:
    """Decides rate limit calls for one domain."""

    def __init__(
        self,
        gateway: RequestExecutor,
        rules: MappingRules,
        domain: str,
        deadline_ms: float,
        counts: dict[str, int],
    ) -> None:
        self.gateway, self.rules, self.domain, self.deadline_ms = gateway, rules, domain, deadline_ms
        self.counts = counts

    def check(self, message: Any, send_response: Callable[[Any], None]) -> Callable[[], None]:
        """Decides one call and returns a function that ends it early, for a proxy that disconnects.

        `send_response` gets the response once, now or later. A call for another domain, or without a
        descriptor that the rules can read, is allowed, as the API defines it for limits that are not
        configured.
        """
        if message.domain != self.domain or not 0 < len(message.descriptors) <= MAX_DESCRIPTORS:
            send_response(build_response([OK] * len(message.descriptors)))
            return lambda: None
        for index, descriptor in enumerate(message.descriptors):
            descriptor_entries = {entry.key: entry.value for entry in descriptor.entries}
            try:
                fields = self.rules.map_request(RequestView({}, descriptors=descriptor_entries))
            except MappingError:
                continue
            return self.check_descriptor(message, index, fields, send_response)
        self.counts["ratelimit-unread"] = self.counts.get("ratelimit-unread", 0) + 1
        send_response(build_response([OK] * len(message.descriptors)))
        return lambda: None

    def check_descriptor(
        self, message: Any, index: int, fields: MappedRequest, send_response: Callable[[Any], None]
    ) -> Callable[[], None]:
        """Decides a call by the quota of one descriptor's account. Returns what `check` returns."""
        codes = [OK] * len(message.descriptors)
        units = fields.units * max(1, message.hits_addend or 1)
        if units > self.rules.max_units:
            codes[index] = OVER_LIMIT
            send_response(build_response(codes, index, 0.0))
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
                send_response(response)

        def on_final_response(final_response: FinalResponse) -> None:
            codes[index] = OVER_LIMIT
            respond(
                build_response(
                    codes,
                    index,
                    final_response.retry_after_ms if isinstance(final_response, Rejected) else 0.0,
                )
            )

        call.on_admitted = lambda: respond(build_response(codes))
        active_request = call.active_request = self.gateway.accept(call, on_final_response)
        return lambda: self.gateway.client_disconnected(active_request)


def build_response(codes: list[int], index: int = 0, retry_after_ms: float | None = None) -> Any:
    """Builds a RateLimitResponse. `retry_after_ms`, if given and not 0, is set for the descriptor `index` and
    as the header retry-after."""
    response = RateLimitResponse(overall_code=OVER_LIMIT if OVER_LIMIT in codes else OK)
    for code in codes:
        response.statuses.add(code=code)
    if retry_after_ms:
        response.statuses[index].duration_until_reset.FromMilliseconds(int(retry_after_ms))
        seconds = str(max(1, -int(-retry_after_ms // 1000)))
        response.response_headers_to_add.add(key="retry-after", value=seconds)
    return response
