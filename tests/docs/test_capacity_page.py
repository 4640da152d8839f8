"""The capacity page names only commands, files, settings and definitions that exist; the fit of its slopes is
checked on known data."""

from __future__ import annotations

import importlib.util
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from benchmarks import capacity
from benchmarks.slopes import Probe, fitted, table
from glenchute.cli.main import COMMANDS, FLEET
from glenchute.config.operator_shape import json_schema

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "CAPACITY.md").read_text()
SOURCES = [path.read_text() for folder in ("glenchute", "lab", "benchmarks")
           for path in sorted((ROOT / folder).rglob("*.py"))]  # fmt: skip


def is_runnable_module(words: list[str]) -> bool:
    """Tells whether `python -m` can run a module with these arguments: they must occur in its source, or, for
    `benchmarks.capacity`, be its options or roles."""
    name, *arguments = words
    if name == "benchmarks.capacity":
        return set(arguments) <= {"--quick", *capacity.ROLES}
    try:
        spec = importlib.util.find_spec(name)
    except ModuleNotFoundError:
        return False
    if spec is None or spec.origin is None:
        return False
    source = Path(spec.origin).read_text()
    return '__name__ == "__main__"' in source and all(f'"{word}"' in source for word in arguments)


def is_command(words: list[str]) -> bool:
    """Tells whether this is a command of `glenchute`, or of its subcommand `fleet`."""
    name, *rest = words
    return name in COMMANDS and (not rest or (name == "fleet" and rest[0] in FLEET and len(rest) == 1))


def is_setting(text: str) -> bool:
    """Tells whether the schema of the operator's file has the table and the keys that a text of the form
    `[table] key = value, key` names."""
    head, _, tail = text.partition("]")
    schema: Any = json_schema()
    keys = [part.split("=")[0].strip() for part in tail.split(",") if part.strip()]
    for name in head[1:].strip("[").split("."):
        schema = schema["properties"].get(name)
        if schema is None:
            return False
        schema = schema.get("items", schema)
    return all(name in schema["properties"] for name in keys)


def is_defined(text: str) -> bool:
    """Tells whether the sources define this class, function, `Class.method` or constant."""
    first, _, second = text.partition(".")
    if second:
        bodies = [body for source in SOURCES
                  for body in re.findall(rf"^class {first}\b.*?(?=^\S|\Z)", source, re.S | re.M)]  # fmt: skip
        return any(re.search(rf"^    (def {second}\b|{second}\b.*[:=])", body, re.M) for body in bodies)
    definition = rf"^(class {text}\b|def {text}\b|{text}(: .*)? = )"
    return any(re.search(definition, source, re.M) for source in SOURCES)


def exists(span: str) -> bool:
    """Tells whether what a code span names exists; False for a span of unknown form."""
    words = span.split()
    if words[:2] == ["python", "-m"]:
        return is_runnable_module(words[2:])
    if words[0] == "glenchute":
        return is_command(words[1:])
    if span.startswith("["):
        return is_setting(span)
    if "/" in span:
        return (ROOT / span).exists()
    return re.fullmatch(r"[A-Za-z_]+(\.[a-z_]+)?", span) is not None and is_defined(span)


def tables(text: str) -> Iterator[list[dict[str, str]]]:
    """Yields each table as a list of rows, each a dict by column heading."""
    for block in re.findall(r"(?:^\|.*\n)+", text, re.M):
        heads, _, *rows = [row.strip("| ").split(" | ") for row in block.splitlines()]
        yield [dict(zip(heads, row, strict=True)) for row in rows]


def page_errors(text: str) -> list[str]:
    """Returns the names and links of a page that lead nowhere, and its table rows without a command or
    mechanism."""
    errors = [span for span in re.findall(r"`([^`\n]+)`", text) if not exists(span)]
    errors += [link for link in re.findall(r"\]\(([^)#:]+)\)", text) if not (ROOT / "docs" / link).exists()]
    for rows in tables(text):
        for row in rows:
            if "command" not in row and "carried by" not in row:
                errors.append(f"a table without commands: {row}")
            if "command" in row and not re.search(r"`python -m [^`]+`", row["command"]):
                errors.append(f"no command: {row}")
            if "carried by" in row and "`" not in row["carried by"] and "missing" not in row["carried by"]:
                errors.append(f"carried by nothing: {row}")
    return errors


def test_what_the_page_names_is_there_and_each_probe_has_its_row() -> None:
    assert page_errors(PAGE) == []
    assert sum(1 for rows in tables(PAGE) for row in rows if "command" in row) > len(capacity.ROLES)
    missing = [(role, probe.what) for role, probes in capacity.ROLES.items() for probe in probes
               if not re.search(rf"^\| {re.escape(f'{probe.what}, {probe.unit}, by {probe.by}')}.*"
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
    assert page_errors(f"by `{span}`.\n") == [span]


@pytest.mark.parametrize("text", [
    "| what | command |\n| --- | --- |\n| a | `python -m benchmarks.capacity` |\n| b | by hand |\n",
    "| what | carried by |\n| --- | --- |\n| a | `EndpointChooser.pick` |\n| b | luck |\n",
    "| what | figure |\n| --- | --- |\n| b | 3 |\n",
    "[a plot](capacity-none.svg)\n",
])  # fmt: skip
def test_a_row_without_a_command_or_mechanism_is_found(text: str) -> None:
    assert len(page_errors(text)) == 1


def test_a_slope_goes_through_the_medians_and_tells_the_spread_of_the_repeats() -> None:
    sizes = [1.0, 2.0, 4.0]
    line = fitted(sizes, [[7.0 + slope * size for size in sizes] for slope in (5.0, 2.0, 3.0)])
    assert line == pytest.approx((7.0, 2.0, 3.0, 5.0))
    assert line.forecast(100.0) == pytest.approx(307.0)
    assert [line.reaches(limit) for limit in (5.0, 37.0)] == ["any size", "10"]
    with pytest.raises(ValueError, match="three sizes"):
        fitted([1.0, 2.0], [[1.0, 2.0]])


def test_an_outlier_moves_the_spread_and_not_the_slope() -> None:
    sizes = [1.0, 2.0, 3.0]
    line = fitted(sizes, [[1.0, 2.0, 3.0], [1.0, 2.0, 3.0], [1.0, 2.0, 30.0]])
    assert (line.base, line.least, line.slope) == pytest.approx((0.0, 1.0, 1.0))
    assert line.most == pytest.approx(14.5)


def test_where_repeats_differ_in_sign_there_is_no_slope() -> None:
    line = fitted([1.0, 2.0, 3.0], [[5.0, 5.0, 6.0], [5.0, 5.0, 4.0], [5.0, 5.0, 5.1]])
    assert line == pytest.approx((5.0, -0.5, 0.0, 0.5)) and line.forecast(1e9) == 5.0
    assert line.reaches(6.0) == "none"


@pytest.mark.parametrize(("power", "foretold", "full"), [(1, 110, 1010), (2, 10010, 1000010)])
def test_the_forecast_is_printed_before_its_size_is_measured(
    power: int, foretold: int, full: int, capsys: pytest.CaptureFixture[str]
) -> None:
    printed_before: list[str] = []

    def measure(size: int, seed: int) -> float:
        if size == 100:
            printed_before.append(capsys.readouterr().out)
            return 2.0 * (10.0 + float(size) ** power) + seed - 101
        return 10.0 + float(size) ** power

    table("a role", [Probe("what", "size", "ms", measure, (1, 2, 3), 100, 1000, full, power)], 3)
    assert f"100: {foretold:.4g} | " in printed_before[0]
    median = 2 * foretold
    cells = [cell.strip() for cell in capsys.readouterr().out.strip("| \n").split("|")]
    assert cells == [f"{median - 1:.4g}, {median:.4g}, {median + 1:.4g}", "2.00", f"1,000: {full:.4g}",
                     f"{full:.4g}: 1,000"]  # fmt: skip
