"""Entries of other writers with the addresses or ids of sound upstreams, at host processes."""

import asyncio
import collections.abc as cabc
import pathlib
import time
import typing as t

import pytest

from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import wait_until
from tests.news_support import callers
from tests.news_support import settled_fleet

HOSTS = 2
UPSTREAMS = 3
WATCHED_S = 3.0
RENEWAL_S = 0.4
MIN_ANSWERS = 50
UNUSED_ADDRESS = "127.0.0.1:9"
SERVED_AFTER_S = 3.0  # from the renewal of the entries

Entry = dict[str, t.Any]


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> cabc.AsyncIterator[PlatformFleet]:
    async def add_hosts(running: PlatformFleet) -> None:
        for _ in range(HOSTS):
            await running.add_host()

    async with settled_fleet(tmp_path, upstreams=UPSTREAMS, add_hosts=add_hosts) as running:
        yield running


def _foreign(entry_of_upstream: Entry) -> Entry:
    return {**entry_of_upstream, "service": "exporter", "born": int(time.time() * 1000) * 2}


def _later(entry_of_upstream: Entry) -> Entry:
    return {**entry_of_upstream, "born": int(time.time() * 1000) * 2}


# Guards against sound upstreams out of use as an unknown service is listed at their addresses.
async def test_all_are_served_after_entries_of_an_unknown_service_at_every_address(
    fleet: PlatformFleet,
) -> None:
    statuses = await _watch_entries_at_every_address(fleet, _foreign)
    assert set(statuses) == {200}


# Guards against sound upstreams out of use as later processes are listed at their addresses.
async def test_upstreams_stay_in_use_after_later_entries_at_every_address(
    fleet: PlatformFleet,
) -> None:
    statuses = await _watch_entries_at_every_address(fleet, _later)
    # Each host finds out by a request that the entry's process is not there.
    assert sum(status != 200 for status in statuses) <= HOSTS * UPSTREAMS
    assert set(statuses[-10:]) == {200}


async def _watch_entries_at_every_address(
    fleet: PlatformFleet, odd: cabc.Callable[[Entry], Entry]
) -> list[int]:
    """Return the statuses of requests after an entry under another key at each address."""
    for upstream in fleet.upstreams:
        key = f"exporter-{upstream.upstream_id}"
        await fleet.store.put("keyed.servers", key, odd(upstream.entry()))
    async with callers(fleet.hosts) as statuses:
        await asyncio.sleep(WATCHED_S)
    assert len(statuses) > MIN_ANSWERS
    return statuses


# Guards against sound upstreams out of use as another writer takes their ids for its own service.
async def test_all_are_served_after_foreign_entries_under_the_ids_of_upstreams(
    fleet: PlatformFleet,
) -> None:
    for upstream in fleet.upstreams:
        await upstream.write(_foreign(upstream.entry()))
    async with callers(fleet.hosts) as statuses:
        for _ in range(round(WATCHED_S / RENEWAL_S)):
            await asyncio.sleep(RENEWAL_S)
            for upstream in fleet.upstreams:
                await upstream.register()
    assert set(statuses) == {200}


# Guards against hosts that start with another writer's entry under an upstream's id, and keep it.
async def test_host_that_starts_with_foreign_entries_serves_once_they_are_replaced(
    fleet: PlatformFleet,
) -> None:
    for upstream in fleet.upstreams:
        await upstream.write(_foreign(upstream.entry()))
    host = fleet.hosts[0]
    host.process.kill()
    await host.process.wait()
    await fleet.restart(host)
    await wait_until(host.ready)
    for upstream in fleet.upstreams:
        await upstream.register()
    await wait_until(lambda: _is_served(host), SERVED_AFTER_S)


async def _is_served(host: Host) -> bool:
    return (await host.request(build_request("q"))).status == 200


def _incomplete(entry_of_upstream: Entry) -> Entry:
    odd = {**_later(entry_of_upstream), "address": UNUSED_ADDRESS, "version": 1}
    del odd["cold_remaining_ms"]
    return odd


def _elsewhere(entry_of_upstream: Entry) -> Entry:
    return {**_later(entry_of_upstream), "address": UNUSED_ADDRESS}


# Guards against sound upstreams that are hidden by entries of another writer under their ids, which
# it renews as they do theirs.
@pytest.mark.parametrize("odd", [_incomplete, _elsewhere])
async def test_all_are_served_while_another_writer_renews_entries_under_the_ids(
    fleet: PlatformFleet, odd: cabc.Callable[[Entry], Entry]
) -> None:
    entries = [odd(upstream.entry()) for upstream in fleet.upstreams]
    for upstream in fleet.upstreams:
        await upstream.register()
    async with callers(fleet.hosts) as statuses:
        for number in range(round(WATCHED_S / RENEWAL_S)):
            await asyncio.sleep(RENEWAL_S)
            for upstream, found in zip(fleet.upstreams, entries, strict=True):
                await upstream.write({**found, "sequence": number + 1})
                await upstream.register()
    assert len(statuses) > MIN_ANSWERS
    assert set(statuses) == {200}


# Guards against sound upstreams that other hosts drop, as one that has just started can't read the
# newest entry under their ids.
async def test_all_are_served_after_a_host_started_with_unreadable_entries(
    fleet: PlatformFleet,
) -> None:
    for upstream in fleet.upstreams:
        await upstream.write(_incomplete(upstream.entry()))
    host = await fleet.add_host()
    await wait_until(lambda: any(line["event"] == "host:started" for line in fleet.lines(host)))
    async with callers(fleet.hosts[:HOSTS]) as statuses:
        await asyncio.sleep(WATCHED_S)
    assert len(statuses) > MIN_ANSWERS
    assert set(statuses) == {200}


# Guards against a caller's only attempt for each new start of an entry that was found wrong.
async def test_entries_that_answers_proved_wrong_cost_no_more_attempts(
    fleet: PlatformFleet,
) -> None:
    async with callers(fleet.hosts) as statuses:
        for number in range(round(2 * WATCHED_S / RENEWAL_S)):
            for upstream in fleet.upstreams:
                later = _later(upstream.entry())
                odd = {**later, "born": later["born"] + number, "sequence": number + 1}
                await fleet.store.put("keyed.servers", f"x-{upstream.upstream_id}", odd)
                await upstream.register()
            await asyncio.sleep(RENEWAL_S)
    refused = sum(status != 200 for status in statuses)
    assert len(statuses) > 2 * MIN_ANSWERS
    # Each host finds out by a request that the entry's process is not there.
    assert refused <= HOSTS * UPSTREAMS
