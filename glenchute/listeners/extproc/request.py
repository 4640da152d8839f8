"""One request of a proxy, from its first stream to its last, and the attempts that the proxy makes for it.

A `ProxiedRequest` is the transport of its own attempts: instead of writing to a server, it tells the proxy
to. The decision engine gets the same events as for attempts that the gateway makes itself.
docs/design/extproc.md says how a request ends in each case.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from glenchute.core.active_request import ActiveRequest
from glenchute.core.types import (
    AttemptContext,
    AttemptResult,
    AttemptTransport,
    Call,
    Failed,
    FinalResponse,
    Rejected,
    Served,
    Streamed,
)
from glenchute.policy.events import Outcome
from glenchute.policy.record import record
from glenchute.policy.retries.proxied_attempts import (
    AttemptState,
    AttemptVerdict,
    FinalOutcome,
    ResponseVerdict,
    classify_response,
    judge_attempt,
    judge_response,
)
from glenchute.policy.services.request_mapping import MappedRequest

from . import events as ev
from .attempt import ProxiedAttempt
from .responses import (
    ATTEMPT_TIMEOUT_HEADER,
    EFFECT_HEADER,
    EXPECTED_TIMEOUT_HEADER,
    PASS_RESPONSE,
    REASON_HEADER,
    RETRY_HEADER,
    TOKEN_HEADER,
    failure_response,
    format_timeout_ms,
    rejection_response,
)

if TYPE_CHECKING:
    from .streams import DownstreamStream, UpstreamStream
    from .table import RequestTable

log = logging.getLogger("glenchute")

MAX_WRONG_SERVERS = 3  # attempts in a row for another server than the chosen one; the last gets no retry
# An attempt whose stream ends without a response this shortly before its timeout counts as timed out.
TIMEOUT_TOLERANCE_S = 0.001
FINAL_OUTCOMES: dict[type[FinalResponse], FinalOutcome] = {
    Served: FinalOutcome.SERVED,
    Streamed: FinalOutcome.STREAMED,
    Rejected: FinalOutcome.REJECTED,
    Failed: FinalOutcome.FAILED,
}


@record(slots=True)
class ProxiedCall(Call):
    """A request whose attempts its proxy makes."""

    request: ProxiedRequest | None = None

    def encode(self, left_ms: int) -> bytes:
        """Returns no bytes: the proxy forwards the request itself."""
        return b""

    @property
    def transport(self) -> AttemptTransport | None:
        """Returns the transport that makes the attempts of this call."""
        return self.request


class ProxiedRequest:
    """One request of a proxy. Each callback that it stores is called once and then dropped."""

    __slots__ = (
        "active_request",
        "attempts",
        "client_stream",
        "deadline",
        "fields",
        "final_response",
        "first_decision",
        "is_detached",
        "is_finished",
        "may_have_run",
        "number",
        "on_first_decision",
        "open_attempt_streams",
        "pending_attempt_response",
        "pending_client_response",
        "reconnect_timer",
        "table",
        "waiting_attempt",
        "wrong_server_count",
    )

    def __init__(self, table: RequestTable, number: int, fields: MappedRequest, deadline: float) -> None:
        self.table = table
        self.number = number
        self.fields = fields
        self.deadline = deadline  # seconds of the loop's clock
        self.active_request: ActiveRequest | None = None
        # Sent again when the proxy reopens the downstream stream.
        self.first_decision: ev.ContinueResponse | None = None
        self.client_stream: DownstreamStream | None = None
        self.on_first_decision: ev.RespondCallback | None = None  # set while the proxy waits for the decision
        # The attempt that waits for permission, if any: its stream, the address it goes to, the callback.
        self.waiting_attempt: tuple[UpstreamStream, str, ev.RespondCallback] | None = None
        # Set while an attempt's response is held back until the engine has decided what follows.
        self.pending_attempt_response: ev.RespondCallback | None = None
        # Status and callback of the client's response, held back until the final response is known.
        self.pending_client_response: tuple[int, ev.RespondCallback] | None = None
        # The proxy has closed the downstream stream in order: the client's response does not pass through
        # this processor, only the attempts' responses do.
        self.is_detached = False
        self.final_response: FinalResponse | None = None
        self.is_finished = False  # the final response is known, or none is needed any more
        self.may_have_run = False
        self.wrong_server_count = 0
        self.attempts: list[ProxiedAttempt] = []
        self.open_attempt_streams: set[UpstreamStream] = set()  # streams of attempts that were allowed
        self.reconnect_timer: asyncio.TimerHandle | None = None

    # --- transport of attempts ------------------------------------------------------------------------------

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        context: AttemptContext | None = None,
    ) -> ProxiedAttempt | None:
        """Creates an attempt that the proxy is to make; None if the server takes nothing (any more)."""
        address = self.table.gateway.upstream.address(server)
        if address is None or self.is_finished:
            return None
        self.attempts.append(ProxiedAttempt(self, server, address, timeout_s, done, write_by))
        return self.attempts[-1]

    def on_attempt_chosen(self, attempt: ProxiedAttempt) -> None:
        """Responds to what waits for the engine's choice of a server: the first decision, an attempt's held
        response or an attempt's request for permission."""
        if self.first_decision is None:
            self.first_decision = self.table.build_first_decision(self, attempt)
            if not self.table.settings.has_attempt_streams:
                attempt.is_written = self.may_have_run = True
            if self.on_first_decision is not None:
                respond, self.on_first_decision = self.on_first_decision, None
                respond(self.first_decision)
        elif self.pending_attempt_response is not None:
            respond, self.pending_attempt_response = self.pending_attempt_response, None
            endpoint_header = self.table.settings.endpoint_header
            headers = {RETRY_HEADER: "1", endpoint_header: attempt.address}
            respond(ev.ContinueResponse("response_headers", headers, endpoint=attempt.address))
        self.review_waiting_attempt()

    def on_final_response(self, final_response: FinalResponse) -> None:
        """Stores the final response, which comes once, and responds to all that waits for it."""
        self.final_response, self.is_finished = final_response, True
        self.table.counts[FINAL_OUTCOMES[type(final_response)].value] += 1
        if self.on_first_decision is not None:
            respond, self.on_first_decision = self.on_first_decision, None
            respond(self.build_final_response())
        if self.pending_attempt_response is not None:
            respond, self.pending_attempt_response = self.pending_attempt_response, None
            is_not_served = self.is_detached and not isinstance(final_response, Served)
            respond(self.build_final_response() if is_not_served else PASS_RESPONSE)
        self.review_waiting_attempt()
        self.release_client_response()
        self.remove_if_done()

    def build_final_response(self) -> ev.ProcessorResponse:
        """Builds the immediate response for the final response."""
        if isinstance(self.final_response, Rejected):
            return rejection_response(self.final_response.retry_after_ms, "refused")
        return failure_response("failed")

    # --- upstream streams -----------------------------------------------------------------------------------

    def request_attempt(self, stream: UpstreamStream, address: str, respond: ev.RespondCallback) -> None:
        """Handles an upstream stream's request for permission to send its attempt."""
        if self.waiting_attempt is not None:
            respond(failure_response("attempt-in-waiting"))  # only one attempt may wait for permission
            return
        self.waiting_attempt = stream, address, respond
        self.review_waiting_attempt()

    def review_waiting_attempt(self) -> None:
        """Decides on the attempt that waits for permission, if there is one."""
        if self.waiting_attempt is None:
            return
        stream, address, respond = self.waiting_attempt
        attempt = self.attempts[-1] if self.attempts else None
        has_chosen_server = attempt is not None and not attempt.has_ended and not attempt.is_written
        state = AttemptState(
            is_request_finished=self.is_finished,
            has_chosen_server=has_chosen_server,
            has_open_attempts=bool(self.open_attempt_streams),
            requested_address=address,
            chosen_address=attempt.address if attempt else "",
            is_server_accepting=attempt is not None
            and self.table.gateway.upstream.address(attempt.server) is not None,
            is_in_time=attempt is not None and self.table.loop.time() <= attempt.write_by,
        )
        verdict = judge_attempt(state)
        self.table.counts[f"gate-{verdict.value}"] += 1
        if verdict is AttemptVerdict.WAIT:
            return
        if verdict is AttemptVerdict.TOO_LATE and attempt is not None:
            # Ending the attempt makes the engine decide again, by `on_attempt_chosen` or `on_final_response`.
            attempt.finish(AttemptResult(Outcome.UNREACHABLE))
            return
        self.waiting_attempt = None
        if verdict is AttemptVerdict.ALLOW and attempt is not None:
            self.allow_attempt(attempt, stream, respond)
        elif verdict is AttemptVerdict.WRONG_SERVER and attempt is not None:
            self.redirect_attempt(attempt, respond)
        else:
            respond(
                self.build_final_response() if self.final_response is not None else failure_response("over")
            )

    def allow_attempt(
        self, attempt: ProxiedAttempt, stream: UpstreamStream, respond: ev.RespondCallback
    ) -> None:
        """Allows the proxy to send the attempt, which may have run from now on."""
        attempt.is_written = self.may_have_run = True
        attempt.stream, stream.attempt = stream, attempt
        self.open_attempt_streams.add(stream)
        self.wrong_server_count = 0
        timeout_ms = format_timeout_ms(attempt.deadline - self.table.loop.time())
        headers = {ATTEMPT_TIMEOUT_HEADER: timeout_ms, EXPECTED_TIMEOUT_HEADER: timeout_ms}
        respond(ev.ContinueResponse("request_headers", headers, (TOKEN_HEADER,)))

    def redirect_attempt(self, attempt: ProxiedAttempt, respond: ev.RespondCallback) -> None:
        """Rejects an attempt for another server than the chosen one and asks the proxy to retry at that one.
        After `MAX_WRONG_SERVERS` in a row it asks for no retry, and the engine's attempt ends unsent."""
        self.wrong_server_count += 1
        retry_headers = {RETRY_HEADER: "1", self.table.settings.endpoint_header: attempt.address}
        if self.wrong_server_count >= MAX_WRONG_SERVERS:
            retry_headers = {}
            attempt.finish(AttemptResult(Outcome.NOT_SENT))
        headers = {REASON_HEADER: "other-node", **retry_headers}
        respond(ev.ImmediateResponse(503, headers, "", "glenchute_other_node"))

    def on_attempt_response(
        self, stream: UpstreamStream, status: int, details: str, load: str, respond: ev.RespondCallback
    ) -> None:
        """Reports an attempt's response headers as its result, unless it has one. The response is held back
        until the engine has decided what follows."""
        attempt = stream.attempt
        if attempt is None or attempt.has_ended or self.is_finished:
            respond(
                PASS_RESPONSE
            )  # too late for a result; the downstream stream decides what the client gets
            return
        outcome = classify_response(status, details, self.table.settings.rejected_status)
        self.pending_attempt_response = respond
        attempt.finish(AttemptResult(outcome, b"" if outcome is Outcome.OK else None, load.encode() or None))

    def on_attempt_stream_closed(self, stream: UpstreamStream) -> None:
        """Handles the end or reset of an upstream stream; an attempt without a result gets one."""
        if self.waiting_attempt is not None and self.waiting_attempt[0] is stream:
            self.waiting_attempt = None  # the attempt was not allowed, and now never will be
        self.open_attempt_streams.discard(stream)
        attempt = stream.attempt
        if attempt is not None and not attempt.has_ended:
            if self.client_stream is None and not self.is_detached:
                outcome = Outcome.CANCELLED  # the proxy has disconnected; the server is not at fault
            else:
                timed_out = self.table.loop.time() >= attempt.deadline - TIMEOUT_TOLERANCE_S
                outcome = Outcome.TIMEOUT if timed_out else Outcome.RESET
            attempt.finish(AttemptResult(outcome))
        elif (
            attempt is not None and self.pending_attempt_response is not None and attempt is self.attempts[-1]
        ):
            # A closed stream gets no response; the proxy's next attempt asks by its own stream.
            self.pending_attempt_response = None
        self.review_waiting_attempt()
        self.remove_if_done()

    # --- downstream stream ----------------------------------------------------------------------------------

    def on_client_response(self, status: int, details: str, load: str, respond: ev.RespondCallback) -> None:
        """Handles the response that the proxy is about to give its client. No attempt follows it, so an
        attempt without a result gets one. The response is held back until the final response is known."""
        self.pending_client_response = status, respond
        attempt = self.attempts[-1] if self.attempts else None
        if not self.is_finished and attempt is not None and not attempt.has_ended:
            if attempt.is_written:
                outcome = classify_response(status, details, self.table.settings.rejected_status)
            else:
                outcome = Outcome.UNREACHABLE  # the attempt was never allowed, and now never will be
            attempt.finish(
                AttemptResult(
                    outcome,
                    b"" if outcome is Outcome.OK else None,
                    load.encode() or None,
                    is_last_attempt=True,
                )
            )
        if not self.is_finished:  # the engine waits for an attempt that the proxy will not make
            self.withdraw_request()
        self.release_client_response()

    def release_client_response(self) -> None:
        """Passes on, changes or replaces the client's response, once the final response is known."""
        if self.pending_client_response is None or not self.is_finished:
            return
        (status, respond), self.pending_client_response = self.pending_client_response, None
        final_response = self.final_response
        outcome = FINAL_OUTCOMES[type(final_response)] if final_response is not None else FinalOutcome.NONE
        match judge_response(outcome, self.may_have_run, status):
            case ResponseVerdict.PASS_THROUGH:
                set_headers = {EFFECT_HEADER: "unknown"} if status >= 500 and self.may_have_run else {}
                remove_headers = (RETRY_HEADER, TOKEN_HEADER, self.table.settings.endpoint_header)
                respond(ev.ContinueResponse("response_headers", set_headers, remove_headers))
            case ResponseVerdict.REJECTION:
                respond(self.build_final_response())
            case ResponseVerdict.FAILURE:
                respond(failure_response("failed"))

    def on_client_stream_closed(self, stream: DownstreamStream, clean: bool) -> None:
        """Handles the end of the downstream stream.

        If it was closed in order after the first decision, the proxy needs nothing more on it. Otherwise the
        proxy has disconnected or will open another stream, for which it has `reconnect_grace_s`.
        """
        if self.client_stream is not stream:
            return
        self.client_stream, self.on_first_decision, self.pending_client_response = None, None, None
        if clean and self.first_decision is not None:
            self.is_detached = True
        elif not self.is_finished:
            self.reconnect_timer = self.table.loop.call_later(
                self.table.settings.reconnect_grace_s, self.on_reconnect_timeout
            )
        self.remove_if_done()

    def on_reconnect_timeout(self) -> None:
        """Withdraws the request if its downstream stream was not reopened: the client or its proxy has
        disconnected."""
        if self.client_stream is None and not self.is_finished:
            self.table.counts["abandoned"] += 1
            self.withdraw_request()
            for attempt in self.attempts:
                attempt.stop(Outcome.CANCELLED)
        self.remove_if_done()

    def withdraw_request(self) -> None:
        """Finishes the request without a final response, and tells the engine that the client has
        disconnected."""
        self.is_finished = True
        if self.active_request is not None:
            self.table.gateway.client_disconnected(self.active_request)
        self.review_waiting_attempt()

    def expire(self) -> None:
        """Ends the request and all that still waits for it, and removes it from the table."""
        if not self.is_finished:
            self.table.counts["expired"] += 1
            self.withdraw_request()
        for attempt in self.attempts:
            attempt.stop(Outcome.CANCELLED)
        for respond in (
            self.on_first_decision,
            self.pending_attempt_response,
            self.pending_client_response[1] if self.pending_client_response else None,
        ):
            if respond is not None:
                respond(failure_response("expired"))
        self.on_first_decision = self.pending_attempt_response = self.pending_client_response = None
        if self.client_stream is not None and self.client_stream.abort is not None:
            log.info("aborting a proxy's stream: it was open after the request's deadline")
            self.client_stream.abort()  # the proxy neither reads the stream nor ends it
        self.table.remove(self)

    def remove_if_done(self) -> None:
        """Removes the request from the table once it is finished and its streams are closed. An attempt that
        outlasts the final response keeps it there until the attempt's stream has ended."""
        if (
            self.is_finished
            and self.client_stream is None
            and not self.open_attempt_streams
            and self.waiting_attempt is None
        ):
            self.table.remove(self)
