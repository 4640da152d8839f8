"""Crossing events, each order forced on real sockets: clients that disconnect, and how connections are
closed.

docs/design/crossings.md lists the cases. A peer delays one event until the other has happened; the tests wait
for conditions, not for fixed times.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from glenchute.listeners.resp2.connection import (
    MAX_PENDING_COMMANDS,
    WRITE_BUFFER_BYTES,
)
from glenchute.policy.events import AttemptEnded, ClientDisconnected, Outcome, Request
from lab.peers import Client, reply_with, run_scenario, wait_until
from tests.crossings import DISCONNECT_KINDS, READ, blocked_port, disconnect
from tests.loopback import (
    CHARGE,
    CUSTOMER,
    GET,
    SERVED,
    ScriptedEngine,
    Site,
    send_to,
    site,
)


@pytest.mark.parametrize("how", DISCONNECT_KINDS)
@pytest.mark.parametrize("pending", [1, MAX_PENDING_COMMANDS, 3 * MAX_PENDING_COMMANDS])
def test_who_leaves_while_waiting_is_gone_also_where_nothing_is_read(how: str, pending: int) -> None:
    """Requests wait for a decision. With 64 pending commands the gateway has stopped reading from the
    connection, so reading can't show its close; commands that were not read must never be started."""

    async def scenario() -> None:
        script = ScriptedEngine(lambda event: [])
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            client = await gateway_site.client()
            for number in range(pending):
                client.send(*READ, b"%d" % number, GET)
            await wait_until(lambda: len(script.events_of(Request)) == min(pending, MAX_PENDING_COMMANDS))
            disconnect(client, how)
            await wait_until(
                lambda: len(script.events_of(ClientDisconnected)) == min(pending, MAX_PENDING_COMMANDS)
            )
            assert len(script.events_of(Request)) == min(pending, MAX_PENDING_COMMANDS)
            assert (
                not gateway_site.program.gateway.active_requests
                and not gateway_site.program.listener.open_ids
            )
            # Request ids of the closed connection may be reused at once.
            second_client = await gateway_site.client()
            second_client.send(*READ, b"0", GET)
            await wait_until(lambda: len(gateway_site.program.gateway.active_requests) == 1)

    run_scenario(scenario())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_who_leaves_without_reading_replies_is_gone(how: str) -> None:
    """The write buffer is full, so the gateway reads nothing more; a further request stays unread."""

    async def scenario() -> None:
        large_reply = b"*3\r\n$60000\r\n" + b"v" * 60000 + b"\r\n*-1\r\n*-1\r\n"
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(large_reply), decisions=script) as gateway_site:
            client, connection = await connect_slow_reader(gateway_site)
            for number in range(60):  # more than fit in the buffers
                client.send(*READ, b"%d" % number, GET)
            await wait_until(lambda: connection.is_write_blocked and not connection.slots)
            script.decide = lambda event: []
            client.send(*READ, b"more", GET)  # not read by the gateway
            request_count = len(script.events_of(Request))
            disconnect(client, how)
            await wait_until(lambda: not gateway_site.program.listener.clients)
            assert (
                len(script.events_of(Request)) == request_count
                and not gateway_site.program.gateway.active_requests
            )

    run_scenario(scenario())


@pytest.mark.parametrize("how", DISCONNECT_KINDS)
def test_who_leaves_while_a_connection_comes_up_is_not_sent_on(how: str) -> None:
    """The client disconnects while its attempt connects to the server: the attempt ends at once as not sent,
    which does not count against the server."""

    async def scenario() -> None:
        script = ScriptedEngine(send_to("s0"))
        async with blocked_port() as port, site(reply_with(SERVED), decisions=script) as gateway_site:
            gateway_site.program.servers.activate_server("s0", ("127.0.0.1", port), False)
            client = await gateway_site.client()
            client.send(*READ, b"1", GET)
            await wait_until(lambda: len(gateway_site.program.servers.connecting) == 1)
            disconnect(client, how)
            await wait_until(lambda: script.events_of(AttemptEnded))
            assert [(e.outcome, e.is_final) for e in script.events_of(AttemptEnded)] == [
                (Outcome.NOT_SENT, True)
            ]
            await wait_until(lambda: not gateway_site.program.servers.connecting)

    run_scenario(scenario())


@pytest.mark.parametrize("how", DISCONNECT_KINDS)
def test_who_leaves_during_an_attempt_changes_nothing_about_what_may_have_run(how: str) -> None:
    """The client disconnects after the server has received the request: no further attempt may start,
    whatever the server answers."""

    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return b"-BUSY\r\n"

        async with site(reply, reply_with(SERVED)) as gateway_site:
            client = await gateway_site.client()
            client.send(b"CALL.POST", CUSTOMER, b"1", CHARGE)
            calls = [server.calls for server in gateway_site.servers]
            await wait_until(lambda: sum(len(c()) for c in calls) == 1)
            disconnect(client, how)
            await wait_until(lambda: not gateway_site.program.gateway.active_requests)
            release.set()
            await wait_until(lambda: not gateway_site.program.gateway.attempts_in_flight)
            assert sum(len(c()) for c in calls) == 1

    run_scenario(scenario())


def test_a_burst_of_thousands_leaves_nothing_behind() -> None:
    """Thousands of clients disconnect, each with a pending request; another client is served meanwhile."""

    async def scenario() -> None:
        script = ScriptedEngine(lambda event: [])
        async with site(reply_with(SERVED), decisions=script) as gateway_site:
            listener, count = gateway_site.program.listener, 300
            for round_ in range(7):
                clients = [await gateway_site.client() for _ in range(count)]
                for number, client in enumerate(clients):
                    client.send(*READ, b"%d.%d" % (round_, number), GET)
                await wait_until(lambda: len(gateway_site.program.gateway.active_requests) == count)
                script.decide = send_to("s0")
                steady_client = await gateway_site.client()
                for client in clients:
                    disconnect(client, "reset")
                assert await steady_client.ask(*READ, b"steady", GET) == b"value"
                steady_client.writer.close()
                await wait_until(
                    lambda: not listener.clients and not gateway_site.program.gateway.active_requests
                )
                script.decide = lambda event: []
            assert (
                not listener.open_ids
                and not gateway_site.program.gateway.attempts_in_flight
                and not listener.paused_clients
            )

    run_scenario(scenario())


async def connect_slow_reader(gateway_site: Site) -> tuple[Client, Any]:
    """Returns a client that does not read, with small socket buffers, and the gateway's side of its
    connection."""
    client = await gateway_site.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    await wait_until(lambda: gateway_site.program.listener.clients)
    connection = next(iter(gateway_site.program.listener.clients))
    assert connection.transport is not None
    connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
    client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    return client, connection


def test_replies_in_our_buffer_are_not_cut_off_by_the_time_to_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """A slow reader sends QUIT while replies to it wait in the gateway's write buffer. The time limit for the
    client's close must start only when all replies have left the buffer; else it cuts them off."""
    monkeypatch.setattr("glenchute.policy.connections.client_slots.LINGER_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        value = b"v" * 60000
        large_reply = b"*3\r\n$60000\r\n" + value + b"\r\n*-1\r\n*-1\r\n"
        async with site(reply_with(large_reply), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            client, connection = await connect_slow_reader(gateway_site)
            listener = gateway_site.program.listener
            number = 0
            while not connection.transport.get_write_buffer_size():
                number += 1
                client.send(*READ, b"%d" % number, GET)
                await wait_until(lambda: listener.request_count == number and not connection.slots)  # noqa: B023
            assert 0 < connection.transport.get_write_buffer_size() < WRITE_BUFFER_BYTES
            client.send(b"QUIT")
            await wait_until(lambda: connection.is_write_shut)
            await asyncio.sleep(0.3)  # several times LINGER_TIMEOUT_S
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert [len(await client.reply()) for _ in range(number)] == [60000] * number
            assert await client.reply() == b"OK" and await client.ended()

    run_scenario(scenario())


def test_small_replies_are_not_held_back_by_the_machine() -> None:
    """Closing a socket with unread bytes resets the connection and drops what Nagle's algorithm has delayed,
    so TCP_NODELAY must be set on both sides."""

    async def scenario() -> None:
        async with site(reply_with(SERVED)) as gateway_site:
            client = await gateway_site.client()
            assert await client.ask(*READ, b"1", GET) == b"value"
            client_transports = [c.transport for c in gateway_site.program.listener.clients]
            server_transports = [
                connection.transport
                for pool in gateway_site.program.servers.pools.values()
                for connection in pool.open
            ]
            for transport in [*client_transports, *server_transports]:
                assert transport is not None
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario(scenario())
