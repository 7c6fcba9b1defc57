"""Measures what idle host processes cost on the stand-ins of the users' platform.

``python -m benchmarks.idle_fleet`` prints, for each number of hosts, the processor time of a host
in ms a second (user and system time of its process) and the calls of the store a second.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import statistics
import tempfile
import typing as t

from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import wait_until

UPSTREAMS = 60
RENEWAL_INTERVAL_S = 1.2
READY_LIMIT_S = 120.0
SETTLE_S = 8.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FIELDS_BEFORE_TIMES = 11  # in /proc/PID/stat, after the command's name


def _processor_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    user, system = fields[FIELDS_BEFORE_TIMES : FIELDS_BEFORE_TIMES + 2]
    return (int(user) + int(system)) / TICKS_PER_S


async def _renew_upstreams(fleet: PlatformFleet) -> None:
    """Write the entries of upstreams that nobody calls, as their processes would."""
    sequence = 0
    while True:
        sequence += 1
        for number in range(UPSTREAMS):
            entry = {
                "service": "models",
                "address": f"127.0.0.1:{number + 1}",
                "zone": f"domain-{number % 6}",
                "slots": 32,
                "state": "ready",
                "sequence": sequence,
                "version": "v1",
                "cold_remaining_ms": 0,
                "born": 1,
            }
            await fleet.store.put("keyed.servers", f"u-{number}", entry)
        await asyncio.sleep(RENEWAL_INTERVAL_S)


async def measure(hosts: int, duration_s: float) -> dict[str, t.Any]:
    """Return the figures of one idle fleet."""
    with tempfile.TemporaryDirectory() as directory:
        async with PlatformFleet(pathlib.Path(directory), bounds={"usage_window_s": 5}) as fleet:
            renewing = asyncio.ensure_future(_renew_upstreams(fleet))
            for _ in range(hosts):
                await fleet.add_host()
            for host in fleet.hosts:
                await wait_until(host.ready, READY_LIMIT_S)
            await asyncio.sleep(SETTLE_S)
            pids = [host.process.pid for host in fleet.hosts]
            before = [_processor_s(pid) for pid in pids]
            calls_before = fleet.store.calls.total()
            await asyncio.sleep(duration_s)
            spent = [_processor_s(pid) - first for pid, first in zip(pids, before, strict=True)]
            calls = fleet.store.calls.total() - calls_before
            renewing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await renewing
    ms = sorted(1000 * found / duration_s for found in spent)
    return {
        "hosts": hosts,
        "mean_ms": round(statistics.fmean(ms), 1),
        "median_ms": round(statistics.median(ms), 1),
        "most_ms": round(ms[-1], 1),
        "store_calls_per_s": round(calls / duration_s, 1),
    }


def main() -> None:
    """Print the figures of each number of hosts as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.idle_fleet", description=__doc__)
    parser.add_argument(
        "--hosts", type=int, nargs="+", default=[10, 30], help="numbers of host processes"
    )
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="how long each fleet is measured"
    )
    args = parser.parse_args()
    for hosts in args.hosts:
        print(json.dumps(asyncio.run(measure(hosts, args.seconds))), flush=True)


if __name__ == "__main__":
    main()
