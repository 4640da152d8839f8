"""Exclusive connections and their pools, over loopback sockets."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest

from glenchute.core.types import AttemptResult
from glenchute.policy.actions import Action, StartAttempt
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import AttemptEnded, Event, Outcome, Request, TimerFired
from glenchute.upstreams import connection_pool
from glenchute.upstreams.attempt import CarriedAttempt
from glenchute.upstreams.connection import Connection
from tests.loopback import (
    CUSTOMER,
    GET,
    SERVED,
    DiscoveryPeer,
    ScriptedEngine,
    discovery_answer,
    reply_with,
    run_scenario,
    send_to,
    server_row,
    site,
    wait_until,
)

ROOT = Path(__file__).resolve().parents[2]


def test_the_most_recently_used_connection_is_reused() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = await gateway_site.client()
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            client.send(b"CALL.GET", CUSTOMER, b"2", GET)
            assert [await client.reply(), await client.reply()] == [b"value", b"value"]
            pool = gateway_site.program.servers.pools["s0"]
            assert len(pool.idle) == 2
            last = pool.idle[-1]
            for conn in pool.idle:
                conn.idle_since -= 2 * connection_pool.REUSE_DELAY_S
            assert await client.ask(b"CALL.GET", CUSTOMER, b"3", GET) == b"value"
            assert pool.idle[-1] is last and len(gateway_site.servers[0].writers) == 2

    run_scenario(scenario())


def test_a_duplicate_reply_that_arrives_later_is_not_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that is served with the duplicate of an earlier reply, which arrives in a
    segment of its own, after the connection has been returned to the pool."""

    async def scenario() -> None:
        async def reply_twice(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            value = words[2].rjust(4, b"0")
            encoded = b"*3\r\n$4\r\n%b\r\n$-1\r\n$-1\r\n" % value
            writer.write(encoded)
            await asyncio.sleep(0.005)
            return encoded

        async with site(reply_twice, decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = await gateway_site.client()
            for number in range(1, 9):
                value = await client.ask(b"CALL.GET", CUSTOMER, b"%d" % number, GET)
                assert value == b"%04d" % number
            assert len(gateway_site.servers[0].writers) == 8

    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 30.0)  # long enough on a slow machine too
    run_scenario(scenario())


def value_reply(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n*-1\r\n*-1\r\n" % (len(value), value)


def send_unread(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Sends bytes, or the end of the connection for none, without the event loop: they are in the gateway's
    kernel when this returns, and the loop has not read them."""
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as sock:
        if data:
            sock.sendall(data)
        else:
            sock.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize(
    "operator",
    [
        pytest.param(None, id="exclusive"),
        pytest.param('[pipeline]\nclasses = ["read"]\nsettle_ms = 0\n', id="pipelined"),
    ],
)
@pytest.mark.parametrize(
    "unread",
    [
        pytest.param(value_reply(b"1"), id="value"),
        pytest.param(b"-BUSY\r\n", id="busy"),
        pytest.param(b"-ERR failed\r\n", id="failed"),
        pytest.param(b"*", id="part"),
        pytest.param(b"", id="end"),
    ],
)
def test_a_connection_with_input_that_the_loop_has_not_read_is_not_reused(
    unread: bytes, operator: str | None
) -> None:
    """Guards against a request that is given a late second answer to another customer's request, or its
    second BUSY, which waits in the kernel while the loop is busy."""

    async def scenario() -> None:
        async def reply_with_id(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return value_reply(words[2])

        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with_id, decisions=script, operator=operator) as gateway_site:
            program, server = gateway_site.program, gateway_site.servers[0]
            client = await gateway_site.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"1"
            script.decide = lambda event: []
            client.send(b"CALL.GET", CUSTOMER, b"2", GET)
            await wait_until(lambda: len(script.events_of(Request)) == 2)
            request_id = script.events_of(Request)[1].request_id
            program.servers.pools["s0"].idle[0].idle_since -= 2 * connection_pool.REUSE_DELAY_S
            send_unread(server.writers[0], unread)
            script.decide = lambda event: [StartAttempt(request_id, "s0")] if event == TimerFired(1) else []
            program.gateway.post(TimerFired(1))  # the attempt starts before the loop reads any socket
            assert await client.reply() == b"2"
            assert len(server.writers) == 2 and [words[2] for words in server.calls()] == [b"1", b"2"]

    run_scenario(scenario())


def test_the_rest_of_a_connection_begins_when_its_reply_has_been_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that is reused before a second answer can have come, as the loop's time is
    that of the begin of a long iteration."""
    read_at: list[float] = []
    complete_response = Connection.complete_response

    def complete_late(
        conn: Connection, attempt: CarriedAttempt, result: AttemptResult, surplus: bool
    ) -> None:
        time.sleep(2 * connection_pool.REUSE_DELAY_S)  # other work of the same iteration
        read_at.append(time.monotonic())
        complete_response(conn, attempt, result, surplus)

    monkeypatch.setattr(Connection, "complete_response", complete_late)

    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = await gateway_site.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            assert gateway_site.program.servers.pools["s0"].idle[0].idle_since >= read_at[0]

    run_scenario(scenario())


def test_idle_connections_are_not_used_once_the_server_may_close_them() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = await gateway_site.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            pool = gateway_site.program.servers.pools["s0"]
            # The servers close idle connections after 15 s, so those idle for over 13 s are not used.
            pool.idle[0].idle_since -= 14.0
            assert await client.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"
            assert len(gateway_site.servers[0].writers) == 2
            pool.idle[0].idle_since -= 14.0
            gateway_site.program.servers.sweep()
            await wait_until(lambda: not pool.open)

    run_scenario(scenario())


def test_surplus_bytes_close_the_connection() -> None:
    """Guards against a request that is served with the surplus reply to an earlier one."""

    async def scenario() -> None:
        async with site(reply_with(SERVED + SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = await gateway_site.client()
            await client.ask(b"CALL.GET", CUSTOMER, b"1", GET)
            await wait_until(lambda: not gateway_site.program.servers.pools["s0"].open)

    run_scenario(scenario())


def test_a_connection_that_makes_room_for_another_does_not_count_any_more() -> None:
    """Guards against a count of connections that passes the limit by those which were closed for others."""

    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client, tracker = await gateway_site.client(), gateway_site.program.servers
            for number in range(4):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, GET)
            assert [await client.reply() for _ in range(4)] == [b"value"] * 4
            assert tracker.connection_count() == len(tracker.pools["s0"].idle) == 4
            tracker.set_process_share(4 / tracker.limits.max_connections)
            for _ in range(4):
                assert tracker.make_room()
                assert tracker.connection_count() == 3
                tracker.connecting.add(object())
            assert not tracker.make_room()
            assert not tracker.may_open()

    run_scenario(scenario())


def test_a_connection_established_after_the_drain_grace_period_is_not_written_to() -> None:
    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            client = await gateway_site.client()
            decide, pool = script.decide, gateway_site.program.servers.pools["s0"]

            def end_grace_period() -> None:
                pool.stop_at = gateway_site.program.loop.time() - 1.0

            def decide_and_drain(event: Event) -> list[Action]:
                if isinstance(event, Request):
                    pool.stop()  # the grace period ends between the attempt's start and its connect
                    gateway_site.program.loop.call_soon(end_grace_period)
                return decide(event)

            script.decide = decide_and_drain
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            assert str(await client.reply()) == "ERR failed"
            assert [event.outcome for event in script.events_of(AttemptEnded)] == [Outcome.UNREACHABLE]
            assert gateway_site.servers[0].calls() == []

    run_scenario(scenario())


def test_idle_connections_to_a_removed_server_are_closed() -> None:
    async def scenario() -> None:
        discovery = DiscoveryPeer()
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(SERVED), decisions=script, discovery=discovery) as gateway_site:
            port = gateway_site.servers[0].port
            client = await gateway_site.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            discovery.answers.append(discovery_answer(1, [server_row("s0", port)]))
            discovery.answers.append(discovery_answer(2, [server_row("s0", port, "Gone")], full=False))
            await wait_until(lambda: ("closed", 1, []) in gateway_site.servers[0].log)
            assert str(await client.ask(b"CALL.GET", CUSTOMER, b"2", GET)) == "ERR failed"
            assert script.events_of(AttemptEnded)[-1].outcome is Outcome.UNREACHABLE
            # A removed server's id never comes back, so nothing may be kept for it.
            assert (
                not gateway_site.program.gateway.endpoints.started_ms
                and not gateway_site.program.servers.pools
            )

    run_scenario(scenario())


def test_a_timeout_closes_connections_idle_since_before_the_attempt() -> None:
    """Guards against requests that fail on old connections to a server whose host has failed: once the host
    is back, it resets them."""

    async def scenario() -> None:
        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            return None if words[2] == b"mute" else SERVED

        def decide(event: Event) -> list[Action]:
            is_third = isinstance(event, Request) and len(script.events_of(Request)) == 3
            return send_to("s0", 300.0 if is_third else 0.0)(event)

        script = ScriptedEngine(decide)
        async with site(reply, decisions=script) as gateway_site:
            client = await gateway_site.client()
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            client.send(b"CALL.GET", CUSTOMER, b"2", GET)
            assert [await client.reply(), await client.reply()] == [b"value", b"value"]
            pool = gateway_site.program.servers.pools["s0"]
            for conn in pool.idle:
                conn.idle_since -= 1.0  # idle since before the attempt
            assert len(pool.idle) == 2
            gateway_site.program.servers.sweeper.cancel()  # it would close them at the idle limit
            assert str(await client.ask(b"CALL.GET", CUSTOMER, b"mute", GET)) == "ERR failed"
            assert script.events_of(AttemptEnded)[-1].outcome is Outcome.TIMEOUT
            await wait_until(lambda: not pool.open)

    run_scenario(scenario())


def test_connections_to_servers_are_bounded() -> None:
    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(None), decisions=script) as gateway_site:
            servers = gateway_site.program.servers
            servers.limits = replace(servers.limits, max_connections=5)
            client = await gateway_site.client()
            for number in range(20):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, GET)
            await wait_until(
                lambda: (
                    len(script.events_of(AttemptEnded)) == 15 and len(gateway_site.servers[0].calls()) == 5
                )
            )
            assert {event.outcome for event in script.events_of(AttemptEnded)} == {Outcome.NO_CONNECTION}
            assert servers.connection_count() == 5

    run_scenario(scenario())


def test_a_shortage_of_connections_backs_off_no_server() -> None:
    """Guards against servers that are backed off because this process has no free connection."""

    async def scenario() -> None:
        async with site(reply_with(None), reply_with(None)) as gateway_site:
            servers = gateway_site.program.servers
            servers.limits = replace(servers.limits, max_connections=2)
            clients = [await gateway_site.client() for _ in range(3)]
            for number in range(30):
                clients[number % 3].send(b"CALL.GET", CUSTOMER, b"%d" % number, GET)
            engine = gateway_site.program.gateway.decisions
            assert isinstance(engine, DecisionEngine)
            await wait_until(lambda: engine.reports.counts.get("attempt: no connection", 0) >= 10)
            known = engine.pool.servers.values()
            assert len(known) == 2
            assert all(server.connect_failures == 0 for server in known)
            assert all(server.backed_off_until_ms == 0.0 for server in known)

    run_scenario(scenario())
