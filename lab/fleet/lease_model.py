"""Models the acceptors and proposers of one lease for state space exploration.

The explored events are messages in any order, lost and repeated messages, restarts, and time with clocks at
the bounds of the drift. The model itself records who held the lease when.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from glenchute.policy.membership import leases
from glenchute.policy.membership.leases import Acceptor, LeaseMessage, LeaseTerms, Proposer
from glenchute.policy.membership.outgoing import Outgoing

LEASE_S, MAX_DRIFT = 10.0, 0.1
# After this time a lease has ended by the voters' clocks, but not by a holder's clock without its margin.
TIME_STEP_S = LEASE_S
TERMS = LeaseTerms(("v0", "v1", "v2"), LEASE_S, MAX_DRIFT)


@dataclass
class LeaseModel:
    """Three voters, two proposers, messages in flight, and the budgets of events that may still happen."""

    voters: dict[str, Acceptor] = field(default_factory=dict)
    proposers: dict[str, Proposer] = field(default_factory=dict)
    # Receiver, sender and message.
    in_flight: list[tuple[str, str, LeaseMessage]] = field(default_factory=list)
    now: float = 0.0  # real time in s
    max_rounds: int = 2  # of each proposer
    restarts_left: int = 1
    repeats_left: int = 0
    time_steps_left: int = 4
    round_counts: dict[str, int] = field(default_factory=dict)  # rounds started, by proposer
    acquisitions: list[tuple[str, int]] = field(default_factory=list)  # holders and tokens in order of time

    def clock(self, name: str) -> float:
        """Returns a clock: fastest for voters, slowest for proposers, which is the worst case for safety."""
        is_voter = name in self.voters or name.startswith("v")
        return self.now * (1.0 + MAX_DRIFT if is_voter else 1.0 - MAX_DRIFT)

    def add_messages(self, sender: str, outs: list[Outgoing[LeaseMessage]]) -> None:
        """Adds messages in flight, without duplicates."""
        for out in outs:
            row = (out.to, sender, out.message)
            if row not in self.in_flight:
                self.in_flight.append(row)

    def deliver(self, row: tuple[str, str, LeaseMessage], again: bool) -> None:
        """Delivers a message; with `again` it is delivered again later."""
        if again:
            self.repeats_left -= 1
        else:
            self.in_flight.remove(row)
        to, sender, message = row
        receiver = self.voters.get(to) or self.proposers[to]
        self.add_messages(to, receiver.receive(self.clock(to), sender, message))
        self.record_holders()

    def start_round(self, name: str) -> None:
        """Starts a round of a proposer, which acquires or renews the lease."""
        self.round_counts[name] = self.round_counts.get(name, 0) + 1
        self.add_messages(name, self.proposers[name].start_round(self.clock(name)))

    def release(self, name: str) -> None:
        """Releases the lease of a proposer."""
        self.add_messages(name, self.proposers[name].release(self.clock(name)))

    def restart(self, name: str) -> None:
        """Replaces a voter by one without state."""
        self.restarts_left -= 1
        self.voters[name] = Acceptor(name, TERMS, self.clock(name))

    def advance_time(self) -> None:
        """Advances all clocks by `TIME_STEP_S`; recovering voters ask the others, which answer at once."""
        self.time_steps_left -= 1
        self.now += TIME_STEP_S
        for name, voter in self.voters.items():
            for out in voter.tick(self.clock(name)):
                for reply in self.voters[out.to].receive(self.clock(out.to), name, out.message):
                    voter.receive(self.clock(name), out.to, reply.message)
            voter.tick(self.clock(name))

    def holders(self) -> list[str]:
        """Returns the proposers that hold the lease by their own clocks."""
        return [name for name, proposer in self.proposers.items() if proposer.is_holder(self.clock(name))]

    def record_holders(self) -> None:
        """Records a lease that has a new holder or token."""
        for name in self.holders():
            held = self.proposers[name].lease
            assert held is not None
            if not self.acquisitions or self.acquisitions[-1] != (name, held.token):
                self.acquisitions.append((name, held.token))

    def state_key(self) -> bytes:
        """Returns a key that is equal for equal states; the order of messages in flight does not count."""
        rows = sorted(self.in_flight)
        voters = [
            (
                v.silent_until,
                v.has_recovered,
                v.promise_floor,
                sorted(v.promised.items()),
                sorted(v.accepted.items()),
            )
            for v in self.voters.values()
        ]
        proposers = [
            (
                s.highest_number,
                s.lease and (s.lease.token, s.lease.expires_at, s.lease.ballot),
                s.other_holder,
                s.current_round
                and (
                    s.current_round.ballot,
                    sorted(s.current_round.promised_by),
                    sorted(s.current_round.accepted_by),
                    s.current_round.lease_expires_at,
                ),
            )
            for s in self.proposers.values()
        ]
        budgets = (
            self.now,
            self.restarts_left,
            self.repeats_left,
            self.time_steps_left,
            sorted(self.round_counts.items()),
            self.acquisitions,
        )
        return pickle.dumps((rows, voters, proposers, budgets))


def find_violation(model: LeaseModel) -> str:
    """Checks the invariants; returns the violation, or an empty string."""
    holders = model.holders()
    if len(holders) > 1:
        return f"two proposers hold the lease: {', '.join(holders)}"
    for (one, before), (other, after) in zip(model.acquisitions, model.acquisitions[1:], strict=False):
        if one != other and after <= before:
            return f"tokens do not increase: {one} had {before}, {other} has {after}"
    return ""


def events(model: LeaseModel) -> Iterator[tuple[str, Callable[[LeaseModel], None]]]:
    """Yields all possible next events. A message that is never delivered is lost."""
    for row in model.in_flight:
        to, sender, message = row
        label = f"{sender} to {to}: {message.kind.name.lower()} {message.ballot.number}"
        yield label, lambda s, row=row: s.deliver(row, False)  # type: ignore[misc]
        if model.repeats_left:
            yield label + " (again later)", lambda s, row=row: s.deliver(row, True)  # type: ignore[misc]
    for name in model.proposers:
        if model.round_counts.get(name, 0) < model.max_rounds:
            yield f"{name} starts a round", lambda s, name=name: s.start_round(name)  # type: ignore[misc]
        if model.proposers[name].is_holder(model.clock(name)):
            yield f"{name} releases", lambda s, name=name: s.release(name)  # type: ignore[misc]
    if model.restarts_left:
        for name in model.voters:
            yield f"{name} restarts", lambda s, name=name: s.restart(name)  # type: ignore[misc]
    if model.time_steps_left:
        yield f"{TIME_STEP_S:g} s pass", lambda s: s.advance_time()


def unheld(max_rounds: int = 1, restarts: int = 0, repeats: int = 0, time_steps: int = 1) -> LeaseModel:
    """Returns a model with recovered voters and two proposers that hold no lease."""
    model = LeaseModel(
        max_rounds=max_rounds, restarts_left=restarts, repeats_left=repeats, time_steps_left=time_steps
    )
    for name in TERMS.acceptors:
        voter = Acceptor(name, TERMS, -100.0)
        voter.has_recovered = True
        model.voters[name] = voter
    for boot, name in enumerate(("a", "b")):
        model.proposers[name] = Proposer(name, boot + 1, "task", TERMS, LEASE_S)
    return model


def run_round(
    model: LeaseModel, name: str, voters: tuple[str, ...], until_kind: leases.LeaseMessageKind
) -> LeaseModel:
    """Runs a round with these voters until messages of kind `until_kind` are in flight; others are lost."""
    model.start_round(name)
    while True:
        rows = [row for row in model.in_flight if row[0] in voters or (row[0] == name and row[1] in voters)]
        deliverable = [row for row in rows if row[2].kind < until_kind and row[2].ballot.proposer == name]
        if not deliverable:
            break
        model.deliver(deliverable[0], False)
    model.in_flight = [row for row in model.in_flight if row[0] in voters or row[1] in voters]
    return model


def held_unknown_to_other(**budgets: int) -> LeaseModel:
    """Returns a model in which a holds the lease by v0 and v1, and b does not know of it."""
    model = run_round(unheld(**budgets), "a", ("v0", "v1"), leases.LeaseMessageKind.REJECTED)
    assert model.holders() == ["a"]
    return model


def held(**budgets: int) -> LeaseModel:
    """Returns the model of `held_unknown_to_other`, in which b also knows a's ballot number."""
    model = held_unknown_to_other(**budgets)
    model.proposers["b"].highest_number = 1
    return model


def competing_proposals(**budgets: int) -> LeaseModel:
    """Returns a model in which v0 and v1 promised to a, then to b, and both proposals are in flight."""
    model = run_round(unheld(**budgets), "a", ("v0", "v1"), leases.LeaseMessageKind.PROPOSE)
    model.proposers["b"].highest_number = 1
    return run_round(model, "b", ("v0", "v1"), leases.LeaseMessageKind.PROPOSE)


def accepted_not_learned(**budgets: int) -> LeaseModel:
    """Returns a model in which v0 and v1 accepted a, which does not know yet; b knows its ballot number."""
    model = run_round(unheld(**budgets), "a", ("v0", "v1"), leases.LeaseMessageKind.ACCEPTED)
    model.proposers["b"].highest_number = 1
    return model
