import asyncio
import pathlib
import signal

import pytest

from standins.fleet import Fleet
from tests.history import Answered
from tests.history import Caller
from tests.history import History
from tests.history import Moved
from tests.history import check_history
from tests.history import round_robin
from tests.support import TOKEN_SHA256
from tests.support import send

MAX_TOKENS = 300
CONFIG = (
    "create pool models with type = engine",
    "create pool vacancy with type = plain",
    "create service enquiries with pool = models",
    "create service beds with pool = vacancy",
    f"create kind enquiries/dossier with mode = must_arrive, max_tokens = {MAX_TOKENS}",
    'create kind beds/hold with mode = at_most_once, path = "/holds"',
    f'create workspace family with token_sha256 = "{TOKEN_SHA256}"',
)
HOSTS = {"host-0": "north", "host-1": "north", "host-2": "south", "host-3": "south"}
STOP_LIMIT_S = 60


async def start(
    fleet: Fleet, *, drain_limit_s: float = STOP_LIMIT_S, token_s: float = 0.015
) -> None:
    """Start four hosts in two failure domains, two engines and a plain service."""
    for index in range(2):
        await fleet.start_upstream(
            f"engine-{index}",
            role="engine",
            pool="models",
            failure_domain="core",
            args=("--slots", "64", "--token-s", str(token_s)),
        )
    await fleet.start_upstream("plain-0", role="plain", pool="vacancy", failure_domain="core")
    settings = f"[drain]\nlimit_s = {drain_limit_s}\n"
    await asyncio.gather(
        *(
            fleet.start_host(name, failure_domain=domain, settings=settings)
            for name, domain in HOSTS.items()
        )
    )
    await fleet.wait_ready()
    for statement in CONFIG:
        status, answer = await fleet.run_statement("host-0", statement)
        assert status == 200, answer
    await fleet.wait_revision(len(CONFIG))


def begin_callers(
    fleet: Fleet, history: History, available: set[str], count: int
) -> list[asyncio.Task[None]]:
    """Start callers with similar prompts behind a balancer over the hosts in ``available``."""
    balancer = round_robin(lambda: sorted(available))
    return [
        asyncio.create_task(
            Caller(
                number=number,
                prompt=f"review dossier {number % 100:02d} of the home at Howrah, part {number}",
                fleet=fleet,
                balancer=balancer,
            ).run(history, path="enquiries/dossier")
        )
        for number in range(count)
    ]


@pytest.mark.parametrize("drain_limit_s", [STOP_LIMIT_S, 2], ids=["finish", "hand over"])
async def test_rolling_stop_over_all_hosts_cuts_nothing(
    tmp_path: pathlib.Path, drain_limit_s: float
) -> None:
    async with Fleet(directory=tmp_path) as fleet:
        await start(fleet, drain_limit_s=drain_limit_s)
        history = History(max_tokens=MAX_TOKENS)
        available = set(HOSTS)
        callers = begin_callers(fleet, history, available, 40)
        await fleet.set_faults("plain-0", delay_s=1.0)
        for name in HOSTS:
            hold = asyncio.create_task(send(fleet, name, "beds/hold", {"bed": 1}, key=name))
            while name not in await fleet.get(fleet.standins["plain-0"].url + "/runs"):
                await asyncio.sleep(0.02)
            process = fleet.hosts[name].process
            process.signal(signal.SIGTERM)
            await process.wait_line(lambda line: line.get("message_type") == "daemon:draining")
            available.discard(name)
            status = await process.handle.wait()
            assert status == 0
            answer = await hold
            assert answer.status == 200 and answer.body["answer"]["run"] == 1, answer
            if len(available) == 1:
                break
        await asyncio.gather(*callers)
        check_history(history, callers=40)
        if drain_limit_s == 2:
            assert history.of(Moved)


async def test_reclaimed_failure_domain_loses_no_answer(tmp_path: pathlib.Path) -> None:
    async with Fleet(directory=tmp_path) as fleet:
        await start(fleet)
        history = History(max_tokens=MAX_TOKENS)
        available = set(HOSTS)
        callers = begin_callers(fleet, history, available, 32)
        while len(history.of(Answered)) < 1:
            await asyncio.sleep(0.02)
        notice = {"failure_domain": "north", "notice_s": 4}
        await fleet.post(fleet.standins["cloud"].url + "/reclaim", notice)
        available -= {"host-0", "host-1"}
        for name in ("host-0", "host-1"):
            admin = f"http://{fleet.hosts[name].caller}/readyz"
            while not (await fleet.get(admin))["draining"]:
                await asyncio.sleep(0.02)
        await asyncio.sleep(4.0)
        for name in ("host-0", "host-1"):
            await fleet.hosts[name].process.kill()
        await asyncio.gather(*callers)
        check_history(history, callers=32)


async def test_log_outage_during_the_stop_loses_no_outcome(tmp_path: pathlib.Path) -> None:
    async with Fleet(directory=tmp_path) as fleet:
        await start(fleet)
        await fleet.set_faults("plain-0", delay_s=1.0)
        hold = asyncio.create_task(send(fleet, "host-0", "beds/hold", {"bed": 1}, key="hold-1"))
        while "hold-1" not in await fleet.get(fleet.standins["plain-0"].url + "/runs"):
            await asyncio.sleep(0.02)
        await fleet.set_faults("log", outage=True)
        process = fleet.hosts["host-0"].process
        process.signal(signal.SIGTERM)
        answer = await hold
        assert answer.status == 200 and answer.body["answer"]["run"] == 1, answer
        assert await process.handle.wait() == 0
        moved = [line for line in process.lines if line.get("message_type") == "handover:records"]
        assert len(moved) == 1
        await fleet.set_faults("log")
        again = await send(fleet, "host-1", "beds/hold", {"bed": 1}, key="hold-1")
        while again.body.get("retry_after_s") is not None:
            await asyncio.sleep(0.05)
            again = await send(fleet, "host-1", "beds/hold", {"bed": 1}, key="hold-1")
        assert again.status == 200 and again.body["recorded"] is True, again
        assert again.body["answer"]["run"] == 1
        runs = await fleet.get(fleet.standins["plain-0"].url + "/runs")
        assert runs["hold-1"] == 1
