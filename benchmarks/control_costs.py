"""Measures the costs of configuration: folding, the state, snapshots and the relay.

``python -m benchmarks.control_costs`` prints tables and JSON.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random
import statistics
import time
import tracemalloc
import typing as t

from cassiawalk.clients import Appended
from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostList
from cassiawalk.clients import HostRole
from cassiawalk.clients import LogEntry
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadBatch
from cassiawalk.clock import SystemClock
from cassiawalk.control import Command
from cassiawalk.control import ConfigState
from cassiawalk.control import ControlFollower
from cassiawalk.control import ObjectType
from cassiawalk.control import Operation
from cassiawalk.control import RelayNode
from cassiawalk.control import Verb
from cassiawalk.control.commands import FORMAT_VERSION
from cassiawalk.control.commands import records
from cassiawalk.control.decoding import decode_entry
from cassiawalk.control.fold import fold_entries
from cassiawalk.control.relay_messages import RelayEntries
from cassiawalk.control.relay_messages import RelayEntry
from cassiawalk.control.relay_messages import RelayHeartbeat
from cassiawalk.control.relay_messages import RelayHeartbeatReply
from cassiawalk.control.relay_messages import RelaySubscribe
from cassiawalk.control.snapshots import decode_state
from cassiawalk.control.snapshots import encode_state
from cassiawalk.control.tree import FAN_OUT
from cassiawalk.control.tree import TreeHost
from cassiawalk.control.tree import position_of
from cassiawalk.ids import CommandId
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import Revision
from cassiawalk.ids import new_uuid7
from cassiawalk.membership import Membership
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import PeerServer
from cassiawalk.peer import StreamPart
from cassiawalk.peer import _frames
from cassiawalk.peer import messages
from cassiawalk.settings import Address
from cassiawalk.sockets import bound_address
from cassiawalk.sockets import listen

SIZES = (100, 1000, 10_000)
MEASURED_COMMANDS = 500
VERDICTS = 4400
OPERATIONS_PER_COMMAND = 100
CHILDREN = FAN_OUT
IDLE_S = 20
RELAYED_COMMANDS = 200
CHANGES_PER_DAY = 16_000
DAY_S = 86_400
HOSTS = 1000
REGIONS = 5
CROSS_REGION_S = 0.15
IN_REGION_S = 0.002
LOG_READ_S = 0.05
SEED = 20261203


class _MemoryLog(LogService):
    """A log service with one stream, which is stored in memory."""

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.changed = asyncio.Event()

    async def append(self, *, stream: str, payload: bytes) -> Appended:
        offset = Offset(len(self.entries))
        self.entries.append(LogEntry(offset=offset, payload=payload))
        self.changed.set()
        self.changed = asyncio.Event()
        return Appended(offset=offset)

    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadBatch:
        if wait_s and len(self.entries) <= start:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        return ReadBatch(
            entries=tuple(self.entries[start : start + limit]),
            first_offset=Offset(0),
            end_offset=Offset(len(self.entries)),
        )


class _FixedHosts(HostList):
    def __init__(self, entries: tuple[HostEntry, ...]) -> None:
        self._entries = entries

    async def hosts(self) -> tuple[HostEntry, ...]:
        return self._entries


def _command(number: int, *operations: Operation) -> Command:
    return Command(
        command_id=CommandId(new_uuid7(wall_s=1_800_000_000 + number / 1000)),
        operator="asha",
        operations=operations,
        statement="set workspace w17 with share = 2.5 at revision 12345",
        issued_s=1_800_000_000.0,
    )


def _workspace(number: int, verb: Verb, **fields: object) -> Operation:
    return Operation(
        verb=verb, object_type=ObjectType.WORKSPACE, name=f"workspace-{number}", fields=fields
    )


def _entry(offset: int, command: Command) -> LogEntry:
    return LogEntry(offset=Offset(offset), payload=records.encode([command]))


def _build_state(size: int, *, verdicts: int) -> ConfigState:
    state = ConfigState()
    entries: list[LogEntry] = []
    for first in range(0, size, OPERATIONS_PER_COMMAND):
        operations = [
            _workspace(n, Verb.CREATE, token_sha256=f"{n:064x}")
            for n in range(first, min(size, first + OPERATIONS_PER_COMMAND))
        ]
        entries.append(_entry(len(entries), _command(len(entries), *operations)))
    for _ in range(verdicts):
        operation = _workspace(0, Verb.SET, share=2.0)
        entries.append(_entry(len(entries), _command(len(entries), operation)))
    return fold_entries(state, [decode_entry(entry) for entry in entries])


def measure_fold(size: int) -> dict[str, float]:
    """Return the costs with ``size`` workspaces and a full table of verdicts."""
    rng = random.Random(SEED)
    state = _build_state(size, verdicts=VERDICTS)
    start = state.through_offset + 1
    commands = [
        _command(start + n, _workspace(rng.randrange(size), Verb.SET, share=1.0 + n))
        for n in range(MEASURED_COMMANDS)
    ]
    entries = [_entry(start + n, command) for n, command in enumerate(commands)]
    began = time.process_time()
    single = state
    for entry in entries:
        single = fold_entries(single, [decode_entry(entry)])
    single_s = time.process_time() - began
    began = time.process_time()
    batched = fold_entries(state, [decode_entry(entry) for entry in entries])
    batch_s = time.process_time() - began
    if single != batched:
        raise AssertionError("folding one entry at a time and in a batch gave different states")
    began = time.process_time()
    data = encode_state(state)
    encode_s = time.process_time() - began
    began = time.process_time()
    decode_state(data, version=FORMAT_VERSION)
    decode_s = time.process_time() - began
    tracemalloc.start()
    restored = decode_state(data, version=FORMAT_VERSION)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    if restored != state:
        raise AssertionError("the decoded snapshot differs from the encoded state")
    return {
        "objects": size,
        "fold_us_one_by_one": single_s / MEASURED_COMMANDS * 1e6,
        "fold_us_in_a_batch": batch_s / MEASURED_COMMANDS * 1e6,
        "state_bytes": held_bytes,
        "snapshot_bytes": len(data),
        "encode_ms": encode_s * 1e3,
        "decode_ms": decode_s * 1e3,
    }


def message_bytes() -> dict[str, int]:
    """Return the sizes of the relay's frames in bytes."""
    payload = records.encode([_command(1, _workspace(1, Verb.SET, share=2.0))])
    entries = RelayEntries(
        after=Offset(99_999), entries=(RelayEntry(offset=Offset(100_000), payload=payload),)
    )
    reply = RelayHeartbeatReply(
        through_offset=Offset(100_000),
        revision=Revision(90_000),
        subscribed=True,
        age_s=1.2345,
        contact_s=1.2345,
    )
    part = StreamPart(item=messages.to_plain(entries))
    return {
        "beat": len(_frames.encode_frame(100_000, RelayHeartbeat(host=HostId("host-1000")))),
        "beat_reply": len(_frames.encode_frame(100_000, reply)),
        "command": len(_frames.encode_frame(100_000, part)),
    }


@dataclasses.dataclass(kw_only=True)
class _Relay:
    """A root and its children, which run in this process and communicate over real sockets."""

    log: _MemoryLog
    followers: list[ControlFollower]
    components: list[t.Any]


async def _start_relay() -> _Relay:
    clock, log = SystemClock(), _MemoryLog()
    names = [HostId(f"host-{n}") for n in range(CHILDREN + 3)]
    socks = {name: listen(Address(ip="127.0.0.1", port=0)) for name in names}
    entries = tuple(
        HostEntry(
            host=name,
            role=HostRole.ENTRY,
            failure_domain=FailureDomain("fd"),
            address="",
            peer_address=bound_address(socks[name]),
        )
        for name in names
    )
    relay = _Relay(log=log, followers=[], components=[])
    for name in names:
        membership = Membership(host=name, host_list=_FixedHosts(entries), clock=clock)
        links = PeerLinks(membership=membership, secret="s")
        follower = ControlFollower(log=log, clock=clock)
        node = RelayNode(
            host=name,
            region="",
            follower=follower,
            membership=membership,
            links=links,
            clock=clock,
            rng=random.Random(name),
        )
        server = PeerServer(sock=socks[name], secret="s")
        server.handle(RelayHeartbeat, node.server.heartbeat)
        server.handle_stream(RelaySubscribe, node.server.serve)
        relay.followers.append(follower)
        relay.components += [membership, links, server, node]
    for component in relay.components:
        await component.start()
    return relay


async def measure_relay() -> dict[str, float]:
    """Return the CPU time per host for heartbeats and for a command, and the delay of one hop.

    CPU time covers both ends of a connection, as all hosts run in this process.
    """
    relay = await _start_relay()
    try:
        await relay.log.append(stream="control", payload=records.encode([_command(0)]))
        await _wait_all(relay, 0)
        await asyncio.sleep(2)
        began = time.process_time()
        await asyncio.sleep(IDLE_S)
        idle_s = time.process_time() - began
        delays = []
        began = time.process_time()
        for number in range(1, RELAYED_COMMANDS + 1):
            operation = Operation(
                verb=Verb.PUT, object_type=ObjectType.DRAIN, name="a", fields={"reason": "x"}
            )
            sent = time.monotonic()
            await relay.log.append(
                stream="control", payload=records.encode([_command(number, operation)])
            )
            await _wait_all(relay, number)
            delays.append(time.monotonic() - sent)
        busy_s = time.process_time() - began
    finally:
        for component in reversed(relay.components):
            await component.stop()
    hosts = len(relay.followers)
    return {
        "hosts": hosts,
        "idle_us_per_host_and_second": idle_s / IDLE_S / hosts * 1e6,
        "command_us_per_host": busy_s / RELAYED_COMMANDS / hosts * 1e6,
        "hop_ms_median": statistics.median(delays) * 1e3,
        "hop_ms_worst": max(delays) * 1e3,
    }


async def _wait_all(relay: _Relay, through: int) -> None:
    for follower in relay.followers:
        await follower.wait_for(lambda state: state.through_offset >= through)


def compute_propagation(hop_s: float) -> dict[str, float]:
    """Return the estimated time until a command is in force on all hosts.

    Each hop takes the longest measured time of a whole fan-out and the one-way delay between hosts
    of a region. The root reads the log once, which may be in another region.

    :param hop_s: the longest measured time of a fan-out, in seconds.
    """
    hosts = [TreeHost(host=HostId(f"h{n}"), region=f"r{n % REGIONS}") for n in range(HOSTS)]
    parents = {}
    for host in hosts:
        position = position_of(host, hosts)
        parents[host.host] = None if position.is_root else position.candidates[0]
    depths = []
    for name in parents:
        depth, parent = 0, parents[name]
        while parent is not None:
            depth, parent = depth + 1, parents[parent]
        depths.append(depth)
    deepest = max(depths)
    return {
        "nodes": HOSTS,
        "roots": sum(parent is None for parent in parents.values()),
        "depth": deepest,
        "in_force_everywhere_s": LOG_READ_S + CROSS_REGION_S + deepest * (hop_s + IN_REGION_S),
    }


def main() -> None:
    """Measure, print the results and write them if ``--json`` names a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=pathlib.Path, help="where to write the results")
    args = parser.parse_args()
    folds = [measure_fold(size) for size in SIZES]
    relay = asyncio.run(measure_relay())
    result = {
        "seed": SEED,
        "fold": folds,
        "bytes": message_bytes(),
        "relay": relay,
        "propagation": compute_propagation(relay["hop_ms_worst"] / 1e3),
    }
    frames = result["bytes"]
    assert isinstance(frames, dict)
    heartbeat_bytes = frames["beat"] + frames["beat_reply"]
    command_bytes_per_s = frames["command"] * CHANGES_PER_DAY / DAY_S
    result["inner_node_bytes_per_s"] = (CHILDREN + 1) * (heartbeat_bytes + command_bytes_per_s)
    for row in folds:
        print("  ".join(f"{key}={value:,.0f}" for key, value in row.items()))
    for key in ("bytes", "relay", "propagation", "inner_node_bytes_per_s"):
        print(key, result[key])
    text = json.dumps(result, indent=2)
    print(text)
    if args.json is not None:
        args.json.write_text(text + "\n")


if __name__ == "__main__":
    main()
