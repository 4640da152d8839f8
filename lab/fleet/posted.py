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

TICK = 0.025


class DirectMessageNetwork:
    """Gateways that admit requests as the caller says, and the network for their usage messages."""

    def __init__(
        self, count: int, seed: int, names: Sequence[str] = (), gateways: int = 0, budget: float = 6_144.0,
        numbered: bool = True,
    ) -> None:  # fmt: skip
        self.rng, self.now, self.loss, self.gateways = random.Random(seed), 0.0, 0.0, gateways or count
        self.names = list(names) or [f"g{n}" for n in range(count)]
        self.budget, self.numbered = budget, numbered
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.dead: set[str] = set()  # members that all others consider dead
        self.in_flight: list[tuple[float, int, str, str, int, UsageMessage | UsageRequest]] = []
        self.order = itertools.count()
        self.boots = dict.fromkeys(self.names, 1)
        self.sent: Counter[tuple[str, str]] = Counter()  # usage entries, by sender and receiver
        self.message_counts: Counter[str] = Counter()
        self.messengers = {name: self.make_messenger(name) for name in self.names}

    def make_messenger(self, name: str) -> DirectMessenger:
        numbers = gateway_numbers(dict.fromkeys(self.names)) if self.numbered else None
        ring = GatewayRing(name, self.names, numbers, self.gateways)
        use = AccountUsage(f"{name}#{self.boots[name]:x}")
        rng = random.Random(self.rng.getrandbits(60))
        is_alive = lambda other: other not in self.dead  # noqa: E731
        return DirectMessenger(use, Replica(), ring, is_alive, rng, self.now, self.budget)

    def restart(self, name: str) -> None:
        """Replaces a gateway by a new process without state."""
        self.boots[name] += 1
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

    def known(self, name: str, spread: int) -> int:
        return self.messengers[name].known_gateways(self.now, spread)

    def send_messages(self, sender: str, messages: list[Outgoing[UsageMessage | UsageRequest]]) -> None:
        for to, body in messages:
            self.message_counts[sender] += 1
            if isinstance(body, UsageMessage):
                self.sent[sender, to] += len(body.entries)
            if self.rng.random() >= self.loss and not self.cut(sender, to):
                at = self.now + self.rng.uniform(0.001, 0.005)
                heapq.heappush(self.in_flight, (at, next(self.order), sender, to, self.boots[sender], body))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Runs until the condition holds or `seconds` have passed; returns the time taken."""
        began, end = self.now, self.now + seconds
        while self.now < end and not until():
            step = self.now + TICK
            while self.in_flight and self.in_flight[0][0] <= step:
                when, _, sender, to, boot, body = heapq.heappop(self.in_flight)
                self.now = max(self.now, when)
                self.send_messages(to, self.messengers[to].receive(self.now, sender, boot, body))
            self.now = step
            for name, messenger in self.messengers.items():
                self.send_messages(name, messenger.tick(self.now))
                messenger.replica.expire(self.now)
                messenger.expire()
        return self.now - began
