"""Description of a site. One seed gives the same tenants, rows, settings and faults in every process."""

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
SET_SHARE = 0.25  # greatest share of a gateway's requests from one tenant, which sets the size of its set
CEILED_PLANS = 2  # number of the largest plans that have a ceiling


@dataclass(frozen=True, slots=True)
class Trouble:
    """Fault, with times in seconds from the start of the measurement. Values of `what`: rack and zone (the
    servers are gone at `at_s`, and back after a restart at `to_s`), lists silent, counter slow (by `value`
    ms), restart (the hollow gateways of the zone end at `at_s` and start again at `to_s`)."""

    what: str
    at_s: float
    to_s: float
    zone: int = 0
    rack: int = 0
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class Site:
    """Sizes, load and faults of a site.

    `absent`: gateways that the settings count but that do not run; `spread`: the least number of gateways
    that a tenant's requests come through; `rate`: requests a second at a real gateway; `hollow_rate`: at a
    hollow one; `changes`: rows of the list that change per second; `most_known`: most servers that a hollow
    gateway chooses among (0: all); `calls_per_s`: stated capacity of the list service (0: not stated; each
    gateway then has a discovery agent of its own); `subset`: `[subset] servers`, 0 for none. `twins`: all
    gateways get the same requests at the same times, `requests` each (0: no limit), and a row of the list
    changes only while all gateways have a long poll open, so that what they send can be compared.
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
    half: bool = False  # the first tenant makes half of all requests
    spread: int = 3
    rate: float = 20.0
    hollow_rate: float = 20.0
    changes: float = 1.0
    most_known: int = 0
    calls_per_s: float = 0.0
    list_age_s: float = 0.0
    subset: int = 0
    service_ms: float = 10.0
    twins: bool = False
    requests: int = 0
    seed: int = 1
    troubles: tuple[Trouble, ...] = ()

    @property
    def hollow(self) -> int:
        """Returns the number of hollow gateways."""
        return self.gateways - self.real - self.absent

    def raw(self) -> dict[str, Any]:
        """Returns the site as JSON data for another process."""
        return asdict(self)

    @classmethod
    def of(cls, raw: dict[str, Any]) -> Site:
        """Builds a site from the data of another process."""
        return cls(**{**raw, "troubles": tuple(Trouble(**one) for one in raw["troubles"])})

    # --- places ------------------------------------------------------------------------------------------

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

    def struck(self, trouble: Trouble, server: int) -> bool:
        """Returns whether a trouble takes this server away."""
        zone = self.zone_of(server) == trouble.zone
        return zone and (
            trouble.what == "zone" or (trouble.what == "rack" and self.rack_of(server) == trouble.rack)
        )

    # --- the list ----------------------------------------------------------------------------------------

    def row(self, server: int, port: int, state: str = "Ready", started_ms: float = 0.0) -> dict[str, Any]:
        """Returns a row of the list."""
        service, zone = server % self.services, self.zone_name(self.zone_of(server))
        return {"id": f"s-{server:06x}", "addr": f"127.0.0.1:{port}", "zone": zone,
                "kind": f"svc{service:03d}",
                "cell": service, "state": state, "weight": 1.0,
                "started_ms": started_ms}  # fmt: skip

    # --- tenants -----------------------------------------------------------------------------------------

    def shares(self) -> list[float]:
        """Returns the tenants' shares of the requests, the largest first."""
        raw = [1.0 / (n + 1) ** self.zipf for n in range(self.tenants)]
        if self.half and self.tenants > 1:
            raw[0] = sum(raw[1:])
        whole = sum(raw)
        return [one / whole for one in raw]

    def accounts(self) -> list[Account]:
        """Returns all tenants. A plan allows `PLAN_HEADROOM` times the tenant's demand of the whole site at
        the rate of real gateways, and at least 2 a second. A set is large enough that no gateway has more
        than `SET_SHARE` of its requests from the tenant."""
        rng, found = random.Random(self.seed), []
        for number, share in enumerate(self.shares()):
            need = PLAN_HEADROOM * share * self.gateways * self.rate
            plan = min(bisect.bisect_left(PLAN_RATES, need), len(PLAN_RATES) - 1)
            spread = min(self.gateways, max(self.spread, math.ceil(share * self.gateways / SET_SHARE)))
            first = rng.randrange(self.gateways)
            found.append(
                Account(
                    b"%016x" % (4096 + number), f"p{plan}", share, f",units=1,spread={spread},first={first}"
                )
            )
        return found

    def settings(self, number: int) -> dict[str, Any]:
        """Returns the platform's settings for one gateway."""
        plans = [
            {"name": f"p{n}", "per_second": rate, "most_at_once": 3.0 * rate, "price": 1.0 + 0.25 * n}
            | ({"ceiling_rate": 2.0 * rate, "hard_burst": 4.0 * rate, "ceiling_slack": 0.4 * rate}
               if n >= len(PLAN_RATES) - CEILED_PLANS else {})
            for n, rate in enumerate(PLAN_RATES)
        ]  # fmt: skip
        return {**SETTINGS, "packages": plans, "balancers": self.gateways, "me": number,
                "my_zone": self.zone_name(self.gateway_zone(number))}  # fmt: skip

    def operator(self) -> str | None:
        """Returns the operator's file, the same for all gateways; None for a run without one."""
        parts = []
        if self.calls_per_s:
            parts.append(f"[discovery]\ncalls_per_s = {self.calls_per_s}\n")
            if self.list_age_s:
                parts.append(f"list_age_s = {self.list_age_s}\n")
        if self.subset:
            parts.append(f"[subset]\nservers = {self.subset}\n")
        return "".join(parts) or None


class Arrival(NamedTuple):
    """Request: seconds after the start of the load, request class, tenant."""

    at: float
    kind: RequestKind
    account: Account


def arrivals(site: Site, draw: Draw, number: int, rate: float) -> Iterator[Arrival]:
    """Yields the requests to a gateway, real or hollow, which its number and the site's seed determine."""
    rng = random.Random(f"{site.seed} {0 if site.twins else number}")
    edges = list(itertools.accumulate(kind.share for kind in KINDS))
    at = 0.0
    for _ in itertools.count() if not site.requests else range(site.requests):
        at += rng.expovariate(rate)
        kind = KINDS[min(len(edges) - 1, bisect.bisect_left(edges, rng.random()))]
        yield Arrival(at, kind, draw(number, rng))


class Draw:
    """Draws the tenant of a gateway's next request, by its share divided among the gateways of its set."""

    def __init__(self, site: Site, numbers: list[int]) -> None:
        self.accounts = site.accounts()
        mine: dict[int, list[tuple[int, float]]] = {number: [] for number in numbers}
        wanted = set(numbers)
        for at, account in enumerate(self.accounts):
            spread, first = sets(account)
            if spread >= site.gateways:
                members: list[int] = numbers
            else:
                members = [n for i in range(spread) if (n := (first + i) % site.gateways) in wanted]
            for number in members:
                mine[number].append((at, account.weight / spread))
        self.who = {number: [at for at, _ in rows] for number, rows in mine.items()}
        self.sums = {
            number: list(itertools.accumulate(weight for _, weight in rows)) for number, rows in mine.items()
        }

    def __call__(self, number: int, rng: random.Random) -> Account:
        sums = self.sums[number]
        if not sums:  # no tenant's set includes this gateway, as there are few tenants
            return self.accounts[rng.randrange(len(self.accounts))]
        return self.accounts[self.who[number][bisect.bisect_left(sums, rng.random() * sums[-1])]]


def sets(account: Account) -> tuple[int, int]:
    """Returns the spread and first gateway of an account's set."""
    fields = dict(part.split("=") for part in account.extra_fields.split(",") if part)
    return int(fields["spread"]), int(fields["first"])
