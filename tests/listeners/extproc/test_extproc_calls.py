"""The table of calls under a simulated clock: the same decisions as inline, and what holds when parts fail.

The servers' side keeps the truth and raises where a rule breaks at the moment when bytes leave (see
`simulated.py`).
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
Draw = Callable[[random.Random], PlannedOutcome]


def faulty(rng: random.Random) -> PlannedOutcome:
    """Everything that may go wrong with an attempt."""
    ending = rng.choice([Outcome.OK] * 5 + [Outcome.ERROR, Outcome.REJECTED, Outcome.RESET])
    took_s = rng.choice([0.005, 0.02, 0.1, 0.3, 0.7, 1.2, 1e9]) * (0.5 + rng.random())
    return PlannedOutcome(rng.choice([0.0, 0.0, 0.0, 0.001, 0.004, math.inf]), took_s, ending)


def connected(rng: random.Random) -> PlannedOutcome:
    """The same, before nodes that can always be reached."""
    return PlannedOutcome(0.0, faulty(rng).duration_s, faulty(rng).outcome)


def place(seed: int, draw: Draw) -> SimulatedSite:
    """A site whose attempts' fates hang on the seed, the request and the attempt's number."""
    made = SimulatedSite(None, lambda: SERVED, connect_s=0.02, seed=seed)
    made.servers.planned_outcome = planned_by_seed(seed, draw)
    return made


Row = tuple[tuple[tuple[str, float, Outcome | None], ...], str, float, int]


def played(seed: int, many: int, draw: Draw, proxied: bool, tells: bool = True) -> dict[bytes, Row]:
    """The decision log of a run: for each request its attempts (node, start, ending), the final answer, when
    that came, and its retry-after."""
    site = place(seed, draw)
    proxy = SimulatedProxy(site, tells) if proxied else None
    rng = random.Random(seed)
    for _ in range(many):
        site.loop.run(site.loop.now + rng.expovariate(40))
        name = rng.choice(["report-read", "check-order", "check-charge"])
        left_ms = float(rng.choice([300, 1000, 3000, 5000]))
        if proxy is not None:
            proxy.ask(name, left_ms)
        else:
            site.send_request(name, left_ms)
    site.loop.run(site.loop.now + 20.0)
    log = {}
    for number in range(1, many + 1):
        request = b"%d" % number
        ((at, answer),) = proxy.asked[request].answers if proxy else site.responses[request]
        tries = tuple(
            (r.server, round(r.started_at, 6), r.outcome) for r in site.servers.attempts_of(request)
        )
        wait = int(answer.retry_after_ms) if isinstance(answer, Rejected) else 0
        log[request] = tries, type(answer).__name__, round(at, 3), wait
    if proxy is not None:
        settled(proxy)
    return log


def settled(proxy: SimulatedProxy) -> None:
    """Nothing is left of any request, in the table, the core or the module."""
    calls, gateway = proxy.calls, proxy.site.gateway
    assert not calls.requests_by_number and not calls.requests_by_id
    assert not gateway.active_requests and not gateway.attempts_in_flight
    module: Any = gateway.decisions
    assert not module.execution.requests and not module.execution.attempts
    assert all(tenant.attempts_in_flight == 0 for tenant in module.quota.tenants.by_id.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_proxy_gets_the_decisions_that_the_inline_gateway_makes(seed: int) -> None:
    inline = played(seed, 2000, faulty, proxied=False)
    by_proxy = played(seed, 2000, faulty, proxied=True)
    assert {r: (inline[r], by_proxy[r]) for r in inline if inline[r] != by_proxy[r]} == {}
    outcomes = [row[1] for row in inline.values()]
    assert min(outcomes.count(kind) for kind in ("Served", "Rejected", "Failed")) > 400
    assert sum(len(row[0]) > 1 for row in inline.values()) > 200  # of which many were tried again


@pytest.mark.parametrize("seed", [1, 3])
def test_it_does_so_where_the_proxy_says_nothing_of_a_broken_attempt(seed: int) -> None:
    """Whose streams just end, and who retries after that by itself and to the wrong node. What then can't be
    told: a failed connection from a reset (nodes can always be reached here), and a reset from a time-out in
    the attempt's last millisecond (none falls there in these runs)."""
    inline = played(seed, 2000, connected, proxied=False)
    by_proxy = played(seed, 2000, connected, proxied=True, tells=False)
    assert {r: (inline[r], by_proxy[r]) for r in inline if inline[r] != by_proxy[r]} == {}


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("tells", [True, False])
def test_proxies_and_clients_that_die_at_any_moment_leave_nothing(seed: int, tells: bool) -> None:
    """Truth at the nodes: `Servers.check` raises if an unsafe request goes out twice, or two attempts of one
    are out at once. Each request that was not left has one final answer."""
    site = place(seed, faulty)
    proxy = SimulatedProxy(site, tells)
    rng = random.Random(seed)
    left: set[bytes] = set()

    def die(asker: ProxyClient) -> None:
        if not asker.answers:
            left.add(asker.request)
            asker.leave()

    for _ in range(400):
        site.loop.run(site.loop.now + rng.expovariate(40))
        asker = proxy.ask(rng.choice(["report-read", "check-order", "check-charge"]), 3000.0)
        if rng.random() < 0.4:
            site.loop.call_later(rng.choice([0.0, 0.001, 0.02, 0.1, 0.5]) * rng.random(), die, asker)
        if rng.random() < 0.01:  # the whole proxy
            for each in list(proxy.asked.values()):
                die(each)
    site.loop.run(site.loop.now + 20.0)
    for request, asker in proxy.asked.items():
        assert len(asker.answers) == (request not in left), request
    assert len(left) > 100
    settled(proxy)


@pytest.mark.parametrize("seed", range(4))
def test_two_proxies_whose_clocks_differ_break_no_rule(seed: int) -> None:
    """One gives up attempts and requests long before the module does, the other long after: there the
    module's own time-outs hold, and no client waits past its deadline."""
    site = place(seed, faulty)
    hasty, slow = SimulatedProxy(site, pace=0.3), SimulatedProxy(site, pace=4.0)
    slow.calls = hasty.calls
    rng = random.Random(seed)
    asked: list[tuple[ProxyClient, float]] = []
    for number in range(300):
        site.loop.run(site.loop.now + rng.expovariate(40))
        proxy = (hasty, slow)[number % 2]
        name = rng.choice(["report-read", "check-order", "check-charge"])
        asked.append((proxy.ask(name, 3000.0, number=number), site.loop.now))
    site.loop.run(site.loop.now + 20.0)
    for asker, at in asked:
        ((when, _),) = asker.answers
        assert when - at <= 3.0 + 1e-6
    settled(hasty)


def restarted(site: SimulatedSite, proxy: SimulatedProxy, **changes: Any) -> SimulatedProxy:
    """The processor is killed and another takes its place: same key, empty table, modules anew. The proxy's
    streams have broken; what is out at the nodes goes on."""
    fresh = SimulatedSite(None, lambda: SERVED, connect_s=site.connect_s, seed=site.seed + 1)
    fresh.loop, fresh.servers = site.loop, site.servers
    fresh.gateway.loop = site.loop  # type: ignore[assignment]
    fresh.gateway.upstream = site.servers
    fresh.gateway.clock = site.gateway.clock
    after = SimulatedProxy(fresh, proxy.tells, **changes)
    after.calls = RequestTable(after.loop, fresh.gateway, extproc_settings(**changes), TokenSigner(b"k" * 32))
    after.calls.wall_clock = lambda: float(site.loop.now)
    after.asked = proxy.asked
    return after


def let_through(asker: ProxyClient, proxy: SimulatedProxy) -> ev.ProcessorResponse | None:
    """Asks a processor for an attempt with the token that another one gave."""
    told: list[ev.ProcessorResponse | None] = []
    up = UpstreamStream(proxy.calls)
    said = headers(x_glenchute_token=asker.token, x_envoy_attempt_count="2")
    up.receive(ev.RequestHeaders(said, attributes={"upstream.address": asker.node}), told.append)
    up.close(True)
    return told[0] if told else None


ALL_CLASSES = frozenset({"report-read", "check-order", "check-charge"})


@pytest.mark.parametrize("resumable_classes", [frozenset(), ALL_CLASSES])
@pytest.mark.parametrize("age_s", [0.01, 2.6])
def test_a_fresh_processor_lets_only_pass_what_can_do_no_harm(
    resumable_classes: frozenset[str], age_s: float
) -> None:
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    askers = {name: proxy.ask(name, 6000.0) for name in ("report-read", "check-order", "check-charge")}
    site.loop.run(site.loop.now + age_s)
    fresh = restarted(site, proxy, resumable_classes=resumable_classes)
    passed = {
        name for name, asker in askers.items() if isinstance(let_through(asker, fresh), ev.ContinueResponse)
    }
    keyed = {"check-order"} if age_s < 2.5 else set()  # repeats are dropped for 2.5 s
    assert passed == ({"report-read"} | keyed if resumable_classes else set())
    for name, asker in askers.items():  # so with the request itself, sent again with its token
        for given_as in askers:
            _, told = opened(fresh, heads(f"{name}-{given_as}", given_as, x_glenchute_token=asker.token))
            if given_as == name and name in passed:
                assert isinstance(told[0], ev.ContinueResponse)
            else:
                assert told[0].status == 500 and told[0].headers["x-glenchute-effect"] == "unknown"


def test_kills_of_the_processor_at_any_moment_never_repeat_a_charge() -> None:
    """Charges are out when the processor dies, at every moment of the exchange; the proxy asks the fresh one
    for all of them again. The nodes' truth is `Servers.check`."""
    reissued = 0
    for at_ms in range(0, 400, 7):
        site = place(at_ms, faulty)
        proxy = SimulatedProxy(site)
        for _ in range(5):
            proxy.ask("check-charge", 3000.0)
        site.loop.run(site.loop.now + at_ms / 1000.0)
        fresh = restarted(site, proxy, resumable_classes=frozenset({"check-charge"}))
        for asker in list(proxy.asked.values()):
            if asker.token and not asker.answers:
                reissued += isinstance(let_through(asker, fresh), ev.ContinueResponse)
        assert not fresh.calls.requests_by_number
    assert reissued == 0


FORGED = TokenSigner(b"q" * 32).issue(1, 0.0, "report-read")


@pytest.mark.parametrize("token", ["", "x", "A" * 300, "AAAA", FORGED], ids=range(5))
def test_an_attempt_without_a_token_of_ours_is_not_let_through(token: str) -> None:
    proxy = SimulatedProxy(place(1, lambda rng: SERVED), resumable_classes=frozenset({"report-read"}))
    told: list[ev.ProcessorResponse | None] = []
    up = UpstreamStream(proxy.calls)
    up.receive(ev.RequestHeaders(headers(x_glenchute_token=token)), told.append)
    (answer,) = told
    assert (
        isinstance(answer, ev.ImmediateResponse)
        and answer.headers["x-glenchute-reason"] == "not-proven-unsent"
    )


@given(st.binary(max_size=200), st.integers(0, 2**63), st.floats(0, 1e15), st.text(max_size=60))
@settings(max_examples=200, deadline=None)
def test_tokens_are_read_back_and_no_others(noise: bytes, ref: int, first_ms: float, name: str) -> None:
    signer = TokenSigner(b"k" * 32)
    text = signer.issue(ref, first_ms, name)
    token = signer.verify(text)
    assert token is not None and (token.request_number, token.decided_at_ms, token.process_id) == (
        ref,
        int(first_ms),
        signer.process_id,
    )
    for at in range(0, len(text), 9):
        other = "B" if text[at] != "B" else "C"
        changed = signer.verify(text[:at] + other + text[at + 1 :])
        assert changed is None or at == len(text) - 1  # whose last bits are padding
    assert signer.verify(noise.decode("latin-1")) is None
    assert TokenSigner(b"z" * 32).verify(text) is None


# --- one id, several streams ----------------------------------------------------------------------------


def heads(request_id: str = "r1", name: str = "report-read", **more: str) -> ev.RequestHeaders:
    """A request's headers, as `sites.py` has its classes."""
    return ev.RequestHeaders(
        headers(
            x_class=name, x_account=ACCOUNT, x_plan="osnovni", x_request_id=request_id, x_deadline_ms="3000",
            idempotency_key="k1", **more,
        )
    )  # fmt: skip


def opened(proxy: SimulatedProxy, said: ev.RequestHeaders) -> tuple[DownstreamStream, list[Any]]:
    """A stream that asks, and what it is told."""
    told: list[Any] = []
    down = DownstreamStream(proxy.calls)
    down.receive(said, told.append)
    return down, told


def test_a_stream_opened_again_gets_the_same_decision() -> None:
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    first, told = opened(proxy, heads())
    first.close(False)
    site.loop.run(site.loop.now + 0.1)
    again, told_again = opened(proxy, heads())
    assert told_again == told and isinstance(told[0], ev.ContinueResponse)
    assert proxy.calls.counts["reopened"] == 1 and len(proxy.calls.requests_by_number) == 1
    site.loop.run(site.loop.now + 1.0)
    assert len(proxy.calls.requests_by_number) == 1  # it is held, as its stream is open
    again.close(False)
    site.loop.run(site.loop.now + 1.0)
    settled(proxy)


@pytest.mark.parametrize("change", [{}, {"name": "check-order"}])
def test_an_id_in_use_is_told_so_without_a_promise(change: dict[str, str]) -> None:
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    first, _ = opened(proxy, heads())
    if change:
        first.close(False)  # free to be opened again, but by the same request only
    _, told = opened(proxy, heads(**change))
    assert told[0].status == 409 and told[0].headers["x-glenchute-effect"] == "unknown"
    first.close(False)
    site.loop.run(site.loop.now + 1.0)
    settled(proxy)


def test_a_lost_proxy_settles_units_and_open_attempts_once() -> None:
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    askers = [proxy.ask("check-charge", 5000.0) for _ in range(20)]
    module: Any = site.gateway.decisions
    assert sum(tenant.attempts_in_flight for tenant in module.quota.tenants.by_id.values()) == 20
    for asker in askers:
        asker.leave()
    site.loop.run(site.loop.now + 1.0)
    settled(proxy)
    assert all(len(site.servers.attempts_of(asker.request)) == 1 for asker in askers)


def test_a_response_after_the_deadlines_answer_is_not_shown() -> None:
    """The proxy's clock is slow: it shows a node's 200 after the request was answered as failed."""
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    asker = proxy.ask("check-charge", 1000.0)
    asker.proxy.loop.call_later = site.loop.call_later
    asker.over = True  # it no longer acts by itself
    site.loop.run(site.loop.now + 1.5)
    told: list[Any] = []
    asker.down.receive(responded(200, "via_upstream"), told.append)
    assert told[0].status == 500 and told[0].headers["x-glenchute-effect"] == "unknown"
    asker.down.close(True)
    site.loop.run(site.loop.now + 5.0)
    settled(proxy)


def test_a_node_can_not_ask_for_a_retry_in_the_modules_name() -> None:
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    down, told = opened(proxy, heads())
    replies: list[Any] = []
    up = UpstreamStream(proxy.calls)
    token = told[0].set_headers["x-glenchute-token"]
    up.receive(ev.RequestHeaders(headers(x_glenchute_token=token)), replies.append)
    said = responded(200, "via_upstream")
    said.headers["x-glenchute-retry"] = [b"1"]
    up.receive(said, replies.append)
    down.receive(said, replies.append)
    assert all("x-glenchute-retry" in reply.remove_headers for reply in replies[1:]) and len(replies) == 3
    up.close(True)
    down.close(True)
    settled(proxy)


@pytest.mark.parametrize("first", ["attempt", "client"])
def test_the_attempts_end_and_the_clients_response_in_either_order(first: str) -> None:
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    asker = proxy.ask("check-charge", 2000.0)
    up, asker.up, asker.over = asker.up, None, True
    assert up is not None
    told: list[Any] = []
    reset = responded(503, "upstream_reset_before_response_started{connection_termination}")
    if first == "attempt":
        up.close(False)
    asker.down.receive(reset, told.append)
    if first == "client":
        up.close(False)
    (answer,) = told  # 503 would read as a promise that it did not run
    assert isinstance(answer, ev.ImmediateResponse) and answer.status == 500
    asker.down.close(True)
    site.loop.run(site.loop.now + 5.0)
    settled(proxy)


def test_a_proxy_that_ignores_the_chosen_node_is_turned_back_and_then_given_up() -> None:
    site = place(1, lambda rng: SERVED)
    proxy = SimulatedProxy(site)
    down, told = opened(proxy, heads(name="check-charge"))
    token = told[0].set_headers["x-glenchute-token"]
    replies: list[Any] = []
    for _ in range(4):
        up = UpstreamStream(proxy.calls)
        elsewhere = {"upstream.address": "127.0.0.1:9"}
        said = ev.RequestHeaders(headers(x_glenchute_token=token), attributes=elsewhere)
        up.receive(said, replies.append)
        up.close(True)
    assert [reply.status for reply in replies[:2]] == [503, 503]
    assert replies[0].headers["x-gateway-destination-endpoint"] == told[0].endpoint
    assert "x-glenchute-retry" not in replies[2].headers
    assert replies[3].status == 429 and replies[3].headers["x-glenchute-effect"] == "none"
    down.close(True)
    site.loop.run(site.loop.now + 5.0)
    settled(proxy)


def test_a_node_that_leaves_gets_no_attempt_after_its_grace() -> None:
    """The choice was told; the proxy asks only after the node is gone, and gets another."""
    site = place(1, lambda rng: SERVED)
    proxy = SimulatedProxy(site)
    down, told = opened(proxy, heads())
    gone = proxy.names[told[0].endpoint]
    site.servers.names.remove(gone)
    site.gateway.post(
        EndpointList(EndpointListKind.CHANGES, (Endpoint(gone, "a", state=EndpointState.REMOVED),))
    )
    replies: list[Any] = []
    up = UpstreamStream(proxy.calls)
    said = headers(x_glenchute_token=told[0].set_headers["x-glenchute-token"])
    up.receive(ev.RequestHeaders(said, attributes={"upstream.address": told[0].endpoint}), replies.append)
    assert replies[0].status == 503 and replies[0].headers["x-glenchute-retry"] == "1"
    assert replies[0].headers["x-gateway-destination-endpoint"] != told[0].endpoint
    up.close(True)
    down.close(False)
    site.loop.run(site.loop.now + 5.0)
    settled(proxy)


def test_without_attempt_streams_the_response_is_the_attempts_ending() -> None:
    endings = [
        (responded(200, "via_upstream"), "go"),
        (responded(500, "via_upstream"), "go"),
        (responded(429, "via_upstream"), 429),  # turned away unseen: the module refuses
        (responded(503, "upstream_reset_before_response_started{remote_connection_failure}"), 429),
        (responded(503, "upstream_reset_before_response_started{connection_termination}"), 500),
        (responded(504, "upstream_response_timeout"), "go"),
    ]
    for said, expected in endings:
        site = place(1, lambda rng: NEVER)
        proxy = SimulatedProxy(site, has_attempt_streams=False)
        down, told = opened(proxy, heads(name="check-charge"))
        assert told[0].set_headers["x-envoy-max-retries"] == "0"
        assert "x-glenchute-token" not in told[0].set_headers
        shown: list[Any] = []
        down.receive(said, shown.append)
        assert len(shown) == 1
        assert (shown[0].status if isinstance(shown[0], ev.ImmediateResponse) else "go") == expected, said
        down.close(True)
        settled(proxy)


def test_the_table_has_a_bound_and_says_so() -> None:
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site, max_requests=10)
    streams = [opened(proxy, heads(f"r{n}")) for n in range(15)]
    assert len(proxy.calls.requests_by_number) == 10 and proxy.calls.counts["table-full"] == 5
    for _, told in streams[10:]:
        assert told[0].status == 429 and told[0].headers["retry-after"] == "1"
    for down, _ in streams:
        down.close(False)
    site.loop.run(site.loop.now + 5.0)
    settled(proxy)


def test_streams_that_are_never_closed_do_not_keep_an_entry() -> None:
    """A stalled proxy: nothing comes any more, and nothing ends."""
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    asker = proxy.ask("check-charge", 1000.0)
    asker.over = True
    waiting: list[Any] = []
    UpstreamStream(proxy.calls).receive(
        ev.RequestHeaders(headers(x_glenchute_token=asker.token)), waiting.append
    )
    assert not waiting  # held: the first is out
    site.loop.run(site.loop.now + 1.0 + EXPIRY_GRACE_S + SWEEP_INTERVAL_S + 0.01)
    assert waiting and waiting[0].headers["x-glenchute-effect"] == "unknown"
    settled(proxy)


# --- bodies, and anything else that may come ------------------------------------------------------------


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
    site = place(1, lambda rng: NEVER)
    proxy = SimulatedProxy(site)
    rules = proxy.calls.settings.mapping_rules
    rules = replace(rules, sources={**rules.sources, "plan": "json:/plan"})
    proxy.calls.settings = replace(proxy.calls.settings, mapping_rules=rules)
    said = heads()
    said.end_of_stream = False
    down, told = opened(proxy, said)
    assert told[0].wants_request_body and not proxy.calls.requests_by_number
    for at, part in enumerate(parts):
        down.receive(ev.RequestBody(part, at == len(parts) - 1), told.append)
    last = told[-1]
    if status is None:
        assert last.kind == "request_body" and last.endpoint
    else:
        assert last.status == status and not proxy.calls.requests_by_number
    down.close(False)
    site.loop.run(site.loop.now + 5.0)
    settled(proxy)


def test_observability_mode_and_unknown_messages_take_nothing() -> None:
    proxy = SimulatedProxy(place(1, lambda rng: SERVED))
    for made in (DownstreamStream(proxy.calls), UpstreamStream(proxy.calls)):
        for message in (ev.ObservedMessage(), ev.UnknownMessage()):
            told: list[Any] = []
            made.receive(message, told.append)
            assert told == [None]
        for kind in ("request_trailers", "response_trailers", "response_body"):
            made.receive(ev.UnhandledMessage(kind), told.append)
            assert told[-1] == ev.ContinueResponse(kind)
    assert not proxy.calls.requests_by_number


MESSAGES = st.one_of(
    st.builds(heads, st.sampled_from(["r1", "r2", ""]), st.sampled_from(["report-read", "check-charge"])),
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
def test_no_order_of_messages_breaks_the_table(steps: list[Any], streams: bool) -> None:
    """Any messages, in any order, on any streams: each is answered at most once, nothing raises, two attempts
    of one request are never let through side by side, and in the end nothing is left."""
    site = SimulatedSite(None, lambda: NEVER)
    proxy = SimulatedProxy(site, has_attempt_streams=streams)
    downs = [DownstreamStream(proxy.calls) for _ in range(4)]
    ups = [UpstreamStream(proxy.calls) for _ in range(4)]
    tokens: list[str] = []
    answers: list[list[Any]] = []

    def hear(told: Any) -> None:
        if isinstance(told, ev.ContinueResponse) and "x-glenchute-token" in told.set_headers:
            tokens.append(told.set_headers["x-glenchute-token"])

    for what, which, given_ in steps:
        if what == "wait":
            site.loop.run(site.loop.now + which)
            continue
        if what == "close":
            downs[which].close(given_)
            downs[which] = DownstreamStream(proxy.calls)
        elif what == "close-up":
            ups[which].close(given_)
            ups[which] = UpstreamStream(proxy.calls)
        else:
            stream: DownstreamStream | UpstreamStream = downs[which] if what == "down" else ups[which]
            if what == "up" and isinstance(given_, ev.RequestHeaders) and tokens:
                given_ = ev.RequestHeaders(headers(x_glenchute_token=tokens[-1]))
            told: list[Any] = []
            answers.append(told)

            def both(answer: Any, told: list[Any] = told) -> None:
                told.append(answer)
                hear(answer)

            stream.receive(given_, both)
        for entry in proxy.calls.requests_by_number.values():
            assert len(entry.open_attempt_streams) <= 1
    for down, up in zip(downs, ups, strict=True):
        down.close(False)
        up.close(False)
    site.loop.run(site.loop.now + 20.0)
    assert all(len(told) <= 1 for told in answers)
    settled(proxy)


def test_final_answers_are_the_cores() -> None:
    """A type for each; a new one must be given its words here. `Streamed` comes from the gateway's own
    servers alone: the core tells no carrier's attempt where a long answer would go, so no proxy gets one."""
    assert {Served, Streamed, Rejected, Failed} == set(FinalResponse.__args__)
