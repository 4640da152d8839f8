"""Configuration files that commands read, named by an argument or an environment variable."""

from __future__ import annotations

import os
import sys

from glenchute.config.facts import PlatformFacts
from glenchute.config.operator import OperatorConfig, read
from glenchute.config.platform import OPERATOR_FILE_VARIABLE, ConfigError, PlatformConfig, load


def operator_path(argument: str | None) -> str:
    """Returns the path of the operator's file. Raises ConfigError if none is named."""
    path = argument or os.environ.get(OPERATOR_FILE_VARIABLE)
    if not path:
        raise ConfigError(f"name the operator's file by --operator or {OPERATOR_FILE_VARIABLE}")
    return path


def load_platform(argument: str | None) -> PlatformConfig:
    """Loads the platform's file. Raises ConfigError if none is named or it is invalid."""
    path = argument or os.environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("name the platform's file by --platform or EDGE_CONFIG")
    return load({**os.environ, "EDGE_CONFIG": path})


def platform_facts(argument: str | None) -> PlatformFacts | None:
    """Returns the facts of the platform's file; None if none is named."""
    return load_platform(argument).facts if argument or os.environ.get("EDGE_CONFIG") else None


def load_valid_operator(path: str, facts: PlatformFacts) -> OperatorConfig | None:
    """Returns the operator's file if it is valid; else prints its findings and returns None."""
    result = read(path, facts)
    if result.config is None:
        for finding in result.findings:
            print(finding.render(path), file=sys.stderr)
    return result.config
