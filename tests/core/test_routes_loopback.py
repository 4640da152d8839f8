"""Routes over loopback sockets, and the whole program with an operator's file."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from itertools import pairwise
from pathlib import Path

import pytest

from lab.child_processes import end_with_parent
from lab.faults import Fault, FaultKind, FaultScript
from lab.nodes import Node, ServiceProfile
from lab.peers import Client, run_scenario, wait_until
from lab.site import SETTINGS, GatewayProcess, LabSite, with_longer_deadlines
from tests.loopback import CHARGE, CUSTOMER, GET, ORDER, SERVED, reply_with, site

ROOT = Path(__file__).resolve().parents[2]
TWO_ROUTES = """\
[[route]]
name = "reads"
match = { class = "read" }
attempt_timeout_ms = 150
attempts = 1

[[route]]
name = "charges"
match = { class = "charge" }
attempt_timeout_ms = 450
attempts = 1
"""


def test_two_routes_really_differ_on_the_sockets() -> None:
    """The two routes differ in the timeout that servers are told, the close of the connection, and the time
    of the client's reply."""

    async def scenario() -> None:
        async with site(reply_with(None), operator=TWO_ROUTES) as gateway_site:
            loop = asyncio.get_running_loop()
            durations_s: dict[str, float] = {}

            async def ask(name: str, *words: bytes) -> None:
                client, started_at = await gateway_site.client(), loop.time()
                assert str(await client.ask(*words)) == "ERR failed"
                durations_s[name] = loop.time() - started_at

            await asyncio.gather(
                ask("read", b"CALL.GET", CUSTOMER, b"1", GET),
                ask("charge", b"CALL.POST", CUSTOMER, b"2", CHARGE, b"body"),
            )
            assert 0.145 <= durations_s["read"] < durations_s["charge"] and durations_s["charge"] >= 0.44
            calls = gateway_site.servers[0].calls()
            stated_ms = {words[2]: int(words[3].split(b"d=")[1].split(b",")[0]) for words in calls}
            assert stated_ms[b"1"] <= 150 < stated_ms[b"2"] <= 450
            await wait_until(
                lambda: sum(1 for kind, _, _ in gateway_site.servers[0].log if kind == "closed") == 2
            )

    run_scenario(scenario())


def test_backoffs_and_retryable_causes_hold_on_the_wire() -> None:
    """A rejection is retried after the backoff; an error is not, since the route does not name that cause."""
    rows = "attempts = 3\nbackoff = { first_ms = 120, factor = 1.0 }\nretry_on = ['full']\n"
    text = f"[[route]]\nname = 'reads'\nmatch = {{ class = 'read' }}\n{rows}"

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        arrivals: list[float] = []

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            arrivals.append(loop.time())
            return b"-BUSY\r\n" if len(arrivals) < 3 else b"-ERR failed\r\n"

        async with site(reply, operator=text) as gateway_site:
            client = await gateway_site.client()
            assert str(await client.ask(b"CALL.GET", CUSTOMER, b"1", GET)) == "ERR failed"
            assert len(arrivals) == 3
            assert all(later - earlier >= 0.12 for earlier, later in pairwise(arrivals))

    run_scenario(scenario())


def test_an_unsafe_request_is_not_repeated_whatever_a_route_leaves_open() -> None:
    text = "[[route]]\nname = 'charges'\nmatch = { class = 'charge' }\nattempts = 4\n"

    async def scenario() -> None:
        async with site(reply_with(b"-ERR failed\r\n"), operator=text) as gateway_site:
            client = await gateway_site.client()
            assert str(await client.ask(b"CALL.POST", CUSTOMER, b"1", CHARGE, b"x")) == "ERR failed"
            assert len(gateway_site.servers[0].calls()) == 1

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("words", "expected_fields"),
    [
        ((b"CALL.GET", CUSTOMER, b"7", GET), b"c=read,t=basic,d=%d,units=2,spread=2,first=1"),
        ((b"CALL.POST", CUSTOMER, b"7", ORDER, b"a body"), b"c=order,t=basic,d=%d,k=5c0f6e1a2b3d4c59"),
        ((b"CALL.POST", CUSTOMER, b"7", CHARGE, b""), b"c=charge,t=basic,d=%d"),
    ],
)
def test_without_an_operators_file_commands_are_forwarded_unchanged(
    words: tuple[bytes, ...], expected_fields: bytes
) -> None:
    """Servers get the commands byte for byte, except for the time left, which only decreases."""

    async def scenario() -> None:
        async with site(reply_with(SERVED)) as gateway_site:
            client = await gateway_site.client()
            assert await client.ask(*words) == b"value"
            (received,) = gateway_site.servers[0].calls()
            left_ms = int(received[3].split(b"d=")[1].split(b",")[0])
            assert 1 <= left_ms <= 20_000
            assert received == [*words[:3], expected_fields % left_ms, *words[4:]]

    run_scenario(scenario())


def silent_node() -> list[Node]:
    """Returns a node that accepts commands and never replies."""
    faults = [Fault(FaultKind.VANISH, 0.0, 1e9)]
    return [Node("n0", ServiceProfile({"report-read": 1.0}), FaultScript(faults))]


def reads(timeout_ms: int) -> str:
    rows = f"attempts = 1\nattempt_timeout_ms = {timeout_ms}\n"
    return f"[[route]]\nname = 'r'\nmatch = {{ class = 'report-read' }}\n{rows}"


def test_sighup_applies_a_valid_operators_file_and_ignores_an_invalid_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with LabSite(silent_node()) as lab:
            platform = lab.platform({**SETTINGS, **with_longer_deadlines()})
            gateway = GatewayProcess(tmp_path, platform, reads(100))
            gateway.start()
            try:
                await gateway.ready()
                numbers = iter(range(1000))

                async def request_duration_s() -> float:
                    client, started_at = await Client.connect(gateway.port), loop.time()
                    fields = b"c=report-read,t=korporativni,d=20000"
                    await client.ask(b"CALL.GET", CUSTOMER, b"%d" % next(numbers), fields)
                    client.writer.close()
                    return loop.time() - started_at

                assert 0.09 <= await request_duration_s() < 1.48
                gateway.operator_file.write_text(reads(100) + "second_copy_after_ms = 50\nattempts = 7\n")
                gateway.send_signal(signal.SIGHUP)
                await wait_until(lambda: "operator's file in force stays" in gateway.log_file.read_text())
                assert 0.09 <= await request_duration_s() < 1.48
                gateway.operator_file.write_text(reads(1500))
                gateway.send_signal(signal.SIGHUP)
                await wait_until(lambda: "operator's file was read again" in gateway.log_file.read_text())
                assert await request_duration_s() >= 1.48
                assert "waits for a restart" not in gateway.log_file.read_text()
                tables = f"[capture]\nfolder = '{tmp_path}'\n[fronts.extproc]\nlisten = 'unix:/nowhere'\n"
                request_map = (
                    "account = 'header:a'\nplan = 'header:p'\nclass = 'header:c'\nkey = 'header:k'\n"
                )
                gateway.operator_file.write_text(f"{tables}[fronts.extproc.map]\n{request_map}{reads(500)}")
                gateway.send_signal(signal.SIGHUP)
                message = "[fronts], [pipeline] and [subset] waits for a restart"
                await wait_until(lambda: message in gateway.log_file.read_text())
            finally:
                assert await gateway.stop() == 0

    run_scenario(scenario())


def demo(*arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "glenchute", "demo", *arguments], cwd=ROOT, text=True,
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, env={**os.environ, "PYTHONPATH": str(ROOT)},
        preexec_fn=end_with_parent,
    )  # fmt: skip


def test_the_demo_ends_by_itself_with_its_table() -> None:
    process = demo("--seconds", "3", "--rate", "60")
    out, _ = process.communicate(timeout=40)
    assert process.returncode == 0, out
    assert "charges run twice: 0; answers lost: 0; the gateway's exit status: 0" in out
    for kind in ("report-read", "check-order", "check-charge"):
        (line,) = [line for line in out.splitlines() if line.startswith(kind)]
        assert int(line.split()[2]) > 0  # served


def test_the_demo_ends_cleanly_on_an_interrupt() -> None:
    process = demo("--seconds", "60")
    assert process.stdout is not None
    assert "nodes, one gateway" in process.stdout.readline()
    process.send_signal(signal.SIGINT)
    out, _ = process.communicate(timeout=20)
    assert process.returncode == 0, out
    assert "stopped early" in out and "Traceback" not in out


def test_the_demo_rejects_arguments_out_of_range() -> None:
    process = demo("--rate", "100000")
    process.communicate(timeout=20)
    assert process.returncode == 2
