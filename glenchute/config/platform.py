"""The platform's file: what DEPLOY tells a gateway, read from the JSON that EDGE_CONFIG names."""

from __future__ import annotations

import json
import socket
from typing import Any

from glenchute.clients.discovery import ListError, address, read_list
from glenchute.core.types import News
from glenchute.listeners.resp2.commands import Bounds, bounds
from glenchute.policy.connections.descriptor_budget import DescriptorBudget, divide_descriptors
from glenchute.policy.record import record
from glenchute.policy.settings import Settings
from glenchute.simulator import SCOPES, num, settings
from glenchute.upstreams.limits import UpstreamLimits

from .facts import ClassFacts, Facts

OPERATOR = "GLENCHUTE_OPERATOR"  # the variable that names the operator's file


MOST_GATEWAYS = 1_000_000  # a gateway's number is under this, or is none
LONG_SHARE = 0.25  # of the memory that long values may take on their way through
LONG_COST = 192 * 1024  # bytes of one: what waits for the client, and what comes in one read


class ConfigError(Exception):
    """A configuration that no gateway can run on."""


@record(frozen=True, slots=True)
class Config:
    """What the platform tells a gateway."""

    name: str
    listen: tuple[str, int]
    operations: tuple[str, int] | None  # the second address; the platform's name for it is `operator`
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    sockets: int
    budget: DescriptorBudget  # the parts of these
    known: News | None
    passed: int | None  # the descriptor of the clients' listening socket, where the platform holds that
    settings: Settings
    number: int | None  # of this gateway among `settings.gateways`; None where the platform does not say
    place: int | None  # the number that the platform gave, though it may not be one of `settings.gateways`
    limits: UpstreamLimits
    bounds: Bounds
    facts: Facts


def part(raw: dict[str, Any], key: str) -> dict[str, Any]:
    """A nested object, or an empty one."""
    found = raw.get(key)
    return found if isinstance(found, dict) else {}


def load(environ: dict[str, str]) -> Config:
    """The configuration; the single variables count where the file is silent."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"can't read {path}: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"{path} holds no settings")
    try:
        return build(raw, environ)
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise ConfigError(f"bad configuration in {path}: {error}") from None


def build(raw: dict[str, Any], environ: dict[str, str]) -> Config:
    """The parts of the configuration, checked."""
    made = settings(raw["settings"])
    if not made.classes or not made.plans:
        raise ListError("the settings name no classes or no plans")
    limits, safety = part(raw["settings"], "limits"), part(raw["settings"], "safety")
    sockets = int(num(part(raw, "limits").get("sockets"), 1024))
    if sockets < 64:
        raise ListError(f"{sockets} sockets are too few")
    memory_mb = num(part(raw, "limits").get("memory_mb"), 192.0)
    operations = raw.get("operator") or environ.get("EDGE_OPERATOR")
    parts = divide_descriptors(sockets, bool(operations))
    return Config(
        name=str(raw.get("name") or environ.get("EDGE_NAME") or "gateway"),
        listen=address(raw.get("listen") or environ.get("EDGE_LISTEN")),
        operations=address(operations) if operations else None,
        discovery=address(raw.get("discovery") or environ.get("EDGE_DISCOVERY")),
        counter=address(raw["counter"]) if raw.get("counter") and made.has_counter else None,
        seed=int(str(raw.get("seed") or 0), 16),
        sockets=sockets,
        budget=parts,
        known=read_list(raw["known"], saved=True) if raw.get("known") else None,
        passed=descriptor(environ.get("EDGE_PASSED_SOCKET")),
        settings=made,
        number=own_number(raw["settings"].get("me"), made.gateway_count),
        place=own_number(raw["settings"].get("me"), MOST_GATEWAYS),
        limits=UpstreamLimits(
            connect_timeout_s=num(limits.get("connect_timeout_ms"), 250.0) / 1000.0,
            max_idle_s=max(0.5, num(limits.get("conn_idle_ms"), 15_000.0) / 1000.0 - 2.0),
            drain_grace_s=num(safety.get("drain_grace_ms"), 250.0) / 1000.0,
            max_connections=parts.server_connections,
            max_streams=max(4, int(memory_mb * 1e6 * LONG_SHARE / LONG_COST)),
        ),
        bounds=bounds(raw["settings"]),
        facts=facts(made, raw["settings"]),
    )


def own_number(me: Any, gateways: int) -> int | None:
    """This gateway's number among them, if it is one."""
    return me if isinstance(me, int) and not isinstance(me, bool) and 0 <= me < gateways else None


def descriptor(text: str | None) -> int | None:
    """A descriptor's number, in decimal."""
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 6:
        raise ValueError(f"EDGE_PASSED_SOCKET is no descriptor: {text!r}")
    return int(text)


def passed_socket(config: Config) -> socket.socket | None:
    """The clients' listening socket that was passed on, checked to be what `listen` names; None where none
    was. ConfigError where it is anything else: a process that accepts somewhere else, or not at all, must
    not say that it serves."""
    if config.passed is None:
        return None
    what = f"EDGE_PASSED_SOCKET: descriptor {config.passed}"
    try:
        found = socket.socket(fileno=config.passed)
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
        found.detach()  # it is not ours to close
        raise
    return found


def facts(made: Settings, raw: dict[str, Any]) -> Facts:
    """What the rules of the operator's file need to know. The raw settings still tell an unknown group from a
    known one, which the interface reads as the narrowest."""
    rows = {str(row.get("name")): row for row in raw["profiles"] if isinstance(row, dict)}
    classes = {
        cls.name: ClassFacts(
            repeat=cls.idempotency,
            deadline_ms=num(rows[cls.name].get("hard_limit_ms")) or 60_000.0,
            memory_ms=cls.idempotency_window_ms,
            scope_known=str(rows[cls.name].get("group")) in SCOPES,
        )
        for cls in made.classes
    }
    return Facts(
        classes=classes,
        plans=tuple(plan.name for plan in made.plans),
        attempts_cap=made.max_attempts,
        overlap=made.allows_hedging,
        connect_ms=num(part(raw, "limits").get("connect_timeout_ms"), 250.0),
        streams=int(num(part(raw, "limits").get("max_streams"))),
        idle_ms=num(part(raw, "limits").get("conn_idle_ms"), 15_000.0),
    )
