"""Fakes of the interfaces around routing and dispatch, and a harness that uses them."""

import asyncio
import collections.abc as cabc
import random
import typing as t

from cassiawalk.admission import Scheduler
from cassiawalk.clients import CallAnswered
from cassiawalk.clients import CallFailed
from cassiawalk.clients import CallOutcome
from cassiawalk.clients import CloudApi
from cassiawalk.clients import Engine
from cassiawalk.clients import EngineEvent
from cassiawalk.clients import EngineRequest
from cassiawalk.clients import Finished
from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostList
from cassiawalk.clients import HostRole
from cassiawalk.clients import Interrupted
from cassiawalk.clients import PlainService
from cassiawalk.clients import ReclaimNotice
from cassiawalk.clients import ServiceCall
from cassiawalk.clients import Tokens
from cassiawalk.clients.cloud import HostStarted
from cassiawalk.clients.cloud import MachineOffer
from cassiawalk.clients.cloud import StartRefused
from cassiawalk.clients.engine import EngineNotice
from cassiawalk.clients.engine import EngineOrder
from cassiawalk.clients.engine import InterruptReason
from cassiawalk.clients.engine import OrderOutcome
from cassiawalk.clock import LoopClock
from cassiawalk.control.state import Kind
from cassiawalk.control.state import KindMode
from cassiawalk.crashes import CrashGuard
from cassiawalk.crashes import IsolationLeases
from cassiawalk.crashes import QuarantinePublisher
from cassiawalk.dispatch import RetryPolicy
from cassiawalk.dispatch.call import CallRunner
from cassiawalk.dispatch.connector import Connector
from cassiawalk.dispatch.migrator import StreamMigrator
from cassiawalk.dispatch.stream import StreamRunner
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import HostId
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.membership import LeavingSource
from cassiawalk.membership import Membership
from cassiawalk.metrics import Metrics
from cassiawalk.peer import MembershipFeed
from cassiawalk.peer import Note
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic
from cassiawalk.peer import PeerLinks
from cassiawalk.requests import RequestRecord
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView

POOL = PoolName("models")
TOKEN_S = 0.02


def entry(name: str, *, domain: str = "north", address: str = "") -> HostEntry:
    """Return an engine's entry in the host list."""
    return HostEntry(
        host=HostId(name),
        role=HostRole.ENGINE,
        failure_domain=FailureDomain(domain),
        address=address or f"{name}:1",
        pool=POOL,
    )


class FakeHostList(HostList):
    """A host list that tests change; None stands for an outage."""

    def __init__(self) -> None:
        self.listed: tuple[HostEntry, ...] | None = ()

    async def hosts(self) -> tuple[HostEntry, ...] | None:
        return self.listed


class FakeCloud(CloudApi):
    """A cloud that sends no notices and has no machines to offer."""

    async def notices(self, *, after: int, wait_s: float) -> tuple[ReclaimNotice, ...] | None:
        await asyncio.sleep(wait_s)
        return ()

    async def offers(self) -> tuple[MachineOffer, ...] | None:
        return ()

    async def start_host(self, offer: MachineOffer) -> HostStarted | StartRefused | None:
        return StartRefused(reason="fake")


class FakeEngine(Engine):
    """Generates numbered tokens; a resumed attempt continues the numbering.

    If ``cut_after`` is set, an attempt ends with ``ending`` after that many tokens.
    """

    def __init__(self) -> None:
        self.requests: list[EngineRequest] = []
        self.closed = 0
        self.kv: bytes | None = b"kv"
        self.takes_kv = True
        self.export_s = 0.01
        self.import_s = 0.01
        self.importing = asyncio.Event()
        self.ending: Interrupted | None = None
        self.cut_after: int | None = None
        self._dead = asyncio.Event()

    def die(self) -> None:
        """Cut all connections and refuse new ones."""
        self._dead.set()

    async def generate(self, req: EngineRequest) -> cabc.AsyncGenerator[EngineEvent, None]:
        self.requests.append(req)
        if self._dead.is_set():
            yield Interrupted(reason=InterruptReason.CONNECT_FAILED, sent=False)
            return
        try:
            for index in range(req.resume_tokens, req.max_tokens):
                if self.cut_after is not None and index - req.resume_tokens >= self.cut_after:
                    assert self.ending is not None
                    yield self.ending
                    return
                await asyncio.sleep(TOKEN_S)
                if self._dead.is_set():
                    yield Interrupted(reason=InterruptReason.CONNECTION_LOST, sent=True)
                    return
                yield Tokens(count=1, text=f" {index}")
            yield Finished(completion_tokens=req.max_tokens, computed_tokens=0, cached_tokens=0)
        finally:
            self.closed += 1

    async def notices(self) -> cabc.AsyncGenerator[EngineNotice, None]:
        await self._dead.wait()
        return
        yield

    async def export_kv(self, request_id: RequestId) -> bytes | None:
        await asyncio.sleep(self.export_s)
        return self.kv

    async def import_kv(self, blob: bytes) -> str | None:
        self.importing.set()
        await asyncio.sleep(self.import_s)
        return "handle" if self.takes_kv else None

    async def order(self, order: EngineOrder) -> OrderOutcome:
        return OrderOutcome.DONE


class FakePlain(PlainService):
    """Returns its outcomes in order and then repeats the last; each takes ``delay_s``."""

    def __init__(self) -> None:
        self.outcomes: list[CallOutcome] = [CallAnswered(status=200, body=b"{}")]
        self.delay_s = 0.0
        self.calls = 0

    async def call(self, call: ServiceCall) -> CallOutcome:
        self.calls += 1
        try:
            async with asyncio.timeout(call.timeout_s):
                await asyncio.sleep(self.delay_s)
        except TimeoutError:
            return CallFailed(reason="timeout", sent=True)
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]

    async def look_up(self, *, path: str, key: str) -> CallOutcome:
        return CallFailed(reason="fake", sent=False)


class FakeConnector(Connector):
    """Looks up engines and plain services in dictionaries."""

    def __init__(self, engines: dict[str, FakeEngine], plains: dict[str, FakePlain]) -> None:
        self._engines = engines
        self._plains = plains

    def engine(self, upstream: UpstreamView) -> Engine:
        return self._engines[upstream.upstream_id]

    def plain(self, upstream: UpstreamView) -> PlainService:
        return self._plains[upstream.upstream_id]


class FakeQuarantines(QuarantinePublisher):
    """Keeps quarantines in memory."""

    def __init__(self) -> None:
        self.ends_s: dict[Fingerprint, float] = {}

    async def publish(self, fingerprint: Fingerprint, *, until_s: float, reason: str) -> None:
        self.ends_s[fingerprint] = until_s

    def until_s(self, fingerprint: Fingerprint) -> float | None:
        return self.ends_s.get(fingerprint)

    def is_empty(self) -> bool:
        return not self.ends_s


class Harness:
    """The real routing and dispatch of one host, with fake upstreams."""

    def __init__(
        self, *, upstreams: cabc.Sequence[str], rng: random.Random, domains: str = ""
    ) -> None:
        """Create the host; ``domains`` has one letter for the failure domain of each upstream."""
        host = HostId("host-0")
        self.clock = LoopClock()
        self.host_list = FakeHostList()
        self.membership = Membership(host=host, host_list=self.host_list, clock=self.clock)
        self.table = UpstreamTable(membership=self.membership, clock=self.clock)
        self.engines: dict[str, FakeEngine] = {}
        self.scheduler = Scheduler(
            table=self.table, router=Router(table=self.table, rng=rng), clock=self.clock
        )
        self.plains: dict[str, FakePlain] = {}
        self.connector = FakeConnector(self.engines, self.plains)
        self.migrator = StreamMigrator(
            table=self.table,
            scheduler=self.scheduler,
            connector=self.connector,
            clock=self.clock,
        )
        self.quarantines = FakeQuarantines()
        self.guard = self._guard(host)
        self.metrics = Metrics(clock=self.clock)
        self.retries = RetryPolicy(clock=self.clock, rng=rng)
        self.runner = StreamRunner(
            scheduler=self.scheduler,
            connector=self.connector,
            migrator=self.migrator,
            guard=self.guard,
            retries=self.retries,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.call_runner = CallRunner(
            scheduler=self.scheduler,
            connector=self.connector,
            retries=self.retries,
            clock=self.clock,
            metrics=self.metrics,
        )
        self._requests = 0
        for index, name in enumerate(upstreams):
            self.join(name, domain=domains[index : index + 1] or "north")

    def _guard(self, host: HostId) -> CrashGuard:
        links = PeerLinks(membership=self.membership, secret="secret")
        self.note_store = NoteStore(clock=self.clock)
        feed = MembershipFeed(
            host=host,
            membership=self.membership,
            links=links,
            note_store=self.note_store,
            cloud=FakeCloud(),
            clock=self.clock,
        )
        isolation_leases = IsolationLeases(
            host=host, membership=self.membership, links=links, clock=self.clock
        )
        guard = CrashGuard(
            host=host,
            note_store=self.note_store,
            sharing=feed,
            upstreams=self.table.all,
            on_released=self.table.notify,
            isolation_leases=isolation_leases,
            quarantines=self.quarantines,
            clock=self.clock,
        )
        self.table.add_leaving_listener(guard.note_leaving)
        return guard

    def join(self, name: str, *, domain: str = "north") -> None:
        """Add an engine to the host list."""
        self.engines[name] = FakeEngine()
        self.plains[name] = FakePlain()
        entries = dict(self.membership.all_entries())
        entries[HostId(name)] = entry(name, domain=domain)
        self.membership.replace_entries(entries)
        self.view(name).fire("note_serving")

    def view(self, name: str) -> UpstreamView:
        """Return an upstream's view."""
        view = self.table.get(UpstreamId(name))
        assert view is not None
        return view

    def allow_only(self, name: str) -> None:
        """Let only one upstream take work until ``allow_all`` is called."""
        for view in self.table.all():
            if view.upstream_id != name:
                view.reserved_for = RequestId("other")

    def allow_all(self) -> None:
        """Let all upstreams take work."""
        for view in self.table.all():
            view.reserved_for = None
        self.table.notify()

    def leave(self, name: str, *, notice_s: float) -> None:
        """Announce the reclaim of an upstream, and let all others take work."""
        self.allow_all()
        self.membership.mark_leaving(
            HostId(name), LeavingSource.CLOUD_NOTICE, reclaim_s=self.clock.wall() + notice_s
        )

    def kill(self, name: str) -> None:
        """Kill an engine: cut its connections and report its death to the guard."""
        self.engines[name].die()
        view = self.view(name)
        view.fire("note_failure")
        self.guard.note_death(view)

    def receive_note(self, topic: NoteTopic, name: str, items: tuple[str, ...]) -> None:
        """Store a note as if another host had shared it now."""
        now_s = self.clock.wall()
        note = Note(topic=topic, name=name, at_s=now_s, until_s=now_s + 600.0, items=items)
        self.note_store.merge(note)

    def record(
        self,
        *,
        prompt: str = "beds?",
        max_tokens: int = 20,
        mode: KindMode = KindMode.MUST_ARRIVE,
        deadline_s: float = 600.0,
    ) -> RequestRecord:
        """Return an accepted request."""
        self._requests += 1
        return RequestRecord(
            request_id=RequestId(f"request-{self._requests}"),
            workspace=WorkspaceName("family"),
            service=ServiceName("enquiries"),
            kind_name=KindName("dossier"),
            kind=Kind(mode=mode, max_tokens=max_tokens),
            pool=POOL,
            body=prompt.encode(),
            prompt=prompt,
            deadline_s=self.clock.wall() + deadline_s,
            accepted_at=self.clock.monotonic(),
        )

    def answer(self, tokens: int) -> str:
        """Return the complete answer of ``tokens`` tokens."""
        return "".join(f" {index}" for index in range(tokens))

    async def stop(self) -> t.Any:
        """Stop the tasks of all components."""
        await asyncio.gather(self.migrator.cancel_tasks(), self.guard.cancel_tasks())


def entry_host(name: str, domain: str) -> HostEntry:
    """Return an entry of the list for a host that accepts callers."""
    return HostEntry(
        host=HostId(name),
        role=HostRole.ENTRY,
        failure_domain=FailureDomain(domain),
        address=f"{name}:1",
        peer_address=f"{name}:2",
    )
