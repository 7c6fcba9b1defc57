"""Simulates hosts with the product's components and fake upstreams, in virtual time.

All hosts, upstreams and callers run in one event loop.
"""

import asyncio
import collections.abc as cabc
import dataclasses
import random

from benchmarks.fakes import EngineSpec
from benchmarks.fakes import FakeConnector
from benchmarks.fakes import FakeEngine
from benchmarks.fakes import FakeHosts
from benchmarks.fakes import FakePlain
from benchmarks.guards import build_guard
from benchmarks.policies import Policy
from benchmarks.workloads import ENGINE_POOL
from benchmarks.workloads import PLAIN_POOL
from benchmarks.workloads import Arrival
from benchmarks.workloads import Deployment
from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostRole
from cassiawalk.clients import HostState
from cassiawalk.clock import LoopClock
from cassiawalk.control.state import PoolType
from cassiawalk.dispatch import Dispatcher
from cassiawalk.dispatch import RetryPolicy
from cassiawalk.dispatch import UpstreamWatcher
from cassiawalk.dispatch.call import CallRunner
from cassiawalk.dispatch.migrator import StreamMigrator
from cassiawalk.dispatch.stream import StreamRunner
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.membership import Membership
from cassiawalk.metrics import Metrics
from cassiawalk.requests import Ended
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestStore
from cassiawalk.requests.answer import FINAL_EVENTS
from cassiawalk.requests.answer import Failed
from cassiawalk.requests.answer import failed_event
from cassiawalk.results import Execution
from cassiawalk.routing import UpstreamTable

MAX_SUBMISSIONS = 3
RECLAIM_NOTICE_S = 5.0
PLAIN_RESPONSE_S = 0.05


@dataclasses.dataclass(kw_only=True)
class CallerRequest:
    """One caller's request and its result; times are seconds of the event loop's clock.

    :param submissions: how often the caller submitted the request.
    :param retries: how often the hosts retried it at upstreams.
    :param complete: whether the caller received the whole answer.
    :param refused: the submissions that failed before the request was run.
    :param given_up: the submissions that failed after the request may have been run.
    """

    arrival: Arrival
    first_text_at: float | None = None
    ended_at: float | None = None
    submissions: int = 0
    retries: int = 0
    complete: bool = False
    last_failure: Failed | None = None
    refused: int = 0
    given_up: int = 0

    @property
    def response_time_s(self) -> float | None:
        """Return the seconds to the first text, or to the whole answer of a plain service.

        It is None if the answer is not complete.
        """
        end = self.ended_at if self.arrival.spec.plain else self.first_text_at
        return None if end is None or not self.complete else end - self.arrival.at_s

    @property
    def within_target(self) -> bool:
        """Return whether the first text met the target and the whole answer the deadline."""
        kind = self.arrival.spec.kind
        if self.response_time_s is None or self.ended_at is None:
            return False
        whole_in_time = self.ended_at - self.arrival.at_s <= kind.deadline_s
        return self.response_time_s <= kind.target_ms / 1000 and whole_in_time


class Gateway:
    """The components of one host, composed as in ``cassiawalk.node`` without HTTP and the log."""

    def __init__(
        self,
        *,
        name: str,
        hosts: FakeHosts,
        connector: FakeConnector,
        policy: Policy,
        deployment: Deployment,
        rng: random.Random,
    ) -> None:
        clock = LoopClock()
        self.clock = clock
        self.membership = Membership(host=HostId(name), host_list=hosts, clock=clock)
        self.table = UpstreamTable(membership=self.membership, clock=clock)
        self.components = policy.build(
            table=self.table, clock=clock, rng=rng, deployment=deployment
        )
        self.retries = RetryPolicy(clock=clock, rng=rng)
        self.watcher = UpstreamWatcher(table=self.table, connector=connector, clock=clock, rng=rng)
        metrics = Metrics(clock=clock)
        common = {
            "scheduler": self.components.scheduler,
            "connector": connector,
            "retries": self.retries,
            "clock": clock,
            "metrics": metrics,
        }
        guard = build_guard(
            host=HostId(name), membership=self.membership, table=self.table, clock=clock
        )
        migrator = StreamMigrator(
            table=self.table, scheduler=self.components.scheduler, connector=connector, clock=clock
        )
        call = CallRunner(**common)  # type: ignore[arg-type]
        stream = StreamRunner(**common, migrator=migrator, guard=guard)  # type: ignore[arg-type]
        self.dispatcher = Dispatcher(
            gate=self.components.gate,
            runners={PoolType.ENGINE: stream, PoolType.PLAIN: call},
            once_runner=call,
            store=RequestStore(clock=clock),
            clock=clock,
            metrics=metrics,
        )

    async def start(self) -> None:
        """Start the components that run tasks."""
        for component in (self.membership, self.table, self.watcher, self.components.scheduler):
            await component.start()

    async def stop(self) -> None:
        """Cancel all tasks."""
        for component in (
            self.dispatcher,
            self.watcher,
            self.components.scheduler,
            self.membership,
        ):
            await component.stop()


class Simulation:
    """The hosts, upstreams and callers of one run.

    ``price_s`` is the sum of the prices of all listed hosts for each second, where the prices are
    per hour.
    """

    def __init__(
        self, *, deployment: Deployment, spec: EngineSpec, policy: Policy, seed: int
    ) -> None:
        self.deployment = deployment
        self.spec = spec
        self.clock = LoopClock()
        self.hosts = FakeHosts()
        self.connector = FakeConnector()
        self.requests: list[CallerRequest] = []
        self.retired: list[FakeEngine] = []
        self.price_s = 0.0
        self._rng = random.Random(f"bed-{seed}")
        self._number = 0
        for index in range(deployment.engines):
            self.add_engine(deployment.domains[index % 4], on_demand=index % 5 == 4)
        for index in range(deployment.plain_services):
            self._add_plain(f"plain-{index}", deployment.domains[index % 4])
        self.gateways = [
            Gateway(
                name=f"host-{index}",
                hosts=self.hosts,
                connector=self.connector,
                policy=policy,
                deployment=deployment,
                rng=random.Random(f"host-{index}-{seed}"),
            )
            for index in range(deployment.gateways)
        ]

    def add_engine(self, domain: str, *, on_demand: bool = False) -> str:
        """Add an engine with an empty cache and return its name; on-demand engines cost more."""
        name = f"engine-{self._number}"
        self._number += 1
        self.connector.engines[name] = FakeEngine(
            host=name,
            spec=self.spec,
            clock=self.clock,
            computed_before=self.connector.computed_before,
        )
        self.hosts.entries[name] = HostEntry(
            host=HostId(name),
            role=HostRole.ENGINE,
            failure_domain=FailureDomain(domain),
            address=name,
            pool=PoolName(ENGINE_POOL),
            reclaimable=not on_demand,
            price=2.5 if on_demand else 1.0,
        )
        return name

    def _add_plain(self, name: str, domain: str) -> None:
        self.connector.plain_services[name] = FakePlain(answer_s=PLAIN_RESPONSE_S)
        self.hosts.entries[name] = HostEntry(
            host=HostId(name),
            role=HostRole.PLAIN,
            failure_domain=FailureDomain(domain),
            address=name,
            pool=PoolName(PLAIN_POOL),
        )

    def reclaimable_engines(self, domain: str) -> list[str]:
        """Return the listed reclaimable engines of a failure domain."""
        return [
            name
            for name, entry in self.hosts.entries.items()
            if entry.role is HostRole.ENGINE
            and entry.failure_domain == domain
            and entry.reclaimable
        ]

    def announce_reclaim(self, names: cabc.Iterable[str]) -> None:
        """Mark engines as leaving in the host list and let them refuse new requests."""
        for name in names:
            entry = self.hosts.entries[name]
            self.hosts.entries[name] = dataclasses.replace(entry, state=HostState.LEAVING)
            self.connector.engines[name].leaving = True

    def kill_engines(self, names: cabc.Iterable[str]) -> None:
        """Stop engines at once and remove them from the host list."""
        for name in names:
            self.connector.engines[name].die()
            self.hosts.entries.pop(name, None)

    async def run(
        self,
        arrivals: list[Arrival],
        script: cabc.Callable[["Simulation"], cabc.Coroutine[None, None, None]],
    ) -> None:
        """Start the hosts, submit the arrivals while the script runs, and wait for all callers.

        :param script: causes the faults of the scenario; it is cancelled at the end.
        """
        for gateway in self.gateways:
            await gateway.start()
        await asyncio.sleep(2 * self.spec.report_lag_s + 1.0)
        script_task = asyncio.create_task(script(self))
        price_task = asyncio.create_task(self._accumulate_price())
        began = self.clock.monotonic()
        callers = []
        for arrival in arrivals:
            await asyncio.sleep(began + arrival.at_s - self.clock.monotonic())
            arrived = dataclasses.replace(arrival, at_s=self.clock.monotonic())
            req = CallerRequest(arrival=arrived)
            self.requests.append(req)
            callers.append(asyncio.create_task(self._submit_with_retries(req)))
        price_task.cancel()
        await asyncio.gather(*callers)
        script_task.cancel()
        for gateway in self.gateways:
            await gateway.stop()

    async def _accumulate_price(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.price_s += sum(entry.price for entry in self.hosts.entries.values())

    async def _submit_with_retries(self, req: CallerRequest) -> None:
        """Submit the request up to three times, as long as failures state a retry delay."""
        kind = req.arrival.spec.kind
        give_up_at = req.arrival.at_s + kind.deadline_s
        while req.submissions < MAX_SUBMISSIONS and self.clock.monotonic() < give_up_at:
            req.submissions += 1
            failure = await self._submit(req)
            if failure is None:
                return
            req.last_failure = failure
            if failure.ran is Execution.NOT_RUN:
                req.refused += 1
            else:
                req.given_up += 1
            if failure.retry_after_s is None:
                return
            await asyncio.sleep(failure.retry_after_s * self._rng.uniform(1.0, 1.5))

    async def _submit(self, req: CallerRequest) -> Failed | None:
        gateway = self._rng.choice(self.gateways)
        record = self._make_record(req, gateway)
        pool_type = PoolType.PLAIN if req.arrival.spec.plain else PoolType.ENGINE
        refusal = gateway.dispatcher.submit(record, pool_type)
        if refusal is not None:
            return failed_event(refusal)
        while not record.is_final:
            await record.wait_past(record.answer.end)
            req.first_text_at = req.first_text_at or record.first_text_at
        req.retries += record.retries
        final = record.events[-1]
        assert isinstance(final, FINAL_EVENTS)
        if isinstance(final, Failed):
            req.first_text_at = None
            return final
        req.complete = isinstance(final, Ended)
        req.ended_at = self.clock.monotonic()
        return None

    def _make_record(self, req: CallerRequest, gateway: Gateway) -> RequestRecord:
        spec = req.arrival.spec
        self._number += 1
        return RequestRecord(
            request_id=RequestId(f"{self._number:08d}"),
            workspace=WorkspaceName(req.arrival.workspace),
            service=ServiceName("bench"),
            kind_name=KindName(spec.name),
            kind=spec.kind,
            pool=PoolName(PLAIN_POOL if spec.plain else ENGINE_POOL),
            body=b"{}",
            prompt="" if spec.plain else req.arrival.prompt,
            deadline_s=gateway.clock.wall() + spec.kind.deadline_s,
            accepted_at=gateway.clock.monotonic(),
            share=req.arrival.share,
        )
