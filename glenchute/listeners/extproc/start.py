"""Builds the external processor from the operator's table."""

from __future__ import annotations

import asyncio
from typing import Any

from glenchute.config.extproc import rules
from glenchute.config.files import read_file, secret_key
from glenchute.config.platform import PlatformConfig
from glenchute.core.executor import RequestExecutor

from .ratelimit import RateLimiter
from .server import ExtProcServer, TlsCredentials
from .settings import ClassLimits, ExtProcSettings
from .table import RequestTable
from .token import TokenSigner


def token_signer(raw: dict[str, Any]) -> TokenSigner:
    """Signs with the operators' key, or with one of this process's own."""
    if "token_key_file" not in raw:
        return TokenSigner()
    return TokenSigner(secret_key(raw["token_key_file"], "token_key_file"))


def tls_credentials(raw: dict[str, Any] | None) -> TlsCredentials | None:
    """The certificates that the table names, if any."""
    if raw is None:
        return None
    client_ca = read_file(raw["client_ca"], "client_ca") if "client_ca" in raw else None
    return TlsCredentials(
        read_file(raw["certificate"], "certificate"), read_file(raw["key"], "key", True), client_ca
    )


def extproc_settings(raw: dict[str, Any], config: PlatformConfig) -> tuple[ExtProcSettings, Any]:
    """The listener's settings, and the mapping rules for rate limit calls if these are enabled."""
    facts, made = config.facts, config.settings
    requests, limits = rules(raw, facts, made.gateway_count, config.request_bounds.max_units)
    class_limits = {
        name: ClassLimits(
            cls.idempotency,
            cls.idempotency_window_ms,
            min(cls.deadline_ms, config.request_bounds.max_deadline_ms),
        )
        for name, cls in facts.classes.items()
    }
    found = ExtProcSettings(
        requests,
        class_limits,
        max_calls=raw.get("most_calls", 10_000),
        reconnect_grace_s=raw.get("reopen_ms", 250.0) / 1000.0,
        has_attempt_streams=raw.get("attempt_streams", True),
        endpoint_header=raw.get("endpoint_header", "x-gateway-destination-endpoint"),
        load_header=raw.get("load_header", "x-glenchute-load"),
        rejected_status=raw.get("full_status", 429),
        resumable_classes=frozenset(raw.get("restart_open", ())),
        max_attempts=made.max_attempts,
    )
    return found, limits


def create_server(
    raw: dict[str, Any], config: PlatformConfig, loop: asyncio.AbstractEventLoop, gateway: RequestExecutor
) -> ExtProcServer:
    """The server, not listening yet; raises ConfigError where a file that it needs can't be used."""
    found, limits = extproc_settings(raw, config)
    calls = RequestTable(loop, gateway, found, token_signer(raw))
    limiter = None
    if limits is not None:
        wait_ms = min(config.request_bounds.max_deadline_ms, 1000.0)
        limiter = RateLimiter(gateway, limits, raw["ratelimit"]["domain"], wait_ms, calls.counts)
    most = raw.get("most_streams", 4 * found.max_calls)
    longest_s = max(limits.max_deadline_ms for limits in found.class_limits.values()) / 1000.0
    return ExtProcServer(calls, limiter, raw["listen"], most, tls_credentials(raw.get("tls")), longest_s)
