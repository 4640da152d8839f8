"""The UDP socket and timer of a member.

`MemberNode` owns the socket, the state machines of `policy/membership` and their timer, and passes messages
between them. It is connected to the core by `UsageReporter`, in front of the decision engine, and by
`EndpointSync`, beside discovery. Nothing here delays a request: all state is in memory, and a datagram that
the kernel does not accept at once is dropped, as the network may drop any.
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
from typing import Any, cast

from glenchute.core.types import DecisionHandler
from glenchute.policy.membership.direct_messages import DirectMessenger, UsageMessage, UsageRequest
from glenchute.policy.membership.endpoint_health import EndpointHealth
from glenchute.policy.membership.endpoint_sharing import (
    POLL_TASK,
    EndpointListPart,
    SharedEndpointList,
    VersionQuery,
    VersionReply,
)
from glenchute.policy.membership.gateway_ring import GatewayRing, gateway_numbers
from glenchute.policy.membership.gossip import Delta, Gossip, GossipSettings
from glenchute.policy.membership.leases import LeaseMessage, LeaseTerms
from glenchute.policy.membership.members import (
    MemberChange,
    MemberList,
    MemberState,
    SwimMessage,
    SwimSettings,
)
from glenchute.policy.membership.replica import Replica, Row, RowKind
from glenchute.policy.membership.usage import AccountUsage, known_usage_share
from glenchute.policy.settings import Settings
from glenchute.protocol.member_datagrams import InvalidDatagram, MemberMessage, decode, encode

from . import status
from .audit_task import AuditTask
from .endpoint_sync import EndpointSync, parse_address
from .lease_tasks import FIRST_STEP_DELAY_S, LeaseTaskRunner, TaskSettings, call_service_step
from .log_events import log_event
from .usage_reports import UsageReporter

TICK_S = 0.025
BIND_RETRY_S = 0.1
ABSENT_STATES = (MemberState.DEAD, MemberState.LEFT)  # an UNKNOWN member may be present but not reached yet


class MemberNode(asyncio.DatagramProtocol):
    """This process as a member of the fleet."""

    def __init__(
        self, raw: dict[str, Any], loop: asyncio.AbstractEventLoop, engine: DecisionHandler,
        settings: Settings, seed: int, number: int | None = None,
    ) -> None:  # fmt: skip
        """Creates the state machines; `start` opens the socket.

        `raw`: the validated table `[fleet]`. `engine`: the decision engine. `number`: this gateway's number,
        where the platform states it. The members' numbers are used only if they give this gateway the same
        number: otherwise usage would be sent to other gateways than those that share its accounts."""
        rng = random.Random(seed)
        self.loop, self.fleet_name, self.name = loop, raw["fleet"], raw["name"]
        self.gateway_count = settings.gateway_count
        # Not derived from the seed: a platform that restarts a process with an old file gives it the old
        # seed, and the two processes would be taken for one. 62 bits are within the bound of datagrams.
        self.boot = int.from_bytes(os.urandom(8), "big") >> 2
        writer = f"{self.name}#{self.boot:x}"
        self.listen_address = parse_address(raw["listen"])
        self.addresses = {row["name"]: parse_address(row["address"]) for row in raw["members"]}
        self.names_by_address = {address: name for name, address in self.addresses.items()}
        now = loop.time()
        self.members = MemberList(self.name, self.boot, list(self.addresses), swim_settings(raw), rng, now)
        self.alive: list[str] = []  # includes suspected members
        self.replica = Replica()
        self.gossip = Gossip(self.replica, gossip_settings(raw), rng, now)
        self.usage = AccountUsage(writer)
        ring = GatewayRing(
            self.name, list(self.addresses), self.member_numbers(raw, number), self.gateway_count
        )
        usage_budget = raw.get("use_kib_s", 6.0) * 1024.0
        self.messenger = DirectMessenger(
            self.usage, self.replica, ring, self.is_alive, rng, now, usage_budget
        )
        health = EndpointHealth(writer, random.Random(rng.getrandbits(60)))
        self.reporter = UsageReporter(
            engine, settings, self.usage, health, self.publish, self.known_share, loop.time
        )
        shared_list = SharedEndpointList(self.name, now, rng) if raw.get("share_list") else None
        self.endpoint_sync = EndpointSync(
            shared_list, loop.time, self.publish, self.send, self.present_members
        )
        self.audit = AuditTask(loop, self.gossip, self.replica, self.reporter)
        self.task_runner = self.make_task_runner(raw["leases"], rng) if "leases" in raw else None
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.bind_timer: asyncio.TimerHandle | None = None
        self.dropped_datagrams: Counter[str] = Counter()  # by reason
        self.datagram_count = 0
        self.last_datagram_at = -1e9
        self.is_handing_over = False  # the successor waits for this process' address
        self.logged_conflicts = 0

    def member_numbers(self, raw: dict[str, Any], platform_number: int | None) -> dict[str, int] | None:
        """Returns the members' gateway numbers; None where they are incomplete or ambiguous, or where the
        platform gives this gateway another number."""
        numbers = gateway_numbers({row["name"]: row.get("number") for row in (raw, *raw["members"])})
        if numbers is None or platform_number is None or numbers[self.name] == platform_number:
            return numbers
        log_event("numbers.foreign", member=self.name, platform=platform_number, here=numbers[self.name])
        return None

    def make_task_runner(self, raw: dict[str, Any], rng: random.Random) -> LeaseTaskRunner:
        """Creates the runner of leases and tasks from `[fleet.leases]`."""
        terms = LeaseTerms(tuple(raw["voters"]), raw.get("longest_s", 10.0), raw.get("drift", 0.01))
        holder = f"{self.name}#{self.boot:x}"
        tasks = []
        for row in raw.get("tasks", []):
            max_effect_s = row.get("longest_step_s", 1.0)
            step = None
            if row["kind"] == "call":
                step = call_service_step(row["name"], holder, parse_address(row["address"]), max_effect_s)
            elif row["kind"] == "audit":
                step = self.audit.step
                self.reporter.note_account = self.audit.usage_audit.note_account
            max_step_s = 2.0 * max_effect_s + FIRST_STEP_DELAY_S
            tasks.append(TaskSettings(row["name"], row.get("interval_s", 1.0), max_step_s, step))
        return LeaseTaskRunner(
            self.loop, self.name, self.boot, terms, tasks, rng, self.send, self.publish,
            lambda task: self.replica.get(RowKind.TASK, task), self.present_members,
        )  # fmt: skip

    # --- start and end -----------------------------------------------------------------------------------

    async def start(self) -> None:
        """Opens the socket and starts the timer. Where the address is in use, as by the predecessor until it
        leaves, binding is retried; until then this gateway admits by its local share alone."""
        await self.bind()
        self.tick()

    async def bind(self) -> None:
        """Tries to open the socket, and again later where the address is in use. Raises any other OSError."""
        udp_socket = socket.socket(type=socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        try:
            udp_socket.bind(self.listen_address)  # not by the loop, whose error has no errno
        except OSError as error:
            udp_socket.close()
            if error.errno != errno.EADDRINUSE:
                raise
            if self.bind_timer is None:
                log_event("address.taken", address=f"{self.listen_address[0]}:{self.listen_address[1]}")
            retry = lambda: self.loop.create_task(self.bind())  # noqa: E731
            self.bind_timer = self.loop.call_later(BIND_RETRY_S, retry)
            return
        await self.loop.create_datagram_endpoint(lambda: self, sock=udp_socket)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the opened socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's is no subclass of it

    def error_received(self, exc: Exception) -> None:
        """Counts an error that the system reports for an earlier datagram."""
        self.dropped_datagrams["refused by the machine"] += 1  # a closed port; probes detect a dead member

    def leave(self, replaced: bool) -> None:
        """Announces once that this process ends; members that miss the message find out by probes.
        `replaced`: a successor waits for the address, and the socket is closed as soon as all leases are
        released."""
        self.pause_tasks()
        for outgoing in self.members.leave(self.loop.time()):
            self.send(outgoing.to, outgoing.message)
        self.is_handing_over = replaced
        self.close_when_released()

    def pause_tasks(self) -> None:
        """Stops tasks from starting steps; leases are released once effects in progress are over."""
        if self.task_runner is not None:
            self.task_runner.leave()

    def resume_tasks(self) -> None:
        """Lets tasks start steps again, where this process does not end after all."""
        if self.task_runner is not None:
            self.task_runner.resume()

    def close_when_released(self) -> None:
        """Closes the socket for the successor, once no release of a lease waits for an effect."""
        if self.is_handing_over and (self.task_runner is None or not self.task_runner.is_releasing()):
            self.close()

    def close(self) -> None:
        """Closes the socket, and cancels the timers and the running steps."""
        if self.task_runner is not None:
            self.task_runner.close()
        for timer in (self.timer, self.bind_timer):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.close()

    # --- queries and publication -------------------------------------------------------------------------

    def known_share(self, spread: int) -> float:
        """Returns the share of a subset of `spread` gateways whose usage is known here, this one included."""
        now, spread = self.loop.time(), min(spread, self.gateway_count)
        known_peers = self.messenger.known_gateways(now, spread)
        silent_s = now - self.last_datagram_at
        return known_usage_share(
            self.gossip.is_complete, self.members.local_health, known_peers, spread, silent_s
        )

    def is_alive(self, name: str) -> bool:
        """Returns whether a member is alive and not suspected."""
        return self.members.members[name].state is MemberState.ALIVE

    def present_members(self) -> list[str]:
        """Returns the other members, without those known to be dead or to have left."""
        return [member.name for member in self.members.members.values() if member.state not in ABSENT_STATES]

    def publish(self, row: Row) -> None:
        """Sends a row of this process to the members that need it: usage directly, all else by gossip."""
        if row.kind is RowKind.USE:
            self.messenger.report(self.loop.time(), row)
            return
        self.gossip.publish(self.loop.time(), row, len(self.members.members))

    # --- socket ------------------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decodes and handles a datagram. Only those from configured addresses are accepted, each under its
        own name."""
        self.datagram_count += 1
        name = self.names_by_address.get((addr[0], addr[1]))
        if name is None:
            self.dropped_datagrams["not listed"] += 1
            return
        try:
            sender, boot, message = decode(self.fleet_name, data)
            if sender != name:
                raise InvalidDatagram("another name")
        except InvalidDatagram as reason:
            self.dropped_datagrams[str(reason)] += 1
            return
        self.last_datagram_at = self.loop.time()
        self.receive(self.last_datagram_at, name, boot, message)

    def receive(self, now: float, name: str, boot: int, message: MemberMessage) -> None:
        """Passes a message to the state machine that handles it, and sends the replies."""
        if isinstance(message, SwimMessage):
            for swim_reply in self.members.receive(now, name, boot, message):
                self.send(swim_reply.to, swim_reply.message)
        elif isinstance(message, VersionReply | EndpointListPart | VersionQuery):
            self.endpoint_sync.receive(now, name, message)
        elif isinstance(message, LeaseMessage):
            if self.task_runner is not None:
                self.task_runner.receive(name, message)
        elif isinstance(message, UsageMessage | UsageRequest):
            for usage_reply in self.messenger.receive(now, name, boot, message):
                self.send(usage_reply.to, usage_reply.message)
        else:
            for gossip_reply in self.gossip.receive(now, name, message, len(self.members.members)):
                self.send(gossip_reply.to, gossip_reply.message)
            if isinstance(message, Delta):
                self.apply_received_rows()

    def apply_received_rows(self) -> None:
        """Passes on the rows that gossip received: drains to the endpoint list, others to the reporter."""
        rows = self.gossip.take_received()
        drains = [received for received in rows if received.row.kind is RowKind.SERVER]
        for received in rows:
            if received.row.kind is not RowKind.SERVER:
                self.reporter.receive(received)
        self.endpoint_sync.receive_drains(drains)

    def send(self, to: str, message: MemberMessage) -> None:
        """Sends a message in one datagram. It is dropped where the kernel does not accept it now."""
        if self.transport is not None and not self.transport.is_closing():
            data = encode(self.fleet_name, self.name, self.boot, message)
            self.transport.sendto(data, self.addresses[to])

    # --- timer -------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Does all that is due, and schedules itself after `TICK_S`."""
        self.timer = self.loop.call_later(TICK_S, self.tick)
        now = self.loop.time()
        for probe in self.members.tick(now):
            self.send(probe.to, probe.message)
        self.apply_member_changes()
        for gossip_message in self.gossip.tick(now, self.alive):
            self.send(gossip_message.to, gossip_message.message)
        for usage_message in self.messenger.tick(now):
            self.send(usage_message.to, usage_message.message)
        if self.task_runner is not None:
            self.task_runner.tick()
            if POLL_TASK in self.task_runner.tasks:
                self.endpoint_sync.set_lease_holder(self.task_runner.is_holder(POLL_TASK))
        self.endpoint_sync.tick(now)
        self.replica.expire(now)
        self.messenger.expire()
        self.reporter.health.expire(now)
        self.close_when_released()
        self.log_conflicts()

    def apply_member_changes(self) -> None:
        """Logs changes of members' states, and rebuilds the list of alive members if any changed."""
        changes = self.members.take_changes()
        if changes:
            self.alive = self.members.alive_names()
        for change in changes:
            self.log_member_change(change)

    def log_member_change(self, change: MemberChange) -> None:
        """Logs one change, or that two processes run under one name."""
        if change.is_name_conflict:
            log_event("member.doubled", member=change.name)
            return
        after, before = change.after.name.lower(), change.before.name.lower()
        log_event("member.changed", member=change.name, now=after, was=before)

    def log_conflicts(self) -> None:
        """Logs the latest conflict between replicas, where there is a new one."""
        if self.logged_conflicts >= self.replica.conflict_count:
            return
        self.logged_conflicts = self.replica.conflict_count
        conflict = self.replica.conflicts[-1]
        row = conflict.retained
        log_event("copies.differ", kind=row.kind.name.lower(), key=row.key, writer=row.writer,
                  version=row.version, kept=row.value, other=conflict.discarded.value,
                  sender=conflict.sender)  # fmt: skip

    # --- control socket ----------------------------------------------------------------------------------

    def verbs(self) -> dict[str, Callable[[], status.Rows]]:
        """Returns the handlers of `glenchute fleet`, by verb."""
        verbs: dict[str, Callable[[], status.Rows]] = {}
        runner = self.task_runner
        if runner is not None:
            verbs = {"tasks": runner.show_tasks, "leases": runner.show_leases}
            for task in runner.tasks:
                verbs[f"release {task}"] = partial(runner.release, task)
                verbs[f"unpark {task}"] = partial(runner.unpark, task)
        return verbs | {
            "list": partial(status.show_list, self),
            "members": partial(status.show_members, self),
            "state": partial(status.show_state, self),
            "conflicts": partial(status.show_conflicts, self),
            "digest": partial(status.show_digest, self),
        }


def swim_settings(raw: dict[str, Any]) -> SwimSettings:
    """Returns the failure detector's settings from `[fleet]`."""
    return SwimSettings(raw.get("period_ms", 200.0) / 1000.0, raw.get("patience_ms", 2500.0) / 1000.0)


def gossip_settings(raw: dict[str, Any]) -> GossipSettings:
    """Returns the gossip settings from `[fleet]`."""
    return GossipSettings(
        raw.get("push_ms", 50.0) / 1000.0,
        raw.get("compare_ms", 500.0) / 1000.0,
        raw.get("budget_kib_s", 32.0) * 1024.0,
    )
