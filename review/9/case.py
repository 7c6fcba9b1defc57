"""Entries of another writer, with a service that nobody knows, at the addresses of workers."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import bed2  # noqa: E402

ZONES = ("nrb-a", "nrb-b", "thk-a", "mch-a")
HOSTS = 3
RUN_S = 30.0
SETTLE_S = 2.0
EVERY_S = 0.1


async def run(bed: bed2.Bed) -> int:
    """Return whether no request is served."""
    routes = [bed2.route("ncr-close", "/once/", "unsafe", "audit-app", max_attempts=1)]
    services = [{"name": "audit-app", "max_connections": 100, "health_path": "/health"}]
    await bed.store.put("keyed.op", "config", bed2.config(1, routes, services))
    await bed.add_workers("audit-app", ZONES, 1)
    for zone in ZONES[:HOSTS]:
        await bed.add_host(zone, ZONES)
    await bed.wait_ready()
    await asyncio.sleep(bed2.STABILITY_S)
    if bed2.TROUBLE:
        for worker in bed.workers:
            await _write_odd_entry(bed, worker)
    await asyncio.sleep(SETTLE_S)
    served = await _ask(bed, "request", RUN_S)
    return bed2.HELD if served else bed2.BROKEN


async def _write_odd_entry(bed: bed2.Bed, worker: bed2.WorkerProcess) -> None:
    entry = {
        "service": "exporter",
        "address": worker.address,
        "zone": worker.zone,
        "version": "1",
        "slots": 1,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    key = f"exporter-{worker.worker_id}"
    await bed.store.put("keyed.servers", key, entry)
    bed.note(f"another writer writes servers/{key}: {entry}")


async def _ask(bed: bed2.Bed, name: str, for_s: float) -> int:
    """Send requests for a time and return how many were served."""
    loop = asyncio.get_running_loop()
    ends_at, answers, sent = loop.time() + for_s, dict[str, int](), 0
    while loop.time() < ends_at:
        sent += 1
        host = bed.hosts[sent % HOSTS]
        request_id = f"{name}-{sent}"
        answer = await bed2.request(host, request_id, "/once/x", b"n=%d" % sent, deadline_ms=1500)
        what = str(answer).replace(request_id, "ID")
        answers[what] = answers.get(what, 0) + 1
        await asyncio.sleep(EVERY_S)
    for what, count in sorted(answers.items()):
        bed.note(f"{name}: {count:5d} x {what}")
    return sum(count for what, count in answers.items() if what.startswith("200 whole"))


bed2.main(__file__, run)
