"""A proxy under the simulated clock of `simulated.py`, in front of the external processor's request table.

It behaves as the operators' page asks of a proxy: it asks for each request and each attempt, retries only
where it is told to (or, where it does not report how an attempt ended, after a reset), and sends its client
what the downstream stream says. The rules are checked on the servers' records, as for the inline gateway.
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
DETAILS = {
    Outcome.OK: (200, "via_upstream"),
    Outcome.ERROR: (500, "via_upstream"),
    Outcome.REJECTED: (429, "via_upstream"),
    Outcome.RESET: (503, "upstream_reset_before_response_started{connection_termination}"),
    Outcome.TIMEOUT: (504, "upstream_per_try_timeout"),
    Outcome.UNREACHABLE: (503, "upstream_reset_before_response_started{remote_connection_failure}"),
}


def extproc_settings(**changes: Any) -> ExtProcSettings:
    """Returns the listener's settings for the platform of `sites.py`."""
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
    down: DownstreamStream
    attempts: int = 0
    up: UpstreamStream | None = None
    record: AttemptRecord | None = None
    token: str = ""
    node: str = ""
    most: int = 0
    retry_on: str = ""
    over: bool = False
    answers: list[tuple[float, FinalResponse]] = field(default_factory=list)

    def decided(self, told: ev.ProcessorResponse | None) -> None:
        """Handles the decision on the request: starts the first attempt, or ends with the given response."""
        if self.over:
            return
        if isinstance(told, ev.ImmediateResponse):
            self.finish(self.proxy.read(told))
            self.down.close(True)
            return
        assert isinstance(told, ev.ContinueResponse)
        self.node = told.set_headers["x-gateway-destination-endpoint"]
        self.token = told.set_headers["x-glenchute-token"]
        self.most = 1 + int(told.set_headers["x-envoy-max-retries"])
        self.retry_on = told.set_headers["x-envoy-retry-on"]
        left = int(told.set_headers["x-envoy-upstream-rq-timeout-ms"]) / 1000.0
        self.proxy.loop.call_later(left * self.proxy.pace, self.route_timeout)
        self.attempt()

    def attempt(self) -> None:
        """Asks for permission for an attempt."""
        self.attempts += 1
        up = self.up = UpstreamStream(self.proxy.calls)
        up.abort = lambda: self.proxy.loop.call_later(0.0, self.aborted, up) and None
        said = headers(x_glenchute_token=self.token)
        up.receive(
            ev.RequestHeaders(said, attributes={"upstream.address": self.node}),
            lambda told: self.let_through(up, told),
        )

    def let_through(self, up: UpstreamStream, told: ev.ProcessorResponse | None) -> None:
        """Handles the decision on an attempt: sends it, tries another endpoint, or gives up."""
        if self.up is not up or self.over:
            return
        if isinstance(told, ev.ImmediateResponse):
            self.up = None
            up.close(True)
            if told.headers.get("x-glenchute-retry") and self.attempts < self.most:
                self.node = told.headers["x-gateway-destination-endpoint"]
                self.attempt()
            else:
                self.show(told.status, "")
            return
        assert isinstance(told, ev.ContinueResponse)
        server = self.proxy.names[self.node]
        timeout_s = int(told.set_headers["x-envoy-upstream-rq-per-try-timeout-ms"]) / 1000.0
        record = self.record = AttemptRecord(self.request, server, self.proxy.loop.now, timeout_s=timeout_s)
        fate = self.proxy.site.servers.plan_attempt(record)
        loop, connect_s = self.proxy.loop, self.proxy.site.connect_s
        loop.call_later(timeout_s * self.proxy.pace, self.ended, up, record, Outcome.TIMEOUT)
        up_in_time = fate.connect_s <= connect_s
        connects = fate if up_in_time else None
        loop.call_later(min(fate.connect_s, connect_s), self.connected, up, record, connects)

    def connected(self, up: UpstreamStream, record: AttemptRecord, fate: PlannedOutcome | None) -> None:
        """Sends the request's bytes, or ends the attempt where the connection failed (`fate` is None)."""
        if record.outcome is not None:
            return
        if fate is None:
            self.ended(up, record, Outcome.UNREACHABLE)
            return
        record.sent_at = self.proxy.loop.now
        self.proxy.site.servers.check_sent(record)
        if fate.duration_s < 1e6:
            self.proxy.loop.call_later(fate.duration_s, self.ended, up, record, fate.outcome)

    def ended(self, up: UpstreamStream, record: AttemptRecord, ending: Outcome) -> None:
        """Ends the attempt, and reports its outcome as a response or only by the end of the stream."""
        if record.outcome is not None:
            return
        record.ended_at, record.outcome = self.proxy.loop.now, ending
        status, details = DETAILS[ending]
        if self.proxy.tells or details == "via_upstream":
            up.receive(responded(status, details), lambda told: self.follow(up, told, status, details))
            return
        self.up = None
        up.close(False)
        if "reset" in self.retry_on and self.attempts < self.most and not self.over:
            self.attempt()
        else:
            self.show(status, details)

    def follow(
        self, up: UpstreamStream, told: ev.ProcessorResponse | None, status: int, details: str
    ) -> None:
        """Handles the decision on an attempt's response: retries, or responds to the client."""
        if self.up is not up:
            return
        self.up = None
        up.close(True)
        assert isinstance(told, ev.ContinueResponse)
        if told.set_headers.get("x-glenchute-retry") and self.attempts < self.most and not self.over:
            self.node = told.set_headers["x-gateway-destination-endpoint"]
            self.attempt()
        else:
            self.show(status, details)

    def aborted(self, up: UpstreamStream) -> None:
        """Handles a reset of the attempt's stream by the processor: ends the attempt with status 500."""
        if self.up is up:
            self.cut()
            self.show(500, "")

    def cut(self, why: Outcome = Outcome.CANCELLED) -> None:
        """Closes the connection of the attempt in flight, if any."""
        up, self.up = self.up, None
        if self.record is not None and self.record.outcome is None:
            self.record.ended_at, self.record.outcome = self.proxy.loop.now, why
        if up is not None:
            up.close(False)

    def route_timeout(self) -> None:
        """Handles the proxy's own timeout for the request."""
        if not self.over and not self.answers:
            self.cut(Outcome.TIMEOUT)
            self.show(504, "response_timeout")

    def show(self, status: int, details: str) -> None:
        """Responds to the client with what the downstream stream makes of a response."""
        if self.over:
            return
        self.over = True

        def shown(told: ev.ProcessorResponse | None) -> None:
            if isinstance(told, ev.ImmediateResponse):
                self.finish(self.proxy.read(told))
            else:
                self.finish(Served(self.request) if status < 500 and status != 429 else Failed())
            self.down.close(True)

        self.down.receive(responded(status, details), shown)

    def finish(self, answer: FinalResponse) -> None:
        """Records the client's final response."""
        self.over = True
        self.answers.append((self.proxy.loop.now, answer))

    def leave(self, clean: bool = False) -> None:
        """Disconnects the client, or the whole proxy."""
        self.over = True
        self.cut()
        self.down.close(clean)


class SimulatedProxy:
    """A proxy. `tells`: it reports by a local reply how an attempt without a response ended. `pace`: the
    simulated seconds in which the proxy's clock counts one."""

    def __init__(self, site: SimulatedSite, tells: bool = True, pace: float = 1.0, **changes: Any) -> None:
        self.site, self.tells, self.pace = site, tells, pace
        self.loop = cast(Any, site.loop)
        self.calls = RequestTable(
            self.loop, site.gateway, extproc_settings(**changes), TokenSigner(b"k" * 32)
        )
        self.calls.wall_clock = lambda: float(site.loop.now)
        self.names = {f"127.0.0.1:{7000 + n}": f"s{n}" for n in range(6)}
        self.asked: dict[bytes, ProxyClient] = {}

    def ask(
        self, class_name: str, left_ms: float, plan: str = "osnovni", number: int | None = None
    ) -> ProxyClient:
        """Sends a client's request. `number`: its id, where several proxies share one sequence of ids."""
        request = b"%d" % (len(self.asked) + 1 if number is None else number)
        order = SimulatedCall(
            request, class_name, plan, ACCOUNT, left_ms, 1.0, 1, self.site.idempotency_by_class[class_name]
        )
        self.site.servers.calls[request] = order
        asker = self.asked[request] = ProxyClient(self, request, DownstreamStream(self.calls))
        said = headers(
            x_class=class_name, x_account=ACCOUNT, x_plan=plan, x_request_id=request.decode(),
            idempotency_key="k1", x_deadline_ms=str(left_ms),
        )  # fmt: skip
        asker.down.receive(ev.RequestHeaders(said), asker.decided)
        return asker

    def read(self, told: ev.ImmediateResponse) -> FinalResponse:
        """Returns an immediate response as a final response of the core."""
        if told.status == 429:
            assert told.headers["x-glenchute-effect"] == "none"
            return Rejected(float(told.headers.get("x-glenchute-retry-after-ms", 0)))
        return Failed()


def planned_by_seed(
    seed: int, draw: Callable[[Any], PlannedOutcome]
) -> Callable[[bytes, int], PlannedOutcome]:
    """Returns a plan of outcomes that depend only on the seed, the request and the attempt's number."""
    import random

    return lambda request, number: draw(random.Random(f"{seed}-{request.decode()}-{number}"))
