"""The operator's file in a gateway that runs: read at the start, and again on SIGHUP beside the event
loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from glenchute.config.platform import ConfigError, PlatformConfig
from glenchute.core.executor import RequestExecutor

if TYPE_CHECKING:
    from glenchute.config.operator import OperatorConfig

    from .background_reload import BackgroundReload, ReloadedFile

WARNINGS_PER_TURN = 50  # logged in one turn of the event loop: a file may have a warning for each route
RESTART_TABLES = "[capture], [discovery], [fleet], [fronts], [pipeline] and [subset]"

log = logging.getLogger("glenchute")


def tables_until_restart(operator: OperatorConfig) -> tuple[Any, ...]:
    """The tables of an operator's file whose changes wait for a restart (`RESTART_TABLES`)."""
    return (
        operator.capture,
        operator.fronts,
        operator.pipeline,
        operator.fleet,
        operator.discovery,
        operator.subset,
    )


def load_operator_file(
    path: str, config: PlatformConfig, yield_processor: Callable[[], None] | None = None
) -> tuple[OperatorConfig, list[str]]:
    """The operator's file and its warnings. ConfigError with all that is wrong. `yield_processor` is called
    between parts of the reading."""
    from glenchute.config.operator import read

    result = read(path, config.facts, yield_processor)
    lines = [finding.render(path) for finding in result.findings]
    if result.config is None:
        raise ConfigError("\n".join(lines))
    return result.config, lines


def read_operator(path: str, config: PlatformConfig) -> OperatorConfig:
    """The operator's file; its warnings are logged. ConfigError with all that is wrong."""
    operator, warnings = load_operator_file(path, config)
    for line in warnings:
        log.warning("%s", line)
    return operator


def reload_operator_file(path: str, config: PlatformConfig) -> ReloadedFile:
    """What a valid operator's file brings to a gateway that serves; ConfigError for another. Touches nothing
    else, so that it may run in a thread beside the loop."""
    from glenchute.policy.retries.route_limits import RouteTable

    from .background_reload import ReloadedFile, TimeSlices

    try:
        operator, warnings = load_operator_file(path, config, TimeSlices().yield_if_over)
    except ConfigError as error:
        raise error.with_traceback(None) from None  # that holds all findings, to be freed on the loop
    routes = RouteTable(operator.bindings, config.seed)
    return ReloadedFile(routes, tables_until_restart(operator), warnings)


class OperatorReload:
    """Applies the routes of the operator's file when it is read again; a file with errors changes nothing."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, executor: RequestExecutor, operator: OperatorConfig | None
    ) -> None:
        self.loop, self.executor = loop, executor
        self.tables_at_start = tables_until_restart(operator) if operator is not None else None
        self.background: BackgroundReload[ReloadedFile] | None = None

    def request(self, path: str, config: PlatformConfig) -> None:
        """Reads the file beside the loop. Requested again meanwhile, it is read once more afterwards."""
        from .background_reload import BackgroundReload

        if self.background is None:
            self.background = BackgroundReload(self.loop, self.apply)
        self.background.submit(partial(reload_operator_file, path, config))

    def apply(self, result: ReloadedFile | Exception) -> None:
        """The routes of a valid file hold for requests from now on."""
        if isinstance(result, Exception):
            fault = None if isinstance(result, ConfigError) else result
            log.error("the operator's file in force stays: %s", result, exc_info=fault)
            return
        old = self.executor.routes
        self.executor.routes = result.routes.inherit_budgets(old) if old is not None else result.routes
        self.log_result(result, 0)

    def log_result(self, result: ReloadedFile, first: int) -> None:
        """Logs the warnings from number `first` on, some in each turn of the loop, then what was applied."""
        for line in result.warnings[first : first + WARNINGS_PER_TURN]:
            log.warning("%s", line)
        if first + WARNINGS_PER_TURN < len(result.warnings):
            self.loop.call_soon(self.log_result, result, first + WARNINGS_PER_TURN)
            return
        log.info("the operator's file was read again")
        if self.tables_at_start is not None and result.started != self.tables_at_start:
            log.warning("what changed in %s waits for a restart", RESTART_TABLES)
