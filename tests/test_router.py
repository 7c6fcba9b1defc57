import random

import pytest

from cassiawalk.clients import HostEntry
from cassiawalk.clients import HostRole
from cassiawalk.clients import LoadReport
from cassiawalk.clients.engine import CacheRemoved
from cassiawalk.clients.engine import CacheStored
from cassiawalk.control.state import KindMode
from cassiawalk.control.state import Pool
from cassiawalk.control.state import PoolType
from cassiawalk.ids import FailureDomain
from cassiawalk.ids import HostId
from cassiawalk.ids import PoolName
from cassiawalk.ids import UpstreamId
from cassiawalk.routing import Router
from cassiawalk.routing import UpstreamView
from cassiawalk.routing.cache import CacheView
from cassiawalk.routing.load import UpstreamLoad
from cassiawalk.routing.prefix import prompt_blocks
from cassiawalk.routing.score import ScoreWeights
from cassiawalk.routing.score import WaitCorrection
from standins import prefix_cache
from tests.fakes import FakeClock
from tests.fakes import make_record


class FakeTable:
    def __init__(self, views: list[UpstreamView]) -> None:
        self.views = views

    def in_pool(self, pool: PoolName) -> list[UpstreamView]:
        return self.views


def _view(clock: FakeClock, name: str, *, reclaimable: bool = True, price: float = 1.0):  # type: ignore[no-untyped-def]
    entry = HostEntry(
        host=HostId(name),
        role=HostRole.ENGINE,
        failure_domain=FailureDomain("north"),
        address=name,
        pool=PoolName("models"),
        reclaimable=reclaimable,
        price=price,
    )
    return UpstreamView(entry=entry, clock=clock)


def _router(views: list[UpstreamView], **options: object) -> Router:
    return Router(table=FakeTable(views), rng=random.Random(1), **options)  # type: ignore[arg-type]


def _report(clock: FakeClock, *, running: int, age_s: float = 0.0, **fields: float) -> LoadReport:
    return LoadReport(
        slots=8, running=running, waiting=0, measured_s=clock.wall() - age_s, **fields
    )


def test_report_is_corrected_by_own_requests_sent_and_ended_since() -> None:
    clock = FakeClock()
    load = UpstreamLoad(clock=clock)
    load.set_own_count(3)
    clock.now += 1.0
    load.set_own_count(1)
    clock.now += 1.0
    # Three own requests ran when the report was measured, so two are from other hosts.
    load.note_report(_report(clock, running=5, age_s=1.5))
    assert (load.others, load.own) == (2, 1)


@pytest.mark.parametrize("skew_s", [-3600.0, 3600.0])
def test_load_stays_within_the_report_if_the_reporters_clock_is_wrong(skew_s: float) -> None:
    clock = FakeClock()
    load = UpstreamLoad(clock=clock)
    load.set_own_count(2)
    load.note_report(_report(clock, running=4, age_s=skew_s))
    assert 0 <= load.others <= 4


def test_less_occupied_upstream_is_chosen() -> None:
    clock = FakeClock()
    views = [_view(clock, name) for name in "abc"]
    for view, running in zip(views, (8, 2, 8), strict=True):
        view.note_report(_report(clock, running=running))
    choice = _router(views).choose(make_record())
    assert choice is not None
    assert choice.upstream is views[1]


def test_old_reports_do_not_direct_all_requests_to_one_upstream() -> None:
    clock = FakeClock()
    views = [_view(clock, f"e{index}") for index in range(10)]
    for index, view in enumerate(views):
        view.note_report(_report(clock, running=0 if index == 0 else 7))
    clock.now += 5.0
    router = _router(views)
    first = 0
    for _ in range(20):
        choice = router.choose(make_record())
        assert choice is not None
        router.note_sent(choice, make_record())
        first += choice.upstream is views[0]
    assert first <= 4


def test_slow_upstream_is_avoided() -> None:
    clock = FakeClock()
    views = [_view(clock, name) for name in "ab"]
    views[0].note_report(_report(clock, running=0, token_interval_s=0.2))
    views[1].note_report(_report(clock, running=4, token_interval_s=0.03))
    choice = _router(views).choose(make_record(max_tokens=100))
    assert choice is not None
    assert choice.upstream is views[1]


def test_cached_prefix_attracts_requests_until_the_upstream_is_busy() -> None:
    clock = FakeClock()
    views = [_view(clock, name) for name in "abcdefgh"]
    prompt = " ".join(["word"] * 1600)
    views[5].cache.note(CacheStored(seq=1, blocks=prompt_blocks(prompt)))
    router = _router(views)
    choice = router.choose(make_record(prompt=prompt))
    assert choice is not None
    assert choice.upstream is views[5]
    views[5].note_report(_report(clock, running=16))
    choice = router.choose(make_record(prompt=prompt))
    assert choice is not None
    assert choice.upstream is not views[5]


def test_excluded_upstream_is_used_only_if_there_is_no_other() -> None:
    clock = FakeClock()
    views = [_view(clock, name) for name in "ab"]
    router = _router(views)
    for excluded, expected in (({"a"}, "b"), ({"b"}, "a")):
        choice = router.choose(make_record(), exclude=frozenset(map(UpstreamId, excluded)))
        assert choice is not None
        assert choice.upstream.upstream_id == expected
    assert router.choose(make_record(), exclude=frozenset(map(UpstreamId, "ab"))) is not None


@pytest.mark.parametrize(("recompute", "expected"), [(0.0, "cheap"), (50.0, "stable")])
def test_weights_decide_which_upstream_gets_a_long_request(recompute: float, expected: str) -> None:
    clock = FakeClock()
    views = [_view(clock, "cheap"), _view(clock, "stable", reclaimable=False, price=2.5)]
    pools = {PoolName("models"): Pool(type=PoolType.ENGINE, recompute_weight=recompute)}
    router = _router(views, weights=ScoreWeights(price=1.0), pools=lambda: pools)
    record = make_record(mode=KindMode.MUST_ARRIVE, max_tokens=800, prompt=" ".join(["w"] * 4000))
    choice = router.choose(record)
    assert choice is not None
    assert choice.upstream.upstream_id == expected


def test_request_waits_when_every_upstream_is_full() -> None:
    clock = FakeClock()
    view = _view(clock, "a")
    view.note_report(_report(clock, running=16))
    assert _router([view]).choose(make_record()) is None


def test_blocks_are_hashed_as_engines_publish_them() -> None:
    prompt = " ".join(f"w{index}" for index in range(100))
    assert list(prompt_blocks(prompt)) == prefix_cache.prompt_blocks(prompt)


def test_gap_in_cache_events_halves_the_weight_of_older_blocks() -> None:
    cache = CacheView()
    blocks = prompt_blocks(" ".join(["w"] * 64))
    cache.note(CacheStored(seq=1, blocks=blocks))
    assert cache.expected_tokens(blocks) == 64
    cache.note(CacheStored(seq=3, blocks=()))
    assert cache.expected_tokens(blocks) == 32
    cache.note_sent(blocks)
    assert cache.expected_tokens(blocks) == 64


def test_removed_blocks_are_not_expected() -> None:
    cache = CacheView()
    blocks = prompt_blocks(" ".join(["w"] * 64))
    cache.note(CacheStored(seq=1, blocks=blocks))
    cache.note(CacheRemoved(seq=2, blocks=blocks[2:]))
    assert cache.expected_tokens(blocks) == 32


def test_wait_correction_is_learnt_by_priority() -> None:
    waits = WaitCorrection()
    for _ in range(200):
        waits.note(0, 1.0, 0.2)
        waits.note(1, 1.0, 3.0)
    assert waits.factor(0) == pytest.approx(0.24, abs=0.02)
    assert waits.factor(1) == pytest.approx(2.9, abs=0.1)
    assert waits.factor(7) == 1.0


def test_hold_times_are_learnt_by_pool() -> None:
    clock = FakeClock()
    router = _router([_view(clock, "a")])
    call = make_record(prompt="")
    call.pool = PoolName("records")
    record = make_record()
    before = router.hold_s(record)
    for _ in range(200):
        router.note_hold(call, 0.001)
    assert router.hold_s(record) == before
