import asyncio
import pathlib

from standins.fleet import OPERATOR_TOKEN
from tests.support import send
from tests.upstream_fleet import ENGINES
from tests.upstream_fleet import HOSTS
from tests.upstream_fleet import assert_whole
from tests.upstream_fleet import long_prompts
from tests.upstream_fleet import new_fleet
from tests.upstream_fleet import start_dossiers
from tests.upstream_fleet import start_fleet
from tests.upstream_fleet import wait_runs

CRASHED_UPSTREAM = 4003
QUARANTINED = 3006
CRASH_TEXT = "crash-on-this"


async def test_crashing_request_sent_again_to_other_hosts_takes_down_at_most_two_upstreams(
    tmp_path: pathlib.Path,
) -> None:
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        for name in ENGINES:
            await fleet.faults(name, crash_on=CRASH_TEXT)
        prompts = long_prompts(6)
        tasks = start_dossiers(fleet, prompts)
        await wait_runs(fleet, 6)
        bad = {"prompt": f"please {CRASH_TEXT}"}
        answers = [await send(fleet, host, "enquiries/dossier", bad) for host in HOSTS]
        answers += [await send(fleet, host, "enquiries/dossier", bad) for host in HOSTS]
        dead = [name for name in ENGINES if fleet.standins[name].process.ended]
        assert len(dead) == 2
        codes = [answer.body["code"] for answer in answers]
        assert codes == [CRASHED_UPSTREAM] + [QUARANTINED] * 5
        assert [answer.body["ran"] for answer in answers[1:]] == ["not run"] * 5
        assert_whole(prompts, await asyncio.gather(*tasks))
        _, config = await fleet.statement("host-1", "show config", token=OPERATOR_TOKEN)
        assert len(config["config"]["quarantines"]) == 1


async def test_failing_domain_puts_nobody_under_suspicion(tmp_path: pathlib.Path) -> None:
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        prompts = long_prompts(9)
        tasks = start_dossiers(fleet, prompts)
        await wait_runs(fleet, 9)
        await asyncio.gather(
            *(fleet.standins[name].process.kill() for name in ("engine-0", "engine-2"))
        )
        assert_whole(prompts, await asyncio.gather(*tasks))
        lines = [line for host in HOSTS for line in fleet.hosts[host].process.lines]
        assert not [line for line in lines if line.get("message_type") == "crash:suspect"]


async def test_death_without_a_crashing_request_blames_nobody(tmp_path: pathlib.Path) -> None:
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        prompts = long_prompts(6)
        tasks = start_dossiers(fleet, prompts)
        await wait_runs(fleet, 6)
        await wait_runs(fleet, 1, "engine-1")
        await fleet.standins["engine-1"].process.kill()
        assert_whole(prompts, await asyncio.gather(*tasks))
        assert_whole(prompts, await asyncio.gather(*start_dossiers(fleet, prompts)))
        _, config = await fleet.statement("host-1", "show config", token=OPERATOR_TOKEN)
        assert config["config"]["quarantines"] == {}
