import pytest
from aioprometheus import histogram
from hypothesis import given
from hypothesis import strategies as st

from cassiawalk._histogram import BisectHistogram
from cassiawalk.clock import SystemClock
from cassiawalk.control.state import Kind
from cassiawalk.control.state import KindMode
from cassiawalk.ids import KindName
from cassiawalk.ids import PoolName
from cassiawalk.ids import RequestId
from cassiawalk.ids import ServiceName
from cassiawalk.ids import WorkspaceName
from cassiawalk.metrics import Metrics
from cassiawalk.requests import RequestRecord
from cassiawalk.results import Refusal
from cassiawalk.results import ResultCode

BOUNDS = (0.1, 0.5, 2.0, float("inf"))


def new_record() -> RequestRecord:
    return RequestRecord(
        request_id=RequestId("r.h"),
        workspace=WorkspaceName("family"),
        service=ServiceName("enquiries"),
        kind_name=KindName("quick"),
        kind=Kind(mode=KindMode.QUICK),
        pool=PoolName("models"),
        body=b"{}",
        prompt="x",
        deadline_s=0.0,
        accepted_at=10.0,
    )


@given(st.lists(st.floats(min_value=0, max_value=10) | st.sampled_from(BOUNDS[:3])))
def test_buckets_agree_with_the_library(values: list[float]) -> None:
    ours, theirs = BisectHistogram(*BOUNDS), histogram.Histogram(*BOUNDS)
    for value in values:
        ours.observe(value)
        theirs.observe(value)
    assert dict(ours.buckets) == dict(theirs.buckets)
    assert (ours.observations, ours.sum) == (theirs.observations, pytest.approx(theirs.sum))


def test_histograms_are_exposed_by_workspace_and_kind() -> None:
    metrics = Metrics(clock=SystemClock())
    record = new_record()
    metrics.note_tokens(record, 1, 11.0)
    metrics.note_tokens(record, 3, 11.04)
    metrics.note_cost(record, 0.25)
    metrics.note_cost(record, 0.5)
    metrics.note_refusal(record, Refusal(code=ResultCode.OVER_LIMIT, detail="x"))
    text = metrics.render()[0].decode()
    labels = 'kind="enquiries/quick",workspace="family"'
    assert f"cassiawalk_first_token_seconds_sum{{{labels}}} 1.0" in text
    between = [line for line in text.splitlines() if line.startswith("cassiawalk_between")]
    assert [line.endswith(" 2.0") for line in between if 'le="0.036"' in line] == [True]
    assert [line.endswith(" 3.0") for line in between if 'le="0.05"' in line] == [True]
    assert f"cassiawalk_tokens{{{labels}}} 4" in text
    assert f"cassiawalk_cost_units{{{labels}}} 0.75" in text
    assert 'code="3000"' in text
