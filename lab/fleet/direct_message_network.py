"""Simulates direct usage messages over a network, for fleets too large for real processes."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence

from glenchute.policy.membership.direct_messages import DirectMessenger, UsageMessage, UsageRequest
from glenchute.policy.membership.gateway_ring import GatewayRing, gateway_numbers
from glenchute.policy.membership.outgoing import Outgoing
from glenchute.policy.membership.replica import Replica
from glenchute.policy.membership.usage import AccountUsage
from glenchute.policy.settings import Plan

TICK_S = 0.025


class DirectMessageNetwork:
    """Gateways that admit requests as the caller says, and the network for their usage messages.

    `gateway_count` is the number of gateways in the settings; 0 stands for `count`.
    """

    def __init__(
        self, count: int, seed: int, names: Sequence[str] = (), gateway_count: int = 0,
        budget_bytes_per_s: float = 6_144.0, has_numbers: bool = True,
    ) -> None:  # fmt: skip
        self.rng, self.now, self.loss = random.Random(seed), 0.0, 0.0
        self.gateway_count = gateway_count or count
        self.names = list(names) or [f"g{n}" for n in range(count)]
        self.budget_bytes_per_s, self.has_numbers = budget_bytes_per_s, has_numbers
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.dead: set[str] = set()  # members that all others consider dead
        self.in_flight: list[tuple[float, int, str, str, int, UsageMessage | UsageRequest]] = []
        self.send_order = itertools.count()
        self.incarnations = dict.fromkeys(self.names, 1)
        self.sent_entry_counts: Counter[tuple[str, str]] = Counter()  # usage entries, by sender and receiver
        self.message_counts: Counter[str] = Counter()
        self.messengers = {name: self.make_messenger(name) for name in self.names}

    def make_messenger(self, name: str) -> DirectMessenger:
        numbers = gateway_numbers(dict.fromkeys(self.names)) if self.has_numbers else None
        ring = GatewayRing(name, self.names, numbers, self.gateway_count)
        usage = AccountUsage(f"{name}#{self.incarnations[name]:x}")
        rng = random.Random(self.rng.getrandbits(60))
        is_alive = lambda other: other not in self.dead  # noqa: E731
        return DirectMessenger(usage, Replica(), ring, is_alive, rng, self.now, self.budget_bytes_per_s)

    def restart(self, name: str) -> None:
        """Replaces a gateway by a new process without state."""
        self.incarnations[name] += 1
        self.messengers[name] = self.make_messenger(name)

    def admit(
        self, name: str, account: str, units: float = 1.0, spread: int = 3, plan: Plan | None = None,
        window: float = 0.0,
    ) -> None:  # fmt: skip
        """Records an admitted request at a gateway and reports it to the others."""
        messenger = self.messengers[name]
        messenger.report(self.now, messenger.usage.add_admitted(account, window, units, spread, plan))

    def units_of_peers(self, name: str, account: str, window: float = 0.0) -> float:
        """Returns the units that a gateway knows its peers to have admitted."""
        return self.messengers[name].usage.admitted_by_peers(account, window)

    def known_gateways(self, name: str, spread: int) -> int:
        """Returns of how many of an account's other gateways, out of `spread`, all usage is known."""
        return self.messengers[name].known_gateways(self.now, spread)

    def send_messages(self, sender: str, messages: list[Outgoing[UsageMessage | UsageRequest]]) -> None:
        for to, body in messages:
            self.message_counts[sender] += 1
            if isinstance(body, UsageMessage):
                self.sent_entry_counts[sender, to] += len(body.entries)
            if self.rng.random() >= self.loss and not self.cut(sender, to):
                arrival_at, boot = self.now + self.rng.uniform(0.001, 0.005), self.incarnations[sender]
                heapq.heappush(self.in_flight, (arrival_at, next(self.send_order), sender, to, boot, body))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Runs until the condition holds or `seconds` have passed; returns the time taken."""
        started_at, end = self.now, self.now + seconds
        while self.now < end and not until():
            step = self.now + TICK_S
            while self.in_flight and self.in_flight[0][0] <= step:
                arrival_at, _, sender, to, boot, body = heapq.heappop(self.in_flight)
                self.now = max(self.now, arrival_at)
                self.send_messages(to, self.messengers[to].receive(self.now, sender, boot, body))
            self.now = step
            for name, messenger in self.messengers.items():
                self.send_messages(name, messenger.tick(self.now))
                messenger.replica.expire(self.now)
                messenger.expire()
        return self.now - started_at
