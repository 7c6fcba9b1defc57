"""States of upstreams: ready, leaving, removed, stale after an outage of the source, restarted."""

import pytest

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.outages import EXPIRY_WINDOW_S
from cassiawalk.storeview.outages import STALE_GRACE_S
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration
from tests.fakes import FakeClock

SERVICE = ServiceName("models")
ID = UpstreamId("u-1")
OTHER = UpstreamId("u-2")


def entry(
    upstream_id: UpstreamId = ID,
    *,
    started_ms: int = 1,
    address: str = "127.0.0.1:1",
    presence: Presence = Presence.READY,
    service: ServiceName = SERVICE,
) -> Registration:
    return Registration(
        upstream_id=upstream_id,
        service=service,
        address=address,
        failure_domain=FailureDomain("here"),
        slots=4,
        presence=presence,
        started_ms=started_ms,
    )


def ready(directory: Directory) -> list[UpstreamId]:
    return [found.upstream_id for found in directory.available_for(SERVICE)]


def test_leaving_upstream_takes_no_work_and_may_become_ready_again() -> None:
    directory = Directory(clock=FakeClock())
    directory.put(entry(), Offset(1))
    directory.put(entry(presence=Presence.LEAVING), Offset(2))
    assert ready(directory) == []
    directory.put(entry(), Offset(3))
    assert ready(directory) == [ID]


def test_older_records_are_ignored() -> None:
    directory = Directory(clock=FakeClock())
    directory.put(entry(presence=Presence.LEAVING), Offset(5))
    directory.put(entry(), Offset(4))
    assert ready(directory) == []
    directory.remove(ID, Offset(6))
    directory.put(entry(), Offset(5))
    assert directory.upstreams() == []


@pytest.mark.parametrize(
    "again",
    [
        entry(started_ms=2),
        entry(address="127.0.0.1:2"),
        entry(service=ServiceName("other")),
    ],
)
def test_another_process_with_the_same_id_replaces_the_upstream(again: Registration) -> None:
    directory = Directory(clock=FakeClock())
    directory.put(entry(), Offset(1))
    first = directory.upstreams()[0]
    directory.put(again, Offset(2))
    second = directory.upstreams()[0]
    assert second is not first
    assert first.leaving
    assert len(directory.upstreams()) == 1


def test_renewed_entry_keeps_the_upstream() -> None:
    directory = Directory(clock=FakeClock())
    directory.put(entry(), Offset(1))
    first = directory.upstreams()[0]
    directory.put(entry(), Offset(2))
    assert directory.upstreams() == [first]


def test_list_removes_entries_that_it_lacks() -> None:
    directory = Directory(clock=FakeClock())
    directory.put(entry(), Offset(1))
    directory.put(entry(OTHER), Offset(9))
    directory.reconcile({OTHER}, Offset(8))
    assert ready(directory) == [OTHER]
    directory.reconcile(set(), Offset(8))
    assert ready(directory) == [OTHER], "an entry newer than the list is not in it"


def test_entry_that_expired_in_an_outage_is_kept_until_its_grace_period_ends() -> None:
    clock = FakeClock()
    directory = Directory(clock=clock)
    directory.put(entry(), Offset(1))
    directory.put(entry(OTHER), Offset(2))
    directory.note_source_recovered()
    directory.remove(ID, Offset(3))
    directory.remove(OTHER, Offset(4))
    directory.remove_stale()
    assert ready(directory) == [ID, OTHER]
    clock.now += 1.0
    directory.put(entry(OTHER), Offset(5))
    clock.now += STALE_GRACE_S
    directory.remove_stale()
    assert ready(directory) == [OTHER]


def test_removal_well_after_the_recovery_is_applied_at_once() -> None:
    """Guards against requests to an upstream whose removal is mistaken for an expiry.

    One that was removed 1.7 s after the source's recovery got a request 2.06 s later.
    """
    clock = FakeClock()
    directory = Directory(clock=clock)
    directory.put(entry(), Offset(1))
    directory.note_source_recovered()
    clock.now += EXPIRY_WINDOW_S + 0.1
    directory.remove(ID, Offset(2))
    assert ready(directory) == []


def test_entry_of_a_leaving_upstream_is_not_kept() -> None:
    directory = Directory(clock=FakeClock())
    directory.put(entry(presence=Presence.LEAVING), Offset(1))
    directory.note_source_recovered()
    directory.remove(ID, Offset(2))
    assert directory.upstreams() == []


def _restore(directory: Directory, *entries: Registration) -> None:
    """Apply the list of an older copy; its offsets are in a later era, so they are higher."""
    directory.note_restored()
    for number, restored in enumerate(entries):
        directory.put(restored, Offset(1000 + number))
    directory.reconcile([restored.upstream_id for restored in entries], Offset(1010))
    directory.end_restoration()


@pytest.mark.parametrize("is_gone", [True, False])
def test_upstream_that_left_stays_out_when_an_older_copy_lists_it(is_gone: bool) -> None:
    directory = Directory(clock=FakeClock())
    directory.put(entry(), Offset(1))
    directory.put(entry(presence=Presence.LEAVING), Offset(2))
    if is_gone:
        directory.remove(ID, Offset(3))
    _restore(directory, entry())
    assert ready(directory) == []
    directory.put(entry(started_ms=7), Offset(2000))
    assert ready(directory) == [ID]


def test_upstream_that_an_older_copy_lacks_is_kept_until_it_has_written_again() -> None:
    clock = FakeClock()
    directory = Directory(clock=clock)
    directory.put(entry(), Offset(1))
    directory.put(entry(OTHER, address="127.0.0.1:2"), Offset(2))
    _restore(directory)
    assert ready(directory) == [ID, OTHER]
    directory.put(entry(), Offset(2000))
    clock.now += STALE_GRACE_S + 0.1
    directory.remove_stale()
    assert ready(directory) == [ID]
