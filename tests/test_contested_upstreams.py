"""Entries with the address or the id of an upstream that another writer, or process, has put."""

import dataclasses
import random
import types
import typing as t

import pytest

from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Offset
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import UpstreamId
from cassiawalk.ingress.codec import Demand
from cassiawalk.ingress.job import Job
from cassiawalk.ingress.placement import Placer
from cassiawalk.storeview.contests import CONTESTED_S
from cassiawalk.storeview.departures import EARLIER_START_S
from cassiawalk.storeview.departures import KEPT_S
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.promptparts import PartId
from cassiawalk.storeview.promptparts import PromptPart
from cassiawalk.storeview.upstream import Presence
from cassiawalk.storeview.upstream import Registration
from cassiawalk.storeview.upstream import Upstream
from tests.fakes import FakeClock
from tests.test_directory import ID
from tests.test_directory import OTHER
from tests.test_directory import SERVICE
from tests.test_directory import entry
from tests.test_directory import ready

FOREIGN = ServiceName("exporter")
LATER_MS = 10**6
HERE = FailureDomain("here")
PROMPT = PromptPart(part_id=PartId("shared"), tokens=100)
REQUESTS = 50


def _numbered(found: Registration, sequence: int) -> Registration:
    return dataclasses.replace(found, sequence=sequence)


def _directory(clock: FakeClock | None = None) -> Directory:
    return Directory(clock=clock or FakeClock(), is_configured=lambda service: service != FOREIGN)


def test_entry_of_an_unknown_service_leaves_the_upstream_at_its_address_as_it_is() -> None:
    directory = _directory()
    directory.put(entry(), Offset(1))
    directory.put(entry(OTHER, started_ms=LATER_MS, service=FOREIGN), Offset(2))
    assert ready(directory) == [ID]
    assert not directory.upstreams()[0].health.paused


def _job(parts: tuple[PromptPart, ...]) -> Job:
    demand = Demand(request_id=RequestId("q"), parts=parts)
    # The placer reads only these attributes of a job.
    found = types.SimpleNamespace(
        service=SERVICE, demand=demand, tried=set(), unshared_tokens=100, is_prefix_counted=False
    )
    return t.cast(Job, found)


def _contested(clock: FakeClock | None = None) -> tuple[Directory, Upstream]:
    """Return a directory and its first upstream, whose address a later process has stated."""
    directory = _directory(clock)
    directory.put(_numbered(entry(), 1), Offset(1))
    directory.put(entry(OTHER, started_ms=LATER_MS), Offset(2))
    found = directory.get(ID)
    assert found is not None
    return directory, found


@pytest.mark.parametrize("parts", [(), (PROMPT,)])
def test_upstream_whose_address_a_later_process_registers_is_passed_over(
    parts: tuple[PromptPart, ...],
) -> None:
    directory, contested = _contested()
    placer = Placer(
        directory=directory,
        failure_domain=HERE,
        fetches_prefixes=lambda _: False,
        now=lambda: 0.0,
        rng=random.Random(1),
    )
    placed = [placer.place(_job(parts)) for _ in range(REQUESTS)]
    assert {found.upstream.upstream_id for found in placed if found} == {OTHER}
    assert len([found for found in placed if found]) == REQUESTS
    assert contested.takes_work  # if there is no other
    alone = placer.place(_job(parts), excluded={OTHER})
    assert alone is not None and alone.upstream is contested


def test_contested_upstream_is_as_good_as_others_again_after_a_while() -> None:
    clock = FakeClock()
    _, contested = _contested(clock)
    assert contested.health.paused
    clock.now += CONTESTED_S + 0.1
    assert not contested.health.paused


def test_contested_upstream_that_renews_its_entry_is_there() -> None:
    directory, contested = _contested()
    directory.put(_numbered(entry(), 2), Offset(3))
    assert not contested.health.paused


def test_contested_upstream_that_answers_is_there() -> None:
    _, contested = _contested()
    contested.health.note_success()
    assert not contested.health.paused


@pytest.mark.parametrize("presence", list(Presence))
def test_foreign_entry_under_an_upstreams_id_is_ignored(presence: Presence) -> None:
    directory = _directory()
    directory.put(_numbered(entry(), 7), Offset(1))
    known = directory.get(ID)
    odd = entry(started_ms=LATER_MS, service=FOREIGN, presence=presence)
    assert not directory.put(_numbered(odd, 9), Offset(2))
    assert directory.get(ID) is known
    assert not directory.put(_numbered(entry(), 8), Offset(3))
    assert ready(directory) == [ID]


def test_upstreams_entry_replaces_a_foreign_one_that_was_there_first() -> None:
    directory = _directory()
    odd = entry(started_ms=LATER_MS, service=FOREIGN)
    directory.put(_numbered(odd, 9), Offset(1))
    directory.put(_numbered(entry(), 1), Offset(2))
    assert ready(directory) == [ID]
    assert [found.upstream_id for found in directory.departures] == []


# Guards against an upstream that is hidden, or gets another service's requests, by an entry under
# its id that another writer renews.
@pytest.mark.parametrize("presence", list(Presence))
@pytest.mark.parametrize(
    "odd",
    [
        {"service": ServiceName("other")},
        {"address": "127.0.0.1:2"},
        {"service": ServiceName("other"), "address": "127.0.0.1:2"},
    ],
    ids=["service", "address", "both"],
)
def test_upstream_that_renews_its_entry_is_not_replaced(
    odd: dict[str, t.Any], presence: Presence
) -> None:
    clock = FakeClock()
    directory = _directory(clock)
    directory.put(_numbered(entry(), 1), Offset(1))
    known = directory.get(ID)
    for number in range(2, 40):
        clock.now += 0.6
        own = number % 2 == 0
        found = entry() if own else entry(started_ms=LATER_MS + number, presence=presence, **odd)
        directory.put(_numbered(found, number), Offset(number))
        assert directory.get(ID) is known
        assert ready(directory) == [ID]
    directory.put(_numbered(entry(presence=Presence.LEAVING), 40), Offset(40))
    assert ready(directory) == []


@pytest.mark.parametrize(
    ("odd", "silent_s"),
    [
        ({"service": ServiceName("other")}, EARLIER_START_S),
        ({"address": "10.0.0.1:2"}, CONTESTED_S),
    ],
    ids=["service", "address"],
)
def test_upstream_that_writes_no_more_is_replaced(odd: dict[str, t.Any], silent_s: float) -> None:
    clock = FakeClock()
    directory = _directory(clock)
    directory.put(_numbered(entry(), 1), Offset(1))
    later = entry(started_ms=LATER_MS, **odd)
    clock.now += silent_s - 0.1
    assert not directory.put(_numbered(later, 1), Offset(2))
    clock.now += 0.2
    assert directory.put(_numbered(later, 2), Offset(3))
    found = directory.get(ID)
    assert found is not None and found.registration.started_ms == LATER_MS


# Guards against a caller's only attempt for each new start of an entry that was found wrong.
def test_entry_that_an_answer_proved_wrong_is_not_believed_again() -> None:
    directory, sound = _contested()
    odd = directory.get(OTHER)
    assert odd is not None
    odd.superseded = True
    directory.put(_numbered(entry(), 2), Offset(3))
    for number in range(5):
        directory.put(entry(OTHER, started_ms=LATER_MS + 1 + number), Offset(4 + number))
        found = directory.get(OTHER)
        assert found is not None and found.health.paused
        assert not sound.health.paused


def test_foreign_entry_that_has_gone_keeps_no_upstream_of_its_id_away() -> None:
    directory = _directory()
    directory.put(_numbered(entry(started_ms=LATER_MS, service=FOREIGN), 9), Offset(1))
    directory.remove(ID, Offset(2))
    directory.put(_numbered(entry(), 1), Offset(3))
    assert ready(directory) == [ID]


def test_upstream_of_a_service_that_is_configured_later_is_used_then() -> None:
    known: set[ServiceName] = set()
    directory = Directory(clock=FakeClock(), is_configured=known.__contains__)
    directory.put(entry(), Offset(1))
    known.add(SERVICE)
    assert ready(directory) == [ID]
    assert directory.get(UpstreamId("u-1")) is not None


def test_foreign_entries_that_come_and_go_are_forgotten() -> None:
    clock = FakeClock()
    directory = _directory(clock)
    for number in range(3):
        upstream_id = UpstreamId(f"odd-{number}")
        odd = entry(upstream_id, address=f"127.0.0.1:{number}", service=FOREIGN)
        directory.put(odd, Offset(3 * number + 1))
        directory.remove(upstream_id, Offset(3 * number + 2))
        clock.now += KEPT_S + 1.0
    assert directory.offset_of(UpstreamId("odd-0")) == Offset(-1)


def test_entries_keep_their_order_before_their_service_is_configured() -> None:
    directory = Directory(clock=FakeClock(), is_configured=lambda _: False)
    directory.put(_numbered(entry(presence=Presence.LEAVING), 9), Offset(1))
    assert not directory.put(_numbered(entry(), 8), Offset(2))
    assert ready(directory) == []
