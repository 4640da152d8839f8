"""Checks the records of clients and servers, to which the gateways do not contribute."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from lab.load import Outcome
from lab.nodes import Node


def lost_count(outcomes: Sequence[Outcome]) -> int:
    """Counts the requests without a final answer in time, by the clients' records."""
    return sum(outcome.answer == "lost" for outcome in outcomes)


def repeated_count(nodes: Sequence[Node], class_name: str) -> int:
    """Counts the requests of a class that ran more than once, by the servers' records."""
    runs = Counter(
        effect.request_id for node in nodes for effect in node.effects if effect.class_name == class_name
    )
    return sum(count > 1 for count in runs.values())


def rejected_but_ran_count(nodes: Sequence[Node], outcomes: Sequence[Outcome]) -> int:
    """Counts the requests that were rejected and ran, although a rejection means that no attempt ran."""
    ran = {effect.request_id for node in nodes for effect in node.effects}
    return sum(outcome.answer == "refused" and outcome.request_id in ran for outcome in outcomes)


def overshoot(nodes: Sequence[Node], account_id: bytes, rate: float, burst: float) -> float:
    """Returns the units by which an account exceeded a token bucket, by the servers' records."""
    times = sorted(
        effect.at + node.started_at
        for node in nodes
        for effect in node.effects
        if effect.account_id == account_id
    )
    return bucket_overshoot([(at, 1.0) for at in times], rate, burst)


def bucket_overshoot(taken: Iterable[tuple[float, float]], rate: float, burst: float) -> float:
    """Returns the units by which a token bucket was exceeded; `taken` has ascending times in s, and units."""
    level, last, lowest = burst, None, 0.0
    for at, units in taken:
        level = min(burst, level + (0.0 if last is None else rate * (at - last))) - units
        lowest, last = min(lowest, level), at
    return -lowest


def unjustified_rejection_fraction(
    outcomes: Sequence[Outcome], account_id: bytes, rate: float, burst: float
) -> float:
    """Returns the fraction of an account's requests rejected while its bucket was at least half full.

    By the clients' records; a served request takes one unit at its scheduled time.
    """
    level, last, request_count, unjustified_count = burst, None, 0, 0
    of_account = [outcome for outcome in outcomes if outcome.account.account_id == account_id]
    ordered = sorted(of_account, key=lambda outcome: outcome.scheduled_at)
    for outcome in ordered:
        level = min(burst, level + (0.0 if last is None else rate * (outcome.scheduled_at - last)))
        last, request_count = outcome.scheduled_at, request_count + 1
        unjustified_count += outcome.answer == "refused" and level >= 0.5 * burst
        level = max(0.0, level - (outcome.answer == "served"))
    return unjustified_count / max(1, request_count)
