"""Three gateway processes with a counter that is killed, split and replaced. The servers record which
requests they ran, and the test checks the quota and the ceiling against these records."""

from __future__ import annotations

import asyncio
import copy
from pathlib import Path
from typing import Any

from glenchute.config.policy_settings import policy_settings
from glenchute.policy.admission.quota_bounds import ceiling_overshoot_units, overshoot_bound
from lab.counter import CounterPartitions, PartitionedCounter
from lab.load import Account, Load, RequestKind
from lab.nodes import Node, ServiceProfile
from lab.peers import run_scenario
from lab.site import SETTINGS, GatewayProcess, LabSite, free_port

GATEWAYS = 3
RATE = 60.0  # requests a second at each gateway
SECONDS = 6.0
# The platform allows this time between a gateway's decision and the execution that the server records.
ALLOWED_DELAY_S = 0.15
READ = RequestKind("report-read", 1.0, 1500)


def overshoot(moments: list[float], rate: float, burst: float) -> float:
    """Returns the units by which taking one unit at each moment would overdraw a token bucket."""
    tokens, last, lowest = burst, None, 0.0
    for at in sorted(moments):
        tokens = min(burst, tokens + (0.0 if last is None else rate * (at - last))) - 1.0
        lowest, last = min(lowest, tokens), at
    return -lowest


async def inject_faults(partitions: CounterPartitions) -> None:
    """Kills, splits, heals and replaces the counter, one after the other."""
    await asyncio.sleep(1.2)
    partitions.replace()
    await asyncio.sleep(0.6)
    partitions.split(["g0"], empty=True)
    await asyncio.sleep(1.2)
    partitions.heal()
    await asyncio.sleep(0.5)
    partitions.kill()
    await asyncio.sleep(0.8)
    partitions.replace()
    await asyncio.sleep(0.5)
    partitions.replace(0)


def test_a_flood_stays_under_its_ceiling_while_the_counter_is_killed_and_split(tmp_path: Path) -> None:
    async def scenario() -> None:
        site_settings: dict[str, Any] = copy.deepcopy(SETTINGS)
        site_settings["balancers"] = GATEWAYS
        plan_settings = site_settings["packages"][2]
        # The quota's rate equals the ceiling's, so that the quota can't keep the load under the ceiling.
        plan_settings.update(
            per_second=40.0, most_at_once=60.0, ceiling_rate=40.0, hard_burst=80.0, ceiling_slack=8.0
        )
        partitions = CounterPartitions(2)
        counters = [PartitionedCounter(partitions, lambda _, name=f"g{i}": name) for i in range(GATEWAYS)]  # type: ignore[misc]
        nodes = [Node(f"n{i}", ServiceProfile({"report-read": 4.0}, slots=64)) for i in range(3)]
        account = Account(b"%016x" % 77, "korporativni", extra_fields=f",spread={GATEWAYS},first=0")
        async with LabSite(nodes) as lab:
            gateways = []
            for number, counter in enumerate(counters):
                await counter.start()
                platform = lab.platform({**site_settings, "me": number})
                platform.update(name=f"g{number}", listen=f"127.0.0.1:{free_port()}")
                platform["counter"] = f"127.0.0.1:{counter.port}"
                folder = tmp_path / f"g{number}"
                folder.mkdir()
                gateways.append(GatewayProcess(folder, platform))
                gateways[-1].start()
            try:
                await asyncio.gather(*(gateway.ready() for gateway in gateways))
                await asyncio.sleep(1.6)  # windows that began before the start have ended
                loads = [
                    Load(lambda port=gateway.port: port, [READ], [account], RATE, number)  # type: ignore[misc]
                    for number, gateway in enumerate(gateways)
                ]
                await asyncio.gather(inject_faults(partitions), *(load.run(SECONDS) for load in loads))
            finally:
                statuses = await asyncio.gather(*(gateway.stop() for gateway in gateways))
                for counter in counters:
                    await counter.stop()
            assert statuses == [0] * GATEWAYS
        first_run_at: dict[bytes, float] = {}
        for node in nodes:
            for effect in node.effects:
                at = node.started_at + effect.at
                first_run_at[effect.request_id] = min(at, first_run_at.get(effect.request_id, at))
        moments = list(first_run_at.values())
        plan = policy_settings(site_settings).plans[2]
        bound = overshoot_bound(plan, GATEWAYS, 0.0, 1.0)
        over = overshoot(moments, plan.ceiling_rate_per_s, plan.ceiling_burst_units)
        assert over <= ceiling_overshoot_units(bound) + plan.ceiling_rate_per_s * ALLOWED_DELAY_S
        over = overshoot(moments, plan.rate_per_s, plan.burst_units)
        assert over <= (GATEWAYS - 1) * (plan.burst_units + plan.rate_per_s * SECONDS)
        # The load was a flood, and the gateways served at least half of what the ceiling allows.
        answers = [outcome.answer for load in loads for outcome in load.outcomes]
        assert len(answers) > 0.8 * GATEWAYS * RATE * SECONDS and "lost" not in answers
        assert len(moments) >= 0.5 * (plan.ceiling_burst_units + plan.ceiling_rate_per_s * SECONDS)

    run_scenario(scenario())
