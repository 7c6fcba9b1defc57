import asyncio
import contextlib
import typing as t

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiawalk.caller.events import follow
from cassiawalk.control.state import KindMode
from cassiawalk.control.state import PoolType
from cassiawalk.dispatch import dispatcher as dispatcher_module
from cassiawalk.dispatch.runner import Runner
from cassiawalk.requests import Cursor
from cassiawalk.requests import Ended
from cassiawalk.requests import Failed
from cassiawalk.requests import RequestRecord
from cassiawalk.requests import RequestState
from cassiawalk.requests import Text
from cassiawalk.requests import parse_cursor
from cassiawalk.requests.answer_log import AnswerLog
from cassiawalk.results import Execution
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode
from tests.handover_callers import until
from tests.handover_hosts import running_cluster

CHUNKS = st.lists(
    st.tuples(st.text(alphabet="ab é\n", min_size=1, max_size=6), st.integers(1, 4)), max_size=30
)


@pytest.mark.parametrize(
    ("text", "cursor"),
    [
        ("0", Cursor()),
        ("17", Cursor(position=17)),
        ("17:0", Cursor(run="0", position=17)),
        ("9:2.host-1", Cursor(run="2.host-1", position=9)),
        ("", None),
        ("-1", None),
        ("x:0", None),
        ("²", None),
    ],
)
def test_parse_cursor(text: str, cursor: Cursor | None) -> None:
    assert parse_cursor(text) == cursor
    if cursor is not None and text:
        assert parse_cursor(str(cursor)) == cursor


@given(
    chunks=CHUNKS, reads_after=st.lists(st.integers(0, 29), max_size=5), handed_over=st.booleans()
)
def test_reader_gets_each_character_and_token_once(
    chunks: list[tuple[str, int]], reads_after: list[int], handed_over: bool
) -> None:
    log = AnswerLog()
    text, tokens, cursor = "", 0, Cursor()
    for index, (chunk, count) in enumerate(chunks):
        log.add(Text(count=count, text=chunk))
        if index not in reads_after:
            continue
        if handed_over:
            log = AnswerLog(initial=log.export(), run=f"{index + 1}.b")
        for positioned in log.read(log.resolve(cursor)):
            assert isinstance(positioned.event, Text)
            text += positioned.event.text
            tokens += positioned.event.count
            cursor = positioned.cursor
    log.add(Ended(tokens=log.tokens))
    *texts, last = [positioned.event for positioned in log.read(log.resolve(cursor))]
    for event in texts:
        assert isinstance(event, Text)
        text += event.text
        tokens += event.count
    assert text == "".join(chunk for chunk, _ in chunks) == log.text
    assert last == Ended(tokens=tokens)


def test_events_after_a_final_event_are_dropped() -> None:
    log = AnswerLog()
    log.add(Text(count=1, text="a"))
    log.add(Ended(tokens=1))
    log.add(Text(count=1, text="late"))
    log.add(Ended(tokens=1))
    assert log.events == [Text(count=1, text="a"), Ended(tokens=1)]


class RaisingRunner(Runner):
    """Raises an exception, before or after the request counts as dispatched."""

    def __init__(self, *, dispatched: bool) -> None:
        self._dispatched = dispatched

    async def run(self, record: RequestRecord) -> Refusal | None:
        if self._dispatched:
            record.attempt += 1
        raise KeyError("raised by the test")


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("dispatched", "ran"), [(False, Execution.NOT_RUN), (True, Execution.UNKNOWN)]
)
async def test_exception_in_a_runner_ends_every_reader(dispatched: bool, ran: Execution) -> None:
    async with running_cluster() as cluster:
        dispatcher: t.Any = cluster.hosts["a"].dispatcher
        dispatcher._runners = {PoolType.ENGINE: RaisingRunner(dispatched=dispatched)}
        record = cluster.submit("a")

        async def read() -> list[object]:
            return [item.event async for item in follow(record, after=Cursor())]

        for events in await asyncio.gather(*(read() for _ in range(3))):
            (final,) = events
            assert isinstance(final, Failed)
            assert (final.code, final.ran) == (ResultCode.INTERNAL, ran)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("mode", "state"),
    [
        (KindMode.QUICK, RequestState.FAILED),
        (KindMode.MUST_ARRIVE, RequestState.DONE),
        (KindMode.AT_MOST_ONCE, RequestState.DONE),
    ],
)
async def test_request_whose_callers_all_disconnected(mode: KindMode, state: RequestState) -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=200, mode=mode)
        events = follow(record, after=Cursor())
        async with contextlib.aclosing(events):
            await anext(events)
        await until(lambda: record.is_final)
        assert record.state is state
        if state is RequestState.FAILED:
            assert record.tokens < 200
            assert not cluster.running(record.request_id)


@pytest.mark.looptime
async def test_caller_that_attaches_within_the_grace_period_keeps_a_quick_request() -> None:
    async with running_cluster() as cluster:
        record = cluster.submit("a", tokens=200, mode=KindMode.QUICK)
        events = follow(record, after=Cursor())
        async with contextlib.aclosing(events):
            first = await anext(events)
        await asyncio.sleep(dispatcher_module.ABANDON_GRACE_S / 2)
        rest = [item.event async for item in follow(record, after=first.cursor)]
        assert rest[-1] == Ended(tokens=200)
