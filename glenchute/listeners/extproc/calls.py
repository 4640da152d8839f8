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

from glenchute.core.gateway import ActiveRequest, RequestExecutor
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
from glenchute.policy.retries.proxied_attempts import Asking, Gate, Show, ending, gate, may_follow, show
from glenchute.policy.services.request_mapping import Fields, MappingError, NeedsBody, Rules, View
from glenchute.policy.settings import Idempotency

from . import events as ev
from .token import Signer, Token

log = logging.getLogger("glenchute")

TOKEN = "x-glenchute-token"
RETRY = "x-glenchute-retry"  # on a response: the proxy is to try again
REASON = "x-glenchute-reason"
EFFECT = "x-glenchute-effect"  # "none": no try ran; "unknown": no promise
TIMEOUT = "x-envoy-upstream-rq-timeout-ms"
TRY_TIMEOUT = "x-envoy-upstream-rq-per-try-timeout-ms"
EXPECTED = "x-envoy-expected-rq-timeout-ms"  # what a node is told of the time that it has
# The final response in the words of the counters and of `proxied_attempts`.
RESPONSE_WORDS: dict[type[FinalResponse], str] = {
    Served: "served",
    Streamed: "streamed",
    Rejected: "refused",
    Failed: "failed",
}
PASSED = ev.Go("response_headers", {}, (RETRY,))  # a node must not ask for a retry in the module's name
SWEEP_S = 0.25
AFTERMATH_S = 1.0  # an entry outlives its request's deadline by this at most
MARGIN_S = 0.01  # the proxy's time ends this long before the client's, as the core's attempts do
STRAYS = 3  # times in a row that an attempt asks for another node, after which the request is given up
MOST_BODY = 64 * 1024  # bytes of a body that a rule needs
TIMEOUT_SLACK_S = 0.001  # what ends without a word this long before its time, or later, ran out of it


@record(frozen=True, slots=True)
class Ways:
    """The operator's settings of the front; times in seconds."""

    rules: Rules
    repeats: Mapping[
        str, tuple[Idempotency, float, float]
    ]  # class: repeat, memory (ms), longest deadline (ms)
    most_calls: int = 10_000
    reopen_s: float = 0.25
    attempt_streams: bool = True  # a filter at the node's side asks for each attempt
    endpoint_header: str = "x-gateway-destination-endpoint"
    load_header: str = "x-glenchute-load"
    full_status: int = 429
    open_classes: frozenset[str] = frozenset()  # may follow a decision of an earlier process
    max_attempts: int = 3


def hostport(address: Address) -> str:
    """As a proxy writes it."""
    return f"{address[0]}:{address[1]}" if ":" not in address[0] else f"[{address[0]}]:{address[1]}"


def whole_ms(seconds: float) -> str:
    """Whole milliseconds, rounded down, so that the proxy's clock runs out no later than ours; 1 at least."""
    return str(max(1, int(1000.0 * seconds + 1e-6)))


def one(headers: Mapping[str, list[bytes]], name: str) -> str:
    """A header's only value, "" without one or with several."""
    values = headers.get(name, ())
    return values[0].decode("latin-1") if len(values) == 1 and len(values[0]) <= 4096 else ""


@record(slots=True)
class Asked(Call):
    """A request whose attempts its proxy makes."""

    entry: Entry | None = None

    def encode(self, left_ms: int) -> bytes:
        return b""

    @property
    def transport(self) -> AttemptTransport | None:
        return self.entry


class Try:
    """An attempt that the proxy makes, from the module's choice to its one ending."""

    __slots__ = (
        "address",
        "done",
        "entry",
        "is_wanted",
        "is_written",
        "on_response_started",
        "over",
        "server",
        "started_at",
        "stream",
        "timeout_s",
        "timer",
        "until",
        "write_by",
    )

    def __init__(
        self,
        entry: Entry,
        server: str,
        address: Address,
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
    ) -> None:
        self.entry, self.server, self.address = entry, server, hostport(address)
        self.timeout_s, self.done, self.write_by = timeout_s, done, write_by
        self.started_at = entry.calls.loop.time()
        self.until = self.started_at + timeout_s
        self.is_written = False  # the proxy was let through: it may have run
        self.over = False
        self.on_response_started: Callable[[ResponseSource], None] | None = (
            None  # values go by the proxy, however long
        )
        self.is_wanted: Callable[[], bool] | None = None  # the proxy writes
        self.stream: Upstream | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Tells the proxy, or has it wait to be asked."""
        self.timer = self.entry.calls.loop.call_at(self.until, self.stop, Outcome.TIMEOUT)
        self.entry.offered(self)

    def stop(self, why: Outcome) -> None:
        """A time-out or a cancel. What was not let through will not be; what was is cut off, as far as a
        processor can, and no other attempt passes before its stream has ended."""
        if self.over:
            return
        stream = self.stream
        self.end(AttemptResult(why if self.is_written else Outcome.NOT_SENT))
        if stream is not None and stream.abort is not None:
            stream.abort()

    def end(self, result: AttemptResult) -> None:
        """The one ending; later ones are dropped."""
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        self.done(result)


class Entry:
    """One request of a proxy."""

    __slots__ = (
        "ask",
        "asking",
        "calls",
        "deadline",
        "detached",
        "fields",
        "final",
        "first",
        "held",
        "live",
        "may_have_run",
        "open",
        "ref",
        "reopen",
        "settled",
        "shown",
        "strays",
        "stream",
        "tries",
    )  # fmt: skip

    def __init__(self, calls: Calls, ref: int, fields: Fields, deadline: float) -> None:
        self.calls, self.ref, self.fields, self.deadline = calls, ref, fields, deadline
        self.live: ActiveRequest | None = None
        self.first: ev.Go | None = None  # the first decision, told again where its stream is opened again
        self.stream: Downstream | None = None
        self.ask: ev.Answer | None = None  # the proxy waits for the first decision
        self.asking: tuple[Upstream, str, ev.Answer] | None = None  # an attempt waits to be let through
        self.held: ev.Answer | None = None  # an attempt's response waits for what follows from it
        self.shown: tuple[int, ev.Answer] | None = None  # the client's response waits for the final answer
        self.detached = False  # the proxy shows no response here: the attempt's stream must
        self.final: FinalResponse | None = None
        self.settled = False  # the final answer is known, or the proxy has given its own
        self.may_have_run = False
        self.strays = 0
        self.tries: list[Try] = []
        self.open: set[Upstream] = set()  # streams of attempts that were let through
        self.reopen: asyncio.TimerHandle | None = None

    # --- as the carrier ----------------------------------------------------------------------------------

    def create_attempt(
        self,
        server: str,
        payload: Callable[[int], bytes],
        timeout_s: float,
        done: Callable[[AttemptResult], None],
        write_by: float,
        about: AttemptContext | None = None,
    ) -> Try | None:
        """An attempt that the proxy is to make; None where the node takes nothing (any more)."""
        address = self.calls.gateway.upstream.address(server)
        if address is None or self.settled:
            return None
        self.tries.append(Try(self, server, address, timeout_s, done, write_by))
        return self.tries[-1]

    def offered(self, attempt: Try) -> None:
        """The module has chosen: whoever waits for that hears it."""
        if self.first is None:
            self.first = self.calls.admission(self, attempt)
            if not self.calls.ways.attempt_streams:
                attempt.is_written = self.may_have_run = True
            if self.ask is not None:
                answer, self.ask = self.ask, None
                answer(self.first)
        elif self.held is not None:
            answer, self.held = self.held, None
            name = self.calls.ways.endpoint_header
            again = {RETRY: "1", name: attempt.address}
            answer(ev.Go("response_headers", again, endpoint=attempt.address))
        self.judge()

    def answered(self, answer: FinalResponse) -> None:
        """The core's one final answer."""
        self.final, self.settled = answer, True
        self.calls.counts[RESPONSE_WORDS[type(answer)]] += 1
        if self.ask is not None:
            ask, self.ask = self.ask, None
            ask(self.last_word())
        if self.held is not None:
            held, self.held = self.held, None
            unserved = self.detached and not isinstance(answer, Served)
            held(self.last_word() if unserved else PASSED)
        self.judge()
        self.reveal()
        self.leave()

    def last_word(self) -> ev.Told:
        """The final answer as an immediate response."""
        if isinstance(self.final, Rejected):
            return refusal(self.final.retry_after_ms, "refused")
        return failure("failed")

    # --- the attempts' streams ---------------------------------------------------------------------------

    def ask_attempt(self, stream: Upstream, going_to: str, answer: ev.Answer) -> None:
        """A stream of the node's side asks whether its attempt may go."""
        if self.asking is not None:
            answer(failure("attempt-in-waiting"))  # one at a time: the other has not been let through
            return
        self.asking = stream, going_to, answer
        self.judge()

    def judge(self) -> None:
        """Looks at the attempt that waits to be let through."""
        if self.asking is None:
            return
        stream, going_to, answer = self.asking
        attempt = self.tries[-1] if self.tries else None
        offered = attempt is not None and not attempt.over and not attempt.is_written
        known = Asking(
            final=self.settled,
            offered=offered,
            others_open=bool(self.open),
            going_to=going_to,
            chosen=attempt.address if attempt else "",
            takes_work=attempt is not None
            and self.calls.gateway.upstream.address(attempt.server) is not None,
            in_time=attempt is not None and self.calls.loop.time() <= attempt.write_by,
        )
        verdict = gate(known)
        self.calls.counts[f"gate-{verdict.value}"] += 1
        if verdict is Gate.HOLD:
            return
        if verdict is Gate.LATE and attempt is not None:
            attempt.end(
                AttemptResult(Outcome.UNREACHABLE)
            )  # the module's next word comes by `offered` or `answered`
            return
        self.asking = None
        if verdict is Gate.PASS and attempt is not None:
            attempt.is_written = self.may_have_run = True
            attempt.stream, stream.attempt = stream, attempt
            self.open.add(stream)
            self.strays = 0
            left = whole_ms(attempt.until - self.calls.loop.time())
            answer(ev.Go("request_headers", {TRY_TIMEOUT: left, EXPECTED: left}, (TOKEN,)))
        elif verdict is Gate.NODE and attempt is not None:
            self.strays += 1
            again = {RETRY: "1", self.calls.ways.endpoint_header: attempt.address}
            if self.strays >= STRAYS:
                again = {}
                attempt.end(AttemptResult(Outcome.NOT_SENT))
            answer(ev.Reply(503, {REASON: "other-node", **again}, "", "glenchute_other_node"))
        else:
            answer(self.last_word() if self.final is not None else failure("over"))

    def attempt_answered(
        self, stream: Upstream, status: int, details: str, load: str, answer: ev.Answer
    ) -> None:
        """An attempt's response headers came: its ending, unless it has one."""
        attempt = stream.attempt
        if attempt is None or attempt.over or self.settled:
            answer(PASSED)  # too late to matter: the downstream stream shows what counts
            return
        how = ending(status, details, self.calls.ways.full_status)
        self.held = answer
        attempt.end(AttemptResult(how, b"" if how is Outcome.OK else None, load.encode() or None))

    def attempt_closed(self, stream: Upstream) -> None:
        """A stream of the node's side has ended, or broke."""
        if self.asking is not None and self.asking[0] is stream:
            self.asking = None  # it was not let through, and now never will be
        self.open.discard(stream)
        attempt = stream.attempt
        if attempt is not None and not attempt.over:
            if self.stream is None and not self.detached:
                how = Outcome.CANCELLED  # its proxy is gone: no fault of the node's
            else:
                timed_out = self.calls.loop.time() >= attempt.until - TIMEOUT_SLACK_S
                how = Outcome.TIMEOUT if timed_out else Outcome.RESET
            attempt.end(AttemptResult(how))
        elif attempt is not None and self.held is not None and attempt is self.tries[-1]:
            self.held = None  # nobody hears what follows from its response; the next attempt asks
        self.judge()
        self.leave()

    # --- the client's stream -----------------------------------------------------------------------------

    def client_shown(self, status: int, details: str, load: str, answer: ev.Answer) -> None:
        """The proxy is about to give its client a response: no attempt follows any more."""
        self.shown = status, answer
        attempt = self.tries[-1] if self.tries else None
        if not self.settled and attempt is not None and not attempt.over:
            if attempt.is_written:
                how = ending(status, details, self.calls.ways.full_status)
            else:
                how = Outcome.UNREACHABLE  # it never asked, and will not be let through
            attempt.end(
                AttemptResult(
                    how, b"" if how is Outcome.OK else None, load.encode() or None, is_last_attempt=True
                )
            )
        if not self.settled:  # the module waits for something that the proxy won't do
            self.give_up()
        self.reveal()

    def reveal(self) -> None:
        """Says what becomes of the client's response, once that is known."""
        if self.shown is None or not self.settled:
            return
        (status, answer), self.shown = self.shown, None
        outcome = RESPONSE_WORDS[type(self.final)] if self.final is not None else ""
        match show(outcome, self.may_have_run, status):
            case Show.THROUGH:
                extra = {EFFECT: "unknown"} if status >= 500 and self.may_have_run else {}
                hidden = (RETRY, TOKEN, self.calls.ways.endpoint_header)
                answer(ev.Go("response_headers", extra, hidden))
            case Show.REFUSAL:
                answer(self.last_word())
            case Show.UNKNOWN:
                answer(failure("failed"))

    def client_closed(self, stream: Downstream, clean: bool) -> None:
        """The client's stream ended. Half-closed in order it only needs no more; broken, its proxy may open
        it again or be gone."""
        if self.stream is not stream:
            return
        self.stream, self.ask, self.shown = None, None, None
        if clean and self.first is not None:
            self.detached = True
        elif not self.settled:
            self.reopen = self.calls.loop.call_later(self.calls.ways.reopen_s, self.abandon)
        self.leave()

    def abandon(self) -> None:
        """Nobody opened the stream again: the client or its proxy is gone."""
        if self.stream is None and not self.settled:
            self.calls.counts["abandoned"] += 1
            self.give_up()
            for attempt in self.tries:
                attempt.stop(Outcome.CANCELLED)
        self.leave()

    def give_up(self) -> None:
        """No answer of ours is owed any more; the module hears that the request is gone."""
        self.settled = True
        if self.live is not None:
            self.calls.gateway.client_disconnected(self.live)
        self.judge()

    def expire(self) -> None:
        """The last end of every wait."""
        if not self.settled:
            self.calls.counts["expired"] += 1
            self.give_up()
        for attempt in self.tries:
            attempt.stop(Outcome.CANCELLED)
        for waiting in (self.ask, self.held, self.shown[1] if self.shown else None):
            if waiting is not None:
                waiting(failure("expired"))
        self.ask = self.held = self.shown = None
        if self.stream is not None and self.stream.abort is not None:
            self.stream.abort()  # its proxy neither reads nor ends it
        self.calls.drop(self)

    def leave(self) -> None:
        """Off the table, once nothing can come for it. An attempt that outlives its request is waited for."""
        if self.settled and self.stream is None and not self.open and self.asking is None:
            self.calls.drop(self)


class Downstream:
    """A stream of the filter at the client's side: the request, then the response it gets."""

    __slots__ = ("abort", "body", "calls", "entry", "view")

    def __init__(self, calls: Calls) -> None:
        self.calls = calls
        self.entry: Entry | None = None
        self.view: View | None = None  # while a body is awaited
        self.body = bytearray()
        self.abort: Callable[[], None] | None = None

    def receive(self, message: ev.Said, answer: ev.Answer) -> None:
        """Takes one message; `answer` is called once, now or later."""
        match message:
            case ev.RequestHeaders():
                if self.entry is not None or self.view is not None:
                    answer(ev.Go("request_headers"))  # a second time on one stream: changes nothing
                    return
                view = View(message.headers, message.metadata, body=b"" if message.end else None)
                self.begin(view, "request_headers", answer)
            case ev.RequestBody():
                self.take_body(message, answer)
            case ev.ResponseHeaders():
                if self.entry is None:
                    answer(ev.Go("response_headers"))
                    return
                status, details, load = self.calls.told(message)
                self.entry.client_shown(status, details, load, answer)
            case ev.Other(kind):
                answer(ev.Go(kind))
            case _:
                answer(None)

    def take_body(self, message: ev.RequestBody, answer: ev.Answer) -> None:
        """A body, or a part of it, where the rules wait for it."""
        if self.view is None:
            answer(ev.Go("request_body"))
            return
        self.body += message.body
        if len(self.body) > MOST_BODY:
            self.view = None
            answer(invalid(MappingError("body-too-large", 413)))
        elif message.end:
            view, self.view = self.view, None
            view.body = bytes(self.body)
            self.begin(view, "request_body", answer)
        else:
            answer(ev.Go("request_body"))

    def begin(self, view: View, kind: str, answer: ev.Answer) -> None:
        """The request is known: a call is taken, or found again."""
        try:
            fields = self.calls.ways.rules.fields(view)
        except MappingError as error:
            self.calls.counts["invalid"] += 1
            answer(invalid(error))
            return
        except NeedsBody:
            self.view = view
            answer(ev.Go(kind, want_body=True))
            return

        def after_body(told: ev.Told | None) -> None:
            if isinstance(told, ev.Go):
                told = ev.Go(kind, told.set_headers, told.remove_headers, told.endpoint)
            answer(told)

        plain = kind == "request_headers"
        self.calls.take(self, fields, one(view.headers, TOKEN), answer if plain else after_body)

    def close(self, clean: bool) -> None:
        """The stream is over; `clean` where the proxy ended it in order."""
        if self.entry is not None:
            self.entry.client_closed(self, clean)


class Upstream:
    """A stream of the filter at the node's side: one attempt."""

    __slots__ = ("abort", "attempt", "calls", "entry")

    def __init__(self, calls: Calls) -> None:
        self.calls = calls
        self.entry: Entry | None = None
        self.attempt: Try | None = None
        self.abort: Callable[[], None] | None = None

    def receive(self, message: ev.Said, answer: ev.Answer) -> None:
        """Takes one message; `answer` is called once, now or later."""
        match message:
            case ev.RequestHeaders():
                if self.entry is not None:
                    answer(failure("asked-twice"))
                    return
                self.begin(message, answer)
            case ev.ResponseHeaders():
                if self.entry is None:
                    answer(ev.Go("response_headers"))
                    return
                status, details, load = self.calls.told(message)
                self.entry.attempt_answered(self, status, details, load, answer)
            case ev.RequestBody():
                answer(ev.Go("request_body"))
            case ev.Other(kind):
                answer(ev.Go(kind))
            case _:
                answer(None)

    def begin(self, message: ev.RequestHeaders, answer: ev.Answer) -> None:
        """An attempt asks to go."""
        token = self.calls.signer.read(one(message.headers, TOKEN))
        entry = self.calls.by_ref.get(token.ref) if token and token.boot == self.calls.signer.boot else None
        if entry is not None:
            self.entry = entry
            entry.ask_attempt(self, str(message.attributes.get("upstream.address", "")), answer)
        elif token is not None and token.boot != self.calls.signer.boot and self.calls.may_follow(token):
            self.calls.counts["followed"] += 1
            answer(ev.Go("request_headers", remove_headers=(TOKEN,)))
        else:
            self.calls.counts["unproven"] += 1
            answer(failure("not-proven-unsent"))

    def close(self, clean: bool) -> None:
        """The stream is over."""
        if self.entry is not None:
            self.entry.attempt_closed(self)


def refusal(retry_after_ms: float, reason: str) -> ev.Reply:
    """No try ran, and none will: come again. Whole seconds upwards, as RFC 9110, 10.2.3 has them; the exact
    milliseconds beside it."""
    headers = {REASON: reason, EFFECT: "none"}
    if retry_after_ms > 0:
        headers["retry-after"] = str(max(1, -int(-retry_after_ms // 1000)))
        headers["x-glenchute-retry-after-ms"] = str(int(retry_after_ms))
    return ev.Reply(429, headers, "", "glenchute_refused")


def failure(reason: str) -> ev.Reply:
    """No promise about the effect. 500 and not 503, which clients and proxies try again."""
    return ev.Reply(500, {REASON: reason, EFFECT: "unknown"}, "", f"glenchute_{reason}".replace("-", "_"))


def invalid(error: MappingError) -> ev.Reply:
    """The rules can't read the request; nothing ran."""
    return ev.Reply(error.status, {REASON: error.reason, EFFECT: "none"}, "", "glenchute_invalid")


class Calls:
    """The table, bounded by `most_calls`."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, gateway: RequestExecutor, ways: Ways, signer: Signer
    ) -> None:
        self.loop, self.gateway, self.ways, self.signer = loop, gateway, ways, signer
        self.by_ref: dict[int, Entry] = {}
        self.by_id: dict[str, Entry] = {}
        self.serial = 0
        self.sweeper: asyncio.TimerHandle | None = None
        self.counts: Counter[str] = Counter()  # for the operators
        self.wanted = ways.rules.read | {TOKEN, ":status", ways.load_header}  # headers that anybody reads
        self.wall = time.time

    def stream(self, upstream: bool) -> Downstream | Upstream:
        """A new stream of one of the two filters."""
        self.counts["streams"] += 1
        return Upstream(self) if upstream else Downstream(self)

    def told(self, message: ev.ResponseHeaders) -> tuple[int, str, str]:
        """Status, response code details and load report of a response."""
        digits = one(message.headers, ":status")
        status = int(digits) if digits.isdecimal() and len(digits) == 3 else 0
        details = str(message.attributes.get("response.code_details", ""))
        return status, details, one(message.headers, self.ways.load_header)

    def take(self, stream: Downstream, fields: Fields, token_text: str, answer: ev.Answer) -> None:
        """A request: the entry of its id if there is one, else a call on the decisions."""
        same = self.by_id.get(fields.request_id) if fields.request_id else None
        if same is not None:
            self.again(same, stream, fields, answer)
            return
        token = self.signer.read(token_text) if token_text else None
        proven = token is not None and token.class_name == fields.class_name and self.may_follow(token)
        if token_text and not proven:
            # Decided before, and whoever decided is not here to say what became of it.
            self.counts["unproven"] += 1
            answer(failure("not-proven-unsent"))
            return
        if len(self.by_ref) >= self.ways.most_calls:
            self.counts["table-full"] += 1
            answer(refusal(1000.0, "table-full"))
            return
        longest = self.ways.repeats[fields.class_name][2]
        left_ms = min(fields.deadline_ms or longest, longest)
        self.serial += 1
        entry = Entry(self, self.serial, fields, self.loop.time() + left_ms / 1000.0)
        entry.stream, entry.ask, stream.entry = stream, answer, entry
        self.by_ref[entry.ref] = entry
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        if fields.request_id:
            self.by_id[fields.request_id] = entry
        call = Asked(
            fields.request_id.encode(), fields.class_name, fields.plan, fields.account, left_ms, fields.units,
            fields.spread, entry,
        )  # fmt: skip
        try:
            live = self.gateway.accept(call, entry.answered)
        except Exception:
            log.exception("a call failed")
            entry.expire()
            return
        if not entry.settled:
            entry.live = live

    def again(self, entry: Entry, stream: Downstream, fields: Fields, answer: ev.Answer) -> None:
        """The id is in the table: the same request whose stream broke, or another one."""
        if entry.stream is not None or entry.detached or entry.fields != fields:
            self.counts["id-in-use"] += 1
            answer(ev.Reply(409, {REASON: "id-in-use", EFFECT: "unknown"}, "", "glenchute_id_in_use"))
            return
        self.counts["reopened"] += 1
        entry.stream, stream.entry = stream, entry
        if entry.settled:
            answer(entry.last_word())
        elif entry.first is not None:
            answer(entry.first)
        else:
            entry.ask = answer

    def may_follow(self, token: Token) -> bool:
        """Whether a request with such a token may be sent, which no entry here speaks for."""
        repeat, memory_ms, _ = self.ways.repeats.get(token.class_name, (Idempotency.NON_IDEMPOTENT, 0.0, 0.0))
        age_ms = self.wall() * 1000.0 - token.first_ms
        return may_follow(repeat, token.class_name in self.ways.open_classes, age_ms, memory_ms)

    def admission(self, entry: Entry, attempt: Try) -> ev.Go:
        """The first decision in the proxy's words."""
        repeat = self.ways.repeats[entry.fields.class_name][0]
        left = entry.deadline - MARGIN_S - self.loop.time()
        headers = {
            self.ways.endpoint_header: attempt.address,
            TIMEOUT: whole_ms(left),
            TRY_TIMEOUT: whole_ms(attempt.timeout_s),
            "x-envoy-max-retries": "0",
        }
        if self.ways.attempt_streams:
            token = self.signer.issue(entry.ref, self.wall() * 1000.0, entry.fields.class_name)
            headers[TOKEN] = token
            headers["x-envoy-max-retries"] = str(2 * (self.ways.max_attempts - 1) + STRAYS)
            again = "retriable-headers,connect-failure"
            headers["x-envoy-retry-on"] = again if repeat is Idempotency.NON_IDEMPOTENT else again + ",reset"
            headers["x-envoy-retriable-header-names"] = RETRY
        return ev.Go("request_headers", headers, (), attempt.address, True)

    def sweep(self) -> None:
        """The last end of every wait: entries whose deadline is long past. One timer for all of them, and
        none while the table is empty."""
        now = self.loop.time()
        for entry in [one for one in self.by_ref.values() if one.deadline + AFTERMATH_S <= now]:
            entry.expire()
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep) if self.by_ref else None

    def drop(self, entry: Entry) -> None:
        """Off the table."""
        if self.by_ref.pop(entry.ref, None) is None:
            return
        if entry.reopen is not None:
            entry.reopen.cancel()
        if self.by_id.get(entry.fields.request_id) is entry:
            del self.by_id[entry.fields.request_id]
