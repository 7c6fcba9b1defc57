"""The operators' command that lists and lifts verdicts, against hosts run as processes."""

import asyncio
import pathlib
import sys
import time

from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import wait_until
from tests.part_callers import BAD
from tests.part_callers import PartCallers
from tests.part_callers import bad_second
from tests.part_callers import sound

HEARD_S = 2.0


async def _run(fleet: PlatformFleet, *args: str) -> tuple[int, str]:
    command = [sys.executable, "-m", "cassiawalk.platform.verdicts", "--store", fleet.store.address]
    process = await asyncio.create_subprocess_exec(
        *command, *args, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode()


async def test_operator_lists_and_lifts_a_verdict(tmp_path: pathlib.Path) -> None:
    crashing = {BAD}
    async with PlatformFleet(tmp_path) as fleet:
        for _ in range(5):
            await fleet.add_upstream(crash_on_parts=crashing, prefill_s=0.1)
        for _ in range(2):
            await fleet.add_host()
        for host in fleet.hosts:
            await wait_until(host.ready)
        assert await _run(fleet, "list") == (0, "")
        callers = PartCallers(fleet)
        await asyncio.gather(
            callers.run(sound, callers.sound, per_s=10.0, for_s=5.0),
            callers.run(bad_second, callers.bad, per_s=6.0, for_s=5.0),
        )
        status, listed = await _run(fleet, "list")
        assert status == 0
        assert listed.startswith(f"{BAD}: refused for ")
        assert (await _run(fleet, "lift", "another"))[0] == 1
        crashing.clear()
        assert await _run(fleet, "lift", BAD) == (0, f"lifted: {BAD}\n")
        await asyncio.sleep(HEARD_S)
        lifted_at = time.monotonic()
        await callers.run(bad_second, callers.bad, per_s=6.0, for_s=2.0)
        assert [sent.status for sent in callers.bad if sent.at > lifted_at] != []
        assert all(sent.served for sent in callers.bad if sent.at > lifted_at)
        assert await _run(fleet, "list") == (0, "")
