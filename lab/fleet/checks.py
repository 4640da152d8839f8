"""Checks the records of clients and nodes, to which the gateways do not contribute."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from lab.load import Outcome
from lab.nodes import Node


def lost(outcomes: Sequence[Outcome]) -> int:
    """Counts the requests without a final answer in time, by the clients' records."""
    return sum(outcome.answer == "lost" for outcome in outcomes)


def ran_twice(nodes: Sequence[Node], class_name: str) -> int:
    """Counts the requests of a class that ran more than once, by the nodes' records."""
    runs = Counter(
        effect.request_id for node in nodes for effect in node.effects if effect.class_name == class_name
    )
    return sum(count > 1 for count in runs.values())


def refused_and_ran(nodes: Sequence[Node], outcomes: Sequence[Outcome]) -> int:
    """Counts the requests that were rejected and ran, although a rejection means that no attempt ran."""
    ran = {effect.request_id for node in nodes for effect in node.effects}
    return sum(outcome.answer == "refused" and outcome.request_id in ran for outcome in outcomes)


def overshoot(nodes: Sequence[Node], customer: bytes, rate: float, burst: float) -> float:
    """Returns the units by which a customer exceeded a bucket, by the nodes' records."""
    times = sorted(
        effect.at + node.started_at
        for node in nodes
        for effect in node.effects
        if effect.account_id == customer
    )
    return passed([(at, 1.0) for at in times], rate, burst)


def passed(taken: Iterable[tuple[float, float]], rate: float, burst: float) -> float:
    """Returns the units by which a bucket was exceeded; `taken` has times in s, ascending, and units."""
    level, last, lowest = burst, None, 0.0
    for at, units in taken:
        level = min(burst, level + (0.0 if last is None else rate * (at - last))) - units
        lowest, last = min(lowest, level), at
    return -lowest


def refused_with_room(outcomes: Sequence[Outcome], customer: bytes, rate: float, burst: float) -> float:
    """Returns the fraction of an account's requests that were rejected while half of its exact bucket or more
    was unused, by the clients' records."""
    level, last, asked, rejected_with_room = burst, None, 0, 0
    mine = sorted((o for o in outcomes if o.account.customer == customer), key=lambda o: o.asked)
    for outcome in mine:
        level = min(burst, level + (0.0 if last is None else rate * (outcome.asked - last)))
        last, asked = outcome.asked, asked + 1
        rejected_with_room += outcome.answer == "refused" and level >= 0.5 * burst
        level = max(0.0, level - (outcome.answer == "served"))
    return rejected_with_room / max(1, asked)
