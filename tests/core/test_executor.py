"""Requests over loopback sockets: outcomes of attempts, deadlines, order of replies, load reports,
exceptions."""

from __future__ import annotations

import asyncio
import time

import pytest

from glenchute.core.clock import Clock
from glenchute.core.load_report import parse_load_report
from glenchute.policy.actions import Action, CancelAttempt, Fail, Reject, SetTimer, StartAttempt
from glenchute.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointList,
    Event,
    Outcome,
    Request,
    TimerFired,
)
from tests.loopback import (
    CHARGE,
    CUSTOMER,
    GET,
    ORDER,
    SERVED,
    Reply,
    ScriptedEngine,
    reply_with,
    run_scenario,
    send_to,
    site,
    wait_until,
)


def test_a_request_is_served_and_goes_on_unchanged_but_for_the_time_left() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED)) as gateway_site:
            client = await gateway_site.client()
            assert await client.ask(b"PING") == b"PONG"
            assert await client.ask(b"CALL.POST", CUSTOMER, b"id-1", ORDER, b"body\r\n*1") == b"value"
            verb, customer, name, fields, body = gateway_site.servers[0].calls()[0]
            assert (verb, customer, name, body) == (b"CALL.POST", CUSTOMER, b"id-1", b"body\r\n*1")
            prefix, _, remaining = fields.partition(b"d=")
            left_ms, _, suffix = remaining.partition(b",")
            assert (prefix, suffix) == (b"c=order,t=basic,", b"k=5c0f6e1a2b3d4c59")
            assert 0 < int(left_ms) < 20000

    run_scenario(scenario())


async def close_connection(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
    writer.close()
    return None


OUTCOMES: list[tuple[Reply, Outcome]] = [
    (reply_with(SERVED), Outcome.OK),
    (reply_with(b"*3\r\n$0\r\n\r\n*-1\r\n$-1\r\n"), Outcome.OK),
    (reply_with(b"*3\r\n$1\r\nv\r\n*1\r\n:7\r\n:5\r\n"), Outcome.OK),
    (reply_with(SERVED + b"noise"), Outcome.OK),
    (reply_with(b"*1\r\n$0\r\n\r\n"), Outcome.ERROR),
    (reply_with(b"*4\r\n$1\r\nv\r\n$-1\r\n$-1\r\n$-1\r\n"), Outcome.ERROR),
    (reply_with(b"*3\r\n$3\r\nvalue\r\n$-1\r\n$-1\r\n"), Outcome.ERROR),
    (reply_with(b"*3\r\n$3\r\nvalXY$-1\r\n$-1\r\n"), Outcome.ERROR),
    (reply_with(b"*3\r\n+value\r\n$-1\r\n$-1\r\n"), Outcome.ERROR),
    (reply_with(b"*3\r\n$3000000000\r\n" + b"x" * 500), Outcome.ERROR),
    # The value is shorter than its stated length, and nothing follows.
    (reply_with(b"*3\r\n$50\r\nvalue\r\n$-1\r\n$-1\r\n"), Outcome.ERROR),
    (reply_with(b"*3\r\n*999999999\r\n"), Outcome.ERROR),
    (reply_with(b"-BUSY or not\r\n"), Outcome.ERROR),
    (reply_with(b"-BUSY\r\nnoise"), Outcome.ERROR),
    (reply_with(b"-BUSY queue=3,inflight=9\r\n"), Outcome.REJECTED),
    (reply_with(b"-ERR failed queue=3,inflight=9\r\n"), Outcome.ERROR),
    (reply_with(b"-SYNTAX no\r\n"), Outcome.ERROR),
    (reply_with(b"-BUSY\r\n"), Outcome.REJECTED),
    (reply_with(b"*3\r\n$-1\r\n*-1\r\n$-1\r\n"), Outcome.ERROR),
    (reply_with(b"$5\r\nvalue\r\n"), Outcome.ERROR),
    (reply_with(b"what is this?\r\n"), Outcome.ERROR),
    (close_connection, Outcome.RESET),
    (reply_with(None), Outcome.TIMEOUT),
]


@pytest.mark.parametrize(("reply", "outcome"), OUTCOMES)
def test_each_attempt_outcome_is_reported_once(reply: Reply, outcome: Outcome) -> None:
    async def scenario() -> None:
        # Only the case without a reply has a timeout, so that a slow machine can't cause one in the others.
        script = ScriptedEngine(send_to("s0", 200.0 if outcome is Outcome.TIMEOUT else 0.0))
        async with site(reply, decisions=script) as gateway_site:
            client = await gateway_site.client()
            answer = await client.ask(b"CALL.GET", CUSTOMER, b"1", GET)
            ended = script.events_of(AttemptEnded)
            assert [event.outcome for event in ended] == [outcome]
            assert ended[0].is_final is (outcome is Outcome.OK)
            assert isinstance(answer, bytes) is (outcome is Outcome.OK)
            assert ended[0].duration_ms >= 0.0

    run_scenario(scenario())


def test_a_refused_connection_did_not_run() -> None:
    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            await gateway_site.servers[0].stop()
            client = await gateway_site.client()
            assert str(await client.ask(b"CALL.GET", CUSTOMER, b"1", GET)) == "ERR failed"
            assert [event.outcome for event in script.events_of(AttemptEnded)] == [Outcome.UNREACHABLE]

    run_scenario(scenario())


def test_a_second_attempt_goes_only_once_the_first_is_closed() -> None:
    """Two copies of a request must never be in flight together: the timeout is reported after the close."""

    async def scenario() -> None:
        endings: list[str] = []

        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0", 100.0)]
            if isinstance(event, AttemptEnded) and not event.is_final:
                open_connections = gateway_site.program.servers.pools["s0"].open
                endings.append(f"{event.outcome.value} with {len(open_connections)} open")
                return [StartAttempt(event.request_id, "s1", 0.0)]
            return []

        async with site(
            reply_with(None), reply_with(SERVED), decisions=ScriptedEngine(decide)
        ) as gateway_site:
            client = await gateway_site.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            assert endings == ["timeout with 0 open"]
            await wait_until(lambda: ("closed", 1, []) in gateway_site.servers[0].log)

    run_scenario(scenario())


def test_a_cancel_closes_the_connection_and_is_told_once() -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0"), SetTimer(5, 0.0)]
            if isinstance(event, TimerFired):
                return [CancelAttempt("1", 0)] if gateway_site.servers[0].calls() else [SetTimer(5, 0.0)]
            return [Fail(event.request_id)] if isinstance(event, AttemptEnded) else []

        script = ScriptedEngine(decide)
        async with site(reply_with(None), decisions=script) as gateway_site:
            client = await gateway_site.client()
            assert str(await client.ask(b"CALL.POST", CUSTOMER, b"1", CHARGE)) == "ERR failed"
            assert [event.outcome for event in script.events_of(AttemptEnded)] == [Outcome.CANCELLED]
            await wait_until(lambda: ("closed", 1, []) in gateway_site.servers[0].log)

    run_scenario(scenario())


def test_two_attempts_at_once_are_not_made() -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0"), StartAttempt(event.request_id, "s1")]
            return []

        script = ScriptedEngine(decide)
        async with site(reply_with(None), reply_with(SERVED), decisions=script) as gateway_site:
            client = await gateway_site.client()
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            await wait_until(lambda: script.events_of(AttemptEnded))
            assert [(event.attempt, event.outcome) for event in script.events_of(AttemptEnded)] == [
                (1, Outcome.NOT_SENT)
            ]
            assert gateway_site.servers[1].calls() == []

    run_scenario(scenario())


def test_a_refusal_of_what_may_have_run_becomes_a_failure() -> None:
    """-BUSY guarantees that no attempt ran, whatever the decision engine says."""

    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0")]
            return [Reject(event.request_id, 7.0)] if isinstance(event, AttemptEnded) else []

        for reply, answer in ((b"-ERR failed\r\n", "ERR failed"), (b"-BUSY\r\n", "BUSY 7")):
            async with site(reply_with(reply), decisions=ScriptedEngine(decide)) as gateway_site:
                client = await gateway_site.client()
                assert str(await client.ask(b"CALL.POST", CUSTOMER, b"1", CHARGE)) == answer

    run_scenario(scenario())


@pytest.mark.parametrize(("sent", "answer"), [(False, "BUSY"), (True, "ERR failed")])
def test_a_request_that_the_engine_never_answers_is_answered_at_its_deadline(sent: bool, answer: str) -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            return [StartAttempt(event.request_id, "s0")] if sent and isinstance(event, Request) else []

        script = ScriptedEngine(decide)
        async with site(reply_with(None), decisions=script) as gateway_site:
            client = await gateway_site.client()
            fields = CHARGE.replace(b"d=20000", b"d=300")
            assert str(await client.ask(b"CALL.POST", CUSTOMER, b"1", fields)) == answer
            assert script.events_of(ClientDisconnected) == [ClientDisconnected("1")]
            assert [event.outcome for event in script.events_of(AttemptEnded)] == (
                [Outcome.TIMEOUT] if sent else []
            )

    run_scenario(scenario())


def test_each_request_is_answered_although_the_engine_raises() -> None:
    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request) and event.class_name == "read":
                raise RuntimeError("a fault")
            return send_to("s0")(event)

        script = ScriptedEngine(decide)

        def handle(now_ms: float, event: Event) -> list[Action]:
            script.events.append(event)
            return decide(event)

        script.handle = handle  # type: ignore[method-assign]
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            client = await gateway_site.client()
            assert str(await client.ask(b"CALL.GET", CUSTOMER, b"1", GET)) == "BUSY"
            assert await client.ask(b"CALL.POST", CUSTOMER, b"2", CHARGE) == b"value"

    run_scenario(scenario())


def test_replies_come_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[2] == b"1":
                await release.wait()
            return b"*3\r\n$1\r\n%b\r\n*-1\r\n$-1\r\n" % words[2]

        script = ScriptedEngine(send_to("s0"))
        async with site(reply, decisions=script) as gateway_site:
            client = await gateway_site.client()
            for name in (b"1", b"2", b"3"):
                client.send(b"CALL.GET", CUSTOMER, name, GET)
            client.send(b"PING")
            await wait_until(lambda: len(script.events_of(AttemptEnded)) == 2)
            release.set()
            assert [await client.reply() for _ in range(4)] == [b"1", b"2", b"3", b"PONG"]

    run_scenario(scenario())


def test_a_client_disconnect_is_reported_to_the_engine() -> None:
    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(None), decisions=script) as gateway_site:
            client = await gateway_site.client()
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            await wait_until(lambda: gateway_site.servers[0].calls())
            client.writer.close()
            await wait_until(lambda: script.events_of(ClientDisconnected))
            assert gateway_site.program.gateway.active_requests == {}

    run_scenario(scenario())


def test_timers_fire_at_their_time_or_after() -> None:
    async def scenario() -> None:
        fired: list[float] = []

        def decide(event: Event) -> list[Action]:
            if isinstance(event, EndpointList) and not script.events_of(EndpointList)[1:]:
                return [SetTimer(3, clock.now_ms() + 5.0)]
            if isinstance(event, TimerFired):
                fired.append(clock.now_ms())
            return []

        clock, script = Clock(), ScriptedEngine(decide)
        start = clock.now_ms()
        async with site(decisions=script):
            await wait_until(lambda: fired)
            assert fired[0] >= start + 5.0 and script.events_of(TimerFired) == [TimerFired(3)]

    run_scenario(scenario())


def test_the_clock_is_unix_time_and_never_goes_back() -> None:
    clock = Clock()
    assert abs(clock.now_ms() - time.time() * 1000.0) < 60_000.0
    times = [clock.now_ms() for _ in range(1000)]
    assert times == sorted(times)


def test_load_reports_are_read_by_name() -> None:
    assert parse_load_report(b"inflight=7,queue=2,util=0.61") == (2.0, 7.0)
    assert parse_load_report(b"waiting=1,active=4") == (1.0, 4.0)
    assert parse_load_report(b"queue=x,inflight,=,active=3") == (None, 3.0)
    assert parse_load_report(None) == (None, None)
