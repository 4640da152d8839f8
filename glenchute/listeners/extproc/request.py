"""One request of a proxy, from its first stream to its last, and the attempts that the proxy makes for it.

A `ProxiedRequest` is the transport of its request's attempts: where the gateway would write to a server
itself, it tells the proxy to. The decision engine gets the same events either way. How each request ends is
stated in docs/design/extproc.md.
"""

from __future__ import annotations

import asyncio
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

MAX_WRONG_SERVERS = 3  # times in a row that an attempt goes to another server than the chosen one
TIMEOUT_TOLERANCE_S = 0.001  # an attempt that ends unexplained so shortly before its timeout has timed out
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
        """Nothing is sent: the proxy forwards the request itself."""
        return b""

    @property
    def transport(self) -> AttemptTransport | None:
        """What makes the attempts of this call."""
        return self.request


class ProxiedRequest:
    """One request of a proxy. Each callback that it keeps is called once and then dropped."""

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
        self.deadline = deadline  # loop time
        self.active_request: ActiveRequest | None = None
        # Repeated where the downstream stream is opened again.
        self.first_decision: ev.ContinueResponse | None = None
        self.client_stream: DownstreamStream | None = None
        self.on_first_decision: ev.RespondCallback | None = None  # set while the proxy waits for it
        # An attempt waits for permission: its stream, the address it goes to, the callback.
        self.waiting_attempt: tuple[UpstreamStream, str, ev.RespondCallback] | None = None
        # An attempt's response is held back until the engine has decided what follows.
        self.pending_attempt_response: ev.RespondCallback | None = None
        # The client's response (status, callback) is held back until the final response is known.
        self.pending_client_response: tuple[int, ev.RespondCallback] | None = None
        self.is_detached = False  # the client's response does not pass here, only the attempt's
        self.final_response: FinalResponse | None = None
        self.is_finished = False  # the final response is known, or the proxy has given its own
        self.may_have_run = False
        self.wrong_server_count = 0
        self.attempts: list[ProxiedAttempt] = []
        self.open_attempt_streams: set[UpstreamStream] = set()  # of attempts that were allowed
        self.reconnect_timer: asyncio.TimerHandle | None = None

    # --- the transport of attempts -----------------------------------------------------------------------

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        context: AttemptContext | None = None,
    ) -> ProxiedAttempt | None:
        """An attempt that the proxy is to make; None where the server takes nothing (any more)."""
        address = self.table.gateway.upstream.address(server)
        if address is None or self.is_finished:
            return None
        self.attempts.append(ProxiedAttempt(self, server, address, timeout_s, done, write_by))
        return self.attempts[-1]

    def on_attempt_chosen(self, attempt: ProxiedAttempt) -> None:
        """The engine has chosen a server: whoever waits for that gets a response."""
        if self.first_decision is None:
            self.first_decision = self.table.first_decision(self, attempt)
            if not self.table.settings.has_attempt_streams:
                attempt.is_written = self.may_have_run = True
            if self.on_first_decision is not None:
                answer, self.on_first_decision = self.on_first_decision, None
                answer(self.first_decision)
        elif self.pending_attempt_response is not None:
            answer, self.pending_attempt_response = self.pending_attempt_response, None
            name = self.table.settings.endpoint_header
            again = {RETRY_HEADER: "1", name: attempt.address}
            answer(ev.ContinueResponse("response_headers", again, endpoint=attempt.address))
        self.review_waiting_attempt()

    def on_final_response(self, answer: FinalResponse) -> None:
        """The core's one final response."""
        self.final_response, self.is_finished = answer, True
        self.table.counts[FINAL_OUTCOMES[type(answer)].value] += 1
        if self.on_first_decision is not None:
            respond, self.on_first_decision = self.on_first_decision, None
            respond(self.final_message())
        if self.pending_attempt_response is not None:
            respond, self.pending_attempt_response = self.pending_attempt_response, None
            unserved = self.is_detached and not isinstance(answer, Served)
            respond(self.final_message() if unserved else PASS_RESPONSE)
        self.review_waiting_attempt()
        self.show_client_response()
        self.remove_if_done()

    def final_message(self) -> ev.ProcessorResponse:
        """The final response as an immediate response."""
        if isinstance(self.final_response, Rejected):
            return rejection_response(self.final_response.retry_after_ms, "refused")
        return failure_response("failed")

    # --- the attempts' streams ---------------------------------------------------------------------------

    def request_attempt(self, stream: UpstreamStream, address: str, answer: ev.RespondCallback) -> None:
        """An upstream stream asks whether its attempt may go."""
        if self.waiting_attempt is not None:
            answer(failure_response("attempt-in-waiting"))  # one at a time: the other was not allowed yet
            return
        self.waiting_attempt = stream, address, answer
        self.review_waiting_attempt()

    def review_waiting_attempt(self) -> None:
        """Decides on the attempt that waits for permission, if one does."""
        if self.waiting_attempt is None:
            return
        stream, address, answer = self.waiting_attempt
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
            # The engine's next decision comes by `on_attempt_chosen` or `on_final_response`.
            attempt.finish(AttemptResult(Outcome.UNREACHABLE))
            return
        self.waiting_attempt = None
        if verdict is AttemptVerdict.ALLOW and attempt is not None:
            self.allow_attempt(attempt, stream, answer)
        elif verdict is AttemptVerdict.WRONG_SERVER and attempt is not None:
            self.redirect_attempt(attempt, answer)
        else:
            answer(self.final_message() if self.final_response is not None else failure_response("over"))

    def allow_attempt(
        self, attempt: ProxiedAttempt, stream: UpstreamStream, answer: ev.RespondCallback
    ) -> None:
        """Lets the attempt go: it may have run from now on."""
        attempt.is_written = self.may_have_run = True
        attempt.stream, stream.attempt = stream, attempt
        self.open_attempt_streams.add(stream)
        self.wrong_server_count = 0
        timeout_ms = format_timeout_ms(attempt.deadline - self.table.loop.time())
        headers = {ATTEMPT_TIMEOUT_HEADER: timeout_ms, EXPECTED_TIMEOUT_HEADER: timeout_ms}
        answer(ev.ContinueResponse("request_headers", headers, (TOKEN_HEADER,)))

    def redirect_attempt(self, attempt: ProxiedAttempt, answer: ev.RespondCallback) -> None:
        """Has the proxy retry at the chosen server; after `MAX_WRONG_SERVERS` in a row it must not."""
        self.wrong_server_count += 1
        retry = {RETRY_HEADER: "1", self.table.settings.endpoint_header: attempt.address}
        if self.wrong_server_count >= MAX_WRONG_SERVERS:
            retry = {}
            attempt.finish(AttemptResult(Outcome.NOT_SENT))
        headers = {REASON_HEADER: "other-node", **retry}
        answer(ev.ImmediateResponse(503, headers, "", "glenchute_other_node"))

    def on_attempt_response(
        self, stream: UpstreamStream, status: int, details: str, load: str, answer: ev.RespondCallback
    ) -> None:
        """An attempt's response headers have come: its result, unless it has one."""
        attempt = stream.attempt
        if attempt is None or attempt.has_ended or self.is_finished:
            answer(PASS_RESPONSE)  # too late: the downstream stream decides what the client gets
            return
        how = classify_response(status, details, self.table.settings.rejected_status)
        self.pending_attempt_response = answer
        attempt.finish(AttemptResult(how, b"" if how is Outcome.OK else None, load.encode() or None))

    def on_attempt_stream_closed(self, stream: UpstreamStream) -> None:
        """An upstream stream has ended, or was reset."""
        if self.waiting_attempt is not None and self.waiting_attempt[0] is stream:
            self.waiting_attempt = None  # it was not allowed, and now never will be
        self.open_attempt_streams.discard(stream)
        attempt = stream.attempt
        if attempt is not None and not attempt.has_ended:
            if self.client_stream is None and not self.is_detached:
                how = Outcome.CANCELLED  # its proxy has disconnected: no fault of the server's
            else:
                timed_out = self.table.loop.time() >= attempt.deadline - TIMEOUT_TOLERANCE_S
                how = Outcome.TIMEOUT if timed_out else Outcome.RESET
            attempt.finish(AttemptResult(how))
        elif (
            attempt is not None and self.pending_attempt_response is not None and attempt is self.attempts[-1]
        ):
            # Its stream is closed; the next attempt asks.
            self.pending_attempt_response = None
        self.review_waiting_attempt()
        self.remove_if_done()

    # --- the client's stream -----------------------------------------------------------------------------

    def on_client_response(self, status: int, details: str, load: str, answer: ev.RespondCallback) -> None:
        """The proxy is about to give its client a response: no attempt follows any more."""
        self.pending_client_response = status, answer
        attempt = self.attempts[-1] if self.attempts else None
        if not self.is_finished and attempt is not None and not attempt.has_ended:
            if attempt.is_written:
                how = classify_response(status, details, self.table.settings.rejected_status)
            else:
                how = Outcome.UNREACHABLE  # it never asked, and will not be allowed
            attempt.finish(
                AttemptResult(
                    how, b"" if how is Outcome.OK else None, load.encode() or None, is_last_attempt=True
                )
            )
        if not self.is_finished:  # the engine waits for something that the proxy won't do
            self.withdraw_request()
        self.show_client_response()

    def show_client_response(self) -> None:
        """Releases, replaces or changes the client's response, once the final response is known."""
        if self.pending_client_response is None or not self.is_finished:
            return
        (status, answer), self.pending_client_response = self.pending_client_response, None
        final = self.final_response
        outcome = FINAL_OUTCOMES[type(final)] if final is not None else FinalOutcome.NONE
        match judge_response(outcome, self.may_have_run, status):
            case ResponseVerdict.PASS_THROUGH:
                extra = {EFFECT_HEADER: "unknown"} if status >= 500 and self.may_have_run else {}
                hidden = (RETRY_HEADER, TOKEN_HEADER, self.table.settings.endpoint_header)
                answer(ev.ContinueResponse("response_headers", extra, hidden))
            case ResponseVerdict.REJECTION:
                answer(self.final_message())
            case ResponseVerdict.FAILURE:
                answer(failure_response("failed"))

    def on_client_stream_closed(self, stream: DownstreamStream, clean: bool) -> None:
        """The downstream stream has ended. If it was half-closed in order, the proxy only needs no more; if
        it was reset, the proxy may open it again or have disconnected."""
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
        """Nobody has opened the stream again: the client or its proxy has disconnected."""
        if self.client_stream is None and not self.is_finished:
            self.table.counts["abandoned"] += 1
            self.withdraw_request()
            for attempt in self.attempts:
                attempt.stop(Outcome.CANCELLED)
        self.remove_if_done()

    def withdraw_request(self) -> None:
        """No response is owed any more; the engine hears that the client has disconnected."""
        self.is_finished = True
        if self.active_request is not None:
            self.table.gateway.client_disconnected(self.active_request)
        self.review_waiting_attempt()

    def expire(self) -> None:
        """The last end of every wait."""
        if not self.is_finished:
            self.table.counts["expired"] += 1
            self.withdraw_request()
        for attempt in self.attempts:
            attempt.stop(Outcome.CANCELLED)
        for waiting in (
            self.on_first_decision,
            self.pending_attempt_response,
            self.pending_client_response[1] if self.pending_client_response else None,
        ):
            if waiting is not None:
                waiting(failure_response("expired"))
        self.on_first_decision = self.pending_attempt_response = self.pending_client_response = None
        if self.client_stream is not None and self.client_stream.abort is not None:
            self.client_stream.abort()  # its proxy neither reads nor ends it
        self.table.remove(self)

    def remove_if_done(self) -> None:
        """Leaves the table once nothing more can come for the request. An attempt that outlives it is waited
        for."""
        if (
            self.is_finished
            and self.client_stream is None
            and not self.open_attempt_streams
            and self.waiting_attempt is None
        ):
            self.table.remove(self)
