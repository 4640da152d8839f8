"""A short soak of long values and slow peers; ``python -m lab.soak --long-values`` runs a long one."""

from __future__ import annotations

import asyncio

import pytest

from lab.soak.long_value_records import CommandRecord, LongValueRecords, ToldTime, ValueRecord
from lab.soak.long_value_schedule import TrailerEnd, ValueEnd, draw_long_values
from lab.soak.long_values import run_long_values
from tests.system.test_soak import one_soak_at_a_time

__all__ = ["one_soak_at_a_time"]  # a fixture for each test of this module

SEEDS = (2, 4, 6, 14)  # on the code before the faults were fixed each finds some of them


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_by_long_values_and_slow_peers(seed: int) -> None:
    """``python -m lab.soak --long-values --first SEED --seeds 1`` runs one seed again."""
    schedule = draw_long_values(seed)
    records = asyncio.run(run_long_values(schedule))
    assert records.violations() == [], schedule.describe()


def test_a_seed_draws_one_schedule_and_fifty_have_all_kinds_of_clients() -> None:
    assert draw_long_values(7) == draw_long_values(7) != draw_long_values(8)
    schedules = [draw_long_values(seed) for seed in range(1, 51)]
    for kind in ("pausing_readers", "batch_clients", "late_readers", "slow_writers", "burst_commands"):
        assert 0 < sum(getattr(schedule, kind) > 0 for schedule in schedules) <= 50
    assert any(schedule.terminates_early for schedule in schedules)
    behaviors = [schedule.behavior(number) for schedule in schedules for number in range(20)]
    assert {behavior.end for behavior in behaviors} == set(ValueEnd)
    assert {behavior.trailer for behavior in behaviors} == set(TrailerEnd)


def records_of(command: CommandRecord, value: ValueRecord | None = None) -> LongValueRecords:
    """Returns the records of a run with one command."""
    records = LongValueRecords(commands={command.request_id: command}, exit_status=0)
    if value is not None:
        records.values.append(value)
    return records


def command(**changes: object) -> CommandRecord:
    record = CommandRecord(b"v1", 3.0, "a reader", sent_at=10.0)
    for name, value in changes.items():
        setattr(record, name, value)
    return record


@pytest.mark.parametrize(
    ("changes", "count"),
    [
        ({"served_at": 10.1, "connection_ended": True}, 1),
        ({"served_at": 10.1, "connection_ended": True, "answer_count": 1}, 0),
        ({"served_at": None, "connection_ended": True}, 0),  # no server has run it
    ],
)
def test_what_a_server_has_run_is_answered(changes: dict[str, object], count: int) -> None:
    assert len(records_of(command(**changes)).violations()) == count


@pytest.mark.parametrize(
    ("given_at", "value", "count"),
    [
        (11.0, ValueRecord(b"v1", is_whole=True), 0),
        (11.0, ValueRecord(b"v1", longest_gap_s=2.1, is_whole=True), 1),
        (11.0, ValueRecord(b"v1", end_delay_s=2.1, is_whole=True), 1),
        (11.0, ValueRecord(b"v1"), 1),  # cut off
        (None, ValueRecord(b"v1"), 0),  # its server did not give all of it
        (11.0, ValueRecord(b"v1", is_rejected=True), 0),
    ],
)
def test_a_value_that_is_given_is_neither_cut_off_nor_held_back(
    given_at: float | None, value: ValueRecord, count: int
) -> None:
    assert len(records_of(command(given_at=given_at), value).violations()) == count


@pytest.mark.parametrize(("arrived_at", "count"), [(10.0, 0), (10.19, 0), (10.25, 1)])
def test_an_attempt_tells_what_is_left(arrived_at: float, count: int) -> None:
    records = records_of(command())
    records.attempts = [ToldTime(b"v1", arrived_at, 3.0)]
    assert len(records.violations()) == count


def test_processes_that_fail_are_found() -> None:
    records = LongValueRecords(exit_status=1, log="Traceback ...", peak_mb=97.0, memory_mb=96.0)
    assert [violation.partition(":")[0] for violation in records.violations()] == ["process"] * 3
