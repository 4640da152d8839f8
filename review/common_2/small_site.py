"""A small site for the cases 6 to 10: one gateway process and stand-ins, all on loopback addresses.

The gateway is started by the `run` command of the deploy file. The counter and discovery are the project's
own stand-ins; servers are defined here or in the cases.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

import hiredis  # noqa: E402

from lab.child_processes import end_with_parent  # noqa: E402
from lab.peers import Peer, server_row  # noqa: E402
from lab.ports import free_port  # noqa: E402
from lab.services import CounterService, DiscoveryService  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110.0  # a run that takes longer could not run
SEGMENT_BYTES = 1448  # as on an Ethernet, where the loopback's own segments are 64 KiB
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS: dict[str, Any] = {
    "my_zone": "a", "areas": ["a"], "balancers": 1, "me": 0, "membership_mode": "automatic",
    "domain": {"counter": True, "counter_timeout_ms": 50.0, "max_units": 4},
    "limits": {"attempts_cap": 5, "cancel": True, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0,
               "max_open": 20000, "max_retry_after_ms": 1000.0, "max_streams": 32, "retry_after": True,
               "second_copies": False},
    "profiles": [
        {"name": "report-read", "repeat": "read_like", "group": "all", "aim_ms": 1200.0,
         "hard_limit_ms": 3000.0, "importance": 1.0, "memory_span_ms": 5000.0},
        {"name": "check-order", "repeat": "idempotency_key", "group": "all", "aim_ms": 1500.0,
         "hard_limit_ms": 4000.0, "importance": 2.0, "memory_span_ms": 2500.0},
        {"name": "check-charge", "repeat": "non_idempotent", "group": "all", "aim_ms": 2500.0,
         "hard_limit_ms": 6000.0, "importance": 2.0, "memory_span_ms": 5000.0},
    ],
    "packages": [
        {"name": "osnovni", "per_second": 1.7, "most_at_once": 8.0, "price": 0.55},
        {"name": "korporativni", "per_second": 10.0, "most_at_once": 25.0, "price": 1.6,
         "ceiling_rate": 25.0, "hard_burst": 62.0, "ceiling_slack": 6.0},
    ],
    "prices": {"cross_zone": 0.01},
    "reporting": {"fields": ["waiting", "active"], "how": "piggyback"},
    "safety": {"answer_slack_ms": 8.0, "cold_from": 0.27, "drain_grace_ms": 250.0, "fall_ms": 3000.0,
               "overload_factor": 2.0, "warm_after_ms": 18000.0},
}  # fmt: skip


class Record:
    """The file in which a case tells what was sent, answered and run; times are seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self.lines: list[str] = []
        self.path = folder / "record.txt"
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def write(self) -> None:
        """Writes the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def use_small_segments(sock: socket.socket) -> None:
    """Makes a socket, or those that a listening one accepts, send segments as on an Ethernet."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)


def encode(*words: bytes) -> bytes:
    """Encodes a command."""
    return bytes(hiredis.pack_command(words))


def fields_of(command: Sequence[bytes]) -> dict[bytes, bytes]:
    """Returns the names and values of a request."""
    return dict(part.split(b"=", 1) for part in command[3].split(b",") if b"=" in part)


class Server(Peer):
    """A server of the protocol page, for a gateway that writes one request at a time on a connection."""

    def __init__(
        self, name: str, handle: Callable[[list[bytes], asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        """`handle` runs one request and writes its answer."""
        super().__init__()
        self.name, self.handle = name, handle

    async def start(self, port: int = 0) -> None:
        """Starts to listen."""
        await super().start(port)
        assert self.server is not None
        for sock in self.server.sockets:
            use_small_segments(sock)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        parser = hiredis.Reader()
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not False:
                verb = command[0].upper()
                if verb in (b"CALL.GET", b"CALL.POST"):
                    await self.handle(command, writer)
                elif verb in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                else:
                    writer.write(b"-ERR unknown command\r\n")


class Site:
    """The gateway and its stand-ins; all end with the block."""

    def __init__(self, servers: Sequence[Server], memory_mb: int = 192, sockets: int = 1024) -> None:
        self.servers, self.memory_mb, self.sockets = servers, memory_mb, sockets
        self.counter = CounterService()
        self.discovery = DiscoveryService([])
        self.process: subprocess.Popen[bytes] | None = None
        self.folder = tempfile.TemporaryDirectory()
        self.port = free_port()

    async def __aenter__(self) -> Site:
        """Starts the stand-ins and the gateway."""
        for peer in (*self.servers, self.counter):
            await peer.start()
        rows = [server_row(server.name, server.port) for server in self.servers]
        self.discovery = DiscoveryService(rows)
        await self.discovery.start()
        try:
            self.start_gateway(rows)
            await self.wait_until_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    def start_gateway(self, rows: list[dict[str, Any]]) -> None:
        """Starts the gateway by the deploy file's command."""
        folder = Path(self.folder.name)
        config = folder / "config.json"
        config.write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": os.urandom(8).hex(),
            "discovery": f"127.0.0.1:{self.discovery.port}", "counter": f"127.0.0.1:{self.counter.port}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": {"version": 1, "full": True, "servers": rows}, "settings": SETTINGS,
        }))  # fmt: skip
        (folder / "tmp").mkdir()
        environ = {
            name: value for name, value in os.environ.items() if not name.startswith(("EDGE_", "GLENCHUTE_"))
        }
        environ |= {"EDGE_CONFIG": str(config), "EDGE_NAME": "n0", "TMPDIR": str(folder / "tmp")}
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        with (folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True, preexec_fn=end_with_parent,
            )  # fmt: skip

    def log(self) -> str:
        """Returns the gateway's log."""
        return (Path(self.folder.name) / "log").read_text()

    async def wait_until_ready(self) -> None:
        """Waits until the gateway answers PING, as the front does."""
        async with asyncio.timeout(30.0):
            while True:
                assert self.process is not None
                if self.process.poll() is not None:
                    raise RuntimeError(f"the gateway has ended: {self.log()}")
                with contextlib.suppress(ConnectionError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    writer.write(encode(b"PING"))
                    answer = await reader.read(64)
                    writer.close()
                    if answer == b"+PONG\r\n":
                        return
                await asyncio.sleep(0.02)

    async def __aexit__(self, *failure: object) -> None:
        """Ends the gateway, by SIGKILL where SIGTERM does not, and the stand-ins."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGTERM)
            for _ in range(250):
                if self.process.poll() is not None:
                    break
                await asyncio.sleep(0.02)
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            self.process.wait()
        for peer in (*self.servers, self.counter, self.discovery):
            await peer.stop()
        self.folder.cleanup()


def main(folder: Path, case: Callable[[Record], Awaitable[bool]]) -> int:
    """Runs a case, which returns whether the rule held; returns the exit status."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 4096 if hard == resource.RLIM_INFINITY else min(4096, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    record = Record(folder)
    record.note("with the disruption" if TROUBLE else "without the disruption")

    async def run() -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await case(record)

    try:
        held = asyncio.run(run())
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        record.write()
        print(record.lines[-1])
        return COULD_NOT_RUN
    record.note("the rule held" if held else "THE RULE WAS BROKEN")
    record.write()
    print(record.lines[-1])
    return HELD if held else BROKEN
