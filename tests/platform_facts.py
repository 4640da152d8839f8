"""Facts of the platform that tests of operator's files assume: three classes, four plans and the limits."""

from __future__ import annotations

from dataclasses import replace

from glenchute.config.facts import ClassFacts, PlatformFacts
from glenchute.policy.settings import Idempotency

FACTS = PlatformFacts(
    classes={
        "report-read": ClassFacts(Idempotency.IDEMPOTENT, 3000.0),
        "check-order": ClassFacts(Idempotency.WITH_KEY, 4000.0, 2500.0),
        "check-charge": ClassFacts(Idempotency.NON_IDEMPOTENT, 6000.0),
    },
    plans=("osnovni", "standard", "agencija", "korporativni"),
    max_attempts=5,
    allows_hedging=False,
    connect_timeout_ms=250.0,
)
# The same on a platform that allows hedging.
OVERLAP = replace(FACTS, allows_hedging=True)
# The same on a platform that does not state in which scope servers recognize the idempotency keys of orders.
NO_SCOPE = replace(
    FACTS,
    classes={
        **FACTS.classes,
        "check-order": ClassFacts(Idempotency.WITH_KEY, 4000.0, 2500.0, is_scope_known=False),
    },
)
