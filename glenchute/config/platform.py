"""Loads the platform's configuration: the JSON file that EDGE_CONFIG names, with environment variables as
fallbacks for single values.

Only this module and `policy_settings` use the platform's field names.
"""

from __future__ import annotations

import json
import socket
from typing import Any

from glenchute.core.limits import RequestBounds, UpstreamLimits
from glenchute.core.types import EndpointUpdate
from glenchute.policy.connections.descriptor_budget import DescriptorBudget, divide_descriptors
from glenchute.policy.record import record
from glenchute.policy.settings import Settings
from glenchute.protocol.endpoint_list import EndpointListError, decode_list, parse_address
from glenchute.protocol.streamed_reply import MAX_STREAMED_BYTES

from .facts import ClassFacts, PlatformFacts
from .policy_settings import IDEMPOTENCY_SCOPES, number, policy_settings, table

OPERATOR_FILE_VARIABLE = "GLENCHUTE_OPERATOR"
MAX_GATEWAYS = 1_000_000  # gateway numbers are from 0 to below this
MIN_DESCRIPTORS = 64
DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192.0
MIN_STREAMED_VALUES = 4
STREAMING_MEMORY_FRACTION = 0.25  # share of the memory for streamed values
# Share of the memory for long values that are received completely before they are sent.
BUFFERED_VALUES_MEMORY_FRACTION = 0.125
MIN_CLIENT_BYTES = 1024 * 1024
CLIENT_MEMORY_FRACTION = 0.2  # share of the memory for clients' commands and unread replies
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
DEFAULT_DRAIN_GRACE_MS = 250.0
DEFAULT_DEADLINE_MS = 60_000.0
DEFAULT_MAX_UNITS = 1e6  # per request
STREAM_BYTES = 192 * 1024  # memory of one streamed value: bytes that wait for the client, and one read
IDLE_MARGIN_S = 2.0  # idle connections are closed this long before the servers close them
MIN_IDLE_S = 0.5


class ConfigError(Exception):
    """An invalid configuration, on which a gateway does not start."""


@record(frozen=True, slots=True)
class PlatformConfig:
    """The platform's configuration of a gateway.

    operations_address: the operations address, which the platform's file calls `operator`
    max_descriptors: descriptors of the process, which `budget` divides
    cached_endpoints: an endpoint list from before the start
    passed_descriptor: the descriptor of the clients' listening socket, if the platform holds that socket
    gateway_number: this gateway's number, below `settings.gateway_count`; None if the platform states none
    stated_number: the number that the platform states, even if it is not below `settings.gateway_count`
    max_client_bytes: limit of the bytes buffered for all clients together
    """

    name: str
    listen: tuple[str, int]
    operations_address: tuple[str, int] | None
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    max_descriptors: int
    budget: DescriptorBudget
    cached_endpoints: EndpointUpdate | None
    passed_descriptor: int | None
    settings: Settings
    gateway_number: int | None
    stated_number: int | None
    limits: UpstreamLimits
    request_bounds: RequestBounds
    max_client_bytes: int
    facts: PlatformFacts


def load(environ: dict[str, str]) -> PlatformConfig:
    """Loads the configuration; environment variables provide values that the file omits. Raises
    ConfigError."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"can't read {path}: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"{path} has no object `settings`")
    try:
        return build(raw, environ)
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise ConfigError(f"invalid configuration in {path}: {error}") from None


def build(raw: dict[str, Any], environ: dict[str, str]) -> PlatformConfig:
    """Builds and checks the configuration. Raises ValueError, TypeError, AttributeError or KeyError if a part
    is invalid."""
    settings = policy_settings(raw["settings"])
    if not settings.classes or not settings.plans:
        raise EndpointListError("the settings have no classes or no plans")
    descriptors = int(number(table(raw, "limits").get("sockets"), DEFAULT_DESCRIPTORS))
    if descriptors < MIN_DESCRIPTORS:
        raise EndpointListError(f"limits.sockets is {descriptors}; at least {MIN_DESCRIPTORS} are needed")
    operations = raw.get("operator") or environ.get("EDGE_OPERATOR")
    budget = divide_descriptors(descriptors, bool(operations))
    return PlatformConfig(
        name=str(raw.get("name") or environ.get("EDGE_NAME") or "gateway"),
        listen=parse_address(raw.get("listen") or environ.get("EDGE_LISTEN")),
        operations_address=parse_address(operations) if operations else None,
        discovery=parse_address(raw.get("discovery") or environ.get("EDGE_DISCOVERY")),
        counter=parse_address(raw["counter"]) if raw.get("counter") and settings.has_counter else None,
        seed=int(str(raw.get("seed") or 0), 16),
        max_descriptors=descriptors,
        budget=budget,
        cached_endpoints=decode_list(raw["known"], saved=True) if raw.get("known") else None,
        passed_descriptor=descriptor(environ.get("EDGE_PASSED_SOCKET")),
        settings=settings,
        gateway_number=gateway_number(raw["settings"].get("me"), settings.gateway_count),
        stated_number=gateway_number(raw["settings"].get("me"), MAX_GATEWAYS),
        limits=connection_limits(raw, budget),
        request_bounds=request_bounds(raw["settings"]),
        max_client_bytes=max(MIN_CLIENT_BYTES, int(memory_bytes(raw) * CLIENT_MEMORY_FRACTION)),
        facts=platform_facts(settings, raw["settings"]),
    )


def memory_bytes(raw: dict[str, Any]) -> float:
    """Returns the memory that the process may use, in bytes."""
    return number(table(raw, "limits").get("memory_mb"), DEFAULT_MEMORY_MB) * 1e6


def connection_limits(raw: dict[str, Any], budget: DescriptorBudget) -> UpstreamLimits:
    """Returns the limits of connections to servers."""
    limits, safety = table(raw["settings"], "limits"), table(raw["settings"], "safety")
    streamed_values = int(memory_bytes(raw) * STREAMING_MEMORY_FRACTION / STREAM_BYTES)
    server_idle_s = number(limits.get("conn_idle_ms"), DEFAULT_IDLE_TIMEOUT_MS) / 1000.0
    return UpstreamLimits(
        connect_timeout_s=number(limits.get("connect_timeout_ms"), DEFAULT_CONNECT_TIMEOUT_MS) / 1000.0,
        max_idle_s=max(MIN_IDLE_S, server_idle_s - IDLE_MARGIN_S),
        drain_grace_s=number(safety.get("drain_grace_ms"), DEFAULT_DRAIN_GRACE_MS) / 1000.0,
        max_connections=budget.server_connections,
        max_streams=max(MIN_STREAMED_VALUES, streamed_values),
        max_buffered_value_bytes=max(
            MAX_STREAMED_BYTES, int(memory_bytes(raw) * BUFFERED_VALUES_MEMORY_FRACTION)
        ),
    )


def request_bounds(raw: dict[str, Any]) -> RequestBounds:
    """Returns the upper bounds on a request."""
    deadlines_ms = [number(row.get("hard_limit_ms")) for row in raw["profiles"]]
    return RequestBounds(
        max_units=number((raw.get("domain") or {}).get("max_units")) or DEFAULT_MAX_UNITS,
        max_deadline_ms=max(deadlines_ms) if deadlines_ms and min(deadlines_ms) > 0 else DEFAULT_DEADLINE_MS,
    )


def gateway_number(me: Any, gateways: int) -> int | None:
    """Returns this gateway's number if it is an integer below `gateways`, else None."""
    return me if isinstance(me, int) and not isinstance(me, bool) and 0 <= me < gateways else None


def descriptor(text: str | None) -> int | None:
    """Parses a descriptor's number, in decimal; None if the variable is not set."""
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 6:
        raise ValueError(f"EDGE_PASSED_SOCKET is not a descriptor: {text!r}")
    return int(text)


def passed_socket(config: PlatformConfig) -> socket.socket | None:
    """Returns the clients' listening socket that the platform passed, or None if it passed none. Raises
    ConfigError if the socket does not listen at `listen`: a process that accepts elsewhere, or not at all,
    must not report that it serves."""
    if config.passed_descriptor is None:
        return None
    what = f"EDGE_PASSED_SOCKET: descriptor {config.passed_descriptor}"
    try:
        found = socket.socket(fileno=config.passed_descriptor)
    except OSError as error:
        raise ConfigError(f"{what} is no socket: {error.strerror}") from None
    try:
        if found.family != socket.AF_INET or found.type != socket.SOCK_STREAM:
            raise ConfigError(f"{what} is no TCP socket over IPv4")
        if not found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ConfigError(f"{what} does not listen")
        name = found.getsockname()
        if name != config.listen:
            raise ConfigError(f"{what} listens at {name[0]}:{name[1]}, not at `listen`")
    except ConfigError:
        found.detach()  # the descriptor belongs to the platform and stays open
        raise
    return found


def platform_facts(settings: Settings, raw: dict[str, Any]) -> PlatformFacts:
    """Returns the facts that the rules of the operator's file need. Whether a group is known is taken from
    the raw settings, since the engine's settings treat an unknown one as the narrowest."""
    rows = {str(row.get("name")): row for row in raw["profiles"] if isinstance(row, dict)}
    classes = {
        cls.name: ClassFacts(
            idempotency=cls.idempotency,
            deadline_ms=number(rows[cls.name].get("hard_limit_ms")) or DEFAULT_DEADLINE_MS,
            idempotency_window_ms=cls.idempotency_window_ms,
            is_scope_known=str(rows[cls.name].get("group")) in IDEMPOTENCY_SCOPES,
        )
        for cls in settings.classes
    }
    limits = table(raw, "limits")
    return PlatformFacts(
        classes=classes,
        plans=tuple(plan.name for plan in settings.plans),
        max_attempts=settings.max_attempts,
        allows_hedging=settings.allows_hedging,
        connect_timeout_ms=number(limits.get("connect_timeout_ms"), DEFAULT_CONNECT_TIMEOUT_MS),
        max_streams=int(number(limits.get("max_streams"))),
        idle_timeout_ms=number(limits.get("conn_idle_ms"), DEFAULT_IDLE_TIMEOUT_MS),
    )
