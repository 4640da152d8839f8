"""The command line, run as a process."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from glenchute.cli.main import CLOSED_PIPE_STATUS

ROOT = Path(__file__).resolve().parents[2]


def test_a_reader_that_closes_its_end_of_the_pipe_ends_the_command_quietly() -> None:
    """Guards against a traceback when the reader of a pipe closes it, as in
    `glenchute replay PATH --diff | head -1`."""
    calls = [sys.executable, "-m", "glenchute", "replay", "tests/captures", "--refusals"]
    command = subprocess.Popen(calls, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    assert command.stdout is not None and command.stderr is not None
    command.stdout.close()
    errors = command.stderr.read()
    assert command.wait(60.0) == CLOSED_PIPE_STATUS
    assert errors == b""
