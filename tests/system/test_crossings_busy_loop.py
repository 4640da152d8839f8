"""Crossing events, each order forced on real sockets: clients that disconnect while the event loop is
blocked.

docs/design/crossings.md lists the cases. A peer delays one event until the other has happened; the tests wait
for conditions, not for fixed times.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable

import pytest

from glenchute.config.policy_settings import policy_settings
from glenchute.listeners.resp2.closed_peers import MAX_CLOSES_PER_POLL, MAX_DETECTION_S
from glenchute.listeners.resp2.connection import (
    MAX_PENDING_COMMANDS,
)
from glenchute.policy.actions import Action, StartAttempt
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import AttemptEnded, ClientDisconnected, Event, Outcome, Request, TimerFired
from glenchute.upstreams.connection_pool import REUSE_DELAY_S
from lab.peers import Client, reply_with, run_scenario, wait_until
from tests.crossings import DISCONNECT_KINDS, READ, OutcomeRecorder, encode_command, reset_connection
from tests.loopback import (
    GET,
    SERVED,
    SETTINGS,
    ScriptedEngine,
    Site,
    send_to,
    site,
)

# How long the tests block the event loop: longer than a client's close may stay undetected.
BUSY_S = 1.5 * MAX_DETECTION_S


def connect_raw(gateway_site: Site, *commands: bytes) -> socket.socket:
    """Opens a connection whose bytes and close are in the kernel before the next iteration of the event
    loop."""
    sock = socket.create_connection(("127.0.0.1", gateway_site.port))
    sock.sendall(b"".join(commands))
    return sock


def close_raw(sock: socket.socket, how: str) -> None:
    """Closes a raw socket by one of `DISCONNECT_KINDS`, without the event loop."""
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def open_idle_connections(gateway_site: Site, count: int = 4) -> Client:
    """Leaves `count` connections to the servers open and idle, so that an attempt is written at once."""
    script = gateway_site.program.gateway.decisions
    steady_client = await gateway_site.client()
    if isinstance(script, ScriptedEngine):
        decide, script.decide = script.decide, send_to("s0")
    for number in range(count):
        steady_client.send(*READ, b"rested%d" % number, GET)
    assert [await steady_client.reply() for _ in range(count)] == [b"value"] * count
    if isinstance(script, ScriptedEngine):
        script.decide = decide
        script.events.clear()
    return steady_client


def reads(count: int) -> list[bytes]:
    return [encode_command(*READ, b"%d" % number, GET) for number in range(count)]


@pytest.mark.parametrize("how", DISCONNECT_KINDS)
@pytest.mark.parametrize("pending", [1, MAX_PENDING_COMMANDS, 3 * MAX_PENDING_COMMANDS])
def test_who_left_while_the_loop_was_busy_is_not_sent_on(how: str, pending: int) -> None:
    """The client disconnects while the loop is blocked and its requests wait for a decision; the decision
    code then starts their attempts before the loop polls any socket. With `MAX_PENDING_COMMANDS` the
    gateway has stopped reading from the connection, so reading can't show the close."""

    async def scenario() -> None:
        script = ScriptedEngine(lambda event: [])
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            steady_client = await open_idle_connections(gateway_site)
            sock = connect_raw(gateway_site, *reads(pending))
            accepted_count = min(pending, MAX_PENDING_COMMANDS)
            await wait_until(lambda: len(script.events_of(Request)) == accepted_count)
            _, connection = gateway_site.program.listener.clients
            assert connection.is_reading_paused is (pending >= MAX_PENDING_COMMANDS)
            request_ids = [event.request_id for event in script.events_of(Request)]
            script.decide = lambda event: (
                [StartAttempt(request_id, "s0") for request_id in request_ids]
                if isinstance(event, TimerFired)
                else []
            )
            close_raw(sock, how)
            time.sleep(BUSY_S)
            gateway_site.program.gateway.post(TimerFired(1))
            await wait_until(lambda: len(script.events_of(ClientDisconnected)) == accepted_count)
            assert {event.outcome for event in script.events_of(AttemptEnded)} == {Outcome.NOT_SENT}
            assert all(event.is_final for event in script.events_of(AttemptEnded))
            assert len(script.events_of(AttemptEnded)) == accepted_count
            await wait_until(lambda: connection not in gateway_site.program.listener.clients)
            script.decide = send_to("s0")
            assert await steady_client.ask(*READ, b"0", GET) == b"value"
            assert len(gateway_site.servers[0].calls()) == 4 + 1, (
                "requests of the disconnected client were sent to a server"
            )
            sock.close()

    run_scenario(scenario())


@pytest.mark.parametrize("how", DISCONNECT_KINDS)
def test_a_request_that_came_with_its_clients_end_is_not_begun(how: str) -> None:
    """The request and its client's close are both in the kernel when the blocked loop reads again; it reads
    the request first."""

    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            steady_client = await open_idle_connections(gateway_site)
            sock = connect_raw(gateway_site)
            await wait_until(lambda: len(gateway_site.program.listener.clients) == 2)
            for command in reads(3):
                sock.sendall(command)
            close_raw(sock, how)
            time.sleep(BUSY_S)
            await wait_until(lambda: len(gateway_site.program.listener.clients) == 1)
            assert await steady_client.ask(*READ, b"0", GET) == b"value"
            assert len(gateway_site.servers[0].calls()) == 4 + 1
            sock.close()

    run_scenario(scenario())


@pytest.mark.parametrize("how", DISCONNECT_KINDS)
def test_a_connection_and_its_end_that_waited_to_be_accepted_begin_nothing(how: str) -> None:
    """The kernel took the connection, its request and its close while the loop was blocked. Another client's
    request, handled in the same iteration, has just made the gateway poll for closed connections, so the new
    one must be checked again."""

    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            steady_client = await open_idle_connections(gateway_site)
            accepted = gateway_site.program.listener.accepted_count
            steady_client.send(*READ, b"steady", GET)
            close_raw(sock := connect_raw(gateway_site, *reads(1)), how)
            time.sleep(BUSY_S)
            assert await steady_client.reply() == b"value"
            await wait_until(lambda: gateway_site.program.listener.accepted_count == accepted + 1)
            await wait_until(lambda: len(gateway_site.program.listener.clients) == 1)
            assert await steady_client.ask(*READ, b"steady", GET) == b"value"
            assert len(gateway_site.servers[0].calls()) == 4 + 2
            sock.close()

    run_scenario(scenario())


@pytest.mark.parametrize("how", DISCONNECT_KINDS)
def test_no_further_attempt_where_the_answer_is_read_before_the_clients_end(how: str) -> None:
    """The server rejects a request as its client disconnects; both events wait for the blocked loop."""

    async def scenario() -> None:
        socks: list[socket.socket] = []

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if len(socks) == 1:
                writer.write(b"-BUSY\r\n")
                close_raw(socks.pop(), how)
                time.sleep(BUSY_S)
                return b""
            return SERVED

        recorder = OutcomeRecorder(DecisionEngine(policy_settings(SETTINGS), 1))
        async with site(reply, reply, decisions=recorder) as gateway_site:
            steady_client = await open_idle_connections(gateway_site, 12)
            await asyncio.sleep(2.0 * REUSE_DELAY_S)  # idle connections are not reused before that
            recorder.outcomes.clear()
            socks.append(connect_raw(gateway_site, *reads(1)))
            await wait_until(lambda: not socks)
            await wait_until(
                lambda: (
                    len(gateway_site.program.listener.clients) == 1
                    and not gateway_site.program.gateway.attempts_in_flight
                )
            )
            assert await steady_client.ask(*READ, b"0", GET) == b"value"
            assert sum(len(server.calls()) for server in gateway_site.servers) == 12 + 2
            assert recorder.outcomes[0] is Outcome.REJECTED and recorder.outcomes[-1] is Outcome.OK
            assert set(recorder.outcomes[1:-1]) <= {Outcome.NOT_SENT}

    run_scenario(scenario())


@pytest.mark.parametrize("how", DISCONNECT_KINDS)
@pytest.mark.parametrize(
    "operator", [None, '[pipeline]\nclasses = ["read"]\ndepth = 2\n'], ids=["alone", "shared"]
)
@pytest.mark.parametrize("iterations", range(5))
def test_a_connection_that_came_up_while_the_loop_was_busy_writes_nothing_for_who_left(
    how: str, operator: str | None, iterations: int
) -> None:
    """The attempt began to connect `iterations` iterations of the loop before its client disconnects and the
    loop is blocked: what was not written by then must not be written afterwards."""

    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(SERVED), decisions=script, operator=operator) as gateway_site:
            sock = connect_raw(gateway_site, *reads(MAX_PENDING_COMMANDS))
            while not gateway_site.program.servers.connecting:
                await asyncio.sleep(0)
            for _ in range(iterations):
                await asyncio.sleep(0)
            attempts = gateway_site.program.gateway.attempts_in_flight.values()
            written_count = len(script.events_of(AttemptEnded)) + sum(
                attempt.is_written for attempt in attempts
            )
            close_raw(sock, how)
            time.sleep(BUSY_S)
            await wait_until(
                lambda: (
                    not gateway_site.program.listener.clients
                    and not gateway_site.program.gateway.attempts_in_flight
                )
            )
            assert await (await gateway_site.client()).ask(*READ, b"again", GET) == b"value"
            assert len(gateway_site.servers[0].calls()) <= written_count + 1
            sock.close()

    run_scenario(scenario())


def stated_remaining_ms(gateway_site: Site, server: int) -> int:
    """Returns the remaining time that the last attempt at a server stated, in ms."""
    fields = gateway_site.servers[server].calls()[-1][3]
    return int(fields.partition(b"d=")[2].partition(b",")[0])


FIRST_ATTEMPT_S = 0.2  # duration of the first attempt in the tests below


async def send_nothing(writer: asyncio.StreamWriter) -> None:
    """Sends nothing, so that the attempt runs into its own time limit."""


async def fail_late(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(FIRST_ATTEMPT_S)
    writer.write(b"-ERR failed\r\n")


async def reset_late(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(FIRST_ATTEMPT_S)
    await reset_connection(writer)


@pytest.mark.parametrize("first", [send_nothing, fail_late, reset_late])
def test_a_further_attempt_tells_no_more_time_than_is_left(first: Callable[..., Awaitable[None]]) -> None:
    """The remaining time that the second attempt states to its server must be shorter by at least the
    duration of the first attempt, which the client has waited."""

    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [
                    StartAttempt(
                        event.request_id, "s0", 1000.0 * FIRST_ATTEMPT_S if first is send_nothing else 0.0
                    )
                ]
            if isinstance(event, AttemptEnded) and not event.is_final:
                return [StartAttempt(event.request_id, "s1", 0.0)]
            return []

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await first(writer)

        async with site(reply, reply_with(SERVED), decisions=ScriptedEngine(decide)) as gateway_site:
            assert await (await gateway_site.client()).ask(*READ, b"1", GET) == b"value"
            assert stated_remaining_ms(gateway_site, 1) <= 20_000 - 1000.0 * FIRST_ATTEMPT_S + 1.0

    run_scenario(scenario())


def test_an_attempt_on_a_connection_that_comes_up_late_tells_what_is_left_as_it_is_written() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client = await gateway_site.client()
            client.send(*READ, b"1", GET)
            while not gateway_site.program.servers.connecting:
                await asyncio.sleep(0)
            time.sleep(BUSY_S)
            assert await client.reply() == b"value"
            assert stated_remaining_ms(gateway_site, 0) <= 20_000 - 1000.0 * BUSY_S + 1.0

    run_scenario(scenario())


def test_ends_are_told_by_one_call_for_all_and_cost_none_within_its_time() -> None:
    """One poll finds all closed connections, also more than one call returns, and no poll is made within the
    interval after it. A client that stays connected must not be reported as closed."""

    async def scenario() -> None:
        script = ScriptedEngine(lambda event: [])
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            closed_peers, count = gateway_site.program.listener.closed_peers, MAX_CLOSES_PER_POLL + 10
            socks = [connect_raw(gateway_site) for _ in range(count)]
            await wait_until(lambda: len(gateway_site.program.listener.clients) == count)
            open_connection, *closed_connections = gateway_site.program.listener.clients
            assert not closed_peers.has_closed(open_connection)
            for sock in socks[1:]:
                sock.close()
            closed_peers.checked_at = time.monotonic() + 60.0
            assert not any(closed_peers.has_closed(connection) for connection in closed_connections)
            closed_peers.checked_at = -float("inf")
            assert not closed_peers.has_closed(open_connection) and all(
                connection.is_closed_by_peer for connection in closed_connections
            )
            assert list(closed_peers.clients.values()) == [open_connection]
            await wait_until(lambda: len(gateway_site.program.listener.clients) == 1)
            socks[0].close()
            await wait_until(lambda: not gateway_site.program.listener.clients)
            assert not closed_peers.clients

    run_scenario(scenario())
