"""Lets the tests that KNOWN-RED.txt lists fail by an assertion, or by an error class that their entry names,
and prints the result of each after the run."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
RESULT_TEXTS = {
    "xfailed": "failed",
    "xpassed": "PASSED, so its entry may go",
    "failed": "failed in another way",
}


def known_red() -> dict[str, str]:
    """Returns the list's entries by the node ids of their tests."""
    if not KNOWN_RED_FILE.is_file():
        return {}
    lines = KNOWN_RED_FILE.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.partition(" | ")[0].strip(): entry for entry in entries}


def errors_of(entry: str) -> type[BaseException]:
    """Returns a class that matches the errors that an entry allows: failed assertions, and errors whose class
    it names."""

    class Listed(type):
        def __instancecheck__(cls, error: object) -> bool:
            return isinstance(error, AssertionError) or type(error).__name__ in entry.split()

    return Listed("Listed", (BaseException,), {})  # type: ignore[return-value]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks listed tests as expected failures: they run, and only errors that their entry does not allow fail
    the run."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            errors = errors_of(listed[item.nodeid])
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", raises=errors, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the result of each listed test."""
    ended = {
        report.nodeid: text
        for outcome, text in RESULT_TEXTS.items()
        for report in terminalreporter.stats.get(outcome, [])
        if hasattr(report, "nodeid")
    }
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red: {name}: {ended.get(name, 'not run')}")
