"""Recorded the captures of this folder: ``python -m tests.format_1``; runs on the old program only (commit
a44429f).

They are kept byte for byte: a later program has to read what this one wrote. On any other commit the script
records something else, so it refuses to overwrite files. `whole_run` is one run from its cold start;
`mid_life` holds two segments of another run, both with a snapshot, and not the run's first one.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from glenchute.capture.codec import Head, batch, module_digest, note, snapshot
from heathglade import Gateway
from heathglade import interface as api

from ..captures.scenarios import EVENING_SETTINGS, KINDS, MANY, START, Environment, Tell

HERE = Path(__file__).resolve().parent
SETTINGS = EVENING_SETTINGS
LATE = (api.Ending.OK, api.Ending.OK, api.Ending.TIMEOUT, api.Ending.FULL)
STOCKS = tuple(
    api.Stock(f"c{i}{plan}", plan, 2, 3.0 + i, 1.5, 0.5 * i, 0.25, 4.0, 9.0, START - 700.0, total)
    for i, (plan, total) in enumerate((("rate", 5.0), ("hard", 2.5), ("open", float("inf")), ("none", 1.0)))
)


def surroundings(tell: Tell, seed: int) -> Environment:
    """A fleet with cold servers, a counter that is late at times, and spoilt answers."""
    made = Environment(tell, seed, endings=MANY, took_ms=120.0, others=0.3, timeout_share=0.15)
    made.late_endings, made.placements, made.active = LATE, True, True
    return made


def mixed_load(made: Environment, ms: float, gap_ms: float) -> None:
    """Requests of all kinds, some with usage updates, hedges, bounds on attempts, and clients that leave."""
    end = made.now + ms
    while made.now < end:
        cls, plan = made.rng.choice(KINDS)
        copy = made.rng.choice((0.0, 0.0, 40.0))
        bound = made.rng.choice((0.0, 0.0, 200.0))
        units = made.rng.choice((1.0, 1.0, 2.0))
        customer = f"c{made.rng.randrange(4)}{plan}"
        request = made.request(cls, plan, customer, units=units, attempt_timeout_ms=bound, copy_after_ms=copy)
        draw = made.rng.random()
        if draw < 0.15:
            made.ask_with_use(request, made.rng.uniform(0.0, 3.0), 1.0, made.rng.choice((0.5, 1.0)), SETTINGS)
        else:
            made.feed(request)
        if draw > 0.95:
            made.feed(api.RequestGone(request.request_id))
        elif draw > 0.9:
            made.feed(api.AnswerBegan(request.request_id, 0))
        elif draw > 0.85:
            made.feed(api.AttemptHeld(request.request_id, 0))
        made.run(made.rng.expovariate(1.0 / gap_ms))


def pause_before_attempts(made: Environment) -> None:
    """Attempts end with a pause before the next one."""
    for wait in (150.0, 400.0, float("inf")):
        request = made.request("read", "wide", "routed")
        made.feed(request)
        ended = api.AttemptEnded(request.request_id, 0, "s0", api.Ending.FULL, 5.0, False, next_after_ms=wait)
        made.feed(ended)


def evening(tell: Tell, seed: int) -> None:
    """Every kind of event."""
    made = surroundings(tell, seed)
    made.feed(api.TakeOver(STOCKS))
    active, draining = api.ServerState.ACTIVE, api.ServerState.DRAINING
    cold = [(f"s{i}", "ab"[i % 2], START - 2000.0 * i if i > 1 else 0.0, active) for i in range(4)]
    made.servers(api.ListKind.SAVED, *cold)
    mixed_load(made, 1500.0, 20.0)
    made.feed(api.Alone())
    made.feed(api.Avoid("s1", 800.0))
    mixed_load(made, 1500.0, 15.0)
    pause_before_attempts(made)
    mixed_load(made, 1200.0, 15.0)
    made.servers(api.ListKind.CHANGES, ("s3", "b", made.now, active), ("s2", "a", 0.0, draining))
    made.servers(api.ListKind.FAILED)
    pause_before_attempts(made)
    mixed_load(made, 1500.0, 15.0)
    made.feed(api.Beside())
    mixed_load(made, 1200.0, 20.0)
    made.feed(api.Alone())
    pause_before_attempts(made)
    mixed_load(made, 3000.0, 20.0)
    made.run(1500.0)


def busy(module: Any, now: float) -> bool:
    """Whether every kind of state that a snapshot may hold is there."""
    quota, fleet = module.quota, module.fleet
    names = [c for c in quota.customers.values() if c.word is not None and c.word.confirmed]
    return (
        len(module.requests) >= 4
        and len(module.attempts) >= 3
        and bool(quota.calls_out)
        and bool(quota.timed_out)
        and len(names) >= 3
        and any(fleet.warmth(server, now) < 1.0 for server in fleet.servers.values())
        and any(not copy for _, copy in module.waits.values())
    )


def record(run: str, seed: int, cut: Callable[[Any, float, int], bool]) -> dict[str, bytes]:
    """The segments of one run, by file name; `cut` tells whether one ends before an event."""
    module = Gateway(SETTINGS, seed)
    segments: list[tuple[Head, list[tuple[Any, ...]]]] = []
    fed = 0

    def tell(now: float, event: api.Event) -> list[api.Action]:
        nonlocal fed
        if not segments or cut(module, now, len(segments[-1][1])):
            state = snapshot(module) if segments else None
            head = Head(run, len(segments), fed, now, module_digest(), SETTINGS, seed, state)
            segments.append((head, []))
        actions = module.handle(now, event)
        segments[-1][1].append(note(now, event, actions))
        fed += 1
        return actions

    evening(tell, seed)
    return {
        f"{run}-{head.number:06d}.glcap": head.encode()
        + b"".join(batch(notes[at : at + 256]) for at in range(0, len(notes), 256))
        for head, notes in segments
    }


def main() -> None:
    """Writes the files, none of which may be there yet."""
    files = record("whole_run", 101, lambda module, now, fed: False)
    middle = record("mid_life", 102, lambda module, now, fed: fed >= 500 and busy(module, now))
    files |= {name: middle[name] for name in sorted(middle)[1:3]}
    for name, data in files.items():
        with (HERE / name).open("xb") as file:
            file.write(data)
        print(name, len(data))


if __name__ == "__main__":
    main()
