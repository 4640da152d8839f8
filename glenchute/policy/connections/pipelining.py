"""Where an attempt stands: which connection to its node it joins, or a new one, or a bounded wait, or none.

The decision module has chosen the node. Here it is only settled on which line to it the attempt is written,
so that as little as can be expected is held back, and what becomes of a line whose head does not answer.
Events in (`place`, `connected`, `answered`, `lost`, ...), actions out (`Placement`, `Condemn`, `Cut`,
`Copy`); time is handed in, in milliseconds, and nothing is drawn.

What holds, whatever is learned of times:

- *Hold-back bound.* An attempt that joins a line has a bound, no later than the moment until which a further
  attempt of its request is of use (`Job.rescue_by`) and than its own time-out. By then all ahead of it are
  answered or the line is cut, and whoever is cut may still go again: none is given up behind another.
- An unsafe attempt stands behind nothing, and is never cut for others.
- No line holds more than the least of: the rule's depth, the node's own limit at the time of joining, the
  job's; and no more than `at_risk` attempts stand behind others at a node.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from ..settings import Idempotency, RequestClass
from .class_compatibility import Behind, Sharing
from .depth_limit import Depth
from .service_times import ServiceTimes

GRID = 8  # points at which a chance is taken for an expectation
LATE_WEIGHS = 4.0  # a millisecond past the aim, against one before it
CANDIDATES = 2  # lines that are weighed; those with the fewest on them
STALL_KEPT_MS = 50.0  # the time after which a head counts as stalled is taken anew this often
CUT_SHARE = 0.1  # attempts that may be cut early for each one placed ...
MOST_CUTS = 16.0  # ... and at once
CONNECT_START_MS = 5.0  # thought of a new connection until one was made
COARSE_MS = 2.0  # timers are late by so much
MEMORY_MARGIN_MS = 10.0  # a further attempt of a keyed request needs so much of the memory span


class Rules(NamedTuple):
    """What the operator's file says, in milliseconds."""

    depth: int = 4  # attempts on one connection, the one ahead included
    at_risk: int = 8  # attempts behind others, a node
    wait_ms: float = 5.0  # an attempt may wait so long for a connection
    settle_ms: float = 30.0  # an emptied line is not written to for so long
    idle_ms: float = 11_000.0  # nor one that stood idle for so long
    stall_quantile: float = 0.95  # a head is stalled when it takes `stall_factor` times this quantile of its
    stall_factor: float = 2.0  # class, and `least_stall_ms` at least
    least_stall_ms: float = 10.0
    open_price_ms: float = 2.0  # what a new connection costs the node, beside the time that it takes
    copies: bool = False  # the settings allow second copies
    adaptive: bool = True  # a node's depth follows its replies; else it is `depth`


class Job(NamedTuple):
    """An attempt as the placing sees it. `rescue_by`: if it is cut by then its request may go again; -inf if
    it may not at all."""

    class_name: str
    until: float  # given up then
    due: float  # the aim
    rescue_by: float
    depth: int = 1 << 30  # its route's


def job_of(
    cls: RequestClass,
    mean_ms: float,
    began: float,
    until: float,
    came: float,
    deadline: float,
    write_by: float,
    again: bool,
    depth: int = 1 << 30,
) -> Job:
    """An attempt that begins now, of a request that came then. `again`: its request may have a further
    attempt, as far as numbers and routes go; `write_by`: repeats are dropped until then (inf: not yet sent).
    A further attempt is of use as long as the decision module thinks so, which is `Gateway.may_repeat`'s
    reckoning."""
    due = came + cls.latency_objective_ms
    useful = deadline if cls.late_weight_fraction > 0 else min(deadline, due)
    rescue_by = useful - max(COARSE_MS, mean_ms)
    if cls.idempotency is Idempotency.WITH_KEY:
        # What is cut may have run from its first byte on: the next one must leave while that is remembered.
        rescue_by = min(rescue_by, write_by - COARSE_MS, began + cls.idempotency_window_ms - MEMORY_MARGIN_MS)
    if cls.idempotency is Idempotency.NON_IDEMPOTENT or not again:
        rescue_by = -math.inf
    return Job(cls.name, until, due, rescue_by, depth)


class How(Enum):
    """Where an attempt goes."""

    IDLE = "idle"  # onto a connection on which nothing stands
    JOIN = "join"  # behind others
    OPEN = "open"  # onto a new connection
    WAIT = "wait"  # nowhere yet: ask again by `until`, or when a line frees
    NONE = "none"  # there is no place: it has not run


class Placement(NamedTuple):
    """The answer to `place`. `line` is the connection's number, a new one where it is to be opened."""

    how: How
    line: int = 0
    until: float = 0.0  # WAIT: ask again by then; JOIN: the hold-back bound
    behind: int = 0
    finish_ms: float = 0.0  # expected, from now
    late_ms: float = 0.0  # expected past the aim
    instead: str = ""  # the next best, and by how much it was worse

    def reason(self, now: float) -> str:
        """For the log and for ``replay --explain``."""
        if self.how is How.JOIN:
            text = f"joins line {self.line} behind {self.behind}, held {self.until - now:.0f} ms at most"
        elif self.how is How.OPEN:
            text = f"opens line {self.line}"
        elif self.how is How.IDLE:
            text = f"takes idle line {self.line}"
        elif self.how is How.WAIT:
            text = f"waits {self.until - now:.0f} ms at most"
        else:
            text = "finds no connection"
        if self.finish_ms:
            text += f"; expected {self.finish_ms:.1f} ms, {self.late_ms:.1f} past its aim"
        return f"{text}; {self.instead}" if self.instead else text


class Condemn(NamedTuple):
    """Nothing joins this line any more: its head is stalled."""

    line: int
    ref: int


class Cut(NamedTuple):
    """Close this connection now: for `ref`, which then ends as reset like the others."""

    line: int
    ref: int
    why: str


class Copy(NamedTuple):
    """This attempt is held back by a stalled head: a second copy elsewhere is of use, where allowed."""

    ref: int


Action = Condemn | Cut | Copy


class Place:
    """An attempt on a line."""

    __slots__ = ("behind", "bound", "copied", "job", "left_at", "ref")

    def __init__(self, ref: int, job: Job, left_at: float, bound: float, behind: bool) -> None:
        self.ref, self.job = ref, job
        self.left_at = left_at  # when it went out; on a connection that is not up yet, when it is thought to
        self.bound = bound  # inf for the one that came first
        self.behind = behind
        self.copied = False


class Post:
    """One connection, as the placing sees it."""

    __slots__ = (
        "alarm", "condemned", "idle_since", "node", "number", "opened_at", "opening", "places", "replied_at",
    )  # fmt: skip

    def __init__(self, number: int, node: Node, now: float) -> None:
        self.number, self.node = number, node
        self.places: deque[Place] = deque()
        self.opening, self.opened_at = True, now
        self.idle_since = now
        self.replied_at = -math.inf
        self.condemned = False
        self.alarm = math.inf  # when `check` is to look at it

    def cut_by(self) -> float:
        """When it has to be cut for those behind, if the head has not answered; inf if there are none. A head
        whose own time is up by then needs no cut; another must be cut while it may still go again itself."""
        behind = min((place.bound for place in list(self.places)[1:]), default=math.inf)
        head = self.places[0].job if self.places else None
        if head is None or head.until <= behind or head.rescue_by == -math.inf:
            return behind
        return min(behind, head.rescue_by)


class Node:
    """The lines to one node."""

    __slots__ = ("connect_ms", "depth", "name", "posts", "stopped")

    def __init__(self, name: str, most: int) -> None:
        self.name = name
        self.posts: dict[int, Post] = {}
        self.depth = Depth(most)
        self.connect_ms = CONNECT_START_MS
        self.stopped = False  # it drains: nothing new joins

    def at_risk(self) -> int:
        """How many stand behind another."""
        return sum(len(post.places) - 1 for post in self.posts.values() if len(post.places) > 1)


class Pipeline:
    """All lines of a gateway. Bounded: a post for each connection, a place for each attempt out."""

    def __init__(self, rules: Rules, sharing: Sharing) -> None:
        self.rules, self.sharing = rules, sharing
        self.times = ServiceTimes(sharing.classes)
        self.nodes: dict[str, Node] = {}
        self.posts: dict[int, Post] = {}
        self.alarms: list[tuple[float, int]] = []  # a heap; an entry counts while it is its post's alarm
        self.stalls: dict[tuple[str, str], tuple[float, float]] = {}  # class, node: taken at, milliseconds
        self.serial = 0
        self.cuts = MOST_CUTS / 2.0  # early cuts that may be made
        self.counts: Counter[str] = Counter()

    # --- membership --------------------------------------------------------------------------------------

    def node(self, name: str) -> Node:
        """A node's lines."""
        found = self.nodes.get(name)
        if found is None:
            found = self.nodes[name] = Node(name, self.rules.depth)
        return found

    def renewed(self, name: str) -> None:
        """A new process: cold, so its limit begins at one, and nothing is known of its pace."""
        node = self.node(name)
        node.depth, node.stopped = Depth(self.rules.depth, 1.0), False
        self.times.forget(name)

    def stopped(self, name: str) -> None:
        """It drains: nothing is placed there any more; what stands there may be answered."""
        if name in self.nodes:
            self.nodes[name].stopped = True

    def gone(self, name: str) -> None:
        """It left the list. Its lines live on until they are lost."""
        self.nodes.pop(name, None)
        self.times.forget(name)
        self.stalls = {key: kept for key, kept in self.stalls.items() if key[1] != name}

    # --- placing -----------------------------------------------------------------------------------------

    def place(
        self, now: float, name: str, ref: int, job: Job, room: Callable[[], bool], waited: bool = False
    ) -> Placement:
        """Where this attempt goes; it is booked there. `room` tells whether one more connection may be
        opened, and is asked only where that matters; `waited`: it has waited already and may not again."""
        node = self.node(name)
        if node.stopped:
            return Placement(How.NONE)
        self.cuts = min(MOST_CUTS, self.cuts + CUT_SHARE)
        found = self.choose(now, node, job, room, waited)
        self.counts[found.how.value] += 1
        if found.how in (How.WAIT, How.NONE):
            return found
        if found.how is How.OPEN:
            self.serial += 1
            post = self.posts[self.serial] = node.posts[self.serial] = Post(self.serial, node, now)
            found = found._replace(line=self.serial)
            place = Place(ref, job, now + node.connect_ms, math.inf, False)
        else:
            post = self.posts[found.line]
            behind = bool(post.places)
            start = max(now, post.opened_at + node.connect_ms) if post.opening else now
            place = Place(ref, job, start, found.until if behind else math.inf, behind)
        post.places.append(place)
        if found.how is How.JOIN:
            self.watch(now, post)
        return found

    def choose(self, now: float, node: Node, job: Job, room: Callable[[], bool], waited: bool) -> Placement:
        """The best place. An idle connection holds nothing back and costs nothing: nothing is weighed
        then."""
        rules = self.rules
        idle = self.idle(now, node)
        if idle is not None:
            return Placement(How.IDLE, idle.number)
        known = job.class_name in self.times.classes and self.times.known(now, job.class_name)
        if not known:
            if room():
                return Placement(How.OPEN)
            return Placement(How.NONE) if waited else Placement(How.WAIT, until=now + rules.wait_ms)
        options: list[tuple[float, str, Placement]] = []
        if room():
            finish, late = self.outlook(now, node, job, [], node.connect_ms)
            score = finish + LATE_WEIGHS * late + rules.open_price_ms
            options.append((score, "a new one", Placement(How.OPEN, 0, 0.0, 0, finish, late)))
        joinable = self.joinable(now, node, job)
        if len(joinable) == 1 and not options and (waited or not rules.wait_ms):
            post, bound = joinable[0]  # nothing to weigh it against
            return Placement(How.JOIN, post.number, bound, len(post.places))
        for post, bound in joinable:
            lead = max(0.0, post.opened_at + node.connect_ms - now) if post.opening else 0.0
            ahead = list(post.places)
            finish, late = self.outlook(now, node, job, ahead, lead)
            found = Placement(How.JOIN, post.number, bound, len(ahead), finish, late)
            options.append((finish + LATE_WEIGHS * late, f"behind {len(ahead)}", found))
        if not waited and rules.wait_ms > 0:
            resting = [p.idle_since for p in node.posts.values() if not p.places and not p.opening]
            ready = min(resting, default=math.inf) + rules.settle_ms
            if now < ready <= now + rules.wait_ms and ready < job.until:
                finish, late = self.outlook(now, node, job, [], ready - now)
                # The timer is coarse, and another may have it by then.
                score = finish + LATE_WEIGHS * late + COARSE_MS
                options.append((score, "a wait", Placement(How.WAIT, 0, ready, 0, finish, late)))
        if not options:
            return Placement(How.NONE) if waited else Placement(How.WAIT, until=now + rules.wait_ms)
        options.sort(key=lambda option: option[0])
        best = options[0][2]
        if len(options) > 1:
            worse = options[1][0] - options[0][0]
            best = best._replace(instead=f"{options[1][1]} is worse by {worse:.1f} ms")
        return best

    def idle(self, now: float, node: Node) -> Post | None:
        """The most recently used line on which nothing stands and that can be trusted."""
        best: Post | None = None
        for post in node.posts.values():
            since = now - post.idle_since
            if post.places or post.opening or not self.rules.settle_ms <= since < self.rules.idle_ms:
                continue
            if best is None or post.idle_since > best.idle_since:
                best = post
        return best

    def joinable(self, now: float, node: Node, job: Job) -> list[tuple[Post, float]]:
        """The lines that it may join, with its hold-back bound on each; those with the fewest on them."""
        most = min(self.rules.depth, job.depth, node.depth.whole() if self.rules.adaptive else job.depth)
        if most < 2 or node.at_risk() >= self.rules.at_risk or job.rescue_by <= now:
            return []
        sizes = sorted((len(p.places), p.number) for p in node.posts.values() if 0 < len(p.places) < most)
        # A moment before its own time is up: both timers fall due together else, and either may come first.
        bound = min(job.rescue_by, job.until - COARSE_MS)
        found: list[tuple[Post, float]] = []
        for _, number in sizes:
            post = node.posts[number]
            # By its bound it is the head or cut: so it is never given up with another ahead of it.
            if not self.is_condemned(now, post) and self.held(now, post, job) <= bound:
                found.append((post, bound))
                if len(found) == CANDIDATES:
                    break
        return found

    def held(self, now: float, post: Post, job: Job) -> float:
        """Until when the others on this line may keep it, as far as is known; inf where it must not be
        joined. The head is cut once it stalls, if that leaves it a further attempt, else given up when its
        time is up; the next is then the head."""
        late = now
        for place in post.places:
            verdict = self.sharing.may(place.job.class_name, job.class_name)
            if verdict is Behind.NO:
                return math.inf
            stalls = max(late, self.stalls_at(now, post, place))
            cut = verdict is Behind.STALL and stalls <= place.job.rescue_by
            late = max(late, min(place.job.until, stalls) if cut else place.job.until)
        return late

    def outlook(
        self, now: float, node: Node, job: Job, ahead: list[Place], lead: float
    ) -> tuple[float, float]:
        """Expected milliseconds until the answer, and how many of them past the aim, when it goes out `lead`
        from now behind these: the longest of all their times. The head counts by its own age, all between as
        the youngest, which errs towards a longer hold."""
        times, name = self.times, node.name
        end = max(1.0, job.until - now)
        due = max(0.0, job.due - now)
        mean = max(times.mean(job.class_name, name), 0.05)
        start = min(0.25 * mean, 0.5 * end)
        step = (end / start) ** (1.0 / (GRID - 1))
        own = times.rest(job.class_name, name, -lead)
        weighed = []
        if ahead:
            weighed.append((times.rest(ahead[0].job.class_name, name, now - ahead[0].left_at), 1))
        if len(ahead) > 1:
            youngest = times.rest(ahead[-1].job.class_name, name, now - ahead[-1].left_at)
            weighed.append((youngest, len(ahead) - 1))
        finish = late = at = 0.0
        open_before = 1.0
        moment = start
        for _ in range(GRID):
            done = own.by(moment)
            if done > 0.0:
                for rest, count in weighed:
                    done *= rest.by(moment) if count == 1 else rest.by(moment) ** count
            span, still = moment - at, 1.0 - done
            finish += span * 0.5 * (open_before + still)
            if moment > due:
                late += (moment - max(at, due)) * 0.5 * (open_before + still)
            at, open_before = moment, still
            moment *= step
        return finish, late

    # --- stalls ------------------------------------------------------------------------------------------

    def stall_ms(self, now: float, class_name: str, node: Node) -> float:
        """How long one of this class may take before it counts as stalled."""
        kept = self.stalls.get((class_name, node.name))
        if kept is not None and now - kept[0] < STALL_KEPT_MS:
            return kept[1]
        rules, found = self.rules, math.inf
        if class_name in self.times.classes:
            usual = self.times.quantile(class_name, node.name, rules.stall_quantile)
            found = max(rules.least_stall_ms, rules.stall_factor * usual) if usual > 0 else math.inf
        self.stalls[class_name, node.name] = now, found
        return found

    def stalls_at(self, now: float, post: Post, place: Place) -> float:
        """When this one counts as stalled, were it the head. Its reply may wait for the one ahead to come."""
        usual = self.stall_ms(now, place.job.class_name, post.node)
        return max(place.left_at + usual, post.replied_at + COARSE_MS)

    def is_condemned(self, now: float, post: Post) -> bool:
        """Whether nothing may join it."""
        return post.condemned or (bool(post.places) and now >= self.stalls_at(now, post, post.places[0]))

    def watch(self, now: float, post: Post) -> None:
        """Sets when this line is to be looked at: at its bound, and when its head would be stalled."""
        at = math.inf
        if len(post.places) > 1:
            at = post.cut_by()
            if not post.condemned:
                at = min(at, self.stalls_at(now, post, post.places[0]))
        self.look_at(post, at)

    def look_at(self, post: Post, at: float) -> None:
        """Has `check` look at this line then; inf: not."""
        if at == post.alarm:
            return
        post.alarm = at
        if at < math.inf:
            heapq.heappush(self.alarms, (at, post.number))
            if len(self.alarms) > 64 + 4 * len(self.posts):
                self.alarms = [(p.alarm, p.number) for p in self.posts.values() if p.alarm < math.inf]
                heapq.heapify(self.alarms)

    def next_check(self) -> float:
        """When `check` has something to do at the earliest; inf while nothing stands behind anything."""
        while self.alarms:
            at, number = self.alarms[0]
            post = self.posts.get(number)
            if post is not None and post.alarm == at:
                return at
            heapq.heappop(self.alarms)
        return math.inf

    def check(self, now: float) -> list[Action]:
        """Looks for stalled heads, and for bounds that are reached."""
        actions: list[Action] = []
        while self.next_check() <= now:
            post = self.posts[heapq.heappop(self.alarms)[1]]
            post.alarm = math.inf
            head = post.places[0]
            bound_reached = now >= post.cut_by()
            if not bound_reached and now < self.stalls_at(now, post, head):
                self.watch(now, post)  # more is known by now: it is not stalled yet
                continue
            if not post.condemned:
                post.condemned = True
                actions.append(Condemn(post.number, head.ref))
                post.node.depth.trouble()
                self.counts["condemned"] += 1
            if self.rules.copies:
                actions += self.copies(post)
            mine = self.sharing.cut_for_others(head.job.class_name) and now <= head.job.rescue_by + COARSE_MS
            if not mine:
                continue  # it is given up when its own time is up, which those behind can bear
            if bound_reached:
                actions.append(Cut(post.number, head.ref, "bound"))
                self.look_at(post, now + STALL_KEPT_MS)  # told again, should it still be there
                self.counts["cut at a bound"] += 1
            elif not self.rules.copies and self.worth_cutting(now, post):
                self.cuts -= len(post.places)
                actions.append(Cut(post.number, head.ref, "stall"))
                self.look_at(post, now + STALL_KEPT_MS)
                self.counts["cut at a stall"] += 1
            else:
                self.watch(now, post)
        return actions

    def copies(self, post: Post) -> list[Action]:
        """Second copies for those behind, once each."""
        found: list[Action] = []
        for place in list(post.places)[1:]:
            if not place.copied:
                place.copied = True
                found.append(Copy(place.ref))
        return found

    def worth_cutting(self, now: float, post: Post) -> bool:
        """Whether to cut before the bound: the budget has it, and the head is not about to answer."""
        head = post.places[0]
        if self.cuts < len(post.places):
            return False
        name = post.node.name
        mean = self.times.mean(head.job.class_name, name)
        return self.times.done_by(head.job.class_name, name, mean, now - head.left_at) < 0.5

    # --- what became of them -----------------------------------------------------------------------------

    def connected(self, now: float, line: int) -> None:
        """A connection is up, and what stands on it goes out."""
        post = self.posts.get(line)
        if post is None or not post.opening:
            return
        took = now - post.opened_at
        post.node.connect_ms += 0.2 * (took - post.node.connect_ms)
        post.opening, post.idle_since = False, now - self.rules.settle_ms  # nothing can be left over on it
        for place in post.places:
            place.left_at = now
        self.watch(now, post)

    def answered(self, now: float, line: int, sound: bool = True) -> int | None:
        """The head of this line was answered: its attempt's number. `sound`: with a value, whose time tells
        of the node's service."""
        post = self.posts.get(line)
        if post is None or not post.places:
            return None
        place = post.places.popleft()
        name, node = place.job.class_name, post.node
        if sound and name in self.times.classes:
            took = max(0.0, now - place.left_at)
            mean = self.times.mean(name, node.name)
            # Right behind the one ahead: it may have been done long before.
            self.times.add(now, name, node.name, took, place.behind and now - post.replied_at < 1.0)
            if mean > 0:
                node.depth.replied(took / mean, place.behind)
        post.replied_at = now
        post.condemned = False  # the next one is the head: it has its own time
        self.shortened(now, post)
        return place.ref

    def withdrawn(self, now: float, line: int, ref: int) -> None:
        """An attempt left the line before any of it was written."""
        post = self.posts.get(line)
        if post is None:
            return
        post.places = deque(place for place in post.places if place.ref != ref)
        if not post.places:
            post.condemned = False
        self.shortened(now, post)

    def shortened(self, now: float, post: Post) -> None:
        """One fewer stands on this line."""
        if not post.places:
            post.idle_since = now
        self.watch(now, post)

    def lost(self, now: float, line: int, trouble: bool = False) -> None:
        """The connection is closed; `trouble` where an attempt timed out or broke on it."""
        post = self.posts.pop(line, None)
        if post is None:
            return
        post.node.posts.pop(line, None)
        if trouble:
            post.node.depth.trouble()
