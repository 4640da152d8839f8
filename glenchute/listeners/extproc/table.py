"""The table of the proxies' requests.

A request is removed when its final response is known and its streams are closed, when its proxy has not
reopened the downstream stream within `reconnect_grace_s`, or at the first sweep that is at least
`EXPIRY_GRACE_S` after its deadline.
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
EXPIRY_GRACE_S = 1.0  # a request expires this long after its deadline, at the next sweep
# The proxy's timeout ends this long before the request's deadline, as the core's own attempts do.
DEADLINE_MARGIN_S = 0.01

UNKNOWN_CLASS = ClassLimits(Idempotency.NON_IDEMPOTENT, 0.0, 0.0)


class RequestTable:
    """The open requests of all proxies, at most `max_requests`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: RequestExecutor,
        settings: ExtProcSettings,
        signer: TokenSigner,
    ) -> None:
        self.loop, self.gateway, self.settings, self.signer = loop, gateway, settings, signer
        self.requests_by_number: dict[int, ProxiedRequest] = {}
        self.requests_by_id: dict[str, ProxiedRequest] = {}
        self.last_number = 0
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.counts: Counter[str] = Counter()
        self.used_headers = settings.mapping_rules.used_headers | {
            TOKEN_HEADER,
            ":status",
            settings.load_header,
        }  # all other headers are ignored
        self.wall_clock = time.time

    def open_stream(self, upstream: bool) -> DownstreamStream | UpstreamStream:
        """Returns a new stream of the upstream or the downstream filter."""
        self.counts["streams"] += 1
        return UpstreamStream(self) if upstream else DownstreamStream(self)

    def read_response(self, message: ev.ResponseHeaders) -> tuple[int, str, str]:
        """Returns a response's status (0 if unreadable), response code details and load report."""
        digits = single_header(message.headers, ":status")
        status = int(digits) if digits.isdecimal() and len(digits) == 3 else 0
        details = str(message.attributes.get("response.code_details", ""))
        return status, details, single_header(message.headers, self.settings.load_header)

    def accept(
        self, stream: DownstreamStream, fields: MappedRequest, token_text: str, respond: ev.RespondCallback
    ) -> None:
        """Adds a request and passes it to the engine, or attaches the stream to the request that already has
        this id."""
        existing_request = self.requests_by_id.get(fields.request_id) if fields.request_id else None
        if existing_request is not None:
            self.reattach(existing_request, stream, fields, respond)
            return
        token = self.signer.verify(token_text) if token_text else None
        is_proven = token is not None and token.class_name == fields.class_name and self.may_resume(token)
        if token_text and not is_proven:
            # Another process has decided on the request, and an attempt of it may have run.
            self.counts["unproven"] += 1
            respond(failure_response("not-proven-unsent"))
            return
        if len(self.requests_by_number) >= self.settings.max_requests:
            self.counts["table-full"] += 1
            respond(rejection_response(1000.0, "table-full"))
            return
        max_deadline_ms = self.settings.class_limits[fields.class_name].max_deadline_ms
        time_left_ms = min(fields.deadline_ms or max_deadline_ms, max_deadline_ms)
        self.last_number += 1
        request = ProxiedRequest(self, self.last_number, fields, self.loop.time() + time_left_ms / 1000.0)
        request.client_stream, request.on_first_decision, stream.request = stream, respond, request
        self.requests_by_number[request.number] = request
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        if fields.request_id:
            self.requests_by_id[fields.request_id] = request
        call = ProxiedCall(
            fields.request_id.encode(), fields.class_name, fields.plan, fields.account, time_left_ms,
            fields.units, fields.gateway_spread, request,
        )  # fmt: skip
        try:
            active_request = self.gateway.accept(call, request.on_final_response)
        except Exception:
            log.exception("admitting a proxy's request failed; the request is expired")
            request.expire()
            return
        if not request.is_finished:
            request.active_request = active_request

    def reattach(
        self,
        request: ProxiedRequest,
        stream: DownstreamStream,
        fields: MappedRequest,
        respond: ev.RespondCallback,
    ) -> None:
        """Attaches a stream to the request in the table that has the same id. Responds 409 unless it is the
        same request and its own stream was reset."""
        if request.client_stream is not None or request.is_detached or request.fields != fields:
            self.counts["id-in-use"] += 1
            respond(
                ev.ImmediateResponse(
                    409, {REASON_HEADER: "id-in-use", EFFECT_HEADER: "unknown"}, "", "glenchute_id_in_use"
                )
            )
            return
        self.counts["reopened"] += 1
        request.client_stream, stream.request = stream, request
        if request.is_finished:
            respond(request.build_final_response())
        elif request.first_decision is not None:
            respond(request.first_decision)
        else:
            request.on_first_decision = respond

    def may_resume(self, token: Token) -> bool:
        """Returns whether a request that another process has decided on, and that only its token identifies,
        may be sent."""
        limits = self.settings.class_limits.get(token.class_name, UNKNOWN_CLASS)
        age_ms = self.wall_clock() * 1000.0 - token.decided_at_ms
        return may_send_after_takeover(
            limits.idempotency,
            token.class_name in self.settings.resumable_classes,
            age_ms,
            limits.idempotency_window_ms,
        )

    def build_first_decision(self, request: ProxiedRequest, attempt: ProxiedAttempt) -> ev.ContinueResponse:
        """Builds the response that tells the proxy the first decision on a request."""
        idempotency = self.settings.class_limits[request.fields.class_name].idempotency
        time_left_s = request.deadline - DEADLINE_MARGIN_S - self.loop.time()
        headers = {
            self.settings.endpoint_header: attempt.address,
            ROUTE_TIMEOUT_HEADER: format_timeout_ms(time_left_s),
            ATTEMPT_TIMEOUT_HEADER: format_timeout_ms(attempt.timeout_s),
            "x-envoy-max-retries": "0",
        }
        if self.settings.has_attempt_streams:
            token = self.signer.issue(request.number, self.wall_clock() * 1000.0, request.fields.class_name)
            headers[TOKEN_HEADER] = token
            headers["x-envoy-max-retries"] = str(2 * (self.settings.max_attempts - 1) + MAX_WRONG_SERVERS)
            headers["x-envoy-retry-on"] = "retriable-headers,connect-failure"
            if idempotency is not Idempotency.NON_IDEMPOTENT:
                headers["x-envoy-retry-on"] += ",reset"
            headers["x-envoy-retriable-header-names"] = RETRY_HEADER
        return ev.ContinueResponse("request_headers", headers, (), attempt.address, True)

    def sweep(self) -> None:
        """Expires requests that are `EXPIRY_GRACE_S` past their deadline. One timer serves all of them; none
        runs while the table is empty."""
        now = self.loop.time()
        for request in list(self.requests_by_number.values()):
            if request.deadline + EXPIRY_GRACE_S <= now:
                request.expire()
        self.sweep_timer = None
        if self.requests_by_number:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def remove(self, request: ProxiedRequest) -> None:
        """Removes a request, if it is in the table."""
        if self.requests_by_number.pop(request.number, None) is None:
            return
        if request.reconnect_timer is not None:
            request.reconnect_timer.cancel()
        if self.requests_by_id.get(request.fields.request_id) is request:
            del self.requests_by_id[request.fields.request_id]
