"""``glenchute check``: prints all findings in an operator's file, by line."""

from __future__ import annotations

import argparse
import json
import sys

from glenchute.config.operator import read
from glenchute.config.platform import ConfigError

from .files import operator_path, platform_facts


def command(args: argparse.Namespace) -> int:
    """Prints the findings. Returns 0 if the file can be loaded, with warnings or without, else 2."""
    try:
        path, facts = operator_path(args.operator), platform_facts(args.platform)
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    result = read(path, facts)
    is_valid = result.config is not None
    if args.json:
        rows = [finding.record() for finding in result.findings]
        print(json.dumps({"file": path, "sound": is_valid, "platform": facts is not None, "findings": rows}))
        return 0 if is_valid else 2
    for finding in result.findings:
        print(finding.render(path))
    if facts is None:
        print(
            "only the shape was checked: name the platform's file by --platform to check the rest",
            file=sys.stderr,
        )
    elif result.config is not None:
        kinds = len(facts.classes) * len(facts.plans)
        bound, routes = len(result.config.bindings), len(result.config.routes)
        print(f"{path}: sound; {routes} routes, {bound} of {kinds} kinds of request are bound")
    return 0 if is_valid else 2
