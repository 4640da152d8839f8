"""The command line: ``glenchute`` or ``python -m glenchute``. Without a command it runs a gateway.

``run`` without arguments imports no argument parser, which would delay every restart.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

COMMANDS = {
    "run": "serve as one gateway (the default)",
    "check": "check the operator's file; exit 0, or 2 with what is wrong",
    "explain": "print which route applies to a kind of request, and the attempts that it allows",
    "replay": "feed a capture to the decision engine and compare each decision",
    "quota": "print by how much quotas and ceilings may be exceeded when the counter fails",
    "pipeline": "print which classes may share a connection to a server, and within which limits",
    "fleet": "query what a running gateway knows of the other members",
    "demo": "run a small site on loopback, with a server that fails temporarily",
    "schema": "print the JSON Schema of the operator's file",
}
FLEET = ("members", "state", "list", "conflicts", "digest", "tasks", "leases", "release", "unpark")
CLOSED_PIPE_STATUS = 128 + signal.SIGPIPE  # the status that a shell reports for a program ended by SIGPIPE


def main(argv: list[str] | None = None) -> int:
    """Runs a command. Returns the exit status: 0 success, 1 could not start, 2 invalid arguments or files."""
    argv = sys.argv[1:] if argv is None else argv
    if not argv or argv == ["run"]:
        return run_gateway(None)
    try:
        status = run_command(parse_arguments(argv))
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader has closed the pipe: the rest of the buffer is written to /dev/null at the exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return CLOSED_PIPE_STATUS
    return status


def run_gateway(operator_file: str | None) -> int:
    """Runs a gateway and returns the exit status. Garbage collection is off until it serves
    (`GatewayProgram.run`): objects imported and loaded at the start are permanent, and scanning them takes 5
    % of the start-up time."""
    gc.disable()
    from .run import run

    return run(operator_file)


def run_command(args: argparse.Namespace) -> int:
    """Runs the command that the arguments name, by default a gateway, and returns the exit status."""
    if args.command == "run" or args.command is None:
        return run_gateway(getattr(args, "operator", None))
    status: int = import_module(f"glenchute.cli.{args.command}").command(args)
    return status


def parse_arguments(argv: list[str]) -> argparse.Namespace:
    """Parses the arguments. Raises SystemExit with a message if they are invalid."""
    import argparse

    from glenchute import __version__

    if argv[0].startswith("--operator"):
        argv = ["run", *argv]
    parser = argparse.ArgumentParser(prog="glenchute", description="A quota-keeping gateway.")
    parser.add_argument("--version", action="version", version=f"glenchute {__version__}")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    parsers = {name: commands.add_parser(name, help=text) for name, text in COMMANDS.items()}
    add_file_arguments(parsers)
    add_query_arguments(parsers)
    add_replay_arguments(parsers["replay"])
    add_demo_arguments(parsers["demo"])
    return parser.parse_args(argv)


def add_file_arguments(parsers: dict[str, argparse.ArgumentParser]) -> None:
    """Adds the arguments that name configuration files."""
    for name in ("run", "check", "explain", "pipeline"):
        parsers[name].add_argument(
            "--operator", metavar="FILE", help="the operator's file; else GLENCHUTE_OPERATOR names it"
        )
    for name in ("check", "explain", "quota", "pipeline"):
        parsers[name].add_argument(
            "--platform", metavar="FILE", help="the platform's file; else EDGE_CONFIG names it"
        )


def add_query_arguments(parsers: dict[str, argparse.ArgumentParser]) -> None:
    """Adds the arguments of `check`, `explain`, `quota` and `fleet`."""
    parsers["check"].add_argument("--json", action="store_true", help="print findings as JSON")
    parsers["explain"].add_argument("--class", dest="class_name", required=True, help="the request's class")
    parsers["explain"].add_argument("--plan", required=True, help="the tenant's plan")
    parsers["explain"].add_argument("--command", dest="verb", choices=("GET", "POST"))
    parsers["quota"].add_argument("what", choices=("bound",))
    parsers["quota"].add_argument(
        "--spread", type=int, default=0, help="number of gateways that an account uses; default: all"
    )
    parsers["quota"].add_argument(
        "--clocks-ms", type=float, default=100.0, help="maximum difference between clocks"
    )
    parsers["quota"].add_argument(
        "--asked", type=float, default=0.0, help="requested units per second, for the bound with members"
    )
    parsers["fleet"].add_argument("what", choices=FLEET)
    parsers["fleet"].add_argument("task", nargs="?", help="for release and unpark")
    parsers["fleet"].add_argument("--control", metavar="PATH", required=True, help="the gateway's socket")
    parsers["fleet"].add_argument("--json", action="store_true", help="print rows as JSON")


def add_replay_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of `replay`: which part of a capture is replayed, and what is printed."""
    parser.add_argument("path", help="a segment, or a folder of them")
    parser.add_argument("--from", dest="since", type=float, default=0.0, metavar="MS")
    parser.add_argument("--until", type=float, default=float("inf"), metavar="MS")
    parser.add_argument("--diff", action="store_true", help="print all differences, not only the first")
    parser.add_argument("--explain", metavar="REQUEST", help="the story of one request")
    parser.add_argument("--refusals", action="store_true", help="which limits refused, how often")
    parser.add_argument("--against", metavar="FOLDER", help="another version of the module")


def add_demo_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of `demo`: duration, rate and seed."""
    parser.add_argument("--seconds", type=float, default=8.0, help="duration, 2 to 600 (default 8)")
    parser.add_argument("--rate", type=float, default=80.0, help="requests per second, 1 to 500")
    parser.add_argument("--seed", type=int, default=1, help="seed of load and faults")
