import dataclasses
import hashlib
import sys
import typing as t

import cbor2
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cassiawalk.clients import LogEntry
from cassiawalk.control import Command
from cassiawalk.control import ConfigState
from cassiawalk.control import Operation
from cassiawalk.control import Verdict
from cassiawalk.control.commands import FORMAT_VERSION
from cassiawalk.control.commands import records
from cassiawalk.control.decoding import IncompatibleError
from cassiawalk.control.decoding import decode_entry
from cassiawalk.control.fold import DecodedEntry
from cassiawalk.control.fold import fold
from cassiawalk.control.fold import fold_entries
from cassiawalk.control.rules import TABLES
from cassiawalk.control.snapshots import decode_state
from cassiawalk.control.snapshots import encode_state
from cassiawalk.ids import CommandId
from cassiawalk.ids import Offset
from tests.control_support import BASE_OPERATIONS
from tests.control_support import TOKEN
from tests.control_support import command
from tests.control_support import command_id
from tests.control_support import op

FOLD_MODULE = sys.modules[fold.__module__]

# Increment FORMAT_VERSION on any change of the schema or the fold after a release. Hosts with the
# older version then stop at the new records instead of folding them differently.
SCHEMA_DIGESTS = {1: "f0bccb2066c8dd6c"}


def fold_commands(*commands: Command, state: ConfigState | None = None) -> ConfigState:
    state = ConfigState() if state is None else state
    for item in commands:
        state = fold(state, Offset(state.through_offset + 1), [item])
    return state


BASE = fold_commands(command(1, *BASE_OPERATIONS))


def verdict_of(state: ConfigState, number: int) -> tuple[Verdict, str]:
    found = state.verdicts[command_id(number)]
    return found.verdict, found.detail


REJECTED = [
    (op("create", "pool models", type="engine"), "exists already"),
    (op("set", "pool absent", type="engine"), "does not exist"),
    (op("remove", "kind beds/list"), "does not exist"),
    (op("create", "pool p", type="batch"), "batch"),
    (op("create", "pool p"), "type"),
    (op("set", "pool models", colour="red"), "no field"),
    (op("set", "pool models", type="plain"), "type can't change"),
    (op("put", "pool models", type="plain"), "type can't change"),
    (op("set", "pool models", cost_weight=-0.1), "cost_weight"),
    (op("set", "pool models", cost_weight=float("nan")), "finite"),
    (op("set", "pool models", cost_weight=float("inf")), "finite"),
    (op("set", "pool models", cost_weight=10**400), "pool models"),
    (op("set", "pool models", checks_fencing=1), "expected bool"),
    (op("set", "pool models", model="x" * 2000), "1024"),
    (op("remove", "pool models"), "used by service enquiries"),
    (op("create", "service s", pool="absent"), "does not exist"),
    (op("create", "service s", pool=["models"]), "service s"),
    (op("create", "service a/b", pool="models"), "name is not allowed"),
    (op("create", "service ", pool="models"), "name is not allowed"),
    (op("set", "service beds", pool="models"), "at_most_once needs"),
    (op("set", "service beds", look_up="runs"), "look_up"),
    (op("remove", "service beds"), "used by kind beds/hold"),
    (op("create", "kind beds", mode="quick"), "service/kind"),
    (op("create", "kind beds/a/b", mode="quick"), "service/kind"),
    (op("create", "kind absent/a", mode="quick"), "does not exist"),
    (op("create", "kind beds/a", mode="fast"), "fast"),
    (op("create", "kind enquiries/hold", mode="at_most_once"), "at_most_once needs"),
    (op("set", "kind beds/hold", target_ms=0), "target_ms"),
    (op("set", "kind beds/hold", target_ms=True), "target_ms"),
    (op("set", "kind beds/hold", target_ms=1.5), "expected int"),
    (op("set", "kind beds/hold", deadline_s=0), "deadline_s"),
    (op("set", "kind beds/hold", deadline_s="60"), "expected float"),
    (op("set", "kind beds/hold", max_tokens=0), "max_tokens"),
    (op("set", "kind beds/hold", weight=0.0), "weight"),
    (op("set", "kind beds/hold", path="holds"), "path"),
    (op("set", "kind beds/hold", path="/a b"), "path"),
    (op("set", "workspace family", token_sha256="ab"), "64 hex"),
    (op("set", "workspace family", token_sha256="AB" * 32), "64 hex"),
    (op("set", "workspace family", share=0), "share"),
    (op("set", "workspace family", services="absent"), "does not exist"),
    (op("create", "workspace other", token_sha256=TOKEN), "same token"),
    (op("remove", "workspace family"), "used by limit family"),
    (op("create", "limit absent", concurrent=1), "does not exist"),
    (op("set", "limit family", concurrent=-1), "concurrent"),
    (op("set", "limit family", requests_per_s=-0.5), "requests_per_s"),
    (op("create", "quarantine f", until_s=-1.0), "until_s"),
    (op("create", "quarantine a b", until_s=1.0), "name is not allowed"),
]


@pytest.mark.parametrize(("operation", "reason"), REJECTED, ids=lambda item: str(item)[:60])
def test_operation_that_would_break_the_state_is_rejected(
    operation: Operation, reason: str
) -> None:
    state = fold_commands(command(2, operation), state=BASE)
    verdict, detail = verdict_of(state, 2)
    assert verdict is Verdict.REJECTED
    assert reason in detail
    assert dataclasses.replace(state, verdicts=BASE.verdicts, through_offset=Offset(0)) == BASE


@pytest.mark.parametrize(
    "operations",
    [
        (op("remove", "kind beds/hold"), op("set", "service beds", pool="models")),
        (op("remove", "limit family"), op("remove", "workspace family")),
        (op("set", "workspace family", services=""), op("remove", "kind beds/hold"))
        + (op("remove", "service beds"), op("set", "pool vacancy", type="engine")),
        (op("set", "limit family", requests_per_s=0, concurrent=0),),
        (op("create", "drain 10.0.0.1:80"), op("create", "quarantine ab:cd", until_s=5)),
    ],
)
def test_operations_in_the_right_order_are_accepted(operations: tuple[Operation, ...]) -> None:
    state = fold_commands(command(2, *operations), state=BASE)
    assert verdict_of(state, 2) == (Verdict.ACCEPTED, "")
    assert state.revision == BASE.revision + 1


def test_rejected_command_undoes_its_earlier_operations() -> None:
    operations = (
        op("create", "drain a"),
        op("remove", "limit family"),
        op("set", "pool absent", type="plain"),
    )
    state = fold_commands(command(2, *operations), state=BASE)
    assert verdict_of(state, 2)[0] is Verdict.REJECTED
    assert dataclasses.replace(state, verdicts=BASE.verdicts, through_offset=Offset(0)) == BASE


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (op("set", "limit family", concurrent=1), op("set", "limit family", concurrent=2)),
        (op("remove", "limit family"), op("set", "limit family", concurrent=2)),
        (op("remove", "limit family"), op("create", "limit family", concurrent=2)),
        (op("remove", "limit family"), op("put", "limit family", concurrent=2)),
        (op("create", "drain a"), op("create", "drain a")),
    ],
)
def test_second_of_two_racing_commands_conflicts(first: Operation, second: Operation) -> None:
    read_at = BASE.revision
    state = fold_commands(
        command(2, first, expected=read_at, operator="asha"),
        command(3, second, expected=read_at, operator="wanjiru"),
        state=BASE,
    )
    assert verdict_of(state, 2)[0] is Verdict.ACCEPTED
    verdict, detail = verdict_of(state, 3)
    assert verdict is Verdict.CONFLICT
    assert "by asha" in detail


def test_removals_are_bounded_and_older_reads_conflict(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FOLD_MODULE, "REMOVALS_KEPT", 4)
    monkeypatch.setattr(FOLD_MODULE, "TRIM_BATCH", 2)
    state = BASE
    for number in range(2, 42, 2):
        name = f"drain host-{number}"
        state = fold_commands(
            command(number, op("create", name)),
            command(number + 1, op("remove", name)),
            state=state,
        )
        assert len(state.removals) < 6
    late = command(50, op("create", "drain host-2"), expected=BASE.revision)
    state = fold_commands(late, state=state)
    assert verdict_of(state, 50)[0] is Verdict.CONFLICT
    fresh = command(51, op("create", "drain host-2"), expected=state.revision)
    assert verdict_of(fold_commands(fresh, state=state), 51)[0] is Verdict.ACCEPTED


def test_expected_revision_in_the_future_is_rejected() -> None:
    state = fold_commands(command(2, op("create", "drain a"), expected=99), state=BASE)
    assert verdict_of(state, 2)[0] is Verdict.REJECTED


@pytest.mark.parametrize("others", [0, 1, 5, 6, 40])
def test_repeated_command_never_takes_effect_again(
    monkeypatch: pytest.MonkeyPatch, others: int
) -> None:
    monkeypatch.setattr(FOLD_MODULE, "VERDICTS_KEPT", 4)
    monkeypatch.setattr(FOLD_MODULE, "TRIM_BATCH", 2)
    first = command(2, op("set", "limit family", concurrent=1))
    later = [
        command(3 + n, op("set", "limit family", concurrent=100 + n)) for n in range(others + 1)
    ]
    state = fold_commands(first, *later, state=BASE)
    repeated = fold_commands(first, state=state)
    assert repeated.limits == state.limits
    assert repeated.revision == state.revision
    assert len(repeated.verdicts) < 6


def test_id_from_a_clock_that_is_ahead_blocks_no_other_command(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(FOLD_MODULE, "VERDICTS_KEPT", 4)
    monkeypatch.setattr(FOLD_MODULE, "TRIM_BATCH", 2)
    ahead = command(0, op("create", "drain ahead"), command_id=command_id(10_000_000))
    later = [command(n, op("put", "drain a", reason=str(n))) for n in range(2, 40)]
    state = fold_commands(ahead, *later, state=BASE)
    assert state.drains["a"].reason == "39"
    assert fold_commands(ahead, state=state).revision == state.revision


@pytest.mark.parametrize("text", ["", "plain-key", "00000000-0000-4000-8000-000000000000"])
def test_id_without_a_time_is_rejected(text: str) -> None:
    item = command(2, op("create", "drain a"), command_id=CommandId(text))
    state = fold_commands(item, state=BASE)
    assert state.verdicts[CommandId(text)].verdict is Verdict.REJECTED
    assert not state.drains


NAMES = st.sampled_from(["a", "b", "c"])
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(min_value=-(10**320), max_value=10**320),
    st.integers(-2, 100),
    st.floats(),
    st.sampled_from(["", "a", "b", "/x", "engine", "plain", "quick", "at_most_once", TOKEN]),
    st.sampled_from([f"{n:064x}" for n in range(3)]),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=2), st.integers(), max_size=2),
)


@st.composite
def any_operation(draw: st.DrawFn) -> Operation:
    object_type = draw(st.sampled_from(list(TABLES)))
    name = draw(NAMES) + (f"/{draw(NAMES)}" if object_type.value == "kind" else "")
    schema = TABLES[object_type].schema
    names = [field.name for field in dataclasses.fields(schema)]
    likely: dict[str, t.Any] = {
        "type": st.sampled_from(["engine", "plain"]),
        "pool": NAMES,
        "mode": st.sampled_from(["quick", "at_most_once"]),
        "token_sha256": st.sampled_from([f"{n:064x}" for n in range(3)]),
        "services": st.sampled_from(["", "a", "a b"]),
        "until_s": st.floats(0, 10),
    }
    fields: dict[str, object] = {}
    for field in names:
        if field in likely and draw(st.integers(0, 9)) > 0:
            fields[field] = draw(likely[field])
        elif draw(st.integers(0, 9)) == 0:
            fields[field] = draw(VALUES)
    verb = draw(st.sampled_from(["create", "put", "put", "set", "remove"]))
    return op(verb, f"{object_type.value} {name}", **({} if verb == "remove" else fields))


@st.composite
def any_stream(draw: st.DrawFn) -> list[Command]:
    count = draw(st.integers(1, 25))
    return [
        command(
            draw(st.integers(0, count)),
            *draw(st.lists(any_operation(), min_size=1, max_size=3)),
            expected=draw(st.one_of(st.none(), st.integers(0, 6))),
        )
        for _ in range(count)
    ]


def check_references(state: ConfigState) -> None:
    for service in state.services.values():
        assert service.pool in state.pools
    for name, kind in state.kinds.items():
        pool = state.pools[state.services[t.cast(t.Any, name.partition("/")[0])].pool]
        assert kind.mode.value != "at_most_once" or pool.type.value == "plain"
    for workspace in state.workspaces.values():
        assert set(workspace.services.split()) <= set(state.services)
    assert set(state.limits) <= set(state.workspaces)
    tokens = [workspace.token_sha256 for workspace in state.workspaces.values()]
    assert len(set(tokens)) == len(tokens)


@settings(max_examples=150)
@given(stream=any_stream(), batch_bounds=st.sets(st.integers(0, 24)), data=st.data())
def test_any_batching_and_any_snapshot_give_the_same_state(
    stream: list[Command], batch_bounds: set[int], data: st.DataObject
) -> None:
    entries = [
        decode_entry(LogEntry(offset=Offset(n), payload=records.encode([item])))
        for n, item in enumerate(stream)
    ]
    states = [ConfigState()]
    for entry in entries:
        states.append(fold_entries(states[-1], [entry]))
        check_references(states[-1])
        assert states[-1].revision >= states[-2].revision
    before = [encode_state(state) for state in states]
    batched = ConfigState()
    for begin, end in zip(
        [0, *sorted(batch_bounds)], [*sorted(batch_bounds), len(entries)], strict=True
    ):
        batched = fold_entries(batched, entries[begin:end])
    assert batched == states[-1]
    at = data.draw(st.integers(0, len(entries)))
    restored = decode_state(before[at], version=FORMAT_VERSION)
    assert restored == states[at]
    overlap = data.draw(st.integers(0, at))
    assert fold_entries(restored, entries[overlap:]) == states[-1]
    assert [encode_state(state) for state in states] == before


CBOR = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8))
    | st.sampled_from(["command", "create", "pool", "t", "verb", "operations"]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["t", "command_id", "operator", "operations", "statement", "issued_s"])
        | st.sampled_from(["verb", "object_type", "name", "fields", "expected", "version"]),
        inner,
        max_size=7,
    ),
    max_leaves=12,
)


@settings(max_examples=300)
@given(
    payload=st.binary(max_size=40) | CBOR.map(cbor2.dumps) | CBOR.map(lambda x: cbor2.dumps([x]))
)
def test_any_payload_is_skipped_or_folded(payload: bytes) -> None:
    try:
        entry = decode_entry(LogEntry(offset=Offset(1), payload=payload))
    except IncompatibleError:
        return
    assert fold_entries(BASE, [entry]).through_offset == 1


@pytest.mark.parametrize(
    "damage",
    [
        {"operations": {"verb": "create"}},
        {"operations": [{"verb": "create", "object_type": "pool", "name": "p", "fields": []}]},
        {"operations": [{"verb": "explode", "object_type": "pool", "name": "p"}]},
        {"operations": 5},
        {"issued_s": 10**400},
        {"command_id": None},
    ],
)
def test_damaged_command_is_skipped(damage: dict[str, object]) -> None:
    plain = {**records.to_plain(command(2, op("create", "drain a"))), **damage}
    entry = decode_entry(LogEntry(offset=Offset(1), payload=cbor2.dumps([plain])))
    assert entry.messages == []
    assert fold_entries(BASE, [entry]) == dataclasses.replace(BASE, through_offset=Offset(1))


def test_record_of_a_newer_format_is_not_folded() -> None:
    newer = command(2, op("create", "drain a"), version=FORMAT_VERSION + 1)
    with pytest.raises(IncompatibleError):
        decode_entry(LogEntry(offset=Offset(1), payload=records.encode([newer])))
    with pytest.raises(IncompatibleError):
        decode_state(encode_state(BASE), version=FORMAT_VERSION + 1)


def _schema_text(cls: t.Any) -> str:
    fields = sorted(f"{f.name}:{f.type}" for f in dataclasses.fields(cls))
    return f"{cls.__name__}({','.join(fields)})"


def test_schema_matches_the_format_version() -> None:
    schemas = [ConfigState, Command, Operation, *(table.schema for table in TABLES.values())]
    digest = hashlib.sha256("\n".join(map(_schema_text, schemas)).encode()).hexdigest()[:16]
    assert digest == SCHEMA_DIGESTS[FORMAT_VERSION], "the schema changed: see SCHEMA_DIGESTS"


def test_entries_already_folded_change_nothing() -> None:
    entry = DecodedEntry(offset=Offset(0), messages=[command(9, op("create", "drain a"))])
    assert fold_entries(BASE, [entry]) is BASE
