import asyncio
import pathlib
import typing as t

import pytest

from standins.answers import full_answer
from tests.support import send
from tests.upstream_fleet import HOSTS
from tests.upstream_fleet import QUICK_TOKENS
from tests.upstream_fleet import assert_complete
from tests.upstream_fleet import long_prompts
from tests.upstream_fleet import metric
from tests.upstream_fleet import new_fleet
from tests.upstream_fleet import runs
from tests.upstream_fleet import start_dossiers
from tests.upstream_fleet import start_fleet
from tests.upstream_fleet import wait_leaving
from tests.upstream_fleet import wait_runs

NORTH = ("engine-0", "engine-2")


@pytest.mark.parametrize(
    ("faults", "source"),
    [
        ({}, "notice and list"),
        ({"list_frozen": True}, "notice only, the list is outdated"),
        ({"lose_notices": True}, "list only, the notice is lost"),
    ],
    ids=["both", "list-lags", "notice-lost"],
)
async def test_reclaimed_domain_gets_no_new_work_and_cuts_no_stream(
    tmp_path: pathlib.Path, faults: dict[str, t.Any], source: str
) -> None:
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        await fleet.set_faults("cloud", **faults)
        prompts = long_prompts(18)
        tasks = start_dossiers(fleet, prompts[:12])
        await wait_runs(fleet, 12)
        notice = {"failure_domain": "north", "notice_s": 2.0}
        await fleet.post(fleet.standins["cloud"].url + "/reclaim", notice)
        await wait_leaving(fleet, *NORTH)
        before = [await runs(fleet, name) for name in NORTH]
        quick = [
            await send(fleet, host, "enquiries/quick", {"prompt": f"beds at {host}?"})
            for host in HOSTS
        ]
        tasks += start_dossiers(fleet, prompts[12:])
        await wait_runs(fleet, 1, "engine-1", "engine-3")
        assert [await runs(fleet, name) for name in NORTH] == before, source
        for name in NORTH:
            await fleet.standins[name].process.kill()
        assert_complete(prompts, await asyncio.gather(*tasks))
        for host, answer in zip(HOSTS, quick, strict=True):
            assert answer.body["answer"] == full_answer(f"beds at {host}?", QUICK_TOKENS)
        assert sum([await metric(fleet, host, "cassiawalk_retries") for host in HOSTS]) == 0


async def test_streams_complete_if_a_second_reclaim_starts_during_the_first(
    tmp_path: pathlib.Path,
) -> None:
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        prompts = long_prompts(12)
        tasks = start_dossiers(fleet, prompts)
        await wait_runs(fleet, 12)
        reclaim = fleet.standins["cloud"].url + "/reclaim"
        await fleet.post(reclaim, {"failure_domain": "north", "notice_s": 5.0})
        await wait_leaving(fleet, *NORTH)
        await fleet.post(reclaim, {"hosts": ["engine-1"], "notice_s": 0.5})
        await wait_leaving(fleet, "engine-1")
        for name in (*NORTH, "engine-1"):
            await fleet.standins[name].process.kill()
        assert_complete(prompts, await asyncio.gather(*tasks))
