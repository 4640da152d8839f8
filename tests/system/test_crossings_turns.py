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


async def half_closed_idle(one: Site, script: ScriptedEngine, sock: socket.socket, held: Any) -> None:
    """The client shuts down its sending side with no request open."""
    sock.shutdown(socket.SHUT_WR)
    await wait_until(lambda: held.transport is None or held.transport.is_closing())


async def half_closed_with_a_request_open(
    one: Site, script: ScriptedEngine, sock: socket.socket, held: Any
) -> None:
    """The client shuts down its sending side with a request pending: the request ends at once, though the
    transport stays until its buffer is empty."""
    script.decide = lambda event: []
    sock.send(encode_command(*READ, b"open", GET))
    await wait_until(lambda: one.program.gateway.active_requests)
    sock.shutdown(socket.SHUT_WR)
    await wait_until(lambda: script.of(ClientDisconnected))
    assert held.transport is not None and held.transport.is_closing()
    assert not one.program.gateway.active_requests and not one.program.listener.open_ids


async def left_full_then_read_in_part(
    one: Site, script: ScriptedEngine, sock: socket.socket, held: Any
) -> None:
    """The gateway closes a connection with a full write buffer, of which the client then reads only a
    part."""
    for number in range(1000, 1100):
        if held.is_write_blocked:
            break
        taken = one.program.listener.request_count
        sock.send(encode_command(*READ, b"%d" % number, GET))
        await wait_until(lambda: one.program.listener.request_count == taken + 1 and not held.slots)  # noqa: B023
    assert held.is_write_blocked
    held.close_when_answered()
    assert held.is_write_shut and held.transport.is_closing()
    while held.is_write_blocked:
        try:
            sock.recv(2000)  # in small pieces, so that the rest stays in the gateway's buffer
        except BlockingIOError:
            await asyncio.sleep(0.001)


@pytest.mark.parametrize(
    "scene", [half_closed_idle, half_closed_with_a_request_open, left_full_then_read_in_part]
)
def test_a_connection_that_closes_behind_unread_replies_has_its_time(
    scene: Callable[[Site, ScriptedEngine, socket.socket, Any], Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The transport waits for its buffer to drain and the peer never reads: the connection slot and the file
    descriptor must be released all the same, at the time limit."""
    for name in ("MAX_IDLE_S", "WRITE_BLOCKED_TIMEOUT_S"):
        monkeypatch.setattr(f"glenchute.policy.connections.client_slots.{name}", 0.2)

    async def scenario() -> None:
        big = b"*3\r\n$60000\r\n" + b"v" * 60000 + b"\r\n*-1\r\n*-1\r\n"
        script = ScriptedEngine(send_to("s0"))
        async with site(reply_with(big), decisions=script) as one:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", one.port))
            sock.setblocking(False)
            await wait_until(lambda: one.program.listener.clients)
            held: Any = next(iter(one.program.listener.clients))
            held.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            number = 0
            while not held.transport.get_write_buffer_size():
                number += 1
                sock.send(encode_command(*READ, b"%d" % number, GET))
                await wait_until(lambda: one.program.listener.request_count == number and not held.slots)  # noqa: B023
                await asyncio.sleep(0)  # replies are written at the end of the iteration
            await scene(one, script, sock, held)
            async with asyncio.timeout(20.0):
                await wait_until(lambda: not one.program.listener.clients and held.transport is None)
            assert one.program.listener.connection_slots.closed_counts[CloseReason.WRITE_BLOCKED] == 1
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
        async with site(reply_with(SERVED)) as one:
            other, sock = await one.client(), socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", one.port))
            await wait_until(lambda: len(one.program.listener.clients) == 2)
            held: Any = list(one.program.listener.clients)[1]
            ours = held.transport.get_extra_info("socket")
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
            sock.setblocking(False)
            rest = memoryview(command * count)
            most = turns = 0
            while turns < 300 and not (held.is_write_blocked and turns > 20):
                with suppress(BlockingIOError):
                    while rest:
                        rest = rest[sock.send(rest) :]
                await asyncio.sleep(0)
                turns += 1
                left = len(held.parser._raw) - held.parser._at
                most = max(most, left + held.transport.get_write_buffer_size())
            assert 0 < most <= WRITE_BUFFER_BYTES + MAX_QUEUED_REPLY_BYTES + MAX_READ_BYTES, (
                f"{most} bytes held for one client"
            )
            assert held.is_reading_paused
            assert await other.ask(b"PING") == b"PONG"
            sock.close()

    run_scenario(scenario())


async def received(sock: socket.socket, wanted: int) -> bytes:
    """Reads `wanted` bytes from a non-blocking socket."""
    loop, found = asyncio.get_running_loop(), bytearray()
    while len(found) < wanted:
        data = await loop.sock_recv(sock, 1 << 20)
        assert data, "the gateway closed the connection"
        found += data
    return bytes(found)


def test_what_all_connections_are_answered_in_one_turn_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each connection keeps its own limit per iteration; forty of them must not use forty times that, as the
    requests of other clients need several iterations each. All get all of their replies, in order."""
    word, count, each = b"x" * 60_000, 40, 10
    made, most = 0, 0
    bulk = resp.encode_bulk

    def counted(value: bytes) -> bytes:
        nonlocal made
        made += len(value)
        return bulk(value)

    async def scenario() -> None:
        nonlocal made, most
        async with site(reply_with(SERVED)) as one:
            monkeypatch.setattr(resp, "encode_bulk", counted)
            other = await one.client()
            async with open_connections(one, count, encode_command(b"PING", word) * each) as socks:
                turns, total = 0, 0
                while turns < 500 and total < 4 * MAX_TURN_REPLY_BYTES:
                    made = 0
                    await asyncio.sleep(0)
                    most, total, turns = max(most, made), total + made, turns + 1
                assert total >= 4 * MAX_TURN_REPLY_BYTES  # the work spans several iterations
                assert await other.ask(b"PING") == b"PONG"
                expected = bulk(word) * each
                assert all([(await received(sock, len(expected))) == expected for sock in socks])
            # A connection finishes the part that it began, and a read after that may add another.
            assert most <= MAX_TURN_REPLY_BYTES + 2 * (MAX_QUEUED_REPLY_BYTES + len(word)), (
                f"{most} bytes of replies in one turn"
            )

    run_scenario(scenario())


def record_turns(monkeypatch: pytest.MonkeyPatch) -> list[Connection]:
    """Returns a list that grows by each connection whose `run_turn` is called for its remaining commands."""
    turn, continued = Connection.run_turn, list[Connection]()

    def counted(self: Connection) -> None:
        continued.append(self)
        turn(self)

    monkeypatch.setattr(Connection, "run_turn", counted)
    return continued


def test_what_is_left_of_all_connections_has_a_time_in_each_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a time limit of 0 one connection runs in each iteration of the loop, and all finish."""
    monkeypatch.setattr(listener_module, "MAX_TURN_S", 0.0)
    continued, most = record_turns(monkeypatch), 0

    async def scenario() -> None:
        nonlocal most
        async with (
            site(reply_with(SERVED)) as one,
            open_connections(one, 20, encode_command(b"PING") * 10 * MAX_COMMANDS_PER_TURN) as socks,
        ):
            for _ in range(400):
                continued.clear()
                await asyncio.sleep(0)
                most = max(most, len(continued))
            expected = b"+PONG\r\n" * 10 * MAX_COMMANDS_PER_TURN
            assert all([(await received(sock, len(expected))) == expected for sock in socks])
            assert most == 1

    run_scenario(scenario())


def test_a_fault_in_ones_turn_leaves_the_others_theirs(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    turn, at_fault = Connection.run_turn, list[Connection]()

    def faulty(self: Connection) -> None:
        if not at_fault:
            at_fault.append(self)
        if self is at_fault[0]:
            raise RuntimeError("injected fault")
        turn(self)

    monkeypatch.setattr(Connection, "run_turn", faulty)

    async def scenario() -> None:
        async with (
            site(reply_with(SERVED)) as one,
            open_connections(one, 20, encode_command(b"PING") * 10 * MAX_COMMANDS_PER_TURN) as socks,
        ):
            await wait_until(lambda: bool(at_fault))
            expected = b"+PONG\r\n" * 10 * MAX_COMMANDS_PER_TURN
            assert at_fault[0].transport is not None
            theirs = at_fault[0].transport.get_extra_info("peername")
            for sock in socks:
                if sock.getsockname() != theirs:
                    assert await received(sock, len(expected)) == expected

    run_scenario(scenario())


def test_turns_are_short_while_connections_wait_to_be_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    """The loop accepts one connection per iteration: with long iterations for many busy connections a new
    client would wait for all of them."""
    monkeypatch.setattr(listener_module, "MAX_TURN_S", 60.0)
    continued = record_turns(monkeypatch)

    async def scenario() -> None:
        async with (
            site(reply_with(SERVED)) as one,
            open_connections(one, 20, encode_command(b"PING") * 40 * MAX_COMMANDS_PER_TURN),
        ):
            listener = one.program.listener
            await wait_until(lambda: len(listener.scheduled_clients) == 20)
            newcomers = [socket.create_connection(("127.0.0.1", one.port)) for _ in range(10)]
            waited = 0
            while listener.has_pending_accept():
                continued.clear()
                await asyncio.sleep(0)
                if listener.has_pending_accept():  # also after the iteration: connections waited throughout
                    assert len(continued) <= 1
                    waited += 1
            assert waited and listener.scheduled_clients  # there was more work than the short iterations did
            for sock in newcomers:
                sock.close()

    run_scenario(scenario())


def test_a_command_that_waits_for_its_turn_keeps_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """A complete command waits for the turns of other connections: its client is not late, so no time limit
    may close the connection."""
    for name in ("MIN_FIRST_COMMAND_S", "MAX_FIRST_COMMAND_S", "PARTIAL_COMMAND_TIMEOUT_S", "MAX_IDLE_S"):
        monkeypatch.setattr(client_slots, name, 0.01)
    turn, end, held, reasons = Listener.run_turns, Connection.close_for, True, list[CloseReason]()

    def run_or_postpone(self: Listener) -> None:
        if held:
            self.loop.call_later(0.005, self.run_turns)
        else:
            turn(self)

    def record_reason(self: Connection, reason: CloseReason) -> bool:
        reasons.append(reason)
        return end(self, reason)

    monkeypatch.setattr(Listener, "run_turns", run_or_postpone)
    monkeypatch.setattr(Connection, "close_for", record_reason)
    word = b"x" * 60_000

    async def scenario() -> None:
        nonlocal held
        async with site(reply_with(SERVED)) as one:
            listener = one.program.listener
            listener.queued_reply_bytes = 2 * MAX_TURN_REPLY_BYTES
            sock = socket.create_connection(("127.0.0.1", one.port))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            sock.setblocking(False)
            sock.sendall(encode_command(b"PING", word) * 2)
            await wait_until(
                lambda: listener.scheduled_clients and not listener.scheduled_clients[0].has_unread_input()
            )
            await wait_until(lambda: reasons)
            held = False
            assert await received(sock, 2 * len(resp.encode_bulk(word))) == resp.encode_bulk(word) * 2
            sock.close()

    run_scenario(scenario())
