"""``glenchute pipeline``: which classes may share a connection to a node with which, and within what."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator

from glenchute.config.platform import ConfigError, PlatformConfig
from glenchute.policy.connections.class_compatibility import DESCRIPTIONS

from .files import operator_file, platform, sound_operator
from .lines import rules, sharing


def command(args: argparse.Namespace) -> int:
    """0 with the table; 2 where a file can't be used."""
    try:
        path, config = operator_file(args.operator), platform(args.platform)
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    operator = sound_operator(path, config.facts)
    if operator is None:
        return 2
    if operator.pipeline is None:
        print("no [pipeline]: each attempt has a connection to itself")
        return 0
    for line in story(operator.pipeline, config):
        print(line)
    return 0


def story(raw: dict[str, object], config: PlatformConfig) -> Iterator[str]:
    """The lines."""
    shared, made = sharing(raw, config), rules(raw, config)
    width = max(len(name) for name in shared.classes)
    yield f"{'behind':>{width}}  {'ahead':<{width}}  may stand there"
    for row in shared.rows():
        yield f"{row.behind:>{width}}  {row.ahead:<{width}}  {row.compatibility.value}"
    for compatibility, why in DESCRIPTIONS.items():
        yield f"  {compatibility.value}: {why}"
    queued = made.max_queued_per_server
    yield f"  {made.max_depth} attempts a connection at most, {queued} behind others a node"
    yield (f"  a head is stalled after {made.stall_factor:g} times its class's {made.stall_quantile:g} "
           f"quantile, {made.min_stall_ms:g} ms at least")  # fmt: skip
    moved = "get a second copy elsewhere" if made.may_hedge else "are cut with it and go again"
    wait_ms = made.max_wait_ms
    yield f"  those behind a stalled head {moved}; a wait for a connection takes {wait_ms:g} ms at most"
