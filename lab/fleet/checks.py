"""Checkers over the books of clients and nodes. The gateways feed none of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from lab.load import Outcome
from lab.nodes import Node


def lost(outcomes: Sequence[Outcome]) -> int:
    """Requests without a final answer in time, by the clients' book."""
    return sum(outcome.answer == "lost" for outcome in outcomes)


def ran_twice(nodes: Sequence[Node], class_name: str) -> int:
    """Requests of a class that had more than one effect, by the nodes' books."""
    runs = Counter(run.request_id for node in nodes for run in node.ran if run.class_name == class_name)
    return sum(count > 1 for count in runs.values())


def refused_and_ran(nodes: Sequence[Node], outcomes: Sequence[Outcome]) -> int:
    """Requests that were refused, which promises that no try ran, and did run."""
    ran = {run.request_id for node in nodes for run in node.ran}
    return sum(outcome.answer == "refused" and outcome.request_id in ran for outcome in outcomes)


def overshoot(nodes: Sequence[Node], customer: bytes, rate: float, burst: float) -> float:
    """Units by which a store of this rate and burst went below nothing, by what ran at the nodes."""
    moments = sorted(run.at + node.began for node in nodes for run in node.ran if run.customer == customer)
    return passed([(at, 1.0) for at in moments], rate, burst)


def passed(taken: Iterable[tuple[float, float]], rate: float, burst: float) -> float:
    """The same for moments, in seconds and in order, and the units that were taken at each."""
    level, last, lowest = burst, None, 0.0
    for at, units in taken:
        level = min(burst, level + (0.0 if last is None else rate * (at - last))) - units
        lowest, last = min(lowest, level), at
    return -lowest


def refused_with_room(outcomes: Sequence[Outcome], customer: bytes, rate: float, burst: float) -> float:
    """The share of an account's requests that was refused while half of its true store was there, by the
    clients' book."""
    level, last, asked, blamed = burst, None, 0, 0
    mine = sorted((o for o in outcomes if o.account.customer == customer), key=lambda o: o.asked)
    for outcome in mine:
        level = min(burst, level + (0.0 if last is None else rate * (outcome.asked - last)))
        last, asked = outcome.asked, asked + 1
        blamed += outcome.answer == "refused" and level >= 0.5 * burst
        level = max(0.0, level - (outcome.answer == "served"))
    return blamed / max(1, asked)
