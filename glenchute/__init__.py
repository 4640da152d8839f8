"""glenchute: a quota-keeping gateway on real sockets, driven by the decisions of `glenchute.policy`."""

__version__ = "0.2.0"
