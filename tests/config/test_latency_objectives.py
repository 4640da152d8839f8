"""The latency objectives of the platform's file: what can't be divided by is refused when it is loaded."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from glenchute.config.platform import ConfigError, load
from glenchute.config.policy_settings import policy_settings
from lab.site import SETTINGS


def profile(**fields: Any) -> dict[str, Any]:
    """Returns a class of the platform's file with these fields; None leaves one out."""
    row = {**SETTINGS["profiles"][0], **fields}
    return {key: value for key, value in row.items() if value is not None}


@pytest.mark.parametrize("value", [0, -1.0, 5e-324, 0.999, float("nan"), float("inf"), float("-inf")])
@pytest.mark.parametrize("key", ["aim_ms", "hard_limit_ms"])
def test_an_objective_that_latencies_cannot_be_divided_by_is_refused(
    key: str, value: float, tmp_path: Path
) -> None:
    """Guards against a gateway that starts with such a file and loses requests to a division by zero."""
    row = profile(**{"aim_ms": None, key: value})
    file = tmp_path / "config.json"
    addresses = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}
    file.write_text(json.dumps({**addresses, "settings": {**SETTINGS, "profiles": [row]}}))
    with pytest.raises(ConfigError, match=rf"profiles: {key} of class report-read is .*; a finite number"):
        load({"EDGE_CONFIG": str(file)})


def test_the_objective_is_the_aim_or_else_the_limit() -> None:
    rows = [profile(aim_ms=1.0), profile(aim_ms=None), profile(aim_ms=None, hard_limit_ms=None)]
    settings = policy_settings({**SETTINGS, "profiles": rows})
    assert [request_class.latency_objective_ms for request_class in settings.classes] == [1.0, 2000.0, 1000.0]
