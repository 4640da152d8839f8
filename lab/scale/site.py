"""Description of a site, from which each process derives the same tenants, rows, settings and faults."""

from __future__ import annotations

import bisect
import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from typing import Any, NamedTuple

from lab.load import Account, RequestKind
from lab.site import KINDS, SETTINGS

PLAN_RATES = (2.0, 8.0, 32.0, 128.0, 512.0, 2048.0, 8192.0, 32768.0)  # units a second
PLAN_HEADROOM = 1.5  # least ratio of a plan's rate to the demand of its tenant
MAX_TENANT_SHARE = 0.25  # greatest fraction of a gateway's requests that comes from one tenant
PLANS_WITH_CEILING = 2  # the plans with the highest rates


@dataclass(frozen=True, slots=True)
class SiteFault:
    """Fault, with times in seconds from the start of the measurement.

    Values of `kind`: "rack" and "zone" (their servers are down from `start_s` and come back restarted at
    `end_s`), "lists silent" (the list service does not answer), "counter slow" (answers of the counter are
    delayed by `delay_ms`), "restart" (the hollow gateways of the zone end at `start_s` and start again at
    `end_s`).
    """

    kind: str
    start_s: float
    end_s: float
    zone: int = 0
    rack: int = 0
    delay_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Site:
    """Sizes, load and faults of a site.

    `absent`: gateways that the settings count but that do not run; `spread`: the least number of gateways
    that a tenant's requests come through; `rate`: requests per second at a real gateway; `hollow_rate`: at a
    hollow one; `changes`: rows of the list that change per second; `most_known`: the greatest number of
    servers that a hollow gateway chooses among (0: all); `calls_per_s`: capacity of the list service as the
    operator's file states it (0: not stated; a gateway then assumes a discovery agent local to it);
    `list_age_s` and `subset`: `[discovery] list_age_s` and `[subset] servers`, 0 for none.

    `equal_load`: all gateways get the same requests at the same times, `requests` each (0: no limit), and a
    row of the list changes only while all gateways have a long poll open, so that what they send can be
    compared.
    """

    gateways: int = 6
    real: int = 2
    absent: int = 0
    servers: int = 20
    services: int = 4
    regions: int = 1
    zones: int = 2
    racks: int = 2
    tenants: int = 1000
    zipf: float = 1.0
    has_dominant_tenant: bool = False  # the first tenant makes half of all requests
    spread: int = 3
    rate: float = 20.0
    hollow_rate: float = 20.0
    changes: float = 1.0
    most_known: int = 0
    calls_per_s: float = 0.0
    list_age_s: float = 0.0
    subset: int = 0
    service_ms: float = 10.0
    equal_load: bool = False
    requests: int = 0
    seed: int = 1
    faults: tuple[SiteFault, ...] = ()

    @property
    def hollow(self) -> int:
        """Returns the number of hollow gateways."""
        return self.gateways - self.real - self.absent

    def to_dict(self) -> dict[str, Any]:
        """Returns the site as JSON data for another process."""
        return asdict(self)

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> Site:
        """Builds a site from the result of `to_dict`."""
        return cls(**{**raw, "faults": tuple(SiteFault(**fault) for fault in raw["faults"])})

    # --- zones and racks ---------------------------------------------------------------------------------

    def zone_name(self, zone: int) -> str:
        """Returns the name of a zone, with its region."""
        return f"r{zone % self.regions}z{zone}"

    def zone_of(self, server: int) -> int:
        """Returns the zone of a server; servers are spread over zones in turn."""
        return server % self.zones

    def rack_of(self, server: int) -> int:
        """Returns the rack of a server; the servers of a zone are spread over its racks in turn."""
        return server // self.zones % self.racks

    def gateway_zone(self, number: int) -> int:
        """Returns the zone of a gateway; gateways are spread over zones in turn."""
        return number % self.zones

    def is_real(self, number: int) -> bool:
        """Returns whether a gateway is real; real ones are spaced evenly among all numbers."""
        return number in self.real_numbers()

    def real_numbers(self) -> list[int]:
        """Returns the numbers of the real gateways."""
        return [i * self.gateways // self.real for i in range(self.real)] if self.real else []

    def takes_down(self, fault: SiteFault, server: int) -> bool:
        """Returns whether a server is down during a fault."""
        is_in_zone = self.zone_of(server) == fault.zone
        return is_in_zone and (
            fault.kind == "zone" or (fault.kind == "rack" and self.rack_of(server) == fault.rack)
        )

    # --- the list ----------------------------------------------------------------------------------------

    def list_row(
        self, server: int, port: int, state: str = "Ready", started_ms: float = 0.0
    ) -> dict[str, Any]:
        """Returns a server's row of the list."""
        service, zone = server % self.services, self.zone_name(self.zone_of(server))
        return {"id": f"s-{server:06x}", "addr": f"127.0.0.1:{port}", "zone": zone,
                "kind": f"svc{service:03d}",
                "cell": service, "state": state, "weight": 1.0,
                "started_ms": started_ms}  # fmt: skip

    # --- tenants -----------------------------------------------------------------------------------------

    def shares(self) -> list[float]:
        """Returns the tenants' shares of the requests, the largest first."""
        weights = [1.0 / (n + 1) ** self.zipf for n in range(self.tenants)]
        if self.has_dominant_tenant and self.tenants > 1:
            weights[0] = sum(weights[1:])
        total = sum(weights)
        return [weight / total for weight in weights]

    def accounts(self) -> list[Account]:
        """Returns all tenants. A tenant's plan allows `PLAN_HEADROOM` times its demand if every gateway had
        the rate of a real one, and at least 2 units a second. Its set of gateways is large enough that none
        of them gets more than `MAX_TENANT_SHARE` of its requests from the tenant."""
        rng, accounts = random.Random(self.seed), []
        for number, share in enumerate(self.shares()):
            needed_rate = PLAN_HEADROOM * share * self.gateways * self.rate
            plan = min(bisect.bisect_left(PLAN_RATES, needed_rate), len(PLAN_RATES) - 1)
            spread = min(self.gateways, max(self.spread, math.ceil(share * self.gateways / MAX_TENANT_SHARE)))
            first = rng.randrange(self.gateways)
            accounts.append(
                Account(
                    b"%016x" % (4096 + number), f"p{plan}", share, f",units=1,spread={spread},first={first}"
                )
            )
        return accounts

    def settings(self, number: int) -> dict[str, Any]:
        """Returns the platform's settings for one gateway."""
        plans = [
            {"name": f"p{n}", "per_second": rate, "most_at_once": 3.0 * rate, "price": 1.0 + 0.25 * n}
            | ({"ceiling_rate": 2.0 * rate, "hard_burst": 4.0 * rate, "ceiling_slack": 0.4 * rate}
               if n >= len(PLAN_RATES) - PLANS_WITH_CEILING else {})
            for n, rate in enumerate(PLAN_RATES)
        ]  # fmt: skip
        return {**SETTINGS, "packages": plans, "balancers": self.gateways, "me": number,
                "my_zone": self.zone_name(self.gateway_zone(number))}  # fmt: skip

    def operator(self) -> str | None:
        """Returns the text of the operator's file, the same for all gateways; None for a run without one."""
        parts = []
        if self.calls_per_s:
            parts.append(f"[discovery]\ncalls_per_s = {self.calls_per_s}\n")
            if self.list_age_s:
                parts.append(f"list_age_s = {self.list_age_s}\n")
        if self.subset:
            parts.append(f"[subset]\nservers = {self.subset}\n")
        return "".join(parts) or None


class Arrival(NamedTuple):
    """Request that arrives at a gateway."""

    at_s: float  # since the start of the load
    kind: RequestKind
    account: Account


def arrivals(site: Site, draw: TenantDraw, number: int, rate: float) -> Iterator[Arrival]:
    """Yields the requests to a gateway; the site's seed and the gateway's number determine them."""
    rng = random.Random(f"{site.seed} {0 if site.equal_load else number}")
    cumulative_shares = list(itertools.accumulate(kind.share for kind in KINDS))
    at_s = 0.0
    for _ in itertools.count() if not site.requests else range(site.requests):
        at_s += rng.expovariate(rate)
        index = bisect.bisect_left(cumulative_shares, rng.random())
        yield Arrival(at_s, KINDS[min(len(KINDS) - 1, index)], draw(number, rng))


class TenantDraw:
    """Draws the tenant of a gateway's next request. A tenant's share is divided evenly among the gateways of
    its set."""

    def __init__(self, site: Site, numbers: list[int]) -> None:
        self.accounts = site.accounts()
        # For each gateway, the indexes of its tenants and their weights.
        weighted: dict[int, list[tuple[int, float]]] = {number: [] for number in numbers}
        wanted = set(numbers)
        for index, account in enumerate(self.accounts):
            spread, first = gateway_set(account)
            if spread >= site.gateways:
                members: list[int] = numbers
            else:
                members = [n for i in range(spread) if (n := (first + i) % site.gateways) in wanted]
            for number in members:
                weighted[number].append((index, account.weight / spread))
        self.tenants = {number: [index for index, _ in rows] for number, rows in weighted.items()}
        self.cumulative_weights = {
            number: list(itertools.accumulate(weight for _, weight in rows))
            for number, rows in weighted.items()
        }

    def __call__(self, number: int, rng: random.Random) -> Account:
        """Returns the tenant of a request to this gateway."""
        cumulative = self.cumulative_weights[number]
        if not cumulative:  # no tenant's set includes this gateway, as there are few tenants
            return self.accounts[rng.randrange(len(self.accounts))]
        return self.accounts[
            self.tenants[number][bisect.bisect_left(cumulative, rng.random() * cumulative[-1])]
        ]


def gateway_set(account: Account) -> tuple[int, int]:
    """Returns the size of an account's set of gateways, and the number of the first of them."""
    fields = dict(part.split("=") for part in account.extra_fields.split(",") if part)
    return int(fields["spread"]), int(fields["first"])
