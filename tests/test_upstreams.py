import asyncio
import pathlib

import pytest

from tests.support import send
from tests.upstream_fleet import ENGINES
from tests.upstream_fleet import HOSTS
from tests.upstream_fleet import assert_complete
from tests.upstream_fleet import busiest_engine
from tests.upstream_fleet import long_prompts
from tests.upstream_fleet import metric
from tests.upstream_fleet import new_fleet
from tests.upstream_fleet import runs
from tests.upstream_fleet import start_dossiers
from tests.upstream_fleet import start_fleet
from tests.upstream_fleet import wait_leaving
from tests.upstream_fleet import wait_runs


async def test_streams_of_a_killed_engine_resume_on_other_engines(tmp_path: pathlib.Path) -> None:
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        prompts = long_prompts(12)
        tasks = start_dossiers(fleet, prompts)
        await wait_runs(fleet, 12)
        await fleet.standins[await busiest_engine(fleet)].process.kill()
        assert_complete(prompts, await asyncio.gather(*tasks))


async def test_engine_that_one_host_learns_is_leaving_is_marked_by_all(
    tmp_path: pathlib.Path,
) -> None:
    # Three of the hosts poll the cloud; the other two receive the leaving mark from them.
    hosts = tuple(f"host-{index}" for index in range(5))
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet, hosts=hosts)
        await fleet.set_faults("engine-0", leaving=True)
        prompts = long_prompts(12)
        tasks = [
            asyncio.create_task(send(fleet, "host-0", "enquiries/dossier", {"prompt": prompt}))
            for prompt in prompts
        ]
        await wait_leaving(fleet, "engine-0", hosts=hosts)
        assert_complete(prompts, await asyncio.gather(*tasks))


@pytest.mark.parametrize("refused", [False, True], ids=["kv-moves", "kv-refused"])
async def test_kv_cache_moves_with_long_prompts(tmp_path: pathlib.Path, refused: bool) -> None:
    prompt_tokens = 400
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        for name in ENGINES:
            await fleet.set_faults(name, refuse_kv=refused)
        prompts = long_prompts(8, tokens=prompt_tokens)
        tasks = start_dossiers(fleet, prompts)
        await wait_runs(fleet, 8)
        notice = {"hosts": [await busiest_engine(fleet)], "notice_s": 1.5}
        await fleet.post(fleet.standins["cloud"].url + "/reclaim", notice)
        answers = await asyncio.gather(*tasks)
        assert_complete(prompts, answers)
        moved = sum([len(await runs(fleet, name)) for name in ENGINES]) - len(prompts)
        recomputed = [await metric(fleet, host, "cassiawalk_recomputed_tokens") for host in HOSTS]
        assert moved > 0
        if refused:
            assert sum(recomputed) >= moved * prompt_tokens
        else:
            assert sum(recomputed) < moved * prompt_tokens / 4
