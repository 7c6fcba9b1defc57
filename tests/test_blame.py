"""Which part of prompts is blamed for the deaths of upstreams."""

import typing as t

import pytest

from cassiawalk.crashes.blame import CERTAIN_DEATHS
from cassiawalk.crashes.blame import EARLY_EXCESS
from cassiawalk.crashes.blame import LATE_SETTLE_S
from cassiawalk.crashes.blame import MAX_DEATHS
from cassiawalk.crashes.blame import SURVIVAL_STEP_S
from cassiawalk.crashes.blame import SUSPICION_S
from cassiawalk.crashes.blame import WHOLE_EXCESS
from cassiawalk.crashes.blame import PartBlame
from cassiawalk.crashes.blame import Survival
from cassiawalk.crashes.losses import Losses
from cassiawalk.crashes.losses import LostRequest
from cassiawalk.crashes.losses import Parts
from cassiawalk.crashes.losses import Progress
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.storeview.promptparts import PartId

GAP_S = 0.3
START_S = 1000.0


def _parts(*names: str) -> Parts:
    return frozenset(PartId(name) for name in names)


class Case:
    """A blame with a clock that goes on with each death."""

    def __init__(self) -> None:
        self.blame = PartBlame()
        self.now_s = START_S
        self._deaths = 0

    def die(
        self,
        *lost: tuple[str, ...],
        progress: Progress = Progress.BEGINNING,
        after_s: float = GAP_S,
        **changes: t.Any,
    ) -> None:
        self.now_s += after_s
        self._deaths += 1
        requests = [LostRequest(parts=_parts(*parts), progress=progress) for parts in lost]
        fields = {
            "process": f"u-{self._deaths}",
            "failure_domain": FailureDomain("here"),
            "reporter": HostId("h-1"),
            "at_s": self.now_s,
            "requests": frozenset(requests),
        }
        self.blame.note_losses(Losses(**{**fields, **changes}), self.now_s)

    def survive(self, *parts: str, count: int = 1, whole: bool = True) -> None:
        survival = Survival(at_s=self.now_s + GAP_S / 2, count=count, whole=whole)
        self.blame.note_survived(_parts(*parts), survival)

    def accused(self, *verdicts: Parts) -> list[set[str]]:
        found = self.blame.accuse(verdicts, self.now_s)
        return [set(accusation.parts) for accusation in found]


@pytest.mark.parametrize("position", [0, 1, 2])
def test_part_that_all_deaths_share_is_accused_wherever_it_stands(position: int) -> None:
    case = Case()
    for number in range(EARLY_EXCESS):
        others = ["common", f"topic-{number}"]
        others.insert(position, "bad")
        case.die(tuple(others))
        case.survive("common", count=2)
    assert case.accused() == [{"bad"}]


def test_fewer_deaths_accuse_nothing() -> None:
    case = Case()
    for _ in range(EARLY_EXCESS - 1):
        case.die(("bad",))
    assert case.accused() == []


def test_parts_that_nothing_tells_apart_are_accused_together() -> None:
    case = Case()
    for _ in range(EARLY_EXCESS):
        case.die(("common", "bad"))
    assert case.accused() == [{"common", "bad"}]


def test_part_is_accused_alone_once_it_kills_without_its_companion() -> None:
    case = Case()
    for _ in range(EARLY_EXCESS):
        case.die(("common", "bad"))
    case.survive("common", count=9)
    verdict = _parts("common", "bad")
    assert case.accused(verdict) == []
    case.die(("another", "bad"))
    assert case.accused(verdict) == [{"bad"}]


def test_part_in_other_requests_that_waited_there_is_not_accused() -> None:
    case = Case()
    for number in range(EARLY_EXCESS):
        case.die(("bad",), progress=Progress.BEGINNING)
        case.blame.note_losses(
            Losses(
                process=f"u-{number + 1}",
                failure_domain=FailureDomain("here"),
                reporter=HostId("h-2"),
                at_s=case.now_s,
                requests=frozenset(
                    [LostRequest(parts=_parts("unlucky"), progress=Progress.WAITING)]
                ),
            ),
            case.now_s,
        )
    assert case.accused() == [{"bad"}]
    assert case.accused(_parts("bad")) == []


def test_rivals_in_other_requests_are_accused_only_after_more_deaths() -> None:
    case = Case()
    for _ in range(CERTAIN_DEATHS - 1):
        case.die(("one",), ("other",))
    assert case.accused() == []
    case.die(("one",), ("other",))
    assert case.accused() == [{"one"}, {"other"}]


def test_two_parts_at_once_are_both_found() -> None:
    case = Case()
    for _ in range(EARLY_EXCESS):
        case.die(("common", "bad"))
        case.die(("common", "worse"))
        case.survive("common", count=3)
    first = case.accused()
    assert len(first) <= 1 or first == [{"bad"}, {"worse"}]
    found = case.accused(_parts("bad"))
    assert found == [{"worse"}]


def test_popular_part_is_not_accused_while_upstreams_die_by_themselves() -> None:
    case = Case()
    for _ in range(20):
        case.die(("popular",))
        case.survive("popular", count=2)
    assert case.accused() == []


def test_survivals_that_another_host_tells_count() -> None:
    case = Case()
    for _ in range(EARLY_EXCESS):
        case.die(("popular",))
    told = Survival(at_s=case.now_s, count=2, whole=True)
    case.blame.note_told(PartId("popular"), HostId("h-2"), told)
    assert case.accused() == []


def test_part_that_only_some_upstreams_die_of_is_accused_later() -> None:
    case = Case()
    for _ in range(2 * EARLY_EXCESS):
        case.die(("bad",))
        case.die(("bad",))
        case.survive("bad")
    assert case.accused() == [{"bad"}]


def test_part_that_kills_late_in_the_stream_is_accused_although_streams_begin() -> None:
    case = Case()
    for _ in range(WHOLE_EXCESS):
        case.die(("common", "bad"), progress=Progress.RUNNING)
        case.survive("common", "bad", count=3, whole=False)
        case.survive("common", count=2, whole=True)
    assert case.accused() == []
    case.now_s += LATE_SETTLE_S
    assert case.accused() == [{"bad"}]


def test_part_that_kills_late_is_accused_although_many_streams_began_since() -> None:
    """Guards against begun answers that push out the time in which none was complete.

    Deaths from before that time were left out, so that slow ones never were enough.
    """
    case = Case()
    for _ in range(WHOLE_EXCESS):
        for _ in range(4):
            case.now_s += 2 * SURVIVAL_STEP_S
            case.survive("bad", whole=False)
        case.die(("bad",), progress=Progress.RUNNING)
    case.now_s += LATE_SETTLE_S
    assert case.accused() == [{"bad"}]


def test_deaths_of_a_domain_at_one_moment_count_once() -> None:
    case = Case()
    for _ in range(8):
        case.die(("popular",), after_s=0.001)
    assert case.accused() == []


def test_withdrawn_losses_count_no_more() -> None:
    case = Case()
    for _ in range(EARLY_EXCESS):
        case.die(("bad",))
    case.die(process="u-1", after_s=0.0)
    assert case.accused() == []


def test_acquitted_part_needs_new_deaths() -> None:
    case = Case()
    for _ in range(EARLY_EXCESS):
        case.die(("innocent",))
    case.blame.acquit(_parts("innocent"), case.now_s)
    assert case.accused() == []
    for _ in range(EARLY_EXCESS):
        case.die(("innocent",))
    assert case.accused() == [{"innocent"}]


def test_deaths_are_kept_in_bounds_of_number_and_time() -> None:
    case = Case()
    for number in range(2 * MAX_DEATHS):
        case.die((f"part-{number}",), after_s=0.01)
    assert not case.blame.watched(_parts("part-0"))
    assert case.blame.watched(_parts(f"part-{2 * MAX_DEATHS - 1}"))
    case.die(("last",), after_s=SUSPICION_S + 1.0)
    assert not case.blame.watched(_parts(f"part-{2 * MAX_DEATHS - 1}"))


def test_common_part_is_not_accused_of_deaths_right_after_its_survivals() -> None:
    """Survivals counted only from the first known death, so that a burst of deaths had none."""
    case = Case()
    case.survive("popular", "topic", count=20)
    for number in range(WHOLE_EXCESS):
        case.die(("popular", f"topic-{number}"), after_s=0.06)
    case.now_s += LATE_SETTLE_S
    assert case.accused() == []


def test_survivals_long_before_a_death_speak_for_nothing() -> None:
    case = Case()
    case.survive("bad", count=20)
    case.die(("bad",), after_s=10.0)
    for _ in range(EARLY_EXCESS):
        case.die(("bad",))
    assert case.accused() == [{"bad"}]


def test_part_is_not_accused_while_as_many_upstreams_die_without_it() -> None:
    """Deaths without a part were not looked at."""
    case = Case()
    for number in range(2 * WHOLE_EXCESS):
        case.die(("popular", f"topic-{number}"))
        case.die((f"other-{number}",))
    case.now_s += LATE_SETTLE_S
    assert case.accused() == []


def test_part_is_accused_although_some_upstreams_die_without_it() -> None:
    case = Case()
    for number in range(EARLY_EXCESS):
        case.die(("bad", f"topic-{number}"))
        if number:
            case.die((f"other-{number}",))
    assert case.accused() == [{"bad"}]


def test_complete_answers_that_another_host_tells_count_beside_those_that_only_began() -> None:
    """Complete answers were told as begun if any other had only begun, and so counted for less."""
    teller, case = Case(), Case()
    for here in (teller, case):
        for number in range(WHOLE_EXCESS):
            here.die(("popular", f"topic-{number}"), progress=Progress.RUNNING)
    teller.survive("popular", count=9, whole=True)
    teller.survive("popular", count=9, whole=False)
    for part, survival in teller.blame.open_questions():
        case.blame.note_told(part, HostId("h-2"), survival)
    case.now_s += LATE_SETTLE_S
    assert case.accused() == []


# Guards against a host that stands still while it looks for one part at fault among many.
@pytest.mark.parametrize("count", [16, 63])
def test_deaths_are_looked_up_a_few_times_for_each_part(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    case = Case()
    for _ in range(count):
        case.die(*[(f"part-{number}",) for number in range(count)])
    look_up = case.blame.deaths_with
    looked_up: list[Parts] = []

    def deaths_with(parts: Parts, *, early: bool) -> list[str]:
        looked_up.append(parts)
        return look_up(parts, early=early)

    monkeypatch.setattr(case.blame, "deaths_with", deaths_with)
    assert len(case.accused()) == count
    assert len(looked_up) <= 4 * count
