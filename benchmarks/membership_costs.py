"""Measures the costs of the membership for host lists of several sizes.

``python -m benchmarks.membership_costs`` prints a table or, with ``--json``, JSON.
"""

import argparse
import asyncio
import collections.abc as cabc
import dataclasses
import gc
import json
import time
import tracemalloc

from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostList
from cassiawalk.clients import HostRole
from cassiawalk.clock import SystemClock
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import PoolName
from cassiawalk.membership import Membership
from cassiawalk.membership import rank
from cassiawalk.peer import StreamPart
from cassiawalk.peer import _frames
from cassiawalk.peer.feed import FeedUpdate
from cassiawalk.routing import UpstreamTable
from cassiawalk.wire import to_plain

SIZES = (24, 240, 2_400, 6_600)
ENTRY_SHARE = 1_000 / 6_600
FAILURE_DOMAINS = 18
REPEATS = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """The figures for one size of the host list.

    :param bytes_per_host: the memory of the membership and the upstream table.
    :param frame_bytes_per_host: the size of an encoded update that contains all entries.
    :param encode_us_per_host: the CPU time to encode this update, in microseconds.
    :param take_over_ms: the CPU time to replace all entries, in milliseconds.
    :param pollers_ms: the CPU time to determine the polling hosts, in milliseconds.
    :param heartbeat_us: the CPU time to encode an empty update, in microseconds.
    """

    hosts: int
    bytes_per_host: float
    frame_bytes_per_host: float
    encode_us_per_host: float
    take_over_ms: float
    pollers_ms: float
    heartbeat_us: float
    heartbeat_bytes: int


class FixedHosts(HostList):
    """A host list that never changes."""

    def __init__(self, entries: tuple[HostEntry, ...]) -> None:
        self._entries = entries

    async def hosts(self) -> tuple[HostEntry, ...] | None:
        """Return the list."""
        return self._entries


def make_hosts(count: int) -> tuple[HostEntry, ...]:
    """Return entry hosts and engines in the ratio of the design size, 1,000 in 6,600 hosts."""
    entries = []
    for index in range(count):
        is_entry = index < count * ENTRY_SHARE
        entries.append(
            HostEntry(
                host=HostId(f"host-{index:05d}"),
                role=HostRole.ENTRY if is_entry else HostRole.ENGINE,
                failure_domain=FailureDomain(f"domain-{index % FAILURE_DOMAINS:02d}"),
                address=f"10.{index >> 16}.{(index >> 8) & 255}.{index & 255}:8080",
                peer_address=f"10.{index >> 16}.{(index >> 8) & 255}.{index & 255}:8081",
                region=f"region-{index % 5}",
                pool=PoolName("" if is_entry else "models"),
            )
        )
    return tuple(entries)


def shortest_cpu_s(run: cabc.Callable[[], object], *, times: int = 1) -> float:
    """Return the shortest CPU time of a call in ``REPEATS`` rounds, in seconds.

    :param times: the calls in each round, over which the time is averaged.
    """
    shortest = float("inf")
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(times):
            run()
        shortest = min(shortest, (time.process_time() - began) / times)
    return shortest


async def measure(count: int) -> Cost:
    """Return the costs of a host list with ``count`` hosts."""
    gc.collect()
    tracemalloc.start()
    entries = make_hosts(count)
    membership = Membership(
        host=HostId("host-00000"), host_list=FixedHosts(entries), clock=SystemClock()
    )
    table = UpstreamTable(membership=membership, clock=SystemClock())
    await membership.refresh()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    update = FeedUpdate(entries=entries)
    frame = _frames.encode_frame(1, StreamPart(item=to_plain(update)))
    heartbeat_part = StreamPart(item=to_plain(FeedUpdate()))
    by_host = {entry.host: entry for entry in entries}

    def encode() -> bytes:
        return _frames.encode_frame(1, StreamPart(item=to_plain(update)))

    def heartbeat() -> bytes:
        return _frames.encode_frame(1, heartbeat_part)

    def replace_entries() -> None:
        membership.replace_entries(by_host)
        table.refresh()

    return Cost(
        hosts=count,
        bytes_per_host=held_bytes / count,
        frame_bytes_per_host=len(frame) / count,
        encode_us_per_host=1e6 * shortest_cpu_s(encode) / count,
        take_over_ms=1e3 * shortest_cpu_s(replace_entries),
        pollers_ms=1e3 * shortest_cpu_s(membership.pollers),
        heartbeat_us=1e6 * shortest_cpu_s(heartbeat, times=1000),
        heartbeat_bytes=len(heartbeat()),
    )


def main() -> None:
    """Print the costs for all sizes."""
    parser = argparse.ArgumentParser(description="Measure the costs of the membership.")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    costs = [dataclasses.asdict(asyncio.run(measure(size))) for size in SIZES]
    if args.json:
        print(json.dumps(costs, indent=2))
        return
    print("  ".join(f"{name:>20}" for name in costs[0]))
    for cost in costs:
        print("  ".join(f"{value:20.2f}" for value in cost.values()))
    names = [entry.host for entry in make_hosts(6_600)[:1000]]
    print(f"rank of 1,000 hosts: {1e3 * shortest_cpu_s(lambda: rank('key', names)):.2f} ms")


if __name__ == "__main__":
    main()
