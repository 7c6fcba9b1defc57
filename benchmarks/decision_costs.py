"""Measures the CPU time and memory of admission and routing decisions.

Run it with ``python -m benchmarks.decision_costs``.
"""

import random
import statistics
import time
import tracemalloc

from cassiawalk.admission import AdmissionGate
from cassiawalk.admission import Scheduler
from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostList
from cassiawalk.clients import HostRole
from cassiawalk.clients import LoadReport
from cassiawalk.clock import SystemClock
from cassiawalk.control.state import Kind
from cassiawalk.control.state import KindMode
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.membership import Membership
from cassiawalk.requests import RequestRecord
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamTable

COUNTS = (10, 30, 100, 1000, 5600)
DECISIONS = 100
PROMPT_WORDS = 400
REPEATS = 5


class ManyEngines(HostList):
    """A host list with a given number of engines."""

    def __init__(self, count: int) -> None:
        self._count = count

    async def hosts(self) -> tuple[HostEntry, ...]:
        return tuple(
            HostEntry(
                host=HostId(f"e{index}"),
                role=HostRole.ENGINE,
                failure_domain=FailureDomain(f"d{index % 18}"),
                address="127.0.0.1:1",
                pool=PoolName("models"),
            )
            for index in range(self._count)
        )


def make_record(number: int) -> RequestRecord:
    """Return a request whose prompt shares all but the last 16 words with the others."""
    clock = SystemClock()
    words = ["shared"] * (PROMPT_WORDS - 16) + [f"own{number}"] * 16
    return RequestRecord(
        request_id=RequestId(f"r{number}"),
        workspace=WorkspaceName(f"w{number % 5}"),
        service=ServiceName("s"),
        kind_name=KindName("k"),
        kind=Kind(mode=KindMode.QUICK),
        pool=PoolName("models"),
        body=b"",
        prompt=" ".join(words),
        deadline_s=clock.wall() + 60.0,
        accepted_at=clock.monotonic(),
    )


async def build_components(count: int) -> tuple[UpstreamTable, Scheduler, AdmissionGate]:
    """Return the started components of a host with ``count`` upstreams."""
    clock = SystemClock()
    membership = Membership(host=HostId("h"), host_list=ManyEngines(count), clock=clock)
    table = UpstreamTable(membership=membership, clock=clock)
    await membership.refresh()
    await table.start()
    router = Router(table=table, rng=random.Random(1))
    scheduler = Scheduler(table=table, router=router, clock=clock)
    return table, scheduler, AdmissionGate(scheduler=scheduler, clock=clock, rng=random.Random(2))


async def measure(count: int) -> dict[str, float]:
    """Return the CPU time per decision and per load report, and the memory that objects take.

    Times are in microseconds; memory is in bytes per upstream and per request.
    """
    tracemalloc.start()
    table, scheduler, gate = await build_components(count)
    upstream_bytes = tracemalloc.get_traced_memory()[0] / count
    before = tracemalloc.get_traced_memory()[0]
    sampled = [make_record(number) for number in range(1000)]
    for record in sampled:
        gate.check(record)
    request_bytes = (tracemalloc.get_traced_memory()[0] - before) / len(sampled)
    tracemalloc.stop()
    views = table.all()
    for view in views:
        view.note_report(LoadReport(slots=8, running=3, waiting=0, measured_s=time.time()))
    decisions, reports = [], []
    for _ in range(REPEATS):
        records = [make_record(number) for number in range(DECISIONS)]
        began = time.process_time()
        for record in records:
            if gate.check(record) is None:
                lease = await scheduler.acquire(record)
                scheduler.release(lease)  # type: ignore[arg-type]
        decisions.append((time.process_time() - began) / DECISIONS * 1e6)
        began = time.process_time()
        for index in range(DECISIONS):
            view = views[index % count]
            view.note_report(LoadReport(slots=8, running=3, waiting=0, measured_s=time.time()))
            table.notify()
        reports.append((time.process_time() - began) / DECISIONS * 1e6)
    return {
        "decision_us": statistics.median(decisions),
        "report_us": statistics.median(reports),
        "upstream_bytes": upstream_bytes,
        "request_bytes": request_bytes,
    }


async def main() -> dict[int, dict[str, float]]:
    """Print the figures and return them by number of upstreams."""
    results = {}
    for count in COUNTS:
        results[count] = await measure(count)
        cells = "  ".join(f"{key} {value:,.1f}" for key, value in results[count].items())
        print(f"{count} upstreams: {cells}", flush=True)
    return results


if __name__ == "__main__":
    import asyncio

    asyncio.run(main())
