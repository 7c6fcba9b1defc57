"""The soak: a short run of its own, seeds that once failed, and checks that see what is wrong."""

import pathlib

import pytest

from soak.plan import Fault
from soak.plan import draw
from soak.record import Asked
from soak.record import Record
from soak.run import Size
from soak.run import SoakRun
from standins.platform import DutyCall
from standins.platform import PlatformStore
from standins.platform import PlatformUpstream
from standins.platform_fleet import ONCE
from standins.platform_fleet import SAFE
from standins.raw_caller import Answer

SHORT = Size(hosts=3, upstreams=2, callers=4, seconds=5.0)
# Each seed that ever failed, with its cause.
FAILED_SEEDS = {
    1: "SIGHUP came while a host started and ended it",
}


@pytest.mark.parametrize("seed", [7, 8])
async def test_short_run_keeps_all_promises(seed: int, tmp_path: pathlib.Path) -> None:
    assert await SoakRun(seed=seed, size=SHORT, directory=tmp_path).run() == []


@pytest.mark.parametrize("seed", FAILED_SEEDS)
async def test_seed_that_once_failed(seed: int, tmp_path: pathlib.Path) -> None:
    assert await SoakRun(seed=seed, size=Size(), directory=tmp_path).run() == []


def test_plan_is_drawn_from_its_seed_and_has_every_fault() -> None:
    assert draw(seed=3, seconds=30) == draw(seed=3, seconds=30)
    assert draw(seed=3, seconds=30) != draw(seed=4, seconds=30)
    drawn = {step.fault for seed in range(20) for step in draw(seed=seed, seconds=30)}
    assert drawn == set(Fault)


def _answer(
    status: int = 200, *, request_id: str = "q-1", body: bytes = b"q-1", sealed: bool = True
) -> Answer:
    seal = "X-Response-Seal: s\r\n" if sealed else ""
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{seal}\r\n"
    return Answer(status=status, head=head.encode(), body=body)


def _asked(answer: Answer | None, *, path: str = ONCE, took_s: float = 0.1) -> Asked:
    return Asked(
        request_id="q-1", path=path, host="host-0", at=10.0, ended_at=10.0 + took_s, answer=answer
    )


@pytest.mark.parametrize(
    ("asked", "runs", "complaint"),
    [
        (_asked(_answer()), 1, None),
        (_asked(_answer()), 2, "ran 2 times"),
        (_asked(_answer(), path=SAFE), 2, None),
        (_asked(_answer(503, sealed=False)), 1, "refused with 503, but it ran"),
        (_asked(_answer(503, sealed=False), path=SAFE), 1, "refused with 503, but it ran"),
        (_asked(_answer(502, sealed=False)), 1, None),
        (_asked(_answer()), 0, "nothing ran"),
        (_asked(_answer(sealed=False)), 1, "without an upstream's signature"),
        (_asked(_answer(body=b"q-")), 1, "got b'q-'"),
        (_asked(_answer(request_id="q-2")), 1, "got the answer to b'q-2'"),
        (_asked(None, took_s=6.0), 1, "no answer 5.6 s after"),
    ],
)
def test_broken_promises_to_callers_are_seen(
    asked: Asked, runs: int, complaint: str | None
) -> None:
    upstream = PlatformUpstream(store=PlatformStore(), service="models")
    upstream.executed_ids = ["q-1"] * runs
    upstream.workspaces = ["family"] * runs
    record = Record(asked={"q-1": asked})
    found = record.broken(upstreams=[upstream], duties=[], logs={})
    assert [complaint in line for line in found] == [True] if complaint else found == []


def test_late_answer_of_a_disturbed_host_is_no_broken_promise() -> None:
    record = Record(asked={"q-1": _asked(None, took_s=6.0)}, disturbed=[("host-0", 12.0, 13.0)])
    assert record.broken(upstreams=[], duties=[], logs={}) == []


def test_strangers_requests_and_workspaces_are_seen() -> None:
    upstream = PlatformUpstream(store=PlatformStore(), service="models")
    upstream.executed_ids, upstream.workspaces = ["x"], ["other"]
    found = Record().broken(upstreams=[upstream], duties=[], logs={})
    assert found == ["x: run, but nobody sent it", "run for the workspace 'other'"]


def _call(holder: str, fence: int, count: int) -> DutyCall:
    body = {"window_seq": 4, "counts": {"family": count}}
    return DutyCall(path="/usage", holder=holder, fencing_token=fence, body=body)


def test_broken_promises_of_duties_are_seen() -> None:
    calls = [_call("a", 1, 5), _call("a", 1, 5), _call("b", 2, 5)]
    assert Record().broken(upstreams=[], duties=calls, logs={}) == []
    calls = [_call("a", 1, 5), _call("b", 1, 6)]
    found = Record().broken(upstreams=[], duties=calls, logs={})
    assert found[0] == "fence 1: used by ['a', 'b']"
    assert found[1].startswith("window 4: reported as")


def test_revisions_that_go_back_in_a_process_are_seen() -> None:
    started = {"event": "host:started"}
    first, second = ({"event": "config:in-force", "revision": number} for number in (3, 2))
    kept = {"host-0": [started, first, started, second]}
    assert Record().broken(upstreams=[], duties=[], logs=kept) == []
    broken = {"host-0": [started, first, second]}
    assert Record().broken(upstreams=[], duties=[], logs=broken) == ["host-0: revision 2 after 3"]
