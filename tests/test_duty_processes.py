"""Duties of host processes at a platform that accepts any fencing number and keeps the order."""

import asyncio
import contextlib
import pathlib
import signal
import typing as t

import pytest

from soak.fault_proxy import FaultProxy
from standins.platform import DutyCall
from standins.platform_fleet import BOUNDS
from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import wait_until

HOSTS = 3
LEASE_S = 3.0
PAUSE_S = 6.0
TAKEOVER_LIMIT_S = 20.0
MIN_CALLS = 3


class UnfencedFleet(t.NamedTuple):
    """Hosts, each behind a proxy of its own to the store."""

    platform: PlatformFleet
    store_proxies: list[FaultProxy]

    @property
    def calls(self) -> list[DutyCall]:
        return self.platform.duties.calls

    @property
    def holder(self) -> Host:
        return next(host for host in self.platform.hosts if host.name == self.calls[-1].holder)

    @property
    def holder_proxy(self) -> FaultProxy:
        return self.store_proxies[self.platform.hosts.index(self.holder)]

    async def wait_for_another(self, holder: Host) -> None:
        """Wait until another host has acted more than once."""
        await wait_until(
            lambda: {call.holder for call in self.calls[-2:]} - {holder.name}
            and self.calls[-1].holder == self.calls[-2].holder,
            TAKEOVER_LIMIT_S,
        )


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> t.AsyncIterator[UnfencedFleet]:
    async with (
        PlatformFleet(tmp_path, bounds={"require_fencing": False}) as platform,
        contextlib.AsyncExitStack() as stack,
    ):
        proxies = []
        await platform.add_upstream()
        for _ in range(HOSTS):
            proxy = FaultProxy(target=platform.store.address)
            await proxy.start()
            stack.push_async_callback(proxy.stop)
            proxies.append(proxy)
            await platform.add_host(store_address=proxy.address)
        for host in platform.hosts:
            await wait_until(host.ready)
        running = UnfencedFleet(platform, proxies)
        await wait_until(lambda: len(running.calls) >= MIN_CALLS, TAKEOVER_LIMIT_S)
        yield running


def check_order(calls: list[DutyCall]) -> None:
    """Check that fencing numbers never fall, and that no host returns within ``LEASE_S``."""
    tokens = [call.fencing_token for call in calls]
    assert tokens == sorted(tokens)
    holders = {call.fencing_token: call.holder for call in calls}
    assert len(set(holders.items())) == len({(c.fencing_token, c.holder) for c in calls})
    last: dict[str, DutyCall] = {}
    for before, call in zip(calls, calls[1:], strict=False):
        last[before.holder] = before
        if call.holder != before.holder and call.holder in last:
            assert call.at - last[call.holder].at > LEASE_S


async def test_holder_that_was_suspended(fleet: UnfencedFleet) -> None:
    holder = fleet.holder
    holder.process.send_signal(signal.SIGSTOP)
    await fleet.wait_for_another(holder)
    holder.process.send_signal(signal.SIGCONT)
    await asyncio.sleep(PAUSE_S)
    check_order(fleet.calls)


async def test_holder_that_is_suspended_for_about_as_long_as_its_lease(
    fleet: UnfencedFleet,
) -> None:
    for pause_s in (2.0, 3.5, 5.0):
        holder = fleet.holder
        holder.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        holder.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(PAUSE_S)
    check_order(fleet.calls)


async def test_holder_that_is_cut_off_from_the_store(fleet: UnfencedFleet) -> None:
    holder, proxy = fleet.holder, fleet.holder_proxy
    proxy.drop_direction("up")
    await fleet.wait_for_another(holder)
    proxy.drop_direction(None)
    await asyncio.sleep(PAUSE_S)
    check_order(fleet.calls)


async def test_holder_whose_renewals_arrive_but_are_not_answered(fleet: UnfencedFleet) -> None:
    holder, proxy = fleet.holder, fleet.holder_proxy
    proxy.drop_direction("down")
    await fleet.wait_for_another(holder)
    proxy.drop_direction(None)
    await asyncio.sleep(PAUSE_S)
    check_order(fleet.calls)


@pytest.mark.parametrize("direction", ["up", "down"])
@pytest.mark.parametrize("silence_s", [5.0, 6.0, 6.5])
async def test_holder_whose_link_heals_as_others_take_over(
    fleet: UnfencedFleet, direction: str, silence_s: float
) -> None:
    proxy = fleet.holder_proxy
    proxy.drop_direction(direction)
    await asyncio.sleep(silence_s)
    proxy.drop_direction(None)
    seen = len(fleet.calls)
    await wait_until(lambda: len(fleet.calls) >= seen + MIN_CALLS, TAKEOVER_LIMIT_S)
    await asyncio.sleep(PAUSE_S)
    check_order(fleet.calls)


async def test_platform_that_answers_slowly(fleet: UnfencedFleet) -> None:
    fleet.platform.duties.delay_s = 1.8
    holder, proxy = fleet.holder, fleet.holder_proxy
    proxy.drop_direction("up")
    await fleet.wait_for_another(holder)
    proxy.drop_direction(None)
    await asyncio.sleep(PAUSE_S)
    check_order(fleet.calls)


async def test_platform_whose_answers_are_lost(fleet: UnfencedFleet) -> None:
    fleet.platform.duties.loses_answers = True
    holder, proxy = fleet.holder, fleet.holder_proxy
    proxy.drop_direction("up")
    await fleet.wait_for_another(holder)
    proxy.drop_direction(None)
    fleet.platform.duties.loses_answers = False
    await asyncio.sleep(PAUSE_S)
    check_order(fleet.calls)


@pytest.mark.parametrize("signum", [signal.SIGKILL, signal.SIGTERM])
async def test_holders_that_are_restarted_one_after_the_other(
    fleet: UnfencedFleet, signum: signal.Signals
) -> None:
    for _ in range(3):
        holder = fleet.holder
        holder.process.send_signal(signum)
        await holder.process.wait()
        await fleet.platform.restart(holder)
        await wait_until(holder.ready)
        await asyncio.sleep(LEASE_S)
    check_order(fleet.calls)
    assert len({call.holder for call in fleet.calls}) > 1


async def test_host_that_takes_over_does_so_in_time_for_the_reports(fleet: UnfencedFleet) -> None:
    holder = fleet.holder
    holder.process.kill()
    killed_at = asyncio.get_running_loop().time()
    await fleet.wait_for_another(holder)
    check_order(fleet.calls)
    assert fleet.calls[-1].at - killed_at < BOUNDS["usage_late_s"]
