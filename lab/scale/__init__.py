"""A whole site at the operators' size: hollow gateways, servers and tenants beside a few real processes.

`site.Site` is the one seeded description; `run.Scale` plays it; `benchmarks/scale.py` prints it. All ends by
itself: each process of it ends when the one that began it does.

**Real**: some processes of `python -m glenchute`, their clients' sockets, the list service and the counter as
the platform's protocol has them, with the load of the whole fleet.

**Hollow gateways** share processes. Each is the `Program` of `glenchute run` without its listener: the real
decision module, core, discovery (`Watch`, `Pacing`, HTTP) and counter (links, pings, time-outs), over sockets
of its own to the same list service and counter as the real ones. In place of its connections to servers and
clients: requests drawn in the process, and attempts that end after a drawn time.

**Hollow servers** are names in the list, with zones, racks, services and starts, which share a few listening
stand-ins: one for each rack.

What hollow ones leave out is told in docs/design/scale-run.md.
"""
