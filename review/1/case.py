"""A kept connection's next request is taken while its machine stops, and cut at the end."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import bed  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = bed.BOUNDS["grace_s"]
PARTS = [("5c1e07a2", 13300), ("e4402b7d", 3720)]
EVENT_S = 0.2  # the pages allow pauses of 0.4 s
CLIENTS = 8
CLIENT_MS = 3  # one way between callers and hosts, as on the sheet
# Kind: path, deadline, and the gap after which a caller gives up (four times the objective).
KINDS = {"dossier-review": (bed.DOSSIER, 12000, 4.0), "lot-trace": (bed.LOT, 6000, 3.2)}
# The first answer is under way as the SIGTERM comes. The second kind can't be resumed: it runs
# once at most, so its caller has nothing else to do than to ask anew for all of it.
TURNS = ("dossier-review", "lot-trace")


def stream_request(kind, request_id, events):
    """Return a request whose answer has so many events."""
    path, deadline_ms, _ = KINDS[kind]
    return bed.request(
        path + "2f",
        request_id,
        deadline_ms,
        body=b"events=%d " % events,
        tokens=(17020, 160),
        parts=PARTS,
    )


async def caller(deployment, number, host, stop_at, results):
    """Ask for a review before the SIGTERM, and for a summary as soon as that is whole."""
    record = deployment.record
    conn = bed.Caller(deployment.settings[host]["listen"]["front"])
    await conn.connect()
    # The first answer ends 3.5 to 5.5 s after the SIGTERM.
    first_events = int((3.5 + 2.0 * number / CLIENTS + 1.5) / EVENT_S)
    for kind, events in zip(TURNS, (first_events, 25), strict=True):
        request_id = bed.new_id()
        await asyncio.sleep(2 * CLIENT_MS / 1000)
        conn.send(stream_request(kind, request_id, events))
        sent_at = bed.now()
        record.note(f"caller {number} sends {kind} {request_id} to {host}", sent_at)
        answer = await conn.receive(KINDS[kind][2], KINDS[kind][1] / 1000)
        record.note(
            f"caller {number} gets for {request_id}: status {answer.status}, "
            f"{len(answer.events())} of {events} events, complete {answer.complete} {answer.how}",
            answer.ended_at,
        )
        results.append((request_id, kind, sent_at, answer))
        if not answer.complete or answer.headers.get("connection", "").lower() == "close":
            break
    conn.close()


async def main():
    """Play the case; return the exit status."""
    async with bed.Bed(HERE) as deployment:
        record = deployment.record
        for number, zone in enumerate(bed.ZONES[:2]):
            await deployment.add_worker(
                f"pool-{number}", bed.MODELS, zone, first_s=0.2, event_s=EVENT_S
            )
        await deployment.start_hosts()
        await asyncio.sleep(4)  # longer than stability_ms
        host = next(iter(deployment.hosts))
        results = []
        stop_at = bed.now() + 1.5
        callers = [
            asyncio.create_task(caller(deployment, number, host, stop_at, results))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(stop_at - bed.now())
        process = deployment.hosts[host]
        if TROUBLE:
            record.note(f"SIGTERM to {host} (planned work; grace_s is {GRACE_S})")
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), GRACE_S)
                record.note(f"{host} has ended by itself")
            except TimeoutError:
                record.note(f"SIGKILL to {host} after grace_s")
                process.kill()
            await asyncio.sleep(0.3)
            await deployment.start_host(host)
            record.note(f"{host} is started again")
        await asyncio.gather(*callers)
        runs = [line for name in deployment.workers for line in deployment.runs(name)]
        for line in sorted(runs, key=lambda line: line["at"]):
            record.note(f"worker {line['worker']} {line['what']} {line['request']}", line["at"])
        return judge(record, runs, results, stop_at)


def judge(record, runs, results, stop_at):
    """Return 1 if LOST is broken around the SIGTERM, 0 if it holds."""
    if len(results) < CLIENTS or not all(r[3].complete for r in results if r[1] == TURNS[0]):
        record.note("the case could not run: a first answer is missing")
        return 2
    broken = 0
    for request_id, kind, sent_at, answer in results:
        if answer.complete:
            continue
        at_worker = [line for line in runs if line["request"] == request_id]
        passed_on = any(line["what"] == "runs" for line in at_worker)
        broke_off = any(line["what"] == "ends" for line in at_worker)
        in_time = answer.ended_at - sent_at < KINDS[kind][1] / 1000 - 0.5
        excused = sent_at <= stop_at + 3.0  # and at work in the last sixth of grace_s
        planned = answer.ended_at <= stop_at + GRACE_S + 1
        if passed_on and in_time and not broke_off and not excused and planned:
            broken += 1
            record.note(
                f"LOST: {request_id} ({kind}) was sent {sent_at - stop_at:.2f} s after the SIGTERM "
                f"and run by a worker; it was cut {answer.ended_at - stop_at:.2f} s after it"
            )
    record.note(f"requests lost against the rule: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        status = asyncio.run(main())
    except Exception as exc:  # noqa: BLE001
        print(f"the case could not run: {exc!r}")
        status = 2
    sys.exit(status)
