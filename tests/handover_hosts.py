"""Hosts in one process: the real handover code over fake links, upstreams and a fake host list."""

import asyncio
import collections.abc as cabc
import contextlib
import dataclasses
import itertools
import typing as t

import cbor2

from cassiawalk.caller.attach import AttachService
from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostList
from cassiawalk.clients import HostRole
from cassiawalk.clients.cloud import ReclaimNotice
from cassiawalk.clock import Clock
from cassiawalk.clock import LoopClock
from cassiawalk.clock import SystemClock
from cassiawalk.control.state import Kind
from cassiawalk.control.state import KindMode
from cassiawalk.control.state import PoolType
from cassiawalk.dispatch import Dispatcher
from cassiawalk.dispatch.runner import Runner
from cassiawalk.handover import AnnounceCall
from cassiawalk.handover import DrainController
from cassiawalk.handover import HandoverOffer
from cassiawalk.handover import HandoverReceiver
from cassiawalk.handover import HandoverSender
from cassiawalk.handover import HandoverWithdrawal
from cassiawalk.handover import Locator
from cassiawalk.handover import OutcomeHandover
from cassiawalk.handover import TargetSelector
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.membership import Membership
from cassiawalk.metrics import Metrics
from cassiawalk.peer import AttachCall
from cassiawalk.peer import LocateCall
from cassiawalk.peer import NodeStatusCall
from cassiawalk.peer import NodeStatusReply
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import StreamPart
from cassiawalk.peer import messages
from cassiawalk.requests import Ended
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestState
from cassiawalk.requests import RequestStore
from cassiawalk.requests import Text
from cassiawalk.results import Refusal
from cassiawalk.wire import load

WORKSPACE = WorkspaceName("family")
TOKEN_INTERVAL_S = 0.02


class StaticHosts(HostList):
    """A host list that tests can change."""

    def __init__(self) -> None:
        self.entries: dict[HostId, HostEntry] = {}

    async def hosts(self) -> tuple[HostEntry, ...]:
        return tuple(self.entries.values())


class FakeCloud:
    """A cloud API that returns the notices set by tests."""

    def __init__(self) -> None:
        self.sent_notices: list[ReclaimNotice] = []

    async def notices(self, *, after: int, wait_s: float) -> tuple[ReclaimNotice, ...]:
        return tuple(self.sent_notices)


class OpenGate:
    """An admission gate that admits every request."""

    def check(self, record: RequestRecord) -> Refusal | None:
        return None


class EmptyRecorder:
    """An outcome recorder without pending records."""

    pending: tuple[()] = ()


class TokenRunner(Runner):
    """Adds tokens that state their index and host, so that checks detect a mixed-up answer."""

    def __init__(self, *, host: HostId, clock: Clock) -> None:
        self._host = host
        self._clock = clock
        self.executing: set[str] = set()

    async def run(self, record: RequestRecord) -> Refusal | None:
        record.attempt += 1
        record.state = RequestState.RUNNING
        self.executing.add(record.request_id)
        try:
            while record.tokens < record.kind.max_tokens:
                await self._clock.sleep(TOKEN_INTERVAL_S)
                record.add(Text(count=1, text=f" {record.tokens}@{self._host}"))
        finally:
            self.executing.discard(record.request_id)
        record.add(Ended(tokens=record.tokens))
        return None


@dataclasses.dataclass(kw_only=True)
class LinkFaults:
    """Faults to inject: lost replies by host and message type, and dead hosts."""

    lose_replies: set[tuple[str, type]] = dataclasses.field(default_factory=set)
    dead: set[str] = dataclasses.field(default_factory=set)


class FakeLinks:
    """Peer links that call other hosts' handlers, encoding each message as on the wire."""

    def __init__(self, *, cluster: "Cluster", host: HostId) -> None:
        self._cluster = cluster
        self._host = host

    async def call(self, host: HostId, message: object, reply: type, *, timeout_s: float) -> t.Any:
        await asyncio.sleep(0.001)
        faults = self._cluster.faults
        if host in faults.dead or self._host in faults.dead or host not in self._cluster.hosts:
            return PeerFailure(reason="refused", sent=False)
        answer = await self._cluster.hosts[host].handle(_copy(message))
        if (host, type(message)) in faults.lose_replies or host in faults.dead:
            await asyncio.sleep(timeout_s)
            return PeerFailure(reason="lost", sent=True)
        return _copy(answer)

    async def stream(self, host: HostId, message: object) -> cabc.AsyncGenerator[t.Any, None]:
        await asyncio.sleep(0.001)
        if host in self._cluster.faults.dead or host not in self._cluster.hosts:
            yield PeerFailure(reason="refused", sent=False)
            return
        assert isinstance(message, AttachCall)
        parts = self._cluster.hosts[host].attachments.serve(_copy(message))
        async for part in parts:
            if host in self._cluster.faults.dead:
                yield PeerFailure(reason="connection lost", sent=True)
                return
            assert isinstance(part, StreamPart)
            yield _copy(part).item


def _copy(message: t.Any) -> t.Any:
    return messages.from_plain(load(cbor2.dumps(messages.to_plain(message))))


class FakeHost:
    """The components of one host that take part in handovers."""

    def __init__(self, *, name: str, cluster: "Cluster") -> None:
        self.host = HostId(name)
        clock = cluster.clock
        links: t.Any = FakeLinks(cluster=cluster, host=self.host)
        self.membership = Membership(host=self.host, host_list=cluster.host_list, clock=clock)
        self.store = RequestStore(clock=clock)
        self.runner = TokenRunner(host=self.host, clock=clock)
        self.once = TokenRunner(host=self.host, clock=clock)
        gate: t.Any = OpenGate()
        self.dispatcher = Dispatcher(
            gate=gate,
            runners={PoolType.ENGINE: self.runner, PoolType.PLAIN: self.runner},
            once_runner=self.once,
            store=self.store,
            clock=clock,
            metrics=Metrics(clock=SystemClock()),
        )
        self.locator = Locator(host=self.host, membership=self.membership, links=links, clock=clock)
        self.receiver = HandoverReceiver(
            host=self.host,
            dispatcher=self.dispatcher,
            store=self.store,
            locator=self.locator,
            clock=clock,
        )
        self.targets = TargetSelector(host=self.host, membership=self.membership, links=links)
        self.sender = HandoverSender(
            host=self.host,
            dispatcher=self.dispatcher,
            targets=self.targets,
            links=links,
            clock=clock,
        )
        cloud: t.Any = cluster.cloud
        recorder: t.Any = EmptyRecorder()
        self.drain = DrainController(
            host=self.host,
            membership=self.membership,
            cloud=cloud,
            dispatcher=self.dispatcher,
            store=self.store,
            sender=self.sender,
            receiver=self.receiver,
            targets=self.targets,
            outcomes=OutcomeHandover(
                host=self.host,
                dispatcher=self.dispatcher,
                recorder=recorder,
                targets=self.targets,
                links=links,
                clock=clock,
            ),
            clock=clock,
            limit_s=20.0,
            notice_s=4.0,
        )
        self.attachments = AttachService(
            host=self.host, store=self.store, links=links, locator=self.locator
        )
        self.components = [self.membership, self.dispatcher, self.receiver, self.drain]

    async def start(self) -> None:
        for component in self.components:
            await component.start()

    async def stop(self) -> None:
        for component in reversed(self.components):
            await component.stop()

    async def handle(self, message: t.Any) -> object:
        """Pass a peer's call to its handler, as a real node does."""
        handlers: dict[type, cabc.Callable[[t.Any], cabc.Awaitable[object]]] = {
            AnnounceCall: self.locator.handle_announce,
            LocateCall: self.locator.handle_locate,
            HandoverOffer: self.receiver.handle_offer,
            HandoverWithdrawal: self.receiver.handle_withdrawal,
            NodeStatusCall: self._status,
        }
        return await handlers[type(message)](message)

    async def _status(self, _: NodeStatusCall) -> NodeStatusReply:
        return NodeStatusReply(
            host=self.host,
            revision=0,
            freshness="fresh",
            draining=self.dispatcher.draining,
            running=len(self.store.unfinished()),
            waiting=0,
        )


class Cluster:
    """Hosts with their failure domains; by default ``a`` to ``d``, two to a failure domain."""

    def __init__(self, domains: dict[str, str] | None = None) -> None:
        self.clock = LoopClock()
        self.host_list = StaticHosts()
        self.cloud = FakeCloud()
        self.faults = LinkFaults()
        self.hosts: dict[str, FakeHost] = {}
        self._numbers = itertools.count(1)
        self._domains = domains or {"a": "north", "b": "north", "c": "south", "d": "south"}

    async def __aenter__(self) -> "Cluster":
        for name, domain in self._domains.items():
            self.host_list.entries[HostId(name)] = HostEntry(
                host=HostId(name),
                role=HostRole.ENTRY,
                failure_domain=FailureDomain(domain),
                address="",
                peer_address=name,
            )
        for name in self._domains:
            self.hosts[name] = FakeHost(name=name, cluster=self)
            await self.hosts[name].start()
        return self

    async def __aexit__(self, *args: object) -> None:
        for host in self.hosts.values():
            await host.stop()

    def kill(self, name: str) -> None:
        """End a host as ``kill -9`` does: it no longer answers or runs anything."""
        self.faults.dead.add(name)
        for host in self.hosts.values():
            host.membership.mark_unreachable(HostId(name))
        for component in self.hosts[name].components:
            for task in list(component.__dict__.get("_tasks", ())):
                task.cancel()

    def submit(
        self,
        name: str,
        *,
        tokens: int = 50,
        mode: KindMode = KindMode.MUST_ARRIVE,
        workspace: WorkspaceName = WORKSPACE,
    ) -> RequestRecord:
        """Accept a request at a host."""
        host = self.hosts[name]
        record = RequestRecord(
            request_id=RequestId(f"{next(self._numbers):08d}.{host.host}"),
            workspace=workspace,
            service=ServiceName("enquiries"),
            kind_name=KindName("summary"),
            kind=Kind(mode=mode, max_tokens=tokens),
            pool=PoolName("models"),
            body=b"{}",
            prompt="the dossier",
            deadline_s=self.clock.wall() + 600,
            accepted_at=self.clock.monotonic(),
        )
        assert host.dispatcher.submit(record, PoolType.ENGINE) is None
        return record

    def live(self) -> list[str]:
        """Return the hosts that are not dead."""
        return [name for name in self.hosts if name not in self.faults.dead]

    def running(self, request_id: str) -> list[str]:
        """Return the live hosts that are executing a request."""
        return [name for name in self.live() if request_id in self.hosts[name].runner.executing]


@contextlib.asynccontextmanager
async def running_cluster(domains: dict[str, str] | None = None) -> cabc.AsyncIterator[Cluster]:
    """Return running hosts."""
    async with Cluster(domains) as running:
        yield running
