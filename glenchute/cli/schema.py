"""``glenchute schema``: prints the JSON Schema of the operator's file, which is checked in under deploy/."""

from __future__ import annotations

import argparse
import json

from glenchute.config.operator_shape import json_schema


def text() -> str:
    """Returns the schema as the text of a file."""
    return json.dumps(json_schema(), indent=2) + "\n"


def command(args: argparse.Namespace) -> int:
    """Prints the schema."""
    print(text(), end="")
    return 0
