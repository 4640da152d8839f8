"""Reading the operator's file again in the background: requests in the meantime, several reloads, errors,
and shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import pytest

import glenchute.config.operator as operators
from glenchute.cli import background_reload
from glenchute.cli.background_reload import (
    SLEEP_S,
    SWITCH_INTERVAL_S,
    THREAD_NAME,
    WORK_SLICE_S,
    BackgroundReload,
    TimeSlices,
)
from glenchute.cli.operator_reload import WARNINGS_PER_TURN, OperatorReload, reload_operator_file
from glenchute.cli.program import GatewayProgram
from glenchute.config.facts import PlatformFacts
from glenchute.config.operator import ReadResult
from lab.faults import Fault, FaultKind, FaultScript
from lab.nodes import Node, ServiceProfile
from lab.site import GatewayProcess, LabSite
from tests.loopback import CUSTOMER, GET, SERVED, Site, reply_with, run_scenario, site, wait_until

ROOT = Path(__file__).resolve().parents[2]
REJECTED = "the operator's file in force stays"
READ_AGAIN = "the operator's file was read again"


def reload_of(program: GatewayProgram) -> OperatorReload:
    """Returns the program's reload, which must have been requested."""
    assert program.operator_reload is not None
    return program.operator_reload


def reads(name: str, attempts: int = 2) -> str:
    return f"[[route]]\nname = '{name}'\nmatch = {{ class = 'read' }}\nattempts = {attempts}\n"


class BlockedRead:
    """Replaces `read`: each call blocks, once it has the file's text, until the test releases it."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.real = operators.read
        self.started, self.was_released = 0, True
        self.released = threading.Event()
        patch.setattr(operators, "read", self.read)

    def read(
        self, path: str, facts: PlatformFacts | None, yield_processor: Callable[[], None] | None = None
    ) -> ReadResult:
        result = self.real(path, facts, yield_processor)
        self.started += 1
        # False if the read was not released in time, as when it blocks the loop that runs the test.
        self.was_released &= self.released.wait(20.0)
        return result


def bound_route(gateway_site: Site) -> str:
    """Returns the name of the route that binds reads."""
    routes = gateway_site.program.gateway.routes
    assert routes is not None
    return routes.limits_by_binding["read", "basic"].name


def test_requests_are_answered_while_a_file_is_read_and_the_last_file_wins(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    file = tmp_path / "operator.toml"

    async def scenario() -> None:
        async with site(reply_with(SERVED), operator=reads("first")) as gateway_site:
            program = gateway_site.program
            blocked = BlockedRead(monkeypatch)

            def reread(text: str) -> None:
                file.write_text(text)
                program.reread_operator_file(str(file), program.config)

            reread(reads("second"))
            await wait_until(lambda: blocked.started == 1)
            assert sys.getswitchinterval() == pytest.approx(SWITCH_INTERVAL_S) and not gc.isenabled()
            reread(reads("third"))
            reread(reads("fourth"))
            client = await gateway_site.client()
            assert await client.ask(b"CALL.GET", CUSTOMER, b"1", GET) == b"value"
            assert bound_route(gateway_site) == "first" and blocked.started == 1
            blocked.released.set()
            await wait_until(lambda: bound_route(gateway_site) == "fourth")
            # The third file was superseded, and none is read twice.
            assert blocked.started == 2 and blocked.was_released
            reload = reload_of(program).background
            await wait_until(lambda: reload is not None and not reload.is_busy)
            assert sys.getswitchinterval() > SWITCH_INTERVAL_S and gc.isenabled()

    run_scenario(scenario())


def test_an_invalid_file_changes_nothing_and_all_errors_are_logged(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """An exception while reading, or a thread that can't be started, changes nothing either and is logged.
    The next valid file is applied."""
    file = tmp_path / "operator.toml"
    caplog.set_level(logging.INFO, "glenchute")

    async def scenario() -> None:
        async with site(reply_with(SERVED), operator=reads("first")) as gateway_site:
            program = gateway_site.program

            def rejection_messages() -> list[str]:
                return [record.getMessage() for record in caplog.records if REJECTED in record.getMessage()]

            async def reload_rejected(text: str) -> str:
                before = len(rejection_messages())
                file.write_text(text)
                program.reread_operator_file(str(file), program.config)
                await wait_until(lambda: len(rejection_messages()) > before)
                assert (
                    bound_route(gateway_site) == "first"
                    and sys.getswitchinterval() > SWITCH_INTERVAL_S
                    and gc.isenabled()
                )
                return rejection_messages()[-1]

            invalid_text = "".join(reads(f"r{n}", attempts=7) for n in range(300))
            lines = (await reload_rejected(invalid_text)).splitlines()
            assert sum("error equal-rank" in line for line in lines) == 299
            assert any("error attempts-over-cap: route[0].attempts" in line for line in lines)
            assert "error not-toml" in await reload_rejected("[[route]\n")
            with monkeypatch.context() as patched:

                def fail_to_read(*_: object) -> ReadResult:
                    raise MemoryError("no more")

                patched.setattr(operators, "read", fail_to_read)
                assert "no more" in await reload_rejected(reads("second"))
            with monkeypatch.context() as patched:

                def fail_to_start(*_: object, **__: object) -> None:
                    raise RuntimeError("can't start new thread")

                patched.setattr(threading.Thread, "start", fail_to_start)
                assert "can't start new thread" in await reload_rejected(reads("second"))
            program.reread_operator_file(str(file), program.config)
            await wait_until(lambda: bound_route(gateway_site) == "second")

    run_scenario(scenario())


def test_warnings_are_logged_some_lines_per_turn(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    file = tmp_path / "operator.toml"
    caplog.set_level(logging.INFO, "glenchute")
    count = 2 * WARNINGS_PER_TURN + 20
    file.write_text(reads("r0", attempts=1) + "backoff = { first_ms = 5 }\n")

    async def scenario() -> None:
        async with site(reply_with(SERVED), operator=reads("first")) as gateway_site:
            program = gateway_site.program
            program.reread_operator_file(str(file), program.config)
            await wait_until(lambda: any(READ_AGAIN in record.getMessage() for record in caplog.records))
            (line,) = [r.getMessage() for r in caplog.records if "warning" in r.getMessage()]
            assert "backoff-unused: route[0].backoff" in line
            caplog.clear()
            result = reload_operator_file(str(file), program.config)
            result = result._replace(warnings=[f"w{n}" for n in range(count)])
            reload_of(program).apply(result)
            assert len(caplog.records) == WARNINGS_PER_TURN and bound_route(gateway_site) == "r0"
            await wait_until(lambda: len(caplog.records) > count)
            assert [r.getMessage() for r in caplog.records] == [*result.warnings, READ_AGAIN]

    run_scenario(scenario())


def test_the_loop_runs_while_thousands_of_routes_are_read(tmp_path: Path) -> None:
    """Counts iterations of the loop while the file is being read; if it were read on the loop, there would be
    none."""
    file = tmp_path / "operator.toml"
    file.write_text("".join(reads(f"r{n}") for n in range(2_700)))

    async def scenario() -> None:
        async with site(reply_with(SERVED), operator=reads("first")) as gateway_site:
            program, iterations = gateway_site.program, 0
            program.reread_operator_file(str(file), program.config)
            while (background := reload_of(program).background) is not None and background.is_busy:
                iterations += 1
                await asyncio.sleep(0)
            assert iterations > 20 and bound_route(gateway_site) == "first"

    run_scenario(scenario())


def test_no_result_is_reported_to_a_closed_loop() -> None:
    reported: list[bool | Exception] = []
    loop, release = asyncio.new_event_loop(), threading.Event()
    background: BackgroundReload[bool] = BackgroundReload(loop, reported.append)
    background.submit(lambda: release.wait(20.0))
    loop.close()
    release.set()
    for thread in [t for t in threading.enumerate() if t.name == THREAD_NAME]:
        thread.join(20.0)
        assert not thread.is_alive()
    background_reload.interpreter_settings.end()
    assert reported == [] and sys.getswitchinterval() > SWITCH_INTERVAL_S


def test_work_in_parts_sleeps_when_its_slice_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    now, sleeps = 5.0, list[float]()

    def sleep(seconds: float) -> None:
        nonlocal now
        sleeps.append(seconds)
        now += seconds

    monkeypatch.setattr(background_reload, "time", SimpleNamespace(perf_counter=lambda: now, sleep=sleep))
    slices = TimeSlices()
    for _ in range(100):
        now += WORK_SLICE_S / 4.0
        slices.yield_if_over()
    assert 20 <= len(sleeps) <= 25 and set(sleeps) == {SLEEP_S}


BLOCK_SECOND_READ = """\
import sys, threading
import glenchute.config.operator as operators
real, count = operators.read, 0
def read(path, facts, rest=None):
    global count
    count += 1
    if count > 1:
        print("a read that does not end", file=sys.stderr, flush=True)
        threading.Event().wait()
    return real(path, facts, rest)
operators.read = read
"""


def test_a_stop_while_a_file_is_read_exits_cleanly(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    (tmp_path / "sitecustomize.py").write_text(BLOCK_SECOND_READ)
    monkeypatch.setenv("PYTHONPATH", f"{tmp_path}:{ROOT}")
    silent_nodes = [
        Node("n0", ServiceProfile({"report-read": 1.0}), FaultScript([Fault(FaultKind.VANISH, 0.0, 1e9)]))
    ]

    async def scenario() -> None:
        async with LabSite(silent_nodes) as lab:
            gateway = GatewayProcess(tmp_path, lab.platform(), reads("r").replace("read", "report-read"))
            gateway.start()
            try:
                await gateway.ready()
                gateway.send_signal(signal.SIGHUP)
                await wait_until(lambda: "does not end" in gateway.log_file.read_text())
                gateway.send_signal(signal.SIGHUP)
                await gateway.ready()  # the gateway still responds
            finally:
                assert await gateway.stop(15.0) == 0
            log = gateway.log_file.read_text()
            assert "has ended" in log and "Traceback" not in log and "Fatal" not in log

    run_scenario(scenario())
