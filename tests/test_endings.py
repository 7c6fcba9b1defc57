"""Whether an answer that only its connection ended is whole, from what is known of its upstream."""

import asyncio

import pytest

from cassiawalk.ids import Offset
from cassiawalk.ids import ServiceName
from cassiawalk.ingress.endings import PROMPT_S
from cassiawalk.ingress.endings import STALL_S
from cassiawalk.ingress.endings import STALLED_FOR_S
from cassiawalk.ingress.endings import Endings
from cassiawalk.ingress.endings import Evidence
from cassiawalk.ingress.endings import StallWatch
from cassiawalk.ingress.endings import Wholeness
from cassiawalk.ingress.endings import judge
from cassiawalk.storeview.config import ConfigView
from cassiawalk.storeview.directory import Directory
from cassiawalk.storeview.inquiry import UpstreamInquiry
from cassiawalk.storeview.inquiry import UpstreamReport
from cassiawalk.storeview.inquiry import UpstreamState
from cassiawalk.storeview.inquiry import Witness
from cassiawalk.storeview.listing import ProcessListing
from cassiawalk.storeview.upstream import Registration
from cassiawalk.storeview.upstream import Upstream
from tests.fakes import FakeClock
from tests.test_directory import entry

WHOLE, BROKEN, UNKNOWN = Wholeness.WHOLE, Wholeness.BROKEN, Wholeness.UNKNOWN


@pytest.mark.parametrize(
    ("witness", "asked_after_s", "stalled", "is_current", "expected"),
    [
        (Witness.SAME, 0.0, False, None, WHOLE),
        (Witness.SAME, 5.0, True, True, WHOLE),
        (Witness.SAME, 5.0, True, False, BROKEN),  # it has started again under its id
        (Witness.SAME, 5.0, True, None, UNKNOWN),
        (Witness.OTHER, 0.0, False, None, BROKEN),
        (Witness.OTHER, 0.0, True, True, BROKEN),
        (Witness.NOBODY, 0.0, False, None, BROKEN),
        (Witness.SOMEONE, PROMPT_S / 2, False, None, WHOLE),
        (Witness.SOMEONE, PROMPT_S * 2, False, None, UNKNOWN),  # another one may be there by now
        (Witness.SOMEONE, 0.0, True, None, UNKNOWN),
        (Witness.UNKNOWN, 0.0, False, None, UNKNOWN),
    ],
)
def test_answer_is_whole_only_if_its_process_has_outlived_it(
    witness: Witness,
    asked_after_s: float,
    stalled: bool,
    is_current: bool | None,
    expected: Wholeness,
) -> None:
    evidence = Evidence(
        witness=witness, asked_after_s=asked_after_s, stalled=stalled, is_current=is_current
    )
    assert judge(evidence) is expected


@pytest.mark.parametrize(
    ("age_s", "started_ms", "expected"),
    [(0.0, 1, True), (0.0, 2, False), (10.0, 1, None), (10.0, 2, False)],
)
async def test_process_is_current_if_the_newest_entries_list_no_later_one(
    age_s: float, started_ms: int, expected: bool | None
) -> None:
    clock = FakeClock()
    directory = Directory(clock=clock)
    directory.put(entry(started_ms=started_ms), Offset(1))
    listing = ProcessListing(directory=directory, age_s=lambda: age_s, clock=clock)
    upstream = Upstream(registration=entry(started_ms=1), clock=clock)
    assert await listing.is_current(upstream) is expected


def test_host_that_was_stopped_knows_for_a_while() -> None:
    clock = FakeClock()
    stalls = StallWatch(boot_clock=clock)
    clock.now += STALL_S / 2
    assert not stalls.stalled
    clock.now += STALL_S * 2
    assert stalls.stalled
    clock.now += STALL_S / 2
    assert stalls.stalled
    for _ in range(int(STALLED_FOR_S / STALL_S * 2) + 1):
        clock.now += STALL_S / 2
        stalls.look()
    assert not stalls.stalled


class SlowInquiry(UpstreamInquiry):
    """Answers a question when it is told to."""

    def __init__(self) -> None:
        self.asked: list[asyncio.Future[Witness]] = []

    async def ask(self, registration: Registration, *, path: str) -> UpstreamReport:
        self.asked.append(asyncio.get_running_loop().create_future())
        return UpstreamReport(state=UpstreamState.UNKNOWN, witness=await self.asked[-1])


class Config(ConfigView):
    def health_path(self, service: ServiceName) -> str | None:
        return "/h"


async def _is_current(_: Upstream) -> bool:
    return True


async def test_question_is_shared_only_by_answers_that_ended_before_it() -> None:
    """Guards against an answer that is taken for whole by a question that began before its end."""
    clock = FakeClock()
    inquiry = SlowInquiry()
    stalls = StallWatch(boot_clock=clock)
    clock.now += STALL_S * 2  # so that the upstream is asked, and not only its address tried
    endings = Endings(inquiry=inquiry, config=Config(), stalls=stalls, clock=clock)
    endings.is_current = _is_current
    upstream = Upstream(registration=entry(), clock=clock)
    first = [asyncio.create_task(endings.judge(upstream, wait_s=5.0)) for _ in range(2)]
    await asyncio.sleep(0.01)
    assert len(inquiry.asked) == 1
    later = [asyncio.create_task(endings.judge(upstream, wait_s=5.0)) for _ in range(2)]
    await asyncio.sleep(0.01)
    inquiry.asked[0].set_result(Witness.SAME)
    assert await asyncio.gather(*first) == [WHOLE, WHOLE]
    await asyncio.sleep(0.01)
    assert len(inquiry.asked) == 2
    inquiry.asked[1].set_result(Witness.NOBODY)
    assert await asyncio.gather(*later) == [BROKEN, BROKEN]
    await endings.stop()
