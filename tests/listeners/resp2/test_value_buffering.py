"""Long values with commands behind them on the same connection: whatever ends the value, what has run behind
it is answered."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from glenchute.listeners.resp2 import value_buffering
from glenchute.policy.events import AttemptEnded
from glenchute.upstreams import streamed_value
from tests.crossings import reset_connection
from tests.loopback import (
    CHARGE,
    CUSTOMER,
    GET,
    ORDER,
    SERVED,
    Client,
    ScriptedEngine,
    Site,
    generate_request_ids,
    run_scenario,
    send_to,
    site,
    wait_until,
)

VALUE = bytes(range(256)) * 2048  # 512 KiB
HEAD = b"*3\r\n$%d\r\n" % len(VALUE)
TAIL = b"\r\n*-1\r\n$20\r\ninflight=7,queue=2.5\r\n"
PART = HEAD + VALUE[:200_000]
REST = VALUE[200_000:] + TAIL


class LongValueServer:
    """Gives a part of a long value to each read, and the rest, or its end, once `may_end` is set. Other
    requests are served at once."""

    def __init__(self, end: str = "whole") -> None:
        self.end = end
        self.may_end = asyncio.Event()
        self.served: list[bytes] = []  # the classes of the other requests, in their order

    async def answer(self, words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        if words[0] != b"CALL.GET":
            self.served.append(words[3].split(b",")[0])
            return SERVED
        writer.write(PART)
        await self.may_end.wait()
        match self.end:
            case "whole":
                return REST
            case "close":
                writer.close()
            case "reset":
                await reset_connection(writer)
            case "invalid":
                return VALUE[200_000:] + b"surplus" + TAIL
        return None  # silence


@asynccontextmanager
async def long_value_site(server: LongValueServer) -> AsyncIterator[tuple[Site, Client, ScriptedEngine]]:
    """Runs a gateway with this server, and a client."""
    script = ScriptedEngine(send_to("s0"))
    async with site(server.answer, decisions=script) as gateway_site:
        yield gateway_site, await gateway_site.client(), script


def send(client: Client, *kinds: bytes) -> None:
    """Sends one request for each of these field lists, in one write."""
    ids = generate_request_ids()
    for fields in kinds:
        if fields is GET:
            client.send(b"CALL.GET", CUSTOMER, next(ids), fields)
        else:
            client.send(b"CALL.POST", CUSTOMER, next(ids), fields, b"body")


@pytest.mark.parametrize("fields", [CHARGE, ORDER])
@pytest.mark.parametrize("end", ["close", "reset", "invalid", "silence"])
def test_what_has_run_behind_a_value_that_breaks_off_is_answered(
    end: str, fields: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against dropping the replies to charges that have run, as the value before them breaks off."""
    monkeypatch.setattr(streamed_value, "SERVER_SILENCE_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        server = LongValueServer(end)
        async with long_value_site(server) as (gateway_site, client, script):
            send(client, GET, fields, fields)
            await wait_until(lambda: len(script.events_of(AttemptEnded)) == 2)
            server.may_end.set()
            assert [str(await client.reply()) for _ in range(3)] == ["ERR failed", "b'value'", "b'value'"]
            assert await client.ask(b"PING") == b"PONG"
            assert not gateway_site.program.servers.value_buffers.reservations

    run_scenario(scenario())


def test_a_value_with_commands_behind_it_is_served_whole_and_in_order() -> None:
    async def scenario() -> None:
        server = LongValueServer()
        async with long_value_site(server) as (gateway_site, client, script):
            send(client, GET, CHARGE)
            await wait_until(lambda: script.events_of(AttemptEnded))
            server.may_end.set()
            assert [await client.reply() for _ in range(2)] == [VALUE, b"value"]
            assert not gateway_site.program.servers.value_buffers.reservations

    run_scenario(scenario())


@pytest.mark.parametrize("fields", [CHARGE, GET])
def test_a_slow_value_fails_for_a_charge_behind_it_and_is_streamed_for_reads(
    fields: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against holding a value back for as long as its server takes."""
    monkeypatch.setattr(value_buffering, "MAX_BUFFERING_S", 0.2)

    async def scenario() -> None:
        server = LongValueServer()
        async with long_value_site(server) as (_, client, _):
            send(client, GET, fields)
            if fields is CHARGE:
                assert [str(await client.reply()) for _ in range(2)] == ["ERR failed", "b'value'"]
            else:
                assert (await client.reader.readexactly(1)) == b"$"  # before the server gives the rest
                client.parser.feed(b"$")
                server.may_end.set()
                assert [await client.reply() for _ in range(2)] == [VALUE, VALUE]

    run_scenario(scenario())


def test_what_has_run_behind_a_slow_value_is_answered_at_a_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against ending the process with replies in its hands that wait behind a slow value."""
    monkeypatch.setattr(value_buffering, "MAX_BUFFERING_S", 60.0)

    async def scenario() -> None:
        server = LongValueServer("silence")
        async with long_value_site(server) as (gateway_site, client, script):
            send(client, GET, CHARGE, GET, CHARGE)
            await wait_until(lambda: len(script.events_of(AttemptEnded)) == 2)
            lifecycle = gateway_site.program.listener.lifecycle
            lifecycle.shutdown_grace_s = 0.7  # the settings' longest deadline is 20 s
            stop = asyncio.create_task(gateway_site.program.shut_down())
            replies = [str(await client.reply()) for _ in range(4)]
            assert replies == ["ERR failed", "b'value'"] * 2
            await stop

    run_scenario(scenario())


def test_no_command_is_begun_behind_a_value_that_is_being_written() -> None:
    """Guards against running commands whose replies would be lost if the value breaks off."""

    async def scenario() -> None:
        server = LongValueServer()
        async with long_value_site(server) as (_, client, _):
            send(client, GET)
            assert (await client.reader.readexactly(1)) == b"$"
            client.parser.feed(b"$")
            client.send(b"CALL.POST", CUSTOMER, b"%016x" % 99, CHARGE, b"body")
            await asyncio.sleep(0.1)
            assert server.served == []
            server.may_end.set()
            assert [await client.reply() for _ in range(2)] == [VALUE, b"value"]

    run_scenario(scenario())


def test_values_wait_for_the_memory_in_which_they_are_buffered() -> None:
    async def scenario() -> None:
        server = LongValueServer()
        async with long_value_site(server) as (gateway_site, first, script):
            budget = gateway_site.program.servers.value_buffers
            budget.max_bytes = len(VALUE)
            second = await gateway_site.client()
            for client, serial in ((first, 1), (second, 3)):
                client.send(b"CALL.GET", CUSTOMER, b"%016x" % serial, GET)
                client.send(b"CALL.POST", CUSTOMER, b"%016x" % (serial + 1), CHARGE, b"body")
            await wait_until(lambda: len(script.events_of(AttemptEnded)) == 2)
            assert budget.reserved_bytes == len(VALUE) and len(budget.waiters) == 1
            server.may_end.set()
            for client in (first, second):
                assert [await client.reply() for _ in range(2)] == [VALUE, b"value"]
            assert not budget.reserved_bytes and not budget.waiters

    run_scenario(scenario())


def test_a_client_that_leaves_gives_back_the_memory_of_its_value() -> None:
    async def scenario() -> None:
        server = LongValueServer()
        async with long_value_site(server) as (gateway_site, client, script):
            send(client, GET, CHARGE)
            await wait_until(lambda: script.events_of(AttemptEnded))
            assert gateway_site.program.servers.value_buffers.reservations
            client.writer.transport.abort()
            await wait_until(lambda: not gateway_site.program.servers.value_buffers.reservations)

    run_scenario(scenario())
