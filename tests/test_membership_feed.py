"""Hosts that pass on the host list and the marks of leaving hosts."""

import asyncio
import dataclasses

import pytest

from cassiawalk.clock import LoopClock
from cassiawalk.ids import HostId
from cassiawalk.membership import LeavingSource
from cassiawalk.membership import Membership
from cassiawalk.peer import MembershipFeed
from cassiawalk.peer import NoteStore
from cassiawalk.peer import PeerFailure
from cassiawalk.peer import PeerLinks
from cassiawalk.peer import ShareCall
from tests.upstream_fakes import FakeCloud
from tests.upstream_fakes import FakeHostList
from tests.upstream_fakes import entry
from tests.upstream_fakes import entry_host

ENGINE = HostId("e")


class LocalLinks(PeerLinks):
    """Delivers calls to feeds in this process; hosts in ``down`` are unreachable."""

    def __init__(self, *, membership: Membership, feeds: dict[HostId, MembershipFeed]) -> None:
        super().__init__(membership=membership, secret="secret")
        self.feeds = feeds
        self.down: set[HostId] = set()

    async def call(self, host, message, reply, *, timeout_s):  # type: ignore[no-untyped-def]
        if host in self.down or not isinstance(message, ShareCall):
            return PeerFailure(reason="down", sent=False)
        return await self.feeds[host].handle_share(message)

    async def stream(self, host, message):  # type: ignore[no-untyped-def]
        if host in self.down:
            yield PeerFailure(reason="down", sent=False)
            return
        async for part in self.feeds[host].serve(message):
            yield part.item


@dataclasses.dataclass(kw_only=True)
class _Node:
    """One host's membership and feed."""

    membership: Membership
    feed: MembershipFeed
    links: LocalLinks
    host_list: FakeHostList


async def _nodes(count: int) -> dict[HostId, _Node]:
    clock = LoopClock()
    listed = (
        *(entry_host(f"host-{i}", "abcd"[i % 4]) for i in range(count)),
        entry("e"),
    )
    feeds: dict[HostId, MembershipFeed] = {}
    nodes = {}
    for item in listed[:count]:
        host_list = FakeHostList()
        host_list.listed = listed
        membership = Membership(host=item.host, host_list=host_list, clock=clock)
        links = LocalLinks(membership=membership, feeds=feeds)
        feeds[item.host] = MembershipFeed(
            host=item.host,
            membership=membership,
            links=links,
            note_store=NoteStore(clock=clock),
            cloud=FakeCloud(),
            clock=clock,
        )
        nodes[item.host] = _Node(
            membership=membership, feed=feeds[item.host], links=links, host_list=host_list
        )
    for node in nodes.values():
        await node.membership.start()
        await node.feed.start()
    return nodes


async def _stop(nodes: dict[HostId, _Node]) -> None:
    for node in nodes.values():
        await node.feed.stop()
        await node.membership.stop()


@pytest.mark.looptime
async def test_mark_seen_by_one_follower_reaches_all_hosts() -> None:
    nodes = await _nodes(9)
    await asyncio.sleep(2.0)
    pollers = next(iter(nodes.values())).membership.pollers()
    follower = next(node for host, node in nodes.items() if host not in pollers)
    follower.membership.mark_leaving(ENGINE, LeavingSource.UPSTREAM)
    await asyncio.sleep(1.0)
    assert all(node.membership.is_leaving(ENGINE) for node in nodes.values())
    await _stop(nodes)


@pytest.mark.looptime
async def test_mark_is_sent_again_to_a_poller_that_was_unreachable() -> None:
    nodes = await _nodes(9)
    await asyncio.sleep(2.0)
    pollers = next(iter(nodes.values())).membership.pollers()
    follower = next(node for host, node in nodes.items() if host not in pollers)
    follower.links.down = set(pollers)
    follower.membership.mark_leaving(ENGINE, LeavingSource.UPSTREAM)
    await asyncio.sleep(2.0)
    assert not nodes[pollers[0]].membership.is_leaving(ENGINE)
    follower.links.down = set()
    await asyncio.sleep(10.0)
    assert all(node.membership.is_leaving(ENGINE) for node in nodes.values())
    await _stop(nodes)


@pytest.mark.looptime
async def test_followers_receive_list_changes_without_reading_the_list() -> None:
    nodes = await _nodes(9)
    await asyncio.sleep(2.0)
    pollers = next(iter(nodes.values())).membership.pollers()
    for host, node in nodes.items():
        listed = node.host_list.listed
        assert listed is not None
        node.host_list.listed = (*listed, entry("new")) if host in pollers else None
    await asyncio.sleep(3.0)
    assert all(node.membership.entry(HostId("new")) for node in nodes.values())
    await _stop(nodes)
