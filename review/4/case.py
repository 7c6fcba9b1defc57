"""A worker's write that was held up arrives after the worker has left, and brings it back."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import bed  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = bed.BOUNDS["drain_ms"] / 1000
EVENT_S, EVENTS = 0.1, 12
CALLERS = 24
WORKERS = 5
CUT_S = 2.3  # of one worker of five from the store
SERVES_ON_S = 4.5  # drain_ms and a little longer, at times many seconds


async def caller(deployment, number, hosts, until, results):
    """Send one request after the other on a kept connection."""
    host = hosts[number % len(hosts)]
    conn = bed.Caller(deployment.settings[host]["listen"]["front"])
    await conn.connect()
    while bed.now() < until:
        request_id = bed.new_id()
        parts = [(f"5c1e07{number:02x}", 6300), (request_id[:8], 2890)]
        body = b"events=%d " % EVENTS
        sent_at = bed.now()
        conn.send(
            bed.request(bed.LOT + "2f", request_id, 6000, body=body, tokens=(9190, 36), parts=parts)
        )
        answer = await conn.receive(3.2, 6.0)
        deployment.record.note(
            f"caller {number} sent lot-trace {request_id} to {host} at "
            f"{sent_at - deployment.record.began:.3f} s; status {answer.status}, "
            f"{len(answer.events())} events, complete {answer.complete} {answer.how}"
        )
        results.append((request_id, sent_at, answer))
        if not answer.complete:
            conn.close()
            conn = bed.Caller(deployment.settings[host]["listen"]["front"])
            await conn.connect()
        await asyncio.sleep(0.05)
    conn.close()


async def next_beat(store, worker_id):
    """Wait until the store gets the worker's next write."""
    before = store.last_beat(worker_id)
    while store.last_beat(worker_id) == before:
        await asyncio.sleep(0.005)


async def main():
    """Play the case; return the exit status."""
    async with bed.Bed(HERE) as deployment:
        record = deployment.record
        link = bed.CutLink(deployment.store.address, record)
        await link.start()
        for number in range(WORKERS):
            await deployment.add_worker(
                f"pool-{number}",
                bed.MODELS,
                bed.ZONES[number % 4],
                first_s=0.1,
                event_s=EVENT_S,
                **({"store": link.address} if number == 0 else {}),
            )
        await deployment.start_hosts()
        await asyncio.sleep(4)
        results = []
        hosts = list(deployment.hosts)
        until = bed.now() + 11
        callers = [
            asyncio.create_task(caller(deployment, number, hosts, until, results))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(1.0)
        leaver = "pool-0"
        worker_id = deployment.worker_options[leaver]["id"]
        store = deployment.store
        await next_beat(store, worker_id)
        if TROUBLE:
            link.cut(CUT_S)
            record.note(f"{worker_id} is cut off from the store, and from nothing else, {CUT_S} s")
            await asyncio.sleep(CUT_S)
            await next_beat(store, worker_id)
            record.note(f"a newer write of {worker_id} arrives")
        await asyncio.sleep(0.1)
        deployment.workers[leaver].send_signal(signal.SIGUSR2)
        while not store.is_removed(worker_id):
            await asyncio.sleep(0.005)
        left_at = bed.now()
        record.note(f"the store takes the removal of {worker_id}, which goes on serving")
        await asyncio.sleep(SERVES_ON_S)
        deployment.workers[leaver].terminate()
        record.note(f"{worker_id} exits")
        await asyncio.gather(*callers)
        link.stop()
        return judge(record, deployment.runs(leaver), results, left_at)


def judge(record, runs, results, left_at):
    """Return 1 if DRAIN is broken: requests reach the worker more than drain_ms after it left."""
    sent = {request_id: (at, answer) for request_id, at, answer in results}
    late = [
        line
        for line in runs
        if line["what"] == "runs" and line["at"] > left_at + DRAIN_S and line["request"] in sent
    ]
    for line in late:
        at, answer = sent[line["request"]]
        record.note(
            f"DRAIN: {line['request']}, sent {at - left_at:.2f} s after the store had taken the "
            f"removal, reached the worker {line['at'] - left_at:.2f} s after it; "
            f"complete {answer.complete} {answer.how}"
        )
    record.note(f"requests that reached the worker too late: {len(late)}")
    if not any(answer.complete for _, _, answer in results):
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    try:
        status = asyncio.run(main())
    except Exception as exc:  # noqa: BLE001
        print(f"the case could not run: {exc!r}")
        status = 2
    sys.exit(status)
