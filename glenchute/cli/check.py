"""``glenchute check``: all that is wrong with an operator's file, by line."""

from __future__ import annotations

import argparse
import json
import sys

from glenchute.config.operator import read
from glenchute.config.platform import ConfigError

from .files import operator_file, platform_facts


def command(args: argparse.Namespace) -> int:
    """0 where the file may be loaded, with warnings or without; else 2."""
    try:
        path, facts = operator_file(args.operator), platform_facts(args.platform)
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    reading = read(path, facts)
    sound = reading.config is not None
    if args.json:
        rows = [finding.record() for finding in reading.findings]
        print(json.dumps({"file": path, "sound": sound, "platform": facts is not None, "findings": rows}))
        return 0 if sound else 2
    for finding in reading.findings:
        print(finding.render(path))
    if facts is None:
        print("only the shape was checked: name the platform's file by --platform", file=sys.stderr)
    elif reading.config is not None:
        kinds = len(facts.classes) * len(facts.plans)
        bound, routes = len(reading.config.bindings), len(reading.config.routes)
        print(f"{path}: sound; {routes} routes, {bound} of {kinds} kinds of request are bound")
    return 0 if sound else 2
