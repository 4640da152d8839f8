"""`[pipeline]` at load, on the command line, in captures."""

from __future__ import annotations

import asyncio
import importlib.util
import json
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from glenchute.capture.codec import decode_event
from glenchute.capture.replay import find_runs, replay
from glenchute.capture.replay import read_segment as read_segment
from glenchute.config.facts import PlatformFacts
from glenchute.config.operator import parse
from glenchute.policy.events import AttemptAssigned, AttemptEnded, Event, Outcome
from glenchute.policy.retries.route_limits import (
    RequestRetries,
    RetryBudgetSettings,
    RouteLimits,
    RouteRetryBudget,
)
from tests.loopback import always, play, raw_config, site
from tests.sites import FACTS, NO_SCOPE
from tests.upstreams.test_pipelined_servers import ScriptedServer, burst, pipelined_site, reads

ROOT = Path(__file__).resolve().parents[2]
HERE = replace(FACTS, max_streams=32)
READS = '[pipeline]\nclasses = "report-read"\n'
ROUTE = '[[route]]\nname = "r"\nmatch = { class = "report-read" }\n'

WRONG: list[tuple[str, str, int, PlatformFacts]] = [
    ("[pipeline]\ndepth = 4\n", "missing-key", 1, HERE),
    (READS + "depth = 33\n", "depth-over-settings", 3, HERE),
    (READS + "depth = 1\n", "depth-of-one", 3, HERE),
    (READS + "depth = 2.5\n", "wrong-type", 3, HERE),
    (READS + "deep = 2\n", "unknown-key", 3, HERE),
    (READS, "depth-over-settings", 1, replace(FACTS, max_streams=3)),  # the depth that is not written is 4
    (READS + ROUTE + "pipeline_depth = 33\n", "depth-over-settings", 6, HERE),
    ('[pipeline]\nclasses = ["report-read", "check-charge"]\n', "unsafe-shares", 2, HERE),
    ('[pipeline]\nclasses = ["report-read", "check-chess"]\n', "unknown-class", 2, HERE),
    ('[pipeline]\nclasses = ["check-order"]\n', "keyed-scope", 2, replace(NO_SCOPE, max_streams=32)),
    ('[pipeline]\nclasses = ["check-order"]\nleast_stall_ms = 2500\n', "keyed-beyond-memory", 2, HERE),
    ("[pipeline]\nclasses = []\n", "empty-list", 2, HERE),
    (READS + "wait_ms = 400\n" + ROUTE + "attempt_timeout_ms = 400\n", "wait-over-timeout", 3, HERE),
    (READS + ROUTE + "attempt_timeout_ms = 4\n", "wait-over-timeout", 1, HERE),
    (READS + "wait_ms = 3000\n", "wait-over-timeout", 3, HERE),
    (READS + "settle_ms = 9000\n", "settle-over-idle", 3, replace(HERE, idle_timeout_ms=9000.0)),
    (READS + "gather = 0\n", "out-of-range", 3, HERE),
    (READS + "gather_bytes = 1\n", "out-of-range", 3, HERE),
    (READS + "stall_quantile = 1.0\n", "out-of-range", 3, HERE),
    (READS + "stall_factor = 0.9\n", "out-of-range", 3, HERE),
    (READS + "at_risk = 0\n", "out-of-range", 3, HERE),
    (READS + "behind_unsafe = 1\n", "wrong-type", 3, HERE),
    (READS, "no-second-attempt", 1, replace(HERE, max_attempts=1)),
    (ROUTE + "pipeline_depth = 2\n", "depth-unused", 4, HERE),
    (READS + ROUTE.replace("report-read", "check-order") + "pipeline_depth = 2\n", "depth-unused", 6, HERE),
]


@pytest.mark.parametrize("case", WRONG, ids=lambda case: f"{case[1]}-{case[0][-24:]!r}")
def test_a_wrong_table_fails_with_its_code_and_line(case: tuple[str, str, int, PlatformFacts]) -> None:
    text, code, line, facts = case
    reading = parse(text, facts)
    assert reading.config is None
    assert (code, line) in [(finding.code, finding.line) for finding in reading.findings], reading.findings


def test_a_sound_table_loads_and_routes_bound_the_depth() -> None:
    text = READS + "depth = 8\nbehind_unsafe = true\n" + ROUTE + "pipeline_depth = 2\n"
    reading = parse(text, HERE)
    assert reading.config is not None and not reading.findings
    assert reading.config.pipeline == {"classes": ("report-read",), "depth": 8, "behind_unsafe": True}
    assert reading.config.bindings["report-read", "standard"].max_pipeline_depth == 2
    assert parse(READS + "depth = 400\n", FACTS).config is not None  # the platform does not say how many


@pytest.mark.parametrize(
    ("attempts", "causes", "started", "again"),
    [
        (0, None, 5, True), (3, None, 2, True), (3, None, 3, False),
        (0, frozenset({Outcome.REJECTED}), 1, False), (0, frozenset({Outcome.RESET}), 1, True),
    ],
)  # fmt: skip
def test_a_route_that_leaves_no_further_attempt_keeps_it_alone(
    attempts: int, causes: frozenset[Outcome] | None, started: int, again: bool
) -> None:
    import random

    rule = RetryBudgetSettings(0.0)
    course = RequestRetries(
        RouteLimits("r", max_attempts=attempts, retryable_outcomes=causes),
        RouteRetryBudget(rule, 0.0),
        random.Random(1),
    )
    course.started_attempts = started
    assert course.may_retry_after(Outcome.RESET) is again


@pytest.fixture(name="platform")
def platform_file(tmp_path: Path) -> str:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1, 2, [])))
    return str(path)


def told(*words: str) -> subprocess.CompletedProcess[str]:
    environ = {key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "GLENCHUTE_"))}
    return subprocess.run(
        [sys.executable, "-m", "glenchute", *words],
        capture_output=True, text=True, cwd=ROOT, env=environ, timeout=30, check=False,
    )  # fmt: skip


@pytest.mark.parametrize(
    ("text", "status", "expected"),
    [
        ('[pipeline]\nclasses = ["read"]\nbehind_unsafe = true\n', 0, "read  charge  whole"),
        ('[pipeline]\nclasses = ["read", "order"]\n', 0, "order  read    yes"),
        ('[pipeline]\nclasses = ["read"]\n', 0, "order  read    no"),
        ("[defaults]\nattempts = 2\n", 0, "a connection to itself"),
        ('[pipeline]\nclasses = ["charge"]\n', 2, "unsafe-shares"),
    ],
)
def test_the_table_can_be_printed(
    tmp_path: Path, platform: str, text: str, status: int, expected: str
) -> None:
    operator = tmp_path / "operator.toml"
    operator.write_text(text)
    found = told("pipeline", "--operator", str(operator), "--platform", platform)
    assert found.returncode == status and expected in found.stdout + found.stderr
    assert told("pipeline", "--operator", str(operator)).returncode == 2  # of no platform


def test_a_file_without_the_table_imports_none_of_it(platform: str) -> None:
    """Whoever does not share connections pays nothing for it."""
    unused = (
        "glenchute.cli.pipelined_upstream",
        "glenchute.upstreams.pipeline_runtime",
        "glenchute.upstreams.pipelined_servers",
        "glenchute.policy.connections.pipelining",
        "glenchute.policy.connections.pipeline_types",
        "glenchute.policy.connections.service_times",
    )
    assert all(
        importlib.util.find_spec(name) for name in unused
    )  # else the check below would hold for any name
    code = f"import sys, glenchute.cli.run; sys.exit(not sys.modules.keys().isdisjoint({unused!r}))"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


def captured(tmp_path: Path) -> list[Event]:
    """What a gateway that shares connections told its module, after a replay found each decision equal."""
    files = [file for run in find_runs(tmp_path).values() for file in run]
    for run in find_runs(tmp_path).values():
        report = replay(run)
        assert report.records > 10 and not report.differences and not report.notes
    return [decode_event(record) for file in files for record in read_segment(file).records]


def test_a_capture_tells_where_attempts_went_and_replays(tmp_path: Path) -> None:
    """With a stalled head, a cut line and what goes again after it: bit for bit, and with the reasons."""
    operator = ('[pipeline]\nclasses = ["read"]\ndepth = 8\nat_risk = 16\nsettle_ms = 0\n'
                f'[capture]\nfolder = "{tmp_path}"\nmode = "disk"\n')  # fmt: skip

    async def scenario() -> None:
        stuck = ScriptedServer()
        async with pipelined_site(stuck, operator=operator) as (one, lines):
            client = await one.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            for _ in range(3):
                stuck.answers = len(stuck.ran) >= 3
                await asyncio.sleep(0.05)
            stuck.answers = True
            assert {await client.reply() for _ in range(3)} == {b"a", b"b", b"c"}
            assert lines.scheduler.counts["condemned"] == 1

    play(scenario())
    events = captured(tmp_path)
    placed = [event for event in events if isinstance(event, AttemptAssigned)]
    assert len(placed) >= 6 and "joins line 1 behind 2" in placed[2].reason
    resets = [event for event in events if isinstance(event, AttemptEnded)]
    assert [event.outcome for event in resets[:3]] == [Outcome.RESET] * 3
    story = told("replay", str(tmp_path), "--explain", placed[2].request_id)
    assert story.returncode == 0 and "joins line 1 behind 2" in story.stdout


def test_without_a_capture_nobody_is_told_of_places() -> None:
    async def scenario() -> None:
        async with site(always(b"+x\r\n"), operator='[pipeline]\nclasses = ["read"]\n') as one:
            assert not one.program.gateway.reports_assignments and one.program.gateway.max_attempts == 4

    play(scenario())
