import asyncio
import pathlib

from standins.fleet import READER_TOKEN
from standins.fleet import Fleet
from tests.support import send
from tests.upstream_fleet import ENGINES
from tests.upstream_fleet import HOSTS
from tests.upstream_fleet import assert_complete
from tests.upstream_fleet import busiest_engine
from tests.upstream_fleet import long_prompts
from tests.upstream_fleet import new_fleet
from tests.upstream_fleet import start_dossiers
from tests.upstream_fleet import start_fleet
from tests.upstream_fleet import wait_runs
from tests.upstream_fleet import wait_until

CRASHED_UPSTREAM = 4003
QUARANTINED = 3006
CRASH_TEXT = "crash-on-this"


async def _has_quarantine(fleet: Fleet, host: str) -> bool:
    _, config = await fleet.run_statement(host, "show config", token=READER_TOKEN)
    return len(config["config"]["quarantines"]) > 0


async def test_crashing_request_repeated_on_all_hosts_crashes_at_most_two_upstreams(
    tmp_path: pathlib.Path,
) -> None:
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        for name in ENGINES:
            await fleet.set_faults(name, crash_on=CRASH_TEXT)
        prompts = long_prompts(6)
        tasks = start_dossiers(fleet, prompts)
        await wait_runs(fleet, 6)
        crashing = {"prompt": f"please {CRASH_TEXT}"}
        answers = [await send(fleet, host, "enquiries/dossier", crashing) for host in HOSTS]
        answers += [await send(fleet, host, "enquiries/dossier", crashing) for host in HOSTS]
        dead = [name for name in ENGINES if fleet.standins[name].process.ended]
        assert len(dead) == 2
        codes = [answer.body["code"] for answer in answers]
        assert codes == [CRASHED_UPSTREAM] + [QUARANTINED] * 5
        assert [answer.body["ran"] for answer in answers[1:]] == ["not run"] * 5
        assert_complete(prompts, await asyncio.gather(*tasks))
        for host in HOSTS:
            await wait_until(lambda host=host: _has_quarantine(fleet, host))


async def test_failure_of_a_domain_makes_no_request_suspect(tmp_path: pathlib.Path) -> None:
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        prompts = long_prompts(9)
        tasks = start_dossiers(fleet, prompts)
        await wait_runs(fleet, 9)
        await asyncio.gather(
            *(fleet.standins[name].process.kill() for name in ("engine-0", "engine-2"))
        )
        assert_complete(prompts, await asyncio.gather(*tasks))
        lines = [line for host in HOSTS for line in fleet.hosts[host].process.lines]
        assert not [line for line in lines if line.get("message_type") == "crash:suspect"]


async def test_death_without_a_crashing_request_quarantines_none(tmp_path: pathlib.Path) -> None:
    async with new_fleet(tmp_path) as fleet:
        await start_fleet(fleet)
        prompts = long_prompts(6)
        tasks = start_dossiers(fleet, prompts)
        await wait_runs(fleet, 6)
        await fleet.standins[await busiest_engine(fleet)].process.kill()
        assert_complete(prompts, await asyncio.gather(*tasks))
        assert_complete(prompts, await asyncio.gather(*start_dossiers(fleet, prompts)))
        assert not any([await _has_quarantine(fleet, host) for host in HOSTS])
