"""The table of calls: each request of a proxy from its first stream to its last, and the attempts it makes.

An `Entry` is the carrier of its request's attempts: where the inline gateway would write to a node, it tells
the proxy to. The module hears the same events either way. Each entry has a stated fate (see
docs/design/extproc.md): it leaves the table when the final answer is given and its streams are closed, when
its proxy is gone for `reopen_s`, or at the first sweep `AFTERMATH_S` past its deadline.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable, Mapping

from glenchute.core.active_request import ActiveRequest
from glenchute.core.executor import RequestExecutor
from glenchute.core.types import (
    Address,
    AttemptContext,
    AttemptResult,
    AttemptTransport,
    Call,
    Failed,
    FinalResponse,
    Rejected,
    ResponseSource,
    Served,
    Streamed,
)
from glenchute.policy.events import Outcome
from glenchute.policy.record import record
from glenchute.policy.retries.proxied_attempts import (
    AttemptState,
    AttemptVerdict,
    ResponseVerdict,
    classify_response,
    judge_attempt,
    judge_response,
    may_send_undecided,
)
from glenchute.policy.services.request_mapping import (
    BodyRequired,
    MappedRequest,
    MappingError,
    MappingRules,
    RequestView,
)
from glenchute.policy.settings import Idempotency

from . import events as ev
from .token import Token, TokenSigner

log = logging.getLogger("glenchute")

TOKEN_HEADER = "x-glenchute-token"
RETRY_HEADER = "x-glenchute-retry"  # on a response: the proxy is to try again
REASON_HEADER = "x-glenchute-reason"
EFFECT_HEADER = "x-glenchute-effect"  # "none": no try ran; "unknown": no promise
ROUTE_TIMEOUT_HEADER = "x-envoy-upstream-rq-timeout-ms"
ATTEMPT_TIMEOUT_HEADER = "x-envoy-upstream-rq-per-try-timeout-ms"
EXPECTED_TIMEOUT_HEADER = "x-envoy-expected-rq-timeout-ms"  # what a node is told of the time that it has
# The final response in the words of the counters and of `proxied_attempts`.
RESPONSE_WORDS: dict[type[FinalResponse], str] = {
    Served: "served",
    Streamed: "streamed",
    Rejected: "refused",
    Failed: "failed",
}
PASS_RESPONSE = ev.ContinueResponse(
    "response_headers", {}, (RETRY_HEADER,)
)  # a node must not ask for a retry in the module's name
SWEEP_INTERVAL_S = 0.25
EXPIRY_GRACE_S = 1.0  # an entry outlives its request's deadline by this at most
DEADLINE_MARGIN_S = 0.01  # the proxy's time ends this long before the client's, as the core's attempts do
MAX_WRONG_SERVERS = (
    3  # times in a row that an attempt asks for another node, after which the request is given up
)
MAX_BODY_BYTES = 64 * 1024  # bytes of a body that a rule needs
TIMEOUT_TOLERANCE_S = 0.001  # what ends without a word this long before its time, or later, ran out of it


@record(frozen=True, slots=True)
class ExtProcSettings:
    """The operator's settings of the front; times in seconds."""

    mapping_rules: MappingRules
    class_limits: Mapping[
        str, tuple[Idempotency, float, float]
    ]  # class: repeat, memory (ms), longest deadline (ms)
    max_calls: int = 10_000
    reconnect_grace_s: float = 0.25
    has_attempt_streams: bool = True  # a filter at the node's side asks for each attempt
    endpoint_header: str = "x-gateway-destination-endpoint"
    load_header: str = "x-glenchute-load"
    rejected_status: int = 429
    resumable_classes: frozenset[str] = frozenset()  # may follow a decision of an earlier process
    max_attempts: int = 3


def format_address(address: Address) -> str:
    """As a proxy writes it."""
    return f"{address[0]}:{address[1]}" if ":" not in address[0] else f"[{address[0]}]:{address[1]}"


def format_timeout_ms(seconds: float) -> str:
    """Whole milliseconds, rounded down, so that the proxy's clock runs out no later than ours; 1 at least."""
    return str(max(1, int(1000.0 * seconds + 1e-6)))


def single_header(headers: Mapping[str, list[bytes]], name: str) -> str:
    """A header's only value, "" without one or with several."""
    values = headers.get(name, ())
    return values[0].decode("latin-1") if len(values) == 1 and len(values[0]) <= 4096 else ""


@record(slots=True)
class ProxiedCall(Call):
    """A request whose attempts its proxy makes."""

    request: ProxiedRequest | None = None

    def encode(self, left_ms: int) -> bytes:
        return b""

    @property
    def transport(self) -> AttemptTransport | None:
        return self.request


class ProxiedAttempt:
    """An attempt that the proxy makes, from the module's choice to its one ending."""

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
        self.is_written = False  # the proxy was let through: it may have run
        self.has_ended = False
        self.on_response_started: Callable[[ResponseSource], None] | None = (
            None  # values go by the proxy, however long
        )
        self.is_wanted: Callable[[], bool] | None = None  # the proxy writes
        self.stream: UpstreamStream | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Tells the proxy, or has it wait to be asked."""
        self.timer = self.request.table.loop.call_at(self.deadline, self.stop, Outcome.TIMEOUT)
        self.request.on_attempt_chosen(self)

    def stop(self, why: Outcome) -> None:
        """A time-out or a cancel. What was not let through will not be; what was is cut off, as far as a
        processor can, and no other attempt passes before its stream has ended."""
        if self.has_ended:
            return
        stream = self.stream
        self.finish(AttemptResult(why if self.is_written else Outcome.NOT_SENT))
        if stream is not None and stream.abort is not None:
            stream.abort()

    def finish(self, result: AttemptResult) -> None:
        """The one ending; later ones are dropped."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.done(result)


class ProxiedRequest:
    """One request of a proxy."""

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

    def __init__(self, calls: RequestTable, ref: int, fields: MappedRequest, deadline: float) -> None:
        self.table, self.number, self.fields, self.deadline = calls, ref, fields, deadline
        self.active_request: ActiveRequest | None = None
        self.first_decision: ev.ContinueResponse | None = (
            None  # the first decision, told again where its stream is opened again
        )
        self.client_stream: DownstreamStream | None = None
        self.on_first_decision: ev.RespondCallback | None = None  # the proxy waits for the first decision
        self.waiting_attempt: tuple[UpstreamStream, str, ev.RespondCallback] | None = (
            None  # an attempt waits to be let through
        )
        self.pending_attempt_response: ev.RespondCallback | None = (
            None  # an attempt's response waits for what follows from it
        )
        self.pending_client_response: tuple[int, ev.RespondCallback] | None = (
            None  # the client's response waits for the final answer
        )
        self.is_detached = False  # the proxy shows no response here: the attempt's stream must
        self.final_response: FinalResponse | None = None
        self.is_finished = False  # the final answer is known, or the proxy has given its own
        self.may_have_run = False
        self.wrong_server_count = 0
        self.attempts: list[ProxiedAttempt] = []
        self.open_attempt_streams: set[UpstreamStream] = set()  # streams of attempts that were let through
        self.reconnect_timer: asyncio.TimerHandle | None = None

    # --- as the carrier ----------------------------------------------------------------------------------

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        about: AttemptContext | None = None,
    ) -> ProxiedAttempt | None:
        """An attempt that the proxy is to make; None where the node takes nothing (any more)."""
        address = self.table.gateway.upstream.address(server)
        if address is None or self.is_finished:
            return None
        self.attempts.append(ProxiedAttempt(self, server, address, timeout_s, done, write_by))
        return self.attempts[-1]

    def on_attempt_chosen(self, attempt: ProxiedAttempt) -> None:
        """The module has chosen: whoever waits for that hears it."""
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
        """The core's one final answer."""
        self.final_response, self.is_finished = answer, True
        self.table.counts[RESPONSE_WORDS[type(answer)]] += 1
        if self.on_first_decision is not None:
            ask, self.on_first_decision = self.on_first_decision, None
            ask(self.final_message())
        if self.pending_attempt_response is not None:
            held, self.pending_attempt_response = self.pending_attempt_response, None
            unserved = self.is_detached and not isinstance(answer, Served)
            held(self.final_message() if unserved else PASS_RESPONSE)
        self.review_waiting_attempt()
        self.show_client_response()
        self.remove_if_done()

    def final_message(self) -> ev.ProcessorResponse:
        """The final answer as an immediate response."""
        if isinstance(self.final_response, Rejected):
            return rejection_response(self.final_response.retry_after_ms, "refused")
        return failure_response("failed")

    # --- the attempts' streams ---------------------------------------------------------------------------

    def request_attempt(self, stream: UpstreamStream, going_to: str, answer: ev.RespondCallback) -> None:
        """A stream of the node's side asks whether its attempt may go."""
        if self.waiting_attempt is not None:
            answer(
                failure_response("attempt-in-waiting")
            )  # one at a time: the other has not been let through
            return
        self.waiting_attempt = stream, going_to, answer
        self.review_waiting_attempt()

    def review_waiting_attempt(self) -> None:
        """Looks at the attempt that waits to be let through."""
        if self.waiting_attempt is None:
            return
        stream, going_to, answer = self.waiting_attempt
        attempt = self.attempts[-1] if self.attempts else None
        offered = attempt is not None and not attempt.has_ended and not attempt.is_written
        known = AttemptState(
            is_request_finished=self.is_finished,
            has_chosen_server=offered,
            has_open_attempts=bool(self.open_attempt_streams),
            requested_address=going_to,
            chosen_address=attempt.address if attempt else "",
            is_server_accepting=attempt is not None
            and self.table.gateway.upstream.address(attempt.server) is not None,
            is_in_time=attempt is not None and self.table.loop.time() <= attempt.write_by,
        )
        verdict = judge_attempt(known)
        self.table.counts[f"gate-{verdict.value}"] += 1
        if verdict is AttemptVerdict.WAIT:
            return
        if verdict is AttemptVerdict.TOO_LATE and attempt is not None:
            attempt.finish(
                AttemptResult(Outcome.UNREACHABLE)
            )  # the module's next word comes by `offered` or `answered`
            return
        self.waiting_attempt = None
        if verdict is AttemptVerdict.ALLOW and attempt is not None:
            attempt.is_written = self.may_have_run = True
            attempt.stream, stream.attempt = stream, attempt
            self.open_attempt_streams.add(stream)
            self.wrong_server_count = 0
            left = format_timeout_ms(attempt.deadline - self.table.loop.time())
            answer(
                ev.ContinueResponse(
                    "request_headers",
                    {ATTEMPT_TIMEOUT_HEADER: left, EXPECTED_TIMEOUT_HEADER: left},
                    (TOKEN_HEADER,),
                )
            )
        elif verdict is AttemptVerdict.WRONG_SERVER and attempt is not None:
            self.wrong_server_count += 1
            again = {RETRY_HEADER: "1", self.table.settings.endpoint_header: attempt.address}
            if self.wrong_server_count >= MAX_WRONG_SERVERS:
                again = {}
                attempt.finish(AttemptResult(Outcome.NOT_SENT))
            answer(
                ev.ImmediateResponse(503, {REASON_HEADER: "other-node", **again}, "", "glenchute_other_node")
            )
        else:
            answer(self.final_message() if self.final_response is not None else failure_response("over"))

    def on_attempt_response(
        self, stream: UpstreamStream, status: int, details: str, load: str, answer: ev.RespondCallback
    ) -> None:
        """An attempt's response headers came: its ending, unless it has one."""
        attempt = stream.attempt
        if attempt is None or attempt.has_ended or self.is_finished:
            answer(PASS_RESPONSE)  # too late to matter: the downstream stream shows what counts
            return
        how = classify_response(status, details, self.table.settings.rejected_status)
        self.pending_attempt_response = answer
        attempt.finish(AttemptResult(how, b"" if how is Outcome.OK else None, load.encode() or None))

    def on_attempt_stream_closed(self, stream: UpstreamStream) -> None:
        """A stream of the node's side has ended, or broke."""
        if self.waiting_attempt is not None and self.waiting_attempt[0] is stream:
            self.waiting_attempt = None  # it was not let through, and now never will be
        self.open_attempt_streams.discard(stream)
        attempt = stream.attempt
        if attempt is not None and not attempt.has_ended:
            if self.client_stream is None and not self.is_detached:
                how = Outcome.CANCELLED  # its proxy is gone: no fault of the node's
            else:
                timed_out = self.table.loop.time() >= attempt.deadline - TIMEOUT_TOLERANCE_S
                how = Outcome.TIMEOUT if timed_out else Outcome.RESET
            attempt.finish(AttemptResult(how))
        elif (
            attempt is not None and self.pending_attempt_response is not None and attempt is self.attempts[-1]
        ):
            self.pending_attempt_response = (
                None  # nobody hears what follows from its response; the next attempt asks
            )
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
                how = Outcome.UNREACHABLE  # it never asked, and will not be let through
            attempt.finish(
                AttemptResult(
                    how, b"" if how is Outcome.OK else None, load.encode() or None, is_last_attempt=True
                )
            )
        if not self.is_finished:  # the module waits for something that the proxy won't do
            self.withdraw_request()
        self.show_client_response()

    def show_client_response(self) -> None:
        """Says what becomes of the client's response, once that is known."""
        if self.pending_client_response is None or not self.is_finished:
            return
        (status, answer), self.pending_client_response = self.pending_client_response, None
        outcome = RESPONSE_WORDS[type(self.final_response)] if self.final_response is not None else ""
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
        """The client's stream ended. Half-closed in order it only needs no more; broken, its proxy may open
        it again or be gone."""
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
        """Nobody opened the stream again: the client or its proxy is gone."""
        if self.client_stream is None and not self.is_finished:
            self.table.counts["abandoned"] += 1
            self.withdraw_request()
            for attempt in self.attempts:
                attempt.stop(Outcome.CANCELLED)
        self.remove_if_done()

    def withdraw_request(self) -> None:
        """No answer of ours is owed any more; the module hears that the request is gone."""
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
        """Off the table, once nothing can come for it. An attempt that outlives its request is waited for."""
        if (
            self.is_finished
            and self.client_stream is None
            and not self.open_attempt_streams
            and self.waiting_attempt is None
        ):
            self.table.remove(self)


class DownstreamStream:
    """A stream of the filter at the client's side: the request, then the response it gets."""

    __slots__ = ("abort", "buffered_body", "partial_request", "request", "table")

    def __init__(self, calls: RequestTable) -> None:
        self.table = calls
        self.request: ProxiedRequest | None = None
        self.partial_request: RequestView | None = None  # while a body is awaited
        self.buffered_body = bytearray()
        self.abort: Callable[[], None] | None = None

    def receive(self, message: ev.ProxyMessage, answer: ev.RespondCallback) -> None:
        """Takes one message; `answer` is called once, now or later."""
        match message:
            case ev.RequestHeaders():
                if self.request is not None or self.partial_request is not None:
                    answer(
                        ev.ContinueResponse("request_headers")
                    )  # a second time on one stream: changes nothing
                    return
                view = RequestView(
                    message.headers, message.metadata, body=b"" if message.end_of_stream else None
                )
                self.start_request(view, "request_headers", answer)
            case ev.RequestBody():
                self.buffer_body(message, answer)
            case ev.ResponseHeaders():
                if self.request is None:
                    answer(ev.ContinueResponse("response_headers"))
                    return
                status, details, load = self.table.read_response(message)
                self.request.on_client_response(status, details, load, answer)
            case ev.UnhandledMessage(kind):
                answer(ev.ContinueResponse(kind))
            case _:
                answer(None)

    def buffer_body(self, message: ev.RequestBody, answer: ev.RespondCallback) -> None:
        """A body, or a part of it, where the rules wait for it."""
        if self.partial_request is None:
            answer(ev.ContinueResponse("request_body"))
            return
        self.buffered_body += message.body
        if len(self.buffered_body) > MAX_BODY_BYTES:
            self.partial_request = None
            answer(invalid_request_response(MappingError("body-too-large", 413)))
        elif message.end_of_stream:
            view, self.partial_request = self.partial_request, None
            view.body = bytes(self.buffered_body)
            self.start_request(view, "request_body", answer)
        else:
            answer(ev.ContinueResponse("request_body"))

    def start_request(self, view: RequestView, kind: str, answer: ev.RespondCallback) -> None:
        """The request is known: a call is taken, or found again."""
        try:
            fields = self.table.settings.mapping_rules.map_request(view)
        except MappingError as error:
            self.table.counts["invalid"] += 1
            answer(invalid_request_response(error))
            return
        except BodyRequired:
            self.partial_request = view
            answer(ev.ContinueResponse(kind, wants_request_body=True))
            return

        def after_body(told: ev.ProcessorResponse | None) -> None:
            if isinstance(told, ev.ContinueResponse):
                told = ev.ContinueResponse(kind, told.set_headers, told.remove_headers, told.endpoint)
            answer(told)

        plain = kind == "request_headers"
        self.table.accept(
            self, fields, single_header(view.headers, TOKEN_HEADER), answer if plain else after_body
        )

    def close(self, clean: bool) -> None:
        """The stream is over; `clean` where the proxy ended it in order."""
        if self.request is not None:
            self.request.on_client_stream_closed(self, clean)


class UpstreamStream:
    """A stream of the filter at the node's side: one attempt."""

    __slots__ = ("abort", "attempt", "request", "table")

    def __init__(self, calls: RequestTable) -> None:
        self.table = calls
        self.request: ProxiedRequest | None = None
        self.attempt: ProxiedAttempt | None = None
        self.abort: Callable[[], None] | None = None

    def receive(self, message: ev.ProxyMessage, answer: ev.RespondCallback) -> None:
        """Takes one message; `answer` is called once, now or later."""
        match message:
            case ev.RequestHeaders():
                if self.request is not None:
                    answer(failure_response("asked-twice"))
                    return
                self.start_attempt(message, answer)
            case ev.ResponseHeaders():
                if self.request is None:
                    answer(ev.ContinueResponse("response_headers"))
                    return
                status, details, load = self.table.read_response(message)
                self.request.on_attempt_response(self, status, details, load, answer)
            case ev.RequestBody():
                answer(ev.ContinueResponse("request_body"))
            case ev.UnhandledMessage(kind):
                answer(ev.ContinueResponse(kind))
            case _:
                answer(None)

    def start_attempt(self, message: ev.RequestHeaders, answer: ev.RespondCallback) -> None:
        """An attempt asks to go."""
        token = self.table.signer.verify(single_header(message.headers, TOKEN_HEADER))
        entry = (
            self.table.requests_by_number.get(token.request_number)
            if token and token.process_id == self.table.signer.process_id
            else None
        )
        if entry is not None:
            self.request = entry
            entry.request_attempt(self, str(message.attributes.get("upstream.address", "")), answer)
        elif (
            token is not None
            and token.process_id != self.table.signer.process_id
            and self.table.may_resume(token)
        ):
            self.table.counts["followed"] += 1
            answer(ev.ContinueResponse("request_headers", remove_headers=(TOKEN_HEADER,)))
        else:
            self.table.counts["unproven"] += 1
            answer(failure_response("not-proven-unsent"))

    def close(self, clean: bool) -> None:
        """The stream is over."""
        if self.request is not None:
            self.request.on_attempt_stream_closed(self)


def rejection_response(retry_after_ms: float, reason: str) -> ev.ImmediateResponse:
    """No try ran, and none will: come again. Whole seconds upwards, as RFC 9110, 10.2.3 has them; the exact
    milliseconds beside it."""
    headers = {REASON_HEADER: reason, EFFECT_HEADER: "none"}
    if retry_after_ms > 0:
        headers["retry-after"] = str(max(1, -int(-retry_after_ms // 1000)))
        headers["x-glenchute-retry-after-ms"] = str(int(retry_after_ms))
    return ev.ImmediateResponse(429, headers, "", "glenchute_refused")


def failure_response(reason: str) -> ev.ImmediateResponse:
    """No promise about the effect. 500 and not 503, which clients and proxies try again."""
    return ev.ImmediateResponse(
        500, {REASON_HEADER: reason, EFFECT_HEADER: "unknown"}, "", f"glenchute_{reason}".replace("-", "_")
    )


def invalid_request_response(error: MappingError) -> ev.ImmediateResponse:
    """The rules can't read the request; nothing ran."""
    return ev.ImmediateResponse(
        error.status, {REASON_HEADER: error.reason, EFFECT_HEADER: "none"}, "", "glenchute_invalid"
    )


class RequestTable:
    """The table, bounded by `most_calls`."""

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
        self.counts: Counter[str] = Counter()  # for the operators
        self.used_headers = ways.mapping_rules.used_headers | {
            TOKEN_HEADER,
            ":status",
            ways.load_header,
        }  # headers that anybody reads
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
        """A request: the entry of its id if there is one, else a call on the decisions."""
        same = self.requests_by_id.get(fields.request_id) if fields.request_id else None
        if same is not None:
            self.reattach(same, stream, fields, answer)
            return
        token = self.signer.verify(token_text) if token_text else None
        proven = token is not None and token.class_name == fields.class_name and self.may_resume(token)
        if token_text and not proven:
            # Decided before, and whoever decided is not here to say what became of it.
            self.counts["unproven"] += 1
            answer(failure_response("not-proven-unsent"))
            return
        if len(self.requests_by_number) >= self.settings.max_calls:
            self.counts["table-full"] += 1
            answer(rejection_response(1000.0, "table-full"))
            return
        longest = self.settings.class_limits[fields.class_name][2]
        left_ms = min(fields.deadline_ms or longest, longest)
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
        """The id is in the table: the same request whose stream broke, or another one."""
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
        """Whether a request with such a token may be sent, which no entry here speaks for."""
        repeat, memory_ms, _ = self.settings.class_limits.get(
            token.class_name, (Idempotency.NON_IDEMPOTENT, 0.0, 0.0)
        )
        age_ms = self.wall_clock() * 1000.0 - token.decided_at_ms
        return may_send_undecided(
            repeat, token.class_name in self.settings.resumable_classes, age_ms, memory_ms
        )

    def first_decision(self, entry: ProxiedRequest, attempt: ProxiedAttempt) -> ev.ContinueResponse:
        """The first decision in the proxy's words."""
        repeat = self.settings.class_limits[entry.fields.class_name][0]
        left = entry.deadline - DEADLINE_MARGIN_S - self.loop.time()
        headers = {
            self.settings.endpoint_header: attempt.address,
            ROUTE_TIMEOUT_HEADER: format_timeout_ms(left),
            ATTEMPT_TIMEOUT_HEADER: format_timeout_ms(attempt.timeout_s),
            "x-envoy-max-retries": "0",
        }
        if self.settings.has_attempt_streams:
            token = self.signer.issue(entry.number, self.wall_clock() * 1000.0, entry.fields.class_name)
            headers[TOKEN_HEADER] = token
            headers["x-envoy-max-retries"] = str(2 * (self.settings.max_attempts - 1) + MAX_WRONG_SERVERS)
            again = "retriable-headers,connect-failure"
            headers["x-envoy-retry-on"] = again if repeat is Idempotency.NON_IDEMPOTENT else again + ",reset"
            headers["x-envoy-retriable-header-names"] = RETRY_HEADER
        return ev.ContinueResponse("request_headers", headers, (), attempt.address, True)

    def sweep(self) -> None:
        """The last end of every wait: entries whose deadline is long past. One timer for all of them, and
        none while the table is empty."""
        now = self.loop.time()
        for entry in [
            request
            for request in self.requests_by_number.values()
            if request.deadline + EXPIRY_GRACE_S <= now
        ]:
            entry.expire()
        self.sweep_timer = (
            self.loop.call_later(SWEEP_INTERVAL_S, self.sweep) if self.requests_by_number else None
        )

    def remove(self, entry: ProxiedRequest) -> None:
        """Off the table."""
        if self.requests_by_number.pop(entry.number, None) is None:
            return
        if entry.reconnect_timer is not None:
            entry.reconnect_timer.cancel()
        if self.requests_by_id.get(entry.fields.request_id) is entry:
            del self.requests_by_id[entry.fields.request_id]
