"""The table `[pipeline]`: its checks, the command that prints it, and captures of pipelined gateways."""

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
from glenchute.capture.replay import find_runs, read_segment, replay
from glenchute.config.facts import PlatformFacts
from glenchute.config.operator import parse
from glenchute.policy.events import AttemptAssigned, AttemptEnded, Event, Outcome
from glenchute.policy.retries.route_limits import (
    RequestRetries,
    RetryBudgetSettings,
    RouteLimits,
    RouteRetryBudget,
)
from tests.loopback import raw_config, reply_with, run_scenario, site
from tests.platform_facts import FACTS, NO_SCOPE
from tests.upstreams.test_pipelined_servers import ScriptedServer, burst, pipelined_site, reads

ROOT = Path(__file__).resolve().parents[2]
PLATFORM = replace(FACTS, max_streams=32)
READS = '[pipeline]\nclasses = "report-read"\n'
ROUTE = '[[route]]\nname = "r"\nmatch = { class = "report-read" }\n'

INVALID_TABLES: list[tuple[str, str, int, PlatformFacts]] = [
    ("[pipeline]\ndepth = 4\n", "missing-key", 1, PLATFORM),
    (READS + "depth = 33\n", "depth-over-settings", 3, PLATFORM),
    (READS + "depth = 1\n", "depth-of-one", 3, PLATFORM),
    (READS + "depth = 2.5\n", "wrong-type", 3, PLATFORM),
    (READS + "deep = 2\n", "unknown-key", 3, PLATFORM),
    (READS, "depth-over-settings", 1, replace(FACTS, max_streams=3)),  # the default depth is 4
    (READS + ROUTE + "pipeline_depth = 33\n", "depth-over-settings", 6, PLATFORM),
    ('[pipeline]\nclasses = ["report-read", "check-charge"]\n', "unsafe-shares", 2, PLATFORM),
    ('[pipeline]\nclasses = ["report-read", "check-chess"]\n', "unknown-class", 2, PLATFORM),
    ('[pipeline]\nclasses = ["check-order"]\n', "keyed-scope", 2, replace(NO_SCOPE, max_streams=32)),
    ('[pipeline]\nclasses = ["check-order"]\nleast_stall_ms = 2500\n', "keyed-beyond-memory", 2, PLATFORM),
    ("[pipeline]\nclasses = []\n", "empty-list", 2, PLATFORM),
    (READS + "wait_ms = 400\n" + ROUTE + "attempt_timeout_ms = 400\n", "wait-over-timeout", 3, PLATFORM),
    (READS + ROUTE + "attempt_timeout_ms = 4\n", "wait-over-timeout", 1, PLATFORM),
    (READS + "wait_ms = 3000\n", "wait-over-timeout", 3, PLATFORM),
    (READS + "settle_ms = 9000\n", "settle-over-idle", 3, replace(PLATFORM, idle_timeout_ms=9000.0)),
    (READS + "gather = 0\n", "out-of-range", 3, PLATFORM),
    (READS + "gather_bytes = 1\n", "out-of-range", 3, PLATFORM),
    (READS + "stall_quantile = 1.0\n", "out-of-range", 3, PLATFORM),
    (READS + "stall_factor = 0.9\n", "out-of-range", 3, PLATFORM),
    (READS + "at_risk = 0\n", "out-of-range", 3, PLATFORM),
    (READS + "behind_unsafe = 1\n", "wrong-type", 3, PLATFORM),
    (READS, "no-second-attempt", 1, replace(PLATFORM, max_attempts=1)),
    (ROUTE + "pipeline_depth = 2\n", "depth-unused", 4, PLATFORM),
    (
        READS + ROUTE.replace("report-read", "check-order") + "pipeline_depth = 2\n",
        "depth-unused",
        6,
        PLATFORM,
    ),
]


@pytest.mark.parametrize("case", INVALID_TABLES, ids=lambda case: f"{case[1]}-{case[0][-24:]!r}")
def test_a_wrong_table_fails_with_its_code_and_line(case: tuple[str, str, int, PlatformFacts]) -> None:
    text, code, line, facts = case
    result = parse(text, facts)
    assert result.config is None
    assert (code, line) in [(finding.code, finding.line) for finding in result.findings], result.findings


def test_a_valid_table_loads_and_routes_limit_the_depth() -> None:
    text = READS + "depth = 8\nbehind_unsafe = true\n" + ROUTE + "pipeline_depth = 2\n"
    result = parse(text, PLATFORM)
    assert result.config is not None and not result.findings
    assert result.config.pipeline == {"classes": ("report-read",), "depth": 8, "behind_unsafe": True}
    assert result.config.bindings["report-read", "standard"].max_pipeline_depth == 2
    assert parse(READS + "depth = 400\n", FACTS).config is not None  # the platform states no limit


@pytest.mark.parametrize(
    ("attempts", "causes", "started", "may_retry"),
    [
        (0, None, 5, True), (3, None, 2, True), (3, None, 3, False),
        (0, frozenset({Outcome.REJECTED}), 1, False), (0, frozenset({Outcome.RESET}), 1, True),
    ],
)  # fmt: skip
def test_an_attempt_may_share_a_connection_only_if_its_route_allows_a_retry(
    attempts: int, causes: frozenset[Outcome] | None, started: int, may_retry: bool
) -> None:
    import random

    rule = RetryBudgetSettings(0.0)
    retries = RequestRetries(
        RouteLimits("r", max_attempts=attempts, retryable_outcomes=causes),
        RouteRetryBudget(rule, 0.0),
        random.Random(1),
    )
    retries.started_attempts = started
    assert retries.may_retry_after(Outcome.RESET) is may_retry


@pytest.fixture(name="platform")
def platform_file(tmp_path: Path) -> str:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1, 2, [])))
    return str(path)


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    environ = {key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "GLENCHUTE_"))}
    return subprocess.run(
        [sys.executable, "-m", "glenchute", *arguments],
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
    process = run_command("pipeline", "--operator", str(operator), "--platform", platform)
    assert process.returncode == status and expected in process.stdout + process.stderr
    assert run_command("pipeline", "--operator", str(operator)).returncode == 2  # without the platform's file


def test_a_file_without_the_table_imports_none_of_it(platform: str) -> None:
    """A gateway without shared connections must not pay for them with a longer start."""
    unused = (
        "glenchute.cli.pipelined_upstream",
        "glenchute.upstreams.pipeline_runtime",
        "glenchute.upstreams.pipelined_servers",
        "glenchute.policy.connections.pipelining",
        "glenchute.policy.connections.pipeline_types",
        "glenchute.policy.connections.service_times",
    )
    # Otherwise the check below would pass for misspelled names.
    assert all(importlib.util.find_spec(name) for name in unused)
    code = f"import sys, glenchute.cli.run; sys.exit(not sys.modules.keys().isdisjoint({unused!r}))"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


def captured_events(tmp_path: Path) -> list[Event]:
    """Returns the events of a captured gateway, after checking that a replay makes equal decisions."""
    files = [file for run in find_runs(tmp_path).values() for file in run]
    for run in find_runs(tmp_path).values():
        report = replay(run)
        assert report.records > 10 and not report.differences and not report.notes
    return [decode_event(record) for file in files for record in read_segment(file).records]


def test_a_capture_tells_where_attempts_went_and_replays(tmp_path: Path) -> None:
    """Covers a stalled head, the reset of its connection, and the retries; the replay makes equal
    decisions."""
    operator = ('[pipeline]\nclasses = ["read"]\ndepth = 8\nat_risk = 16\nsettle_ms = 0\n'
                f'[capture]\nfolder = "{tmp_path}"\nmode = "disk"\n')  # fmt: skip

    async def scenario() -> None:
        server = ScriptedServer()
        async with pipelined_site(server, operator=operator) as (gateway_site, upstream):
            client = await gateway_site.client()
            await burst(client, *reads([b"a", b"b", b"c"]))
            for _ in range(3):
                server.answers = len(server.ran) >= 3
                await asyncio.sleep(0.05)
            server.answers = True
            assert {await client.reply() for _ in range(3)} == {b"a", b"b", b"c"}
            assert upstream.scheduler.counts["condemned"] == 1

    run_scenario(scenario())
    events = captured_events(tmp_path)
    assigned = [event for event in events if isinstance(event, AttemptAssigned)]
    assert len(assigned) >= 6 and "joins line 1 behind 2" in assigned[2].reason
    resets = [event for event in events if isinstance(event, AttemptEnded)]
    assert [event.outcome for event in resets[:3]] == [Outcome.RESET] * 3
    trace = run_command("replay", str(tmp_path), "--explain", assigned[2].request_id)
    assert trace.returncode == 0 and "joins line 1 behind 2" in trace.stdout


def test_without_a_capture_assignments_are_not_reported() -> None:
    async def scenario() -> None:
        async with site(reply_with(b"+x\r\n"), operator='[pipeline]\nclasses = ["read"]\n') as gateway_site:
            assert (
                not gateway_site.program.gateway.reports_assignments
                and gateway_site.program.gateway.max_attempts == 4
            )

    run_scenario(scenario())
