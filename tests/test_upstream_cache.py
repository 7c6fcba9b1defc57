import pytest

from cassiawalk.clients.engine import CacheRemoved
from cassiawalk.clients.engine import CacheStored
from cassiawalk.routing.cache import CacheView


def _stored(seq: int, *blocks: str) -> CacheStored:
    return CacheStored(seq=seq, blocks=blocks)


def _removed(seq: int, *blocks: str) -> CacheRemoved:
    return CacheRemoved(seq=seq, blocks=blocks)


@pytest.mark.parametrize(
    ("events", "held", "unconfirmed"),
    [
        pytest.param([_stored(1, "a", "b")], "ab", "", id="stored"),
        pytest.param([_stored(1, "a", "b"), _removed(2, "a")], "b", "", id="removed"),
        pytest.param(
            [_stored(1, "a"), _stored(3, "b")], "ab", "a", id="gap-makes-blocks-unconfirmed"
        ),
        pytest.param(
            [_stored(1, "a"), _stored(3, "b"), _stored(4, "a")], "ab", "", id="seen-again"
        ),
        pytest.param([_stored(5, "a"), _removed(4, "a")], "a", "", id="older-event"),
        pytest.param([_stored(7, "a")], "a", "", id="first-event-is-no-gap"),
        pytest.param([_stored(1, "a", "b", "c", "d")], "bcd", "", id="bounded"),
    ],
)
def test_events(events: list[CacheStored | CacheRemoved], held: str, unconfirmed: str) -> None:
    view = CacheView(limit=3)
    for event in events:
        view.note(event)
    assert "".join(block for block in "abcd" if block in view) == held
    assert "".join(block for block in held if view.is_unconfirmed(block)) == unconfirmed


def test_reconnection_makes_all_blocks_unconfirmed() -> None:
    view = CacheView()
    view.note(_stored(1, "a"))
    view.note_reconnected()
    assert "a" in view
    assert view.is_unconfirmed("a")


@pytest.mark.parametrize(
    ("blocks", "count"), [([], 0), (["a"], 1), (["a", "x", "b"], 1), (["x", "a"], 0)]
)
def test_leading_blocks_end_at_the_first_that_is_not_held(blocks: list[str], count: int) -> None:
    view = CacheView()
    view.note(_stored(1, "a", "b"))
    assert view.count_leading(blocks) == count
