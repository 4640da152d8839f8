"""``glenchute run``: reads the configuration, starts a gateway, and ends on a signal."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from glenchute.config.platform import OPERATOR_FILE_VARIABLE, ConfigError, PlatformConfig, load

from .operator_reload import read_operator
from .program import GatewayProgram

if TYPE_CHECKING:
    from glenchute.config.operator import OperatorConfig

MAX_LOG_LINES_PER_S = 20
LOG_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class LogRateLimit(logging.Filter):
    """At most `MAX_LOG_LINES_PER_S` lines a second: the log must not become the load."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        second = int(record.created)
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        return self.lines <= MAX_LOG_LINES_PER_S


async def serve(
    config: PlatformConfig, environ: dict[str, str], operator: OperatorConfig | None, early_signals: list[int]
) -> None:
    """Runs the gateway in the loop that is running."""
    loop = asyncio.get_running_loop()
    await GatewayProgram(config, loop, environ=environ, operator=operator).run(early_signals)


def collect_early_signals() -> list[int]:
    """The signals that come before the loop runs: without handlers they would end the process at once."""
    early: list[int] = []
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, lambda received, frame: early.append(received))
    return early


def configure_log() -> None:
    """Lines on standard error, limited in rate."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format=LOG_FORMAT)
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimit())


def run(operator_file: str | None = None) -> int:
    """Runs a gateway until told to stop. `operator_file` goes before the variable that names one. The exit
    status: 0 after a signal, 1 where it could not start, 2 where a file can't be used."""
    early_signals = collect_early_signals()
    configure_log()
    environ = dict(os.environ)
    if operator_file:
        environ[OPERATOR_FILE_VARIABLE] = operator_file
    try:
        config = load(environ)
        path = environ.get(OPERATOR_FILE_VARIABLE)
        operator = read_operator(path, config) if path else None
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, environ, operator, early_signals))
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"glenchute: can't start: {error}", file=sys.stderr)
        return 1
    return 0
