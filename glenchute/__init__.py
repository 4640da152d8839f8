"""glenchute: a gateway that enforces quotas and balances load. `glenchute.policy` makes its decisions."""

__version__ = "0.2.0"
