"""A member's socket and clock, and the way between the fleet's state and the core.

`Fleet` owns the socket, the deciders of `policy/membership` and their timer. `Telling` stands before the
decision module: it sees which requests go on, writes them down for the others, and tells the module before
each request what the others let in. Nothing here holds up a request: all of it is memory, and datagrams
that the kernel does not take are lost, as any may be.
"""

from __future__ import annotations

import asyncio
import errno
import os
import random
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, cast

from glenchute.core.types import Address, DecisionHandler, EndpointUpdate, SharedCounter
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState, Outcome
from glenchute.policy.membership import endpoint_sharing as coldstart
from glenchute.policy.membership import members as membership
from glenchute.policy.membership.direct_messages import DirectMessenger, UsageMessage, UsageRequest
from glenchute.policy.membership.endpoint_health import EndpointHealth
from glenchute.policy.membership.endpoint_sharing import POLLER_WATCH_S, SharedEndpointList
from glenchute.policy.membership.gateway_ring import GatewayRing, gateway_numbers
from glenchute.policy.membership.gossip import Delta, Gossip, GossipSettings, ReceivedRow
from glenchute.policy.membership.gossiped_drains import GossipedDrains
from glenchute.policy.membership.leases import LeaseMessage, LeaseTerms
from glenchute.policy.membership.members import MemberList, MemberState, SwimSettings
from glenchute.policy.membership.outgoing import Outgoing
from glenchute.policy.membership.replica import Replica, Row, RowKind
from glenchute.policy.membership.usage import (
    REPORTED_SHARE,
    AccountUsage,
    known_usage_share,
    window_allowance_units,
)
from glenchute.policy.membership.usage_audit import CounterQuery, UsageAudit
from glenchute.policy.settings import Settings
from glenchute.protocol.member_datagrams import InvalidDatagram, decode, encode

from .lease_tasks import SETTLE_S, LeaseGuard, LeaseLost, LeaseTaskRunner, TaskSettings, call_service_step
from .log_events import log_event
from .usage_reports import UsageReporter

if TYPE_CHECKING:
    from glenchute.clients.discovery import DiscoveryClient

AUDIT_S = 10.0  # copies that differ for so long are told of
TICK_S = 0.025
RETRY_S = 0.1


class MemberNode(asyncio.DatagramProtocol):
    """This process among the members."""

    def __init__(
        self, raw: dict[str, Any], loop: asyncio.AbstractEventLoop, module: DecisionHandler, made: Settings,
        seed: int, number: int | None = None,
    ) -> None:  # fmt: skip
        """`number`: this gateway's, where the platform tells it: members' numbers count only if its own is
        the same there, as others would else be told than those that share its accounts."""
        rng = random.Random(seed)
        self.loop, self.fleet, self.name, self.gateways = loop, raw["fleet"], raw["name"], made.gateway_count
        # Not of the seed: a platform that starts a process again with an old file gives it the old seed, and
        # then two processes would be taken for one.
        self.boot = int.from_bytes(os.urandom(8), "big") >> 2
        self.listen = address_of(raw["listen"])
        self.addresses = {row["name"]: address_of(row["address"]) for row in raw["members"]}
        self.names = {address: name for name, address in self.addresses.items()}
        now = loop.time()
        rules = SwimSettings(raw.get("period_ms", 200.0) / 1000.0, raw.get("patience_ms", 2500.0) / 1000.0)
        self.members = MemberList(self.name, self.boot, list(self.addresses), rules, rng, now)
        self.alive: list[str] = []  # those that take part
        pace = GossipSettings(raw.get("push_ms", 50.0) / 1000.0, raw.get("compare_ms", 500.0) / 1000.0,
                    raw.get("budget_kib_s", 32.0) * 1024.0)  # fmt: skip
        self.replica = Replica()
        self.gossip = Gossip(self.replica, pace, rng, now)
        writer = f"{self.name}#{self.boot:x}"
        self.use, self.restraint = AccountUsage(writer), GossipedDrains()
        numbers = gateway_numbers({row["name"]: row.get("number") for row in (raw, *raw["members"])})
        if numbers is not None and number is not None and numbers[self.name] != number:
            log_event("numbers.foreign", member=self.name, platform=number, here=numbers[self.name])
            numbers = None
        ring = GatewayRing(self.name, list(self.addresses), numbers, made.gateway_count)
        self.post = DirectMessenger(
            self.use, self.replica, ring, self.takes_part, rng, now, raw.get("use_kib_s", 6.0) * 1024.0
        )
        health = EndpointHealth(writer, random.Random(rng.getrandbits(60)))
        self.telling = UsageReporter(module, made, self.use, health, self.told, self.share, loop.time)
        self.lists = SharedEndpointList(self.name, now, rng) if raw.get("share_list") else None
        self.use_audit = UsageAudit()
        self.counter: SharedCounter | None = None
        self.runner = self.running(raw["leases"], rng) if "leases" in raw else None
        self.discovery: DiscoveryClient | None = None
        self.follow: Callable[[EndpointUpdate], None] | None = None  # takes what others heard of servers
        self.places: dict[str, Address] = {}  # servers' addresses, as discovery told them here
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.opening: asyncio.TimerHandle | None = None  # the next try to open the socket
        self.bad: Counter[str] = Counter()
        self.received = 0
        self.heard_at = -1e9  # when the last datagram of a member came
        self.parting = False
        self.audited: set[str] = set()  # members that the last audit told of
        self.shown = 0  # conflicts that the log has told of

    def running(self, raw: dict[str, Any], rng: random.Random) -> LeaseTaskRunner:
        """The leases and tasks of this process."""
        terms = LeaseTerms(tuple(raw["voters"]), raw.get("longest_s", 10.0), raw.get("drift", 0.01))
        tasks = []
        for row in raw.get("tasks", []):
            longest = row.get("longest_step_s", 1.0)
            step = None
            if row["kind"] == "call":
                step = call_service_step(
                    row["name"], f"{self.name}#{self.boot:x}", address_of(row["address"]), longest
                )
            elif row["kind"] == "audit":
                step = self.audit
                self.telling.note_account = self.use_audit.note_account
            tasks.append(
                TaskSettings(row["name"], row.get("interval_s", 1.0), 2.0 * longest + SETTLE_S, step)
            )
        return LeaseTaskRunner(
            self.loop, self.name, self.boot, terms, tasks, rng, self.send, self.told,
            lambda task: self.replica.get(RowKind.TASK, task), self.there,
        )  # fmt: skip

    async def audit(self, guard: LeaseGuard) -> None:
        """Tells once of each member whose copy has differed from this one's for longer than copies take to
        agree, and of accounts whose use the counter has otherwise. It only reads and writes a line, so that
        it needs no token."""
        now = self.loop.time()
        apart = {
            name: parts for name, (since, parts) in self.gossip.diverged.items() if now - since > AUDIT_S
        }
        for name in sorted(apart.keys() - self.audited):
            log_event("audit.apart", member=name, parts=apart[name])
        self.audited = set(apart)
        if self.counter is not None and self.gossip.is_complete:
            held = (self.replica.rows[at].row for at in self.replica.keys_by_age[RowKind.USE])
            looks = self.use_audit.due_queries(self.telling.now_ms, held)
            # Of an account's window with less than this not all is told.
            looks = [
                look
                for look in looks
                if look.reported_units >= REPORTED_SHARE * window_allowance_units(look.plan)
            ]
            totals = await asyncio.gather(*map(self.total, looks))
            if looks and guard.step and totals.count(None) == len(totals):
                raise LeaseLost  # another may reach the counter. The first step has to end well, or it failed
            for look, total in zip(looks, totals, strict=True):
                found = self.use_audit.receive_total(look, total)
                if found is not None:
                    log_event(
                        "audit.use",
                        account=found.account,
                        counter=round(found.counter_units, 1),
                        members=round(found.member_units, 1),
                        holds="less" if found.is_counter_lower else "more",
                    )

    async def total(self, look: CounterQuery) -> float | None:
        """What the counter holds under a name; None where it does not say. Adding nothing changes nothing."""
        assert self.counter is not None
        told: asyncio.Future[float | None] = self.loop.create_future()

        def done(total: float, ending: Outcome, took_ms: float) -> None:
            if not told.done():
                told.set_result(total if ending is Outcome.OK else None)

        self.counter.increment(look.counter_name, 0.0, 1000.0, done, lambda *late: None)
        return await told

    async def start(self) -> None:
        """Opens the socket; the first probes go out. Where the address is taken, as by the process before
        until it leaves, it is tried on: without it this gateway goes by its own part."""
        await self.open()
        self.tick()

    async def open(self) -> None:
        """One try."""
        made = socket.socket(type=socket.SOCK_DGRAM)
        made.setblocking(False)
        try:
            made.bind(self.listen)  # by hand, as the loop does not tell why it could not
        except OSError as error:
            made.close()
            if error.errno != errno.EADDRINUSE:
                raise
            if self.opening is None:
                log_event("address.taken", address=f"{self.listen[0]}:{self.listen[1]}")
            self.opening = self.loop.call_later(RETRY_S, lambda: self.loop.create_task(self.open()))
            return
        await self.loop.create_datagram_endpoint(lambda: self, sock=made)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's is none by its class

    def error_received(self, exc: Exception) -> None:
        self.bad["refused by the machine"] += 1  # a member whose port is closed; the probes tell

    def leave(self, replaced: bool) -> None:
        """This process ends, and says so once; what that does not reach finds out. `replaced`: the next
        process waits for the address, and has it as soon as leases have gone back."""
        self.rest(on=True)
        for out in self.members.leave(self.loop.time()):
            self.send(out.to, out.message)
        self.parting = replaced
        self.part()

    def rest(self, on: bool) -> None:
        """No task begins here while a lame duck; leases go back when what was begun is over."""
        if self.runner is not None:
            self.runner.leave() if on else self.runner.resume()

    def part(self) -> None:
        """Closes the socket for the next process, once no effect of this one holds a lease."""
        if self.parting and (self.runner is None or not self.runner.is_releasing()):
            self.close()

    def close(self) -> None:
        """Closes the socket."""
        if self.runner is not None:
            self.runner.close()
        for timer in (self.timer, self.opening):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.close()

    # --- for the core ------------------------------------------------------------------------------------

    def share(self, spread: int) -> float:
        """The share of a set of so many gateways whose use is known here, this one's included."""
        now, spread = self.loop.time(), min(spread, self.gateways)
        return known_usage_share(
            self.gossip.is_complete,
            self.members.local_health,
            self.post.known_gateways(now, spread),
            spread,
            now - self.heard_at,
        )

    def takes_part(self, name: str) -> bool:
        """Whether a member is there beyond doubt."""
        return self.members.members[name].state is MemberState.ALIVE

    def told(self, row: Row) -> None:
        """A word of this process' own."""
        if row.kind is RowKind.USE:
            self.post.report(self.loop.time(), row)
            return
        self.gossip.publish(self.loop.time(), row, len(self.members.members))

    def begin(self, known: EndpointUpdate | None, discovery: DiscoveryClient) -> bool:
        """Before discovery is asked, with the saved list. Whether this gateway asks for all, and does so at
        once."""
        discovery.on_confirmed = self.confirmed
        if known is not None:
            self.learn(known)
        if self.lists is None:
            return False
        self.discovery = discovery
        if known is not None:
            self.lists.receive_discovery(self.loop.time(), known.version, True, servers_of(known), ())
            self.lists.confirmed_at = -1e9  # by nobody of late
        discovery.delegated_for_s = self.leave_alone
        discovery.watch.max_wait_s = POLLER_WATCH_S
        return self.lists.is_poller(self.there())

    def confirmed(self, version: int) -> None:
        """Discovery has answered: it has nothing newer than this."""
        if self.lists is not None and version == self.lists.version:
            self.lists.confirmed_at = self.loop.time()
        self.settle(version)

    def there(self) -> list[str]:
        """Members that are not known to be gone."""
        gone = (MemberState.DEAD, MemberState.LEFT)
        return [m.name for m in self.members.members.values() if m.state not in gone]

    def leave_alone(self) -> float:
        """How long discovery is left alone."""
        assert self.lists is not None
        return self.lists.poll_delay_s(self.loop.time(), self.there())

    def shared(
        self, sents: list[Outgoing[coldstart.SharingMessage]], rows: list[coldstart.SharedEndpoint]
    ) -> None:
        """Sends what is to be sent of the list, and follows what members told of it."""
        for sent in sents:
            self.send(sent.to, sent.message)
        if not rows or self.follow is None or self.lists is None or self.discovery is None:
            return
        states = {number: state for state, number in coldstart.STATE_RANKS.items()}
        entries = tuple(
            Endpoint(r.endpoint, r.zone, r.cell, r.weight, r.started_ms, states[r.state]) for r in rows
        )
        addresses = {row.endpoint: address_of(row.address) for row in rows if row.address and row.state == 0}
        self.discovery.version = self.lists.version
        self.restraint.apply_discovery_list(self.lists.version, False, entries)
        self.places |= addresses
        self.follow(
            EndpointUpdate(self.lists.version, EndpointList(EndpointListKind.CHANGES, entries), addresses)
        )

    def news(self, news: EndpointUpdate) -> None:
        """Discovery's word, before the core has it: restraint that it asks for is told on."""
        self.learn(news)
        if self.lists is not None:
            full = news.event.kind is EndpointListKind.FULL
            rows = servers_of(news)
            self.shared(
                self.lists.receive_discovery(self.loop.time(), news.version, full, rows, self.there()), []
            )
        for entry in news.event.endpoints:
            if entry.state is not EndpointState.ACTIVE and news.event.kind is EndpointListKind.CHANGES:
                rank = float(coldstart.STATE_RANKS[entry.state])
                self.told(Row(RowKind.SERVER, entry.address, "", news.version, rank))

    def learn(self, news: EndpointUpdate) -> None:
        """What discovery has told here."""
        full = news.event.kind is not EndpointListKind.CHANGES
        self.restraint.apply_discovery_list(news.version, full, news.event.endpoints)
        self.places = news.addresses if full else self.places | news.addresses

    def heed(self, rows: list[ReceivedRow]) -> None:
        """What others said. Servers that drain or are gone by their word get nothing new, on trial."""
        now, entries = self.loop.time(), []
        for taken in rows:
            row = taken.row
            if row.kind is not RowKind.SERVER:
                self.telling.receive(taken)
            elif self.restraint.receive(now, row.key, row.version, row.value, taken.age_s, taken.sender):
                state = self.restraint.on_trial[row.key].state
                entries.append(Endpoint(row.key, "", state=state))
        self.change(entries)

    def settle(self, version: int) -> None:
        """Discovery's newest version: words that it does not bear out are taken back, and told of."""
        back, denied = self.restraint.confirm_version(self.loop.time(), version)
        for server, word in denied:
            log_event("word.denied", server=server, state=word.state.value, version=word.version,
                 sender=word.sender)  # fmt: skip
        self.change([entry for entry in back if entry.address in self.places])

    def change(self, entries: list[Endpoint]) -> None:
        """Changes of the list that are not discovery's news."""
        if entries and self.follow is not None:
            news = EndpointList(EndpointListKind.CHANGES, tuple(entries))
            self.follow(EndpointUpdate(self.restraint.version, news, self.places))

    # --- socket and clock --------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """One datagram. Only listed addresses are heard, and each only under its name."""
        self.received += 1
        name = self.names.get((addr[0], addr[1]))
        if name is None:
            self.bad["not listed"] += 1
            return
        try:
            said, boot, body = decode(self.fleet, data)
            if said != name:
                raise InvalidDatagram("another name")
        except InvalidDatagram as bad:
            self.bad[str(bad)] += 1
            return
        now = self.heard_at = self.loop.time()
        if isinstance(body, membership.SwimMessage):
            for out in self.members.receive(now, name, boot, body):
                self.send(out.to, out.message)
            return
        if isinstance(body, coldstart.VersionReply | coldstart.EndpointListPart | coldstart.VersionQuery):
            if self.lists is not None:
                self.shared(*self.lists.receive(now, name, body))
            return
        if isinstance(body, LeaseMessage):
            if self.runner is not None:
                self.runner.receive(name, body)
            return
        if isinstance(body, UsageMessage | UsageRequest):
            for letter in self.post.receive(now, name, boot, body):
                self.send(letter.to, letter.message)
            return
        for sent in self.gossip.receive(now, name, body, len(self.members.members)):
            self.send(sent.to, sent.message)
        if isinstance(body, Delta):
            self.heed(self.gossip.take_received())

    def tick(self) -> None:
        """All that time brings about."""
        self.timer = self.loop.call_later(TICK_S, self.tick)
        now = self.loop.time()
        for out in self.members.tick(now):
            self.send(out.to, out.message)
        for change in self.changed():
            if change.is_name_conflict:
                log_event("member.doubled", member=change.name)
            else:
                now_is, was = change.after.name.lower(), change.before.name.lower()
                log_event("member.changed", member=change.name, now=now_is, was=was)
        for sent in self.gossip.tick(now, self.alive):
            self.send(sent.to, sent.message)
        for letter in self.post.tick(now):
            self.send(letter.to, letter.message)
        if self.runner is not None:
            self.runner.tick()
            if self.lists is not None and coldstart.POLL_TASK in self.runner.tasks:
                leased, self.lists.is_lease_holder = (
                    self.lists.is_lease_holder,
                    self.runner.is_holder(coldstart.POLL_TASK),
                )
                if self.lists.is_lease_holder and not leased and self.discovery is not None:
                    self.discovery.resume_polling()
        if self.lists is not None:
            self.shared(self.lists.tick(now, self.there()), [])
        self.replica.expire(now)
        self.post.expire()
        self.telling.health.expire(now)
        self.part()
        while self.shown < self.replica.conflict_count:
            self.shown = self.replica.conflict_count
            conflict = self.replica.conflicts[-1]
            kept = conflict.kept
            log_event("copies.differ", kind=kept.kind.name.lower(), key=kept.key, writer=kept.writer,
                 version=kept.version, kept=kept.value, other=conflict.other.value,
                 sender=conflict.sender)  # fmt: skip

    def changed(self) -> list[membership.MemberChange]:
        """What has changed of the members since the last call; only then they are walked over."""
        changes = self.members.take_changes()
        if changes:
            self.alive = self.members.alive_names()
        return changes

    def send(self, to: str, body: Any) -> None:
        """One datagram, or none if the machine takes none now."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(encode(self.fleet, self.name, self.boot, body), self.addresses[to])

    # --- for operators -----------------------------------------------------------------------------------

    def verbs(self) -> dict[str, Callable[[], list[dict[str, Any]]]]:
        """What the control socket can be asked."""
        verbs: dict[str, Callable[[], list[dict[str, Any]]]] = {}
        if self.runner is not None:
            verbs = {"tasks": self.runner.show_tasks, "leases": self.runner.show_leases}
            for task in self.runner.tasks:
                verbs[f"release {task}"] = partial(self.runner.release, task)
                verbs[f"unpark {task}"] = partial(self.runner.unpark, task)
        return verbs | {"list": self.show_list, "members": self.show_members, "state": self.show_state,
                "conflicts": self.show_conflicts, "digest": self.show_digest}  # fmt: skip

    def show_members(self) -> list[dict[str, Any]]:
        """A row a member, this process first."""
        now = self.loop.time()
        me = {"name": self.name, "state": self.members.own_state().name.lower(), "for_s": 0.0,
              "incarnation": self.members.incarnation, "boot": f"{self.boot:x}",
              "conflicts": self.members.name_conflicts.get(self.name, 0)}  # fmt: skip
        rows = [
            {"name": m.name, "state": m.state.name.lower(), "for_s": round(now - m.state_since, 1),
             "incarnation": m.incarnation, "boot": f"{m.boot:x}",
             "conflicts": self.members.name_conflicts.get(m.name, 0)}
            for m in self.members.members.values()
        ]  # fmt: skip
        return [me, *rows]

    def show_list(self) -> list[dict[str, Any]]:
        """A row: the list shared by members, where it is."""
        if self.lists is None:
            return []
        age = self.loop.time() - self.lists.confirmed_at
        serve = sum(row.state == 0 for row in self.lists.endpoints.values())
        return [{"version": self.lists.version, "confirmed_s": round(min(age, 1e6), 2), "servers": serve,
                 "asks": self.lists.is_poller(self.there())}]  # fmt: skip

    def show_state(self) -> list[dict[str, Any]]:
        """A row for what is held and exchanged."""
        held = {kind.name.lower(): len(self.replica.keys_by_age[kind]) for kind in RowKind}
        evicted = {f"evicted_{kind.name.lower()}": self.replica.evicted_counts[kind] for kind in RowKind}
        held |= {"denied": self.restraint.revoked_count, "on_trial": len(self.restraint.on_trial),
                 "avoided": len(self.telling.health.peer_reports), "audited": self.use_audit.compared_count,
                 "use_apart": len(self.use_audit.mismatches)}  # fmt: skip
        return [{**held, **evicted, "known": self.gossip.is_complete,
                 "share": round(self.share(self.post.widest_subset), 3), "health": self.members.local_health,
                 "sent_bytes": self.gossip.sent_bytes + self.post.sent_bytes,
                 "numbered": bool(self.post.ring.offsets), "use_bytes": self.post.sent_bytes,
                 "words_sent": self.post.entries_sent, "words_owed": self.post.pending_count,
                 "mail_dropped": self.post.dropped_batches,
                 "rows_sent": self.gossip.rows_sent, "rows_taken": self.gossip.rows_merged,
                 "datagrams": self.received,
                 **{f"dropped_{why}": n for why, n in sorted(self.bad.items())}}]  # fmt: skip

    def show_conflicts(self) -> list[dict[str, Any]]:
        """A row a conflict, the latest last."""
        return [
            {"kind": c.kept.kind.name.lower(), "key": c.kept.key, "writer": c.kept.writer,
             "version": c.kept.version, "kept": c.kept.value, "other": c.other.value, "from": c.sender}
            for c in self.replica.conflicts
        ]  # fmt: skip

    def show_digest(self) -> list[dict[str, Any]]:
        """One hash over all that is compared: the same at members whose copies agree."""
        mark = 0
        for one in self.replica.child_hashes(self.loop.time(), None):
            mark ^= one
        return [{"digest": f"{mark:016x}", "rows": len(self.replica.rows)}]


def servers_of(news: EndpointUpdate) -> list[coldstart.SharedEndpoint]:
    """An answer of discovery, as members tell of it."""
    rows = []
    for entry in news.event.endpoints:
        host, port = news.addresses.get(entry.address, ("", 0))
        rows.append(
            coldstart.SharedEndpoint(
                news.version,
                entry.address,
                f"{host}:{port}" if host else "",
                entry.zone,
                entry.cell,
                entry.weight,
                entry.started_ms,
                coldstart.STATE_RANKS[entry.state],
            )
        )
    return rows


def address_of(text: str) -> Address:
    """`127.0.0.1:9000`, checked at load."""
    host, _, port = text.rpartition(":")
    return host, int(port)
