"""Measures the share of mutants of the decision module that replays of the captures of past failures catch.

``python -m benchmarks.mutants [COUNT]``: COUNT seeded changes of one number, comparison, sign or
logical operator, each replayed through all captures. A mutant is caught if a decision differs or the module
raises.
"""

from __future__ import annotations

import ast
import random
import shutil
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from benchmarks.machine import machine
from glenchute.capture.replay import find_runs, load_other_engine, replay

WORKERS = 4
ROOT = Path(__file__).resolve().parent.parent
CAPTURES = ROOT / "tests" / "captures"
MUTATED = (
    "engine.py",
    "request_execution.py",
    "admission/backlog.py",
    "admission/call_pacing.py",
    "admission/capacity.py",
    "admission/ceiling.py",
    "admission/concurrency.py",
    "admission/counter_health.py",
    "admission/counter_sync.py",
    "admission/epoch_markers.py",
    "admission/fill.py",
    "admission/local_share.py",
    "admission/overload.py",
    "admission/quota.py",
    "admission/state_transfer.py",
    "admission/tenants.py",
    "admission/usage_updates.py",
    "admission/windows.py",
    "balancing/connect_backoff.py",
    "balancing/endpoint_choice.py",
    "balancing/latency.py",
    "balancing/outliers.py",
    "balancing/peer_load.py",
    "balancing/pool.py",
    "balancing/slow_start.py",
    "retries/hedging.py",
    "retries/retry_budget.py",
    "retries/retry_policy.py",
)
SWAPS: dict[type[ast.AST], type[ast.AST]] = {
    ast.Lt: ast.LtE, ast.LtE: ast.Gt, ast.Gt: ast.GtE, ast.GtE: ast.Lt, ast.Eq: ast.NotEq, ast.NotEq: ast.Eq,
    ast.Is: ast.IsNot, ast.IsNot: ast.Is, ast.Add: ast.Sub, ast.Sub: ast.Add, ast.Mult: ast.Div,
    ast.Div: ast.Mult, ast.And: ast.Or, ast.Or: ast.And, ast.In: ast.NotIn, ast.NotIn: ast.In,
}  # fmt: skip


class Mutant(NamedTuple):
    """One change to one file, with the changed source."""

    file: str
    line: int
    kind: str
    source: str


def mutable_nodes(tree: ast.AST) -> Iterator[tuple[ast.AST, str]]:
    """Yields the nodes that may be changed and their kind, in a fixed order."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
            if not isinstance(node.value, bool):
                yield node, "number"
        elif isinstance(node, ast.Compare) and type(node.ops[0]) in SWAPS:
            yield node, "comparison"
        elif isinstance(node, ast.BinOp) and type(node.op) in SWAPS:
            yield node, "sign"
        elif isinstance(node, ast.BoolOp):
            yield node, "logic"


def draw_mutants(count: int) -> list[Mutant]:
    """Returns seeded changes of the decision modules."""
    rng = random.Random(1)
    mutants = []
    sources = {name: (ROOT / "glenchute" / "policy" / name).read_text() for name in MUTATED}
    candidates = [
        (name, index)
        for name, text in sources.items()
        for index, _ in enumerate(mutable_nodes(ast.parse(text)))
    ]
    for name, index in rng.sample(candidates, min(count, len(candidates))):
        tree = ast.parse(sources[name])
        node, kind = list(mutable_nodes(tree))[index]
        if isinstance(node, ast.Constant):
            node.value = node.value * 2 + 1  # type: ignore[operator]
        elif isinstance(node, ast.Compare):
            node.ops[0] = SWAPS[type(node.ops[0])]()  # type: ignore[call-overload]
        elif isinstance(node, ast.BinOp | ast.BoolOp):
            node.op = SWAPS[type(node.op)]()  # type: ignore[assignment]
        line = int(getattr(node, "lineno", 0))
        mutants.append(Mutant(name, line, kind, ast.unparse(tree)))
    return mutants


def is_caught(mutant: Mutant) -> bool:
    """Returns whether a mutant decides differently in the replay of any capture, or raises."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "policy"
        shutil.copytree(ROOT / "glenchute" / "policy", copy, ignore=shutil.ignore_patterns("__pycache__"))
        (copy / mutant.file).write_text(mutant.source)
        try:
            create_engine = load_other_engine(copy)
            return any(
                replay(files, create_engine, use_snapshots=False).differences
                for files in find_runs(CAPTURES).values()
            )
        except Exception:  # a mutant that raises counts as caught
            return True


def main(count: int) -> None:
    """Prints the share of mutants caught, and those that survive."""
    mutants = draw_mutants(count)
    with ProcessPoolExecutor(WORKERS) as pool:
        caught = list(pool.map(is_caught, mutants))
    print(machine())
    print(f"{sum(caught)} of {len(mutants)} mutants are caught, {sum(caught) / len(mutants):.0%}")
    for mutant, was_caught in zip(mutants, caught, strict=True):
        if not was_caught:
            print(f"  lives: {mutant.file}:{mutant.line} {mutant.kind}")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 300)
