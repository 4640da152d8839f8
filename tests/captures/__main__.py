"""Records the captures of this folder anew: ``python -m tests.captures --why "what changed and why"``.

The reason is kept in WHY.md; without one nothing is recorded.
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

from .scenarios import DEFAULT_SETTINGS, SCENARIOS, SETTINGS_OF, START, Tell

HERE = Path(__file__).resolve().parent


def record(scenario: str, play: Callable[[Tell], None], seed: int) -> bytes:
    """A scenario's capture."""
    settings = SETTINGS_OF.get(scenario, DEFAULT_SETTINGS)
    module = DecisionEngine(settings, seed)
    notes = []

    def tell(now: float, event: Event) -> list[Action]:
        actions = module.handle(now, event)
        notes.append(encode_record(now, event, actions))
        return actions

    play(tell)
    head = SegmentHeader(scenario, 0, 0, START, engine_digest(), settings, seed, None)
    return head.encode() + b"".join(encode_batch(notes[at : at + 512]) for at in range(0, len(notes), 512))


def main() -> None:
    """Writes all files and the reason."""
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
