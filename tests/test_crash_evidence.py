"""Deaths that several hosts attribute to requests, and how their notes come together."""

import itertools
import typing as t

import pytest

from cassiawalk.crashes import Death
from cassiawalk.crashes import Evidence
from cassiawalk.crashes.notes import CrashNotes
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import Fingerprint
from cassiawalk.ids import HostId
from cassiawalk.peer import Note
from cassiawalk.peer import NoteSharing
from cassiawalk.peer import NoteStore
from cassiawalk.peer import NoteTopic
from tests.fakes import FakeClock

CRASHER = Fingerprint("f")


class Host(NoteSharing):
    """One host's notes; ``sent`` are those that the other hosts have not received yet."""

    def __init__(self, name: str, *, clock_ahead_s: float = 0.0) -> None:
        self.clock = FakeClock()
        self.clock.now += clock_ahead_s
        self.store = NoteStore(clock=self.clock)
        self.evidence = Evidence(
            host=HostId(name),
            notes=CrashNotes(note_store=self.store, sharing=self, clock=self.clock),
        )
        self.store.add_listener(self.evidence.note_changed)
        self.sent: list[Note] = []

    async def share(self, notes: t.Sequence[Note]) -> None:
        for note in notes:
            self.store.merge(note)
        self.sent += notes

    def deaths(self) -> list[str]:
        return sorted(death.process for death in self.evidence.deaths(CRASHER))


def _death(process: str) -> Death:
    return Death(process=process, failure_domain=FailureDomain("north"), at=1000.0)


def _exchange(*hosts: Host) -> None:
    for sender, receiver in itertools.permutations(hosts, 2):
        for note in sender.sent:
            receiver.store.merge(note)


async def test_deaths_that_two_hosts_add_at_once_do_not_replace_each_other() -> None:
    first, second = Host("host-1"), Host("host-2")
    await first.evidence.add([CRASHER], _death("a"))
    await second.evidence.add([CRASHER], _death("b"))
    _exchange(first, second)
    assert first.deaths() == second.deaths() == ["a", "b"]


@pytest.mark.parametrize("clock_ahead_s", [-5.0, 0.0, 5.0])
async def test_completed_request_is_cleared_whatever_the_clocks_say(clock_ahead_s: float) -> None:
    first, second = Host("host-1"), Host("host-2", clock_ahead_s=clock_ahead_s)
    await first.evidence.add([CRASHER], _death("a"))
    _exchange(first, second)
    await second.evidence.clear(CRASHER)
    _exchange(first, second)
    assert first.deaths() == second.deaths() == []
    await first.evidence.add([CRASHER], _death("b"))
    _exchange(first, second)
    assert first.deaths() == second.deaths() == ["b"]


async def test_explained_death_is_withdrawn_from_all_requests() -> None:
    host = Host("host-1")
    await host.evidence.add([CRASHER, Fingerprint("g")], _death("a"))
    await host.evidence.add([CRASHER], _death("b"))
    await host.evidence.explain("a")
    assert host.deaths() == ["b"]
    assert host.evidence.deaths(Fingerprint("g")) == []


def test_quarantine_is_kept_when_many_suspicions_fill_the_store() -> None:
    clock = FakeClock()
    store = NoteStore(clock=clock, limit=10)
    topics = [NoteTopic.QUARANTINE, *[NoteTopic.SUSPECT_REQUEST] * 20]
    for number, topic in enumerate(topics):
        note = Note(topic=topic, name=f"{number}", at_s=clock.now, until_s=clock.now + 60.0)
        store.merge(note)
    assert store.get(NoteTopic.QUARANTINE, "0") is not None
    assert len(store.notes()) == 10
