"""Ports and processes of the test bed: no test reaches or leaves behind a process of another one."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from lab import ports
from lab.child_processes import listens_at
from lab.peers import Client, RespPeer, reply_with, run_scenario, wait_until
from lab.site import GatewayProcess, LabSite

ROOT = Path(__file__).resolve().parents[2]
TAKE_PORTS = """
import sys
from lab import ports
ports._ports = iter(sorted(ports.allowed()))
print(*[ports.free_port() for _ in range(40)], flush=True)
sys.stdin.read()
"""
START_GATEWAY = """
import asyncio, sys, time
from pathlib import Path
from lab.site import GatewayProcess, LabSite

async def start():
    async with LabSite([]) as site:
        gateway = GatewayProcess(Path(sys.argv[1]), site.platform())
        gateway.start()
        await gateway.ready()
        print(gateway.process.pid, flush=True)
        await asyncio.sleep(60.0)

asyncio.run(start())
"""


@contextmanager
def script(text: str, *arguments: str) -> Iterator[subprocess.Popen[str]]:
    """Runs Python text in a process of its own, and kills it at the end."""
    command = [sys.executable, "-c", text, *arguments]
    with subprocess.Popen(
        command, cwd=ROOT, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def test_processes_that_try_the_same_ports_get_different_ones() -> None:
    """Guards against two tests whose processes get one port: each then reaches the other's process."""
    with ExitStack() as stack:
        processes = [stack.enter_context(script(TAKE_PORTS)) for _ in range(4)]
        taken = [port for process in processes for port in (process.stdout or []).readline().split()]  # type: ignore[union-attr]
    assert len(taken) == len(set(taken)) == 160


def test_a_reserved_port_is_refused_until_its_listener_has_started() -> None:
    port = ports.free_port()
    with socket.socket() as other:
        assert other.connect_ex(("127.0.0.1", port)) != 0
    with socket.create_server(("127.0.0.1", port)), socket.create_connection(("127.0.0.1", port)):
        assert listens_at(os.getpid(), port) and not listens_at(1, port)
    assert not ports.reserve(port) and not listens_at(os.getpid(), port)


def test_another_process_at_its_port_does_not_make_a_gateway_ready(tmp_path: Path) -> None:
    """Guards against a load that starts while another process answers at the port: if that one ends before
    the gateway listens there, requests are lost."""

    async def scenario() -> None:
        async with LabSite([]) as site:
            gateway = GatewayProcess(tmp_path, site.platform())
            other = RespPeer(reply_with(b"+PONG\r\n"))
            await other.start(gateway.port)
            gateway.start()
            ready = asyncio.create_task(gateway.ready())
            try:
                await wait_until(lambda: len(other.log) >= 2)
                assert not ready.done()
                await other.stop()
                await ready
                client = await Client.connect(gateway.port)
                assert gateway.process is not None and listens_at(gateway.process.pid, gateway.port)
                assert await client.ask(b"PING") == b"PONG"
                client.writer.close()
            finally:
                ready.cancel()
                await gateway.stop()

    run_scenario(scenario())


def test_a_gateway_ends_with_the_process_that_started_it(tmp_path: Path) -> None:
    """Guards against gateways that a killed test run leaves behind, which go on calling its ports."""
    with script(START_GATEWAY, str(tmp_path)) as starter:
        assert starter.stdout is not None
        gateway_id = int(starter.stdout.readline())
        starter.send_signal(signal.SIGKILL)
        starter.wait()

    async def scenario() -> None:
        await wait_until(lambda: not Path(f"/proc/{gateway_id}/fd").is_dir() or has_ended(gateway_id))

    run_scenario(scenario())


def has_ended(process_id: int) -> bool:
    """Returns whether a process has ended, even if its new parent has not collected its exit status."""
    try:
        return Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()[0] == "Z"
    except OSError:
        return True
