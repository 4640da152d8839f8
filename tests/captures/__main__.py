"""Records the captures in this folder again: ``python -m tests.captures --why "what changed and why"``.

The reason is required, and is appended to WHY.md.
"""

from __future__ import annotations

import argparse
import datetime
from collections.abc import Callable
from pathlib import Path

from glenchute.capture.codec import SegmentHeader, encode_batch, encode_record, engine_digest
from glenchute.policy.actions import Action
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import Event

from .scenarios import DEFAULT_SETTINGS, SCENARIOS, SETTINGS_BY_SCENARIO, START_MS, HandleEvent

HERE = Path(__file__).resolve().parent


def record(scenario: str, play: Callable[[HandleEvent], None], seed: int) -> bytes:
    """Returns the capture of a scenario as bytes."""
    settings = SETTINGS_BY_SCENARIO.get(scenario, DEFAULT_SETTINGS)
    engine = DecisionEngine(settings, seed)
    records = []

    def handle(now_ms: float, event: Event) -> list[Action]:
        actions = engine.handle(now_ms, event)
        records.append(encode_record(now_ms, event, actions))
        return actions

    play(handle)
    header = SegmentHeader(scenario, 0, 0, START_MS, engine_digest(), settings, seed, None)
    return header.encode() + b"".join(
        encode_batch(records[index : index + 512]) for index in range(0, len(records), 512)
    )


def main() -> None:
    """Writes all capture files and the reason."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--why", required=True)
    args = parser.parse_args()
    if len(args.why.strip()) < 10:
        parser.error("say what changed and why")
    for seed, play in enumerate(SCENARIOS, 1):
        (HERE / f"{play.__name__}-000000.glcap").write_bytes(record(play.__name__, play, seed))
    with (HERE / "WHY.md").open("a") as file:
        file.write(f"- {datetime.date.today()}, module {engine_digest()}: {args.why.strip()}\n")


if __name__ == "__main__":
    main()
