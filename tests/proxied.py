"""A proxy in the simulated time of `simulated.py`, in front of the external processor's request table.

It behaves as the operators' page asks of a proxy: it gets a decision on each request and each attempt,
retries only where a decision says so (or, if it does not report how an attempt ended, after a reset), and
sends its client the response that the downstream stream gives. The rules are checked on the servers' records,
as for the inline gateway.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from glenchute.core.types import Failed, FinalResponse, Rejected, Served
from glenchute.listeners.extproc import events as ev
from glenchute.listeners.extproc.settings import ClassLimits, ExtProcSettings
from glenchute.listeners.extproc.streams import DownstreamStream, UpstreamStream
from glenchute.listeners.extproc.table import RequestTable
from glenchute.listeners.extproc.token import TokenSigner
from glenchute.policy.events import Outcome
from glenchute.policy.services.request_mapping import MappingRules
from glenchute.policy.settings import Idempotency
from tests.platform_facts import FACTS
from tests.simulated import AttemptRecord, PlannedOutcome, SimulatedCall, SimulatedSite

SOURCES = {
    "class": "header:x-class", "account": "header:x-account", "plan": "header:x-plan",
    "id": "header:x-request-id", "key": "header:idempotency-key", "deadline_ms": "header:x-deadline-ms",
    "spread": "value:1",
}  # fmt: skip
ACCOUNT = "00000000000000c1"
# Status and `response.code_details` with which the proxy reports each outcome of an attempt.
DETAILS = {
    Outcome.OK: (200, "via_upstream"),
    Outcome.ERROR: (500, "via_upstream"),
    Outcome.REJECTED: (429, "via_upstream"),
    Outcome.RESET: (503, "upstream_reset_before_response_started{connection_termination}"),
    Outcome.TIMEOUT: (504, "upstream_per_try_timeout"),
    Outcome.UNREACHABLE: (503, "upstream_reset_before_response_started{remote_connection_failure}"),
}


def extproc_settings(**changes: Any) -> ExtProcSettings:
    """Returns the listener's settings for the classes and plans of `platform_facts.py`."""
    classes = {name: cls.idempotency is Idempotency.WITH_KEY for name, cls in FACTS.classes.items()}
    rules = MappingRules(SOURCES, (), classes, FACTS.plans, 1)
    limits = {
        name: ClassLimits(cls.idempotency, cls.idempotency_window_ms, 1e6)
        for name, cls in FACTS.classes.items()
    }
    return ExtProcSettings(rules, limits, **{"max_attempts": 5, **changes})


def headers(**named: str) -> dict[str, list[bytes]]:
    """Returns headers by name, with `_` replaced by `-`."""
    return {name.replace("_", "-"): [value.encode()] for name, value in named.items()}


def responded(status: int, details: str) -> ev.ResponseHeaders:
    """Returns a response with the attribute that tells its origin."""
    given = headers(**{":status": str(status)})
    return ev.ResponseHeaders(given, attributes={"response.code_details": details})


@dataclass
class ProxyClient:
    """One client request at the proxy."""

    proxy: SimulatedProxy
    request: bytes
    downstream: DownstreamStream
    attempts: int = 0
    upstream: UpstreamStream | None = None
    record: AttemptRecord | None = None
    token: str = ""
    endpoint: str = ""
    max_attempts: int = 0
    retry_on: str = ""
    is_finished: bool = False
    responses: list[tuple[float, FinalResponse]] = field(default_factory=list)

    def on_request_decision(self, decision: ev.ProcessorResponse | None) -> None:
        """Handles the decision on the request: starts the first attempt, or ends with the given response."""
        if self.is_finished:
            return
        if isinstance(decision, ev.ImmediateResponse):
            self.finish(self.proxy.final_response(decision))
            self.downstream.close(True)
            return
        assert isinstance(decision, ev.ContinueResponse)
        self.endpoint = decision.set_headers["x-gateway-destination-endpoint"]
        self.token = decision.set_headers["x-glenchute-token"]
        self.max_attempts = 1 + int(decision.set_headers["x-envoy-max-retries"])
        self.retry_on = decision.set_headers["x-envoy-retry-on"]
        left = int(decision.set_headers["x-envoy-upstream-rq-timeout-ms"]) / 1000.0
        self.proxy.loop.call_later(left * self.proxy.clock_factor, self.on_route_timeout)
        self.start_attempt()

    def start_attempt(self) -> None:
        """Asks for permission for an attempt."""
        self.attempts += 1
        upstream = self.upstream = UpstreamStream(self.proxy.calls)
        upstream.abort = lambda: self.proxy.loop.call_later(0.0, self.on_attempt_aborted, upstream) and None
        request_headers = headers(x_glenchute_token=self.token)
        upstream.receive(
            ev.RequestHeaders(request_headers, attributes={"upstream.address": self.endpoint}),
            lambda decision: self.on_attempt_decision(upstream, decision),
        )

    def on_attempt_decision(self, upstream: UpstreamStream, decision: ev.ProcessorResponse | None) -> None:
        """Handles the decision on an attempt: sends it, tries another endpoint, or gives up."""
        if self.upstream is not upstream or self.is_finished:
            return
        if isinstance(decision, ev.ImmediateResponse):
            self.upstream = None
            upstream.close(True)
            if decision.headers.get("x-glenchute-retry") and self.attempts < self.max_attempts:
                self.endpoint = decision.headers["x-gateway-destination-endpoint"]
                self.start_attempt()
            else:
                self.respond(decision.status, "")
            return
        assert isinstance(decision, ev.ContinueResponse)
        server = self.proxy.names[self.endpoint]
        timeout_s = int(decision.set_headers["x-envoy-upstream-rq-per-try-timeout-ms"]) / 1000.0
        record = self.record = AttemptRecord(self.request, server, self.proxy.loop.now, timeout_s=timeout_s)
        planned = self.proxy.site.servers.plan_attempt(record)
        loop, connect_s = self.proxy.loop, self.proxy.site.connect_s
        loop.call_later(
            timeout_s * self.proxy.clock_factor, self.on_attempt_ended, upstream, record, Outcome.TIMEOUT
        )
        after_connect = planned if planned.connect_s <= connect_s else None
        loop.call_later(min(planned.connect_s, connect_s), self.on_connected, upstream, record, after_connect)

    def on_connected(
        self, upstream: UpstreamStream, record: AttemptRecord, planned: PlannedOutcome | None
    ) -> None:
        """Sends the request's bytes, or ends the attempt where the connection failed (`planned` is None)."""
        if record.outcome is not None:
            return
        if planned is None:
            self.on_attempt_ended(upstream, record, Outcome.UNREACHABLE)
            return
        record.sent_at = self.proxy.loop.now
        self.proxy.site.servers.check_sent(record)
        if planned.duration_s < 1e6:
            self.proxy.loop.call_later(
                planned.duration_s, self.on_attempt_ended, upstream, record, planned.outcome
            )

    def on_attempt_ended(self, upstream: UpstreamStream, record: AttemptRecord, outcome: Outcome) -> None:
        """Ends the attempt, and reports its outcome as a response or only by the end of the stream."""
        if record.outcome is not None:
            return
        record.ended_at, record.outcome = self.proxy.loop.now, outcome
        status, details = DETAILS[outcome]
        if self.proxy.reports_outcomes or details == "via_upstream":
            upstream.receive(
                responded(status, details),
                lambda decision: self.on_response_decision(upstream, decision, status, details),
            )
            return
        self.upstream = None
        upstream.close(False)
        if "reset" in self.retry_on and self.attempts < self.max_attempts and not self.is_finished:
            self.start_attempt()
        else:
            self.respond(status, details)

    def on_response_decision(
        self, upstream: UpstreamStream, decision: ev.ProcessorResponse | None, status: int, details: str
    ) -> None:
        """Handles the decision on an attempt's response: retries, or responds to the client."""
        if self.upstream is not upstream:
            return
        self.upstream = None
        upstream.close(True)
        assert isinstance(decision, ev.ContinueResponse)
        may_retry = self.attempts < self.max_attempts and not self.is_finished
        if decision.set_headers.get("x-glenchute-retry") and may_retry:
            self.endpoint = decision.set_headers["x-gateway-destination-endpoint"]
            self.start_attempt()
        else:
            self.respond(status, details)

    def on_attempt_aborted(self, upstream: UpstreamStream) -> None:
        """Handles a reset of the attempt's stream by the processor: ends the attempt with status 500."""
        if self.upstream is upstream:
            self.abort_attempt()
            self.respond(500, "")

    def abort_attempt(self, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Closes the connection of the attempt in flight, if any."""
        upstream, self.upstream = self.upstream, None
        if self.record is not None and self.record.outcome is None:
            self.record.ended_at, self.record.outcome = self.proxy.loop.now, outcome
        if upstream is not None:
            upstream.close(False)

    def on_route_timeout(self) -> None:
        """Handles the proxy's own timeout for the request."""
        if not self.is_finished and not self.responses:
            self.abort_attempt(Outcome.TIMEOUT)
            self.respond(504, "response_timeout")

    def respond(self, status: int, details: str) -> None:
        """Responds to the client with what the downstream stream makes of a response."""
        if self.is_finished:
            return
        self.is_finished = True

        def on_decision(decision: ev.ProcessorResponse | None) -> None:
            if isinstance(decision, ev.ImmediateResponse):
                self.finish(self.proxy.final_response(decision))
            else:
                self.finish(Served(self.request) if status < 500 and status != 429 else Failed())
            self.downstream.close(True)

        self.downstream.receive(responded(status, details), on_decision)

    def finish(self, response: FinalResponse) -> None:
        """Records the client's final response."""
        self.is_finished = True
        self.responses.append((self.proxy.loop.now, response))

    def disconnect(self, clean: bool = False) -> None:
        """Disconnects the client, or the whole proxy."""
        self.is_finished = True
        self.abort_attempt()
        self.downstream.close(clean)


class SimulatedProxy:
    """A proxy in front of a simulated site.

    With `reports_outcomes` it reports by a local reply how an attempt without a response ended.
    `clock_factor` is the number of simulated seconds in which the proxy's clock counts one.
    """

    def __init__(
        self, site: SimulatedSite, reports_outcomes: bool = True, clock_factor: float = 1.0, **changes: Any
    ) -> None:
        self.site, self.reports_outcomes, self.clock_factor = site, reports_outcomes, clock_factor
        self.loop = cast(Any, site.loop)
        self.calls = RequestTable(
            self.loop, site.gateway, extproc_settings(**changes), TokenSigner(b"k" * 32)
        )
        self.calls.wall_clock = lambda: float(site.loop.now)
        self.names = {f"127.0.0.1:{7000 + n}": f"s{n}" for n in range(6)}
        self.clients: dict[bytes, ProxyClient] = {}

    def send_request(
        self, class_name: str, left_ms: float, plan: str = "osnovni", number: int | None = None
    ) -> ProxyClient:
        """Sends a client's request. For proxies in front of one site, pass different numbers, which become
        the request ids."""
        request = b"%d" % (len(self.clients) + 1 if number is None else number)
        call = SimulatedCall(
            request, class_name, plan, ACCOUNT, left_ms, 1.0, 1, self.site.idempotency_by_class[class_name]
        )
        self.site.servers.calls[request] = call
        client = self.clients[request] = ProxyClient(self, request, DownstreamStream(self.calls))
        request_headers = headers(
            x_class=class_name, x_account=ACCOUNT, x_plan=plan, x_request_id=request.decode(),
            idempotency_key="k1", x_deadline_ms=str(left_ms),
        )  # fmt: skip
        client.downstream.receive(ev.RequestHeaders(request_headers), client.on_request_decision)
        return client

    def final_response(self, decision: ev.ImmediateResponse) -> FinalResponse:
        """Returns an immediate response as a final response of the core."""
        if decision.status == 429:
            assert decision.headers["x-glenchute-effect"] == "none"
            return Rejected(float(decision.headers.get("x-glenchute-retry-after-ms", 0)))
        return Failed()


def planned_by_seed(
    seed: int, draw: Callable[[Any], PlannedOutcome]
) -> Callable[[bytes, int], PlannedOutcome]:
    """Returns a plan of outcomes that depend only on the seed, the request and the attempt's number."""
    import random

    return lambda request, number: draw(random.Random(f"{seed}-{request.decode()}-{number}"))
