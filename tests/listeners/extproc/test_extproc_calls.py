"""Tests of the request table under a simulated clock: the decisions are the same as for inline requests, and
the rules hold when parts fail.

The simulated servers record what ran, and raise when sending an attempt breaks a rule (see `simulated.py`).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.core.types import Failed, FinalResponse, Rejected, Served, Streamed
from glenchute.listeners.extproc import events as ev
from glenchute.listeners.extproc.streams import MAX_BODY_BYTES, DownstreamStream, UpstreamStream
from glenchute.listeners.extproc.table import EXPIRY_GRACE_S, SWEEP_INTERVAL_S, RequestTable
from glenchute.listeners.extproc.token import TokenSigner
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState, Outcome
from tests.proxied import (
    ACCOUNT,
    ProxyClient,
    SimulatedProxy,
    extproc_settings,
    headers,
    planned_by_seed,
    responded,
)
from tests.simulated import PlannedOutcome, SimulatedSite

SERVED = PlannedOutcome(0.0, 0.02, Outcome.OK)
NEVER = PlannedOutcome(0.0, 1e9, Outcome.OK)
DrawOutcome = Callable[[random.Random], PlannedOutcome]


def faulty(rng: random.Random) -> PlannedOutcome:
    """Draws an attempt's outcome from all that can happen, with its delays."""
    outcome = rng.choice([Outcome.OK] * 5 + [Outcome.ERROR, Outcome.REJECTED, Outcome.RESET])
    duration_s = rng.choice([0.005, 0.02, 0.1, 0.3, 0.7, 1.2, 1e9]) * (0.5 + rng.random())
    return PlannedOutcome(rng.choice([0.0, 0.0, 0.0, 0.001, 0.004, math.inf]), duration_s, outcome)


def faulty_when_reachable(rng: random.Random) -> PlannedOutcome:
    """Draws an outcome as `faulty` does, but connects at once."""
    return PlannedOutcome(0.0, faulty(rng).duration_s, faulty(rng).outcome)


def simulated_site(seed: int, draw_outcome: DrawOutcome) -> SimulatedSite:
    """Returns a site at which each attempt's outcome depends on the seed, the request and the attempt's
    number only."""
    site = SimulatedSite(None, lambda: SERVED, connect_s=0.02, seed=seed)
    site.servers.planned_outcome = planned_by_seed(seed, draw_outcome)
    return site


LogRow = tuple[tuple[tuple[str, float, Outcome | None], ...], str, float, int]


def decision_log(
    seed: int, request_count: int, draw_outcome: DrawOutcome, proxied: bool, reports_outcomes: bool = True
) -> dict[bytes, LogRow]:
    """Returns the decision log of a run: for each request its attempts (server, start, outcome), the type of
    the final response, its time and its retry-after in milliseconds."""
    site = simulated_site(seed, draw_outcome)
    proxy = SimulatedProxy(site, reports_outcomes) if proxied else None
    rng = random.Random(seed)
    for _ in range(request_count):
        site.loop.run(site.loop.now + rng.expovariate(40))
        class_name = rng.choice(["report-read", "check-order", "check-charge"])
        time_left_ms = float(rng.choice([300, 1000, 3000, 5000]))
        if proxy is not None:
            proxy.send_request(class_name, time_left_ms)
        else:
            site.send_request(class_name, time_left_ms)
    site.loop.run(site.loop.now + 20.0)
    log = {}
    for number in range(1, request_count + 1):
        request = b"%d" % number
        ((at, final_response),) = proxy.clients[request].responses if proxy else site.responses[request]
        attempts = tuple(
            (record.server, round(record.started_at, 6), record.outcome)
            for record in site.servers.attempts_of(request)
        )
        retry_after_ms = int(final_response.retry_after_ms) if isinstance(final_response, Rejected) else 0
        log[request] = attempts, type(final_response).__name__, round(at, 3), retry_after_ms
    if proxy is not None:
        assert_nothing_left(proxy)
    return log


def assert_nothing_left(proxy: SimulatedProxy) -> None:
    """Asserts that the table, the core and the decision engine hold no request any more."""
    table, gateway = proxy.calls, proxy.site.gateway
    assert not table.requests_by_number and not table.requests_by_id
    assert not gateway.active_requests and not gateway.attempts_in_flight
    engine: Any = gateway.decisions
    assert not engine.execution.requests and not engine.execution.attempts
    assert all(tenant.attempts_in_flight == 0 for tenant in engine.quota.tenants.by_id.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_proxy_gets_the_same_decisions_as_inline_requests(seed: int) -> None:
    inline = decision_log(seed, 2000, faulty, proxied=False)
    by_proxy = decision_log(seed, 2000, faulty, proxied=True)
    assert {r: (inline[r], by_proxy[r]) for r in inline if inline[r] != by_proxy[r]} == {}
    outcomes = [row[1] for row in inline.values()]
    assert min(outcomes.count(kind) for kind in ("Served", "Rejected", "Failed")) > 400
    assert sum(len(row[0]) > 1 for row in inline.values()) > 200  # requests with a retry


@pytest.mark.parametrize("seed", [1, 3])
def test_decisions_are_the_same_where_the_proxy_does_not_report_broken_attempts(seed: int) -> None:
    """The proxy's streams only end, and it then retries by itself and at the wrong server.

    The gateway can't tell a failed connection from a reset then, so servers can always be reached here. It
    can't tell a reset in an attempt's last millisecond from a timeout either; none falls there in these runs.
    """
    inline = decision_log(seed, 2000, faulty_when_reachable, proxied=False)
    by_proxy = decision_log(seed, 2000, faulty_when_reachable, proxied=True, reports_outcomes=False)
    assert {r: (inline[r], by_proxy[r]) for r in inline if inline[r] != by_proxy[r]} == {}


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("reports_outcomes", [True, False])
def test_proxies_and_clients_that_die_at_any_moment_leave_nothing(seed: int, reports_outcomes: bool) -> None:
    """The simulated servers raise if a non-idempotent request is sent twice, or if two attempts of a request
    are in flight at once. Each request whose client did not disconnect gets one final response."""
    site = simulated_site(seed, faulty)
    proxy = SimulatedProxy(site, reports_outcomes)
    rng = random.Random(seed)
    disconnected: set[bytes] = set()

    def disconnect(client: ProxyClient) -> None:
        if not client.responses:
            disconnected.add(client.request)
            client.disconnect()

    for _ in range(400):
        site.loop.run(site.loop.now + rng.expovariate(40))
        client = proxy.send_request(rng.choice(["report-read", "check-order", "check-charge"]), 3000.0)
        if rng.random() < 0.4:
            site.loop.call_later(rng.choice([0.0, 0.001, 0.02, 0.1, 0.5]) * rng.random(), disconnect, client)
        if rng.random() < 0.01:  # the proxy dies: all of its clients' requests are lost
            for each in list(proxy.clients.values()):
                disconnect(each)
    site.loop.run(site.loop.now + 20.0)
    for request, client in proxy.clients.items():
        assert len(client.responses) == (request not in disconnected), request
    assert len(disconnected) > 100
    assert_nothing_left(proxy)


@pytest.mark.parametrize("seed", range(4))
def test_two_proxies_whose_clocks_differ_break_no_rule(seed: int) -> None:
    """One proxy times out attempts and requests long before the gateway does, the other long after. For the
    slow one the gateway's own timeouts apply, and no client waits past its deadline."""
    site = simulated_site(seed, faulty)
    fast, slow = SimulatedProxy(site, clock_factor=0.3), SimulatedProxy(site, clock_factor=4.0)
    slow.calls = fast.calls
    rng = random.Random(seed)
    requests: list[tuple[ProxyClient, float]] = []
    for number in range(300):
        site.loop.run(site.loop.now + rng.expovariate(40))
        proxy = (fast, slow)[number % 2]
        name = rng.choice(["report-read", "check-order", "check-charge"])
        requests.append((proxy.send_request(name, 3000.0, number=number), site.loop.now))
    site.loop.run(site.loop.now + 20.0)
    for client, at in requests:
        ((when, _),) = client.responses
        assert when - at <= 3.0 + 1e-6
    assert_nothing_left(fast)


def restart_processor(site: SimulatedSite, proxy: SimulatedProxy, **changes: Any) -> SimulatedProxy:
    """Replaces a killed processor by one with the same key, an empty table and a new decision engine. The
    proxy's streams are lost; attempts in flight at the servers go on."""
    new_site = SimulatedSite(None, lambda: SERVED, connect_s=site.connect_s, seed=site.seed + 1)
    new_site.loop, new_site.servers = site.loop, site.servers
    new_site.gateway.loop = site.loop  # type: ignore[assignment]
    new_site.gateway.upstream = site.servers
    new_site.gateway.clock = site.gateway.clock
    new_proxy = SimulatedProxy(new_site, proxy.reports_outcomes, **changes)
    new_proxy.calls = RequestTable(
        new_proxy.loop, new_site.gateway, extproc_settings(**changes), TokenSigner(b"k" * 32)
    )
    new_proxy.calls.wall_clock = lambda: float(site.loop.now)
    new_proxy.clients = proxy.clients
    return new_proxy


def request_attempt(client: ProxyClient, proxy: SimulatedProxy) -> ev.ProcessorResponse | None:
    """Asks a processor to allow an attempt, with the token that another one gave; None while it waits."""
    responses: list[ev.ProcessorResponse | None] = []
    upstream = UpstreamStream(proxy.calls)
    attempt_headers = headers(x_glenchute_token=client.token, x_envoy_attempt_count="2")
    upstream.receive(
        ev.RequestHeaders(attempt_headers, attributes={"upstream.address": client.endpoint}), responses.append
    )
    upstream.close(True)
    return responses[0] if responses else None


ALL_CLASSES = frozenset({"report-read", "check-order", "check-charge"})


@pytest.mark.parametrize("resumable_classes", [frozenset(), ALL_CLASSES])
@pytest.mark.parametrize("age_s", [0.01, 2.6])
def test_a_restarted_processor_allows_only_harmless_repeats(
    resumable_classes: frozenset[str], age_s: float
) -> None:
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    clients = {
        name: proxy.send_request(name, 6000.0) for name in ("report-read", "check-order", "check-charge")
    }
    site.loop.run(site.loop.now + age_s)
    restarted = restart_processor(site, proxy, resumable_classes=resumable_classes)
    allowed = {
        name
        for name, client in clients.items()
        if isinstance(request_attempt(client, restarted), ev.ContinueResponse)
    }
    allowed_with_key = {"check-order"} if age_s < 2.5 else set()  # the servers drop repeats for 2.5 s
    assert allowed == ({"report-read"} | allowed_with_key if resumable_classes else set())
    for name, client in clients.items():  # the same holds for the request itself, sent again with its token
        for class_name in clients:
            _, responses = open_downstream(
                restarted, request_headers(f"{name}-{class_name}", class_name, x_glenchute_token=client.token)
            )
            if class_name == name and name in allowed:
                assert isinstance(responses[0], ev.ContinueResponse)
            else:
                assert responses[0].status == 500 and responses[0].headers["x-glenchute-effect"] == "unknown"


def test_kills_of_the_processor_at_any_moment_never_repeat_a_charge() -> None:
    """The processor dies at moments 7 ms apart while charges are in flight, and the proxy asks the new one to
    allow all of them again. The simulated servers raise if a charge runs twice."""
    reissued = 0
    for at_ms in range(0, 400, 7):
        site = simulated_site(at_ms, faulty)
        proxy = SimulatedProxy(site)
        for _ in range(5):
            proxy.send_request("check-charge", 3000.0)
        site.loop.run(site.loop.now + at_ms / 1000.0)
        restarted = restart_processor(site, proxy, resumable_classes=frozenset({"check-charge"}))
        for client in list(proxy.clients.values()):
            if client.token and not client.responses:
                reissued += isinstance(request_attempt(client, restarted), ev.ContinueResponse)
        assert not restarted.calls.requests_by_number
    assert reissued == 0


FORGED = TokenSigner(b"q" * 32).issue(1, 0.0, "report-read")


@pytest.mark.parametrize("token", ["", "x", "A" * 300, "AAAA", FORGED], ids=range(5))
def test_an_attempt_without_a_valid_token_is_refused(token: str) -> None:
    proxy = SimulatedProxy(
        simulated_site(1, lambda rng: SERVED), resumable_classes=frozenset({"report-read"})
    )
    responses: list[ev.ProcessorResponse | None] = []
    upstream = UpstreamStream(proxy.calls)
    upstream.receive(ev.RequestHeaders(headers(x_glenchute_token=token)), responses.append)
    (response,) = responses
    assert (
        isinstance(response, ev.ImmediateResponse)
        and response.headers["x-glenchute-reason"] == "not-proven-unsent"
    )


@given(st.binary(max_size=200), st.integers(0, 2**63), st.floats(0, 1e15), st.text(max_size=60))
@settings(max_examples=200, deadline=None)
def test_only_tokens_of_the_own_key_are_verified(
    noise: bytes, request_number: int, decided_at_ms: float, class_name: str
) -> None:
    signer = TokenSigner(b"k" * 32)
    text = signer.issue(request_number, decided_at_ms, class_name)
    token = signer.verify(text)
    assert token is not None and (token.request_number, token.decided_at_ms, token.process_id) == (
        request_number,
        int(decided_at_ms),
        signer.process_id,
    )
    for index in range(0, len(text), 9):
        replacement = "B" if text[index] != "B" else "C"
        verified = signer.verify(text[:index] + replacement + text[index + 1 :])
        assert verified is None or index == len(text) - 1  # the last character's low bits are padding
    assert signer.verify(noise.decode("latin-1")) is None
    assert TokenSigner(b"z" * 32).verify(text) is None


# --- several streams with one request id ----------------------------------------------------------------


def request_headers(
    request_id: str = "r1", class_name: str = "report-read", **more_headers: str
) -> ev.RequestHeaders:
    """Returns a request's headers, for the classes of `platform_facts.py`."""
    return ev.RequestHeaders(
        headers(
            x_class=class_name, x_account=ACCOUNT, x_plan="osnovni", x_request_id=request_id,
            x_deadline_ms="3000", idempotency_key="k1", **more_headers,
        )
    )  # fmt: skip


def open_downstream(proxy: SimulatedProxy, message: ev.RequestHeaders) -> tuple[DownstreamStream, list[Any]]:
    """Opens a downstream stream with a request; returns the stream and the list of its responses."""
    responses: list[Any] = []
    downstream = DownstreamStream(proxy.calls)
    downstream.receive(message, responses.append)
    return downstream, responses


def test_a_stream_opened_again_gets_the_same_decision() -> None:
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    first, responses = open_downstream(proxy, request_headers())
    first.close(False)
    site.loop.run(site.loop.now + 0.1)
    reopened, reopened_responses = open_downstream(proxy, request_headers())
    assert reopened_responses == responses and isinstance(responses[0], ev.ContinueResponse)
    assert proxy.calls.counts["reopened"] == 1 and len(proxy.calls.requests_by_number) == 1
    site.loop.run(site.loop.now + 1.0)
    assert len(proxy.calls.requests_by_number) == 1  # the request stays as its stream is open
    reopened.close(False)
    site.loop.run(site.loop.now + 1.0)
    assert_nothing_left(proxy)


@pytest.mark.parametrize("change", [{}, {"class_name": "check-order"}])
def test_an_id_in_use_gets_409_with_unknown_effect(change: dict[str, str]) -> None:
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    first, _ = open_downstream(proxy, request_headers())
    if change:
        first.close(False)  # the same request may open it again, another one may not
    _, responses = open_downstream(proxy, request_headers(**change))
    assert responses[0].status == 409 and responses[0].headers["x-glenchute-effect"] == "unknown"
    first.close(False)
    site.loop.run(site.loop.now + 1.0)
    assert_nothing_left(proxy)


def test_a_lost_proxy_settles_units_and_open_attempts_once() -> None:
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    clients = [proxy.send_request("check-charge", 5000.0) for _ in range(20)]
    engine: Any = site.gateway.decisions
    assert sum(tenant.attempts_in_flight for tenant in engine.quota.tenants.by_id.values()) == 20
    for client in clients:
        client.disconnect()
    site.loop.run(site.loop.now + 1.0)
    assert_nothing_left(proxy)
    assert all(len(site.servers.attempts_of(client.request)) == 1 for client in clients)


def test_a_response_after_the_final_response_is_replaced() -> None:
    """The proxy's clock is slow: it reports a server's 200 after the request has failed."""
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    client = proxy.send_request("check-charge", 1000.0)
    client.proxy.loop.call_later = site.loop.call_later
    client.is_finished = True  # the simulated client does nothing more by itself
    site.loop.run(site.loop.now + 1.5)
    responses: list[Any] = []
    client.downstream.receive(responded(200, "via_upstream"), responses.append)
    assert responses[0].status == 500 and responses[0].headers["x-glenchute-effect"] == "unknown"
    client.downstream.close(True)
    site.loop.run(site.loop.now + 5.0)
    assert_nothing_left(proxy)


def test_a_server_can_not_ask_for_a_retry_in_the_gateways_name() -> None:
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    downstream, responses = open_downstream(proxy, request_headers())
    replies: list[Any] = []
    upstream = UpstreamStream(proxy.calls)
    token = responses[0].set_headers["x-glenchute-token"]
    upstream.receive(ev.RequestHeaders(headers(x_glenchute_token=token)), replies.append)
    message = responded(200, "via_upstream")
    message.headers["x-glenchute-retry"] = [b"1"]
    upstream.receive(message, replies.append)
    downstream.receive(message, replies.append)
    assert all("x-glenchute-retry" in reply.remove_headers for reply in replies[1:]) and len(replies) == 3
    upstream.close(True)
    downstream.close(True)
    assert_nothing_left(proxy)


@pytest.mark.parametrize("first", ["attempt", "client"])
def test_the_attempts_end_and_the_clients_response_come_in_either_order(first: str) -> None:
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    client = proxy.send_request("check-charge", 2000.0)
    upstream, client.upstream, client.is_finished = client.upstream, None, True
    assert upstream is not None
    responses: list[Any] = []
    reset = responded(503, "upstream_reset_before_response_started{connection_termination}")
    if first == "attempt":
        upstream.close(False)
    client.downstream.receive(reset, responses.append)
    if first == "client":
        upstream.close(False)
    (response,) = responses  # clients would take 503 as proof that the request did not run
    assert isinstance(response, ev.ImmediateResponse) and response.status == 500
    client.downstream.close(True)
    site.loop.run(site.loop.now + 5.0)
    assert_nothing_left(proxy)


def test_a_proxy_that_ignores_the_chosen_server_gets_a_limited_number_of_retries() -> None:
    site = simulated_site(1, lambda rng: SERVED)
    proxy = SimulatedProxy(site)
    downstream, responses = open_downstream(proxy, request_headers(class_name="check-charge"))
    token = responses[0].set_headers["x-glenchute-token"]
    replies: list[Any] = []
    for _ in range(4):
        upstream = UpstreamStream(proxy.calls)
        other_server = {"upstream.address": "127.0.0.1:9"}
        message = ev.RequestHeaders(headers(x_glenchute_token=token), attributes=other_server)
        upstream.receive(message, replies.append)
        upstream.close(True)
    assert [reply.status for reply in replies[:2]] == [503, 503]
    assert replies[0].headers["x-gateway-destination-endpoint"] == responses[0].endpoint
    assert "x-glenchute-retry" not in replies[2].headers
    assert replies[3].status == 429 and replies[3].headers["x-glenchute-effect"] == "none"
    downstream.close(True)
    site.loop.run(site.loop.now + 5.0)
    assert_nothing_left(proxy)


def test_a_removed_server_gets_no_attempt() -> None:
    """The proxy was told the chosen server, but asks only after its removal, and is redirected to another."""
    site = simulated_site(1, lambda rng: SERVED)
    proxy = SimulatedProxy(site)
    downstream, responses = open_downstream(proxy, request_headers())
    removed = proxy.names[responses[0].endpoint]
    site.servers.names.remove(removed)
    site.gateway.post(
        EndpointList(EndpointListKind.CHANGES, (Endpoint(removed, "a", state=EndpointState.REMOVED),))
    )
    replies: list[Any] = []
    upstream = UpstreamStream(proxy.calls)
    attempt_headers = headers(x_glenchute_token=responses[0].set_headers["x-glenchute-token"])
    upstream.receive(
        ev.RequestHeaders(attempt_headers, attributes={"upstream.address": responses[0].endpoint}),
        replies.append,
    )
    assert replies[0].status == 503 and replies[0].headers["x-glenchute-retry"] == "1"
    assert replies[0].headers["x-gateway-destination-endpoint"] != responses[0].endpoint
    upstream.close(True)
    downstream.close(False)
    site.loop.run(site.loop.now + 5.0)
    assert_nothing_left(proxy)


def test_without_attempt_streams_the_response_is_the_attempts_outcome() -> None:
    cases = [
        (responded(200, "via_upstream"), "go"),
        (responded(500, "via_upstream"), "go"),
        # The server rejected the attempt without running it, so the gateway rejects the request.
        (responded(429, "via_upstream"), 429),
        (responded(503, "upstream_reset_before_response_started{remote_connection_failure}"), 429),
        (responded(503, "upstream_reset_before_response_started{connection_termination}"), 500),
        (responded(504, "upstream_response_timeout"), "go"),
    ]
    for message, expected in cases:
        site = simulated_site(1, lambda rng: NEVER)
        proxy = SimulatedProxy(site, has_attempt_streams=False)
        downstream, responses = open_downstream(proxy, request_headers(class_name="check-charge"))
        assert responses[0].set_headers["x-envoy-max-retries"] == "0"
        assert "x-glenchute-token" not in responses[0].set_headers
        client_responses: list[Any] = []
        downstream.receive(message, client_responses.append)
        assert len(client_responses) == 1
        assert (
            client_responses[0].status if isinstance(client_responses[0], ev.ImmediateResponse) else "go"
        ) == expected, message
        downstream.close(True)
        assert_nothing_left(proxy)


def test_requests_beyond_the_tables_limit_are_rejected() -> None:
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site, max_requests=10)
    streams = [open_downstream(proxy, request_headers(f"r{n}")) for n in range(15)]
    assert len(proxy.calls.requests_by_number) == 10 and proxy.calls.counts["table-full"] == 5
    for _, responses in streams[10:]:
        assert responses[0].status == 429 and responses[0].headers["retry-after"] == "1"
    for downstream, _ in streams:
        downstream.close(False)
    site.loop.run(site.loop.now + 5.0)
    assert_nothing_left(proxy)


def test_streams_that_are_never_closed_do_not_keep_an_entry() -> None:
    """A stalled proxy sends nothing any more and ends no stream; its request expires."""
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    client = proxy.send_request("check-charge", 1000.0)
    client.is_finished = True
    upstream_responses: list[Any] = []
    UpstreamStream(proxy.calls).receive(
        ev.RequestHeaders(headers(x_glenchute_token=client.token)), upstream_responses.append
    )
    assert not upstream_responses  # waits, as the first attempt is in flight
    site.loop.run(site.loop.now + 1.0 + EXPIRY_GRACE_S + SWEEP_INTERVAL_S + 0.01)
    assert upstream_responses and upstream_responses[0].headers["x-glenchute-effect"] == "unknown"
    assert_nothing_left(proxy)


# --- bodies and other messages --------------------------------------------------------------------------


@pytest.mark.parametrize(
    "parts, status",
    [
        ([b'{"plan": "osnovni"}'], None),
        ([b'{"pl', b'an": "osnovni"}'], None),
        ([b'{"plan": 7}'], 400),
        ([b"{"], 400),
        ([b"[" * 5000], 400),
        ([b"x" * (MAX_BODY_BYTES + 1)], 413),
    ],
)
def test_a_rule_that_needs_the_body_waits_for_it(parts: list[bytes], status: int | None) -> None:
    site = simulated_site(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    rules = proxy.calls.settings.mapping_rules
    rules = replace(rules, sources={**rules.sources, "plan": "json:/plan"})
    proxy.calls.settings = replace(proxy.calls.settings, mapping_rules=rules)
    message = request_headers()
    message.end_of_stream = False
    downstream, responses = open_downstream(proxy, message)
    assert responses[0].wants_request_body and not proxy.calls.requests_by_number
    for index, part in enumerate(parts):
        downstream.receive(ev.RequestBody(part, index == len(parts) - 1), responses.append)
    last = responses[-1]
    if status is None:
        assert last.kind == "request_body" and last.endpoint
    else:
        assert last.status == status and not proxy.calls.requests_by_number
    downstream.close(False)
    site.loop.run(site.loop.now + 5.0)
    assert_nothing_left(proxy)


def test_observability_mode_and_unknown_messages_take_nothing() -> None:
    proxy = SimulatedProxy(simulated_site(1, lambda rng: SERVED))
    for stream in (DownstreamStream(proxy.calls), UpstreamStream(proxy.calls)):
        for message in (ev.ObservedMessage(), ev.UnknownMessage()):
            responses: list[Any] = []
            stream.receive(message, responses.append)
            assert responses == [None]
        for kind in ("request_trailers", "response_trailers", "response_body"):
            stream.receive(ev.UnhandledMessage(kind), responses.append)
            assert responses[-1] == ev.ContinueResponse(kind)
    assert not proxy.calls.requests_by_number


MESSAGES = st.one_of(
    st.builds(
        request_headers, st.sampled_from(["r1", "r2", ""]), st.sampled_from(["report-read", "check-charge"])
    ),
    st.builds(
        responded,
        status=st.sampled_from([0, 200, 429, 500, 503, 504]),
        details=st.sampled_from(["", "via_upstream", "upstream_response_timeout", "no_healthy_upstream"]),
    ),
    st.builds(ev.RequestBody, st.binary(max_size=4), st.booleans()),
    st.builds(ev.UnhandledMessage, st.sampled_from(["request_trailers", "response_body"])),
    st.sampled_from([ev.ObservedMessage(), ev.UnknownMessage()]),
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("down"), st.integers(0, 3), MESSAGES),
        st.tuples(st.just("up"), st.integers(0, 3), MESSAGES),
        st.tuples(st.just("close"), st.integers(0, 3), st.booleans()),
        st.tuples(st.just("close-up"), st.integers(0, 3), st.booleans()),
        st.tuples(st.just("wait"), st.sampled_from([0.0, 0.1, 0.3, 4.0]), st.none()),
    ),
    max_size=40,
)


@given(STEPS, st.booleans())
@settings(max_examples=300, deadline=None)
def test_no_order_of_messages_breaks_the_table(steps: list[Any], has_attempt_streams: bool) -> None:
    """Sends any messages in any order on any streams: each gets at most one response, nothing raises, two
    attempts of a request are never allowed at once, and in the end no request is left."""
    site = SimulatedSite(None, lambda: NEVER)
    proxy = SimulatedProxy(site, has_attempt_streams=has_attempt_streams)
    downstreams = [DownstreamStream(proxy.calls) for _ in range(4)]
    upstreams = [UpstreamStream(proxy.calls) for _ in range(4)]
    tokens: list[str] = []
    all_responses: list[list[Any]] = []

    def remember_token(response: Any) -> None:
        if isinstance(response, ev.ContinueResponse) and "x-glenchute-token" in response.set_headers:
            tokens.append(response.set_headers["x-glenchute-token"])

    for action, target, argument in steps:
        if action == "wait":
            site.loop.run(site.loop.now + target)
            continue
        if action == "close":
            downstreams[target].close(argument)
            downstreams[target] = DownstreamStream(proxy.calls)
        elif action == "close-up":
            upstreams[target].close(argument)
            upstreams[target] = UpstreamStream(proxy.calls)
        else:
            stream: DownstreamStream | UpstreamStream = (
                downstreams[target] if action == "down" else upstreams[target]
            )
            if action == "up" and isinstance(argument, ev.RequestHeaders) and tokens:
                argument = ev.RequestHeaders(headers(x_glenchute_token=tokens[-1]))
            responses: list[Any] = []
            all_responses.append(responses)

            def record(response: Any, responses: list[Any] = responses) -> None:
                responses.append(response)
                remember_token(response)

            stream.receive(argument, record)
        for request in proxy.calls.requests_by_number.values():
            assert len(request.open_attempt_streams) <= 1
    for downstream, upstream in zip(downstreams, upstreams, strict=True):
        downstream.close(False)
        upstream.close(False)
    site.loop.run(site.loop.now + 20.0)
    assert all(len(responses) <= 1 for responses in all_responses)
    assert_nothing_left(proxy)


def test_every_final_response_type_is_known() -> None:
    """A new type of final response needs a response to proxies here. `Streamed` comes only from attempts that
    the gateway makes itself: a proxy's attempt has no target for a streamed value."""
    assert {Served, Streamed, Rejected, Failed} == set(FinalResponse.__args__)
