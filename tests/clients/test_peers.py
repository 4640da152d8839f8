"""Clients, servers' pools, counter, discovery and the program over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from glenchute.clients import counter as counter_module
from glenchute.clients.counter import CounterClient
from glenchute.listeners.resp2 import clients as clients_module
from glenchute.listeners.resp2.clients import MAX_PENDING_COMMANDS
from glenchute.policy.actions import Action
from glenchute.policy.connections import client_slots
from glenchute.policy.connections.client_slots import MIN_FIRST_COMMAND_S
from glenchute.policy.endpoints import polling as pacing
from glenchute.policy.events import AttemptEnded, EndpointList, EndpointListKind, Event, Outcome, Request
from glenchute.protocol.endpoint_list import EndpointListError, decode_list
from glenchute.upstreams import connection_pool
from lab.ports import outgoing_ports
from tests.loopback import (
    CHARGE,
    CUSTOMER,
    GET,
    ORDER,
    SERVED,
    Client,
    DiscoveryPeer,
    RespPeer,
    Script,
    always,
    http,
    listing,
    play,
    raw_config,
    row,
    send_to,
    site,
    until,
)

ROOT = Path(__file__).resolve().parents[2]


# --- clients ---------------------------------------------------------------------------------------------

ID = b"9b1f03aa5c7e2d41"
BAD = [
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


def test_bad_commands_are_told_and_reach_neither_quota_nor_server(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        script = Script(send_to("s0"))
        async with site(always(SERVED), decisions=script) as one:
            client = await one.client()
            for words, text in BAD:
                assert text in str(await client.ask(*words)), words
            assert script.of(Request) == []
            assert await client.ask(b"CLIENT", b"SETNAME", b"x") == b"OK"
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            assert len(one.servers[0].calls()) == 1

    monkeypatch.setattr(clients_module, "MAX_COMMAND_ERRORS", 1000)
    play(scenario())


def test_a_client_with_many_errors_is_told_each_and_closed() -> None:
    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            client, other = await one.client(), await one.client()
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            for _ in range(500):
                client.send(b"NOPE")
            assert await client.reply() == b"value"
            for _ in range(clients_module.MAX_COMMAND_ERRORS):
                assert "unknown command" in str(await client.reply())
            assert await client.reply() is None  # and no reset, which could have cost the errors
            assert await other.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"

    play(scenario())


def test_one_turn_of_the_loop_takes_a_bounded_number_of_commands() -> None:
    async def scenario() -> None:
        async with site(always(SERVED)) as one:
            client = await one.client()
            await until(lambda: one.program.listener.clients)
            (held,) = one.program.listener.clients
            taken: list[int] = []
            held.parser.feed(b"*1\r\n$4\r\nPING\r\n" * 50)
            held.process_commands()
            taken.append(len(held.parser._raw) - held.parser._at)
            assert taken == [14 * (50 - clients_module.MAX_COMMANDS_PER_TURN)]
            assert [await client.reply() for _ in range(50)] == [b"PONG"] * 50

    play(scenario())


def test_an_id_that_is_open_is_refused_elsewhere_until_it_is_over() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return SERVED

        async with site(reply, decisions=Script(send_to("s0"))) as one:
            usual, bad = await one.client(), await one.client()
            usual.send(b"CALL.GET", CUSTOMER, ID, GET)
            await until(lambda: len(one.servers[0].calls()) == 1)
            assert "in use" in str(await bad.ask(b"CALL.GET", CUSTOMER, ID, GET))
            release.set()
            assert await usual.reply() == b"value"
            assert await bad.ask(b"CALL.GET", CUSTOMER, ID, GET) == b"value"
            assert not one.program.listener.open_ids
            release.clear()
            usual.send(b"CALL.GET", CUSTOMER, ID, GET)
            await until(lambda: one.program.listener.open_ids)
            usual.writer.close()
            await until(lambda: not one.program.listener.open_ids)  # the client left
            release.set()

    play(scenario())


def test_a_long_deadline_is_served_as_the_longest_of_the_settings() -> None:
    async def scenario() -> None:
        script = Script(send_to("s0"))
        async with site(always(SERVED), decisions=script) as one:
            client = await one.client()
            fields = b"c=read,t=basic,d=999999999"
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", fields) == b"value"
            assert [event.time_left_ms for event in script.of(Request)] == [20_000.0]

    play(scenario())


def test_who_says_nothing_or_half_a_command_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with site(always(None), decisions=Script(send_to("s0"))) as one:
            silent, half, idle, busy = [await one.client() for _ in range(4)]
            half.writer.write(b"*2\r\n$4\r\nPI")
            assert await idle.ask(b"PING") == b"PONG"
            busy.send(b"CALL.GET", CUSTOMER, b"1", GET)
            assert await silent.ended()
            assert "did not come" in str(await half.reply())
            assert await half.reply() is None
            assert await idle.ended()
            assert len(one.program.gateway.active_requests) == 1  # whose client is still there

    for name in ("MAX_FIRST_COMMAND_S", "PARTIAL_COMMAND_TIMEOUT_S", "MAX_IDLE_S"):
        monkeypatch.setattr(client_slots, name, 0.2)
    play(scenario())


def test_past_the_limit_those_that_never_asked_make_room_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_slots, "MAX_IDLE_S", 1000.0)  # room is made at need only ...
    for name in ("SWEEP_INTERVAL_S", "PRESSURED_SWEEP_INTERVAL_S"):
        monkeypatch.setattr(client_slots, name, 1000.0)  # ... and by no sweep before that

    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            one.program.listener.connection_slots.max_connections = 2
            asked = await one.client()
            assert await asked.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            silent = await one.client()
            await until(lambda: len(one.program.listener.clients) == 2)
            await asyncio.sleep(2.0 * MIN_FIRST_COMMAND_S)  # clearly past: the loop's clock is coarse
            pinging = await one.client()
            assert await pinging.ask(b"PING") == b"PONG"
            assert await silent.ended()
            last = await one.client()
            assert await last.ask(b"PING") == b"PONG"
            assert await pinging.ended()
            assert await asked.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"

    play(scenario())


BROKEN = [
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


@pytest.mark.parametrize("data", BROKEN)
def test_what_is_not_resp_is_told_and_closes(data: bytes) -> None:
    async def scenario() -> None:
        async with site(always(SERVED)) as one:
            client = await one.client()
            client.writer.write(data)
            try:
                assert "Protocol error" in str(await client.reply())
                assert await client.reply() is None
            except ConnectionResetError:
                pass  # bytes were left unread: the end of the connection is told as a reset
            await until(lambda: not one.program.listener.clients)
            other = await one.client()
            assert await other.ask(b"PING") == b"PONG"

    play(scenario())


def test_a_site_listens_where_no_peer_of_another_run_is_called() -> None:
    """A gateway that has lost its counter goes on calling its port: whoever is given that port next has its
    dozen connections, and never sees an empty table."""

    async def scenario() -> None:
        low, high = outgoing_ports()
        discovery = DiscoveryPeer(listing(1, []))
        async with site(always(SERVED), discovery=discovery) as one:
            ports = [one.port, one.servers[0].port, one.counter.port, discovery.port]
            assert [port for port in ports if low <= port <= high] == []

    play(scenario())


def test_commands_behind_a_full_line_wait_their_turn() -> None:
    """A client that writes without end is left unread at a point, and loses nothing by it."""

    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return SERVED

        script = Script(send_to("s0"))
        async with site(reply, decisions=script) as one:
            client = await one.client()
            for number in range(3 * MAX_PENDING_COMMANDS):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, GET)
            await until(lambda: len(script.of(Request)) >= MAX_PENDING_COMMANDS)
            assert len(one.program.gateway.active_requests) == MAX_PENDING_COMMANDS
            release.set()
            assert {await client.reply() for _ in range(3 * MAX_PENDING_COMMANDS)} == {b"value"}

    play(scenario())


def test_a_client_that_does_not_read_is_not_read_from() -> None:
    async def scenario() -> None:
        async with site(always(SERVED)) as one:
            client = await one.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await until(lambda: one.program.listener.clients)
            (held,) = one.program.listener.clients
            word = b"x" * 60_000
            while not held.is_write_blocked:
                client.send(b"PING", word)
                await asyncio.sleep(0)
            assert held.is_reading_paused and held.transport is not None
            assert held.transport.get_write_buffer_size() < 8_000_000
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            while (
                held.is_write_blocked
            ):  # all of it, or the client itself would stop reading at its own bound
                assert await client.reply() == word

    play(scenario())


def test_past_the_limit_an_idle_connection_makes_room() -> None:
    async def scenario() -> None:
        async with site(always(None), sockets=64) as one:
            one.program.listener.connection_slots.max_connections = 2
            busy, idle = await one.client(), await one.client()
            assert await idle.ask(b"PING") == b"PONG"
            busy.send(b"CALL.GET", CUSTOMER, b"1", GET)
            await until(lambda: one.program.gateway.active_requests)
            third = await one.client()
            assert await third.ask(b"PING") == b"PONG"
            assert await idle.ended()
            third.send(b"CALL.GET", CUSTOMER, b"2", GET)
            await until(lambda: len(one.program.gateway.active_requests) == 2)
            fourth = await one.client()
            assert "too many connections" in str(await fourth.reply())

    play(scenario())


def test_a_fault_at_a_command_costs_neither_the_answer_nor_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            client = await one.client()
            with monkeypatch.context() as patch:
                patch.setattr(one.program.gateway, "accept", None)
                assert str(await client.ask(b"CALL.GET", CUSTOMER, b"1", GET)) == "ERR failed"
            assert await client.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"

    play(scenario())


# --- servers ---------------------------------------------------------------------------------------------


def test_the_most_recently_used_connection_is_reused() -> None:
    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            client = await one.client()
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            client.send(b"CALL.GET", CUSTOMER, b"2", GET)
            assert [await client.reply(), await client.reply()] == [b"value", b"value"]
            pool = one.program.servers.pools["s0"]
            assert len(pool.idle) == 2
            last = pool.idle[-1]
            for conn in pool.idle:
                conn.idle_since -= 2 * connection_pool.REUSE_DELAY_S
            assert await client.ask(b"CALL.GET", CUSTOMER, b"3", GET) == b"value"
            assert pool.idle[-1] is last and len(one.servers[0].writers) == 2

    play(scenario())


def test_a_copy_of_an_answer_that_comes_later_serves_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """It comes in a segment of its own, when the connection has been given back already."""

    async def scenario() -> None:
        async def twice(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            value = words[2].rjust(4, b"0")
            answer = b"*3\r\n$4\r\n%b\r\n$-1\r\n$-1\r\n" % value
            writer.write(answer)
            await asyncio.sleep(0.005)
            return answer

        async with site(twice, decisions=Script(send_to("s0"))) as one:
            client = await one.client()
            for number in range(1, 9):
                value = await client.ask(b"CALL.GET", CUSTOMER, b"%d" % number, GET)
                assert value == b"%04d" % number
            assert len(one.servers[0].writers) == 8

    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 30.0)  # however slow the machine
    play(scenario())


def test_idle_connections_are_not_used_once_the_server_may_close_them() -> None:
    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            client = await one.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            pool = one.program.servers.pools["s0"]
            pool.idle[0].idle_since -= 14.0
            assert await client.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"
            assert len(one.servers[0].writers) == 2
            pool.idle[0].idle_since -= 14.0
            one.program.servers.sweep()
            await until(lambda: not pool.open)

    play(scenario())


def test_bytes_that_nobody_asked_for_end_a_connection() -> None:
    """Else the next request on it would be served with another's value."""

    async def scenario() -> None:
        async with site(always(SERVED + SERVED), decisions=Script(send_to("s0"))) as one:
            client = await one.client()
            await client.ask(b"CALL.GET", CUSTOMER, b"1", GET)
            await until(lambda: not one.program.servers.pools["s0"].open)

    play(scenario())


def test_a_connection_that_comes_up_after_a_drains_grace_is_not_written() -> None:
    async def scenario() -> None:
        script = Script(send_to("s0"))
        async with site(always(SERVED), decisions=script) as one:
            client = await one.client()
            decide, pool = script.decide, one.program.servers.pools["s0"]

            def grace_ends() -> None:
                pool.stop_at = one.program.loop.time() - 1.0

            def and_drain(event: Event) -> list[Action]:
                if isinstance(event, Request):
                    pool.stop()  # within its grace as the attempt starts, past it when the connection is up
                    one.program.loop.call_soon(grace_ends)
                return decide(event)

            script.decide = and_drain
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            assert str(await client.reply()) == "ERR failed"
            assert [e.outcome for e in script.of(AttemptEnded)] == [Outcome.UNREACHABLE]
            assert one.servers[0].calls() == []

    play(scenario())


def test_a_server_that_is_gone_loses_its_idle_connections() -> None:
    async def scenario() -> None:
        discovery = DiscoveryPeer()
        script = Script(send_to("s0"))
        async with site(always(SERVED), decisions=script, discovery=discovery) as one:
            port = one.servers[0].port
            client = await one.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            discovery.answers.append(listing(1, [row("s0", port)]))
            discovery.answers.append(listing(2, [row("s0", port, "Gone")], full=False))
            await until(lambda: ("closed", 1, []) in one.servers[0].log)
            assert str(await client.ask(b"CALL.GET", CUSTOMER, b"2", GET)) == "ERR failed"
            assert script.of(AttemptEnded)[-1].outcome is Outcome.UNREACHABLE
            assert (
                not one.program.gateway.server_started_ms and not one.program.servers.pools
            )  # ids are ever new

    play(scenario())


def test_a_time_out_closes_what_stood_idle_meanwhile() -> None:
    """The machine may have vanished; its old connections would be reset under the next requests."""

    async def scenario() -> None:
        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            return None if words[2] == b"mute" else SERVED

        def decide(event: Event) -> list[Action]:
            quick = isinstance(event, Request) and len(script.of(Request)) == 3
            return send_to("s0", 300.0 if quick else 0.0)(event)

        script = Script(decide)
        async with site(reply, decisions=script) as one:
            client = await one.client()
            client.send(b"CALL.GET", CUSTOMER, b"1", GET)
            client.send(b"CALL.GET", CUSTOMER, b"2", GET)
            assert [await client.reply(), await client.reply()] == [b"value", b"value"]
            pool = one.program.servers.pools["s0"]
            for conn in pool.idle:
                conn.idle_since -= 1.0  # unused since before the attempt
            assert len(pool.idle) == 2
            one.program.servers.sweeper.cancel()  # or the idle limit would close them too, later
            assert str(await client.ask(b"CALL.GET", CUSTOMER, b"mute", GET)) == "ERR failed"
            assert script.of(AttemptEnded)[-1].outcome is Outcome.TIMEOUT
            await until(lambda: not pool.open)

    play(scenario())


def test_connections_to_servers_are_bounded() -> None:
    async def scenario() -> None:
        script = Script(send_to("s0"))
        async with site(always(None), decisions=script) as one:
            servers = one.program.servers
            servers.limits = replace(servers.limits, max_connections=5)
            client = await one.client()
            for number in range(20):
                client.send(b"CALL.GET", CUSTOMER, b"%d" % number, GET)
            await until(lambda: len(script.of(AttemptEnded)) == 15 and len(one.servers[0].calls()) == 5)
            assert {event.outcome for event in script.of(AttemptEnded)} == {Outcome.UNREACHABLE}
            assert servers.connection_count() == 5

    play(scenario())


# --- the counter -----------------------------------------------------------------------------------------


def test_counter_replies_pair_in_order_late_ones_too() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[0] == b"PING":
                return b"+PONG\r\n"
            if words[1] == b"2":
                await release.wait()
            return b"-BUSY\r\n" if words[1] == b"6" else b"$1\r\n%b\r\n" % words[1]

        peer = RespPeer(reply)
        await peer.start()
        loop = asyncio.get_running_loop()
        made = CounterClient(loop, ("127.0.0.1", peer.port), 0.05)
        ends: list[tuple[int, float, Outcome]] = []

        def call(name: int) -> None:
            made.increment(name, 1.5, 4000.0, lambda total, ending, took: ends.append((name, total, ending)))

        call(2)
        assert ends == [(2, 0.0, Outcome.UNREACHABLE)]  # not connected yet: nothing was added
        await until(lambda: all(link.is_ready() for link in made.connections))
        call(2)
        await until(lambda: len(ends) == 2)
        made.timeout_s = 30.0
        call(4)
        call(6)
        release.set()
        await until(lambda: len(ends) == 4)
        assert ends[1:] == [(2, 0.0, Outcome.TIMEOUT), (4, 4.0, Outcome.OK), (6, 0.0, Outcome.REJECTED)]
        assert peer.calls()[0] == [b"INCRTTL", b"2", b"1.500", b"4000"]
        made.close()
        await peer.stop()

    play(scenario())


def test_a_counter_that_hangs_up_may_have_added_and_is_called_again_on_a_new_connection() -> None:
    async def scenario() -> None:
        hung = False

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            nonlocal hung
            if words[0] == b"PING":
                return b"+PONG\r\n"
            if not hung:
                hung = True
                writer.close()
                return None
            return b"$1\r\n3\r\n"

        peer = RespPeer(reply)
        await peer.start()
        made = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 30.0)
        ends: list[tuple[float, Outcome]] = []
        for _ in range(2):
            await until(lambda: all(link.is_ready() for link in made.connections))
            made.increment(2, 1.0, 1.0, lambda total, ending, took: ends.append((total, ending)))
            count = len(ends)
            await until(lambda: len(ends) > count)  # noqa: B023
        assert ends == [(0.0, Outcome.TIMEOUT), (3.0, Outcome.OK)]
        assert len(peer.calls()) == 2  # the first was not repeated
        made.close()
        await peer.stop()

    play(scenario())


SPOILT = [b"$3\r\nnan\r\n", b"$3\r\ninf\r\n", b"$0\r\n\r\n", b"$-1\r\n", b"+3\r\n", b":3\r\n", b"-NOISE\r\n",
          b"-BUSY?\r\n", b"$9\r\n1\r\n$1\r\n12", b"\x00\xff", b"*1\r\n$1\r\n3\r\n"]  # fmt: skip


@pytest.mark.parametrize("spoilt", SPOILT)
def test_a_spoilt_answer_of_the_counter_may_have_added_and_ends_the_connection(spoilt: bytes) -> None:
    async def scenario() -> None:
        answers = [spoilt, b"$3\r\n4.5\r\n"]

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if words[0] == b"PING" else answers.pop(0)

        peer = RespPeer(reply)
        await peer.start()
        made = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 30.0)
        ends: list[tuple[float, Outcome]] = []
        for _ in range(2):
            await until(lambda: all(link.is_ready() for link in made.connections))
            made.increment(5, 1.0, 1.0, lambda total, ending, took: ends.append((total, ending)))
            count = len(ends)
            await until(lambda: len(ends) > count)  # noqa: B023
        assert ends == [(0.0, Outcome.TIMEOUT), (4.5, Outcome.OK)]
        assert len(peer.writers) == counter_module.DEFAULT_CONNECTIONS + 1
        made.close()
        await peer.stop()

    play(scenario())


def test_a_slow_part_of_the_counter_holds_back_its_own_answers_only() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[0] == b"PING":
                return b"+PONG\r\n"
            if words[1] == b"0":
                await release.wait()
            return b"$1\r\n1\r\n"

        peer = RespPeer(reply)
        await peer.start()
        made = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 30.0)
        await until(lambda: all(link.is_ready() for link in made.connections))
        ends: list[int] = []

        def call(name: int) -> None:
            made.increment(name, 1.0, 1.0, lambda total, ending, took: ends.append(name))

        for name in (0, 2, 4, 6, 8):
            call(name)
        await until(lambda: sorted(ends) == [2, 4, 6, 8])
        release.set()
        await until(lambda: len(ends) == 5)
        made.close()
        await peer.stop()

    play(scenario())


def test_a_silent_counter_connection_is_opened_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        peer = RespPeer(always(None))
        await peer.start()
        made = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 0.01)
        await until(lambda: len(peer.writers) > 2 * counter_module.DEFAULT_CONNECTIONS)
        made.close()
        await peer.stop()

    monkeypatch.setattr(counter_module, "REPLY_TIMEOUT_S", 0.0)
    monkeypatch.setattr(counter_module, "PING_INTERVAL_S", 0.01)
    play(scenario())


# --- discovery -------------------------------------------------------------------------------------------


def test_the_watch_survives_errors_and_goes_on_from_the_list_held() -> None:
    async def scenario() -> None:
        rows = [row("a", 80), row("b", 81)]
        discovery = DiscoveryPeer(
            http(b"oops", "503 Service Unavailable"),
            http(b"{not json"),
            http(b'{"version":1,"full":true,"servers":[{"id":"a","state":"Ready"}]}'),
            http(b"[]"),
            listing(5, rows),
            listing(5, [], full=False),
            listing(9, [row("a", 80, "Terminating")], full=False),
            http(b"", "500 Internal Server Error"),
            listing(3, rows[:1]),
            listing(4, [row("c", 82, started_ms=5.0)], full=False),
        )
        script = Script(lambda event: [])
        async with site(decisions=script, discovery=discovery):
            await until(lambda: len(discovery.targets) == 11)
            told = [(e.kind, [x.address for x in e.endpoints]) for e in script.of(EndpointList)]
            assert told == [
                (EndpointListKind.CACHED, []),
                (EndpointListKind.FULL, ["a", "b"]),
                (EndpointListKind.CHANGES, ["a"]),
                (EndpointListKind.FULL, ["a"]),
                (EndpointListKind.CHANGES, ["c"]),
            ]
            since = [target.partition("since=")[2].partition("&")[0] for target in discovery.targets]
            assert since == ["1", "1", "1", "1", "1", "5", "5", "9", "9", "3", "4"]

    play(scenario())


def test_an_older_version_than_the_one_held_brings_the_whole_list() -> None:
    """Discovery began its count anew: what changed between is not known."""

    async def scenario() -> None:
        rows = [row("a", 80), row("b", 81)]
        discovery = DiscoveryPeer(
            listing(9, rows), listing(2, [], full=False), listing(2, rows[:1]), listing(3, [], full=False)
        )
        script = Script(lambda event: [])
        async with site(decisions=script, discovery=discovery):
            await until(lambda: len(discovery.targets) == 5)
            since = [target.partition("since=")[2].partition("&")[0] for target in discovery.targets]
            assert since == ["1", "9", "", "2", "3"]

    play(scenario())


def test_an_address_that_refuses_after_a_busy_one_is_asked_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """While the pause after a 503 ran, discovery moved to a place that refused the connection: nothing was to
    come any more, as the next call was thought to be due already."""

    async def scenario() -> None:
        busy = DiscoveryPeer(http(b"", "503 Service Unavailable"))
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))  # nobody listens there, and nobody else can
            async with site(discovery=busy) as one:
                await until(lambda: one.program.discovery.failed_polls == 1)
                one.program.discovery.change_address(taken.getsockname())
                await until(lambda: one.program.discovery.failed_polls > 3)

    monkeypatch.setattr(pacing, "RATE_DECREASE_FACTOR", 1e6)  # the pause lasts for seconds
    play(scenario())


def test_after_a_start_only_what_changed_since_the_saved_list_is_asked_for() -> None:
    async def scenario() -> None:
        discovery = DiscoveryPeer(listing(8, [row("b", 81)], full=False))
        known = decode_list({"version": 7, "full": True, "servers": []}, saved=True)
        async with site(discovery=discovery, cached_endpoints=known) as one:
            await until(lambda: len(discovery.targets) == 2)
            assert "since=7&" in discovery.targets[0] and "since=8&" in discovery.targets[1]
            # A start that waited for news would wait in vain where there is none.
            assert discovery.targets[0].endswith("timeout_ms=1")
            assert not discovery.targets[1].endswith("timeout_ms=1")
            assert one.program.servers.server_ids() == ["b"]

    play(scenario())


def test_discovery_that_is_down_keeps_no_gateway_from_serving() -> None:
    async def scenario() -> None:
        discovery = DiscoveryPeer(listing(1, []))
        discovery.answers.clear()
        async with site(always(SERVED), discovery=discovery) as one:
            client = await one.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"

    play(scenario())


@pytest.mark.parametrize("addr", ["x", "x:", ":5", "h:0", "h:99999", "h:p", None])
def test_lists_with_bad_addresses_are_turned_down(addr: Any) -> None:
    bad = {"version": 1, "full": True, "servers": [row("a", 1) | {"addr": addr}]}
    with pytest.raises(EndpointListError):
        decode_list(bad)


# --- the program -----------------------------------------------------------------------------------------


async def start(path: Path, **environ: str) -> asyncio.subprocess.Process:
    """The program as a process of its own."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "glenchute", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "EDGE_CONFIG": str(path), **environ},
    )  # fmt: skip


@pytest.mark.parametrize(
    "text", ["", "{", "[]", "{}", '{"settings":{}}', '{"settings":5}', None, "bad listen"]
)
def test_a_bad_configuration_ends_with_one_line(tmp_path: Path, text: str | None) -> None:
    async def scenario() -> None:
        path = tmp_path / "config.json"
        if text == "bad listen":
            path.write_text(json.dumps(raw_config(1, 1, []) | {"listen": "nowhere"}))
        elif text is not None:
            path.write_text(text)
        process = await start(path)
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err.startswith(b"glenchute: ") and err.count(b"\n") == 1

    play(scenario())


def test_sigterm_serves_on_finishes_what_is_held_and_exits_cleanly(tmp_path: Path) -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return SERVED

        server, counts, discovery = RespPeer(reply), RespPeer(always(b"+PONG\r\n")), DiscoveryPeer()
        for peer in (server, counts, discovery):
            await peer.start()
        rows = [row("s0", server.port)]
        discovery.answers.append(listing(1, rows))
        holder = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        listen = int(holder.sockets[0].getsockname()[1])
        holder.close()
        await holder.wait_closed()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config(discovery.port, counts.port, rows, listen)))
        process = await start(path)
        held = await patient(listen)
        idle = await Client.connect(listen)
        assert await idle.ask(b"PING") == b"PONG"
        held.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
        await until(lambda: len(server.calls()) == 1)
        process.send_signal(signal.SIGTERM)
        late = await Client.connect(listen)
        late.send(b"CALL.POST", CUSTOMER, b"2", ORDER)
        await until(lambda: len(server.calls()) == 2)
        assert await idle.ended()  # between requests: closed once new ones no longer come
        release.set()
        assert [await held.reply(), await late.reply()] == [b"value", b"value"]
        assert await held.reply() is None
        assert await process.wait() == 0
        for peer in (server, counts, discovery):
            await peer.stop()

    play(scenario())


def test_sighup_follows_the_addresses_of_the_file(tmp_path: Path) -> None:
    """Also several in a row, and a file that can't be read leaves what was in force."""

    async def scenario() -> None:
        server = RespPeer(always(SERVED))
        await server.start()
        rows = [row("s0", server.port)]

        async def two(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n2\r\n"

        places = [(DiscoveryPeer(listing(version, rows)), RespPeer(two)) for version in (9, 5, 3)]
        for discovery, counts in places:
            await discovery.start()
            await counts.start()
        holder = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        listen = int(holder.sockets[0].getsockname()[1])
        holder.close()
        await holder.wait_closed()
        path = tmp_path / "config.json"

        def write(place: int) -> None:
            discovery, counts = places[place]
            path.write_text(json.dumps(raw_config(discovery.port, counts.port, rows, listen)))

        write(0)
        process = await start(path)
        assert process.stderr is not None
        client = await patient(listen)
        assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        while b"stays" not in await process.stderr.readline():
            pass
        assert await client.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"
        for place in (1, 2):
            write(place)
            process.send_signal(signal.SIGHUP)
            while b"read again" not in await process.stderr.readline():
                pass
        discovery, counts = places[2]
        await until(
            lambda: len(discovery.targets) > 1 and len(counts.writers) == counter_module.DEFAULT_CONNECTIONS
        )
        assert discovery.targets[0] == "/v1/servers" and "since=3&" in discovery.targets[1]
        ids = (b"%016x" % number for number in range(100, 10_000))
        while not counts.calls():
            assert await client.ask(b"CALL.GET", CUSTOMER, next(ids), GET) == b"value"
            await asyncio.sleep(0.01)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        for peer in (server, *(peer for place in places for peer in place)):
            await peer.stop()

    play(scenario())


def test_calls_that_are_out_end_on_the_old_links_of_the_counter() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def late(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            if words[0] == b"INCRTTL":
                await release.wait()
            return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n7\r\n"

        async def three(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n3\r\n"

        old, new = RespPeer(late), RespPeer(three)
        await old.start()
        await new.start()
        made = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", old.port), 30.0)
        ends: list[tuple[int, float, Outcome]] = []

        def call(name: int) -> None:
            made.increment(name, 1.0, 1.0, lambda total, ending, took: ends.append((name, total, ending)))

        await until(lambda: all(link.is_ready() for link in made.connections))
        call(2)
        call(4)
        await until(lambda: len(old.calls()) == 2)
        made.change_address(("127.0.0.1", new.port))
        await until(lambda: all(link.is_ready() for link in made.connections))
        call(4)  # its old call ends now: answers for one name keep their order
        await until(lambda: len(ends) == 2)
        assert ends == [(4, 0.0, Outcome.TIMEOUT), (4, 3.0, Outcome.OK)]
        release.set()
        await until(lambda: len(ends) == 3)
        await until(
            lambda: [what for what, *_ in old.log].count("closed") == counter_module.DEFAULT_CONNECTIONS
        )
        assert ends[2] == (2, 7.0, Outcome.OK) and len(new.calls()) == 1
        made.close()
        await old.stop()
        await new.stop()

    play(scenario())


def test_what_discovery_said_at_an_old_address_is_dropped() -> None:
    async def scenario() -> None:
        old, new = DiscoveryPeer(listing(9, [row("a", 80)])), DiscoveryPeer()
        await new.start()
        script = Script(lambda event: [])
        async with site(decisions=script, discovery=old) as one:
            await until(lambda: len(old.targets) == 2)
            one.program.discovery.change_address(("127.0.0.1", new.port))
            old.answers.append(listing(10, [], full=True))
            await until(lambda: new.targets)
            assert list(one.program.servers.pools) == ["a"]  # the list held stays until the new one comes
            new.answers.append(listing(2, [row("b", 81)]))
            await until(lambda: list(one.program.servers.pools) == ["b"])
            assert new.targets[0] == "/v1/servers"
        await new.stop()

    play(scenario())


async def patient(port: int) -> Client:
    """A connection to a program that is starting."""
    while True:
        try:
            return await Client.connect(port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)
