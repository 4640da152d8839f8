"""Crossing events, each order forced on real sockets: server responses, and the further attempts that may
follow.

docs/design/crossings.md lists the cases. A peer delays one event until the other has happened; the tests wait
for conditions, not for fixed times.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from glenchute.config.policy_settings import policy_settings
from glenchute.policy.engine import DecisionEngine as Policy
from glenchute.policy.events import Outcome
from lab.peers import RespPeer, discovery_answer, reply_with, run_scenario, server_row, wait_until
from tests.clients.manual_discovery import ManualDiscovery
from tests.crossings import READ, OutcomeRecorder, blocked_port, reset_connection
from tests.loopback import (
    CHARGE,
    CUSTOMER,
    GET,
    ORDER,
    SERVED,
    SETTINGS,
    ScriptedEngine,
    send_to,
    site,
)


async def keep_open(writer: asyncio.StreamWriter) -> None:
    """Keeps the connection open and sends nothing more."""


async def close_connection(writer: asyncio.StreamWriter) -> None:
    writer.close()


PARTIAL_REPLY, UNFINISHED_REPLY = SERVED[:9], SERVED.replace(b"$5", b"$9000", 1)

IS_RETRIED = {b"read": True, b"order": True, b"charge": False}


SERVERS: dict[str, tuple[list[bytes], Callable[[asyncio.StreamWriter], Awaitable[None]], Outcome]] = {
    "half a line, silence": ([PARTIAL_REPLY], keep_open, Outcome.ERROR),
    "half a line, end": ([PARTIAL_REPLY], close_connection, Outcome.RESET),
    "half a line, reset": ([PARTIAL_REPLY], reset_connection, Outcome.RESET),
    "an answer without an end": ([UNFINISHED_REPLY], keep_open, Outcome.ERROR),
    "no answer, end": ([], close_connection, Outcome.RESET),
    "no answer, reset": ([], reset_connection, Outcome.RESET),
    "an error": ([b"-ERR failed\r\n"], keep_open, Outcome.ERROR),
    "a null": ([b"$-1\r\n"], keep_open, Outcome.ERROR),
    "no RESP": ([b"HTTP/1.1 200\r\n\r\n"], keep_open, Outcome.ERROR),
    "turned away": ([b"-BUSY\r\n"], keep_open, Outcome.REJECTED),
    "turned away, in pieces": ([b"-BU", b"SY\r", b"\n"], keep_open, Outcome.REJECTED),
    "turned away, with bytes behind it": ([b"-BUSY\r\nx"], keep_open, Outcome.ERROR),
    "turned away in part, end": ([b"-BUSY\r"], close_connection, Outcome.RESET),
    "turned away in part, silence": ([b"-BUSY"], keep_open, Outcome.ERROR),
    "an answer": ([SERVED], keep_open, Outcome.OK),
    "an answer in pieces": ([SERVED[:4], SERVED[4:11], SERVED[11:]], keep_open, Outcome.OK),
    "an answer, end": ([SERVED], close_connection, Outcome.OK),
    "an answer with bytes behind it": ([SERVED + b"+more\r\n"], keep_open, Outcome.OK),
    "two answers": ([SERVED + SERVED], keep_open, Outcome.OK),
    "an answer, a second later": ([SERVED, SERVED], keep_open, Outcome.OK),
}


@pytest.mark.parametrize("name", [b"read", b"order", b"charge"])
@pytest.mark.parametrize("reply_kind", SERVERS)
def test_what_comes_back_and_what_may_follow(reply_kind: str, name: bytes) -> None:
    """The first attempt gets the given response, a further one a value. A non-idempotent request that may
    have run must not be sent again; any request that was rejected unexecuted is. Whether a request is
    idempotent comes from the settings, not from the verb."""
    pieces, finish, outcome = SERVERS[reply_kind]
    is_sent_again = outcome is Outcome.REJECTED or (outcome is not Outcome.OK and IS_RETRIED[name])

    async def scenario() -> None:
        attempt_count = 0

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            nonlocal attempt_count
            attempt_count += 1
            if attempt_count > 1:
                return SERVED
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.005)
            await finish(writer)
            return None

        recorder = OutcomeRecorder(Policy(policy_settings(SETTINGS), 1))
        async with site(reply, reply, decisions=recorder) as gateway_site:
            client = await gateway_site.client()
            verb = b"CALL.GET" if name == b"read" else b"CALL.POST"
            fields = {b"read": GET, b"order": ORDER, b"charge": CHARGE}[name]
            client.send(verb, CUSTOMER, b"1", fields)
            is_served = outcome is Outcome.OK or is_sent_again
            assert (await client.reply() == b"value") is is_served
            assert attempt_count == 1 + is_sent_again
            assert recorder.outcomes == [outcome, Outcome.OK][:attempt_count]
            # A connection in an unknown state is not reused, and no request gets the reply of another.
            assert await client.ask(*READ, b"2", GET) == b"value"

    run_scenario(scenario())


def test_a_server_that_returns_at_another_address_is_met_there_alone() -> None:
    """The server drains, is removed and returns at a new address while an attempt connects to the old one."""

    async def scenario() -> None:
        discovery, script = ManualDiscovery(), ScriptedEngine(send_to("s0"))
        asyncio.get_running_loop().create_task(discovery.answer(0, discovery_answer(2, [], full=False)))
        new_server = RespPeer(reply_with(SERVED))
        await new_server.start()
        async with (
            blocked_port() as port,
            site(reply_with(SERVED), decisions=script, discovery=discovery) as gateway_site,  # type: ignore[arg-type]
        ):
            await discovery.answer(1, discovery_answer(3, [server_row("s0", port)], full=False))
            await wait_until(lambda: gateway_site.program.servers.address("s0") == ("127.0.0.1", port))
            client = await gateway_site.client()
            client.send(*READ, b"1", GET)
            await wait_until(lambda: len(gateway_site.program.servers.connecting) == 1)
            await discovery.answer(
                2, discovery_answer(4, [server_row("s0", port, "Terminating")], full=False)
            )
            await discovery.answer(3, discovery_answer(5, [server_row("s0", port, "Gone")], full=False))
            await discovery.answer(
                4, discovery_answer(6, [server_row("s0", new_server.port, started_ms=5.0)], full=False)
            )
            await wait_until(
                lambda: gateway_site.program.servers.address("s0") == ("127.0.0.1", new_server.port)
            )
            assert await client.ask(*READ, b"2", GET) is not None
            # The reply above was to the first request, which reached no server; this one is to the second.
            assert await client.reply() == b"value"
            assert len(new_server.calls()) == 1 and not gateway_site.servers[0].calls()
        await new_server.stop()

    run_scenario(scenario())
