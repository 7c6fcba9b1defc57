from benchmarks.token_path import new_record
from cassiawalk.clock import SystemClock
from cassiawalk.metrics import Metrics


def test_tokens_and_intervals_are_counted_over_scrapes() -> None:
    metrics = Metrics(clock=SystemClock())
    record = new_record(1)
    for count, now in ((1, 10.0), (2, 10.02), (1, 10.03)):
        metrics.note_tokens(record, count, now)
    first = metrics.render()[0].decode()
    metrics.note_tokens(record, 3, 10.06)
    second = metrics.render()[0].decode()
    labels = '{kind="enquiries/summary",workspace="bench"}'
    assert f"cassiawalk_tokens{labels} 4" in first
    assert f"cassiawalk_tokens{labels} 7" in second
    assert f"cassiawalk_between_tokens_seconds_count{labels} 3" in first
    assert f"cassiawalk_between_tokens_seconds_count{labels} 6" in second
