"""``glenchute pipeline``: prints which classes may share a connection to a server, and within which
limits."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator

from glenchute.config.platform import ConfigError, PlatformConfig
from glenchute.policy.connections.class_compatibility import DESCRIPTIONS

from .files import load_platform, load_valid_operator, operator_path
from .pipelined_upstream import class_compatibility, pipeline_rules


def command(args: argparse.Namespace) -> int:
    """Prints the table. Returns 0, or 2 if a file is invalid."""
    try:
        path, config = operator_path(args.operator), load_platform(args.platform)
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    operator = load_valid_operator(path, config.facts)
    if operator is None:
        return 2
    if operator.pipeline is None:
        print("no [pipeline]: each attempt has a connection to itself")
        return 0
    for line in table(operator.pipeline, config):
        print(line)
    return 0


def table(raw: dict[str, object], config: PlatformConfig) -> Iterator[str]:
    """Yields the lines of the table and of the rules."""
    compatibility, rules = class_compatibility(raw, config), pipeline_rules(raw, config)
    width = max(len(name) for name in compatibility.classes)
    yield f"{'behind':>{width}}  {'ahead':<{width}}  may stand there"
    for row in compatibility.rows():
        yield f"{row.behind:>{width}}  {row.ahead:<{width}}  {row.compatibility.value}"
    for kind, description in DESCRIPTIONS.items():
        yield f"  {kind.value}: {description}"
    queued = rules.max_queued_per_server
    yield f"  {rules.max_depth} attempts per connection at most, {queued} behind others per server"
    yield (f"  a head is stalled after {rules.stall_factor:g} times its class's {rules.stall_quantile:g} "
           f"quantile, {rules.min_stall_ms:g} ms at least")  # fmt: skip
    moved = "get a second copy elsewhere" if rules.may_hedge else "are cut with it and retried"
    wait_ms = rules.max_wait_ms
    yield f"  those behind a stalled head {moved}; a wait for a connection takes {wait_ms:g} ms at most"
