"""The files that commands read, by argument or variable."""

from __future__ import annotations

import os
import sys

from glenchute.config.facts import Facts
from glenchute.config.operator import Operator, read
from glenchute.config.platform import OPERATOR, Config, ConfigError, load


def operator_file(given: str | None) -> str:
    """The operator's file that is meant."""
    path = given or os.environ.get(OPERATOR)
    if not path:
        raise ConfigError(f"name the operator's file by --operator or {OPERATOR}")
    return path


def platform(given: str | None) -> Config:
    """The platform's file; one has to be named."""
    path = given or os.environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("name the platform's file by --platform or EDGE_CONFIG")
    return load({**os.environ, "EDGE_CONFIG": path})


def platform_facts(given: str | None) -> Facts | None:
    """What the platform's file says; None where none is named."""
    return platform(given).facts if given or os.environ.get("EDGE_CONFIG") else None


def sound_operator(path: str, facts: Facts) -> Operator | None:
    """The operator's file, if it may be loaded; else what is wrong with it is printed."""
    reading = read(path, facts)
    if reading.operator is None:
        for finding in reading.findings:
            print(finding.render(path), file=sys.stderr)
    return reading.operator
