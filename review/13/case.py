"""Workers of a zone leave while a host that starts reads the list of workers in pages."""

import asyncio
import itertools
import os
import pathlib
import sys
import tempfile
import time
import typing as t

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import bed3  # noqa: E402
import workers3  # noqa: E402

from cassiawalk.http1 import Exchange  # noqa: E402
from standins.platform import PlatformStore  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 7
WORKERS = 60
LEAVING_ZONE = "nrb-a"
PAGE_ENTRIES = 50  # of the small deployment's site file; the protocol allows 500 at most
ANSWER_S = 0.004  # the store's time for an answer, from the deployment's sheet
SERVES_ON_S = 12.0  # after the store has accepted that a worker leaves
IN_TOUCH_S = bed3.BOUNDS["stability_ms"] / 1000
DRAIN_S = bed3.BOUNDS["drain_ms"] / 1000


class PagedStore(PlatformStore):
    """A store whose list comes in pages, each of which takes its time."""

    def __init__(self) -> None:
        super().__init__()
        self.on_first_page: t.Callable[[], t.Awaitable[None]] | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call; the list of workers takes ``ANSWER_S`` for each page."""
        is_list = b"log-newest" in exchange.target and b"keyed.servers" in exchange.target
        if not is_list:
            await super().handle(exchange)
            return
        await asyncio.sleep(ANSWER_S)
        await super().handle(exchange)
        if b"after=" not in exchange.target and self.on_first_page is not None:
            event, self.on_first_page = self.on_first_page, None
            await event()

    def _newest(self, query: dict[str, str]) -> dict[str, t.Any]:
        found = super()._newest(query)
        entries = found["entries"]
        more = found["has_more"] or len(entries) > PAGE_ENTRIES
        return {**found, "entries": entries[:PAGE_ENTRIES], "has_more": more}


async def play(directory: pathlib.Path, record: bed3.Record) -> int:
    """Play the case and return the number of requests that came too late."""
    store = PagedStore()
    arrivals: list[workers3.Arrival] = []
    sent_by: dict[str, bed3.Host] = {}
    routes = [bed3.route("/lookup/", "safe", "audit-app", max_attempts=2)]
    await store.put("keyed.op", "config", bed3.config(routes, ["audit-app"]))
    workers = [
        workers3.Worker(
            f"i-{number:02d}",
            store=store,
            service="audit-app",
            zone=bed3.ZONES[number % len(bed3.ZONES)],
            arrivals=arrivals,
        )
        for number in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    leaving = [worker for worker in workers if worker.zone == LEAVING_ZONE]

    async def reclaim() -> None:
        for worker in leaving:
            await worker.leave()
        record.note("leave", zone=LEAVING_ZONE, workers=",".join(w.name for w in leaving))

    numbers = itertools.count(1)
    outcomes: dict[object, int] = {}

    async def client(hosts: list[bed3.Host]) -> None:
        while True:
            host = hosts[next(numbers) % len(hosts)]
            request_id = f"q{next(numbers)}"
            sent_by[request_id] = host
            data = bed3.request(request_id, "/lookup/7", body=b"7")
            answer = await bed3.ask(host, data, limit_s=2.0)
            status = None if answer is None else answer[0]
            record.note("answer", request=request_id, by=host.name, status=status)
            outcomes[status] = outcomes.get(status, 0) + 1
            await asyncio.sleep(0.02)

    async with bed3.Platform(directory, store) as platform:
        await platform.add_hosts(HOSTS)
        record.note("ready", hosts=HOSTS, workers=WORKERS)
        await asyncio.sleep(IN_TOUCH_S + 1.0)
        if TROUBLE:
            store.on_first_page = reclaim
        else:
            await reclaim()
            await asyncio.sleep(1.0)
        added = await platform.add_host()
        record.note("start", host=added.name)
        await added.until_ready()
        clients = [asyncio.create_task(client(platform.hosts)) for _ in range(8)]
        left_at = max(worker.left_at or 0.0 for worker in leaving)
        await asyncio.sleep(max(0.0, left_at + SERVES_ON_S - time.monotonic()))
        for task in clients:
            task.cancel()
        for worker in workers:
            await worker.stop()
    by_name = {worker.name: worker for worker in workers}
    late = []
    for found in arrivals:
        record.note("run" if found.ran else "not-run", request=found.request_id, at=found.worker)
        worker, host = by_name[found.worker], sent_by[found.request_id]
        since_s = None if worker.left_at is None else found.at - worker.left_at
        in_touch = found.at - host.started_at > IN_TOUCH_S
        if found.ran and since_s is not None and since_s > DRAIN_S and in_touch:
            late.append(found)
            record.note(
                "late",
                request=found.request_id,
                by=host.name,
                worker=found.worker,
                after_s=f"{since_s:.2f}",
            )
    record.note("answers", **{str(status): count for status, count in outcomes.items()})
    record.note("requests", arrivals=len(arrivals), late=len(late))
    return len(late)


def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = bed3.Record(HERE / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as directory:
            late = asyncio.run(play(pathlib.Path(directory), record))
    except Exception as exc:
        record.note("failed", error=repr(exc))
        return 2
    finally:
        record.close()
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
