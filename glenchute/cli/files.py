"""The files that ``check`` and ``explain`` read, by argument or variable."""

from __future__ import annotations

import os

from glenchute.config.facts import Facts
from glenchute.config.platform import Config, ConfigError, load

from .run import OPERATOR


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
    path = given or os.environ.get("EDGE_CONFIG")
    return load({**os.environ, "EDGE_CONFIG": path}).facts if path else None
