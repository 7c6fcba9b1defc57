import pathlib
import typing as t

import hypothesis
import pytest

from standins.fleet import Fleet
from tests.support import SMALL_CONFIG

UPSTREAMS = 4

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None, database=None)
hypothesis.settings.load_profile("ci")


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> t.AsyncIterator[Fleet]:
    """Two hosts, two engines and two plain services with a small configuration."""
    async with Fleet(directory=tmp_path) as running:
        for index, domain in enumerate(("north", "south")):
            await running.start_upstream(
                f"engine-{index}", role="engine", pool="models", failure_domain=domain
            )
            await running.start_upstream(
                f"plain-{index}", role="plain", pool="vacancy", failure_domain=domain
            )
            await running.start_host(f"host-{index}", failure_domain=domain)
        await running.wait_ready()
        for statement in SMALL_CONFIG:
            status, answer = await running.run_statement("host-0", statement)
            assert status == 200, answer
        await running.wait_revision(len(SMALL_CONFIG))
        await running.wait_upstreams(UPSTREAMS)
        yield running
