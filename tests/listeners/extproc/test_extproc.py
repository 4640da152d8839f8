"""The external processor on sockets: server and proxy share no library, and the nodes keep the truth."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import grpc
import grpclib.client
import h2.connection
import h2.settings
import h11
import pytest
import trustme
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb
from envoy.service.ratelimit.v3 import rls_pb2

from glenchute.cli.program import GatewayProgram
from glenchute.config.operator import parse
from glenchute.config.platform import build
from glenchute.listeners.extproc import server as server_module
from glenchute.listeners.extproc.server import ExtProcServer
from lab.faults import Fault, Kind, Script
from lab.http_nodes import HttpNode, charged_twice, whole
from lab.nodes import Trade
from lab.peers import play, until
from lab.proxy import METHOD, POINTS, Exchange, Habits, Proxy, message
from lab.site import SETTINGS, GatewayProcess, LabSite, free_port

OPERATOR = """\
[fronts.extproc]
listen = "127.0.0.1:{port}"
{more}
[fronts.extproc.map]
account = "header:x-account"
plan = "header:x-plan"
id = "header:x-request-id"
key = "header:idempotency-key"
spread = "value:1"
[[fronts.extproc.operation]]
class = "report-read"
method = "GET"
path = "/v1/reports/{{account}}"
[[fronts.extproc.operation]]
class = "check-order"
method = "POST"
path = "/v1/orders"
[[fronts.extproc.operation]]
class = "check-charge"
method = "POST"
path = "/v1/charges"
[fronts.extproc.ratelimit]
domain = "glenchute"
[fronts.extproc.ratelimit.map]
account = "descriptor:account"
plan = "descriptor:plan"
class = "value:report-read"
spread = "value:1"
"""
TARGETS = {
    "report-read": ("GET", "/v1/reports/1"), "check-order": ("POST", "/v1/orders"),
    "check-charge": ("POST", "/v1/charges"),
}  # fmt: skip
DEADLINES = {row["name"]: row["hard_limit_ms"] / 1000.0 for row in SETTINGS["profiles"]}
SERVICE = {"report-read": 3.0, "check-order": 4.0, "check-charge": 4.0}
ACCOUNT = "00000000000003e8"
AT_ONCE = 8  # requests under way where many are asked


class Place:
    """A site with HTTP nodes, and a gateway's program in this process whose front for proxies is on."""

    def __init__(self, lab: LabSite, nodes: list[HttpNode]) -> None:
        self.lab, self.nodes = lab, nodes
        self.port = free_port()
        self.programs: list[GatewayProgram] = []
        self.processes: list[GatewayProcess] = []  # killed at the end, if a test fails before it ends them

    async def program(self, more: str = "") -> GatewayProgram:
        """A fresh gateway on the same port."""
        config = build(self.lab.platform(), {})
        reading = parse(OPERATOR.format(port=self.port, more=more), config.facts)
        assert reading.config is not None, reading.findings
        made = GatewayProgram(config, asyncio.get_running_loop(), operator=reading.config)
        await made.start()
        self.programs.append(made)
        return made

    def process(self, folder: Path, more: str = "", platform: dict[str, Any] | None = None) -> GatewayProcess:
        """A gateway in a process of its own, started."""
        text = OPERATOR.format(port=self.port, more=more)
        made = GatewayProcess(folder, platform or self.lab.platform(), text)
        self.processes.append(made)
        made.start("run")
        return made

    def front(self) -> ExtProcServer:
        found = self.programs[-1].extproc
        assert found is not None
        return found

    def proxy(self, core: bool = False, **habits: Any) -> Proxy:
        addresses = [f"127.0.0.1:{node.port}" for node in self.nodes]
        return Proxy(f"127.0.0.1:{self.port}", Habits(**habits), addresses, core)


@asynccontextmanager
async def place(
    scripts: list[Script] | None = None, more: str = "", start: bool = True
) -> AsyncIterator[Place]:
    """The site, with a node for each script."""
    trade = Trade(SERVICE, slots=32)
    nodes = [HttpNode(f"s{n}", trade, script) for n, script in enumerate(scripts or [Script()] * 3)]
    lab = LabSite(nodes)  # type: ignore[arg-type]  # it only starts, lists and stops them
    async with lab:
        made = Place(lab, nodes)
        if start:
            await made.program(more)
        try:
            yield made
        finally:
            for process in made.processes:
                process.signal(signal.SIGKILL)
            for program in made.programs:
                await program.close()


async def call(
    port: int, name: str, request: str, plan: str = "korporativni", account: int = 1000
) -> tuple[int, dict[str, str]]:
    """One HTTP request through a proxy: status and headers. 0 where the proxy died."""
    method, target = TARGETS[name]
    given = {
        "host": "api", "x-account": f"{account:016x}", "x-plan": plan, "x-class": name,
        "x-request-id": request, "idempotency-key": f"k-{request}",
    }  # fmt: skip
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0, {}
    try:
        conn = h11.Connection(h11.CLIENT)
        head = h11.Request(method=method, target=target, headers=list(given.items()))
        writer.write((conn.send(head) or b"") + (conn.send(h11.EndOfMessage()) or b""))
        found = await whole(conn, reader)
        if found is None:
            return 0, {}
        return found[0].status_code, {key.decode(): value.decode() for key, value in found[0].headers}
    except (h11.ProtocolError, ConnectionError):
        return 0, {}
    finally:
        writer.transport.abort()


async def in_time(port: int, name: str, request: str, account: int) -> tuple[int, dict[str, str]]:
    """The same, within the class's deadline; two seconds are for a busy machine."""
    async with asyncio.timeout(DEADLINES[name] + 2.0):
        return await call(port, name, request, account=account)


async def in_turn(port: int, asks: Iterable[tuple[str, str, int]]) -> list[tuple[int, dict[str, str]]]:
    """Answers to all of these, `AT_ONCE` under way at any moment: how fast they come hangs on the machine, so
    that it is never the machine's own slowness for which the gateway turns requests away."""
    free = asyncio.Semaphore(AT_ONCE)

    async def one(*ask: Any) -> tuple[int, dict[str, str]]:
        async with free:
            return await in_time(port, *ask)

    return await asyncio.gather(*(one(*ask) for ask in asks))


async def settled(front: ExtProcServer) -> None:
    """Nothing is left in the table, the core or the module."""
    calls = front.table
    async with asyncio.timeout(10.0):
        await until(
            lambda: not calls.requests_by_number and not calls.requests_by_id and not front.open_stream_count
        )
        await until(lambda: not calls.gateway.active_requests and not calls.gateway.attempts_in_flight)


def faulty(seed: int) -> Script:
    """A node at which all kinds of things go wrong."""
    kinds = (Kind.RESET, Kind.FAIL, Kind.REFUSE, Kind.VANISH)
    return Script([Fault(kind, 0.0, 1e9, 0.06) for kind in kinds], seed)


@pytest.mark.parametrize("tells", [True, False])
def test_a_proxys_requests_are_decided_and_each_has_one_answer(tells: bool) -> None:
    async def scenario() -> None:
        async with place([faulty(1), faulty(2), faulty(3)]) as one:
            proxy = one.proxy(tells=tells)
            await proxy.start()
            rng = random.Random(5)
            asks = [(rng.choice(list(TARGETS)), f"r{number}", number % 5) for number in range(150)]
            answers = await in_turn(proxy.port, asks)
            assert all(status for status, _ in answers)
            assert [status for status, _ in answers].count(200) > 100
            ran = {run.request_id.decode() for node in one.nodes for run in node.ran}
            for number, (status, told) in enumerate(answers):
                if told.get("x-glenchute-effect") == "none":
                    assert f"r{number}" not in ran, "a refusal after a try that ran"
                if status == 200:
                    assert f"r{number}" in ran
            assert charged_twice(one.nodes) == []
            await proxy.stop()
            await settled(one.front())

    play(scenario())


async def dying(one: Place, point: str) -> asyncio.subprocess.Process:
    """A proxy that kills itself at the third passing of this point."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lab.proxy", "--processor", f"127.0.0.1:{one.port}",
        "--die", f"{point}:3", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        cwd=Path(__file__).resolve().parents[3],
    )  # fmt: skip


def test_every_point_of_the_exchange_survives_a_proxys_kill() -> None:
    """The proxy is a process that kills itself with SIGKILL at the point; the client comes again by another
    proxy with the same id, as clients do. The nodes' books say what ran."""

    async def scenario() -> None:
        async with place() as one:
            coming = asyncio.create_task(dying(one, POINTS[0]))
            for point, following in zip(POINTS, (*POINTS[1:], ""), strict=True):
                died = await coming
                if following:  # it starts while this one works
                    coming = asyncio.create_task(dying(one, following))
                assert died.stdout is not None
                port = int(await died.stdout.readline())
                answers = [await call(port, "check-charge", f"{point}-{n}") for n in range(2)]
                assert [status for status, _ in answers] == [200, 200]
                lost = await call(port, "check-charge", f"{point}-2")
                assert lost == (0, {}) and await died.wait() == -signal.SIGKILL
                await settled(one.front())  # the dead proxy's call has met its fate
            assert charged_twice(one.nodes) == []
            ran = {run.request_id.decode() for node in one.nodes for run in node.ran}
            for point in POINTS:
                before = POINTS.index(point) < POINTS.index("bytes-left")
                assert (f"{point}-2" in ran) != before or point == "bytes-left"
            module: Any = one.programs[-1].gateway.decisions
            assert all(tenant.attempts_in_flight == 0 for tenant in module.quota.tenants.by_id.values())

    play(scenario())


@pytest.mark.parametrize("point", POINTS)
def test_every_point_of_the_exchange_survives_a_processors_kill(point: str, tmp_path: Path) -> None:
    """The processor is a process, killed when a charge has reached the point, and started anew at once with
    the same key; the proxy even tries again by itself."""

    async def scenario() -> None:
        key = tmp_path / "key"
        key.write_bytes(os.urandom(32))
        key.chmod(0o600)
        async with place(start=False) as one:
            more = f'token_key_file = "{key}"\nrestart_open = ["report-read", "check-order"]'
            platform = one.lab.platform()
            processes = one.processes
            await one.process(tmp_path, more, platform).ready()

            def kill(at: str, request: str) -> None:
                if at == point and request == "victim" and len(processes) == 1:
                    processes[0].signal(signal.SIGKILL)
                    assert processes[0].process is not None
                    processes[0].process.wait()
                    one.process(tmp_path, more, platform)

            proxy = one.proxy(at=kill, retries_alone=True, message_timeout_s=2.0)
            await proxy.start()
            assert (await call(proxy.port, "check-charge", "before"))[0] == 200
            status, told = await call(proxy.port, "check-charge", "victim")
            await processes[-1].ready()
            assert len(processes) == 2 and status
            assert told.get("x-glenchute-effect") != "none"
            row = next(row for row in proxy.log if row.request == "victim")
            assert len(row.nodes) <= 1, "reissued"
            assert charged_twice(one.nodes) == []
            async with asyncio.timeout(10.0):
                while (await call(proxy.port, "check-charge", "after"))[0] != 200:
                    await asyncio.sleep(0.05)
            await proxy.stop()
            assert await processes[-1].stop() == 0

    play(scenario())


def test_sigterm_ends_no_open_stream(tmp_path: Path) -> None:
    """GOAWAY: what is open is served to its end, and the process exits 0."""

    async def scenario() -> None:
        slow = Script([Fault(Kind.DELAY, 0.0, 1e9, 1.0, 0.8)])
        async with place([slow] * 3, start=False) as one:
            process = one.process(tmp_path)
            await process.ready()
            proxy = one.proxy(core=True)
            await proxy.start()
            asked = [asyncio.create_task(call(proxy.port, "check-charge", f"r{n}")) for n in range(20)]
            async with asyncio.timeout(10.0):
                await until(lambda: proxy.passed.get("bytes-left") == 20)
            assert await process.stop() == 0
            assert [status for status, _ in await asyncio.gather(*asked)] == [200] * 20
            await proxy.stop()

    play(scenario())


@pytest.mark.parametrize("habits", [{"other_node": 3}, {"half": 3}, {"stall": 5}, {"retries_alone": True}])
def test_proxies_with_bad_habits_break_no_rule(habits: dict[str, Any]) -> None:
    async def scenario() -> None:
        async with place([faulty(4), faulty(5), faulty(6)]) as one:
            proxy = one.proxy(**habits)
            await proxy.start()
            names = ("check-charge", "check-order", "report-read")
            asks = [(names[number % 3], f"r{number}", number % 5) for number in range(90)]
            answers = await in_turn(proxy.port, asks)
            assert all(status for status, _ in answers)
            assert charged_twice(one.nodes) == []
            await proxy.stop()
            await settled(one.front())

    play(scenario())


def test_a_unix_socket_and_two_proxies_with_one_id(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with place(start=False) as one:
            path = tmp_path / "s"
            config = build(one.lab.platform(), {})
            text = OPERATOR.format(port=1, more="").replace("127.0.0.1:1", f"unix:{path}")
            operator = parse(text, config.facts).config
            program = GatewayProgram(config, asyncio.get_running_loop(), operator=operator)
            await program.start()
            one.programs.append(program)
            proxies = [Proxy(f"unix:{path}") for _ in range(2)]
            for proxy in proxies:
                await proxy.start()
            both = await asyncio.gather(*(call(proxy.port, "check-charge", "same") for proxy in proxies))
            assert sorted(status for status, _ in both) == [200, 409]
            assert sum(len(node.ran) for node in one.nodes) == 1
            for proxy in proxies:
                await proxy.stop()
            await settled(one.front())

    play(scenario())


# --- the wire --------------------------------------------------------------------------------------------


def heads(request: str = "r", /, **more: bytes) -> Any:
    """A request's headers as a proxy sends them."""
    given = [
        (":method", b"POST"), (":path", b"/v1/charges"), ("x-account", ACCOUNT.encode()),
        ("x-plan", b"korporativni"), ("x-request-id", request.encode()),
    ]  # fmt: skip
    given = [(name, more.get(name.replace("-", "_"), value)) for name, value in given]
    known = {name.replace("-", "_") for name, _ in given}
    given += [(name.replace("_", "-"), value) for name, value in more.items() if name not in known]
    return message("request_headers", given)


HEADS = [
    ({}, None),
    ({"x_other": b"\xff\xfe\x00"}, None),  # nobody reads it
    ({"x_other": b"y" * 60_000}, None),
    ({"x_account": b"\xff" * 16}, "binary-x-account"),
    ({"x_account": b"1" * 60_000}, "long-x-account"),
    ({"x_account": b""}, "bad-account"),
    ({"x_plan": b"none"}, "unknown-plan"),
    ({"x_request_id": b"a b"}, "bad-id"),
    ({"x_request_id": b""}, None),
]


@pytest.mark.parametrize("more, reason", HEADS)
def test_headers_that_are_binary_absent_or_huge(more: dict[str, bytes], reason: str | None) -> None:
    async def scenario() -> None:
        async with place() as one:
            proxy = one.proxy()
            stream = Exchange(proxy, upstream=False)
            await stream.open()
            told = await stream.ask(heads(**more))
            if reason is None:
                assert told.dynamic_metadata["envoy.lb"]["x-gateway-destination-endpoint"]
                assert told.mode_override.response_header_mode == 1
            else:
                reply = told.immediate_response
                found = {one.header.key: one.header.raw_value.decode() for one in reply.headers.set_headers}
                assert found["x-glenchute-reason"] == reason and found["x-glenchute-effect"] == "none"
            await stream.close(clean=False)
            await proxy.stop()
            await settled(one.front())

    play(scenario())


def test_a_header_twice_is_not_taken_for_either() -> None:
    async def scenario() -> None:
        async with place() as one:
            proxy = one.proxy()
            stream = Exchange(proxy, upstream=False)
            await stream.open()
            said = heads()
            said.request_headers.headers.headers.add(key="X-Account", raw_value=b"00000000000003e9")
            told = await stream.ask(said)
            assert told.immediate_response.status.code == 400
            await stream.close()
            await proxy.stop()

    play(scenario())


def test_observability_mode_takes_nothing_and_is_not_answered() -> None:
    async def scenario() -> None:
        async with place() as one:
            proxy = one.proxy()
            stream = Exchange(proxy, upstream=False)
            await stream.open()
            said = heads()
            said.observability_mode = True
            await stream.stream.send_message(said)
            await stream.stream.send_message(pb.ProcessingRequest())  # nor is one with nothing in it
            await stream.stream.end()
            assert await stream.stream.recv_message() is None
            assert one.front().table.last_number == 0
            await proxy.stop()

    play(scenario())


def test_fuzzed_bytes_end_no_process() -> None:
    """Noise on the socket, noise in frames, noise in messages: the next proxy is served as ever."""

    async def scenario() -> None:
        async with place() as one:
            rng = random.Random(11)
            preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
            for _ in range(60):
                _, writer = await asyncio.open_connection("127.0.0.1", one.port)
                noise = rng.randbytes(rng.randrange(1, 400))
                kind = bytes([rng.randrange(12)])
                frame = len(noise).to_bytes(3, "big") + kind + b"\x05" + (1).to_bytes(4, "big") + noise
                writer.write(rng.choice([noise, preface + noise, preface + frame]))
                await asyncio.sleep(0.002)
                writer.transport.abort()
            proxy = one.proxy()
            for _ in range(40):
                method = grpclib.client.StreamStreamMethod(
                    proxy.channel, "/envoy.service.ext_proc.v3.ExternalProcessor/Process", Raw, Raw
                )
                with pytest.raises((grpclib.GRPCError, grpclib.exceptions.StreamTerminatedError)):
                    async with method.open() as stream:
                        await stream.send_message(Raw(b"\xff" + rng.randbytes(40)), end=True)
                        await stream.recv_message()
                        raise grpclib.exceptions.StreamTerminatedError("answered in order")
            await proxy.start()
            assert (await call(proxy.port, "check-charge", "after"))[0] == 200
            await proxy.stop()
            await settled(one.front())

    play(scenario())


class Raw:
    """A message of any bytes."""

    def __init__(self, data: bytes = b"") -> None:
        self.data = data

    def SerializeToString(self) -> bytes:  # noqa: N802
        return self.data

    @classmethod
    def FromString(cls, data: bytes) -> Raw:  # noqa: N802
        return cls(data)


def test_a_thousand_open_streams_on_one_connection_and_one_that_is_not_read() -> None:
    async def scenario() -> None:
        async with place() as one:
            proxy = one.proxy()
            streams = [Exchange(proxy, upstream=False) for _ in range(1000)]
            for at, stream in enumerate(streams):
                await stream.open()
                await stream.stream.send_message(heads(f"r{at}"))  # whose answers nobody reads yet
            async with asyncio.timeout(20.0):
                await until(lambda: one.front().table.last_number == 1000)
            told = [await stream.stream.recv_message() for stream in streams]
            admitted = sum(not answer.HasField("immediate_response") for answer in told)
            assert 0 < admitted < 1000  # within the account's quota; the others were refused at once
            await proxy.stop()
            await settled(one.front())

    play(scenario())


@pytest.mark.parametrize("shown", ["none", "another", "signed"])
def test_with_a_client_ca_only_a_proxy_that_shows_its_certificate_gets_in(shown: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        authority, other = trustme.CA(), trustme.CA()
        own = authority.issue_cert("localhost")
        for name, blob in (
            ("cert", own.cert_chain_pems[0]), ("key", own.private_key_pem), ("ca", authority.cert_pem),
        ):  # fmt: skip
            blob.write_to_path(str(tmp_path / name))
        (tmp_path / "key").chmod(0o600)
        files = {"certificate": "cert", "key": "key", "client_ca": "ca"}
        more = "tls = { " + ", ".join(f'{key} = "{tmp_path / name}"' for key, name in files.items()) + " }"
        async with place(more=more) as one:
            theirs = (other if shown == "another" else authority).issue_cert("proxy@example.org")
            pair = (theirs.private_key_pem.bytes(), theirs.cert_chain_pems[0].bytes())
            made = grpc.ssl_channel_credentials(
                authority.cert_pem.bytes(), *(pair if shown != "none" else (None, None))
            )
            async with grpc.aio.secure_channel(f"localhost:{one.port}", made) as channel:
                ask = channel.stream_stream(
                    METHOD,
                    request_serializer=pb.ProcessingRequest.SerializeToString,
                    response_deserializer=pb.ProcessingResponse.FromString,
                )
                stream = ask(timeout=5.0)
                if shown == "signed":
                    await stream.write(heads())
                    told: Any = await stream.read()
                    assert told.HasField("request_headers")
                    stream.cancel()
                else:
                    with pytest.raises((grpc.RpcError, asyncio.InvalidStateError)):
                        await stream.write(heads())
                        await stream.read()
                    assert one.front().table.last_number == 0

    play(scenario())


def test_a_reader_without_a_window_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """HTTP/2's flow control at its worst: the proxy asks 50 times and grants no byte for the answers. Each
    stream holds one answer at most, and ends with its call."""
    monkeypatch.setattr(server_module, "WRITE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.1)

    async def scenario() -> None:
        async with place() as one:
            _, writer = await asyncio.open_connection("127.0.0.1", one.port)
            conn = h2.connection.H2Connection()
            conn.local_settings[h2.settings.SettingCodes.INITIAL_WINDOW_SIZE] = 0
            conn.initiate_connection()
            for at in range(50):
                stream = conn.get_next_available_stream_id()
                given = [
                    (":method", "POST"), (":scheme", "http"), (":authority", "x"), (":path", METHOD),
                    ("te", "trailers"), ("content-type", "application/grpc"),
                ]  # fmt: skip
                conn.send_headers(stream, given)
                said = heads(f"r{at}").SerializeToString()
                conn.send_data(stream, b"\0" + len(said).to_bytes(4, "big") + said)
            writer.write(conn.data_to_send())
            async with asyncio.timeout(10.0):
                await until(lambda: one.front().table.last_number == 50)
                assert one.front().stream_guards
                await until(lambda: not one.front().stream_guards)
            await settled(one.front())
            proxy = one.proxy()
            await proxy.start()
            assert (await call(proxy.port, "check-charge", "after", account=7))[0] == 200
            await proxy.stop()
            writer.transport.abort()

    play(scenario())


# --- rate limit calls ------------------------------------------------------------------------------------


def question(account: str, plan: str = "osnovni", domain: str = "glenchute", hits: int = 0) -> Any:
    """A call with a descriptor of another limiter first."""
    made = rls_pb2.RateLimitRequest(domain=domain, hits_addend=hits)
    made.descriptors.add().entries.add(key="remote_address", value="127.0.0.1")
    entries = made.descriptors.add().entries
    entries.add(key="account", value=account)
    entries.add(key="plan", value=plan)
    return made


def test_the_rate_limit_service_holds_the_same_quotas() -> None:
    async def scenario() -> None:
        async with place() as one, grpc.aio.insecure_channel(f"127.0.0.1:{one.port}") as channel:
            ask = channel.unary_unary(
                "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit",
                request_serializer=rls_pb2.RateLimitRequest.SerializeToString,
                response_deserializer=rls_pb2.RateLimitResponse.FromString,
            )
            ok, over = rls_pb2.RateLimitResponse.OK, rls_pb2.RateLimitResponse.OVER_LIMIT
            told = [await ask(question(ACCOUNT)) for _ in range(12)]
            codes = [answer.overall_code for answer in told]
            assert codes[:6] == [ok] * 6 and codes[-1] == over  # six at once, two a second
            assert [status.code for status in told[-1].statuses] == [ok, over]
            assert told[-1].statuses[1].duration_until_reset.ToMilliseconds() > 0
            assert told[-1].response_headers_to_add[0].key == "retry-after"
            # What was taken here is gone for requests too: one quota.
            proxy = one.proxy()
            await proxy.start()
            status, given = await call(proxy.port, "report-read", "r", plan="osnovni")
            assert status == 429 and given["x-glenchute-effect"] == "none"
            assert (await ask(question("00000000000003e9", hits=500))).overall_code == over
            assert (await ask(question("00000000000003ea", domain="other"))).overall_code == ok
            assert (await ask(question("not an account"))).overall_code == ok
            module: Any = one.programs[-1].gateway.decisions
            await until(lambda: not module.execution.requests and not module.execution.attempts)
            assert all(tenant.attempts_in_flight == 0 for tenant in module.quota.tenants.by_id.values())
            await proxy.stop()

    play(scenario())


# --- where it does not start -----------------------------------------------------------------------------


def open_key(tmp_path: Path) -> str:
    path = tmp_path / "key"
    path.write_bytes(b"x" * 32)
    path.chmod(0o644)
    return f'token_key_file = "{path}"'


def short_key(tmp_path: Path) -> str:
    path = tmp_path / "key"
    path.write_bytes(b"x" * 31)
    path.chmod(0o600)
    return f'token_key_file = "{path}"'


@pytest.mark.parametrize(
    "spoil, says",
    [
        (open_key, "chmod 600"),
        (short_key, "32 random"),
        (lambda path: 'token_key_file = "/none"', "can't read"),
    ],
)
def test_a_front_that_can_not_work_does_not_start(
    spoil: Callable[[Path], str], says: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with place(start=False) as one:
            process = one.process(tmp_path, spoil(tmp_path))
            assert process.process is not None
            async with asyncio.timeout(10.0):
                await until(lambda: process.process is not None and process.process.poll() is not None)
            assert process.process.returncode == 2 and says in process.log.read_text()

    play(scenario())


def test_the_settings_of_the_lab_are_the_platforms() -> None:
    assert {row["name"] for row in SETTINGS["profiles"]} == set(TARGETS)
