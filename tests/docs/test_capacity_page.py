"""The capacity page names only commands, files and mechanisms that exist; slopes are checked on known
data."""

from __future__ import annotations

import importlib.util
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from benchmarks import capacity
from benchmarks.slopes import Probe, fit_line, print_table
from glenchute.cli.main import COMMANDS, FLEET
from glenchute.config.operator_shape import json_schema

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "CAPACITY.md").read_text()
SOURCES = [path.read_text() for folder in ("glenchute", "lab", "benchmarks")
           for path in sorted((ROOT / folder).rglob("*.py"))]  # fmt: skip


def is_program(words: list[str]) -> bool:
    """Returns whether a module can be run with these arguments, which must occur in its source. Those of
    `benchmarks.capacity` must be its options or roles."""
    name, *rest = words
    if name == "benchmarks.capacity":
        return set(rest) <= {"--quick", *capacity.ROLES}
    try:
        spec = importlib.util.find_spec(name)
    except ModuleNotFoundError:
        return False
    if spec is None or spec.origin is None:
        return False
    source = Path(spec.origin).read_text()
    return '__name__ == "__main__"' in source and all(f'"{word}"' in source for word in rest)


def is_command(words: list[str]) -> bool:
    """Returns whether this is a command of `glenchute`, or of its subcommand `fleet`."""
    name, *rest = words
    return name in COMMANDS and (not rest or (name == "fleet" and rest[0] in FLEET and len(rest) == 1))


def is_in_schema(text: str) -> bool:
    """Returns whether the schema of the operator's file has the table and keys of `[table] key = value,
    key`."""
    head, _, tail = text.partition("]")
    table: Any = json_schema()
    keys = [part.split("=")[0].strip() for part in tail.split(",") if part.strip()]
    for name in head[1:].strip("[").split("."):
        table = table["properties"].get(name)
        if table is None:
            return False
        table = table.get("items", table)
    return all(name in table["properties"] for name in keys)


def is_defined(text: str) -> bool:
    """Returns whether the sources define this class, function, `Class.method` or constant."""
    first, _, second = text.partition(".")
    if second:
        bodies = [body for source in SOURCES
                  for body in re.findall(rf"^class {first}\b.*?(?=^\S|\Z)", source, re.S | re.M)]  # fmt: skip
        return any(re.search(rf"^    (def {second}\b|{second}\b.*[:=])", body, re.M) for body in bodies)
    definition = rf"^(class {text}\b|def {text}\b|{text}(: .*)? = )"
    return any(re.search(definition, source, re.M) for source in SOURCES)


def exists(span: str) -> bool:
    """Returns whether what a code span names exists; False for a span of unknown form."""
    words = span.split()
    if words[:2] == ["python", "-m"]:
        return is_program(words[2:])
    if words[0] == "glenchute":
        return is_command(words[1:])
    if span.startswith("["):
        return is_in_schema(span)
    if "/" in span:
        return (ROOT / span).exists()
    return re.fullmatch(r"[A-Za-z_]+(\.[a-z_]+)?", span) is not None and is_defined(span)


def tables(text: str) -> Iterator[list[dict[str, str]]]:
    """Yields each table as a list of rows, each a dict by column heading."""
    for block in re.findall(r"(?:^\|.*\n)+", text, re.M):
        heads, _, *rows = [row.strip("| ").split(" | ") for row in block.splitlines()]
        yield [dict(zip(heads, row, strict=True)) for row in rows]


def faults_of(text: str) -> list[str]:
    """Returns the names on the page that can't be found, and the rows without a command or mechanism."""
    faults = [span for span in re.findall(r"`([^`\n]+)`", text) if not exists(span)]
    faults += [link for link in re.findall(r"\]\(([^)#:]+)\)", text) if not (ROOT / "docs" / link).exists()]
    for rows in tables(text):
        for row in rows:
            if "command" not in row and "carried by" not in row:
                faults.append(f"a table without commands: {row}")
            if "command" in row and not re.search(r"`python -m [^`]+`", row["command"]):
                faults.append(f"no command: {row}")
            if "carried by" in row and "`" not in row["carried by"] and "missing" not in row["carried by"]:
                faults.append(f"carried by nothing: {row}")
    return faults


def test_what_the_page_names_is_there_and_each_probe_has_its_row() -> None:
    assert faults_of(PAGE) == []
    assert sum(1 for rows in tables(PAGE) for row in rows if "command" in row) > len(capacity.ROLES)
    missing = [(role, probe.quantity) for role, probes in capacity.ROLES.items() for probe in probes
               if not re.search(rf"^\| {re.escape(f'{probe.quantity}, {probe.unit}, by {probe.size_name}')}.*"
                                rf"`python -m benchmarks.capacity {role}` \|$", PAGE, re.M)]  # fmt: skip
    assert missing == []


@pytest.mark.parametrize("span", [
    "python -m benchmarks.capacities", "python -m benchmarks.capacity gateways", "python -m nowhere.at.all",
    "python -m benchmarks.replication larger", "python -m benchmarks.slopes", "glenchute flee",
    "glenchute fleet member", "[subset] server", "[subsets]", "[fleet.lease]",
    "[discovery] calls_per_s = 1, age",
    "glenchute/policy/pace.py", "docs/capacity-call.svg", "EndpointChooser.picks", "EndpointChoosers.pick",
    "MAX_ROUTE",
    "two words",
])  # fmt: skip
def test_a_wrong_name_is_found(span: str) -> None:
    assert faults_of(f"by `{span}`.\n") == [span]


@pytest.mark.parametrize("text", [
    "| what | command |\n| --- | --- |\n| a | `python -m benchmarks.capacity` |\n| b | by hand |\n",
    "| what | carried by |\n| --- | --- |\n| a | `EndpointChooser.pick` |\n| b | luck |\n",
    "| what | figure |\n| --- | --- |\n| b | 3 |\n",
    "[a plot](capacity-none.svg)\n",
])  # fmt: skip
def test_a_row_without_a_command_or_mechanism_is_found(text: str) -> None:
    assert len(faults_of(text)) == 1


def test_a_slope_goes_through_the_medians_and_tells_the_spread_of_the_repeats() -> None:
    sizes = [1.0, 2.0, 4.0]
    line = fit_line(sizes, [[7.0 + slope * size for size in sizes] for slope in (5.0, 2.0, 3.0)])
    assert line == pytest.approx((7.0, 2.0, 3.0, 5.0))
    assert line.forecast(100.0) == pytest.approx(307.0)
    assert [line.reaches(limit) for limit in (5.0, 37.0)] == ["any size", "10"]
    with pytest.raises(ValueError, match="three sizes"):
        fit_line([1.0, 2.0], [[1.0, 2.0]])


def test_an_outlier_moves_the_spread_and_not_the_slope() -> None:
    sizes = [1.0, 2.0, 3.0]
    line = fit_line(sizes, [[1.0, 2.0, 3.0], [1.0, 2.0, 3.0], [1.0, 2.0, 30.0]])
    assert (line.base, line.min_slope, line.slope) == pytest.approx((0.0, 1.0, 1.0))
    assert line.max_slope == pytest.approx(14.5)


def test_where_repeats_differ_in_sign_there_is_no_slope() -> None:
    line = fit_line([1.0, 2.0, 3.0], [[5.0, 5.0, 6.0], [5.0, 5.0, 4.0], [5.0, 5.0, 5.1]])
    assert line == pytest.approx((5.0, -0.5, 0.0, 0.5)) and line.forecast(1e9) == 5.0
    assert line.reaches(6.0) == "none"


@pytest.mark.parametrize(("power", "foretold", "full"), [(1, 110, 1010), (2, 10010, 1000010)])
def test_the_forecast_is_printed_before_its_size_is_measured(
    power: int, foretold: int, full: int, capsys: pytest.CaptureFixture[str]
) -> None:
    printed: list[str] = []

    def measure(size: int, seed: int) -> float:
        if size == 100:
            printed.append(capsys.readouterr().out)
            return 2.0 * (10.0 + float(size) ** power) + seed - 101
        return 10.0 + float(size) ** power

    print_table("a role", [Probe("what", "size", "ms", measure, (1, 2, 3), 100, 1000, full, power)], 3)
    assert f"100: {foretold:.4g} | " in printed[0]
    middle = 2 * foretold
    cells = [cell.strip() for cell in capsys.readouterr().out.strip("| \n").split("|")]
    assert cells == [f"{middle - 1:.4g}, {middle:.4g}, {middle + 1:.4g}", "2.00", f"1,000: {full:.4g}",
                     f"{full:.4g}: 1,000"]  # fmt: skip
