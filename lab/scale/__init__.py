"""Simulates a whole site at the operators' size: hollow gateways and servers beside a few real processes.

`site.Site` is the seeded description; `run.ScaleRun` runs it; `benchmarks/scale.py` prints the figures. Every
process ends when the one that started it does.

**Real**: some processes of `python -m glenchute` and their clients' sockets; the list service and the
counter, which speak the platform's protocol and bear the load of the whole fleet.

**Hollow gateways** share processes. Each is the `GatewayProgram` of `glenchute run` without its listener: the
real decision module, core, discovery (long polls, pacing, HTTP) and counter (connections, pings, time-outs),
over sockets of its own to the same list service and counter as the real ones. Connections to servers and
clients are replaced by requests generated in the process and attempts that end after a random time.

**Hollow servers** are rows of the list, with zones, racks, services and start times, which share a few
listening stand-ins, one for each rack.

docs/design/scale-run.md describes what hollow gateways and servers leave out.
"""
