"""The gateway as a process: configuration and signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from glenchute.clients import counter
from lab.child_processes import end_with_parent
from tests.loopback import (
    CUSTOMER,
    GET,
    ORDER,
    SERVED,
    Client,
    DiscoveryPeer,
    RespPeer,
    discovery_answer,
    raw_config,
    reply_with,
    run_scenario,
    server_row,
    wait_until,
)

ROOT = Path(__file__).resolve().parents[2]


async def start(path: Path, **environ: str) -> asyncio.subprocess.Process:
    """Starts the gateway as a process."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "glenchute", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "EDGE_CONFIG": str(path), **environ}, preexec_fn=end_with_parent,
    )  # fmt: skip


@pytest.mark.parametrize(
    "text", ["", "{", "[]", "{}", '{"settings":{}}', '{"settings":5}', None, "invalid listen"]
)
def test_an_invalid_configuration_ends_with_one_line(tmp_path: Path, text: str | None) -> None:
    async def scenario() -> None:
        path = tmp_path / "config.json"
        if text == "invalid listen":
            path.write_text(json.dumps(raw_config(1, 1, []) | {"listen": "nowhere"}))
        elif text is not None:
            path.write_text(text)
        process = await start(path)
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err.startswith(b"glenchute: ") and err.count(b"\n") == 1

    run_scenario(scenario())


def test_sigterm_finishes_open_requests_and_exits_cleanly(tmp_path: Path) -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await release.wait()
            return SERVED

        server, counter_peer, discovery = RespPeer(reply), RespPeer(reply_with(b"+PONG\r\n")), DiscoveryPeer()
        for peer in (server, counter_peer, discovery):
            await peer.start()
        rows = [server_row("s0", server.port)]
        discovery.answers.append(discovery_answer(1, rows))
        port_holder = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        listen = int(port_holder.sockets[0].getsockname()[1])
        port_holder.close()
        await port_holder.wait_closed()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config(discovery.port, counter_peer.port, rows, listen)))
        process = await start(path)
        open_client = await connect_when_ready(listen)
        idle = await Client.connect(listen)
        assert await idle.ask(b"PING") == b"PONG"
        open_client.send(b"CALL.POST", CUSTOMER, b"1", ORDER)
        await wait_until(lambda: len(server.calls()) == 1)
        process.send_signal(signal.SIGTERM)
        late_client = await Client.connect(listen)
        late_client.send(b"CALL.POST", CUSTOMER, b"2", ORDER)
        await wait_until(lambda: len(server.calls()) == 2)
        assert await idle.ended()  # idle, so it is closed once no new connections arrive
        release.set()
        assert [await open_client.reply(), await late_client.reply()] == [b"value", b"value"]
        assert await open_client.reply() is None
        assert await process.wait() == 0
        for peer in (server, counter_peer, discovery):
            await peer.stop()

    run_scenario(scenario())


def test_sighup_applies_the_addresses_of_the_file(tmp_path: Path) -> None:
    """Several changes in a row are applied; an invalid file changes nothing."""

    async def scenario() -> None:
        server = RespPeer(reply_with(SERVED))
        await server.start()
        rows = [server_row("s0", server.port)]

        async def reply_two(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            return b"+PONG\r\n" if command[0] == b"PING" else b"$1\r\n2\r\n"

        addresses = [
            (DiscoveryPeer(discovery_answer(version, rows)), RespPeer(reply_two)) for version in (9, 5, 3)
        ]
        for discovery, counter_peer in addresses:
            await discovery.start()
            await counter_peer.start()
        port_holder = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        listen = int(port_holder.sockets[0].getsockname()[1])
        port_holder.close()
        await port_holder.wait_closed()
        path = tmp_path / "config.json"

        def write_config(index: int) -> None:
            discovery, counter_peer = addresses[index]
            path.write_text(json.dumps(raw_config(discovery.port, counter_peer.port, rows, listen)))

        write_config(0)
        process = await start(path)
        assert process.stderr is not None
        client = await connect_when_ready(listen)
        assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        while b"stays" not in await process.stderr.readline():
            pass
        assert await client.ask(b"CALL.GET", CUSTOMER, b"2", GET) == b"value"
        for index in (1, 2):
            write_config(index)
            process.send_signal(signal.SIGHUP)
            while b"read again" not in await process.stderr.readline():
                pass
        discovery, counter_peer = addresses[2]
        await wait_until(
            lambda: (
                len(discovery.request_targets) > 1
                and len(counter_peer.writers) == counter.DEFAULT_CONNECTIONS
            )
        )
        assert discovery.request_targets[0] == "/v1/servers" and "since=3&" in discovery.request_targets[1]
        ids = (b"%016x" % number for number in range(100, 10_000))
        while not counter_peer.calls():
            assert await client.ask(b"CALL.GET", CUSTOMER, next(ids), GET) == b"value"
            await asyncio.sleep(0.01)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        for peer in (server, *(peer for index in addresses for peer in index)):
            await peer.stop()

    run_scenario(scenario())


async def connect_when_ready(port: int) -> Client:
    """Connects to a process that is starting, once it accepts."""
    while True:
        try:
            return await Client.connect(port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)
