"""A request that crashes its workers, whose caller leaves before the crash and asks again."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import bed2  # noqa: E402

ZONES = ("nrb-a", "nrb-b", "thk-a", "mch-a")
WORKERS_PER_ZONE = 2
HOSTS = 3
DOWN_S = 3.0
RUN_S = 60.0
CRASHES_AFTER_S = 0.6
LEAVES_AFTER_S = 0.3
COMES_AGAIN_S = 1.0  # after the caller has left, or was refused
OTHER_CALLERS, WORK_S = 8, 0.2
MAX_LATE_RETRIES = 3


async def run(bed: bed2.Bed) -> int:
    """Return whether the request reached workers too often."""
    routes = [
        bed2.route("record-read", "/safe/", "safe", "audit-app", timeout_ms=1500),
        bed2.route("ncr-close", "/once/", "unsafe", "audit-app", max_attempts=1),
    ]
    services = [{"name": "audit-app", "max_connections": 100, "health_path": "/health"}]
    await bed.store.put("keyed.op", "config", bed2.config(1, routes, services))
    await bed.add_workers("audit-app", ZONES, WORKERS_PER_ZONE)
    for worker in bed.workers:
        bed.later(_bring_back(worker))
    for zone in ZONES[:HOSTS]:
        await bed.add_host(zone, ZONES)
    await bed.wait_ready()
    await asyncio.sleep(2 * bed2.STABILITY_S)
    ends_at = asyncio.get_running_loop().time() + RUN_S
    answers: dict[str, int] = {}
    await asyncio.gather(
        _crash(bed, ends_at, answers),
        *(_work(bed, number, ends_at, answers) for number in range(OTHER_CALLERS)),
    )
    for what, count in sorted(answers.items()):
        bed.note(f"{count:5d} x {what}")
    return bed2.BROKEN if _is_beyond(bed) else bed2.HELD


async def _bring_back(worker: bed2.WorkerProcess) -> None:
    while True:
        await worker.come_back(after_s=DOWN_S, new_id=True)


async def _crash(bed: bed2.Bed, ends_at: float, answers: dict[str, int]) -> None:
    """Send one request again and again, at any host, each time with an id of its own."""
    loop = asyncio.get_running_loop()
    body = b"document=1&work=%g" % CRASHES_AFTER_S + (b"&crash=1" if bed2.TROUBLE else b"")
    sent = 0
    while loop.time() < ends_at:
        sent += 1
        request_id = f"document-{sent}"
        host = random.choice(bed.hosts)
        answer = await bed2.request(
            host, request_id, "/safe/x", body, deadline_ms=1500, patience_s=LEAVES_AFTER_S
        )
        bed.note(f"{request_id} at {host['name']}: {answer}")
        what = f"the document: {answer.status} {answer.ending}"
        answers[what] = answers.get(what, 0) + 1
        await asyncio.sleep(COMES_AGAIN_S)


async def _work(bed: bed2.Bed, number: int, ends_at: float, answers: dict[str, int]) -> None:
    loop = asyncio.get_running_loop()
    sent = 0
    while loop.time() < ends_at:
        sent += 1
        request_id, body = f"other-{number}-{sent}", b"work=%g&n=%d.%d" % (WORK_S, number, sent)
        host = random.choice(bed.hosts)
        answer = await bed2.request(host, request_id, "/once/x", body, deadline_ms=1500)
        what = f"other requests: {answer.status} {answer.ending}"
        answers[what] = answers.get(what, 0) + 1
        await asyncio.sleep(0.1)


def _is_beyond(bed: bed2.Bed) -> bool:
    """Return whether the request came to workers too often after its third crash."""
    lines = [line for line in bed.runs() if "document=1&" in line.get("body", "")]
    crashes = [line["at"] for line in lines if line["what"] == "crashes"]
    runs = [line["at"] for line in lines if line["what"] == "runs"]
    if len(crashes) < 3:
        bed.note(f"the document: {len(runs)} runs, {len(crashes)} crashes")
        return False
    late = [at for at in runs if at > crashes[2] + bed2.STABILITY_S]
    bed.note(
        f"the document: {len(runs)} runs, {len(crashes)} crashes; {len(late)} runs later than"
        f" {bed2.STABILITY_S:g} s after the third crash, {MAX_LATE_RETRIES} are allowed:"
        f" {', '.join(f'{at - crashes[2]:.1f}' for at in late)} s after it"
    )
    return len(late) > MAX_LATE_RETRIES


bed2.main(__file__, run)
