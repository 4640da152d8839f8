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

LONGEST, DRIFT = 10.0, 0.1
# After this time a lease has ended by the voters' clocks, but not by a holder's clock without its margin.
STEP = LONGEST
TERMS = LeaseTerms(("v0", "v1", "v2"), LONGEST, DRIFT)


@dataclass
class System:
    """Three voters, two proposers, and the budgets of events that may still happen."""

    voters: dict[str, Acceptor] = field(default_factory=dict)
    seekers: dict[str, Proposer] = field(default_factory=dict)
    net: list[tuple[str, str, LeaseMessage]] = field(default_factory=list)  # receiver, sender and message
    now: float = 0.0  # real time in s
    tries: int = 2  # rounds of each proposer
    restarts: int = 1
    repeats: int = 0
    steps: int = 4
    tried: dict[str, int] = field(default_factory=dict)
    tokens: list[tuple[str, int]] = field(default_factory=list)  # holders and tokens in order of time

    def clock(self, name: str) -> float:
        """Returns a clock: fastest for voters, slowest for proposers, which is the worst case for safety."""
        return self.now * (1.0 + DRIFT if name in self.voters or name.startswith("v") else 1.0 - DRIFT)

    def post(self, sender: str, outs: list[Outgoing[LeaseMessage]]) -> None:
        """Adds messages in flight, without duplicates."""
        for out in outs:
            row = (out.to, sender, out.message)
            if row not in self.net:
                self.net.append(row)

    def deliver(self, row: tuple[str, str, LeaseMessage], keep: bool) -> None:
        """Delivers a message; with `keep` it is delivered again later."""
        if keep:
            self.repeats -= 1
        else:
            self.net.remove(row)
        to, sender, message = row
        found = self.voters.get(to) or self.seekers[to]
        self.post(to, found.receive(self.clock(to), sender, message))
        self.record_holders()

    def seek(self, name: str) -> None:
        """Starts a round of a proposer, which acquires or renews the lease."""
        self.tried[name] = self.tried.get(name, 0) + 1
        self.post(name, self.seekers[name].start_round(self.clock(name)))

    def release(self, name: str) -> None:
        self.post(name, self.seekers[name].release(self.clock(name)))

    def restart(self, name: str) -> None:
        """Replaces a voter by one without state."""
        self.restarts -= 1
        self.voters[name] = Acceptor(name, TERMS, self.clock(name))

    def pass_time(self) -> None:
        """Advances all clocks by `STEP`; recovering voters ask the others, which answer at once."""
        self.steps -= 1
        self.now += STEP
        for name, voter in self.voters.items():
            for out in voter.tick(self.clock(name)):
                for back in self.voters[out.to].receive(self.clock(out.to), name, out.message):
                    voter.receive(self.clock(name), out.to, back.message)
            voter.tick(self.clock(name))

    def holding(self) -> list[str]:
        """Returns the proposers that may act now."""
        return [name for name, seeker in self.seekers.items() if seeker.is_holder(self.clock(name))]

    def record_holders(self) -> None:
        """Records a new holder or token."""
        for name in self.holding():
            held = self.seekers[name].lease
            assert held is not None
            if not self.tokens or self.tokens[-1] != (name, held.token):
                self.tokens.append((name, held.token))

    def key(self) -> bytes:
        """Returns a key that is equal for equal states; the order of messages in flight does not count."""
        rows = sorted(self.net)
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
        seekers = [
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
            for s in self.seekers.values()
        ]
        budgets = (self.now, self.restarts, self.repeats, self.steps, sorted(self.tried.items()), self.tokens)
        return pickle.dumps((rows, voters, seekers, budgets))


def check(system: System) -> str:
    """Checks the invariants; returns the violation, or an empty string."""
    holding = system.holding()
    if len(holding) > 1:
        return f"two may act: {', '.join(holding)}"
    for (one, before), (other, after) in zip(system.tokens, system.tokens[1:], strict=False):
        if one != other and after <= before:
            return f"tokens do not grow: {one} had {before}, {other} has {after}"
    return ""


def events(system: System) -> Iterator[tuple[str, Callable[[System], None]]]:
    """Yields all possible next events. A message that is never delivered is lost."""
    for row in system.net:
        to, sender, message = row
        label = f"{sender} to {to}: {message.kind.name.lower()} {message.ballot.number}"
        yield label, lambda s, row=row: s.deliver(row, False)  # type: ignore[misc]
        if system.repeats:
            yield label + " (again later)", lambda s, row=row: s.deliver(row, True)  # type: ignore[misc]
    for name in system.seekers:
        if system.tried.get(name, 0) < system.tries:
            yield f"{name} seeks", lambda s, name=name: s.seek(name)  # type: ignore[misc]
        if system.seekers[name].is_holder(system.clock(name)):
            yield f"{name} releases", lambda s, name=name: s.release(name)  # type: ignore[misc]
    if system.restarts:
        for name in system.voters:
            yield f"{name} restarts", lambda s, name=name: s.restart(name)  # type: ignore[misc]
    if system.steps:
        yield f"{STEP:g} s pass", lambda s: s.pass_time()


def fresh(tries: int = 1, restarts: int = 0, repeats: int = 0, steps: int = 1) -> System:
    """Returns a system with recovered voters and two proposers that hold no lease."""
    system = System(tries=tries, restarts=restarts, repeats=repeats, steps=steps)
    for name in TERMS.acceptors:
        voter = Acceptor(name, TERMS, -100.0)
        voter.has_recovered = True
        system.voters[name] = voter
    for boot, name in enumerate(("a", "b")):
        system.seekers[name] = Proposer(name, boot + 1, "task", TERMS, LONGEST)
    return system


def run_round(
    system: System, name: str, voters: tuple[str, ...], until_kind: leases.LeaseMessageKind
) -> System:
    """Runs a round with these voters until messages of kind `until_kind` are in flight; others are lost."""
    system.seek(name)
    while True:
        rows = [row for row in system.net if row[0] in voters or (row[0] == name and row[1] in voters)]
        ours = [row for row in rows if row[2].kind < until_kind and row[2].ballot.proposer == name]
        if not ours:
            break
        system.deliver(ours[0], False)
    system.net = [row for row in system.net if row[0] in voters or row[1] in voters]
    return system


def tied(**budgets: int) -> System:
    """Returns a system in which a holds the lease by v0 and v1, and b does not know of it."""
    system = run_round(fresh(**budgets), "a", ("v0", "v1"), leases.LeaseMessageKind.REJECTED)
    assert system.holding() == ["a"]
    return system


def held(**budgets: int) -> System:
    """Returns the system of `tied` in which b also knows a's ballot number."""
    system = tied(**budgets)
    system.seekers["b"].highest_number = 1
    return system


def racing(**budgets: int) -> System:
    """Returns a system in which v0 and v1 promised to a, then to b, and both proposals are in flight."""
    system = run_round(fresh(**budgets), "a", ("v0", "v1"), leases.LeaseMessageKind.PROPOSE)
    system.seekers["b"].highest_number = 1
    return run_round(system, "b", ("v0", "v1"), leases.LeaseMessageKind.PROPOSE)


def late(**budgets: int) -> System:
    """Returns a system in which v0 and v1 accepted a, which does not know yet; b knows its ballot number."""
    system = run_round(fresh(**budgets), "a", ("v0", "v1"), leases.LeaseMessageKind.ACCEPTED)
    system.seekers["b"].highest_number = 1
    return system
