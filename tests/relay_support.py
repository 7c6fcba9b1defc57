"""Many relay nodes in one event loop on virtual time, with links that can be cut."""

import asyncio
import random
import typing as t

from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostList
from cassiawalk.clients import HostRole
from cassiawalk.clients import LogService
from cassiawalk.clients import ReadFailed
from cassiawalk.clients.log import AppendOutcome
from cassiawalk.clients.log import ReadOutcome
from cassiawalk.clock import LoopClock
from cassiawalk.control import CommandPublisher
from cassiawalk.control import ConfigState
from cassiawalk.control import ControlFollower
from cassiawalk.control import Freshness
from cassiawalk.control import Housekeeper
from cassiawalk.control import RelayNode
from cassiawalk.control.relay_messages import RelayHeartbeat
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.ids import Revision
from cassiawalk.membership import Membership
from cassiawalk.peer import PeerFailure
from cassiawalk.wire import from_plain
from cassiawalk.wire import to_plain
from tests.control_support import MemoryLog

LINK_DELAY_S = 0.03


class HostLog(LogService):
    """One host's connection to the log; ``cut`` interrupts it."""

    def __init__(self, log: MemoryLog) -> None:
        self.log = log
        self.cut = False
        self.reads = 0

    async def append(self, *, stream: str, payload: bytes) -> AppendOutcome:
        return await self.log.append(stream=stream, payload=payload)

    async def read(
        self, *, stream: str, start: Offset, limit: int, wait_s: float = 0.0
    ) -> ReadOutcome:
        self.reads += 1
        if self.cut:
            await asyncio.sleep(1.0)
            return ReadFailed(reason="cut off")
        outcome = await self.log.read(stream=stream, start=start, limit=limit, wait_s=wait_s)
        return ReadFailed(reason="cut off") if self.cut else outcome


class FakeHostList(HostList):
    """A host list in memory."""

    def __init__(self) -> None:
        self.entries: dict[str, HostEntry] = {}

    async def hosts(self) -> tuple[HostEntry, ...]:
        return tuple(self.entries.values())


class FakeLinks:
    """One host's links to its peers."""

    def __init__(self, fleet: "RelayFleet", host: str) -> None:
        self._fleet = fleet
        self._host = host
        self.reply_delay_s = 0.0

    async def call(self, host: str, message: t.Any, reply: type, *, timeout_s: float) -> t.Any:
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(LINK_DELAY_S)
                await self._wait_open(host)
                assert isinstance(message, RelayHeartbeat)
                answer = await self._fleet.nodes[host].relay.server.heartbeat(message)
                await asyncio.sleep(LINK_DELAY_S + self.reply_delay_s)
                await self._wait_open(host)
                return from_plain(reply, to_plain(answer))
        except (TimeoutError, KeyError) as exc:
            return PeerFailure(reason=repr(exc), sent=True)

    async def stream(self, host: str, message: t.Any) -> t.AsyncGenerator[t.Any, None]:
        await asyncio.sleep(LINK_DELAY_S)
        await self._wait_open(host)
        if host not in self._fleet.nodes:
            yield PeerFailure(reason="departed", sent=False)
            return
        parts = self._fleet.nodes[host].relay.server.serve(message)
        try:
            async for part in parts:
                await asyncio.sleep(LINK_DELAY_S)
                await self._wait_open(host)
                if host not in self._fleet.nodes:
                    return
                yield part.item
        finally:
            await parts.aclose()

    async def _wait_open(self, host: str) -> None:
        while self._fleet.is_cut(self._host, host):
            await asyncio.sleep(0.1)


class SimNode:
    """The relay components of one host."""

    def __init__(self, fleet: "RelayFleet", host: str, region: str) -> None:
        self.host = HostId(host)
        clock = LoopClock()
        self.log = HostLog(fleet.log)
        self.membership = Membership(host=self.host, host_list=fleet.entries, clock=clock)
        self.follower = ControlFollower(
            log=self.log, clock=clock, outage_bound_s=fleet.outage_bound_s
        )
        self.links = FakeLinks(fleet, host)
        self.publisher = CommandPublisher(log=self.log, follower=self.follower, clock=clock)
        self.relay = RelayNode(
            host=self.host,
            region=region,
            follower=self.follower,
            membership=self.membership,
            links=t.cast(t.Any, self.links),
            clock=clock,
            rng=random.Random(host),
        )
        self.housekeeper = Housekeeper(
            host=self.host,
            log=self.log,
            follower=self.follower,
            publisher=self.publisher,
            membership=self.membership,
            clock=clock,
            every_records=8,
        )
        self.follower.add_listener(fleet.check)
        self.history: list[ConfigState] = []
        self.follower.add_listener(self.history.append)

    async def start(self) -> None:
        await self.membership.start()
        await self.relay.start()
        await self.housekeeper.start()

    async def stop(self) -> None:
        for component in (self.housekeeper, self.relay, self.follower, self.membership):
            await component.stop()


class RelayFleet:
    """All hosts; checks that the states of different hosts at the same offset are equal."""

    def __init__(self, *, outage_bound_s: float = 3600.0) -> None:
        self.outage_bound_s = outage_bound_s
        self.log = MemoryLog()
        self.entries = FakeHostList()
        self.nodes: dict[str, SimNode] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.cut_hosts: set[str] = set()
        self.by_offset: dict[Offset, ConfigState] = {}

    async def __aenter__(self) -> "RelayFleet":
        return self

    async def __aexit__(self, *args: object) -> None:
        for node in self.nodes.values():
            await node.stop()

    def is_cut(self, one: str, other: str) -> bool:
        return bool({one, other} & self.cut_hosts) or frozenset({one, other}) in self.cut_pairs

    async def add(self, host: str, *, region: str = "", listed: bool = True) -> SimNode:
        node = SimNode(self, host, region)
        self.nodes[host] = node
        if listed:
            self.entries.entries[host] = HostEntry(
                host=HostId(host),
                role=HostRole.ENTRY,
                failure_domain=FailureDomain(f"fd-{region}"),
                address="",
                region=region,
                peer_address=host,
            )
        await node.start()
        return node

    async def add_many(self, count: int, *, regions: int = 1) -> None:
        for index in range(count):
            await self.add(f"host-{index}", region=f"region-{index % regions}")

    async def remove(self, host: str) -> None:
        await self.nodes.pop(host).stop()

    async def wait_revision(self, revision: int, *hosts: str, within_s: float) -> None:
        async with asyncio.timeout(within_s):
            for host in hosts or tuple(self.nodes):
                await self.nodes[host].follower.wait_for(lambda state: state.revision >= revision)

    async def wait_freshness(self, freshness: Freshness, *hosts: str, within_s: float) -> None:
        async with asyncio.timeout(within_s):
            for host in hosts or tuple(self.nodes):
                while self.nodes[host].follower.freshness is not freshness:
                    await asyncio.sleep(0.1)

    def check(self, state: ConfigState) -> None:
        assert self.by_offset.setdefault(state.through_offset, state) == state

    def check_histories(self) -> None:
        for node in self.nodes.values():
            revisions = [Revision(0), *(state.revision for state in node.history)]
            assert revisions == sorted(revisions)
            for state in node.history:
                assert self.by_offset[state.through_offset] == state
