"""The share of the limit on repeats that each host takes."""

import random

import pytest

from cassiawalk.fleet.census import CONTACT_LIMIT_S
from cassiawalk.fleet.census import FORGET_AFTER_S
from cassiawalk.fleet.census import HostCensus
from cassiawalk.ids import HostId
from cassiawalk.ids import ServiceName
from cassiawalk.ingress.budgets import RetryBudgets
from tests.fakes import FakeClock

SERVICE = ServiceName("models")
EXTRA, RATIO, WINDOW_S = 58.0, 0.2, 10.0
STEP_S = 0.1


def _census(clock: FakeClock, host: str = "h-0") -> HostCensus:
    return HostCensus(host=HostId(host), window_s=WINDOW_S, clock=clock)


def _hosts(*numbers: int) -> list[HostId]:
    return [HostId(f"h-{number}") for number in numbers]


def test_new_process_has_no_share_for_one_window() -> None:
    clock = FakeClock()
    census = _census(clock)
    clock.now += WINDOW_S - 0.1
    census.note_store()
    assert census.share() == 0.0
    clock.now += 0.2
    assert census.share() == 1.0


def test_host_that_hears_nobody_has_no_share() -> None:
    clock = FakeClock()
    census = _census(clock)
    census.note_alive(_hosts(1))
    census.note_count(HostId("h-1"), 2)
    clock.now += CONTACT_LIMIT_S - 0.1
    assert census.share() == 0.5
    clock.now += 0.2
    assert census.share() == 0.0
    census.note_store()
    assert census.share() == 0.5


def test_silent_host_is_counted_for_long_and_a_listed_one_not_for_ever() -> None:
    clock = FakeClock()
    census = _census(clock)
    census.note_listed(_hosts(0, 1, 2))
    clock.now += FORGET_AFTER_S - 0.1
    assert census.count() == 3
    census.note_listed(_hosts(0, 1, 2))
    clock.now += 0.2
    assert census.count() == 1


def test_host_counts_as_many_as_those_that_it_hears() -> None:
    clock = FakeClock()
    census = _census(clock)
    census.note_count(HostId("h-1"), 9)
    clock.now += WINDOW_S + 0.1
    census.note_store()
    assert census.share() == pytest.approx(1 / 9)


class _Process:
    """One host's process: its census, budget and whether it runs."""

    def __init__(self, clock: FakeClock, host: HostId) -> None:
        self.host = host
        self.census = _census(clock, host)
        self.budgets = RetryBudgets(
            clock=clock, ratio=RATIO, extra=EXTRA, window_s=WINDOW_S, share=self.census.share
        )


@pytest.mark.parametrize("seed", range(12))
def test_repeats_of_all_hosts_stay_within_the_limit_through_series_of_troubles(seed: int) -> None:
    rng = random.Random(seed)
    clock = FakeClock()
    hosts = _hosts(*range(rng.choice([2, 5, 9])))
    running = {host: _Process(clock, host) for host in hosts}
    frozen: set[HostId] = set()
    cut: set[HostId] = set()
    repeats: list[float] = []
    requests: list[float] = []
    for step in range(2400):
        clock.now += STEP_S
        if step % 10 == 0:
            match rng.randrange(8):
                case 0:
                    for host in rng.sample(hosts, rng.randint(1, len(hosts))):
                        running[host] = _Process(clock, host)
                        running[host].census.note_listed(hosts)
                case 1:
                    frozen = set(rng.sample(hosts, rng.randrange(len(hosts))))
                case 2:
                    cut = set(rng.sample(hosts, rng.randrange(len(hosts))))
                case 3 if len(hosts) < 12:
                    hosts.append(HostId(f"h-{len(hosts)}"))
                    running[hosts[-1]] = _Process(clock, hosts[-1])
                    running[hosts[-1]].census.note_listed(hosts)
        reachable = [host for host in hosts if host not in cut and host not in frozen]
        if step % 5 == 0:
            for host in reachable:
                for other in reachable:
                    if other != host:
                        running[host].census.note_alive((other,))
                        running[host].census.note_count(other, running[other].census.count())
        for host in hosts:
            if host in frozen:
                continue
            own = running[host]
            if rng.random() < 0.05:
                own.budgets.note_request(SERVICE)
                requests.append(clock.now)
            while own.budgets.take(SERVICE):
                repeats.append(clock.now)
    for begin in repeats:
        found = sum(begin <= at < begin + WINDOW_S for at in repeats)
        asked = sum(begin <= at < begin + WINDOW_S for at in requests)
        assert found <= RATIO * asked + EXTRA
