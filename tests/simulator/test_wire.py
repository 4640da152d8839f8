"""The adapter to the simulator: all events and actions, invalid input, and the command in the deploy file."""

from __future__ import annotations

import io
import json
import shlex
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from glenchute.config.policy_settings import policy_settings
from glenchute.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    LogMessage,
    Reject,
    SetTimer,
    StartAttempt,
    SubscribeToEndpoints,
)
from glenchute.policy.events import Event
from glenchute.policy.settings import Idempotency
from glenchute.simulator import SimulatorHost, WireError, encode, serve

ROOT = Path(__file__).resolve().parents[2]
# Some keys are unknown (`me`, `no_such_key`, `odd`) and ignored; a null stands for the default.
PARAMS: dict[str, Any] = {
    "my_zone": "a",
    "balancers": 2,
    "me": 0,
    "no_such_key": {"x": [1]},
    "domain": {"counter": True},
    "limits": {"attempts_cap": 3, "retry_after": True, "max_retry_after_ms": 500.0, "max_open": None},
    "membership_mode": "subscribe",
    "packages": [{"name": "basic", "per_second": 2.0, "most_at_once": 9.0, "price": None, "odd": 1}],
    "profiles": [{"name": "read", "repeat": "read_like", "aim_ms": 500.0, "hard_limit_ms": 1000.0}],
    "reporting": {"fields": ["x0", "waiting", "active"], "how": "piggyback"},
    "safety": {"cold_from": 0.22, "warm_after_ms": 18000.0},
}


def entry(server: str, state: str = "active", started_ms: float | None = None) -> list[Any]:
    """Returns a row of an endpoint list."""
    return [1, started_ms, "a", 0, "std", server, state]


def line(now: float, *events: list[Any]) -> str:
    """Returns a line of input: a batch of events at one time."""
    return json.dumps({"moment_ms": now, "inbox": events})


def accept(gateway: int, request_id: str) -> list[Any]:
    return ["accept", gateway, request_id, "read", "basic", "c1", 900.0, 1, 2, 0, False, False]


def host_of(*gateways: int) -> SimulatorHost:
    """Returns a host of gateways that each have one server. Endpoint list 0 is replaced before each gateway
    takes it over."""
    host = SimulatorHost()
    events: list[list[Any]] = []
    for gateway in gateways:
        events += [["create", gateway, 7 + gateway, PARAMS], ["directory", 0, [entry(f"s{gateway}:1")]]]
        events += [["topology", gateway, "warm_copy", 1, 0]]
    host.answer(line(10.0, *events))
    return host


def actions(host: SimulatorHost, now: float, *events: list[Any]) -> list[list[Any]]:
    """Returns the host's actions in answer to a line of events."""
    found: list[list[Any]] = json.loads(host.answer(line(now, *events)))["actions"]
    return found


def test_directory_numbers_are_reused_within_a_batch() -> None:
    host = host_of(3, 5)
    sent = [a for a in actions(host, 20.0, accept(3, "r3"), accept(5, "r5")) if a[0] == "hand_off"]
    assert [(a[1], a[2], a[4]) for a in sent] == [(3, "r3", "s3:1"), (5, "r5", "s5:1")]


def test_every_event_is_decoded() -> None:
    host = host_of(3)
    actions(host, 20.0, accept(3, "r"))
    pressure = [9, 4.0, None]
    events: list[list[Any]] = [
        ["ended", 3, "r", 0, "s3:1", "pass", 18.5, True, 86, 3, pressure],
        ["ended", 3, "r", 0, "s3:1", "pass", 18.5, True, None, None, None],
        ["ended", 3, "r", 0, "s3:1", "pass", 18.5, True],
        ["streaming", 3, "r", 0, "s3:1", 5.0],
        ["gone", 3, "other"],
        ["alarm", 3, 77],
        ["echo", 3, "s3:1", "pass", 1.0, pressure],
        ["whisper", 3, 1, "aGkgNw=="],
        ["ledger_reply", 3, 2.15, 9041552, 38, "pass"],
        ["topology", 3, "lost", 0, 0],
        ["directory", 4, [entry("s4:1", started_ms=15.0)]],
        ["topology", 3, "incr", 2, 4],
        ["shutdown", 3],
    ]
    for event in events:
        assert all(a[0] != "die" for a in actions(host, 30.0, event)), event
    assert 3 not in host.engines


@pytest.mark.parametrize(
    "outcome", ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"]
)
def test_every_outcome_is_decoded(outcome: str) -> None:
    host = host_of(3)
    actions(host, 20.0, accept(3, "r"))
    answer = actions(
        host, 30.0, ["ended", 3, "r", 0, "s3:1", outcome, 10.0, outcome == "pass", 0, 0, [1, 2, 3]]
    )
    assert all(a[0] != "die" for a in answer)


def test_every_action_is_encoded() -> None:
    cases: list[tuple[Action, list[Any]]] = [
        (StartAttempt("r", "s", 5.0), ["hand_off", 1, "r", 5.0, "s"]),
        (Reject("r", 9.0), ["bounce", 1, "r", 9.0]),
        (Fail("r"), ["give_up", 1, "r"]),
        (CancelAttempt("r", 2), ["recall", 1, "r", 2]),
        (SetTimer(4, 8.0), ["remind", 1, 4, 8.0]),
        (IncrementCounter(6, 2.0, 60.0), ["incr", 1, 6, 2.0, 60.0]),
        (SubscribeToEndpoints(), ["tail", 1, True]),
        (LogMessage("x"), ["say_log", 1, "x"]),
    ]
    assert [encode(1, action) for action, _ in cases] == [row for _, row in cases]


def test_missing_settings_get_the_safest_values() -> None:
    settings = policy_settings({"profiles": [{"name": "x"}, None], "packages": None, "limits": None})
    assert settings.classes[0].idempotency is Idempotency.NON_IDEMPOTENT and settings.max_attempts == 1
    assert settings.gateway_count == 1 and not settings.has_counter and settings.plans == ()


@pytest.mark.parametrize(
    "text",
    [
        "not json",
        "[]",
        '{"inbox": []}',
        '{"moment_ms": 1, "inbox": 3}',
        '{"moment_ms": 1, "inbox": [["no_such_event", 1]]}',
        '{"moment_ms": 1, "inbox": [["alarm", 9, 1]]}',
        '{"moment_ms": 1, "inbox": [7]}',
    ],
)
def test_a_malformed_line_is_reported_and_ends_the_run(text: str, capsys: pytest.CaptureFixture[str]) -> None:
    out = io.StringIO()
    assert serve([text], out) == 1
    assert out.getvalue() == "" and "glenchute.simulator: " in capsys.readouterr().err
    with pytest.raises(WireError):
        SimulatorHost().answer(text)


def test_an_exception_of_the_engine_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    host = host_of(3)

    def raise_error(now_ms: float, event: Event) -> list[Action]:
        raise RuntimeError("out of luck")

    monkeypatch.setattr(host.engines[3], "handle", raise_error)
    assert actions(host, 20.0, ["alarm", 3, 1]) == [["die", 3, "RuntimeError: out of luck"]]


def test_gateways_in_one_process_do_not_affect_each_other() -> None:
    alone, together = host_of(3), host_of(3, 5)
    for now in range(20, 400, 20):
        first = actions(alone, now, accept(3, f"r{now}"))
        second = actions(together, now, accept(5, f"q{now}"), accept(3, f"r{now}"))
        assert first == [a for a in second if a[1] == 3]


def test_deploy_file_starts_the_adapter() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    # tests/policy/test_decisions.py checks that these are all modules that the engine uses.
    assert deploy["policy"][0] == "glenchute/policy/engine.py"
    assert all((ROOT / name).is_file() for name in deploy["policy"])
    command = deploy["sim"].replace(".venv/bin/python", shlex.quote(sys.executable))
    session = [
        line(0.0),
        line(
            10.0,
            ["create", 3, 7, PARAMS],
            ["directory", 0, [entry("s:1")]],
            ["topology", 3, "warm_copy", 1, 0],
        ),
        line(20.0, accept(3, "r")),
        line(40.0, ["ended", 3, "r", 0, "s:1", "pass", 18.0, True, 0, 0, [1, 2, 3]]),
    ]
    result = subprocess.run(
        ["/bin/sh", "-c", command], input="\n".join(session) + "\n", cwd=ROOT,
        capture_output=True, text=True, timeout=60, check=True,
    )  # fmt: skip
    replies = [json.loads(reply)["actions"] for reply in result.stdout.splitlines()]
    assert len(replies) == 4 and replies[0] == []
    assert [a[2] for a in replies[2] if a[0] == "hand_off"] == ["r"]


def test_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout == "10.0.0.1:80\n"
