"""``glenchute run``: loads the configuration and runs a gateway until a signal ends it."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from glenchute.config.platform import OPERATOR_FILE_VARIABLE, ConfigError, PlatformConfig, load

from .program import GatewayProgram

if TYPE_CHECKING:
    from glenchute.config.operator import OperatorConfig

MAX_LOG_LINES_PER_S = 20
LOG_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class LogRateLimit(logging.Filter):
    """Drops log lines beyond `MAX_LOG_LINES_PER_S`, so that logging can't overload the process."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the line is written."""
        second = int(record.created)
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        return self.lines <= MAX_LOG_LINES_PER_S


async def serve(
    config: PlatformConfig, environ: dict[str, str], operator: OperatorConfig | None, early_signals: list[int]
) -> None:
    """Runs the gateway in the running event loop."""
    loop = asyncio.get_running_loop()
    await GatewayProgram(config, loop, environ=environ, operator=operator).run(early_signals)


def collect_early_signals() -> list[int]:
    """Returns a list that collects SIGHUP and SIGTERM until the event loop handles them: without handlers
    they would end the process."""
    early: list[int] = []
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, lambda received, frame: early.append(received))
    return early


def configure_log() -> None:
    """Configures logging to standard error, with a rate limit."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format=LOG_FORMAT)
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimit())


def load_operator(environ: dict[str, str], config: PlatformConfig) -> OperatorConfig | None:
    """Reads the operator's file if the environment names one. Raises ConfigError with all findings if it is
    invalid."""
    path = environ.get(OPERATOR_FILE_VARIABLE)
    if not path:
        return None
    from .operator_reload import read_operator

    return read_operator(path, config)


def run(operator_file: str | None = None) -> int:
    """Runs a gateway until a signal ends it. `operator_file` takes precedence over the environment variable.
    Returns the exit status: 0 after a signal, 1 if the gateway could not start, 2 if a file is invalid."""
    early_signals = collect_early_signals()
    configure_log()
    environ = dict(os.environ)
    if operator_file:
        environ[OPERATOR_FILE_VARIABLE] = operator_file
    try:
        config = load(environ)
        operator = load_operator(environ, config)
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
