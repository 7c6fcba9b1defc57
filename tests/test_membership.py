import dataclasses

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostState
from cassiawalk.clients import LoadReport
from cassiawalk.clients import ReclaimNotice
from cassiawalk.clock import Clock
from cassiawalk.ids import HostId
from cassiawalk.membership import LeavingMark
from cassiawalk.membership import LeavingSource
from cassiawalk.membership import Membership
from cassiawalk.membership.hosts import FEED_TIMEOUT_S
from cassiawalk.membership.hosts import POLLER_COUNT
from cassiawalk.membership.marks import MARK_LIFETIME_S
from cassiawalk.membership.marks import MAX_NOTICE_AGE_S
from cassiawalk.routing import UpstreamState
from cassiawalk.routing import UpstreamTable
from cassiawalk.routing import UpstreamView
from tests.upstream_fakes import FakeHostList
from tests.upstream_fakes import entry
from tests.upstream_fakes import entry_host

ENGINE = HostId("e")


class SteppedClock(Clock):
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 1_800_000_000.0 + self.now


def _membership(clock: Clock) -> tuple[Membership, FakeHostList]:
    host_list = FakeHostList()
    return Membership(host=HostId("host-0"), host_list=host_list, clock=clock), host_list


@pytest.mark.parametrize("source", list(LeavingSource))
async def test_mark_of_any_source_survives_a_list_that_still_has_the_host_as_live(
    source: LeavingSource,
) -> None:
    clock = SteppedClock()
    membership, host_list = _membership(clock)
    host_list.listed = (entry("e"),)
    await membership.refresh()
    membership.mark_leaving(ENGINE, source)
    for _ in range(3):
        clock.now += 60.0
        await membership.refresh()
        assert membership.is_leaving(ENGINE)


@pytest.mark.parametrize(
    ("listed", "after_s", "leaving"),
    [
        pytest.param(entry("e"), 0.0, True, id="still-live"),
        pytest.param(entry("e"), MARK_LIFETIME_S + 31.0, False, id="live-long-after-the-reclaim"),
        pytest.param(entry("e", address="e:2"), 0.0, False, id="new-address-is-a-new-host"),
        pytest.param(None, 0.0, True, id="not-listed"),
    ],
)
async def test_lifetime_of_a_mark(listed: HostEntry | None, after_s: float, leaving: bool) -> None:
    clock = SteppedClock()
    membership, host_list = _membership(clock)
    host_list.listed = (entry("e"),)
    await membership.refresh()
    membership.mark_leaving(ENGINE, LeavingSource.CLOUD_NOTICE, reclaim_s=clock.wall() + 30.0)
    clock.now += after_s
    host_list.listed = (listed or entry("other"),)
    await membership.refresh()
    assert membership.is_leaving(ENGINE) is leaving


async def test_mark_made_before_the_host_is_listed_is_kept() -> None:
    membership, host_list = _membership(SteppedClock())
    membership.mark_leaving(ENGINE, LeavingSource.CLOUD_NOTICE)
    host_list.listed = (entry("e"),)
    await membership.refresh()
    assert membership.is_leaving(ENGINE)
    host_list.listed = (entry("e", address="e:2"),)
    await membership.refresh()
    assert not membership.is_leaving(ENGINE)


@pytest.mark.parametrize(
    ("ago_s", "leaving"),
    [(-30.0, True), (MAX_NOTICE_AGE_S / 2, True), (MAX_NOTICE_AGE_S * 2, False)],
)
async def test_old_notice_belongs_to_an_earlier_host(ago_s: float, leaving: bool) -> None:
    clock = SteppedClock()
    membership, host_list = _membership(clock)
    host_list.listed = (entry("e"),)
    await membership.refresh()
    notice = ReclaimNotice(seq=1, host=ENGINE, reclaim_s=clock.wall() - ago_s)
    membership.apply_notice(notice)
    assert membership.is_leaving(ENGINE) is leaving


async def test_later_source_adds_the_reclaim_time_and_calls_no_listener_twice() -> None:
    clock = SteppedClock()
    membership, host_list = _membership(clock)
    host_list.listed = (entry("e"),)
    await membership.refresh()
    notified: list[LeavingSource] = []
    membership.add_leaving_listener(lambda host, source: notified.append(source))
    membership.mark_leaving(ENGINE, LeavingSource.UPSTREAM)
    assert membership.reclaim_s(ENGINE) is None
    membership.mark_leaving(ENGINE, LeavingSource.CLOUD_NOTICE, reclaim_s=5.0)
    assert membership.reclaim_s(ENGINE) == 5.0
    assert notified == [LeavingSource.UPSTREAM]


async def test_peer_mark_about_an_earlier_address_is_ignored() -> None:
    membership, host_list = _membership(SteppedClock())
    host_list.listed = (entry("e", address="e:2"),)
    await membership.refresh()
    mark = LeavingMark(host=ENGINE, source=LeavingSource.PEER, noted_s=1.0, address="e:1")
    membership.merge_mark(mark)
    assert not membership.is_leaving(ENGINE)


@pytest.mark.parametrize("listed", [None, ()])
async def test_outage_or_empty_list_keeps_the_last_view(
    listed: tuple[HostEntry, ...] | None,
) -> None:
    membership, host_list = _membership(SteppedClock())
    host_list.listed = (entry("e"),)
    await membership.refresh()
    host_list.listed = listed
    await membership.refresh()
    assert membership.entry(ENGINE) is not None


async def test_pollers_are_few_and_of_different_domains() -> None:
    membership, host_list = _membership(SteppedClock())
    host_list.listed = tuple(entry_host(f"host-{i}", "abcd"[i % 4]) for i in range(1000))
    await membership.refresh()
    domains = {membership.all_entries()[host].failure_domain for host in membership.pollers()}
    assert len(domains) == len(membership.pollers()) == POLLER_COUNT


async def test_host_polls_only_while_it_receives_nothing_from_pollers() -> None:
    clock = SteppedClock()
    membership, host_list = _membership(clock)
    others = [entry_host(f"host-{i}", "abcd"[i % 4]) for i in range(1, 40)]
    host_list.listed = (*others, entry_host("host-0", "a"))
    await membership.refresh()
    assert HostId("host-0") not in membership.pollers()
    assert membership.is_polling
    membership.record_feed_update()
    assert not membership.is_polling
    clock.now += FEED_TIMEOUT_S + 0.1
    assert membership.is_polling


@pytest.mark.parametrize(("after_s", "takes_work"), [(60.0, False), (MARK_LIFETIME_S + 1.0, True)])
async def test_upstream_whose_mark_has_expired_takes_work_again(
    after_s: float, takes_work: bool
) -> None:
    clock = SteppedClock()
    membership, host_list = _membership(clock)
    table = UpstreamTable(membership=membership, clock=clock)
    host_list.listed = (entry("e"),)
    await membership.refresh()
    membership.mark_leaving(ENGINE, LeavingSource.CLOUD_NOTICE)
    clock.now += after_s
    await membership.refresh()
    assert [view.takes_work for view in table.all()] == [takes_work]


_NAMES = st.sampled_from(["a", "b", "c", "d"])


class UpstreamMachine(RuleBasedStateMachine):
    """Checks membership and upstream table against a model of which addresses are leaving."""

    @initialize()
    def begin(self) -> None:
        self.clock = SteppedClock()
        self.membership, _ = _membership(self.clock)
        self.table = UpstreamTable(membership=self.membership, clock=self.clock)
        self.listed: dict[HostId, HostEntry] = {}
        self.left_addresses: set[str] = set()
        self.left_unlisted: set[HostId] = set()
        self.seen: dict[str, UpstreamView] = {}
        self.measured_s = 0.0

    def _publish(self) -> None:
        self.membership.replace_entries(self.listed)
        for host, item in self.listed.items():
            if host in self.left_unlisted:
                self.left_unlisted.discard(host)
                self.left_addresses.add(item.address)
            if item.state is HostState.LEAVING:
                self.left_addresses.add(item.address)

    @rule(name=_NAMES, number=st.integers(1, 3), leaving=st.booleans())
    def list_host(self, name: str, number: int, leaving: bool) -> None:
        address = f"{name}:{number}"
        before = self.listed.get(HostId(name))
        if before is not None and before.address != address:
            # A mark ends when the host is listed with another address.
            self.left_addresses.discard(before.address)
            self.left_addresses.discard(address)
        state = HostState.LEAVING if leaving else HostState.LIVE
        item = dataclasses.replace(entry(name, address=address), state=state)
        self.listed = {**self.listed, HostId(name): item}
        self._publish()

    @rule(name=_NAMES, source=st.sampled_from(list(LeavingSource)))
    def report_leaving(self, name: str, source: LeavingSource) -> None:
        item = self.listed.get(HostId(name))
        if item is not None:
            self.left_addresses.add(item.address)
            self.membership.mark_leaving(HostId(name), source)

    @rule(name=_NAMES)
    def fail(self, name: str) -> None:
        view = next((v for v in self.table.all() if v.upstream_id == name), None)
        if view is not None:
            view.fire("note_failure")

    @rule(name=_NAMES)
    def answer(self, name: str) -> None:
        view = next((v for v in self.table.all() if v.upstream_id == name), None)
        self.measured_s += 1.0
        if view is not None:
            self.clock.now += 0.1
            view.note_report(
                LoadReport(slots=8, running=0, waiting=0, measured_s=self.measured_s),
                connected_at=self.clock.now,
            )

    @rule(delay_s=st.floats(0.1, 10.0))
    def wait(self, delay_s: float) -> None:
        self.clock.now += delay_s

    @invariant()
    def leaving_upstreams_take_no_work(self) -> None:
        for view in self.table.all():
            if view.entry.address in self.left_addresses:
                assert view.state is UpstreamState.LEAVING
                assert not view.takes_work

    @invariant()
    def only_upstreams_reported_as_leaving_are_leaving(self) -> None:
        for view in self.table.all():
            if view.state is UpstreamState.LEAVING:
                assert view.entry.address in self.left_addresses

    @invariant()
    def table_holds_what_is_listed(self) -> None:
        listed = {(host, item.address) for host, item in self.listed.items()}
        assert {(v.entry.host, v.entry.address) for v in self.table.all()} == listed

    @invariant()
    def removed_upstreams_are_gone(self) -> None:
        for view in self.seen.values():
            if view not in self.table.all():
                assert view.state is UpstreamState.GONE
        self.seen = {f"{id(view)}": view for view in self.table.all()} | self.seen

    @invariant()
    def half_of_the_upstreams_that_stay_take_work(self) -> None:
        staying = [v for v in self.table.all() if v.state is not UpstreamState.LEAVING]
        assert sum(not v.takes_work for v in staying) <= max(1, len(staying) // 2)


TestUpstreamMachine = UpstreamMachine.TestCase
