"""Crossing events, each order forced on real sockets: requests and connections that are open or arrive around
a SIGTERM.

docs/design/crossings.md lists the cases. A peer delays one event until the other has happened; the tests wait
for conditions, not for fixed times.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from glenchute.listeners.resp2.connection import MAX_PENDING_COMMANDS
from glenchute.policy.lifecycle import draining as lifecycle
from glenchute.policy.lifecycle.draining import (
    KILL_DELAY_S,
    MAX_COUNTED_DEADLINE_S,
    SHUTDOWN_ACCEPT_S,
    ProcessLifecycle,
)
from lab.peers import (
    Client,
    DiscoveryPeer,
    Peer,
    RespPeer,
    discovery_answer,
    reply_with,
    run_scenario,
    server_row,
    wait_until,
)
from lab.site import free_port
from tests.cli.test_process import connect_when_ready, start
from tests.clients.manual_discovery import ManualDiscovery
from tests.crossings import encode_command
from tests.loopback import (
    CHARGE,
    CUSTOMER,
    ORDER,
    SERVED,
    SETTINGS,
    ScriptedEngine,
    raw_config,
    send_to,
    site,
)

ShutdownScenario = Callable[["RunningGateway"], Awaitable[None]]


class RunningGateway:
    """A gateway process with one server, which replies once `release` is set."""

    def __init__(self, process: asyncio.subprocess.Process, listen: int, server: RespPeer) -> None:
        self.process, self.listen, self.server = process, listen, server
        self.release = asyncio.Event()

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def wait_until_shutting_down(self, pinging_client: Client) -> None:
        """Waits until PING reports that the process has handled the signal."""
        while "leaving" not in str(await pinging_client.ask(b"PING")):
            await asyncio.sleep(0.005)


@asynccontextmanager
async def running_gateway(
    tmp_path: Path, discovery_peer: Peer | None = None, max_deadline_ms: float = 2e4,
    counter: bytes | None = b"+PONG\r\n", has_saved_list: bool = True,
) -> AsyncIterator[RunningGateway]:  # fmt: skip
    gateways: list[RunningGateway] = []

    async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        await gateways[0].release.wait()
        return SERVED

    server, counter_peer = RespPeer(reply), RespPeer(reply_with(counter))
    discovery = discovery_peer or DiscoveryPeer()
    for peer in (server, counter_peer, discovery):
        await peer.start()
    rows = [server_row("s0", server.port)]
    if isinstance(discovery, DiscoveryPeer):
        discovery.answers.append(discovery_answer(1, rows))
    listen = free_port()
    platform_config = raw_config(discovery.port, counter_peer.port, rows, listen)
    platform_config["settings"] = SETTINGS | {
        "profiles": [profile | {"hard_limit_ms": max_deadline_ms} for profile in SETTINGS["profiles"]]
    }
    if not has_saved_list:
        del platform_config["known"]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config))
    process = await start(path)
    gateways.append(RunningGateway(process, listen, server))
    try:
        yield gateways[0]
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for peer in (server, counter_peer, discovery):
            await peer.stop()


async def queued_while_stopped(gateway: RunningGateway) -> None:
    """A connection and its request wait in the listen backlog while the process is stopped for longer than
    SHUTDOWN_ACCEPT_S. The kernel has acknowledged them, and closing the listening socket would reset them."""
    pinging_client = await connect_when_ready(gateway.listen)
    gateway.signal(signal.SIGTERM)
    await gateway.wait_until_shutting_down(pinging_client)
    gateway.signal(signal.SIGSTOP)
    late_client = await Client.connect(gateway.listen)  # completed by the kernel: the process is stopped
    late_client.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
    await asyncio.sleep(SHUTDOWN_ACCEPT_S + 0.2)  # the shutdown timer is due before sockets are polled
    gateway.release.set()
    gateway.signal(signal.SIGCONT)
    assert await late_client.reply() == b"value"


async def signalled_twice(gateway: RunningGateway) -> None:
    """A second SIGTERM neither ends the process sooner nor restarts its shutdown."""
    client = await connect_when_ready(gateway.listen)
    client.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
    await wait_until(lambda: gateway.server.calls())
    gateway.signal(signal.SIGTERM)
    await gateway.wait_until_shutting_down(await Client.connect(gateway.listen))
    gateway.signal(signal.SIGTERM)
    gateway.signal(signal.SIGHUP)  # a reload during the shutdown must not do so either
    gateway.release.set()
    assert await client.reply() == b"value" and await client.ended()


async def half_a_command(gateway: RunningGateway) -> None:
    """The rest of a command arrives after the signal: the request is accepted and answered."""
    client = await connect_when_ready(gateway.listen)
    data = encode_command(b"CALL.POST", CUSTOMER, b"1", ORDER)
    client.writer.write(data[:-9])
    await asyncio.sleep(0.05)
    gateway.signal(signal.SIGTERM)
    await gateway.wait_until_shutting_down(await Client.connect(gateway.listen))
    client.writer.write(data[-9:])
    await wait_until(lambda: gateway.server.calls())
    gateway.release.set()
    assert await client.reply() == b"value" and await client.ended()


async def pipelined_behind_the_last(gateway: RunningGateway) -> None:
    """A second command follows one that is open at the signal: both are answered before the connection
    closes."""
    client = await connect_when_ready(gateway.listen)
    client.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
    await wait_until(lambda: gateway.server.calls())
    gateway.signal(signal.SIGTERM)
    pinging_client = await Client.connect(gateway.listen)
    await gateway.wait_until_shutting_down(pinging_client)
    client.send(b"CALL.POST", CUSTOMER, b"2", ORDER)
    await wait_until(lambda: len(gateway.server.calls()) == 2)
    gateway.release.set()
    assert [await client.reply(), await client.reply()] == [b"value", b"value"] and await client.ended()


async def hanging_server(gateway: RunningGateway) -> None:
    """The server never answers: the open request gets its final response before the kill."""
    client = await connect_when_ready(gateway.listen)
    client.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
    await wait_until(lambda: gateway.server.calls())
    gateway.signal(signal.SIGTERM)
    assert str(await client.reply()) == "ERR failed" and await client.ended()


async def more_commands_than_may_be_pending(gateway: RunningGateway) -> None:
    """Guards against charges that are first sent to a server once the pending ones before them have been
    ended, and are then never answered."""
    client = await connect_when_ready(gateway.listen)
    request_ids = [b"%d" % number for number in range(MAX_PENDING_COMMANDS + 36)]
    for request_id in request_ids:
        client.send(b"CALL.POST", CUSTOMER, request_id, CHARGE)
    await wait_until(lambda: gateway.server.calls())
    gateway.signal(signal.SIGTERM)
    replies = [str(await client.reply()) for _ in request_ids]
    assert await client.ended()
    forwarded = {words[2] for words in gateway.server.calls()}
    for request_id, reply in zip(request_ids, replies, strict=True):
        assert reply == ("ERR failed" if request_id in forwarded else "BUSY"), request_id


@pytest.mark.parametrize(
    "shutdown_scenario",
    [
        queued_while_stopped,
        signalled_twice,
        half_a_command,
        pipelined_behind_the_last,
        hanging_server,
        more_commands_than_may_be_pending,
    ],
)
def test_what_was_taken_round_sigterm_is_answered(
    shutdown_scenario: ShutdownScenario, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with running_gateway(tmp_path) as gateway:
            await shutdown_scenario(gateway)
            assert await gateway.process.wait() == 0

    run_scenario(scenario())


@pytest.mark.parametrize("pending_count", [0, 1, MAX_PENDING_COMMANDS])
def test_a_command_that_comes_as_the_open_requests_are_ended_is_rejected(pending_count: int) -> None:
    """Guards against a request that arrives while the last replies are written, is sent to a server, and
    loses its connection before the server's response."""

    async def scenario() -> None:
        async with site(reply_with(None), decisions=ScriptedEngine(send_to("s0"))) as gateway_site:
            program = gateway_site.program
            program.listener.lifecycle.shutdown_grace_s = SHUTDOWN_ACCEPT_S
            client = await gateway_site.client()
            for number in range(pending_count):
                client.send(b"CALL.POST", CUSTOMER, b"%d" % number, CHARGE)
            await wait_until(lambda: len(gateway_site.servers[0].calls()) == pending_count)
            # A connection that has sent half of a command is not closed as idle.
            command = encode_command(b"CALL.POST", CUSTOMER, b"late", CHARGE)
            client.writer.write(command[:-9])
            await wait_until(lambda: any(conn.parser.has_unparsed() for conn in program.listener.clients))
            close_all = program.gateway.close_all

            def close_all_as_the_command_comes() -> int:
                ended_count = close_all()
                client.writer.write(command[-9:])
                return ended_count

            program.gateway.close_all = close_all_as_the_command_comes  # type: ignore[method-assign]
            await program.shut_down()
            replies = [str(await client.reply()) for _ in range(pending_count + 1)]
            assert replies == ["ERR failed"] * pending_count + ["BUSY"]
            assert len(gateway_site.servers[0].calls()) == pending_count

    run_scenario(scenario())


def test_sigterm_before_it_serves_ends_it_with_nobody_taken(tmp_path: Path) -> None:
    """Discovery delays its first reply until the signal has been sent."""

    async def scenario() -> None:
        discovery_peer = ManualDiscovery()
        async with running_gateway(tmp_path, discovery_peer) as gateway:
            await discovery_peer.poll(0)
            gateway.signal(signal.SIGTERM)
            assert await gateway.process.wait() == 0
            with pytest.raises(ConnectionRefusedError):
                await Client.connect(gateway.listen)

    run_scenario(scenario())


def test_a_restart_is_ready_at_a_fifth_of_a_core_with_nobody_to_ask(tmp_path: Path) -> None:
    """Discovery and the counter are silent and no list is saved; the process gets 20 ms of CPU time in each
    100 ms."""

    async def scenario() -> None:
        discovery = ManualDiscovery()
        async with running_gateway(tmp_path, discovery, counter=None, has_saved_list=False) as gateway:

            async def limit_cpu() -> None:
                while gateway.process.returncode is None:
                    gateway.signal(signal.SIGSTOP)
                    await asyncio.sleep(0.08)
                    gateway.signal(signal.SIGCONT)
                    await asyncio.sleep(0.02)

            task = asyncio.create_task(limit_cpu())
            async with asyncio.timeout(10.0):
                pinging_client = await connect_when_ready(gateway.listen)
                assert await pinging_client.ask(b"PING") == b"PONG"
            task.cancel()
            gateway.signal(signal.SIGCONT)

    run_scenario(scenario())


@pytest.mark.parametrize("max_deadline_s", [0.05, 0.15, 0.8, 1.5, 3.0, 6.0, 60.0])
def test_all_is_over_before_the_kill_however_short_deadlines_are(max_deadline_s: float) -> None:
    """The earliest kill comes KILL_DELAY_S (0.7 s) after the longest deadline, of which 3 s count at most."""
    process_lifecycle = ProcessLifecycle(max_deadline_s)
    kill_s = min(max_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S
    assert SHUTDOWN_ACCEPT_S < process_lifecycle.shutdown_grace_s <= kill_s - 0.2
    process_lifecycle.begin_serving(0.0)
    process_lifecycle.begin_shutdown(1.0, False)
    assert process_lifecycle.idle_limit_s(1.0 + process_lifecycle.shutdown_grace_s) == 0.0, (
        "an idle connection would still be open when the shutdown ends"
    )
    assert process_lifecycle.idle_limit_s(1.0 + SHUTDOWN_ACCEPT_S - 0.01) == float("inf")


def test_with_short_deadlines_idle_connections_go_before_the_kill(tmp_path: Path) -> None:
    """A request on a connection that was idle is answered, or sent again by its client on another connection;
    it must not be lost by the kill. With deadlines of 0.2 s the process must have ended in time, also with
    idle connections and a request that no server answers."""

    async def scenario() -> None:
        async with running_gateway(tmp_path, max_deadline_ms=200.0) as gateway:
            client, idle = await connect_when_ready(gateway.listen), await Client.connect(gateway.listen)
            assert await idle.ask(b"PING") == b"PONG"
            client.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
            await wait_until(lambda: gateway.server.calls())
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            gateway.signal(signal.SIGTERM)
            assert str(await client.reply()) == "ERR failed"
            assert await idle.ended() and await gateway.process.wait() == 0
            # The kill comes after 0.9 s, so a process that takes 1.5 s to close its idle connections is
            # killed.
            assert loop.time() - started_at < lifecycle.SHUTDOWN_ACCEPT_S + lifecycle.IDLE_CLOSE_PERIOD_S

    run_scenario(scenario())
