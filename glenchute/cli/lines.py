"""The backend that shares connections, from the operator's `[pipeline]`. Imported only where a file has
it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from glenchute.config.pipeline import rules_of
from glenchute.config.platform import PlatformConfig
from glenchute.policy.connections.class_compatibility import ClassCompatibility
from glenchute.policy.connections.pipeline_types import PipelineRules
from glenchute.upstreams.pipelined import Gather, Lines


def rules(raw: Mapping[str, Any], config: PlatformConfig) -> PipelineRules:
    """The rules that the table makes on this platform."""
    return rules_of(raw)._replace(
        max_idle_ms=1000.0 * config.limits.idle_s, may_hedge=config.settings.allows_hedging
    )


def sharing(raw: Mapping[str, Any], config: PlatformConfig) -> ClassCompatibility:
    """Which classes may share a line."""
    return ClassCompatibility(config.settings.classes, raw["classes"], raw.get("behind_unsafe", False))


def backend(raw: Mapping[str, Any], config: PlatformConfig, loop: asyncio.AbstractEventLoop) -> Lines:
    """The backend."""
    usual = Gather()
    gather = Gather(raw.get("gather", usual.most), raw.get("gather_bytes", usual.most_bytes))
    made, shared = rules(raw, config), sharing(raw, config)
    return Lines(loop, config.limits, config.settings.classes, made, shared, gather)
