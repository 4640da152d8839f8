"""The platform of the tests of operator's files: three classes, four plans, figures of its own."""

from __future__ import annotations

from dataclasses import replace

from glenchute.config.facts import ClassFacts, Facts
from glenchute.policy.interface import Repeat

FACTS = Facts(
    classes={
        "report-read": ClassFacts(Repeat.SAFE, 3000.0),
        "check-order": ClassFacts(Repeat.KEYED, 4000.0, 2500.0),
        "check-charge": ClassFacts(Repeat.UNSAFE, 6000.0),
    },
    plans=("osnovni", "standard", "agencija", "korporativni"),
    attempts_cap=5,
    overlap=False,
    connect_ms=250.0,
)
OVERLAP = replace(FACTS, overlap=True)
ORDERS = ClassFacts(Repeat.KEYED, 4000.0, 2500.0, scope_known=False)
NO_SCOPE = replace(FACTS, classes={**FACTS.classes, "check-order": ORDERS})
