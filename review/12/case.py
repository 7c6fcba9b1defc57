"""A worker fails closures that it has run with status 503, which says nothing of the run."""

import asyncio
import itertools
import os
import pathlib
import random
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import bed3  # noqa: E402
import workers3  # noqa: E402

from standins.platform import PlatformStore  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 3
WORKERS = 4
FAILED_PART = 0.45  # of the requests of one worker; the largest dose of srv_grey on the sheet
PLAY_S = 15.0
PROMISES = (408, 421, 429, 503)  # "each means that the request has not run and never will run"


async def play(directory: pathlib.Path, record: bed3.Record) -> int:
    """Play the case and return how many requests that ran were said not to have run."""
    store = PlatformStore()
    arrivals: list[workers3.Arrival] = []
    rng = random.Random(1)
    closed: dict[str, int] = {}
    routes = [bed3.route("/close/", "unsafe", "audit-app")]
    await store.put("keyed.op", "config", bed3.config(routes, ["audit-app"]))

    def reply(
        worker: workers3.Worker, request_id: str, body: bytes
    ) -> tuple[int, list[tuple[str, str]]]:
        closed[body.decode()] = closed.get(body.decode(), 0) + 1
        fails = TROUBLE and worker.name == "i-0" and rng.random() < FAILED_PART
        record.note("run", request=request_id, worker=worker.name, status=503 if fails else 200)
        return (503, []) if fails else (200, [])

    workers = [
        workers3.Worker(
            f"i-{number}",
            store=store,
            service="audit-app",
            zone=bed3.ZONES[number],
            arrivals=arrivals,
            reply=reply,
        )
        for number in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    numbers = itertools.count(1)
    answers: dict[str, int | None] = {}

    async def client(hosts: list[bed3.Host], name: int) -> None:
        for closure in itertools.count(1):
            body = f"closure-{name}-{closure}".encode()
            for attempt in range(2):  # one retry, only after a promise, as the sheet says
                request_id = f"q{next(numbers)}"
                host = hosts[(name + closure + attempt) % len(hosts)]
                data = bed3.request(request_id, "/close/7", body=body)
                answer = await bed3.ask(host, data, limit_s=2.0)
                answers[request_id] = None if answer is None else answer[0]
                record.note("answer", request=request_id, by=host.name, status=answers[request_id])
                if answers[request_id] not in PROMISES:
                    break
            await asyncio.sleep(0.2)

    async with bed3.Platform(directory, store) as platform:
        await platform.add_hosts(HOSTS)
        await asyncio.sleep(bed3.BOUNDS["stability_ms"] / 1000)
        clients = [asyncio.create_task(client(platform.hosts, name)) for name in range(4)]
        await asyncio.sleep(PLAY_S)
        for task in clients:
            task.cancel()
        for worker in workers:
            await worker.stop()
    ran = {found.request_id for found in arrivals if found.ran}
    broken = [name for name, status in answers.items() if status in PROMISES and name in ran]
    doubled = sum(count > 1 for count in closed.values())
    record.note("total", answers=len(answers), ran_but_promised=len(broken), closed_twice=doubled)
    return len(broken)


def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = bed3.Record(HERE / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as directory:
            broken = asyncio.run(play(pathlib.Path(directory), record))
    except Exception as exc:
        record.note("failed", error=repr(exc))
        return 2
    finally:
        record.close()
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
