"""Tests of the operations address and of drains, over loopback sockets."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from glenchute.cli.program import GatewayProgram
from glenchute.config.platform import ConfigError, build, load
from glenchute.listeners.operations import server as operations_server
from lab.nodes import Node, ServiceProfile
from lab.site import GatewayProcess, LabSite, free_port
from tests.loopback import (
    CUSTOMER,
    GET,
    SERVED,
    Client,
    ScriptedEngine,
    Site,
    config,
    generate_request_ids,
    raw_config,
    reply_with,
    run_scenario,
    send_to,
    site,
    wait_until,
)

ANY_PORT: dict[str, Any] = {"operations_address": ("127.0.0.1", 0)}


async def exchange(port: int, data: bytes, timeout_s: float = 5.0) -> bytes:
    """Sends bytes to the operations address and returns all that it sends back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), timeout_s)
    finally:
        writer.close()


async def request(port: int, method: str, target: str) -> int:
    """Sends a request and returns the status of its response."""
    response = await exchange(port, f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    return int(response.split(b" ")[1])


def port_of(running: Site) -> int:
    assert running.program.operations is not None
    return running.program.operations.port


def serving_site() -> Any:
    return site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0")), **ANY_PORT)


async def read_value(client: Client, serial: int) -> Any:
    return await client.ask(b"CALL.GET", CUSTOMER, b"%016x" % serial, GET)


def test_requests_are_idempotent() -> None:
    async def scenario() -> None:
        async with serving_site() as running:
            port = port_of(running)
            assert await request(port, "GET", "/_ready") == 200
            for target, status in (("on", 503), ("on", 503), ("off", 200), ("off", 200)):
                assert await request(port, "PUT", f"/_lameduck/{target}") == 200
                assert await request(port, "GET", "/_ready") == status

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /_ready/ HTTP/1.1\r\nHost: x\r\n\r\n", b"404"),
        (b"GET /_lameduck/on HTTP/1.1\r\nHost: x\r\n\r\n", b"405"),
        (b"PUT /_ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", b"405"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /_ready HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 9000, b"431"),
        (b"GET /_ready HTTP/1.1\r\n\r\n", b"400"),
        (b"PUT /_lameduck/on HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n" + b"b" * 9999, b"413"),
    ],
)
def test_an_invalid_request_is_rejected_and_changes_nothing(data: bytes, status: bytes) -> None:
    async def scenario() -> None:
        async with serving_site() as running:
            response = await exchange(port_of(running), data)
            assert response.split(b" ")[1] == status
            assert (b"Allow: " in response) == (status == b"405")
            assert running.program.listener.lifecycle.is_ready

    run_scenario(scenario())


def test_one_request_per_connection_and_bodies_in_pieces() -> None:
    async def scenario() -> None:
        async with serving_site() as running:
            two_requests = b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n" * 2
            assert (await exchange(port_of(running), two_requests)).count(b"HTTP/1.1 200") == 1
            reader, writer = await asyncio.open_connection("127.0.0.1", port_of(running))
            for byte in b"PUT /_lameduck/on HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}":
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()
            assert not running.program.listener.lifecycle.is_ready

    run_scenario(scenario())


def test_unfinished_requests_time_out_and_do_not_block_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(operations_server, "REQUEST_TIMEOUT_S", 0.5)

    async def scenario() -> None:
        async with serving_site() as running:
            port = port_of(running)
            idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(20)]
            for _, writer in idle[::2]:
                writer.write(b"GET /_rea")
            assert await request(port, "GET", "/_ready") == 200
            operations = running.program.operations
            assert (
                operations is not None
                and len(operations.slots.opened_at) <= operations_server.MAX_CONNECTIONS
            )
            await wait_until(lambda: not operations.slots.opened_at)  # each connection times out
            for _, writer in idle:
                writer.close()

    run_scenario(scenario())


def test_a_drain_closes_idle_connections_and_those_in_use_after_a_response() -> None:
    async def scenario() -> None:
        async with serving_site() as running:
            idle, used, fresh = [await running.client() for _ in range(3)]
            assert await read_value(idle, 1) == await read_value(used, 2) == b"value"
            await request(port_of(running), "PUT", "/_lameduck/on")
            pinging = await running.client()
            assert str(await pinging.ask(b"PING")) == "ERR lame duck"
            serial = 10
            while (value := await read_value(used, serial)) is not None:  # never idle
                assert value == b"value"
                serial += 1
            # Each connection was closed between requests: every admitted request got its response.
            for client in (idle, pinging, fresh):
                assert await client.ended()
            # Two requests came before the drain, and `serial` counts from 10 during it.
            assert running.program.listener.request_count == serial - 8
            late = await running.client()  # a late client is served, then disconnected
            if running.program.listener.lifecycle.admits_requests(running.program.loop.time()):
                assert await read_value(late, serial + 1) == b"value"
                assert await late.ended()
            await request(port_of(running), "PUT", "/_lameduck/off")
            reconnected = await running.client()
            assert (
                await reconnected.ask(b"PING") == b"PONG"
                and await read_value(reconnected, serial + 2) == b"value"
            )
            assert await read_value(reconnected, serial + 3) == b"value"  # the connection stays open

    run_scenario(scenario())


def test_open_requests_are_answered_in_a_drain_and_late_ones_rejected() -> None:
    async def scenario() -> None:
        released = asyncio.Event()

        async def delayed_reply(command: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            await released.wait()
            return SERVED

        async with site(delayed_reply, decisions=ScriptedEngine(send_to("s0")), **ANY_PORT) as running:
            client = await running.client()
            ids = generate_request_ids()
            for _ in range(3):  # pipelined
                client.send(b"CALL.GET", CUSTOMER, next(ids), GET)
            await wait_until(lambda: running.program.listener.request_count == 3)
            running.program.listener.start_drain()
            lifecycle = running.program.listener.lifecycle
            lifecycle.phase_started_at -= 10.0  # as if the drain had started 10 s earlier
            running.program.listener.close_idle()
            client.send(b"CALL.GET", CUSTOMER, next(ids), GET)
            released.set()
            assert [await client.reply() for _ in range(3)] == [b"value"] * 3
            assert str(await client.reply()) == "BUSY"  # rejected without an attempt
            assert await client.ended()

    run_scenario(scenario())


def test_a_cancelled_drain_keeps_open_connections() -> None:
    async def scenario() -> None:
        async with serving_site() as running:
            client = await running.client()
            assert await read_value(client, 1) == b"value"
            for target in ("on", "off"):
                await request(port_of(running), "PUT", f"/_lameduck/{target}")
            running.program.listener.lifecycle.phase_started_at -= 10.0
            running.program.listener.close_idle()
            assert await read_value(client, 2) == b"value"
            assert await read_value(client, 3) == b"value"

    run_scenario(scenario())


def test_sigterm_in_a_drain_answers_all_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with LabSite([Node("s0", ServiceProfile({"report-read": 40.0}))]) as lab:
            platform = lab.platform()
            port = free_port()
            platform["operator"] = f"127.0.0.1:{port}"
            gateway = GatewayProcess(tmp_path, platform)
            gateway.start()
            await gateway.ready()
            client = await Client.connect(gateway.port)
            fields = b"c=report-read,t=korporativni,d=2000"
            client.send(b"CALL.GET", CUSTOMER, b"a", fields)
            assert await request(port, "PUT", "/_lameduck/on") == 200
            gateway.send_signal(signal.SIGHUP)  # does not affect the drain
            assert await request(port, "GET", "/_ready") == 503
            ending = asyncio.create_task(gateway.stop())
            assert await client.reply() is not None
            assert await client.ended()
            assert await ending == 0
            assert "Traceback" not in gateway.log_file.read_text()

    run_scenario(scenario())


def test_an_invalid_or_used_operations_address_fails_the_start(tmp_path: Path) -> None:
    raw = raw_config(1, 1, [])
    assert build(raw, {}).operations_address is None
    assert build(raw, {"EDGE_OPERATOR": "127.0.0.1:7"}).operations_address == ("127.0.0.1", 7)
    both = build({**raw, "operator": "127.0.0.1:8"}, {"EDGE_OPERATOR": "1.1.1.1:7"})
    assert both.operations_address == ("127.0.0.1", 8)
    path = tmp_path / "config.json"
    path.write_text('{"settings": {}}')
    with pytest.raises(ConfigError):
        load({"EDGE_CONFIG": str(path), "EDGE_OPERATOR": "nowhere"})

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            platform_config = config(1, 1, [], operations_address=("127.0.0.1", taken.getsockname()[1]))
            program = GatewayProgram(platform_config, asyncio.get_running_loop())
            with pytest.raises(OSError):
                await program.start()
            await program.close()

    run_scenario(scenario())


def test_without_an_operations_address_there_is_no_server() -> None:
    async def scenario() -> None:
        async with site(reply_with(SERVED), decisions=ScriptedEngine(send_to("s0"))) as running:
            assert running.program.operations is None

    run_scenario(scenario())
