"""The program: reads its configuration, starts the parts, and ends on a signal.

Run as ``python -m glenchute`` with EDGE_CONFIG naming the configuration.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import sys
from dataclasses import dataclass, replace
from typing import Any

import uvloop

from heathglade import Gateway as Policy
from heathglade.interface import Settings
from heathglade.simhost import num, settings

from .clients import Listener
from .commands import Bounds, Catalogue, bounds
from .counter import Counter
from .discovery import Discovery, ListError, News, address, read_list
from .gateway import Decisions, Gateway
from .servers import Limits, Servers

LIST_WAIT_S = 0.3  # a start waits this long for the list of the day before it serves by the saved one
ACCEPT_S = 0.5  # after SIGTERM new connections go on coming for up to 0.4 s
LEAVE_S = 3.2  # what is still held this long after SIGTERM is answered and left; the kill comes at 3.7 s
LINGER_S = 0.05
LOG_LINES_S = 20

log = logging.getLogger("glenchute")


class ConfigError(Exception):
    """A configuration that no gateway can run on."""


@dataclass(frozen=True, slots=True)
class Config:
    """What the platform tells a gateway."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    sockets: int
    known: News | None
    settings: Settings
    limits: Limits
    bounds: Bounds


def part(raw: dict[str, Any], key: str) -> dict[str, Any]:
    """A nested object, or an empty one."""
    found = raw.get(key)
    return found if isinstance(found, dict) else {}


def load(environ: dict[str, str]) -> Config:
    """The configuration; the single variables count where the file is silent."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"can't read {path}: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"{path} holds no settings")
    try:
        return build(raw, environ)
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise ConfigError(f"bad configuration in {path}: {error}") from None


def build(raw: dict[str, Any], environ: dict[str, str]) -> Config:
    """The parts of the configuration, checked."""
    made = settings(raw["settings"])
    if not made.classes or not made.plans:
        raise ListError("the settings name no classes or no plans")
    limits, safety = part(raw["settings"], "limits"), part(raw["settings"], "safety")
    sockets = int(num(part(raw, "limits").get("sockets"), 1024))
    if sockets < 64:
        raise ListError(f"{sockets} sockets are too few")
    return Config(
        name=str(raw.get("name") or environ.get("EDGE_NAME") or "gateway"),
        listen=address(raw.get("listen") or environ.get("EDGE_LISTEN")),
        discovery=address(raw.get("discovery") or environ.get("EDGE_DISCOVERY")),
        counter=address(raw["counter"]) if raw.get("counter") and made.counter else None,
        seed=int(str(raw.get("seed") or 0), 16),
        sockets=sockets,
        known=read_list(raw["known"], saved=True) if raw.get("known") else None,
        settings=made,
        limits=Limits(
            connect_s=num(limits.get("connect_timeout_ms"), 250.0) / 1000.0,
            idle_s=max(0.5, num(limits.get("conn_idle_ms"), 15_000.0) / 1000.0 - 2.0),
            grace_s=num(safety.get("drain_grace_ms"), 250.0) / 1000.0,
            connections=sockets * 3 // 10,
        ),
        bounds=bounds(raw["settings"]),
    )


class LogLimit(logging.Filter):
    """At most so many lines a second: the log must not become the load."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        return self.lines <= LOG_LINES_S


class Program:
    """One gateway process, from start to end."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        decisions: Decisions | None = None,
        environ: dict[str, str] | None = None,
    ) -> None:
        self.config = config
        self.environ = environ or {}
        self.loop = loop
        made = config.settings
        self.servers = Servers(loop, config.limits)
        self.counter = (
            Counter(loop, config.counter, made.counter_timeout_ms / 1000.0) if config.counter else None
        )
        decisions = decisions or Policy(made, config.seed)
        self.gateway = Gateway(loop, decisions, self.servers, self.counter)
        self.listener = Listener(loop, self.gateway, Catalogue(made, config.bounds), config.sockets)
        self.discovery = Discovery(loop, config.discovery, self.gateway.news)
        self.stopping = asyncio.Event()

    async def run(self, hangups: list[int]) -> None:
        """Serves until told to stop. `hangups` holds the SIGHUPs that came before the loop ran."""
        for sign in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(sign, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        if hangups:
            self.reload()
        gc.collect()
        gc.freeze()  # what was loaded lives for ever; no collection needs to look at it again
        gc.set_threshold(20_000, 20, 20)
        log.info("%s serves", self.config.name)
        await self.stopping.wait()
        await self.leave()
        log.info("%s has ended", self.config.name)

    async def start(self) -> None:
        """Brings the parts up; clients come last."""
        if self.config.known is not None:
            self.gateway.news(self.config.known)
        self.discovery.start()
        # The saved list may be old: a moment is given for today's, but no start hangs on discovery.
        await wait(self.discovery.first, LIST_WAIT_S)
        await self.listener.start(*self.config.listen)

    def reload(self) -> None:
        """Reads the configuration again. Its addresses are followed; the rest holds until a restart."""
        try:
            config = load(self.environ)
        except ConfigError as error:
            log.error("the configuration in force stays: %s", error)
            return
        log.info("the configuration was read again")
        if replace(config, discovery=self.config.discovery, counter=self.config.counter, known=None,
                   seed=self.config.seed) != replace(self.config, known=None):  # fmt: skip
            log.warning("what changed besides the addresses of discovery and counter waits for a restart")
        self.discovery.move(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.move(config.counter)
        self.config = replace(self.config, discovery=config.discovery, counter=config.counter)

    async def leave(self) -> None:
        """A planned end: takes what still comes, finishes what is held, and is gone before the kill."""
        began = self.loop.time()
        await asyncio.sleep(ACCEPT_S)
        self.listener.stop()
        while self.listener.clients and self.loop.time() - began < LEAVE_S:
            await asyncio.sleep(0.02)
        self.gateway.close_all()
        await asyncio.sleep(LINGER_S)  # for the last replies to leave
        await self.close()

    async def close(self) -> None:
        """Closes all sockets."""
        self.listener.close()
        self.discovery.close()
        if self.counter is not None:
            self.counter.close()
        self.servers.close()
        await asyncio.sleep(0)


async def wait(event: asyncio.Event, seconds: float) -> None:
    """Waits for an event, but not for ever."""
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return


async def serve(config: Config, environ: dict[str, str], hangups: list[int]) -> None:
    """Runs the program in the loop that is running."""
    await Program(config, asyncio.get_running_loop(), environ=environ).run(hangups)


def main() -> int:
    """The exit status."""
    hangups: list[int] = []  # without a handler a SIGHUP would end the process, however early it comes
    signal.signal(signal.SIGHUP, lambda number, frame: hangups.append(number))
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogLimit())
    try:
        environ = dict(os.environ)
        config = load(environ)
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, environ, hangups))
    except OSError as error:
        print(f"glenchute: can't start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
