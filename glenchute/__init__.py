"""glenchute: a quota-keeping gateway on real sockets, driven by the decisions of heathglade."""
