"""Seeded scripts of the faults of a stand-in service: their kinds and times, and the commands they affect."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """The effect of a fault on a command or connection."""

    DELAY = "delay"  # runs; the reply comes `delay_s` later
    STALL = "stall"  # runs; only half of the reply is sent
    GARBLE = "garble"  # runs; invalid bytes are sent instead of the reply
    RESET = "reset"  # runs; the connection is reset instead of a reply
    FAIL = "fail"  # does not run; the error reply does not say so
    REFUSE = "refuse"  # does not run; is rejected
    VANISH = "vanish"  # runs; no reply is sent, and the connection stays open
    DOWN = "down"  # new connections are reset
    FREEZE = "freeze"  # runs; the reply comes at the end of the fault, as from a paused process


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that affects a fraction `share` of the commands, from `from_s` to `to_s` after the start."""

    kind: FaultKind
    from_s: float
    to_s: float
    share: float = 1.0
    delay_s: float = 0.0


class FaultScript:
    """The faults of a stand-in service. The same seed and order of commands give the same faults."""

    def __init__(self, faults: Sequence[Fault] = (), seed: int = 0) -> None:
        self.faults = tuple(faults)
        self.rng = random.Random(seed)

    def fault(self, after_s: float, kinds: Sequence[FaultKind] = tuple(FaultKind)) -> Fault | None:
        """Returns the first matching fault for a command received `after_s` after the start, or None."""
        for fault in self.faults:
            if (
                fault.kind in kinds
                and fault.from_s <= after_s < fault.to_s
                and self.rng.random() < fault.share
            ):
                return fault
        return None
