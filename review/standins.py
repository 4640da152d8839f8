"""Stand-ins for the cases of the review: servers, counter, discovery, platform and clients, on loopback.

They follow the users' page on the protocol. A case subclasses `Server` or replaces `Server.answer` for its
disruption. All that is sent, answered and run goes into a `Record`.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import hiredis

ROOT = Path(__file__).resolve().parents[1]
READY_S = 30.0  # the platform's limit for a start
PR_SET_PDEATHSIG = 1  # prctl(2)
LONGEST_S = 115.0  # of a whole case
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit statuses of a case

CLASSES: list[dict[str, Any]] = [
    {"name": "report-read", "repeat": "read_like", "group": "all", "memory_span_ms": 5000.0, "aim_ms": 1200.0,
     "hard_limit_ms": 3000.0, "importance": 1.0, "late_worth": 0.0, "stream": False},
    {"name": "check-order", "repeat": "idempotency_key", "group": "all", "memory_span_ms": 2500.0,
     "aim_ms": 1500.0, "hard_limit_ms": 4000.0, "importance": 2.0, "late_worth": 0.0, "stream": False},
    {"name": "check-charge", "repeat": "non_idempotent", "group": "all", "memory_span_ms": 5000.0,
     "aim_ms": 2500.0, "hard_limit_ms": 6000.0, "importance": 2.0, "late_worth": 0.0, "stream": False},
]  # fmt: skip
PLAN = {"name": "agencija", "per_second": 5.0, "most_at_once": 24.0, "price": 1.2, "max_out": 0,
        "ceiling_rate": 0.0, "ceiling_slack": 0.0, "hard_burst": 0.0, "excess_worth": 0.0,
        "beyond_costs": 0.6}  # fmt: skip
SETTINGS: dict[str, Any] = {
    "family": "gate", "areas": ["a"], "my_zone": "a", "balancers": 1, "me": 0, "layer": 0, "tick_ms": 2.0,
    "tiers": ["check-fleet"], "skus": ["m"], "weight_kind": "nominal", "membership_mode": "automatic",
    "client_habits": {"marks_retry": False},
    "domain": {"count_fee": 0.005, "counter": True, "counter_timeout_ms": 50.0, "mail_per_s": 0.0,
               "max_units": 4, "meter_ms": 0.0, "post_paid": False},
    "limits": {"attempts_cap": 5, "cancel": True, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0,
               "max_open": 20000, "max_retry_after_ms": 1000.0, "max_streams": 32, "peers": False,
               "probes": False, "retry_after": True, "second_copies": False},
    "profiles": CLASSES,
    "packages": [PLAN],
    "reporting": {"fields": ["waiting", "active"], "how": "piggyback"},
    "safety": {"answer_slack_ms": 8.0, "ask_within_ms": 10000.0, "cold_from": 0.27, "drain_grace_ms": 250.0,
               "fall_ms": 3000.0, "overload_factor": 2.0, "warm_after_ms": 18000.0},
}  # fmt: skip


class Record:
    """What was sent, answered and run, in order; written to a file at the end."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Adds a line with the present time."""
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self, path: Path) -> None:
        """Writes all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


def free_port(address: str = "127.0.0.1") -> int:
    """Returns a free port below the range of outgoing connections, so that no connection takes it."""
    first = 10_000 + os.getpid() * 37 % 20_000
    for port in [*range(first, 32_000), *range(10_000, first)]:
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
        _given.add(port)
        return port
    raise OSError("no free port")


_given: set[int] = set()
_libc = ctypes.CDLL(None)  # loaded before any fork


def end_with_parent() -> None:
    """Lets the kernel kill a started process when this one ends, whatever ended it; for `preexec_fn`."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def bulk(value: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Encodes a command."""
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))


def served(value: bytes, report: bytes = b"inflight=1,queue=0") -> bytes:
    """Encodes a server's answer: the value, no figures on use, the load report."""
    return b"*3\r\n%b*-1\r\n%b" % (bulk(value), bulk(report))


def fields_of(words: list[bytes]) -> dict[bytes, bytes]:
    """Returns the names and values of a request."""
    return dict(part.split(b"=", 1) for part in words[3].split(b","))


class ServerConnection(asyncio.Protocol):
    """One connection to a server; commands are begun at once and answered in order."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.last: asyncio.Task[None] | None = None
        self.can_write = asyncio.Event()
        self.can_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection; commands that have begun go on."""
        self.server.connections.discard(self)
        self.transport = None
        self.can_write.set()

    def data_received(self, data: bytes) -> None:
        """Begins each command whose last byte has come."""
        self.parser.feed(data)
        while (words := self.parser.gets()) is not False:
            self.last = asyncio.get_running_loop().create_task(self.server.handle(self, words, self.last))
            self.server.tasks.add(self.last)
            self.last.add_done_callback(self.server.tasks.discard)

    def write(self, data: bytes) -> None:
        """Writes bytes, if the connection is still open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        """The gateway does not read for now."""
        self.can_write.clear()

    def resume_writing(self) -> None:
        """The gateway reads again."""
        self.can_write.set()

    def reset(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()


class Server:
    """A server that serves each request after `service_s`."""

    def __init__(self, name: str, record: Record, service_s: float = 0.02) -> None:
        self.name, self.record, self.service_s = name, record, service_s
        self.port = free_port()
        self.runs: list[tuple[float, bytes, bytes]] = []  # time, request id, class
        self.connections: set[ServerConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens."""
        loop = asyncio.get_running_loop()
        self.listening = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", self.port)

    def stop(self) -> None:
        """Closes all sockets."""
        if self.listening is not None:
            self.listening.close()
        for conn in list(self.connections):
            conn.reset()
        for task in list(self.tasks):
            task.cancel()

    def value_of(self, words: list[bytes]) -> bytes:
        """Returns the value that this server makes for a request: it names the request and its customer."""
        return b"report of " + words[2] + b" for " + words[1]

    async def handle(
        self, conn: ServerConnection, words: list[bytes], before: asyncio.Task[None] | None
    ) -> None:
        """Handles one command, and answers it behind the one before it."""
        verb = words[0].upper()
        if verb in (b"CLIENT", b"SELECT"):
            conn.write(b"+OK\r\n")
        elif verb not in (b"CALL.GET", b"CALL.POST"):
            conn.write(b"-ERR unknown command\r\n")
        else:
            fields = fields_of(words)
            self.runs.append((self.record.now(), words[2], fields[b"c"]))
            self.record.add(f"run {self.name} {words[2].decode()} {words[3].decode()}")
            await self.answer(conn, words, before)

    async def answer(
        self, conn: ServerConnection, words: list[bytes], before: asyncio.Task[None] | None
    ) -> None:
        """Serves one request."""
        await asyncio.sleep(self.service_s)
        if before is not None and not before.done():
            await asyncio.wait([before])
        conn.write(served(self.value_of(words)))

    def row(self, state: str = "Ready") -> dict[str, Any]:
        """Returns the row of discovery's list."""
        return {"id": f"s-{self.name}", "addr": f"127.0.0.1:{self.port}", "zone": "a", "kind": "m", "cell": 0,
                "state": state, "weight": 1.0, "started_ms": 0}  # fmt: skip


class Counter:
    """The quota counter."""

    def __init__(self) -> None:
        self.port = free_port()
        self.totals: dict[bytes, tuple[float, float]] = {}  # total and end of life, by name
        self.listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens."""
        self.listening = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection in their order."""
        parser = hiredis.Reader()
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    writer.write(self.reply(words))
        except (ConnectionError, asyncio.CancelledError):
            pass  # the gateway or the case has ended
        finally:
            writer.close()

    def reply(self, words: list[bytes]) -> bytes:
        """Returns the reply to a call."""
        verb = words[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb != b"INCRTTL" or len(words) != 4:
            return b"-ERR no such call\r\n"
        now = time.monotonic()
        total, ends = self.totals.get(words[1], (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + min(60.0, float(words[3]) / 1000.0)
        total += float(words[2])
        self.totals[words[1]] = total, ends
        return bulk(b"%.3f" % total)

    def stop(self) -> None:
        """Stops listening."""
        if self.listening is not None:
            self.listening.close()


class Discovery:
    """Discovery with a whole list that does not change, and watches that wait."""

    def __init__(self, rows: list[dict[str, Any]], version: int = 1) -> None:
        self.rows, self.version = rows, version
        self.port = free_port()
        self.listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens."""
        self.listening = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"version": self.version, "full": True, "servers": self.rows}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection."""
        try:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                answer: dict[str, Any] = self.whole()
                if f"since={self.version}&" in target + "&":
                    wait_ms = float(target.rpartition("timeout_ms=")[2] or 0.0)
                    await asyncio.sleep(min(60.0, wait_ms / 1000.0))
                    answer = {"version": self.version, "full": False, "servers": []}
                body = json.dumps(answer).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write(head % len(body) + body)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the gateway or the case has ended
        finally:
            writer.close()

    def stop(self) -> None:
        """Stops listening."""
        if self.listening is not None:
            self.listening.close()


class Gateway:
    """A gateway process, started as the platform starts it: `run` of the deploy file by /bin/sh."""

    def __init__(self, folder: Path, discovery: int, counter: int, known: dict[str, Any],
                 settings: dict[str, Any] | None = None, limits: dict[str, Any] | None = None,
                 name: str = "n0") -> None:  # fmt: skip
        self.port = free_port()
        self.folder = folder / name
        self.folder.mkdir()
        (self.folder / "tmp").mkdir()
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery}",
            "counter": f"127.0.0.1:{counter}", "seed": os.urandom(8).hex(),
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known, "settings": settings or SETTINGS,
        }  # fmt: skip
        self.write_config()
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Writes the configuration file."""
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def start(self) -> None:
        """Starts the process."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        environ = {name: value for name, value in os.environ.items()
                   if not name.startswith(("EDGE_", "GLENCHUTE_"))}  # fmt: skip
        environ |= {"EDGE_NAME": str(self.config["name"]), "EDGE_LISTEN": str(self.config["listen"]),
                    "EDGE_DISCOVERY": str(self.config["discovery"]), "TMPDIR": str(self.folder / "tmp"),
                    "EDGE_CONFIG": str(self.folder / "config.json")}  # fmt: skip
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL,
                                            preexec_fn=end_with_parent)  # fmt: skip

    async def ready(self) -> None:
        """Waits for `+PONG`; raises RuntimeError if none comes within the platform's limit."""
        end = time.monotonic() + READY_S
        while time.monotonic() < end and self.status() is None:
            try:
                client = await Client.connect(self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            try:
                client.write(command(b"PING"))
                if await asyncio.wait_for(client.next_reply(), 1.0) == "+PONG":
                    return
            except TimeoutError:
                pass
            finally:
                client.close()
        raise RuntimeError("the gateway is not ready")

    def status(self) -> int | None:
        """Returns the exit status; None while the process runs."""
        assert self.process is not None
        return self.process.poll()

    def keep_to_core(self, core: int) -> None:
        """Keeps the process on one core, which other gateways may share."""
        assert self.process is not None
        os.sched_setaffinity(self.process.pid, {core})

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process, if it still runs."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self) -> str:
        """Returns what the process has written."""
        return (self.folder / "log").read_text(errors="replace")


class Client(asyncio.Protocol):
    """A client's connection. Replies are kept as text of their first byte and value, with their times."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = hiredis.Reader()
        self.replies: deque[Any] = deque()
        self.has_new = asyncio.Event()
        self.is_closed = False
        self.on_reply: Any = None

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Opens a connection."""
        _, client = await asyncio.get_running_loop().create_connection(cls, "127.0.0.1", port)
        return client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Keeps whole replies."""
        self.parser.feed(data)
        while (reply := self.parser.gets()) is not False:
            if isinstance(reply, hiredis.ReplyError):
                reply = f"-{reply}"
            elif isinstance(reply, bytes) and reply == b"PONG":
                reply = "+PONG"
            if self.on_reply is not None:
                self.on_reply(reply)
            else:
                self.replies.append(reply)
                self.has_new.set()

    def eof_received(self) -> None:
        """The gateway has ended its sending."""
        self.is_closed = True
        self.has_new.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.is_closed = True
        self.transport = None
        self.has_new.set()

    def write(self, data: bytes) -> None:
        """Writes bytes."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    async def next_reply(self) -> Any:
        """Returns the next reply; None at the end of the connection."""
        while not self.replies:
            if self.is_closed:
                return None
            self.has_new.clear()
            await self.has_new.wait()
        return self.replies.popleft()

    def close(self) -> None:
        """Closes the connection."""
        if self.transport is not None:
            self.transport.close()


def request(
    customer: int, request_id: str, name: str, patience_ms: int, key: str = "", spread: int = 1
) -> bytes:
    """Encodes a client's request of one unit."""
    verb = b"CALL.GET" if name == "report-read" else b"CALL.POST"
    fields = f"c={name},t={PLAN['name']},d={patience_ms}"
    if name == "check-order":
        fields += f",k={key or request_id}"
    fields += f",units=1,spread={spread},first=0"
    return command(verb, b"%016x" % customer, request_id.encode(), fields.encode())


def run_case(case: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Runs a case, writes its record, and exits with its status; 2 if it could not run."""
    record, status = Record(), COULD_NOT_RUN

    async def limited() -> int:
        return await asyncio.wait_for(case(record), LONGEST_S)

    try:
        status = asyncio.run(limited())
    except (OSError, RuntimeError, TimeoutError) as error:
        record.add(f"the case could not run: {error!r}")
    record.add(f"exit {status}")
    record.write(folder / "record.txt")
    print("\n".join(record.lines[-3:]))
    sys.exit(status)


class Site:
    """Servers, counter, discovery and a folder, started and ended together."""

    def __init__(self, servers: list[Any]) -> None:
        self.servers = servers
        self.counter = Counter()
        self.discovery = Discovery([server.row() for server in servers])
        self.temporary = tempfile.TemporaryDirectory()
        self.gateways: list[Gateway] = []

    async def __aenter__(self) -> Site:
        """Starts the stand-ins."""
        for peer in (*self.servers, self.counter, self.discovery):
            await peer.start()
        return self

    async def __aexit__(self, *failure: object) -> None:
        """Ends all processes and stand-ins."""
        for gateway in self.gateways:
            gateway.end()
        for peer in (*self.servers, self.counter, self.discovery):
            peer.stop()
        self.temporary.cleanup()

    def gateway(self, **arguments: Any) -> Gateway:
        """Creates a gateway of this site; the caller starts it."""
        gateway = Gateway(Path(self.temporary.name), self.discovery.port, self.counter.port,
                          self.discovery.whole(), **arguments)  # fmt: skip
        self.gateways.append(gateway)
        return gateway
