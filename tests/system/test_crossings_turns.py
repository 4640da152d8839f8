"""Crossing events, each order forced on real sockets: limits on what one iteration of the event loop handles.

docs/design/crossings.md lists the cases. A peer delays one event until the other has happened; the tests wait
for conditions, not for fixed times.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import pytest

from glenchute.listeners.resp2 import listener as listener_module
from glenchute.listeners.resp2.connection import (
    MAX_COMMANDS_PER_TURN,
    MAX_QUEUED_REPLY_BYTES,
    MAX_TURN_REPLY_BYTES,
    WRITE_BUFFER_BYTES,
)
from glenchute.listeners.resp2.connection import ClientConnection as Connection
from glenchute.listeners.resp2.listener import Listener
from glenchute.policy.connections import client_slots
from glenchute.policy.connections.client_slots import CloseReason
from glenchute.policy.events import ClientDisconnected
from glenchute.protocol import resp2 as resp
from lab.peers import reply_with, run_scenario, wait_until
from tests.crossings import READ, encode_command, open_connections
from tests.loopback import (
    GET,
    SERVED,
    ScriptedEngine,
    Site,
    send_to,
    site,
)


async def half_closed_idle(
    gateway_site: Site, script: ScriptedEngine, sock: socket.socket, connection: Any
) -> None:
    """The client shuts down its sending side with no request open."""
    sock.shutdown(socket.SHUT_WR)
    await wait_until(lambda: connection.transport is None or connection.transport.is_closing())


async def half_closed_with_a_request_open(
    gateway_site: Site, script: ScriptedEngine, sock: socket.socket, connection: Any
) -> None:
    """The client shuts down its sending side with a request pending: the request ends at once, though the
    transport stays open until its write buffer is empty."""
    script.decide = lambda event: []
    sock.send(encode_command(*READ, b"open", GET))
    await wait_until(lambda: gateway_site.program.gateway.active_requests)
    sock.shutdown(socket.SHUT_WR)
    await wait_until(lambda: script.events_of(ClientDisconnected))
    assert connection.transport is not None and connection.transport.is_closing()
    assert not gateway_site.program.gateway.active_requests and not gateway_site.program.listener.open_ids


async def left_full_then_read_in_part(
    gateway_site: Site, script: ScriptedEngine, sock: socket.socket, connection: Any
) -> None:
    """The gateway closes a connection with a full write buffer, of which the client then reads only a
    part."""
    listener = gateway_site.program.listener
    for number in range(1000, 1100):
        if connection.is_write_blocked:
            break
        request_count = listener.request_count
        sock.send(encode_command(*READ, b"%d" % number, GET))
        await wait_until(lambda: listener.request_count == request_count + 1 and not connection.slots)  # noqa: B023
    assert connection.is_write_blocked
    connection.close_when_answered()
    assert connection.is_write_shut and connection.transport.is_closing()
    while connection.is_write_blocked:
        try:
            sock.recv(2000)  # in small pieces, so that the rest stays in the gateway's buffer
        except BlockingIOError:
            await asyncio.sleep(0.001)


@pytest.mark.parametrize(
    "close_scenario", [half_closed_idle, half_closed_with_a_request_open, left_full_then_read_in_part]
)
def test_a_connection_that_closes_behind_unread_replies_has_its_time(
    close_scenario: Callable[[Site, ScriptedEngine, socket.socket, Any], Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The transport waits for its buffer to drain and the peer never reads: the connection slot and the file
    descriptor must be released all the same, at the time limit."""
    for name in ("MAX_IDLE_S", "WRITE_BLOCKED_TIMEOUT_S"):
        monkeypatch.setattr(f"glenchute.policy.connections.client_slots.{name}", 0.2)

    async def scenario() -> None:
        large_reply = b"*3\r\n$60000\r\n" + b"v" * 60000 + b"\r\n*-1\r\n*-1\r\n"
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(large_reply), decisions=script) as gateway_site:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", gateway_site.port))
            sock.setblocking(False)
            listener = gateway_site.program.listener
            await wait_until(lambda: listener.clients)
            connection: Any = next(iter(listener.clients))
            connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 8192
            )
            number = 0
            while not connection.transport.get_write_buffer_size():
                number += 1
                sock.send(encode_command(*READ, b"%d" % number, GET))
                await wait_until(lambda: listener.request_count == number and not connection.slots)  # noqa: B023
                await asyncio.sleep(0)  # replies are written at the end of the iteration
            await close_scenario(gateway_site, script, sock, connection)
            async with asyncio.timeout(20.0):
                await wait_until(lambda: not listener.clients and connection.transport is None)
            assert listener.connection_slots.closed_counts[CloseReason.WRITE_BLOCKED] == 1
            sock.close()

    run_scenario(scenario())


MAX_READ_BYTES = 256 * 1024  # most that asyncio reads from a socket in one call


@pytest.mark.parametrize(
    ("command", "count"), [(encode_command(b"PING", b"x" * 60_000), 60), (encode_command(b"PING"), 200_000)],
    ids=["large", "small"],
)  # fmt: skip
def test_megabytes_that_wait_in_the_machine_are_not_all_taken_in(command: bytes, count: int) -> None:
    """One iteration of the loop may read received data in many calls, and the transport reports only at its
    end that the client reads no replies. The data is in the kernel before the next iteration; the gateway
    must buffer a bounded part of it and serve another client meanwhile."""

    async def scenario() -> None:
        async with site(reply_with(SERVED)) as gateway_site:
            other_client, sock = await gateway_site.client(), socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", gateway_site.port))
            await wait_until(lambda: len(gateway_site.program.listener.clients) == 2)
            connection: Any = list(gateway_site.program.listener.clients)[1]
            gateway_socket = connection.transport.get_extra_info("socket")
            gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
            sock.setblocking(False)
            unsent = memoryview(command * count)
            max_bytes = iterations = 0
            while iterations < 300 and not (connection.is_write_blocked and iterations > 20):
                with suppress(BlockingIOError):
                    while unsent:
                        unsent = unsent[sock.send(unsent) :]
                await asyncio.sleep(0)
                iterations += 1
                unparsed_bytes = len(connection.parser._raw) - connection.parser._at
                max_bytes = max(max_bytes, unparsed_bytes + connection.transport.get_write_buffer_size())
            assert 0 < max_bytes <= WRITE_BUFFER_BYTES + MAX_QUEUED_REPLY_BYTES + MAX_READ_BYTES, (
                f"{max_bytes} bytes buffered for one client"
            )
            assert connection.is_reading_paused
            assert await other_client.ask(b"PING") == b"PONG"
            sock.close()

    run_scenario(scenario())


async def receive(sock: socket.socket, count: int) -> bytes:
    """Reads `count` bytes from a non-blocking socket."""
    loop, buffer = asyncio.get_running_loop(), bytearray()
    while len(buffer) < count:
        data = await loop.sock_recv(sock, 1 << 20)
        assert data, "the gateway closed the connection"
        buffer += data
    return bytes(buffer)


def test_what_all_connections_are_answered_in_one_turn_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each connection has a limit per iteration; forty of them together must not use forty times that, as
    another client's request takes several iterations. All connections get all of their replies, in order."""
    payload, count, commands_per_connection = b"x" * 60_000, 40, 10
    encoded_bytes, max_bytes = 0, 0
    encode_bulk = resp.encode_bulk

    def counting_encode_bulk(value: bytes) -> bytes:
        nonlocal encoded_bytes
        encoded_bytes += len(value)
        return encode_bulk(value)

    async def scenario() -> None:
        nonlocal encoded_bytes, max_bytes
        async with site(reply_with(SERVED)) as gateway_site:
            monkeypatch.setattr(resp, "encode_bulk", counting_encode_bulk)
            other_client = await gateway_site.client()
            async with open_connections(
                gateway_site, count, encode_command(b"PING", payload) * commands_per_connection
            ) as socks:
                iterations, total_bytes = 0, 0
                while iterations < 500 and total_bytes < 4 * MAX_TURN_REPLY_BYTES:
                    encoded_bytes = 0
                    await asyncio.sleep(0)
                    max_bytes, total_bytes, iterations = (
                        max(max_bytes, encoded_bytes),
                        total_bytes + encoded_bytes,
                        iterations + 1,
                    )
                assert total_bytes >= 4 * MAX_TURN_REPLY_BYTES  # the work spans several iterations
                assert await other_client.ask(b"PING") == b"PONG"
                expected = encode_bulk(payload) * commands_per_connection
                assert all([(await receive(sock, len(expected))) == expected for sock in socks])
            # Above the limit: the rest of a connection's batch of replies, and one batch from a later read.
            assert max_bytes <= MAX_TURN_REPLY_BYTES + 2 * (MAX_QUEUED_REPLY_BYTES + len(payload)), (
                f"{max_bytes} bytes of replies in one turn"
            )

    run_scenario(scenario())


def record_turns(monkeypatch: pytest.MonkeyPatch) -> list[Connection]:
    """Returns a list to which each connection is added when its `run_turn` is called."""
    run_turn, connections = Connection.run_turn, list[Connection]()

    def recording_run_turn(self: Connection) -> None:
        connections.append(self)
        run_turn(self)

    monkeypatch.setattr(Connection, "run_turn", recording_run_turn)
    return connections


def test_what_is_left_of_all_connections_has_a_time_in_each_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a time limit of 0 one connection runs in each iteration of the loop, and all finish."""
    monkeypatch.setattr(listener_module, "MAX_TURN_S", 0.0)
    connections_run, max_connections = record_turns(monkeypatch), 0

    async def scenario() -> None:
        nonlocal max_connections
        async with (
            site(reply_with(SERVED)) as gateway_site,
            open_connections(gateway_site, 20, encode_command(b"PING") * 10 * MAX_COMMANDS_PER_TURN) as socks,
        ):
            for _ in range(400):
                connections_run.clear()
                await asyncio.sleep(0)
                max_connections = max(max_connections, len(connections_run))
            expected = b"+PONG\r\n" * 10 * MAX_COMMANDS_PER_TURN
            assert all([(await receive(sock, len(expected))) == expected for sock in socks])
            assert max_connections == 1

    run_scenario(scenario())


def test_a_fault_in_ones_turn_leaves_the_others_theirs(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    run_turn, faulty_connections = Connection.run_turn, list[Connection]()

    def faulty_run_turn(self: Connection) -> None:
        if not faulty_connections:
            faulty_connections.append(self)
        if self is faulty_connections[0]:
            raise RuntimeError("injected fault")
        run_turn(self)

    monkeypatch.setattr(Connection, "run_turn", faulty_run_turn)

    async def scenario() -> None:
        async with (
            site(reply_with(SERVED)) as gateway_site,
            open_connections(gateway_site, 20, encode_command(b"PING") * 10 * MAX_COMMANDS_PER_TURN) as socks,
        ):
            await wait_until(lambda: bool(faulty_connections))
            expected = b"+PONG\r\n" * 10 * MAX_COMMANDS_PER_TURN
            assert faulty_connections[0].transport is not None
            faulty_address = faulty_connections[0].transport.get_extra_info("peername")
            for sock in socks:
                if sock.getsockname() != faulty_address:
                    assert await receive(sock, len(expected)) == expected

    run_scenario(scenario())


def test_turns_are_short_while_connections_wait_to_be_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    """The loop accepts one connection per iteration: if an iteration ran all busy connections, a new client
    would wait for all of them."""
    monkeypatch.setattr(listener_module, "MAX_TURN_S", 60.0)
    connections_run = record_turns(monkeypatch)

    async def scenario() -> None:
        async with (
            site(reply_with(SERVED)) as gateway_site,
            open_connections(gateway_site, 20, encode_command(b"PING") * 40 * MAX_COMMANDS_PER_TURN),
        ):
            listener = gateway_site.program.listener
            await wait_until(lambda: len(listener.scheduled_clients) == 20)
            new_sockets = [socket.create_connection(("127.0.0.1", gateway_site.port)) for _ in range(10)]
            short_iterations = 0
            while listener.has_pending_accept():
                connections_run.clear()
                await asyncio.sleep(0)
                if listener.has_pending_accept():  # connections waited during the whole iteration
                    assert len(connections_run) <= 1
                    short_iterations += 1
            assert short_iterations and listener.scheduled_clients  # some commands have not run yet
            for sock in new_sockets:
                sock.close()

    run_scenario(scenario())


def test_a_command_that_waits_for_its_turn_keeps_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """A complete command waits for the turns of other connections: its client is not late, so no time limit
    may close the connection."""
    for name in ("MIN_FIRST_COMMAND_S", "MAX_FIRST_COMMAND_S", "PARTIAL_COMMAND_TIMEOUT_S", "MAX_IDLE_S"):
        monkeypatch.setattr(client_slots, name, 0.01)
    run_turns, close_for, is_postponed, reasons = (
        Listener.run_turns,
        Connection.close_for,
        True,
        list[CloseReason](),
    )

    def run_or_postpone(self: Listener) -> None:
        if is_postponed:
            self.loop.call_later(0.005, self.run_turns)
        else:
            run_turns(self)

    def record_reason(self: Connection, reason: CloseReason) -> bool:
        reasons.append(reason)
        return close_for(self, reason)

    monkeypatch.setattr(Listener, "run_turns", run_or_postpone)
    monkeypatch.setattr(Connection, "close_for", record_reason)
    payload = b"x" * 60_000

    async def scenario() -> None:
        nonlocal is_postponed
        async with site(reply_with(SERVED)) as gateway_site:
            listener = gateway_site.program.listener
            listener.queued_reply_bytes = 2 * MAX_TURN_REPLY_BYTES
            sock = socket.create_connection(("127.0.0.1", gateway_site.port))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            sock.setblocking(False)
            sock.sendall(encode_command(b"PING", payload) * 2)
            await wait_until(
                lambda: listener.scheduled_clients and not listener.scheduled_clients[0].has_unread_input()
            )
            await wait_until(lambda: reasons)
            is_postponed = False
            assert await receive(sock, 2 * len(resp.encode_bulk(payload))) == resp.encode_bulk(payload) * 2
            sock.close()

    run_scenario(scenario())
