"""The table of the proxies' requests.

A request leaves it when its final response is given and its streams are closed, when its proxy stays away for
`reconnect_grace_s`, or at the first sweep `EXPIRY_GRACE_S` after its deadline.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter

from glenchute.core.executor import RequestExecutor
from glenchute.policy.retries.proxied_attempts import may_send_after_takeover
from glenchute.policy.services.request_mapping import MappedRequest
from glenchute.policy.settings import Idempotency

from . import events as ev
from .attempt import ProxiedAttempt
from .request import MAX_WRONG_SERVERS, ProxiedCall, ProxiedRequest
from .responses import (
    ATTEMPT_TIMEOUT_HEADER,
    EFFECT_HEADER,
    REASON_HEADER,
    RETRY_HEADER,
    ROUTE_TIMEOUT_HEADER,
    TOKEN_HEADER,
    failure_response,
    format_timeout_ms,
    rejection_response,
    single_header,
)
from .settings import ClassLimits, ExtProcSettings
from .streams import DownstreamStream, UpstreamStream
from .token import Token, TokenSigner

log = logging.getLogger("glenchute")

SWEEP_INTERVAL_S = 0.25
EXPIRY_GRACE_S = 1.0  # a request stays this long after its deadline at most
DEADLINE_MARGIN_S = 0.01  # the proxy's time ends so long before the client's, as the core's attempts do

UNKNOWN_CLASS = ClassLimits(Idempotency.NON_IDEMPOTENT, 0.0, 0.0)


class RequestTable:
    """All requests of all proxies, limited to `max_requests`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: RequestExecutor,
        ways: ExtProcSettings,
        signer: TokenSigner,
    ) -> None:
        self.loop, self.gateway, self.settings, self.signer = loop, gateway, ways, signer
        self.requests_by_number: dict[int, ProxiedRequest] = {}
        self.requests_by_id: dict[str, ProxiedRequest] = {}
        self.last_number = 0
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.counts: Counter[str] = Counter()
        self.used_headers = ways.mapping_rules.used_headers | {
            TOKEN_HEADER,
            ":status",
            ways.load_header,
        }  # names of the headers that are read
        self.wall_clock = time.time

    def open_stream(self, upstream: bool) -> DownstreamStream | UpstreamStream:
        """A new stream of one of the two filters."""
        self.counts["streams"] += 1
        return UpstreamStream(self) if upstream else DownstreamStream(self)

    def read_response(self, message: ev.ResponseHeaders) -> tuple[int, str, str]:
        """Status, response code details and load report of a response."""
        digits = single_header(message.headers, ":status")
        status = int(digits) if digits.isdecimal() and len(digits) == 3 else 0
        details = str(message.attributes.get("response.code_details", ""))
        return status, details, single_header(message.headers, self.settings.load_header)

    def accept(
        self, stream: DownstreamStream, fields: MappedRequest, token_text: str, answer: ev.RespondCallback
    ) -> None:
        """A request: the entry of its id if there is one, else a new one, which the engine decides on."""
        same = self.requests_by_id.get(fields.request_id) if fields.request_id else None
        if same is not None:
            self.reattach(same, stream, fields, answer)
            return
        token = self.signer.verify(token_text) if token_text else None
        proven = token is not None and token.class_name == fields.class_name and self.may_resume(token)
        if token_text and not proven:
            # Another process has decided on it, and nobody here knows what became of it.
            self.counts["unproven"] += 1
            answer(failure_response("not-proven-unsent"))
            return
        if len(self.requests_by_number) >= self.settings.max_requests:
            self.counts["table-full"] += 1
            answer(rejection_response(1000.0, "table-full"))
            return
        max_deadline_ms = self.settings.class_limits[fields.class_name].max_deadline_ms
        left_ms = min(fields.deadline_ms or max_deadline_ms, max_deadline_ms)
        self.last_number += 1
        entry = ProxiedRequest(self, self.last_number, fields, self.loop.time() + left_ms / 1000.0)
        entry.client_stream, entry.on_first_decision, stream.request = stream, answer, entry
        self.requests_by_number[entry.number] = entry
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        if fields.request_id:
            self.requests_by_id[fields.request_id] = entry
        call = ProxiedCall(
            fields.request_id.encode(), fields.class_name, fields.plan, fields.account, left_ms, fields.units,
            fields.gateway_spread, entry,
        )  # fmt: skip
        try:
            live = self.gateway.accept(call, entry.on_final_response)
        except Exception:
            log.exception("a call failed")
            entry.expire()
            return
        if not entry.is_finished:
            entry.active_request = live

    def reattach(
        self,
        entry: ProxiedRequest,
        stream: DownstreamStream,
        fields: MappedRequest,
        answer: ev.RespondCallback,
    ) -> None:
        """The id is in the table: the same request whose stream was reset, or another one."""
        if entry.client_stream is not None or entry.is_detached or entry.fields != fields:
            self.counts["id-in-use"] += 1
            answer(
                ev.ImmediateResponse(
                    409, {REASON_HEADER: "id-in-use", EFFECT_HEADER: "unknown"}, "", "glenchute_id_in_use"
                )
            )
            return
        self.counts["reopened"] += 1
        entry.client_stream, stream.request = stream, entry
        if entry.is_finished:
            answer(entry.final_message())
        elif entry.first_decision is not None:
            answer(entry.first_decision)
        else:
            entry.on_first_decision = answer

    def may_resume(self, token: Token) -> bool:
        """Whether a request with this token, which no entry here knows, may be sent."""
        limits = self.settings.class_limits.get(token.class_name, UNKNOWN_CLASS)
        age_ms = self.wall_clock() * 1000.0 - token.decided_at_ms
        return may_send_after_takeover(
            limits.idempotency,
            token.class_name in self.settings.resumable_classes,
            age_ms,
            limits.idempotency_window_ms,
        )

    def first_decision(self, entry: ProxiedRequest, attempt: ProxiedAttempt) -> ev.ContinueResponse:
        """The first decision on a request, as the proxy is told of it."""
        idempotency = self.settings.class_limits[entry.fields.class_name].idempotency
        left_s = entry.deadline - DEADLINE_MARGIN_S - self.loop.time()
        headers = {
            self.settings.endpoint_header: attempt.address,
            ROUTE_TIMEOUT_HEADER: format_timeout_ms(left_s),
            ATTEMPT_TIMEOUT_HEADER: format_timeout_ms(attempt.timeout_s),
            "x-envoy-max-retries": "0",
        }
        if self.settings.has_attempt_streams:
            token = self.signer.issue(entry.number, self.wall_clock() * 1000.0, entry.fields.class_name)
            headers[TOKEN_HEADER] = token
            headers["x-envoy-max-retries"] = str(2 * (self.settings.max_attempts - 1) + MAX_WRONG_SERVERS)
            headers["x-envoy-retry-on"] = "retriable-headers,connect-failure"
            if idempotency is not Idempotency.NON_IDEMPOTENT:
                headers["x-envoy-retry-on"] += ",reset"
            headers["x-envoy-retriable-header-names"] = RETRY_HEADER
        return ev.ContinueResponse("request_headers", headers, (), attempt.address, True)

    def sweep(self) -> None:
        """Expires requests whose deadline is long past. One timer for all of them, and none while the table
        is empty."""
        now = self.loop.time()
        for request in list(self.requests_by_number.values()):
            if request.deadline + EXPIRY_GRACE_S <= now:
                request.expire()
        self.sweep_timer = None
        if self.requests_by_number:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def remove(self, entry: ProxiedRequest) -> None:
        """Removes an entry; unknown ones are ignored."""
        if self.requests_by_number.pop(entry.number, None) is None:
            return
        if entry.reconnect_timer is not None:
            entry.reconnect_timer.cancel()
        if self.requests_by_id.get(entry.fields.request_id) is entry:
            del self.requests_by_id[entry.fields.request_id]
