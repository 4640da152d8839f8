"""A small site on loopback: servers, counter, discovery, and gateways in processes of their own.

`KINDS` and `SETTINGS` are the request classes and the platform's settings that tests and benchmarks share.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from lab.child_processes import end_with_parent, listens_at
from lab.load import Account, RequestKind
from lab.nodes import Node
from lab.peers import Client, server_row
from lab.ports import free_port as free_port  # other modules import it from here
from lab.services import CounterService, DiscoveryService

KINDS = (
    RequestKind("report-read", 0.6, 2000),
    RequestKind("check-order", 0.25, 3000, post=True, keyed=True),
    RequestKind("check-charge", 0.15, 3000, post=True),
)
SETTINGS: dict[str, Any] = {
    "my_zone": "a", "balancers": 1, "me": 0,
    "domain": {"counter": True, "counter_timeout_ms": 50.0, "max_units": 6},
    "limits": {"attempts_cap": 4, "retry_after": True, "max_retry_after_ms": 1000.0, "max_open": 4000,
               "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0, "second_copies": False},
    "profiles": [
        {"name": "report-read", "repeat": "read_like", "aim_ms": 800.0, "hard_limit_ms": 2000.0,
         "importance": 1.0},
        {"name": "check-order", "repeat": "idempotency_key", "group": "all", "memory_span_ms": 2500.0,
         "aim_ms": 1200.0, "hard_limit_ms": 3000.0, "importance": 2.0},
        {"name": "check-charge", "repeat": "non_idempotent", "aim_ms": 1500.0, "hard_limit_ms": 3000.0,
         "importance": 2.0},
    ],
    "packages": [
        {"name": "osnovni", "per_second": 2.0, "most_at_once": 6.0, "price": 0.5},
        {"name": "standard", "per_second": 4.0, "most_at_once": 12.0, "price": 1.0},
        {"name": "korporativni", "per_second": 20.0, "most_at_once": 40.0, "price": 2.0, "ceiling_rate": 40.0,
         "hard_burst": 80.0, "ceiling_slack": 8.0},
    ],
    "safety": {"cold_from": 0.25, "warm_after_ms": 18000.0, "drain_grace_ms": 250.0},
}  # fmt: skip


def with_longer_deadlines(factor: float = 10.0) -> dict[str, Any]:
    """Returns profiles with time limits multiplied by `factor`, so that a busy machine causes no timeouts."""
    limits = ("aim_ms", "hard_limit_ms")
    return {
        "profiles": [
            profile | {limit: factor * profile[limit] for limit in limits} for profile in SETTINGS["profiles"]
        ]
    }


def accounts(count: int = 40) -> list[Account]:
    """Returns accounts of all plans; those of the more expensive plans send more requests."""
    plans = (("osnovni", 1.0), ("standard", 2.0), ("korporativni", 8.0))
    return [
        Account(b"%016x" % (1000 + i), *plans[0 if i % 10 < 6 else 1 if i % 10 < 9 else 2])
        for i in range(count)
    ]


class GatewayProcess:
    """A gateway in a process and process group of its own, with its files in `folder`."""

    def __init__(self, folder: Path, platform: dict[str, Any], operator: str | None = None) -> None:
        self.folder, self.platform = folder, platform
        self.port = int(str(platform["listen"]).rpartition(":")[2])
        self.config_file = folder / "config.json"
        self.config_file.write_text(json.dumps(platform))
        self.operator_file = folder / "operator.toml"
        if operator is not None:
            self.operator_file.write_text(operator)
        self.interpreter_arguments: tuple[str, ...] = ("-m", "glenchute")  # start the program
        self.process: subprocess.Popen[bytes] | None = None
        self.passed_socket: socket.socket | None = None  # listening socket passed by the platform, if any
        self.temp_folder = folder  # $TMPDIR of the process; a successor has to have the same
        self.log_file = folder / "gateway.log"

    def start(self, *arguments: str) -> None:
        """Starts the process; `ready` waits until it answers."""
        environ = {
            key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "GLENCHUTE_"))
        }
        environ["EDGE_CONFIG"] = str(self.config_file)
        environ["TMPDIR"] = str(self.temp_folder)
        inherited: tuple[int, ...] = ()
        if self.passed_socket is not None:
            inherited = (self.passed_socket.fileno(),)
            environ["EDGE_PASSED_SOCKET"] = str(inherited[0])
        if self.operator_file.exists():
            environ["GLENCHUTE_OPERATOR"] = str(self.operator_file)
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.interpreter_arguments, *arguments],
                env=environ, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True, pass_fds=inherited, preexec_fn=end_with_parent,
                cwd=Path(__file__).resolve().parent.parent,
            )  # fmt: skip

    async def ready(self, timeout_s: float = 15.0) -> None:
        """Waits until this gateway, and not another process at its port, answers a PING."""
        async with asyncio.timeout(timeout_s):
            while True:
                assert self.process is not None
                if self.process.poll() is not None:
                    raise RuntimeError(f"the gateway exited before it was ready: {self.log_file.read_text()}")
                with contextlib.suppress(ConnectionError):
                    client = await Client.connect(self.port)
                    try:
                        is_ready = await client.ask(b"PING") == b"PONG"
                        if is_ready and listens_at(self.process.pid, self.port):
                            return
                    finally:
                        client.writer.close()
                await asyncio.sleep(0.005)

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process group of the gateway, if the gateway runs."""
        if self.process is not None and self.process.poll() is None:
            os.killpg(self.process.pid, number)

    async def stop(self, timeout_s: float = 5.0) -> int:
        """Sends SIGTERM, and SIGKILL after `timeout_s`; returns the exit status."""
        assert self.process is not None
        self.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.process.poll() is None and loop.time() < deadline:
            await asyncio.sleep(0.01)
        self.send_signal(signal.SIGKILL)
        return self.process.wait()


class LabSite:
    """The stand-in services of one site."""

    def __init__(self, nodes: Sequence[Node], counter: CounterService | None = None) -> None:
        self.nodes, self.counter = list(nodes), counter or CounterService()
        self.discovery = DiscoveryService([])

    async def __aenter__(self) -> LabSite:
        for peer in (*self.nodes, self.counter):
            await peer.start()
        self.discovery = DiscoveryService(self.rows())
        await self.discovery.start()
        return self

    async def __aexit__(self, *failure: object) -> None:
        for peer in (*self.nodes, self.counter, self.discovery):
            await peer.stop()

    def rows(self) -> list[dict[str, Any]]:
        """Returns discovery's rows of the servers."""
        return [server_row(node.name, node.port) for node in self.nodes]

    def platform(self, settings: dict[str, Any] | None = None) -> dict[str, Any]:
        """Returns the platform's file for one gateway of this site."""
        return {
            "name": "g0", "listen": f"127.0.0.1:{free_port()}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "counter": f"127.0.0.1:{self.counter.port}", "seed": "5eed", "settings": settings or SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": self.rows()},
        }  # fmt: skip

    def count_repeated(self, class_name: str = "check-charge") -> int:
        """Returns how many requests of a non-idempotent class ran more than once, by the servers' records."""
        ran: set[bytes] = set()
        repeated: set[bytes] = set()
        for node in self.nodes:
            for effect in node.effects:
                if effect.class_name == class_name:
                    (repeated if effect.request_id in ran else ran).add(effect.request_id)
        return len(repeated)
