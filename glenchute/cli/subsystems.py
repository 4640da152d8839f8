"""Creates the components of a gateway that the platform's or the operator's file enables.

Each is imported only if a file enables it; a missing library then raises `ConfigError`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from glenchute.config.platform import ConfigError, PlatformConfig
from glenchute.core.executor import RequestExecutor
from glenchute.core.types import DecisionHandler
from glenchute.listeners.resp2.listener import Listener
from glenchute.policy.endpoints.polling import PollingSettings
from glenchute.upstreams.server_pools import ServerPools

if TYPE_CHECKING:
    from collections.abc import Iterable

    from glenchute.capture.recorder import Recorder
    from glenchute.clients.membership.node import MemberNode
    from glenchute.listeners.extproc.server import ExtProcServer
    from glenchute.listeners.operations import OperationsServer
    from glenchute.policy.events import Endpoint

# Keys of the operator's table [subset], mapped to fields of `SubsetSettings`.
SUBSET_KEYS = {"servers": "min_servers", "busy": "busy_attempts", "calm": "calm_attempts"}
DEFAULT_SEGMENT_S = 10.0
DEFAULT_SEGMENT_MB = 4.0
DEFAULT_SEGMENTS = 12

Status = tuple[int, str]  # HTTP status and body of a response at the operations address


def create_upstream(
    pipelined: dict[str, Any] | None, config: PlatformConfig, loop: asyncio.AbstractEventLoop
) -> ServerPools:
    """Creates the connections to the servers: one per attempt, or pipelined if the operator's file says
    so."""
    if pipelined is None:
        return ServerPools(loop, config.limits)
    from .pipelined_upstream import pipelined_upstream

    return pipelined_upstream(pipelined, config, loop)


def create_subsetting(
    decisions: DecisionHandler, config: PlatformConfig, raw: dict[str, Any], listed: Iterable[Endpoint] = ()
) -> DecisionHandler:
    """Wraps the engine so that it uses a subset of the servers. A gateway without a number takes one from its
    seed, so that servers are spread over the gateways at random only."""
    from glenchute.policy.balancing.subset import SubsetSettings
    from glenchute.policy.balancing.subsetting_engine import SubsettingEngine

    number = config.stated_number if config.stated_number is not None else config.seed
    chosen = {SUBSET_KEYS[key]: value for key, value in raw.items()}
    subset_settings = SubsetSettings(config.settings.gateway_count, number, **chosen)
    return SubsettingEngine(decisions, config.settings, subset_settings, listed)


def create_recorder(
    decisions: DecisionHandler, config: PlatformConfig, raw: dict[str, Any], clock: Callable[[], float]
) -> Recorder:
    """Wraps the engine with a capture recorder."""
    from glenchute.capture.recorder import CaptureRule, Recorder
    from glenchute.config.files import secret_key

    key_file = raw.get("account_key_file")
    rule = CaptureRule(
        folder=raw["folder"],
        ring=raw.get("mode", "ring") == "ring",
        segment_s=raw.get("segment_s", DEFAULT_SEGMENT_S),
        segment_bytes=int(raw.get("segment_mb", DEFAULT_SEGMENT_MB) * 1024 * 1024),
        max_segments=raw.get("segments", DEFAULT_SEGMENTS),
        rejection_trigger_fraction=raw.get("refusal_share", 1.0),
        pseudonym_key=secret_key(key_file, "account_key_file") if key_file else None,
    )
    return Recorder(decisions, config.settings, config.seed, rule, clock)


def create_member_node(
    decisions: DecisionHandler,
    config: PlatformConfig,
    raw: dict[str, Any],
    loop: asyncio.AbstractEventLoop,
) -> MemberNode:
    """Creates the member's gossip node, which also wraps the engine to send and apply usage updates."""
    try:
        from glenchute.clients.membership.node import MemberNode
    except ImportError as error:
        raise ConfigError(f"fleet needs glenchute[fleet]: {error}") from None
    return MemberNode(raw, loop, decisions, config.settings, config.seed, config.gateway_number)


def create_extproc(
    raw: dict[str, Any],
    config: PlatformConfig,
    loop: asyncio.AbstractEventLoop,
    executor: RequestExecutor,
) -> ExtProcServer:
    """Creates the listener for ext_proc proxies."""
    try:
        from glenchute.listeners.extproc.start import create_server
    except ImportError as error:
        raise ConfigError(f"fronts.extproc needs glenchute[extproc]: {error}") from None
    return create_server(raw, config, loop, executor)


def create_operations(
    loop: asyncio.AbstractEventLoop, listener: Listener, members: MemberNode | None
) -> OperationsServer:
    """Creates the server of the operations address, for readiness and drains. The platform defines the
    paths."""
    from glenchute.listeners.operations import OperationsServer

    lifecycle = listener.lifecycle

    def ready() -> Status:
        return (200 if lifecycle.is_ready else 503), lifecycle.phase.value

    def start_drain() -> Status:
        listener.start_drain()
        if members is not None:
            members.pause_tasks()
        return (200 if lifecycle.is_closing_connections else 409), lifecycle.phase.value

    def end_drain() -> Status:
        listener.end_drain()
        if members is not None:
            members.resume_tasks()
        return (200 if lifecycle.is_ready else 409), lifecycle.phase.value

    actions = {
        "/_ready": {"GET": ready},
        "/_lameduck/on": {"PUT": start_drain},
        "/_lameduck/off": {"PUT": end_drain},
    }
    return OperationsServer(loop, actions)


def polling_settings(config: PlatformConfig, raw: dict[str, Any], has_members: bool) -> PollingSettings:
    """Returns how many gateways share discovery, and its rate limit. Discovery is a shared service if the
    operator states its rate limit or configures members; otherwise an agent local to this gateway pushes the
    lists, unless the platform requires a subscription."""
    is_pushed = not config.settings.must_subscribe and not raw and not has_members
    settings = PollingSettings(config.settings.gateway_count, config.gateway_number, is_pushed=is_pushed)
    return settings._replace(
        rate_per_s=raw.get("calls_per_s", settings.rate_per_s), max_list_age_s=raw.get("list_age_s")
    )
