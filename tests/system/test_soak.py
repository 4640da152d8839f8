"""A short soak test of planned restarts; ``python -m lab.soak`` runs a long one."""

from __future__ import annotations

import asyncio
import fcntl
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from lab.soak.records import AttemptRecord, RequestRecord, RunRecords
from lab.soak.run import run_schedule
from lab.soak.schedule import Ending, draw

SEEDS = range(1, 13)


@pytest.fixture(autouse=True)
def one_soak_at_a_time() -> Iterator[None]:
    """Runs one soak at a time: the parallel workers of a test run would starve each other's processes."""
    with (Path(tempfile.gettempdir()) / "soak-of-planned-restarts.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_across_a_planned_restart(seed: int) -> None:
    """``python -m lab.soak --first SEED --seeds 1`` runs one seed again."""
    schedule = draw(seed)
    records = asyncio.run(run_schedule(schedule))
    assert records.violations() == [], schedule.describe()


def test_the_soak_finds_a_process_that_cuts_its_clients_off() -> None:
    """Guards against a soak that detects nothing, with which the tests above would always pass."""
    seed = next(seed for seed in range(1, 50) if draw(seed).ending is Ending.TERM)
    assert asyncio.run(run_schedule(draw(seed), "raises_while_ending")).violations()


def test_a_seed_draws_one_schedule_and_fifty_have_all_endings() -> None:
    assert draw(7) == draw(7) != draw(8)
    assert {draw(seed).ending for seed in range(1, 51)} == set(Ending)


def request(**changes: object) -> RequestRecord:
    record = RequestRecord(
        b"r", "check-charge", 1.0, sent_at=10.0, answered_at=10.5, answer="served", answer_count=1
    )
    for name, value in changes.items():
        setattr(record, name, value)
    return record


@pytest.mark.parametrize(
    ("changes", "count"),
    [
        ({}, 0),
        ({"answer_count": 0, "answered_at": None}, 1),
        ({"answer_count": 2}, 1),
        ({"answered_at": 11.6}, 1),  # exceeds the deadline of 1 s by more than is tolerated
        ({"answered_at": 11.6, "previous_answer_at": 11.0}, 0),  # counted from the previous answer
        ({"answer_count": 0, "is_unreachable": True}, 0),
        ({"answer_count": 0, "disconnected_at": 10.2}, 0),
        ({"answer_count": 0, "answered_at": None, "is_turned_away": True}, 0),
    ],
)
def test_each_request_is_owed_one_response_in_time(changes: dict[str, object], count: int) -> None:
    records = RunRecords(requests={b"r": request(**changes)}, exit_status=0)
    assert len(records.violations()) == count


def test_a_request_that_was_turned_away_is_lost_if_a_server_received_it() -> None:
    turned_away = request(answer_count=0, answered_at=None, is_turned_away=True)
    records = RunRecords(requests={b"r": turned_away}, exit_status=0)
    records.attempts = [AttemptRecord(10.1, "n0", b"r")]
    assert [violation.partition(":")[0] for violation in records.violations()] == ["lost"]


@pytest.mark.parametrize(("stall", "count"), [((10.45, 0.2), 0), ((10.45, 0.05), 1), ((9.9, 0.5), 1)])
def test_an_arrival_is_late_by_more_than_the_stalls_before_it(stall: tuple[float, float], count: int) -> None:
    """Guards against stalls at other times that excuse an attempt, and against late records that do not."""
    records = RunRecords(requests={b"r": request(disconnected_at=10.2)}, exit_status=0, stalls=[stall])
    records.attempts = [AttemptRecord(10.5, "n0", b"r")]
    assert len(records.violations()) == count


def test_repeated_effects_late_attempts_and_processes_that_fail_are_found() -> None:
    records = RunRecords(requests={b"r": request(answer="rejected", disconnected_at=10.2)}, exit_status=1)
    records.effects_by_request[b"r"] = 2
    records.effects_by_key[b"k"] = 2
    records.drained_at["n0"] = 10.0
    records.attempts = [AttemptRecord(10.29, "n0", b"r"), AttemptRecord(10.36, "n0", b"r")]
    kinds = sorted(violation.partition(":")[0] for violation in records.violations())
    assert kinds == ["drain", "duplicate", "duplicate", "duplicate", "lost", "process"]
    records = RunRecords(exit_status=0, log="Traceback (most recent call last): ...", killed_at_end=True)
    assert len(records.violations()) == 2
