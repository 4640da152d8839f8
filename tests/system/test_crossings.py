"""Two events that cross, each order forced on real sockets. docs/design/crossings.md has the table; each row
names its test. A peer holds one event until the other has happened; what is waited for are conditions."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import hiredis
import pytest

from glenchute.config.policy_settings import policy_settings
from glenchute.listeners.resp2 import listener as listener_module
from glenchute.listeners.resp2.closed_peers import MAX_CLOSES_PER_POLL, MAX_DETECTION_S
from glenchute.listeners.resp2.connection import (
    MAX_COMMANDS_PER_TURN,
    MAX_PENDING_COMMANDS,
    MAX_QUEUED_REPLY_BYTES,
    MAX_TURN_REPLY_BYTES,
    WRITE_BUFFER_BYTES,
)
from glenchute.listeners.resp2.connection import ClientConnection as Connection
from glenchute.listeners.resp2.listener import Listener
from glenchute.policy.actions import Action, StartAttempt
from glenchute.policy.connections import client_slots
from glenchute.policy.connections.client_slots import CloseReason
from glenchute.policy.engine import DecisionEngine as Policy
from glenchute.policy.events import AttemptEnded, ClientDisconnected, Event, Outcome, Request, TimerFired
from glenchute.policy.lifecycle import draining as lifecycle
from glenchute.policy.lifecycle.draining import (
    KILL_DELAY_S,
    MAX_COUNTED_DEADLINE_S,
    SHUTDOWN_ACCEPT_S,
    ProcessLifecycle,
)
from glenchute.protocol import resp2 as resp
from glenchute.upstreams.connection_pool import REUSE_DELAY_S
from lab.peers import Client, DiscoveryPeer, Peer, RespPeer, always, listing, play, row, until
from lab.site import free_port
from tests.cli.test_process import connect_when_ready, start
from tests.clients.manual_discovery import ManualDiscovery
from tests.loopback import (
    CHARGE,
    CUSTOMER,
    GET,
    ORDER,
    SERVED,
    SETTINGS,
    Script,
    Site,
    raw_config,
    send_to,
    site,
)

READ = (b"CALL.GET", CUSTOMER)


def packed(*words: bytes) -> bytes:
    return hiredis.pack_command(words)  # type: ignore[arg-type, no-any-return]


Scene = Callable[["Whole"], Awaitable[None]]


# --- SIGTERM ---------------------------------------------------------------------------------------------


class Whole:
    """A gateway as a process, with one server that answers when it is released."""

    def __init__(self, process: asyncio.subprocess.Process, listen: int, server: RespPeer) -> None:
        self.process, self.listen, self.server = process, listen, server
        self.release = asyncio.Event()

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def leaving(self, asker: Client) -> None:
        """The signal has been taken notice of."""
        while "leaving" not in str(await asker.ask(b"PING")):
            await asyncio.sleep(0.005)


@asynccontextmanager
async def whole(
    tmp_path: Path, agent: Peer | None = None, longest_ms: float = 2e4,
    counter: bytes | None = b"+PONG\r\n", saved: bool = True,
) -> AsyncIterator[Whole]:  # fmt: skip
    made: list[Whole] = []

    async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        await made[0].release.wait()
        return SERVED

    server, counts = RespPeer(reply), RespPeer(always(counter))
    discovery = agent or DiscoveryPeer()
    for peer in (server, counts, discovery):
        await peer.start()
    rows = [row("s0", server.port)]
    if isinstance(discovery, DiscoveryPeer):
        discovery.answers.append(listing(1, rows))
    listen = free_port()
    raw = raw_config(discovery.port, counts.port, rows, listen)
    raw["settings"] = SETTINGS | {
        "profiles": [one | {"hard_limit_ms": longest_ms} for one in SETTINGS["profiles"]]
    }
    if not saved:
        del raw["known"]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    process = await start(path)
    made.append(Whole(process, listen, server))
    try:
        yield made[0]
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for peer in (server, counts, discovery):
            await peer.stop()


async def queued_while_it_stood(one: Whole) -> None:
    """A connection and its request wait to be accepted while the process stands still past the accept time:
    the machine has taken them, and closing the listening socket would reset them."""
    asker = await connect_when_ready(one.listen)
    one.signal(signal.SIGTERM)
    await one.leaving(asker)
    one.signal(signal.SIGSTOP)
    late = await Client.connect(one.listen)  # by the machine: the process does not run
    late.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
    await asyncio.sleep(SHUTDOWN_ACCEPT_S + 0.2)  # its timer is due before its sockets are looked at
    one.release.set()
    one.signal(signal.SIGCONT)
    assert await late.reply() == b"value"


async def twice(one: Whole) -> None:
    """The second signal neither ends it sooner nor begins the end anew."""
    held = await connect_when_ready(one.listen)
    held.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
    await until(lambda: one.server.calls())
    one.signal(signal.SIGTERM)
    await one.leaving(await Client.connect(one.listen))
    one.signal(signal.SIGTERM)
    one.signal(signal.SIGHUP)  # nor does a reload in the middle
    one.release.set()
    assert await held.reply() == b"value" and await held.ended()


async def half_a_command(one: Whole) -> None:
    """Its end comes after the signal: it is taken and answered."""
    half = await connect_when_ready(one.listen)
    data = packed(b"CALL.POST", CUSTOMER, b"1", ORDER)
    half.writer.write(data[:-9])
    await asyncio.sleep(0.05)
    one.signal(signal.SIGTERM)
    await one.leaving(await Client.connect(one.listen))
    half.writer.write(data[-9:])
    await until(lambda: one.server.calls())
    one.release.set()
    assert await half.reply() == b"value" and await half.ended()


async def pipelined_behind_the_last(one: Whole) -> None:
    """A second command waits behind one that is open at the signal: both are answered before the end."""
    both = await connect_when_ready(one.listen)
    both.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
    await until(lambda: one.server.calls())
    one.signal(signal.SIGTERM)
    asker = await Client.connect(one.listen)
    await one.leaving(asker)
    both.send(b"CALL.POST", CUSTOMER, b"2", ORDER)
    await until(lambda: len(one.server.calls()) == 2)
    one.release.set()
    assert [await both.reply(), await both.reply()] == [b"value", b"value"] and await both.ended()


async def hanging_server(one: Whole) -> None:
    """Nothing answers: what is held gets its final answer before the kill."""
    held = await connect_when_ready(one.listen)
    held.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
    await until(lambda: one.server.calls())
    one.signal(signal.SIGTERM)
    assert str(await held.reply()) == "ERR failed" and await held.ended()


@pytest.mark.parametrize(
    "scene", [queued_while_it_stood, twice, half_a_command, pipelined_behind_the_last, hanging_server]
)
def test_what_was_taken_round_sigterm_is_answered(scene: Scene, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with whole(tmp_path) as one:
            await scene(one)
            assert await one.process.wait() == 0

    play(scenario())


def test_sigterm_before_it_serves_ends_it_with_nobody_taken(tmp_path: Path) -> None:
    """Discovery holds the start's call until the signal has been sent."""

    async def scenario() -> None:
        agent = ManualDiscovery()
        async with whole(tmp_path, agent) as one:
            await agent.poll(0)
            one.signal(signal.SIGTERM)
            assert await one.process.wait() == 0
            with pytest.raises(ConnectionRefusedError):
                await Client.connect(one.listen)

    play(scenario())


def test_a_restart_is_ready_at_a_fifth_of_a_core_with_nobody_to_ask(tmp_path: Path) -> None:
    """Discovery and counter say nothing, no list is saved; the process runs for 20 ms of each 100."""

    async def scenario() -> None:
        agent = ManualDiscovery()
        async with whole(tmp_path, agent, counter=None, saved=False) as one:

            async def fifth() -> None:
                while one.process.returncode is None:
                    one.signal(signal.SIGSTOP)
                    await asyncio.sleep(0.08)
                    one.signal(signal.SIGCONT)
                    await asyncio.sleep(0.02)

            task = asyncio.create_task(fifth())
            async with asyncio.timeout(10.0):
                asker = await connect_when_ready(one.listen)
                assert await asker.ask(b"PING") == b"PONG"
            task.cancel()
            one.signal(signal.SIGCONT)

    play(scenario())


@pytest.mark.parametrize("longest_s", [0.05, 0.15, 0.8, 1.5, 3.0, 6.0, 60.0])
def test_all_is_over_before_the_kill_however_short_deadlines_are(longest_s: float) -> None:
    """The kill comes no sooner than the longest deadline, three seconds at most, and 0.7 s more."""
    life = ProcessLifecycle(longest_s)
    kill = min(longest_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S
    assert SHUTDOWN_ACCEPT_S < life.shutdown_grace_s <= kill - 0.2
    life.begin_serving(0.0)
    life.begin_shutdown(1.0, False)
    assert life.idle_limit_s(1.0 + life.shutdown_grace_s) == 0.0, (
        "an idle connection would be open at the end"
    )
    assert life.idle_limit_s(1.0 + SHUTDOWN_ACCEPT_S - 0.01) == float("inf")


def test_with_short_deadlines_idle_connections_go_before_the_kill(tmp_path: Path) -> None:
    """What is asked on one that is open is answered or sent again, never killed: with deadlines of 0.2 s the
    process has ended in time, idle connections and a request that nobody answers included."""

    async def scenario() -> None:
        async with whole(tmp_path, longest_ms=200.0) as one:
            held, idle = await connect_when_ready(one.listen), await Client.connect(one.listen)
            assert await idle.ask(b"PING") == b"PONG"
            held.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
            await until(lambda: one.server.calls())
            loop = asyncio.get_running_loop()
            began = loop.time()
            one.signal(signal.SIGTERM)
            assert str(await held.reply()) == "ERR failed"
            assert await idle.ended() and await one.process.wait() == 0
            # The kill comes after 0.9 s; a process that took 1.5 s for its idle connections was ended by it.
            assert loop.time() - began < lifecycle.SHUTDOWN_ACCEPT_S + lifecycle.IDLE_CLOSE_PERIOD_S

    play(scenario())


# --- clients that leave ----------------------------------------------------------------------------------


def end(client: Client, how: str) -> None:
    """The ways in which a client can leave."""
    sock = client.writer.get_extra_info("socket")
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
    elif how == "half-close":
        client.writer.write_eof()
    else:
        client.writer.close()


ENDS = ["close", "reset", "half-close"]


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("pending", [1, MAX_PENDING_COMMANDS, 3 * MAX_PENDING_COMMANDS])
def test_who_leaves_while_waiting_is_gone_also_where_nothing_is_read(how: str, pending: int) -> None:
    """Requests wait for a decision. With 64 pending the connection is not read from, and its end is not seen
    by reading; commands that were not read are never begun."""

    async def scenario() -> None:
        script = Script(lambda event: [])
        async with site(always(SERVED), decisions=script) as one:
            client = await one.client()
            for number in range(pending):
                client.send(*READ, b"%d" % number, GET)
            await until(lambda: len(script.of(Request)) == min(pending, MAX_PENDING_COMMANDS))
            end(client, how)
            await until(lambda: len(script.of(ClientDisconnected)) == min(pending, MAX_PENDING_COMMANDS))
            assert len(script.of(Request)) == min(pending, MAX_PENDING_COMMANDS)
            assert not one.program.gateway.active_requests and not one.program.listener.open_ids
            again = await one.client()  # its ids may be used again at once
            again.send(*READ, b"0", GET)
            await until(lambda: len(one.program.gateway.active_requests) == 1)

    play(scenario())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_who_leaves_without_reading_replies_is_gone(how: str) -> None:
    """The write buffer is full, so that nothing is read; a request on it waits for its decision."""

    async def scenario() -> None:
        big = b"*3\r\n$60000\r\n" + b"v" * 60000 + b"\r\n*-1\r\n*-1\r\n"
        script = Script(send_to("s0"))
        async with site(always(big), decisions=script) as one:
            client, held = await slow_reader(one)
            for number in range(60):  # of which some go on, until the buffer is full
                client.send(*READ, b"%d" % number, GET)
            await until(lambda: held.is_write_blocked and not held.slots)
            script.decide = lambda event: []
            client.send(*READ, b"more", GET)  # stays unread
            taken = len(script.of(Request))
            end(client, how)
            await until(lambda: not one.program.listener.clients)
            assert len(script.of(Request)) == taken and not one.program.gateway.active_requests

    play(scenario())


@asynccontextmanager
async def deaf() -> AsyncIterator[int]:
    """A port whose connections never come up: the line of those that wait to be accepted is full."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        callers = []
        for _ in range(4):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(server.getsockname())
            callers.append(caller)
        try:
            yield server.getsockname()[1]
        finally:
            for caller in callers:
                caller.close()


@pytest.mark.parametrize("how", ENDS)
def test_who_leaves_while_a_connection_comes_up_is_not_sent_on(how: str) -> None:
    """The attempt is over at once, and has told nothing against the server."""

    async def scenario() -> None:
        script = Script(send_to("s0"))
        async with deaf() as port, site(always(SERVED), decisions=script) as one:
            one.program.servers.activate_server("s0", ("127.0.0.1", port), False)
            client = await one.client()
            client.send(*READ, b"1", GET)
            await until(lambda: len(one.program.servers.connecting) == 1)
            end(client, how)
            await until(lambda: script.of(AttemptEnded))
            assert [(e.outcome, e.is_final) for e in script.of(AttemptEnded)] == [(Outcome.NOT_SENT, True)]
            await until(lambda: not one.program.servers.connecting)

    play(scenario())


@pytest.mark.parametrize("how", ENDS)
def test_who_leaves_during_an_attempt_changes_nothing_about_what_may_have_run(how: str) -> None:
    """The server has the request: no other attempt goes, whatever it answers."""

    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return b"-BUSY\r\n"

        async with site(reply, always(SERVED)) as one:
            client = await one.client()
            client.send(b"CALL.POST", CUSTOMER, b"1", CHARGE)
            calls = [server.calls for server in one.servers]
            await until(lambda: sum(len(c()) for c in calls) == 1)
            end(client, how)
            await until(lambda: not one.program.gateway.active_requests)
            release.set()
            await until(lambda: not one.program.gateway.attempts_in_flight)
            assert sum(len(c()) for c in calls) == 1

    play(scenario())


def test_a_burst_of_thousands_leaves_nothing_behind() -> None:
    """Each with a request that waits; another client is served meanwhile."""

    async def scenario() -> None:
        script = Script(lambda event: [])
        async with site(always(SERVED), decisions=script) as one:
            listener, count = one.program.listener, 300
            for round_ in range(7):
                crowd = [await one.client() for _ in range(count)]
                for number, client in enumerate(crowd):
                    client.send(*READ, b"%d.%d" % (round_, number), GET)
                await until(lambda: len(one.program.gateway.active_requests) == count)
                script.decide = send_to("s0")
                steady = await one.client()
                for client in crowd:
                    end(client, "reset")
                assert await steady.ask(*READ, b"steady", GET) == b"value"
                steady.writer.close()
                await until(lambda: not listener.clients and not one.program.gateway.active_requests)
                script.decide = lambda event: []
            assert (
                not listener.open_ids
                and not one.program.gateway.attempts_in_flight
                and not listener.paused_clients
            )

    play(scenario())


async def slow_reader(one: Site) -> tuple[Client, Any]:
    """A client that does not read, with little room in the machine; and the gateway's end of it."""
    client = await one.client()
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    await until(lambda: one.program.listener.clients)
    held = next(iter(one.program.listener.clients))
    assert held.transport is not None
    held.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
    client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    return client, held


# --- replies and closes ----------------------------------------------------------------------------------


def test_replies_in_our_buffer_are_not_cut_off_by_the_time_to_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """A slow reader asks for its connection's end behind replies that wait in our buffer: the time in which a
    client has to close runs for those that have got all."""
    monkeypatch.setattr("glenchute.policy.connections.client_slots.LINGER_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        value = b"v" * 60000
        big = b"*3\r\n$60000\r\n" + value + b"\r\n*-1\r\n*-1\r\n"
        async with site(always(big), decisions=Script(send_to("s0"))) as one:
            client, held = await slow_reader(one)
            number = 0
            while not held.transport.get_write_buffer_size():
                number += 1
                client.send(*READ, b"%d" % number, GET)
                await until(lambda: one.program.listener.request_count == number and not held.slots)  # noqa: B023
            assert 0 < held.transport.get_write_buffer_size() < WRITE_BUFFER_BYTES
            client.send(b"QUIT")
            await until(lambda: held.is_write_shut)
            await asyncio.sleep(0.3)  # several times what others have
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert [len(await client.reply()) for _ in range(number)] == [60000] * number
            assert await client.reply() == b"OK" and await client.ended()

    play(scenario())


def test_small_replies_are_not_held_back_by_the_machine() -> None:
    """A close over unread bytes resets the connection, and takes what the machine held back with it."""

    async def scenario() -> None:
        async with site(always(SERVED)) as one:
            client = await one.client()
            assert await client.ask(*READ, b"1", GET) == b"value"
            ours = [c.transport for c in one.program.listener.clients]
            theirs = [conn.transport for pool in one.program.servers.pools.values() for conn in pool.open]
            for transport in [*ours, *theirs]:
                assert transport is not None
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play(scenario())


# --- servers: what comes back, and what may follow -------------------------------------------------------


async def held_open(writer: asyncio.StreamWriter) -> None:
    """The connection stays open, and nothing more comes."""


async def closed(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def reset(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.02)  # what was written has been read; a reset may overtake it else, to the same end
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


HALF, ENDLESS = SERVED[:9], SERVED.replace(b"$5", b"$9000", 1)
AGAIN = {b"read": True, b"order": True, b"charge": False}
SERVERS: dict[str, tuple[list[bytes], Callable[[asyncio.StreamWriter], Awaitable[None]], Outcome]] = {
    "half a line, silence": ([HALF], held_open, Outcome.ERROR),
    "half a line, end": ([HALF], closed, Outcome.RESET),
    "half a line, reset": ([HALF], reset, Outcome.RESET),
    "an answer without an end": ([ENDLESS], held_open, Outcome.ERROR),
    "no answer, end": ([], closed, Outcome.RESET),
    "no answer, reset": ([], reset, Outcome.RESET),
    "an error": ([b"-ERR failed\r\n"], held_open, Outcome.ERROR),
    "a null": ([b"$-1\r\n"], held_open, Outcome.ERROR),
    "no RESP": ([b"HTTP/1.1 200\r\n\r\n"], held_open, Outcome.ERROR),
    "turned away": ([b"-BUSY\r\n"], held_open, Outcome.REJECTED),
    "turned away, in pieces": ([b"-BU", b"SY\r", b"\n"], held_open, Outcome.REJECTED),
    "turned away, with bytes behind it": ([b"-BUSY\r\nx"], held_open, Outcome.ERROR),
    "turned away in part, end": ([b"-BUSY\r"], closed, Outcome.RESET),
    "turned away in part, silence": ([b"-BUSY"], held_open, Outcome.ERROR),
    "an answer": ([SERVED], held_open, Outcome.OK),
    "an answer in pieces": ([SERVED[:4], SERVED[4:11], SERVED[11:]], held_open, Outcome.OK),
    "an answer, end": ([SERVED], closed, Outcome.OK),
    "an answer with bytes behind it": ([SERVED + b"+more\r\n"], held_open, Outcome.OK),
    "two answers": ([SERVED + SERVED], held_open, Outcome.OK),
    "an answer, a second later": ([SERVED, SERVED], held_open, Outcome.OK),
}


class Heard:
    """The real module, and what it was told."""

    def __init__(self, decisions: Policy) -> None:
        self.decisions = decisions
        self.endings: list[Outcome] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded):
            self.endings.append(event.outcome)
        return self.decisions.handle(now_ms, event)


@pytest.mark.parametrize("name", [b"read", b"order", b"charge"])
@pytest.mark.parametrize("what", SERVERS)
def test_what_comes_back_and_what_may_follow(what: str, name: bytes) -> None:
    """The first attempt meets this, a further one an answer. An unsafe request that may have run goes
    nowhere again; one that never ran does, as all do; effects come from the settings, not from names."""
    pieces, then, ending = SERVERS[what]
    follows = ending is Outcome.REJECTED or (ending is not Outcome.OK and AGAIN[name])

    async def scenario() -> None:
        came = 0

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            nonlocal came
            came += 1
            if came > 1:
                return SERVED
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.005)
            await then(writer)
            return None

        heard = Heard(Policy(policy_settings(SETTINGS), 1))
        async with site(reply, reply, decisions=heard) as one:
            client = await one.client()
            verb = b"CALL.GET" if name == b"read" else b"CALL.POST"
            fields = {b"read": GET, b"order": ORDER, b"charge": CHARGE}[name]
            client.send(verb, CUSTOMER, b"1", fields)
            served = ending is Outcome.OK or follows
            assert (await client.reply() == b"value") is served
            assert came == 1 + follows
            assert heard.endings == [ending, Outcome.OK][:came]
            # What was spoilt is not used again, and another request gets no other's answer.
            assert await client.ask(*READ, b"2", GET) == b"value"

    play(scenario())


def test_a_server_that_returns_at_another_address_is_met_there_alone() -> None:
    """It drains, is gone, and comes back elsewhere, while an attempt connects to the old place."""

    async def scenario() -> None:
        agent, script = ManualDiscovery(), Script(send_to("s0"))
        asyncio.get_running_loop().create_task(agent.answer(0, listing(2, [], full=False)))
        new = RespPeer(always(SERVED))
        await new.start()
        async with deaf() as port, site(always(SERVED), decisions=script, discovery=agent) as one:  # type: ignore[arg-type]
            await agent.answer(1, listing(3, [row("s0", port)], full=False))
            await until(lambda: one.program.servers.address("s0") == ("127.0.0.1", port))
            client = await one.client()
            client.send(*READ, b"1", GET)
            await until(lambda: len(one.program.servers.connecting) == 1)
            await agent.answer(2, listing(4, [row("s0", port, "Terminating")], full=False))
            await agent.answer(3, listing(5, [row("s0", port, "Gone")], full=False))
            await agent.answer(4, listing(6, [row("s0", new.port, started_ms=5.0)], full=False))
            await until(lambda: one.program.servers.address("s0") == ("127.0.0.1", new.port))
            assert await client.ask(*READ, b"2", GET) is not None
            assert await client.reply() == b"value"  # after the first, which found nobody
            assert len(new.calls()) == 1 and not one.servers[0].calls()
        await new.stop()

    play(scenario())


# --- clients that leave while the gateway is busy ---------------------------------------------------------

BUSY_S = 1.5 * MAX_DETECTION_S  # the loop stands still for longer than an attempt may follow its client's end


def raw_client(one: Site, *commands: bytes) -> socket.socket:
    """A connection whose bytes and end are in the machine before the loop's next turn."""
    sock = socket.create_connection(("127.0.0.1", one.port))
    sock.sendall(b"".join(commands))
    return sock


def end_raw(sock: socket.socket, how: str) -> None:
    """As `end`, at once."""
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def rested(one: Site, count: int = 4) -> Client:
    """Leaves so many connections to the servers open and unused, so that an attempt is written at once."""
    script = one.program.gateway.decisions
    steady = await one.client()
    if isinstance(script, Script):
        decide, script.decide = script.decide, send_to("s0")
    for number in range(count):
        steady.send(*READ, b"rested%d" % number, GET)
    assert [await steady.reply() for _ in range(count)] == [b"value"] * count
    if isinstance(script, Script):
        script.decide = decide
        script.events.clear()
    return steady


def reads(count: int) -> list[bytes]:
    return [packed(*READ, b"%d" % number, GET) for number in range(count)]


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("pending", [1, MAX_PENDING_COMMANDS, 3 * MAX_PENDING_COMMANDS])
def test_who_left_while_the_loop_was_busy_is_not_sent_on(how: str, pending: int) -> None:
    """Requests wait; the client goes while the loop stands still; then, before any socket is looked at, the
    module sends them. With 64 pending the connection is not even read from."""

    async def scenario() -> None:
        script = Script(lambda event: [])
        async with site(always(SERVED), decisions=script) as one:
            steady = await rested(one)
            sock = raw_client(one, *reads(pending))
            taken = min(pending, MAX_PENDING_COMMANDS)
            await until(lambda: len(script.of(Request)) == taken)
            _, held = one.program.listener.clients
            assert held.is_reading_paused is (pending >= MAX_PENDING_COMMANDS)
            refs = [event.request_id for event in script.of(Request)]
            script.decide = lambda event: (
                [StartAttempt(ref, "s0") for ref in refs] if isinstance(event, TimerFired) else []
            )
            end_raw(sock, how)
            time.sleep(BUSY_S)
            one.program.gateway.post(TimerFired(1))
            await until(lambda: len(script.of(ClientDisconnected)) == taken)
            assert {e.outcome for e in script.of(AttemptEnded)} == {Outcome.NOT_SENT}
            assert all(e.is_final for e in script.of(AttemptEnded))
            assert len(script.of(AttemptEnded)) == taken
            await until(lambda: held not in one.program.listener.clients)
            script.decide = send_to("s0")
            assert await steady.ask(*READ, b"0", GET) == b"value"
            assert len(one.servers[0].calls()) == 4 + 1, "what the gone client had asked was sent on"
            sock.close()

    play(scenario())


@pytest.mark.parametrize("how", ENDS)
def test_a_request_that_came_with_its_clients_end_is_not_begun(how: str) -> None:
    """Both are in the machine when the loop, busy till then, reads: the request comes first to it."""

    async def scenario() -> None:
        script = Script(send_to("s0"))
        async with site(always(SERVED), decisions=script) as one:
            steady = await rested(one)
            sock = raw_client(one)
            await until(lambda: len(one.program.listener.clients) == 2)
            for command in reads(3):
                sock.sendall(command)
            end_raw(sock, how)
            time.sleep(BUSY_S)
            await until(lambda: len(one.program.listener.clients) == 1)
            assert await steady.ask(*READ, b"0", GET) == b"value"
            assert len(one.servers[0].calls()) == 4 + 1
            sock.close()

    play(scenario())


@pytest.mark.parametrize("how", ENDS)
def test_a_connection_and_its_end_that_waited_to_be_accepted_begin_nothing(how: str) -> None:
    """The machine took it, its request and its end while the loop was busy; another's request, taken in the
    same turn, has just had the ends looked for."""

    async def scenario() -> None:
        script = Script(send_to("s0"))
        async with site(always(SERVED), decisions=script) as one:
            steady = await rested(one)
            accepted = one.program.listener.accepted_count
            steady.send(*READ, b"steady", GET)
            end_raw(sock := raw_client(one, *reads(1)), how)
            time.sleep(BUSY_S)
            assert await steady.reply() == b"value"
            await until(lambda: one.program.listener.accepted_count == accepted + 1)
            await until(lambda: len(one.program.listener.clients) == 1)
            assert await steady.ask(*READ, b"steady", GET) == b"value"
            assert len(one.servers[0].calls()) == 4 + 2
            sock.close()

    play(scenario())


@pytest.mark.parametrize("how", ENDS)
def test_no_further_attempt_where_the_answer_is_read_before_the_clients_end(how: str) -> None:
    """The server turns a request away in the moment in which its client goes; both wait for a busy loop."""

    async def scenario() -> None:
        socks: list[socket.socket] = []

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if len(socks) == 1:
                writer.write(b"-BUSY\r\n")
                end_raw(socks.pop(), how)
                time.sleep(BUSY_S)
                return b""
            return SERVED

        heard = Heard(Policy(policy_settings(SETTINGS), 1))
        async with site(reply, reply, decisions=heard) as one:
            steady = await rested(one, 12)
            await asyncio.sleep(2.0 * REUSE_DELAY_S)  # before that they are not used again
            heard.endings.clear()
            socks.append(raw_client(one, *reads(1)))
            await until(lambda: not socks)
            await until(
                lambda: len(one.program.listener.clients) == 1 and not one.program.gateway.attempts_in_flight
            )
            assert await steady.ask(*READ, b"0", GET) == b"value"
            assert sum(len(server.calls()) for server in one.servers) == 12 + 2
            assert heard.endings[0] is Outcome.REJECTED and heard.endings[-1] is Outcome.OK
            assert set(heard.endings[1:-1]) <= {Outcome.NOT_SENT}

    play(scenario())


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize(
    "operator", [None, '[pipeline]\nclasses = ["read"]\ndepth = 2\n'], ids=["alone", "shared"]
)
@pytest.mark.parametrize("turns", range(5))
def test_a_connection_that_came_up_while_the_loop_was_busy_writes_nothing_for_who_left(
    how: str, operator: str | None, turns: int
) -> None:
    """The attempt has begun to connect so many turns of the loop before its client goes, and the loop stands
    still: what was not written by then is not."""

    async def scenario() -> None:
        script = Script(send_to("s0"))
        async with site(always(SERVED), decisions=script, operator=operator) as one:
            sock = raw_client(one, *reads(MAX_PENDING_COMMANDS))
            while not one.program.servers.connecting:
                await asyncio.sleep(0)
            for _ in range(turns):
                await asyncio.sleep(0)
            out = one.program.gateway.attempts_in_flight.values()
            written = len(script.of(AttemptEnded)) + sum(attempt.is_written for attempt in out)
            end_raw(sock, how)
            time.sleep(BUSY_S)
            await until(
                lambda: not one.program.listener.clients and not one.program.gateway.attempts_in_flight
            )
            assert await (await one.client()).ask(*READ, b"again", GET) == b"value"
            assert len(one.servers[0].calls()) <= written + 1
            sock.close()

    play(scenario())


def told_ms(one: Site, server: int) -> int:
    """What time the last attempt at a server told to be left."""
    fields = one.servers[server].calls()[-1][3]
    return int(fields.partition(b"d=")[2].partition(b",")[0])


FIRST_S = 0.2  # until the first attempt is over, in what follows


async def silent(writer: asyncio.StreamWriter) -> None:
    """Nothing comes: the attempt's own time is up."""


async def failing(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(FIRST_S)
    writer.write(b"-ERR failed\r\n")


async def late_reset(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(FIRST_S)
    await reset(writer)


@pytest.mark.parametrize("first", [silent, failing, late_reset])
def test_a_further_attempt_tells_no_more_time_than_is_left(first: Callable[..., Awaitable[None]]) -> None:
    """By how long the first has taken at least, which its client has waited already."""

    async def scenario() -> None:
        def decide(event: Event) -> list[Action]:
            if isinstance(event, Request):
                return [StartAttempt(event.request_id, "s0", 1000.0 * FIRST_S if first is silent else 0.0)]
            if isinstance(event, AttemptEnded) and not event.is_final:
                return [StartAttempt(event.request_id, "s1", 0.0)]
            return []

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            await first(writer)

        async with site(reply, always(SERVED), decisions=Script(decide)) as one:
            assert await (await one.client()).ask(*READ, b"1", GET) == b"value"
            assert told_ms(one, 1) <= 20_000 - 1000.0 * FIRST_S + 1.0

    play(scenario())


def test_an_attempt_on_a_connection_that_comes_up_late_tells_what_is_left_as_it_is_written() -> None:
    async def scenario() -> None:
        async with site(always(SERVED), decisions=Script(send_to("s0"))) as one:
            client = await one.client()
            client.send(*READ, b"1", GET)
            while not one.program.servers.connecting:
                await asyncio.sleep(0)
            time.sleep(BUSY_S)
            assert await client.reply() == b"value"
            assert told_ms(one, 0) <= 20_000 - 1000.0 * BUSY_S + 1.0

    play(scenario())


def test_ends_are_told_by_one_call_for_all_and_cost_none_within_its_time() -> None:
    """Also more at once than one call tells; who stays is not taken for gone."""

    async def scenario() -> None:
        script = Script(lambda event: [])
        async with site(always(SERVED), decisions=script) as one:
            ends, count = one.program.listener.closed_peers, MAX_CLOSES_PER_POLL + 10
            socks = [raw_client(one) for _ in range(count)]
            await until(lambda: len(one.program.listener.clients) == count)
            stays, *others = one.program.listener.clients
            assert not ends.has_closed(stays)
            for sock in socks[1:]:
                sock.close()
            ends.checked_at = time.monotonic() + 60.0
            assert not any(ends.has_closed(other) for other in others)
            ends.checked_at = -float("inf")
            assert not ends.has_closed(stays) and all(other.is_closed_by_peer for other in others)
            assert list(ends.clients.values()) == [stays]
            await until(lambda: len(one.program.listener.clients) == 1)
            socks[0].close()
            await until(lambda: not one.program.listener.clients)
            assert not ends.clients

    play(scenario())


# --- an end of a connection whose replies are not read ----------------------------------------------------


async def half_closed_idle(one: Site, script: Script, sock: socket.socket, held: Any) -> None:
    """The client shuts its side, with nothing open."""
    sock.shutdown(socket.SHUT_WR)
    await until(lambda: held.transport is None or held.transport.is_closing())


async def half_closed_with_a_request_open(one: Site, script: Script, sock: socket.socket, held: Any) -> None:
    """... and with a request that waits for its decision: over at once, though the transport is not."""
    script.decide = lambda event: []
    sock.send(packed(*READ, b"open", GET))
    await until(lambda: one.program.gateway.active_requests)
    sock.shutdown(socket.SHUT_WR)
    await until(lambda: script.of(ClientDisconnected))
    assert held.transport is not None and held.transport.is_closing()
    assert not one.program.gateway.active_requests and not one.program.listener.open_ids


async def left_full_then_read_in_part(one: Site, script: Script, sock: socket.socket, held: Any) -> None:
    """The gateway closes behind a full buffer, of which the client then reads some and no more."""
    for number in range(1000, 1100):
        if held.is_write_blocked:
            break
        taken = one.program.listener.request_count
        sock.send(packed(*READ, b"%d" % number, GET))
        await until(lambda: one.program.listener.request_count == taken + 1 and not held.slots)  # noqa: B023
    assert held.is_write_blocked
    held.close_when_answered()
    assert held.is_write_shut and held.transport.is_closing()
    while held.is_write_blocked:
        try:
            sock.recv(2000)  # in small pieces: the rest stays in our buffer
        except BlockingIOError:
            await asyncio.sleep(0.001)


@pytest.mark.parametrize(
    "scene", [half_closed_idle, half_closed_with_a_request_open, left_full_then_read_in_part]
)
def test_a_connection_that_closes_behind_unread_replies_has_its_time(
    scene: Callable[[Site, Script, socket.socket, Any], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The transport waits for its buffer to empty, and the peer never reads: the place is given up all the
    same, and the descriptor with it."""
    for name in ("MAX_IDLE_S", "WRITE_BLOCKED_TIMEOUT_S"):
        monkeypatch.setattr(f"glenchute.policy.connections.client_slots.{name}", 0.2)

    async def scenario() -> None:
        big = b"*3\r\n$60000\r\n" + b"v" * 60000 + b"\r\n*-1\r\n*-1\r\n"
        script = Script(send_to("s0"))
        async with site(always(big), decisions=script) as one:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", one.port))
            sock.setblocking(False)
            await until(lambda: one.program.listener.clients)
            held: Any = next(iter(one.program.listener.clients))
            held.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
            number = 0
            while not held.transport.get_write_buffer_size():
                number += 1
                sock.send(packed(*READ, b"%d" % number, GET))
                await until(lambda: one.program.listener.request_count == number and not held.slots)  # noqa: B023
                await asyncio.sleep(0)  # the write happens at the turn's end
            await scene(one, script, sock, held)
            async with asyncio.timeout(20.0):
                await until(lambda: not one.program.listener.clients and held.transport is None)
            assert one.program.listener.connection_slots.closed_counts[CloseReason.WRITE_BLOCKED] == 1
            sock.close()

    play(scenario())


# --- what one turn of the loop may bring -------------------------------------------------------------------


ONE_READ = 256 * 1024  # of one call for what has come, at most


@pytest.mark.parametrize(
    ("command", "count"), [(packed(b"PING", b"x" * 60_000), 60), (packed(b"PING"), 200_000)],
    ids=["large", "small"],
)  # fmt: skip
def test_megabytes_that_wait_in_the_machine_are_not_all_taken_in(command: bytes, count: int) -> None:
    """A turn of the loop may read them in many calls, and the transport tells only at its end that the client
    reads nothing. They are there before the loop's next turn; another client is served meanwhile."""

    async def scenario() -> None:
        async with site(always(SERVED)) as one:
            other, sock = await one.client(), socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", one.port))
            await until(lambda: len(one.program.listener.clients) == 2)
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
            assert 0 < most <= WRITE_BUFFER_BYTES + MAX_QUEUED_REPLY_BYTES + ONE_READ, (
                f"{most} bytes held for one client"
            )
            assert held.is_reading_paused
            assert await other.ask(b"PING") == b"PONG"
            sock.close()

    play(scenario())


@asynccontextmanager
async def crowd(one: Site, count: int, commands: bytes) -> AsyncIterator[list[socket.socket]]:
    """So many connections. As much of their commands as fits is in the machine before the loop's next turn;
    what is left of each follows as there is room."""
    before = len(one.program.listener.clients)
    socks = [socket.create_connection(("127.0.0.1", one.port)) for _ in range(count)]
    await until(lambda: len(one.program.listener.clients) == before + count)
    rests = {sock: memoryview(commands) for sock in socks}
    for sock in socks:
        sock.setblocking(False)

    def more() -> None:
        for sock in list(rests):
            with suppress(BlockingIOError):
                while rests[sock]:
                    rests[sock] = rests[sock][sock.send(rests[sock]) :]
                del rests[sock]

    async def follow() -> None:
        while rests:
            await asyncio.sleep(0.01)
            more()

    more()
    following = asyncio.create_task(follow())
    try:
        yield socks
    finally:
        following.cancel()
        for sock in socks:
            sock.close()


async def received(sock: socket.socket, wanted: int) -> bytes:
    """So many bytes, read as they come."""
    loop, found = asyncio.get_running_loop(), bytearray()
    while len(found) < wanted:
        data = await loop.sock_recv(sock, 1 << 20)
        assert data, "ended"
        found += data
    return bytes(found)


def test_what_all_connections_are_answered_in_one_turn_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each alone takes no more than its part of a turn; forty of them must not take forty parts, as every
    request of others takes some turns. All get all of their replies, in order."""
    word, count, each = b"x" * 60_000, 40, 10
    made, most = 0, 0
    bulk = resp.encode_bulk

    def counted(value: bytes) -> bytes:
        nonlocal made
        made += len(value)
        return bulk(value)

    async def scenario() -> None:
        nonlocal made, most
        async with site(always(SERVED)) as one:
            monkeypatch.setattr(resp, "encode_bulk", counted)
            other = await one.client()
            async with crowd(one, count, packed(b"PING", word) * each) as socks:
                turns, total = 0, 0
                while turns < 500 and total < 4 * MAX_TURN_REPLY_BYTES:
                    made = 0
                    await asyncio.sleep(0)
                    most, total, turns = max(most, made), total + made, turns + 1
                assert total >= 4 * MAX_TURN_REPLY_BYTES  # they are many, and go on
                assert await other.ask(b"PING") == b"PONG"
                expected = bulk(word) * each
                assert all([(await received(sock, len(expected))) == expected for sock in socks])
            # A part that has begun is ended; a read after it may bring another.
            assert most <= MAX_TURN_REPLY_BYTES + 2 * (MAX_QUEUED_REPLY_BYTES + len(word)), (
                f"{most} bytes of replies in one turn"
            )

    play(scenario())


def turns_of(monkeypatch: pytest.MonkeyPatch) -> list[Connection]:
    """The connections that go on with what is left of their commands, as they do."""
    turn, gone_on = Connection.run_turn, list[Connection]()

    def counted(self: Connection) -> None:
        gone_on.append(self)
        turn(self)

    monkeypatch.setattr(Connection, "run_turn", counted)
    return gone_on


def test_what_is_left_of_all_connections_has_a_time_in_each_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """With no time at all one connection goes on in each turn of the loop, and all come to their end."""
    monkeypatch.setattr(listener_module, "MAX_TURN_S", 0.0)
    gone_on, most = turns_of(monkeypatch), 0

    async def scenario() -> None:
        nonlocal most
        async with (
            site(always(SERVED)) as one,
            crowd(one, 20, packed(b"PING") * 10 * MAX_COMMANDS_PER_TURN) as socks,
        ):
            for _ in range(400):
                gone_on.clear()
                await asyncio.sleep(0)
                most = max(most, len(gone_on))
            expected = b"+PONG\r\n" * 10 * MAX_COMMANDS_PER_TURN
            assert all([(await received(sock, len(expected))) == expected for sock in socks])
            assert most == 1

    play(scenario())


def test_a_fault_in_ones_turn_leaves_the_others_theirs(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    turn, at_fault = Connection.run_turn, list[Connection]()

    def faulty(self: Connection) -> None:
        if not at_fault:
            at_fault.append(self)
        if self is at_fault[0]:
            raise RuntimeError("a fault of ours")
        turn(self)

    monkeypatch.setattr(Connection, "run_turn", faulty)

    async def scenario() -> None:
        async with (
            site(always(SERVED)) as one,
            crowd(one, 20, packed(b"PING") * 10 * MAX_COMMANDS_PER_TURN) as socks,
        ):
            await until(lambda: bool(at_fault))
            expected = b"+PONG\r\n" * 10 * MAX_COMMANDS_PER_TURN
            assert at_fault[0].transport is not None
            theirs = at_fault[0].transport.get_extra_info("peername")
            for sock in socks:
                if sock.getsockname() != theirs:
                    assert await received(sock, len(expected)) == expected

    play(scenario())


def test_turns_are_short_while_connections_wait_to_be_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    """The loop accepts one in a turn: behind a crowd's large turns a newcomer would wait for all of them."""
    monkeypatch.setattr(listener_module, "MAX_TURN_S", 60.0)
    gone_on = turns_of(monkeypatch)

    async def scenario() -> None:
        async with site(always(SERVED)) as one, crowd(one, 20, packed(b"PING") * 40 * MAX_COMMANDS_PER_TURN):
            listener = one.program.listener
            await until(lambda: len(listener.scheduled_clients) == 20)
            newcomers = [socket.create_connection(("127.0.0.1", one.port)) for _ in range(10)]
            waited = 0
            while listener.has_pending_accept():
                gone_on.clear()
                await asyncio.sleep(0)
                if listener.has_pending_accept():  # as before: they waited all the time
                    assert len(gone_on) <= 1
                    waited += 1
            assert waited and listener.scheduled_clients  # there was more to do than that
            for sock in newcomers:
                sock.close()

    play(scenario())


def test_a_command_that_waits_for_its_turn_keeps_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """However long the others' turns take: it has come whole, and its client is not late."""
    for name in ("MIN_FIRST_COMMAND_S", "MAX_FIRST_COMMAND_S", "PARTIAL_COMMAND_TIMEOUT_S", "MAX_IDLE_S"):
        monkeypatch.setattr(client_slots, name, 0.01)
    turn, end, held, reasons = Listener.run_turns, Connection.close_for, True, list[CloseReason]()

    def later(self: Listener) -> None:
        if held:
            self.loop.call_later(0.005, self.run_turns)
        else:
            turn(self)

    def told(self: Connection, reason: CloseReason) -> bool:
        reasons.append(reason)
        return end(self, reason)

    monkeypatch.setattr(Listener, "run_turns", later)
    monkeypatch.setattr(Connection, "close_for", told)
    word = b"x" * 60_000

    async def scenario() -> None:
        nonlocal held
        async with site(always(SERVED)) as one:
            listener = one.program.listener
            listener.queued_reply_bytes = 2 * MAX_TURN_REPLY_BYTES
            sock = socket.create_connection(("127.0.0.1", one.port))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            sock.setblocking(False)
            sock.sendall(packed(b"PING", word) * 2)
            await until(
                lambda: listener.scheduled_clients and not listener.scheduled_clients[0].has_unread_input()
            )
            await until(lambda: reasons)
            held = False
            assert await received(sock, 2 * len(resp.encode_bulk(word))) == resp.encode_bulk(word) * 2
            sock.close()

    play(scenario())
