"""Creates the pipelined upstream from the operator's table `[pipeline]`. Imported only for a file with that
table."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from glenchute.config.pipeline import rules_from_table
from glenchute.config.platform import PlatformConfig
from glenchute.policy.connections.class_compatibility import ClassCompatibility
from glenchute.policy.connections.pipeline_types import PipelineRules
from glenchute.upstreams.pipeline_runtime import WriteLimits
from glenchute.upstreams.pipelined_servers import PipelinedServers


def pipeline_rules(raw: Mapping[str, Any], config: PlatformConfig) -> PipelineRules:
    """Returns the rules of a validated table on this platform."""
    max_idle_ms = 1000.0 * config.limits.max_idle_s
    return rules_from_table(raw)._replace(max_idle_ms=max_idle_ms, may_hedge=config.settings.allows_hedging)


def class_compatibility(raw: Mapping[str, Any], config: PlatformConfig) -> ClassCompatibility:
    """Returns which classes may share a connection."""
    return ClassCompatibility(config.settings.classes, raw["classes"], raw.get("behind_unsafe", False))


def pipelined_upstream(
    raw: Mapping[str, Any], config: PlatformConfig, loop: asyncio.AbstractEventLoop
) -> PipelinedServers:
    """Creates the upstream of a validated table."""
    default = WriteLimits()
    write_limits = WriteLimits(
        raw.get("gather", default.max_commands), raw.get("gather_bytes", default.max_bytes)
    )
    return PipelinedServers(
        loop,
        config.limits,
        config.settings.classes,
        pipeline_rules(raw, config),
        class_compatibility(raw, config),
        write_limits,
    )
