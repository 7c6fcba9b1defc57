import random

import hypothesis
import hypothesis.strategies as st
import pytest

from cassiawalk.ids import HostId
from cassiawalk.ids import Offset
from cassiawalk.once import Claim
from cassiawalk.once import Ledger
from cassiawalk.once.checkpoint import ENTRIES_PER_PART
from cassiawalk.once.checkpoint import CheckpointAssembler
from cassiawalk.once.checkpoint import checkpoint_parts
from cassiawalk.once.ledger import SWEEPS_PER_WINDOW
from cassiawalk.once.logtime import LogTime
from cassiawalk.once.logtime import Stamp
from cassiawalk.once.records import OnceRecord
from cassiawalk.once.records import records
from tests.once_fakes import EPOCH_S
from tests.once_fakes import KEEP_S
from tests.once_fakes import abandon_of
from tests.once_fakes import make_claim
from tests.once_fakes import outcome_of

FIRST = make_claim("k", 1)
SECOND = make_claim("k", 2, gateway="host-b")


def fold(ledger: Ledger, *batch: OnceRecord) -> None:
    for record in batch:
        ledger.fold(ledger.next_offset, [record])


def holder(ledger: Ledger, key: str = "k") -> str | None:
    entry = ledger.entry(key)
    return None if entry is None else entry.claim.claim_id


@pytest.mark.parametrize(
    ("batch", "held_by"),
    [
        pytest.param([FIRST, SECOND], "claim-1", id="lowest position wins"),
        pytest.param([FIRST, FIRST, SECOND], "claim-1", id="a copy has no effect"),
        pytest.param([FIRST, abandon_of(FIRST)], None, id="abandoned"),
        pytest.param([FIRST, abandon_of(FIRST), SECOND], "claim-2", id="freed for another"),
        pytest.param([abandon_of(FIRST), FIRST], None, id="abandonment before its claim"),
        pytest.param([abandon_of(FIRST), FIRST, SECOND], "claim-2", id="late claim does not win"),
        pytest.param([FIRST, abandon_of(FIRST), FIRST], None, id="copy after abandonment"),
        pytest.param([FIRST, abandon_of(SECOND)], "claim-1", id="only the holder frees"),
        pytest.param([FIRST, outcome_of(FIRST), abandon_of(FIRST)], "claim-1", id="outcome stays"),
        pytest.param([outcome_of(FIRST), SECOND], "claim-2", id="outcome without a claim"),
    ],
)
def test_fold_decides_by_position(batch: list[OnceRecord], held_by: str | None) -> None:
    ledger = Ledger(keep_s=KEEP_S)
    fold(ledger, *batch)
    assert holder(ledger) == held_by


@pytest.mark.parametrize(
    ("stamps", "now_s"),
    [
        pytest.param([("a", 5.0)], 0.0, id="one host is not enough"),
        pytest.param([("a", 5.0), ("b", 3.0)], 3.0, id="the second-latest"),
        pytest.param([("a", 9e9), ("a", 9e9 + 1), ("b", 3.0)], 3.0, id="a clock far ahead"),
        pytest.param([("a", 5.0), ("b", 7.0), ("a", 8.0), ("b", 6.0)], 7.0, id="never back"),
        pytest.param([("a", 5.0), ("b", 7.0), ("c", 6.0)], 6.0, id="three hosts"),
    ],
)
def test_log_time_needs_two_hosts(stamps: list[tuple[str, float]], now_s: float) -> None:
    time = LogTime()
    for host, at_s in stamps:
        time.observe(Stamp(host=HostId(host), at_s=at_s))
    assert time.now_s == now_s


def test_claims_expire_after_the_window_and_not_before() -> None:
    ledger = Ledger(keep_s=KEEP_S)
    fold(ledger, FIRST, make_claim("x", 3, at_s=KEEP_S, gateway="host-b"))
    fold(ledger, make_claim("y", 4, at_s=KEEP_S, gateway="host-c"))
    assert holder(ledger) == "claim-1"
    fold(ledger, make_claim("z", 5, at_s=KEEP_S + 1, gateway="host-b"))
    fold(ledger, make_claim("w", 6, at_s=KEEP_S + 1, gateway="host-c"))
    assert holder(ledger) is None
    later_s = KEEP_S * (1 + 2 / SWEEPS_PER_WINDOW)
    fold(ledger, make_claim("u", 7, at_s=later_s, gateway="host-b"))
    fold(ledger, make_claim("v", 8, at_s=later_s, gateway="host-c"))
    assert len(ledger) == 6


def test_window_counts_from_the_claim_after_an_idle_time() -> None:
    """The log time of an idle partition is in the past; new claims are kept for a full window."""
    ledger = Ledger(keep_s=KEEP_S)
    fold(ledger, make_claim("x", 3, gateway="host-a"), make_claim("y", 4, gateway="host-b"))
    idle_s = 50 * KEEP_S
    fold(ledger, make_claim("k", 1, at_s=idle_s, gateway="host-a"))
    fold(ledger, make_claim("z", 5, at_s=idle_s + 1, gateway="host-b"))
    fold(ledger, make_claim("w", 6, at_s=idle_s + 1, gateway="host-c"))
    assert holder(ledger) == "claim-1"


def test_late_copy_of_an_old_claim_does_not_win() -> None:
    ledger = Ledger(keep_s=KEEP_S)
    fold(ledger, make_claim("x", 3, at_s=2 * KEEP_S, gateway="host-a"))
    fold(ledger, make_claim("y", 4, at_s=2 * KEEP_S, gateway="host-b"))
    fold(ledger, FIRST)
    assert holder(ledger) is None


def test_one_fast_clock_expires_no_claim() -> None:
    ledger = Ledger(keep_s=KEEP_S)
    fold(ledger, FIRST, make_claim("x", 3, at_s=99 * KEEP_S, gateway="fast"))
    fold(ledger, make_claim("y", 4, at_s=99 * KEEP_S + 1, gateway="fast"))
    assert holder(ledger) == "claim-1"


_HOSTS = st.sampled_from(["host-a", "host-b", "host-c"])


@st.composite
def histories(draw: st.DrawFn) -> list[OnceRecord]:
    """Return records in any order, with duplicates, over several windows."""
    made: list[Claim] = []
    history: list[OnceRecord] = []
    for number in range(draw(st.integers(1, 30))):
        what = draw(st.sampled_from(["claim", "claim", "copy", "outcome", "abandon"]))
        if what == "claim" or not made:
            at_s = draw(st.floats(0, 4 * KEEP_S))
            key = draw(st.sampled_from(["k", "l", "m"]))
            made.append(make_claim(key, number, at_s=at_s, gateway=draw(_HOSTS)))
            history.append(made[-1])
            continue
        claim = draw(st.sampled_from(made))
        make_copy_or_result = {"copy": lambda c: c, "outcome": outcome_of, "abandon": abandon_of}[
            what
        ]
        history.append(make_copy_or_result(claim))
    return history


@hypothesis.given(history=histories(), data=st.data())
def test_all_readers_reach_the_same_ledger(history: list[OnceRecord], data: st.DataObject) -> None:
    """A ledger restored from a checkpoint that gets entries twice always equals the original."""
    cut = data.draw(st.integers(0, len(history)))
    original = Ledger(keep_s=KEEP_S)
    fold(original, *history[:cut])
    restored = Ledger(keep_s=KEEP_S)
    assembler = CheckpointAssembler()
    for part in checkpoint_parts(original.state(), written_s=EPOCH_S):
        for message in records.decode(records.encode([part])):
            assembler.add(message)  # type: ignore[arg-type]
    state = assembler.newest(first_offset=Offset(0))
    assert state is not None
    restored.restore(state)
    for record in history[cut:]:
        offset = original.next_offset
        for ledger in (original, restored, restored):
            ledger.fold(offset, [record])
        for key in ("k", "l", "m"):
            assert original.entry(key) == restored.entry(key)


def test_only_complete_checkpoints_are_used() -> None:
    ledger = Ledger(keep_s=KEEP_S)
    fold(ledger, *(make_claim(f"key-{n}", n) for n in range(2 * ENTRIES_PER_PART + 1)))
    parts = list(checkpoint_parts(ledger.state(), written_s=EPOCH_S))
    random.Random(1).shuffle(parts)
    assembler = CheckpointAssembler()
    for part in parts:
        assert assembler.newest(first_offset=Offset(0)) is None
        assembler.add(part)
    state = assembler.newest(first_offset=Offset(0))
    assert state is not None
    assert len(state.entries) == 2 * ENTRIES_PER_PART + 1
    needs_lost_records = Offset(state.through_offset + 2)
    assert assembler.newest(first_offset=needs_lost_records) is None
