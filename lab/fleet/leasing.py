"""Voters and seekers of one lease as a system to be explored: any order of messages, drops, repeats,
restarts, and time at the bounds of the drift. The books are the system's own: who held what when.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from glenchute.policy.membership import leases
from glenchute.policy.membership.leases import Acceptor, LeaseMessage, LeaseTerms, Proposer
from glenchute.policy.membership.outgoing import Outgoing

LONGEST, DRIFT = 10.0, 0.1
STEP = LONGEST  # voters' clocks are past a lease's end then, and a holder's without its margin is not
TERMS = LeaseTerms(("v0", "v1", "v2"), LONGEST, DRIFT)


@dataclass
class System:
    """Three voters, two seekers, and what may still happen."""

    voters: dict[str, Acceptor] = field(default_factory=dict)
    seekers: dict[str, Proposer] = field(default_factory=dict)
    net: list[tuple[str, str, LeaseMessage]] = field(default_factory=list)  # to, from, what
    now: float = 0.0  # real time
    tries: int = 2  # of each seeker
    restarts: int = 1
    repeats: int = 0
    steps: int = 4
    tried: dict[str, int] = field(default_factory=dict)
    tokens: list[tuple[str, int]] = field(default_factory=list)  # holdings in the order of real time

    def clock(self, name: str) -> float:
        """Voters' clocks run as fast, seekers' as slow as the drift allows: the worst case for safety."""
        return self.now * (1.0 + DRIFT if name in self.voters or name.startswith("v") else 1.0 - DRIFT)

    def post(self, sender: str, outs: list[Outgoing[LeaseMessage]]) -> None:
        """Messages on their way, each once."""
        for out in outs:
            row = (out.to, sender, out.message)
            if row not in self.net:
                self.net.append(row)

    def deliver(self, row: tuple[str, str, LeaseMessage], keep: bool) -> None:
        """One message comes; `keep`: it comes again later."""
        if keep:
            self.repeats -= 1
        else:
            self.net.remove(row)
        to, sender, message = row
        found = self.voters.get(to) or self.seekers[to]
        self.post(to, found.receive(self.clock(to), sender, message))
        self.note()

    def seek(self, name: str) -> None:
        """A seeker tries, or renews."""
        self.tried[name] = self.tried.get(name, 0) + 1
        self.post(name, self.seekers[name].start_round(self.clock(name)))

    def release(self, name: str) -> None:
        self.post(name, self.seekers[name].release(self.clock(name)))

    def restart(self, name: str) -> None:
        """A voter's process is another one, which remembers nothing."""
        self.restarts -= 1
        self.voters[name] = Acceptor(name, TERMS, self.clock(name))

    def pass_time(self) -> None:
        """All clocks run on; voters that have to recover ask the others, who answer at once."""
        self.steps -= 1
        self.now += STEP
        for name, voter in self.voters.items():
            for out in voter.tick(self.clock(name)):
                for back in self.voters[out.to].receive(self.clock(out.to), name, out.message):
                    voter.receive(self.clock(name), out.to, back.message)
            voter.tick(self.clock(name))

    def holding(self) -> list[str]:
        """Who may act at this moment."""
        return [name for name, seeker in self.seekers.items() if seeker.is_holder(self.clock(name))]

    def note(self) -> None:
        """Books a new holding."""
        for name in self.holding():
            held = self.seekers[name].lease
            assert held is not None
            if not self.tokens or self.tokens[-1] != (name, held.token):
                self.tokens.append((name, held.token))

    def key(self) -> bytes:
        """What makes two systems one: not the order of messages on their way."""
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
    """The invariants."""
    holding = system.holding()
    if len(holding) > 1:
        return f"two may act: {', '.join(holding)}"
    for (one, before), (other, after) in zip(system.tokens, system.tokens[1:], strict=False):
        if one != other and after <= before:
            return f"tokens do not grow: {one} had {before}, {other} has {after}"
    return ""


def events(system: System) -> Iterator[tuple[str, Callable[[System], None]]]:
    """All that may happen next. A message that is never delivered is lost."""
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
    """Voters that have recovered, two seekers, nothing held."""
    system = System(tries=tries, restarts=restarts, repeats=repeats, steps=steps)
    for name in TERMS.acceptors:
        voter = Acceptor(name, TERMS, -100.0)
        voter.has_recovered = True
        system.voters[name] = voter
    for boot, name in enumerate(("a", "b")):
        system.seekers[name] = Proposer(name, boot + 1, "task", TERMS, LONGEST)
    return system


def through(system: System, name: str, voters: tuple[str, ...], upto: leases.LeaseMessageKind) -> System:
    """One seeker's try with these voters, until messages of a kind are on their way; the rest is lost."""
    system.seek(name)
    while True:
        rows = [row for row in system.net if row[0] in voters or (row[0] == name and row[1] in voters)]
        ours = [row for row in rows if row[2].kind < upto and row[2].ballot.proposer == name]
        if not ours:
            break
        system.deliver(ours[0], False)
    system.net = [row for row in system.net if row[0] in voters or row[1] in voters]
    return system


def tied(**budgets: int) -> System:
    """Seeker a holds by v0 and v1, and b has heard nothing of it."""
    system = through(fresh(**budgets), "a", ("v0", "v1"), leases.LeaseMessageKind.REJECTED)
    assert system.holding() == ["a"]
    return system


def held(**budgets: int) -> System:
    """The same, and b has heard of a's number."""
    system = tied(**budgets)
    system.seekers["b"].highest_number = 1
    return system


def racing(**budgets: int) -> System:
    """Both have been promised by v0 and v1, a before b, and both proposals are on their way."""
    system = through(fresh(**budgets), "a", ("v0", "v1"), leases.LeaseMessageKind.PROPOSE)
    system.seekers["b"].highest_number = 1
    return through(system, "b", ("v0", "v1"), leases.LeaseMessageKind.PROPOSE)


def late(**budgets: int) -> System:
    """Seeker a has been accepted by v0 and v1, and does not know yet; b has heard of its number."""
    system = through(fresh(**budgets), "a", ("v0", "v1"), leases.LeaseMessageKind.ACCEPTED)
    system.seekers["b"].highest_number = 1
    return system
