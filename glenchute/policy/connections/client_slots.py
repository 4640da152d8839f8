"""Which client connections keep their places, for how long, and who makes room when none is free.

A gateway has places for so many connections, and clients may hold a part of them for requests. A connection
between requests holds a place for nothing but the chance of its next request, so the time that it may do so
follows from what is free: generous while places are plentiful, falling smoothly to nothing as they run out.
Who goes first follows from what a connection has carried and how it came back, not from when it last said
something: a ping is no merit.

`Places` is told of each connection's comings, goings and changes of state, and says which to end. It does no
I/O and knows no clock but the one handed in; times are seconds, and never go back. Each event costs O(1): a
connection stands in one queue, by what it is doing, and every queue is in the order of its deadlines.

Guarantees, each with a property test:

- No more than ``most`` connections are held besides those that are being left, and ``most + spare`` in all.
- A connection with a request open, or on which a request may be arriving, is never named to be closed.
- One that has come back after its answer outlives every one that asked once and is idle for as long.
- A newcomer is not turned out before ``FIRST_COMMAND_S``.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from enum import Enum
from typing import Generic, TypeVar

from ..record import record

IDLE_S = 5.0  # what a connection between requests is allowed with every place free
ONCE_POWER = 3  # one that never came back loses its allowance by this power of the free share, others by 1
SILENT_S = 2.0  # a newcomer has this long for its first command with every place free ...
FIRST_COMMAND_S = 0.1  # ... and this long with none free: a round trip and some delay
PARTIAL_S = 2.4  # the end of a command that has begun is awaited this long: a true client may take 2 s
STUCK_S = 30.0  # a client that leaves its replies unread is cut off after this
LINGER_S = 0.5  # the other end has this long to read its last reply and close, while what it sends is dropped
GAP_WEIGHT = 0.3  # of the newest pause between two requests in a connection's mean pause
BUCKETS = 14  # of mean pauses, each twice as long as the one before; the last from 4 s on
CHECK_S = (0.02, 0.1)  # how often `expired` wants to be asked, under pressure and at ease

# Descriptors that a process has for itself: 3 streams, 11 of the loop and the look for ends (one is held
# back, to turn clients away when there are none left), a listener, 3 calls to discovery, 2 files, 2 to spare.
OWN = 22
OPERATED = 9  # ... and the second address with its callers, where the platform names one
SPARE = 16  # connections past the limit, at most, while they are told so or are being left
LEAST_LINKS, MOST_LINKS = 2, 12  # to the counter, at few descriptors and at many

Key = TypeVar("Key", bound=Hashable)


class State(Enum):
    """What a connection is doing."""

    FRESH = "fresh"  # no whole command has come yet
    BARE = "bare"  # idle; has carried no request, only pings and errors
    ONCE = "once"  # idle after its first request, or its first burst of them
    REUSED = "reused"  # idle; has come back with a request after its answer
    PARTIAL = "partial"  # a command has begun, and nothing else is open
    BUSY = "busy"  # requests are open, whose own deadlines bound the wait
    STUCK = "stuck"  # does not read its replies
    LEAVING = "leaving"  # all is written and the own side is shut


IDLE = (State.BARE, State.ONCE, State.REUSED)


class Reason(Enum):
    """Why a connection is to end."""

    IDLE = "idle"  # between requests for longer than is allowed now
    SILENT = "silent"  # never sent a whole command
    PARTIAL = "partial"  # the end of a command did not come
    STUCK = "stuck"  # did not read its replies
    LINGERED = "lingered"  # was left, and the other end did not close in time
    ROOM = "room"  # makes room for a newcomer
    FULL = "full"  # a newcomer for whom there is no room
    FLOOD = "flood"  # a newcomer, or one being left, past the spare places too


@record(frozen=True, slots=True)
class Close(Generic[Key]):
    """End this connection. After IDLE, SILENT, ROOM, PARTIAL and FULL `Places` counts it as LEAVING, to be
    closed cleanly; after STUCK, LINGERED and FLOOD it is forgotten, to be cut off."""

    key: Key
    reason: Reason


@record(slots=True)
class Place(Generic[Key]):
    """One connection's record."""

    key: Key
    state: State
    since: float  # when it entered its state
    carried: bool = False  # a request has been taken on it
    rested: float | None = None  # when its last answer had gone, while no request has come since
    reuses: int = 0  # requests that came after an idle time
    gap: float = 0.0  # mean idle time before such a request
    bucket: int = 0  # of the mean gap, while REUSED


def bucket(gap: float) -> int:
    """The bucket of a mean pause: 0 below 1 ms, n from 2^(n-1) ms on."""
    return min(BUCKETS - 1, int(gap * 1000.0).bit_length())


@record(frozen=True, slots=True)
class Budget:
    """What each part of a process may hold of its descriptors."""

    clients: int
    requesting: int  # of these, for requests: a third of all descriptors, as the platform's clients have it
    spare: int  # of clients that are told that there is no room, or are being left
    servers: int
    links: int  # to the counter


def budget(sockets: int, operated: bool = False) -> Budget:
    """The parts of so many descriptors, which with `OWN` are never more than that: what clients hold, however
    idle, leaves the rest of the process its own. Where there are many, clients get half and servers three
    tenths; where that leaves too few for the others, the two share what is left, three to one: a connection
    to a server is free again with its answer, a client's place is held from its first byte to its end."""
    links = min(MOST_LINKS, max(LEAST_LINKS, sockets // 16))
    spare = min(SPARE, sockets // 16)
    left = max(2, sockets - OWN - OPERATED * operated - links - spare)
    clients = max(1, min(sockets // 2, left * 3 // 4))
    servers = max(1, min(sockets * 3 // 10, left - clients))
    return Budget(clients, sockets // 3, spare, servers, links)


class Places(Generic[Key]):
    """The places of one listener.

    `most`: connections held at once. `requesting`: of these, how many may have carried a request before
    none of them may stand idle (the platform's clients hold a third of the descriptors for requests).
    `spare`: connections past `most` that may exist while they are told so or are being left.
    """

    def __init__(self, most: int, requesting: int, spare: int) -> None:
        if most < 1 or requesting < 1 or spare < 0:
            raise ValueError("a listener needs places")
        self.most, self.most_requesting, self.spare = most, requesting, spare
        self.all: dict[Key, Place[Key]] = {}
        self.requesting = 0  # that have carried a request and are not being left
        # OrderedDict, not dict: taking many first entries from a dict is quadratic.
        self.queues: dict[State, OrderedDict[Key, Place[Key]]] = {s: OrderedDict() for s in State}
        self.reused: list[OrderedDict[Key, Place[Key]]] = [OrderedDict() for _ in range(BUCKETS)]
        self.closed: dict[Reason, int] = dict.fromkeys(Reason, 0)  # for the operators

    # --- what is allowed ---------------------------------------------------------------------------------

    def held(self) -> int:
        """Connections that are not being left."""
        return len(self.all) - len(self.queues[State.LEAVING])

    def free(self) -> float:
        """The free share of all places, 0 to 1."""
        return max(0.0, 1.0 - self.held() / self.most)

    def free_requesting(self) -> float:
        """The free share of the places for requests, 0 to 1. Connections that never carried one don't count
        against it: they make room first, so that a crowd of them costs those that ask nothing."""
        return max(0.0, 1.0 - self.requesting / min(self.most, self.most_requesting))

    def allowance(self, place: Place[Key]) -> float:
        """Seconds that a connection in this state may go on in it, as places are now. inf: no limit here."""
        match place.state:
            case State.FRESH:
                return FIRST_COMMAND_S + (SILENT_S - FIRST_COMMAND_S) * self.free()
            case State.BARE:
                return IDLE_S * float(self.free() ** ONCE_POWER)
            case State.ONCE:
                return IDLE_S * float(self.free_requesting() ** ONCE_POWER)
            case State.REUSED:
                # One that comes back every few ms will do so within a moment or has no more to ask: the time
                # to its next request is thought to be its mean pause and what it has waited already.
                free = self.free_requesting()
                return max(IDLE_S * float(free**ONCE_POWER), IDLE_S * free - place.gap)
            case State.PARTIAL:
                return PARTIAL_S
            case State.STUCK:
                return STUCK_S
            case State.LEAVING:
                return LINGER_S
            case State.BUSY:
                return float("inf")

    # --- events ------------------------------------------------------------------------------------------

    def accepted(self, now: float, key: Key) -> list[Close[Key]]:
        """A new connection. Tells who makes room for it, or that it finds none itself."""
        if key in self.all:
            raise ValueError("accepted twice")
        self.enter(now, Place(key, State.FRESH, now), State.FRESH)
        return self.room(now, key)

    def room(self, now: float, newcomer: Key) -> list[Close[Key]]:
        """Brings the places back to their number, at the newcomer's cost if nobody can go for it. To be asked
        again where a connection that was to make room was `revived`."""
        closes = []
        while self.held() > self.most:
            victim = self.victim(now)
            if victim is None:
                closes.append(self.close(now, self.all[newcomer], Reason.FULL))
                break
            closes.append(self.close(now, victim, Reason.ROOM))
        while len(self.all) > self.most + self.spare and self.queues[State.LEAVING]:
            closes.append(self.close(now, self.first(State.LEAVING), Reason.FLOOD))
        return closes

    def request(self, now: float, key: Key) -> None:
        """A request was taken on the connection."""
        place = self.all[key]
        if place.state is State.LEAVING:
            raise ValueError("a request on a connection that is being left")
        if place.rested is not None:
            pause = now - place.rested
            place.gap += (GAP_WEIGHT if place.reuses else 1.0) * (pause - place.gap)
            place.reuses += 1
            place.rested = None
        if not place.carried:
            place.carried = True
            self.requesting += 1
        self.enter(now, place, State.BUSY)

    def changed(self, now: float, key: Key, state: State) -> None:
        """The connection does something else now. For BARE, ONCE and REUSED any of the three may be given:
        which it is follows from what it carried. Entering the state it is in renews nothing."""
        place = self.all.get(key)
        if place is None or place.state is State.LEAVING:
            return
        if state in IDLE:
            if place.carried and place.rested is None:
                place.rested = now
            state = State.REUSED if place.reuses else State.ONCE if place.carried else State.BARE
        if state is not place.state:
            self.enter(now, place, state)

    def left(self, key: Key) -> None:
        """The connection is closed."""
        place = self.all.pop(key, None)
        if place is not None:
            self.queue(place).pop(key, None)
            if place.carried and place.state is not State.LEAVING:
                self.requesting -= 1

    def revived(self, now: float, key: Key) -> None:
        """A connection named to be closed turned out to have bytes waiting to be read: it stays, as BUSY,
        until the bytes have been looked at."""
        place = self.all.get(key)
        if place is not None and place.state is State.LEAVING:
            self.enter(now, place, State.BUSY)

    def expired(self, now: float) -> list[Close[Key]]:
        """Connections whose time in their state is up. The longest shot goes first, and each that goes
        lengthens the time that the others are allowed, so that no more go than the pressure asks for."""
        closes = []
        for state, reason in (
            (State.LEAVING, Reason.LINGERED),
            (State.STUCK, Reason.STUCK),
            (State.PARTIAL, Reason.PARTIAL),
            (State.FRESH, Reason.SILENT),
            (State.BARE, Reason.IDLE),
            (State.ONCE, Reason.IDLE),
        ):
            queue = self.queues[state]
            while queue and self.over(now, self.first(state)):
                closes.append(self.close(now, self.first(state), reason))
        while (place := self.idlest(now, 0.0)) is not None:
            closes.append(self.close(now, place, Reason.IDLE))
        return closes

    def next_check(self) -> float:
        """Seconds after which `expired` wants to be asked again."""
        return CHECK_S[0] if min(self.free(), self.free_requesting()) < 0.5 else CHECK_S[1]

    # --- inside ------------------------------------------------------------------------------------------

    def over(self, now: float, place: Place[Key]) -> bool:
        """Whether its time is up."""
        return now - place.since > self.allowance(place)

    def first(self, state: State) -> Place[Key]:
        """The one that has been in this state for longest."""
        return next(iter(self.queues[state].values()))

    def idlest(self, now: float, late: float = -float("inf")) -> Place[Key] | None:
        """Of those that came back, the one whose next request is thought to be farthest: its usual pause, and
        what it has waited in vain. `late`: only of those that are over their allowance by more than this."""
        heads = [next(iter(queue.values())) for queue in self.reused if queue]
        heads = [place for place in heads if now - place.since - self.allowance(place) > late]
        return max(heads, key=lambda place: place.gap + now - place.since, default=None)

    def victim(self, now: float) -> Place[Key] | None:
        """Who makes room: those that never asked, in the order of their coming, then those that did."""
        for state, least in ((State.BARE, 0.0), (State.FRESH, FIRST_COMMAND_S), (State.ONCE, 0.0)):
            if self.queues[state] and now - self.first(state).since >= least:
                return self.first(state)
        return self.idlest(now)

    def close(self, now: float, place: Place[Key], reason: Reason) -> Close[Key]:
        """Books an end."""
        self.closed[reason] += 1
        if reason in (Reason.STUCK, Reason.LINGERED, Reason.FLOOD):
            self.left(place.key)
        else:
            self.enter(now, place, State.LEAVING)
        return Close(place.key, reason)

    def queue(self, place: Place[Key]) -> OrderedDict[Key, Place[Key]]:
        """Where its state puts it."""
        return self.reused[place.bucket] if place.state is State.REUSED else self.queues[place.state]

    def enter(self, now: float, place: Place[Key], state: State) -> None:
        """Goes to the end of the state's queue, so that each queue is in the order of `since`."""
        self.queue(place).pop(place.key, None)
        if place.carried:
            self.requesting += (state is not State.LEAVING) - (place.state is not State.LEAVING)
        place.state, place.since = state, now
        place.bucket = bucket(place.gap) if state is State.REUSED else 0
        self.queue(place)[place.key] = place
        self.all[place.key] = place

    def __iter__(self) -> Iterator[Key]:
        return iter(list(self.all))

    def __len__(self) -> int:
        return len(self.all)
