"""Configuration on real processes: racing operators, outages, retention, suspended hosts."""

import asyncio
import itertools
import pathlib
import random
import signal
import typing as t

import pytest

from cassiawalk.ids import HostId
from cassiawalk.ids import new_uuid7
from cassiawalk.membership import rank
from standins.fleet import Fleet

HOSTS = ("host-0", "host-1", "host-2")
COMMANDS = 1000
RESULT_CONFLICT = 6001
SEED = 20261203


@pytest.fixture
async def hosts(tmp_path: pathlib.Path) -> t.AsyncIterator[Fleet]:
    """Three hosts without upstreams."""
    async with Fleet(directory=tmp_path) as fleet:
        starts = [
            fleet.start_host(name, failure_domain=f"fd-{name}", settings=SETTINGS) for name in HOSTS
        ]
        await asyncio.gather(*starts)
        await fleet.wait_ready()
        yield fleet


SETTINGS = "[control]\nsnapshot_every = 8\nstaleness_bound_s = 4\n"


async def config(fleet: Fleet, host: str) -> dict[str, t.Any]:
    """Return a host's full configuration state."""
    status, answer = await fleet.run_statement(host, "show config")
    assert status == 200
    return t.cast(dict[str, t.Any], answer["config"])


async def wait_snapshot(fleet: Fleet, host: str, *, through: int) -> None:
    """Wait until a host has published a snapshot through at least the offset ``through``."""
    await fleet.hosts[host].process.wait_line(
        lambda line: (
            line.get("message_type") == "control:snapshot-published" and line["through"] >= through
        )
    )


async def test_racing_operators_reach_one_state_despite_lost_answers_and_repeated_commands(
    hosts: Fleet,
) -> None:
    rng = random.Random(SEED)
    numbers = itertools.count()
    accepted: dict[int, tuple[str, str]] = {}
    conflicts = 0

    async def operate(host: str) -> None:
        nonlocal conflicts
        for number in numbers:
            if number >= COMMANDS:
                return
            if number % 50 == 0:
                await hosts.set_faults("log", lose_answers=1)
            seen = (await hosts.get(f"http://{hosts.hosts[host].caller}/readyz"))["revision"]
            fields = f'type = plain, model = "n{number}"'
            text = f"put pool d{rng.randrange(6)} with {fields} at revision {seen}"
            command_id = new_uuid7()
            status, answer = await hosts.run_statement(host, text, command_id=command_id)
            if number % 25 == 0:
                other = HOSTS[(HOSTS.index(host) + 1) % len(HOSTS)]
                again = await hosts.run_statement(other, text, command_id=command_id)
                assert (again[0], again[1]["code"]) == (status, answer["code"]), (answer, again)
            if status == 200:
                assert answer["revision"] not in accepted
                accepted[answer["revision"]] = (command_id, text)
            else:
                assert answer["code"] == RESULT_CONFLICT, answer
                conflicts += 1

    await asyncio.gather(*(operate(host) for host in HOSTS for _ in range(3)))
    assert conflicts > 0
    assert len(accepted) + conflicts == COMMANDS
    assert sorted(accepted) == list(range(1, len(accepted) + 1))
    await hosts.wait_revision(len(accepted))
    states = [await config(hosts, host) for host in HOSTS]
    for revision, (command_id, text) in accepted.items():
        host = HOSTS[revision % len(HOSTS)]
        _, answer = await hosts.run_statement(host, text, command_id=command_id)
        assert answer["revision"] == revision
    assert states[0] == states[1] == states[2]


async def test_host_starts_in_an_outage_from_its_peers(hosts: Fleet) -> None:
    status, answer = await hosts.run_statement("host-0", "create pool a with type = plain")
    assert status == 200, answer
    await hosts.wait_revision(1)
    await hosts.set_faults("log", outage=True)
    refused, answer = await hosts.run_statement("host-1", "create pool b with type = plain")
    assert refused == 503
    assert answer["ran"] == "not run"
    await hosts.start_host("host-3", failure_domain="fd", settings=SETTINGS)
    await hosts.wait_ready("host-3")
    new, old = await config(hosts, "host-3"), await config(hosts, "host-0")
    assert new == old
    await hosts.set_faults("log", outage=False)
    status, answer = await hosts.run_statement("host-3", "create pool b with type = plain")
    assert status == 200, answer
    await hosts.wait_revision(2)


async def test_hosts_catch_up_after_records_expired(hosts: Fleet) -> None:
    first_id = new_uuid7()
    for number in range(1, 21):
        command_id = first_id if number == 1 else new_uuid7()
        text = f'put pool a with type = plain, model = "{number}"'
        status, answer = await hosts.run_statement("host-0", text, command_id=command_id)
        assert status == 200, answer
    stopped = rank("control-housekeeping", [HostId(host) for host in HOSTS])[0]
    others = [host for host in HOSTS if host != stopped]
    hosts.hosts[stopped].process.signal(signal.SIGSTOP)
    for number in range(21, 41):
        status, answer = await hosts.run_statement(
            others[0], f'put pool a with type = plain, model = "{number}"'
        )
        assert status == 200, answer
    published = [asyncio.create_task(wait_snapshot(hosts, host, through=30)) for host in others]
    await next(asyncio.as_completed(published))
    for task in published:
        task.cancel()
    log = hosts.standins["log"].url
    await hosts.post(f"{log}/streams/control/expire", {"through": 30})
    hosts.hosts[stopped].process.signal(signal.SIGCONT)
    await hosts.start_host("host-3", failure_domain="fd", settings=SETTINGS)
    await hosts.wait_ready("host-3")
    await hosts.wait_revision(40)
    states = [await config(hosts, host) for host in hosts.hosts]
    assert all(state == states[0] for state in states)
    repeat = await hosts.run_statement(
        "host-3", 'put pool a with type = plain, model = "1"', command_id=first_id
    )
    assert repeat[1]["revision"] == 1
    assert (await config(hosts, "host-3"))["pools"]["a"]["model"] == "40"


async def test_suspended_host_serves_no_stale_configuration_when_it_resumes(hosts: Fleet) -> None:
    process = hosts.hosts["host-1"].process
    status, answer = await hosts.run_statement("host-0", "create pool a with type = plain")
    assert status == 200, answer
    await hosts.wait_revision(1)
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(5)
    for name in "bcd":
        status, answer = await hosts.run_statement(
            "host-0", f"create pool {name} with type = plain"
        )
        assert status == 200, answer
    sent = asyncio.create_task(hosts.get(f"http://{hosts.hosts['host-1'].caller}/readyz"))
    await asyncio.sleep(0.1)
    process.signal(signal.SIGCONT)
    answer = await sent
    assert not answer["ready"] or answer["revision"] == 4, answer
    await hosts.wait_ready("host-1")
    await hosts.wait_revision(4)
    assert await config(hosts, "host-1") == await config(hosts, "host-0")
