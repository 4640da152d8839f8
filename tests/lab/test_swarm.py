"""The simulated site: the rules hold over seeds, runs repeat, and bugs that were put in are found."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from glenchute.capture.replay import replay, runs
from glenchute.policy import interface as api
from glenchute.policy.admission.epoch_markers import Name
from glenchute.policy.engine import Fleet, Gateway, Quota
from glenchute.policy.interface import Repeat
from glenchute.policy.state import Open, Server
from lab.sim.swarm import Fault, Script, captured, drawn, play, search, tried

SEEDS = range(24)
BUGS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {}


def bug(put_in: Callable[[pytest.MonkeyPatch], None]) -> Callable[[pytest.MonkeyPatch], None]:
    """A bug to be found."""
    BUGS[put_in.__name__] = put_in
    return put_in


@bug
def unsafe_requests_are_repeated(patch: pytest.MonkeyPatch) -> None:
    sound = Gateway.may_repeat

    def repeat(self: Gateway, now: float, opened: Open, event: Any) -> bool:
        return sound(self, now, opened, event) or opened.attempts < 2

    patch.setattr(Gateway, "may_repeat", repeat)


@bug
def keys_are_never_forgotten(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Gateway, "forgotten", lambda self, opened: 1e18)


@bug
def any_zone_will_do(patch: pytest.MonkeyPatch) -> None:
    sound = Fleet.pick

    def pick(self: Fleet, now: float, opened: Open) -> Any:
        opened.home = None
        return sound(self, now, opened)

    patch.setattr(Fleet, "pick", pick)


@bug
def refusals_after_a_try(patch: pytest.MonkeyPatch) -> None:
    sound = Gateway.finish

    def finish(self: Gateway, opened: Open) -> None:
        opened.may_run_at = None
        sound(self, opened)

    patch.setattr(Gateway, "finish", finish)


@bug
def draining_servers_are_kept(patch: pytest.MonkeyPatch) -> None:
    sound = Fleet.update

    def update(self: Fleet, news: api.ServerList, now: float) -> None:
        before = dict(self.servers)
        sound(self, news, now)
        for entry in news.entries:
            if entry.state is not api.ServerState.ACTIVE and entry.server in before:
                self.servers[entry.server] = before[entry.server]

    patch.setattr(Fleet, "update", update)


@bug
def open_counts_leak(patch: pytest.MonkeyPatch) -> None:
    sound = Gateway.ended

    def ended(self: Gateway, now: float, event: api.AttemptEnded) -> None:
        attempt = self.attempts.get((event.request_id, event.attempt))
        sound(self, now, event)
        if attempt is not None and attempt.opened.customer and event.ending is api.Ending.RESET:
            attempt.opened.customer.open += 1

    patch.setattr(Gateway, "ended", ended)


@bug
def stores_overflow(patch: pytest.MonkeyPatch) -> None:
    sound = Quota.take

    def take(self: Quota, c: Any, units: float, counted: bool, asked: bool) -> None:
        sound(self, c, units, counted, asked)
        c.store += 3.0 * units

    patch.setattr(Quota, "take", take)


@bug
def guards_are_not_kept(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Quota, "assured", lambda self, c, asked: True)
    patch.setattr(Quota, "unsure", lambda self, now, c, units: False)
    patch.setattr(Quota, "room", lambda self, c: 1e9)
    sound = Quota.admit

    def admit(self: Quota, now: float, c: Any, units: float, asked: bool, blind: bool) -> Any:
        return None if c.plan.ceiling_rate else sound(self, now, c, units, asked, blind)

    patch.setattr(Quota, "admit", admit)


@bug
def some_requests_are_forgotten(patch: pytest.MonkeyPatch) -> None:
    sound = Gateway.ended

    def ended(self: Gateway, now: float, event: api.AttemptEnded) -> None:
        if event.ending is api.Ending.ERROR:
            self.requests.pop(event.request_id, None)
        sound(self, now, event)

    patch.setattr(Gateway, "ended", ended)


@bug
def an_answer_is_given_twice(patch: pytest.MonkeyPatch) -> None:
    sound = Gateway.finish

    def finish(self: Gateway, opened: Open) -> None:
        sound(self, opened)
        self.actions.append(api.Fail(opened.request.request_id))

    patch.setattr(Gateway, "finish", finish)


@bug
def newcomers_look_idle_and_get_it_all(patch: pytest.MonkeyPatch) -> None:
    sound = Fleet.delay

    def delay(self: Fleet, server: Server, now: float, mean: float, warmth: float) -> float:
        return 0.0 if server.entry.started_ms > 0 else sound(self, server, now, mean, warmth)

    patch.setattr(Fleet, "delay", delay)
    patch.setattr(Fleet, "warmth", lambda self, server, now: 1.0)


@bug
def a_time_out_raises(patch: pytest.MonkeyPatch) -> None:
    sound = Name.heard

    def heard(self: Name, total: float, units: float, toll: float) -> Any:
        found = sound(self, total, units, toll)
        if found is not None:
            raise ZeroDivisionError("lost")
        return found

    patch.setattr(Name, "heard", heard)


@bug
def attempts_have_no_end(patch: pytest.MonkeyPatch) -> None:
    def repeat(self: Gateway, now: float, opened: Open, event: Any) -> bool:
        return opened.may_run_at is None or opened.cls.repeat is Repeat.SAFE

    patch.setattr(Gateway, "may_repeat", repeat)


def test_the_rules_hold_over_seeds() -> None:
    for seed in SEEDS:
        failure = tried(drawn(seed), Gateway)
        assert failure is None, failure


def test_a_seed_is_a_run() -> None:
    one, two = play(drawn(3)), play(drawn(3))
    assert one.sent == two.sent and one.steps == two.steps and len(one.sent) > 200


@pytest.mark.parametrize("name", sorted(BUGS))
def test_a_bug_that_was_put_in_is_found_and_shrunk(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    BUGS[name](monkeypatch)
    failure = search(range(40))
    assert failure is not None, f"{name} was not found"
    assert len(failure.script.faults) <= len(drawn(failure.script.seed).faults)
    again = tried(failure.script, Gateway)
    assert again is not None and again.rule == failure.rule  # the seed and its faults show it again
    print(f"{name}: seed {failure.script.seed}, {failure.rule}, {failure.script.faults}")


def test_a_run_becomes_captures_that_replay(tmp_path: Path) -> None:
    script = Script(2, (Fault(1500.0, "half die", 0.5, 1), Fault(3000.0, "counter replaced", 0.9, 9)))
    files = captured(script, tmp_path)
    assert len(files) >= 5  # each gateway, and the lives after
    for found in runs(tmp_path).values():
        report = replay(found)
        assert not report.differences and not report.notes
