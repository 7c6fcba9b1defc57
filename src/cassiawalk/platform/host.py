"""Entry point that runs one host on the users' platform."""

import argparse
import asyncio
import collections.abc as cabc
import dataclasses
import os
import pathlib
import random
import signal
import sys

import eliot
import uvloop

from cassiawalk.clock import BootClock
from cassiawalk.clock import SystemClock
from cassiawalk.errors import CassiawalkError
from cassiawalk.errors import WireError
from cassiawalk.ingressnode.node import IngressNode
from cassiawalk.linelog import LineLog
from cassiawalk.platform import names
from cassiawalk.platform.codec import PlatformHeadCodec
from cassiawalk.platform.config import decode_config
from cassiawalk.platform.duties import PlatformDuties
from cassiawalk.platform.health import PlatformInquiry
from cassiawalk.platform.registrations import decode_registration
from cassiawalk.platform.reload import SettingsReload
from cassiawalk.platform.rollouts import decode_order
from cassiawalk.platform.rollouts import encode_status
from cassiawalk.platform.settings import PlatformSettings
from cassiawalk.platform.settings import load_settings
from cassiawalk.platform.settings import parse_address
from cassiawalk.platform.store import PlatformStore
from cassiawalk.settings import Address
from cassiawalk.storeview.source import PlatformSource
from cassiawalk.storeview.source import RolloutSource

METRICS_PORT = 9464
EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 64


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser."""
    parser = argparse.ArgumentParser(
        prog="python -m cassiawalk.platform", description="Serve one host on the users' platform."
    )
    parser.add_argument(
        "settings",
        nargs="?",
        type=pathlib.Path,
        help=f"settings file (JSON); by default the one that ${names.SETTINGS_ENV_VARIABLE} names",
    )
    parser.add_argument("--check-settings", action="store_true", help="check the settings and exit")
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=METRICS_PORT,
        help="port of the metrics",
    )
    parser.add_argument(
        "--announce-peer",
        metavar="IP:PORT",
        type=_address_argument,
        help="where other hosts reach this one, if ports are mapped on the way",
    )
    return parser


def main(argv: cabc.Sequence[str] | None = None) -> int:
    """Run until SIGTERM or SIGINT and return the exit status; SIGHUP reloads the settings."""
    args = build_parser().parse_args(argv)
    path = args.settings or pathlib.Path(os.environ.get(names.SETTINGS_ENV_VARIABLE, ""))
    try:
        cfg = _with_announced_peer(load_settings(path), args.announce_peer)
        if args.check_settings:
            print(f"{path}: the settings are complete and valid")
            return EXIT_OK
        uvloop.run(_serve(cfg, path, args.metrics_port))
    except CassiawalkError as exc:
        print(exc.format_message(), file=sys.stderr)
        return EXIT_USAGE
    except OSError as exc:
        print(f"the host can't start: {exc}", file=sys.stderr)
        return EXIT_FAILURE
    return EXIT_OK


def _address_argument(text: str) -> Address:
    try:
        return parse_address(text)
    except WireError as exc:
        raise argparse.ArgumentTypeError(exc.message) from None


def _with_announced_peer(cfg: PlatformSettings, announced: Address | None) -> PlatformSettings:
    if announced is None:
        return cfg
    profile = dataclasses.replace(cfg.profile, announced_peer_address=announced)
    return dataclasses.replace(cfg, profile=profile)


async def _serve(cfg: PlatformSettings, path: pathlib.Path, metrics_port: int) -> None:
    log = LineLog(fd=sys.stdout.fileno(), fields={"host": cfg.profile.host_id})
    eliot.add_destinations(log)
    await log.start()
    clock = SystemClock()
    store = PlatformStore(address=cfg.store_address)
    duties = None if cfg.duty_address is None else PlatformDuties(address=cfg.duty_address)
    node = IngressNode(
        profile=cfg.profile,
        source=_source(store, duties),
        codec=PlatformHeadCodec(),
        clock=clock,
        boot_clock=BootClock(),
        rng=random.Random(),
        metrics_port=metrics_port,
    )
    settings = SettingsReload(
        path=path, cfg=cfg, node=node, store=store, duties=duties, clock=clock
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(signal.SIGHUP, settings.reload)
    await settings.start()
    await node.app.start()
    eliot.log_message(
        message_type="host:started",
        failure_domain=cfg.profile.failure_domain,
        callers=str(cfg.profile.caller_address),
        store=cfg.store_address,
    )
    try:
        await stop.wait()
        eliot.log_message(message_type="host:draining", limit_s=cfg.profile.bounds.stop_s)
        await node.drain()
    finally:
        await settings.stop()
        await node.app.stop()
        eliot.log_message(message_type="host:stopped")
        await log.stop()


def _source(store: PlatformStore, duties: PlatformDuties | None) -> PlatformSource:
    return PlatformSource(
        records=store,
        log=store,
        duties=duties,
        config_stream=names.CONFIG_STREAM,
        config_key=names.CONFIG_KEY,
        upstream_stream=names.UPSTREAM_STREAM,
        host_stream=names.HOST_STREAM,
        suspect_stream=names.SUSPECT_STREAM,
        inquiry=PlatformInquiry(),
        decode_config=decode_config,
        decode_registration=decode_registration,
        rollouts=RolloutSource(
            state_stream=names.ROLLOUT_STREAM,
            status_stream=names.STATUS_STREAM,
            decode_order=decode_order,
            encode_status=encode_status,
        ),
    )
