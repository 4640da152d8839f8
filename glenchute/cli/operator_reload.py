"""Reads the operator's file at the start of a gateway, and again in a background thread on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from glenchute.config.platform import ConfigError, PlatformConfig
from glenchute.core.executor import RequestExecutor

if TYPE_CHECKING:
    from glenchute.config.operator import OperatorConfig, RestartTables

    from .background_reload import BackgroundReload, ReloadedFile

WARNINGS_PER_TURN = 50  # logged per iteration of the event loop: a file may cause a warning for each route
RESTART_TABLES = "[capture], [discovery], [fleet], [fronts], [pipeline] and [subset]"

log = logging.getLogger("glenchute")


def load_operator_file(
    path: str, config: PlatformConfig, yield_processor: Callable[[], None] | None = None
) -> tuple[OperatorConfig, list[str]]:
    """Returns the operator's file and its warnings. Raises ConfigError with all findings if it is invalid.
    `yield_processor` is called between parts of the reading."""
    from glenchute.config.operator import read

    result = read(path, config.facts, yield_processor)
    lines = [finding.render(path) for finding in result.findings]
    if result.config is None:
        raise ConfigError("\n".join(lines))
    return result.config, lines


def read_operator(path: str, config: PlatformConfig) -> OperatorConfig:
    """Returns the operator's file and logs its warnings. Raises ConfigError with all findings if it is
    invalid."""
    operator, warnings = load_operator_file(path, config)
    for line in warnings:
        log.warning("%s", line)
    return operator


def reload_operator_file(path: str, config: PlatformConfig) -> ReloadedFile:
    """Reads the operator's file for a running gateway. Raises ConfigError if it is invalid. Accesses no
    shared state, so that it may run in a background thread."""
    from glenchute.policy.retries.route_limits import RouteTable

    from .background_reload import ReloadedFile, TimeSlices

    try:
        operator, warnings = load_operator_file(path, config, TimeSlices().yield_if_over)
    except ConfigError as error:
        # The traceback would hold all findings until they are freed at once on the loop.
        raise error.with_traceback(None) from None
    routes = RouteTable(operator.bindings, config.seed)
    return ReloadedFile(routes, operator.restart_tables(), warnings)


class OperatorReload:
    """Reads the operator's file again and applies its routes; a file with errors changes nothing."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        executor: RequestExecutor,
        tables_at_start: RestartTables | None,
    ) -> None:
        self.loop, self.executor = loop, executor
        self.tables_at_start = tables_at_start
        self.background: BackgroundReload[ReloadedFile] | None = None

    def request(self, path: str, config: PlatformConfig) -> None:
        """Reads the file in the background. If requested again in the meantime, it is read once more
        afterwards."""
        from .background_reload import BackgroundReload

        if self.background is None:
            self.background = BackgroundReload(self.loop, self.apply)
        self.background.submit(partial(reload_operator_file, path, config))

    def apply(self, result: ReloadedFile | Exception) -> None:
        """Applies the routes of a valid file to all further requests, or logs why the file was rejected."""
        if isinstance(result, Exception):
            fault = None if isinstance(result, ConfigError) else result
            log.error("the operator's file in force stays: %s", result, exc_info=fault)
            return
        old = self.executor.routes
        self.executor.routes = result.routes.inherit_budgets(old) if old is not None else result.routes
        self.log_result(result, 0)

    def log_result(self, result: ReloadedFile, first: int) -> None:
        """Logs the warnings from index `first` on, some per iteration of the loop, then that the file was
        applied."""
        for line in result.warnings[first : first + WARNINGS_PER_TURN]:
            log.warning("%s", line)
        if first + WARNINGS_PER_TURN < len(result.warnings):
            self.loop.call_soon(self.log_result, result, first + WARNINGS_PER_TURN)
            return
        log.info("the operator's file was read again")
        if self.tables_at_start is not None and result.restart_tables != self.tables_at_start:
            log.warning("what changed in %s waits for a restart", RESTART_TABLES)
