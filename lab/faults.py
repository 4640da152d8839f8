"""Scripts of faults: what goes wrong at a stand-in, when, and for which share of what comes. Seeded."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """What goes wrong with one command."""

    DELAY = "delay"  # runs, and is answered `delay_s` later
    STALL = "stall"  # runs; half of the answer comes, and no more
    GARBLE = "garble"  # runs; noise comes in place of the answer
    RESET = "reset"  # runs; the connection is reset in place of the answer
    FAIL = "fail"  # does not run; an error line comes that does not say so
    REFUSE = "refuse"  # does not run; is turned away
    VANISH = "vanish"  # runs; nothing comes, and the connection stays open
    DOWN = "down"  # connections are reset as they come
    FREEZE = "freeze"  # runs, and is answered only at the end of this entry: the node stands still


@dataclass(frozen=True, slots=True)
class Fault:
    """One entry: from `from_s` to `to_s` after the start, a share of the commands."""

    kind: Kind
    from_s: float
    to_s: float
    share: float = 1.0
    delay_s: float = 0.0


class Script:
    """A stand-in's faults. The same seed and order of commands give the same faults."""

    def __init__(self, faults: Sequence[Fault] = (), seed: int = 0) -> None:
        self.faults = tuple(faults)
        self.rng = random.Random(seed)

    def fault(self, after_s: float, kinds: Sequence[Kind] = tuple(Kind)) -> Fault | None:
        """What goes wrong with a command that comes so long after the start; the first that fits."""
        for fault in self.faults:
            if (
                fault.kind in kinds
                and fault.from_s <= after_s < fault.to_s
                and self.rng.random() < fault.share
            ):
                return fault
        return None
