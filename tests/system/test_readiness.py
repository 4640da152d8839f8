"""A start depends on no other service: the gateway gets ready while discovery and the counter are silent,
also with an empty saved list or none."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from lab.site import GatewayProcess, free_port
from tests.loopback import (
    CUSTOMER,
    GET,
    SERVED,
    Client,
    DiscoveryPeer,
    RespPeer,
    discovery_answer,
    generate_request_ids,
    raw_config,
    reply_with,
    run_scenario,
    server_row,
)

READY_S = 10.0  # 90 % of restarted processes must be ready within this time
PROCESSES = 4  # number of processes, which start at once


@contextmanager
def unreachable() -> Iterator[int]:
    """Yields a port whose connections are neither accepted nor refused, as its listen backlog is full."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # the port is reserved
        listener.bind(("127.0.0.1", free_port()))
        listener.listen(0)
        socks = [socket.socket() for _ in range(4)]
        for sock in socks:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        try:
            yield listener.getsockname()[1]
        finally:
            for sock in socks:
                sock.close()


@pytest.mark.parametrize(
    ("saved", "connects"), [("a list", True), ("an empty list", True), ("none", True), ("a list", False)]
)
def test_a_start_is_ready_with_discovery_and_counter_silent(
    tmp_path: Path, saved: str, connects: bool
) -> None:
    """Once ready, the gateway serves with the saved list; without one it rejects requests until discovery
    answers. With `connects` false no connection to discovery is accepted."""

    async def scenario(unreachable_port: int) -> None:
        discovery_peer, silent_counter, server = (
            DiscoveryPeer(),
            RespPeer(reply_with(None)),
            RespPeer(reply_with(SERVED)),
        )
        for peer in (discovery_peer, silent_counter, server):
            await peer.start()
        rows, ids = [server_row("s0", server.port)], generate_request_ids()
        discovery = discovery_peer.port if connects else unreachable_port
        gateways = []
        for number in range(PROCESSES):
            folder = tmp_path / f"g{number}"
            folder.mkdir()
            platform_config = raw_config(
                discovery, silent_counter.port, rows if saved == "a list" else [], free_port()
            )
            if saved == "none":
                del platform_config["known"]
            gateways.append(GatewayProcess(folder, platform_config))
        try:
            for gateway in gateways:
                gateway.start()
            await asyncio.gather(*(gateway.ready(READY_S) for gateway in gateways))
            client = await Client.connect(gateways[0].port)
            reply = await client.ask(b"CALL.GET", CUSTOMER, next(ids), GET)
            if saved == "a list":
                assert reply == b"value"
            else:
                assert str(reply).startswith("BUSY")
            if saved != "a list" and connects:
                discovery_peer.answers += [discovery_answer(2, rows)] * 100
                while await client.ask(b"CALL.GET", CUSTOMER, next(ids), GET) != b"value":
                    await asyncio.sleep(0.02)
        finally:
            for gateway in gateways:
                gateway.send_signal(signal.SIGKILL)
                if gateway.process is not None:
                    gateway.process.wait()
            for peer in (discovery_peer, silent_counter, server):
                await peer.stop()

    with unreachable() as unreachable_port:
        run_scenario(scenario(unreachable_port))
