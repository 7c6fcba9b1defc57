"""Entry point of the daemon ``cassiawalkd``."""

import argparse
import asyncio
import collections.abc as cabc
import pathlib
import random
import signal
import sys

import eliot
import uvloop

from cassiawalk.clock import SystemClock
from cassiawalk.errors import CassiawalkError
from cassiawalk.node import Node
from cassiawalk.settings import Settings
from cassiawalk.settings import load_settings

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 64


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(
        prog="cassiawalkd", description="Serve callers' requests from reclaimable upstreams."
    )
    parser.add_argument("settings", type=pathlib.Path, help="settings file (INI)")
    parser.add_argument("--check-settings", action="store_true", help="check the settings and exit")
    return parser


def main(argv: cabc.Sequence[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT and return its exit status."""
    args = build_parser().parse_args(argv)
    try:
        cfg = load_settings(args.settings)
        if args.check_settings:
            print(f"{args.settings}: the settings are complete and valid")
            return EXIT_OK
        eliot.to_file(sys.stdout)
        uvloop.run(_serve(cfg))
    except CassiawalkError as exc:
        print(exc.format_message(), file=sys.stderr)
        return EXIT_USAGE
    except OSError as exc:
        print(f"cassiawalkd can't start: {exc}", file=sys.stderr)
        return EXIT_FAILURE
    return EXIT_OK


async def _serve(cfg: Settings) -> None:
    node = Node(cfg=cfg, clock=SystemClock(), rng=random.Random())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await node.app.start()
    eliot.log_message(message_type="daemon:listening", host=cfg.host_id, **node.addresses)
    sys.stdout.flush()
    try:
        await stop.wait()
        eliot.log_message(message_type="daemon:draining", limit_s=cfg.drain_limit_s)
        await _drain(node, cfg.drain_limit_s)
    finally:
        await node.app.stop()
    eliot.log_message(message_type="daemon:stopped")


async def _drain(node: Node, limit_s: float) -> None:
    try:
        async with asyncio.timeout(limit_s):
            await node.app.drain()
    except TimeoutError:
        eliot.log_message(
            message_type="daemon:drain-limit", unfinished=len(node.store.unfinished())
        )


if __name__ == "__main__":
    sys.exit(main())
