"""What a whole fleet of hosts does with crashing requests and with innocent ones."""

import asyncio
import collections.abc as cabc
import itertools

import pytest

from cassiawalk.ids import HostId
from cassiawalk.ids import UpstreamId
from cassiawalk.results import ResultCode
from tests.crash_fakes import StoreTrouble
from tests.crash_fleet import STABILITY_S
from tests.crash_fleet import CrashFleet

pytestmark = pytest.mark.looptime

BAD = b"bad"
POPULAR = b"popular"
MAX_LATE_RETRIES = 3
BLAMED = (ResultCode.QUARANTINED, ResultCode.SUSPECT, ResultCode.CRASHED_UPSTREAM)


async def _repeat(
    fleet: CrashFleet, body: bytes, hosts: cabc.Sequence[HostId], *, for_s: float, every_s: float
) -> None:
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + for_s
    for host in itertools.cycle(hosts):
        if loop.time() >= ends_at:
            return
        if host in fleet.hosts and host not in fleet.frozen:
            await fleet.send(host, body)
        await asyncio.sleep(every_s)


def _names(fleet: CrashFleet) -> list[HostId]:
    return list(fleet.hosts)


@pytest.mark.parametrize(("hosts", "for_s"), [(1, 25.0), (7, 25.0), (89, 12.0)])
async def test_repeats_at_all_hosts_stay_in_bound(hosts: int, for_s: float) -> None:
    async with CrashFleet(hosts=hosts, upstreams=6) as fleet:
        fleet.crashing.add(BAD)
        await _repeat(fleet, BAD, _names(fleet), for_s=for_s, every_s=0.1)
        assert 3 <= len(fleet.crashes) <= 3 + MAX_LATE_RETRIES
        assert fleet.late_retries(BAD) <= MAX_LATE_RETRIES
        assert fleet.codes(BAD)[-1] is ResultCode.QUARANTINED


@pytest.mark.parametrize(("hosts", "for_s"), [(7, 30.0), (89, 14.0)])
async def test_repeats_stay_in_bound_while_hosts_are_killed_in_turn(
    hosts: int, for_s: float
) -> None:
    async with CrashFleet(hosts=hosts, upstreams=6) as fleet:
        fleet.crashing.add(BAD)
        names = _names(fleet)
        repeats = asyncio.create_task(_repeat(fleet, BAD, names, for_s=for_s, every_s=0.1))
        for name in itertools.islice(itertools.cycle(names), int(for_s / 2) - 1):
            await asyncio.sleep(2.0)
            await fleet.restart(name)
        await repeats
        assert fleet.late_retries(BAD) <= MAX_LATE_RETRIES


async def test_repeats_stay_in_bound_at_a_host_that_is_cut_off_from_its_peers() -> None:
    async with CrashFleet(hosts=7, upstreams=6) as fleet:
        fleet.crashing.add(BAD)
        names = _names(fleet)
        fleet.isolated.add(names[4])
        await asyncio.sleep(3.0)
        await _repeat(fleet, BAD, names[:4], for_s=10.0, every_s=0.1)
        await _repeat(fleet, BAD, names, for_s=20.0, every_s=0.1)
        assert fleet.late_retries(BAD) <= MAX_LATE_RETRIES


@pytest.mark.parametrize("trouble", StoreTrouble)
@pytest.mark.parametrize("hosts_in_trouble", [1, 7])
async def test_repeats_stay_in_bound_while_the_store_is_in_trouble(
    trouble: StoreTrouble, hosts_in_trouble: int
) -> None:
    async with CrashFleet(hosts=7, upstreams=6) as fleet:
        fleet.crashing.add(BAD)
        for host in list(fleet.hosts.values())[:hosts_in_trouble]:
            host.log.trouble = trouble
        await _repeat(fleet, BAD, _names(fleet), for_s=25.0, every_s=0.1)
        assert len(fleet.crashes) >= 3
        assert fleet.late_retries(BAD) <= MAX_LATE_RETRIES


async def test_repeats_stay_in_bound_when_the_store_returns_from_an_older_copy() -> None:
    async with CrashFleet(hosts=7, upstreams=6) as fleet:
        fleet.crashing.add(BAD)
        names = _names(fleet)
        await _repeat(fleet, BAD, names, for_s=10.0, every_s=0.1)
        assert fleet.streams.records["suspects"]
        fleet.streams.records["suspects"].clear()
        fleet.streams.era += 1
        await asyncio.sleep(8.0)
        await asyncio.gather(*(fleet.restart(name) for name in names))
        await asyncio.sleep(3.0)
        await _repeat(fleet, BAD, names, for_s=10.0, every_s=0.1)
        assert fleet.late_retries(BAD) <= MAX_LATE_RETRIES


async def test_repeats_stay_in_bound_while_hosts_freeze_in_turn() -> None:
    async with CrashFleet(hosts=7, upstreams=6) as fleet:
        fleet.crashing.add(BAD)
        names = _names(fleet)
        repeats = asyncio.create_task(_repeat(fleet, BAD, names, for_s=25.0, every_s=0.1))
        for name in names[:5]:
            fleet.frozen.add(name)
            await asyncio.sleep(4.0)
            fleet.frozen.discard(name)
        await repeats
        assert fleet.late_retries(BAD) <= MAX_LATE_RETRIES


@pytest.mark.parametrize(("hosts", "for_s"), [(7, 20.0), (89, 8.0)])
async def test_many_copies_at_once_do_not_escape(hosts: int, for_s: float) -> None:
    async with CrashFleet(hosts=hosts, upstreams=18) as fleet:
        fleet.crashing.add(BAD)
        names = _names(fleet)
        await asyncio.gather(
            *(_repeat(fleet, BAD, [name], for_s=for_s, every_s=0.3) for name in names)
        )
        assert fleet.codes(BAD)[-1] is ResultCode.QUARANTINED
        assert fleet.late_retries(BAD) <= MAX_LATE_RETRIES


async def test_requests_beside_the_crashing_one_are_not_blamed() -> None:
    async with CrashFleet(hosts=7, upstreams=4) as fleet:
        fleet.crashing.add(BAD)
        names = _names(fleet)
        others = [b"other %d" % number for number in range(40)]
        await asyncio.gather(
            _repeat(fleet, BAD, names, for_s=20.0, every_s=0.1),
            *(_repeat(fleet, body, names, for_s=20.0, every_s=0.05) for body in others),
        )
        assert [code for body in others for code in fleet.codes(body) if code in BLAMED] == []
        assert fleet.late_retries(BAD) <= MAX_LATE_RETRIES


@pytest.mark.parametrize("gap_s", [0.0, 0.3, 1.0])
async def test_request_that_a_failing_domain_took_several_times_is_served(gap_s: float) -> None:
    async with CrashFleet(hosts=7, upstreams=12, domains=2) as fleet:
        names = _names(fleet)
        failing = [f"u-{number}" for number in range(0, 12, 2)]
        for number, name in enumerate(failing):
            run = asyncio.create_task(fleet.send(names[number], b"unlucky", upstream=name))
            await asyncio.sleep(0.01)
            fleet.crash(UpstreamId(name))
            await run
            await asyncio.sleep(gap_s)
        await asyncio.sleep(4.0)
        assert await fleet.send(names[0], b"unlucky")
        assert ResultCode.QUARANTINED not in fleet.codes(b"unlucky")


async def test_popular_request_is_served_while_upstreams_crash() -> None:
    async with CrashFleet(hosts=7, upstreams=8) as fleet:
        fleet.crashing.add(BAD)
        names = _names(fleet)
        popular = [
            asyncio.create_task(_repeat(fleet, POPULAR, [name], for_s=20.0, every_s=0.01))
            for name in names
        ]
        await _repeat(fleet, BAD, names, for_s=15.0, every_s=0.1)
        for number in range(8):
            fleet.crash(UpstreamId(f"u-{number}"))
            await asyncio.sleep(0.2)
        await asyncio.gather(*popular)
        assert ResultCode.QUARANTINED not in fleet.codes(POPULAR)
        assert len([code for code in fleet.codes(POPULAR) if code in BLAMED]) <= len(names)
        await asyncio.sleep(5.0)
        assert await fleet.send(names[0], POPULAR)


async def test_request_of_a_service_with_one_upstream_is_tried_again_in_the_end() -> None:
    async with CrashFleet(hosts=3, upstreams=1) as fleet:
        names = _names(fleet)
        for name in names[:2]:
            run = asyncio.create_task(fleet.send(name, b"unlucky"))
            await asyncio.sleep(0.01)
            fleet.crash(UpstreamId("u-0"))
            await run
            await asyncio.sleep(2.5)
        assert not await fleet.send(names[2], b"unlucky")
        assert await fleet.send(names[2], b"another")
        await asyncio.sleep(15.0)
        assert await fleet.send(names[2], b"unlucky")


async def _convict_without(fleet: CrashFleet, absent: HostId) -> int:
    """Let the other hosts convict the crashing request; return how often it has run."""
    fleet.crashing.add(BAD)
    others = [name for name in _names(fleet) if name != absent]
    await _repeat(fleet, BAD, others, for_s=9.0, every_s=0.1)
    assert fleet.codes(BAD)[-1] is ResultCode.QUARANTINED
    return len(fleet.runs)


async def test_host_that_missed_all_messages_learns_of_the_request_from_its_peers() -> None:
    async with CrashFleet(hosts=7, upstreams=6) as fleet:
        late = _names(fleet)[4]
        fleet.isolated.add(late)
        fleet.hosts[late].log.trouble = StoreTrouble.REFUSES
        runs = await _convict_without(fleet, late)
        fleet.isolated.discard(late)
        await asyncio.sleep(STABILITY_S)
        fleet.refusals.clear()
        assert not await fleet.send(late, BAD)
        assert fleet.codes(BAD) == [ResultCode.QUARANTINED]
        assert len(fleet.runs) == runs


async def test_host_without_peers_learns_of_the_request_from_the_store() -> None:
    async with CrashFleet(hosts=7, upstreams=6) as fleet:
        alone = _names(fleet)[4]
        fleet.isolated.add(alone)
        await asyncio.sleep(STABILITY_S)
        runs = await _convict_without(fleet, alone)
        await asyncio.sleep(STABILITY_S)
        fleet.refusals.clear()
        assert not await fleet.send(alone, BAD)
        assert fleet.codes(BAD) == [ResultCode.QUARANTINED]
        assert len(fleet.runs) == runs


async def test_request_on_two_of_the_upstreams_of_a_failing_domain_is_not_held() -> None:
    async with CrashFleet(hosts=7, upstreams=12, domains=2) as fleet:
        names = _names(fleet)
        failing = [f"u-{number}" for number in range(0, 12, 2)]
        runs = [
            asyncio.create_task(fleet.send(host, body, upstream=name))
            for host, body, name in zip(
                names, [b"unlucky"] * 2 + [b"a", b"b", b"c", b"d"], failing, strict=False
            )
        ]
        await asyncio.sleep(0.01)
        for name in failing:
            fleet.crash(UpstreamId(name))
        await asyncio.gather(*runs)
        await asyncio.sleep(0.1)
        assert await fleet.send(names[6], b"unlucky")


async def test_upstreams_that_fall_silent_under_a_request_count_as_dead() -> None:
    async with CrashFleet(hosts=7, upstreams=6) as fleet:
        fleet.crashing.add(BAD)
        fleet.silent_crashes = True
        await _repeat(fleet, BAD, _names(fleet), for_s=40.0, every_s=0.5)
        assert fleet.late_retries(BAD) <= MAX_LATE_RETRIES
        assert fleet.codes(BAD)[-1] is ResultCode.QUARANTINED
