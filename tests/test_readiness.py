"""A start hangs on nobody: ready with discovery silent, the counter mute, the saved list empty or missing."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from lab.site import GatewayProcess, free_port

from .loopback import (
    CUSTOMER,
    GET,
    SERVED,
    Client,
    DiscoveryPeer,
    RespPeer,
    always,
    listing,
    numbered,
    play,
    raw_config,
    row,
)

READY_S = 10.0  # nine in ten restarted processes are ready by then
PROCESSES = 4  # that start in one moment


@pytest.mark.parametrize("saved", ["a list", "an empty list", "none"])
def test_a_start_is_ready_with_discovery_silent_and_the_counter_mute(tmp_path: Path, saved: str) -> None:
    """It then serves by the saved list; without one it refuses, until discovery answers, and serves."""

    async def scenario() -> None:
        silent, mute, server = DiscoveryPeer(), RespPeer(always(None)), RespPeer(always(SERVED))
        for peer in (silent, mute, server):
            await peer.start()
        rows, ids = [row("s0", server.port)], numbered()
        gateways = []
        for number in range(PROCESSES):
            folder = tmp_path / f"g{number}"
            folder.mkdir()
            raw = raw_config(silent.port, mute.port, rows if saved == "a list" else [], free_port())
            if saved == "none":
                del raw["known"]
            gateways.append(GatewayProcess(folder, raw))
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
                silent.answers += [listing(2, rows)] * 100
                while await client.ask(b"CALL.GET", CUSTOMER, next(ids), GET) != b"value":
                    await asyncio.sleep(0.02)
        finally:
            for gateway in gateways:
                gateway.signal(signal.SIGKILL)
                if gateway.process is not None:
                    gateway.process.wait()
            for peer in (silent, mute, server):
                await peer.stop()

    play(scenario())
