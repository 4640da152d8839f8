"""Builds the external processor from the table `fronts.extproc` of the operator's file."""

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
    """Returns a signer with the key that the table names, or with a random key of this process."""
    if "token_key_file" not in raw:
        return TokenSigner()
    return TokenSigner(secret_key(raw["token_key_file"], "token_key_file"))


def tls_credentials(raw: dict[str, Any] | None) -> TlsCredentials | None:
    """Reads the certificates and the key that the table `tls` names; None without that table."""
    if raw is None:
        return None
    client_ca = read_file(raw["client_ca"], "client_ca") if "client_ca" in raw else None
    return TlsCredentials(
        read_file(raw["certificate"], "certificate"), read_file(raw["key"], "key", True), client_ca
    )


def extproc_settings(raw: dict[str, Any], config: PlatformConfig) -> tuple[ExtProcSettings, Any]:
    """Returns the listener's settings, and the mapping rules for rate limit calls or None if these are not
    enabled."""
    facts, decision_settings = config.facts, config.settings
    request_rules, rate_limit_rules = rules(
        raw, facts, decision_settings.gateway_count, config.request_bounds.max_units
    )
    class_limits = {
        name: ClassLimits(
            cls.idempotency,
            cls.idempotency_window_ms,
            min(cls.deadline_ms, config.request_bounds.max_deadline_ms),
        )
        for name, cls in facts.classes.items()
    }
    settings = ExtProcSettings(
        request_rules,
        class_limits,
        max_requests=raw.get("most_calls", 10_000),
        reconnect_grace_s=raw.get("reopen_ms", 250.0) / 1000.0,
        has_attempt_streams=raw.get("attempt_streams", True),
        endpoint_header=raw.get("endpoint_header", "x-gateway-destination-endpoint"),
        load_header=raw.get("load_header", "x-glenchute-load"),
        rejected_status=raw.get("full_status", 429),
        resumable_classes=frozenset(raw.get("restart_open", ())),
        max_attempts=decision_settings.max_attempts,
    )
    return settings, rate_limit_rules


def create_server(
    raw: dict[str, Any], config: PlatformConfig, loop: asyncio.AbstractEventLoop, gateway: RequestExecutor
) -> ExtProcServer:
    """Creates the server, not listening yet. Raises ConfigError if a file that it needs can't be used."""
    settings, rate_limit_rules = extproc_settings(raw, config)
    table = RequestTable(loop, gateway, settings, token_signer(raw))
    limiter = None
    if rate_limit_rules is not None:
        deadline_ms = min(config.request_bounds.max_deadline_ms, 1000.0)
        limiter = RateLimiter(
            gateway, rate_limit_rules, raw["ratelimit"]["domain"], deadline_ms, table.counts
        )
    max_streams = raw.get("most_streams", 4 * settings.max_requests)
    max_deadline_s = max(limits.max_deadline_ms for limits in settings.class_limits.values()) / 1000.0
    return ExtProcServer(
        table, limiter, raw["listen"], max_streams, tls_credentials(raw.get("tls")), max_deadline_s
    )
