"""Client connections of the RESP2 listener, over loopback sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from glenchute.listeners.resp2 import connection as connection_module
from glenchute.listeners.resp2.connection import MAX_PENDING_COMMANDS
from glenchute.policy.connections import client_slots
from glenchute.policy.connections.client_slots import MIN_FIRST_COMMAND_S
from glenchute.policy.events import Request
from lab.ports import outgoing_ports
from tests.loopback import (
    CHARGE,
    CUSTOMER,
    GET,
    SERVED,
    DiscoveryPeer,
    ScriptedEngine,
    discovery_answer,
    reply_with,
    run_scenario,
    send_to,
    site,
    wait_until,
)

ROOT = Path(__file__).resolve().parents[2]


ID = b"9b1f03aa5c7e2d41"
INVALID_COMMANDS = [
    ([b"NOPE"], "unknown command 'NOPE'"),
    ([b"HELLO", b"3"], "unknown command 'HELLO'"),
    ([b"PING", b"a", b"b"], "wrong number of arguments"),
    ([b"CALL.GET"], "wrong number of arguments"),
    ([b"CALL.GET", CUSTOMER, ID, GET, b"body", b"more"], "wrong number of arguments"),
    *[
        ([b"CALL.GET", bad, ID, GET], "bad customer")
        for bad in (b"xyz", b"-1", b"0x1f", b"", b"1f", b"00000000b4d6552g", b"0000000200000000", b"+" * 16)
    ],
    *[([b"CALL.GET", CUSTOMER, bad, GET], "bad request id") for bad in (b"", b"a b", b"\n", b"x" * 65)],
    ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic"], "no time left"),
    ([b"CALL.GET", CUSTOMER, ID, b"c=read,,t=basic,d=9"], "bad fields"),
    ([b"CALL.GET", CUSTOMER, ID, b"c=read,c=read,t=basic,d=9"], "bad fields"),
    ([b"CALL.GET", CUSTOMER, ID, GET + b",x=" + b"1" * 600], "bad fields"),
    ([b"CALL.GET", CUSTOMER, ID, b"c=other,t=basic,d=9"], "unknown class"),
    ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=other,d=9"], "unknown plan"),
    ([b"CALL.GET", CUSTOMER, ID, b"t=basic,d=9"], "unknown class"),
    ([b"CALL.POST", CUSTOMER, ID, GET, b""], "other command"),
    ([b"CALL.GET", CUSTOMER, ID, CHARGE], "other command"),
    ([b"CALL.POST", CUSTOMER, ID, b"c=order,t=basic,d=9", b""], "no idempotency key"),
    ([b"CALL.POST", CUSTOMER, ID, b"c=order,t=basic,d=9,k=", b""], "no idempotency key"),
    *[
        ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic,d=%b" % bad], "bad number for d")
        for bad in (b"", b"nan", b"inf", b"-1", b"1_0", b"0", b"9" * 400, b" 5", b"x", b"1e3")
    ],
    *[
        ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic,d=9,units=%b" % bad], "bad number for units")
        for bad in (b"-2", b"0", b"nan", b"7", b"1e1", b"")
    ],
    *[
        ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic,d=9,spread=%b" % bad], "bad number for spread")
        for bad in (b"0", b"3", b"-1", b"1.5", b"x")
    ],
    *[
        ([b"CALL.GET", CUSTOMER, ID, b"c=read,t=basic,d=9,first=%b" % bad], "bad number for first")
        for bad in (b"2", b"-1", b"x")
    ],
]


def test_invalid_commands_get_errors_and_reach_neither_quota_nor_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            client = await gateway_site.client()
            for command, text in INVALID_COMMANDS:
                assert text in str(await client.ask(*command)), command
            assert script.events_of(Request) == []
            assert await client.ask(b"CLIENT", b"SETNAME", b"x") == b"OK"
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            assert len(gateway_site.servers[0].calls()) == 1

    monkeypatch.setattr(connection_module, "MAX_COMMAND_ERRORS", 1000)
    run_scenario(scenario())


def test_a_client_with_many_errors_gets_error_replies_and_is_closed() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client, other = await gateway_site.client(), await gateway_site.client()
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            for _ in range(500):
                client.send(b"NOPE")
            assert await client.reply() == b"value"
            for _ in range(connection_module.MAX_COMMAND_ERRORS):
                assert "unknown command" in str(await client.reply())
            assert await client.reply() is None  # not a reset, with which the error replies could be lost
            assert await other.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"

    run_scenario(scenario())


def test_one_turn_of_the_loop_takes_a_bounded_number_of_commands() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED)) as gateway_site:
            client = await gateway_site.client()
            await wait_until(lambda: gateway_site.program.listener.clients)
            (connection,) = gateway_site.program.listener.clients
            unparsed: list[int] = []
            connection.parser.feed(b"*1\r\n$4\r\nPING\r\n" * 50)
            connection.process_commands()
            unparsed.append(len(connection.parser._raw) - connection.parser._at)
            assert unparsed == [14 * (50 - connection_module.MAX_COMMANDS_PER_TURN)]
            assert [await client.reply() for _ in range(50)] == [b"PONG"] * 50

    run_scenario(scenario())


def test_a_request_id_in_use_is_rejected_on_other_connections() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return SERVED

        async with site(reply, decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            first, second = await gateway_site.client(), await gateway_site.client()
            first.send(b"CALL.GET", CUSTOMER, ID, GET)
            await wait_until(lambda: len(gateway_site.servers[0].calls()) == 1)
            assert "in use" in str(await second.ask(b"CALL.GET", CUSTOMER, ID, GET))
            release.set()
            assert await first.reply() == b"value"
            assert await second.ask(b"CALL.GET", CUSTOMER, ID, GET) == b"value"
            assert not gateway_site.program.listener.open_ids
            release.clear()
            first.send(b"CALL.GET", CUSTOMER, ID, GET)
            await wait_until(lambda: gateway_site.program.listener.open_ids)
            first.writer.close()
            # Until the gateway has noticed that the client disconnected.
            await wait_until(lambda: not gateway_site.program.listener.open_ids)
            release.set()

    run_scenario(scenario())


def test_a_long_deadline_is_reduced_to_the_longest_of_the_settings() -> None:
    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            client = await gateway_site.client()
            fields = b"c=read,t=basic,d=999999999"
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", fields) == b"value"
            assert [event.time_left_ms for event in script.events_of(Request)] == [20_000.0]

    run_scenario(scenario())


def test_silent_connections_and_partial_commands_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with site(reply_with(None), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            silent, partial, idle, busy = [await gateway_site.client() for _ in range(4)]
            partial.writer.write(b"*2\r\n$4\r\nPI")
            assert await idle.ask(b"PING") == b"PONG"
            busy.send(b"CALL.GET", CUSTOMER, b"1", GET)
            assert await silent.ended()
            assert "did not come" in str(await partial.reply())
            assert await partial.reply() is None
            assert await idle.ended()
            # The request of the busy client, which is still connected.
            assert len(gateway_site.program.gateway.active_requests) == 1

    for name in ("MAX_FIRST_COMMAND_S", "PARTIAL_COMMAND_TIMEOUT_S", "MAX_IDLE_S"):
        monkeypatch.setattr(client_slots, name, 0.2)
    run_scenario(scenario())


def test_past_the_limit_connections_without_requests_are_evicted_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Connections are evicted only when a new one is accepted, not by a sweep before that.
    monkeypatch.setattr(client_slots, "MAX_IDLE_S", 1000.0)
    for name in ("SWEEP_INTERVAL_S", "PRESSURED_SWEEP_INTERVAL_S"):
        monkeypatch.setattr(client_slots, name, 1000.0)

    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            gateway_site.program.listener.connection_slots.max_connections = 2
            used = await gateway_site.client()
            assert await used.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            silent = await gateway_site.client()
            await wait_until(lambda: len(gateway_site.program.listener.clients) == 2)
            await asyncio.sleep(2.0 * MIN_FIRST_COMMAND_S)  # a wide margin, as the loop's clock is coarse
            pinging = await gateway_site.client()
            assert await pinging.ask(b"PING") == b"PONG"
            assert await silent.ended()
            last = await gateway_site.client()
            assert await last.ask(b"PING") == b"PONG"
            assert await pinging.ended()
            assert await used.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"

    run_scenario(scenario())


INVALID_RESP = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"*1\r\n:5\r\n",
    b"+OK\r\n",
    b"*0\r\n",
    b"*-1\r\n",
    b"*1\r\n$-1\r\n",
    b"*500000000\r\n",
    b"*1\r\n$99999999999999999999\r\n",
    b"*2\r\n$4\r\nPING\r\n*1\r\n$1\r\na\r\n",
    b"*1\r\n$900000000\r\n" + b"x" * 400_000,
    b"*1\r\n$65537\r\n",
    b"*1\r\n$04\r\nPING\r\n",
    b"*1\r\n$4\r\nPINGxx",
    b"*1\r\n$3\r\nPING\r\n",
    b"*1\r\n*1\r\n*1\r\n",
    b"*" + b"1" * 100,
    b"+" + b"x" * 2000,
]


@pytest.mark.parametrize("data", INVALID_RESP)
def test_invalid_resp_gets_an_error_reply_and_is_closed(data: bytes) -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED)) as gateway_site:
            client = await gateway_site.client()
            client.writer.write(data)
            try:
                assert "Protocol error" in str(await client.reply())
                assert await client.reply() is None
            except ConnectionResetError:
                pass  # a reset, as bytes of the client were left unread
            await wait_until(lambda: not gateway_site.program.listener.clients)
            other = await gateway_site.client()
            assert await other.ask(b"PING") == b"PONG"

    run_scenario(scenario())


def test_a_site_listens_outside_the_range_of_outgoing_ports() -> None:
    """Guards against a test whose listener gets the connections of another run, so that it is never without
    clients. A gateway whose counter has ended keeps opening a dozen connections to the counter's port,
    whatever listens there next."""

    async def scenario() -> None:
        low, high = outgoing_ports()
        discovery = DiscoveryPeer(discovery_answer(1, []))
        async with site(reply_with(SERVED), discovery=discovery) as gateway_site:
            ports = [
                gateway_site.port,
                gateway_site.servers[0].port,
                gateway_site.counter.port,
                discovery.port,
            ]
            assert [port for port in ports if low <= port <= high] == []

    run_scenario(scenario())


def test_commands_past_the_pending_limit_wait_and_are_answered() -> None:
    """A client that keeps writing is not read from past `MAX_PENDING_COMMANDS`, yet gets all replies."""

    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return SERVED

        script = ScriptedEngine(send_to("s0"))
        async with site(reply, decisions=script) as gateway_site:
            client = await gateway_site.client()
            for number in range(3 * MAX_PENDING_COMMANDS):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, GET)
            await wait_until(lambda: len(script.events_of(Request)) >= MAX_PENDING_COMMANDS)
            assert len(gateway_site.program.gateway.active_requests) == MAX_PENDING_COMMANDS
            release.set()
            assert {await client.reply() for _ in range(3 * MAX_PENDING_COMMANDS)} == {b"value"}

    run_scenario(scenario())


def test_a_client_that_does_not_read_is_not_read_from() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED)) as gateway_site:
            client = await gateway_site.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await wait_until(lambda: gateway_site.program.listener.clients)
            (connection,) = gateway_site.program.listener.clients
            word = b"x" * 60_000
            while not connection.is_write_blocked:
                client.send(b"PING", word)
                await asyncio.sleep(0)
            assert connection.is_reading_paused and connection.transport is not None
            assert connection.transport.get_write_buffer_size() < 8_000_000
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            # Reads all replies, since the client's own stream would stop reading at its limit.
            while connection.is_write_blocked:
                assert await client.reply() == word

    run_scenario(scenario())


def test_past_the_limit_an_idle_connection_is_evicted() -> None:
    async def scenario() -> None:
        async with site(reply_with(None), sockets=64) as gateway_site:
            gateway_site.program.listener.connection_slots.max_connections = 2
            busy, idle = await gateway_site.client(), await gateway_site.client()
            assert await idle.ask(b"PING") == b"PONG"
            busy.send(b"CALL.GET", CUSTOMER, b"1", GET)
            await wait_until(lambda: gateway_site.program.gateway.active_requests)
            third = await gateway_site.client()
            assert await third.ask(b"PING") == b"PONG"
            assert await idle.ended()
            third.send(b"CALL.GET", CUSTOMER, b"2", GET)
            await wait_until(lambda: len(gateway_site.program.gateway.active_requests) == 2)
            fourth = await gateway_site.client()
            assert "too many connections" in str(await fourth.reply())

    run_scenario(scenario())


def test_an_exception_in_a_command_gets_a_reply_and_keeps_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = await gateway_site.client()
            with monkeypatch.context() as patch:
                patch.setattr(gateway_site.program.gateway, "accept", None)
                assert str(await client.ask(b"CALL.GET", CUSTOMER, b"1", GET)) == "ERR failed"
            assert await client.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"

    run_scenario(scenario())
