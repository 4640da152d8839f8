"""What each process let in, told straight to those whom it may concern. No I/O; seconds by one clock.

An account's requests come through its set alone: `spread` gateways in a row, by number, counted round. So
use goes from its writer to the members that may share a set with it, once each and by nobody else (direct
mail: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987): at once, then to that
member once in `PUSH_S` at most, and of that account once in `GAP_S` for each gateway of its set. Of the set a
request tells the size only, so use is told to all within that distance, until words of the others on the same
account show where the set lies.

Mail may be lost, so each way between two members has serial numbers, and each message says whether it is all
that the sender has to say by now. Who finds a number missing, or hears nothing for a while, asks, and is sent
all that is still of use. A member is known (`known`) while its last word was such a whole one, not long ago;
what a member whose budget does not suffice, or the way from whom is cut, lets in is thus not taken for known,
however alive others say it is. All of it stands under one budget of bytes a second, in good times and bad.

Wrong numbers of members cost quality, not a rule: a gateway then hears those that do not share the account,
and takes the others for idle, so with the counter mute each lets in up to the whole quota; the audit of use
tells of it. A shift of all numbers does no harm, and without numbers all are told.
"""

from __future__ import annotations

import random
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from .outgoing import Outgoing
from .replica import Replica, Row, RowKind
from .usage import AccountUsage

MIN_PUSH_INTERVAL_S = 0.1  # a member is sent news at once, and then no sooner than this
ACCOUNT_INTERVAL_PER_GATEWAY_S = 0.02  # ... and an account again after this for each gateway of its set
REQUEST_INTERVAL_S = 0.5  # a member is asked so often at most ...
MAX_REQUESTS_PER_S = 16.0  # ... and so many in a second
MAX_MISSED_REQUESTS = (
    3.0  # pauses between asks after which a member that said nothing whole is no longer known
)
MAX_ENTRIES_PER_MESSAGE = 64  # in a message
ENTRY_BYTES, HEADER_BYTES = 18, 48  # what they are reckoned at in the budget
MAX_PENDING_ENTRIES = 20_000  # words waiting to be sent, all members together
MAX_REPORTED_WINDOWS = 8_000  # windows of this process that others have to know
MIN_SUBSET_SIZE = 8  # so large a set is kept up with before any request has come
TRAILING_DIGITS = re.compile(r"[0-9]+\Z", re.ASCII)
At = tuple[RowKind, str, str]


class UsageEntry(NamedTuple):
    """Use of a window: `boot` 0: the sender's own; else that of a process that had the receiver's name."""

    key: str
    version: int
    units: float
    boot: int = 0


class UsageMessage(NamedTuple):
    """Words to one member. `first`: nothing before counts; `whole`: all that the sender has to say by now."""

    serial: int
    first: bool
    whole: bool
    words: tuple[UsageEntry, ...]


class UsageRequest(NamedTuple):
    """The sender has the receiver's mail up to this serial number; -1: it lacks some, or all."""

    serial: int


DirectMessage = UsageMessage | UsageRequest


@dataclass(slots=True)
class PeerChannel:
    """Mail to a member, and from it."""

    sent: int  # the last serial number used
    sent_at: float = -1e9
    push_at: float = -1e9  # from when on it may be sent news
    began: bool = True  # the next message is the first of a row
    answered_at: float = -1e9  # when it was last sent all anew
    boot: int = -1  # of the process that is heard
    heard: int = -1  # its last number, all before having come; -1: some have not
    whole_at: float = -1e9
    ask_at: float = -1e9


def gateway_numbers(rows: Mapping[str, int | None]) -> dict[str, int] | None:
    """Members' numbers by name: as stated, else the digits at the name's end. None where one has none, or two
    have the same: then any two may share a set."""
    found: dict[str, int] = {}
    for name, stated in rows.items():
        digits = TRAILING_DIGITS.search(name)
        if stated is None and digits is None:
            return None
        found[name] = stated if stated is not None else int(digits[0][-9:]) if digits else 0
    return found if len(set(found.values())) == len(found) else None


class GatewayRing:
    """The members by their distance from this one."""

    def __init__(
        self, name: str, members: Sequence[str], numbers: dict[str, int] | None, gateways: int
    ) -> None:  # fmt: skip
        self.gateways = max(gateways, 1)
        self.members = tuple(other for other in members if other != name)
        self.steps: dict[str, int] = {}  # how far on each is
        if numbers is not None:
            own = numbers[name]
            self.steps = {other: (numbers[other] - own) % self.gateways for other in self.members}
            if 0 in self.steps.values() or len(set(self.steps.values())) < len(self.steps):
                self.steps = {}  # more numbers than gateways
        self.at = {step: other for other, step in self.steps.items()}
        self.ranges: dict[tuple[int, int], tuple[str, ...]] = {}

    def near(self, spread: int, seen: Sequence[str] = ()) -> tuple[str, ...]:
        """Members that may share a set of so many with this one, and with these that are in it."""
        if not self.steps or 2 * spread > self.gateways:
            return self.members if spread > 1 else ()
        low = high = 0
        for name in seen:
            step = self.steps.get(name, 0)
            step -= self.gateways if 2 * step > self.gateways else 0
            low, high = min(low, step), max(high, step)
        if high - low >= spread:
            low = high = 0  # not of one set: nothing is known of where it lies
        return self.between(high - spread + 1, low + spread - 1)

    def between(self, first: int, last: int) -> tuple[str, ...]:
        """Members from one distance to another, negative ones before this one."""
        found = self.ranges.get((first, last))
        if found is None:
            if len(self.ranges) > 256:
                self.ranges.clear()
            steps = [step % self.gateways for step in range(first, last + 1)]
            found = self.ranges[first, last] = tuple(self.at[step] for step in steps if step in self.at)
        return found

    def others(self, spread: int) -> int:
        """How many gateways `near` has to name for so large a set, were all of them members."""
        whole = self.gateways - 1
        return whole if not self.steps else min(whole, 2 * (spread - 1))


class DirectMessenger:
    """The mail of one process. `there`: whether a member takes part, by the probes."""

    def __init__(
        self,
        use: AccountUsage,
        replica: Replica,
        ring: GatewayRing,
        there: Callable[[str], bool],
        rng: random.Random,
        now: float = 0.0,
        budget: float = 6_144.0,
    ) -> None:
        """`budget` in bytes a second."""
        self.use, self.replica, self.ring, self.there, self.rng = use, replica, ring, there, rng
        self.budget = budget
        self.ways: dict[str, PeerChannel] = {}
        self.told: dict[str, None] = {}  # own windows that others have to know, by their last change
        self.fresh: dict[str, float] = {}  # ... that changed since they were handed out, and when they may be
        self.next_at: dict[str, float] = {}  # ... that were handed out, and when they may be again
        self.owed: dict[str, dict[At, None]] = {}  # by member, what it is to be sent
        self.owing = 0
        self.sets: dict[int, int] = {}  # by size of a set, others known; good until the next tick
        self.widest = min(MIN_SUBSET_SIZE, ring.gateways)
        self.allowance, self.allowed_at = 0.0, now
        self.round: list[str] = []
        self.asked_at = now
        self.sent_bytes = self.words_sent = self.dropped = 0

    # --- what this process lets in -----------------------------------------------------------------------

    def tell(self, now: float, row: Row) -> None:
        """This process' own row of use has changed."""
        if self.use.matters(row.key):
            self.replica.put(now, row)
            self.told.pop(row.key, None)
            self.told[row.key] = None
            if len(self.told) > MAX_REPORTED_WINDOWS:
                del self.told[next(iter(self.told))]
            self.fresh.setdefault(row.key, self.next_at.get(row.key, now))

    def partners(self, key: str) -> tuple[str, ...]:
        """Who is told of a window of this process."""
        own = self.use.own.get(key)
        if own is None:
            return ()
        writers = [*self.use.others.get(key, ()), *self.use.others.get(own.before, ())]
        return self.ring.near(own.spread, [writer.partition("#")[0] for writer in writers])

    def way(self, name: str) -> PeerChannel:
        """The way to a member. Numbers begin anywhere, so that a process is not taken for the one before."""
        way = self.ways.get(name)
        if way is None:
            way = self.ways[name] = PeerChannel(self.rng.getrandbits(24))
        return way

    def owe(self, name: str, at: At) -> None:
        """A member is to be sent a row. Past the bound its mail begins anew, when it asks."""
        mine = self.owed.setdefault(name, {})
        if at not in mine:
            mine[at] = None
            self.owing += 1
        if self.owing > MAX_PENDING_ENTRIES:
            self.drop(name)

    def drop(self, name: str) -> None:
        """What a member was to be sent is not sent: it will find a number missing."""
        self.owing -= len(self.owed.pop(name))
        self.dropped += 1
        self.way(name).sent += 1

    # --- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Outgoing[DirectMessage]]:
        """What is due now, within the budget."""
        self.allowance = min(self.budget / 4.0, self.allowance + self.budget * (now - self.allowed_at))
        self.allowed_at = now
        self.sets.clear()
        out: list[Outgoing[DirectMessage]] = []
        self.hand_out(now)
        for name in list(self.owed):
            if self.allowance <= 0.0:
                break
            if not self.there(name):
                self.drop(name)
            elif now >= self.way(name).push_at:
                self.send(now, out, name)
        self.ask(now, out)
        return out

    def hand_out(self, now: float) -> None:
        """Changed windows, to those whom they concern."""
        for key in [key for key, due in self.fresh.items() if due <= now]:
            del self.fresh[key]
            own = self.use.own.get(key)
            if own is None:
                continue
            for name in self.partners(key):
                self.owe(name, (RowKind.USE, key, self.use.writer))
            self.next_at.pop(key, None)
            self.next_at[key] = now + ACCOUNT_INTERVAL_PER_GATEWAY_S * own.spread
        while self.next_at and self.next_at[next(iter(self.next_at))] <= now:
            del self.next_at[next(iter(self.next_at))]

    def send(self, now: float, out: list[Outgoing[DirectMessage]], name: str) -> None:
        """The next message to a member; then others are first."""
        way, mine = self.way(name), self.owed.pop(name, {})
        words: list[UsageEntry] = []
        while mine and len(words) < MAX_ENTRIES_PER_MESSAGE:
            at = next(iter(mine))
            del mine[at]
            self.owing -= 1
            held = self.replica.rows.get(at)
            if held is not None:
                boot = 0 if at[2] == self.use.writer else int(at[2].rpartition("#")[2], 16)
                words.append(UsageEntry(at[1], held.row.version, held.row.value, boot))
        if mine:
            self.owed[name] = mine
        way.sent, way.sent_at, way.push_at = way.sent + 1, now, now + MIN_PUSH_INTERVAL_S
        first, way.began = way.began, False
        self.words_sent += len(words)
        self.give(out, Outgoing(name, UsageMessage(way.sent, first, not mine, tuple(words))))

    def ask(self, now: float, out: list[Outgoing[DirectMessage]]) -> None:
        """Asks members that may share a set in use, each in its turn, and at once where mail is missing."""
        while self.allowance > 0.0 and now - self.asked_at >= 1.0 / MAX_REQUESTS_PER_S:
            self.asked_at = max(self.asked_at + 1.0 / MAX_REQUESTS_PER_S, now - 0.25)
            if not self.round:
                self.round = list(self.ring.near(self.widest))
                self.rng.shuffle(self.round)
            for _ in range(len(self.round)):
                name = self.round.pop()
                way = self.way(name)
                if self.there(name) and now >= way.ask_at:
                    way.ask_at = now + REQUEST_INTERVAL_S
                    self.give(out, Outgoing(name, UsageRequest(way.heard)))
                    break

    def give(
        self,
        out: list[Outgoing[DirectMessage]],
        outgoing: Outgoing[DirectMessage],
    ) -> None:
        """Books a message's bytes, roughly, and sends it."""
        cost = HEADER_BYTES + (
            ENTRY_BYTES * len(outgoing.message.words) if isinstance(outgoing.message, UsageMessage) else 0
        )
        self.allowance -= cost
        self.sent_bytes += cost
        out.append(outgoing)

    # --- messages ----------------------------------------------------------------------------------------

    def heard(self, now: float, sender: str, boot: int, body: DirectMessage) -> list[Outgoing[DirectMessage]]:
        """A member's message, and what is answered at once."""
        out: list[Outgoing[DirectMessage]] = []
        way = self.way(sender)
        if isinstance(body, UsageRequest):
            self.answer(now, out, sender, way, body.serial)
            return out
        for word in body.words[:MAX_ENTRIES_PER_MESSAGE]:
            own_name = self.use.writer.rpartition("#")[0]
            writer = f"{own_name}#{word.boot:x}" if word.boot else f"{sender}#{boot:x}"
            row = Row(RowKind.USE, word.key, writer, word.version, word.units)
            if writer != self.use.writer and self.replica.put(now, row, seen_from=sender):
                self.use.heard(row)
                if word.key not in self.told and self.use.matters(word.key):
                    self.tell(now, self.use.row(word.key, self.use.own[word.key]))
        if boot != way.boot:
            way.boot, way.heard = boot, -1
        if body.first or (way.heard >= 0 and body.serial == way.heard + 1):
            way.heard = body.serial
        elif body.serial != way.heard:
            if way.heard >= 0 and len(self.round) <= 2 * len(self.ring.members):
                way.ask_at = -1e9
                self.round.append(sender)  # the next to be asked
            way.heard = -1
        if body.whole and way.heard == body.serial:
            way.whole_at = now
        return out

    def answer(
        self,
        now: float,
        out: list[Outgoing[DirectMessage]],
        name: str,
        way: PeerChannel,
        serial: int,
    ) -> None:
        """What a member that asks is told: that there is nothing new, or all anew. While mail to it is on its
        way, nothing; answers that the budget does not allow are left out."""
        busy = name in self.owed or now - way.sent_at < 2.0 * MIN_PUSH_INTERVAL_S
        if self.allowance <= 0.0 or (busy and serial >= 0):
            return
        if serial == way.sent and not way.began:
            way.sent_at = now
            self.give(out, Outgoing(name, UsageMessage(way.sent, False, True, ())))
        elif now - way.answered_at >= REQUEST_INTERVAL_S / 2.0:
            way.answered_at, way.began = now, True
            for key in self.told:
                if name in self.partners(key):
                    self.owe(name, (RowKind.USE, key, self.use.writer))
            if serial < 0:  # it may have begun anew: what was let in under its name is nobody else's to tell
                for at in self.replica.order[RowKind.USE]:
                    if at[2].rpartition("#")[0] == name:
                        self.owe(name, at)
            self.send(now, out, name)

    # --- what is known -----------------------------------------------------------------------------------

    def expire(self) -> None:
        """Forgets windows whose rows have gone."""
        while self.told and (RowKind.USE, next(iter(self.told)), self.use.writer) not in self.replica.rows:
            del self.told[next(iter(self.told))]

    def known(self, now: float, spread: int) -> int:
        """Of a set's other gateways, how many are known for certain by all that they have let in."""
        spread = min(spread, self.ring.gateways)
        if spread > self.widest:
            self.widest = spread
            self.round.clear()
        found = self.sets.get(spread)
        if found is None:
            near = self.ring.near(spread)
            since = now - MAX_MISSED_REQUESTS * max(
                REQUEST_INTERVAL_S, len(self.ring.near(self.widest)) / MAX_REQUESTS_PER_S
            )
            sure = sum(self.there(name) and self.way(name).whole_at >= since for name in near)
            missing = self.ring.others(spread) - sure
            found = self.sets[spread] = max(0, spread - 1 - missing)
        return found
