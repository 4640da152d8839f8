"""Operator's files: valid and invalid ones, and the codes and lines of findings."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.cli.schema import text as schema_text
from glenchute.config.facts import PlatformFacts
from glenchute.config.locate import line_numbers, line_of
from glenchute.config.operator import ReadResult, parse, read
from glenchute.config.operator_shape import MAX_ROUTES
from glenchute.config.operator_text import MAX_BYTES
from glenchute.config.schema import Path as KeyPath
from glenchute.policy.events import Outcome
from tests.loopback import raw_config
from tests.platform_facts import FACTS, NO_SCOPE, OVERLAP

ROOT = Path(__file__).resolve().parents[2]

READS = """\
[[route]]
name = "reads"
match = { class = "report-read" }
"""
ORDERS = """\
[[route]]
name = "orders"
match = { class = "check-order" }
"""
CHARGES = """\
[[route]]
name = "charges"
match = { class = "check-charge" }
"""


@dataclass(frozen=True)
class InvalidFile:
    """An invalid file: its text, and the code and line of each finding."""

    text: str
    error_positions: tuple[tuple[str, int], ...]
    facts: PlatformFacts = FACTS


def invalid(text: str, *error_positions: tuple[str, int], facts: PlatformFacts = FACTS) -> InvalidFile:
    return InvalidFile(text, error_positions, facts)


FLEET = "[fleet]\nfleet = 'lab'\nname = 'g0'\nlisten = '127.0.0.1:7946'\n"
MEMBER = "[[fleet.members]]\nname = 'g1'\naddress = '127.0.0.1:7947'\n"

INVALID_FILES = [
    # members and subsets
    invalid("[fleet]\nname = 'g0'\n", ("missing-key", 1), ("missing-key", 1), ("missing-key", 1)),
    invalid(FLEET + MEMBER + MEMBER, ("member-twice", 9), ("member-twice", 10)),
    invalid(FLEET + MEMBER.replace("g1", "g0"), ("names-itself", 5)),
    invalid(FLEET + MEMBER.replace("7947", "7946"), ("member-twice", 4)),
    invalid(FLEET + MEMBER.replace("7947", "70000"), ("bad-port", 7)),
    invalid(FLEET + MEMBER.replace("127.0.0.1", "gateway"), ("bad-word", 7)),
    invalid("[subset]\nservers = 4\nbusy = 1.0\ncalm = 1.0\n", ("subset-order", 1)),
    invalid("[subset]\nbusy = 1.0\n", ("missing-key", 1)),
    invalid(FLEET + "patience_ms = 600\nperiod_ms = 500\n" + MEMBER, ("impatient", 1)),
    invalid(FLEET + "budget_kib_s = 1\n" + MEMBER, ("out-of-range", 5)),
    invalid(FLEET + "control = 'here'\nvoters = 3\n" + MEMBER, ("bad-word", 5), ("unknown-key", 6)),
    # invalid TOML, or an invalid structure
    invalid("[[route]\n", ("not-toml", 1)),
    invalid('name = "a"\nname = "b"\n', ("not-toml", 2)),
    invalid("a = \n", ("not-toml", 1)),
    invalid("\n\n= 3\n", ("not-toml", 3)),
    invalid("routes = []\n", ("unknown-key", 1)),
    invalid("[default]\nattempts = 2\n", ("unknown-key", 1)),
    invalid("route = 3\n", ("wrong-type", 1)),
    invalid("route = [1, 2]\n", ("wrong-type", 1)),
    invalid("[route]\nname = 'a'\n", ("wrong-type", 1)),
    invalid("defaults = 'x'\n", ("wrong-type", 1)),
    invalid("[defaults]\nattempt_timeout = 5\n", ("unknown-key", 2)),
    invalid("[defaults]\nretries = 5\n", ("unknown-key", 2)),
    invalid(READS + "timeout_ms = 700\n", ("unknown-key", 4)),
    invalid(READS + "backoff = { first_ms = 5, max_ms = 9 }\n", ("unknown-key", 4)),
    invalid(READS + "retry_budget = { share = 0.1, most = 2 }\n", ("unknown-key", 4)),
    # names and matches
    invalid("[[route]]\nmatch = { class = 'report-read' }\n", ("missing-key", 1)),
    invalid("[[route]]\nname = 'a'\n", ("missing-key", 1)),
    invalid("[[route]]\nname = ''\nmatch = { class = 'report-read' }\n", ("bad-word", 2)),
    invalid("[[route]]\nname = 'a b'\nmatch = { class = 'report-read' }\n", ("bad-word", 2)),
    invalid("[[route]]\nname = 7\nmatch = { class = 'report-read' }\n", ("wrong-type", 2)),
    invalid(READS + READS.replace("report-read", "check-order"), ("duplicate-name", 5)),
    invalid(READS.replace('"reads"', '"defaults"'), ("duplicate-name", 2)),
    invalid("[[route]]\nname = 'a'\nmatch = {}\n", ("empty-match", 3)),
    invalid("[[route]]\nname = 'a'\nmatch = { class = [] }\n", ("empty-list", 3), ("empty-match", 3)),
    invalid("[[route]]\nname = 'a'\nmatch = { class = 3 }\n", ("empty-match", 3), ("wrong-type", 3)),
    invalid("[[route]]\nname = 'a'\nmatch = { class = ['report-read', 3] }\n", ("wrong-type", 3)),
    invalid("[[route]]\nname = 'a'\nmatch = { class = ['report-read', 'report-read'] }\n", ("named-twice", 3)),
    invalid("[[route]]\nname = 'a'\nmatch = { klass = 'report-read' }\n", ("empty-match", 3), ("unknown-key", 3)),
    invalid("[[route]]\nname = 'a'\nmatch = { class = 'report-reed' }\n", ("unknown-class", 3)),
    invalid("[[route]]\nname = 'a'\nmatch = { plan = 'gold' }\n", ("unknown-plan", 3)),
    invalid("[[route]]\nname = 'a'\nmatch = { command = 'PUT' }\n", ("empty-match", 3), ("unknown-command", 3)),
    invalid("[[route]]\nname = 'a'\n\n[route.match]\nclass = 'report-read'\nplan = 'gold'\n", ("unknown-plan", 6)),
    # numbers
    invalid(READS + "attempt_timeout_ms = -1\n", ("out-of-range", 4)),
    invalid(READS + "attempt_timeout_ms = 0\n", ("out-of-range", 4)),
    invalid(READS + "attempt_timeout_ms = nan\n", ("not-finite", 4)),
    invalid(READS + "attempt_timeout_ms = inf\n", ("not-finite", 4)),
    invalid(READS + "attempt_timeout_ms = '700'\n", ("wrong-type", 4)),
    invalid(READS + "attempt_timeout_ms = true\n", ("wrong-type", 4)),
    invalid(READS + "attempt_timeout_ms = 2026-12-01\n", ("wrong-type", 4)),
    invalid(READS + "attempt_timeout_ms = [700]\n", ("wrong-type", 4)),
    invalid(READS + "attempt_timeout_ms = 1e9\n", ("out-of-range", 4)),
    invalid(READS + "attempts = 0\n", ("out-of-range", 4)),
    invalid(READS + "attempts = 2.5\n", ("wrong-type", 4)),
    invalid(READS + "attempts = -3\n", ("out-of-range", 4)),
    invalid(READS + "attempts = 101\n", ("out-of-range", 4)),
    invalid(READS + "backoff = 20\n", ("wrong-type", 4)),
    invalid(READS + "backoff = { factor = 2.0 }\n", ("missing-key", 4)),
    invalid(READS + "backoff = { first_ms = 0 }\n", ("out-of-range", 4)),
    invalid(READS + "backoff = { first_ms = 5, factor = 0.5 }\n", ("out-of-range", 4)),
    invalid(READS + "backoff = { first_ms = 5, jitter = 1.5 }\n", ("out-of-range", 4)),
    invalid(READS + "backoff = { first_ms = 5, jitter = -0.1 }\n", ("out-of-range", 4)),
    invalid(READS + "backoff = { first_ms = 50, most_ms = 20 }\n", ("backoff-order", 4)),
    invalid(READS + "retry_budget = { least_per_s = 2 }\n", ("missing-key", 4)),
    invalid(READS + "retry_budget = { share = 1.5 }\n", ("out-of-range", 4)),
    invalid(READS + "retry_budget = { share = nan }\n", ("not-finite", 4)),
    invalid(READS + "retry_budget = { share = 0 }\n", ("budget-of-nothing", 4)),
    invalid(READS + "second_copy_after_ms = -300\n", ("out-of-range", 4), facts=OVERLAP),
    invalid(READS + "retry_on = 'full'\n", ("wrong-type", 4)),
    invalid(READS + "retry_on = []\n", ("empty-list", 4)),
    invalid(READS + "retry_on = ['full', 'always']\n", ("unknown-cause", 4)),
    invalid(READS + "retry_on = ['cancelled']\n", ("unknown-cause", 4)),
    invalid(READS + "retry_on = ['full', 'full']\n", ("named-twice", 4)),
    # the platform's rules
    invalid(CHARGES + "second_copy_after_ms = 300\n", ("copy-unsafe", 4), facts=OVERLAP),
    invalid(CHARGES + "second_copy_after_ms = 300\n", ("copy-unsafe", 4)),
    invalid(READS + "second_copy_after_ms = 300\n", ("copy-no-overlap", 4)),
    invalid(READS + "attempts = 1\nsecond_copy_after_ms = 300\n", ("copy-over-attempts", 5), facts=OVERLAP),
    invalid(READS + "attempt_timeout_ms = 300\nsecond_copy_after_ms = 300\n", ("copy-after-timeout", 5), facts=OVERLAP),
    invalid(ORDERS + "attempts = 2\nsecond_copy_after_ms = 2300\n", ("copy-beyond-memory", 5), facts=OVERLAP),
    invalid(CHARGES + "retry_on = ['error']\n", ("cause-may-have-run", 4)),
    invalid(CHARGES + "retry_on = ['full', 'reset']\n", ("cause-may-have-run", 4)),
    invalid(CHARGES + "retry_on = ['unreachable', 'timeout']\n", ("cause-may-have-run", 4)),
    invalid("[defaults]\nretry_on = ['timeout']\n", ("cause-may-have-run", 2)),
    invalid("[defaults]\nretry_on = ['timeout']\n" + READS + "attempts = 2\n", ("cause-may-have-run", 2)),
    invalid(ORDERS + "attempt_timeout_ms = 1300\nattempts = 3\n", ("keyed-beyond-memory", 4)),
    invalid(ORDERS + "attempt_timeout_ms = 2500\nattempts = 2\n", ("keyed-beyond-memory", 4)),
    invalid(ORDERS + "attempt_timeout_ms = 2242\nattempts = 2\n", ("keyed-beyond-memory", 4)),
    invalid(ORDERS + "attempt_timeout_ms = 600\n", ("keyed-beyond-memory", 4)),  # with the platform's limit of five attempts
    invalid(ORDERS + "attempt_timeout_ms = 1000\nattempts = 2\nbackoff = { first_ms = 1000, jitter = 0.25 }\n",
        ("keyed-beyond-memory", 4)),
    invalid(ORDERS + "attempts = 2\nretry_on = ['timeout']\n", ("keyed-scope", 5), facts=NO_SCOPE),
    invalid(READS + "attempts = 6\n", ("attempts-over-cap", 4)),
    invalid(READS + "attempt_timeout_ms = 3001\n", ("timeout-over-deadline", 4)),
    invalid("[defaults]\nattempt_timeout_ms = 3500\n", ("timeout-over-deadline", 2), ("keyed-beyond-memory", 2)),
    invalid(READS + "attempts = 3\nbackoff = { first_ms = 2000, most_ms = 2000 }\n", ("attempts-never-fit", 5)),
    # conflicting routes
    invalid(READS + READS.replace("reads", "more"), ("equal-rank", 6)),
    invalid(READS + "\n[[route]]\nname = 'plan'\nmatch = { plan = 'standard' }\nattempts = 2\n", ("equal-rank", 7)),
    invalid("[[route]]\nname = 'a'\nmatch = { class = ['report-read', 'check-order'] }\n" + ORDERS, ("equal-rank", 6)),
    invalid(READS + "[[route]]\nname = 'b'\nmatch = { class = 'report-read', command = 'GET' }\n", ("never-matches", 1)),
    invalid("[[route]]\nname = 'a'\nmatch = { class = 'report-read', command = 'POST' }\n", ("never-matches", 1)),
    invalid("[[route]]\nname = 'a'\nmatch = { plan = 'standard' }\n" + "".join(
        f"[[route]]\nname = 'x{i}'\nmatch = {{ plan = 'standard', class = '{c}' }}\n"
        for i, c in enumerate(FACTS.classes)), ("never-matches", 1)),
    # several findings, sorted by line
    invalid(CHARGES + "attempts = 0\nretry_on = ['error']\nzz = 1\n" + ORDERS + "attempts = 9\n",
        ("out-of-range", 4), ("cause-may-have-run", 5), ("unknown-key", 6), ("attempts-over-cap", 10)),
]  # fmt: skip


def error_positions(result: ReadResult) -> list[tuple[str, int]]:
    return [(finding.code, finding.line) for finding in result.findings if not finding.is_warning]


@pytest.mark.parametrize(
    "case", INVALID_FILES, ids=lambda case: f"{case.error_positions[0][0]}-{case.error_positions[0][1]}"
)
def test_a_wrong_file_fails_with_its_code_and_line(case: InvalidFile) -> None:
    result = parse(case.text, case.facts)
    assert result.config is None
    assert sorted(error_positions(result)) == sorted(case.error_positions)
    lines = [finding.line for finding in result.findings]
    assert lines == sorted(lines)
    for finding in result.findings:
        assert len(finding.message) > 10 and "\n" not in finding.render("f")


def test_there_are_at_least_sixty_wrong_files_and_each_rule_has_one() -> None:
    assert len(INVALID_FILES) >= 60
    source = "".join(
        (ROOT / "glenchute" / "config" / f"{m}.py").read_text()
        for m in ("rules", "operator", "operator_shape", "operator_text", "schema", "fleet")
    )
    codes = {code for case in INVALID_FILES for code, _ in case.error_positions}
    for code in codes:
        stem = code.removesuffix("-class").removesuffix("-plan")
        assert f'"{code}"' in source or stem in source, code


def test_each_kind_of_unreadable_file_has_its_own_code(tmp_path: Path) -> None:
    def code(path: Path) -> str:
        (finding,) = read(str(path), FACTS).findings
        return finding.code

    large, latin_1, loop = tmp_path / "large", tmp_path / "latin", tmp_path / "locked"
    large.write_bytes(b"#" * (MAX_BYTES + 1))
    latin_1.write_bytes(b"# one\n# \xe9\n")
    os.mkfifo(tmp_path / "pipe")
    loop.symlink_to(loop)  # a symbolic link to itself, unreadable for root too
    assert code(tmp_path) == "is-directory"
    assert code(tmp_path / "pipe") == "not-a-file"  # reading a pipe must not block
    assert code(tmp_path / "none") == code(loop) == "unreadable"
    assert code(large) == "too-large"
    assert code(latin_1) == "not-utf8" and read(str(latin_1), FACTS).findings[0].line == 2
    assert code(Path("a\0b")) == "unreadable"


def test_too_many_routes_are_refused() -> None:
    row = "[[route]]\nname = 'r{}'\nmatch = {{ class = 'report-read' }}\n"
    text = "".join(row.format(i) for i in range(MAX_ROUTES + 1))
    assert error_positions(parse(text, FACTS)) == [("too-many", 1)]


def test_the_example_file_loads_where_hedging_is_allowed() -> None:
    text = (ROOT / "deploy" / "operator.toml").read_text()
    assert [f.code for f in parse(text, FACTS).findings if not f.is_warning] == []
    text = READS.replace('"report-read"', '"report-read", plan = "korporativni"') + (
        "attempt_timeout_ms = 700\nattempts = 3\n"
        "backoff = { first_ms = 20, factor = 2.0, most_ms = 200, jitter = 0.2 }\n"
        'retry_on = ["full", "unreachable", "error", "reset", "timeout"]\n'
        "second_copy_after_ms = 300\nretry_budget = { share = 0.1, least_per_s = 2 }\n"
    )
    operator = parse(text, OVERLAP).config
    assert operator is not None and list(operator.bindings) == [("report-read", "korporativni")]
    route = operator.bindings["report-read", "korporativni"]
    assert (
        route.max_attempts == 3
        and route.retryable_outcomes is not None
        and Outcome.TIMEOUT in route.retryable_outcomes
    )


@pytest.mark.parametrize(
    ("timeout", "loads"), [(1200, True), (2237, True), (2241, True), (2242, False), (2245, False)]
)
def test_the_limit_of_the_idempotency_window(timeout: int, loads: bool) -> None:
    """With a retry, an attempt may take the window of 2,500 ms, less 5 ms of the engine's margin, 250 ms to
    connect and 4 ms of timer error: 2,241 ms."""
    result = parse(ORDERS + f"attempts = 2\nattempt_timeout_ms = {timeout}\n", FACTS)
    assert (result.config is not None) is loads


@pytest.mark.parametrize(("jitter", "loads"), [(0.0, True), (0.2, True), (0.22, False), (1.0, False)])
def test_jitter_counts_at_its_maximum(jitter: float, loads: bool) -> None:
    text = (
        ORDERS
        + f"attempts = 2\nattempt_timeout_ms = 1041\nbackoff = {{ first_ms = 1000, jitter = {jitter} }}\n"
    )
    assert (parse(text, FACTS).config is not None) is loads


def test_a_time_out_under_the_connect_time_is_a_warning() -> None:
    result = parse(READS + "attempt_timeout_ms = 100\n", FACTS)
    assert result.config is not None
    assert [(f.code, f.line, f.is_warning) for f in result.findings] == [("timeout-under-connect", 4, True)]


def test_retries_after_outcomes_that_did_not_run_need_no_idempotency_window() -> None:
    text = ORDERS + 'attempt_timeout_ms = 2400\nattempts = 5\nretry_on = ["full", "unreachable"]\n'
    assert parse(text, FACTS).config is not None


def test_the_most_specific_route_wins_and_defaults_fill_in() -> None:
    text = (
        "[defaults]\nattempts = 2\n"
        + READS
        + "attempt_timeout_ms = 500\n"
        + READS.replace('"reads"', '"dear"').replace('"report-read"', '"report-read", plan = "agencija"')
    )
    operator = parse(text, FACTS).config
    assert operator is not None
    names = {key: route.name for key, route in operator.bindings.items()}
    assert names["report-read", "agencija"] == "dear" and names["report-read", "osnovni"] == "reads"
    assert names["check-charge", "osnovni"] == "defaults"
    assert operator.bindings["report-read", "osnovni"].max_attempts == 2
    # A route inherits from the defaults alone, not from another route.
    assert operator.bindings["report-read", "agencija"].attempt_timeout_ms == 0.0


def test_a_list_may_overlap_with_a_route_that_names_more() -> None:
    text = (
        "[[route]]\nname = 'a'\nmatch = { class = ['report-read', 'check-order'] }\n"
        "[[route]]\nname = 'b'\nmatch = { class = 'check-order', plan = ['agencija', 'standard'] }\n"
    )
    assert parse(text, FACTS).config is not None


TOML = '''\
# a comment
a.b = 1
"c d" = [
  1, # [[x]]
  "]",
]

[[route]]
name = """x
[[route]]
"""
match = { class = "a#", plan = ['#'] }
[route.backoff]
first_ms = 3
[[route]]
text = \'\'\'
k = 1\'\'\'\'
last = 2
[t."u v"]
w = "\\"\\n["  # ]
'''


def test_lines_are_found_through_strings_arrays_and_comments() -> None:
    lines = line_numbers(TOML)
    expected: dict[KeyPath, int] = {
        ("a", "b"): 2, ("c d",): 3, ("route", 0): 8, ("route", 0, "name"): 9, ("route", 0, "match"): 12,
        ("route", 0, "backoff"): 13, ("route", 0, "backoff", "first_ms"): 14, ("route", 1): 15,
        ("route", 1, "text"): 16, ("route", 1, "last"): 18, ("t", "u v"): 19, ("t", "u v", "w"): 20,
    }  # fmt: skip
    assert {path: lines.get(path) for path in expected} == expected
    assert line_of(("route", 0, "match", "class"), lines) == 12 and line_of(("nowhere",), lines) == 0


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(max_size=200) | st.text(alphabet="[]{}=\"'#\n .ab1\\", max_size=80))
def test_no_text_breaks_the_reading(text: str) -> None:
    """Whatever a file contains, reading it terminates, with findings or a valid file."""
    line_numbers(text)
    result = parse(text, FACTS)
    assert result.config is not None or result.findings


def test_the_schema_checked_in_is_the_one_of_the_code() -> None:
    assert (ROOT / "deploy" / "operator.schema.json").read_text() == schema_text()


def run(*args: str, **environ: str) -> subprocess.CompletedProcess[str]:
    env = {**os.environ, **environ, "PYTHONPATH": str(ROOT)}
    return subprocess.run([sys.executable, "-m", "glenchute", *args], env=env, capture_output=True, text=True)


@pytest.fixture
def platform(tmp_path: Path) -> str:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1, 1, [])))
    return str(path)


def test_check_tells_all_findings_and_exits_2(tmp_path: Path, platform: str) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(
        "[[route]]\nname = 'a'\nmatch = { class = 'charge' }\nretry_on = ['error']\nattempts = -1\n"
    )
    process = run("check", "--operator", str(file), "--platform", platform)
    assert process.returncode == 2
    assert [line.split(": ")[1] for line in process.stdout.splitlines()] == [
        "error cause-may-have-run", "error out-of-range",
    ]  # fmt: skip
    process = run("check", "--json", "--platform", platform, GLENCHUTE_OPERATOR=str(file))
    output = json.loads(process.stdout)
    assert process.returncode == 2 and not output["sound"]
    assert [row["line"] for row in output["findings"]] == [4, 5]
    file.write_text(READS.replace("report-read", "read"))
    process = run("check", "--operator", str(file), "--platform", platform)
    assert (process.returncode, process.stdout.count("sound")) == (0, 1)
    process = run("check", "--operator", str(file), EDGE_CONFIG="")
    assert process.returncode == 0 and "only the shape" in process.stderr
    assert run("check", EDGE_CONFIG="", GLENCHUTE_OPERATOR="").returncode == 2


def test_explain_tells_the_route_that_wins_and_its_timeline(tmp_path: Path, platform: str) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(
        "[[route]]\nname = 'all-reads'\nmatch = { class = 'read' }\n"
        "[[route]]\nname = 'dear'\nmatch = { class = 'read', plan = 'basic', command = 'GET' }\n"
        "attempt_timeout_ms = 6000\nattempts = 2\nbackoff = { first_ms = 100, jitter = 0.1 }\n"
    )
    process = run("check", "--operator", str(file), "--platform", platform)
    assert "never-matches" in process.stdout  # the platform has one plan, so `all-reads` is shadowed
    file.write_text(file.read_text().split("[[route]]\nname = 'dear'")[0] + "attempts = 2\n")
    process = run(
        "explain", "--operator", str(file), "--platform", platform, "--class", "read", "--plan", "basic"
    )
    assert (
        process.returncode == 0
        and "route all-reads names 1" in process.stdout
        and "attempt 2" in process.stdout
    )
    for arguments in (["--class", "nope", "--plan", "basic"], ["--class", "read", "--plan", "nope"],
                  ["--class", "read", "--plan", "basic", "--command", "POST"]):  # fmt: skip
        process = run("explain", "--operator", str(file), "--platform", platform, *arguments)
        assert process.returncode == 2 and process.stderr.startswith("glenchute: ")


def test_a_gateway_does_not_start_on_a_broken_operators_file(tmp_path: Path, platform: str) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[defaults]\nattempts = 0\nfoo = 1\n")
    process = run("run", "--operator", str(file), EDGE_CONFIG=platform)
    assert process.returncode == 2
    assert (
        f"{file}:2: error out-of-range" in process.stderr and f"{file}:3: error unknown-key" in process.stderr
    )


def test_a_file_without_fronts_imports_none_of_them() -> None:
    code = (
        "import sys; from glenchute.config.operator import parse; parse('[defaults]\\nattempts = 2', None); "
        "print([m for m in ('glenchute.config.extproc', 'glenchute.policy.services.request_mapping', 'grpc') "
        "if m in sys.modules])"
    )
    process = subprocess.run([sys.executable, "-c", code], env={**os.environ, "PYTHONPATH": str(ROOT)},
                          capture_output=True, text=True, check=True)  # fmt: skip
    assert process.stdout.strip() == "[]"


def test_without_the_file_nothing_of_it_is_imported() -> None:
    code = (
        "import sys; import glenchute.cli.run; import glenchute.cli.main; "
        "print([m for m in ('tomllib', 'argparse', 'glenchute.policy.retries.route_limits', 'glenchute.config.operator', "
        "'glenchute.listeners.extproc', 'glenchute.policy.services.request_mapping', 'grpc', 'google.protobuf', 'envoy') "
        "if m in sys.modules])"
    )
    process = subprocess.run([sys.executable, "-c", code], env={**os.environ, "PYTHONPATH": str(ROOT)},
                          capture_output=True, text=True, check=True)  # fmt: skip
    assert process.stdout.strip() == "[]"
