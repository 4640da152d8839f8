"""Assembles, starts, reloads and shuts down one gateway process."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from glenchute.clients.counter import CounterClient
from glenchute.clients.discovery import DiscoveryClient
from glenchute.config.platform import OPERATOR_FILE_VARIABLE, ConfigError, PlatformConfig, load, passed_socket
from glenchute.core.executor import RequestExecutor
from glenchute.core.types import DecisionHandler, EndpointUpdate
from glenchute.listeners.resp2.commands import CommandParser
from glenchute.listeners.resp2.listener import Listener
from glenchute.policy.balancing.subset_size import MAX_SUBSET_SIZE
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.lifecycle.draining import SHUTDOWN_ACCEPT_S

from . import subsystems

if TYPE_CHECKING:
    from collections.abc import Iterable

    from glenchute.capture.recorder import Recorder
    from glenchute.clients.membership.node import MemberNode
    from glenchute.config.operator import OperatorConfig
    from glenchute.control.server import ControlServer
    from glenchute.listeners.extproc.server import ExtProcServer
    from glenchute.policy.endpoints.list_confirmation import ListConfirmation
    from glenchute.policy.events import Endpoint
    from glenchute.upstreams.server_pools import ServerPools

    from .handover import ProcessHandover
    from .operator_reload import OperatorReload

# A start waits this long, once discovery has been polled, for a current endpoint list before it serves from
# the cached one.
LIST_WAIT_S = 0.3
FIRST_POLL_WAIT_S = 2.0  # a start waits this long for the first poll to be sent
OUTAGE_S = 5.0  # attempts that fail this long after the last response show that no server responds
FLUSH_S = 0.05  # time for commands that cross the end of the open requests, which are rejected
MAX_FLUSH_S = 0.15  # limit of the time to write the last replies; `ANSWER_MARGIN_S` is left before the kill
ACCEPT_POLL_S = 0.002
FLUSH_POLL_S = 0.005
CLIENTS_POLL_S = 0.02
GC_THRESHOLDS = (20_000, 20, 20)

log = logging.getLogger("glenchute")


class GatewayProgram:
    """One gateway process, from start to end.

    The engine is wrapped, from the inside out, by the capture recorder, the subsetting and the usage updates
    of the members' gossip, as far as the operator's file enables them."""

    def __init__(
        self,
        config: PlatformConfig,
        loop: asyncio.AbstractEventLoop,
        decisions: DecisionHandler | None = None,
        environ: dict[str, str] | None = None,
        operator: OperatorConfig | None = None,
    ) -> None:
        self.config, self.loop = config, loop
        self.environ = environ or {}
        self.passed_socket = passed_socket(config)
        self.stopping = asyncio.Event()
        pipelined = operator.pipeline if operator is not None else None
        self.servers = self.create_upstream(pipelined)
        self.counter = self.create_counter()
        self.recorder: Recorder | None = None
        self.fleet: MemberNode | None = None
        self.control: ControlServer | None = None
        engine = self.wrap_engine(decisions or DecisionEngine(config.settings, config.seed), operator)
        self.gateway = RequestExecutor(loop, engine, self.servers, self.counter)
        self.gateway.allows_concurrent_attempts = config.settings.allows_hedging
        if operator is None or operator.subset is None:
            self.gateway.endpoints.server_limit = MAX_SUBSET_SIZE
            self.gateway.endpoints.on_server_limit_exceeded = self.use_subset
        if operator is not None:
            self.apply_routes(operator)
        self.listener = self.create_listener(pipelined)
        self.extproc: ExtProcServer | None = None
        if operator is not None and operator.fronts and "extproc" in operator.fronts:
            self.extproc = subsystems.create_extproc(operator.fronts["extproc"], config, loop, self.gateway)
        self.operations = None
        if config.operations_address is not None:
            self.operations = subsystems.create_operations(loop, self.listener, self.fleet)
        self.list_confirmation: ListConfirmation | None = None
        self.discovery = self.create_discovery((operator.discovery if operator is not None else None) or {})
        self.handover = self.create_handover() if self.passed_socket is not None else None
        if self.fleet is not None:
            self.fleet.endpoint_sync.apply_update = self.gateway.update_endpoints
            self.fleet.audit.counter = self.counter
        self.operator_reload: OperatorReload | None = None
        self.tables_at_start = operator.restart_tables() if operator is not None else None

    # --- components --------------------------------------------------------------------------------------

    def create_upstream(self, pipelined: dict[str, Any] | None) -> ServerPools:
        """Creates the connections to the servers."""
        return subsystems.create_upstream(pipelined, self.config, self.loop)

    def create_subset(
        self, engine: DecisionHandler, raw: dict[str, Any], listed: Iterable[Endpoint] = ()
    ) -> DecisionHandler:
        """Wraps the engine so that it uses a subset of the servers."""
        return subsystems.create_subsetting(engine, self.config, raw, listed)

    def create_counter(self) -> CounterClient | None:
        """Creates the client of the shared counter; None if none is configured."""
        config = self.config
        if config.counter is None:
            return None
        timeout_s = config.settings.counter_timeout_ms / 1000.0
        return CounterClient(self.loop, config.counter, timeout_s, config.budget.counter_connections)

    def wrap_engine(self, engine: DecisionHandler, operator: OperatorConfig | None) -> DecisionHandler:
        """Wraps the engine with the components that the operator's file enables."""
        if operator is None:
            return engine
        if operator.capture is not None:
            self.recorder = subsystems.create_recorder(engine, self.config, operator.capture, self.loop.time)
            engine = self.recorder
        if operator.subset is not None:
            engine = self.create_subset(engine, operator.subset)
        if operator.fleet is not None:
            self.fleet = subsystems.create_member_node(engine, self.config, operator.fleet, self.loop)
            self.control = self.create_control(self.fleet, operator.fleet)
            engine = self.fleet.reporter
        return engine

    def create_control(self, members: MemberNode, raw: dict[str, Any]) -> ControlServer | None:
        """Creates the control socket with the members' commands; None if the operator's file names none."""
        from glenchute.control.server import ControlServer

        if "control" not in raw:
            return None
        control = ControlServer(raw["control"])
        control.register("fleet", members.verbs())
        return control

    def create_listener(self, pipelined: dict[str, Any] | None) -> Listener:
        """Creates the listener for clients."""
        settings = self.config.settings
        parser = CommandParser(settings, self.config.request_bounds)
        listener = Listener(self.loop, self.gateway, parser, self.config.budget, self.config.max_client_bytes)
        if pipelined is not None:
            self.gateway.max_attempts = settings.max_attempts
            self.gateway.reports_assignments = self.recorder is not None
            listener.may_release_replies = pipelined.get("release", False)
        return listener

    def create_discovery(self, raw: dict[str, Any]) -> DiscoveryClient:
        """Creates the discovery client."""
        if raw.get("doubt"):
            self.list_confirmation = self.create_list_confirmation()
        discovery = DiscoveryClient(
            self.loop,
            self.config.discovery,
            self.update_endpoints,
            subsystems.polling_settings(self.config, raw, self.fleet is not None),
            self.config.seed,
            self.list_confirmation,
            self.are_servers_responding,
        )
        discovery.on_restriction = self.gateway.update_endpoints
        return discovery

    def create_list_confirmation(self) -> ListConfirmation:
        """Creates the check that holds back implausible endpoint lists; imported only if the operator enables
        it."""
        from glenchute.policy.endpoints.list_confirmation import ListConfirmation

        return ListConfirmation()

    def create_handover(self) -> ProcessHandover | None:
        """Creates the handover between predecessor and successor processes; imported only if the platform
        replaces processes."""
        from .handover import ProcessHandover

        folder = self.environ.get("TMPDIR")
        return ProcessHandover.create(
            folder, self.config, self.loop, self.gateway, self.listener, self.servers, self.discovery
        )

    def apply_routes(self, operator: OperatorConfig) -> None:
        """Applies the operator's routes, at the start."""
        from glenchute.policy.retries.route_limits import RouteTable

        self.gateway.routes = RouteTable(operator.bindings, self.config.seed)

    def reread_operator_file(self, path: str, config: PlatformConfig) -> None:
        """Reads the operator's file again in a background thread, and applies its routes if it is valid."""
        from .operator_reload import OperatorReload

        if self.operator_reload is None:
            self.operator_reload = OperatorReload(self.loop, self.gateway, self.tables_at_start)
        self.operator_reload.request(path, config)

    # --- endpoints ---------------------------------------------------------------------------------------

    def are_servers_responding(self) -> bool:
        """Returns whether servers respond, judged by recent requests."""
        return self.gateway.last_failure_at - self.gateway.last_response_at < OUTAGE_S

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Applies an endpoint list, or changes to it, from discovery."""
        if self.fleet is not None:
            self.fleet.endpoint_sync.receive_discovery(update)
        self.gateway.update_endpoints(update)

    def use_subset(self) -> None:
        """Restricts the engine to a subset of the servers, from the next update on, since the list has grown
        past the number that a gateway can use. The order of wrappers is that of `wrap_engine`."""
        rows, servers = self.discovery.current_list.rows, self.servers
        listed = [
            rows[name][0] for name in servers.server_ids() if name in rows and not servers.is_stopping(name)
        ]
        if self.fleet is not None:
            self.fleet.reporter.engine = self.create_subset(self.fleet.reporter.engine, {}, listed)
        else:
            self.gateway.decisions = self.create_subset(self.gateway.decisions, {}, listed)
        log.info("more than %d servers are listed: from now on a subset of them is used", MAX_SUBSET_SIZE)

    # --- lifecycle ---------------------------------------------------------------------------------------

    async def run(self, early_signals: list[int]) -> None:
        """Serves until a signal ends it. `early_signals`: those received before the loop ran."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopping.set)
        if signal.SIGTERM in early_signals:
            self.stopping.set()
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.recorder is not None:
            self.loop.add_signal_handler(signal.SIGUSR1, self.recorder.trigger, "asked for")
        await self.start()
        if self.stopping.is_set():  # a signal came before any client was accepted
            await self.close()
            return
        if signal.SIGHUP in early_signals:
            self.reload()
        gc.collect()
        gc.freeze()  # objects loaded at the start are permanent, so no collection needs to scan them
        gc.set_threshold(*GC_THRESHOLDS)
        gc.enable()
        log.info("%s serves", self.config.name)
        await self.stopping.wait()
        await self.shut_down()
        log.info("%s has ended", self.config.name)

    async def start(self) -> None:
        """Starts the components; clients are accepted last."""
        if self.operations is not None and self.config.operations_address is not None:
            await self.operations.start(*self.config.operations_address)
        cached = self.config.cached_endpoints
        if cached is not None:
            self.gateway.update_endpoints(cached)
            if self.list_confirmation is not None:
                self.list_confirmation.apply(cached.version, cached.event)
        polls_at_once = self.fleet is not None and self.fleet.endpoint_sync.attach_discovery(
            cached, self.discovery
        )
        should_wait_for_list = self.discovery.start(cached, LIST_WAIT_S, polls_at_once)
        if self.fleet is not None:
            await self.fleet.start()
        if self.control is not None:
            await self.control.start()
        if self.handover is not None:
            await self.handover.request_state()
        if should_wait_for_list:
            await self.wait_for_list()
        if self.stopping.is_set():
            return
        await self.listener.start(*self.config.listen, self.passed_socket)
        if self.handover is not None:
            await self.handover.start_serving()
        if self.extproc is not None:
            await self.extproc.start()

    async def wait_for_list(self) -> None:
        """Waits briefly for discovery, since the cached list may be old, but a start must not depend on
        discovery. Sending the poll has a timeout of its own: a process that gets little CPU time sends it
        late, and that must not count as a slow answer of the discovery service."""
        await wait_for_event(self.discovery.first_poll_made, FIRST_POLL_WAIT_S)
        await wait_for_event(self.discovery.first_answer, LIST_WAIT_S)

    def reload(self) -> None:
        """Reads the platform's file again and applies its addresses; all other changes wait for a restart.
        The operator's file is read again too, in a background thread."""
        try:
            config = load(self.environ)
        except ConfigError as error:
            log.error("the configuration in force stays: %s", error)
            return
        log.info("the configuration was read again")
        current = self.config
        comparable = replace(
            config,
            discovery=current.discovery,
            counter=current.counter,
            cached_endpoints=None,
            seed=current.seed,
        )
        if comparable != replace(current, cached_endpoints=None):
            log.warning("a change other than the addresses of discovery and counter waits for a restart")
        self.discovery.change_address(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.change_address(config.counter)
        self.config = replace(current, discovery=config.discovery, counter=config.counter)
        if self.environ.get(OPERATOR_FILE_VARIABLE):
            self.reread_operator_file(self.environ[OPERATOR_FILE_VARIABLE], config)

    async def shut_down(self) -> None:
        """Shuts down gracefully: accepts late connections, finishes requests in flight, and ends before the
        platform kills the process."""
        lifecycle, is_replaced = self.listener.lifecycle, self.passed_socket is not None
        began = self.loop.time()
        log.info(
            "shutdown: begins with %d connections and %d open requests",
            len(self.listener.clients),
            len(self.gateway.active_requests),
        )
        extproc_stop = None
        if self.extproc is not None:
            # GOAWAY at once: proxies open new streams elsewhere, and open streams are served to their end.
            extproc_stop = self.loop.create_task(self.extproc.stop(lifecycle.shutdown_grace_s))
        if self.fleet is not None:
            self.fleet.leave(replaced=is_replaced)
        self.listener.start_shutdown(replaced=is_replaced)
        end = began + lifecycle.shutdown_grace_s  # by then, each request in flight gets a final response
        if not is_replaced:
            await self.accept_until(end)
        self.listener.stop()  # connections pending on a passed socket are left to the successor
        while self.listener.clients and self.loop.time() < end:
            await asyncio.sleep(CLIENTS_POLL_S)
        if extproc_stop is not None:
            await extproc_stop
        # Each reply makes room for commands that their connections held back, and others may just arrive:
        # nobody would wait for the servers' responses to these.
        lifecycle.end_admission()
        if self.handover is not None:
            self.handover.end_admission()
        log.info("shutdown: %d open requests were ended", self.gateway.close_all())
        self.listener.fail_buffered_values()
        await self.flush_replies()
        if self.gateway.active_requests:
            log.error("shutdown: %d requests stay unanswered", len(self.gateway.active_requests))
        await self.close()

    async def accept_until(self, end: float) -> None:
        """Accepts connections for `SHUTDOWN_ACCEPT_S`, and longer while some are pending: closing the socket
        would reset those, and lose requests that clients have sent on them."""
        await asyncio.sleep(SHUTDOWN_ACCEPT_S)
        while self.listener.has_pending_accept() and self.loop.time() < end:
            await asyncio.sleep(ACCEPT_POLL_S)

    async def flush_replies(self) -> None:
        """Waits until all clients have disconnected: for at most `FLUSH_S`, or for `MAX_FLUSH_S` while
        replies are not written."""
        began = self.loop.time()
        while self.listener.clients:
            limit_s = MAX_FLUSH_S if self.listener.has_unwritten_replies() else FLUSH_S
            if self.loop.time() - began >= limit_s:
                return
            await asyncio.sleep(FLUSH_POLL_S)

    async def close(self) -> None:
        """Closes all components and their sockets."""
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


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Waits for an event, for at most `timeout_s`."""
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return
