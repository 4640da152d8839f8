"""The backend that shares connections, from the operator's `[pipeline]`. Imported only where a file has
it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from glenchute.backends.lines import Gather, Lines
from glenchute.config import pipeline as keys
from glenchute.config.platform import Config
from glenchute.deciders.pipeline import Rules
from glenchute.deciders.sharing import Sharing


def rules_of(raw: Mapping[str, Any], config: Config) -> Rules:
    """The rules that the table makes on this platform."""
    return Rules(
        depth=raw.get("depth", keys.DEPTH),
        at_risk=raw.get("at_risk", keys.AT_RISK),
        wait_ms=raw.get("wait_ms", keys.WAIT_MS),
        settle_ms=raw.get("settle_ms", keys.SETTLE_MS),
        idle_ms=1000.0 * config.limits.idle_s,
        stall_quantile=raw.get("stall_quantile", keys.STALL_QUANTILE),
        stall_factor=raw.get("stall_factor", keys.STALL_FACTOR),
        least_stall_ms=raw.get("least_stall_ms", keys.LEAST_STALL_MS),
        open_price_ms=raw.get("open_price_ms", keys.OPEN_PRICE_MS),
        copies=config.settings.overlap,
        adaptive=raw.get("adaptive", True),
    )


def sharing_of(raw: Mapping[str, Any], config: Config) -> Sharing:
    """Which classes may share a line."""
    return Sharing(config.settings.classes, raw["classes"], raw.get("behind_unsafe", False))


def backend(raw: Mapping[str, Any], config: Config, loop: asyncio.AbstractEventLoop) -> Lines:
    """The backend."""
    gather = Gather(raw.get("gather", keys.GATHER), raw.get("gather_bytes", keys.GATHER_BYTES))
    rules, sharing = rules_of(raw, config), sharing_of(raw, config)
    return Lines(loop, config.limits, config.settings.classes, rules, sharing, gather)
