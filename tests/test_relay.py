import asyncio
import collections

import pytest

from cassiawalk.control import Freshness
from cassiawalk.control.tree import FAN_OUT
from cassiawalk.control.tree import RELAY_ROOTS_LIMIT
from cassiawalk.control.tree import TreeHost
from cassiawalk.control.tree import position_of
from cassiawalk.ids import HostId
from tests.control_support import command
from tests.control_support import op
from tests.relay_support import LINK_DELAY_S
from tests.relay_support import RelayFleet

IN_FORCE_S = 4.0
SETTLE_TIMEOUT_S = 600.0


def hosts_in(count: int, regions: int) -> list[TreeHost]:
    return [TreeHost(host=HostId(f"h{n}"), region=f"r{n % regions}") for n in range(count)]


@pytest.mark.parametrize(
    ("count", "regions", "depth"),
    [(1, 1, 0), (2, 1, 0), (3, 3, 0), (8, 4, 1), (9, 4, 1), (60, 1, 2), (200, 5, 2)]
    + [(500, 1, 3), (1000, 5, 3), (600, 18, 4)],
)
def test_every_host_descends_from_a_root(count: int, regions: int, depth: int) -> None:
    hosts = hosts_in(count, regions)
    positions = {host.host: position_of(host, hosts) for host in hosts}
    roots = [name for name, position in positions.items() if position.is_root]
    assert min(count, 3) <= len(roots) <= RELAY_ROOTS_LIMIT
    children: collections.Counter[HostId] = collections.Counter()
    deepest = 0
    for name, position in positions.items():
        steps = 0
        while not positions[name].is_root:
            name = positions[name].candidates[0]
            steps += 1
            assert steps <= count
        deepest = max(deepest, steps)
        if not position.is_root:
            children[position.candidates[0]] += 1
            assert len(position.candidates) == len(set(position.candidates))
    assert deepest <= depth
    assert max(children.values(), default=0) <= FAN_OUT
    if regions <= RELAY_ROOTS_LIMIT:
        assert {h.region for h in hosts if h.host in roots} == {h.region for h in hosts}


def test_few_hosts_move_when_one_leaves() -> None:
    hosts = hosts_in(200, 5)
    before = {host.host: position_of(host, hosts) for host in hosts}
    leaf = next(h for h in hosts if not before[h.host].is_root)
    after = {h.host: position_of(h, [x for x in hosts if x != leaf]) for h in hosts if h != leaf}
    roots = {name for name, position in after.items() if position.is_root}
    assert roots == {name for name, position in before.items() if position.is_root}
    same_region = [h.host for h in hosts if h.region == leaf.region and h != leaf]
    moved = [
        n for n, position in after.items() if position.candidates[:1] != before[n].candidates[:1]
    ]
    assert set(moved) <= set(same_region)


def test_unlisted_host_is_a_leaf() -> None:
    position = position_of(TreeHost(host=HostId("new"), region="r1"), hosts_in(9, 3))
    assert not position.is_root
    assert position.candidates


@pytest.mark.looptime
async def test_commands_reach_all_hosts_and_only_roots_read_the_log() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(40, regions=2)
        fleet.log.put_command(command(1, op("create", "drain a")))
        await fleet.wait_freshness(Freshness.FRESH, within_s=SETTLE_TIMEOUT_S)
        await asyncio.sleep(60)
        reads = {name: node.log.reads for name, node in fleet.nodes.items()}
        for number in range(2, 30):
            fleet.log.put_command(command(number, op("put", "drain a", reason=str(number))))
            await fleet.wait_revision(number, within_s=IN_FORCE_S)
        readers = {name for name, node in fleet.nodes.items() if node.log.reads > reads[name]}
        roots = {name for name, node in fleet.nodes.items() if node.relay.position.is_root}
        housekeepers = {
            n for n, node in fleet.nodes.items() if node.housekeeper.overdue_factor is not None
        }
        assert len(housekeepers) == 3
        assert readers <= roots | housekeepers
        assert len(roots) == 3
        fleet.check_histories()


@pytest.mark.looptime
async def test_child_leaves_a_parent_that_stops_responding() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(20)
        await fleet.wait_freshness(Freshness.FRESH, within_s=SETTLE_TIMEOUT_S)
        await asyncio.sleep(60)
        parents = {node.relay.parent for node in fleet.nodes.values()} - {None}
        unresponsive = next(
            name for name in sorted(parents) if fleet.nodes[name].relay.position.is_root
        )
        fleet.cut_hosts.add(unresponsive)
        fleet.log.put_command(command(1, op("create", "drain a")))
        others = [name for name in fleet.nodes if name != unresponsive]
        await fleet.wait_revision(1, *others, within_s=20.0)
        await asyncio.sleep(60)
        assert all(node.relay.parent != unresponsive for node in fleet.nodes.values())
        for name in others:
            assert fleet.nodes[name].follower.freshness is Freshness.FRESH


@pytest.mark.looptime
async def test_host_cut_off_from_its_peers_reads_the_log() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(12)
        await fleet.wait_freshness(Freshness.FRESH, within_s=SETTLE_TIMEOUT_S)
        leaf = next(n for n, node in fleet.nodes.items() if not node.relay.position.is_root)
        fleet.cut_hosts.add(leaf)
        await asyncio.sleep(60)
        assert fleet.nodes[leaf].follower.freshness is Freshness.FRESH
        fleet.log.put_command(command(1, op("create", "drain a")))
        await fleet.wait_revision(1, leaf, within_s=20.0)


@pytest.mark.looptime
async def test_root_cut_off_from_the_log_follows_its_peers() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(12)
        await fleet.wait_freshness(Freshness.FRESH, within_s=SETTLE_TIMEOUT_S)
        root = next(n for n, node in fleet.nodes.items() if node.relay.position.is_root)
        fleet.nodes[root].log.cut = True
        await asyncio.sleep(60)
        assert fleet.nodes[root].follower.freshness is Freshness.FRESH
        fleet.log.put_command(command(1, op("create", "drain a")))
        await fleet.wait_revision(1, within_s=20.0)


@pytest.mark.looptime
async def test_host_cut_off_from_everything_goes_stale_alone() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(12)
        await fleet.wait_freshness(Freshness.FRESH, within_s=SETTLE_TIMEOUT_S)
        leaf = next(n for n, node in fleet.nodes.items() if not node.relay.position.is_root)
        fleet.cut_hosts.add(leaf)
        fleet.nodes[leaf].log.cut = True
        await fleet.wait_freshness(Freshness.STALE, leaf, within_s=25.0)
        others = [name for name in fleet.nodes if name != leaf]
        assert all(fleet.nodes[n].follower.freshness is Freshness.FRESH for n in others)
        fleet.cut_hosts.clear()
        fleet.nodes[leaf].log.cut = False
        await fleet.wait_freshness(Freshness.FRESH, leaf, within_s=30.0)


@pytest.mark.looptime
async def test_peers_do_not_keep_each_other_fresh_without_the_log() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(12)
        await fleet.wait_freshness(Freshness.FRESH, within_s=SETTLE_TIMEOUT_S)
        for node in fleet.nodes.values():
            node.log.cut = True
        await fleet.wait_freshness(Freshness.STALE, within_s=40.0)
        await asyncio.sleep(60)
        assert {n.follower.freshness for n in fleet.nodes.values()} == {Freshness.STALE}
        for node in fleet.nodes.values():
            node.log.cut = False
        await fleet.wait_freshness(Freshness.FRESH, within_s=60.0)


@pytest.mark.looptime
async def test_outage_that_the_log_reports_keeps_hosts_serving_and_a_new_one_starts() -> None:
    async with RelayFleet(outage_bound_s=120.0) as fleet:
        await fleet.add_many(8)
        fleet.log.put_command(command(1, op("create", "drain a")))
        await fleet.wait_revision(1, within_s=SETTLE_TIMEOUT_S)
        fleet.log.outage = True
        await asyncio.sleep(60)
        assert {n.follower.freshness for n in fleet.nodes.values()} == {Freshness.FRESH}
        new = await fleet.add("new-host", listed=False)
        await fleet.wait_freshness(Freshness.FRESH, "new-host", within_s=20.0)
        assert new.follower.state == fleet.nodes["host-0"].follower.state
        await fleet.wait_freshness(Freshness.STALE, within_s=90.0)
        fleet.log.outage = False
        await fleet.wait_freshness(Freshness.FRESH, within_s=60.0)


@pytest.mark.looptime
async def test_roots_at_different_offsets_agree_in_an_outage() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(4)
        await fleet.wait_freshness(Freshness.FRESH, within_s=SETTLE_TIMEOUT_S)
        roots = [n for n, node in fleet.nodes.items() if node.relay.position.is_root]
        for name in roots[1:]:
            fleet.nodes[name].log.cut = True
        await asyncio.sleep(3)
        fleet.log.put_command(command(1, op("create", "drain a")))
        await fleet.wait_revision(1, roots[0], within_s=1.0)
        fleet.log.outage = True
        await fleet.wait_revision(1, within_s=20.0)


@pytest.mark.looptime
async def test_host_cut_off_beyond_the_retention_adopts_a_snapshot() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(6)
        await fleet.wait_freshness(Freshness.FRESH, within_s=SETTLE_TIMEOUT_S)
        leaf = next(n for n, node in fleet.nodes.items() if not node.relay.position.is_root)
        fleet.cut_hosts.add(leaf)
        fleet.nodes[leaf].log.cut = True
        others = [name for name in fleet.nodes if name != leaf]
        for number in range(1, 41):
            fleet.log.put_command(command(number, op("put", "drain a", reason=str(number))))
        await fleet.wait_revision(40, *others, within_s=10.0)
        await asyncio.sleep(20)
        fleet.log.expire("control", 30)
        fleet.nodes[leaf].log.cut = False
        await fleet.wait_revision(40, leaf, within_s=30.0)
        assert fleet.log.end("control-snapshots") >= 1
        fleet.check_histories()


@pytest.mark.looptime
async def test_age_of_a_delayed_reply_counts_from_its_request() -> None:
    async with RelayFleet() as fleet:
        await fleet.add_many(5)
        await fleet.wait_freshness(Freshness.FRESH, within_s=SETTLE_TIMEOUT_S)
        leaf = next(n for n, node in fleet.nodes.items() if not node.relay.position.is_root)
        node = fleet.nodes[leaf]
        await asyncio.sleep(5)
        parent = node.relay.parent
        assert parent is not None
        node.links.reply_delay_s = 1.2
        fleet.nodes[parent].follower.confirm()
        asked_at = asyncio.get_running_loop().time()
        assert await node.relay._send_heartbeat(parent) is not None
        now = asyncio.get_running_loop().time()
        assert now - asked_at > 1.2
        assert node.follower.age_s is not None
        assert now - node.follower.age_s <= asked_at + 2 * LINK_DELAY_S
