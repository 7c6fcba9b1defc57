"""Demonstrates that requests complete while a failure domain is reclaimed.

It starts stand-ins and three daemons on loopback, creates the Shayyasandhan configuration with
``cassiawalk`` and sends requests of every kind. Meanwhile one failure domain gets a reclaim notice,
and its processes are killed at the end of the notice. The exit status is 0 only if every request
got a complete and correct answer, or was refused without being run, and no key ran twice.
"""

import asyncio
import collections
import contextlib
import io
import itertools
import os
import pathlib
import sys
import tempfile
import time

from cassiawalk.cli import main as run_tool
from examples.caller import Answer
from examples.caller import Balancer
from examples.caller import send_request
from standins.answers import full_answer
from standins.fleet import OPERATOR_TOKEN
from standins.fleet import Fleet

DOMAINS = ("kolkata", "howrah", "durgapur")
RECLAIMED = "howrah"
NOTICE_S = 2.0
ENGINES_PER_DOMAIN = 3
ENGINE_ARGS = ("--slots", "8", "--token-s", "0.03")
CONFIG_PATH = str(pathlib.Path(__file__).with_name("shayyasandhan.conf"))
WAVES = 8
WAVE_INTERVAL_S = 0.5
RECLAIM_AT_WAVE = 3

_STREAMED_MAX_TOKENS = {
    "placement/dossier-review": 160,
    "enquiries/summary": 64,
    "enquiries/bed-status": 16,
}
_CALL_PATHS = ("beds/hold", "beds/listing")
_WORKSPACES = (
    "kolkata-discharge",
    "howrah-homes",
    "durgapur-families",
    "siliguri-nurses",
)


async def start_fleet(fleet: Fleet) -> None:
    """Start upstreams and a host in every failure domain."""
    for domain in DOMAINS:
        for index in range(ENGINES_PER_DOMAIN):
            await fleet.start_upstream(
                f"{domain}-engine-{index}",
                role="engine",
                pool="bengal-models",
                failure_domain=domain,
                args=ENGINE_ARGS,
            )
        await fleet.start_upstream(
            f"{domain}-vacancy", role="plain", pool="vacancy", failure_domain=domain
        )
        await fleet.start_host(f"{domain}-host", failure_domain=domain)
    await fleet.wait_ready()


def configure(fleet: Fleet) -> int:
    """Create the configuration with the command-line tool and return its exit status."""
    admin = f"http://{fleet.hosts['kolkata-host'].admin}"
    return run_tool(
        ["run", "--file", CONFIG_PATH, "--admin", admin, "--token", OPERATOR_TOKEN, "--wait"]
    )


async def send_waves(balancer: Balancer, reclaim_event: asyncio.Event) -> list[Answer]:
    """Send requests of every kind in waves, set ``reclaim_event`` meanwhile, return the answers."""
    tasks = []
    numbers = itertools.count()
    for wave in range(WAVES):
        if wave == RECLAIM_AT_WAVE:
            reclaim_event.set()
        for workspace in _WORKSPACES:
            for path in (*_STREAMED_MAX_TOKENS, *_CALL_PATHS):
                coro = send_request(balancer, workspace, path, number=next(numbers))
                tasks.append(asyncio.create_task(coro))
        await asyncio.sleep(WAVE_INTERVAL_S)
    return list(await asyncio.gather(*tasks))


async def reclaim_domain(fleet: Fleet, balancer: Balancer, reclaim_event: asyncio.Event) -> None:
    """Announce the reclaim of a failure domain and kill its processes at the end of the notice."""
    await reclaim_event.wait()
    body = {"failure_domain": RECLAIMED, "notice_s": NOTICE_S}
    await fleet.post(fleet.standins["cloud"].url + "/reclaim", body)
    balancer.remove_host(f"{RECLAIMED}-host")
    print(f"-- {RECLAIMED} is reclaimed with {NOTICE_S:g} s notice")
    await asyncio.sleep(NOTICE_S)
    names = [name for name in fleet.standins if name.startswith(RECLAIMED)]
    for name in names:
        await fleet.standins[name].process.kill()
    await fleet.hosts[f"{RECLAIMED}-host"].process.kill()
    for name in (*names, f"{RECLAIMED}-host"):
        await fleet.post(f"{fleet.standins['cloud'].url}/hosts/{name}/remove")
    print(f"-- {RECLAIMED} has been stopped")


async def count_runs(fleet: Fleet) -> collections.Counter[str]:
    """Return how often each key ran, summed over the live vacancy services."""
    total: collections.Counter[str] = collections.Counter()
    for domain in DOMAINS:
        if domain != RECLAIMED:
            total.update(await fleet.get(fleet.standins[f"{domain}-vacancy"].url + "/runs"))
    return total


def find_faults(answers: list[Answer], runs: collections.Counter[str]) -> list[str]:
    """Return a description of each incomplete or wrong answer and of each repeated execution."""
    faults = []
    for answer in answers:
        if answer.refused and answer.ran == "not run":
            continue
        if not answer.complete:
            faults.append(f"{answer.label}: incomplete answer ({answer.detail})")
        elif answer.path in _STREAMED_MAX_TOKENS and answer.text != _expected(answer):
            faults.append(f"{answer.label}: the answer differs from the expected text")
    faults += [f"key {key} ran {count} times" for key, count in runs.items() if count > 1]
    refused = {answer.key for answer in answers if answer.refused and answer.ran == "not run"}
    faults += [f"key {key} ran, but was reported as 'not run'" for key in refused & set(runs)]
    return faults


def _expected(answer: Answer) -> str:
    return full_answer(answer.prompt, _STREAMED_MAX_TOKENS[answer.path])


def report(answers: list[Answer], faults: list[str]) -> None:
    """Print the results by workspace and kind, and the faults."""
    print(
        f"\n{'workspace':20} {'kind':26} {'whole':>5} {'refused':>7} {'handovers':>9} {'p95 s':>6}"
    )
    groups = collections.defaultdict(list)
    for answer in answers:
        groups[answer.workspace, answer.path].append(answer)
    for (workspace, path), group in sorted(groups.items()):
        times = sorted(answer.seconds for answer in group)
        p95 = times[min(len(times) - 1, int(len(times) * 0.95))]
        whole = sum(answer.complete for answer in group)
        refused = sum(answer.refused for answer in group)
        reattachments = sum(answer.reattachments for answer in group)
        print(f"{workspace:20} {path:26} {whole:5} {refused:7} {reattachments:9} {p95:6.2f}")
    for fault in faults:
        print(f"FAULT {fault}")


async def print_metrics(fleet: Fleet) -> None:
    """Print the sums of tokens, retries, refusals and handovers over the live hosts."""
    totals: collections.Counter[str] = collections.Counter()
    for name, host in fleet.hosts.items():
        if name.startswith(RECLAIMED):
            continue
        res = await fleet.http.get(f"http://{host.admin}/metrics")
        for line in (await res.content()).decode().splitlines():
            if line.startswith("#"):
                continue
            metric, _, value = line.rpartition(" ")
            family = metric.partition("{")[0]
            if family.endswith(("_tokens", "_retries", "_refusals", "_handovers")):
                totals[family] += round(float(value))
    print("\nmetrics of the live hosts: " + ", ".join(f"{k}={v}" for k, v in totals.items()))


async def run(directory: pathlib.Path) -> int:
    """Run the demonstration and return the exit status."""
    began = time.monotonic()
    async with Fleet(directory=directory) as fleet:
        await start_fleet(fleet)
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            status = await asyncio.to_thread(configure, fleet)
        if status != 0:
            print(printed.getvalue())
            return status
        print(f"-- {len(fleet.hosts)} hosts and {len(fleet.standins)} stand-ins are ready")
        balancer = Balancer(fleet=fleet)
        reclaim_event = asyncio.Event()
        reclaiming = asyncio.create_task(reclaim_domain(fleet, balancer, reclaim_event))
        answers = await send_waves(balancer, reclaim_event)
        await reclaiming
        faults = find_faults(answers, await count_runs(fleet))
        report(answers, faults)
        await print_metrics(fleet)
        statuses = [
            await host.process.stop()
            for name, host in fleet.hosts.items()
            if not name.startswith(RECLAIMED)
        ]
    print(f"hosts stopped with status {statuses}, {time.monotonic() - began:.0f} s in all")
    return 1 if faults or any(statuses) else 0


def main() -> None:
    """Run the demonstration in a temporary directory."""
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    with tempfile.TemporaryDirectory() as directory:
        sys.exit(asyncio.run(run(pathlib.Path(directory))))


if __name__ == "__main__":
    main()
