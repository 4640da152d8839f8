"""The files that commands read, by argument or variable."""

from __future__ import annotations

import os
import sys

from glenchute.config.facts import PlatformFacts
from glenchute.config.operator import OperatorConfig, read
from glenchute.config.platform import OPERATOR_FILE_VARIABLE, ConfigError, PlatformConfig, load


def operator_file(given: str | None) -> str:
    """The operator's file that is meant."""
    path = given or os.environ.get(OPERATOR_FILE_VARIABLE)
    if not path:
        raise ConfigError(f"name the operator's file by --operator or {OPERATOR_FILE_VARIABLE}")
    return path


def platform(given: str | None) -> PlatformConfig:
    """The platform's file; one has to be named."""
    path = given or os.environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("name the platform's file by --platform or EDGE_CONFIG")
    return load({**os.environ, "EDGE_CONFIG": path})


def platform_facts(given: str | None) -> PlatformFacts | None:
    """What the platform's file says; None where none is named."""
    return platform(given).facts if given or os.environ.get("EDGE_CONFIG") else None


def sound_operator(path: str, facts: PlatformFacts) -> OperatorConfig | None:
    """The operator's file, if it may be loaded; else what is wrong with it is printed."""
    reading = read(path, facts)
    if reading.config is None:
        for finding in reading.findings:
            print(finding.render(path), file=sys.stderr)
    return reading.config
