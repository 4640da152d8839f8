"""``glenchute run``: reads the configuration, starts the parts, and ends on a signal."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

import uvloop

from glenchute.clients.counter import CounterClient
from glenchute.clients.discovery import DiscoveryClient
from glenchute.config.platform import OPERATOR_FILE_VARIABLE, ConfigError, PlatformConfig, load, passed_socket
from glenchute.core.executor import RequestExecutor
from glenchute.core.types import DecisionHandler, EndpointUpdate
from glenchute.listeners.resp2.commands import CommandParser
from glenchute.listeners.resp2.listener import Listener
from glenchute.policy.balancing.subset_size import MAX_SUBSET_SIZE
from glenchute.policy.endpoints.polling import PollingTerms
from glenchute.policy.engine import DecisionEngine as Policy
from glenchute.policy.lifecycle.draining import SHUTDOWN_ACCEPT_S
from glenchute.upstreams.server_pools import ServerPools

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from glenchute.capture.recorder import Recorder
    from glenchute.clients.membership.node import MemberNode
    from glenchute.config.operator import OperatorConfig
    from glenchute.control.server import ControlServer
    from glenchute.listeners.extproc.server import ExtProcServer as ExtProc
    from glenchute.listeners.operations import OperationsServer
    from glenchute.policy.endpoints.list_confirmation import ListConfirmation
    from glenchute.policy.events import Endpoint

    from .background_reload import BackgroundReload, ReloadedFile
    from .handover import ProcessHandover

LIST_WAIT_S = 0.3  # a start waits this long for the list of the day before it serves by the saved one ...
CALL_WAIT_S = 2.0  # ... from when it was asked for, which takes the process this long at most
SERVING_S = 5.0  # attempts that fail so long after the last answer tell that no server answers
LINGER_S = 0.05
SUBSET_KEYS = {"servers": "min_servers", "busy": "busy_attempts", "calm": "calm_attempts"}  # of [subset]
LOG_LINES_S = 20
LINES_A_TURN = 50  # of warnings, whether the limit lets them through or not

log = logging.getLogger("glenchute")


class LogLimit(logging.Filter):
    """At most so many lines a second: the log must not become the load."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        return self.lines <= LOG_LINES_S


class Program:
    """One gateway process, from start to end."""

    def __init__(
        self,
        config: PlatformConfig,
        loop: asyncio.AbstractEventLoop,
        decisions: DecisionHandler | None = None,
        environ: dict[str, str] | None = None,
        operator: OperatorConfig | None = None,
    ) -> None:
        self.config = config
        self.passed = passed_socket(config)
        self.environ = environ or {}
        self.loop = loop
        made = config.settings
        shared = operator.pipeline if operator is not None else None  # connections to servers
        self.servers = self.backend(shared)
        self.counter = (
            CounterClient(
                loop, config.counter, made.counter_timeout_ms / 1000.0, config.budget.counter_connections
            )
            if config.counter
            else None
        )
        decisions = decisions or Policy(made, config.seed)
        self.recorder: Recorder | None = None
        if operator is not None and operator.capture is not None:
            decisions = self.recorder = self.recording(decisions, operator.capture)
        raw = operator.subset if operator is not None else None
        if raw is not None:
            decisions = self.narrowed(decisions, raw)
        self.fleet: MemberNode | None = None
        self.control: ControlServer | None = None
        if operator is not None and operator.fleet is not None:
            decisions = self.among_members(decisions, operator.fleet)
        self.gateway = RequestExecutor(loop, decisions, self.servers, self.counter)
        self.gateway.allows_concurrent_attempts = made.allows_hedging
        if raw is None:
            self.gateway.endpoints.server_limit, self.gateway.endpoints.on_server_limit_exceeded = (
                MAX_SUBSET_SIZE,
                self.narrow,
            )
        if operator is not None:
            self.bind(operator)
        catalogue = CommandParser(made, config.request_bounds)
        self.listener = Listener(loop, self.gateway, catalogue, config.budget)
        if shared is not None:
            self.gateway.max_attempts = made.max_attempts
            self.gateway.reports_assignments = self.recorder is not None
            self.listener.may_release_replies = shared.get("release", False)
        self.extproc: ExtProc | None = None
        if operator is not None and operator.fronts and "extproc" in operator.fronts:
            self.extproc = self.processing(operator.fronts["extproc"])
        self.handover = self.make_handover() if self.passed is not None else None
        self.operations = self.operating() if config.operations_address is not None else None
        asked = (operator.discovery if operator is not None else None) or {}
        self.list_confirmation = self.make_list_confirmation() if asked.get("doubt") else None
        self.discovery = DiscoveryClient(
            loop,
            config.discovery,
            self.listed,
            self.terms(asked),
            config.seed,
            self.list_confirmation,
            self.serving,
        )
        self.discovery.on_restriction = self.gateway.update_endpoints
        if self.fleet is not None:
            self.fleet.endpoint_sync.apply_update = self.gateway.update_endpoints
            self.fleet.audit.counter = self.counter
        # What of the operator's file holds until a restart.
        self.begun = started(operator) if operator is not None else None
        self.background_reload: BackgroundReload[ReloadedFile] | None = None  # the reading of that file again
        self.stopping = asyncio.Event()

    def terms(self, asked: dict[str, Any]) -> PollingTerms:
        """Who shares discovery, and what it bears."""
        # Who tells what the service bears, or has gateways ask for each other, has a shared one.
        pushed = not self.config.settings.must_subscribe and not asked and self.fleet is None
        terms = PollingTerms(self.config.settings.gateway_count, self.config.gateway_number, is_pushed=pushed)
        return terms._replace(
            rate_per_s=asked.get("calls_per_s", terms.rate_per_s), max_list_age_s=asked.get("list_age_s")
        )

    def serving(self) -> bool:
        """Whether servers answer, as far as anybody has asked them."""
        return self.gateway.last_failure_at - self.gateway.last_response_at < SERVING_S

    def backend(self, shared: dict[str, Any] | None) -> ServerPools:
        """The connections to the servers: one for each attempt, or shared where the operator's file says
        so."""
        if shared is None:
            return ServerPools(self.loop, self.config.limits)
        from .pipelined_upstream import pipelined_upstream

        return pipelined_upstream(shared, self.config, self.loop)

    def narrowed(
        self, decisions: DecisionHandler, raw: dict[str, Any], listed: Iterable[Endpoint] = ()
    ) -> DecisionHandler:
        """The module that is told of some of the servers only; imported only where the operator's file says
        so, or a list is that long. A gateway that does not know its number takes one by its seed: balanced by
        chance alone."""
        from glenchute.policy.balancing.subset import SubsetTerms
        from glenchute.policy.balancing.subsetting_engine import SubsettingEngine

        made, number = self.config.settings, self.config.stated_number
        number = number if number is not None else self.config.seed
        chosen = {SUBSET_KEYS[key]: value for key, value in raw.items()}
        terms = SubsetTerms(made.gateway_count, number, **chosen)
        return SubsettingEngine(decisions, made, terms, listed)

    def narrow(self) -> None:
        """The list has become longer than a gateway can use whole: from the next word of it on the module is
        told of some servers. It stands as with `[subset]`: behind members' words, before the recorder."""
        rows, servers = self.discovery.current_list.rows, self.servers
        listed = [rows[name][0] for name in servers.server_ids() if name in rows and not servers.stops(name)]
        if self.fleet is not None:
            self.fleet.reporter.module = self.narrowed(self.fleet.reporter.module, {}, listed)
        else:
            self.gateway.decisions = self.narrowed(self.gateway.decisions, {}, listed)
        log.info("more than %d servers are listed: from now on a part of them is used", MAX_SUBSET_SIZE)

    def recording(self, decisions: DecisionHandler, raw: dict[str, Any]) -> Recorder:
        """The module behind a recorder; imported only where the operator's file asks for one."""
        from glenchute.capture.recorder import CaptureRule, Recorder
        from glenchute.config.files import secret_key

        named = raw.get("account_key_file")
        rule = CaptureRule(
            folder=raw["folder"],
            ring=raw.get("mode", "ring") == "ring",
            segment_s=raw.get("segment_s", 10.0),
            segment_bytes=int(raw.get("segment_mb", 4.0) * 1024 * 1024),
            segments=raw.get("segments", 12),
            refusal_share=raw.get("refusal_share", 1.0),
            account_key=secret_key(named, "account_key_file") if named else None,
        )
        return Recorder(decisions, self.config.settings, self.config.seed, rule, self.loop.time)

    def processing(self, raw: dict[str, Any]) -> ExtProc:
        """The front for proxies; imported, with its libraries, only where the operator's file names it."""
        try:
            from glenchute.listeners.extproc.start import create_server
        except ImportError as error:
            raise ConfigError(f"fronts.extproc needs glenchute[extproc]: {error}") from None
        return create_server(raw, self.config, self.loop, self.gateway)

    def among_members(self, decisions: DecisionHandler, raw: dict[str, Any]) -> DecisionHandler:
        """The members' socket, and the module behind what they tell; imported only where `[fleet]` is set."""
        from glenchute.control.server import ControlServer

        try:
            from glenchute.clients.membership.node import MemberNode
        except ImportError as error:
            raise ConfigError(f"fleet needs glenchute[fleet]: {error}") from None
        config = self.config
        self.fleet = MemberNode(
            raw, self.loop, decisions, config.settings, config.seed, config.gateway_number
        )
        if "control" in raw:
            self.control = ControlServer(raw["control"])
            self.control.register("fleet", self.fleet.verbs())
        return self.fleet.reporter

    def listed(self, news: EndpointUpdate) -> None:
        """Discovery's word."""
        if self.fleet is not None:
            self.fleet.endpoint_sync.receive_discovery(news)
        self.gateway.update_endpoints(news)

    def operating(self) -> OperationsServer:
        """The second address; imported only where the platform names one."""
        from glenchute.listeners.operations import OperationsServer

        listener = self.listener

        def ready() -> tuple[int, str]:
            return (200 if listener.lifecycle.is_ready else 503), listener.lifecycle.phase.value

        def on() -> tuple[int, str]:
            listener.start_drain()
            if self.fleet is not None:
                self.fleet.pause_tasks()
            return (200 if listener.lifecycle.is_closing_connections else 409), listener.lifecycle.phase.value

        def off() -> tuple[int, str]:
            listener.end_drain()
            if self.fleet is not None:
                self.fleet.resume_tasks()
            return (200 if listener.lifecycle.is_ready else 409), listener.lifecycle.phase.value

        return OperationsServer(
            self.loop,
            {"/_ready": {"GET": ready}, "/_lameduck/on": {"PUT": on}, "/_lameduck/off": {"PUT": off}},
        )

    def make_handover(self) -> ProcessHandover | None:
        """The way to the processes before and after; imported only where the platform replaces them."""
        from .handover import ProcessHandover

        folder = self.environ.get("TMPDIR")
        return ProcessHandover.create(
            folder, self.config, self.loop, self.gateway, self.listener, self.servers
        )

    def make_list_confirmation(self) -> ListConfirmation:
        """Confirms unusual endpoint lists; imported only where the operator's file asks for it."""
        from glenchute.policy.endpoints.list_confirmation import ListConfirmation

        return ListConfirmation()

    def bind(self, operator: OperatorConfig) -> None:
        """The operator's routes hold for requests from the start on."""
        from glenchute.policy.retries.route_limits import RouteTable

        self.gateway.routes = RouteTable(operator.bindings, self.config.seed)

    async def run(self, early: list[int]) -> None:
        """Serves until told to stop. `early` holds the signals that came before the loop ran."""
        for sign in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(sign, self.stopping.set)
        if signal.SIGTERM in early:
            self.stopping.set()
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.recorder is not None:
            self.loop.add_signal_handler(signal.SIGUSR1, self.recorder.trigger, "asked for")
        await self.start()
        if self.stopping.is_set():  # told to end before it took anybody
            await self.close()
            return
        if signal.SIGHUP in early:
            self.reload()
        gc.collect()
        gc.freeze()  # what was loaded lives for ever; no collection needs to look at it again
        gc.set_threshold(20_000, 20, 20)
        log.info("%s serves", self.config.name)
        await self.stopping.wait()
        await self.leave()
        log.info("%s has ended", self.config.name)

    async def start(self) -> None:
        """Brings the parts up; clients come last."""
        if self.operations is not None and self.config.operations_address is not None:
            await self.operations.start(*self.config.operations_address)
        if self.config.cached_endpoints is not None:
            self.gateway.update_endpoints(self.config.cached_endpoints)
            if self.list_confirmation is not None:
                saved = self.config.cached_endpoints
                self.list_confirmation.apply(saved.version, saved.event)
        asks = self.fleet is not None and self.fleet.endpoint_sync.attach_discovery(
            self.config.cached_endpoints, self.discovery
        )
        awaited = self.discovery.start(self.config.cached_endpoints, LIST_WAIT_S, asks)
        if self.fleet is not None:
            await self.fleet.start()
        if self.control is not None:
            await self.control.start()
        if self.handover is not None:
            await self.handover.request_state()
        # The saved list may be old: a moment is given for today's, but no start hangs on discovery. Where the
        # turn to ask comes later than that, the saved list serves until then.
        if awaited:
            # A process that gets little of its core makes the call late: that time is not the agent's.
            await wait(self.discovery.first_poll_made, CALL_WAIT_S)
            await wait(self.discovery.first_answer, LIST_WAIT_S)
        if self.stopping.is_set():
            return
        await self.listener.start(*self.config.listen, self.passed)
        if self.handover is not None:
            await self.handover.start_serving()
        if self.extproc is not None:
            await self.extproc.start()

    def reload(self) -> None:
        """Reads the configuration again. Its addresses are followed; the rest holds until a restart. The
        operator's file is read again too, beside the loop, and its routes are followed if all of it is
        sound."""
        try:
            config = load(self.environ)
        except ConfigError as error:
            log.error("the configuration in force stays: %s", error)
            return
        log.info("the configuration was read again")
        if replace(
            config,
            discovery=self.config.discovery,
            counter=self.config.counter,
            cached_endpoints=None,
            seed=self.config.seed,
        ) != replace(self.config, cached_endpoints=None):
            log.warning("what changed besides the addresses of discovery and counter waits for a restart")
        self.discovery.change_address(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.change_address(config.counter)
        self.config = replace(self.config, discovery=config.discovery, counter=config.counter)
        if self.environ.get(OPERATOR_FILE_VARIABLE):
            self.reread(self.environ[OPERATOR_FILE_VARIABLE], config)

    def reread(self, path: str, config: PlatformConfig) -> None:
        """Reads the operator's file beside the loop, as it may take long; `follow` is told what came of it.
        Asked for again meanwhile, it is read once more afterwards."""
        from .background_reload import BackgroundReload

        if self.background_reload is None:
            self.background_reload = BackgroundReload(self.loop, self.follow)
        self.background_reload.submit(partial(read_again, path, config))

    def follow(self, found: ReloadedFile | Exception) -> None:
        """A sound file's routes hold for requests from now on; a wrong one changes nothing. Each is told."""
        if isinstance(found, Exception):
            fault = None if isinstance(found, ConfigError) else found
            log.error("the operator's file in force stays: %s", found, exc_info=fault)
            return
        routes = self.gateway.routes
        self.gateway.routes = found.routes.inherit_budgets(routes) if routes is not None else found.routes
        self.tell(found, 0)

    def tell(self, found: ReloadedFile, first: int) -> None:
        """Logs what was read, some lines a turn of the loop: a file may have a warning for each route."""
        for line in found.warnings[first : first + LINES_A_TURN]:
            log.warning("%s", line)
        if first + LINES_A_TURN < len(found.warnings):
            self.loop.call_soon(self.tell, found, first + LINES_A_TURN)
            return
        log.info("the operator's file was read again")
        if self.begun is not None and found.started != self.begun:
            tables = "[capture], [discovery], [fleet], [fronts], [pipeline] and [subset]"
            log.warning("what changed in %s waits for a restart", tables)

    async def leave(self) -> None:
        """A planned end: takes what still comes, finishes what is held, and is gone before the kill."""
        began = self.loop.time()
        proxies = None
        if self.extproc is not None:
            # GOAWAY at once: a proxy opens its next stream elsewhere, and what is open is served to its end.
            proxies = self.loop.create_task(self.extproc.stop(self.listener.lifecycle.shutdown_grace_s))
        if self.fleet is not None:
            self.fleet.leave(replaced=self.passed is not None)
        self.listener.start_shutdown(replaced=self.passed is not None)
        end = began + self.listener.lifecycle.shutdown_grace_s  # what is still held then is answered and left
        if self.passed is None:
            await asyncio.sleep(SHUTDOWN_ACCEPT_S)
            # Closing the socket resets those that wait to be accepted, with requests that have been taken. A
            # process that stood still meanwhile finds them all here.
            while self.listener.has_pending_accept() and self.loop.time() < end:
                await asyncio.sleep(0.002)
        self.listener.stop()  # what waits to be accepted at a socket that was passed on is another process's
        while self.listener.clients and self.loop.time() < end:
            await asyncio.sleep(0.02)
        if proxies is not None:
            await proxies
        self.gateway.close_all()
        await asyncio.sleep(LINGER_S)  # for the last replies to leave
        await self.close()

    async def close(self) -> None:
        """Closes all sockets."""
        self.listener.close()
        if self.operations is not None:
            self.operations.close()
        if self.handover is not None:
            self.handover.close()
        if self.extproc is not None:
            await self.extproc.stop(0.0)
        if self.fleet is not None:
            self.fleet.close()
        if self.control is not None:
            self.control.close()
        self.discovery.close()
        if self.counter is not None:
            self.counter.close()
        self.servers.close()
        if self.recorder is not None:
            self.recorder.close()
        await asyncio.sleep(0)


def started(operator: OperatorConfig) -> tuple[Any, ...]:
    """What of an operator's file is followed only from a start on."""
    return (operator.capture, operator.fronts, operator.pipeline, operator.fleet, operator.discovery,
            operator.subset)  # fmt: skip


async def wait(event: asyncio.Event, seconds: float) -> None:
    """Waits for an event, but not for ever."""
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return


async def serve(
    config: PlatformConfig, environ: dict[str, str], operator: OperatorConfig | None, early: list[int]
) -> None:
    """Runs the program in the loop that is running."""
    loop = asyncio.get_running_loop()
    await Program(config, loop, environ=environ, operator=operator).run(early)


def checked(
    path: str, config: PlatformConfig, rest: Callable[[], None] | None = None
) -> tuple[OperatorConfig, list[str]]:
    """The operator's file and its warnings; with all that is wrong in a ConfigError. `rest` is called between
    parts of the reading. Imported only where one is named."""
    from glenchute.config.operator import read

    reading = read(path, config.facts, rest)
    lines = [finding.render(path) for finding in reading.findings]
    if reading.config is None:
        raise ConfigError("\n".join(lines))
    return reading.config, lines


def read_again(path: str, config: PlatformConfig) -> ReloadedFile:
    """What a sound operator's file brings to a gateway that serves; ConfigError for a wrong one. Touches
    nothing else, so that it may run beside the loop."""
    from glenchute.policy.retries.route_limits import RouteTable

    from .background_reload import ReloadedFile, TimeSlices

    try:
        operator, warnings = checked(path, config, TimeSlices().yield_if_over)
    except ConfigError as error:
        raise error.with_traceback(None) from None  # that holds all findings, to be freed on the loop
    return ReloadedFile(RouteTable(operator.bindings, config.seed), started(operator), warnings)


def read_operator(path: str, config: PlatformConfig) -> OperatorConfig:
    """The same; the warnings are logged."""
    operator, lines = checked(path, config)
    for line in lines:
        log.warning("%s", line)
    return operator


def run(operator_file: str | None = None) -> int:
    """Runs a gateway until told to stop; the exit status. `operator_file` counts before the variable."""
    early: list[int] = []  # without handlers these would end the process at once, however early they come
    for sign in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(sign, lambda number, frame: early.append(number))
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogLimit())
    try:
        environ = dict(os.environ)
        if operator_file:
            environ[OPERATOR_FILE_VARIABLE] = operator_file
        config = load(environ)
        operator = (
            read_operator(environ[OPERATOR_FILE_VARIABLE], config)
            if environ.get(OPERATOR_FILE_VARIABLE)
            else None
        )
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, environ, operator, early))
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"glenchute: can't start: {error}", file=sys.stderr)
        return 1
    return 0
