"""Schedules of soak runs with long values, slow peers and many commands at once, each drawn from its seed."""

from __future__ import annotations

import random
from enum import Enum
from typing import NamedTuple

VALUE_SIZES = (100 * 1024, 512 * 1024, 2 * 1024 * 1024, 4 * 1024 * 1024)  # bytes
READER_PAUSES_S = (1.0, 2.0, 4.5)  # times for which a client pauses before it reads on


class ValueEnd(Enum):
    """What a server does with a long value; all but `WHOLE` end the value in its middle."""

    WHOLE = "whole"
    RESET = "reset"
    CLOSE = "close"
    SILENCE = "silence"


class TrailerEnd(Enum):
    """What a server does behind a value, in place of its usage and its load report or before them."""

    SENT = "sent"
    LATE = "late"
    RESET = "reset"
    CLOSE = "close"


class ValueBehavior(NamedTuple):
    """How one long value is given by its server; times are seconds."""

    size_bytes: int
    end: ValueEnd
    pause_s: float  # in the middle of the value, before it goes on or ends
    trailer: TrailerEnd
    trailer_delay_s: float


# The value of a client that pauses.
PAUSED_VALUE = ValueBehavior(2 * 1024 * 1024, ValueEnd.WHOLE, 0.0, TrailerEnd.SENT, 0.0)


class LongValueSchedule(NamedTuple):
    """Schedule of one run: how many clients of each kind there are, and what they meet."""

    seed: int
    memory_mb: int
    descriptors: int
    pausing_readers: int  # they pause for `reader_pause_s` after the first bytes of a long value
    reader_pause_s: float
    quick_readers: int  # they ask for a long value and read at once
    batch_clients: int  # they send a read with a long value and charges in one write
    late_readers: int  # they send reads of 60 KB and a charge, and read them 2 s later
    slow_writers: int  # they take 2 s for a head
    burst_commands: int  # of one client in one write
    has_silent_server: bool
    terminates_early: bool  # SIGTERM while values are on their way

    def behavior(self, number: int) -> ValueBehavior:
        """Returns how the long value of this number is given to a client that reads at once."""
        rng = random.Random(f"long value {self.seed} {number}")
        end = rng.choice((ValueEnd.WHOLE, ValueEnd.WHOLE, ValueEnd.WHOLE, *ValueEnd))
        trailer = rng.choice((TrailerEnd.SENT, TrailerEnd.LATE, *TrailerEnd))
        return ValueBehavior(
            rng.choice(VALUE_SIZES),
            end,
            rng.choice((0.0, 0.2, 1.0)) if end is ValueEnd.WHOLE else rng.uniform(0.3, 1.2),
            trailer,
            rng.uniform(1.0, 4.0) if trailer is TrailerEnd.LATE else 0.1,
        )

    def describe(self) -> str:
        """Describes the run in one line of the report."""
        return (
            f"{self.memory_mb} MB, {self.descriptors} descriptors; {self.pausing_readers} readers pause for"
            f" {self.reader_pause_s:g} s, {self.quick_readers} do not; {self.batch_clients} batches;"
            f" {self.late_readers} late readers, {self.slow_writers} slow writers;"
            f" {self.burst_commands} commands at once{', a silent server' if self.has_silent_server else ''}"
            f"{'; ends early' if self.terminates_early else ''}"
        )


def draw_long_values(seed: int) -> LongValueSchedule:
    """Draws the schedule of a seed."""
    rng = random.Random(f"soak of long values {seed}")
    is_small = rng.random() < 0.6
    has_burst = rng.random() < 0.4
    return LongValueSchedule(
        seed=seed,
        memory_mb=96 if is_small else 192,
        descriptors=512 if is_small else 1024,
        pausing_readers=rng.choice((0, 20, 135)),
        reader_pause_s=rng.choice(READER_PAUSES_S),
        quick_readers=rng.choice((3, 8)),
        batch_clients=rng.choice((0, 3, 6)),
        late_readers=rng.choice((0, 0, 6)),
        slow_writers=rng.choice((0, 0, 290)),
        burst_commands=rng.choice((90, 150)) if has_burst else 0,
        has_silent_server=has_burst and rng.random() < 0.8,
        terminates_early=rng.random() < 0.25,
    )
