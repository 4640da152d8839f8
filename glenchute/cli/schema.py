"""``glenchute schema``: the JSON Schema of the operator's file, as checked in under deploy/."""

from __future__ import annotations

import argparse
import json

from glenchute.config.operator_shape import json_schema


def text() -> str:
    """The schema as a file."""
    return json.dumps(json_schema(), indent=2) + "\n"


def command(args: argparse.Namespace) -> int:
    """Prints it."""
    print(text(), end="")
    return 0
