"""envoy.service.ratelimit.v3 over the same quotas: a proxy that only asks "may this account go on?".

The call takes units of the account's quota as a request does. Nothing more is learned of it: no node is
chosen that counts, and the attempt that the module decides on ends as never sent at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from envoy.service.ratelimit.v3 import rls_pb2

from glenchute.core.gateway import ActiveRequest, RequestExecutor
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
from glenchute.policy.services.request_mapping import MappingError, Rules, View

RateLimitRequest = rls_pb2.RateLimitRequest
RateLimitResponse = rls_pb2.RateLimitResponse
MOST_DESCRIPTORS = 16
OK = rls_pb2.RateLimitResponse.OK
OVER = rls_pb2.RateLimitResponse.OVER_LIMIT


@dataclass(slots=True)
class Question(Call):
    """A call that only asks; its own carrier."""

    gateway: RequestExecutor | None = None
    live: ActiveRequest | None = None
    admitted: Callable[[], None] | None = None

    def encode(self, left_ms: int) -> bytes:
        return b""

    @property
    def transport(self) -> AttemptTransport | None:
        return self

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        about: AttemptContext | None = None,
    ) -> Elsewhere:
        """The module lets it go on: that is the answer."""
        return Elsewhere(self, done)


class Elsewhere:
    """The attempt of a question: whoever asked makes it, and nobody here hears what became of it. It ends as
    called off, which may have run, so that its units stay taken."""

    def __init__(self, question: Question, done: Callable[[AttemptResult], None]) -> None:
        assert question.gateway is not None
        self.question, self.done = question, done
        self.started_at = question.gateway.loop.time()
        self.is_written = False
        self.on_response_started: Callable[[ResponseSource], None] | None = None
        self.is_wanted: Callable[[], bool] | None = None  # nothing is written
        self.over = False

    def start(self) -> None:
        """Says yes, and ends."""
        question = self.question
        if question.admitted is not None:
            question.admitted()
        assert question.gateway is not None
        # In the loop's next round: the live request is known by then also where it was decided at once.
        question.gateway.loop.call_soon(self.leave)

    def leave(self) -> None:
        """The request is over before its attempt ends, so that the module looks for no other node."""
        gateway, live = self.question.gateway, self.question.live
        if gateway is not None and live is not None:
            gateway.client_disconnected(live)
        self.stop(Outcome.CANCELLED)

    def stop(self, ending: Outcome) -> None:
        """Ends it."""
        if not self.over:
            self.over = True
            self.done(AttemptResult(Outcome.CANCELLED))


class Limiter:
    """Answers the calls."""

    def __init__(
        self, gateway: RequestExecutor, rules: Rules, domain: str, wait_ms: float, counts: dict[str, int]
    ) -> None:
        self.gateway, self.rules, self.domain, self.wait_ms = gateway, rules, domain, wait_ms
        self.counts = counts

    def ask(self, message: Any, answer: Callable[[Any], None]) -> Callable[[], None]:
        """Decides one call; `answer` gets the response once, now or later. What is returned ends the call
        early, where the proxy leaves. A call of another domain, or without a descriptor that the rules can
        read, is not ours to limit: it is let through, as the API has it for limits that nobody configured."""
        if message.domain != self.domain or not 0 < len(message.descriptors) <= MOST_DESCRIPTORS:
            answer(response([OK] * len(message.descriptors)))
            return lambda: None
        for at, descriptor in enumerate(message.descriptors):
            told = {entry.key: entry.value for entry in descriptor.entries}
            try:
                fields = self.rules.fields(View({}, descriptors=told))
            except MappingError:
                continue
            return self.decide(message, at, fields, answer)
        self.counts["ratelimit-unread"] = self.counts.get("ratelimit-unread", 0) + 1
        answer(response([OK] * len(message.descriptors)))
        return lambda: None

    def decide(self, message: Any, at: int, fields: Any, answer: Callable[[Any], None]) -> Callable[[], None]:
        """One descriptor is an account's: its quota decides."""
        codes = [OK] * len(message.descriptors)
        units = fields.units * max(1, message.hits_addend or 1)
        if units > self.rules.most_units:
            codes[at] = OVER
            answer(response(codes, at, 0.0))
            return lambda: None
        question = Question(
            b"", fields.class_name, fields.plan, fields.account, self.wait_ms, units, fields.spread,
            self.gateway,
        )  # fmt: skip
        said = False

        def say(made: Any) -> None:
            nonlocal said
            if not said:
                said = True
                answer(made)

        def final(given: FinalResponse) -> None:
            codes[at] = OVER
            say(response(codes, at, given.retry_after_ms if isinstance(given, Rejected) else 0.0))

        question.admitted = lambda: say(response(codes))
        live = question.live = self.gateway.accept(question, final)
        return lambda: self.gateway.client_disconnected(live)


def response(codes: list[int], at: int = 0, retry_after_ms: float | None = None) -> Any:
    """A RateLimitResponse; over the limit it says when to come again."""
    made = RateLimitResponse(overall_code=OVER if OVER in codes else OK)
    for code in codes:
        made.statuses.add(code=code)
    if retry_after_ms:
        made.statuses[at].duration_until_reset.FromMilliseconds(int(retry_after_ms))
        seconds = str(max(1, -int(-retry_after_ms // 1000)))
        made.response_headers_to_add.add(key="retry-after", value=seconds)
    return made
