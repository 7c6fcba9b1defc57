"""Records of the store that another writer left odd, against hosts run as processes."""

import json
import pathlib
import typing as t

import pytest

from standins.platform import PAGE_ENTRIES
from standins.platform_fleet import Host
from standins.platform_fleet import PlatformFleet
from standins.platform_fleet import build_request
from standins.platform_fleet import platform_config
from standins.platform_fleet import wait_until

DEPTH = 100_000
BIG = b"9" * 300
SOUND: dict[str, t.Any] = {
    "service": "models",
    "address": "127.0.0.1:9",
    "zone": "here",
    "slots": 4,
    "state": "ready",
    "born": 1,
    "version": "v1",
    "cold_remaining_ms": 0,
    "sequence": 1,
}
FIELDS = [
    *({"address": f"127.0.0.1:{port}"} for port in (0, -1, 70_000, 10**30, "x", "")),
    *({"address": value} for value in ("", ":", "127.0.0.1", "[::1]:9", "a\0b:9", 9, None, {})),
    *({"slots": value} for value in (0, -1, 10**300, 1.5, "4", None, [])),
    *({"born": value} for value in (-1, 10**300, 1e300, "x", None)),
    *({"state": value} for value in ("gone", 1, None)),
    *({"service": value} for value in ("", 1, None, "a\0b")),
    {"zone": 1},
    *({"version": value} for value in (1, None, [])),
    *({"cold_remaining_ms": value} for value in ("0", None, {})),
    *({"sequence": value} for value in ("1", 1.5, None, 10**300)),
    {"leaves_ms": "soon"},
]
RAW = [
    b"",
    b"{",
    b"null",
    b"[]",
    b"1e300",
    b"\xff\xfe\x00",
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"address":' * DEPTH + b"1" + b"}" * DEPTH,
    b'{"slots":' + BIG + b"}",
    b'{"slots":NaN,"born":Infinity}',
    json.dumps(SOUND).encode()[:-1] + b',"slots":' + BIG + b"}",
    json.dumps(SOUND).encode()[:-1] + b',"born":1e400}',
]
ODD = [*(json.dumps({**SOUND, **changed}).encode() for changed in FIELDS), *RAW]
ODD_KEYS = (b"", b"\xff\xfe", b"a\0b")
TOPICS = ("keyed.servers", "keyed.op", "keyed.hosts", "keyed.suspects", "keyed.status")


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> t.AsyncIterator[PlatformFleet]:
    async with PlatformFleet(tmp_path) as running:
        await running.add_upstream()
        for _ in range(2):
            await running.add_host()
        for host in running.hosts:
            await wait_until(host.ready)
        yield running


async def _follows(fleet: PlatformFleet, revision: int) -> None:
    """Return once each host knows an upstream that has just come, and a new configuration."""
    added = await fleet.add_upstream()
    key = f"k-{revision}"
    await fleet.store.put("keyed.op", "config", platform_config(revision, keys=(key,)))
    for number, host in enumerate(fleet.hosts):

        async def serves(host: Host = host, name: str = f"q-{revision}-{number}") -> bool:
            return (await host.request(build_request(name, key=key))).status == 200

        def knows(host: Host = host) -> bool:
            lines = fleet.lines(host)
            return added.upstream_id in {
                line["upstream"] for line in lines if line["event"] == "directory:joined"
            }

        await wait_until(serves)
        await wait_until(knows)


async def test_hosts_go_on_after_odd_records_of_every_topic(fleet: PlatformFleet) -> None:
    pids = [host.process.pid for host in fleet.hosts]
    for topic in TOPICS:
        for number, value in enumerate(ODD):
            await fleet.store.put_raw(topic, b"odd-%d" % number, value)
        for key in ODD_KEYS:
            await fleet.store.put_raw(topic, key, ODD[0])
    await _follows(fleet, 5)
    for value in ODD:
        await fleet.store.put_raw("keyed.op", b"config", value)
    await _follows(fleet, 7)
    assert [host.process.pid for host in fleet.hosts] == pids
    assert all(host.process.returncode is None for host in fleet.hosts)
    assert not any(
        line["event"] in ("task:failed", "task:restarted")
        for host in fleet.hosts
        for line in fleet.lines(host)
    )


async def test_hosts_start_with_odd_records_in_lists_of_several_pages(
    fleet: PlatformFleet,
) -> None:
    for topic in TOPICS:
        for number in range(PAGE_ENTRIES + 100):
            short = [value for value in ODD if len(value) < DEPTH]
            await fleet.store.put_raw(topic, b"odd-%04d" % number, short[number % len(short)])
    for host in fleet.hosts:
        host.process.kill()
        await host.process.wait()
        await fleet.restart(host)
        await wait_until(host.ready)
    await _follows(fleet, 5)
