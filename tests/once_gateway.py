"""Gateways in one process: real claims, sequencers and recorders with faked dependencies."""

import asyncio
import collections
import collections.abc as cabc
import dataclasses
import typing as t

from cassiawalk.admission.scheduler import SlotLease
from cassiawalk.clients import CallAnswered
from cassiawalk.clients import CallFailed
from cassiawalk.clients import CallOutcome
from cassiawalk.clients import PlainService
from cassiawalk.clients import ServiceCall
from cassiawalk.clock import LoopClock
from cassiawalk.control import ConfigState
from cassiawalk.control.state import Kind
from cassiawalk.control.state import KindMode
from cassiawalk.control.state import Service
from cassiawalk.dispatch import OutcomeRecorder
from cassiawalk.dispatch.claim_tracker import ClaimTracker
from cassiawalk.dispatch.lookup import OutcomeLookUp
from cassiawalk.dispatch.once import OnceRunner
from cassiawalk.ids import HostId
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ids import WorkspaceName
from cassiawalk.ids import new_request_id
from cassiawalk.once import ClaimClient
from cassiawalk.once import Placement
from cassiawalk.once import SequencerPool
from cassiawalk.peer import ClaimStatusCall
from cassiawalk.peer import PeerFailure
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import Result
from cassiawalk.results import Refusal
from tests.once_fakes import FakeLog

WINDOW_S = 1000.0
DEADLINE_S = 60.0
HOSTS = ("host-a", "host-b")
ANSWER = CallAnswered(status=200, body=b'{"held": true}')
Step = cabc.Callable[[], cabc.Awaitable[None]]


async def do_nothing() -> None:
    """Do nothing."""


class FakePlain(PlainService):
    """Counts runs by key; ``outcomes`` apply to the next calls, later calls get ``ANSWER``."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.deque[CallOutcome] = collections.deque()
        self.during_run: Step = do_nothing
        self.found: CallOutcome = CallAnswered(status=404, body=b"")
        self.look_ups: list[tuple[str, str, str]] = []

    async def call(self, call: ServiceCall) -> CallOutcome:
        outcome = self.outcomes.popleft() if self.outcomes else ANSWER
        if isinstance(outcome, CallFailed) and not outcome.sent:
            return outcome
        self.runs[str(call.key)] += 1
        await self.during_run()
        return outcome

    async def look_up(self, *, path: str, workspace: str, key: str) -> CallOutcome:
        self.look_ups.append((path, workspace, key))
        return self.found


@dataclasses.dataclass
class FakeView:
    """An upstream."""

    upstream_id: UpstreamId = UpstreamId("plain-0")
    failures: list[str] = dataclasses.field(default_factory=list)

    def fire(self, trigger: str) -> None:
        self.failures.append(trigger)


class FakeScheduler:
    """Runs ``before_slot``, then grants a slot, or refuses with ``refusal`` if it is set."""

    def __init__(self) -> None:
        self.before_slot: Step = do_nothing
        self.refusal: Refusal | None = None

    async def acquire(self, record: RequestRecord, **_: t.Any) -> SlotLease | Refusal:
        await self.before_slot()
        if self.refusal is not None:
            return self.refusal
        view, expected = t.cast(t.Any, FakeView()), t.cast(t.Any, None)
        return SlotLease(upstream=view, record=record, granted_at=0.0, expected=expected)

    def release(self, lease: SlotLease) -> None:
        """Do nothing."""


class FakeMembership:
    """A membership in which all hosts are always reachable."""

    def reachable_entry_hosts(self) -> list[HostId]:
        return [HostId(host) for host in HOSTS]


class FakeLinks:
    """Calls between the gateways; a host in ``cut`` can't be reached."""

    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}
        self.cut: set[str] = set()

    async def call(self, host: str, message: t.Any, reply: type, **_: t.Any) -> t.Any:
        await asyncio.sleep(0)
        if host in self.cut:
            return PeerFailure(reason=f"{host} is cut off", sent=False)
        gateway = self.gateways[host]
        if isinstance(message, ClaimStatusCall):
            return await gateway.claim_tracker.status(message)
        return await gateway.claims.handle_call(message)


class FakeTable:
    """A table with one upstream in every pool."""

    def in_pool(self, pool: PoolName) -> list[FakeView]:
        return [FakeView()]


class Gateway:
    """The components of one host that execute at-most-once requests."""

    def __init__(self, harness: "OnceHarness", host: str, *, incarnation: str) -> None:
        clock = harness.clock
        self.harness = harness
        self.host = HostId(host)
        self.scheduler = FakeScheduler()
        links = t.cast(t.Any, harness.links)
        placement = Placement(host=self.host, membership=t.cast(t.Any, FakeMembership()))
        self.pool = SequencerPool(
            log=harness.log, clock=clock, placement=placement, window_s=WINDOW_S
        )
        self.claims = ClaimClient(host=self.host, placement=placement, links=links, pool=self.pool)
        self.recorder = OutcomeRecorder(claims=self.claims, clock=clock)
        self.claim_tracker = ClaimTracker(
            host=self.host,
            incarnation=incarnation,
            links=links,
            recorder=self.recorder,
            clock=clock,
            window_s=WINDOW_S,
        )
        self.runner = OnceRunner(
            host=self.host,
            incarnation=incarnation,
            claims=self.claims,
            claim_tracker=self.claim_tracker,
            recorder=self.recorder,
            look_up=OutcomeLookUp(
                config=lambda: harness.config,
                table=t.cast(t.Any, FakeTable()),
                connector=t.cast(t.Any, harness),
            ),
            scheduler=t.cast(t.Any, self.scheduler),
            connector=t.cast(t.Any, harness),
            clock=clock,
            window_s=WINDOW_S,
        )
        harness.links.gateways[host] = self

    async def send(self, key: str, *, body: bytes = b"{}") -> Refusal | Result:
        """Run a request and return its refusal or its result."""
        record = RequestRecord(
            request_id=new_request_id(self.host),
            workspace=WorkspaceName("family"),
            service=ServiceName("beds"),
            kind_name=KindName("hold"),
            kind=Kind(mode=KindMode.AT_MOST_ONCE),
            pool=PoolName("vacancy"),
            body=body,
            prompt="",
            deadline_s=self.harness.clock.wall() + DEADLINE_S,
            accepted_at=self.harness.clock.monotonic(),
            key=key,
        )
        refusal = await self.runner.run(record)
        if refusal is not None:
            return refusal
        assert record.is_final
        return next(event for event in record.events if isinstance(event, Result))

    async def stop(self) -> None:
        """Stop all tasks, as if the process was killed."""
        await self.recorder.cancel_tasks()
        await self.pool.stop()


class OnceHarness:
    """Two gateways, one log and one plain service, on the event loop's clock."""

    def __init__(self, *, look_up: str = "") -> None:
        self.clock = LoopClock()
        self.log = FakeLog()
        self.links = FakeLinks()
        self.service = FakePlain()
        self.config = ConfigState(
            services={ServiceName("beds"): Service(pool=PoolName("vacancy"), look_up=look_up)}
        )
        self.a, self.b = (Gateway(self, host, incarnation="first") for host in HOSTS)

    async def __aenter__(self) -> "OnceHarness":
        return self

    async def __aexit__(self, *args: object) -> None:
        for gateway in (self.a, self.b):
            await gateway.stop()

    def plain(self, upstream: t.Any) -> FakePlain:
        """Return the plain service, as a connector does."""
        return self.service

    async def restart_a(self) -> None:
        """Replace the first gateway's process by a new one."""
        await self.a.stop()
        self.a = Gateway(self, HOSTS[0], incarnation="second")
